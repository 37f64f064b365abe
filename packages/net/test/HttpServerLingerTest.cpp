#include "HttpServerFixture.h"

#include <atomic>
#include <vector>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr std::size_t MegaByte = 1U << 20U;

HttpServerLimits shortLinger() {
  HttpServerLimits Result;
  Result.LingerTimeout = 100ms;
  return Result;
}

struct ShortLinger : HttpServerFixture {
  ShortLinger() : HttpServerFixture(shortLinger()) {}
};

HttpServerLimits fewLingering() {
  HttpServerLimits Result;
  Result.MaxLingeringConnections = 3;
  return Result;
}

struct FewLingering : HttpServerFixture {
  FewLingering() : HttpServerFixture(fewLingering()) {}
};

/// A client that writes its whole request before it reads.
struct WriteFirstClient : HttpServerFixture {
  void run(const std::string &Request) {
    std::atomic<bool> Done = false;
    std::thread Thread([&] {
      RawClient Client(ServerPort);
      IsWritten = Client.sendAll(Request);
      Received = Client.receiveToEnd();
      IsReset = Client.isReset();
      Done = true;
    });
    BOOST_TEST(runUntil([&] { return Done && Server.connections() == 0; }));
    Server.close(); // Ends the thread in any case.
    Thread.join();
  }

  bool IsWritten = false;
  bool IsReset = false;
  std::string Received;
};

/// A caller whose second request arrives while the first one is answered.
struct PipeliningClient : HttpServerFixture {
  PipeliningClient() {
    Held = true;
    Body = std::string(4 * MegaByte, 'b');
  }

  void run(const std::string &FirstRequest = GetRequest) {
    Client.sendAll(FirstRequest);
    BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
    Client.sendAll(GetRequest);
    Held = false;
    BOOST_TEST(runUntil([&] {
      Client.receive();
      return Client.isEnded() || Client.isReset();
    }));
  }

  RawClient Client{ServerPort, 64 << 10};
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnHttpServerThatClosesAConnection)

BOOST_AUTO_TEST_SUITE(LetsTheCallerRead)

/// Guards against a reset that takes the refusal from a caller that writes.
BOOST_FIXTURE_TEST_CASE(ARefusalOfALongBody, WriteFirstClient) {
  run("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5242880\r\n\r\n" +
      std::string(5 * MegaByte, 'b'));
  BOOST_TEST(IsWritten);
  BOOST_TEST(!IsReset);
  BOOST_TEST(Received.substr(0, 12) == "HTTP/1.1 413");
  BOOST_TEST(Server.counts().ClosedUnread == 0U);
}

/// Guards against the same for a head beyond the limit.
BOOST_FIXTURE_TEST_CASE(ARefusalOfALongHead, WriteFirstClient) {
  run("GET / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(5 * MegaByte, 'h') +
      "\r\n\r\n");
  BOOST_TEST(IsWritten);
  BOOST_TEST(!IsReset);
  BOOST_TEST(Received.substr(0, 12) == "HTTP/1.1 431");
}

/// Guards against the same for bytes that are no request.
BOOST_FIXTURE_TEST_CASE(ARefusalOfAMalformedRequest, WriteFirstClient) {
  run("no request\r\n\r\n" + std::string(5 * MegaByte, 'x'));
  BOOST_TEST(IsWritten);
  BOOST_TEST(!IsReset);
  BOOST_TEST(Received.substr(0, 12) == "HTTP/1.1 400");
}

/// Guards against a reset that destroys the last response because the next
/// request is on its way.
BOOST_FIXTURE_TEST_CASE(TheWholeLastResponse, PipeliningClient) {
  run("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(!Client.isReset());
  BOOST_TEST(countResponses(Client.receive()) == 1U);
  BOOST_TEST(Started == 1);
}

/// Guards against a reset that destroys what was sent of a response, and
/// against an end that looks like the end of the response.
BOOST_FIXTURE_TEST_CASE(AllChunksOfAResponseThatIsBrokenOff, PipeliningClient) {
  BreaksOff = true;
  run();
  const std::string &Received = Client.receive();
  BOOST_TEST(!Client.isReset());
  BOOST_TEST(Received.size() > Body.size());
  BOOST_TEST((Received.substr(Received.size() - 3) == "b\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DoesNotWait)

/// Guards against lingering for a caller that has left.
BOOST_FIXTURE_TEST_CASE(ForACallerThatHasDisconnected, HttpServerFixture) {
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Client.close();
  Held = false;
  BOOST_TEST(runUntil([&] { return Server.connections() == 0; }));
  BOOST_TEST(Server.counts().LingerTimeouts == 0U);
}

/// Guards against connections that callers keep open forever.
BOOST_FIXTURE_TEST_CASE(LongerThanTheLimit, ShortLinger) {
  Closes = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_TEST(runUntil([&] { return Server.counts().LingerTimeouts == 1; }));
  BOOST_TEST(runUntil([&] { return Server.connections() == 0; }));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
  BOOST_TEST(Client.isEnded());
}

/// Guards against lingering connections that use up the descriptors.
BOOST_FIXTURE_TEST_CASE(ForMoreConnectionsThanTheLimit, FewLingering) {
  Closes = true;
  std::vector<RawClient> Clients;
  for (int Number = 0; Number < 5; ++Number) {
    Clients.emplace_back(ServerPort);
    Clients.back().sendAll(GetRequest);
  }
  BOOST_TEST(runUntil([&] {
    return Started == 5 &&
           Server.connections() == fewLingering().MaxLingeringConnections;
  }));
  BOOST_TEST(Server.counts().LingerTimeouts == 2U);
  for (RawClient &Client : Clients)
    BOOST_TEST(countResponses(Client.receive()) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
