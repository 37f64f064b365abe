/// The recent outcomes of requests at one endpoint, and whether they make the
/// endpoint an outlier.
///
///   RecentOutcomes Outcomes;
///   Outcomes.add(false, Now);
///   OutcomeCounts Total = Outcomes.counts(Now) + CountsOfOtherEntries;
///   if (isOutlier(Total)) ...
///
/// In a large fleet each entry sends few requests to each endpoint, so the
/// counts of all entries of a region are added up. Health checks are not used:
/// replicas exist that answer them well and fail all requests.
#ifndef TAMARACK_RELAY_ENDPOINTHEALTH_H
#define TAMARACK_RELAY_ENDPOINTHEALTH_H

#include "tamarack/base/Clock.h"
#include "tamarack/turns/Messages.h"

namespace tamarack {

class RecentOutcomes {
public:
  void add(bool Succeeded, TimePoint Now);
  /// The outcomes of the last one to two periods.
  OutcomeCounts counts(TimePoint Now) const;

private:
  static constexpr Duration Period = std::chrono::seconds(1);

  OutcomeCounts Previous;
  OutcomeCounts Current;
  TimePoint CurrentSince;
};

/// Whether an endpoint with these outcomes fails so many requests that others
/// are to be preferred. A few failures among many successes are no reason.
bool isOutlier(const OutcomeCounts &Total);

} // namespace tamarack

#endif // TAMARACK_RELAY_ENDPOINTHEALTH_H
