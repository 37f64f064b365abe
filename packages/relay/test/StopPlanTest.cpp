#include "tamarack/relay/StopPlan.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};
const StopObservation Quiet;

StopObservation callers(HttpServerLoad Load) { return {Load, 0}; }

/// Advances \p Stage as far as \p Observed allows at \p Now.
StopStage advance(const StopPlan &Plan, StopStage Stage,
                  const StopObservation &Observed, TimePoint Now) {
  while (true) {
    const StopStage Next = nextStage(Plan, Stage, Observed, Now);
    if (Next == Stage)
      return Stage;
    Stage = Next;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(APlannedStop)

BOOST_AUTO_TEST_SUITE(IsPlanned)

BOOST_AUTO_TEST_CASE(WithinTheGraceOfThePlatform) {
  const StopPlan Plan = planStop(Start, 8s);
  BOOST_TEST((Plan.RefuseAt == Start + 2600ms));
  BOOST_TEST((Plan.SendBy == Start + 4800ms));
  BOOST_TEST((Plan.AnswerBy == Start + 7s));
  BOOST_TEST((Plan.ExitBy == Start + 7500ms));
}

/// Guards against a grace that is over before readiness checks take effect, so
/// that no request was ever refused and the rest was cut.
BOOST_AUTO_TEST_CASE(InFractionsOfAShortGrace) {
  const StopPlan Plan = planStop(Start, 2400ms);
  BOOST_TEST((Plan.RefuseAt == Start + 800ms));
  BOOST_TEST((Plan.SendBy == Start + 1450ms));
  BOOST_TEST((Plan.AnswerBy == Start + 2100ms));
  BOOST_TEST((Plan.ExitBy == Start + 2250ms));
}

BOOST_AUTO_TEST_CASE(AtOnceWithoutAGrace) {
  const StopPlan AtOnce{Start, Start, Start, Start};
  BOOST_TEST((planStop(Start, 0s) == AtOnce));
  BOOST_TEST((planStop(Start, -5s) == AtOnce));
}

/// Guards against an overflow that puts the end of a stop before its beginning.
BOOST_AUTO_TEST_CASE(WithAnyLengthOfTheGrace) {
  const StopPlan Plan = planStop(Start, Duration::max());
  BOOST_TEST((Plan.RefuseAt == Start + 2600ms));
  BOOST_TEST((Plan.SendBy > Start + 1h));
  BOOST_TEST((Plan.AnswerBy > Plan.SendBy));
  BOOST_TEST((Plan.ExitBy > Plan.AnswerBy));
}

BOOST_AUTO_TEST_CASE(WithTimeForTheLastAnswers) {
  const StopPlan Plan = planStop(Start, 8s);
  BOOST_TEST((withClosingTime(Plan, Start + 3s) == Plan));
  BOOST_TEST((withClosingTime(Plan, Start + 7400ms).ExitBy == Start + 7600ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Advances)

BOOST_AUTO_TEST_CASE(ToRefusingWhenReadinessChecksHaveTakenEffect) {
  const StopPlan Plan = planStop(Start, 8s);
  BOOST_TEST((nextStage(Plan, StopStage::Announced, Quiet,
                        Plan.RefuseAt - 1us) == StopStage::Announced));
  BOOST_TEST((nextStage(Plan, StopStage::Announced, Quiet, Plan.RefuseAt) ==
              StopStage::Refusing));
}

BOOST_AUTO_TEST_CASE(ToTheEndAsSoonAsNothingIsLeft) {
  const StopPlan Plan = planStop(Start, 8s);
  BOOST_TEST((advance(Plan, StopStage::Announced, Quiet, Plan.RefuseAt) ==
              StopStage::Ended));
}

/// Guards against an exit that resets what has arrived: a running request, one
/// that is partly read, one in the listen queue, or a record on its way.
BOOST_AUTO_TEST_CASE(ToClosingOnlyWhenNothingHasArrived) {
  const StopPlan Plan = planStop(Start, 8s);
  for (const StopObservation &Observed :
       {callers({1, 0, 0, 0}), callers({0, 1, 0, 0}), callers({0, 0, 1, 0}),
        StopObservation{{}, 1}}) {
    BOOST_TEST((advance(Plan, StopStage::Announced, Observed,
                        Plan.AnswerBy - 1us) == StopStage::Refusing));
    BOOST_TEST((advance(Plan, StopStage::Announced, Observed, Plan.AnswerBy) ==
                StopStage::Closing));
    BOOST_TEST((advance(Plan, StopStage::Closing, Observed,
                        Plan.ExitBy - 1us) == StopStage::Closing));
    BOOST_TEST((nextStage(Plan, StopStage::Closing, Observed, Plan.ExitBy) ==
                StopStage::Ended));
  }
}

BOOST_AUTO_TEST_CASE(ToClosingWithIdleConnections) {
  const StopPlan Plan = planStop(Start, 8s);
  const StopObservation Idle = callers({0, 0, 0, 3});
  BOOST_TEST((advance(Plan, StopStage::Refusing, Idle, Plan.RefuseAt) ==
              StopStage::Closing));
}

/// Guards against an exit without an answer by a process that was not scheduled
/// until its grace was over.
BOOST_AUTO_TEST_CASE(ThroughAllStagesAfterAStandstill) {
  const StopPlan Plan = planStop(Start, 8s);
  const StopObservation Waiting = callers({0, 0, 1, 0});
  const TimePoint Late = Start + 9s;
  StopStage Stage = nextStage(Plan, StopStage::Announced, Waiting, Late);
  BOOST_TEST((Stage == StopStage::Refusing));
  Stage = nextStage(Plan, Stage, Waiting, Late);
  BOOST_TEST((Stage == StopStage::Closing));
  BOOST_TEST((nextStage(withClosingTime(Plan, Late), Stage, Waiting, Late) ==
              StopStage::Closing));
}

/// Guards against stages that go back, come after the plan's times, or close
/// while something has arrived, for any grace and any observations.
BOOST_AUTO_TEST_CASE(InOrderAndInTimeInAllHistories) {
  std::size_t Early = 0;
  const bool Holds = rc::check([&] {
    const Duration Grace = std::chrono::milliseconds(
        *rc::gen::element(0, 1, 40, 900, 2599, 2601, 8000, 60000));
    StopPlan Plan = planStop(Start, Grace);
    RC_ASSERT(Start <= Plan.RefuseAt);
    RC_ASSERT(Plan.RefuseAt <= Plan.SendBy);
    RC_ASSERT(Plan.SendBy <= Plan.AnswerBy);
    RC_ASSERT(Plan.AnswerBy <= Plan.ExitBy);
    RC_ASSERT(Plan.ExitBy <= Start + Grace);
    StopStage Stage = StopStage::Announced;
    TimePoint Now = Start;
    while (Stage != StopStage::Ended) {
      const auto Count = [] {
        return *rc::gen::element<std::size_t>(0, 0, 0, 2);
      };
      const StopObservation Observed{{Count(), Count(), Count(), Count()},
                                     Count()};
      const StopStage Before = Stage;
      Stage = nextStage(Plan, Stage, Observed, Now);
      RC_ASSERT(Stage == Before ||
                static_cast<int>(Stage) == static_cast<int>(Before) + 1);
      const bool HasArrived =
          Observed.Callers.Running + Observed.Callers.Arriving +
              Observed.Callers.Unaccepted + Observed.UnsettledRecords >
          0;
      if (Stage == StopStage::Announced)
        RC_ASSERT(Now < Plan.RefuseAt);
      else
        RC_ASSERT(Now >= Plan.RefuseAt);
      if (Stage == StopStage::Refusing && Before == Stage)
        RC_ASSERT(Now < Plan.AnswerBy && HasArrived);
      if (Stage == StopStage::Closing && Before != Stage) {
        RC_ASSERT(Now >= Plan.AnswerBy || !HasArrived);
        Early += Now < Plan.AnswerBy ? 1 : 0;
        Plan = withClosingTime(Plan, Now);
      }
      if (Stage == StopStage::Closing && Before == Stage)
        RC_ASSERT(Now < Plan.ExitBy);
      if (Stage == StopStage::Ended)
        RC_ASSERT(Now >= Plan.ExitBy || Observed == Quiet);
      if (Stage == Before)
        Now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
    }
  });
  BOOST_TEST(Holds);
  BOOST_TEST(Early > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
