/// The event loop of a process: Boost.Asio coroutines, one thread.
///
///   Loop Io(1);
///   spawn(Io, serve(...));
///   Io.run();
///
/// Nothing here is used from another thread, except asio::post onto the loop.
#ifndef TAMARACK_NET_LOOP_H
#define TAMARACK_NET_LOOP_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <functional>

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

/// The completion token for `co_await`: a failure goes to \p Failure.
inline auto into(ErrorCode &Failure) {
  return asio::redirect_error(asio::use_awaitable, Failure);
}

inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Runs \p Work on its own. An exception that leaves it ends the process: a
/// coroutine handles its own errors.
void spawn(Loop &Io, Task<void> Work);

/// Waits for a span of time.
Task<void> pause(Loop &Io, Duration For);

/// Lets coroutines wait until something has changed.
class Signal {
public:
  explicit Signal(Loop &Io) : Timer(Io) {}
  /// Wakes everyone who waits.
  void raise() { Timer.cancel(); }
  /// Returns when raise() is called, at the latest at \p Until.
  Task<void> wait(TimePoint Until);

private:
  asio::steady_timer Timer;
};

/// Parses "IP:PORT".
Expected<Tcp::endpoint> parseAddress(const std::string &Text);

/// Sends small pieces at once, and gives a connection up when the peer has
/// acknowledged nothing for \p Unacknowledged.
void tuneSocket(Tcp::socket &Socket, Duration Unacknowledged);

/// Notices within about four seconds that an idle peer went silent.
void probeIdleSocket(Tcp::socket &Socket);

/// Opens a connection within \p Limit.
Task<Expected<Tcp::socket>> connectWithin(Loop &Io, Tcp::endpoint Peer,
                                          Duration Limit);

/// Listens on \p Address and hands each connection to \p Accepted.
Task<void> acceptLoop(Tcp::acceptor &Listener,
                      std::function<void(Tcp::socket)> Accepted);

Expected<Tcp::acceptor> listenOn(Loop &Io, const std::string &Address);

} // namespace tamarack

#endif // TAMARACK_NET_LOOP_H
