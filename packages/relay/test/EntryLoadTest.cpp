#include "tamarack/relay/EntryLoad.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr Duration Target = 240ms;
/// The delay of the loop that makes turns miss Target.
constexpr Duration Limit = Target / WaitsPerTurn;

/// The entries of a region, each with its own picture of the others. Reports
/// pass at every step.
struct Region {
  struct Member {
    InstanceId Name;
    EntryLoad Load;
    EntryRotation Rotation;
    bool IsLost = false;
  };

  void add(const std::string &Name, const std::string &DataCentre) {
    Members.push_back({InstanceId(Name),
                       {0ms, DataCentreId(DataCentre)},
                       {InstanceId(Name), DataCentreId(DataCentre)}});
  }
  Member &member(const std::string &Name) {
    return *std::find_if(
        Members.begin(), Members.end(),
        [&Name](const Member &Each) { return Each.Name.text() == Name; });
  }
  bool isOut(const std::string &Name) { return member(Name).Rotation.isOut(); }
  void setDelay(const std::string &Name, Duration Delay) {
    member(Name).Load.Behind = Delay;
  }
  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End; Now += 40ms) {
      LoadByEntry News;
      for (Member &Each : Members) {
        Each.Load.IsReady = !Each.Rotation.isOut();
        if (!Each.IsLost && AreReported)
          News[Each.Name] = Each.Load;
      }
      for (Member &Each : Members) {
        if (AreReported)
          Each.Rotation.hear(News, Now);
        Each.Rotation.update(Each.Load.Behind, Target, Now);
      }
    }
  }

  std::vector<Member> Members;
  TimePoint Now = Start;
  bool AreReported = true;
};

