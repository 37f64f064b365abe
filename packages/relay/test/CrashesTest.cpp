#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

struct CrashFixture : RelayFixture {
  /// Lets each endpoint that runs a request crash; it is back before the next
  /// one.
  void crashAll(const std::string &Head = signedStreamHead()) {
    setResponses({{Head, false, {}, {}, true}});
  }
  /// Sends the same request with another id and of another program.
  HttpResponse sendAgain(const std::string &Target = "/turn/x") {
    ++Tries;
    HttpResponse Response =
        sendRequest(Target,
                    {{"Id", "r" + std::to_string(Tries)},
                     {"Program", "p" + std::to_string(Tries)},
                     {"Budget", "1000"},
                     {"Most", "100"}},
                    "deadly");
    for (auto &Endpoint : Endpoints)
      if (Endpoint->isCrashed())
        Endpoint->start();
    return Response;
  }

  int Tries = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayCrashes, CrashFixture)

/// Guards against a request that comes again and again and crashes each
/// endpoint that runs it, with all that runs there beside it.
BOOST_AUTO_TEST_CASE(ARequestReachesNoEndpointAfterItHasCrashedThree) {
  for (const char *Target : {"/turn/x", "/once/x"}) {
    for (auto &Endpoint : Endpoints)
      Endpoint->Requests.clear();
    crashAll(std::string_view(Target) == "/turn/x" ? signedStreamHead() : "");
    for (int Try = 0; Try < 6; ++Try)
      sendAgain(Target);
    BOOST_TEST(requestCount() == 3U, Target);
  }
}

/// Guards against crashes that are taken for the end of an empty stream.
BOOST_AUTO_TEST_CASE(ItReachesNoneEitherIfItsStreamsHadNeitherLengthNorChunks) {
  crashAll("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n\r\n");
  for (int Try = 0; Try < 6; ++Try)
    sendAgain();
  BOOST_TEST(requestCount() == 3U);
}

BOOST_AUTO_TEST_CASE(TheRefusalSaysThatComingAgainDoesNotHelp) {
  crashAll();
  for (int Try = 0; Try < 3; ++Try)
    sendAgain();
  const TimePoint SentAt = steadyNow();
  const HttpResponse Response = sendAgain();
  BOOST_TEST((steadyNow() - SentAt < Duration(100ms)));
  BOOST_TEST(Response.Head.Status == 500);
  BOOST_TEST(!Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(Response.Body.find("does not help") != std::string::npos);
}

/// Guards against the refusal of all requests of a route that one crashes.
BOOST_AUTO_TEST_CASE(OtherRequestsOfTheRouteAreServed) {
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendTurn("t1", "1000").Head.Status == 200);
  crashAll();
  for (int Try = 0; Try < 4; ++Try)
    sendAgain();
  BOOST_TEST(sendAgain().Head.Status == 500);
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendTurn("t2", "1000").Head.Status == 200);
  BOOST_TEST(sendTurn("t3", "1000", "", "/turn/y").Head.Status == 200);
}

/// Guards against the refusal of requests whose connections were lost while
/// their endpoints went on.
BOOST_AUTO_TEST_CASE(ALostConnectionIsNoCrash) {
  setResponses({{signedStreamHead(), true}});
  for (int Try = 0; Try < 6; ++Try)
    sendAgain();
  BOOST_TEST(requestCount() == 6U);
}

/// Guards against the refusal of requests whose endpoints stopped as planned.
BOOST_AUTO_TEST_CASE(TheEndOfAnEndpointThatHadAnnouncedItIsNoCrash) {
  crashAll("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\nLeaving: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n");
  for (int Try = 0; Try < 2; ++Try)
    sendAgain();
  crashAll();
  listEndpoints({});
  listEndpoints({0, 1}, 1);
  for (int Try = 0; Try < 6; ++Try)
    sendAgain();
  BOOST_TEST(requestCount() == 5U);
}

/// Guards against a request that crashes three endpoints at each entry.
BOOST_AUTO_TEST_CASE(CrashesThatAnotherEntrySawCount) {
  CrashRecords Elsewhere({}, "another entry");
  const RequestDigest Digest = digestOf("POST", "h", "/turn/x", "deadly");
  for (const char *Endpoint : {"e7", "e8"})
    Elsewhere.onCrash(Digest, EndpointId(Endpoint), steadyNow(), steadyNow());
  const std::string Ledger = Client.view().Members.front().Address;
  const auto Told = await(Client.call(
      Ledger, calls::Crashes,
      Json(CrashRequest{{}, Elsewhere.observedAfter(0, steadyNow()).Records}),
      steadyNow() + 1s));
  BOOST_REQUIRE(Told);
  spawn(Io, RequestRelay.exchangeCrashes());
  Io.run_for(300ms);
  crashAll();
  for (int Try = 0; Try < 4; ++Try)
    sendAgain();
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
