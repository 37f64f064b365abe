#include "HttpServerFixture.h"

#include <algorithm>
#include <vector>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Longer than the idle timeout and the period of checking timeouts.
constexpr Duration StallTime = 400ms;
/// More than the number of ready sockets that Asio takes at a time.
constexpr int ManyClients = 200;
const std::string HalfRequest = "GET / HTTP/1.1\r\nHo";
const std::string OtherHalf = "st: h\r\n\r\n";

HttpServerLimits shortTimeouts() {
  HttpServerLimits Result;
  Result.KeepAliveTimeout = 100ms;
  Result.RequestReadTimeout = 100ms;
  return Result;
}

struct ShortTimeouts : HttpServerFixture {
  ShortTimeouts() : HttpServerFixture(shortTimeouts()) {}
};

/// Timeouts that a stall exceeds although little of them passed before it.
struct StallExceedsTimeouts : HttpServerFixture {
  static constexpr Duration Timeout = 500ms;
  static constexpr Duration LongStall = 1s;

  StallExceedsTimeouts() : HttpServerFixture(limits()) {}

  static HttpServerLimits limits() {
    HttpServerLimits Result;
    Result.RequestReadTimeout = Timeout;
    Result.ResponseWriteTimeout = Timeout;
    return Result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AConnectionOfAnHttpServer)

BOOST_AUTO_TEST_SUITE(WhenTheLoopStoodStill)

/// Guards against closing by the clock a connection on which a request waits.
BOOST_FIXTURE_TEST_CASE(IsKeptIfARequestArrivedThoughItsIdleTimeoutPassed,
                        ShortTimeouts) {
  RawClient Client = openKeptConnection();
  standStill(StallTime, [&] { Client.sendAll(GetRequest); });
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  BOOST_TEST(countResponses(Client.receive()) == 2U);
}

/// Load pattern: many callers, whose requests all arrive during the stall.
/// Guards against checking timeouts before all sockets were looked at.
BOOST_FIXTURE_TEST_CASE(IsKeptAmongManyWithRequests, ShortTimeouts) {
  std::vector<RawClient> Clients;
  Clients.reserve(ManyClients);
  for (int Number = 0; Number < ManyClients; ++Number)
    Clients.emplace_back(ServerPort);
  const auto SendToAll = [&] {
    for (RawClient &Client : Clients)
      Client.sendAll(GetRequest);
  };
  const auto CountAnswered = [&](std::size_t Responses) {
    int Count = 0;
    for (RawClient &Client : Clients)
      Count += countResponses(Client.receive()) == Responses ? 1 : 0;
    return Count;
  };
  SendToAll();
  BOOST_REQUIRE(runUntil([&] { return CountAnswered(1) == ManyClients; }));
  std::this_thread::sleep_for(StallTime);
  SendToAll();
  runUntil([&] {
    return std::all_of(Clients.begin(), Clients.end(), [&](RawClient &Client) {
      return isAnswered(Client, 2);
    });
  });
  BOOST_TEST(CountAnswered(2) == ManyClients);
}

/// Guards against the same while the server drains.
BOOST_FIXTURE_TEST_CASE(IsKeptIfARequestArrivedWhileDraining,
                        HttpServerFixture) {
  RawClient Client = openKeptConnection();
  Server.drain(100ms);
  standStill(StallTime, [&] { Client.sendAll(GetRequest); });
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  BOOST_TEST(countResponses(Client.receive()) == 2U);
}

/// Guards against cutting a request whose rest waits to be read.
BOOST_FIXTURE_TEST_CASE(IsKeptIfTheRestOfARequestArrived, ShortTimeouts) {
  RawClient Client = openKeptConnection();
  Client.sendAll(HalfRequest);
  Io.run_for(20ms);
  standStill(StallTime, [&] { Client.sendAll(OtherHalf); });
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  BOOST_TEST(countResponses(Client.receive()) == 2U);
}

/// Guards against counting time in which nothing could be read as time that
/// the caller took.
BOOST_FIXTURE_TEST_CASE(HasTheRestOfItsTimeToSendARequest,
                        StallExceedsTimeouts) {
  RawClient Client = openKeptConnection();
  Client.sendAll(HalfRequest);
  Io.run_for(20ms);
  standStill(LongStall, [] {});
  Client.sendAll(OtherHalf);
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 2); }));
  BOOST_TEST(countResponses(Client.receive()) == 2U);
}

