#include "HttpServerFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

BOOST_AUTO_TEST_SUITE(RequestsThatArePipelined)

// Guards against callers that lose requests behind the end of a connection and
// nothing counts.
BOOST_FIXTURE_TEST_CASE(AreCountedIfTheyAreDiscarded, HttpServerFixture) {
  Closes = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] {
    Client.receive();
    return Client.isEnded();
  }));
  BOOST_TEST(Server.counts().Discarded == 0U);
  Client.sendAll(GetRequest);
  Client.close();
  BOOST_TEST(runUntil([&] { return Server.connections() == 0; }));
  HttpServerCounts OnlyDiscarded;
  OnlyDiscarded.Discarded = 1;
  BOOST_TEST((Server.counts() == OnlyDiscarded));
  BOOST_TEST(Started == 1);
}

BOOST_AUTO_TEST_SUITE_END()
