/// A fake of one region's entries taking over the shards of lost ones.
///
/// It drives decideClaim() for the best-ranked survivors of every orphaned
/// shard, with a fake of the platform's service that carries out one write
/// after another at a fixed rate:
///
///   TakeOver Result = runTakeOver({400, 134, 8192}, ClaimLimits());
///
/// The draw is seeded, so that the same plan gives the same counts.
#ifndef TAMARACK_MEMBERS_BENCH_TAKEOVERFAKE_H
#define TAMARACK_MEMBERS_BENCH_TAKEOVERFAKE_H

#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace tamarack {

inline InstanceId entryNamed(std::size_t Number) {
  return InstanceId("entry-" + std::to_string(Number));
}

inline std::vector<InstanceId> entriesNamed(std::size_t Count) {
  std::vector<InstanceId> Entries;
  for (std::size_t I = 0; I < Count; ++I)
    Entries.push_back(entryNamed(I));
  return Entries;
}

/// The preferred owner of every shard.
inline std::vector<InstanceId> ownersOf(std::uint32_t Shards,
                                        const std::vector<InstanceId> &Among) {
  std::vector<InstanceId> Owners;
  for (ShardId Shard = 0; Shard < Shards; ++Shard)
    Owners.push_back(*preferredOwner(Shard, Among));
  return Owners;
}

struct TakeOverPlan {
  std::size_t Entries = 4;
  std::size_t Lost = 1;
  std::uint32_t Shards = 1024;
  double WritesPerSecond = 300;
  /// The lost entries are back, as new incarnations, when the rest notice.
  bool Restarted = false;
  /// How far apart the survivors notice the loss.
  Duration NoticeSpread = std::chrono::milliseconds(500);
  /// Until the others know of a change of ownership.
  Duration ChangeSpread = std::chrono::milliseconds(100);
};

struct TakeOver {
  std::size_t Moved = 0;
  std::size_t Attempts = 0;
  std::size_t WrongOwner = 0;
  std::size_t PeakAttemptsPerSecond = 0;
  /// The longest wait of an attempt for the platform's service.
  Duration LongestWrite{0};
  Duration Took{0};
};

class TakeOverFake {
public:
  TakeOverFake(const TakeOverPlan &Plan, const ClaimLimits &Limits)
      : Plan(Plan), Limits(Limits) {
    const auto All = entriesNamed(Plan.Entries);
    Survivors.assign(All.begin() + static_cast<long>(Plan.Lost), All.end());
    const std::set<InstanceId> Alive(Survivors.begin(), Survivors.end());
    if (Plan.Restarted)
      Survivors = All;
    const auto Before = ownersOf(Plan.Shards, All);
    for (ShardId Shard = 0; Shard < Plan.Shards; ++Shard)
      if (!Alive.count(Before[Shard]))
        Orphans[Shard] = {Before[Shard], std::nullopt, TimePoint()};
  }

