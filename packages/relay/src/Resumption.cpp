#include "tamarack/relay/Resumption.h"

#include <algorithm>

namespace tamarack {
namespace {

ResumptionDecision continueAt(const ServiceVersion &Target,
                              ResumptionOutcome Outcome,
                              const EndpointTable &Endpoints) {
  if (!Endpoints.isServed(Target))
    return {ResumptionOutcome::VersionUnavailable, {}};
  return {Outcome, Target};
}

bool isServedBy(const Route &MatchedRoute, const ServiceId &Service) {
  return std::any_of(
      MatchedRoute.Services.begin(), MatchedRoute.Services.end(),
      [&](const ServiceShare &Share) { return Share.Service == Service; });
}

} // namespace

const char *nameOf(ResumptionOutcome Outcome) {
  switch (Outcome) {
  case ResumptionOutcome::KnownVersion:
    return "known_version";
  case ResumptionOutcome::OnlyVersion:
    return "only_version";
  case ResumptionOutcome::UnknownVersion:
    return "unknown_version";
  case ResumptionOutcome::VersionUnavailable:
    return "version_unavailable";
  case ResumptionOutcome::LedgersUnavailable:
    return "ledgers_unavailable";
  case ResumptionOutcome::OutdatedList:
    return "outdated_list";
  }
  return "unknown";
}

ResumptionDecision decideResumption(const ResumptionFacts &Facts,
                                    const EndpointTable &Endpoints) {
  if (Facts.Origin && !Facts.Origin->Process)
    return {ResumptionOutcome::UnknownVersion, {}};
  if (Facts.Origin) {
    const EndpointProcess &Begun = *Facts.Origin->Process;
    // The endpoint may have been replaced before it got the turn, while the
    // entry still had its old version.
    const EndpointEntry *Listed = Endpoints.find(Begun.Endpoint);
    if (Listed != nullptr && Listed->Version != Begun.Runs.Version)
      return {ResumptionOutcome::UnknownVersion, {}};
    if (!isServedBy(Facts.MatchedRoute, Begun.Runs.Service))
      return {ResumptionOutcome::VersionUnavailable, {}};
    return continueAt(Begun.Runs, ResumptionOutcome::KnownVersion, Endpoints);
  }
  std::set<SoftwareVersion> Versions = Endpoints.versionsOf(Facts.Service);
  for (const ServiceVersion &Begun : Facts.OriginVersions)
    if (Begun.Service == Facts.Service)
      Versions.insert(Begun.Version);
  if (Versions.size() != 1 || !Facts.IsServiceStable)
    return {ResumptionOutcome::UnknownVersion, {}};
  return continueAt({Facts.Service, *Versions.begin()},
                    ResumptionOutcome::OnlyVersion, Endpoints);
}

} // namespace tamarack
