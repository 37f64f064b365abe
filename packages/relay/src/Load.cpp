#include "RelayImpl.h"

namespace tamarack {

using internal::RequestContext;

namespace {

/// After so many refusals of the readiness check no new connections come, so
/// that callers which open one reach another entry.
constexpr int AnswersUntilOut = 2;
/// Kept connections are closed until the delay has fallen below this part of
/// what makes turns late.
constexpr int ReliefDivisor = 2;
/// The longest that a caller is told to wait for the entry to catch up.
constexpr Duration MaxCatchUpWait = std::chrono::milliseconds(500);

} // namespace

bool Relay::Impl::isReady() const {
  return ActiveCatalog.Version > 0 && Endpoints.size() > 0 &&
         Ledgers.hasView() && Ledgers.isReachable() && !Rotation.isOut();
}

EntryLoad Relay::Impl::ownLoad() const {
  return {Delay.value(), DataCentre, Ledgers.isReachable(), isReady()};
}

bool Relay::Impl::closesConnections() const {
  return Rotation.isOut() && UnreadyAnswers >= AnswersUntilOut && TurnTarget &&
         Delay.value() * WaitsPerTurn > *TurnTarget / ReliefDivisor;
}

Task<void> Relay::Impl::watchLoad() {
  asio::steady_timer Timer(Io);
  while (true) {
    const TimePoint DueAt = steadyNow() + LoopDelay::ProbeInterval;
    Timer.expires_at(DueAt);
    ErrorCode Ignored;
    co_await Timer.async_wait(storeErrorIn(Ignored));
    const TimePoint Now = steadyNow();
    const Duration Late = std::max(Duration(0), Now - DueAt);
    Delay.observe(Late);
    Metrics.observeLoopDelay(Late);
    updateRotation(Now);
  }
}

void Relay::Impl::updateRotation(TimePoint Now) {
  if (!TurnTarget || DataCentre.empty())
    return;
  const bool WasBehind = Rotation.isBehind();
  const bool WasOut = Rotation.isOut();
  Rotation.update(Delay.value(), *TurnTarget, Now);
  if (Rotation.isBehind() != WasBehind)
    LogLine(WasBehind ? "entry.caught_up" : "entry.behind")
        .with("delay_ms", Delay.value())
        .with("target_ms", *TurnTarget)
        .with("running", Running.size());
  if (Rotation.isOut() != WasOut)
    LogLine(WasOut ? "entry.rotation_joined" : "entry.rotation_left")
        .with("delay_ms", Delay.value())
        .with("entries", Rotation.known())
        .with("others_ready", Rotation.othersReady(Now))
        .with("running", Running.size());
}

std::optional<Error> Relay::Impl::refusalUnderLoad(RequestContext &Context) {
  const TimePoint Now = steadyNow();
  const RequestMetadata &Metadata = Context.Metadata;
  const bool IsBusy =
      Delay.value() * WaitsPerTurn > Context.MatchedRoute.TargetLatency;
  LoadDemand Demand;
  Demand.IsTurn = Context.MatchedRoute.Kind == RequestKind::Stream;
  Demand.IsFirst = IsBusy && Metadata.Previous.empty() &&
                   !isResumption(Metadata) &&
                   !Programs.isUnderWay(Context.program(), Now);
  Demand.TargetLatency = Context.MatchedRoute.TargetLatency;
  Demand.TimeLeft = Context.Deadline - Now;
  Demand.IsElsewhereBetter =
      IsBusy && Rotation.isElsewhereBetter(Delay.value(), Now);
  const LoadVerdict Verdict = judgeLoad(Delay.value(), Demand);
  if (Verdict == LoadVerdict::Admitted) {
    if (closesConnections())
      Context.Caller.closeAfterResponse();
    return std::nullopt;
  }
  const Duration CatchUp = Delay.value() * WaitsPerTurn / 2;
  Context.LoadDelay = Demand.IsElsewhereBetter
                          ? Duration(0)
                          : std::min(CatchUp, MaxCatchUpWait);
  return Error{ErrorKind::EntryBusy,
               Verdict == LoadVerdict::TooBusy
                   ? "the entry is behind and takes no new programs"
                   : "the entry is behind, and the request has too little time",
               NotRun::Proved,
               {}};
}

} // namespace tamarack
