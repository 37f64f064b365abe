/// An HTTP/1.1 server whose handlers are coroutines.
///
///   HttpServer Server(Io, Limits, [](HttpExchange &Call) -> Task<void> {
///     co_await Call.answer({{200, {}}, "hello"});
///   });
///   Server.listen("127.0.0.1:8080");
///
/// The whole request is read before its handler runs. While the handler runs,
/// the server watches the connection and reports at once if the caller resets
/// it or ends its sending side, unless a further request of the caller waits
/// behind the current one. A caller that has ended its sending side gets
/// the responses to what it has sent: it may still read, which shows only when
/// something is written. If a handler returns without a response, the
/// connection is closed.
///
/// If the server has a memory account, what its requests take counts there from
/// their first byte to the end of their handler. A request for which too little
/// is left is refused with 503 while it is read, and with 413 if there could
/// never be enough.
///
/// The server closes a connection in a way that lets the caller read what was
/// sent before: it ends its own direction, and discards what still arrives
/// until the caller has closed the connection too. Meanwhile the connection is
/// called lingering.
///
/// Requests may be pipelined: a caller may send the next one before it has the
/// previous answer. An answer ends a connection only if no request waits behind
/// it. drain() alone ends the connections of callers that pipeline only while
/// they are idle, as such a caller may send a request at any time before it
/// learns of the end.
#ifndef TAMARACK_NET_HTTPSERVER_H
#define TAMARACK_NET_HTTPSERVER_H

#include "tamarack/base/Compare.h"
#include "tamarack/net/HttpMessage.h"
#include "tamarack/net/Loop.h"
#include "tamarack/net/MemoryAccount.h"

#include <functional>
#include <memory>
#include <optional>

namespace tamarack {

struct HttpServerLimits {
  std::size_t MaxRequestHeadBytes = 16U << 10U;
  std::size_t MaxRequestBodyBytes = 4U << 20U;
  /// From the first byte of a request to its last byte.
  Duration RequestReadTimeout = std::chrono::seconds(10);
  /// How long a connection may stay idle between requests.
  Duration KeepAliveTimeout = std::chrono::seconds(15);
  /// How long a caller may take nothing of a response that waits for it.
  Duration ResponseWriteTimeout = std::chrono::seconds(5);
  /// Maximum time for which a connection lingers.
  Duration LingerTimeout = std::chrono::seconds(5);
  /// The same while the server closes, so that callers which do not close their
  /// connections do not hold it up.
  Duration ClosingLingerTimeout = std::chrono::seconds(1);
  /// Maximum number of lingering connections. Beyond it the oldest is closed.
  std::size_t MaxLingeringConnections = 1024;
  /// How long closeAfterAnswers() waits for the first request of a connection.
  Duration ClosingRequestTimeout = std::chrono::milliseconds(300);
};

/// What the callers of a server still wait for. Each connection counts at most
/// once; lingering connections do not count.
struct HttpServerLoad {
  /// Requests whose handlers are running, or that are being refused.
  std::size_t Running = 0;
  /// Connections with a partly read request, or with unread bytes in the
  /// kernel and no running handler.
  std::size_t Arriving = 0;
  /// 1 if connections wait in the listen queue, else 0.
  std::size_t Unaccepted = 0;
  /// Open connections without a request.
  std::size_t Idle = 0;

  auto tied() const { return std::tie(Running, Arriving, Unaccepted, Idle); }
};

/// Events since a server was created.
struct HttpServerCounts {
  /// Connections that the server closed while bytes of the caller were unread,
  /// so that the caller may have lost an answer.
  std::uint64_t ClosedUnread = 0;
  /// Requests whose connection the server closed before it had read them.
  std::uint64_t CutWhileReading = 0;
  /// Lingering connections that the server closed before the caller did.
  std::uint64_t LingerTimeouts = 0;
  /// Requests that were refused because too little memory was left.
  std::uint64_t RefusedForMemory = 0;
  /// Connections on which more bytes of the caller arrived behind a response
  /// that ended them. Requests among these bytes have no answer.
  std::uint64_t Discarded = 0;
  /// What was left at the deadline of closeAfterAnswers().
  HttpServerLoad CutAtDeadline;

