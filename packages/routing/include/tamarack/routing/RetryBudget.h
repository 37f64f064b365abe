/// Whether a failed attempt is tried again, and when.
///
/// Retries are paid from budgets that only successes fill. The entry's budget
/// bounds the attempts of all requests together: when everything fails it runs
/// dry, and each request costs one attempt. The budget of an endpoint bounds
/// the retries sent to it, so that others' failures do not overload it:
///
///   Budgets = onSuccess(std::move(Budgets), Endpoint, Limits);
///   auto [Decision, Left] = decideRetry(Failed, Budgets, Limits, Now, Draw);
///   Budgets = Left;
///   if (const auto *Again = std::get_if<Retry>(&Decision)) {
///     Needs.Exclude = Again->Exclude; // for chooseEndpoint
///     Budgets = onRetrySent(std::move(Budgets), Chosen, Limits);
///   }
///
/// A call that may not be repeated is never retried.
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
  /// Retries per recent success.
  double Fraction = 0.1;
  /// What a budget holds at most and at the start: how far back successes
  /// count.
  double EntryTokens = 20;
  double EndpointTokens = 6;
  unsigned MaxAttempts = 3;
  Duration BaseBackoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(2);
  /// A retry with less time than this before the deadline is not worth it.
  Duration LeastTimeLeft = std::chrono::milliseconds(200);

  auto tied() const {
    return std::tie(Fraction, EntryTokens, EndpointTokens, MaxAttempts,
                    BaseBackoff, MaxBackoff, LeastTimeLeft);
  }
};

/// The tokens left; an endpoint that is not named has a full budget.
struct RetryBudgets {
  double Entry = 0;
  std::map<EndpointId, double> Endpoints;

  auto tied() const { return std::tie(Entry, Endpoints); }
};

/// Why an attempt is made again; each has a counter.
enum class RetryReason {
  LinkLost,
  Timeout,
  EndpointFailed,
  EndpointUnavailable,
  EndpointLeaving,
  EndpointOverloaded,
};

/// Why it is not; each has a counter.
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
  /// The attempts made so far, this one included.
  unsigned Attempts = 1;
  TimePoint Deadline;
  /// Endpoints that earlier attempts failed on.
  std::vector<EndpointId> Tried;
};

/// Try again on an endpoint outside \p Exclude, after \p After.
struct Retry {
  RetryReason Reason = RetryReason::LinkLost;
  Duration Backoff{0};
  /// Those tried, and those whose own budget is used up.
  std::vector<EndpointId> Exclude;
  /// The same deadline as before, to be carried along.
  TimePoint Deadline;
};

/// Answer with \p Final at once.
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

RetryBudgets onSuccess(RetryBudgets Budgets, const EndpointId &Endpoint,
                       const RetryLimits &Limits);

/// Charges the budget of the endpoint that a retry is sent to. The entry's was
/// charged by the decision.
RetryBudgets onRetrySent(RetryBudgets Budgets, const EndpointId &Endpoint,
                         const RetryLimits &Limits);

/// Forgets the endpoints that are gone.
RetryBudgets keepOnly(RetryBudgets Budgets,
                      const std::vector<EndpointId> &Endpoints);

/// Decides on \p Failed; \p RandomDraw is any evenly drawn number. A call that
/// may not be repeated ends as OutcomeUnknown, unless the failure itself
/// proves that nothing was executed.
RetryOutcome decideRetry(const FailedAttempt &Failed, RetryBudgets Budgets,
                         const RetryLimits &Limits, TimePoint Now,
                         std::uint64_t RandomDraw);

/// Exponential backoff with full jitter: evenly drawn between zero and the
/// doubled base, before the attempt after \p Attempts.
Duration backoff(unsigned Attempts, const RetryLimits &Limits,
                 std::uint64_t RandomDraw);

const char *nameOf(RetryReason Reason);
const char *nameOf(GiveUpReason Reason);
/// All reasons, to register their counters.
const std::vector<RetryReason> &retryReasons();
const std::vector<GiveUpReason> &giveUpReasons();
std::ostream &operator<<(std::ostream &Out, RetryReason Reason);
std::ostream &operator<<(std::ostream &Out, GiveUpReason Reason);

} // namespace tamarack

#endif // TAMARACK_ROUTING_RETRYBUDGET_H
