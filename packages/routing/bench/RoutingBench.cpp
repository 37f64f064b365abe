/// Measures the quality of routing with stale reports, and the time of a single
/// choice.
#include "BurstFake.h"
#include "RoutingFake.h"

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

constexpr const char *PolicyNames[] = {"round robin", "least loaded",
                                       "by cost"};

void reportCounters(benchmark::State &State, const RoutingResult &Result) {
  State.counters["calls"] = static_cast<double>(Result.Calls);
  State.counters["herd"] = Result.LoadImbalance;
  State.counters["cache_hits"] = Result.CacheHitRate;
  State.counters["moves_per_program"] =
      static_cast<double>(Result.Moves) / static_cast<double>(Result.Programs);
  State.counters["wait_ms"] = Result.MeanWaitSeconds * 1000;
  State.counters["program_s"] = Result.MeanProgramSeconds;
}

void staleReports(benchmark::State &State) {
  RoutingPlan Plan;
  Plan.ReportPeriod = std::chrono::milliseconds(State.range(1));
  const auto Chosen = static_cast<Policy>(State.range(0));
  RoutingResult Result;
  for (auto Unused : State)
    Result = runRouting(Plan, Chosen);
  State.SetLabel(PolicyNames[State.range(0)]);
  reportCounters(State, Result);
}
BENCHMARK(staleReports)
    ->ArgNames({"policy", "report_ms"})
    ->ArgsProduct({{0, 1, 2}, {0, 1000, 2000, 5000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void subsets(benchmark::State &State) {
  RoutingPlan Plan;
  Plan.Entries = 40;
  Plan.Endpoints = 400;
  Plan.SubsetTarget = State.range(1);
  Plan.ReportPeriod = std::chrono::seconds(2);
  Plan.RunTime = std::chrono::seconds(90);
  const auto Chosen = static_cast<Policy>(State.range(0));
  RoutingResult Result;
  for (auto Unused : State)
    Result = runRouting(Plan, Chosen);
  State.SetLabel(PolicyNames[State.range(0)]);
  reportCounters(State, Result);
}
BENCHMARK(subsets)
    ->ArgNames({"policy", "subset"})
    ->ArgsProduct({{0, 1, 2}, {24, 48, 400}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void underLoad(benchmark::State &State) {
  RoutingPlan Plan;
  Plan.Utilisation = static_cast<double>(State.range(0)) / 100;
  Plan.ReportPeriod = std::chrono::milliseconds(State.range(1));
  RoutingResult Result;
  for (auto Unused : State)
    Result = runRouting(Plan, Policy::ByCost);
  reportCounters(State, Result);
}
BENCHMARK(underLoad)
    ->ArgNames({"load_percent", "report_ms"})
    ->ArgsProduct({{95, 105}, {0, 1000, 5000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void leaving(benchmark::State &State) {
  RoutingPlan Plan;
  Plan.ReportPeriod = std::chrono::seconds(5);
  Plan.LeavesAt = std::chrono::seconds(State.range(0));
  RoutingResult Result;
  for (auto Unused : State)
    Result = runRouting(Plan, Policy::ByCost);
  reportCounters(State, Result);
  State.counters["worst_herd"] = Result.WorstLoadImbalance;
  State.counters["sent_to_leaving"] = static_cast<double>(Result.SentToLeaving);
}
BENCHMARK(leaving)
    ->ArgName("leaves_at_s")
    ->Arg(0)
    ->Arg(150)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void burst(benchmark::State &State) {
  double LoadImbalance = 0;
  for (auto Unused : State)
    LoadImbalance = burstImbalance(State.range(0), 14);
  State.counters["herd"] = LoadImbalance;
}
BENCHMARK(burst)->ArgName("calls")->Arg(28)->Arg(140)->Iterations(1);

void hysteresis(benchmark::State &State) {
  RoutingPlan Plan;
  Plan.Utilisation = 1.05;
  Plan.Model.HysteresisMargin = std::chrono::milliseconds(State.range(0));
  RoutingResult Result;
  for (auto Unused : State)
    Result = runRouting(Plan, Policy::ByCost);
  reportCounters(State, Result);
}
BENCHMARK(hysteresis)
    ->ArgName("margin_ms")
    ->Arg(0)
    ->Arg(200)
    ->Arg(500)
    ->Arg(1000)
    ->Arg(2000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void chooseOnce(benchmark::State &State) {
  std::vector<EndpointView> Views(State.range(0));
  for (std::size_t I = 0; I < Views.size(); ++I)
    Views[I].Endpoint = EndpointId("endpoint-" + std::to_string(I));
  RoutingRequest Request;
  Request.PromptTokens = 4000;
  Request.CachedPromptTokens = {{Views.back().Endpoint, 3000}};
  std::uint64_t Draw = 0;
  for (auto Unused : State)
    benchmark::DoNotOptimize(
        chooseEndpoint(Views, Request, CostModel(), ++Draw));
}
BENCHMARK(chooseOnce)->ArgName("views")->Arg(14)->Arg(91);

void subsetOfLargestFleet(benchmark::State &State) {
  std::vector<InstanceId> Entries;
  for (std::size_t I = 0; I < 400; ++I)
    Entries.emplace_back("entry-" + std::to_string(I));
  std::vector<EndpointId> Endpoints;
  for (std::size_t I = 0; I < 12'000; ++I)
    Endpoints.emplace_back("endpoint-" + std::to_string(I));
  std::size_t Watched = 0;
  for (auto Unused : State)
    Watched = subsetOf(Entries.front(), Entries, Endpoints, {}).size();
  State.counters["watched"] = static_cast<double>(Watched);
}
BENCHMARK(subsetOfLargestFleet)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace tamarack
