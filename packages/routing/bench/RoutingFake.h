/// A fake of entries that route programs to endpoints by stale reports.
///
/// Each endpoint runs a few calls at once, queues the rest, and caches the
/// prompts of the programs that used it last. Each entry owns some programs,
/// knows the endpoints of its subset by their last reports and replies, and
/// chooses by one of the policies:
///
///   RoutingResult Result = runRouting(RoutingPlan(), Policy::ByCost);
///
/// All draws are seeded, and each program has its own: the same plan gives the
/// same counts, and two policies meet the same programs.
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
  RoutingFake(const RoutingPlan &Plan, Policy Chosen)
      : Plan(Plan), Chosen(Chosen), Choices(Seed), Arrivals(Seed + 1) {
    Servers.resize(Plan.Endpoints);
    for (std::size_t I = 0; I < Plan.Entries; ++I)
      Owners.push_back(ownerNumber(I));
    ArrivalGap =
        ServiceSeconds * static_cast<double>(Plan.Turns) /
        (Plan.Utilisation * Slots * static_cast<double>(Plan.Endpoints));
  }

  RoutingResult run() {
    push(drawGap(ArrivalGap, Arrivals), Event::Arrival, 0, 0);
    push(SamplePeriod, Event::Sample, 0, 0);
    if (Plan.LeavesAt.count() > 0)
      push(Plan.LeavesAt, Event::Leave, 0, 0);
    if (Plan.ReportPeriod.count() > 0)
      scheduleReports();
    while (Events.top().At < TimePoint(Plan.Runs)) {
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
    std::uint64_t Order;
    Kind What;
    std::size_t First;
    std::size_t Second;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct Program {
    std::size_t Owner;
    TokenCount Tokens;
    std::size_t TurnsLeft;
    TimePoint Began;
    TimePoint SentAt;
    std::optional<std::size_t> Last;
    /// What its owner believes to be cached, by the last reply.
    std::map<EndpointId, TokenCount> CachedPromptTokens;
    std::mt19937_64 Draw;
  };
  struct Server {
    bool Leaving = false;
    std::uint32_t Running = 0;
    std::deque<std::size_t> Waiting;
    PromptCacheFake Cache;
  };
  struct Owner {
    std::vector<std::size_t> Watched;
    std::vector<EndpointView> Views;
    std::size_t NextInTurn = 0;
  };

  static constexpr std::uint64_t Seed = 20261203;
  static constexpr std::uint32_t Slots = 8;
  static constexpr TokenCount FirstPrompt = 4000;
  static constexpr TokenCount GrowthPerTurn = 500;
  static constexpr double DecodeSeconds = 2.0;
  /// Decoding, and the prefill of an average prompt with some cache.
  static constexpr double ServiceSeconds = 2.5;
  static constexpr double PauseSeconds = 3.0;
  static constexpr Duration SamplePeriod = std::chrono::milliseconds(500);
  static constexpr Duration WarmUp = std::chrono::seconds(30);

  static EndpointId endpointNamed(std::size_t Number) {
    return EndpointId("endpoint-" + std::to_string(Number));
  }

  Owner ownerNumber(std::size_t Number) const {
    std::vector<InstanceId> Entries;
    for (std::size_t I = 0; I < Plan.Entries; ++I)
      Entries.emplace_back("entry-" + std::to_string(I));
    std::vector<EndpointId> Endpoints;
    std::map<EndpointId, std::size_t> Numbers;
    for (std::size_t I = 0; I < Plan.Endpoints; ++I) {
      Endpoints.push_back(endpointNamed(I));
      Numbers[Endpoints.back()] = I;
    }
    Owner Built;
    const SubsetLimits Limits{Plan.SubsetTarget, 2};
    for (const EndpointId &Watched :
         subsetOf(Entries[Number], Entries, Endpoints, Limits)) {
      Built.Watched.push_back(Numbers[Watched]);
      EndpointView View;
      View.Endpoint = Watched;
      View.Region = RegionId("andes");
      View.Limit = Slots;
      Built.Views.push_back(View);
    }
    return Built;
  }

  static double uniform(std::mt19937_64 &Draw) {
    return std::uniform_real_distribution<double>(0, 1)(Draw);
  }

  static Duration seconds(double Count) {
    return Duration(static_cast<Duration::rep>(Count * 1e6));
  }

  static Duration drawGap(double MeanSeconds, std::mt19937_64 &Draw) {
    return seconds(-MeanSeconds * std::log(1 - uniform(Draw)));
  }

  void push(Duration After, Event::Kind What, std::size_t First,
            std::size_t Second) {
    Events.push({Now + After, ++Pushed, What, First, Second});
  }

  void scheduleReports() {
    for (std::size_t Entry = 0; Entry < Owners.size(); ++Entry)
      for (std::size_t Slot = 0; Slot < Owners[Entry].Watched.size(); ++Slot)
        push(seconds(uniform(Choices) * 1e-6 *
                     static_cast<double>(Plan.ReportPeriod.count())),
             Event::Report, Entry, Slot);
  }

  void handle(const Event &Next) {
    switch (Next.What) {
    case Event::Arrival:
      arrive();
      break;
    case Event::Turn:
      send(Next.First);
      break;
    case Event::Done:
      finish(Next.First, Next.Second);
      break;
    case Event::Report:
      report(Owners[Next.First], Next.Second);
      push(Plan.ReportPeriod, Event::Report, Next.First, Next.Second);
      break;
    case Event::Leave:
      leave(Next.First);
      break;
    case Event::Sample:
      sample();
      push(SamplePeriod, Event::Sample, 0, 0);
      break;
    }
  }

  void arrive() {
    Program Next{};
    Next.Owner = Arrivals() % Plan.Entries;
    Next.Tokens = FirstPrompt / 2 + Arrivals() % FirstPrompt;
    Next.TurnsLeft = Plan.Turns;
    Next.Began = Now;
    Next.Draw.seed(Arrivals());
    Programs.push_back(std::move(Next));
    send(Programs.size() - 1);
    push(drawGap(ArrivalGap, Arrivals), Event::Arrival, 0, 0);
  }

  /// All entries hear that \p Target leaves; it finishes what it has.
  void leave(std::size_t Target) {
    Servers[Target].Leaving = true;
    for (Owner &Entry : Owners)
      for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
        if (Entry.Watched[Slot] == Target)
          Entry.Views[Slot].State = MemberState::Leaving;
  }

  void report(Owner &Entry, std::size_t Slot) {
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

  void send(std::size_t Number) {
    Program &Caller = Programs[Number];
    Owner &Entry = Owners[Caller.Owner];
    if (Plan.ReportPeriod.count() == 0)
      for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
        report(Entry, Slot);
    const std::size_t Slot = choose(Entry, Caller);
    const std::size_t Target = Entry.Watched[Slot];
    Entry.Views[Slot].UnreportedWait += seconds(ServiceSeconds / Slots);
    if (Servers[Target].Leaving)
      ++Result.SentToLeaving;
    if (Caller.Last && *Caller.Last != Target)
      ++Result.Moves;
    Caller.Last = Target;
    Caller.SentAt = Now;
    Servers[Target].Waiting.push_back(Number);
    start(Target);
  }

  std::size_t choose(Owner &Entry, const Program &Caller) {
    if (Chosen == Policy::RoundRobin)
      return Entry.NextInTurn++ % Entry.Views.size();
    if (Chosen == Policy::LeastLoaded)
      return leastLoaded(Entry);
    RoutingRequest Needs;
    Needs.PromptTokens = Caller.Tokens;
    Needs.CachedPromptTokens = Caller.CachedPromptTokens;
    Needs.Home = RegionId("andes");
    if (Caller.Last)
      Needs.LastEndpoint = endpointNamed(*Caller.Last);
    const auto Found =
        chooseEndpoint(Entry.Views, Needs, Plan.Model, Choices());
    for (std::size_t Slot = 0; Slot < Entry.Views.size(); ++Slot)
      if (Entry.Views[Slot].Endpoint == Found->Endpoint)
        return Slot;
    return 0;
  }

  /// The lowest reported load, the first in a random rotation among equals.
  std::size_t leastLoaded(const Owner &Entry) {
    const std::size_t Size = Entry.Views.size();
    const std::size_t Offset = Choices() % Size;
    std::size_t Best = Offset;
    for (std::size_t I = 1; I < Size; ++I) {
      const std::size_t Slot = (Offset + I) % Size;
      const auto Load = [&](std::size_t At) {
        return Entry.Views[At].Running + Entry.Views[At].Waiting;
      };
      if (Load(Slot) < Load(Best))
        Best = Slot;
    }
    return Best;
  }

  void start(std::size_t Target) {
    Server &At = Servers[Target];
    while (At.Running < Slots && !At.Waiting.empty()) {
      const std::size_t Number = At.Waiting.front();
      At.Waiting.pop_front();
      ++At.Running;
      Program &Caller = Programs[Number];
      const TokenCount Cached = takeCached(At, Number, Caller);
      const double Prefill = static_cast<double>(Caller.Tokens - Cached) /
                             Plan.Model.PrefillTokensPerSecond;
      if (Now >= TimePoint(WarmUp)) {
        ++Result.Calls;
        WaitSeconds +=
            std::chrono::duration<double>(Now - Caller.SentAt).count();
      }
      push(seconds(Prefill + DecodeSeconds * (0.5 + uniform(Caller.Draw))),
           Event::Done, Number, Target);
    }
  }

  TokenCount takeCached(Server &At, std::size_t Number, const Program &Caller) {
    const TokenCount Cached = At.Cache.take(Number);
    if (Caller.TurnsLeft < Plan.Turns) {
      CacheableTokens += Caller.Tokens - GrowthPerTurn;
      HitTokens += Cached;
    }
    return Cached;
  }

  void finish(std::size_t Number, std::size_t Target) {
    Server &At = Servers[Target];
    Program &Caller = Programs[Number];
    --At.Running;
    At.Cache.put(Number, Caller.Tokens);
    start(Target);
    takeReply(Caller, Target);
    if (--Caller.TurnsLeft == 0)
      return end(Caller);
    Caller.Tokens += GrowthPerTurn;
    push(drawGap(PauseSeconds, Caller.Draw), Event::Turn, Number, 0);
  }

  /// Every reply carries the endpoint's load and what it caches.
  void takeReply(Program &Caller, std::size_t Target) {
    Caller.CachedPromptTokens[endpointNamed(Target)] = Caller.Tokens;
    Owner &Entry = Owners[Caller.Owner];
    for (std::size_t Slot = 0; Slot < Entry.Watched.size(); ++Slot)
      if (Entry.Watched[Slot] == Target)
        report(Entry, Slot);
  }

  void end(const Program &Caller) {
    ++Result.Programs;
    ProgramSeconds += std::chrono::duration<double>(Now - Caller.Began).count();
  }

  void sample() {
    if (Now < TimePoint(WarmUp))
      return;
    std::size_t Longest = 0;
    std::size_t Total = 0;
    for (const Server &At : Servers) {
      const std::size_t Calls = At.Running + At.Waiting.size();
      Longest = std::max(Longest, Calls);
      Total += Calls;
    }
    if (Total == 0)
      return;
    const double Herd = static_cast<double>(Longest * Servers.size()) /
                        static_cast<double>(Total);
    Herds += Herd;
    Result.WorstHerd = std::max(Result.WorstHerd, Herd);
    ++Samples;
  }

  RoutingResult summary() {
    Result.CacheHitRate =
        static_cast<double>(HitTokens) / static_cast<double>(CacheableTokens);
    Result.Herd = Herds / static_cast<double>(Samples);
    Result.MeanWaitSeconds = WaitSeconds / static_cast<double>(Result.Calls);
    Result.MeanProgramSeconds =
        ProgramSeconds / static_cast<double>(Result.Programs);
    return Result;
  }

  RoutingPlan Plan;
  Policy Chosen;
  std::mt19937_64 Choices;
  std::mt19937_64 Arrivals;
  double ArrivalGap = 0;
  TimePoint Now;
  std::vector<Server> Servers;
  std::vector<Owner> Owners;
  std::deque<Program> Programs;
  std::priority_queue<Event> Events;
  std::uint64_t Pushed = 0;
  TokenCount CacheableTokens = 0;
  TokenCount HitTokens = 0;
  double WaitSeconds = 0;
  double ProgramSeconds = 0;
  double Herds = 0;
  std::size_t Samples = 0;
  RoutingResult Result;
};

inline RoutingResult runRouting(const RoutingPlan &Plan, Policy Chosen) {
  return RoutingFake(Plan, Chosen).run();
}

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_ROUTINGFAKE_H
