#include "tamarack/gate/CacheLedger.h"
#include "tamarack/gate/Retention.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::seconds;

namespace {

const InstanceId Owner("entry-1");
constexpr std::size_t ProgramCount = 6;

/// Program 1 is a sub-agent of program 0; the others are independent.
ProgramId program(std::size_t Number) {
  if (Number == 1)
    return ProgramId("cluj:0/search");
  return ProgramId("cluj:" + std::to_string(Number));
}

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

CacheLedger ledgerWith(std::size_t Number, TokenCount Tokens, TimePoint Now) {
  CacheLedger Ledger;
  onCacheUseStarted(Ledger, program(Number), Owner, Tokens, Now);
  onCacheUseEnded(Ledger, program(Number), Tokens, Now);
  return Ledger;
}

/// An engine, the ledger beside it and the owners of the programs. Messages
/// between them can be lost, and the ledger can restart. The ledger must match
/// the engine again once messages are delivered.
class RandomCacheHistory {
public:
  void startCall(std::size_t Number) {
    if (EndedPrograms.count(Number) != 0)
      return;
    onCacheUseStarted(Ledger, program(Number), Owner, Prompt, Now);
    Engine[program(Number)] = Prompt;
    Running.insert(Number);
  }

  void endCall(std::size_t Number, bool Delivered) {
    if (Running.erase(Number) == 0)
      return;
    if (Delivered)
      execute(onCacheUseEnded(Ledger, program(Number), Prompt, Now), true);
    else
      UndeliveredEnds.insert(Number);
  }

  void pause(std::size_t Number) {
    onToolPauseStarted(Ledger, program(Number), seconds(Number * 10), Now);
  }

  void endProgram(std::size_t Number, bool Delivered, bool Executed) {
    EndedPrograms.insert(Number);
    if (Number == 0)
      EndedPrograms.insert(1);
    if (Delivered)
      execute(onProgramEnded(Ledger, program(Number), Now), Executed);
  }

  void engineEvicts(std::size_t Number, bool Delivered) {
    if (Running.count(Number) != 0)
      return;
    Engine.erase(program(Number));
    if (Delivered)
      onEngineEvent(Ledger, {program(Number), 0});
  }

  void lateEvent(std::size_t Number) {
    onEngineEvent(Ledger, {program(Number), Number});
  }

  /// The process beside the endpoint is killed, which ends its running calls.
  void restart() {
    Ledger = CacheLedger{};
    Running.clear();
    UndeliveredEnds.clear();
  }

  void advanceTime(int Seconds, bool Executed) {
    Now += seconds(Seconds);
    execute(onTick(Ledger, Now), Executed);
  }

  void listCache(bool Executed) {
    execute(reconcile(Ledger, {Now, Engine}, Now), Executed);
  }

  /// Ends all calls and delivers every message for long enough that all leases
  /// and claim timeouts expire.
  void quiesce() {
    for (std::size_t Number : std::set<std::size_t>(Running))
      endCall(Number, true);
    for (std::size_t Number : UndeliveredEnds)
      execute(onCacheUseEnded(Ledger, program(Number), Prompt, Now), true);
    const CacheLimits &Limits = Ledger.Limits;
    for (Duration Elapsed(0);
         Elapsed < 2 * (Limits.LeaseDuration + Limits.ClaimTimeout);
         Elapsed += seconds(1)) {
      advanceTime(1, true);
      listCache(true);
    }
  }

  /// Checks that ended programs use no memory, and that the ledger has the
  /// sizes of all entries of the engine.
  void checkEndedProgramsUseNoMemory() const {
    for (std::size_t Number : EndedPrograms) {
      RC_ASSERT(Engine.count(program(Number)) == 0U);
      RC_ASSERT(cachedTokens(Ledger, program(Number)) == 0U);
    }
    for (const auto &[Program, Tokens] : Engine)
      RC_ASSERT(cachedTokens(Ledger, Program) == Tokens);
  }

private:
  static constexpr TokenCount Prompt = 1000;

  /// Carries out the actions unless \p Executed is false, in which case they
  /// are lost.
  void execute(const CacheActions &Actions, bool Executed) {
    for (const CacheAction &Action : Actions) {
      if (!Executed)
        continue;
      if (const auto *Release = std::get_if<ReleaseCache>(&Action))
        Engine.erase(Release->Program);
      if (const auto *Query = std::get_if<QueryOwner>(&Action))
        answerQuery(Query->Program);
    }
  }

  /// Claims the entry if the program is alive. The owner of an ended program
  /// does not answer.
  void answerQuery(const ProgramId &Program) {
    for (std::size_t Number = 0; Number < ProgramCount; ++Number) {
      if (program(Number) == Program && EndedPrograms.count(Number) == 0)
        claim(Ledger, Program, Owner, Now);
    }
  }

