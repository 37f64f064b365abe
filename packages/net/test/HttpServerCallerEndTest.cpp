#include "HttpServerFixture.h"

#include <optional>
#include <utility>

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
    Call.onCallerEndOfSending([this] { HasEndedSending = true; });
    HttpHead Head{200, {}};
    Call.begin(std::move(Head));
    Started = true;
    bool Written = false;
    const TimePoint Limit = steadyNow() + PatienceLimit;
    while (!EndedSendingAtDisconnect && !Finishes && steadyNow() < Limit) {
      if (Writes && !std::exchange(Written, true)) {
        co_await Call.sendChunk("part");
      }
      IsKnownToRead = IsKnownToRead || Call.isCallerKnownToRead();
      co_await pause(Io, 1ms);
    }
    co_await Call.end();
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
  /// Whether the handler writes a part of its response, or ends it.
  bool Writes = false;
  bool Finishes = false;
  bool HasEndedSending = false;
  bool IsKnownToRead = false;
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

BOOST_AUTO_TEST_SUITE(ACallerThatEndsItsSendingSide)

/// Guards against a server that takes the end of a caller's sending side for a
/// disconnect, and closes the connection without the answer.
BOOST_FIXTURE_TEST_CASE(GetsTheAnswerToItsRequest, HttpServerFixture) {
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Client.shutdownSend();
  Io.run_for(20ms);
  Held = false;
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
  BOOST_TEST(Client.receive().find("Connection: close") != std::string::npos);
  BOOST_TEST(Client.isEnded());
  BOOST_TEST((Server.counts() == HttpServerCounts{}));
}

BOOST_FIXTURE_TEST_CASE(GetsTheAnswersToAllRequestsThatItPipelined,
                        HttpServerFixture) {
  constexpr int Requests = 30;
  RawClient Client(ServerPort);
  for (int Number = 0; Number < Requests; ++Number)
    Client.sendAll(GetRequest);
  Client.shutdownSend();
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST(countResponses(Client.receive()) == std::size_t{Requests});
  BOOST_TEST(Client.isEnded());
}

BOOST_FIXTURE_TEST_CASE(GetsItsStreamToTheEnd, HttpServerFixture) {
  Streams = true;
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  Client.shutdownSend();
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  Io.run_for(20ms);
  Held = false;
  BOOST_TEST(runUntil([&] {
    Client.receive();
    return Client.isEnded() || Client.isReset();
  }));
  BOOST_TEST(countStreams(Client.receive()) == 1U);
  BOOST_TEST(Client.isEnded());
}

BOOST_FIXTURE_TEST_CASE(GetsTheAnswerWhileTheServerCloses, HttpServerFixture) {
  Held = true;
  RawClient Client(ServerPort);
  Client.sendAll(GetRequest);
  Client.shutdownSend();
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  startClosing(PatienceLimit);
  Io.run_for(20ms);
  Held = false;
  BOOST_TEST(runUntil([&] { return IsClosed; }));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
}

BOOST_AUTO_TEST_SUITE(WhoseHandlerWrites)

/// Guards against a handler that cannot tell a caller that reads from one that
/// has closed the connection.
BOOST_FIXTURE_TEST_CASE(IsKnownToReadIfItDoes, CallerEndFixture) {
  RawClient Client = startRequest();
  Client.shutdownSend();
  runUntil([this] { return HasEndedSending; });
  BOOST_TEST(!IsKnownToRead);
  Writes = true;
  runUntil([this] { return IsKnownToRead; });
  BOOST_TEST(IsKnownToRead);
  BOOST_TEST(!EndedSendingAtDisconnect.has_value());
  Finishes = true;
  runUntil([&] {
    Client.receive();
    return Client.isEnded();
  });
  BOOST_TEST(Client.isEnded());
}

/// Guards against work that goes on for a caller which has closed the
/// connection.
BOOST_FIXTURE_TEST_CASE(IsReportedAsDisconnectedIfItHasClosed,
                        CallerEndFixture) {
  RawClient Client = startRequest();
  Client.close();
  runUntil([this] { return HasEndedSending; });
  BOOST_TEST(HasEndedSending);
  BOOST_TEST(!EndedSendingAtDisconnect.has_value());
  Writes = true;
  runUntil([this] { return EndedSendingAtDisconnect.has_value(); });
  BOOST_TEST(EndedSendingAtDisconnect.has_value());
  BOOST_TEST(!IsKnownToRead);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
