/// What applying a record and deciding a call both ask of a family.
#ifndef TAMARACK_LEDGER_PROGRAMRULES_H
#define TAMARACK_LEDGER_PROGRAMRULES_H

#include "tamarack/ledger/Program.h"

namespace tamarack::internal {

/// Whether \p Program or any program above it has ended.
bool isEndedOrUnder(const ProgramTree &Now, const ProgramId &Program);

/// Whether a call with a result may be attempted again. A call that did not
/// run may, and a repeatable one that did not complete, as long as no later
/// call has begun: the history stays in order.
bool isRetriable(const ProgramState &State, const CallState &Call);

/// Whether \p Text is a JSON array, or empty.
bool isMessages(const std::string &Text);

/// The JSON texts of the elements of a JSON array; empty text is no elements.
std::optional<std::vector<std::string>> messagesOf(const std::string &Array);

} // namespace tamarack::internal

#endif // TAMARACK_LEDGER_PROGRAMRULES_H
