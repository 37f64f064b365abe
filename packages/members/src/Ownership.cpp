#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack {
namespace {

/// Different seeds keep the hashes for owners, copies and delays independent.
constexpr std::uint64_t OwnerSeed = 0x6f776e6572ULL;
constexpr std::uint64_t CopySeed = 0x636f7079ULL;
constexpr std::uint64_t DelaySeed = 0x64656c6179ULL;

/// Rendezvous weights of the instances for one shard.
class ShardWeights {
public:
  ShardWeights(ShardId Shard, std::uint64_t Seed)
      : ShardHash(stableHash(std::to_string(Shard), Seed)) {}

  std::uint64_t of(const InstanceId &Instance) const {
    return stableHash(Instance.text(), ShardHash);
  }

private:
  std::uint64_t ShardHash;
};

/// A weight and the instance that has it. isHeavier() sorts the greatest weight
/// first and equal weights by instance id.
using Weighted = std::pair<std::uint64_t, InstanceId>;

bool isHeavier(const Weighted &Left, const Weighted &Right) {
  if (Left.first != Right.first)
    return Left.first > Right.first;
  return Left.second < Right.second;
}

std::vector<Member> sortByCopyWeight(ShardId Shard,
                                     const std::vector<Member> &From) {
  const ShardWeights Weights(Shard, CopySeed);
  std::vector<std::pair<Weighted, Member>> Ranked;
  for (const Member &Candidate : From)
    if (!Candidate.Folder.empty())
      Ranked.push_back(
          {{Weights.of(Candidate.Instance), Candidate.Instance}, Candidate});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return isHeavier(Left.first, Right.first);
            });
  std::vector<Member> Ordered;
  Ordered.reserve(Ranked.size());
  for (auto &[Weight, Candidate] : Ranked)
    Ordered.push_back(std::move(Candidate));
  return Ordered;
}

bool contains(const InstanceId &Instance, const std::vector<InstanceId> &In) {
  return std::find(In.begin(), In.end(), Instance) != In.end();
}

bool isLost(MemberState Copy) { return Copy >= MemberState::Leaving; }

std::size_t usableCopies(const ClaimFacts &Facts) {
  return Facts.Copies.size() -
         std::count_if(Facts.Copies.begin(), Facts.Copies.end(), isLost);
}

bool needsCopy(const ClaimFacts &Facts) {
  const std::size_t UsableCopies = usableCopies(Facts);
  return UsableCopies < Facts.TargetCopies &&
         Facts.LiveCandidates > UsableCopies;
}

ClaimDecision waitDecision(Duration RetryAfter, const char *Reason) {
  return {ClaimAction::Wait, RetryAfter, std::nullopt, Reason};
}

/// Returns the decision of the process that holds the shard.
ClaimDecision decideForHolder(const ClaimFacts &Facts,
                              const ClaimLimits &Limits) {
  const auto Preferred = preferredOwner(Facts.Shard, Facts.Entries);
  const bool Leaving = !contains(Facts.Self, Facts.Entries);
  const bool IsPreferredElsewhere = Preferred && *Preferred != Facts.Self;
  const bool PreferredIsStable =
      Leaving || Facts.PreferredLiveFor >= Limits.MinPreferredLiveTime;
  const bool AtHandOverLimit =
      !Leaving && Facts.HandOversInFlight >= Limits.MaxHandOversInFlight;
  if (IsPreferredElsewhere && PreferredIsStable && !AtHandOverLimit)
    return {ClaimAction::HandOver, Duration(0), Preferred,
            Leaving ? "leaving" : "another entry is preferred"};
  if (needsCopy(Facts))
    return {ClaimAction::ReplaceCopy, Duration(0), std::nullopt,
            "a copy is lost or leaving"};
  return {ClaimAction::Keep, Duration(0), std::nullopt, "held"};
}

