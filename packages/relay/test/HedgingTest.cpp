/// Load pattern: most answers of a service are quick and a few are slow, while
/// the service has room or not.
#include "tamarack/relay/Hedging.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <numeric>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};
const ServiceId App("app");

/// Of 100 answers, 90 take 20 ms and 10 take 200 ms.
struct HedgingFixture {
  HedgingFixture() {
    for (int Number = 0; Number < 100; ++Number) {
      Hedges.onRequest(App, Start);
      Hedges.onAnswer(App, "r", Number % 10 == 0 ? 200ms : 20ms, Start);
    }
  }
  /// The delay after answers that took \p Millis each.
  static Duration delayAfter(const std::vector<int> &Millis) {
    Hedging Hedges(0.05);
    for (const int Each : Millis)
      Hedges.onAnswer(App, "r", std::chrono::milliseconds(Each), Start);
    return *Hedges.delay(App, "r", Start);
  }
  /// A request that has taken long and may get a second attempt.
  static HedgingFacts slowRequest() {
    HedgingFacts Result;
    Result.Service = App;
    Result.Route = "r";
    Result.Elapsed = 300ms;
    Result.TimeLeft = 800ms;
    Result.MaxAttempts = 2;
    Result.Load = {20, 4, true};
    Result.HasEndpoint = true;
    return Result;
  }
  /// Sends the second attempts that are admitted of \p Wanted.
  int sendAttempts(int Wanted, TimePoint Now) {
    int Sent = 0;
    for (int Number = 0; Number < Wanted; ++Number)
      if (!Hedges.refusal(slowRequest(), Now)) {
        Hedges.onSent(App, Now);
        ++Sent;
      }
    return Sent;
  }

  Hedging Hedges{0.05};
};

} // namespace

BOOST_AUTO_TEST_SUITE(HedgingTest)

BOOST_AUTO_TEST_SUITE(RecentDurationsTest)

BOOST_AUTO_TEST_CASE(QuantilesAreRoundedUpByAnEighthAtMost) {
  for (const Duration Value :
       std::vector<Duration>{300us, 1ms, 19ms, 20ms, 1s, 50s}) {
    RecentDurations Durations;
    Durations.add(Value, Start);
    const Duration Found = *Durations.quantile(0.95, Start);
    BOOST_TEST((Found > Value && Found <= Value + Value / 8 + 1us),
               Value.count() << " us: " << Found.count());
  }
}

BOOST_AUTO_TEST_CASE(AnyDurationHasABucket) {
  RecentDurations Durations;
  for (const Duration Value : {Duration(-1s), Duration(0), Duration(24h)})
    Durations.add(Value, Start);
  BOOST_TEST(Durations.count(Start) == 3U);
  BOOST_TEST((*Durations.quantile(1, Start) > 2min));
}

