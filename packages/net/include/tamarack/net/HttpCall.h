/// An HTTP/1.1 client with a pool of persistent connections.
///
///   ConnectionPool Pool(Io, Limits);
///   auto Call = co_await HttpCall::open(Pool, "10.0.0.1:8080");
///   if (!(*Call)->send(encodeRequest(Request)))
///     ... // The server has ended the connection, and nothing was sent.
///   Expected<HttpHead> Head = co_await (*Call)->readHead();
///   while (auto Piece = co_await (*Call)->readPiece()) ...
///
/// A server may end an idle connection at any time. Whether it has is asked in
/// the step in which the request is written, since the process may stand still
/// after it has taken the connection.
///
/// The request is written while the response is read, so that a response which
/// arrives before the whole request was written is not missed. A connection
/// returns to the pool only if the request was written completely, the response
/// was complete, and no unread byte is left.
#ifndef TAMARACK_NET_HTTPCALL_H
#define TAMARACK_NET_HTTPCALL_H

#include "tamarack/net/HttpMessage.h"
#include "tamarack/net/Loop.h"
#include "tamarack/net/MemoryAccount.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct HttpCallLimits {
  /// Connecting to another region takes 40 ms. TCP resends a lost SYN only
  /// after one second, so the caller tries another endpoint before that.
  Duration TcpConnectTimeout = std::chrono::milliseconds(400);
  /// The connection is closed if sent data stays unacknowledged for this long.
  Duration AckTimeout = std::chrono::milliseconds(1500);
  /// How long an idle connection is kept if the server sends no Keep-Alive
  /// timeout.
  Duration DefaultIdleTimeout = std::chrono::seconds(4);
  /// Maximum number of idle connections to one server.
  std::size_t MaxIdlePerServer = 16;
  /// Enables TCP keep-alive probes. Needed for servers that may send nothing
  /// for a long time during a call: only probes then detect a lost peer.
  bool EnableKeepAliveProbes = false;
  /// Responses with a longer body fail with EndpointFailed.
  std::uint64_t MaxResponseBodyBytes = 16U << 20U;
  /// What the read buffers of calls take counts there; may be null. What
  /// readPiece() returns does not. A call fails with Overloaded if too little
  /// is left.
  std::shared_ptr<MemoryAccount> Memory;
};

namespace internal {
struct HttpConnection;
} // namespace internal

/// The idle connections to any number of servers.
class ConnectionPool {
public:
  ConnectionPool(Loop &Io, HttpCallLimits Limits);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// Returns an idle connection that the server has not closed and that has not
  /// carried a refusal of \p RequestId, or opens a new one. \p Address is
  /// "IP:PORT". Fails with InvalidConfiguration for a malformed address and
  /// with LinkLost if the connection cannot be opened.
  Task<Expected<std::unique_ptr<internal::HttpConnection>>>
  acquire(std::string Address, std::string RequestId);
  /// Returns a connection to the pool, or closes it if the pool already holds
  /// MaxIdlePerServer connections to its server.
  void release(std::unique_ptr<internal::HttpConnection> Connection);
  /// Whether there are idle connections to \p Address. The server may have
  /// closed them.
  bool hasIdle(const std::string &Address) const;
  /// Closes all idle connections to \p Address.
  void forget(const std::string &Address);
  /// Closes the connections whose idle timeout has passed at \p Now.
  void expire(TimePoint Now);

  const HttpCallLimits &limits() const { return Limits; }
  Loop &loop() { return Io; }
  /// Number of attempts to open a connection since the pool was created.
  std::uint64_t opened() const { return Opened; }

private:
  Loop &Io;
  const HttpCallLimits Limits;
  std::map<std::string, std::vector<std::unique_ptr<internal::HttpConnection>>>
      Idle;
  std::uint64_t Opened = 0;
};

/// One request to a server and its response.
class HttpCall {
public:
  /// Takes a connection to \p Address from \p Pool. Fails like
  /// ConnectionPool::acquire(); LinkLost is proved not run. A request with an
  /// id gets no connection on which noteRefusal() was called for the same id.
  static Task<Expected<std::shared_ptr<HttpCall>>>
  open(ConnectionPool &Pool, std::string Address, std::string RequestId = {});
  ~HttpCall();
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;

  /// Writes the encoded request \p Text: at once what the kernel takes, and the
  /// rest in the background. \p HeadOnly says that the response has no body, as
  /// for HEAD. Returns false if the connection can no longer be used, as the
  /// server has ended it or its idle timeout has passed; then no byte was
  /// written, and the call is over.
  bool send(std::string Text, bool HeadOnly = false);
  /// Reads the status and fields of the response, and skips interim responses
  /// before it. Fails with EndpointFailed, also if the status is not from 200
  /// to 599.
  Task<Expected<HttpHead>> readHead();
  /// Discards the rest of the current response, which belongs to an earlier
  /// request, so that the next readHead() reads the response after it. Fails
  /// with EndpointFailed if the server closes the connection after it, or if
  /// the rest is longer than \p MaxBytes.
  Task<Expected<void>> skipAnswer(std::size_t MaxBytes);
  /// Returns the next bytes of the body, or std::nullopt at its end. Fails with
  /// EndpointFailed if the connection ends before the body does.
  Task<Expected<std::optional<std::string>>> readPiece();
  /// Tells that the current response refuses the request \p RequestId. A faulty
  /// server may write it once more on this connection.
  void noteRefusal(const std::string &RequestId);
  /// Closes the connection; pending reads fail.
  void abort();
  /// Returns the connection to the pool if it is reusable, else closes it.
  void finish();

  /// Whether the connection has already carried an earlier request.
  bool reused() const;
  /// Whether the end of the response follows from its length or its chunks, as
  /// opposed to the end of the connection. Valid once readHead() has returned.
  bool isEndMarked() const;
  /// Whether a read failed because the server ended the connection, as opposed
  /// to bytes that are no response or to abort().
  bool isEndedByServer() const;

private:
  struct Impl;
  explicit HttpCall(std::shared_ptr<Impl> Inner);
  std::shared_ptr<Impl> Inner;
};

/// Sends \p Request and reads the whole response. After \p Timeout, which
/// starts once the connection is open, the call fails with EndpointFailed.
Task<Expected<HttpResponse>> fetch(ConnectionPool &Pool, std::string Address,
                                   HttpRequest Request, Duration Timeout);

} // namespace tamarack

#endif // TAMARACK_NET_HTTPCALL_H
