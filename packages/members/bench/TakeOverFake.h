/// A simulation in which the entries of one region take over the shards of lost
/// entries.
///
/// Calls decideClaim() for the best-ranked survivors of every orphaned shard.
/// The simulated platform service executes writes one after another at a fixed
/// rate:
///
///   TakeOverResult Result = runTakeOver({400, 134, 8192}, ClaimLimits());
///
/// The random numbers are seeded, so the same plan gives the same result.
#ifndef TAMARACK_MEMBERS_BENCH_TAKEOVERFAKE_H
#define TAMARACK_MEMBERS_BENCH_TAKEOVERFAKE_H

#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace tamarack {

inline InstanceId makeEntry(std::size_t Number) {
  return InstanceId("entry-" + std::to_string(Number));
}

inline std::vector<InstanceId> makeEntries(std::size_t Count) {
  std::vector<InstanceId> Entries;
  for (std::size_t I = 0; I < Count; ++I)
    Entries.push_back(makeEntry(I));
  return Entries;
}

/// Returns the preferred owner of every shard.
inline std::vector<InstanceId>
ownersOf(std::uint32_t Shards, const std::vector<InstanceId> &Entries) {
  std::vector<InstanceId> Owners;
  for (ShardId Shard = 0; Shard < Shards; ++Shard)
    Owners.push_back(*preferredOwner(Shard, Entries));
  return Owners;
}

struct TakeOverPlan {
  std::size_t Entries = 4;
  std::size_t Lost = 1;
  std::uint32_t Shards = 1024;
  double WritesPerSecond = 300;
  /// Whether the lost entries have restarted, as new incarnations, by the time
  /// the others detect the loss.
  bool Restarted = false;
  /// The survivors detect the loss at random times within this period.
  Duration DetectionSpread = std::chrono::milliseconds(500);
  /// The time until other entries learn of a change of ownership.
  Duration PropagationDelay = std::chrono::milliseconds(100);
};

struct TakeOverResult {
  std::size_t MovedShards = 0;
  std::size_t Attempts = 0;
  /// Shards that were claimed by another entry than the preferred owner.
  std::size_t NonPreferredOwners = 0;
  std::size_t PeakAttemptsPerSecond = 0;
  /// The longest time from a claim attempt to the end of its write.
  Duration MaxWriteLatency{0};
  /// The time from the loss to the last change of ownership.
  Duration Elapsed{0};
};

class TakeOverFake {
public:
  TakeOverFake(const TakeOverPlan &Plan, const ClaimLimits &Limits)
      : Plan(Plan), Limits(Limits) {
    const auto All = makeEntries(Plan.Entries);
    Survivors.assign(All.begin() + static_cast<long>(Plan.Lost), All.end());
    const std::set<InstanceId> Alive(Survivors.begin(), Survivors.end());
    if (Plan.Restarted)
      Survivors = All;
    const auto Before = ownersOf(Plan.Shards, All);
    for (ShardId Shard = 0; Shard < Plan.Shards; ++Shard)
      if (!Alive.count(Before[Shard]))
        Orphans[Shard] = {Before[Shard], std::nullopt, TimePoint()};
  }

