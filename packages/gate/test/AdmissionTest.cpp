#include "tamarack/gate/Admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

QueuedCall call(const std::string &Name, CallClass Class,
                TokenCount AttainedService = 1) {
  QueuedCall Call;
  Call.Id = {ProgramId(Name), CallId("call"), 1};
  Call.Class = Class;
  Call.AttainedService = AttainedService;
  Call.PromptTokens = 100;
  Call.CachedTokens = 100;
  Call.MaxTokens = 100;
  Call.ArrivalTime = at(0);
  Call.Deadline = at(3600);
  return Call;
}

AdmissionLimits limits(std::size_t Running) {
  AdmissionLimits Limits;
  Limits.InitialRunningLimit = Running;
  Limits.MinRunningLimit = 1;
  return Limits;
}

/// "+a" for each call a that is sent, "-a" for a refusal and "!a" for a
/// cancellation.
std::string summarize(const AdmissionActions &Actions) {
  std::string Text;
  for (const AdmissionAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendCall>(&Action))
      Text += "+" + Send->Id.Program.text();
    if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
      Text += "-" + Refuse->Id.Program.text();
    if (const auto *Cancel = std::get_if<CancelCall>(&Action))
      Text += "!" + Cancel->Id.Program.text();
  }
  return Text;
}

Error refusalOf(const AdmissionActions &Actions) {
  BOOST_REQUIRE(Actions.size() == 1U);
  const auto *Refuse = std::get_if<RefuseCall>(&Actions[0]);
  BOOST_REQUIRE(Refuse != nullptr);
  return Refuse->Failure;
}

std::string arrive(AdmissionState &State, const QueuedCall &Call,
                   TimePoint Now = at(0)) {
  return summarize(onArrival(State, Call, Now));
}

std::string finish(AdmissionState &State, const std::string &Name,
                   TimePoint Now) {
  return summarize(
      onFinished(State, call(Name, CallClass::Normal).Id, 50, Now));
}

/// A state after the arrival of \p Count calls of \p Class, named r0, r1, ...
/// As many of them run as the limits allow.
AdmissionState stateWithRunningCalls(AdmissionLimits Limits, CallClass Class,
                                     int Count) {
  AdmissionState State(Limits);
  for (int Number = 0; Number < Count; ++Number)
    arrive(State, call("r" + std::to_string(Number), Class));
  return State;
}

