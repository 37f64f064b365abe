#include "RelayFixture.h"

#include <thread>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

std::string fieldOf(const HttpResponse &Answer, const std::string &Name) {
  const std::string *Value = Answer.Head.Fields.find(Name);
  return Value == nullptr ? "" : *Value;
}

/// An entry whose loop is held up, beside one of its data centre that is not.
struct BusyEntryFixture : RelayFixture {
  BusyEntryFixture() {
    BusyRelay.setCatalog(Routes);
    std::vector<EndpointEntry> Entries{
        {EndpointId("e0"), ServiceId("s"),
         "127.0.0.1:" + std::to_string(FirstEndpointPort), DataCentreId("a"),
         16, EndpointState::Ready, 0}};
    BusyRelay.setEndpoints(std::move(Entries));
    BOOST_REQUIRE(BusyServer.listen(BusyAddress));
    EntryAddress = BusyAddress;
    spawn(Io, BusyRelay.watchLoad());
    setResponses({{completeStream(3)}});
  }
  ~BusyEntryFixture() {
    Hold = 0ms;
    BusyServer.close();
    Io.run_for(50ms);
  }

  static RelayOptions busyOptions(RelayOptions Options) {
    Options.Instance = InstanceId("busy");
    Options.DataCentre = DataCentreId("a");
    return Options;
  }
  /// Keeps the loop busy for \p Step of each of its passes from now on.
  void holdUp(Duration Step) {
    Hold = Step;
    spawn(Io, [](BusyEntryFixture &Self) -> Task<void> {
      while (Self.Hold > Duration(0)) {
        std::this_thread::sleep_for(Self.Hold);
        EndpointNews News;
        News.Entries[InstanceId("idle")] = {0ms, DataCentreId("a")};
        if (Self.IsIdlePeerReported)
          Self.BusyRelay.setRemoteNews(News);
        co_await pause(Self.Io, 1ms);
      }
    }(*this));
  }
  void untilBehind() {
    until([this] { return BusyRelay.isBehind(); });
  }

  static constexpr const char *BusyAddress = "127.0.0.1:19799";
  Duration Hold{0};
  bool IsIdlePeerReported = true;
  Relay BusyRelay{Io, busyOptions(options()), Wire, Client, Pool, Metrics};
  HttpServer BusyServer{
      Io, {}, [this](HttpExchange &Call) { return BusyRelay.serve(Call); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABusyEntry, BusyEntryFixture)

BOOST_AUTO_TEST_CASE(RefusesNewProgramsBeforeTheirReservation) {
  holdUp(90ms);
  untilBehind();
  const HttpResponse Answer = sendTurn("t", "1000");
  BOOST_TEST(Answer.Head.Status == 503);
  BOOST_TEST(fieldOf(Answer, "Connection") == "close");
  BOOST_TEST(fieldOf(Answer, "Retry-After") == "0.050");
  Hold = 0ms;
  BOOST_TEST(requestCount() == 0U);
  BOOST_TEST(tokensDrawnBy("p") == 0U);
}

BOOST_AUTO_TEST_CASE(ServesProgramsUnderWay) {
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 200);
  holdUp(90ms);
  untilBehind();
  BOOST_TEST(sendTurn("t2", "1000").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(ServesNewProgramsAgainOnceItHasCaughtUp) {
  holdUp(90ms);
  untilBehind();
  Hold = 0ms;
  until([this] { return !BusyRelay.isBehind(); });
  BOOST_TEST(sendTurn("t", "1000").Head.Status == 200);
}

/// Callers come to the other entry only if they open new connections, and keep
/// those that they have.
BOOST_AUTO_TEST_CASE(ClosesKeptConnectionsOnceItIsKnownNotToBeReady) {
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 200);
  holdUp(90ms);
  until([this] { return !BusyRelay.isReady(); });
  BusyRelay.onReadinessAnswered(false);
  const HttpResponse Kept = sendTurn("t2", "1000");
  BOOST_TEST(Kept.Head.Status == 200);
  BOOST_TEST(fieldOf(Kept, "Connection") != "close");
  BusyRelay.onReadinessAnswered(false);
  const HttpResponse Closed = sendTurn("t3", "1000");
  BOOST_TEST(Closed.Head.Status == 200);
  BOOST_TEST(fieldOf(Closed, "Connection") == "close");
}

BOOST_AUTO_TEST_CASE(StaysReadyIfTheOtherOneIsNotHeardOf) {
  IsIdlePeerReported = false;
  holdUp(90ms);
  untilBehind();
  Io.run_for(1s);
  BOOST_TEST(BusyRelay.isReady());
}

BOOST_AUTO_TEST_SUITE_END()
