#include "RelayImpl.h"

namespace tamarack {

using internal::Attempt;
using internal::AttemptEnd;
using internal::Passage;

namespace {

/// Endpoints that one request is offered to while none has run it.
constexpr std::size_t MostOffers = 4;
/// Answers to earlier requests that are skipped on one connection.
constexpr int MostSkipped = 2;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

std::optional<EndpointEntry> Relay::Impl::chooseNext(Passage &Way) {
  if (Way.Tried.size() >= MostOffers)
    return std::nullopt;
  EndpointNeeds Needs{
      Way.Service, {}, Way.Facts.Prompt, Way.LastRanAt, Way.Tried};
  if (Way.Via.Kind == RequestKind::Stream)
    Needs.AffinityKey = Way.Facts.Program.empty() ? Way.Facts.RequestId
                                                  : Way.Facts.Program.text();
  std::optional<EndpointEntry> Chosen = Endpoints.choose(Needs, steadyNow());
  if (Chosen) {
    LogLine("entry.choice")
        .with("request", Way.Facts.RequestId)
        .with("route", Way.Via.Name)
        .with("catalog", Current.Version)
        .with("program", Way.Facts.Program)
        .with("endpoint", Chosen->Endpoint)
        .with("last", Way.LastRanAt)
        .with("running", Endpoints.runningAt(Chosen->Endpoint))
        .with("tried", Way.Tried.size());
    Way.Tried.insert(Chosen->Endpoint);
  }
  return Chosen;
}

HttpRequest Relay::Impl::attemptRequest(const Passage &Way,
                                        const EndpointEntry &To) const {
  const HttpRequest &From = Way.Caller.request();
  HttpRequest Result{From.Method, From.Target, From.Fields, Way.Body};
  removeHopByHop(Result.Fields);
  Wire.prepareAttempt(Result.Fields, To.Endpoint,
                      std::max(Duration(0), Way.Deadline - steadyNow()));
  if (!Result.Body.empty() || From.Method != "GET")
    Result.Fields.add("Content-Length", std::to_string(Result.Body.size()));
  return Result;
}

Task<std::shared_ptr<HttpCall>> Relay::Impl::sendTo(Passage &Way,
                                                    EndpointEntry To) {
  const Expected<std::shared_ptr<HttpCall>> Call =
      co_await HttpCall::open(Pool, To.Address);
  if (!Call) {
    Endpoints.failed(To.Endpoint, steadyNow());
    Metrics.retried(RetryReason::NoConnection);
    LogLine("entry.no_connection")
        .with("request", Way.Facts.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reason", Call.error().Message);
    co_return nullptr;
  }
  if (Way.isOver())
    co_return nullptr;
  Way.Current = *Call;
  (*Call)->send(encodeRequest(attemptRequest(Way, To)),
                Way.Caller.request().Method == "HEAD");
  ++Way.Runs;
  co_return *Call;
}

Task<Expected<HttpHead>> Relay::Impl::readOwnHead(Passage &Way,
                                                  HttpCall &Call) {
  for (int Skipped = 0; Skipped <= MostSkipped; ++Skipped) {
    Expected<HttpHead> Head = co_await Call.readHead();
    if (!Head)
      co_return Head;
    const ResponseMetadata Facts = Wire.readResponseMetadata(*Head);
    const bool Own = Facts.RequestId == Way.Facts.RequestId ||
                     (Facts.RequestId.empty() && !isSuccess(Head->Status));
    if (Own)
      co_return Head;
    LogLine("entry.other_answer")
        .with("request", Way.Facts.RequestId)
        .with("answer_to", Facts.RequestId)
        .with("status", Head->Status);
    const Expected<void> Done = co_await Call.skipAnswer();
    if (!Done)
      co_return tl::unexpected(Done.error());
  }
  co_return refuse(ErrorKind::EndpointFailed,
                   "the connection brings only answers to other requests");
}

bool Relay::Impl::isSound(const HttpHead &Head) const {
  const ResponseMetadata Facts = Wire.readResponseMetadata(Head);
  return Facts.IsSigned && !Facts.IsEncoded && Head.Status >= 200;
}

Task<Expected<std::string>> Relay::Impl::readBody(HttpCall &Call) {
  std::string Body;
  while (true) {
    Expected<std::optional<std::string>> Piece = co_await Call.readPiece();
    if (!Piece)
      co_return tl::unexpected(Piece.error());
    if (!*Piece)
      co_return Body;
    Body += **Piece;
  }
}

/// The endpoint's own word that the request has not run there.
void Relay::Impl::noteNotRun(Passage &Way, const EndpointEntry &To,
                             const HttpHead &Head) {
  --Way.Runs;
  if (Head.Status == 421) {
    Endpoints.failed(To.Endpoint, steadyNow());
    Metrics.retried(RetryReason::OtherInstance);
  } else {
    Endpoints.full(To.Endpoint, steadyNow());
    Metrics.retried(RetryReason::EndpointFull);
  }
  LogLine("entry.not_run")
      .with("request", Way.Facts.RequestId)
      .with("endpoint", To.Endpoint)
      .with("status", Head.Status);
}

Task<Attempt> Relay::Impl::attemptPlain(Passage &Way, EndpointEntry To) {
  const std::shared_ptr<HttpCall> Call = co_await sendTo(Way, To);
  if (!Call)
    co_return Attempt{AttemptEnd::NotRun, {}, "no connection to an endpoint"};
  Endpoints.started(To.Endpoint);
  Expected<HttpHead> Head = co_await readOwnHead(Way, *Call);
  Expected<std::string> Body = refuse(ErrorKind::EndpointFailed, "no head");
  if (Head) {
    Body = co_await readBody(*Call);
  }
  Endpoints.ended(To.Endpoint);
  if (Head && Body &&
      (Head->Status == 421 || Wire.readResponseMetadata(*Head).NotRun)) {
    Call->finish();
    noteNotRun(Way, To, *Head);
    co_return Attempt{AttemptEnd::NotRun, {}, "endpoints are full"};
  }
  if (!Head || !Body || !isSound(*Head)) {
    Call->abort();
    if (!Way.isOver()) {
      Endpoints.failed(To.Endpoint, steadyNow());
      Metrics.retried(RetryReason::Broken);
    }
    const std::string Problem =
        !Head   ? Head.error().Message
        : !Body ? Body.error().Message
                : "the answer is not signed by the endpoint";
    LogLine("entry.broken_answer")
        .with("request", Way.Facts.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reused", Call->reused() ? 1 : 0)
        .with("reason", Problem);
    co_return Attempt{AttemptEnd::Broken, {}, Problem};
  }
  Call->finish();
  Endpoints.succeeded(To.Endpoint);
  co_return Attempt{
      AttemptEnd::Answered, {std::move(*Head), std::move(*Body)}, {}};
}

} // namespace tamarack