BOOST_AUTO_TEST_CASE(OldDurationsAreForgotten) {
  RecentDurations Durations;
  BOOST_TEST(!Durations.quantile(0.5, Start));
  Durations.add(1s, Start);
  BOOST_TEST(Durations.count(Start + 29s) == 1U);
  BOOST_TEST(Durations.count(Start + 31s) == 0U);
  Durations.add(1ms, Start + 20s);
  BOOST_TEST(Durations.count(Start + 20s) == 2U);
  Durations.add(1ms, Start + 36s);
  BOOST_TEST((*Durations.quantile(1, Start + 36s) < 2ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(SecondAttemptsAreDue, HedgingFixture)

BOOST_AUTO_TEST_CASE(AfterMostAttemptsOfTheRouteHaveAnswered) {
  const std::optional<Duration> Delay = Hedges.delay(App, "r", Start);
  BOOST_REQUIRE(Delay);
  BOOST_TEST((*Delay >= 200ms && *Delay <= 225ms));
  BOOST_TEST(!Hedges.delay(App, "another", Start));
  BOOST_TEST(!Hedges.delay(ServiceId("another"), "r", Start));
}

BOOST_AUTO_TEST_CASE(AfterMostAnswersIfTheFewSlowOnesTakeMuchLonger) {
  std::vector<int> Millis(96, 20);
  Millis.insert(Millis.end(), {400, 500, 600, 700});
  const Duration Delay = delayAfter(Millis);
  BOOST_TEST((Delay >= 20ms && Delay < 23ms));
}

/// Guards against second attempts that end after the first one, as those that
/// take longer than most have nearly ended.
BOOST_AUTO_TEST_CASE(AfterAllAnswersIfNoneTakesMuchLonger) {
  std::vector<int> Millis(100);
  std::iota(Millis.begin(), Millis.end(), 10);
  BOOST_TEST((delayAfter(Millis) >= 109ms));
}

BOOST_AUTO_TEST_CASE(LaterWhileTheWholeServiceIsSlower) {
  for (int Number = 0; Number < 100; ++Number)
    Hedges.onAnswer(App, "r", 400ms, Start + 1s);
  BOOST_TEST((*Hedges.delay(App, "r", Start + 1s) >= 400ms));
}

BOOST_AUTO_TEST_CASE(OnlyIfEnoughAnswersAreKnown) {
  Hedging Few(0.05);
  for (int Number = 0; Number < 19; ++Number)
    Few.onAnswer(App, "r", 20ms, Start);
  BOOST_TEST(!Few.delay(App, "r", Start));
  Few.onAnswer(App, "r", 20ms, Start);
  BOOST_TEST(Few.delay(App, "r", Start).has_value());
}

BOOST_AUTO_TEST_CASE(NeverIfTheShareIsZero) {
  Hedges.setShare(0);
  BOOST_TEST(!Hedges.delay(App, "r", Start));
  BOOST_TEST((Hedges.refusal(slowRequest(), Start) == HedgingRefusal::NotDue));
}

BOOST_AUTO_TEST_CASE(NoMoreOnceTheRouteIsGone) {
  Catalog Config;
  Config.Routes.push_back({});
  Config.Routes.back().Name = "r";
  Config.Services.push_back({App, 1, 0, 0});
  Hedges.retain(Config);
  BOOST_TEST(Hedges.delay(App, "r", Start).has_value());
  Config.Routes.clear();
  Hedges.retain(Config);
  BOOST_TEST(!Hedges.delay(App, "r", Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(SecondAttemptsAreRefused, HedgingFixture)

BOOST_AUTO_TEST_CASE(ForTheFirstReasonThatApplies) {
  struct Case {
    HedgingRefusal Reason;
    std::function<void(HedgingFacts &)> Change;
  };
  const std::vector<Case> Cases = {
      {HedgingRefusal::NotDue, [](auto &Facts) { Facts.Elapsed = 100ms; }},
      {HedgingRefusal::Stopping, [](auto &Facts) { Facts.IsStopping = true; }},
      {HedgingRefusal::SuspectedCrash,
       [](auto &Facts) { Facts.IsSuspect = true; }},
      {HedgingRefusal::MaxAttempts, [](auto &Facts) { Facts.MaxAttempts = 1; }},
      {HedgingRefusal::MaxAttempts,
       [](auto &Facts) { Facts.PossibleRuns = 2; }},
      {HedgingRefusal::LittleTime, [](auto &Facts) { Facts.TimeLeft = 15ms; }},
      {HedgingRefusal::LittleRoom,
       [](auto &Facts) {
         Facts.Load = {20, 15, true};
       }},
      {HedgingRefusal::LittleRoom,
       [](auto &Facts) {
         Facts.Load = {20, 4, false};
       }},
      {HedgingRefusal::LittleRoom,
       [](auto &Facts) {
         Facts.Load = {0, 0, true};
       }},
      {HedgingRefusal::LittleMemory,
       [](auto &Facts) { Facts.HasMemory = false; }},
      {HedgingRefusal::NoEndpoint,
       [](auto &Facts) { Facts.HasEndpoint = false; }},
      {HedgingRefusal::RateLimited,
       [](auto &Facts) {
         Facts.HasEndpoint = false;
         Facts.IsRateLimited = true;
       }},
  };
  BOOST_TEST(!Hedges.refusal(slowRequest(), Start));
  for (const Case &Each : Cases) {
    HedgingFacts Facts = slowRequest();
    Each.Change(Facts);
    const auto Reason = Hedges.refusal(Facts, Start);
    BOOST_REQUIRE_MESSAGE(Reason, nameOf(Each.Reason));
    BOOST_TEST(nameOf(*Reason) == std::string(nameOf(Each.Reason)));
  }
}

BOOST_AUTO_TEST_CASE(UpToThreeQuartersOfTheSlotsMayBeTaken) {
  HedgingFacts Facts = slowRequest();
  Facts.Load = {20, 14, true};
  BOOST_TEST(!Hedges.refusal(Facts, Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TheLimit, HedgingFixture)

BOOST_AUTO_TEST_CASE(IsAPartOfTheRequestsOfTheLastMinute) {
  BOOST_TEST(sendAttempts(100, Start) == 5);
  BOOST_TEST((Hedges.refusal(slowRequest(), Start) == HedgingRefusal::Limit));
  for (int Number = 0; Number < 40; ++Number)
    Hedges.onRequest(App, Start + 10s);
  BOOST_TEST(sendAttempts(100, Start + 10s) == 2);
}

BOOST_AUTO_TEST_CASE(HoldsInAnyMinute) {
  // All answers are slower than before, as when the endpoints are in trouble.
  int Sent = 0;
  for (int Second = 0; Second < 180; ++Second) {
    const TimePoint Now = Start + std::chrono::seconds(Second);
    for (int Number = 0; Number < 10; ++Number) {
      Hedges.onRequest(App, Now);
      Hedges.onAnswer(App, "r", 100ms, Now);
      Sent += sendAttempts(1, Now);
    }
  }
  BOOST_TEST(Sent > 80);
  BOOST_TEST(Sent <= 95);
}

BOOST_AUTO_TEST_CASE(LeavesNothingAfterAMinuteWithoutRequests) {
  for (int Number = 0; Number < 100; ++Number)
    Hedges.onAnswer(App, "r", 20ms, Start + 61s);
  BOOST_TEST(sendAttempts(10, Start + 61s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
