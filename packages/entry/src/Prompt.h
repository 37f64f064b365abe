/// What an owner makes of a caller's body: the delta, its worst case in
/// tokens, and the request that the endpoint gets.
#ifndef TAMARACK_ENTRY_PROMPT_H
#define TAMARACK_ENTRY_PROMPT_H

#include "tamarack/entry/Messages.h"
#include "tamarack/ledger/Program.h"

namespace tamarack {
namespace internal {

/// Tokens of an answer when the caller sets no bound.
constexpr TokenCount DefaultMaxTokens = 1024;
/// The fewest bytes of text that a token stands for on average.
constexpr std::uint64_t BytesPerToken = 2;

/// The request as the log needs it. \p Call is fresh; \p KnownTokens is the
/// size of the history, as the last answer counted it.
Expected<CallRequest> requestOf(const SubmitCallRequest &Order,
                                const CallId &Call, std::int64_t NowMs);

/// Adds the tokens of the history to the worst case of \p Request.
void addHistory(CallRequest &Request, const ProgramTree &Now);

/// Tokens of the history of \p Program, as the last answer counted them.
TokenCount historyTokens(const ProgramTree &Now, const ProgramId &Program);

TokenCount maxTokensOf(const SubmitCallRequest &Order);

/// The body for the endpoint: the caller's own with the whole history.
std::string endpointBody(const SubmitCallRequest &Order,
                         const ProgramState *State);

/// The reply that a result stands for, or its error.
Expected<CallReply> replyOf(const AttemptResult &Done);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_ENTRY_PROMPT_H
