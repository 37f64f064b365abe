#include "RelayImpl.h"

namespace tamarack {

using internal::Attempt;
using internal::AttemptEnd;
using internal::Passage;

namespace {

/// When a refused caller should come back: a slot is free again after about
/// one turn.
constexpr Duration RetryAfterFull = std::chrono::milliseconds(100);
/// While the configuration or the ledgers are out of reach.
constexpr Duration RetryAfterOutage = std::chrono::milliseconds(300);

Duration retryAfter(ErrorKind Kind) {
  return Kind == ErrorKind::Overloaded ? RetryAfterFull : RetryAfterOutage;
}

std::string secondsText(Duration Span) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
  std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  return std::to_string(Millis / 1000) + "." + Fraction;
}

} // namespace

Relay::Relay(Loop &Io, RelayOptions Options, const Dialect &Wire,
             QuorumClient &Ledgers, ConnectionPool &Pool, RelayMetrics &Metrics)
    : Inner(std::make_shared<Impl>(Io, std::move(Options), Wire, Ledgers, Pool,
                                   Metrics)) {}

Relay::~Relay() = default;

void Relay::setCatalog(Catalog Next) {
  if (Next.Version <= Inner->Current.Version)
    return;
  LogLine("entry.catalog")
      .with("version", Next.Version)
      .with("before", Inner->Current.Version)
      .with("routes", Next.Routes.size())
      .with("services", Next.Services.size());
  Inner->Current = std::move(Next);
}

void Relay::setEndpoints(std::vector<EndpointEntry> Entries) {
  for (const std::string &Address :
       Inner->Endpoints.replace(std::move(Entries)))
    Inner->Pool.forget(Address);
}

EndpointLoad Relay::load() const { return Inner->Endpoints.load(); }

void Relay::takeLoad(const EndpointLoad &Elsewhere) {
  Inner->Endpoints.takeLoad(Elsewhere, steadyNow());
}

const Catalog &Relay::catalog() const { return Inner->Current; }

void Relay::takeNoMore() { Inner->TakesNoMore = true; }

bool Relay::isReady() const {
  return Inner->Current.Version > 0 && Inner->Endpoints.size() > 0 &&
         Inner->Ledgers.hasView();
}

Task<void> Relay::serve(HttpExchange &Call) { return Inner->serve(Call); }

std::optional<Error> Relay::Impl::prepare(Passage &Way) {
  const HttpRequest &Request = Way.Caller.request();
  if (TakesNoMore)
    return Error{ErrorKind::Leaving, "the process stops", NotRun::Proved, {}};
  if (Current.Version == 0)
    return Error{ErrorKind::PlatformUnavailable,
                 "no configuration is known yet",
                 NotRun::Proved,
                 {}};
  Way.Facts = Wire.readRequest(Request.Fields);
  const std::string *Host = Request.Fields.find("Host");
  const Route *Found =
      matchRoute(Current, Host == nullptr ? "" : *Host, Request.Target);
  if (Found == nullptr)
    return Error{
        ErrorKind::UnknownService, "no route matches", NotRun::Proved, {}};
  if (Way.Facts.RequestId.empty())
    return Error{ErrorKind::MalformedRequest,
                 "the request has no id",
                 NotRun::Proved,
                 {}};
  Way.Via = *Found;
  const std::string &Key = Way.Facts.Program.empty() ? Way.Facts.RequestId
                                                     : Way.Facts.Program.text();
  Way.Service = chooseService(Way.Via, stableHash(Key));
  const Duration Wait = Way.Facts.TimeLeft
                            ? std::min(*Way.Facts.TimeLeft, Way.Via.Timeout)
                            : Way.Via.Timeout;
  Way.Deadline = Way.Caller.requestReadAt() + Wait;
  return std::nullopt;
}

