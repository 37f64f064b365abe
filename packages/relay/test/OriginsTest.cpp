#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

const char *const SecondEntryAddress = "127.0.0.1:19798";

/// Adds a second entry and endpoints of several versions.
struct ResumptionFixture : RelayFixture {
  ResumptionFixture() {
    SecondLedgers.setView(Views.Current);
    Routes.Version = 2;
    for (Route &Each : Routes.Routes)
      Each.Resumable = true;
    RequestRelay.setCatalog(Routes);
    SecondRelay.setCatalog(Routes);
    BOOST_REQUIRE(SecondServer.listen(SecondEntryAddress));
    listVersions({"v1", "v2"});
    setResponses({{signedStreamHead() + eventChunk(1) + eventChunk(2), true},
                  {resumedStream(3, 4)}});
  }
  ~ResumptionFixture() { SecondServer.close(); }

  /// Lists the endpoints from the first one on with these versions at both
  /// entries; those with an empty version are not listed.
  void listVersions(const std::vector<std::string> &Versions) {
    std::vector<EndpointEntry> Entries;
    for (std::size_t Index = 0; Index < Versions.size(); ++Index)
      if (!Versions[Index].empty())
        Entries.push_back(endpointEntry(Index, Versions[Index]));
    SecondRelay.setEndpoints(Entries);
    RequestRelay.setEndpoints(std::move(Entries));
  }
  static EndpointEntry endpointEntry(std::size_t Index,
                                     const std::string &Version) {
    return {EndpointId("e" + std::to_string(Index)),
            ServiceId("s"),
            "127.0.0.1:" + std::to_string(FirstEndpointPort + Index),
            DataCentreId("a"),
            16,
            EndpointState::Ready,
            0,
            SoftwareVersion(Version)};
  }

  /// Sends the turn "t1", whose stream breaks off after two events. Returns the
  /// index of the endpoint that began it.
  std::size_t beginStream() {
    BOOST_REQUIRE(sendTurn("t1", "1000").Head.Status == 0);
    const std::size_t Index = Endpoints[0]->Requests.empty() ? 1 : 0;
    BOOST_REQUIRE(Endpoints[Index]->Requests.size() == 1U);
    return Index;
  }
  /// Resumes the stream that \p Resumed began after its second event.
  HttpResponse resume(const std::string &Id, const std::string &Resumed,
                      const std::string &Program = "p") {
    std::vector<HttpField> Fields = {{"Id", Id},
                                     {"Program", Program},
                                     {"Budget", "1000"},
                                     {"Most", "100"},
                                     {"Last-Event", "2"}};
    if (!Resumed.empty())
      Fields.push_back({"Continues", Resumed});
    return sendRequest("/turn/x", std::move(Fields), "in t1;");
  }
  static void checkIsRefused(const HttpResponse &Response) {
    BOOST_TEST(Response.Head.Status == 503);
    // Nothing is expected to change that.
    BOOST_TEST(!Response.Head.Fields.has("Retry-After"));
  }

  QuorumClient SecondLedgers{Io, {}};
  Relay SecondRelay{Io, options(), Wire, SecondLedgers, Pool, Metrics};
  HttpServer SecondServer{
      Io, {}, [this](HttpExchange &Call) { return SecondRelay.serve(Call); }};
};

} // namespace

/// Guards against a stream with events of two software versions: what they
/// generate does not fit together, and no endpoint checks it.
BOOST_FIXTURE_TEST_SUITE(ResumedStreams, ResumptionFixture)

