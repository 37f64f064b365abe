#include "HttpSession.h"

#include <algorithm>

#include <utility>

namespace tamarack {
namespace {

/// Period of checking the timeouts of connections, and so their precision.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);

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

void HttpServer::Impl::accepted(Tcp::socket Socket) {
  auto Session = std::make_shared<internal::HttpSession>(shared_from_this(),
                                                         std::move(Socket));
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
    co_await Self->sweepPeriodically();
  }(Inner));
  return {};
}

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  Inner->Limits = Limits;
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

HttpServerCounts HttpServer::counts() const { return Inner->Counts; }

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
    Session->close();
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
    Session->close();
}

} // namespace tamarack
