#include "LinkFrame.h"

#include "tamarack/net/Link.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

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

BOOST_AUTO_TEST_SUITE(LinkClientResends)

/// A server that is closed destroys replies that the client has not read, and
/// calls that it has not read itself. A caller that took either for an outcome
/// would report a failure as a success or the reverse.
BOOST_AUTO_TEST_CASE(CallsWithoutAReplyAndReportsOneResultForEach) {
  constexpr const char *Address = "127.0.0.1:19651";
  constexpr int Calls = 50;
  constexpr int CallsBeforeClose = 20;
  Loop Io{1};
  int HandledByFirst = 0;
  std::unique_ptr<LinkServer> First;
  First =
      std::make_unique<LinkServer>(Io, [&](const std::string &, const Json &,
                                           const LinkServer::Reply &Answer) {
        Answer(Json("first"));
        if (++HandledByFirst == CallsBeforeClose)
          First->close();
      });
  BOOST_REQUIRE(First->listen(Address));
  const auto Link = LinkClient::make(Io, Address, LinkOptions());
  std::map<int, int> Results;
  int Failures = 0;
  for (int Number = 0; Number < Calls; ++Number)
    Link->call("any", encodeBody(Number), steadyNow() + 5s,
               [&, Number](const Expected<Json> &Body) {
                 ++Results[Number];
                 Failures += Body ? 0 : 1;
               });
  const TimePoint Deadline = steadyNow() + 5s;
  while (HandledByFirst < CallsBeforeClose && steadyNow() < Deadline)
    Io.run_one_for(10ms);
  Io.run_for(20ms);
  BOOST_REQUIRE(static_cast<int>(Results.size()) < Calls);
  int HandledBySecond = 0;
  LinkServer Second(Io, [&](const std::string &, const Json &,
                            const LinkServer::Reply &Answer) {
    ++HandledBySecond;
    Answer(Json("second"));
  });
  BOOST_REQUIRE(Second.listen(Address));
  while (static_cast<int>(Results.size()) < Calls && steadyNow() < Deadline)
    Io.run_for(10ms);
  Io.run_for(100ms);
  BOOST_TEST(static_cast<int>(Results.size()) == Calls);
  BOOST_TEST(std::all_of(Results.begin(), Results.end(),
                         [](const auto &Each) { return Each.second == 1; }));
  BOOST_TEST(Failures == 0);
  BOOST_TEST(HandledByFirst + HandledBySecond >= Calls);
}

BOOST_AUTO_TEST_SUITE_END()
