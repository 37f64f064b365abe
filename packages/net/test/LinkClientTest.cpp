#include "LinkFrame.h"

#include "tamarack/net/Link.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

/// A peer that answers the first call of each connection in pieces.
struct SlowPeer {
  explicit SlowPeer(Loop &Io)
      : Io(Io), Listener(std::move(*listenOn(Io, Address))) {
    spawn(Io, acceptLoop(Listener, [this](Tcp::socket Socket) {
            ++Connections;
            spawn(this->Io, answer(std::move(Socket)));
          }));
  }

  Task<void> answer(Tcp::socket Socket) {
    std::string Call(4096, '\0');
    ErrorCode Failure;
    co_await Socket.async_read_some(asio::buffer(Call.data(), Call.size()),
                                    into(Failure));
    const std::string Frame =
        internal::encodeLinkFrame(1, "", *encodeBody(std::string(1000, 'x')));
    for (std::size_t At = 0; At < Frame.size() && !Failure; At += Piece) {
      co_await pause(Io, Between);
      co_await asio::async_write(
          Socket,
          asio::buffer(Frame.data() + At, std::min(Piece, Frame.size() - At)),
          into(Failure));
    }
    co_await pause(Io, 5s);
  }

  static constexpr const char *Address = "127.0.0.1:19650";
  static constexpr std::size_t Piece = 200;
  Duration Between = 60ms;
  Loop &Io;
  Tcp::acceptor Listener;
  int Connections = 0;
};

LinkOptions impatient() {
  LinkOptions Result;
  Result.SilenceLimit = 150ms;
  return Result;
}

struct World {
  Loop Io{1};
  SlowPeer Peer{Io};
  std::shared_ptr<LinkClient> Link =
      LinkClient::make(Io, SlowPeer::Address, impatient());
  std::optional<bool> Answered;

  void call() {
    Link->call(
        "any", encodeBody(nullptr), steadyNow() + 3s,
        [this](const Expected<Json> &Body) { Answered = Body.has_value(); });
    while (!Answered)
      Io.run_for(10ms);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ALink)

BOOST_FIXTURE_TEST_CASE(KeepsAConnectionOverWhichALongAnswerComesSlowly,
                        World) {
  call();
  BOOST_REQUIRE(Answered.has_value());
  BOOST_TEST(*Answered);
  BOOST_TEST(Peer.Connections == 1);
}

BOOST_FIXTURE_TEST_CASE(ReplacesAConnectionThatBringsNothing, World) {
  Peer.Between = 400ms;
  call();
  BOOST_TEST(Peer.Connections > 1);
}

BOOST_AUTO_TEST_SUITE_END()
