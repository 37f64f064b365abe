/// A fake of entries that route programs to endpoints by stale load reports.
///
/// It is a discrete-event simulation. Each endpoint runs a few calls at a time,
/// queues the others, and caches the most recently used prompts. Each entry
/// owns some programs, knows the load of the endpoints in its subset from their
/// last reports and replies, and chooses endpoints by one of the policies:
///
///   RoutingResult Result = runRouting(RoutingPlan(), Policy::ByCost);
///
/// All random generators have fixed seeds, and each program has its own
/// generator. Hence a plan always yields the same results, and all policies are
/// compared on the same programs.
#ifndef TAMARACK_ROUTING_BENCH_ROUTINGFAKE_H
#define TAMARACK_ROUTING_BENCH_ROUTINGFAKE_H

#include "PromptCacheFake.h"
#include "RoutingPlan.h"

#include "tamarack/routing/ChooseEndpoint.h"
#include "tamarack/routing/Subset.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace tamarack {

class RoutingFake {
public:
  RoutingFake(const RoutingPlan &Plan, Policy RoutingPolicy)
      : Plan(Plan), RoutingPolicy(RoutingPolicy), RoutingRng(Seed),
        ArrivalRng(Seed + 1) {
    Servers.resize(Plan.Endpoints);
    for (std::size_t I = 0; I < Plan.Entries; ++I)
      EntryStates.push_back(makeEntryState(I));
    MeanArrivalSeconds =
        ServiceSeconds * static_cast<double>(Plan.Turns) /
        (Plan.Utilisation * Slots * static_cast<double>(Plan.Endpoints));
  }

  RoutingResult run() {
    push(drawExponential(MeanArrivalSeconds, ArrivalRng), Event::Arrival, 0, 0);
    push(SamplePeriod, Event::Sample, 0, 0);
    if (Plan.LeavesAt.count() > 0)
      push(Plan.LeavesAt, Event::Leave, 0, 0);
    if (Plan.ReportPeriod.count() > 0)
      scheduleReports();
    while (Events.top().At < TimePoint(Plan.RunTime)) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      handle(Next);
    }
    return summary();
  }

