/// Takes failing endpoints out of the choice and probes them back in.
///
/// Consecutive failures eject an endpoint, for longer each time. Never more
/// than a bounded share of the fleet is ejected, so that a fault of our own
/// or of a shared dependency cannot empty it:
///
///   Fleet = onFailure(std::move(Fleet), Endpoint, Limits, Now);
///   View.Ejected = isEjected(Fleet, Endpoint);
///   if (auto Due = probeDue(Fleet, Now))
///     Fleet = onProbeSent(std::move(Fleet), *Due, Limits, Now);
///
/// A success of the probe brings the endpoint back, a failure ejects it for
/// twice as long, a lost probe is sent again.
#ifndef TAMARACK_ROUTING_HEALTH_H
#define TAMARACK_ROUTING_HEALTH_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarack {

struct HealthLimits {
  unsigned EjectAfterFailures = 5;
  Duration FirstEjection = std::chrono::seconds(5);
  Duration LongestEjection = std::chrono::minutes(5);
  Duration ProbeTimeout = std::chrono::seconds(10);
  double LargestEjectedShare = 0.3;

  auto tied() const {
    return std::tie(EjectAfterFailures, FirstEjection, LongestEjection,
                    ProbeTimeout, LargestEjectedShare);
  }
};

struct EndpointHealth {
  unsigned ConsecutiveFailures = 0;
  /// Ejections since it last proved itself.
  unsigned Ejections = 0;
  bool Ejected = false;
  /// Ejected, and a probe is under way.
  bool Probing = false;
  /// When an ejected endpoint is probed next.
  TimePoint ProbeAt;

  auto tied() const {
    return std::tie(ConsecutiveFailures, Ejections, Ejected, Probing, ProbeAt);
  }
};

struct FleetHealth {
  /// One for each endpoint of the fleet.
  std::map<EndpointId, EndpointHealth> Endpoints;

  auto tied() const { return std::tie(Endpoints); }
};

/// Sets the fleet: the endpoints that serve one model or service. Those that
/// left are forgotten, and if too many of the rest are ejected, those due
/// first are taken back.
FleetHealth onFleet(FleetHealth Fleet, const std::vector<EndpointId> &Endpoints,
                    const HealthLimits &Limits);

FleetHealth onSuccess(FleetHealth Fleet, const EndpointId &Endpoint);
FleetHealth onFailure(FleetHealth Fleet, const EndpointId &Endpoint,
                      const HealthLimits &Limits, TimePoint Now);
FleetHealth onProbeSent(FleetHealth Fleet, const EndpointId &Endpoint,
                        const HealthLimits &Limits, TimePoint Now);

bool isEjected(const FleetHealth &Fleet, const EndpointId &Endpoint);
/// The ejected endpoint that is due for a probe for the longest time.
std::optional<EndpointId> probeDue(const FleetHealth &Fleet, TimePoint Now);
std::size_t ejectedCount(const FleetHealth &Fleet);
/// The bounded share of \p FleetSize, but one of two or more.
std::size_t mostEjected(std::size_t FleetSize, const HealthLimits &Limits);

} // namespace tamarack

#endif // TAMARACK_ROUTING_HEALTH_H
