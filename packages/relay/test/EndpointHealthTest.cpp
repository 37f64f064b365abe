/// Load patterns: endpoints that fail all or part of their requests while their
/// health checks are good, and a fleet in which each entry sends only few
/// requests to each endpoint.
#include "tamarack/relay/EndpointTable.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

/// Entries that choose endpoints, run requests there, and exchange their
/// reports as the ledgers do.
struct Fleet {
  static constexpr int Entries = 30;
  static constexpr int Endpoints = 30;
  static constexpr Duration Step = 10ms;
  static constexpr Duration RequestTime = 300ms;
  static constexpr Duration ReportInterval = 100ms;

  struct RunningRequest {
    TimePoint EndsAt;
    int Entry = 0;
    EndpointId Endpoint;
  };

  Fleet() {
    for (int Number = 0; Number < Entries; ++Number)
      Tables.emplace_back(EndpointTableOptions());
    std::vector<EndpointEntry> Listed;
    for (int Number = 0; Number < Endpoints; ++Number) {
      const EndpointId Id("e" + std::to_string(Number));
      Listed.push_back({Id, ServiceId("llm"),
                        "10.0.0.1:" + std::to_string(8000 + Number),
                        DataCentreId("a"), 6, EndpointState::Ready, 0});
    }
    for (EndpointTable &Table : Tables)
      Table.replace(Listed, Start);
  }

  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End; Now += Step) {
      finishRequests();
      if ((Now - Start) % ReportInterval == Duration(0))
        exchangeReports();
      for (int Number = 0; Number < 2; ++Number)
        startRequest();
    }
  }

  void startRequest() {
    const int Entry = static_cast<int>(Random() % Entries);
    const std::string Program = std::to_string(++Programs);
    const auto Chosen =
        Tables[Entry].choose({ServiceId("llm"),
                              Program,
                              {{"shared", 12000}, {Program, 2000}},
                              {},
                              {}},
                             Now);
    Tables[Entry].onRequestStarted(Chosen->Endpoint, Now);
    Running.push_back({Now + RequestTime, Entry, Chosen->Endpoint});
    ++Sent;
  }

  void finishRequests() {
    const auto Ended = std::stable_partition(
        Running.begin(), Running.end(),
        [this](const RunningRequest &Request) { return Request.EndsAt > Now; });
    for (auto It = Ended; It != Running.end(); ++It) {
      EndpointTable &Table = Tables[It->Entry];
      Table.onRequestEnded(It->Endpoint);
      const auto Share = FailureShares.find(It->Endpoint);
      const double Draw = std::uniform_real_distribution<>()(Random);
      if (Share != FailureShares.end() && Draw < Share->second) {
        ++Failed;
        Table.onErrorResponse(It->Endpoint, Now);
      } else {
        Table.onSuccess(It->Endpoint, Now);
      }
    }
    Running.erase(Ended, Running.end());
  }

  void exchangeReports() {
    std::vector<EndpointNews> Reports;
    Reports.reserve(Tables.size());
    for (const EndpointTable &Table : Tables)
      Reports.push_back(Table.news(Now));
    for (int To = 0; To < Entries; ++To) {
      EndpointNews Sum;
      for (int From = 0; From < Entries; ++From) {
        if (From == To)
          continue;
        for (const auto &[Endpoint, Count] : Reports[From].InFlight)
          Sum.InFlight[Endpoint] += Count;
        for (const auto &[Endpoint, Counts] : Reports[From].Outcomes)
          Sum.Outcomes[Endpoint] = Sum.Outcomes[Endpoint] + Counts;
      }
      Tables[To].setRemoteNews(Sum, Now);
    }
  }

  void setFailureShare(int Count, double Share) {
    for (int Number = 0; Number < Count; ++Number)
      FailureShares[EndpointId("e" + std::to_string(Number))] = Share;
  }
  double failedShare() const {
    return static_cast<double>(Failed) / static_cast<double>(Sent);
  }

  std::deque<EndpointTable> Tables;
  std::vector<RunningRequest> Running;
  std::map<EndpointId, double> FailureShares;
  std::mt19937_64 Random{20261204};
  TimePoint Now = Start;
  int Programs = 0;
  int Sent = 0;
  int Failed = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointHealthTest)

BOOST_AUTO_TEST_SUITE(Outliers)

BOOST_AUTO_TEST_CASE(AreEndpointsThatFailALargeShareOfSomeRequests) {
  BOOST_TEST(isOutlier({3, 0}));
  BOOST_TEST(isOutlier({4, 6}));
  BOOST_TEST(!isOutlier({2, 0}));
  BOOST_TEST(!isOutlier({4, 20}));
  BOOST_TEST(!isOutlier({0, 0}));
}

BOOST_AUTO_TEST_CASE(AreForgottenWithinTwoPeriods) {
  RecentOutcomes Outcomes;
  Outcomes.add(false, Start);
  Outcomes.add(true, Start + 1500ms);
  BOOST_TEST((Outcomes.counts(Start + 1600ms) == OutcomeCounts{1, 1}));
  BOOST_TEST((Outcomes.counts(Start + 2600ms) == OutcomeCounts{0, 1}));
  BOOST_TEST((Outcomes.counts(Start + 4s) == OutcomeCounts{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InAFleet)

/// Three of thirty endpoints get a tenth of the requests if nobody avoids them.
BOOST_FIXTURE_TEST_CASE(EndpointsThatFailEverythingAreAvoidedByAllEntries,
                        Fleet) {
  setFailureShare(3, 1.0);
  run(6s);
  BOOST_TEST(failedShare() < 0.05);
}

BOOST_FIXTURE_TEST_CASE(EndpointsThatLoseAFewAnswersKeepTheirShareOfTheWork,
                        Fleet) {
  setFailureShare(15, 0.03);
  run(6s);
  BOOST_TEST(failedShare() < 0.03);
  BOOST_TEST(failedShare() > 0.008);
}

BOOST_FIXTURE_TEST_CASE(AreUsedAgainAfterTheyRecover, Fleet) {
  setFailureShare(3, 1.0);
  run(3s);
  FailureShares.clear();
  run(3s);
  const std::size_t Before = Running.size();
  BOOST_TEST(Before > 0U);
  std::size_t AtRecovered = 0;
  for (int Round = 0; Round < 200; ++Round) {
    run(Fleet::Step);
    AtRecovered += std::count_if(Running.begin(), Running.end(),
                                 [](const RunningRequest &Request) {
                                   return Request.Endpoint == EndpointId("e0");
                                 });
  }
  BOOST_TEST(AtRecovered > 0U);
}

BOOST_FIXTURE_TEST_CASE(AreNotAvoidedIfMostEndpointsFail, Fleet) {
  setFailureShare(20, 1.0);
  run(4s);
  for (int Number = 0; Number < Entries; ++Number)
    BOOST_TEST(Tables[Number]
                   .choose({ServiceId("llm"), "p", {}, {}, {}}, Now)
                   .has_value());
  BOOST_TEST(failedShare() < 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
