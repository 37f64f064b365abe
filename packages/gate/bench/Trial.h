/// One endpoint, its queue and its cache under a workload in simulated time.
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
  /// Every call goes to the engine as it comes.
  NoAdmission,
  /// One queue in order of arrival, with the learned limit, refusing nothing.
  FirstComeFirstServed,
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
  /// Results count from here on.
  Duration WarmUp = std::chrono::minutes(4);
};

struct ClassResult {
  std::size_t Offered = 0;
  /// Programs that were answered whole, each call within its patience.
  std::size_t Finished = 0;
  std::size_t Refused = 0;
  /// Programs under way that were given up after a refusal or a late answer.
  std::size_t Broken = 0;
  TokenCount OutputTokens = 0;
  /// Seconds that the endpoint took for whole programs, pauses left out.
  std::vector<double> ProgramSeconds;
  std::vector<double> FirstTokenSeconds;
};

struct TrialResult {
  PerClass<ClassResult> Classes;
  std::size_t RefusedOnArrival = 0;
  std::size_t RefusedLater = 0;
  std::size_t Expired = 0;
  /// Output tokens of programs that finished whole.
  TokenCount UsefulTokens = 0;
  TokenCount PrefilledAgain = 0;
  TokenCount Prefilled = 0;
  double TokenSecondsHeldForDead = 0;
  double MeanTokenSeconds = 0;
  std::size_t RunningLimit = 0;
  /// The least share that Low had of the running calls while it was waiting,
  /// as a mean over the trial.
  double LowShareWhileWaiting = 1;
  double Minutes = 0;

  std::size_t finished() const;
  std::size_t refused() const;
};

TrialResult runTrial(const TrialSettings &Settings);

/// The value below which \p Share of \p Values lie; zero when there are none.
double percentile(std::vector<double> Values, double Share);

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_TRIAL_H
