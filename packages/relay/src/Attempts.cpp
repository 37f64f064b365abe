#include "RelayImpl.h"

namespace tamarack {

using internal::AttemptOutcome;
using internal::AttemptResult;
using internal::formatMillis;
using internal::RequestContext;

namespace {

/// The maximum number of endpoints that a request is sent to while none has run
/// it.
constexpr std::size_t MaxEndpointsPerRequest = 4;
/// The maximum number of responses to other requests that are skipped on one
/// connection.
constexpr int MaxSkippedResponses = 2;
/// The maximum length of a response to another request that is skipped, and of
/// the body that is read of a response which states that the request was not
/// run. Longer ones cost less if the connection is closed.
constexpr std::size_t MaxSkippedBytes = 256U << 10U;
constexpr std::size_t MaxRefusalBytes = 64U << 10U;
/// A response that takes less than this part of the memory account is not held
/// against its endpoint if there is too little memory for more of it.
constexpr std::size_t FaultyShareDivisor = 64;
/// A request that is cancelled after this time without any response counts
/// against the endpoint.
constexpr Duration SilentRequestTime = std::chrono::milliseconds(900);

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

EndpointQuery Relay::Impl::endpointQuery(const RequestContext &Context) const {
  EndpointQuery Result{
      Context.Service,         {},
      Context.Metadata.Prompt, Context.LastEndpoint,
      Context.TriedEndpoints,  Crashes.isSuspect(Context.Digest, steadyNow()),
      Context.RequiredVersion};
  if (Context.MatchedRoute.Kind == RequestKind::Stream)
    Result.AffinityKey = Context.Metadata.Program.empty()
                             ? Context.Metadata.RequestId
                             : Context.Metadata.Program.text();
  return Result;
}

std::optional<EndpointEntry>
Relay::Impl::chooseNextEndpoint(RequestContext &Context) {
  if (Context.TriedEndpoints.size() >= MaxEndpointsPerRequest ||
      isSendingOver())
    return std::nullopt;
  const EndpointQuery Query = endpointQuery(Context);
  std::optional<EndpointEntry> Chosen = Endpoints.choose(Query, steadyNow());
  Context.RateLimitDelay =
      Chosen ? std::nullopt : Endpoints.rateLimitDelay(Query, steadyNow());
  if (Chosen) {
    LogLine("entry.choice")
        .with("request", Context.Metadata.RequestId)
        .with("route", Context.MatchedRoute.Name)
        .with("catalog", ActiveCatalog.Version)
        .with("program", Context.Metadata.Program)
        .with("endpoint", Chosen->Endpoint)
        .with("version", Chosen->Version)
        .with("last", Context.LastEndpoint)
        .with("running", Endpoints.runningAt(Chosen->Endpoint))
        .with("tried", Context.TriedEndpoints.size());
    Context.TriedEndpoints.insert(Chosen->Endpoint);
  }
  return Chosen;
}

std::string Relay::Impl::encodeAttempt(const RequestContext &Context,
                                       const EndpointEntry &To) const {
  const HttpRequest &From = Context.Caller.request();
  HttpRequest Head{From.Method, From.Target, From.Fields, {}};
  removeHopByHop(Head.Fields);
  Wire.prepareAttempt(Head.Fields,
                      {To.Endpoint,
                       std::max(Duration(0), Context.Deadline - steadyNow()),
                       Context.Workspace});
  if (!Context.Body.empty() || From.Method != "GET")
    Head.Fields.add("Content-Length", std::to_string(Context.Body.size()));
  std::string Result = encodeRequest(Head);
  Result.reserve(Result.size() + Context.Body.size());
  Result += Context.Body;
  return Result;
}

Task<Expected<std::shared_ptr<HttpCall>>>
Relay::Impl::openCall(EndpointEntry To, std::string RequestId) {
  const bool IsAtOnce = Pool.hasIdle(To.Address);
  auto Opening = HttpCall::open(Pool, To.Address, std::move(RequestId));
  if (IsAtOnce) {
    co_return co_await std::move(Opening);
  }
  co_return co_await waitUntil(Stop.SendBy, std::move(Opening));
}

Task<std::shared_ptr<HttpCall>>
Relay::Impl::sendAttempt(RequestContext &Context, EndpointEntry To) {
  bool WasReused = true;
  while (WasReused) {
    const Expected<std::shared_ptr<HttpCall>> Call =
        co_await openCall(To, Context.Metadata.RequestId);
    if (!Call && isSendingOver())
      co_return nullptr;
    if (!Call) {
      Endpoints.onFailure(To.Endpoint, steadyNow());
      Metrics.countRetry(RelayRetryReason::NoConnection);
      LogLine("entry.no_connection")
          .with("request", Context.Metadata.RequestId)
          .with("endpoint", To.Endpoint)
          .with("reason", Call.error().Message);
      co_return nullptr;
    }
    if (Context.isCancelled() || isSendingOver())
      co_return nullptr;
    if (mayBeRevoked(Context)) {
      LogLine("entry.key_outdated")
          .with("request", Context.Metadata.RequestId)
          .with("workspace", *Context.Workspace)
          .with("catalog_age_ms", formatMillis(catalogAge()));
      co_return nullptr;
    }
    if (isDecisionOutdated(Context)) {
      LogLine("entry.decision_outdated")
          .with("request", Context.Metadata.RequestId)
          .with("endpoint", To.Endpoint)
          .with("version", To.Version)
          .with("decided_age_ms", Context.DecidedListAge)
          .with("list_age_ms", formatMillis(catalogAge()));
      co_return nullptr;
    }
    WasReused = (*Call)->reused();
    if ((*Call)->send(encodeAttempt(Context, To),
                      Context.Caller.request().Method == "HEAD")) {
      Context.CurrentCall = *Call;
      ++Context.PossibleRuns;
      co_return *Call;
    }
    Metrics.countRetry(RelayRetryReason::ConnectionEnded);
    LogLine("entry.connection_ended")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reused", WasReused ? 1 : 0);
  }
  Endpoints.onFailure(To.Endpoint, steadyNow());
  co_return nullptr;
}

Task<Expected<HttpHead>> Relay::Impl::readMatchingHead(RequestContext &Context,
                                                       HttpCall &Call,
                                                       EndpointId From) {
  for (int Skipped = 0; Skipped <= MaxSkippedResponses; ++Skipped) {
    Expected<HttpHead> Head = co_await Call.readHead();
    if (!Head)
      co_return Head;
    const ResponseMetadata Metadata = Wire.readResponseMetadata(*Head);
    // Status 421 comes from another instance at the endpoint's address.
    if (Head->Status != 421)
      recordEndpointState(Context, From, Metadata);
    const bool HasId = !Metadata.RequestId.empty();
    // A copy of an earlier response may precede the one to this request.
    const bool MayAnswerOther = Call.reused() || Skipped > 0;
    if (!HasId && !isSuccess(Head->Status) && MayAnswerOther) {
      LogLine("entry.unidentified_answer")
          .with("request", Context.Metadata.RequestId)
          .with("endpoint", From)
          .with("status", Head->Status);
      co_return refuse(ErrorKind::EndpointFailed,
                       "a response without a request id on a connection that "
                       "has carried other requests");
    }
    if (HasId ? Metadata.RequestId == Context.Metadata.RequestId
              : !isSuccess(Head->Status)) {
      if (isRefusal(*Head))
        Call.noteRefusal(Context.Metadata.RequestId);
      co_return Head;
    }
    LogLine("entry.other_answer")
        .with("request", Context.Metadata.RequestId)
        .with("answer_to", Metadata.RequestId)
        .with("status", Head->Status);
    const Expected<void> SkipResult = co_await Call.skipAnswer(MaxSkippedBytes);
    if (!SkipResult)
      co_return tl::unexpected(SkipResult.error());
  }
  co_return refuse(
      ErrorKind::EndpointFailed,
      "the endpoint answered only other requests on this connection");
}

void Relay::Impl::recordEndpointState(const RequestContext &Context,
                                      const EndpointId &From,
                                      const ResponseMetadata &Metadata) {
  if (Metadata.IsLeaving && Endpoints.onLeaving(From, steadyNow()))
    LogLine("entry.endpoint_leaving")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", From);
  if (Endpoints.onRateLimit(From, Metadata.RateLimit, steadyNow()))
    LogLine("entry.endpoint_limit")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", From)
        .with("per_second", Metadata.RateLimit
                                ? std::to_string(*Metadata.RateLimit)
                                : std::string("none"));
}

void Relay::Impl::recordAnswer(const EndpointEntry &To, int Status) {
  if (Status >= 500)
    Endpoints.onErrorResponse(To.Endpoint, steadyNow());
  else
    Endpoints.onSuccess(To.Endpoint, steadyNow());
}

void Relay::Impl::recordSilence(const RequestContext &Context,
                                const EndpointEntry &To, TimePoint SentAt,
                                bool HasAnswered) {
  const TimePoint Now = steadyNow();
  const TimePoint WaitedUntil =
      Context.Caller.callerEndedSendingAt().value_or(Now);
  // A stopping process cancels requests that the endpoint has time for.
  if (!HasAnswered && WaitedUntil - SentAt >= SilentRequestTime &&
      Now < Stop.AnswerBy)
    Endpoints.onErrorResponse(To.Endpoint, Now);
}

bool Relay::Impl::isForwardable(const HttpHead &Head) const {
  const ResponseMetadata Metadata = Wire.readResponseMetadata(Head);
  return Metadata.IsSigned && !Metadata.IsEncoded;
}

bool Relay::Impl::isRefusal(const HttpHead &Head) const {
  return Head.Status == 421 || Wire.readResponseMetadata(Head).NotRun;
}

bool Relay::Impl::isOwnFault(const RequestContext &Context) const {
  return Context.LackedMemory &&
         Context.ResponseMemory.size() <= Memory->limit() / FaultyShareDivisor;
}

Task<Expected<std::string>> Relay::Impl::readBody(RequestContext &Context,
                                                  HttpCall &Call,
                                                  const HttpHead &Head) {
  const bool Refused = isRefusal(Head);
  if (!Refused && !isForwardable(Head))
    co_return refuse(ErrorKind::EndpointFailed,
                     "the response is encoded or not signed by the endpoint");
  std::string Body;
  while (true) {
    Expected<std::optional<std::string>> Piece = co_await Call.readPiece();
    if (!Piece)
      co_return tl::unexpected(Piece.error());
    if (!*Piece)
      co_return Body;
    if (!appendWithin(Context.ResponseMemory, Body, **Piece, 0)) {
      Call.abort();
      Context.LackedMemory = true;
      co_return refuse(ErrorKind::Overloaded,
                       "too little memory is left for the response");
    }
    if (Refused && Body.size() > MaxRefusalBytes) {
      Call.abort();
      co_return Body;
    }
  }
}

void Relay::Impl::recordNotRun(RequestContext &Context, const EndpointEntry &To,
                               const HttpHead &Head) {
  --Context.PossibleRuns;
  if (Head.Status == 421) {
    Endpoints.onFailure(To.Endpoint, steadyNow());
    Metrics.countRetry(RelayRetryReason::OtherInstance);
  } else {
    Endpoints.onEndpointFull(To.Endpoint, steadyNow());
    Metrics.countRetry(RelayRetryReason::EndpointFull);
  }
  LogLine("entry.not_run")
      .with("request", Context.Metadata.RequestId)
      .with("endpoint", To.Endpoint)
      .with("status", Head.Status);
}

Task<AttemptResult> Relay::Impl::attemptPlain(RequestContext &Context,
                                              EndpointEntry To) {
  const std::shared_ptr<HttpCall> Call = co_await sendAttempt(Context, To);
  if (!Call)
    co_return AttemptResult{
        AttemptOutcome::NotRun, {}, "could not connect to the endpoint"};
  const TimePoint SentAt = steadyNow();
  Endpoints.onRequestStarted(To.Endpoint, SentAt);
  const bool IsSuspect = Crashes.isSuspect(Context.Digest, SentAt);
  if (IsSuspect)
    Endpoints.onSuspectStarted(To.Endpoint);
  Expected<HttpHead> Head =
      co_await readMatchingHead(Context, *Call, To.Endpoint);
  Context.LackedMemory = !Head && Head.error().Kind == ErrorKind::Overloaded;
  Expected<std::string> Body =
      refuse(ErrorKind::EndpointFailed, "no response head was received");
  if (Head) {
    Body = co_await readBody(Context, *Call, *Head);
  }
  Endpoints.onRequestEnded(To.Endpoint);
  if (IsSuspect)
    Endpoints.onSuspectEnded(To.Endpoint);
  if (Head && Body && isRefusal(*Head)) {
    Call->finish();
    recordNotRun(Context, To, *Head);
    co_return AttemptResult{AttemptOutcome::NotRun, {}, "endpoints are full"};
  }
  if (!Head || !Body) {
    const Error Cause = !Head ? Head.error() : Body.error();
    Call->abort();
    if (Context.isCancelled()) {
      recordSilence(Context, To, SentAt, Head.has_value());
    } else {
      if (!isOwnFault(Context))
        Endpoints.onFailure(To.Endpoint, steadyNow());
      Metrics.countRetry(RelayRetryReason::Broken);
      if (Call->isEndedByServer()) {
        co_await recordBrokenAttempt(Context, To, SentAt);
      }
    }
    Context.ResponseMemory.shrinkTo(0);
    LogLine("entry.broken_answer")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reused", Call->reused() ? 1 : 0)
        .with("reason", Cause.Message);
    co_return AttemptResult{AttemptOutcome::Indeterminate, {}, Cause.Message};
  }
  Call->finish();
  recordAnswer(To, Head->Status);
  Crashes.onAnswered(Context.Digest, steadyNow());
  co_return AttemptResult{
      AttemptOutcome::Answered, {std::move(*Head), std::move(*Body)}, {}};
}

} // namespace tamarack
