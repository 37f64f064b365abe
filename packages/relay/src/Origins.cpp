#include "RelayImpl.h"

#include <algorithm>

namespace tamarack {

using internal::formatMillis;
using internal::LedgerTimeout;
using internal::RequestContext;
using internal::StoreConfirmTimeout;

namespace {

/// The maximum length of the id of a request whose stream can be resumed.
constexpr std::size_t MaxResumedIdBytes = 256;
/// Entries that can reach a ledger confirm their lists of endpoints within half
/// a second of it.
constexpr Duration MaxListLag = std::chrono::seconds(1);

std::string clipped(const std::string &Text) {
  return Text.substr(0, MaxResumedIdBytes);
}

} // namespace

TurnId Relay::Impl::resumedTurn(const RequestMetadata &Metadata) {
  return Metadata.ResumedTurn.text().size() > MaxResumedIdBytes
             ? TurnId()
             : Metadata.ResumedTurn;
}

bool Relay::Impl::storesOrigin(const RequestContext &Context) const {
  return Context.MatchedRoute.Resumable && !isResumption(Context.Metadata);
}

TurnRecord Relay::Impl::openRecord(const RequestContext &Context) const {
  const RequestMetadata &Metadata = Context.Metadata;
  // A stream without a program is a program of its own, with the id of the
  // request that began it.
  const TurnId Resumed = resumedTurn(Metadata);
  const std::string &Own =
      Resumed.empty() ? Metadata.RequestId : Resumed.text();
  return {Context.programNamed(
              Metadata.Program.empty() ? Own : Metadata.Program.text()),
          Context.turn(),
          {Metadata.Budget ? Metadata.MaxTurnTokens : 0, false},
          nullptr,
          {},
          Context.Origin};
}

void Relay::Impl::setOrigin(RequestContext &Context,
                            const EndpointEntry &To) const {
  const Duration Wait =
      std::max(Context.Metadata.TimeLeft.value_or(Duration(0)),
               Context.MatchedRoute.Timeout);
  Context.Origin = StreamOrigin{
      Context.Origin ? Context.Origin->Attempt + 1 : 1, Wait,
      EndpointProcess{To.Endpoint, To.StartedAt, {To.Service, To.Version}}};
}

bool Relay::Impl::holdsOrigin(const RequestContext &Context,
                              const EndpointEntry &To) const {
  if (!storesOrigin(Context))
    return true;
  if (!Context.Origin || !Context.Origin->Process)
    return false;
  const EndpointProcess &Stored = *Context.Origin->Process;
  if (Stored.Runs != ServiceVersion{To.Service, To.Version})
    return false;
  // Processes of the only version are interchangeable.
  return (Stored.Endpoint == To.Endpoint && Stored.StartedAt == To.StartedAt) ||
         Endpoints.versionsOf(To.Service).size() == 1;
}

Task<std::optional<Error>> Relay::Impl::replaceOrigin(RequestContext &Context,
                                                      EndpointEntry To) {
  setOrigin(Context, To);
  TurnUpdate Update{openRecord(Context), {}};
  auto Storing = Ledgers.storeRecord(std::move(Update),
                                     waitLimit(Context.Deadline, LedgerTimeout),
                                     StoreEffort::UntilCutOff);
  const Expected<QuorumProgramState> Stored =
      co_await waitUntil(Stop.SendBy, std::move(Storing));
  LogLine("entry.origin")
      .with("request", Context.Metadata.RequestId)
      .with("endpoint", To.Endpoint)
      .with("version", To.Version)
      .with("attempt", Context.Origin->Attempt)
      .with("outcome", Stored ? "stored" : "not_stored");
  if (Stored)
    co_return std::nullopt;
  co_return Error{
      ErrorKind::NotEnoughCopies, Stored.error().Message, NotRun::Proved, {}};
}

void Relay::Impl::forgetOrigin(RequestContext &Context) {
  ++Context.Origin->Attempt;
  Context.Origin->Process.reset();
  LogLine("entry.origin")
      .with("request", Context.Metadata.RequestId)
      .with("endpoint", Context.CurrentEndpoint)
      .with("version", Context.CurrentVersion)
      .with("attempt", Context.Origin->Attempt)
      .with("outcome", "unknown");
  Ledgers.storeRecordInBackground({openRecord(Context), {}});
}

bool Relay::Impl::isVersionInDoubt(const RequestContext &Context) const {
  const EndpointEntry *Listed = Endpoints.find(Context.CurrentEndpoint);
  return Listed != nullptr && Listed->Version != Context.CurrentVersion;
}

bool Relay::Impl::isListOutdated(std::optional<Duration> AgeElsewhere) const {
  const std::optional<Duration> Age = catalogAge();
  return AgeElsewhere && (!Age || *Age > *AgeElsewhere + MaxListLag);
}

bool Relay::Impl::isDecisionOutdated(const RequestContext &Context) const {
  const std::optional<Duration> Age = catalogAge();
  return Context.RequiredVersion &&
         (!Age || *Age > Context.DecidedListAge + MaxListLag);
}

Task<std::optional<Error>>
Relay::Impl::requireVersion(RequestContext &Context,
                            QuorumProgramState Program) {
  if (isListOutdated(Program.EndpointListAge)) {
    const TimePoint Deadline = waitLimit(Context.Deadline, StoreConfirmTimeout);
    co_await confirmCatalog(Deadline);
  }
  if (isListOutdated(Program.EndpointListAge)) {
    recordResumption(Context, Program.ResumedOrigin,
                     ResumptionOutcome::OutdatedList);
    co_return Error{ErrorKind::PlatformUnavailable,
                    "the list of endpoints may be outdated",
                    NotRun::Proved,
                    {}};
  }
  ResumptionFacts Facts;
  Facts.MatchedRoute = Context.MatchedRoute;
  Facts.Service = Context.Service;
  Facts.IsServiceStable = !Context.Metadata.Program.empty() ||
                          Context.MatchedRoute.Services.size() == 1;
  Facts.Origin = Program.ResumedOrigin;
  Facts.OriginVersions = Program.OriginVersions;
  const ResumptionDecision Decision = decideResumption(Facts, Endpoints);
  recordResumption(Context, Facts.Origin, Decision.Outcome);
  if (Decision.Target) {
    Context.Service = Decision.Target->Service;
    Context.RequiredVersion = Decision.Target->Version;
    Context.DecidedListAge = catalogAge().value_or(Duration(0));
    co_return std::nullopt;
  }
  if (Decision.Outcome == ResumptionOutcome::UnknownVersion)
    co_return Error{ErrorKind::UnknownStream,
                    "it is not known at which version the stream began",
                    NotRun::Proved,
                    {}};
  co_return Error{ErrorKind::VersionUnavailable,
                  "no endpoint of the version that began the stream is left",
                  NotRun::Proved,
                  {}};
}

void Relay::Impl::recordResumption(const RequestContext &Context,
                                   const std::optional<StreamOrigin> &Origin,
                                   ResumptionOutcome Outcome) {
  Metrics.countResumption(Outcome);
  const EndpointProcess Begun =
      Origin && Origin->Process ? *Origin->Process : EndpointProcess{};
  LogLine("entry.resume")
      .with("request", Context.Metadata.RequestId)
      .with("resumes", clipped(Context.Metadata.ResumedTurn.text()))
      .with("last_event", clipped(Context.Metadata.LastEventId.value_or("")))
      .with("program", Context.Metadata.Program)
      .with("service", Begun.Runs.Service)
      .with("version", Begun.Runs.Version)
      .with("endpoint", Begun.Endpoint)
      .with("attempt", Origin ? Origin->Attempt : 0)
      .with("list_age_ms", formatMillis(catalogAge()))
      .with("outcome", nameOf(Outcome));
}

} // namespace tamarack
