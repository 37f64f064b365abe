/// Load pattern: endpoints in need limit the requests that they take, while a
/// fleet of entries would send them far more.
#include "tamarack/relay/EndpointTable.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};
const EndpointId Limited("limited");
const ServiceId Llm("llm");

struct RateLimitsFixture {
  bool admits(TimePoint Now, double KindPart = 1) const {
    return Limits.admits({Limited, Llm, 1, KindPart}, Now);
  }
  /// Sends as many requests as are admitted from \p Now on for \p Length, at
  /// most one each 10 ms.
  int sendAll(TimePoint Now, Duration Length = 10s) {
    int Sent = 0;
    for (const TimePoint End = Now + Length; Now < End; Now += 10ms)
      if (admits(Now)) {
        Limits.onSent({Limited, Llm, 1, 1}, Now);
        ++Sent;
      }
    return Sent;
  }

  RateLimits Limits{42};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlidingCountTest)

BOOST_AUTO_TEST_CASE(CountsTheEventsOfTheLastPeriod) {
  SlidingCount Events(4s);
  BOOST_TEST(Events.count(Start) == 0U);
  Events.add(Start);
  Events.add(Start + 1s);
  Events.add(Start + 1s);
  BOOST_TEST(Events.count(Start + 1s) == 3U);
  BOOST_TEST(Events.count(Start + 3700ms) == 3U);
  BOOST_TEST(Events.count(Start + 4300ms) == 2U);
  BOOST_TEST(Events.count(Start + 1min) == 0U);
}

BOOST_AUTO_TEST_CASE(ForgetsEarlierEventsAfterAPause) {
  SlidingCount Events(4s);
  for (int Count = 0; Count < 5; ++Count)
    Events.add(Start);
  Events.add(Start + 1min);
  BOOST_TEST(Events.count(Start + 1min) == 1U);
}

BOOST_AUTO_TEST_CASE(TakesBackEventsThatStillCount) {
  SlidingCount Events(4s);
  Events.add(Start);
  Events.add(Start + 3s);
  Events.takeBack(Start);
  BOOST_TEST(Events.count(Start + 3s) == 1U);
  // Another one of that time is not there, and this one counts no more.
  Events.takeBack(Start);
  Events.add(Start + 10s);
  Events.takeBack(Start + 3s);
  BOOST_TEST(Events.count(Start + 10s) == 1U);
}

