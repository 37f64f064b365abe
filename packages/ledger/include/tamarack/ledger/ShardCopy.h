/// The state of one copy of a shard: its logs and the epoch that fences it.
///
/// A copy accepts changes of the sealed epoch only, so sealing it at a higher
/// epoch fences off every earlier owner:
///
///   ShardCopy Copy;
///   applySeal(Copy, 7);
///   applyAppend(Copy, {7, Root, 0, First});  // accepted
///   applyAppend(Copy, {6, Root, 1, Second}); // Fenced
///
/// A refused change leaves the copy unchanged. Changes are idempotent: one
/// that was accepted is accepted again, so it may be repeated after its answer
/// was lost. A refusal proves nothing about the call behind a record: an
/// AttemptResult may be fenced long after its call ran.
#ifndef TAMARACK_LEDGER_SHARDCOPY_H
#define TAMARACK_LEDGER_SHARDCOPY_H

#include "tamarack/ledger/Records.h"

#include <map>

namespace tamarack {

struct ShardCopy {
  /// The only epoch whose changes are accepted. Zero until the first seal; an
  /// unsealed copy accepts nothing.
  Epoch Sealed = 0;
  /// The logs by root program.
  std::map<ProgramId, std::vector<Record>> Logs;
  /// The epoch of the last change of each log, by root program.
  std::map<ProgramId, Epoch> ChangedAt;

  auto tied() const { return std::tie(Sealed, Logs, ChangedAt); }
};

/// Adds one record to a log.
struct Append {
  /// The epoch of the owner that appends.
  Epoch At = 0;
  ProgramId Root;
  /// The index of the record in the root's log.
  std::uint64_t Index = 0;
  Record Entry;

  auto tied() const { return std::tie(At, Root, Index, Entry); }
};

/// Replaces the records of a log from index From on by Tail.
struct Install {
  /// The epoch of the owner that installs.
  Epoch At = 0;
  ProgramId Root;
  std::uint64_t From = 0;
  std::vector<Record> Tail;

  auto tied() const { return std::tie(At, Root, From, Tail); }
};

/// Seals the copy at epoch \p At. Fenced when \p At is lower than the sealed
/// epoch.
Expected<void> applySeal(ShardCopy &Copy, Epoch At);
/// Appends a record. Fenced when the epoch differs from the sealed one or a
/// different record has the index already; WrongSequence when the record would
/// leave a gap.
Expected<void> applyAppend(ShardCopy &Copy, const Append &Next);
/// Replaces the end of a log. Fenced when the epoch differs from the sealed
/// one; WrongSequence when the change would leave a gap. Only the first change
/// of a log within an epoch may replace records. Later installs may only add
/// records and are Fenced otherwise, so that a delayed install cannot undo the
/// appends that followed it.
Expected<void> applyInstall(ShardCopy &Copy, const Install &Change);

/// Checks that the copy is sealed at epoch \p At; Fenced otherwise. If every
/// named copy passes this check after a request arrived, the owner still owned
/// the shard on arrival. Only then may it answer "not run" from memory,
/// because a later owner may have run the same request.
Expected<void> checkSealedEpoch(const ShardCopy &Copy, Epoch At);

/// The checks of the functions above without the change, for callers that
/// write to disk before they change the state. They return the same errors.
Expected<void> checkSeal(const ShardCopy &Copy, Epoch At);
Expected<void> checkAppend(const ShardCopy &Copy, const Append &Next);
Expected<void> checkInstall(const ShardCopy &Copy, const Install &Change);

/// Variants that take the copy by value and return the changed copy.
Expected<ShardCopy> seal(ShardCopy Copy, Epoch At);
Expected<ShardCopy> append(ShardCopy Copy, const Append &Next);
Expected<ShardCopy> install(ShardCopy Copy, const Install &Change);

/// The log of \p Root, empty when there is none.
const std::vector<Record> &logOf(const ShardCopy &Copy, const ProgramId &Root);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Append, At, Root, Index, Entry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Install, At, Root, From, Tail)

} // namespace tamarack

#endif // TAMARACK_LEDGER_SHARDCOPY_H
