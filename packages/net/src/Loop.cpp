#include "tamarack/net/Loop.h"

#include <boost/asio/detached.hpp>
#include <exception>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarack {
namespace {

/// Connections that wait to be accepted; a full queue costs callers seconds.
constexpr int ListenBacklog = 1024;

/// An idle connection is probed after two seconds, and given up after two
/// probes without an answer.
constexpr int ProbeAfterSeconds = 2;
constexpr int ProbeEverySeconds = 1;
constexpr int ProbesLost = 2;

} // namespace

void spawn(Loop &Io, Task<void> Work) {
  asio::co_spawn(Io, std::move(Work), [](const std::exception_ptr &Problem) {
    if (Problem)
      std::rethrow_exception(Problem);
  });
}

Task<void> pause(Loop &Io, Duration For) {
  asio::steady_timer Timer(Io, For);
  ErrorCode Failure;
  co_await Timer.async_wait(into(Failure));
}

Task<void> Signal::wait(TimePoint Until) {
  ErrorCode Failure;
  if (Timer.expiry() != Until)
    Timer.expires_at(Until);
  co_await Timer.async_wait(into(Failure));
}

Expected<Tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  ErrorCode Failure;
  const auto Address = asio::ip::make_address(Text.substr(0, Colon), Failure);
  const int Port =
      Colon == std::string::npos ? 0 : std::atoi(Text.c_str() + Colon + 1);
  if (Failure || Port <= 0 || Port > 65535)
    return refuse(ErrorKind::InvalidConfiguration,
                  "'" + Text + "' is not IP:PORT");
  return Tcp::endpoint(Address, static_cast<unsigned short>(Port));
}

void tuneSocket(Tcp::socket &Socket, Duration Unacknowledged) {
  ErrorCode Ignored; // A socket that is closed already fails at its first use.
  Socket.set_option(Tcp::no_delay(true), Ignored);
  const auto Millis = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Unacknowledged)
          .count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
               sizeof Millis);
}

void probeIdleSocket(Tcp::socket &Socket) {
  ErrorCode Ignored; // A socket that is closed already fails at its first use.
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const auto Set = [&Socket](int Option, int Value) {
    ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Option, &Value,
                 sizeof Value);
  };
  Set(TCP_KEEPIDLE, ProbeAfterSeconds);
  Set(TCP_KEEPINTVL, ProbeEverySeconds);
  Set(TCP_KEEPCNT, ProbesLost);
}

Task<Expected<Tcp::socket>> connectWithin(Loop &Io, Tcp::endpoint Peer,
                                          Duration Limit) {
  // Shared, because the timer's handler may be queued when this returns.
  const auto Socket = std::make_shared<Tcp::socket>(Io);
  asio::steady_timer Timer(Io, Limit);
  Timer.async_wait([Socket](const ErrorCode &Stopped) {
    ErrorCode Ignored; // The connect fails, which is what is wanted.
    if (!Stopped)
      Socket->close(Ignored);
  });
  ErrorCode Failure;
  co_await Socket->async_connect(Peer, into(Failure));
  const bool Late = Timer.cancel() == 0;
  if (Late || Failure)
    co_return refuse(ErrorKind::LinkLost,
                     Late ? std::string("no connection within the limit")
                          : "cannot connect: " + Failure.message(),
                     NotRun::Proved);
  co_return std::move(*Socket);
}

Task<void> acceptLoop(Tcp::acceptor &Listener,
                      std::function<void(Tcp::socket)> Accepted) {
  while (Listener.is_open()) {
    ErrorCode Failure;
    Tcp::socket Socket = co_await Listener.async_accept(into(Failure));
    if (!Failure)
      Accepted(std::move(Socket));
    else if (Failure == asio::error::no_descriptors)
      co_await pause(static_cast<Loop &>(Listener.get_executor().context()),
                     std::chrono::milliseconds(50));
  }
}

Expected<Tcp::acceptor> listenOn(Loop &Io, const std::string &Address) {
  const Expected<Tcp::endpoint> Place = parseAddress(Address);
  if (!Place)
    return tl::unexpected(Place.error());
  Tcp::acceptor Listener(Io);
  ErrorCode Failure;
  Listener.open(Place->protocol(), Failure);
  if (!Failure)
    Listener.set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Listener.bind(*Place, Failure);
  if (!Failure)
    Listener.listen(ListenBacklog, Failure);
  if (Failure)
    return refuse(ErrorKind::InvalidConfiguration,
                  "cannot listen on " + Address + ": " + Failure.message());
  return Listener;
}

} // namespace tamarack
