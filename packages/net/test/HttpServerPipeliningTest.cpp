#include "HttpServerFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// How long drain() lets connections stay idle.
constexpr Duration IdleTimeout = 400ms;
const std::string CloseField = "Connection: close";

} // namespace

BOOST_AUTO_TEST_SUITE(RequestsThatArePipelined)

BOOST_AUTO_TEST_SUITE(WhileTheServerDrains)

/// Guards against a response that is to close its connection by what had
/// arrived when it began, and discards a request that comes before its first
/// chunk.
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

/// Guards against an answer that closes the connection of a caller which may
/// have sent the next request when it reads that answer.
BOOST_FIXTURE_TEST_CASE(AreAnsweredUntilTheConnectionIsIdle,
                        HttpServerFixture) {
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Client.sendAll(GetRequest + GetRequest);
  Server.drain(IdleTimeout);
  Held = false;
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 3); }));
  Io.run_for(IdleTimeout / 4);
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 4); }));
  BOOST_TEST(countResponses(Client.receive()) == 4U);
  BOOST_TEST(!Client.isEnded());
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST(!Client.isReset());
  BOOST_TEST(Client.receive().find(CloseField) == std::string::npos);
  BOOST_TEST((Server.counts() == HttpServerCounts{}));
}

/// Guards against the same where the requests of a caller wait for a handler
/// that runs, and none is left when it answers.
BOOST_FIXTURE_TEST_CASE(KeepTheConnectionOpenOnceTheyWereSeen,
                        HttpServerFixture) {
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Client.sendAll(GetRequest);
  Io.run_for(20ms);
  Held = false;
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  Server.drain(PatienceLimit);
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 3); }));
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 4); }));
  BOOST_TEST(countResponses(Client.receive()) == 4U);
  BOOST_TEST(!Client.isEnded());
}

/// Guards against connections of ordinary callers that are kept, as if these
/// pipelined, because they send the next request as soon as they have an
/// answer.
BOOST_FIXTURE_TEST_CASE(AreNotMistakenForOnesThatFollowAnAnswer,
                        HttpServerFixture) {
  RawClient Client = openKeptConnection();
  for (std::size_t Number = 2; Number <= 20; ++Number) {
    Client.sendAll(GetRequest);
    BOOST_REQUIRE(runUntil([&] { return isAnswered(Client, Number); }));
  }
  Server.drain(PatienceLimit);
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST(Client.receive().find(CloseField) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against an answer that closes its connection because an earlier
/// response on it was to do so.
BOOST_FIXTURE_TEST_CASE(AreAnsweredBehindAResponseThatWasToCloseAndDidNot,
                        HttpServerFixture) {
  Closes = true;
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest + GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  ClosesUntil = 1;
  Held = false;
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 3); }));
  BOOST_TEST(countResponses(Client.receive()) == 3U);
  BOOST_TEST(Client.receive().find(CloseField) == std::string::npos);
}

/// Guards against discarded requests that are not counted because the deadline
/// of a stop comes before the caller closes the connection.
BOOST_FIXTURE_TEST_CASE(AreCountedAtTheDeadlineOfAStop, HttpServerFixture) {
  Closes = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] {
    Client.receive();
    return Client.isEnded();
  }));
  Client.sendAll(GetRequest);
  startClosing(50ms);
  BOOST_TEST(runUntil([&] { return IsClosed; }));
  BOOST_TEST(Server.counts().Discarded == 1U);
}

/// Guards against callers that lose requests behind the end of a connection and
/// nothing counts.
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
