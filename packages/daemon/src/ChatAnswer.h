/// Assembles a chat answer from the chunks of its stream.
#ifndef TAMARACK_DAEMON_CHATANSWER_H
#define TAMARACK_DAEMON_CHATANSWER_H

#include "tamarack/entry/Messages.h"

namespace tamarack {
namespace internal {

struct ChatAnswer {
  std::string Id;
  std::string Model;
  std::string Content;
  Json ToolCalls = Json::array();
  std::string FinishReason;
  TokenUsage Use;
  std::uint64_t Chunks = 0;
};

/// Adds a chunk, and says whether it is a piece of content that can be passed
/// on before the whole answer is kept.
bool addChunk(ChatAnswer &Answer, const Json &Chunk);

/// The answer in the usual form of a completion that was not streamed.
Json completionOf(const ChatAnswer &Answer);
/// The assistant's message that joins the history.
Json messageOf(const ChatAnswer &Answer);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_CHATANSWER_H
