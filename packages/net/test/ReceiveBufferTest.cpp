/// The receive buffers of connections to and from others, which the kernel
/// enlarges to many megabytes unless they are limited.
#include "HttpServerFixture.h"

#include "tamarack/net/HttpCall.h"

#include <netinet/in.h>
#include <sys/socket.h>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr std::uint16_t LimitedPort = 19883;
constexpr std::size_t AccountBytes = 8U << 20U;
/// Of an account of that size.
constexpr int MaxBufferBytes = 32 << 10;
/// The kernel reserves twice what it is told.
constexpr int KernelFactor = 2;
constexpr int MaxDescriptors = 1024;

std::uint16_t portOf(const sockaddr_in &Address) {
  return ntohs(Address.sin_port);
}

/// The receive buffer of the connection of this process from port \p Local, or
/// if that is 0, to port \p Remote; 0 if there is none.
int receiveBufferOf(std::uint16_t Local, std::uint16_t Remote) {
  for (int Descriptor = 0; Descriptor < MaxDescriptors; ++Descriptor) {
    sockaddr_in Own{};
    sockaddr_in Peer{};
    socklen_t OwnLength = sizeof Own;
    socklen_t PeerLength = sizeof Peer;
    if (::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Own),
                      &OwnLength) != 0 ||
        ::getpeername(Descriptor, reinterpret_cast<sockaddr *>(&Peer),
                      &PeerLength) != 0)
      continue;
    if (Local != 0 ? portOf(Own) != Local : portOf(Peer) != Remote)
      continue;
    int Bytes = 0;
    socklen_t Length = sizeof Bytes;
    ::getsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &Bytes, &Length);
    return Bytes;
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheKernelHoldsLittleOfAConnection)

/// Guards against bytes of callers that no account knows of, and that use up
/// the memory of the machine together.
BOOST_FIXTURE_TEST_CASE(OfACaller, HttpServerFixture) {
  HttpServer Limited(
      Io, {}, [this](HttpExchange &Call) { return answer(Call); },
      std::make_shared<MemoryAccount>(AccountBytes));
  BOOST_REQUIRE(Limited.listen("127.0.0.1:" + std::to_string(LimitedPort)));
  Held = true;
  RawClient Client(LimitedPort);
  Client.sendAll(GetRequest);
  BOOST_REQUIRE(runUntil([&] { return Started == 1; }));
  const int Bytes = receiveBufferOf(LimitedPort, 0);
  BOOST_TEST(Bytes > 0);
  BOOST_TEST(Bytes <= KernelFactor * MaxBufferBytes);
  Held = false;
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 1); }));
}

/// Guards against the same for endpoints.
BOOST_FIXTURE_TEST_CASE(ToAServer, HttpServerFixture) {
  HttpCallLimits Limits;
  Limits.Memory = std::make_shared<MemoryAccount>(AccountBytes);
  ConnectionPool Pool(Io, Limits);
  std::shared_ptr<HttpCall> Call;
  spawn(Io,
        [](ConnectionPool &From, std::shared_ptr<HttpCall> &To) -> Task<void> {
          auto Opened = co_await HttpCall::open(
              From, "127.0.0.1:" + std::to_string(ServerPort));
          To = *Opened;
        }(Pool, Call));
  BOOST_REQUIRE(runUntil([&] { return Call != nullptr; }));
  const int Bytes = receiveBufferOf(0, ServerPort);
  BOOST_TEST(Bytes > 0);
  BOOST_TEST(Bytes <= KernelFactor * MaxBufferBytes);
}

BOOST_AUTO_TEST_SUITE_END()
