/// Estimates of the endpoint's performance, which are learned from its answers,
/// and the limit on running calls that is derived from them.
#ifndef TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H
#define TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H

#include "tamarack/gate/Admission.h"

namespace tamarack::internal {

EndpointEstimate initialEstimate(const AdmissionLimits &Limits);
void learnPrefill(EndpointEstimate &Estimate, const QueuedCall &Call,
                  Duration Prefill);
void learnTokenInterval(EndpointEstimate &Estimate, Duration Interval);
void learnService(EndpointEstimate &Estimate, const RunningCall &Ended,
                  TokenCount Produced, TimePoint Now);

/// Adds a token interval, and adjusts RunningLimit after every
/// SamplesPerAdjustment intervals.
void adjustRunningLimit(AdmissionState &State, Duration Interval);

/// The delay after which a refused caller should retry, given the expected
/// wait. It is \p Wait, rounded up to whole seconds and at least one, plus up
/// to the same time again. A hash of the program determines the addition, so
/// that programs that are refused together do not retry together.
std::chrono::seconds retryDelay(Duration Wait, const ProgramId &Program);

} // namespace tamarack::internal

#endif // TAMARACK_GATE_SRC_ADMISSIONESTIMATE_H
