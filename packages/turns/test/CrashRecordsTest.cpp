#include "tamarack/turns/CrashRecords.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

EndpointId endpoint(int Number) {
  return EndpointId("e" + std::to_string(Number));
}

struct RecordsFixture {
  /// Lets a number of endpoints crash under the request, one each 5 s.
  void crash(const RequestDigest &Digest, int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      Now += 5s;
      Records.onCrash(Digest, endpoint(Number), Now - 100ms, Now);
    }
  }

  const RequestDigest Digest{"d"};
  CrashRecords Records{{}, "here"};
  CrashRecords Elsewhere{{}, "elsewhere"};
  TimePoint Now = Start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestDigests)

BOOST_AUTO_TEST_CASE(DependOnWhatTheCallerSent) {
  const auto Digest = digestOf("POST", "h", "/a", "body");
  BOOST_TEST((Digest == digestOf("POST", "h", "/a", "body")));
  std::set<RequestDigest> All = {Digest,
                                 digestOf("GET", "h", "/a", "body"),
                                 digestOf("POST", "i", "/a", "body"),
                                 digestOf("POST", "h", "/b", "body"),
                                 digestOf("POST", "h", "/a", "body2"),
                                 digestOf("POST", "h", "/a", "")};
  BOOST_TEST(All.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CrashRecordsTest, RecordsFixture)

BOOST_AUTO_TEST_SUITE(ARequest)

BOOST_AUTO_TEST_CASE(IsSuspectAfterOneCrashAndBlockedAfterThree) {
  BOOST_TEST(!Records.isSuspect(Digest, Now));
  crash(Digest, 2);
  BOOST_TEST(Records.isSuspect(Digest, Now));
  BOOST_TEST(!Records.isBlocked(Digest, Now));
  Records.onCrash(Digest, endpoint(2), Now, Now + 1s);
  BOOST_TEST(Records.isBlocked(Digest, Now + 1s));
}

BOOST_AUTO_TEST_CASE(IsChargedOnceForACrashThatTwoAttemptsSaw) {
  Records.onCrash(Digest, endpoint(1), Now, Now + 100ms);
  Records.onCrash(Digest, endpoint(1), Now + 50ms, Now + 110ms);
  BOOST_TEST(Records.crashes(Digest, Now + 1s) == 1U);
  Records.onCrash(Digest, endpoint(1), Now + 200ms, Now + 300ms);
  BOOST_TEST(Records.crashes(Digest, Now + 1s) == 2U);
}

BOOST_AUTO_TEST_CASE(IsClearedByACompleteAnswer) {
  crash(Digest, 2);
  Records.onAnswered(Digest, Now + 1s);
  BOOST_TEST(!Records.isSuspect(Digest, Now + 1s));
}

BOOST_AUTO_TEST_CASE(IsForgottenAfterItsLifetimeUnlessItComesAgain) {
  crash(Digest, 3);
  Records.onRefused(Digest, Now + 8min);
  BOOST_TEST(Records.isBlocked(Digest, Now + 15min));
  BOOST_TEST(!Records.isBlocked(Digest, Now + 19min));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against the refusal of requests that only ran beside the one that
/// crashes endpoints.
BOOST_AUTO_TEST_CASE(ABlockedRequestExplainsItsCrashesToAllOthers) {
  const RequestDigest Innocent("i");
  for (int Number = 0; Number < 3; ++Number) {
    Now += 5s;
    if (Number > 0)
      Records.onCrash(Innocent, endpoint(Number), Now - 50ms, Now);
    Records.onCrash(Digest, endpoint(Number), Now - 50ms, Now + 10ms);
  }
  BOOST_TEST(Records.isBlocked(Digest, Now));
  BOOST_TEST(!Records.isSuspect(Innocent, Now));
  // Another entry saw the last crash as well.
  Elsewhere.onCrash(Innocent, endpoint(2), Now - 50ms, Now);
  Records.merge(Elsewhere.newsAfter({}, Now).Records, Now + 200ms);
  BOOST_TEST(!Records.isSuspect(Innocent, Now + 200ms));
}

/// Programs that send their whole history send the request that crashes with
/// another body in each turn.
BOOST_AUTO_TEST_SUITE(RequestsOfOneTarget)

struct TargetFixture : RecordsFixture {
  static RequestDigest digest(int Number) {
    return digestOf("POST", "h", "/a", "body " + std::to_string(Number));
  }
  /// Lets an endpoint crash under each of three requests.
  void crashThree() {
    for (int Number = 0; Number < 3; ++Number) {
      Now += 2s;
      Records.onCrash(digest(Number), endpoint(Number), Now, Now);
    }
  }
};

BOOST_FIXTURE_TEST_CASE(AreBlockedTogetherIfNoneWasAnswered, TargetFixture) {
  crashThree();
  BOOST_TEST(Records.isBlocked(digest(9), Now + 1s));
  BOOST_TEST(!Records.isBlocked(digestOf("POST", "h", "/b", "x"), Now + 1s));
  BOOST_TEST(!Records.isBlocked(digest(9), Now + 2min));
}

/// Guards against the refusal of a whole route that many callers use.
BOOST_FIXTURE_TEST_CASE(AreNotBlockedIfAnyWasAnsweredBefore, TargetFixture) {
  Records.onAnswered(digest(8), Now);
  crashThree();
  BOOST_TEST(!Records.isBlocked(digest(9), Now + 1s));
}

BOOST_FIXTURE_TEST_CASE(AreNotBlockedIfAnotherProcessAnsweredOne,
                        TargetFixture) {
  crashThree();
  Elsewhere.onAnswered(digest(8), Now);
  Elsewhere.onCrash(digest(0), endpoint(0), Start + 2s, Start + 2s);
  Records.merge(Elsewhere.observedAfter(0, Now).Records, Now);
  BOOST_TEST(!Records.isBlocked(digest(9), Now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnExchange)

BOOST_AUTO_TEST_CASE(AddsUpTheCrashesThatEachProcessSaw) {
  Records.onCrash(Digest, endpoint(1), Now, Now + 100ms);
  Elsewhere.onCrash(Digest, endpoint(2), Now, Now + 100ms);
  Records.merge(Elsewhere.newsAfter({}, Now + 1s).Records, Now + 1200ms);
  BOOST_TEST(Records.crashes(Digest, Now + 2s) == 2U);
}

BOOST_AUTO_TEST_CASE(CountsACrashThatBothSawOnce) {
  Records.onCrash(Digest, endpoint(1), Now, Now + 100ms);
  Elsewhere.onCrash(Digest, endpoint(1), Now, Now + 300ms);
  for (int Time = 0; Time < 3; ++Time)
    Records.merge(Elsewhere.newsAfter({}, Now + 1s).Records, Now + 1200ms);
  BOOST_TEST(Records.crashes(Digest, Now + 2s) == 1U);
}

BOOST_AUTO_TEST_CASE(PassesOnAnAnswer) {
  crash(Digest, 3);
  Elsewhere.merge(Records.newsAfter({}, Now).Records, Now);
  BOOST_TEST(Elsewhere.isBlocked(Digest, Now));
  Records.onAnswered(Digest, Now + 2s);
  Elsewhere.merge(Records.newsAfter({}, Now + 2s).Records, Now + 2s);
  BOOST_TEST(!Elsewhere.isSuspect(Digest, Now + 2s));
  Records.merge(Elsewhere.newsAfter({}, Now + 3s).Records, Now + 3s);
  BOOST_TEST(!Records.isSuspect(Digest, Now + 3s));
}

BOOST_AUTO_TEST_CASE(TellsOnlyWhatChanged) {
  crash(Digest, 1);
  const CrashNews First = Records.newsAfter({}, Now);
  BOOST_TEST(First.Records.size() == 1U);
  BOOST_TEST(Records.newsAfter(First.Position, Now).Records.empty());
  Records.merge(First.Records, Now);
  BOOST_TEST(Records.newsAfter(First.Position, Now).Records.empty());
  BOOST_TEST(Records.newsAfter({"other", 9}, Now).Records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DoesNotReturnWhatCameFromOthersAsOwn) {
  Elsewhere.onCrash(Digest, endpoint(1), Now, Now);
  Records.merge(Elsewhere.newsAfter({}, Now).Records, Now);
  BOOST_TEST(Records.newsAfter({}, Now).Records.size() == 1U);
  BOOST_TEST(Records.observedAfter(0, Now).Records.empty());
}

/// Guards against a restarted entry that sends the request to endpoints anew.
BOOST_AUTO_TEST_CASE(GivesARestartedProcessWhatItKnewBefore) {
  crash(Digest, 3);
  CrashRecords Ledger({}, "ledger");
  Ledger.merge(Records.observedAfter(0, Now).Records, Now);
  CrashRecords Restarted({}, "here again");
  Restarted.merge(Ledger.newsAfter({}, Now + 1s).Records, Now + 1s);
  BOOST_TEST(Restarted.isBlocked(Digest, Now + 1s));
}

BOOST_AUTO_TEST_CASE(KeepsItsFormOnTheWire) {
  crash(Digest, 2);
  Records.onAnswered(RequestDigest("other"), Now);
  const CrashNews News = Records.newsAfter({}, Now + 1s);
  BOOST_TEST((Json(News).get<CrashNews>() == News));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against memory that grows with the requests, and against the loss of
/// blocked ones among many that ran beside a crash.
BOOST_AUTO_TEST_CASE(TenThousandRequestsTakeBoundedMemory) {
  crash(Digest, 3);
  for (int Number = 0; Number < 10000; ++Number)
    Records.onCrash(RequestDigest("x" + std::to_string(Number)), endpoint(9),
                    Now, Now + Number * 1ms);
  BOOST_TEST(Records.size() <= CrashLimits().MaxRequests);
  BOOST_TEST(Records.isBlocked(Digest, Now + 10s));
}

/// Endpoints crash under some requests, beside innocent ones that come again
/// until they are answered. Suspects are kept apart as EndpointTable does.
BOOST_AUTO_TEST_CASE(NoInnocentRequestIsBlockedAndNoOtherRunsOn) {
  constexpr int Endpoints = 9;
  const bool Holds = rc::check([](std::uint32_t Seed) {
    std::mt19937 Random(Seed);
    CrashRecords All({}, "here");
    TimePoint Now = Start;
    std::map<std::string, int> Crashes;
    std::vector<std::string> Waiting;
    int LastInnocent = 0;
    for (int Round = 0; Round < 60; ++Round) {
      Now += 2s;
      for (int Number = 0; Number < 12; ++Number)
        Waiting.push_back("i" + std::to_string(LastInnocent++));
      if (Random() % 2 == 0)
        Waiting.push_back("deadly" + std::to_string(Random() % 2));
      std::shuffle(Waiting.begin(), Waiting.end(), Random);
      std::map<int, std::vector<std::string>> RunningAt;
      std::set<int> WithSuspect;
      for (const std::string &Each : std::exchange(Waiting, {})) {
        const RequestDigest Digest(Each);
        const bool IsDeadly = Each[0] == 'd';
        if (All.isBlocked(Digest, Now)) {
          RC_ASSERT(IsDeadly);
          continue;
        }
        int Place = static_cast<int>(Random() % Endpoints);
        if (All.isSuspect(Digest, Now)) {
          for (int Tries = 0; Tries < Endpoints && WithSuspect.count(Place) > 0;
               ++Tries)
            Place = (Place + 1) % Endpoints;
          WithSuspect.insert(Place);
        }
        RunningAt[Place].push_back(Each);
      }
      for (const auto &[Place, Running] : RunningAt) {
        const bool Crashed =
            std::any_of(Running.begin(), Running.end(),
                        [](const std::string &Each) { return Each[0] == 'd'; });
        for (const std::string &Each : Running) {
          const RequestDigest Digest(Each);
          if (!Crashed) {
            All.onAnswered(Digest, Now + 500ms);
            continue;
          }
          All.onCrash(Digest, endpoint(Place), Now, Now + 500ms);
          if (Each[0] == 'd')
            ++Crashes[Each];
          else
            Waiting.push_back(Each);
        }
      }
    }
    for (const auto &[Each, Count] : Crashes)
      RC_ASSERT(Count <= 6);
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