  auto tied() const {
    return std::tie(ClosedUnread, CutWhileReading, LingerTimeouts,
                    RefusedForMemory, Discarded, CutAtDeadline);
  }
};

namespace internal {
class HttpSession;
} // namespace internal

/// One request and its response.
class HttpExchange {
public:
  explicit HttpExchange(internal::HttpSession &Session) : Session(Session) {}

  HttpRequest &request();
  /// When the last byte of the request was read.
  TimePoint requestReadAt() const;

  /// Makes the response close its connection, so that the caller opens a new
  /// one, which may lead to another instance. If further requests have arrived
  /// on the connection, the response to the last of them closes it.
  void closeAfterResponse();
  /// Sends a complete response and adds its framing fields. Returns false if
  /// the caller has disconnected.
  Task<bool> answer(HttpResponse Response);
  /// Starts a response with a chunked body. \p Head is sent with the first
  /// chunk; until then answer() may replace the response, and it is not decided
  /// whether it closes its connection.
  void begin(HttpHead Head);
  /// Whether a part of a response was sent, after which there can be no other.
  bool isResponseStarted() const;
  /// Sends \p Data as one chunk. Returns false if the caller has disconnected.
  Task<bool> sendChunk(std::string_view Data);
  /// Sends the last chunk of the response that begin() started. Returns false
  /// if the caller has disconnected.
  Task<bool> end();
  /// Ends the connection without the rest of the response, so that the caller
  /// reads what was sent and sees that a started response is incomplete.
  void abort();

  /// Whether the connection is lost: it was reset, or a write has failed.
  bool isCallerDisconnected() const;
  /// \p Callback is called once if the caller disconnects while the handler
  /// runs, and at once if it already has.
  void onCallerDisconnect(std::function<void()> Callback);
  /// Whether the caller sends nothing more. It may have closed the connection,
  /// or still read.
  bool hasCallerEndedSending() const {
    return callerEndedSendingAt().has_value();
  }
  /// When the server noticed that; nothing if the caller may send more.
  std::optional<TimePoint> callerEndedSendingAt() const;
  /// \p Callback is called once if the caller ends its sending side while the
  /// handler runs, and at once if it already has.
  void onCallerEndOfSending(std::function<void()> Callback);
  /// Whether the caller has acknowledged anything since it ended its sending
  /// side. A closed connection acknowledges nothing, it is reset by what
  /// arrives.
  bool isCallerKnownToRead() const;

private:
  internal::HttpSession &Session;
};

class HttpServer {
public:
  using Handler = std::function<Task<void>(HttpExchange &)>;

  HttpServer(Loop &Io, HttpServerLimits Limits, Handler Handle,
             std::shared_ptr<MemoryAccount> Memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Accepts connections on \p Address, "IP:PORT". Fails with
  /// InvalidConfiguration.
  Expected<void> listen(const std::string &Address);
  /// The idle timeout of drain() outlasts later limits.
  void setLimits(const HttpServerLimits &Limits);
  /// From now on each response closes its connection, unless its caller
  /// pipelines, and idle connections are closed after \p IdleTimeout.
  void drain(Duration IdleTimeout);
  /// Number of open connections, lingering ones included.
  std::size_t connections() const;
  HttpServerLoad load() const;
  HttpServerCounts counts() const;
  /// Accepts what waits in the listen queue and closes the listener. Answers
  /// the requests that have arrived, closes each connection after its answer,
  /// and idle connections at once, or after ClosingRequestTimeout if they have
  /// not carried a request. Returns when no connection is left, or at
  /// \p Deadline, when it closes all that are left.
  Task<void> closeAfterAnswers(TimePoint Deadline);
  /// Closes the listener and all connections.
  void close();

  struct Impl;

private:
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_NET_HTTPSERVER_H
