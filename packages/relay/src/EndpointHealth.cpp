#include "tamarack/relay/EndpointHealth.h"

namespace tamarack {
namespace {

constexpr std::uint32_t MinFailures = 3;
/// Replicas that lose some percent of their answers stay well below it.
constexpr double MinFailureShare = 0.4;

} // namespace

void RecentOutcomes::add(bool Succeeded, TimePoint Now) {
  if (Now - CurrentSince >= Period) {
    Previous = Now - CurrentSince < 2 * Period ? Current : OutcomeCounts();
    Current = {};
    CurrentSince = Now;
  }
  ++(Succeeded ? Current.Successes : Current.Failures);
}

OutcomeCounts RecentOutcomes::counts(TimePoint Now) const {
  const Duration Age = Now - CurrentSince;
  if (Age >= 2 * Period)
    return {};
  return Age < Period ? Previous + Current : Current;
}

bool isOutlier(const OutcomeCounts &Total) {
  return Total.Failures >= MinFailures &&
         Total.Failures >= MinFailureShare * (Total.Failures + Total.Successes);
}

} // namespace tamarack
