/// Simulates one endpoint, its queue and its cache under a workload.
///
///   TrialResult Result = runTrial({liftara(), {2.0}, TrialPolicy::Gate});
///
/// The same settings and seed give the same result on every run.
#ifndef TAMARACK_GATE_BENCH_TRIAL_H
#define TAMARACK_GATE_BENCH_TRIAL_H

#include "Workload.h"

#include "tamarack/gate/Retention.h"

namespace tamarack {

enum class TrialPolicy {
  /// Every call is sent to the engine on arrival.
  NoAdmission,
  /// One queue in order of arrival with the adaptive limit on running calls. No
  /// call is refused.
  FirstComeFirstServed,
  /// Admission control as in Admission.h.
  Gate,
};

std::string_view nameOf(TrialPolicy Policy);

struct TrialSettings {
  WorkloadKinds Kinds;
  WorkloadSize Size;
  TrialPolicy Policy = TrialPolicy::Gate;
  RetentionPolicy Retention = RetentionPolicy::ExpectedNextUse;
  EngineModel Model;
  AdmissionLimits Limits;
  /// Results are recorded only after this time.
  Duration WarmUp = std::chrono::minutes(4);
};

/// The results of one class.
struct ClassResult {
  /// Programs whose first call was submitted.
  std::size_t Offered = 0;
  /// Programs that received all their answers, each within AnswerTimeout.
  std::size_t Finished = 0;
  /// Programs whose first call was refused until the caller gave up.
  std::size_t Refused = 0;
  /// Started programs that were abandoned after refusals or a late answer.
  std::size_t Broken = 0;
  TokenCount OutputTokens = 0;
  /// The time from the first submission of a call to its answer, summed over
  /// the calls of each finished program.
  std::vector<double> ProgramSeconds;
  std::vector<double> FirstTokenSeconds;
};

struct TrialResult {
  PerClass<ClassResult> Classes;
  /// Calls that were refused on arrival, and after having waited.
  std::size_t RefusedOnArrival = 0;
  std::size_t RefusedLater = 0;
  /// Calls without a complete answer within AnswerTimeout.
  std::size_t Expired = 0;
  /// The output tokens of finished programs.
  TokenCount UsefulTokens = 0;
  /// Prompt tokens of earlier turns that were no longer cached.
  TokenCount PrefilledAgain = 0;
  /// All prompt tokens that were not cached.
  TokenCount Prefilled = 0;
  /// The cached tokens of dead programs, integrated over time.
  double TokenSecondsHeldForDead = 0;
  /// The mean length of the engine steps that produced tokens.
  double MeanTokenSeconds = 0;
  /// The adaptive limit at the end.
  std::size_t RunningLimit = 0;
  /// The mean share of running calls that were of class Low, over the times at
  /// which calls of this class were waiting.
  double LowShareWhileWaiting = 1;
  /// The simulated time without the warm-up.
  double Minutes = 0;

  std::size_t finished() const;
  std::size_t refused() const;
};

/// Runs the simulation for Settings.Size.Length.
TrialResult runTrial(const TrialSettings &Settings);

/// The value below which the fraction \p Share of \p Values lies, or zero if
/// there are no values.
double percentile(std::vector<double> Values, double Share);

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_TRIAL_H
