#include "RelayImpl.h"

#include <algorithm>

namespace tamarack {

using internal::AttemptOutcome;
using internal::AttemptResult;
using internal::cancellationReason;
using internal::EndOfSendingGrace;
using internal::formatMillis;
using internal::leavingError;
using internal::RateLimitReason;
using internal::RequestContext;
using internal::StoreConfirmTimeout;
using internal::unprovedError;

namespace {

/// When a caller should retry after all endpoints were full: a slot becomes
/// free after about one turn.
constexpr Duration RetryAfterFull = std::chrono::milliseconds(100);
/// When a caller should retry while this instance lacks what other instances
/// probably have: a new connection leads to one of them.
constexpr Duration RetryAfterElsewhere = std::chrono::milliseconds(50);

/// If less than one in this many endpoints is left after a change, the list is
/// in doubt.
constexpr std::size_t MaxShrinkDivisor = 2;

/// The longest that a caller is told to wait, since limits may end any time.
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

/// Whether another instance can probably serve a request that was refused with
/// \p Kind.
bool isLocalCause(ErrorKind Kind) {
  return Kind == ErrorKind::NotEnoughCopies || Kind == ErrorKind::Leaving ||
         Kind == ErrorKind::PlatformUnavailable || Kind == ErrorKind::EntryBusy;
}

/// Ids are kept beyond their requests, here and at the ledgers.
constexpr std::size_t MaxIdBytes = 256;

bool hasLongId(const RequestMetadata &Metadata) {
  return Metadata.RequestId.size() > MaxIdBytes ||
         Metadata.Program.text().size() > MaxIdBytes ||
         Metadata.Previous.text().size() > MaxIdBytes;
}

Duration retryAfter(const RequestContext &Context, ErrorKind Kind) {
  if (Kind == ErrorKind::RateLimited)
    return std::clamp(Context.WorkspaceDelay, RetryAfterFull, MaxRetryAfter);
  if (Context.LoadDelay)
    return std::max(*Context.LoadDelay, RetryAfterElsewhere);
  if (isLocalCause(Kind))
    return RetryAfterElsewhere;
  return std::clamp(Context.RateLimitDelay.value_or(RetryAfterFull),
                    RetryAfterFull, MaxRetryAfter);
}

std::optional<Duration> tightestTurnTarget(const Catalog &From) {
  std::optional<Duration> Result;
  for (const Route &Each : From.Routes)
    if (Each.Kind == RequestKind::Stream)
      Result =
          std::min(Result.value_or(Each.TargetLatency), Each.TargetLatency);
  return Result;
}

Task<Expected<void>> asExpected(Task<void> Work) {
  co_await std::move(Work);
  co_return Expected<void>();
}

/// Formats \p Span in seconds with three decimals.
std::string formatSeconds(Duration Span) {
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
  if (Next.Version <= Inner->ActiveCatalog.Version)
    return;
  LogLine("entry.catalog")
      .with("version", Next.Version)
      .with("before", Inner->ActiveCatalog.Version)
      .with("routes", Next.Routes.size())
      .with("services", Next.Services.size())
      .with("workspaces", Next.Workspaces ? Next.Workspaces->size() : 0);
  Inner->ActiveCatalog = std::move(Next);
  Inner->Workspaces = Inner->ActiveCatalog.Workspaces
                          ? WorkspaceDirectory(*Inner->ActiveCatalog.Workspaces)
                          : WorkspaceDirectory();
  const std::vector<Workspace> Known =
      Inner->ActiveCatalog.Workspaces.value_or(std::vector<Workspace>());
  Inner->HasLimits = std::any_of(Known.begin(), Known.end(), hasLimit);
  Inner->Limits.keepOnly(Known);
  Inner->Hedges.retain(Inner->ActiveCatalog);
  Inner->TurnTarget = tightestTurnTarget(Inner->ActiveCatalog);
}

void Relay::setEndpoints(std::vector<EndpointEntry> Entries) {
  const std::size_t Before = Inner->Endpoints.size();
  for (const std::string &Address :
       Inner->Endpoints.replace(std::move(Entries), steadyNow()))
    Inner->Pool.forget(Address);
  if (Inner->Endpoints.size() * MaxShrinkDivisor < Before)
    spawn(Inner->Io, Inner->listEndpoints(steadyNow() + StoreConfirmTimeout));
}

EndpointNews Relay::endpointNews() const {
  EndpointNews Result = Inner->Endpoints.news(steadyNow());
  if (!Inner->DataCentre.empty())
    Result.Entries[Inner->Instance] = Inner->ownLoad();
  return Result;
}

void Relay::setRemoteNews(const EndpointNews &News) {
  Inner->Endpoints.setRemoteNews(News, steadyNow());
  Inner->Rotation.hear(News.Entries, steadyNow());
}

const Catalog &Relay::catalog() const { return Inner->ActiveCatalog; }

void Relay::setHedgingShare(double Share) { Inner->Hedges.setShare(Share); }

void Relay::stop(const StopPlan &Plan) {
  Inner->Stop = Plan;
  for (const auto &Context : Inner->Running)
    Inner->startDeadline(Context);
  for (Signal *Wait : Inner->LimitedWaits)
    Wait->raise();
}

bool Relay::isReady() const { return Inner->isReady(); }
Duration Relay::loopDelay() const { return Inner->Delay.value(); }
bool Relay::isBehind() const { return Inner->Rotation.isBehind(); }

void Relay::onReadinessAnswered(bool Ready) {
  Inner->UnreadyAnswers = Ready ? 0 : Inner->UnreadyAnswers + 1;
}

Task<void> Relay::serve(HttpExchange &Call) { return Inner->serve(Call); }

Task<void> Relay::exchangeCrashes() { return Inner->exchangeCrashes(); }

Task<void> Relay::exchangeWorkspaceUse() {
  return Inner->exchangeWorkspaceUse();
}

WorkspaceLimitStatus Relay::workspaceLimitStatus() const {
  const TimePoint Now = steadyNow();
  return {Inner->Limits.nearLimit(Now), Inner->Limits.reporters(Now),
          Inner->Limits.hasNews(Now)};
}

Task<void> Relay::watchLoad() { return Inner->watchLoad(); }

std::optional<Error> Relay::Impl::prepare(RequestContext &Context) {
  const HttpRequest &Request = Context.Caller.request();
  if (steadyNow() >= Stop.RefuseAt)
    return leavingError();
  if (ActiveCatalog.Version == 0)
    return Error{ErrorKind::PlatformUnavailable,
                 "no configuration is known yet",
                 NotRun::Proved,
                 {}};
  Context.Metadata = Wire.readRequestMetadata(Request.Fields);
  const std::string *HostField = Request.Fields.find("Host");
  const std::string Host = HostField == nullptr ? "" : *HostField;
  const Route *Found = matchRoute(ActiveCatalog, Host, Request.Target);
  if (Found == nullptr)
    return Error{ErrorKind::UnknownService,
                 "no route matches the host and path of the request",
                 NotRun::Proved,
                 {}};
  Context.MatchedRoute = *Found;
  if (std::optional<Error> Failure = authorize(Context))
    return Failure;
  if (Context.Metadata.RequestId.empty())
    return Error{ErrorKind::MalformedRequest,
                 "the request has no request id",
                 NotRun::Proved,
                 {}};
  if (hasLongId(Context.Metadata))
    return Error{ErrorKind::MalformedRequest,
                 "an id of the request is too long",
                 NotRun::Proved,
                 {}};
  const std::string &Key = Context.Metadata.Program.empty()
                               ? Context.Metadata.RequestId
                               : Context.Metadata.Program.text();
  Context.Service = chooseService(Context.MatchedRoute, stableHash(Key));
  const Duration Timeout = Context.MatchedRoute.Timeout;
  const Duration Wait =
      std::min(Context.Metadata.TimeLeft.value_or(Timeout), Timeout);
  Context.Deadline = Context.Caller.requestReadAt() + Wait;
  Context.DeadlineReason = Wait < Timeout
                               ? "the deadline of the caller has passed"
                               : "the timeout of the route has passed";
  Context.Digest = digestOf(Request.Method, Host, Request.Target, Request.Body);
  return refusalAfterCrashes(Context);
}

std::optional<Error> Relay::Impl::authorize(RequestContext &Context) const {
  Context.Workspace.reset();
  if (!ActiveCatalog.Workspaces)
    return std::nullopt;
  if (Context.MatchedRoute.IsPublic) {
    Context.Workspace = WorkspaceId();
    return std::nullopt;
  }
  const Workspace *Owner = Workspaces.findByKey(Context.Metadata.AccessKey);
  if (Owner == nullptr)
    return Error{ErrorKind::Unauthorized,
                 "the request has no key of a workspace",
                 NotRun::Proved,
                 {}};
  Context.Workspace = Owner->Name;
  if (mayBeRevoked(Context))
    return Error{ErrorKind::PlatformUnavailable,
                 "the configuration is too old to accept keys",
                 NotRun::Proved,
                 {}};
  return std::nullopt;
}

bool Relay::Impl::mayBeRevoked(const RequestContext &Context) const {
  const bool HasKey = Context.Workspace && !Context.Workspace->empty();
  if (!HasKey || !Configuration.MaxKeyAge)
    return false;
  const std::optional<Duration> Age = catalogAge();
  return !Age || *Age > *Configuration.MaxKeyAge;
}

std::optional<Duration> Relay::Impl::catalogAge() const {
  return Configuration.Age ? Configuration.Age() : Duration(0);
}

Task<std::optional<Error>>
Relay::Impl::prepareConfirmed(RequestContext &Context) {
  const auto IsInDoubt = [this, &Context](const std::optional<Error> &Failure) {
    if (!Failure || (Failure->Kind != ErrorKind::UnknownService &&
                     Failure->Kind != ErrorKind::Unauthorized))
      return false;
    // A turn that another entry answered shows that its route is known there.
    const bool ContinuesTurn = Failure->Kind == ErrorKind::UnknownService &&
                               !Context.Metadata.Previous.empty();
    const Duration MaxAge = ContinuesTurn
                                ? steadyNow() - Context.Caller.requestReadAt()
                                : Configuration.MaxAge;
    const std::optional<Duration> Age = catalogAge();
    return !Age || *Age > MaxAge;
  };
  std::optional<Error> Failure = prepare(Context);
  if (!IsInDoubt(Failure) && !mayBeRevoked(Context))
    co_return Failure;
  const TimePoint Deadline = waitLimit(TimePoint::max(), StoreConfirmTimeout);
  co_await confirmCatalog(Deadline);
  Failure = prepare(Context);
  if (IsInDoubt(Failure))
    Failure = Error{ErrorKind::PlatformUnavailable,
                    Failure->Kind == ErrorKind::Unauthorized
                        ? "the configuration may be outdated and has no such "
                          "key"
                        : "the configuration may be outdated and has no such "
                          "route",
                    NotRun::Proved,
                    {}};
  co_return Failure;
}

Task<void> Relay::Impl::confirmCatalog(TimePoint Deadline) {
  auto Confirming = asExpected(Configuration.Confirm(Deadline));
  co_await waitUntil(Stop.SendBy, std::move(Confirming));
}

Task<void> Relay::Impl::listEndpoints(TimePoint Deadline) {
  if (!ListEndpoints)
    co_return;
  if (IsListing) {
    // A common deadline: another one would wake all that wait already.
    auto Listed = asExpected(EndpointsListed.wait(ListingUntil));
    co_await waitUntil(Deadline, std::move(Listed));
    co_return;
  }
  if (steadyNow() < NextListingAt)
    co_return;
  IsListing = true;
  ListingUntil = Deadline;
  NextListingAt = steadyNow() + ListingInterval;
  const std::size_t Before = Endpoints.size();
  co_await ListEndpoints(Deadline);
  IsListing = false;
  LogLine("entry.endpoints_listed")
      .with("before", Before)
      .with("endpoints", Endpoints.size())
      .with("catalog_age_ms", formatMillis(catalogAge()));
  EndpointsListed.raise();
}

Task<void> Relay::Impl::serve(HttpExchange &Caller) {
  const auto Context = std::make_shared<RequestContext>(Io, Caller, Memory);
  std::optional<Error> Failure = co_await prepareConfirmed(*Context);
  if (Failure) {
    co_await refuseRequest(*Context, std::move(*Failure));
    co_return;
  }
  Failure = refusalUnderLoad(*Context);
  if (Failure) {
    co_await refuseRequest(*Context, std::move(*Failure));
    co_return;
  }
  Context->Body = std::move(Caller.request().Body);
  Failure = holdRequest(*Context, 0);
  if (Failure) {
    co_await refuseRequest(*Context, std::move(*Failure));
    co_return;
  }
  if (awaitsUseNews(*Context)) {
    // A common deadline, as for a listing.
    auto Awaiting = asExpected(UseNewsReceived.wait(FirstNewsUntil));
    co_await waitUntil(waitLimit(Context->Deadline, internal::MaxNewsWait),
                       std::move(Awaiting));
  }
  Failure = admitToWorkspace(*Context);
  if (Failure) {
    co_await refuseRequest(*Context, std::move(*Failure));
    co_return;
  }
  if (!Context->Use || !Context->Use->NeedsKnownProgram)
    Programs.note(Context->program(), steadyNow());
  if (!Endpoints.isListed(Context->Service)) {
    const TimePoint Deadline =
        waitLimit(Context->Deadline, StoreConfirmTimeout);
    auto Listing = asExpected(listEndpoints(Deadline));
    co_await waitUntil(Stop.SendBy, std::move(Listing));
  }
  Caller.onCallerDisconnect([Context] {
    Context->CallerDisconnected = true;
    Context->abortCalls();
  });
  Caller.onCallerEndOfSending([Context] {
    const TimePoint EndedAt = *Context->Caller.callerEndedSendingAt();
    Context->GraceOver = steadyNow() >= EndedAt + EndOfSendingGrace;
    if (!Context->GraceOver)
      startGrace(*Context, EndedAt);
  });
  Running.insert(Context);
  startDeadline(Context);
  if (Context->MatchedRoute.Kind == RequestKind::Stream) {
    co_await serveTurn(*Context);
  } else {
    co_await servePlain(*Context);
  }
  endUse(*Context);
  Running.erase(Context);
  Context->DeadlineTimer.cancel();
  Context->GraceTimer.cancel();
  Context->Ended = true;
  Caller.onCallerDisconnect(nullptr);
  Caller.onCallerEndOfSending(nullptr);
  Context->Current.Call.reset();
  Context->Second.reset();
}

void Relay::Impl::startDeadline(
    const std::shared_ptr<RequestContext> &Context) {
  if (Stop.AnswerBy < Context->Deadline) {
    Context->Deadline = Stop.AnswerBy;
    Context->DeadlineReason = "the process is shutting down";
  }
  Context->DeadlineTimer.expires_at(Context->Deadline);
  Context->DeadlineTimer.async_wait([Context](const ErrorCode &Cancelled) {
    if (Cancelled)
      return;
    Context->Expired = true;
    Context->abortCalls();
  });
}

void Relay::Impl::startGrace(RequestContext &Context, TimePoint Start) {
  Context.GraceTimer.expires_at(Start + EndOfSendingGrace);
  Context.GraceTimer.async_wait([Self = Context.shared_from_this()](
                                    const ErrorCode &Cancelled) {
    // This handler may have been queued before the request ended, or before the
    // timer was started again.
    if (Cancelled || Self->Ended || steadyNow() < Self->GraceTimer.expiry() ||
        Self->Caller.isCallerKnownToRead())
      return;
    Self->GraceOver = true;
    if (Self->isGivenUp())
      Self->abortCalls();
  });
}

Task<void> Relay::Impl::refuseRequest(RequestContext &Context, Error Failure) {
  const ErrorAnswer &Mapping = answerOf(Failure.Kind);
  LogLine("entry.refused")
      .with("request", Context.Metadata.RequestId)
      .with("route", Context.MatchedRoute.Name)
      .with("catalog", ActiveCatalog.Version)
      .with("catalog_age_ms", formatMillis(catalogAge()))
      .with("workspace", Context.Workspace.value_or(WorkspaceId()))
      .with("program", Context.Metadata.Program)
      .with("kind", Mapping.Name)
      .with("status", Mapping.HttpStatus)
      .with("digest", Failure.Kind == ErrorKind::CrashesEndpoints
                          ? Context.Digest
                          : RequestDigest())
      .with("runs", Context.PossibleRuns)
      .with("reason", Failure.Message)
      .with("took_ms", steadyNow() - Context.Caller.requestReadAt())
      .with("left", Context.CallerDisconnected ? 1 : 0)
      .with("sending_ended", Context.Caller.hasCallerEndedSending() ? 1 : 0);
  Metrics.countRefusal(Failure.Kind);
  if (Context.CallerDisconnected) {
    Metrics.countDisconnectedCaller();
    co_return;
  }
  HttpResponse Answer{{Mapping.HttpStatus, {}}, Failure.Message + "\n"};
  Answer.Head.Fields.add("Content-Type", "text/plain");
  const bool MayRetry = Mapping.HttpStatus == 503 || Mapping.HttpStatus == 429;
  if (MayRetry && Mapping.RetryAfter.count() > 0)
    Answer.Head.Fields.add("Retry-After",
                           formatSeconds(retryAfter(Context, Failure.Kind)));
  if (isLocalCause(Failure.Kind))
    Context.Caller.closeAfterResponse();
  Metrics.countAnswer(Mapping.HttpStatus,
                      steadyNow() - Context.Caller.requestReadAt());
  co_await Context.Caller.answer(std::move(Answer));
}

std::optional<Error> Relay::Impl::holdRequest(RequestContext &Context,
                                              std::size_t ChainBytes) {
  const std::size_t BodyBytes = Context.Body.size();
  // The chain, the encoded request, and the input of a turn that is stored.
  const std::size_t Copies = ChainBytes + ChainBytes + BodyBytes +
                             (storesTurn(Context) ? BodyBytes : 0);
  if (Context.RequestMemory.resize(Copies))
    return std::nullopt;
  const bool MayFitLater = Memory->canEverHold(BodyBytes + Copies);
  return Error{MayFitLater ? ErrorKind::Overloaded : ErrorKind::BodyTooLarge,
               MayFitLater ? "too little memory is left for the request"
                           : "the request with the turns before it is too long",
               NotRun::Proved,
               {}};
}

Task<void> Relay::Impl::forwardResponse(RequestContext &Context,
                                        EndpointId From,
                                        HttpResponse Response) {
  LogLine("entry.answer")
      .with("request", Context.Metadata.RequestId)
      .with("route", Context.MatchedRoute.Name)
      .with("workspace", Context.Workspace.value_or(WorkspaceId()))
      .with("endpoint", From)
      .with("status", Response.Head.Status)
      .with("tried", Context.TriedEndpoints.size())
      .with("took_ms", steadyNow() - Context.Caller.requestReadAt());
  Metrics.countAnswer(Response.Head.Status,
                      steadyNow() - Context.Caller.requestReadAt());
  removeHopByHop(Response.Head.Fields);
  co_await Context.Caller.answer(std::move(Response));
}

Task<void> Relay::Impl::servePlain(RequestContext &Context) {
  std::string FailureReason = "no endpoint is available";
  Metrics.countSingleRequest();
  Hedges.onRequest(Context.Service, steadyNow());
  while (!Context.isCancelled()) {
    std::optional<EndpointEntry> To = chooseNextEndpoint(Context);
    if (!To && Context.RateLimitDelay && Context.PossibleRuns == 0)
      FailureReason = RateLimitReason;
    if (!To)
      break;
    AttemptResult Result = co_await attemptHedged(Context, *To);
    if (Result.Outcome == AttemptOutcome::Answered) {
      co_await forwardResponse(Context, To->Endpoint,
                               std::move(Result.Response));
      co_return;
    }
    FailureReason = Result.FailureReason;
    const bool MayRepeat =
        Context.MatchedRoute.Kind == RequestKind::Idempotent &&
        Context.PossibleRuns < Context.MatchedRoute.MaxAttempts;
    if (Result.Outcome == AttemptOutcome::Indeterminate &&
        (!MayRepeat || Crashes.isBlocked(Context.Digest, steadyNow())))
      break;
  }
  Error Failure{ErrorKind::Overloaded,
                cancellationReason(Context).value_or(FailureReason),
                NotRun::Proved,
                {}};
  if (isSendingOver())
    Failure = leavingError();
  if (Context.PossibleRuns > 0)
    Failure = unprovedError(Context, std::move(FailureReason));
  co_await refuseRequest(Context, std::move(Failure));
}

} // namespace tamarack
