/// Decides which entry owns a shard, where its copies are placed, and when an
/// entry claims it.
///
/// Rendezvous hashing gives every process the same order of preferred owners
/// for the same member list. When an entry is lost, only its own shards move:
///
///   if (preferredOwner(Shard, Entries) == Self) ...
///   ClaimDecision Next = decideClaim(Facts, Limits);
///
/// Safety does not depend on these decisions, because the epoch of a shard
/// fences its copies. A wrong or late decision only costs an extra hop or a
/// failed compare-and-swap.
#ifndef TAMARACK_MEMBERS_OWNERSHIP_H
#define TAMARACK_MEMBERS_OWNERSHIP_H

#include "tamarack/members/Membership.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Returns \p Entries in the order of preference for owning \p Shard. The
/// result does not depend on the order of \p Entries.
std::vector<InstanceId> ownerPreference(ShardId Shard,
                                        const std::vector<InstanceId> &Entries);

/// Returns how many of \p Entries are preferred to \p Self as owners of
/// \p Shard.
std::size_t rankOf(ShardId Shard, const std::vector<InstanceId> &Entries,
                   const InstanceId &Self);

/// Returns the first entry of ownerPreference() without sorting the others;
/// none if \p Entries is empty.
std::optional<InstanceId>
preferredOwner(ShardId Shard, const std::vector<InstanceId> &Entries);

/// Returns up to \p Count members that should hold copies of the log of
/// \p Shard. Only members of \p Candidates with a data folder are chosen. They
/// are on different instances, and in different data centres as far as
/// possible.
std::vector<Member> chooseCopies(ShardId Shard,
                                 const std::vector<Member> &Candidates,
                                 std::size_t Count);

enum class ClaimAction {
  /// This entry holds the shard and nothing is to be done.
  Keep,
  /// Claim the next epoch by compare-and-swap.
  Claim,
  /// This entry must not claim the shard yet; decide again after RetryAfter.
  Wait,
  /// This entry holds the shard, but another one should own it.
  HandOver,
  /// This entry holds the shard, and a lost or leaving copy must be replaced.
  ReplaceCopy,
};

struct ClaimLimits {
  /// How long an entry waits for each better-ranked entry before it claims.
  Duration RankDelay = std::chrono::milliseconds(1500);
  /// How long the preferred entry must have been live before a shard is handed
  /// over to it.
  Duration MinPreferredLiveTime = std::chrono::seconds(5);
  std::size_t MaxClaimsInFlight = 4;
  std::size_t MaxHandOversInFlight = 4;
  /// The rate of claims, over all entries together, that the platform's service
  /// may receive during a takeover. Zero means no limit.
  double MaxClaimsPerSecond = 200;

  auto tied() const {
    return std::tie(RankDelay, MinPreferredLiveTime, MaxClaimsInFlight,
                    MaxHandOversInFlight, MaxClaimsPerSecond);
  }
};

/// The input of decideClaim(): what an entry knows about one shard.
struct ClaimFacts {
  ShardId Shard = 0;
  InstanceId Self;
  /// The live entries of the region; without Self if it is leaving.
  std::vector<InstanceId> Entries;
  /// The owner in the shard's record; empty if there is no record or the last
  /// owner released the shard.
  std::optional<InstanceId> Owner;
  /// Also Gone if the owner has restarted since it wrote the record.
  MemberState OwnerState = MemberState::Gone;
  /// How long the shard has been without a live owner.
  Duration OwnerlessFor{0};
  /// Whether this process holds the shard at the epoch of the record.
  bool IsHeld = false;
  /// The states of the members that hold the copies listed in the record.
  std::vector<MemberState> Copies;
  /// The number of copies that a record should list.
  std::size_t TargetCopies = 2;
  /// The number of live members with a data folder, which chooseCopies() could
  /// choose.
  std::size_t LiveCandidates = 0;
  /// How long the preferred owner has been live.
  Duration PreferredLiveFor{0};
  /// The number of shards of the region without a live owner.
  std::size_t OwnerlessShards = 1;
  std::size_t ClaimsInFlight = 0;
  std::size_t HandOversInFlight = 0;
  /// Whether a call is waiting for the shard; it is then claimed without
  /// claimDelay().
  bool HasWaitingCall = false;
};

struct ClaimDecision {
  ClaimAction Action = ClaimAction::Wait;
  /// For Wait: when to decide again; zero if only an event can change the
  /// decision.
  Duration RetryAfter{0};
  /// For HandOver: the next owner.
  std::optional<InstanceId> NextOwner;
  /// A short explanation for logs and explain output.
  std::string Reason;

  auto tied() const { return std::tie(Action, RetryAfter, NextOwner, Reason); }
};

/// Returns what the entry should do about the shard now.
ClaimDecision decideClaim(const ClaimFacts &Facts, const ClaimLimits &Limits);

/// Returns how long to wait before claiming \p Shard after its owner was lost,
/// so that all entries together stay within \p MaxClaimsPerSecond. The claims
/// of \p OwnerlessShards shards are spread evenly, by a hash of the shard
/// number, over the time that they take at this rate.
Duration claimDelay(ShardId Shard, std::size_t OwnerlessShards,
                    double MaxClaimsPerSecond);

const char *nameOf(ClaimAction Action);
std::ostream &operator<<(std::ostream &Out, ClaimAction Action);

} // namespace tamarack

#endif // TAMARACK_MEMBERS_OWNERSHIP_H
