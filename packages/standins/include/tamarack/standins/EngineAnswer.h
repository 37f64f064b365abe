/// What the stand-in engine makes of a conversation, for tests that check
/// whether a caller got the answer to its own request.
///
///   Json Messages = Json::array({{{"role", "user"}, {"content", "hi"}}});
///   BOOST_TEST(Answer == engineAnswer(Messages, 16));
///
/// The answer depends on every word of the conversation, so a history that
/// lacks a message or holds a foreign one gives another answer.
#ifndef TAMARACK_STANDINS_ENGINEANSWER_H
#define TAMARACK_STANDINS_ENGINEANSWER_H

#include "tamarack/base/Ids.h"
#include "tamarack/base/Json.h"

#include <string>

namespace tamarack {

/// The messages as the engine reads them: "role: content", one a line.
/// Throws Json::exception when a message lacks a role or content.
std::string renderedPrompt(const Json &Messages);
/// The engine's answer to \p Messages with \p MaxTokens words.
std::string engineAnswer(const Json &Messages, TokenCount MaxTokens);

} // namespace tamarack

#endif // TAMARACK_STANDINS_ENGINEANSWER_H
