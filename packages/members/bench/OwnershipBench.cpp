/// Measures the balance of shards, shard moves, takeover and failure detection,
/// and the time of one decision.
#include "TakeOverFake.h"

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

std::size_t countMoves(const std::vector<InstanceId> &Before,
                       const std::vector<InstanceId> &After) {
  std::size_t MovedShards = 0;
  for (std::size_t Shard = 0; Shard < Before.size(); ++Shard)
    if (Before[Shard] != After[Shard])
      ++MovedShards;
  return MovedShards;
}

std::size_t countOwned(const std::vector<InstanceId> &Owners,
                       const InstanceId &Entry) {
  return std::count(Owners.begin(), Owners.end(), Entry);
}

void balanceAndMoves(benchmark::State &State) {
  const auto Entries = makeEntries(State.range(0));
  const auto Shards = static_cast<std::uint32_t>(State.range(1));
  const std::vector<InstanceId> Survivors(Entries.begin() + 1, Entries.end());
  std::vector<InstanceId> Before, After;
  for (auto Unused : State) {
    Before = ownersOf(Shards, Entries);
    After = ownersOf(Shards, Survivors);
  }
  std::size_t MaxOwned = 0;
  for (const InstanceId &Entry : Entries)
    MaxOwned = std::max(MaxOwned, countOwned(Before, Entry));
  const double Mean = static_cast<double>(Shards) / State.range(0);
  State.counters["max_over_mean"] = static_cast<double>(MaxOwned) / Mean;
  const auto OwnedByLost =
      static_cast<double>(countOwned(Before, Entries.front()));
  State.counters["own_share"] = OwnedByLost;
  State.counters["moved_if_lost"] =
      static_cast<double>(countMoves(Before, After));
  State.counters["moved_if_added"] =
      static_cast<double>(countMoves(After, Before));
}
BENCHMARK(balanceAndMoves)
    ->ArgNames({"entries", "shards"})
    ->ArgsProduct({{4, 16, 64, 400}, {1024, 8192}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void takeOver(benchmark::State &State) {
  TakeOverPlan Plan;
  Plan.Entries = State.range(0);
  Plan.Lost = State.range(1);
  Plan.Shards = 8192;
  ClaimLimits Limits;
  if (State.range(2) == 0)
    Limits.MaxClaimsPerSecond = 0;
  Plan.Restarted = State.range(3) == 1;
  TakeOverResult Result;
  for (auto Unused : State)
    Result = runTakeOver(Plan, Limits);
  State.counters["moved"] = static_cast<double>(Result.MovedShards);
  State.counters["cas_per_move"] = static_cast<double>(Result.Attempts) /
                                   static_cast<double>(Result.MovedShards);
  State.counters["not_preferred"] =
      static_cast<double>(Result.NonPreferredOwners);
  State.counters["peak_cas_per_s"] =
      static_cast<double>(Result.PeakAttemptsPerSecond);
  State.counters["longest_cas_ms"] =
      std::chrono::duration<double, std::milli>(Result.MaxWriteLatency).count();
  State.counters["took_s"] =
      std::chrono::duration<double>(Result.Elapsed).count();
}
BENCHMARK(takeOver)
    ->ArgNames({"entries", "lost", "paced", "restarted"})
    ->Args({4, 1, 1, 0})
    ->Args({16, 1, 1, 0})
    ->Args({400, 1, 1, 0})
    ->Args({400, 134, 1, 0})
    ->Args({400, 134, 0, 0})
    ->Args({4, 1, 1, 1})
    ->Args({16, 1, 1, 1})
    ->Args({400, 134, 1, 1})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void detection(benchmark::State &State) {
  double Heartbeats = 0;
  for (auto Unused : State)
    Heartbeats = heartbeatsToClaim(State.range(0) == 1);
  State.counters["heartbeats"] = Heartbeats;
}
BENCHMARK(detection)->ArgNames({"reset"})->Arg(0)->Arg(1)->Iterations(1);

void decideOneShard(benchmark::State &State) {
  ClaimFacts Facts;
  Facts.Entries = makeEntries(State.range(0));
  Facts.Self = Facts.Entries.front();
  for (auto Unused : State) {
    ++Facts.Shard;
    benchmark::DoNotOptimize(decideClaim(Facts, ClaimLimits()));
  }
}
BENCHMARK(decideOneShard)->Arg(4)->Arg(400);

} // namespace
} // namespace tamarack
