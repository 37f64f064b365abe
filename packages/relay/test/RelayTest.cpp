#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

BOOST_FIXTURE_TEST_SUITE(RelayRequests, RelayFixture)

BOOST_AUTO_TEST_SUITE(ForwardedResponses)

BOOST_AUTO_TEST_CASE(ForwardsTheResponseUnchanged) {
  setResponses({{signedResponse("hello", "X-More: y\r\n")}});
  const HttpResponse Response =
      sendRequest("/safe/a?b=c", {{"Id", "1"}, {"Z", "z"}});
  BOOST_TEST(Response.Head.Status == 200);
  BOOST_TEST(Response.Body == "hello");
  BOOST_TEST(*Response.Head.Fields.find("X-More") == "y");
  BOOST_TEST(*Response.Head.Fields.find("Signed") == "s");
  BOOST_TEST(lastRequest().rfind("GET /safe/a?b=c HTTP/1.1\r\n", 0) == 0U);
  BOOST_TEST(lastRequest().find("Z: z\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ForwardsAnErrorOfTheEndpoint) {
  setResponses({{signedResponse("oops", "", "500 Internal Server Error")}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 500);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(SkipsTheResponseToAnotherRequest) {
  setResponses({{"HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n"
                 "Content-Length: 5\r\n\r\nwrong" +
                 signedResponse("right")}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "right");
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(IgnoresExtraBytesAfterAnEarlierResponse) {
  setResponses({{signedResponse("one") + signedResponse("one again")},
                {signedResponse("two")}});
  listEndpoints({0});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "one");
  BOOST_TEST(sendRequest("/once/a", {{"Id", "2"}}, "b").Body == "two");
}

BOOST_AUTO_TEST_CASE(SendsTheRemainingTimeToTheEndpoint) {
  setResponses({{signedResponse("hello")}});
  sendRequest("/safe/a", {{"Id", "1"}, {"Wait-Ms", "500"}});
  const std::size_t Pos = lastRequest().find("Left-Ms: ") + 9;
  const int LeftMs = std::stoi(lastRequest().substr(Pos));
  BOOST_TEST((LeftMs > 300 && LeftMs <= 500), "left: " << LeftMs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AtMostOnceRequests)

BOOST_AUTO_TEST_CASE(AreNotResentWhenTheResponseIsLost) {
  setResponses({{"", true}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 502);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AreNotResentWhenTheResponseIsTruncated) {
  setResponses({{"HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n"
                 "Content-Length: 50\r\n\r\nhalf",
                 true}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 502);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AreSentToAnotherEndpointWhenNotRun) {
  setResponses({notRunResponse()});
  Endpoints[1]->Responses = {{signedResponse("done")}};
  Endpoints[0]->Responses = {notRunResponse()};
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "done");
}

BOOST_AUTO_TEST_CASE(AreRefusedAsNotRunWhenNoEndpointRanThem) {
  setResponses({notRunResponse()});
  const HttpResponse Response = sendRequest("/once/a", {{"Id", "1"}}, "b");
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(!Response.Head.Fields.has("Signed"));
}

/// A faulty endpoint writes an earlier refusal once more before its response.
/// Taken for the response, it makes a request run twice or a caller repeat one.
BOOST_AUTO_TEST_SUITE(AfterARefusalThatIsRepeatedOnTheConnection)

BOOST_AUTO_TEST_CASE(AreNotSentToAnotherEndpointIfItNamesNoRequest) {
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  setResponses({{signedResponse("paid")}});
  Endpoints[0]->Responses = {{signedResponse("first")},
                             {Refusal + signedResponse("paid")}};
  listEndpoints({0});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "first");
  listEndpoints({0, 1});
  std::size_t Status = 0;
  for (int Id = 2; Endpoints[0]->Requests.size() < 2 && Id < 50; ++Id)
    Status =
        sendRequest("/once/a", {{"Id", std::to_string(Id)}}, "b").Head.Status;
  BOOST_TEST(Status == 502U);
  const std::string &Paid = Endpoints[0]->Requests.back();
  const std::string Id = Paid.substr(Paid.find("\nId: "), 8);
  for (const std::string &Other : Endpoints[1]->Requests)
    BOOST_TEST(Other.find(Id) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(AreNotSentOverItIfTheyHaveTheIdThatItNames) {
  setResponses({notRunResponse()});
  listEndpoints({0});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 503);
  BOOST_TEST(sendRequest("/once/a", {{"Id", "2"}}, "b").Head.Status == 503);
  BOOST_TEST(Endpoints[0]->ClosedConnections == 0U);
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 503);
  until([this] { return Endpoints[0]->ClosedConnections == 1; });
}

BOOST_AUTO_TEST_CASE(StreamsAreNotRefusedAsNotRun) {
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  setResponses({{completeStream(2)}, {Refusal + completeStream(2)}});
  listEndpoints({0});
  BOOST_TEST(sendTurn("1", "1000").Head.Status == 200);
  BOOST_TEST(sendTurn("2", "1000").Head.Status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(TimeOutAtTheirDeadline) {
  setResponses({{signedResponse("late"), false, 700ms}});
  const HttpResponse Response =
      sendRequest("/once/a", {{"Id", "1"}, {"Wait-Ms", "200"}}, "b");
  BOOST_TEST(Response.Head.Status == 504);
  BOOST_TEST(requestCount() == 1U);
}

/// Guards against callers that are told how the socket of an aborted call
/// failed in place of whose limit ended their request.
BOOST_AUTO_TEST_SUITE(ThatAreGivenUp)

BOOST_AUTO_TEST_CASE(SayThatTheDeadlineOfTheCallerHasPassed) {
  setResponses({{""}});
  for (const char *Target : {"/safe/a", "/once/a", "/turn/a"}) {
    const HttpResponse Response =
        sendRequest(Target, {{"Id", "1"}, {"Wait-Ms", "60"}}, "b");
    BOOST_TEST(Response.Head.Status == 504);
    BOOST_TEST(Response.Body == "the deadline of the caller has passed\n");
  }
}

BOOST_AUTO_TEST_CASE(SayThatTheTimeoutOfTheRouteHasPassed) {
  setResponses({{""}});
  Routes.Version = 2;
  for (Route &Next : Routes.Routes)
    Next.Timeout = 60ms;
  RequestRelay.setCatalog(Routes);
  const HttpResponse Response = sendRequest("/once/a", {{"Id", "1"}}, "b");
  BOOST_TEST(Response.Head.Status == 504);
  BOOST_TEST(Response.Body == "the timeout of the route has passed\n");
}

/// The call is aborted while a response to an earlier request is skipped, so
/// that the next read is of a closed socket.
BOOST_AUTO_TEST_CASE(SayItBehindAnEarlierResponse) {
  ScriptedResponse Earlier;
  Earlier.Bytes = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n"
                  "Content-Length: 4\r\n\r\nab";
  Earlier.LaterSegments = {"cd"};
  Earlier.SegmentInterval = 200ms;
  setResponses({Earlier});
  const HttpResponse Response =
      sendRequest("/once/a", {{"Id", "1"}, {"Wait-Ms", "60"}}, "b");
  BOOST_TEST(Response.Head.Status == 504);
  BOOST_TEST(Response.Body == "the deadline of the caller has passed\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IdempotentRequests)

BOOST_AUTO_TEST_CASE(AreSentToAnotherEndpointWhenTheResponseIsLost) {
  Endpoints[0]->Responses = {{"", true}};
  Endpoints[1]->Responses = {{"", true}};
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 502);
  BOOST_TEST(requestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(AreNotAnsweredWithAnUnsignedBody) {
  setResponses(
      {{"HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nno"}});
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 502);
}

BOOST_AUTO_TEST_CASE(AreNotAnsweredWithAMalformedResponse) {
  setResponses({{"garbage garbage\r\n\r\n", true}});
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against an entry that reads without end, and into its memory, what is
/// no answer to its request.
BOOST_AUTO_TEST_SUITE(BytesWithoutEndThatAreNoAnswer)

/// The most bytes that an endpoint may get rid of. Contains what the buffers of
/// the connection hold.
constexpr std::size_t MaxBytesRead = 2U << 20U;

const std::string Filler(4096, 'x');
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Lets the endpoints answer with \p Head and, without end, \p Endless.
void checkIsClosed(RelayFixture &Self, const std::string &Head,
                   const std::string &Endless) {
  ScriptedResponse Response;
  Response.Bytes = Head;
  Response.Endless = Endless;
  Self.setResponses({Response});
  Self.listEndpoints({0});
  const TimePoint SentAt = steadyNow();
  const HttpResponse Answer = Self.sendRequest("/safe/a", {{"Id", "1"}});
  BOOST_TEST(Answer.Head.Status >= 500);
  // Long before the deadline of 2 s.
  BOOST_TEST((steadyNow() - SentAt < Duration(1s)));
  Self.until([&Self] { return Self.Endpoints[0]->ClosedConnections == 1; });
  BOOST_TEST(Self.Endpoints[0]->EndlessBytesSent < MaxBytesRead);
}

BOOST_AUTO_TEST_CASE(EndTheConnectionIfTheyAreNoHttp) {
  checkIsClosed(*this, "", Filler);
}

BOOST_AUTO_TEST_CASE(EndTheConnectionInAHead) {
  checkIsClosed(*this, "HTTP/1.1 200 OK\r\nId: {id}\r\n",
                "Field: " + Filler + "\r\n");
}

BOOST_AUTO_TEST_CASE(EndTheConnectionInAnUnsignedBody) {
  checkIsClosed(*this, "HTTP/1.1 200 OK\r\nId: {id}\r\n" + Chunked,
                encodeChunk(Filler));
}

BOOST_AUTO_TEST_CASE(EndTheConnectionInABodyWithoutLength) {
  checkIsClosed(*this, "HTTP/1.1 500 Failed\r\nId: {id}\r\n\r\n", Filler);
}

BOOST_AUTO_TEST_CASE(EndTheConnectionInTheAnswerToAnotherRequest) {
  checkIsClosed(*this,
                "HTTP/1.1 200 OK\r\nId: another\r\nSigned: s\r\n" + Chunked,
                encodeChunk(Filler));
}

BOOST_AUTO_TEST_CASE(EndTheConnectionAfterARefusal) {
  checkIsClosed(*this,
                "HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\n" + Chunked,
                encodeChunk(Filler));
}

BOOST_AUTO_TEST_CASE(EndAStreamInAnEvent) {
  ScriptedResponse Response;
  Response.Bytes = signedStreamHead();
  Response.Endless = encodeChunk("data: " + Filler + "\n");
  setResponses({Response});
  const TimePoint SentAt = steadyNow();
  BOOST_TEST(sendTurn("1", "1000").Head.Status == 502);
  BOOST_TEST((steadyNow() - SentAt < Duration(1s)));
  until([this] {
    return Endpoints[0]->ClosedConnections + Endpoints[1]->ClosedConnections ==
           1;
  });
  BOOST_TEST(Endpoints[0]->EndlessBytesSent + Endpoints[1]->EndlessBytesSent <
             MaxBytesRead);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RateLimitedEndpoints)

BOOST_AUTO_TEST_CASE(GetNoRequestBeyondTheirLimit) {
  listEndpoints({0});
  setResponses({{signedResponse("one", "Rate-Limit: 0.2\r\n")}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "one");
  const HttpResponse Refused = sendRequest("/once/a", {{"Id", "2"}}, "b");
  BOOST_TEST(Refused.Head.Status == 503);
  const std::string *RetryAfter = Refused.Head.Fields.find("Retry-After");
  BOOST_REQUIRE(RetryAfter != nullptr);
  BOOST_TEST(std::stod(*RetryAfter) >= 1);
  BOOST_TEST(Endpoints[0]->Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LeaveRequestsToOthers) {
  setResponses({{signedResponse("done")}});
  Endpoints[0]->Responses = {{signedResponse("done", "Rate-Limit: 0\r\n")}};
  for (const char *Id : {"1", "2", "3", "4", "5", "6"})
    BOOST_TEST(sendRequest("/once/a", {{"Id", Id}}, "b").Body == "done");
  BOOST_TEST(Endpoints[0]->Requests.size() <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LeavingEndpoints)

BOOST_AUTO_TEST_CASE(GetNoFurtherRequestOverAKeptConnection) {
  listEndpoints({0});
  setResponses({{signedResponse("one", "Leaving: 1\r\n")}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Body == "one");
  BOOST_TEST(sendRequest("/once/a", {{"Id", "2"}}, "b").Head.Status == 503);
  BOOST_TEST(Endpoints[0]->Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(GetNoRetryOfALaterRequestAfterTheyRefusedOne) {
  setResponses({{signedResponse("done")}});
  Endpoints[0]->Responses = {{signedResponse("", "Not-Run: 1\r\nLeaving: 1\r\n",
                                             "503 Service Unavailable")}};
  for (const char *Id : {"1", "2", "3", "4", "5", "6"})
    BOOST_TEST(sendRequest("/once/a", {{"Id", Id}}, "b").Body == "done");
  BOOST_TEST(Endpoints[0]->Requests.size() <= 1U);
}

BOOST_AUTO_TEST_CASE(FinishTheRequestsInFlight) {
  listEndpoints({0});
  Endpoints[0]->Responses = {
      {signedResponse("slow"), false, 300ms},
      {signedResponse("quick", "Leaving: 1\r\n")},
  };
  std::optional<std::string> SlowBody;
  HttpRequest Request{"GET", "/safe/a", {}, {}};
  Request.Fields.All = {{"Id", "1"}};
  spawn(Io,
        [](RelayFixture &Self, HttpRequest Request,
           std::optional<std::string> &Body) -> Task<void> {
          const Expected<HttpResponse> Response =
              co_await Self.fetchFromHost("h", std::move(Request));
          Body = Response ? Response->Body : "";
        }(*this, std::move(Request), SlowBody));
  until([this] { return requestCount() == 1; });
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "2"}}).Body == "quick");
  until([&] { return SlowBody.has_value(); });
  BOOST_TEST(*SlowBody == "slow");
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "3"}}).Head.Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AreRefused)

BOOST_AUTO_TEST_CASE(IfNoRouteMatches) {
  BOOST_TEST(sendRequest("/nowhere/", {{"Id", "1"}}).Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(WithoutARequestId) {
  BOOST_TEST(sendRequest("/safe/a", {}).Head.Status == 400);
}

BOOST_AUTO_TEST_CASE(IfNoEndpointIsListed) {
  listEndpoints({});
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 503);
}

BOOST_AUTO_TEST_CASE(DuringShutdown) {
  setResponses({{signedResponse("hello")}});
  StopPlan Plan;
  Plan.RefuseAt = steadyNow();
  RequestRelay.stop(Plan);
  const HttpResponse Response = sendRequest("/once/a", {{"Id", "1"}}, "b");
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(BeforeAConfigurationIsKnown) {
  Relay Unconfigured(Io, {}, Wire, Client, Pool, Metrics);
  BOOST_TEST(!Unconfigured.isReady());
  HttpServer UnconfiguredServer(
      Io, {}, [&](HttpExchange &Call) { return Unconfigured.serve(Call); });
  BOOST_REQUIRE(UnconfiguredServer.listen("127.0.0.1:19799"));
  HttpRequest Request{"GET", "/safe/a", {}, {}};
  const auto Response =
      await(fetch(CallerPool, "127.0.0.1:19799", std::move(Request), 1s));
  BOOST_REQUIRE(Response);
  BOOST_TEST(Response->Head.Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

struct OldConfigurationFixture : RelayFixture {
  /// Lets the store confirm a newer configuration that has the route "/new/".
  void confirmWithNewRoute() {
    OnConfirmCatalog = [this] {
      CatalogAge = Duration(0);
      Catalog Next = Routes;
      Next.Version = 2;
      Next.Routes.push_back(route("/new/", RequestKind::Idempotent, 1));
      RequestRelay.setCatalog(std::move(Next));
    };
  }
};

/// Guards against a 404 that rests on a configuration of unknown age, such as
/// after the process was suspended or while the store is away.
BOOST_FIXTURE_TEST_SUITE(WithoutARouteInAnOldConfiguration,
                         OldConfigurationFixture)

BOOST_AUTO_TEST_CASE(AreServedIfTheNewestOneHasTheRoute) {
  setResponses({{signedResponse("hello")}});
  CatalogAge = 3s;
  confirmWithNewRoute();
  BOOST_TEST(sendRequest("/new/x", {{"Id", "1"}}).Body == "hello");
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheNewestOneLacksTheRoute) {
  CatalogAge = 3s;
  OnConfirmCatalog = [this] { CatalogAge = Duration(0); };
  BOOST_TEST(sendRequest("/none/x", {{"Id", "1"}}).Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(AreToldToComeBackIfItCannotBeConfirmed) {
  for (const auto Age : {std::optional<Duration>(3s), {}}) {
    CatalogAge = Age;
    const HttpResponse Response = sendRequest("/none/x", {{"Id", "1"}});
    BOOST_TEST(Response.Head.Status == 503);
    BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  }
  BOOST_TEST(CatalogConfirmations == 2);
}

/// Guards against a 404 for a turn that goes on from a whole one, at an entry
/// that does not know the route yet which another entry has served.
BOOST_AUTO_TEST_CASE(ContinueATurnOnlyIfTheNewestOneHasTheRoute) {
  setResponses({{signedResponse("hello")}});
  CatalogAge = 1s;
  const auto Continue = [this](const std::string &Target) {
    return sendRequest(Target, {{"Id", "2"}, {"Previous", "1"}});
  };
  BOOST_TEST(Continue("/new/x").Head.Status == 503);
  OnConfirmCatalog = [this] { CatalogAge = Duration(0); };
  BOOST_TEST(Continue("/new/x").Head.Status == 404);
  CatalogAge = 1s;
  confirmWithNewRoute();
  BOOST_TEST(Continue("/new/x").Body == "hello");
  BOOST_TEST(CatalogConfirmations == 3);
}

BOOST_AUTO_TEST_CASE(DoNotHoldUpThoseThatHaveOne) {
  setResponses({{signedResponse("hello")}});
  CatalogAge = 3s;
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "hello");
  BOOST_TEST(CatalogConfirmations == 0);
}

BOOST_AUTO_TEST_CASE(CostNothingWhileItIsCurrent) {
  for (int Number = 0; Number < 20; ++Number)
    BOOST_TEST(sendRequest("/none/x", {{"Id", "1"}}).Head.Status == 404);
  BOOST_TEST(CatalogConfirmations == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against an entry that refuses requests because it lost endpoints that
/// the store still lists.
BOOST_AUTO_TEST_SUITE(WithoutAKnownEndpoint)

BOOST_AUTO_TEST_CASE(AreServedIfTheStoreListsOne) {
  setResponses({{signedResponse("hello")}});
  listEndpoints({0});
  OnListEndpoints = [this] { listEndpoints({1}); };
  listEndpoints({});
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Body == "hello");
  BOOST_TEST(EndpointListings == 1);
}

/// Most endpoints disappear at once: the list is in doubt before a request is.
BOOST_AUTO_TEST_CASE(AreNotAwaitedForAnotherListing) {
  listEndpoints({});
  until([this] { return EndpointListings == 1; });
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 503);
  BOOST_TEST(EndpointListings == 1);
}

/// Guards against requests that are refused while the listing which they wait
/// for still runs, since another one has begun to wait for it.
BOOST_AUTO_TEST_CASE(AreAllHeldUntilTheListingEnds) {
  setResponses({{signedResponse("hello")}});
  StoreDelay = 200ms;
  listEndpoints({});
  for (int Number = 0; Number < 5; ++Number) {
    startRequest("/safe/a", {{"Id", std::to_string(Number)}});
    Io.run_for(10ms);
  }
  listEndpoints({0, 1});
  untilAnswered();
  for (const auto &Result : Results)
    BOOST_TEST(Result->Response->Head.Status == 200);
  BOOST_TEST(EndpointListings == 1);
}

BOOST_AUTO_TEST_CASE(AreRefusedAtOnceIfTheStoreListsNone) {
  listEndpoints({});
  const TimePoint SentAt = steadyNow();
  for (int Number = 0; Number < 20; ++Number)
    BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Head.Status == 503);
  BOOST_TEST((steadyNow() - SentAt < Duration(500ms)));
  BOOST_TEST(EndpointListings == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AbortTheCallWhenTheCallerDisconnects) {
  setResponses({{""}}); // Accepts the request and sends no response.
  {
    auto Call = await(
        HttpCall::open(CallerPool, "127.0.0.1:" + std::to_string(EntryPort)));
    BOOST_REQUIRE(Call);
    HttpRequest Request{"GET", "/safe/a", {}, {}};
    Request.Fields.All = {{"Host", "h"}, {"Id", "1"}};
    (*Call)->send(encodeRequest(Request));
    until([this] { return requestCount() == 1; });
    (*Call)->abort();
  }
  const TimePoint DisconnectedAt = steadyNow();
  until([this] {
    return Endpoints[0]->ClosedConnections + Endpoints[1]->ClosedConnections >
           0;
  });
  BOOST_TEST((steadyNow() - DisconnectedAt < Duration(500ms)));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RelayTurns, RelayFixture)

BOOST_AUTO_TEST_SUITE(Streams)

BOOST_AUTO_TEST_CASE(AreCompleteAndSettledAtTheForwardedTokens) {
  setResponses({{completeStream(3)}});
  const HttpResponse Response = sendTurn("t1", "1000");
  BOOST_TEST(Response.Head.Status == 200);
  BOOST_TEST(Response.Body == "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"
                              "id: 3\ndata: d3\n\n");
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(tokensDrawnBy("p") == 30U);
}

/// A configuration that comes while a turn runs may list its service no more.
/// Settled at no tokens, the turn would give its budget back.
BOOST_AUTO_TEST_CASE(AreSettledAtTheirTokensIfTheirServiceIsListedNoMore) {
  setResponses({{completeStream(3), false, 200ms}});
  spawn(Io, [](RelayFixture &Self) -> Task<void> {
    co_await pause(Self.Io, 100ms);
    Self.Routes.Version = 2;
    Self.Routes.Services.clear();
    Self.RequestRelay.setCatalog(Self.Routes);
  }(*this));
  BOOST_TEST(sendTurn("1", "1000").Head.Status == 200);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(tokensDrawnBy("p") == 30U);
  // What an event has is not known from here on.
  BOOST_TEST(sendTurn("2", "1000").Head.Status == 200);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(tokensDrawnBy("p") == 130U);
}

BOOST_AUTO_TEST_CASE(AreAbortedIfTheEndpointBreaksOff) {
  setResponses({{signedStreamHead() + eventChunk(1) + eventChunk(2), true}});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(tokensDrawnBy("p") == 20U);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AreAbortedIfAnEventIsMissing) {
  setResponses({{signedStreamHead() + eventChunk(1) + eventChunk(3) +
                 std::string(LastChunk)}});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AreRefused)

BOOST_AUTO_TEST_CASE(WithoutReachingAnEndpointIfTheBudgetIsSpent) {
  setResponses({{completeStream(8)}});
  BOOST_TEST(sendTurn("t1", "100").Head.Status == 200);
  BOOST_TEST(sendTurn("t2", "100").Head.Status == 402);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(WithoutChargeIfNoEndpointAcceptsThem) {
  setResponses({notRunResponse()});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 503);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(tokensDrawnBy("p") == 0U);
}

BOOST_AUTO_TEST_CASE(IfTooFewLedgersAnswer) {
  setResponses({{completeStream(1)}});
  stop(1);
  stop(2);
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 503);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Load pattern: an entry is cut off from the ledgers while callers still
/// reach it.
BOOST_AUTO_TEST_SUITE(WhileTheLedgersAreSilent)

BOOST_AUTO_TEST_CASE(AreRefusedAtOnceAndSentToAnotherEntry) {
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 200);
  BOOST_TEST(RequestRelay.isReady());
  silence(1);
  silence(2);
  BOOST_TEST(sendTurn("t2", "1000").Head.Status == 503);
  until([this] { return Client.isCutOff(); });
  const TimePoint SentAt = steadyNow();
  const HttpResponse Response = sendTurn("t3", "1000");
  BOOST_TEST((steadyNow() - SentAt < Duration(100ms)));
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_REQUIRE(Response.Head.Fields.has("Connection"));
  BOOST_TEST(*Response.Head.Fields.find("Connection") == "close");
  BOOST_TEST(!RequestRelay.isReady());
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(DoNotHoldUpPlainRequests) {
  setResponses({{signedResponse("hello")}});
  silence(1);
  silence(2);
  sendTurn("t1", "1000");
  BOOST_TEST(sendRequest("/safe/a", {{"Id", "1"}}).Body == "hello");
}

BOOST_AUTO_TEST_CASE(AreServedAgainWithoutTraffic) {
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 200);
  silence(1);
  silence(2);
  sendTurn("t2", "1000");
  until([this] { return Client.isCutOff(); });
  SilentPeers.clear();
  start(1);
  start(2);
  until([this] { return RequestRelay.isReady(); });
  BOOST_TEST(sendTurn("t3", "1000").Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetainedTurns)

BOOST_AUTO_TEST_CASE(CarryTheWholeChain) {
  setResponses({{completeStream(2)}});
  BOOST_TEST(sendTurn("t1", "1000", "", "/kept/x").Head.Status == 200);
  BOOST_TEST(sendTurn("t2", "1000", "t1", "/kept/x").Head.Status == 200);
  BOOST_TEST(sendTurn("t3", "1000", "t2", "/kept/x").Head.Status == 200);
  const std::string &Request = lastRequest();
  BOOST_TEST(Request.substr(Request.find("\r\n\r\n") + 4) ==
             "in t1;d1\nd2\nin t2;d1\nd2\nin t3;");
}

BOOST_AUTO_TEST_CASE(AreStoredWhenTheyFinish) {
  setResponses({{completeStream(1)}});
  sendTurn("t1", "1000", "", "/kept/x");
  BOOST_TEST(chain("t1") == "in t1;, d1\n; ");
}

BOOST_AUTO_TEST_CASE(AreNotStoredWhenTheyBreakOff) {
  setResponses({{signedStreamHead() + eventChunk(1), true}});
  sendTurn("t1", "1000", "", "/kept/x");
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_CASE(ContinueATurnThatAnotherEntryStored) {
  BOOST_REQUIRE(storeRecord(QuorumFixture::turn("t0")));
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendTurn("t1", "1000", "t0", "/kept/x").Head.Status == 200);
  BOOST_TEST(lastRequest().find("in t0out t0in t1;") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AreRefusedIfThePreviousTurnIsUnknown) {
  BOOST_TEST(sendTurn("t1", "1000", "nothing", "/kept/x").Head.Status == 404);
  stop(1);
  BOOST_TEST(sendTurn("t2", "1000", "nothing", "/kept/x").Head.Status == 503);
}

BOOST_AUTO_TEST_CASE(AreAbortedIfTheyCannotBeStored) {
  setResponses({{completeStream(2), false, 300ms}});
  asio::steady_timer Timer(Io, 150ms);
  Timer.async_wait([this](const ErrorCode &) {
    Nodes[1]->stop();
    Nodes[2]->stop();
  });
  BOOST_TEST(sendTurn("t1", "1000", "", "/kept/x").Head.Status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
