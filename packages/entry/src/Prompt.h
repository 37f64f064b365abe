/// Conversions between the body of a caller, the request in the log and the
/// body for the endpoint.
#ifndef TAMARACK_ENTRY_PROMPT_H
#define TAMARACK_ENTRY_PROMPT_H

#include "tamarack/entry/Messages.h"
#include "tamarack/ledger/Program.h"

namespace tamarack {
namespace internal {

/// The limit of answer tokens when the caller sets none.
constexpr TokenCount DefaultMaxTokens = 1024;
/// A lower bound of the average number of bytes per token.
constexpr std::uint64_t BytesPerToken = 2;

/// Builds the request to decide on. \p Call is a unique id. MalformedRequest
/// when the body is not valid.
Expected<CallRequest> makeCallRequest(const SubmitCallRequest &Incoming,
                                      const CallId &Call, std::int64_t NowMs);

/// Adds the history tokens of the program to the worst case of \p Request.
void addHistoryTokens(CallRequest &Request, const ProgramTree &Tree);

/// The tokens of the history of \p Program, as counted by the last answer.
TokenCount historyTokens(const ProgramTree &Tree, const ProgramId &Program);

/// The limit of answer tokens; 0 for services.
TokenCount maxTokensOf(const SubmitCallRequest &Incoming);

/// The body for the endpoint: the body of the caller with the whole history
/// before its messages.
std::string endpointBody(const SubmitCallRequest &Incoming,
                         const ProgramState *State);

/// The reply or error that a result holds. Internal when it cannot be parsed.
Expected<CallReply> toReply(const AttemptResult &Done);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_ENTRY_PROMPT_H
