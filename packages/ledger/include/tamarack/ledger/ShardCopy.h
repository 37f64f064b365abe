/// One copy's state for one shard: the logs it holds and the epoch it obeys.
///
/// A copy accepts records of the sealed epoch only, so whoever seals it at a
/// higher epoch has stopped every earlier owner:
///
///   ShardCopy Copy;
///   applySeal(Copy, 7);
///   applyAppend(Copy, {7, Root, 0, First});  // accepted
///   applyAppend(Copy, {6, Root, 1, Second}); // Fenced
///
/// Each function refuses without a change, and repeating one that was accepted
/// is accepted again, so a lost answer may be asked for by repeating. A refusal
/// proves nothing about the call that the record is of: a Result may be fenced
/// long after its call ran.
#ifndef TAMARACK_LEDGER_SHARDCOPY_H
#define TAMARACK_LEDGER_SHARDCOPY_H

#include "tamarack/ledger/Records.h"

#include <map>

namespace tamarack {

struct ShardCopy {
  /// Zero until the first seal; such a copy accepts nothing.
  Epoch Sealed = 0;
  /// By root program.
  std::map<ProgramId, std::vector<Record>> Logs;
  /// The epoch at which each log changed last.
  std::map<ProgramId, Epoch> ChangedAt;

  auto tied() const { return std::tie(Sealed, Logs, ChangedAt); }
};

struct Append {
  Epoch At = 0;
  ProgramId Root;
  /// The position that the record takes in the root's log.
  std::uint64_t Index = 0;
  Record Entry;

  auto tied() const { return std::tie(At, Root, Index, Entry); }
};

/// Replaces a log from position From on by Tail.
struct Install {
  Epoch At = 0;
  ProgramId Root;
  std::uint64_t From = 0;
  std::vector<Record> Tail;

  auto tied() const { return std::tie(At, Root, From, Tail); }
};

/// Fenced when \p At is lower than the sealed epoch.
Expected<void> applySeal(ShardCopy &Copy, Epoch At);
/// Fenced at another epoch than the sealed one or where another record stands
/// already; WrongSequence when it would leave a gap.
Expected<void> applyAppend(ShardCopy &Copy, const Append &Next);
/// Fenced at another epoch than the sealed one; WrongSequence when it would
/// leave a gap. Only an epoch's first change of a log may replace records; a
/// later one may only add to them and is Fenced otherwise, so that an install
/// delivered late cannot undo what was appended after it.
Expected<void> applyInstall(ShardCopy &Copy, const Install &Change);

/// Fenced when the copy has been sealed at another epoch. An owner that every
/// named copy confirms after a request arrived still owned the shard when it
/// arrived; only then may it answer "not run" from what it remembers, for a
/// later owner may have run the same request since.
Expected<void> checkSealedEpoch(const ShardCopy &Copy, Epoch At);

/// The checks alone, for whoever must write to disk before the state changes.
Expected<void> checkSeal(const ShardCopy &Copy, Epoch At);
Expected<void> checkAppend(const ShardCopy &Copy, const Append &Next);
Expected<void> checkInstall(const ShardCopy &Copy, const Install &Change);

/// The same on values.
Expected<ShardCopy> seal(ShardCopy Copy, Epoch At);
Expected<ShardCopy> append(ShardCopy Copy, const Append &Next);
Expected<ShardCopy> install(ShardCopy Copy, const Install &Change);

/// The log of \p Root, empty when there is none.
const std::vector<Record> &logOf(const ShardCopy &Copy, const ProgramId &Root);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Append, At, Root, Index, Entry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Install, At, Root, From, Tail)

} // namespace tamarack

#endif // TAMARACK_LEDGER_SHARDCOPY_H
