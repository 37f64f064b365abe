#include "tamarack/routing/RetryBudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

namespace tamarack {
namespace {

using std::chrono::milliseconds;

const EndpointId A("a");
const EndpointId B("b");
const TimePoint Now(std::chrono::seconds(100));

/// A repeatable call whose first attempt at A lost its link.
FailedAttempt failed() {
  FailedAttempt Attempt;
  Attempt.Failure = {ErrorKind::LinkLost, "link lost", NotRun::Unproved,
                     std::nullopt};
  Attempt.Endpoint = A;
  Attempt.Repeatable = true;
  Attempt.Deadline = Now + std::chrono::seconds(10);
  return Attempt;
}

RetryDecision decide(const FailedAttempt &Attempt,
                     const RetryBudgets &Budgets = fullRetryBudgets({})) {
  return decideRetry(Attempt, Budgets, RetryLimits(), Now, 49'000).Decision;
}

struct TestCase {
  const char *Description;
  void (*Change)(FailedAttempt &);
  /// Empty if the attempt is retried.
  std::optional<GiveUpReason> Expected;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

BOOST_AUTO_TEST_CASE(RetriesOnlyRepeatableCallsWithTimeAndAttemptsLeft) {
  const std::vector<TestCase> Cases = {
      {"a broken link", [](FailedAttempt &) {}, std::nullopt},
      {"not repeatable",
       [](FailedAttempt &Attempt) { Attempt.Repeatable = false; },
       GiveUpReason::NotRepeatable},
      {"not repeatable, though proved not run",
       [](FailedAttempt &Attempt) {
         Attempt.Repeatable = false;
         Attempt.Failure.Proof = NotRun::Proved;
       },
       GiveUpReason::NotRepeatable},
      {"the fault is the caller's",
       [](FailedAttempt &Attempt) {
         Attempt.Failure.Kind = ErrorKind::MalformedRequest;
       },
       GiveUpReason::NotRetryable},
      {"fenced by another owner",
       [](FailedAttempt &Attempt) { Attempt.Failure.Kind = ErrorKind::Fenced; },
       GiveUpReason::NotRetryable},
      {"the second attempt",
       [](FailedAttempt &Attempt) { Attempt.Attempts = 2; }, std::nullopt},
      {"the third attempt",
       [](FailedAttempt &Attempt) { Attempt.Attempts = 3; },
       GiveUpReason::AttemptsUsedUp},
      {"just enough time: the backoff and 200 ms",
       [](FailedAttempt &Attempt) {
         Attempt.Deadline = Now + milliseconds(249);
       },
       std::nullopt},
      {"not enough time",
       [](FailedAttempt &Attempt) {
         Attempt.Deadline = Now + milliseconds(248);
       },
       GiveUpReason::DeadlineTooClose},
  };
  for (const TestCase &Case : Cases) {
    FailedAttempt Attempt = failed();
    Case.Change(Attempt);
    const RetryDecision Decision = decide(Attempt);
    const auto *GivenUp = std::get_if<GiveUp>(&Decision);
    BOOST_TEST_INFO(Case.Description);
    BOOST_TEST((GivenUp != nullptr) == Case.Expected.has_value());
    if (GivenUp && Case.Expected)
      BOOST_TEST(GivenUp->Reason == *Case.Expected, Case.Description);
  }
}

BOOST_AUTO_TEST_CASE(RetriesExcludeFailedEndpointsAndKeepTheDeadline) {
  FailedAttempt Attempt = failed();
  Attempt.Tried = {B};
  const RetryDecision Decision = decide(Attempt);
  const auto &Again = std::get<Retry>(Decision);
  BOOST_TEST((Again.Exclude == std::vector<EndpointId>{B, A}));
  BOOST_TEST((Again.Deadline == Attempt.Deadline));
  BOOST_TEST(Again.Backoff.count() == 49'000);
  BOOST_TEST(Again.Reason == RetryReason::LinkLost);
}

BOOST_AUTO_TEST_CASE(RetriesExcludeEndpointsWithoutBudget) {
  const RetryLimits Limits;
  RetryBudgets Budgets = fullRetryBudgets(Limits);
  for (int I = 0; I < 6; ++I)
    Budgets = onRetrySent(std::move(Budgets), B, Limits);
  const RetryDecision UsedUp = decide(failed(), Budgets);
  BOOST_TEST(
      (std::get<Retry>(UsedUp).Exclude == std::vector<EndpointId>{A, B}));
  for (int I = 0; I < 11; ++I)
    Budgets = onSuccess(std::move(Budgets), B, Limits);
  const RetryDecision Refilled = decide(failed(), Budgets);
  BOOST_TEST((std::get<Retry>(Refilled).Exclude == std::vector<EndpointId>{A}));
}

BOOST_AUTO_TEST_CASE(FinalErrorsStateNotRunOnlyIfTheFailureProvesIt) {
  FailedAttempt Attempt = failed();
  Attempt.Repeatable = false;
  RetryDecision Decision = decide(Attempt);
  BOOST_TEST(std::get<GiveUp>(Decision).Final.Kind ==
             ErrorKind::OutcomeUnknown);
  BOOST_TEST((std::get<GiveUp>(Decision).Final.Proof == NotRun::Unproved));
  Attempt.Failure.Proof = NotRun::Proved;
  Decision = decide(Attempt);
  BOOST_TEST((std::get<GiveUp>(Decision).Final == Attempt.Failure));
}

BOOST_AUTO_TEST_CASE(BackoffStaysBelowADoublingBound) {
  BOOST_TEST(rc::check([] {
    const RetryLimits Limits;
    const unsigned Attempts = *rc::gen::inRange(1U, 100U);
    const auto Draw = *rc::gen::arbitrary<std::uint64_t>();
    const Duration Backoff = backoff(Attempts, Limits, Draw);
    const Duration Bound =
        Limits.BaseBackoff * (1 << std::min(Attempts - 1, 6U));
    RC_ASSERT(Backoff.count() >= 0);
    RC_ASSERT(Backoff <= std::min(Bound, Limits.MaxBackoff));
  }));
}

BOOST_AUTO_TEST_CASE(RetriesNeverExceedTheBudget) {
  BOOST_TEST(rc::check([] {
    const RetryLimits Limits;
    RetryBudgets Budgets = fullRetryBudgets(Limits);
    double Successes = 0;
    double Retries = 0;
    const auto Events =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 3));
    for (int Event : Events) {
      if (Event == 0) {
        ++Successes;
        Budgets = onSuccess(std::move(Budgets), A, Limits);
        continue;
      }
      FailedAttempt Attempt = failed();
      Attempt.Repeatable = Event == 1;
      RetryOutcome Outcome =
          decideRetry(Attempt, std::move(Budgets), Limits, Now, 0);
      Budgets = std::move(Outcome.Budgets);
      const bool Again = std::holds_alternative<Retry>(Outcome.Decision);
      RC_ASSERT(Attempt.Repeatable || !Again);
      Retries += Again ? 1 : 0;
    }
    const double MaxRetries = Limits.EntryTokens + Limits.Fraction * Successes;
    RC_ASSERT(Retries <= MaxRetries + 1e-9);
  }));
}

BOOST_AUTO_TEST_CASE(EveryReasonHasAUniqueCounterName) {
  std::set<std::string> Names;
  for (RetryReason Reason : retryReasons())
    Names.insert(nameOf(Reason));
  for (GiveUpReason Reason : giveUpReasons())
    Names.insert(nameOf(Reason));
  BOOST_TEST(Names.size() == retryReasons().size() + giveUpReasons().size());
  BOOST_TEST(Names.count("unknown") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
