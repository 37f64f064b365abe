/// Claims the ownership of a shard.
#ifndef TAMARACK_ENTRY_SHARDCLAIM_H
#define TAMARACK_ENTRY_SHARDCLAIM_H

#include "tamarack/entry/ShardTable.h"

namespace tamarack {
namespace internal {

/// The number of copies that a shard record names.
constexpr std::size_t CopiesPerShard = 2;

struct ClaimContext {
  ShardRecords &Records;
  CopyAccess &Copies;
  MemberDirectory &Peers;
  const std::function<std::string()> &UniqueToken;
};

/// A claimed shard and the work that the claim took.
struct ClaimOutcome {
  std::shared_ptr<OwnedShard> Shard;
  std::uint64_t CopiesReplaced = 0;
  std::uint64_t RecordsRepaired = 0;
};

/// Takes over \p Shard, whose record was just read as \p Previous.
/// RevisionConflict when another entry was first, NotEnoughCopies when too few
/// copies can be reached. Every error has NotRun::Proved, since a claim sends
/// no call.
Expected<ClaimOutcome>
claimShard(const ClaimContext &Context, ShardId Shard,
           const std::optional<StoredShardRecord> &Previous);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_ENTRY_SHARDCLAIM_H
