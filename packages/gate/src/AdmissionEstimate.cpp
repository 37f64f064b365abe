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
  // A nearly cached prompt tells about the engine's step time only.
  constexpr TokenCount LeastTokens = 256;
  const TokenCount Tokens = uncachedTokens(Call);
  if (Tokens >= LeastTokens)
    updateAverage(Estimate.PrefillMicrosecondsPerToken,
                  microseconds(Prefill) / static_cast<double>(Tokens));
}

void learnTokenTime(EndpointEstimate &Estimate, Duration Between) {
  updateAverage(Estimate.TokenIntervalMicroseconds, microseconds(Between));
}

void learnService(EndpointEstimate &Estimate, const RunningCall &Ended,
                  TokenCount Produced, TimePoint Now) {
  if (Produced == 0 || Ended.Call.MaxTokens == 0)
    return;
  updateAverage(Estimate.OutputRatio,
                std::min(1.0, static_cast<double>(Produced) /
                                  static_cast<double>(Ended.Call.MaxTokens)));
  const double Service = microseconds(Now - Ended.Started);
  if (Estimate.ServiceMicroseconds <= 0)
    Estimate.ServiceMicroseconds = Service;
  updateAverage(Estimate.ServiceMicroseconds, Service);
}

void adjustRunningLimit(AdmissionState &State, Duration Between) {
  const AdmissionLimits &Limits = State.Limits;
  State.IntervalSumMicroseconds += microseconds(Between);
  if (++State.IntervalCount < Limits.SamplesPerAdjustment)
    return;
  const double Mean =
      State.IntervalSumMicroseconds / static_cast<double>(State.IntervalCount);
  State.IntervalSumMicroseconds = 0;
  State.IntervalCount = 0;
  const double Target = microseconds(Limits.TokenIntervalTarget);
  // More calls running than allowed: an earlier decrease has not yet taken
  // effect, and a second one would overshoot.
  const bool Settled = State.Running.size() <= State.RunningLimit;
  if (Mean > Target * Limits.DecreaseAboveFactor && Settled) {
    const auto Less = static_cast<std::size_t>(
        static_cast<double>(State.RunningLimit) * Limits.DecreaseFactor);
    State.RunningLimit = std::max(Less, Limits.MinRunningLimit);
  }
  // Only a limit that holds calls back has been tried out.
  const bool HoldsBack =
      waitingCallCount(State) > 0 || State.Running.size() >= State.RunningLimit;
  if (Mean < Target * Limits.IncreaseBelowFactor && HoldsBack)
    State.RunningLimit = std::min(State.RunningLimit + 1, Limits.MaxBatch);
}

std::chrono::seconds retryDelay(Duration Wait, const ProgramId &Program) {
  constexpr std::chrono::seconds Least(1);
  const auto Seconds =
      std::max(Least, std::chrono::ceil<std::chrono::seconds>(Wait));
  const std::uint64_t Spread =
      stableHash(Program.text()) %
      (static_cast<std::uint64_t>(Seconds.count()) + 1);
  return Seconds + std::chrono::seconds(Spread);
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
  Duration Ahead = Own;
  Duration Prefill = State.PendingPrefill + State.WaitingPrefill[Class];
  for (CallClass Above : AllClasses) {
    if (Above >= Class)
      continue;
    Ahead += State.WaitingWork[Above];
    Prefill += State.WaitingPrefill[Above];
  }
  Duration NextFree(0);
  if (!internal::hasFreeSlot(State, Class))
    NextFree = divideWork(fromMicroseconds(State.Estimate.ServiceMicroseconds),
                          State.RunningLimit);
  // The calls a class has running tell the share it gets at present; work of
  // higher classes that has not come yet is so accounted for.
  const std::size_t Share = std::max(State.RunningPerClass[Class],
                                     internal::reservedSlots(State, Class));
  const Duration ForRoom =
      NextFree +
      std::max(divideWork(Ahead, State.RunningLimit), divideWork(Own, Share));
  return std::max(ForRoom, Prefill - State.Limits.MaxPrefillBacklog[Class]);
}

} // namespace tamarack
