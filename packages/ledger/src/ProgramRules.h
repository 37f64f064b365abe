/// Rules shared by applyRecord() and decideCall().
#ifndef TAMARACK_LEDGER_PROGRAMRULES_H
#define TAMARACK_LEDGER_PROGRAMRULES_H

#include "tamarack/ledger/Program.h"

namespace tamarack::internal {

/// Whether \p Program or any of its ancestors has ended.
bool isEndedOrHasEndedAncestor(const ProgramTree &Tree,
                               const ProgramId &Program);

/// Whether a call with a result may be attempted again: it did not run, or it
/// is repeatable and did not complete. Once a later call has started it may
/// not, because the history must stay in order.
bool isRetriable(const ProgramState &State, const CallState &Call);

/// Whether \p Text is a JSON array or empty.
bool isMessageArray(const std::string &Text);

/// The JSON texts of the elements of a JSON array; none for an empty text.
/// Nothing if \p Array is not a JSON array.
std::optional<std::vector<std::string>> parseMessages(const std::string &Array);

} // namespace tamarack::internal

#endif // TAMARACK_LEDGER_PROGRAMRULES_H
