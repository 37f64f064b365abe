#include "AdmissionEstimate.h"

#include "AdmissionQueue.h"

#include <algorithm>

namespace tamarack {

namespace {

/// The weight of a new sample in a moving average.
constexpr double SampleWeight = 0.1;
constexpr double InitialOutputRatio = 0.5;

void updateAverage(double &Average, double Sample) {
  Average += SampleWeight * (Sample - Average);
}

double microseconds(Duration Time) { return static_cast<double>(Time.count()); }

Duration fromMicroseconds(double Time) {
  return Duration(static_cast<Duration::rep>(Time));
}

TokenCount uncachedTokens(const QueuedCall &Call) {
  return Call.PromptTokens - std::min(Call.CachedTokens, Call.PromptTokens);
}

Duration divideWork(Duration Work, std::size_t Calls) {
  return Work / static_cast<Duration::rep>(std::max<std::size_t>(Calls, 1));
}

} // namespace

namespace internal {

EndpointEstimate initialEstimate(const AdmissionLimits &Limits) {
  EndpointEstimate Estimate;
  Estimate.TokenIntervalMicroseconds = microseconds(Limits.TokenIntervalTarget);
  Estimate.PrefillMicrosecondsPerToken =
      microseconds(Limits.InitialPrefillPerToken);
  Estimate.OutputRatio = InitialOutputRatio;
  return Estimate;
}

void learnPrefill(EndpointEstimate &Estimate, const QueuedCall &Call,
                  Duration Prefill) {
  // For a prompt that is almost fully cached, the time is dominated by the
  // length of an engine step.
  constexpr TokenCount MinSampleTokens = 256;
  const TokenCount Tokens = uncachedTokens(Call);
  if (Tokens >= MinSampleTokens)
    updateAverage(Estimate.PrefillMicrosecondsPerToken,
                  microseconds(Prefill) / static_cast<double>(Tokens));
}

void learnTokenInterval(EndpointEstimate &Estimate, Duration Interval) {
  updateAverage(Estimate.TokenIntervalMicroseconds, microseconds(Interval));
}

void learnService(EndpointEstimate &Estimate, const RunningCall &Ended,
                  TokenCount Produced, TimePoint Now) {
  if (Produced == 0 || Ended.Call.MaxTokens == 0)
    return;
  updateAverage(Estimate.OutputRatio,
                std::min(1.0, static_cast<double>(Produced) /
                                  static_cast<double>(Ended.Call.MaxTokens)));
  const double Service = microseconds(Now - Ended.StartTime);
  if (Estimate.ServiceMicroseconds <= 0)
    Estimate.ServiceMicroseconds = Service;
  updateAverage(Estimate.ServiceMicroseconds, Service);
}

void adjustRunningLimit(AdmissionState &State, Duration Interval) {
  const AdmissionLimits &Limits = State.Limits;
  State.IntervalSumMicroseconds += microseconds(Interval);
  if (++State.IntervalCount < Limits.SamplesPerAdjustment)
    return;
  const double Mean =
      State.IntervalSumMicroseconds / static_cast<double>(State.IntervalCount);
  State.IntervalSumMicroseconds = 0;
  State.IntervalCount = 0;
  const double Target = microseconds(Limits.TokenIntervalTarget);
  // While more calls are running than allowed, an earlier decrease has not
  // taken effect yet, and another one would overshoot.
  const bool LimitInEffect = State.Running.size() <= State.RunningLimit;
  if (Mean > Target * Limits.DecreaseAboveFactor && LimitInEffect) {
    const auto Decreased = static_cast<std::size_t>(
        static_cast<double>(State.RunningLimit) * Limits.DecreaseFactor);
    State.RunningLimit = std::max(Decreased, Limits.MinRunningLimit);
  }
  // A short token interval justifies an increase only if the limit was reached.
  const bool LimitReached =
      waitingCallCount(State) > 0 || State.Running.size() >= State.RunningLimit;
  if (Mean < Target * Limits.IncreaseBelowFactor && LimitReached)
    State.RunningLimit = std::min(State.RunningLimit + 1, Limits.MaxBatch);
}

std::chrono::seconds retryDelay(Duration Wait, const ProgramId &Program) {
  constexpr std::chrono::seconds MinDelay(1);
  const auto Seconds =
      std::max(MinDelay, std::chrono::ceil<std::chrono::seconds>(Wait));
  const std::uint64_t Jitter =
      stableHash(Program.text()) %
      (static_cast<std::uint64_t>(Seconds.count()) + 1);
  return Seconds + std::chrono::seconds(Jitter);
}

} // namespace internal

Duration expectedPrefill(const AdmissionState &State, const QueuedCall &Call) {
  return fromMicroseconds(static_cast<double>(uncachedTokens(Call)) *
                          State.Estimate.PrefillMicrosecondsPerToken);
}

Duration expectedService(const AdmissionState &State, const QueuedCall &Call) {
  const EndpointEstimate &Estimate = State.Estimate;
  const double Decode = static_cast<double>(Call.MaxTokens) *
                        Estimate.OutputRatio *
                        Estimate.TokenIntervalMicroseconds;
  return expectedPrefill(State, Call) + fromMicroseconds(Decode);
}

Duration expectedWait(const AdmissionState &State, CallClass Class) {
  const Duration Own = State.WaitingWork[Class];
  Duration QueuedAhead = Own;
  Duration Prefill = State.PendingPrefill + State.WaitingPrefill[Class];
  for (CallClass Higher : AllClasses) {
    if (Higher >= Class)
      continue;
    QueuedAhead += State.WaitingWork[Higher];
    Prefill += State.WaitingPrefill[Higher];
  }
  Duration UntilFreeSlot(0);
  if (!internal::hasFreeSlot(State, Class))
    UntilFreeSlot =
        divideWork(fromMicroseconds(State.Estimate.ServiceMicroseconds),
                   State.RunningLimit);
  // The number of running calls of a class shows how many slots it gets at
  // present. This accounts for calls of higher classes that have yet to arrive.
  const std::size_t Slots = std::max(State.RunningPerClass[Class],
                                     internal::reservedSlots(State, Class));
  const Duration SlotWait =
      UntilFreeSlot + std::max(divideWork(QueuedAhead, State.RunningLimit),
                               divideWork(Own, Slots));
  return std::max(SlotWait, Prefill - State.Limits.MaxPrefillBacklog[Class]);
}

} // namespace tamarack
