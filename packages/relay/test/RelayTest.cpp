#include "RelayWorld.h"

using namespace tamarack;
using namespace tamarack::testing;

BOOST_FIXTURE_TEST_SUITE(ARequest, RelayWorld)

BOOST_AUTO_TEST_SUITE(GetsTheEndpointsAnswer)

BOOST_AUTO_TEST_CASE(Unchanged) {
  script({{whole("hello", "X-More: y\r\n")}});
  const HttpResponse Answer = ask("/safe/a?b=c", {{"Id", "1"}, {"Z", "z"}});
  BOOST_TEST(Answer.Head.Status == 200);
  BOOST_TEST(Answer.Body == "hello");
  BOOST_TEST(*Answer.Head.Fields.find("X-More") == "y");
  BOOST_TEST(*Answer.Head.Fields.find("Signed") == "s");
  BOOST_TEST(lastRequest().rfind("GET /safe/a?b=c HTTP/1.1\r\n", 0) == 0U);
  BOOST_TEST(lastRequest().find("Z: z\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AlsoWhenItIsAFailureOfItsOwn) {
  script({{whole("oops", "", "500 Internal Server Error")}});
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Head.Status == 500);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AlsoWhenAnotherRequestsAnswerComesFirst) {
  script({{"HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n"
           "Content-Length: 5\r\n\r\nwrong" +
           whole("right")}});
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Body == "right");
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(NotTheExtraBytesBehindAnEarlierOne) {
  script({{whole("one") + whole("one again")}, {whole("two")}});
  listEndpoints({0});
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Body == "one");
  BOOST_TEST(ask("/once/a", {{"Id", "2"}}, "b").Body == "two");
}

BOOST_AUTO_TEST_CASE(WithWhatIsLeftOfTheTime) {
  script({{whole("hello")}});
  ask("/safe/a", {{"Id", "1"}, {"Wait-Ms", "500"}});
  const std::size_t At = lastRequest().find("Left-Ms: ") + 9;
  const int Left = std::stoi(lastRequest().substr(At));
  BOOST_TEST((Left > 300 && Left <= 500), "left: " << Left);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatMayRunOnce)

BOOST_AUTO_TEST_CASE(IsNotSentAgainWhenItsAnswerIsLost) {
  script({{"", true}});
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Head.Status == 502);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(IsNotSentAgainWhenItsAnswerIsCutOff) {
  script({{"HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n"
           "Content-Length: 50\r\n\r\nhalf",
           true}});
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Head.Status == 502);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(IsOfferedToAnotherEndpointThatSaysItDidNotRun) {
  script({notRun()});
  Endpoints[1]->Steps = {{whole("done")}};
  Endpoints[0]->Steps = {notRun()};
  BOOST_TEST(ask("/once/a", {{"Id", "1"}}, "b").Body == "done");
}

BOOST_AUTO_TEST_CASE(IsRefusedAsNotRunWhenEveryEndpointSaysSo) {
  script({notRun()});
  const HttpResponse Answer = ask("/once/a", {{"Id", "1"}}, "b");
  BOOST_TEST(Answer.Head.Status == 503);
  BOOST_TEST(Answer.Head.Fields.has("Retry-After"));
  BOOST_TEST(!Answer.Head.Fields.has("Signed"));
}

BOOST_AUTO_TEST_CASE(IsAnsweredWithoutAPromiseAtItsDeadline) {
  script({{whole("late"), false, 700ms}});
  const HttpResponse Answer =
      ask("/once/a", {{"Id", "1"}, {"Wait-Ms", "200"}}, "b");
  BOOST_TEST(Answer.Head.Status == 504);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsIdempotent)

BOOST_AUTO_TEST_CASE(IsSentToAnotherEndpointWhenItsAnswerIsLost) {
  Endpoints[0]->Steps = {{"", true}};
  Endpoints[1]->Steps = {{"", true}};
  BOOST_TEST(ask("/safe/a", {{"Id", "1"}}).Head.Status == 502);
  BOOST_TEST(runs() == 2U);
}

BOOST_AUTO_TEST_CASE(IsNeverAnsweredWithAnUnsignedBody) {
  script({{"HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nno"}});
  BOOST_TEST(ask("/safe/a", {{"Id", "1"}}).Head.Status == 502);
}

