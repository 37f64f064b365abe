/// A client whose server ends idle connections, and whose loop runs only when a
/// test says so.
#include "tamarack/net/HttpCall.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "127.0.0.1:19886";
const std::string GetRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct HttpCallFixture {
  std::shared_ptr<HttpCall> open() {
    std::shared_ptr<HttpCall> Result;
    spawn(Io,
          [](HttpCallFixture &Self,
             std::shared_ptr<HttpCall> &Result) -> Task<void> {
            auto Call = co_await HttpCall::open(Self.Pool, Address);
            if (Call)
              Result = std::move(*Call);
          }(*this, Result));
    Io.restart();
    Io.run();
    BOOST_REQUIRE(Result);
    return Result;
  }

  /// Carries a request on a new connection, which becomes idle, and returns the
  /// server's end of it.
  Tcp::socket openKeptConnection() {
    const std::shared_ptr<HttpCall> Call = open();
    Tcp::socket Result = Listener.accept();
    BOOST_REQUIRE(Call->send(GetRequest));
    const std::string Response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + KeepAlive + "\r\n";
    std::string Received(GetRequest.size(), ' ');
    asio::read(Result, asio::buffer(Received));
    asio::write(Result, asio::buffer(Response));
    spawn(Io, [](std::shared_ptr<HttpCall> Call) -> Task<void> {
      const auto Head = co_await Call->readHead();
      const auto Piece = co_await Call->readPiece();
      BOOST_TEST((Head && Piece && !*Piece));
      Call->finish();
    }(Call));
    Io.restart();
    Io.run();
    return Result;
  }

  Loop Io{1};
  /// A field of the server's responses.
  std::string KeepAlive;
  ConnectionPool Pool{Io, {}};
  Tcp::acceptor Listener = *listenOn(Io, Address);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnHttpCall, HttpCallFixture)

/// Guards against time between the question whether the server has ended the
/// connection and the write, in which the process may stand still.
BOOST_AUTO_TEST_CASE(WritesInTheStepInWhichItIsSent) {
  Tcp::socket Server = openKeptConnection();
  const std::shared_ptr<HttpCall> Call = open();
  BOOST_TEST(Call->reused());
  BOOST_TEST(Call->send(GetRequest));
  BOOST_TEST(Server.available() == GetRequest.size());
}

BOOST_AUTO_TEST_CASE(WritesNothingIfTheServerHasEndedTheConnection) {
  Tcp::socket Server = openKeptConnection();
  const std::shared_ptr<HttpCall> Call = open();
  BOOST_TEST(Call->reused());
  Server.shutdown(Tcp::socket::shutdown_send);
  BOOST_TEST(!Call->send(GetRequest));
  BOOST_TEST(Server.available() == 0U);
}

BOOST_AUTO_TEST_CASE(WritesNothingIfTheServerHasResetTheNewConnection) {
  const std::shared_ptr<HttpCall> Call = open();
  {
    Tcp::socket Server = Listener.accept();
    Server.set_option(asio::socket_base::linger(true, 0));
    Server.close();
  }
  BOOST_TEST(!Call->send(GetRequest));
}

/// The rest of a request that the kernel does not take at once must follow.
BOOST_AUTO_TEST_CASE(WritesTheWholeOfALongRequest) {
  const std::shared_ptr<HttpCall> Call = open();
  Tcp::socket Server = Listener.accept();
  std::string Text(32U << 20U, ' ');
  for (std::size_t Index = 0; Index < Text.size(); ++Index)
    Text[Index] = static_cast<char>('a' + Index % 23);
  BOOST_TEST(Call->send(Text));
  std::string Received(Text.size(), ' ');
  std::thread Reader([&] { asio::read(Server, asio::buffer(Received)); });
  Io.restart();
  Io.run();
  Reader.join();
  BOOST_TEST((Received == Text));
}

/// The server keeps an idle connection for a second, and the process stands
/// still until shortly before its end.
BOOST_AUTO_TEST_CASE(WritesNothingOnceTheIdleTimeoutHasPassed) {
  KeepAlive = "Keep-Alive: timeout=1\r\n";
  Tcp::socket Server = openKeptConnection();
  const std::shared_ptr<HttpCall> Call = open();
  BOOST_TEST(Call->reused());
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(!Call->send(GetRequest));
  BOOST_TEST(Server.available() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
