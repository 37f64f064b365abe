/// Which entry owns a shard, where its copies lie, and when to claim it.
///
/// Rendezvous hashing gives every process the same preference from the same
/// member list, and a lost entry moves only its own shards:
///
///   if (preferredOwner(Shard, Entries) == Self) ...
///   ClaimDecision Next = decideClaim(Facts, Limits);
///
/// Nothing here is needed for safety: a wrong or late decision costs a hop or
/// a lost compare-and-swap, since the shard's epoch fences its copies.
#ifndef TAMARACK_MEMBERS_OWNERSHIP_H
#define TAMARACK_MEMBERS_OWNERSHIP_H

#include "tamarack/members/Membership.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// \p Entries in the order in which they should own \p Shard; the same for
/// any order of \p Entries.
std::vector<InstanceId> preference(ShardId Shard,
                                   const std::vector<InstanceId> &Entries);

/// How many of \p Entries should own \p Shard before \p Self.
std::size_t rankOf(ShardId Shard, const std::vector<InstanceId> &Entries,
                   const InstanceId &Self);

/// The first of preference(), without sorting the rest.
std::optional<InstanceId>
preferredOwner(ShardId Shard, const std::vector<InstanceId> &Entries);

/// Up to \p Count members that should hold copies of \p Shard's log, of those
/// in \p WithFolders that have a data folder. They lie in different data
/// centres as far as there are several, and always on different instances.
std::vector<Member> chooseCopies(ShardId Shard,
                                 const std::vector<Member> &WithFolders,
                                 std::size_t Count);

enum class ClaimAction {
  /// Held here, nothing to do.
  Keep,
  /// Take the next epoch by compare-and-swap.
  Claim,
  /// Not ours at present; look again after the decision's delay.
  Wait,
  /// Held here, another entry should own it.
  HandOver,
  /// Held here, a copy is lost or leaving and must be replaced.
  Recopy,
};

struct ClaimLimits {
  /// The head start of each better-ranked entry.
  Duration SuspicionPeriod = std::chrono::milliseconds(1500);
  /// How long a better-ranked entry must have been live before a shard is
  /// handed over to it.
  Duration HandOverAfter = std::chrono::seconds(5);
  std::size_t ClaimsInFlight = 4;
  std::size_t HandOversInFlight = 4;
  /// What all entries together may ask of the platform's service while they
  /// take over shards.
  double ClaimsPerSecond = 200;

  auto tied() const {
    return std::tie(SuspicionPeriod, HandOverAfter, ClaimsInFlight,
                    HandOversInFlight, ClaimsPerSecond);
  }
};

/// What an entry knows about one shard when it decides.
struct ClaimFacts {
  ShardId Shard = 0;
  InstanceId Self;
  /// The region's live entries; without Self when it is leaving.
  std::vector<InstanceId> Entries;
  /// The owner that the shard's record names; empty where there is no record
  /// or the last owner released it.
  std::optional<InstanceId> Owner;
  /// Gone also when the owner was restarted since it wrote the record.
  MemberState OwnerState = MemberState::Gone;
  /// How long the shard has been without a live owner.
  Duration OwnerlessFor{0};
  /// This process holds the shard at the record's epoch.
  bool Held = false;
  /// The states of the copies named in the record.
  std::vector<MemberState> Copies;
  /// How many copies a record should name.
  std::size_t CopiesWanted = 2;
  /// How many live places with a data folder chooseCopies could name.
  std::size_t LivePlaces = 0;
  /// How long the preferred owner has been live.
  Duration PreferredLiveFor{0};
  /// How many shards of the region have no live owner.
  std::size_t OwnerlessShards = 1;
  std::size_t ClaimsInFlight = 0;
  std::size_t HandOversInFlight = 0;
  /// A call waits for the shard: it is claimed without claimDelay().
  bool Wanted = false;
};

struct ClaimDecision {
  ClaimAction Action = ClaimAction::Wait;
  /// For Wait: when to look again; zero where only an event changes it.
  Duration After{0};
  /// For HandOver: the next owner.
  std::optional<InstanceId> Next;
  /// Short, for logs and explain.
  std::string Reason;

  auto tied() const { return std::tie(Action, After, Next, Reason); }
};

ClaimDecision decideClaim(const ClaimFacts &Facts, const ClaimLimits &Limits);

/// When to claim \p Shard after its owner was lost, so that all entries
/// together stay within \p ClaimsPerSecond: spread evenly by the shard's
/// number over the time that \p OwnerlessShards claims take.
Duration claimDelay(ShardId Shard, std::size_t OwnerlessShards,
                    double ClaimsPerSecond);

const char *nameOf(ClaimAction Action);
std::ostream &operator<<(std::ostream &Out, ClaimAction Action);

} // namespace tamarack

#endif // TAMARACK_MEMBERS_OWNERSHIP_H