BOOST_AUTO_TEST_CASE(GoOnAtTheirVersionAlsoIfAnotherIsIdle) {
  const std::size_t Index = beginStream();
  // The endpoint has just failed, so that the other one costs less.
  const HttpResponse Response = resume("t2", "t1");
  BOOST_TEST(Response.Head.Status == 200);
  BOOST_TEST(Response.Body == "id: 3\ndata: d3\n\nid: 4\ndata: d4\n\n");
  BOOST_TEST(Endpoints[Index]->Requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(GoOnThroughAnotherEntryAfterTheFirstDied) {
  // The second entry, which is idle, prefers one of the two for the program.
  listVersions({"v1", ""});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
  listVersions({"", "v2"});
  BOOST_TEST(sendTurn("t2", "1000").Head.Status == 0);
  listVersions({"v1", "v2"});
  Server.close();
  EntryAddress = SecondEntryAddress;
  BOOST_TEST(resume("t3", "t1").Head.Status == 200);
  BOOST_TEST(Endpoints[0]->Requests.size() == 2U);
  BOOST_TEST(resume("t4", "t2").Head.Status == 200);
  BOOST_TEST(Endpoints[1]->Requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheirVersionIsUnknown) {
  beginStream();
  checkIsRefused(resume("t2", "another"));
  checkIsRefused(resume("t3", ""));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AreRefusedIfNoEndpointOfTheirVersionIsLeft) {
  const std::size_t Index = beginStream();
  listVersions(Index == 0 ? std::vector<std::string>{"", "v2"}
                          : std::vector<std::string>{"v1", ""});
  checkIsRefused(resume("t2", "t1"));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(GoOnAtTheOnlyVersionIfTheCallerNamesNoRequest) {
  listVersions({"v1", "v1"});
  beginStream();
  setResponses({{resumedStream(3, 4)}});
  BOOST_TEST(resume("t2", "").Head.Status == 200);
  EntryAddress = SecondEntryAddress;
  setResponses({{resumedStream(3, 4)}});
  BOOST_TEST(resume("t3", "").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(GoOnASecondTimeAtTheVersionThatBeganThem) {
  const std::size_t Index = beginStream();
  Endpoints[Index]->Responses = {{signedStreamHead() + eventChunk(3), true},
                                 {resumedStream(4, 5)}};
  BOOST_TEST(resume("t2", "t1").Head.Status == 0);
  BOOST_TEST(resume("t3", "t1").Head.Status == 200);
  BOOST_TEST(Endpoints[Index]->Requests.size() == 3U);
}

BOOST_AUTO_TEST_CASE(GoOnAtTheVersionThatRanThemAfterAnotherDidNot) {
  Endpoints[0]->Responses = {notRunResponse()};
  // The program decides which endpoint is tried first.
  std::string Turn;
  for (int Number = 1; Turn.empty() && Number < 100; ++Number) {
    const std::string Id = "t" + std::to_string(Number);
    Endpoints[0]->Requests.clear();
    Endpoints[1]->Responses = {{signedStreamHead() + eventChunk(1), true},
                               {resumedStream(2, 3)}};
    sendRequest("/turn/x", {{"Id", Id}, {"Program", Id}}, "in;");
    if (Endpoints[0]->Requests.size() == 1)
      Turn = Id;
  }
  BOOST_REQUIRE(!Turn.empty());
  Endpoints[0]->Responses = {{resumedStream(2, 3)}};
  BOOST_TEST(resume("r1", Turn, Turn).Head.Status == 200);
  BOOST_TEST(Endpoints[0]->Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(OfNoBudgetGoOnAtTheirVersion) {
  listVersions({"v1", ""});
  BOOST_TEST(sendRequest("/turn/x", {{"Id", "t1"}}, "in;").Head.Status == 0);
  listVersions({"v1", "v2"});
  until([this] { return Client.pendingRecords() == 0; });
  const std::vector<HttpField> Fields = {
      {"Id", "t2"}, {"Continues", "t1"}, {"Last-Event", "2"}};
  BOOST_TEST(sendRequest("/turn/x", Fields, "in;").Head.Status == 200);
  BOOST_TEST(Endpoints[0]->Requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(GoOnAtTheirServiceAfterTheWeightsHaveChanged) {
  listVersions({"v1", "v1"});
  beginStream();
  setResponses({{resumedStream(3, 4)}});
  Routes.Version = 3;
  for (Route &Each : Routes.Routes)
    Each.Services = {{ServiceId("other"), 1000000}, {ServiceId("s"), 1}};
  RequestRelay.setCatalog(Routes);
  BOOST_TEST(resume("t2", "t1").Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE(OfACallerThatNamesNoStreamOfItsOwn)

BOOST_AUTO_TEST_CASE(AreRefusedIfTwoVersionsServe) {
  beginStream();
  checkIsRefused(resume("t2", "t1", "q"));
  checkIsRefused(resume("t3", std::string(10000, 't')));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(GoOnIfOneVersionServes) {
  listVersions({"v1", "v1"});
  beginStream();
  setResponses({{resumedStream(3, 4)}});
  BOOST_TEST(resume("t2", std::string(10000, 't')).Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

/// An entry that was cut off or stood still lists the only version of a while
/// ago. Streams that began at a newer one went on at the old one there.
BOOST_AUTO_TEST_SUITE(AtAnEntryThatIsOutOfStep)

BOOST_AUTO_TEST_CASE(AreRefusedWhileItsListIsOlderThanThatOfTheLedgers) {
  listVersions({"v1"});
  CatalogAge = 5s;
  LedgerListAge = 100ms;
  const HttpResponse Response = resume("t2", "elsewhere");
  BOOST_TEST(Response.Head.Status == 503);
  // Another entry, or this one a little later, may know.
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(requestCount() == 0U);
  BOOST_TEST(CatalogConfirmations == 1);
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheCurrentListHasTwoVersions) {
  listVersions({"v1"});
  CatalogAge = 5s;
  LedgerListAge = 100ms;
  OnConfirmCatalog = [this] {
    CatalogAge = 0s;
    listVersions({"v1", "v2"});
  };
  checkIsRefused(resume("t2", "elsewhere"));
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(GoOnOnceItsListIsConfirmed) {
  listVersions({"v1"});
  Endpoints[0]->Responses = {{resumedStream(3, 4)}};
  CatalogAge = 5s;
  LedgerListAge = 100ms;
  OnConfirmCatalog = [this] { CatalogAge = 0s; };
  BOOST_TEST(resume("t2", "elsewhere").Head.Status == 200);
}

/// While the store is down all lists are equally old, and no endpoint joins.
BOOST_AUTO_TEST_CASE(GoOnIfTheListsOfTheLedgersAreAsOld) {
  listVersions({"v1"});
  Endpoints[0]->Responses = {{resumedStream(3, 4)}};
  CatalogAge = 5s;
  LedgerListAge = 4900ms;
  BOOST_TEST(resume("t2", "elsewhere").Head.Status == 200);
  BOOST_TEST(CatalogConfirmations == 0);
}

/// The entry is suspended between its decision and the request that follows.
BOOST_AUTO_TEST_CASE(AreNotSentIfItStoodStillSinceItsDecision) {
  listVersions({"v1"});
  Endpoints[0]->Responses = {{resumedStream(3, 4)}};
  MeasureCatalogAge = [this] {
    return Pool.opened() == 0 ? Duration(0s) : Duration(5s);
  };
  BOOST_TEST(resume("t2", "elsewhere").Head.Status == 503);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileAnEndpointIsReplacedUnderItsId)

BOOST_AUTO_TEST_CASE(AreRefusedIfItMayHaveBegunThemAtEitherVersion) {
  beginStream();
  listVersions({"v2", "v1"});
  checkIsRefused(resume("t2", "t1"));
  BOOST_TEST(requestCount() == 1U);
}

/// The entry learns of the new version while the stream runs, and the endpoint
/// has its old version again when the stream is resumed.
BOOST_AUTO_TEST_CASE(AreRefusedIfItWasReplacedWhileTheyRan) {
  listVersions({"v1", ""});
  Endpoints[0]->Responses = {
      {signedStreamHead() + eventChunk(1) + eventChunk(2), true, 200ms},
      {resumedStream(3, 4)}};
  asio::steady_timer Timer(Io, 100ms);
  Timer.async_wait([this](const ErrorCode &) { listVersions({"v2", ""}); });
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
  until([this] { return Client.pendingRecords() == 0; });
  listVersions({"v1", "v2"});
  checkIsRefused(resume("t2", "t1"));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(BreakOffIfItIsReplacedAfterTheyWentOn) {
  const std::size_t Index = beginStream();
  Endpoints[Index]->Responses = {{resumedStream(3, 4), false, 200ms}};
  asio::steady_timer Timer(Io, 100ms);
  Timer.async_wait([this](const ErrorCode &) { listVersions({"v3", "v3"}); });
  BOOST_TEST(resume("t2", "t1").Head.Status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterALossOf)

BOOST_AUTO_TEST_CASE(OneLedgerGoOnAtTheirVersion) {
  for (const int Number : {1, 2, 3}) {
    const std::string Turn = "t" + std::to_string(Number);
    listVersions({"v1", ""});
    setResponses(
        {{signedStreamHead() + eventChunk(1), true}, {resumedStream(2, 3)}});
    BOOST_TEST(sendTurn(Turn, "1000").Head.Status == 0);
    listVersions({"v1", "v2"});
    stop(Number);
    BOOST_TEST(resume("r" + Turn, Turn).Head.Status == 200);
    start(Number);
    until([this] { return joinedCount() == 3; });
  }
  BOOST_TEST(Endpoints[1]->Requests.empty());
}

BOOST_AUTO_TEST_CASE(OneDiskGoOnAtTheirVersion) {
  listVersions({"v1", ""});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
  listVersions({"v1", "v2"});
  wipe(1);
  start(1);
  until([this] { return joinedCount() == 3; });
  SecondLedgers.setView(Views.Current);
  EntryAddress = SecondEntryAddress;
  stop(2);
  BOOST_TEST(resume("t2", "t1").Head.Status == 200);
  BOOST_TEST(Endpoints[1]->Requests.empty());
}

BOOST_AUTO_TEST_CASE(PowerEverywhereGoOnAtTheirVersion) {
  listVersions({"v1", ""});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
  listVersions({"v1", "v2"});
  for (const int Number : {1, 2, 3})
    stop(Number);
  for (const int Number : {1, 2, 3})
    start(Number);
  until([this] { return joinedCount() == 3; });
  EntryAddress = SecondEntryAddress;
  BOOST_TEST(resume("t2", "t1").Head.Status == 200);
  BOOST_TEST(Endpoints[1]->Requests.empty());
}

BOOST_AUTO_TEST_CASE(TwoLedgersAreRefusedAndMayComeBack) {
  beginStream();
  silence(1);
  silence(2);
  const HttpResponse Response = resume("t2", "t1");
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
