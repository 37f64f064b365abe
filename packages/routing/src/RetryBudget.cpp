#include "tamarack/routing/RetryBudget.h"

#include <algorithm>
#include <optional>
#include <set>

namespace tamarack {
namespace {

/// Why a failure of \p Kind may be retried at another endpoint; empty if it may
/// not.
std::optional<RetryReason> retryReasonOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::LinkLost:
    return RetryReason::LinkLost;
  case ErrorKind::Timeout:
    return RetryReason::Timeout;
  case ErrorKind::EndpointFailed:
    return RetryReason::EndpointFailed;
  case ErrorKind::EndpointUnavailable:
    return RetryReason::EndpointUnavailable;
  case ErrorKind::Leaving:
    return RetryReason::EndpointLeaving;
  case ErrorKind::Overloaded:
    return RetryReason::EndpointOverloaded;
  default:
    return std::nullopt;
  }
}

/// The tokens of \p Endpoint; adds a full budget if there is none.
double &tokensOf(RetryBudgets &Budgets, const EndpointId &Endpoint,
                 const RetryLimits &Limits) {
  return Budgets.Endpoints.emplace(Endpoint, Limits.EndpointTokens)
      .first->second;
}

/// Takes one token from the entry's budget. Returns false if there is none.
bool spend(RetryBudgets &Budgets) {
  if (Budgets.Entry < 1)
    return false;
  Budgets.Entry -= 1;
  return true;
}

/// The error to answer a call with if it is not retried.
Error finalError(const FailedAttempt &Failed) {
  Error Final = Failed.Failure;
  if (Failed.Repeatable || Final.Proof == NotRun::Proved)
    return Final;
  Final.Kind = ErrorKind::OutcomeUnknown;
  Final.RetryAfter.reset();
  return Final;
}

/// Why the attempt must not be retried, regardless of the budgets; empty if it
/// may.
std::optional<GiveUpReason> giveUpReason(const FailedAttempt &Failed,
                                         const RetryLimits &Limits,
                                         Duration Backoff, TimePoint Now) {
  if (!Failed.Repeatable)
    return GiveUpReason::NotRepeatable;
  if (!retryReasonOf(Failed.Failure.Kind))
    return GiveUpReason::NotRetryable;
  if (Failed.Attempts >= Limits.MaxAttempts)
    return GiveUpReason::AttemptsUsedUp;
  if (Now + Backoff + Limits.MinTimeLeft > Failed.Deadline)
    return GiveUpReason::DeadlineTooClose;
  return std::nullopt;
}

Retry makeRetry(const FailedAttempt &Failed, const RetryBudgets &Budgets,
                Duration Backoff) {
  Retry Again;
  Again.Reason = *retryReasonOf(Failed.Failure.Kind);
  Again.Backoff = Backoff;
  Again.Exclude = Failed.Tried;
  Again.Exclude.push_back(Failed.Endpoint);
  for (const auto &[Endpoint, Tokens] : Budgets.Endpoints)
    if (Tokens < 1)
      Again.Exclude.push_back(Endpoint);
  Again.Deadline = Failed.Deadline;
  return Again;
}

} // namespace

RetryBudgets fullRetryBudgets(const RetryLimits &Limits) {
  return {Limits.EntryTokens, {}};
}

RetryBudgets onSuccess(RetryBudgets Budgets, const EndpointId &Endpoint,
                       const RetryLimits &Limits) {
  double &Tokens = tokensOf(Budgets, Endpoint, Limits);
  Tokens = std::min(Tokens + Limits.Fraction, Limits.EndpointTokens);
  Budgets.Entry = std::min(Budgets.Entry + Limits.Fraction, Limits.EntryTokens);
  return Budgets;
}

RetryBudgets onRetrySent(RetryBudgets Budgets, const EndpointId &Endpoint,
                         const RetryLimits &Limits) {
  double &Tokens = tokensOf(Budgets, Endpoint, Limits);
  Tokens = std::max(Tokens - 1, 0.0);
  return Budgets;
}