  TakeOverResult run() {
    scheduleFirstChecks();
    while (!Events.empty()) {
      const Event Next = Events.top();
      Events.pop();
      if (Next.IsWrite)
        finishWrite(Next);
      else
        checkShard(Next);
    }
    Result.PeakAttemptsPerSecond = peakPerSecond();
    return Result;
  }

private:
  struct Orphan {
    InstanceId LostOwner;
    std::optional<InstanceId> Owner;
    TimePoint Since;
  };
  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    bool IsWrite;
    ShardId Shard;
    InstanceId Entry;
    bool operator<(const Event &Other) const {
      return std::tie(At, Sequence) > std::tie(Other.At, Other.Sequence);
    }
  };
  /// Survivors of a lower rank never get to claim during a run, so they are not
  /// simulated.
  static constexpr std::size_t SimulatedRanks = 3;

  void scheduleFirstChecks() {
    std::mt19937_64 Random(20261203);
    for (const InstanceId &Entry : Survivors)
      DetectedAt[Entry] = TimePoint(Duration(static_cast<Duration::rep>(
          Random() %
          static_cast<std::uint64_t>(Plan.DetectionSpread.count() + 1))));
    for (const auto &[Shard, Orphaned] : Orphans) {
      auto Ranked = ownerPreference(Shard, Survivors);
      Ranked.resize(std::min(Ranked.size(), SimulatedRanks));
      for (const InstanceId &Entry : Ranked)
        push(DetectedAt[Entry], false, Shard, Entry);
    }
  }

  void push(TimePoint At, bool IsWrite, ShardId Shard,
            const InstanceId &Entry) {
    Events.push({At, ++LastSequence, IsWrite, Shard, Entry});
  }

  void checkShard(const Event &Current) {
    const Orphan &Orphaned = Orphans.at(Current.Shard);
    const bool Settled = Orphaned.Owner &&
                         (*Orphaned.Owner == Current.Entry ||
                          Current.At - Orphaned.Since >= Plan.PropagationDelay);
    if (Settled)
      return;
    ClaimFacts Facts;
    Facts.Shard = Current.Shard;
    Facts.Self = Current.Entry;
    Facts.Entries = Survivors;
    Facts.Owner = Orphaned.LostOwner;
    Facts.OwnerlessFor = Current.At - DetectedAt[Current.Entry];
    Facts.Copies = {MemberState::Live, MemberState::Gone};
    Facts.OwnerlessShards = Orphans.size();
    Facts.ClaimsInFlight = InFlight[Current.Entry];
    const ClaimDecision Next = decideClaim(Facts, Limits);
    if (Next.Action == ClaimAction::Claim)
      startWrite(Current);
    else
      push(Current.At + std::max<Duration>(Next.RetryAfter, RecheckInterval),
           false, Current.Shard, Current.Entry);
  }

  void startWrite(const Event &Current) {
    const Duration WriteTime(
        static_cast<Duration::rep>(1e6 / Plan.WritesPerSecond));
    ServiceFreeAt = std::max(ServiceFreeAt, Current.At) + WriteTime;
    Result.MaxWriteLatency =
        std::max<Duration>(Result.MaxWriteLatency, ServiceFreeAt - Current.At);
    ++Result.Attempts;
    ++InFlight[Current.Entry];
    AttemptTimes.push_back(Current.At);
    push(ServiceFreeAt, true, Current.Shard, Current.Entry);
  }

  void finishWrite(const Event &Current) {
    --InFlight[Current.Entry];
    Orphan &Orphaned = Orphans.at(Current.Shard);
    if (Orphaned.Owner)
      return;
    Orphaned.Owner = Current.Entry;
    Orphaned.Since = Current.At;
    ++Result.MovedShards;
    if (Current.Entry != *preferredOwner(Current.Shard, Survivors))
      ++Result.NonPreferredOwners;
    Result.Elapsed =
        std::max<Duration>(Result.Elapsed, Current.At - TimePoint());
  }

  std::size_t peakPerSecond() const {
    std::size_t Peak = 0;
    std::size_t From = 0;
    for (std::size_t To = 0; To < AttemptTimes.size(); ++To) {
      while (AttemptTimes[To] - AttemptTimes[From] >= std::chrono::seconds(1))
        ++From;
      Peak = std::max(Peak, To - From + 1);
    }
    return Peak;
  }

  /// The minimum time until an entry checks a shard again that it may not claim
  /// yet.
  static constexpr Duration RecheckInterval = std::chrono::milliseconds(10);

  TakeOverPlan Plan;
  ClaimLimits Limits;
  std::vector<InstanceId> Survivors;
  std::map<ShardId, Orphan> Orphans;
  std::map<InstanceId, TimePoint> DetectedAt;
  std::map<InstanceId, std::size_t> InFlight;
  std::priority_queue<Event> Events;
  std::uint64_t LastSequence = 0;
  TimePoint ServiceFreeAt;
  std::vector<TimePoint> AttemptTimes;
  TakeOverResult Result;
};

inline TakeOverResult runTakeOver(const TakeOverPlan &Plan,
                                  const ClaimLimits &Limits) {
  return TakeOverFake(Plan, Limits).run();
}

/// Returns the number of heartbeat periods from the last heartbeat of an owner
/// to the claim by a survivor.
inline double heartbeatsToClaim(bool ConnectionBreaks) {
  constexpr Duration TickPeriod = std::chrono::milliseconds(100);
  Member Owner;
  Owner.Instance = makeEntry(0);
  Owner.Life = 1;
  const TimePoint Start{};
  MemberTable Table = onIntroduction({}, Owner, Start);
  if (ConnectionBreaks)
    Table = onLinkLost(std::move(Table), Owner.Instance, Start);
  ClaimFacts Facts;
  Facts.Self = makeEntry(1);
  Facts.Entries = {Facts.Self};
  Facts.Owner = Owner.Instance;
  Facts.Copies = {MemberState::Live, MemberState::Live};
  TimePoint Now = Start;
  do {
    Now += TickPeriod;
    Table = onTick(std::move(Table), Now);
    Facts.OwnerState = stateOf(Table, Owner.Instance, Owner.Life);
  } while (decideClaim(Facts, ClaimLimits()).Action != ClaimAction::Claim);
  return std::chrono::duration<double>(Now - Start) /
         Table.Timing.HeartbeatPeriod;
}

} // namespace tamarack

#endif // TAMARACK_MEMBERS_BENCH_TAKEOVERFAKE_H
