#include "tamarack/gate/Retention.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

struct Idle {
  const char *Program;
  int LastUse;
  /// The second of the next use, or 0 without a hint.
  int NextUse;
};

CacheLedger ledgerOf(const std::vector<Idle> &Entries) {
  CacheLedger Ledger;
  for (const Idle &Each : Entries) {
    const ProgramId Program(Each.Program);
    onCacheUseStarted(Ledger, Program, InstanceId("entry-1"), 100,
                      at(Each.LastUse));
    onCacheUseEnded(Ledger, Program, 100, at(Each.LastUse));
    if (Each.NextUse != 0)
      onToolPauseStarted(Ledger, Program, seconds(Each.NextUse - Each.LastUse),
                         at(Each.LastUse));
  }
  return Ledger;
}

std::string released(const CacheActions &Actions) {
  std::string Names;
  for (const CacheAction &Each : Actions) {
    if (const auto *Release = std::get_if<ReleaseCache>(&Each))
      Names += Release->Program.text();
    if (const auto *Export = std::get_if<ExportCache>(&Each))
      Names += "->" + Export->Program.text();
  }
  return Names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retention)

BOOST_AUTO_TEST_CASE(ReleasesWhatEachWayLetsGo) {
  // At second 40: a is back at once, b far away, c overdue for 25 s, and d
  // without a hint.
  const std::vector<Idle> Entries = {
      {"a", 1, 41}, {"b", 20, 300}, {"c", 5, 15}, {"d", 30, 0}};
  struct Row {
    RetentionWay Way;
    TokenCount Reserved;
    const char *Released;
  };
  const Row Rows[] = {
      {RetentionWay::KeepNothing, 0, "acbd"},
      {RetentionWay::LeastRecentlyUsed, 0, ""},
      {RetentionWay::LeastRecentlyUsed, 200, "ac"},
      {RetentionWay::FixedTime, 0, "ac"},
      {RetentionWay::FixedTime, 300, "acb"},
      {RetentionWay::ExpectedNextUse, 0, ""},
      {RetentionWay::ExpectedNextUse, 100, "b"},
      {RetentionWay::ExpectedNextUse, 300, "bcd"},
      {RetentionWay::TimestampOrder, 0, ""},
      {RetentionWay::TimestampOrder, 300, "cad"},
  };
  for (const Row &Each : Rows) {
    BOOST_TEST_CONTEXT(nameOf(Each.Way) << ", reserved " << Each.Reserved) {
      CacheLedger Ledger = ledgerOf(Entries);
      RetentionSettings Settings;
      Settings.Way = Each.Way;
      Settings.MemoryTokens = 400;
      const std::string Released =
          released(evictIdleEntries(Ledger, Settings, Each.Reserved, at(40)));
      BOOST_TEST(Released == Each.Released);
    }
  }
}

BOOST_AUTO_TEST_CASE(ExportsWhereThatIsCheaperThanRebuilding) {
  for (int Transfer : {50, 100, 200}) {
    CacheLedger Ledger = ledgerOf({{"a", 1, 41}});
    RetentionSettings Settings;
    Settings.MemoryTokens = 50;
    Settings.TransferPerToken = Duration(Transfer);
    const std::string Released =
        released(evictIdleEntries(Ledger, Settings, 0, at(2)));
    BOOST_TEST(Released == (Transfer < 100 ? "->a" : "a"),
               "transfer of " << Transfer << " us per token: " << Released);
  }
}

BOOST_AUTO_TEST_SUITE(ProgramsExpectedBack)

BOOST_AUTO_TEST_CASE(CountWhileNotAwayForLongAndWhenEvictedToo) {
  // Expected after 20 s without a hint, so away for good after 80 s.
  CacheLedger Ledger = ledgerOf({{"a", 0, 0}, {"b", 0, 60}});
  RetentionSettings Settings;
  auto Expected = [&](int Second) {
    return expectedBackTokens(Ledger, Settings, at(Second))[CallClass::Normal];
  };
  BOOST_TEST(Expected(80) == 200U);
  BOOST_TEST(Expected(81) == 100U);
  Settings.MemoryTokens = 150;
  BOOST_TEST(released(evictIdleEntries(Ledger, Settings, 0, at(50))) == "a");
  Ledger.Entries.erase(ProgramId("a"));
  BOOST_TEST(Expected(50) == 200U);
  BOOST_TEST(onProgramEnded(Ledger, ProgramId("a"), at(51)).empty());
  BOOST_TEST(Expected(51) == 100U);
}

BOOST_AUTO_TEST_CASE(ComeBackAfterTheMeanOfPausesSeen) {
  CacheLedger Ledger;
  Ledger.MeanPause = seconds(20);
  for (int Round = 0; Round < 200; ++Round) {
    const ProgramId Program(std::to_string(Round));
    onCacheUseStarted(Ledger, Program, InstanceId("entry-1"), 100, at(0));
    onCacheUseEnded(Ledger, Program, 100, at(0));
    onCallQueued(Ledger, Program, at(40));
  }
  BOOST_TEST(Ledger.MeanPause.count() >= Duration(seconds(39)).count());
  BOOST_TEST(Ledger.MeanPause.count() <= Duration(seconds(40)).count());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
