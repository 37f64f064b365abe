/// What the queue learns from the endpoint's answers, and what it expects from
/// that: service times, waits, and how many calls may run at once.
#ifndef TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H
#define TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H

#include "tamarack/gate/Admission.h"

namespace tamarack::internal {

EndpointEstimate initialEstimate(const AdmissionLimits &Limits);
void learnPrefill(EndpointEstimate &Estimate, const QueuedCall &Call,
                  Duration Prefill);
void learnTokenTime(EndpointEstimate &Estimate, Duration Between);
void learnService(EndpointEstimate &Estimate, const RunningCall &Ended,
                  TokenCount Produced, TimePoint Now);

/// Adds a time between tokens, and moves the limit when enough were seen.
void adjustRunningLimit(AdmissionState &State, Duration Between);

/// When a caller that is refused after an expected wait of \p Wait should come
/// back. Programs are spread over a second period of the same length, so that
/// those refused together do not come back together.
std::chrono::seconds retryDelay(Duration Wait, const ProgramId &Program);

} // namespace tamarack::internal

#endif // TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H
