/// A fake of one entry's requests to endpoints that fail at a fixed rate.
///
/// Failed attempts go through decideRetry() and the health of the fleet:
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
  /// Of the attempts at any endpoint.
  double FailingShare = 0;
  /// How many of the endpoints fail every attempt.
  std::size_t DeadEndpoints = 0;
  double RepeatableShare = 0.8;
  bool UseHealth = true;
};

struct RetryResult {
  double AttemptsPerRequest = 0;
  double Succeeded = 0;
  std::size_t NonRepeatableRetried = 0;
  std::size_t PastDeadline = 0;
  std::size_t MostEjected = 0;
  std::map<GiveUpReason, std::size_t> GivenUp;
};

class RetryFake {
public:
  explicit RetryFake(const RetryPlan &Plan)
      : Plan(Plan), Draw(20261203), Budgets(fullRetryBudgets(Limits)) {
    for (std::size_t I = 0; I < Plan.Endpoints; ++I)
      All.emplace_back("endpoint-" + std::to_string(I));
    Fleet = onFleet({}, All, Health);
  }

  RetryResult run() {
    for (std::size_t I = 0; I < Plan.Requests; ++I) {
      Now += RequestGap;
      probe();
      request();
    }
    const auto Requests = static_cast<double>(Plan.Requests);
    Result.AttemptsPerRequest = static_cast<double>(Attempts) / Requests;
    Result.Succeeded = static_cast<double>(Successes) / Requests;
    return Result;
  }

private:
  static constexpr Duration RequestGap = std::chrono::milliseconds(20);
  static constexpr Duration Patience = std::chrono::seconds(10);

  bool draws(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Draw) < Share;
  }

  bool fails(const EndpointId &Endpoint) {
    const auto Number = static_cast<std::size_t>(
        std::find(All.begin(), All.end(), Endpoint) - All.begin());
    return Number < Plan.DeadEndpoints || draws(Plan.FailingShare);
  }

  void probe() {
    const auto Due = probeDue(Fleet, Now);
    if (!Plan.UseHealth || !Due)
      return;
    Fleet = onProbeSent(std::move(Fleet), *Due, Health, Now);
    report(*Due, !fails(*Due), Now);
  }

  void report(const EndpointId &Endpoint, bool Good, TimePoint At) {
    if (!Plan.UseHealth)
      return;
    Fleet = Good ? onSuccess(std::move(Fleet), Endpoint)
                 : onFailure(std::move(Fleet), Endpoint, Health, At);
    Result.MostEjected = std::max(Result.MostEjected, ejectedCount(Fleet));
  }

  EndpointId pick(const std::vector<EndpointId> &Exclude) {
    std::vector<EndpointId> Open;
    for (const EndpointId &Each : All)
      if (!isEjected(Fleet, Each) &&
          std::find(Exclude.begin(), Exclude.end(), Each) == Exclude.end())
        Open.push_back(Each);
    // Empty stands for none available.
    return Open.empty() ? EndpointId() : Open[Draw() % Open.size()];
  }

  void request() {
    FailedAttempt Attempt;
    Attempt.Failure.Kind = ErrorKind::EndpointFailed;
    Attempt.Repeatable = draws(Plan.RepeatableShare);
    Attempt.Deadline = Now + Patience;
    TimePoint At = Now;
    std::vector<EndpointId> Exclude;
    for (Attempt.Attempts = 1;; ++Attempt.Attempts) {
      ++Attempts;
      if (Attempt.Attempts > 1 && !Attempt.Repeatable)
        ++Result.NonRepeatableRetried;
      if (At > Attempt.Deadline)
        ++Result.PastDeadline;
      Attempt.Endpoint = pick(Exclude);
      if (Attempt.Endpoint.empty())
        return;
      if (Attempt.Attempts > 1)
        Budgets = onRetrySent(std::move(Budgets), Attempt.Endpoint, Limits);
      if (!fails(Attempt.Endpoint))
        return succeed(Attempt.Endpoint, At);
      report(Attempt.Endpoint, false, At);
      RetryOutcome Outcome =
          decideRetry(Attempt, std::move(Budgets), Limits, At, Draw());
      Budgets = std::move(Outcome.Budgets);
      if (const auto *End = std::get_if<GiveUp>(&Outcome.Decision)) {
        ++Result.GivenUp[End->Reason];
        return;
      }
      const auto &Again = std::get<Retry>(Outcome.Decision);
      Attempt.Tried.push_back(Attempt.Endpoint);
      Exclude = Again.Exclude;
      Attempt.Deadline = Again.Deadline;
      At += Again.Backoff;
    }
  }

  void succeed(const EndpointId &Endpoint, TimePoint At) {
    ++Successes;
    report(Endpoint, true, At);
    Budgets = onSuccess(std::move(Budgets), Endpoint, Limits);
  }

  RetryPlan Plan;
  RetryLimits Limits;
  HealthLimits Health;
  std::mt19937_64 Draw;
  RetryBudgets Budgets;
  std::vector<EndpointId> All;
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