/// A limit over five seconds holds only if no event of them is left out.
BOOST_AUTO_TEST_CASE(CoversTheWholePeriodIfAsked) {
  for (Duration Shift = 0s; Shift < 400ms; Shift += 10ms) {
    SlidingCount Events = SlidingCount::atLeast(5s);
    Events.add(Start + Shift);
    BOOST_TEST(Events.count(Start + Shift + 5s) == 1U);
    BOOST_TEST(Events.count(Start + Shift + 5400ms) == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RateLimitsTest, RateLimitsFixture)

BOOST_AUTO_TEST_SUITE(AnEndpointWithoutALimit)

BOOST_AUTO_TEST_CASE(GetsAnyNumberOfRequests) {
  BOOST_TEST(sendAll(Start) == 1000);
}

BOOST_AUTO_TEST_CASE(GetsThemAgainOnceItStatesNone) {
  BOOST_TEST(Limits.onStated(Limited, 2.0, Start));
  BOOST_TEST(!Limits.onStated(Limited, 2.0, Start));
  BOOST_TEST(sendAll(Start) < 1000);
  BOOST_TEST(Limits.onStated(Limited, std::nullopt, Start + 10s));
  BOOST_TEST(sendAll(Start + 10s) == 1000);
}

BOOST_AUTO_TEST_CASE(GetsThemAgainOnceItsProcessWasReplaced) {
  Limits.onStated(Limited, 0.0, Start);
  BOOST_TEST(sendAll(Start, 5s) <= 1);
  Limits.forget(Limited);
  BOOST_TEST(sendAll(Start + 5s) == 1000);
}

/// Guards against an endpoint that stays unused because the entries that send
/// it nothing hear nothing of the end of its limit.
BOOST_AUTO_TEST_CASE(GetsThemAgainOnceNobodyWasToldALimitLately) {
  Limits.onStated(Limited, 0.0, Start);
  BOOST_TEST(sendAll(Start, 9s) <= 2);
  BOOST_TEST(sendAll(Start + 11s, 1s) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ALimit)

BOOST_AUTO_TEST_CASE(BelongsToTheOnlyEntry) {
  Limits.setRemoteNews({}, Start);
  Limits.onStated(Limited, 2.5, Start);
  const int Sent = sendAll(Start);
  BOOST_TEST(Sent >= 24);
  BOOST_TEST(Sent <= 26);
}

/// Guards against a limit whose end nobody can notice, since no request is sent
/// and so no response states that it has ended.
BOOST_AUTO_TEST_CASE(OfNothingLetsARequestPassNowAndThen) {
  int Sent = 0;
  for (TimePoint Now = Start; Now < Start + 1min; Now += 1s) {
    Limits.setRemoteNews({}, Now);
    Limits.onStated(Limited, 0.0, Now);
    Sent += sendAll(Now, 1s);
  }
  BOOST_TEST(Sent >= 13);
  BOOST_TEST(Sent <= 16);
}

BOOST_AUTO_TEST_CASE(AllowsNoBurstAfterAPause) {
  Limits.setRemoteNews({}, Start);
  Limits.onStated(Limited, 2.5, Start);
  BOOST_TEST(sendAll(Start + 9s, 100ms) == 2);
}

BOOST_AUTO_TEST_CASE(IsDividedByDemand) {
  Limits.onStated(Limited, 10.0, Start);
  int Sent = 0;
  for (TimePoint Now = Start; Now < Start + 10s; Now += 100ms) {
    Limits.onSent({EndpointId("another"), Llm, 1, 1}, Now);
    Limits.setRemoteNews({{Limited, {10.0, 0, 120}}}, Now);
    Sent += sendAll(Now, 100ms);
  }
  BOOST_TEST(Sent >= 25);
  BOOST_TEST(Sent <= 40);
}

BOOST_AUTO_TEST_CASE(IsUsedUpByOthers) {
  Limits.onStated(Limited, 10.0, Start);
  Limits.setRemoteNews({{Limited, {10.0, 40, 40}}}, Start + 1min);
  BOOST_TEST(!admits(Start + 1min));
}

BOOST_AUTO_TEST_CASE(OfWhichOthersWereToldHoldsHereToo) {
  Limits.setRemoteNews({{Limited, {0.0, 40, 40}}}, Start);
  BOOST_TEST(!admits(Start));
}

BOOST_AUTO_TEST_CASE(OfWhichNobodyWasToldLatelyIsNone) {
  Limits.setRemoteNews({{Limited, {std::nullopt, 40, 40}}}, Start);
  BOOST_TEST(admits(Start));
}

/// Guards against the whole limit being used by each entry that hears nothing
/// of the others.
BOOST_AUTO_TEST_CASE(IsUsedInPartByAnEntryThatHearsNothingOfOthers) {
  Limits.onStated(Limited, 10.0, Start);
  BOOST_TEST(sendAll(Start) <= 26);
  Limits.onStated(Limited, 10.0, Start + 10s);
  Limits.setRemoteNews({{Limited, {10.0, 30, 960}}}, Start + 10s);
  BOOST_TEST(sendAll(Start + 12s, 8s) <= 10);
}

BOOST_AUTO_TEST_CASE(IsKeptInPartForProgramsUnderWay) {
  Limits.setRemoteNews({}, Start);
  Limits.onStated(Limited, 2.5, Start);
  for (int Count = 0; Count < 8; ++Count)
    Limits.onSent({Limited, Llm, 1, 1}, Start + 3s);
  BOOST_TEST(!admits(Start + 6700ms, 0.8));
  BOOST_TEST(admits(Start + 6700ms, 1));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against requests beyond a limit that entries forget, or raise, while
/// the endpoint gets few requests.
BOOST_AUTO_TEST_SUITE(ALimitOnAnEndpointThatGetsFewRequests)

BOOST_AUTO_TEST_CASE(IsKeptBelowOneRequestInThePeriod) {
  int Sent = 0;
  for (TimePoint Now = Start; Now < Start + 1min; Now += 1s) {
    Limits.setRemoteNews({}, Now);
    Limits.onStated(Limited, 0.1, Now);
    Sent += sendAll(Now, 1s);
  }
  BOOST_TEST(Sent >= 5);
  BOOST_TEST(Sent <= 7);
}

BOOST_AUTO_TEST_CASE(AllowsNoBurstAfterAPauseOfAMinute) {
  Limits.setRemoteNews({}, Start);
  Limits.onStated(Limited, 2.5, Start);
  BOOST_TEST(sendAll(Start + 1min, 100ms) == 2);
}

BOOST_AUTO_TEST_CASE(IsUsedInPartByAnEntryThatHeardNothingForAMinute) {
  Limits.onStated(Limited, 10.0, Start);
  BOOST_TEST(sendAll(Start) <= 26);
  Limits.setRemoteNews({{Limited, {10.0, 30, 960}}}, Start + 10s);
  BOOST_TEST(sendAll(Start + 1min) <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a refusal that names no limit because the only endpoint
/// without one was full.
BOOST_AUTO_TEST_CASE(RefusalsNameTheLimitsOfTheEndpointsThatAreLeft) {
  EndpointTable Table{EndpointTableOptions()};
  Table.replace(
      {{Limited, Llm, "a", {}, 16, EndpointState::Ready, 1},
       {EndpointId("full"), Llm, "b", {}, 16, EndpointState::Ready, 1}},
      Start);
  Table.setRemoteNews({}, Start);
  Table.onRateLimit(Limited, 10.0, Start);
  EndpointQuery Query{Llm, "p", {{"shared", 100}}, EndpointId("full"), {}};
  BOOST_TEST(!Table.rateLimitDelay(Query, Start).has_value());
  Query.Exclude = {EndpointId("full")};
  BOOST_TEST((Table.rateLimitDelay(Query, Start) == Duration(100ms)));
}

/// Plays entries that choose among endpoints for half a minute, where reports
/// arrive 100 ms late. The limit is named at five seconds.
BOOST_AUTO_TEST_SUITE(TheRequestsOfAFleetToALimitedEndpoint)

struct Fleet {
  Fleet(int Entries, int Endpoints, double Limit)
      : Limit(Limit), Running(static_cast<std::size_t>(Entries)) {
    for (int Number = 0; Number < Entries; ++Number)
      Tables.emplace_back(
          EndpointTableOptions{{}, static_cast<std::uint64_t>(Number)});
    std::vector<EndpointEntry> All;
    All.reserve(static_cast<std::size_t>(Endpoints));
    for (int Number = 0; Number < Endpoints; ++Number)
      All.push_back({EndpointId(std::to_string(Number)),
                     Llm,
                     "a",
                     {},
                     16,
                     EndpointState::Ready,
                     1});
    for (EndpointTable &Table : Tables)
      Table.replace(All, Start);
  }

  /// Sends \p PerSecond requests a second; endpoints up to \p LimitedCount name
  /// their limit.
  void run(Duration Length, double PerSecond, int LimitedCount) {
    constexpr Duration Step = 10ms;
    std::poisson_distribution<int> Arrivals(PerSecond * 0.01);
    for (const TimePoint End = Now + Length; Now < End; Now += Step) {
      for (int Count = Arrivals(Random); Count > 0; --Count)
        send(LimitedCount);
      for (std::size_t Entry = 0; Entry < Tables.size(); ++Entry)
        endRequests(Entry, LimitedCount);
      if ((Now - Start) % 100ms == Duration(0))
        exchangeReports();
    }
  }

  void send(int LimitedCount) {
    // The last entries get few of the callers, as the platform hashes them.
    const double Draw = std::uniform_real_distribution<>(0, 1)(Random);
    const auto Entry = static_cast<std::size_t>(
        Draw * Draw * static_cast<double>(Tables.size()));
    ++Asked;
    const auto Chosen = Tables[Entry].choose(
        {Llm, "", {{"shared", 100}, {"own", 10}}, EndpointId("x"), {}}, Now);
    if (!Chosen) {
      ++Refused;
      return;
    }
    Tables[Entry].onRequestStarted(Chosen->Endpoint, Now);
    Running[Entry].push_back({Now + 300ms, Chosen->Endpoint});
    if (std::stoi(Chosen->Endpoint.text()) < LimitedCount)
      SentAt[Chosen->Endpoint].push_back(Now);
  }

  void endRequests(std::size_t Entry, int LimitedCount) {
    auto &Requests = Running[Entry];
    for (auto It = Requests.begin(); It != Requests.end();) {
      if (It->first > Now) {
        ++It;
        continue;
      }
      Tables[Entry].onRequestEnded(It->second);
      if (Now - Start >= 5s && std::stoi(It->second.text()) < LimitedCount)
        Tables[Entry].onRateLimit(It->second, Limit, Now);
      It = Requests.erase(It);
    }
  }

  /// Gives each entry the sum of the reports that the others made 100 ms ago.
  void exchangeReports() {
    for (std::size_t Entry = 0; Entry < Tables.size(); ++Entry) {
      EndpointNews Sum;
      for (std::size_t Other = 0; Other < Reports.size(); ++Other)
        if (Other != Entry) {
          for (const auto &[Endpoint, Count] : Reports[Other].InFlight)
            Sum.InFlight[Endpoint] += Count;
          for (const auto &[Endpoint, Rate] : Reports[Other].Rates)
            Sum.Rates[Endpoint] = Sum.Rates[Endpoint] + Rate;
        }
      Tables[Entry].setRemoteNews(std::move(Sum), Now);
    }
    Reports.clear();
    for (const EndpointTable &Table : Tables)
      Reports.push_back(Table.news(Now));
  }

  /// The most requests that one endpoint got in four seconds, from four seconds
  /// after it named its limit.
  int mostInFourSeconds() const {
    int Result = 0;
    for (const auto &[Endpoint, Times] : SentAt)
      for (const TimePoint From : Times)
        if (From >= Start + 9s)
          Result = std::max(
              Result, static_cast<int>(std::count_if(
                          Times.begin(), Times.end(), [&](TimePoint Time) {
                            return Time >= From && Time < From + 4s;
                          })));
    return Result;
  }
  double boundInFourSeconds() const { return 1.5 * 4 * Limit + 5; }

  const double Limit;
  std::deque<EndpointTable> Tables;
  std::vector<EndpointNews> Reports;
  std::vector<std::vector<std::pair<TimePoint, EndpointId>>> Running;
  std::map<EndpointId, std::vector<TimePoint>> SentAt;
  std::mt19937 Random{7};
  TimePoint Now = Start;
  int Asked = 0;
  int Refused = 0;
};

BOOST_AUTO_TEST_CASE(StayWithinItWhileOtherEndpointsHaveRoom) {
  Fleet All(5, 9, 6.2);
  All.run(5s, 120, 0);
  All.run(25s, 120, 6);
  BOOST_TEST(All.mostInFourSeconds() <= All.boundInFourSeconds());
  BOOST_TEST(All.Refused == 0);
}

BOOST_AUTO_TEST_CASE(StayWithinItWhileAllAreLimited) {
  Fleet All(5, 9, 6.2);
  All.run(5s, 120, 0);
  All.run(25s, 120, 9);
  BOOST_TEST(All.mostInFourSeconds() <= All.boundInFourSeconds());
  // Most of what the endpoints take is used, 25 s of 9 times 6.2 a second.
  BOOST_TEST(All.Asked - All.Refused >= 5 * 120 + 0.75 * 25 * 9 * 6.2);
}

BOOST_AUTO_TEST_CASE(StayWithinItInALargeFleet) {
  Fleet All(60, 40, 6);
  All.run(5s, 500, 0);
  All.run(25s, 500, 20);
  BOOST_TEST(All.mostInFourSeconds() <= All.boundInFourSeconds());
  BOOST_TEST(All.Refused == 0);
}

BOOST_AUTO_TEST_CASE(StayWithinItInALargeFleetWhileAllAreLimited) {
  Fleet All(60, 40, 6);
  All.run(5s, 500, 0);
  All.run(25s, 500, 40);
  BOOST_TEST(All.mostInFourSeconds() <= All.boundInFourSeconds());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
