/// Measures the attempts, retries and ejections if some or all attempts fail.
#include "RetryFake.h"

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

void reportCounters(benchmark::State &State, RetryResult Result) {
  State.counters["attempts_per_request"] = Result.AttemptsPerRequest;
  State.counters["succeeded"] = Result.Succeeded;
  State.counters["non_repeatable_retried"] =
      static_cast<double>(Result.NonRepeatableRetried);
  State.counters["budget_used_up"] =
      static_cast<double>(Result.GivenUp[GiveUpReason::BudgetUsedUp]);
  State.counters["most_ejected"] = static_cast<double>(Result.MaxEjected);
}

void failingAttempts(benchmark::State &State) {
  RetryPlan Plan;
  Plan.FailureRate = static_cast<double>(State.range(0)) / 100;
  RetryResult Result;
  for (auto Unused : State)
    Result = runRetries(Plan);
  reportCounters(State, Result);
}
BENCHMARK(failingAttempts)
    ->ArgName("percent")
    ->Arg(0)
    ->Arg(1)
    ->Arg(10)
    ->Arg(50)
    ->Arg(100)
    ->Iterations(1);

void deadEndpoints(benchmark::State &State) {
  RetryPlan Plan;
  Plan.DeadEndpoints = State.range(0);
  Plan.UseHealth = State.range(1) == 1;
  RetryResult Result;
  for (auto Unused : State)
    Result = runRetries(Plan);
  reportCounters(State, Result);
}
BENCHMARK(deadEndpoints)
    ->ArgNames({"dead", "health"})
    ->ArgsProduct({{1, 4, 7}, {0, 1}})
    ->Iterations(1);

} // namespace
} // namespace tamarack
