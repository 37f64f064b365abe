#include "tamarack/net/HttpServer.h"

#include <unordered_set>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <sys/socket.h>

namespace tamarack {

namespace http = boost::beast::http;

namespace {

/// Period of checking the timeouts of connections, and so their precision.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
/// The connection is closed if sent data stays unacknowledged for this long.
constexpr Duration CallerAckTimeout = std::chrono::seconds(3);
/// A read buffer that has grown beyond this size is freed after the request.
constexpr std::size_t MaxRetainedBufferBytes = 8U << 10U;

HttpFields fieldsOf(const http::fields &From) {
  HttpFields Result;
  for (const auto &Field : From) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  return Result;
}

/// Whether the caller sent an invalid request, as opposed to disconnecting.
bool isMalformed(const ErrorCode &Failure) {
  return Failure.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

int statusOf(const ErrorCode &Failure) {
  if (Failure == http::error::header_limit)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  return 400;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, HttpServerLimits Limits, Handler Handle)
      : Io(Io), Limits(Limits), Handle(std::move(Handle)) {}

  void accepted(Tcp::socket Socket);
  Task<void> sweep();

  Loop &Io;
  HttpServerLimits Limits;
  const Handler Handle;
  std::optional<Tcp::acceptor> Listener;
  std::unordered_set<internal::HttpSession *> Sessions;
  std::size_t Running = 0;
  bool Draining = false;
  bool Closed = false;
};

namespace internal {

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(std::shared_ptr<HttpServer::Impl> Server, Tcp::socket Socket)
      : Server(std::move(Server)), Socket(std::move(Socket)) {
    configureSocket(this->Socket, CallerAckTimeout);
  }

  Task<void> run();
  void sweep(TimePoint Now) {
    if (Deadline < Now)
      abort();
  }
  void closeIdleAt(TimePoint Time) {
    if (Idle)
      Deadline = std::min(Deadline, Time);
  }

  void closeAfterResponse() { KeepAlive = false; }
  Task<bool> answer(HttpResponse Response);
  void begin(HttpHead Head);
  Task<bool> sendChunk(std::string_view Data);
  Task<bool> end();
  void abort();

  HttpRequest Request;
  TimePoint RequestReadAt;
  bool ResponseStarted = false;
  bool CallerDisconnected = false;
  std::function<void()> DisconnectCallback;

private:
  using Parser = http::request_parser<http::string_body>;

  Task<bool> readRequest();
  Task<void> refuseRequest(int Status);
  Task<void> handleRequest();
  void watchForDisconnect();
  void handleDisconnect();
  Task<bool> write(std::string Text);

