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

/// A repeatable call whose first attempt at A broke off.
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

struct Row {
  const char *Story;
  void (*Change)(FailedAttempt &);
  /// Empty: it is tried again.
  std::optional<GiveUpReason> Expected;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(OnlyRepeatableCallsWithTimeAndAttemptsLeftAreRetried) {
  const std::vector<Row> Rows = {
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
      {"fenced off",
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
  for (const Row &Case : Rows) {
    FailedAttempt Attempt = failed();
    Case.Change(Attempt);
    const RetryDecision Decided = decide(Attempt);
    const auto *End = std::get_if<GiveUp>(&Decided);
    BOOST_TEST_INFO(Case.Story);
    BOOST_TEST((End != nullptr) == Case.Expected.has_value());
    if (End && Case.Expected)
      BOOST_TEST(End->Reason == *Case.Expected, Case.Story);
  }
}

BOOST_AUTO_TEST_CASE(ARetryAvoidsFailedEndpointsAndKeepsTheDeadline) {
  FailedAttempt Attempt = failed();
  Attempt.Tried = {B};
  const RetryDecision Decided = decide(Attempt);
  const auto &Again = std::get<Retry>(Decided);
  BOOST_TEST((Again.Exclude == std::vector<EndpointId>{B, A}));
  BOOST_TEST((Again.Deadline == Attempt.Deadline));
  BOOST_TEST(Again.Backoff.count() == 49'000);
  BOOST_TEST(Again.Reason == RetryReason::LinkLost);
}

BOOST_AUTO_TEST_CASE(AnEndpointWhoseBudgetIsUsedUpGetsNoRetries) {
  const RetryLimits Limits;
  RetryBudgets Budgets = fullRetryBudgets(Limits);
  for (int I = 0; I < 6; ++I)
    Budgets = onRetrySent(std::move(Budgets), B, Limits);
  const RetryDecision Dry = decide(failed(), Budgets);
  BOOST_TEST((std::get<Retry>(Dry).Exclude == std::vector<EndpointId>{A, B}));
  for (int I = 0; I < 11; ++I)
    Budgets = onSuccess(std::move(Budgets), B, Limits);
  const RetryDecision Refilled = decide(failed(), Budgets);
  BOOST_TEST((std::get<Retry>(Refilled).Exclude == std::vector<EndpointId>{A}));
}

BOOST_AUTO_TEST_CASE(TheFinalErrorSaysNotRunOnlyWhenTheFailureProvesIt) {
  FailedAttempt Attempt = failed();
  Attempt.Repeatable = false;
  RetryDecision Decided = decide(Attempt);
  BOOST_TEST(std::get<GiveUp>(Decided).Final.Kind == ErrorKind::OutcomeUnknown);
  BOOST_TEST((std::get<GiveUp>(Decided).Final.Proof == NotRun::Unproved));
  Attempt.Failure.Proof = NotRun::Proved;
  Decided = decide(Attempt);
  BOOST_TEST((std::get<GiveUp>(Decided).Final == Attempt.Failure));
}

BOOST_AUTO_TEST_CASE(BackoffIsDrawnBelowADoublingBound) {
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

BOOST_AUTO_TEST_CASE(RetriesNeverExceedTheBudgetWhateverHappens) {
  BOOST_TEST(rc::check([] {
    const RetryLimits Limits;
    RetryBudgets Budgets = fullRetryBudgets(Limits);
    double Successes = 0;
    double Retries = 0;
    const auto Outcomes =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 3));
    for (int Outcome : Outcomes) {
      if (Outcome == 0) {
        ++Successes;
        Budgets = onSuccess(std::move(Budgets), A, Limits);
        continue;
      }
      FailedAttempt Attempt = failed();
      Attempt.Repeatable = Outcome == 1;
      RetryOutcome Decided =
          decideRetry(Attempt, std::move(Budgets), Limits, Now, 0);
      Budgets = std::move(Decided.Budgets);
      const bool Again = std::holds_alternative<Retry>(Decided.Decision);
      RC_ASSERT(Attempt.Repeatable || !Again);
      Retries += Again ? 1 : 0;
    }
    const double Most = Limits.EntryTokens + Limits.Fraction * Successes;
    RC_ASSERT(Retries <= Most + 1e-9);
  }));
}

BOOST_AUTO_TEST_CASE(EveryReasonHasACounterNameOfItsOwn) {
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