BOOST_AUTO_TEST_CASE(IsNeverAnsweredWithBytesThatAreNoAnswer) {
  script({{"garbage garbage\r\n\r\n", true}});
  BOOST_TEST(ask("/safe/a", {{"Id", "1"}}).Head.Status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsRefused)

BOOST_AUTO_TEST_CASE(WhereNoRouteMatches) {
  BOOST_TEST(ask("/nowhere/", {{"Id", "1"}}).Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(WhereItHasNoId) {
  BOOST_TEST(ask("/safe/a", {}).Head.Status == 400);
}

BOOST_AUTO_TEST_CASE(WhereNoEndpointIsLeft) {
  listEndpoints({});
  BOOST_TEST(ask("/safe/a", {{"Id", "1"}}).Head.Status == 503);
}

BOOST_AUTO_TEST_CASE(WhereTheProcessStopsSoon) {
  script({{whole("hello")}});
  Requests.takeNoMore();
  const HttpResponse Answer = ask("/once/a", {{"Id", "1"}}, "b");
  BOOST_TEST(Answer.Head.Status == 503);
  BOOST_TEST(Answer.Head.Fields.has("Retry-After"));
  BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_CASE(WhereNoConfigurationIsKnown) {
  Relay Unready(Io, {}, Wire, Client, Pool, Metrics);
  BOOST_TEST(!Unready.isReady());
  HttpServer Early(Io, {},
                   [&](HttpExchange &Call) { return Unready.serve(Call); });
  BOOST_REQUIRE(Early.listen("127.0.0.1:19799"));
  HttpRequest Request{"GET", "/safe/a", {}, {}};
  const auto Answer =
      await(fetch(Callers, "127.0.0.1:19799", std::move(Request), 1s));
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->Head.Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsStoppedAtItsEndpointWhenItsCallerLeaves) {
  script({{""}}); // Takes the request and answers nothing.
  {
    auto Call = await(
        HttpCall::open(Callers, "127.0.0.1:" + std::to_string(EntryPort)));
    BOOST_REQUIRE(Call);
    HttpRequest Request{"GET", "/safe/a", {}, {}};
    Request.Fields.All = {{"Host", "h"}, {"Id", "1"}};
    (*Call)->send(encodeRequest(Request));
    until([this] { return runs() == 1; });
    (*Call)->abort();
  }
  const TimePoint Left = steadyNow();
  until([this] { return Endpoints[0]->Closed + Endpoints[1]->Closed > 0; });
  BOOST_TEST((steadyNow() - Left < Duration(500ms)));
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ATurn, RelayWorld)

BOOST_AUTO_TEST_SUITE(IsStreamed)

BOOST_AUTO_TEST_CASE(WholeAndSettledAtWhatWasHandedOut) {
  script({{stream(3)}});
  const HttpResponse Answer = turn("t1", "1000");
  BOOST_TEST(Answer.Head.Status == 200);
  BOOST_TEST(Answer.Body == "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"
                            "id: 3\ndata: d3\n\n");
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(drawnBy("p") == 30U);
}

BOOST_AUTO_TEST_CASE(AndVisiblyBrokenWhereItsEndpointBreaksOff) {
  script({{streamHead() + event(1) + event(2), true}});
  BOOST_TEST(turn("t1", "1000").Head.Status == 0);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(drawnBy("p") == 20U);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AndVisiblyBrokenWhereAnEventIsMissing) {
  script({{streamHead() + event(1) + event(3) + std::string(LastChunk)}});
  BOOST_TEST(turn("t1", "1000").Head.Status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsRefused)

BOOST_AUTO_TEST_CASE(AtNoEndpointWhenTheBudgetIsSpent) {
  script({{stream(8)}});
  BOOST_TEST(turn("t1", "100").Head.Status == 200);
  BOOST_TEST(turn("t2", "100").Head.Status == 402);
  BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(AndNotCountedWhenNoEndpointTakesIt) {
  script({notRun()});
  BOOST_TEST(turn("t1", "1000").Head.Status == 503);
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST(drawnBy("p") == 0U);
}

BOOST_AUTO_TEST_CASE(WhenTooFewLedgersAnswer) {
  script({{stream(1)}});
  stop(1);
  stop(2);
  BOOST_TEST(turn("t1", "1000").Head.Status == 503);
  BOOST_TEST(runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAKeptRoute)

BOOST_AUTO_TEST_CASE(CarriesTheWholeChain) {
  script({{stream(2)}});
  BOOST_TEST(turn("t1", "1000", "", "/kept/x").Head.Status == 200);
  BOOST_TEST(turn("t2", "1000", "t1", "/kept/x").Head.Status == 200);
  BOOST_TEST(turn("t3", "1000", "t2", "/kept/x").Head.Status == 200);
  const std::string &Request = lastRequest();
  BOOST_TEST(Request.substr(Request.find("\r\n\r\n") + 4) ==
             "in t1;d1\nd2\nin t2;d1\nd2\nin t3;");
}

BOOST_AUTO_TEST_CASE(IsKeptWhereItsAnswerEnded) {
  script({{stream(1)}});
  turn("t1", "1000", "", "/kept/x");
  BOOST_TEST(chain("t1") == "in t1;, d1\n; ");
}

BOOST_AUTO_TEST_CASE(IsNotKeptWhereItBrokeOff) {
  script({{streamHead() + event(1), true}});
  turn("t1", "1000", "", "/kept/x");
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_CASE(ContinuesATurnThatAnotherEntryKept) {
  BOOST_REQUIRE(storeRecord(QuorumFixture::turn("t0")));
  script({{stream(1)}});
  BOOST_TEST(turn("t1", "1000", "t0", "/kept/x").Head.Status == 200);
  BOOST_TEST(lastRequest().find("in t0out t0in t1;") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(IsRefusedWhereItContinuesNothing) {
  BOOST_TEST(turn("t1", "1000", "nothing", "/kept/x").Head.Status == 404);
  stop(1);
  BOOST_TEST(turn("t2", "1000", "nothing", "/kept/x").Head.Status == 503);
}

BOOST_AUTO_TEST_CASE(BreaksOffWhereItCannotBeKept) {
  script({{stream(2), false, 300ms}});
  asio::steady_timer Timer(Io, 150ms);
  Timer.async_wait([this](const ErrorCode &) {
    Nodes[1]->stop();
    Nodes[2]->stop();
  });
  BOOST_TEST(turn("t1", "1000", "", "/kept/x").Head.Status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