  TakeOver run() {
    scheduleFirstLooks();
    while (!Events.empty()) {
      const Event Next = Events.top();
      Events.pop();
      if (Next.IsWrite)
        finishWrite(Next);
      else
        look(Next);
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
    std::uint64_t Order;
    bool IsWrite;
    ShardId Shard;
    InstanceId Entry;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  /// Worse-ranked survivors never get their turn within a run.
  static constexpr std::size_t RanksFollowed = 3;

  void scheduleFirstLooks() {
    std::mt19937_64 Draw(20261203);
    for (const InstanceId &Entry : Survivors)
      NoticedAt[Entry] = TimePoint(Duration(static_cast<Duration::rep>(
          Draw() % static_cast<std::uint64_t>(Plan.NoticeSpread.count() + 1))));
    for (const auto &[Shard, Known] : Orphans) {
      auto Ranked = preference(Shard, Survivors);
      Ranked.resize(std::min(Ranked.size(), RanksFollowed));
      for (const InstanceId &Entry : Ranked)
        push(NoticedAt[Entry], false, Shard, Entry);
    }
  }

  void push(TimePoint At, bool IsWrite, ShardId Shard,
            const InstanceId &Entry) {
    Events.push({At, ++Pushed, IsWrite, Shard, Entry});
  }

  void look(const Event &Now) {
    const Orphan &Known = Orphans.at(Now.Shard);
    const bool Settled =
        Known.Owner && (*Known.Owner == Now.Entry ||
                        Now.At - Known.Since >= Plan.ChangeSpread);
    if (Settled)
      return;
    ClaimFacts Facts;
    Facts.Shard = Now.Shard;
    Facts.Self = Now.Entry;
    Facts.Entries = Survivors;
    Facts.Owner = Known.LostOwner;
    Facts.OwnerlessFor = Now.At - NoticedAt[Now.Entry];
    Facts.Copies = {MemberState::Live, MemberState::Gone};
    Facts.OwnerlessShards = Orphans.size();
    Facts.ClaimsInFlight = InFlight[Now.Entry];
    const ClaimDecision Next = decideClaim(Facts, Limits);
    if (Next.Action == ClaimAction::Claim)
      startWrite(Now);
    else
      push(Now.At + std::max<Duration>(Next.After, Pause), false, Now.Shard,
           Now.Entry);
  }

  void startWrite(const Event &Now) {
    const Duration Each(static_cast<Duration::rep>(1e6 / Plan.WritesPerSecond));
    ServiceFreeAt = std::max(ServiceFreeAt, Now.At) + Each;
    Result.LongestWrite =
        std::max<Duration>(Result.LongestWrite, ServiceFreeAt - Now.At);
    ++Result.Attempts;
    ++InFlight[Now.Entry];
    AttemptedAt.push_back(Now.At);
    push(ServiceFreeAt, true, Now.Shard, Now.Entry);
  }

  void finishWrite(const Event &Now) {
    --InFlight[Now.Entry];
    Orphan &Known = Orphans.at(Now.Shard);
    if (Known.Owner)
      return;
    Known.Owner = Now.Entry;
    Known.Since = Now.At;
    ++Result.Moved;
    if (Now.Entry != *preferredOwner(Now.Shard, Survivors))
      ++Result.WrongOwner;
    Result.Took = std::max<Duration>(Result.Took, Now.At - TimePoint());
  }

  std::size_t peakPerSecond() const {
    std::size_t Peak = 0;
    std::size_t From = 0;
    for (std::size_t To = 0; To < AttemptedAt.size(); ++To) {
      while (AttemptedAt[To] - AttemptedAt[From] >= std::chrono::seconds(1))
        ++From;
      Peak = std::max(Peak, To - From + 1);
    }
    return Peak;
  }

  /// Until an entry looks again at a shard that only waits for its turn.
  static constexpr Duration Pause = std::chrono::milliseconds(10);

  TakeOverPlan Plan;
  ClaimLimits Limits;
  std::vector<InstanceId> Survivors;
  std::map<ShardId, Orphan> Orphans;
  std::map<InstanceId, TimePoint> NoticedAt;
  std::map<InstanceId, std::size_t> InFlight;
  std::priority_queue<Event> Events;
  std::uint64_t Pushed = 0;
  TimePoint ServiceFreeAt;
  std::vector<TimePoint> AttemptedAt;
  TakeOver Result;
};

inline TakeOver runTakeOver(const TakeOverPlan &Plan,
                            const ClaimLimits &Limits) {
  return TakeOverFake(Plan, Limits).run();
}

/// The periods from an owner's last heartbeat to a survivor's claim.
inline double heartbeatsToClaim(bool ConnectionBreaks) {
  constexpr Duration TickPeriod = std::chrono::milliseconds(100);
  Member Owner;
  Owner.Instance = entryNamed(0);
  Owner.Life = 1;
  const TimePoint Start{};
  MemberTable Table = onIntroduction({}, Owner, Start);
  if (ConnectionBreaks)
    Table = onLinkLost(std::move(Table), Owner.Instance, Start);
  ClaimFacts Facts;
  Facts.Self = entryNamed(1);
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
