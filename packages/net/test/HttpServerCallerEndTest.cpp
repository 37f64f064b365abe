#include "HttpServerFixture.h"

#include <optional>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// A server whose handler notes how its caller ended the connection.
struct CallerEndFixture {
  CallerEndFixture() {
    BOOST_REQUIRE(Server.listen("127.0.0.1:" + std::to_string(ServerPort)));
  }

  Task<void> answer(HttpExchange &Call) {
    Call.onCallerDisconnect([this, &Call] {
      EndedSendingAtDisconnect = Call.hasCallerEndedSending();
    });
    Started = true;
    const TimePoint Limit = steadyNow() + PatienceLimit;
    while (!EndedSendingAtDisconnect && steadyNow() < Limit) {
      co_await pause(Io, 1ms);
    }
  }

  /// Runs the loop until \p Condition holds, or for PatienceLimit.
  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = steadyNow() + PatienceLimit;
    while (!Condition() && steadyNow() < Limit)
      Io.run_for(2ms);
  }

  /// A caller whose request is being handled.
  RawClient startRequest() {
    RawClient Client(ServerPort);
    Client.sendAll(GetRequest);
    runUntil([this] { return Started; });
    BOOST_REQUIRE(Started);
    return Client;
  }

  Loop Io{1};
  HttpServer Server{
      Io, {}, [this](HttpExchange &Call) { return answer(Call); }};
  bool Started = false;
  std::optional<bool> EndedSendingAtDisconnect;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACallerThatResetsItsConnection, CallerEndFixture)

/// Guards against logs that do not tell a caller that may still read from one
/// that is gone for certain.
BOOST_AUTO_TEST_CASE(HasNotEndedItsSendingSide) {
  RawClient Client = startRequest();
  Client.reset();
  runUntil([this] { return EndedSendingAtDisconnect.has_value(); });
  BOOST_REQUIRE(EndedSendingAtDisconnect.has_value());
  BOOST_TEST(!*EndedSendingAtDisconnect);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ACallerThatEndsItsSendingSide, CallerEndFixture)

BOOST_AUTO_TEST_CASE(IsToldFromOneThatResets) {
  RawClient Client = startRequest();
  Client.shutdownSend();
  runUntil([this] { return EndedSendingAtDisconnect.has_value(); });
  BOOST_REQUIRE(EndedSendingAtDisconnect.has_value());
  BOOST_TEST(*EndedSendingAtDisconnect);
}

BOOST_AUTO_TEST_SUITE_END()