/// Returns how long this entry leaves the shard to better-ranked entries.
Duration claimBackoff(const ClaimFacts &Facts, const ClaimLimits &Limits) {
  // If the record names this entry, the shard was handed over to it or held by
  // its previous incarnation, and no other entry has precedence.
  const std::size_t BetterRanked =
      Facts.Owner == Facts.Self
          ? 0
          : rankOf(Facts.Shard, Facts.Entries, Facts.Self);
  const Duration Delay = Facts.HasWaitingCall
                             ? Duration(0)
                             : claimDelay(Facts.Shard, Facts.OwnerlessShards,
                                          Limits.MaxClaimsPerSecond);
  return Limits.RankDelay * static_cast<Duration::rep>(BetterRanked) + Delay;
}

} // namespace

std::vector<InstanceId>
ownerPreference(ShardId Shard, const std::vector<InstanceId> &Entries) {
  const ShardWeights Weights(Shard, OwnerSeed);
  std::vector<Weighted> Ranked;
  Ranked.reserve(Entries.size());
  for (const InstanceId &Entry : Entries)
    Ranked.emplace_back(Weights.of(Entry), Entry);
  std::sort(Ranked.begin(), Ranked.end(), isHeavier);
  std::vector<InstanceId> Ordered;
  Ordered.reserve(Ranked.size());
  for (Weighted &Entry : Ranked)
    Ordered.push_back(std::move(Entry.second));
  return Ordered;
}

std::size_t rankOf(ShardId Shard, const std::vector<InstanceId> &Entries,
                   const InstanceId &Self) {
  const ShardWeights Weights(Shard, OwnerSeed);
  const Weighted Own(Weights.of(Self), Self);
  return std::count_if(Entries.begin(), Entries.end(),
                       [&](const InstanceId &Entry) {
                         return isHeavier({Weights.of(Entry), Entry}, Own);
                       });
}

std::optional<InstanceId>
preferredOwner(ShardId Shard, const std::vector<InstanceId> &Entries) {
  const ShardWeights Weights(Shard, OwnerSeed);
  const InstanceId *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const InstanceId &Entry : Entries) {
    const std::uint64_t Weight = Weights.of(Entry);
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
                                 const std::vector<Member> &Candidates,
                                 std::size_t Count) {
  std::vector<Member> Chosen;
  std::set<DataCentreId> Used;
  std::vector<Member> SameDataCentre;
  for (const Member &Candidate : sortByCopyWeight(Shard, Candidates)) {
    if (Used.insert(Candidate.DataCentre).second)
      Chosen.push_back(Candidate);
    else
      SameDataCentre.push_back(Candidate);
  }
  Chosen.insert(Chosen.end(), SameDataCentre.begin(), SameDataCentre.end());
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

ClaimDecision decideClaim(const ClaimFacts &Facts, const ClaimLimits &Limits) {
  if (Facts.IsHeld)
    return decideForHolder(Facts, Limits);
  const bool OwnedByOther = Facts.Owner && *Facts.Owner != Facts.Self &&
                            Facts.OwnerState != MemberState::Gone;
  if (OwnedByOther)
    return waitDecision(Duration(0), "the owner is available");
  if (!contains(Facts.Self, Facts.Entries))
    return waitDecision(Duration(0), "this entry is leaving");
  const Duration Backoff = claimBackoff(Facts, Limits);
  if (Facts.OwnerlessFor < Backoff)
    return waitDecision(Backoff - Facts.OwnerlessFor,
                        "better-ranked entries or paced claims go first");
  if (!Facts.Copies.empty() && usableCopies(Facts) == 0)
    return waitDecision(Limits.RankDelay, "no copy is reachable");
  if (Facts.ClaimsInFlight >= Limits.MaxClaimsInFlight)
    return waitDecision(Duration(0), "too many claims are in flight");
  return {ClaimAction::Claim, Duration(0), std::nullopt,
          Facts.Owner ? "the owner is gone" : "the shard has no owner"};
}

Duration claimDelay(ShardId Shard, std::size_t OwnerlessShards,
                    double MaxClaimsPerSecond) {
  if (OwnerlessShards <= 1 || MaxClaimsPerSecond <= 0)
    return Duration(0);
  const double WindowUs =
      static_cast<double>(OwnerlessShards) / MaxClaimsPerSecond * 1e6;
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