/// Two data centres with two and three entries.
struct RegionFixture : Region {
  RegionFixture() {
    for (const char *Name : {"a1", "a2"})
      add(Name, "a");
    for (const char *Name : {"b1", "b2", "b3"})
      add(Name, "b");
    run(1s);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheDelayOfTheLoop)

BOOST_AUTO_TEST_CASE(IsFoundWithinAFewProbes) {
  LoopDelay Delay;
  for (int Probe = 0; Probe < 5; ++Probe)
    Delay.observe(100ms);
  BOOST_TEST((Delay.value() > 80ms && Delay.value() <= 100ms));
  for (int Probe = 0; Probe < 12; ++Probe)
    Delay.observe(0ms);
  BOOST_TEST((Delay.value() < 10ms));
}

// Guards against a process that was stopped for seconds, or whose share of the
// processor is used up now and then.
BOOST_AUTO_TEST_CASE(IsNotWhatTheProcessStoodStillForOnce) {
  LoopDelay Delay;
  for (int Probe = 0; Probe < 20; ++Probe)
    Delay.observe(Probe % 4 == 0 ? 3s : 2ms);
  BOOST_TEST((Delay.value() <= 2ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryThatIsBehind)

BOOST_AUTO_TEST_CASE(RefusesWhatIsBetterServedElsewhereOrNotAtAll) {
  struct Row {
    const char *Name;
    Duration Delay;
    LoadDemand Demand;
    LoadVerdict Verdict;
  };
  const auto Admitted = LoadVerdict::Admitted;
  const auto TooBusy = LoadVerdict::TooBusy;
  const auto TooLate = LoadVerdict::TooLate;
  const std::vector<Row> Rows = {
      {"usual service", 5ms, {true, true, 240ms, 4s, true}, Admitted},
      {"new, others idle", 21ms, {true, true, 240ms, 4s, true}, TooBusy},
      {"under way, others idle",
       21ms,
       {true, false, 240ms, 4s, true},
       Admitted},
      {"a call of a program", 21ms, {false, true, 240ms, 4s, true}, Admitted},
      {"a laxer objective", 21ms, {true, true, 600ms, 4s, true}, Admitted},
      {"new, all are busy", 50ms, {true, true, 240ms, 4s, false}, Admitted},
      {"new, far behind", 85ms, {true, true, 240ms, 4s, false}, TooBusy},
      {"under way, far behind",
       85ms,
       {true, false, 240ms, 4s, false},
       Admitted},
      {"under way, too late", 85ms, {true, false, 240ms, 1s, false}, TooLate},
      {"call, too late", 85ms, {false, false, 240ms, 400ms, false}, TooLate},
      {"idle, no time left", 0ms, {true, true, 240ms, -1ms, false}, Admitted},
  };
  for (const Row &Each : Rows)
    BOOST_TEST((judgeLoad(Each.Delay, Each.Demand) == Each.Verdict), Each.Name);
}

BOOST_FIXTURE_TEST_SUITE(LeavesTheRotation, RegionFixture)

BOOST_AUTO_TEST_CASE(IfTheOthersOfItsDataCentreCanTakeItsCallers) {
  setDelay("b3", 2 * Limit);
  run(200ms);
  BOOST_TEST(!isOut("b3"));
  run(400ms);
  BOOST_TEST(isOut("b3"));
  BOOST_TEST(!isOut("b1"));
}

// One of two small entries is lost, and the other gets all callers: the nearest
// data centre serves them if no entry is in the rotation.
BOOST_AUTO_TEST_CASE(IfItIsTheLastOneAndAnotherDataCentreIsIdle) {
  member("a2").IsLost = true;
  setDelay("a1", 2 * Limit);
  run(3s);
  BOOST_TEST(isOut("a1"));
}

BOOST_AUTO_TEST_CASE(WithAllOthersIfNoneCanTakeMore) {
  for (const char *Name : {"b1", "b2", "b3"})
    setDelay(Name, 2 * Limit);
  run(1s);
  for (const char *Name : {"b1", "b2", "b3"})
    BOOST_TEST(isOut(Name));
  BOOST_TEST(!isOut("a1"));
}

// Two of four go, those that are furthest behind.
BOOST_AUTO_TEST_CASE(InAnOrderThatAllAgreeOn) {
  add("b4", "b");
  run(1s);
  setDelay("b1", 2 * Limit);
  setDelay("b2", 4 * Limit);
  setDelay("b3", 2 * Limit);
  run(1s);
  BOOST_TEST(isOut("b2"));
  BOOST_TEST((isOut("b1") != isOut("b3")));
  BOOST_TEST(!isOut("b4"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StaysInTheRotation, RegionFixture)

// With one of three lost and one out, callers would be sent to all three.
BOOST_AUTO_TEST_CASE(IfFewerThanHalfWouldBeLeft) {
  member("b1").IsLost = true;
  setDelay("b3", 2 * Limit);
  run(3s);
  BOOST_TEST(!isOut("b3"));
}

BOOST_AUTO_TEST_CASE(IfAllDataCentresAreBehind) {
  for (Member &Each : Members)
    setDelay(Each.Name.text(), 2 * Limit);
  run(3s);
  for (Member &Each : Members)
    BOOST_TEST(!Each.Rotation.isOut());
}

BOOST_AUTO_TEST_CASE(WithoutReports) {
  AreReported = false;
  run(2s);
  setDelay("b3", 2 * Limit);
  run(3s);
  BOOST_TEST(!isOut("b3"));
  BOOST_TEST(member("b3").Rotation.isBehind());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ComesBack, RegionFixture)

BOOST_AUTO_TEST_CASE(OnceItHasCaughtUp) {
  setDelay("b3", 2 * Limit);
  run(1s);
  setDelay("b3", 0ms);
  run(1s);
  BOOST_TEST(isOut("b3"));
  run(1500ms);
  BOOST_TEST(!isOut("b3"));
}

BOOST_AUTO_TEST_CASE(AtOnceIfAnotherOneIsLost) {
  setDelay("b3", 2 * Limit);
  run(1s);
  setDelay("b3", 0ms);
  member("b1").IsLost = true;
  run(1100ms);
  BOOST_TEST(!isOut("b3"));
}

BOOST_AUTO_TEST_CASE(IfTheOtherDataCentreFallsBehindToo) {
  member("a2").IsLost = true;
  setDelay("a1", 2 * Limit);
  run(3s);
  setDelay("a1", 0ms);
  for (const char *Name : {"b1", "b2", "b3"})
    setDelay(Name, 2 * Limit);
  run(100ms);
  BOOST_TEST(!isOut("a1"));
}

// An overload that lasts: the entry chokes again whenever it is back.
BOOST_AUTO_TEST_CASE(EachTimeLaterIfItFallsBehindAgainAndAgain) {
  int Changes = 0;
  bool WasOut = false;
  for (const TimePoint End = Now + 30s; Now < End;) {
    setDelay("b3", isOut("b3") ? 0ms : 2 * Limit);
    run(40ms);
    Changes += isOut("b3") != WasOut ? 1 : 0;
    WasOut = isOut("b3");
  }
  BOOST_TEST(Changes <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
