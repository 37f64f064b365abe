#include "LinkFrame.h"

#include "tamarack/net/Link.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

/// A peer that sends the reply to the first call of each connection in chunks.
struct ChunkedPeer {
  explicit ChunkedPeer(Loop &Io)
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
                                    storeErrorIn(Failure));
    const std::string Frame =
        internal::encodeLinkFrame(1, "", *encodeBody(std::string(1000, 'x')));
    for (std::size_t At = 0; At < Frame.size() && !Failure; At += ChunkBytes) {
      co_await pause(Io, ChunkInterval);
      co_await asio::async_write(
          Socket,
          asio::buffer(Frame.data() + At,
                       std::min(ChunkBytes, Frame.size() - At)),
          storeErrorIn(Failure));
    }
    co_await pause(Io, 5s);
  }

  static constexpr const char *Address = "127.0.0.1:19650";
  static constexpr std::size_t ChunkBytes = 200;
  Duration ChunkInterval = 60ms;
  Loop &Io;
  Tcp::acceptor Listener;
  int Connections = 0;
};

LinkOptions shortTimeoutOptions() {
  LinkOptions Result;
  Result.SilenceTimeout = 150ms;
  return Result;
}

struct Fixture {
  Loop Io{1};
  ChunkedPeer Peer{Io};
  std::shared_ptr<LinkClient> Link =
      LinkClient::make(Io, ChunkedPeer::Address, shortTimeoutOptions());
  /// Whether the call succeeded, once it has ended.
  std::optional<bool> Succeeded;

  void call() {
    Link->call(
        "any", encodeBody(nullptr), steadyNow() + 3s,
        [this](const Expected<Json> &Body) { Succeeded = Body.has_value(); });
    while (!Succeeded)
      Io.run_for(10ms);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LinkClientTimeouts)

BOOST_FIXTURE_TEST_CASE(KeepsTheConnectionWhileALongReplyArrivesInChunks,
                        Fixture) {
  call();
  BOOST_REQUIRE(Succeeded.has_value());
  BOOST_TEST(*Succeeded);
  BOOST_TEST(Peer.Connections == 1);
}

BOOST_FIXTURE_TEST_CASE(ReplacesAConnectionThatReceivesNoBytes, Fixture) {
  Peer.ChunkInterval = 400ms;
  call();
  BOOST_TEST(Peer.Connections > 1);
}

BOOST_AUTO_TEST_SUITE_END()
