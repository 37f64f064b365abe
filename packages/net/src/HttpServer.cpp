#include "HttpSession.h"
#include "ReceiveBuffer.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <poll.h>
#include <utility>

namespace tamarack {
namespace {

/// Period of checking the timeouts of connections, and so their precision.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
/// The same for a server that closes after its answers.
constexpr Duration CloseCheckInterval = std::chrono::milliseconds(25);

} // namespace

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
std::optional<TimePoint> HttpExchange::callerEndedSendingAt() const {
  return Session.CallerEndedSendingAt;
}
void HttpExchange::onCallerEndOfSending(std::function<void()> Callback) {
  if (Session.CallerEndedSendingAt && Callback)
    Callback();
  else
    Session.EndOfSendingCallback = std::move(Callback);
}
bool HttpExchange::isCallerKnownToRead() const {
  return Session.isCallerKnownToRead();
}

void HttpServer::Impl::accepted(Tcp::socket Socket) {
  auto Session = std::make_shared<internal::HttpSession>(shared_from_this(),
                                                         std::move(Socket));
  Sessions.insert(Session.get());
  // The coroutine starts later, so it must own the session.
  spawn(Io, [](std::shared_ptr<internal::HttpSession> Self) -> Task<void> {
    co_await Self->run();
  }(std::move(Session)));
}

Task<void> HttpServer::Impl::sweepPeriodically() {
  while (!Closed) {
    const TimePoint Due = steadyNow() + SweepInterval;
    co_await pause(Io, SweepInterval);
    const TimePoint Now = steadyNow();
    for (internal::HttpSession *Session : Sessions)
      Session->sweep(Now, std::max(Now - Due, Duration(0)));
  }
}

void HttpServer::Impl::limitLingering() {
  // A closed connection leaves the list once its coroutine has ended.
  auto Oldest = Lingering.begin();
  for (std::size_t Count = Lingering.size();
       Count > Limits.MaxLingeringConnections; --Count)
    (*Oldest++)->close();
}

HttpServerLoad HttpServer::Impl::load() {
  HttpServerLoad Result;
  for (internal::HttpSession *Session : Sessions)
    Session->addTo(Result);
  if (Listener && Listener->is_open()) {
    pollfd Query{Listener->native_handle(), POLLIN, 0};
    Result.Unaccepted = ::poll(&Query, 1, 0) > 0 ? 1 : 0;
  }
  return Result;
}

void HttpServer::Impl::closeListener() {
  if (!Listener || !Listener->is_open())
    return;
  const bool IsQueueEmpty = acceptWaiting(
      *Listener, [this](Tcp::socket Socket) { accepted(std::move(Socket)); });
  ErrorCode Ignored; // The listener is closed even on error.
  if (IsQueueEmpty)
    Listener->close(Ignored);
}

void HttpServer::Impl::close() {
  Closed = true;
  ErrorCode Ignored; // The listener is closed even on error.
  if (Listener)
    Listener->close(Ignored);
  for (internal::HttpSession *Session : Sessions)
    Session->close();
}

HttpServer::HttpServer(Loop &Io, HttpServerLimits Limits, Handler Handle,
                       std::shared_ptr<MemoryAccount> Memory)
    : Inner(std::make_shared<Impl>(Io, Limits, std::move(Handle),
                                   std::move(Memory))) {}

HttpServer::~HttpServer() { close(); }

Expected<void> HttpServer::listen(const std::string &Address) {
  Expected<Tcp::acceptor> Listener = listenOn(Inner->Io, Address);
  if (!Listener)
    return tl::unexpected(Listener.error());
  Inner->Listener = std::move(*Listener);
  internal::limitReceiveBuffer(*Inner->Listener, Inner->Memory.get());
  Inner->Accepting = true;
  spawn(Inner->Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
    std::function<void(Tcp::socket)> Accepted = [Self](Tcp::socket Socket) {
      Self->accepted(std::move(Socket));
    };
    co_await acceptLoop(*Self->Listener, std::move(Accepted));
    Self->Accepting = false;
    Self->Ended.raise();
  }(Inner));
  spawn(Inner->Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
    co_await Self->sweepPeriodically();
  }(Inner));
  return {};
}

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  const Duration IdleTimeout = Inner->Limits.KeepAliveTimeout;
  Inner->Limits = Limits;
  if (Inner->Draining)
    Inner->Limits.KeepAliveTimeout = IdleTimeout;
  for (internal::HttpSession *Session : Inner->Sessions)
    Session->limitsChanged();
}

void HttpServer::drain(Duration IdleTimeout) {
  Inner->Draining = true;
  Inner->Limits.KeepAliveTimeout = IdleTimeout;
  for (internal::HttpSession *Session : Inner->Sessions)
    Session->closeIdleAt(steadyNow() + IdleTimeout);
}

std::size_t HttpServer::connections() const { return Inner->Sessions.size(); }

HttpServerLoad HttpServer::load() const { return Inner->load(); }
HttpServerCounts HttpServer::counts() const { return Inner->Counts; }

namespace {

Task<void> closeServer(std::shared_ptr<HttpServer::Impl> Server,
                       TimePoint Deadline) {
  Server->Draining = true;
  Server->Closing = true;
  while (true) {
    Server->closeListener();
    const TimePoint Now = steadyNow();
    for (internal::HttpSession *Session : Server->Sessions)
      Session->closeIfIdle(Now);
    if (!Server->Accepting && Server->Sessions.empty())
      break;
    if (Now >= Deadline) {
      const HttpServerLoad Left = Server->load();
      Server->Counts.CutAtDeadline = Left;
      LogLine("server.connections_cut")
          .with("running", Left.Running)
          .with("arriving", Left.Arriving)
          .with("unaccepted", Left.Unaccepted)
          .with("idle", Left.Idle)
          .with("lingering", Server->Lingering.size());
      break;
    }
    co_await Server->Ended.wait(std::min(Deadline, Now + CloseCheckInterval));
  }
  Server->close();
}

} // namespace

Task<void> HttpServer::closeAfterAnswers(TimePoint Deadline) {
  return closeServer(Inner, Deadline);
}

void HttpServer::close() { Inner->close(); }

} // namespace tamarack
