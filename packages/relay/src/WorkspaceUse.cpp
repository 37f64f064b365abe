#include "RelayImpl.h"

#include <cmath>

namespace tamarack {

using internal::LimitedUse;
using internal::RequestContext;

namespace {

/// The timeout of an exchange with one ledger, shorter than news are valid, so
/// that another ledger is asked in time.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds(400);
/// How long another ledger is asked in place of one that did not answer.
constexpr Duration SilentPeriod = std::chrono::seconds(2);
/// How often a configuration without limits is looked at for new ones, and the
/// first one for any: until there are news, an entry refuses what others might
/// have sent.
constexpr Duration UnlimitedInterval = std::chrono::milliseconds(500);
constexpr Duration StartInterval = std::chrono::milliseconds(20);
/// Callers that are refused together are told times that differ by this part.
constexpr double SpreadPart = 0.5;

/// \p Span, spread by a hash of \p Key.
Duration spread(Duration Span, const std::string &Key) {
  constexpr std::uint64_t Steps = 1000;
  const double Place = static_cast<double>(stableHash(Key) % Steps) / Steps;
  return std::chrono::duration_cast<Duration>(Span *
                                              (1 + SpreadPart * (Place - 0.5)));
}

} // namespace

const Workspace *
Relay::Impl::limitedWorkspace(const RequestContext &Context) const {
  if (!HasLimits || !Context.Workspace)
    return nullptr;
  const Workspace *Owner = Workspaces.findByName(*Context.Workspace);
  return Owner != nullptr && hasLimit(*Owner) ? Owner : nullptr;
}

bool Relay::Impl::awaitsUseNews(const RequestContext &Context) const {
  const TimePoint Now = steadyNow();
  return Now < FirstNewsUntil && limitedWorkspace(Context) != nullptr &&
         !Limits.hasNews(Now);
}

std::optional<Error> Relay::Impl::admitToWorkspace(RequestContext &Context) {
  const Workspace *Owner = limitedWorkspace(Context);
  if (Owner == nullptr)
    return std::nullopt;
  const TimePoint Now = steadyNow();
  const RequestMetadata &Metadata = Context.Metadata;
  const bool MayBegin = Context.MatchedRoute.Kind == RequestKind::Stream &&
                        !Metadata.Program.empty() &&
                        Metadata.Previous.empty() && !isResumption(Metadata) &&
                        !Programs.isUnderWay(Context.program(), Now);
  ProgramPhase Phase =
      MayBegin ? ProgramPhase::FirstTurn : ProgramPhase::UnderWay;
  LimitedUse Use{Now, false, {}, false};
  if (!Limits.admits(*Owner, Phase, Now)) {
    // Another entry may have served the program, which the ledgers tell with
    // the reservation.
    Use.NeedsKnownProgram = MayBegin && Metadata.Budget &&
                            Limits.admits(*Owner, ProgramPhase::UnderWay, Now);
    if (!Use.NeedsKnownProgram)
      return workspaceLimitError(Context, *Owner, Phase);
    Phase = ProgramPhase::UnderWay;
  }
  if (Phase == ProgramPhase::FirstTurn)
    Use.BegunAt = Now;
  Limits.onAdmitted(*Owner, Phase, Now);
  Context.Use = Use;
  return std::nullopt;
}

std::optional<Error> Relay::Impl::confirmProgram(RequestContext &Context) {
  if (!Context.Use)
    return std::nullopt;
  LimitedUse &Use = *Context.Use;
  if (Context.HasEarlierTurns && Use.BegunAt) {
    Limits.takeBackFirstTurn(*Context.Workspace, *Use.BegunAt);
    Use.BegunAt.reset();
  }
  if (!std::exchange(Use.NeedsKnownProgram, false))
    return std::nullopt;
  const Workspace *Owner = limitedWorkspace(Context);
  if (!Context.HasEarlierTurns && Owner != nullptr)
    return workspaceLimitError(Context, *Owner, ProgramPhase::FirstTurn);
  Programs.note(Context.program(), steadyNow());
  return std::nullopt;
}

Error Relay::Impl::workspaceLimitError(RequestContext &Context,
                                       const Workspace &Of,
                                       ProgramPhase Phase) {
  const TimePoint Now = steadyNow();
  Limits.onRefused(Of, Phase, Now);
  Context.WorkspaceDelay =
      spread(Limits.delay(Of, Phase, Now), Context.Metadata.RequestId);
  const auto Rounded = [](double Count) {
    return std::to_string(std::lround(Count));
  };
  const std::string Used = Rounded(Limits.used(Of.Name, Now)) + " of " +
                           Rounded(Limits.limit(Of)) + " requests";
  return {ErrorKind::RateLimited,
          Phase == ProgramPhase::FirstTurn
              ? "the workspace has used " + Used +
                    ", and programs under way need the rest"
              : "the workspace has used " + Used,
          NotRun::Proved,
          {}};
}

void Relay::Impl::countSent(RequestContext &Context) {
  if (!Context.Use)
    return;
  LimitedUse &Use = *Context.Use;
  if (Use.CountedAt && !Use.IsSent)
    Limits.takeBack(*Context.Workspace, *Use.CountedAt);
  Use.CountedAt = steadyNow();
  Use.IsSent = true;
  Limits.onSent(*Context.Workspace, *Use.CountedAt);
}

void Relay::Impl::countNotRun(RequestContext &Context) {
  if (!Context.Use || !Context.Use->CountedAt)
    return;
  Limits.takeBack(*Context.Workspace, *Context.Use->CountedAt);
  Context.Use->CountedAt.reset();
  Context.Use->IsSent = false;
}

void Relay::Impl::endUse(RequestContext &Context) {
  if (!Context.Use)
    return;
  const LimitedUse &Use = *Context.Use;
  if (Use.CountedAt && !Use.IsSent)
    Limits.takeBack(*Context.Workspace, *Use.CountedAt);
  if (Use.BegunAt && Context.PossibleRuns == 0)
    Limits.takeBackFirstTurn(*Context.Workspace, *Use.BegunAt);
}

Task<void> Relay::Impl::exchangeWorkspaceUse() {
  while (true) {
    const bool IsStarting =
        ActiveCatalog.Version == 0 || Ledgers.view().Members.empty();
    if (IsStarting || !HasLimits) {
      const Duration Wait = IsStarting ? StartInterval : UnlimitedInterval;
      co_await pause(Io, Wait);
      continue;
    }
    const TimePoint Now = steadyNow();
    WorkspaceReport Report{Instance, ProcessId, {}, {}, {}};
    Limits.fillReport(Report, Now);
    const auto IsSilent = [&](const std::string &Address) {
      return UsePeers[Address].SilentUntil > Now;
    };
    for (const std::string &Address :
         reportTargets(Ledgers.view(), Distance, IsSilent))
      if (!UsePeers[Address].IsCalled)
        spawn(Io, exchangeUseWith(Address, Report));
    logUseNews();
    const Duration Interval = Limits.reportInterval(Now);
    co_await pause(Io, Interval);
  }
}

Task<void> Relay::Impl::exchangeUseWith(std::string Address,
                                        WorkspaceReport Report) {
  UsePeer &Peer = UsePeers[Address];
  Peer.IsCalled = true;
  const TimePoint ReportedAt = steadyNow();
  const Expected<Json> Answer = co_await Ledgers.call(
      Address, calls::Workspaces, Json(Report), ReportedAt + ExchangeTimeout);
  Peer.IsCalled = false;
  if (!Answer) {
    Peer.SilentUntil = steadyNow() + SilentPeriod;
    co_return;
  }
  try {
    Limits.setNews(Address, Answer->get<WorkspaceNews>(), ReportedAt,
                   steadyNow());
    UseNewsReceived.raise();
  } catch (const Json::exception &Failure) {
    Peer.SilentUntil = steadyNow() + SilentPeriod;
    LogLine("entry.workspace_news_refused")
        .with("peer", Address)
        .with("reason", Failure.what());
  }
}

void Relay::Impl::logUseNews() {
  const TimePoint Now = steadyNow();
  if (Limits.hasNews(Now) == HadUseNews)
    return;
  HadUseNews = !HadUseNews;
  LogLine("entry.workspace_news")
      .with("outcome", HadUseNews ? "received" : "missing")
      .with("reporters", Limits.reporters(Now))
      .with("near_limit", Limits.nearLimit(Now));
}

} // namespace tamarack
