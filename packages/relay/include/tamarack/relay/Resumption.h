/// Decides at which software version a stream goes on that a caller resumes.
///
///   const ResumptionDecision Decision = decideResumption(Facts, Endpoints);
///   if (!Decision.Target)
///     ... refuse the request as not run ...
///
/// What endpoints of two versions generate does not fit together, so a stream
/// of unknown version goes on only if its service has had a single version all
/// the time in which the stream may have begun.
#ifndef TAMARACK_RELAY_RESUMPTION_H
#define TAMARACK_RELAY_RESUMPTION_H

#include "tamarack/relay/EndpointTable.h"
#include "tamarack/turns/StreamOrigin.h"

#include <optional>
#include <set>

namespace tamarack {

enum class ResumptionOutcome {
  /// The stream goes on at the version that began it.
  KnownVersion,
  /// It is not known where the stream began, but only one version may have
  /// begun it.
  OnlyVersion,
  /// The version that began the stream is not known.
  UnknownVersion,
  /// No endpoint of the version is ready.
  VersionUnavailable,
  /// Too few ledgers answered.
  LedgersUnavailable,
  /// The list of endpoints of this process is older than that of others.
  OutdatedList,
};

/// The label value of \p Outcome.
const char *nameOf(ResumptionOutcome Outcome);

struct ResumptionFacts {
  Route MatchedRoute;
  /// The service that a new stream of the same program would get.
  ServiceId Service;
  /// Whether earlier requests of the stream got that service too.
  bool IsServiceStable = true;
  /// Where the stream began; empty if the ledgers do not know.
  std::optional<StreamOrigin> Origin;
  /// The versions at which streams began that may still be resumed.
  std::set<ServiceVersion> OriginVersions;
};

struct ResumptionDecision {
  ResumptionOutcome Outcome = ResumptionOutcome::UnknownVersion;
  /// Where the stream goes on; empty if it does not.
  std::optional<ServiceVersion> Target;
};

ResumptionDecision decideResumption(const ResumptionFacts &Facts,
                                    const EndpointTable &Endpoints);

} // namespace tamarack

#endif // TAMARACK_RELAY_RESUMPTION_H
