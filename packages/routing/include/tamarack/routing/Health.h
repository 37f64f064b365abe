/// Ejects failing endpoints from routing and probes them until they recover.
///
/// Consecutive failures eject an endpoint, for longer each time. The ejected
/// share of the fleet is bounded, so that a fault of the entry itself or of a
/// shared dependency cannot eject all endpoints:
///
///   Fleet = onFailure(std::move(Fleet), Endpoint, Limits, Now);
///   View.Ejected = isEjected(Fleet, Endpoint);
///   if (auto Due = nextDueProbe(Fleet, Now))
///     Fleet = onProbeSent(std::move(Fleet), *Due, Limits, Now);
///
/// A successful probe reinstates the endpoint, a failed one ejects it for twice
/// as long, and a lost one is sent again after a timeout.
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
  /// Consecutive failures.
  unsigned EjectAfterFailures = 5;
  Duration InitialEjection = std::chrono::seconds(5);
  Duration MaxEjection = std::chrono::minutes(5);
  Duration ProbeTimeout = std::chrono::seconds(10);
  /// Of the endpoints of the fleet.
  double MaxEjectedShare = 0.3;

  auto tied() const {
    return std::tie(EjectAfterFailures, InitialEjection, MaxEjection,
                    ProbeTimeout, MaxEjectedShare);
  }
};

struct EndpointHealth {
  unsigned ConsecutiveFailures = 0;
  /// Ejections since the last two consecutive successes.
  unsigned Ejections = 0;
  bool Ejected = false;
  /// Whether it is ejected and a probe is in flight.
  bool Probing = false;
  /// When an ejected endpoint is probed next.
  TimePoint ProbeAt;

  auto tied() const {
    return std::tie(ConsecutiveFailures, Ejections, Ejected, Probing, ProbeAt);
  }
};

struct FleetHealth {
  /// One entry for each endpoint of the fleet.
  std::map<EndpointId, EndpointHealth> Endpoints;

  auto tied() const { return std::tie(Endpoints); }
};

/// Sets the fleet: the endpoints that serve one model or service. Forgets the
/// endpoints that left. If too many of the others are ejected, reinstates those
/// whose probes are due first.
FleetHealth setFleet(FleetHealth Fleet,
                     const std::vector<EndpointId> &Endpoints,
                     const HealthLimits &Limits);

FleetHealth onSuccess(FleetHealth Fleet, const EndpointId &Endpoint);
FleetHealth onFailure(FleetHealth Fleet, const EndpointId &Endpoint,
                      const HealthLimits &Limits, TimePoint Now);
FleetHealth onProbeSent(FleetHealth Fleet, const EndpointId &Endpoint,
                        const HealthLimits &Limits, TimePoint Now);

bool isEjected(const FleetHealth &Fleet, const EndpointId &Endpoint);
/// The ejected endpoint whose probe has been due the longest; empty if no probe
/// is due.
std::optional<EndpointId> nextDueProbe(const FleetHealth &Fleet, TimePoint Now);
std::size_t ejectedCount(const FleetHealth &Fleet);
/// The maximum number of ejected endpoints: the bounded share of \p FleetSize,
/// but at least one in a fleet of two or more.
std::size_t maxEjected(std::size_t FleetSize, const HealthLimits &Limits);

} // namespace tamarack

#endif // TAMARACK_ROUTING_HEALTH_H
