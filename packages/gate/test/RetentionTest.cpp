#include "tamarack/gate/Retention.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using std::chrono::seconds;

namespace {

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

struct IdleEntry {
  const char *Program;
  int LastUse;
  /// The second of the announced next use, or 0 without a hint.
  int NextUse;
};

CacheLedger ledgerOf(const std::vector<IdleEntry> &Entries) {
  CacheLedger Ledger;
  for (const IdleEntry &Entry : Entries) {
    const ProgramId Program(Entry.Program);
    onCacheUseStarted(Ledger, Program, InstanceId("entry-1"), 100,
                      at(Entry.LastUse));
    onCacheUseEnded(Ledger, Program, 100, at(Entry.LastUse));
    if (Entry.NextUse != 0)
      onToolPauseStarted(Ledger, Program,
                         seconds(Entry.NextUse - Entry.LastUse),
                         at(Entry.LastUse));
  }
  return Ledger;
}

std::string released(const CacheActions &Actions) {
  std::string Names;
  for (const CacheAction &Action : Actions) {
    if (const auto *Release = std::get_if<ReleaseCache>(&Action))
      Names += Release->Program.text();
    if (const auto *Export = std::get_if<ExportCache>(&Action))
      Names += "->" + Export->Program.text();
  }
  return Names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retention)

BOOST_AUTO_TEST_CASE(ReleasesEntriesInPolicyOrder) {
  // At second 40, a is due in 1 s and b in 260 s, c is overdue for 25 s, and d
  // has no hint.
  const std::vector<IdleEntry> Entries = {
      {"a", 1, 41}, {"b", 20, 300}, {"c", 5, 15}, {"d", 30, 0}};
  struct TestCase {
    RetentionPolicy Policy;
    TokenCount Reserved;
    const char *Released;
  };
  const TestCase Cases[] = {
      {RetentionPolicy::KeepNothing, 0, "acbd"},
      {RetentionPolicy::LeastRecentlyUsed, 0, ""},
      {RetentionPolicy::LeastRecentlyUsed, 200, "ac"},
      {RetentionPolicy::FixedTime, 0, "ac"},
      {RetentionPolicy::FixedTime, 300, "acb"},
      {RetentionPolicy::ExpectedNextUse, 0, ""},
      {RetentionPolicy::ExpectedNextUse, 100, "b"},
      {RetentionPolicy::ExpectedNextUse, 300, "bcd"},
      {RetentionPolicy::TimestampOrder, 0, ""},
      {RetentionPolicy::TimestampOrder, 300, "cad"},
  };
  for (const TestCase &Case : Cases) {
    BOOST_TEST_CONTEXT(nameOf(Case.Policy) << ", reserved " << Case.Reserved) {
      CacheLedger Ledger = ledgerOf(Entries);
      RetentionSettings Settings;
      Settings.Policy = Case.Policy;
      Settings.MemoryTokens = 400;
      const std::string Released =
          released(evictIdleEntries(Ledger, Settings, Case.Reserved, at(40)));
      BOOST_TEST(Released == Case.Released);
    }
  }
}

BOOST_AUTO_TEST_CASE(ExportsIfCheaperThanPrefill) {
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

BOOST_AUTO_TEST_SUITE(ReturningPrograms)

BOOST_AUTO_TEST_CASE(CountedUntilReturnTimeoutEvenIfEvicted) {
  // Without a hint, a pause of 20 s is expected, so the program is expected to
  // return until second 80.
  CacheLedger Ledger = ledgerOf({{"a", 0, 0}, {"b", 0, 60}});
  RetentionSettings Settings;
  auto Expected = [&](int Second) {
    return expectedReturnTokens(Ledger, Settings,
                                at(Second))[CallClass::Normal];
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

BOOST_AUTO_TEST_CASE(MeanPauseFollowsObservedPauses) {
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
