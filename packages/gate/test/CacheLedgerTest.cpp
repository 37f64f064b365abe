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

/// Two roots, the first with a sub-agent below it.
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

/// An engine, a ledger beside it and owners, between which messages are lost
/// and any of which may die. Settles to the truth once nothing is lost.
class CacheHistory {
public:
  void call(std::size_t Number) {
    if (Gone.count(Number) != 0)
      return;
    onCacheUseStarted(Ledger, program(Number), Owner, Prompt, Now);
    Engine[program(Number)] = Prompt;
    Running.insert(Number);
  }

  void endCall(std::size_t Number, bool Heard) {
    if (Running.erase(Number) == 0)
      return;
    if (Heard)
      carry(onCacheUseEnded(Ledger, program(Number), Prompt, Now), true);
    else
      Unheard.insert(Number);
  }

  void pause(std::size_t Number) {
    onToolPauseStarted(Ledger, program(Number), seconds(Number * 10), Now);
  }

  void endProgram(std::size_t Number, bool Heard, bool Carried) {
    Gone.insert(Number);
    if (Number == 0)
      Gone.insert(1);
    if (Heard)
      carry(onProgramEnded(Ledger, program(Number), Now), Carried);
  }

  void engineEvicts(std::size_t Number, bool Heard) {
    if (Running.count(Number) != 0)
      return;
    Engine.erase(program(Number));
    if (Heard)
      onEngineEvent(Ledger, {program(Number), 0});
  }

  void lateEvent(std::size_t Number) {
    onEngineEvent(Ledger, {program(Number), Number});
  }

  /// The process beside the endpoint is killed; the calls it carried end.
  void restart() {
    Ledger = CacheLedger{};
    Running.clear();
    Unheard.clear();
  }

  void pass(int Seconds, bool Carried) {
    Now += seconds(Seconds);
    carry(onTick(Ledger, Now), Carried);
  }

  void list(bool Carried) {
    carry(reconcile(Ledger, {Now, Engine}, Now), Carried);
  }

  /// Nothing is lost any more, and all calls end.
  void quiesce() {
    for (std::size_t Number : std::set<std::size_t>(Running))
      endCall(Number, true);
    for (std::size_t Number : Unheard)
      carry(onCacheUseEnded(Ledger, program(Number), Prompt, Now), true);
    const CacheLimits &Limits = Ledger.Limits;
    for (Duration Past(0);
         Past < 2 * (Limits.LeaseDuration + Limits.ClaimTimeout);
         Past += seconds(1)) {
      pass(1, true);
      list(true);
    }
  }

  void checkGoneHoldNothing() const {
    for (std::size_t Number : Gone) {
      RC_ASSERT(Engine.count(program(Number)) == 0U);
      RC_ASSERT(cachedTokens(Ledger, program(Number)) == 0U);
    }
    for (const auto &[Program, Tokens] : Engine)
      RC_ASSERT(cachedTokens(Ledger, Program) == Tokens);
  }

private:
  static constexpr TokenCount Prompt = 1000;

  void carry(const CacheActions &Actions, bool Carried) {
    for (const CacheAction &Action : Actions) {
      if (!Carried)
        continue;
      if (const auto *Release = std::get_if<ReleaseCache>(&Action))
        Engine.erase(Release->Program);
      if (const auto *Ask = std::get_if<QueryOwner>(&Action))
        answer(Ask->Program);
    }
  }

  /// The owner of a live program claims it. That of a gone one is gone too.
  void answer(const ProgramId &Program) {
    for (std::size_t Number = 0; Number < ProgramCount; ++Number) {
      if (program(Number) == Program && Gone.count(Number) == 0)
        claim(Ledger, Program, Owner, Now);
    }
  }

  TimePoint Now = at(0);
  CacheLedger Ledger;
  std::map<ProgramId, TokenCount> Engine;
  std::set<std::size_t> Running, Unheard, Gone;
};

using Step = std::pair<std::uint8_t, std::uint8_t>;

