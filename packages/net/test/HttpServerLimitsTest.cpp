#include "tamarack/net/HttpServer.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(HttpServerLimitsTest)

/// Guards against a configuration that comes while a server drains and leaves
/// its idle connections open until the process exits.
BOOST_AUTO_TEST_CASE(LimitsThatAreSetWhileAServerDrainsKeepItsIdleTimeout) {
  Loop Io{1};
  HttpServer Server(Io, {}, [](HttpExchange &) -> Task<void> { co_return; });
  BOOST_REQUIRE(Server.listen("127.0.0.1:19887"));
  Server.drain(100ms);
  HttpServerLimits Limits;
  Limits.KeepAliveTimeout = 15s;
  Server.setLimits(Limits);
  Tcp::socket Caller(Io);
  Caller.connect(*parseAddress("127.0.0.1:19887"));
  Io.run_for(50ms);
  BOOST_TEST(Server.connections() == 1U);
  Io.run_for(800ms);
  BOOST_TEST(Server.load().Idle == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
