#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack {
namespace {

/// Keeps the hashes for owners, copies and delays independent.
constexpr std::uint64_t OwnerSeed = 0x6f776e6572ULL;
constexpr std::uint64_t CopySeed = 0x636f7079ULL;
constexpr std::uint64_t DelaySeed = 0x64656c6179ULL;

/// Rendezvous weights of the instances for one shard.
class Weights {
public:
  Weights(ShardId Shard, std::uint64_t Seed)
      : ShardHash(stableHash(std::to_string(Shard), Seed)) {}

  std::uint64_t of(const InstanceId &Instance) const {
    return stableHash(Instance.text(), ShardHash);
  }

private:
  std::uint64_t ShardHash;
};

/// Sorts the heaviest first; equal weights by name.
using Weighted = std::pair<std::uint64_t, InstanceId>;

bool isHeavier(const Weighted &Left, const Weighted &Right) {
  if (Left.first != Right.first)
    return Left.first > Right.first;
  return Left.second < Right.second;
}

std::vector<Member> inCopyOrder(ShardId Shard,
                                const std::vector<Member> &From) {
  const Weights Weigh(Shard, CopySeed);
  std::vector<std::pair<Weighted, Member>> Ranked;
  for (const Member &Place : From)
    if (!Place.Folder.empty())
      Ranked.push_back({{Weigh.of(Place.Instance), Place.Instance}, Place});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return isHeavier(Left.first, Right.first);
            });
  std::vector<Member> Ordered;
  Ordered.reserve(Ranked.size());
  for (auto &[Weight, Place] : Ranked)
    Ordered.push_back(std::move(Place));
  return Ordered;
}

bool isAmong(const InstanceId &Instance, const std::vector<InstanceId> &In) {
  return std::find(In.begin(), In.end(), Instance) != In.end();
}

bool isLost(MemberState Copy) { return Copy >= MemberState::Leaving; }

std::size_t usableCopies(const ClaimFacts &Facts) {
  return Facts.Copies.size() -
         std::count_if(Facts.Copies.begin(), Facts.Copies.end(), isLost);
}

bool needsCopy(const ClaimFacts &Facts) {
  const std::size_t Usable = usableCopies(Facts);
  return Usable < Facts.CopiesWanted && Facts.LivePlaces > Usable;
}

ClaimDecision wait(Duration After, const char *Reason) {
  return {ClaimAction::Wait, After, std::nullopt, Reason};
}

/// The decision of the process that holds the shard.
ClaimDecision decideHeld(const ClaimFacts &Facts, const ClaimLimits &Limits) {
  const auto Preferred = preferredOwner(Facts.Shard, Facts.Entries);
  const bool Leaving = !isAmong(Facts.Self, Facts.Entries);
  const bool Elsewhere = Preferred && *Preferred != Facts.Self;
  const bool Settled =
      Leaving || Facts.PreferredLiveFor >= Limits.HandOverAfter;
  const bool Paced =
      !Leaving && Facts.HandOversInFlight >= Limits.HandOversInFlight;
  if (Elsewhere && Settled && !Paced)
    return {ClaimAction::HandOver, Duration(0), Preferred,
            Leaving ? "leaving" : "another entry is preferred"};
  if (needsCopy(Facts))
    return {ClaimAction::Recopy, Duration(0), std::nullopt,
            "a copy is lost or leaving"};
  return {ClaimAction::Keep, Duration(0), std::nullopt, "held"};
}

/// How long this entry leaves the shard to better-ranked ones.
Duration headStart(const ClaimFacts &Facts, const ClaimLimits &Limits) {
  // Handed over to this entry, or held by its predecessor: nobody goes first.
  const std::size_t Better =
      Facts.Owner == Facts.Self
          ? 0
          : rankOf(Facts.Shard, Facts.Entries, Facts.Self);
  const Duration Delay = Facts.Wanted
                             ? Duration(0)
                             : claimDelay(Facts.Shard, Facts.OwnerlessShards,
                                          Limits.ClaimsPerSecond);
  return Limits.SuspicionPeriod * static_cast<Duration::rep>(Better) + Delay;
}

} // namespace

