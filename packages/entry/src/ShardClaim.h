/// One attempt to become the owner of a shard.
#ifndef TAMARACK_ENTRY_SHARDCLAIM_H
#define TAMARACK_ENTRY_SHARDCLAIM_H

#include "tamarack/entry/ShardTable.h"

namespace tamarack {
namespace internal {

/// Copies that a record names.
constexpr std::size_t CopiesPerShard = 2;

struct ClaimTools {
  ShardRecords &Records;
  CopyAccess &Copies;
  MemberDirectory &Peers;
  const std::function<std::string()> &UniqueToken;
};

struct ClaimOutcome {
  std::shared_ptr<OwnedShard> Shard;
  std::uint64_t CopiesReplaced = 0;
  std::uint64_t RecordsRepaired = 0;
};

/// Takes \p Shard over from \p Before, which is its record as just read.
/// RevisionConflict when another entry was first; every failure is proved not
/// run, since nothing was sent for any call.
Expected<ClaimOutcome>
claimShard(const ClaimTools &Tools, ShardId Shard,
           const std::optional<StoredShardRecord> &Before);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_ENTRY_SHARDCLAIM_H