  TimePoint Now = at(0);
  CacheLedger Ledger;
  std::map<ProgramId, TokenCount> Engine;
  std::set<std::size_t> Running, UndeliveredEnds, EndedPrograms;
};

using RandomEvent = std::pair<std::uint8_t, std::uint8_t>;

void apply(RandomCacheHistory &History, const RandomEvent &Event) {
  const std::size_t Number = Event.second % ProgramCount;
  const bool First = (Event.second & 64U) != 0;
  const bool Second = (Event.second & 128U) != 0;
  switch (Event.first % 12) {
  case 0:
  case 1:
  case 2:
    return History.startCall(Number);
  case 3:
  case 4:
    return History.endCall(Number, First);
  case 5:
    return History.pause(Number);
  case 6:
    return History.endProgram(Number, First, Second);
  case 7:
    return History.engineEvicts(Number, First);
  case 8:
    return History.lateEvent(Number);
  case 9:
    return History.listCache(First);
  case 10:
    return History.advanceTime(Event.second % 64, First);
  default:
    return History.restart();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(CacheLedgerTest)

BOOST_AUTO_TEST_SUITE(ProgramEnd)

BOOST_AUTO_TEST_CASE(ReleasesCachesOfProgramAndSubAgents) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  for (std::size_t Number : {1, 2}) {
    onCacheUseStarted(Ledger, program(Number), Owner, 100, at(0));
    onCacheUseEnded(Ledger, program(Number), 100, at(0));
  }
  const CacheActions Actions = onProgramEnded(Ledger, program(0), at(1));
  const CacheActions Expected = {ReleaseCache{program(0)},
                                 ReleaseCache{program(1)}};
  BOOST_TEST((Actions == Expected));
  BOOST_TEST(cachedTokens(Ledger, program(2)) == 100U);
}

BOOST_AUTO_TEST_CASE(WaitsForRunningCall) {
  CacheLedger Ledger;
  onCacheUseStarted(Ledger, program(0), Owner, 100, at(0));
  BOOST_TEST(onProgramEnded(Ledger, program(0), at(1)).empty());
  const CacheActions Expected = {ReleaseCache{program(0)}};
  BOOST_TEST((onCacheUseEnded(Ledger, program(0), 150, at(2)) == Expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LeaseExpiry)

BOOST_AUTO_TEST_CASE(QueriesOwnerAndThenReleasesEntry) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  BOOST_TEST(onTick(Ledger, at(59)).empty());
  const CacheActions Queried = {QueryOwner{program(0), Owner}};
  BOOST_TEST((onTick(Ledger, at(60)) == Queried));
  BOOST_TEST(onTick(Ledger, at(64)).empty());
  const CacheActions Released = {ReleaseCache{program(0)}};
  BOOST_TEST((onTick(Ledger, at(65)) == Released));
}

BOOST_AUTO_TEST_CASE(ClaimKeepsEntry) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onTick(Ledger, at(60));
  claim(Ledger, program(0), InstanceId("entry-2"), at(61));
  BOOST_TEST(onTick(Ledger, at(66)).empty());
  BOOST_TEST(cachedTokens(Ledger, program(0)) == 100U);
}

BOOST_AUTO_TEST_CASE(HintExtendsLease) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onToolPauseStarted(Ledger, program(0), seconds(300), at(0));
  BOOST_TEST(onTick(Ledger, at(299)).empty());
  BOOST_TEST(onTick(Ledger, at(300)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Listing)

BOOST_AUTO_TEST_CASE(RestoresLedgerAfterRestart) {
  CacheLedger Ledger;
  const CacheActions Queried = {QueryOwner{program(3), InstanceId()}};
  BOOST_TEST(
      (reconcile(Ledger, {at(0), {{program(3), 70}}}, at(0)) == Queried));
  BOOST_TEST(cachedTokens(Ledger, program(3)) == 70U);
  const CacheActions Released = {ReleaseCache{program(3)}};
  BOOST_TEST((onTick(Ledger, at(5)) == Released));
}

BOOST_AUTO_TEST_CASE(RepeatsLostRelease) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onProgramEnded(Ledger, program(0), at(1));
  const CacheActions Repeated = {ReleaseCache{program(0)}};
  BOOST_TEST(
      (reconcile(Ledger, {at(2), {{program(0), 100}}}, at(2)) == Repeated));
  BOOST_TEST(reconcile(Ledger, {at(3), {}}, at(3)).empty());
  BOOST_TEST(Ledger.Entries.empty());
}

BOOST_AUTO_TEST_CASE(KeepsEntryUsedAfterRequest) {
  CacheLedger Ledger = ledgerWith(0, 100, at(5));
  reconcile(Ledger, {at(4), {}}, at(6));
  BOOST_TEST(cachedTokens(Ledger, program(0)) == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(EndedProgramsUseNoMemoryAfterAnyHistory) {
  BOOST_TEST(rc::check("ended programs use no memory",
                       [](std::vector<RandomEvent> Events) {
                         RandomCacheHistory History;
                         for (const RandomEvent &Event : Events)
                           apply(History, Event);
                         History.quiesce();
                         History.checkEndedProgramsUseNoMemory();
                       }));
}

BOOST_AUTO_TEST_SUITE_END()
