/// Checks bounds on the results of the routing and retry policies, measured on
/// the fakes of the benchmarks.
#include "BurstFake.h"
#include "RetryFake.h"
#include "RoutingFake.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {
namespace {

double movesPerProgram(const RoutingResult &Result) {
  return static_cast<double>(Result.Moves) /
         static_cast<double>(Result.Programs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingPolicyTest)

BOOST_AUTO_TEST_SUITE(StaleReports)

BOOST_AUTO_TEST_CASE(CostBeatsRoundRobinAndLeastLoadedAtAnyReportPeriod) {
  for (int Seconds : {0, 1, 2, 5}) {
    RoutingPlan Plan;
    Plan.ReportPeriod = std::chrono::seconds(Seconds);
    const auto ByCost = runRouting(Plan, Policy::ByCost);
    const auto RoundRobin = runRouting(Plan, Policy::RoundRobin);
    const auto LeastLoaded = runRouting(Plan, Policy::LeastLoaded);
    BOOST_TEST_CONTEXT("reports every " << Seconds << " s") {
      BOOST_TEST(ByCost.LoadImbalance <= 1.8);
      BOOST_TEST(ByCost.CacheHitRate >= 0.99);
      BOOST_TEST(movesPerProgram(ByCost) <= 0.05);
      BOOST_TEST(ByCost.MeanWaitSeconds <= 0.1);
      BOOST_TEST(ByCost.MeanProgramSeconds < RoundRobin.MeanProgramSeconds);
      BOOST_TEST(ByCost.MeanProgramSeconds < LeastLoaded.MeanProgramSeconds);
    }
  }
}

BOOST_AUTO_TEST_CASE(ProgramsStayUnderHighLoad) {
  RoutingPlan Plan;
  Plan.Utilisation = 1.05;
  const auto Result = runRouting(Plan, Policy::ByCost);
  BOOST_TEST(movesPerProgram(Result) <= 0.1);
  BOOST_TEST(Result.CacheHitRate >= 0.99);
  BOOST_TEST(Result.LoadImbalance <= 1.6);
}

BOOST_AUTO_TEST_CASE(ASubsetIsNearlyAsGoodAsTheWholeFleet) {
  RoutingPlan Plan;
  Plan.Entries = 40;
  Plan.Endpoints = 400;
  Plan.SubsetTarget = 48;
  Plan.ReportPeriod = std::chrono::seconds(2);
  Plan.RunTime = std::chrono::seconds(90);
  const auto Subset = runRouting(Plan, Policy::ByCost);
  Plan.SubsetTarget = Plan.Endpoints;
  const auto Whole = runRouting(Plan, Policy::ByCost);
  BOOST_TEST(Subset.MeanProgramSeconds <= 1.05 * Whole.MeanProgramSeconds);
  BOOST_TEST(Subset.LoadImbalance <= 1.2 * Whole.LoadImbalance);
}

BOOST_AUTO_TEST_CASE(ProgramsOfALeavingEndpointAreSpreadOverTheRest) {
  RoutingPlan Plan;
  Plan.ReportPeriod = std::chrono::seconds(5);
  const auto Undisturbed = runRouting(Plan, Policy::ByCost);
  Plan.LeavesAt = std::chrono::seconds(150);
  const auto Result = runRouting(Plan, Policy::ByCost);
  BOOST_TEST(Result.SentToLeaving == 0U);
  BOOST_TEST(Result.WorstLoadImbalance <=
             1.25 * Undisturbed.WorstLoadImbalance);
  BOOST_TEST(Result.MeanProgramSeconds <=
             1.05 * Undisturbed.MeanProgramSeconds);
}

BOOST_AUTO_TEST_CASE(ABurstIsSpreadWithoutReports) {
  BOOST_TEST(burstImbalance(28, 14) <= 4.0);
  BOOST_TEST(burstImbalance(140, 14) <= 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetriesUnderFailure)

BOOST_AUTO_TEST_CASE(RetriesAddAtMostATenthToTheRequests) {
  for (double FailureRate : {0.01, 0.1, 0.5, 1.0}) {
    RetryPlan Plan;
    Plan.FailureRate = FailureRate;
    const RetryResult Result = runRetries(Plan);
    BOOST_TEST_CONTEXT(FailureRate << " of the attempts fail") {
      BOOST_TEST(Result.AttemptsPerRequest <= 1.1);
      BOOST_TEST(Result.NonRepeatableRetried == 0U);
      BOOST_TEST(Result.PastDeadline == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(RepeatableCallsSucceedDespiteRareFailures) {
  RetryPlan Plan;
  Plan.RepeatableShare = 1;
  Plan.FailureRate = 0.01;
  BOOST_TEST(runRetries(Plan).Succeeded >= 0.999);
  Plan.FailureRate = 0;
  Plan.DeadEndpoints = 1;
  BOOST_TEST(runRetries(Plan).Succeeded >= 0.999);
  Plan.UseHealth = false;
  BOOST_TEST(runRetries(Plan).Succeeded >= 0.99);
}

BOOST_AUTO_TEST_CASE(EjectionIsBoundedIfMostOfTheFleetFails) {
  RetryPlan Plan;
  Plan.DeadEndpoints = 7;
  BOOST_TEST(runRetries(Plan).MaxEjected <= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
