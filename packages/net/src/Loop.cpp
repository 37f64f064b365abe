#include "tamarack/net/Loop.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <exception>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarack {
namespace {

/// Maximum number of connections that wait to be accepted. If the queue is
/// full, a caller waits seconds until TCP retries.
constexpr int ListenBacklog = 1024;

/// So many connections are accepted before other work goes on.
constexpr int MaxAcceptedAtOnce = 32;

/// An idle connection is probed after two seconds, and closed after two
/// unanswered probes.
constexpr int ProbeIdleSeconds = 2;
constexpr int ProbeIntervalSeconds = 1;
constexpr int MaxLostProbes = 2;

/// Later times overflow in the unit of the clock.
constexpr TimePoint MaxTimerExpiry(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::duration::max()));

} // namespace

void spawn(Loop &Io, Task<void> Work) {
  asio::co_spawn(Io, std::move(Work), [](const std::exception_ptr &Thrown) {
    if (Thrown)
      std::rethrow_exception(Thrown);
  });
}

Task<void> pause(Loop &Io, Duration Delay) {
  asio::steady_timer Timer(Io, Delay);
  ErrorCode Failure;
  co_await Timer.async_wait(storeErrorIn(Failure));
}

Task<void> Signal::wait(TimePoint Deadline) {
  ErrorCode Failure;
  Deadline = std::min(Deadline, MaxTimerExpiry);
  if (Timer.expiry() != Deadline)
    Timer.expires_at(Deadline);
  co_await Timer.async_wait(storeErrorIn(Failure));
}

Expected<Tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  ErrorCode Failure;
  const auto Address = asio::ip::make_address(Text.substr(0, Colon), Failure);
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(
      Colon == std::string::npos ? End : Text.data() + Colon + 1, End, Port);
  if (Failure || Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return refuse(ErrorKind::InvalidConfiguration,
                  "address '" + Text + "' is not of the form IP:PORT");
  return Tcp::endpoint(Address, Port);
}

void configureSocket(Tcp::socket &Socket, Duration AckTimeout) {
  ErrorCode Ignored; // A closed socket reports its error at its first use.
  Socket.set_option(Tcp::no_delay(true), Ignored);
  const auto Millis = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(AckTimeout)
          .count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
               sizeof Millis);
}

void enableKeepAliveProbes(Tcp::socket &Socket) {
  ErrorCode Ignored; // A closed socket reports its error at its first use.
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const auto Set = [&Socket](int Option, int Value) {
    ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Option, &Value,
                 sizeof Value);
  };
  Set(TCP_KEEPIDLE, ProbeIdleSeconds);
  Set(TCP_KEEPINTVL, ProbeIntervalSeconds);
  Set(TCP_KEEPCNT, MaxLostProbes);
}

namespace {

/// The socket is open if the connection was; the error is
/// asio::error::timed_out after \p Timeout.
struct ConnectResult {
  std::shared_ptr<Tcp::socket> Socket;
  ErrorCode Failure;
};

Task<ConnectResult> connectOnce(Loop &Io, Tcp::endpoint Peer,
                                Duration Timeout) {
  // Shared, because the timer's handler may still be queued on return.
  ConnectResult Result{std::make_shared<Tcp::socket>(Io), {}};
  asio::steady_timer Timer(Io, Timeout);
  Timer.async_wait([Socket = Result.Socket](const ErrorCode &Cancelled) {
    ErrorCode Ignored; // Closing the socket makes the pending connect fail.
    if (!Cancelled)
      Socket->close(Ignored);
  });
  co_await Result.Socket->async_connect(Peer, storeErrorIn(Result.Failure));
  if (Timer.cancel() == 0)
    Result.Failure = asio::error::timed_out;
  co_return Result;
}

} // namespace

Task<Expected<Tcp::socket>> connectWithTimeout(Loop &Io, Tcp::endpoint Peer,
                                               Duration Timeout) {
  ConnectResult Result = co_await connectOnce(Io, Peer, Timeout);
  if (Result.Failure)
    co_return refuse(ErrorKind::LinkLost,
                     Result.Failure == asio::error::timed_out
                         ? std::string("connection attempt timed out")
                         : "cannot connect: " + Result.Failure.message(),
                     NotRun::Proved);
  co_return std::move(*Result.Socket);
}

Task<PortState> probePort(Loop &Io, Tcp::endpoint Peer, Duration Timeout) {
  const ConnectResult Result = co_await connectOnce(Io, Peer, Timeout);
  if (!Result.Failure)
    co_return PortState::Open;
  co_return Result.Failure == asio::error::connection_refused
      ? PortState::Closed
      : PortState::Silent;
}

Task<void> acceptLoop(Tcp::acceptor &Listener,
                      std::function<void(Tcp::socket)> Accepted) {
  ErrorCode Ignored; // A closed listener reports its error at its first use.
  Listener.non_blocking(true, Ignored);
  // Otherwise Asio blocks after a connection that was lost in the queue.
  Listener.set_option(asio::socket_base::enable_connection_aborted(true),
                      Ignored);
  while (Listener.is_open()) {
    ErrorCode Failure;
    Tcp::socket Socket = co_await Listener.async_accept(storeErrorIn(Failure));
    // A busy loop comes here only every so often: take what waits besides.
    for (int Taken = 0; !Failure && Taken < MaxAcceptedAtOnce; ++Taken) {
      Accepted(std::move(Socket));
      if (!Listener.is_open())
        co_return;
      Socket = Listener.accept(Failure);
    }
    if (!Failure)
      Accepted(std::move(Socket));
    else if (Failure == asio::error::no_descriptors)
      co_await pause(static_cast<Loop &>(Listener.get_executor().context()),
                     std::chrono::milliseconds(50));
  }
}

bool acceptWaiting(Tcp::acceptor &Listener,
                   const std::function<void(Tcp::socket)> &Accepted) {
  ErrorCode Failure;
  Listener.non_blocking(true, Failure);
  // Otherwise Asio blocks after a connection that was lost in the queue.
  Listener.set_option(asio::socket_base::enable_connection_aborted(true),
                      Failure);
  while (true) {
    Tcp::socket Socket = Listener.accept(Failure);
    if (!Failure)
      Accepted(std::move(Socket));
    else if (Failure != asio::error::connection_aborted)
      return Failure == asio::error::would_block;
  }
}

Expected<Tcp::acceptor> listenOn(Loop &Io, const std::string &Address) {
  const Expected<Tcp::endpoint> Endpoint = parseAddress(Address);
  if (!Endpoint)
    return tl::unexpected(Endpoint.error());
  Tcp::acceptor Listener(Io);
  ErrorCode Failure;
  Listener.open(Endpoint->protocol(), Failure);
  if (!Failure)
    Listener.set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Listener.bind(*Endpoint, Failure);
  if (!Failure)
    Listener.listen(ListenBacklog, Failure);
  if (Failure)
    return refuse(ErrorKind::InvalidConfiguration,
                  "cannot listen on " + Address + ": " + Failure.message());
  return Listener;
}

} // namespace tamarack
