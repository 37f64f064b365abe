/// The table of the shards that this process owns.
///
///   ShardTable Shards(Records, Copies, Peers, Tokens);
///   Expected<ShardLocation> Location = Shards.locate(Shard, MayClaim);
///   if (Location && Location->OwnedHere)
///     Shards.append(*Location->OwnedHere, Entries);
///
/// A shard is claimed when a call needs it: the next version of its record is
/// written by compare-and-swap, the copies are sealed at that version, their
/// logs are reconciled, and missing copies are replaced. Safety depends only
/// on the sealed epoch of the copies; the member states only decide which
/// entry tries to claim.
#ifndef TAMARACK_ENTRY_SHARDTABLE_H
#define TAMARACK_ENTRY_SHARDTABLE_H

#include "tamarack/entry/Ports.h"
#include "tamarack/ledger/Program.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace tamarack {

/// A root program with its sub-agents in the memory of its owner.
struct OwnedProgramTree {
  std::mutex Mutex;
  /// Notified whenever State changes.
  std::condition_variable Changed;
  /// When a call of the tree last started or ended here.
  TimePoint LastUsed;
  ProgramTree State;
};

/// A shard at the epoch at which this process owns it.
struct OwnedShard {
  ShardId Number = 0;
  /// The epoch of the ownership.
  Epoch At = 0;
  std::vector<CopyLocation> Copies;
  /// Whether the ownership ended.
  std::atomic<bool> Lost{false};

  std::mutex Mutex;
  std::map<ProgramId, std::shared_ptr<OwnedProgramTree>> Trees;

  /// The tree of \p Root, empty when its log is empty.
  std::shared_ptr<OwnedProgramTree> programTree(const ProgramId &Root);
};

/// Where a shard is served. Exactly one member is set.
struct ShardLocation {
  std::shared_ptr<OwnedShard> OwnedHere;
  InstanceId RemoteOwner;
};

/// Counters of a shard table, for metrics and tests.
struct ShardCounts {
  std::uint64_t Claims = 0;
  std::uint64_t ClaimsLost = 0;
  std::uint64_t CopiesReplaced = 0;
  std::uint64_t RecordsRepaired = 0;
  std::uint64_t AppendsFailed = 0;
  std::uint64_t Released = 0;
};

class ShardTable {
public:
  /// \p UniqueToken returns a text that no other write has used.
  ShardTable(ShardRecords &Records, CopyAccess &Copies, MemberDirectory &Peers,
             std::function<std::string()> UniqueToken);
  ~ShardTable();

  /// Finds the entry that serves \p Shard. If there is none, claims the shard
  /// when this entry is the preferred owner or \p MayClaim allows it.
  /// OwnerUnavailable after release(), RevisionConflict when another entry won
  /// the claim, NotEnoughCopies when too few copies can be reached.
  Expected<ShardLocation> locate(ShardId Shard, bool MayClaim);

  /// Appends records to the log of a root at every copy. The caller holds the
  /// mutex of the tree and has set the indexes. A failure ends the ownership:
  /// no later append succeeds at this epoch.
  Expected<void> append(OwnedShard &Shard, const std::vector<Append> &Entries);

  /// Checks with every copy that \p Shard is still owned here. Only then may
  /// "not run" be answered from memory, because a later owner may have run the
  /// request. A failure ends the ownership.
  Expected<void> confirmOwnership(OwnedShard &Shard);

  /// Releases all shards for a planned stop, so that other entries can claim
  /// them before this process counts as gone. No shard is served or claimed
  /// afterwards. Running calls must have ended before.
  void release();

  /// Drops the cached owner of \p Shard, so that the record is read again.
  void forgetOwner(ShardId Shard);

  std::vector<ShardId> owned() const;
  ShardCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_SHARDTABLE_H
