#include "LinkFrame.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ALinkConnection)

// Guards against links that keep the memory of their longest frame for good, so
// that one long text costs a process some times its length on every link.
BOOST_AUTO_TEST_CASE(KeepsLittleMemoryAfterALongFrame) {
  constexpr const char *Address = "127.0.0.1:19659";
  constexpr std::size_t LongBytes = 8U << 20U;
  constexpr std::size_t MaxKeptBytes = 512U << 10U;
  Loop Io{1};
  Tcp::acceptor Listener = std::move(*listenOn(Io, Address));
  std::shared_ptr<internal::LinkConnection> Sender;
  std::shared_ptr<internal::LinkConnection> Receiver;
  std::size_t Received = 0;
  spawn(Io, acceptLoop(Listener, [&](Tcp::socket Socket) {
          Receiver =
              std::make_shared<internal::LinkConnection>(Io, std::move(Socket));
          Receiver->start(
              [&](const internal::LinkFrame &Frame) {
                Received += Frame.Body.size();
              },
              [] {});
        }));
  Tcp::socket Socket(Io);
  Socket.connect(*parseAddress(Address));
  Sender = std::make_shared<internal::LinkConnection>(Io, std::move(Socket));
  Sender->send(
      internal::encodeLinkFrame(1, "long", std::string(LongBytes, 'x')));
  const TimePoint Deadline = steadyNow() + 10s;
  while (Received < LongBytes && steadyNow() < Deadline)
    Io.run_for(5ms);
  BOOST_REQUIRE(Received == LongBytes);
  Io.run_for(50ms);
  BOOST_TEST(Receiver->bufferBytes() <= MaxKeptBytes);
  BOOST_TEST(Sender->bufferBytes() <= MaxKeptBytes);
  Sender->close();
  Receiver->close();
  Io.run_for(50ms);
}

BOOST_AUTO_TEST_SUITE_END()
