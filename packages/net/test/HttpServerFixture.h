/// An HttpServer whose loop runs only when a test says so.
#ifndef TAMARACK_NET_TEST_HTTPSERVERFIXTURE_H
#define TAMARACK_NET_TEST_HTTPSERVERFIXTURE_H

#include "RawClient.h"

#include "tamarack/net/HttpServer.h"

#include <boost/test/unit_test.hpp>

#include <climits>
#include <functional>
#include <string>
#include <thread>

namespace tamarack::testing {

using namespace std::chrono_literals;

inline constexpr std::uint16_t ServerPort = 19887;
/// Limit for what has to happen without waiting for a timeout.
inline constexpr Duration PatienceLimit = 10s;
inline const std::string GetRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct HttpServerFixture {
  explicit HttpServerFixture(const HttpServerLimits &Limits = {})
      : Server(Io, Limits,
               [this](HttpExchange &Call) { return answer(Call); }) {
    BOOST_REQUIRE(Server.listen("127.0.0.1:" + std::to_string(ServerPort)));
  }

  Task<void> answer(HttpExchange &Call) {
    ++Started;
    HttpHead StreamHead{200, {}};
    if (Streams)
      Call.begin(std::move(StreamHead));
    while (Held) {
      co_await pause(Io, 1ms);
    }
    if (Streams) {
      co_await Call.sendChunk(Body);
      co_await Call.end();
      co_return;
    }
    if (BreaksOff) {
      HttpHead Head{200, {}};
      Call.begin(std::move(Head));
      co_await Call.sendChunk(Body);
      Call.abort();
      co_return;
    }
    if (Closes && Started <= ClosesUntil)
      Call.closeAfterResponse();
    HttpResponse Response{{200, {}}, Body};
    co_await Call.answer(std::move(Response));
  }

  /// Runs the loop until \p Condition holds. Returns false if it does not
  /// within PatienceLimit.
  bool runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = steadyNow() + PatienceLimit;
    while (!Condition()) {
      if (steadyNow() > Limit)
        return false;
      Io.run_for(2ms);
    }
    return true;
  }

  /// Opens a kept connection that has carried a request.
  RawClient openKeptConnection() {
    RawClient Client(ServerPort);
    Client.sendAll(GetRequest);
    BOOST_REQUIRE(runUntil([&] { return isAnswered(Client, 1); }));
    return Client;
  }

  /// Whether \p Client has received \p Count responses with Body, or the end
  /// of the connection.
  bool isAnswered(RawClient &Client, std::size_t Count) const {
    return countResponses(Client.receive()) >= Count || Client.isEnded() ||
           Client.isReset();
  }

  std::size_t countResponses(const std::string &Received) const {
    return countOf(Received, "\r\n\r\n" + Body);
  }

  /// Number of complete chunked responses in \p Received.
  static std::size_t countStreams(const std::string &Received) {
    return countOf(Received, "\r\n0\r\n\r\n");
  }

  static std::size_t countOf(const std::string &Text, const std::string &Part) {
    std::size_t Count = 0;
    for (std::size_t At = Text.find(Part); At != std::string::npos;
         At = Text.find(Part, At + Part.size()))
      ++Count;
    return Count;
  }

  /// Keeps the loop from running for \p Time, which must be longer than the
  /// period of checking timeouts. \p Meanwhile is called after the loop has
  /// looked at the sockets and before it checks timeouts.
  void standStill(Duration Time, const std::function<void()> &Meanwhile) {
    // Runs before the check of timeouts, which is due as well.
    asio::steady_timer First(Io, asio::steady_timer::time_point());
    First.async_wait([&](const ErrorCode &) { Meanwhile(); });
    std::this_thread::sleep_for(Time);
    Io.poll();
  }

  Task<void> closeServer(TimePoint Deadline) {
    co_await Server.closeAfterAnswers(Deadline);
    IsClosed = true;
  }
  void startClosing(Duration Limit) {
    spawn(Io, closeServer(steadyNow() + Limit));
  }

  Loop Io{1};
  std::string Body = "done";
  /// Whether handlers wait before they answer.
  bool Held = false;
  /// Whether responses close their connection.
  bool Closes = false;
  /// The last request, counted from one, to which that applies.
  int ClosesUntil = INT_MAX;
  /// Whether responses are streams, whose handlers wait for the first chunk.
  bool Streams = false;
  /// Whether responses are broken off after their first chunk.
  bool BreaksOff = false;
  int Started = 0;
  bool IsClosed = false;
  HttpServer Server;
};

} // namespace tamarack::testing

#endif // TAMARACK_NET_TEST_HTTPSERVERFIXTURE_H