RetryBudgets retainEndpoints(RetryBudgets Budgets,
                             const std::vector<EndpointId> &Endpoints) {
  const std::set<EndpointId> Retained(Endpoints.begin(), Endpoints.end());
  for (auto It = Budgets.Endpoints.begin(); It != Budgets.Endpoints.end();)
    It =
        Retained.count(It->first) ? std::next(It) : Budgets.Endpoints.erase(It);
  return Budgets;
}

RetryOutcome decideRetry(const FailedAttempt &Failed, RetryBudgets Budgets,
                         const RetryLimits &Limits, TimePoint Now,
                         std::uint64_t RandomDraw) {
  const Duration Backoff = backoff(Failed.Attempts, Limits, RandomDraw);
  auto GiveUpCause = giveUpReason(Failed, Limits, Backoff, Now);
  if (!GiveUpCause && !spend(Budgets))
    GiveUpCause = GiveUpReason::BudgetUsedUp;
  if (GiveUpCause)
    return {GiveUp{*GiveUpCause, finalError(Failed)}, std::move(Budgets)};
  Retry Again = makeRetry(Failed, Budgets, Backoff);
  return {std::move(Again), std::move(Budgets)};
}

Duration backoff(unsigned Attempts, const RetryLimits &Limits,
                 std::uint64_t RandomDraw) {
  Duration Bound = Limits.BaseBackoff;
  for (unsigned I = 1; I < Attempts && Bound < Limits.MaxBackoff; ++I)
    Bound *= 2;
  Bound = std::min(Bound, Limits.MaxBackoff);
  const auto Range = static_cast<std::uint64_t>(Bound.count()) + 1;
  return Duration(static_cast<Duration::rep>(RandomDraw % Range));
}

const char *nameOf(RetryReason Reason) {
  switch (Reason) {
  case RetryReason::LinkLost:
    return "link_lost";
  case RetryReason::Timeout:
    return "timeout";
  case RetryReason::EndpointFailed:
    return "endpoint_failed";
  case RetryReason::EndpointUnavailable:
    return "endpoint_unavailable";
  case RetryReason::EndpointLeaving:
    return "endpoint_leaving";
  case RetryReason::EndpointOverloaded:
    return "endpoint_overloaded";
  }
  return "unknown";
}

const char *nameOf(GiveUpReason Reason) {
  switch (Reason) {
  case GiveUpReason::NotRepeatable:
    return "not_repeatable";
  case GiveUpReason::NotRetryable:
    return "not_retryable";
  case GiveUpReason::AttemptsUsedUp:
    return "attempts_used_up";
  case GiveUpReason::DeadlineTooClose:
    return "deadline_too_close";
  case GiveUpReason::BudgetUsedUp:
    return "budget_used_up";
  }
  return "unknown";
}

const std::vector<RetryReason> &retryReasons() {
  static const std::vector<RetryReason> All = {
      RetryReason::LinkLost,        RetryReason::Timeout,
      RetryReason::EndpointFailed,  RetryReason::EndpointUnavailable,
      RetryReason::EndpointLeaving, RetryReason::EndpointOverloaded};
  return All;
}

const std::vector<GiveUpReason> &giveUpReasons() {
  static const std::vector<GiveUpReason> All = {
      GiveUpReason::NotRepeatable, GiveUpReason::NotRetryable,
      GiveUpReason::AttemptsUsedUp, GiveUpReason::DeadlineTooClose,
      GiveUpReason::BudgetUsedUp};
  return All;
}

std::ostream &operator<<(std::ostream &Out, RetryReason Reason) {
  return Out << nameOf(Reason);
}

std::ostream &operator<<(std::ostream &Out, GiveUpReason Reason) {
  return Out << nameOf(Reason);
}

} // namespace tamarack
