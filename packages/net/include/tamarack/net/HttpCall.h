/// Requests to other HTTP servers over kept connections.
///
///   ConnectionPool Pool(Io, Limits);
///   auto Call = co_await HttpCall::open(Pool, "10.0.0.1:8080");
///   (*Call)->send(encodeRequest(Request));
///   Expected<HttpHead> Head = co_await (*Call)->readHead();
///   while (auto Piece = co_await (*Call)->readPiece()) ...
///
/// The request is written while the answer is read, so that an early answer to
/// a long body is seen. A connection is used again only when the answer ended
/// where it should, the request was written whole and no byte was left over.
#ifndef TAMARACK_NET_HTTPCALL_H
#define TAMARACK_NET_HTTPCALL_H

#include "tamarack/net/HttpMessage.h"
#include "tamarack/net/Loop.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct HttpCallLimits {
  /// A connection between regions takes 40 ms; a lost opening packet costs a
  /// second, so another endpoint is tried before.
  Duration ConnectLimit = std::chrono::milliseconds(400);
  /// A peer that acknowledges nothing for that long is silent.
  Duration Unacknowledged = std::chrono::milliseconds(1500);
  /// How long a connection is kept where the server names no time.
  Duration KeepIdle = std::chrono::seconds(4);
  /// Idle connections kept for one server.
  std::size_t KeptPerServer = 16;
  /// Servers may be silent for long while a call waits, so that only probes of
  /// the connection tell whether they are there.
  bool ProbeIdle = false;
  /// Longer answers are refused.
  std::uint64_t BodyBytes = 16U << 20U;
};

namespace internal {
struct HttpConnection;
} // namespace internal

class ConnectionPool {
public:
  ConnectionPool(Loop &Io, HttpCallLimits Limits);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// An idle connection that the server has not closed, or a new one.
  Task<Expected<std::unique_ptr<internal::HttpConnection>>>
  acquire(std::string Address);
  void release(std::unique_ptr<internal::HttpConnection> Connection);
  /// Closes all idle connections to \p Address.
  void forget(const std::string &Address);
  /// Closes connections that were idle for too long.
  void expire(TimePoint Now);

  const HttpCallLimits &limits() const { return Limits; }
  Loop &loop() { return Io; }
  std::uint64_t opened() const { return Opened; }

private:
  Loop &Io;
  const HttpCallLimits Limits;
  std::map<std::string, std::vector<std::unique_ptr<internal::HttpConnection>>>
      Idle;
  std::uint64_t Opened = 0;
};

class HttpCall {
public:
  /// Fails, proved not run, when no connection could be opened.
  static Task<Expected<std::shared_ptr<HttpCall>>> open(ConnectionPool &Pool,
                                                        std::string Address);
  ~HttpCall();
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;

  /// Writes \p Text in the background.
  void send(std::string Text, bool HeadOnly = false);
  Task<Expected<HttpHead>> readHead();
  /// Drops the answer that was read, which belongs to an earlier request, and
  /// makes readHead() wait for the next one.
  Task<Expected<void>> skipAnswer();
  /// The next bytes of the body; nothing at its proper end.
  Task<Expected<std::optional<std::string>>> readPiece();
  /// Closes the connection; reads that wait fail.
  void abort();
  /// Gives the connection back where it may be used again.
  void finish();

  /// Whether the connection had carried an earlier exchange.
  bool reused() const;

private:
  struct Impl;
  explicit HttpCall(std::shared_ptr<Impl> Inner);
  std::shared_ptr<Impl> Inner;
};

/// Sends \p Request and reads the whole answer within \p Limit.
Task<Expected<HttpResponse>> fetch(ConnectionPool &Pool, std::string Address,
                                   HttpRequest Request, Duration Limit);

} // namespace tamarack

#endif // TAMARACK_NET_HTTPCALL_H
