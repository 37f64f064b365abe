#include "HttpServerFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

BOOST_AUTO_TEST_SUITE(RequestsThatArePipelined)

BOOST_AUTO_TEST_SUITE(WhileTheServerDrains)

// Guards against a response that is to close its connection by what had arrived
// when it began, and discards a request that comes before its first chunk.
BOOST_FIXTURE_TEST_CASE(AreAnsweredBehindAStreamThatWaitsForItsFirstChunk,
                        HttpServerFixture) {
  Streams = true;
  Held = true;
  Server.drain(PatienceLimit);
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Client.sendAll(GetRequest);
  Io.run_for(20ms);
  Held = false;
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Started == 2 || Client.isEnded();
  }));
  BOOST_TEST(Started == 2);
  BOOST_TEST(runUntil([&] { return countStreams(Client.receive()) == 2U; }));
  BOOST_TEST((Server.counts() == HttpServerCounts{}));
}

BOOST_AUTO_TEST_SUITE_END()

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