private:
  struct Event {
    enum Kind { Arrival, Turn, Done, Report, Sample, Leave };
    TimePoint At;
    /// Orders events with the same time.
    std::uint64_t Order;
    Kind Type;
    /// The index of the program, entry or endpoint.
    std::size_t First;
    /// The index of the endpoint, or of the slot in the subset of the entry.
    std::size_t Second;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct Program {
    std::size_t EntryIndex;
    TokenCount Tokens;
    std::size_t TurnsLeft;
    TimePoint StartedAt;
    TimePoint SentAt;
    std::optional<std::size_t> LastTarget;
    /// The cached tokens that its entry knows of from the replies.
    std::map<EndpointId, TokenCount> CachedPromptTokens;
    std::mt19937_64 Rng;
  };
  struct Server {
    bool Leaving = false;
    std::uint32_t Running = 0;
    std::deque<std::size_t> Waiting;
    PromptCacheFake Cache;
  };
  struct EntryState {
    /// The indexes of the endpoints in its subset, parallel to Views.
    std::vector<std::size_t> Watched;
    std::vector<EndpointView> Views;
    std::size_t NextRoundRobin = 0;
  };

  static constexpr std::uint64_t Seed = 20261203;
  static constexpr std::uint32_t Slots = 8;
  static constexpr TokenCount FirstPrompt = 4000;
  static constexpr TokenCount GrowthPerTurn = 500;
  static constexpr double DecodeSeconds = 2.0;
  /// Decoding, and the prefill of the average uncached part of a prompt.
  static constexpr double ServiceSeconds = 2.5;
  static constexpr double MeanPauseSeconds = 3.0;
  static constexpr Duration SamplePeriod = std::chrono::milliseconds(500);
  static constexpr Duration WarmUp = std::chrono::seconds(30);

  static EndpointId endpointNamed(std::size_t Number) {
    return EndpointId("endpoint-" + std::to_string(Number));
  }

  EntryState makeEntryState(std::size_t Number) const {
    std::vector<InstanceId> Entries;
    for (std::size_t I = 0; I < Plan.Entries; ++I)
      Entries.emplace_back("entry-" + std::to_string(I));
    std::vector<EndpointId> Endpoints;
    std::map<EndpointId, std::size_t> Numbers;
    for (std::size_t I = 0; I < Plan.Endpoints; ++I) {
      Endpoints.push_back(endpointNamed(I));
      Numbers[Endpoints.back()] = I;
    }
    EntryState State;
    const SubsetLimits Limits{Plan.SubsetTarget, 2};
    for (const EndpointId &Watched :
         subsetOf(Entries[Number], Entries, Endpoints, Limits)) {
      State.Watched.push_back(Numbers[Watched]);
      EndpointView View;
      View.Endpoint = Watched;
      View.Region = RegionId("andes");
      View.Limit = Slots;
      State.Views.push_back(View);
    }
    return State;
  }

  static double uniform(std::mt19937_64 &Rng) {
    return std::uniform_real_distribution<double>(0, 1)(Rng);
  }

  static Duration seconds(double Count) {
    return Duration(static_cast<Duration::rep>(Count * 1e6));
  }

  static Duration drawExponential(double MeanSeconds, std::mt19937_64 &Rng) {
    return seconds(-MeanSeconds * std::log(1 - uniform(Rng)));
  }

  void push(Duration Delay, Event::Kind Type, std::size_t First,
            std::size_t Second) {
    Events.push({Now + Delay, ++PushedEvents, Type, First, Second});
  }

  void scheduleReports() {
    for (std::size_t Entry = 0; Entry < EntryStates.size(); ++Entry)
      for (std::size_t Slot = 0; Slot < EntryStates[Entry].Watched.size();
           ++Slot)
        push(seconds(uniform(RoutingRng) * 1e-6 *
                     static_cast<double>(Plan.ReportPeriod.count())),
             Event::Report, Entry, Slot);
  }

  void handle(const Event &Next) {
    switch (Next.Type) {
    case Event::Arrival:
      startProgram();
      break;
    case Event::Turn:
      sendCall(Next.First);
      break;
    case Event::Done:
      finishCall(Next.First, Next.Second);
      break;
    case Event::Report:
      report(EntryStates[Next.First], Next.Second);
      push(Plan.ReportPeriod, Event::Report, Next.First, Next.Second);
      break;
    case Event::Leave:
      leave(Next.First);
      break;
    case Event::Sample:
      sampleImbalance();
      push(SamplePeriod, Event::Sample, 0, 0);
      break;
    }
  }

  void startProgram() {
    Program Next{};
    Next.EntryIndex = ArrivalRng() % Plan.Entries;
    Next.Tokens = FirstPrompt / 2 + ArrivalRng() % FirstPrompt;
    Next.TurnsLeft = Plan.Turns;
    Next.StartedAt = Now;
    Next.Rng.seed(ArrivalRng());
    Programs.push_back(std::move(Next));
    sendCall(Programs.size() - 1);
    push(drawExponential(MeanArrivalSeconds, ArrivalRng), Event::Arrival, 0, 0);
  }

  /// Tells all entries that \p Target leaves. It still finishes its calls.
  void leave(std::size_t Target) {
    Servers[Target].Leaving = true;
    for (EntryState &Entry : EntryStates)
      for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
        if (Entry.Watched[Slot] == Target)
          Entry.Views[Slot].State = MemberState::Leaving;
  }

  void report(EntryState &Entry, std::size_t Slot) {
    const Server &From = Servers[Entry.Watched[Slot]];
    EndpointView &View = Entry.Views[Slot];
    View.Running = From.Running;
    View.Waiting = static_cast<std::uint32_t>(From.Waiting.size());
    View.ExpectedWait = expectedWait(From);
    View.ReportedAt = Now;
    View.UnreportedWait = Duration(0);
  }

  Duration expectedWait(const Server &From) const {
    if (From.Running < Slots)
      return Duration(0);
    const auto Ahead = static_cast<double>(From.Waiting.size() + 1);
    return seconds(Ahead * ServiceSeconds / Slots);
  }

  void sendCall(std::size_t Number) {
    Program &Caller = Programs[Number];
    EntryState &Entry = EntryStates[Caller.EntryIndex];
    if (Plan.ReportPeriod.count() == 0)
      for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
        report(Entry, Slot);
    const std::size_t Slot = choose(Entry, Caller);
    const std::size_t Target = Entry.Watched[Slot];
    Entry.Views[Slot].UnreportedWait += seconds(ServiceSeconds / Slots);
    if (Servers[Target].Leaving)
      ++Result.SentToLeaving;
    if (Caller.LastTarget && *Caller.LastTarget != Target)
      ++Result.Moves;
    Caller.LastTarget = Target;
    Caller.SentAt = Now;
    Servers[Target].Waiting.push_back(Number);
    startQueuedCalls(Target);
  }

  std::size_t choose(EntryState &Entry, const Program &Caller) {
    if (RoutingPolicy == Policy::RoundRobin)
      return Entry.NextRoundRobin++ % Entry.Views.size();
    if (RoutingPolicy == Policy::LeastLoaded)
      return leastLoaded(Entry);
    RoutingRequest Request;
    Request.PromptTokens = Caller.Tokens;
    Request.CachedPromptTokens = Caller.CachedPromptTokens;
    Request.Home = RegionId("andes");
    if (Caller.LastTarget)
      Request.LastEndpoint = endpointNamed(*Caller.LastTarget);
    const auto Found =
        chooseEndpoint(Entry.Views, Request, Plan.Model, RoutingRng());
    for (std::size_t Slot = 0; Slot < Entry.Views.size(); ++Slot)
      if (Entry.Views[Slot].Endpoint == Found->Endpoint)
        return Slot;
    return 0;
  }

  /// The slot with the lowest reported load; of several, the first after a
  /// random offset.
  std::size_t leastLoaded(const EntryState &Entry) {
    const std::size_t Size = Entry.Views.size();
    const std::size_t Offset = RoutingRng() % Size;
    std::size_t Best = Offset;
    for (std::size_t I = 1; I < Size; ++I) {
      const std::size_t Slot = (Offset + I) % Size;
      const auto Load = [&](std::size_t Index) {
        return Entry.Views[Index].Running + Entry.Views[Index].Waiting;
      };
      if (Load(Slot) < Load(Best))
        Best = Slot;
    }
    return Best;
  }

  void startQueuedCalls(std::size_t Target) {
    Server &Host = Servers[Target];
    while (Host.Running < Slots && !Host.Waiting.empty()) {
      const std::size_t Number = Host.Waiting.front();
      Host.Waiting.pop_front();
      ++Host.Running;
      Program &Caller = Programs[Number];
      const TokenCount Cached = takeCached(Host, Number, Caller);
      const double Prefill = static_cast<double>(Caller.Tokens - Cached) /
                             Plan.Model.PrefillTokensPerSecond;
      if (Now >= TimePoint(WarmUp)) {
        ++Result.Calls;
        WaitSeconds +=
            std::chrono::duration<double>(Now - Caller.SentAt).count();
      }
      push(seconds(Prefill + DecodeSeconds * (0.5 + uniform(Caller.Rng))),
           Event::Done, Number, Target);
    }
  }

  TokenCount takeCached(Server &Host, std::size_t Number,
                        const Program &Caller) {
    const TokenCount Cached = Host.Cache.take(Number);
    if (Caller.TurnsLeft < Plan.Turns) {
      CacheableTokens += Caller.Tokens - GrowthPerTurn;
      HitTokens += Cached;
    }
    return Cached;
  }

  void finishCall(std::size_t Number, std::size_t Target) {
    Server &Host = Servers[Target];
    Program &Caller = Programs[Number];
    --Host.Running;
    Host.Cache.put(Number, Caller.Tokens);
    startQueuedCalls(Target);
    takeReply(Caller, Target);
    if (--Caller.TurnsLeft == 0)
      return finishProgram(Caller);
    Caller.Tokens += GrowthPerTurn;
    push(drawExponential(MeanPauseSeconds, Caller.Rng), Event::Turn, Number, 0);
  }

  /// Every reply carries the load of the endpoint and the tokens that it
  /// caches.
  void takeReply(Program &Caller, std::size_t Target) {
    Caller.CachedPromptTokens[endpointNamed(Target)] = Caller.Tokens;
    EntryState &Entry = EntryStates[Caller.EntryIndex];
    for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
      if (Entry.Watched[Slot] == Target)
        report(Entry, Slot);
  }

  void finishProgram(const Program &Caller) {
    ++Result.Programs;
    ProgramSeconds +=
        std::chrono::duration<double>(Now - Caller.StartedAt).count();
  }

  void sampleImbalance() {
    if (Now < TimePoint(WarmUp))
      return;
    std::size_t Longest = 0;
    std::size_t Total = 0;
    for (const Server &Host : Servers) {
      const std::size_t Calls = Host.Running + Host.Waiting.size();
      Longest = std::max(Longest, Calls);
      Total += Calls;
    }
    if (Total == 0)
      return;
    const double LoadImbalance = static_cast<double>(Longest * Servers.size()) /
                                 static_cast<double>(Total);
    ImbalanceSum += LoadImbalance;
    Result.WorstLoadImbalance =
        std::max(Result.WorstLoadImbalance, LoadImbalance);
    ++Samples;
  }

  RoutingResult summary() {
    Result.CacheHitRate =
        static_cast<double>(HitTokens) / static_cast<double>(CacheableTokens);
    Result.LoadImbalance = ImbalanceSum / static_cast<double>(Samples);
    Result.MeanWaitSeconds = WaitSeconds / static_cast<double>(Result.Calls);
    Result.MeanProgramSeconds =
        ProgramSeconds / static_cast<double>(Result.Programs);
    return Result;
  }

  RoutingPlan Plan;
  Policy RoutingPolicy;
  std::mt19937_64 RoutingRng;
  std::mt19937_64 ArrivalRng;
  double MeanArrivalSeconds = 0;
  TimePoint Now;
  std::vector<Server> Servers;
  std::vector<EntryState> EntryStates;
  std::deque<Program> Programs;
  std::priority_queue<Event> Events;
  std::uint64_t PushedEvents = 0;
  TokenCount CacheableTokens = 0;
  TokenCount HitTokens = 0;
  double WaitSeconds = 0;
  double ProgramSeconds = 0;
  double ImbalanceSum = 0;
  std::size_t Samples = 0;
  RoutingResult Result;
};

inline RoutingResult runRouting(const RoutingPlan &Plan, Policy RoutingPolicy) {
  return RoutingFake(Plan, RoutingPolicy).run();
}

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_ROUTINGFAKE_H
