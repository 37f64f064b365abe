/// What a ledger fetches from other ledgers before it joins.
///
/// A record that enough others keep need not be fetched: it stays on as many
/// disks as a record that was acknowledged after the ledger has joined.
///
///   const std::vector<FetchShare> Shares =
///       planFetch(Lists, requiredCopies(Of, DurableCopies), Store);
#ifndef TAMARACK_TURNS_FETCHPLAN_H
#define TAMARACK_TURNS_FETCHPLAN_H

#include "tamarack/turns/TurnStore.h"

#include <vector>

namespace tamarack {

/// The records of one ledger, as it listed them.
struct RecordList {
  FolderId Folder;
  std::vector<RecordSummary> Records;
  /// Whether the ledger stays a record holder once this one has joined: whether
  /// it was a joined member when it began to list.
  bool IsKept = true;

  friend bool operator==(const RecordList &, const RecordList &) = default;
};

/// The records to fetch from one ledger.
struct FetchShare {
  FolderId Folder;
  /// All of them. They are small without texts, and accounts need no text.
  std::vector<TurnId> Records;
  /// Those to fetch with texts, the ones that are needed longest first.
  std::vector<TurnId> Texts;

  bool empty() const { return Records.empty() && Texts.empty(); }
  friend bool operator==(const FetchShare &, const FetchShare &) = default;
};

/// Plans from which of \p Lists the records come that \p Have lacks, the first
/// ones preferred. Leaves out records that \p Copies ledgers keep, and texts
/// that are not needed any more. Returns a share for each list.
std::vector<FetchShare> planFetch(const std::vector<RecordList> &Lists,
                                  std::size_t Copies, const TurnStore &Have);

} // namespace tamarack

#endif // TAMARACK_TURNS_FETCHPLAN_H