std::vector<InstanceId> preference(ShardId Shard,
                                   const std::vector<InstanceId> &Entries) {
  const Weights Weigh(Shard, OwnerSeed);
  std::vector<Weighted> Ranked;
  Ranked.reserve(Entries.size());
  for (const InstanceId &Entry : Entries)
    Ranked.emplace_back(Weigh.of(Entry), Entry);
  std::sort(Ranked.begin(), Ranked.end(), isHeavier);
  std::vector<InstanceId> Ordered;
  Ordered.reserve(Ranked.size());
  for (Weighted &Entry : Ranked)
    Ordered.push_back(std::move(Entry.second));
  return Ordered;
}

std::size_t rankOf(ShardId Shard, const std::vector<InstanceId> &Entries,
                   const InstanceId &Self) {
  const Weights Weigh(Shard, OwnerSeed);
  const Weighted Own(Weigh.of(Self), Self);
  return std::count_if(Entries.begin(), Entries.end(),
                       [&](const InstanceId &Entry) {
                         return isHeavier({Weigh.of(Entry), Entry}, Own);
                       });
}

std::optional<InstanceId>
preferredOwner(ShardId Shard, const std::vector<InstanceId> &Entries) {
  const Weights Weigh(Shard, OwnerSeed);
  const InstanceId *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const InstanceId &Entry : Entries) {
    const std::uint64_t Weight = Weigh.of(Entry);
    const bool Better =
        !Best || Weight > BestWeight || (Weight == BestWeight && Entry < *Best);
    if (!Better)
      continue;
    Best = &Entry;
    BestWeight = Weight;
  }
  return Best ? std::optional<InstanceId>(*Best) : std::nullopt;
}

std::vector<Member> chooseCopies(ShardId Shard,
                                 const std::vector<Member> &WithFolders,
                                 std::size_t Count) {
  std::vector<Member> Chosen;
  std::set<DataCentreId> Used;
  std::vector<Member> SameDataCentre;
  for (const Member &Place : inCopyOrder(Shard, WithFolders)) {
    if (Used.insert(Place.DataCentre).second)
      Chosen.push_back(Place);
    else
      SameDataCentre.push_back(Place);
  }
  Chosen.insert(Chosen.end(), SameDataCentre.begin(), SameDataCentre.end());
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

ClaimDecision decideClaim(const ClaimFacts &Facts, const ClaimLimits &Limits) {
  if (Facts.Held)
    return decideHeld(Facts, Limits);
  const bool OwnedElsewhere = Facts.Owner && *Facts.Owner != Facts.Self &&
                              Facts.OwnerState != MemberState::Gone;
  if (OwnedElsewhere)
    return wait(Duration(0), "the owner is there");
  if (!isAmong(Facts.Self, Facts.Entries))
    return wait(Duration(0), "this entry is leaving");
  const Duration HeadStart = headStart(Facts, Limits);
  if (Facts.OwnerlessFor < HeadStart)
    return wait(HeadStart - Facts.OwnerlessFor, "another claim goes first");
  if (!Facts.Copies.empty() && usableCopies(Facts) == 0)
    return wait(Limits.SuspicionPeriod, "no copy can be reached");
  if (Facts.ClaimsInFlight >= Limits.ClaimsInFlight)
    return wait(Duration(0), "enough claims are in flight");
  return {ClaimAction::Claim, Duration(0), std::nullopt,
          Facts.Owner ? "the owner is gone" : "nobody owns it"};
}

Duration claimDelay(ShardId Shard, std::size_t OwnerlessShards,
                    double ClaimsPerSecond) {
  if (OwnerlessShards <= 1 || ClaimsPerSecond <= 0)
    return Duration(0);
  const double WindowUs =
      static_cast<double>(OwnerlessShards) / ClaimsPerSecond * 1e6;
  const double Share =
      static_cast<double>(stableHash(std::to_string(Shard), DelaySeed)) /
      18446744073709551616.0;
  return Duration(static_cast<Duration::rep>(WindowUs * Share));
}

const char *nameOf(ClaimAction Action) {
  constexpr const char *Names[] = {"keep", "claim", "wait", "hand over",
                                   "recopy"};
  return Names[static_cast<int>(Action)];
}

std::ostream &operator<<(std::ostream &Out, ClaimAction Action) {
  return Out << nameOf(Action);
}

} // namespace tamarack