/// Guards against cutting a response that the caller goes on reading.
BOOST_FIXTURE_TEST_CASE(GoesOnReceivingAResponse, StallExceedsTimeouts) {
  Body = std::string(8U << 20U, 'b');
  RawClient Client(ServerPort, 64 << 10);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Io.run_for(20ms);
  standStill(LongStall, [&] { Client.receive(); });
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 1); }));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
}

/// Guards against keeping connections forever.
BOOST_FIXTURE_TEST_CASE(IsClosedIfNothingArrived, ShortTimeouts) {
  RawClient Client = openKeptConnection();
  standStill(StallTime, [] {});
  BOOST_TEST(runUntil([&] { return Server.connections() == 0; }));
  Client.receive();
  BOOST_TEST(Client.isEnded());
  BOOST_TEST(Server.counts().ClosedUnread == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithALargeResponse)

/// Guards against cutting the response of a caller that reads all the while,
/// because the whole of it takes longer than one write may.
BOOST_FIXTURE_TEST_CASE(IsKeptWhileTheCallerReads, StallExceedsTimeouts) {
  Body = std::string(16U << 20U, 'b');
  RawClient Client(ServerPort, 64 << 10);
  Client.sendAll(GetRequest);
  const TimePoint StartedAt = steadyNow();
  BOOST_TEST(runUntil([&] {
    Io.run_for(20ms);
    return countResponses(Client.receiveSome(128U << 10U)) == 1 ||
           Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST((steadyNow() - StartedAt > 2 * Timeout));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
}

/// Guards against the same for a caller that needs longer than one write may
/// take for the part of its buffer that the kernel wants free.
BOOST_FIXTURE_TEST_CASE(IsKeptWhileTheCallerReadsVerySlowly,
                        StallExceedsTimeouts) {
  Body = std::string(16U << 20U, 'b');
  RawClient Client(ServerPort, 64 << 10);
  Client.sendAll(GetRequest);
  const TimePoint StartedAt = steadyNow();
  BOOST_TEST(runUntil([&] {
    Io.run_for(50ms);
    Client.receiveSome(64U << 10U);
    return steadyNow() - StartedAt > 8 * Timeout || Client.isEnded() ||
           Client.isReset();
  }));
  BOOST_TEST(Server.connections() == 1U);
  BOOST_TEST(!Client.isEnded());
  BOOST_TEST(!Client.isReset());
}

/// Guards against connections that callers which do not read keep forever.
BOOST_FIXTURE_TEST_CASE(IsClosedIfTheCallerStopsReading, StallExceedsTimeouts) {
  Body = std::string(16U << 20U, 'b');
  RawClient Client(ServerPort, 64 << 10);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Client.receiveSome(1).size() > 0U; }));
  BOOST_TEST(runUntil([&] { return Server.connections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithASlowRequest)

/// Guards against cut requests that nothing counts.
BOOST_FIXTURE_TEST_CASE(IsCutAndCounted, ShortTimeouts) {
  RawClient Client(ServerPort);
  Client.sendAll(HalfRequest);
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded();
  }));
  BOOST_TEST(Server.counts().CutWhileReading == 1U);
}

/// Guards against a request without time limit after an interim response.
BOOST_FIXTURE_TEST_CASE(IsCutIfItsBodyDoesNotFollowTheInterimResponse,
                        ShortTimeouts) {
  RawClient Client(ServerPort);
  Client.sendAll("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                 "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded();
  }));
  BOOST_TEST(Client.receive().substr(0, 12) == "HTTP/1.1 100");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
