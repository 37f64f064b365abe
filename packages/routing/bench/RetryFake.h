/// A fake of one entry whose endpoints fail at a fixed rate.
///
/// Failed attempts are handled by decideRetry() and the health of the fleet:
///
///   RetryResult Result = runRetries(RetryPlan());
#ifndef TAMARACK_ROUTING_BENCH_RETRYFAKE_H
#define TAMARACK_ROUTING_BENCH_RETRYFAKE_H

#include "tamarack/routing/Health.h"
#include "tamarack/routing/RetryBudget.h"

#include <algorithm>
#include <random>

namespace tamarack {

struct RetryPlan {
  std::size_t Requests = 20000;
  std::size_t Endpoints = 14;
  /// The share of the attempts at any endpoint that fail.
  double FailureRate = 0;
  /// The number of endpoints at which every attempt fails.
  std::size_t DeadEndpoints = 0;
  double RepeatableShare = 0.8;
  bool UseHealth = true;
};

struct RetryResult {
  double AttemptsPerRequest = 0;
  /// The share of the requests that succeeded.
  double Succeeded = 0;
  std::size_t NonRepeatableRetried = 0;
  /// Attempts that were sent after the deadline.
  std::size_t PastDeadline = 0;
  /// The maximum number of endpoints that were ejected at the same time.
  std::size_t MaxEjected = 0;
  std::map<GiveUpReason, std::size_t> GivenUp;
};

class RetryFake {
public:
  explicit RetryFake(const RetryPlan &Plan)
      : Plan(Plan), Rng(20261203), Budgets(fullRetryBudgets(Limits)) {
    for (std::size_t I = 0; I < Plan.Endpoints; ++I)
      AllEndpoints.emplace_back("endpoint-" + std::to_string(I));
    Fleet = setFleet({}, AllEndpoints, Health);
  }

  RetryResult run() {
    for (std::size_t I = 0; I < Plan.Requests; ++I) {
      Now += RequestInterval;
      sendDueProbe();
      runRequest();
    }
    const auto Requests = static_cast<double>(Plan.Requests);
    Result.AttemptsPerRequest = static_cast<double>(Attempts) / Requests;
    Result.Succeeded = static_cast<double>(Successes) / Requests;
    return Result;
  }

private:
  static constexpr Duration RequestInterval = std::chrono::milliseconds(20);
  static constexpr Duration CallTimeout = std::chrono::seconds(10);

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Rng) < Probability;
  }

  bool fails(const EndpointId &Endpoint) {
    const auto Number = static_cast<std::size_t>(
        std::find(AllEndpoints.begin(), AllEndpoints.end(), Endpoint) -
        AllEndpoints.begin());
    return Number < Plan.DeadEndpoints || chance(Plan.FailureRate);
  }

  void sendDueProbe() {
    const auto Due = nextDueProbe(Fleet, Now);
    if (!Plan.UseHealth || !Due)
      return;
    Fleet = onProbeSent(std::move(Fleet), *Due, Health, Now);
    recordOutcome(*Due, !fails(*Due), Now);
  }

  void recordOutcome(const EndpointId &Endpoint, bool IsSuccess,
                     TimePoint Time) {
    if (!Plan.UseHealth)
      return;
    Fleet = IsSuccess ? onSuccess(std::move(Fleet), Endpoint)
                      : onFailure(std::move(Fleet), Endpoint, Health, Time);
    Result.MaxEjected = std::max(Result.MaxEjected, ejectedCount(Fleet));
  }

  EndpointId pickEndpoint(const std::vector<EndpointId> &Exclude) {
    std::vector<EndpointId> Available;
    for (const EndpointId &Endpoint : AllEndpoints)
      if (!isEjected(Fleet, Endpoint) &&
          std::find(Exclude.begin(), Exclude.end(), Endpoint) == Exclude.end())
        Available.push_back(Endpoint);
    // An empty id means that none is available.
    return Available.empty() ? EndpointId()
                             : Available[Rng() % Available.size()];
  }

  void runRequest() {
    FailedAttempt Attempt;
    Attempt.Failure.Kind = ErrorKind::EndpointFailed;
    Attempt.Repeatable = chance(Plan.RepeatableShare);
    Attempt.Deadline = Now + CallTimeout;
    TimePoint Time = Now;
    std::vector<EndpointId> Exclude;
    for (Attempt.Attempts = 1;; ++Attempt.Attempts) {
      ++Attempts;
      if (Attempt.Attempts > 1 && !Attempt.Repeatable)
        ++Result.NonRepeatableRetried;
      if (Time > Attempt.Deadline)
        ++Result.PastDeadline;
      Attempt.Endpoint = pickEndpoint(Exclude);
      if (Attempt.Endpoint.empty())
        return;
      if (Attempt.Attempts > 1)
        Budgets = onRetrySent(std::move(Budgets), Attempt.Endpoint, Limits);
      if (!fails(Attempt.Endpoint))
        return recordSuccess(Attempt.Endpoint, Time);
      recordOutcome(Attempt.Endpoint, false, Time);
      RetryOutcome Outcome =
          decideRetry(Attempt, std::move(Budgets), Limits, Time, Rng());
      Budgets = std::move(Outcome.Budgets);
      if (const auto *End = std::get_if<GiveUp>(&Outcome.Decision)) {
        ++Result.GivenUp[End->Reason];
        return;
      }
      const auto &Again = std::get<Retry>(Outcome.Decision);
      Attempt.Tried.push_back(Attempt.Endpoint);
      Exclude = Again.Exclude;
      Attempt.Deadline = Again.Deadline;
      Time += Again.Backoff;
    }
  }

  void recordSuccess(const EndpointId &Endpoint, TimePoint Time) {
    ++Successes;
    recordOutcome(Endpoint, true, Time);
    Budgets = onSuccess(std::move(Budgets), Endpoint, Limits);
  }

  RetryPlan Plan;
  RetryLimits Limits;
  HealthLimits Health;
  std::mt19937_64 Rng;
  RetryBudgets Budgets;
  std::vector<EndpointId> AllEndpoints;
  FleetHealth Fleet;
  TimePoint Now;
  std::size_t Attempts = 0;
  std::size_t Successes = 0;
  RetryResult Result;
};

inline RetryResult runRetries(const RetryPlan &Plan) {
  return RetryFake(Plan).run();
}

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_RETRYFAKE_H