  std::shared_ptr<HttpServer::Impl> Server;
  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// When sweep() closes the connection.
  TimePoint Deadline = TimePoint::max();
  bool Idle = true;
  bool KeepAlive = true;
  bool ResponseSent = false;
  bool Watching = false;
  std::string PendingHead;
};

Task<void> HttpSession::run() {
  Server->Sessions.insert(this);
  while (!Server->Closed) {
    const bool Complete = co_await readRequest();
    if (!Complete)
      break;
    co_await handleRequest();
    if (!ResponseSent || !KeepAlive || CallerDisconnected)
      break;
  }
  abort();
  Server->Sessions.erase(this);
}

Task<bool> HttpSession::readRequest() {
  const HttpServerLimits &Limits = Server->Limits;
  Parser Reader;
  Reader.header_limit(static_cast<std::uint32_t>(Limits.MaxRequestHeadBytes));
  Reader.body_limit(Limits.MaxRequestBodyBytes);
  Idle = true;
  Deadline = steadyNow() + Limits.KeepAliveTimeout;
  ErrorCode Failure;
  if (Buffer.size() == 0) {
    co_await Socket.async_wait(Tcp::socket::wait_read, storeErrorIn(Failure));
    if (Failure)
      co_return false;
  }
  Idle = false;
  Deadline = steadyNow() + Limits.RequestReadTimeout;
  co_await http::async_read_header(Socket, Buffer, Reader,
                                   storeErrorIn(Failure));
  if (!Failure && Reader.get().count(http::field::expect) > 0) {
    std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await write(std::move(Continue));
  }
  if (!Failure && !Reader.is_done()) {
    co_await http::async_read(Socket, Buffer, Reader, storeErrorIn(Failure));
  }
  if (Failure) {
    if (isMalformed(Failure)) {
      co_await refuseRequest(statusOf(Failure));
    }
    co_return false;
  }
  auto Message = Reader.release();
  KeepAlive = Message.keep_alive();
  const auto Method = Message.method_string();
  const auto Target = Message.target();
  Request = {{Method.data(), Method.size()},
             {Target.data(), Target.size()},
             fieldsOf(Message),
             std::move(Message.body())};
  Request.Fields.erase("Expect");
  RequestReadAt = steadyNow();
  Deadline = TimePoint::max();
  co_return true;
}

Task<void> HttpSession::refuseRequest(int Status) {
  HttpHead Head{Status, {}};
  Head.Fields.add("Content-Length", "0");
  Head.Fields.add("Connection", "close");
  Deadline = steadyNow() + Server->Limits.ResponseWriteTimeout;
  std::string Text = encodeHead(Head);
  co_await write(std::move(Text));
}

Task<void> HttpSession::handleRequest() {
  ResponseStarted = false;
  ResponseSent = false;
  CallerDisconnected = false;
  PendingHead.clear();
  ++Server->Running;
  watchForDisconnect();
  HttpExchange Exchange(*this);
  co_await Server->Handle(Exchange);
  --Server->Running;
  DisconnectCallback = nullptr;
  if (Watching) {
    ErrorCode Ignored; // Only the wait of watchForDisconnect() is pending.
    Socket.cancel(Ignored);
  }
  if (Buffer.capacity() > MaxRetainedBufferBytes && Buffer.size() == 0)
    Buffer = boost::beast::flat_buffer();
  Request = {};
}

void HttpSession::watchForDisconnect() {
  // If bytes of the next request have arrived, the caller is still connected.
  if (Buffer.size() > 0 || Watching)
    return;
  Watching = true;
  Socket.async_wait(Tcp::socket::wait_read, [Self = shared_from_this()](
                                                const ErrorCode &Failure) {
    Self->Watching = false;
    if (Failure)
      return;
    char Next = 0;
    const ssize_t Count =
        ::recv(Self->Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Count == 0 || (Count < 0 && errno != EAGAIN))
      Self->handleDisconnect();
  });
}

void HttpSession::handleDisconnect() {
  if (std::exchange(CallerDisconnected, true))
    return;
  if (const auto Callback = std::exchange(DisconnectCallback, nullptr))
    Callback();
}

Task<bool> HttpSession::write(std::string Text) {
  if (CallerDisconnected || !Socket.is_open())
    co_return false;
  Deadline = steadyNow() + Server->Limits.ResponseWriteTimeout;
  ErrorCode Failure;
  co_await asio::async_write(Socket, asio::buffer(Text), storeErrorIn(Failure));
  Deadline = TimePoint::max();
  if (Failure)
    handleDisconnect();
  co_return !Failure;
}

Task<bool> HttpSession::answer(HttpResponse Response) {
  KeepAlive = KeepAlive && !Server->Draining;
  Response.Head.Fields.add("Content-Length",
                           std::to_string(Response.Body.size()));
  if (!KeepAlive)
    Response.Head.Fields.add("Connection", "close");
  ResponseSent = true;
  std::string Text = encodeHead(Response.Head) + Response.Body;
  co_return co_await write(std::move(Text));
}

void HttpSession::begin(HttpHead Head) {
  KeepAlive = KeepAlive && !Server->Draining;
  Head.Fields.add("Transfer-Encoding", "chunked");
  if (!KeepAlive)
    Head.Fields.add("Connection", "close");
  PendingHead = encodeHead(Head);
  ResponseStarted = true;
}

Task<bool> HttpSession::sendChunk(std::string_view Data) {
  std::string Text = std::exchange(PendingHead, {}) + encodeChunk(Data);
  co_return co_await write(std::move(Text));
}

Task<bool> HttpSession::end() {
  ResponseSent = true;
  std::string Text = std::exchange(PendingHead, {}) + std::string(LastChunk);
  co_return co_await write(std::move(Text));
}

void HttpSession::abort() {
  ErrorCode Ignored; // The socket is closed even on error.
  Socket.close(Ignored);
}

} // namespace internal

HttpRequest &HttpExchange::request() { return Session.Request; }
TimePoint HttpExchange::requestReadAt() const { return Session.RequestReadAt; }
void HttpExchange::closeAfterResponse() { Session.closeAfterResponse(); }
Task<bool> HttpExchange::answer(HttpResponse Response) {
  return Session.answer(std::move(Response));
}
void HttpExchange::begin(HttpHead Head) { Session.begin(std::move(Head)); }
bool HttpExchange::isResponseStarted() const { return Session.ResponseStarted; }
Task<bool> HttpExchange::sendChunk(std::string_view Data) {
  return Session.sendChunk(Data);
}
Task<bool> HttpExchange::end() { return Session.end(); }
void HttpExchange::abort() { Session.abort(); }
bool HttpExchange::isCallerDisconnected() const {
  return Session.CallerDisconnected;
}
void HttpExchange::onCallerDisconnect(std::function<void()> Callback) {
  if (Session.CallerDisconnected && Callback)
    Callback();
  else
    Session.DisconnectCallback = std::move(Callback);
}

void HttpServer::Impl::accepted(Tcp::socket Socket) {
  auto Session = std::make_shared<internal::HttpSession>(shared_from_this(),
                                                         std::move(Socket));
  // The coroutine starts later, so it must own the session.
  spawn(Io, [](std::shared_ptr<internal::HttpSession> Self) -> Task<void> {
    co_await Self->run();
  }(std::move(Session)));
}

Task<void> HttpServer::Impl::sweep() {
  while (!Closed) {
    co_await pause(Io, SweepInterval);
    const TimePoint Now = steadyNow();
    for (internal::HttpSession *Session : Sessions)
      Session->sweep(Now);
  }
}

HttpServer::HttpServer(Loop &Io, HttpServerLimits Limits, Handler Handle)
    : Inner(std::make_shared<Impl>(Io, Limits, std::move(Handle))) {}

HttpServer::~HttpServer() { close(); }

Expected<void> HttpServer::listen(const std::string &Address) {
  Expected<Tcp::acceptor> Listener = listenOn(Inner->Io, Address);
  if (!Listener)
    return tl::unexpected(Listener.error());
  Inner->Listener = std::move(*Listener);
  spawn(Inner->Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
    std::function<void(Tcp::socket)> Accepted = [Self](Tcp::socket Socket) {
      Self->accepted(std::move(Socket));
    };
    co_await acceptLoop(*Self->Listener, std::move(Accepted));
  }(Inner));
  spawn(Inner->Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
    co_await Self->sweep();
  }(Inner));
  return {};
}

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  const Duration IdleTimeout = Inner->Limits.KeepAliveTimeout;
  Inner->Limits = Limits;
  if (Inner->Draining)
    Inner->Limits.KeepAliveTimeout = IdleTimeout;
}

