#include "tamarack/relay/StopPlan.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The platform sends new connections until two readiness checks, one second
/// apart, have failed.
constexpr Duration ReadinessNoticeTime = std::chrono::milliseconds(2600);
/// The part of the grace in which requests are served, if it is shorter than
/// ReadinessNoticeTime.
constexpr int ServingDivisor = 3;
/// The part of the grace that is left when running requests are answered, and
/// when the process exits.
constexpr int AnswerDivisor = 8;
constexpr int ExitDivisor = 16;
/// The time for writing the last answers.
constexpr Duration MinClosingTime = std::chrono::milliseconds(200);
/// Keeps sums of times in their range.
constexpr Duration MaxGrace = std::chrono::hours(24);

/// Whether all that has arrived is answered and nothing is left to store.
bool isQuiet(const StopObservation &Observed) {
  return Observed.Callers.Running == 0 && Observed.Callers.Arriving == 0 &&
         Observed.Callers.Unaccepted == 0 && Observed.UnsettledRecords == 0;
}

} // namespace

const char *nameOf(StopStage Stage) {
  switch (Stage) {
  case StopStage::Announced:
    return "announced";
  case StopStage::Refusing:
    return "refusing";
  case StopStage::Closing:
    return "closing";
  case StopStage::Ended:
    return "ended";
  }
  return "unknown";
}

StopPlan planStop(TimePoint Started, Duration Grace) {
  Grace = std::clamp(Grace, Duration(0), MaxGrace);
  StopPlan Result;
  Result.RefuseAt =
      Started + std::min(ReadinessNoticeTime, Grace / ServingDivisor);
  Result.AnswerBy = Started + Grace - Grace / AnswerDivisor;
  Result.SendBy = Result.RefuseAt + (Result.AnswerBy - Result.RefuseAt) / 2;
  Result.ExitBy = Started + Grace - Grace / ExitDivisor;
  return Result;
}

StopPlan withClosingTime(StopPlan Plan, TimePoint Now) {
  Plan.ExitBy = std::max(Plan.ExitBy, Now + MinClosingTime);
  return Plan;
}

StopStage nextStage(const StopPlan &Plan, StopStage Current,
                    const StopObservation &Observed, TimePoint Now) {
  switch (Current) {
  case StopStage::Announced:
    return Now >= Plan.RefuseAt ? StopStage::Refusing : Current;
  case StopStage::Refusing:
    return Now >= Plan.AnswerBy || isQuiet(Observed) ? StopStage::Closing
                                                     : Current;
  case StopStage::Closing:
    return Now >= Plan.ExitBy || Observed == StopObservation{}
               ? StopStage::Ended
               : Current;
  case StopStage::Ended:
    return Current;
  }
  return Current;
}

} // namespace tamarack
