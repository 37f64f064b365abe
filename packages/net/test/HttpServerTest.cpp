#include "tamarack/net/HttpServer.h"
#include "tamarack/net/HttpCall.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "127.0.0.1:19888";
constexpr Duration ServiceTime = 20ms;
constexpr int Clients = 20;

/// A server that stops while clients send one request after the other on
/// connections that they keep until it closes them.
struct StoppingServer {
  StoppingServer() {
    BOOST_REQUIRE(Server.listen(Address));
    for (int Number = 0; Number < Clients; ++Number)
      spawn(Io, sendRequests());
  }

  Task<void> sendRequests() {
    while (!Done) {
      auto Call = co_await HttpCall::open(Pool, Address);
      if (!Call) {
        ++NotConnected;
        co_return;
      }
      ++Sent;
      HttpRequest Request{"GET", "/", {}, {}};
      Request.Fields.set("Host", "h");
      (*Call)->send(encodeRequest(Request));
      const Expected<HttpHead> Head = co_await (*Call)->readHead();
      if (!Head) {
        ++Cut;
        continue;
      }
      Expected<std::optional<std::string>> Piece =
          co_await (*Call)->readPiece();
      while (Piece && *Piece) {
        Piece = co_await (*Call)->readPiece();
      }
      if (!Piece)
        ++Cut;
      const std::string *Connection = Head->Fields.find("Connection");
      if (IsDraining && Connection != nullptr && *Connection == "close")
        ++Closing;
      (*Call)->finish();
    }
  }

  Task<void> answer(HttpExchange &Call) {
    co_await pause(Io, ServiceTime);
    HttpResponse Response{{200, {}}, "done"};
    co_await Call.answer(std::move(Response));
  }

  Loop Io{1};
  ConnectionPool Pool{Io, {}};
  HttpServer Server{
      Io, {}, [this](HttpExchange &Call) { return answer(Call); }};
  bool IsDraining = false;
  bool Done = false;
  int Sent = 0;
  int Cut = 0;
  int Closing = 0;
  int NotConnected = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

/// Load pattern: clients keep coming to a server that stops, on open and on new
/// connections. Guards against requests that are read and not answered.
BOOST_FIXTURE_TEST_CASE(AServerThatStopsAnswersAllThatKeepComing,
                        StoppingServer) {
  Io.run_for(300ms);
  IsDraining = true;
  Server.drain(700ms);
  Io.run_for(1500ms);
  Done = true;
  Io.run_for(200ms);
  BOOST_TEST(Sent > 10 * Clients);
  BOOST_TEST(Cut == 0);
  BOOST_TEST(NotConnected == 0);
  BOOST_TEST(Closing >= Clients);
  BOOST_TEST(Server.load().Running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