void reportTokenIntervals(AdmissionState &State, milliseconds Interval) {
  for (std::size_t Count = 0; Count < State.Limits.SamplesPerAdjustment;
       ++Count)
    summarize(onTokenInterval(State, Interval, at(1)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_SUITE(ReservedShares)

BOOST_AUTO_TEST_CASE(HighCallStartsInReservedSlot) {
  AdmissionState State = stateWithRunningCalls(limits(8), CallClass::Normal, 8);
  BOOST_TEST(State.Running.size() == 6U);
  BOOST_TEST(arrive(State, call("lift", CallClass::High)) == "+lift");
}

BOOST_AUTO_TEST_CASE(LowKeepsReservedShareBehindHigherCalls) {
  AdmissionState State = stateWithRunningCalls(limits(8), CallClass::High, 20);
  arrive(State, call("bulk", CallClass::Low));
  BOOST_TEST(finish(State, "r0", at(1)) == "+bulk");
}

BOOST_AUTO_TEST_CASE(HigherClassStartsFirst) {
  AdmissionState State = stateWithRunningCalls(limits(4), CallClass::High, 4);
  for (CallClass Class : {CallClass::Low, CallClass::Normal})
    State.Limits.ReservedShare[Class] = 0;
  arrive(State, call("low", CallClass::Low));
  arrive(State, call("normal", CallClass::Normal));
  arrive(State, call("high", CallClass::High));
  BOOST_TEST(finish(State, "r0", at(1)) == "+high");
  BOOST_TEST(finish(State, "r1", at(1)) == "+normal");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SchedulingOrder)

BOOST_AUTO_TEST_CASE(LeastAttainedServiceFirstWithDiscountForWaiting) {
  struct TestCase {
    int Second;
    const char *Started;
  };
  // With a discount of 500 tokens per second of waiting, a difference of 9,000
  // tokens is made up after 18 seconds.
  for (const TestCase &Case :
       {TestCase{17, "+fresh"}, TestCase{19, "+served"}}) {
    AdmissionState State =
        stateWithRunningCalls(limits(1), CallClass::Normal, 1);
    State.Limits.ReservedShare = {};
    State.RunningLimit = 1;
    arrive(State, call("r0", CallClass::Normal));
    arrive(State, call("served", CallClass::Normal, 10'000));
    QueuedCall Fresh = call("fresh", CallClass::Normal, 1'000);
    Fresh.ArrivalTime = at(Case.Second);
    arrive(State, Fresh, at(Case.Second));
    const std::string Started = finish(
        State, State.Running.begin()->first.Program.text(), at(Case.Second));
    BOOST_TEST(Started == Case.Started,
               "after " << Case.Second << " s: " << Started);
  }
}

BOOST_AUTO_TEST_CASE(PromotedLowCallOvertakesNewerHighCall) {
  AdmissionState State(limits(1));
  State.Limits.ReservedShare = {};
  arrive(State, call("r0", CallClass::High));
  arrive(State, call("low", CallClass::Low));
  QueuedCall Newer = call("high", CallClass::High);
  Newer.ArrivalTime = at(61);
  arrive(State, Newer, at(61));
  BOOST_TEST(finish(State, "r0", at(61)) == "+low");
}

BOOST_AUTO_TEST_CASE(SmallCallDoesNotOvertakeCallWaitingForMemory) {
  AdmissionState State = stateWithRunningCalls(limits(8), CallClass::Normal, 1);
  State.Limits.MemoryTokens = 1'000;
  QueuedCall Large = call("a-large", CallClass::Normal);
  Large.PromptTokens = Large.CachedTokens = 850;
  BOOST_TEST(arrive(State, Large) == "");
  BOOST_TEST(arrive(State, call("small", CallClass::Normal)) == "");
  BOOST_TEST(finish(State, "r0", at(1)) == "+a-large");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Refusal)

BOOST_AUTO_TEST_CASE(ReturnedOnArrivalWithReasonAndProof) {
  AdmissionState Busy = stateWithRunningCalls(limits(4), CallClass::Normal, 60);
  struct TestCase {
    const char *Name;
    ErrorKind Kind;
    void (*Change)(AdmissionState &, QueuedCall &);
  };
  const TestCase Cases[] = {
      {"deadline", ErrorKind::DeadlineUnreachable,
       [](AdmissionState &, QueuedCall &Call) { Call.Deadline = at(5); }},
      {"new program", ErrorKind::Overloaded,
       [](AdmissionState &, QueuedCall &Call) { Call.AttainedService = 0; }},
      {"queue full", ErrorKind::Overloaded,
       [](AdmissionState &State, QueuedCall &) {
         State.Limits.MaxQueueLength = 40;
       }},
      {"too large", ErrorKind::LimitReached,
       [](AdmissionState &State, QueuedCall &Call) {
         Call.PromptTokens = State.Limits.MemoryTokens;
       }},
      {"leaving", ErrorKind::Leaving,
       [](AdmissionState &State, QueuedCall &) {
         summarize(onDrain(State, at(0)));
       }},
  };
  for (const TestCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Name) {
      AdmissionState State = Busy;
      QueuedCall Call = call("new", CallClass::Normal);
      Case.Change(State, Call);
      const Error Failure = refusalOf(onArrival(State, Call, at(0)));
      BOOST_TEST(Failure.Kind == Case.Kind);
      BOOST_TEST((Failure.Proof == NotRun::Proved));
    }
  }
}

BOOST_AUTO_TEST_CASE(RetryAfterGrowsWithQueueLength) {
  std::chrono::seconds Last(0);
  for (int Calls : {20, 60, 180}) {
    AdmissionState State =
        stateWithRunningCalls(limits(4), CallClass::Normal, Calls);
    const Error Failure =
        refusalOf(onArrival(State, call("new", CallClass::Normal, 0), at(0)));
    BOOST_REQUIRE(Failure.RetryAfter.has_value());
    BOOST_TEST(Failure.RetryAfter->count() > Last.count(),
               Calls << " calls: " << Failure.RetryAfter->count() << " s");
    Last = *Failure.RetryAfter;
  }
}

BOOST_AUTO_TEST_CASE(DuplicateAttemptIsRefusedWithoutProof) {
  AdmissionState State = stateWithRunningCalls(limits(8), CallClass::Normal, 1);
  const Error Failure =
      refusalOf(onArrival(State, call("r0", CallClass::Normal), at(0)));
  BOOST_TEST(Failure.Kind == ErrorKind::Fenced);
  BOOST_TEST((Failure.Proof == NotRun::Unproved));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkingSet)

BOOST_AUTO_TEST_CASE(NewProgramsOnlyUseFreeMemory) {
  struct TestCase {
    const char *Name;
    PerClass<TokenCount> Paused;
    CallClass Class;
    TokenCount AttainedService;
    const char *ExpectedActions;
  };
  // The working set is limited to 9,000 tokens, of which 2,250, 900 and 450 are
  // reserved for High, Normal and Low.
  const TestCase Cases[] = {
      {"room", {{3'000, 3'000, 0}}, CallClass::Normal, 0, "+x"},
      {"others' reserve", {{0, 6'200, 0}}, CallClass::Normal, 0, "-x"},
      {"own reserve", {{0, 8'900, 0}}, CallClass::High, 0, "+x"},
      {"started program", {{0, 8'900, 0}}, CallClass::Normal, 1, "+x"},
      {"floor", {{8'900, 0, 0}}, CallClass::Low, 0, "+x"},
  };
  for (const TestCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Name) {
      AdmissionState State(limits(8));
      State.Limits.MemoryTokens = 10'000;
      onPausedTokens(State, Case.Paused);
      BOOST_TEST(arrive(State, call("x", Case.Class, Case.AttainedService)) ==
                 Case.ExpectedActions);
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusedHigherClassTakesPrecedence) {
  AdmissionState State(limits(8));
  State.Limits.MemoryTokens = 10'000;
  onPausedTokens(State, {{7'600, 0, 0}});
  BOOST_TEST(arrive(State, call("high", CallClass::High, 0)) == "-high");
  onPausedTokens(State, {{5'000, 1'000, 0}});
  BOOST_TEST(arrive(State, call("x", CallClass::Normal, 0), at(4)) == "-x");
  BOOST_TEST(arrive(State, call("x", CallClass::Normal, 0), at(5)) == "+x");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EngineLoad)

BOOST_AUTO_TEST_CASE(PrefillBacklogIsBounded) {
  AdmissionState State(limits(8));
  auto Uncached = [](const std::string &Name, CallClass Class) {
    QueuedCall Call = call(Name, Class);
    Call.PromptTokens = 3'000; // 300 ms of prefill
    Call.CachedTokens = 0;
    return Call;
  };
  BOOST_TEST(arrive(State, Uncached("a", CallClass::Normal)) == "+a");
  BOOST_TEST(arrive(State, Uncached("b", CallClass::Normal)) == "");
  BOOST_TEST(arrive(State, Uncached("lift", CallClass::High)) == "+lift");
  summarize(onFirstToken(State, Uncached("a", CallClass::Normal).Id, at(1)));
  const AdmissionActions StartedCalls =
      onFirstToken(State, Uncached("lift", CallClass::High).Id, at(1));
  BOOST_TEST(summarize(StartedCalls) == "+b");
}

BOOST_AUTO_TEST_CASE(RunningLimitFollowsTokenInterval) {
  struct TestCase {
    int Milliseconds;
    std::size_t Limit;
  };
  for (const TestCase &Case :
       {TestCase{40, 21}, TestCase{61, 21}, TestCase{63, 20}, TestCase{72, 20},
        TestCase{73, 18}, TestCase{200, 18}}) {
    AdmissionState State =
        stateWithRunningCalls(limits(20), CallClass::Normal, 40);
    reportTokenIntervals(State, milliseconds(Case.Milliseconds));
    BOOST_TEST(State.RunningLimit == Case.Limit,
               Case.Milliseconds << " ms: " << State.RunningLimit);
  }
}

BOOST_AUTO_TEST_CASE(LimitIsNotDecreasedAgainBeforeDecreaseTakesEffect) {
  AdmissionState State = stateWithRunningCalls(limits(20), CallClass::High, 40);
  reportTokenIntervals(State, milliseconds(200));
  reportTokenIntervals(State, milliseconds(200));
  BOOST_TEST(State.RunningLimit == 18U);
}

BOOST_AUTO_TEST_CASE(LimitIsNotIncreasedWhileSlotsAreFree) {
  AdmissionState State = stateWithRunningCalls(limits(20), CallClass::High, 2);
  reportTokenIntervals(State, milliseconds(10));
  BOOST_TEST(State.RunningLimit == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DrainAndCancel)

BOOST_AUTO_TEST_CASE(DrainRefusesWaitingCallsAndFinishesRunningOnes) {
  AdmissionState State = stateWithRunningCalls(limits(2), CallClass::High, 4);
  const std::size_t Running = State.Running.size();
  BOOST_TEST(summarize(onDrain(State, at(1))) == "-r2-r3");
  BOOST_TEST(State.Running.size() == Running);
  BOOST_TEST(!isDrained(State));
  BOOST_TEST(finish(State, "r0", at(2)) == "");
  BOOST_TEST(finish(State, "r1", at(2)) == "");
  BOOST_TEST(isDrained(State));
}

BOOST_AUTO_TEST_CASE(CancelRefusesWaitingCallAndCancelsRunningOne) {
  AdmissionState State = stateWithRunningCalls(limits(2), CallClass::High, 3);
  BOOST_TEST(summarize(onCancel(State, call("r2", CallClass::High).Id,
                                at(1))) == "-r2");
  BOOST_TEST(summarize(onCancel(State, call("r0", CallClass::High).Id,
                                at(1))) == "!r0");
  BOOST_TEST(report(State).Waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
