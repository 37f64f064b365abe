#include "RelayImpl.h"

#include <utility>

namespace tamarack {

using internal::AttemptOutcome;
using internal::AttemptResult;
using internal::isFinal;
using internal::RequestContext;
using internal::SecondAttempt;

namespace {

/// Whether the caller gets the answer of the second attempt. An error of an
/// endpoint is delivered only if there is nothing better.
bool isSecondBetter(const AttemptResult &First,
                    const std::optional<AttemptResult> &Second) {
  if (isFinal(First) || !Second || Second->Outcome != AttemptOutcome::Answered)
    return false;
  return isFinal(*Second) || First.Outcome != AttemptOutcome::Answered;
}

} // namespace

void Relay::Impl::recordDuration(const RequestContext &Context,
                                 TimePoint SentAt) {
  const TimePoint Now = steadyNow();
  if (Context.MatchedRoute.Kind == RequestKind::Idempotent)
    Hedges.onAnswer(Context.Service, Context.MatchedRoute.Name, Now - SentAt,
                    Now);
}

void Relay::Impl::startHedgingTimer(RequestContext &Context, TimePoint SentAt,
                                    const EndpointId &First) {
  if (Context.Second || Context.MatchedRoute.Kind != RequestKind::Idempotent)
    return;
  const std::optional<Duration> Delay =
      Hedges.delay(Context.Service, Context.MatchedRoute.Name, steadyNow());
  if (!Delay)
    return;
  Context.HedgedSince = SentAt;
  if (!Context.HedgingTimer)
    Context.HedgingTimer.emplace(Io);
  Context.HedgingTimer->expires_at(SentAt + *Delay);
  Context.HedgingTimer->async_wait([this, Self = Context.shared_from_this(),
                                    First](const ErrorCode &Cancelled) {
    // This handler may have been queued before the first attempt ended.
    if (!Cancelled && Self->HedgedSince && !Self->isCancelled())
      startSecondAttempt(Self, First);
  });
}

void Relay::Impl::stopHedgingTimer(RequestContext &Context) {
  Context.HedgedSince.reset();
  if (Context.HedgingTimer)
    Context.HedgingTimer->cancel();
}

void Relay::Impl::startSecondAttempt(
    const std::shared_ptr<RequestContext> &Context, const EndpointId &First) {
  const TimePoint Now = steadyNow();
  const TimePoint SentAt = *Context->HedgedSince;
  auto Second = std::make_shared<SecondAttempt>(Io, Memory);
  EndpointQuery Query = endpointQuery(*Context);
  Query.SpareOnly = true;
  const std::optional<EndpointEntry> To = Endpoints.choose(Query, Now);
  HedgingFacts Facts;
  Facts.Service = Context->Service;
  Facts.Route = Context->MatchedRoute.Name;
  Facts.Elapsed = Now - SentAt;
  Facts.TimeLeft = Context->Deadline - Now;
  Facts.PossibleRuns = Context->PossibleRuns;
  Facts.MaxAttempts = Context->MatchedRoute.MaxAttempts;
  Facts.Load = Endpoints.loadOf(Context->Service, Now);
  Facts.IsStopping = Stop != StopPlan();
  Facts.IsSuspect = Query.IsSuspect;
  Facts.HasMemory = Second->RequestMemory.resize(Context->Body.size());
  Facts.HasEndpoint = To.has_value();
  Facts.IsRateLimited = !To && Endpoints.rateLimitDelay(Query, Now);
  if (const auto Refusal = Hedges.refusal(Facts, Now)) {
    if (Refusal == HedgingRefusal::NotDue)
      startHedgingTimer(*Context, SentAt, First);
    else
      Metrics.countSecondAttemptRefusal(*Refusal);
    return;
  }
  Hedges.onSent(Context->Service, Now);
  Second->First = First;
  Second->Endpoint = *To;
  Second->Delay = Facts.Elapsed;
  Context->TriedEndpoints.insert(To->Endpoint);
  Context->Second = Second;
  spawn(Io, runSecondAttempt(Context, std::move(Second)));
}

Task<void>
Relay::Impl::runSecondAttempt(std::shared_ptr<RequestContext> Context,
                              std::shared_ptr<SecondAttempt> Second) {
  AttemptResult Result =
      co_await attemptPlain(*Context, Second->State, Second->Endpoint);
  // The first attempt may be over, and with it the request.
  if (isFinal(Result) && Context->HedgedSince)
    Context->Current.supersede();
  Second->Result = std::move(Result);
  Second->Ended.raise();
}

Task<AttemptResult> Relay::Impl::attemptHedged(RequestContext &Context,
                                               EndpointEntry &To) {
  const bool HadSecond = Context.Second != nullptr;
  AttemptResult First = co_await attemptPlain(Context, Context.Current, To);
  const std::shared_ptr<SecondAttempt> Second = Context.Second;
  if (HadSecond || !Second)
    co_return First;
  while (!isFinal(First) && !Second->Result && !Context.isCancelled()) {
    co_await Second->Ended.wait(Context.Deadline);
  }
  if (!Second->Result)
    Second->State.supersede();
  const bool IsWon = isSecondBetter(First, Second->Result);
  SecondAttemptOutcome Outcome = SecondAttemptOutcome::Failed;
  if (IsWon)
    Outcome = SecondAttemptOutcome::Won;
  else if (First.Outcome == AttemptOutcome::Answered)
    Outcome = SecondAttemptOutcome::Lost;
  Metrics.countSecondAttempt(Outcome);
  LogLine("entry.second_attempt")
      .with("request", Context.Metadata.RequestId)
      .with("route", Context.MatchedRoute.Name)
      .with("first", Second->First)
      .with("second", Second->Endpoint.Endpoint)
      .with("delay_ms", Second->Delay)
      .with("outcome", nameOf(Outcome));
  if (IsWon) {
    To = Second->Endpoint;
    co_return std::move(*Second->Result);
  }
  const bool MayHaveRun = !Second->Result || Second->Result->Outcome ==
                                                 AttemptOutcome::Indeterminate;
  if (First.Outcome == AttemptOutcome::NotRun && MayHaveRun)
    First.Outcome = AttemptOutcome::Indeterminate;
  co_return First;
}

} // namespace tamarack
