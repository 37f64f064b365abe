#include "RelayImpl.h"

namespace tamarack {

std::optional<Error> Relay::Impl::refusalOf(const ExplainedRequest &Request,
                                            const Route *Found) const {
  if (ActiveCatalog.Version == 0)
    return Error{ErrorKind::PlatformUnavailable,
                 "no configuration is known yet",
                 NotRun::Proved,
                 {}};
  if (Found == nullptr)
    return Error{ErrorKind::UnknownService,
                 "no route matches the host and path of the request",
                 NotRun::Proved,
                 {}};
  if (ActiveCatalog.Workspaces && !Found->IsPublic &&
      Workspaces.findByName(Request.Workspace) == nullptr)
    return Error{ErrorKind::Unauthorized,
                 "the request has no key of a workspace",
                 NotRun::Proved,
                 {}};
  if (Found->Kind == RequestKind::Stream && Ledgers.isCutOff())
    return Error{ErrorKind::NotEnoughCopies,
                 "too few ledgers can be reached",
                 NotRun::Proved,
                 {}};
  return std::nullopt;
}

Explanation Relay::explain(const ExplainedRequest &Request) const {
  const TimePoint Now = steadyNow();
  Explanation Result;
  Result.CatalogVersion = Inner->ActiveCatalog.Version;
  Result.CatalogAge = Inner->catalogAge();
  Result.NewsAge = Inner->Endpoints.remoteNewsAge(Now);
  Result.ReachesLedgers = Inner->Ledgers.isReachable();
  Result.Behind = Inner->Delay.value();
  const Route *Found =
      matchRoute(Inner->ActiveCatalog, Request.Host, Request.Target);
  if (Found != nullptr) {
    Result.Route = Found->Name;
    Result.Service = chooseService(*Found, stableHash(Request.Program.text()));
    if (!Found->IsPublic)
      Result.Workspace = Request.Workspace;
  }
  const auto RefuseWith = [&Result](const Error &Failure) {
    Result.Refusal = Failure.Kind;
    Result.RefusalReason = Failure.Message;
  };
  if (const auto Failure = Inner->refusalOf(Request, Found)) {
    RefuseWith(*Failure);
    return Result;
  }
  const Workspace *Owner = Inner->Workspaces.findByName(Result.Workspace);
  if (Owner != nullptr && hasLimit(*Owner)) {
    Result.Allowance = {Owner->RequestsPerSecond, Owner->Burst,
                        Inner->Limits.limit(*Owner),
                        Inner->Limits.used(Owner->Name, Now)};
    const bool IsFirst =
        Found->Kind == RequestKind::Stream && Request.LastEndpoint.empty();
    const ProgramPhase Phase =
        IsFirst ? ProgramPhase::FirstTurn : ProgramPhase::UnderWay;
    if (!Inner->Limits.admits(*Owner, Phase, Now)) {
      Result.RetryAfter = Inner->Limits.delay(*Owner, Phase, Now);
      RefuseWith({ErrorKind::RateLimited,
                  "the workspace is at its limit",
                  NotRun::Proved,
                  {}});
      return Result;
    }
  }
  EndpointQuery Query{
      Result.Service, {}, Request.Prompt, Request.LastEndpoint, {}};
  if (Found->Kind == RequestKind::Stream)
    Query.AffinityKey = Request.Program.text();
  Result.Endpoints = Inner->Endpoints.candidates(Query, Now);
  if (!Result.Endpoints.empty())
    return Result;
  Result.RetryAfter = Inner->Endpoints.rateLimitDelay(Query, Now);
  RefuseWith({ErrorKind::Overloaded,
              Result.RetryAfter ? internal::RateLimitReason
                                : "no endpoint is available",
              NotRun::Proved,
              {}});
  return Result;
}

} // namespace tamarack
