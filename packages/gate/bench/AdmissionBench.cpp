/// Measures the time of one admission decision with a full queue.
#include "tamarack/gate/Admission.h"

#include <benchmark/benchmark.h>

using namespace tamarack;

namespace {

QueuedCall call(std::size_t Number) {
  QueuedCall Call;
  Call.Id = {ProgramId(std::to_string(Number)), CallId("call"), 1};
  Call.AttainedService = Number + 1;
  Call.PromptTokens = 100;
  Call.MaxTokens = 100;
  Call.Deadline = TimePoint(std::chrono::hours(1));
  return Call;
}

AdmissionState fullState() {
  AdmissionState State;
  for (std::size_t Number = 0; Number < 2 * State.Limits.MaxQueueLength;
       ++Number)
    benchmark::DoNotOptimize(onArrival(State, call(Number), TimePoint()));
  return State;
}

void refuseArrival(benchmark::State &Run) {
  AdmissionState State = fullState();
  const QueuedCall Refused = call(1'000'000);
  for (auto Round : Run)
    benchmark::DoNotOptimize(onArrival(State, Refused, TimePoint()));
}
BENCHMARK(refuseArrival);

void finishAndStartNext(benchmark::State &Run) {
  AdmissionState State = fullState();
  std::size_t Number = 1'000'000;
  for (auto Round : Run) {
    const AttemptId Ended = State.Running.begin()->first;
    benchmark::DoNotOptimize(onFirstToken(State, Ended, TimePoint()));
    benchmark::DoNotOptimize(onFinished(State, Ended, 50, TimePoint()));
    benchmark::DoNotOptimize(onArrival(State, call(Number++), TimePoint()));
  }
}
BENCHMARK(finishAndStartNext);

} // namespace
