/// Decides whether and when a failed attempt is retried.
///
/// Retries are charged to budgets that only successes refill. The entry's
/// budget bounds the retries of all requests together: if everything fails, it
/// runs out, and each request costs one attempt. The budget of an endpoint
/// bounds the retries sent to it, so that failures of other endpoints do not
/// overload it:
///
///   Budgets = onSuccess(std::move(Budgets), Endpoint, Limits);
///   auto [Decision, Left] = decideRetry(Failed, Budgets, Limits, Now, Draw);
///   Budgets = Left;
///   if (const auto *Again = std::get_if<Retry>(&Decision)) {
///     Request.Exclude = Again->Exclude; // for chooseEndpoint
///     Budgets = onRetrySent(std::move(Budgets), Chosen, Limits);
///   }
///
/// A call that is not repeatable is never retried.
#ifndef TAMARACK_ROUTING_RETRYBUDGET_H
#define TAMARACK_ROUTING_RETRYBUDGET_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace tamarack {

struct RetryLimits {
  /// Retries earned by each success.
  double Fraction = 0.1;
  /// The initial and maximum size of a budget, in retries: bounds how many past
  /// successes count.
  double EntryTokens = 20;
  double EndpointTokens = 6;
  unsigned MaxAttempts = 3;
  Duration BaseBackoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(2);
  /// No retry is made with less time than this left before the deadline.
  Duration MinTimeLeft = std::chrono::milliseconds(200);

  auto tied() const {
    return std::tie(Fraction, EntryTokens, EndpointTokens, MaxAttempts,
                    BaseBackoff, MaxBackoff, MinTimeLeft);
  }
};

/// The tokens left. An endpoint that is not listed has a full budget.
struct RetryBudgets {
  double Entry = 0;
  std::map<EndpointId, double> Endpoints;

  auto tied() const { return std::tie(Entry, Endpoints); }
};

/// Why an attempt is retried. Each reason has a counter.
enum class RetryReason {
  LinkLost,
  Timeout,
  EndpointFailed,
  EndpointUnavailable,
  EndpointLeaving,
  EndpointOverloaded,
};

/// Why an attempt is not retried. Each reason has a counter.
enum class GiveUpReason {
  NotRepeatable,
  NotRetryable,
  AttemptsUsedUp,
  DeadlineTooClose,
  BudgetUsedUp,
};

struct FailedAttempt {
  Error Failure;
  EndpointId Endpoint;
  bool Repeatable = false;
  /// The number of attempts made so far, including this one.
  unsigned Attempts = 1;
  TimePoint Deadline;
  /// Endpoints at which earlier attempts failed.
  std::vector<EndpointId> Tried;
};

/// The call is to be retried at an endpoint outside \p Exclude, after the
/// back-off.
struct Retry {
  RetryReason Reason = RetryReason::LinkLost;
  Duration Backoff{0};
  /// The endpoints that were tried and those whose own budget is used up.
  std::vector<EndpointId> Exclude;
  /// The unchanged deadline of the call.
  TimePoint Deadline;
};

/// The call is to be answered with \p Final at once.
struct GiveUp {
  GiveUpReason Reason = GiveUpReason::NotRetryable;
  Error Final;
};

using RetryDecision = std::variant<Retry, GiveUp>;

struct RetryOutcome {
  RetryDecision Decision;
  /// The budgets after this decision.
  RetryBudgets Budgets;
};

RetryBudgets fullRetryBudgets(const RetryLimits &Limits);

/// Refills the budgets of the entry and of \p Endpoint.
RetryBudgets onSuccess(RetryBudgets Budgets, const EndpointId &Endpoint,
                       const RetryLimits &Limits);

/// Charges the budget of the endpoint that a retry is sent to. The entry's
/// budget was already charged by decideRetry().
RetryBudgets onRetrySent(RetryBudgets Budgets, const EndpointId &Endpoint,
                         const RetryLimits &Limits);

/// Removes the budgets of all endpoints except \p Endpoints.
RetryBudgets retainEndpoints(RetryBudgets Budgets,
                             const std::vector<EndpointId> &Endpoints);

/// Decides on \p Failed and charges the entry's budget for a retry.
/// \p RandomDraw is any uniformly distributed number. A call that is not
/// repeatable fails with OutcomeUnknown, unless the failure itself proves that
/// nothing was executed.
RetryOutcome decideRetry(const FailedAttempt &Failed, RetryBudgets Budgets,
                         const RetryLimits &Limits, TimePoint Now,
                         std::uint64_t RandomDraw);

/// The exponential back-off with full jitter after \p Attempts attempts:
/// uniformly distributed between zero and the base doubled for each attempt
/// after the first, at most MaxBackoff.
Duration backoff(unsigned Attempts, const RetryLimits &Limits,
                 std::uint64_t RandomDraw);

/// The label values of the counters.
const char *nameOf(RetryReason Reason);
const char *nameOf(GiveUpReason Reason);
/// All reasons, to register their counters.
const std::vector<RetryReason> &retryReasons();
const std::vector<GiveUpReason> &giveUpReasons();
std::ostream &operator<<(std::ostream &Out, RetryReason Reason);
std::ostream &operator<<(std::ostream &Out, GiveUpReason Reason);

} // namespace tamarack

#endif // TAMARACK_ROUTING_RETRYBUDGET_H
