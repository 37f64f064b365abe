/// The event loop of a process: Boost.Asio coroutines, one thread.
///
///   Loop Io(1);
///   spawn(Io, serve(...));
///   Io.run();
///
/// Nothing here is thread-safe: other threads may only asio::post() to the
/// loop.
#ifndef TAMARACK_NET_LOOP_H
#define TAMARACK_NET_LOOP_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <functional>
#include <limits>

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarack {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Loop = asio::io_context;
using ErrorCode = boost::system::error_code;
template <typename T> using Task = asio::awaitable<T>;

/// Completion token for `co_await` that stores an error in \p Failure instead
/// of throwing it.
inline auto storeErrorIn(ErrorCode &Failure) {
  return asio::redirect_error(asio::use_awaitable, Failure);
}

/// The time of the steady clock, in the resolution of TimePoint.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Starts \p Work as an independent coroutine. It must handle its own errors:
/// an exception that escapes from it is rethrown out of Loop::run() and ends
/// the process.
void spawn(Loop &Io, Task<void> Work);

/// Suspends the calling coroutine for \p Delay.
Task<void> pause(Loop &Io, Duration Delay);

/// Lets coroutines wait for an event, as a condition variable does for threads.
class Signal {
public:
  explicit Signal(Loop &Io) : Timer(Io) {}
  /// Wakes all waiting coroutines.
  void raise() { Timer.cancel(); }
  /// Returns when raise() is called, or at \p Deadline at the latest.
  Task<void> wait(TimePoint Deadline);

private:
  asio::steady_timer Timer;
};

/// Parses "IP:PORT". Fails with InvalidConfiguration.
Expected<Tcp::endpoint> parseAddress(const std::string &Text);

/// Disables Nagle's algorithm, and makes the connection fail if sent data stays
/// unacknowledged for \p AckTimeout.
void configureSocket(Tcp::socket &Socket, Duration AckTimeout);

/// Enables TCP keep-alive probes, which detect within about four seconds that
/// the peer of an idle connection is lost.
void enableKeepAliveProbes(Tcp::socket &Socket);

/// Opens a connection. Fails with LinkLost, proved not run, if the peer refuses
/// it or does not answer within \p Timeout.
Task<Expected<Tcp::socket>> connectWithTimeout(Loop &Io, Tcp::endpoint Peer,
                                               Duration Timeout);

/// What answers at a port.
enum class PortState {
  Open,
  /// The machine refuses connections: no process listens.
  Closed,
  /// Nothing answered, so the process may run behind a partition.
  Silent,
};

/// Opens a connection and closes it again.
Task<PortState> probePort(Loop &Io, Tcp::endpoint Peer, Duration Timeout);

/// Passes each connection that \p Listener accepts to \p Accepted, until the
/// listener is closed.
Task<void> acceptLoop(Tcp::acceptor &Listener,
                      std::function<void(Tcp::socket)> Accepted);

/// Passes the connections that wait for \p Listener to \p Accepted, \p Most at
/// most, without suspending. Returns whether none is left.
bool acceptWaiting(Tcp::acceptor &Listener,
                   const std::function<void(Tcp::socket)> &Accepted,
                   std::size_t Most = std::numeric_limits<std::size_t>::max());

/// Opens a listener on \p Address, "IP:PORT". Fails with InvalidConfiguration.
Expected<Tcp::acceptor> listenOn(Loop &Io, const std::string &Address);

} // namespace tamarack

#endif // TAMARACK_NET_LOOP_H