void HttpServer::drain(Duration IdleTimeout) {
  Inner->Draining = true;
  Inner->Limits.KeepAliveTimeout = IdleTimeout;
  for (internal::HttpSession *Session : Inner->Sessions)
    Session->closeIdleAt(steadyNow() + IdleTimeout);
}

std::size_t HttpServer::running() const { return Inner->Running; }
std::size_t HttpServer::connections() const { return Inner->Sessions.size(); }

HttpServerLoad HttpServer::load() const {
  HttpServerLoad Result;
  Result.Running = running();
  Result.Idle = connections() - running();
  return Result;
}

HttpServerCounts HttpServer::counts() const { return {}; }

namespace {

/// Interval at which a server that closes checks whether connections are left.
constexpr Duration CloseCheckInterval = std::chrono::milliseconds(25);

Task<void> closeWhenAnswered(std::shared_ptr<HttpServer::Impl> Server,
                             TimePoint Deadline) {
  Server->Draining = true;
  ErrorCode Ignored; // The listener is closed even on error.
  if (Server->Listener)
    Server->Listener->close(Ignored);
  for (internal::HttpSession *Session : Server->Sessions)
    Session->closeIdleAt(steadyNow());
  while (!Server->Sessions.empty() && steadyNow() < Deadline) {
    co_await pause(Server->Io, CloseCheckInterval);
  }
  Server->Closed = true;
  for (internal::HttpSession *Session : Server->Sessions)
    Session->abort();
}

} // namespace

Task<void> HttpServer::closeAfterAnswers(TimePoint Deadline) {
  return closeWhenAnswered(Inner, Deadline);
}

void HttpServer::close() {
  Inner->Closed = true;
  ErrorCode Ignored; // The socket is closed even on error.
  if (Inner->Listener)
    Inner->Listener->close(Ignored);
  for (internal::HttpSession *Session : Inner->Sessions)
    Session->abort();
}

} // namespace tamarack
