/// The shards that this process owns, and how it comes to own them.
///
///   ShardTable Shards(Records, Copies, Peers, Tokens);
///   Expected<ShardHome> Home = Shards.locate(Shard, MayClaim);
///   if (Home && Home->Here)
///     Shards.append(*Home->Here, Root, Entries);
///
/// A shard is claimed when a call needs it: the record's next version is taken
/// by compare-and-swap, the copies are sealed at that version, their logs are
/// settled, and missing copies are replaced. Safety rests on the sealed epoch
/// at the copies alone; member states only decide who tries.
#ifndef TAMARACK_ENTRY_SHARDTABLE_H
#define TAMARACK_ENTRY_SHARDTABLE_H

#include "tamarack/entry/Ports.h"
#include "tamarack/ledger/Program.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace tamarack {

/// A root program with its sub-agents, held by its owner.
struct OwnedFamily {
  std::mutex Mutex;
  /// Notified whenever State changes.
  std::condition_variable Changed;
  /// When a call of the family last started or ended here.
  TimePoint LastUsed;
  ProgramTree State;
};

/// A shard at the epoch at which this process owns it.
struct OwnedShard {
  ShardId Number = 0;
  Epoch At = 0;
  std::vector<CopyLocation> Copies;
  std::atomic<bool> Lost{false};

  std::mutex Mutex;
  std::map<ProgramId, std::shared_ptr<OwnedFamily>> Families;

  /// The family of \p Root, empty when nothing is logged of it.
  std::shared_ptr<OwnedFamily> family(const ProgramId &Root);
};

/// Where a shard is served: here, or at another entry.
struct ShardHome {
  std::shared_ptr<OwnedShard> Here;
  InstanceId Elsewhere;
};

/// Counts of a shard table, for metrics and bounds.
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
  /// \p UniqueToken gives a text that no other write has used.
  ShardTable(ShardRecords &Records, CopyAccess &Copies, MemberDirectory &Peers,
             std::function<std::string()> UniqueToken);
  ~ShardTable();

  /// Finds who serves \p Shard, and claims it if nobody does and this entry is
  /// the preferred one or \p MayClaim says that it was sent here for that.
  Expected<ShardHome> locate(ShardId Shard, bool MayClaim);

  /// Appends to the log of \p Root at every copy. The caller holds the
  /// family's mutex and has set the indexes. A failure loses the shard: no
  /// later append succeeds at this epoch.
  Expected<void> append(OwnedShard &Shard, const std::vector<Append> &Entries);

  /// Asks every copy whether \p Shard is still owned here. Only then may "not
  /// run" be answered from memory: a later owner may have run the request. A
  /// failure loses the shard.
  Expected<void> confirm(OwnedShard &Shard);

  /// Gives all shards up for a planned stop, so that others need not wait until
  /// this process counts as gone. No shard is served or claimed afterwards.
  /// Calls that run must have ended before.
  void release();

  /// Forgets what is known of the owner of \p Shard elsewhere.
  void forgetOwner(ShardId Shard);

  std::vector<ShardId> owned() const;
  ShardCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_SHARDTABLE_H