void apply(CacheHistory &History, const Step &Drawn) {
  const std::size_t Number = Drawn.second % ProgramCount;
  const bool First = (Drawn.second & 64U) != 0;
  const bool Second = (Drawn.second & 128U) != 0;
  switch (Drawn.first % 12) {
  case 0:
  case 1:
  case 2:
    return History.call(Number);
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
    return History.list(First);
  case 10:
    return History.pass(Drawn.second % 64, First);
  default:
    return History.restart();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(CacheLedgerTest)

BOOST_AUTO_TEST_SUITE(AProgramThatEnds)

BOOST_AUTO_TEST_CASE(ReleasesItsCacheAndItsSubAgents) {
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

BOOST_AUTO_TEST_CASE(WaitsForItsRunningCall) {
  CacheLedger Ledger;
  onCacheUseStarted(Ledger, program(0), Owner, 100, at(0));
  BOOST_TEST(onProgramEnded(Ledger, program(0), at(1)).empty());
  const CacheActions Expected = {ReleaseCache{program(0)}};
  BOOST_TEST((onCacheUseEnded(Ledger, program(0), 150, at(2)) == Expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryNobodyVouchesFor)

BOOST_AUTO_TEST_CASE(IsAskedForAndThenReleased) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  BOOST_TEST(onTick(Ledger, at(59)).empty());
  const CacheActions Asked = {QueryOwner{program(0), Owner}};
  BOOST_TEST((onTick(Ledger, at(60)) == Asked));
  BOOST_TEST(onTick(Ledger, at(64)).empty());
  const CacheActions Released = {ReleaseCache{program(0)}};
  BOOST_TEST((onTick(Ledger, at(65)) == Released));
}

BOOST_AUTO_TEST_CASE(StaysWhenItsOwnerClaimsIt) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onTick(Ledger, at(60));
  claim(Ledger, program(0), InstanceId("entry-2"), at(61));
  BOOST_TEST(onTick(Ledger, at(66)).empty());
  BOOST_TEST(cachedTokens(Ledger, program(0)) == 100U);
}

BOOST_AUTO_TEST_CASE(StaysForThePauseItsHintAnnounced) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onToolPauseStarted(Ledger, program(0), seconds(300), at(0));
  BOOST_TEST(onTick(Ledger, at(299)).empty());
  BOOST_TEST(onTick(Ledger, at(300)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AListing)

BOOST_AUTO_TEST_CASE(RefillsTheLedgerAfterARestart) {
  CacheLedger Ledger;
  const CacheActions Asked = {QueryOwner{program(3), InstanceId()}};
  BOOST_TEST((reconcile(Ledger, {at(0), {{program(3), 70}}}, at(0)) == Asked));
  BOOST_TEST(cachedTokens(Ledger, program(3)) == 70U);
  const CacheActions Released = {ReleaseCache{program(3)}};
  BOOST_TEST((onTick(Ledger, at(5)) == Released));
}

BOOST_AUTO_TEST_CASE(RepeatsAReleaseThatWasLost) {
  CacheLedger Ledger = ledgerWith(0, 100, at(0));
  onProgramEnded(Ledger, program(0), at(1));
  const CacheActions Again = {ReleaseCache{program(0)}};
  BOOST_TEST((reconcile(Ledger, {at(2), {{program(0), 100}}}, at(2)) == Again));
  BOOST_TEST(reconcile(Ledger, {at(3), {}}, at(3)).empty());
  BOOST_TEST(Ledger.Entries.empty());
}

BOOST_AUTO_TEST_CASE(DoesNotDropAUseItCannotKnow) {
  CacheLedger Ledger = ledgerWith(0, 100, at(5));
  reconcile(Ledger, {at(4), {}}, at(6));
  BOOST_TEST(cachedTokens(Ledger, program(0)) == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(NoHistoryLeavesMemoryHeldForAGoneProgram) {
  BOOST_TEST(
      rc::check("gone programs hold nothing", [](std::vector<Step> Steps) {
        CacheHistory History;
        for (const Step &Drawn : Steps)
          apply(History, Drawn);
        History.quiesce();
        History.checkGoneHoldNothing();
      }));
}

BOOST_AUTO_TEST_SUITE_END()