Task<void> Relay::Impl::serve(HttpExchange &Caller) {
  const auto Way = std::make_shared<Passage>(Caller);
  if (std::optional<Error> Failure = prepare(*Way)) {
    co_await refuseRequest(*Way, std::move(*Failure));
    co_return;
  }
  Way->Body = std::move(Caller.request().Body);
  Caller.onCallerDisconnect([Way] {
    Way->CallerLeft = true;
    Way->stopCall();
  });
  asio::steady_timer Timer(Io);
  Timer.expires_at(Way->Deadline);
  Timer.async_wait([Way](const ErrorCode &Stopped) {
    if (Stopped)
      return;
    Way->Expired = true;
    Way->stopCall();
  });
  if (Way->Via.Kind == RequestKind::Stream) {
    co_await serveTurn(*Way);
  } else {
    co_await servePlain(*Way);
  }
  Timer.cancel();
  Caller.onCallerDisconnect(nullptr);
  Way->Current.reset();
}

Task<void> Relay::Impl::refuseRequest(Passage &Way, Error Failure) {
  const ErrorAnswer &Row = answerOf(Failure.Kind);
  LogLine("entry.refused")
      .with("request", Way.Facts.RequestId)
      .with("route", Way.Via.Name)
      .with("catalog", Current.Version)
      .with("program", Way.Facts.Program)
      .with("kind", Row.Name)
      .with("status", Row.HttpStatus)
      .with("runs", Way.Runs)
      .with("reason", Failure.Message)
      .with("took_ms", steadyNow() - Way.Caller.requestReadAt())
      .with("left", Way.CallerLeft ? 1 : 0);
  Metrics.refused(Failure.Kind);
  if (Way.CallerLeft) {
    Metrics.callerLeft();
    co_return;
  }
  HttpResponse Answer{{Row.HttpStatus, {}}, Failure.Message + "\n"};
  Answer.Head.Fields.add("Content-Type", "text/plain");
  if (Row.HttpStatus == 503)
    Answer.Head.Fields.add("Retry-After",
                           secondsText(retryAfter(Failure.Kind)));
  Metrics.answered(Row.HttpStatus, steadyNow() - Way.Caller.requestReadAt());
  co_await Way.Caller.answer(std::move(Answer));
}

Task<void> Relay::Impl::passOn(Passage &Way, EndpointId From,
                               HttpResponse Response) {
  LogLine("entry.answer")
      .with("request", Way.Facts.RequestId)
      .with("route", Way.Via.Name)
      .with("endpoint", From)
      .with("status", Response.Head.Status)
      .with("tried", Way.Tried.size())
      .with("took_ms", steadyNow() - Way.Caller.requestReadAt());
  Metrics.answered(Response.Head.Status,
                   steadyNow() - Way.Caller.requestReadAt());
  removeHopByHop(Response.Head.Fields);
  co_await Way.Caller.answer(std::move(Response));
}

Task<void> Relay::Impl::servePlain(Passage &Way) {
  std::string Problem = "no endpoint is available";
  while (!Way.isOver()) {
    const std::optional<EndpointEntry> To = chooseNext(Way);
    if (!To)
      break;
    Attempt Result = co_await attemptPlain(Way, *To);
    if (Result.End == AttemptEnd::Answered) {
      co_await passOn(Way, To->Endpoint, std::move(Result.Response));
      co_return;
    }
    Problem = Result.Problem;
    const bool MayRepeat = Way.Via.Kind == RequestKind::Idempotent &&
                           Way.Runs < Way.Via.MaxAttempts;
    if (Result.End == AttemptEnd::Broken && !MayRepeat)
      break;
  }
  Error Failure{ErrorKind::Overloaded, Problem, NotRun::Proved, {}};
  if (Way.Runs > 0)
    Failure = {Way.Expired ? ErrorKind::Timeout : ErrorKind::EndpointFailed,
               Problem,
               NotRun::Unproved,
               {}};
  co_await refuseRequest(Way, std::move(Failure));
}

} // namespace tamarack
