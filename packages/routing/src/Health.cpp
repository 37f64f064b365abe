#include "tamarack/routing/Health.h"

#include <algorithm>

namespace tamarack {
namespace {

Duration ejectionTime(unsigned Ejections, const HealthLimits &Limits) {
  Duration Time = Limits.FirstEjection;
  for (unsigned I = 1; I < Ejections && Time < Limits.LongestEjection; ++I)
    Time *= 2;
  return std::min(Time, Limits.LongestEjection);
}

void eject(EndpointHealth &Health, const HealthLimits &Limits, TimePoint Now) {
  Health.Ejected = true;
  Health.Probing = false;
  ++Health.Ejections;
  Health.ProbeAt = Now + ejectionTime(Health.Ejections, Limits);
}

/// The ejected endpoint whose probe is due first, or null.
const EndpointId *firstDue(const FleetHealth &Fleet) {
  const EndpointId *First = nullptr;
  TimePoint Earliest = TimePoint::max();
  for (const auto &[Endpoint, Health] : Fleet.Endpoints) {
    if (!Health.Ejected || Health.ProbeAt >= Earliest)
      continue;
    First = &Endpoint;
    Earliest = Health.ProbeAt;
  }
  return First;
}

} // namespace

FleetHealth onFleet(FleetHealth Fleet, const std::vector<EndpointId> &Endpoints,
                    const HealthLimits &Limits) {
  FleetHealth Next;
  for (const EndpointId &Endpoint : Endpoints)
    Next.Endpoints[Endpoint] = Fleet.Endpoints[Endpoint];
  const std::size_t Most = mostEjected(Next.Endpoints.size(), Limits);
  for (std::size_t Count = ejectedCount(Next); Count > Most; --Count)
    Next.Endpoints[*firstDue(Next)].Ejected = false;
  return Next;
}

FleetHealth onSuccess(FleetHealth Fleet, const EndpointId &Endpoint) {
  const auto Found = Fleet.Endpoints.find(Endpoint);
  if (Found == Fleet.Endpoints.end())
    return Fleet;
  EndpointHealth &Health = Found->second;
  // A second success in a row, after the probe's, forgives the ejections.
  if (!Health.Ejected && Health.ConsecutiveFailures == 0)
    Health.Ejections = 0;
  Health.ConsecutiveFailures = 0;
  Health.Ejected = false;
  Health.Probing = false;
  return Fleet;
}

FleetHealth onFailure(FleetHealth Fleet, const EndpointId &Endpoint,
                      const HealthLimits &Limits, TimePoint Now) {
  const auto Found = Fleet.Endpoints.find(Endpoint);
  if (Found == Fleet.Endpoints.end())
    return Fleet;
  EndpointHealth &Health = Found->second;
  // A call sent before the ejection says nothing new.
  if (Health.Ejected && !Health.Probing)
    return Fleet;
  ++Health.ConsecutiveFailures;
  const bool MayEject =
      Health.Ejected ||
      ejectedCount(Fleet) < mostEjected(Fleet.Endpoints.size(), Limits);
  if (Health.ConsecutiveFailures >= Limits.EjectAfterFailures && MayEject)
    eject(Health, Limits, Now);
  return Fleet;
}

FleetHealth onProbeSent(FleetHealth Fleet, const EndpointId &Endpoint,
                        const HealthLimits &Limits, TimePoint Now) {
  const auto Found = Fleet.Endpoints.find(Endpoint);
  if (Found == Fleet.Endpoints.end() || !Found->second.Ejected)
    return Fleet;
  Found->second.Probing = true;
  Found->second.ProbeAt = Now + Limits.ProbeTimeout;
  return Fleet;
}

bool isEjected(const FleetHealth &Fleet, const EndpointId &Endpoint) {
  const auto Found = Fleet.Endpoints.find(Endpoint);
  return Found != Fleet.Endpoints.end() && Found->second.Ejected;
}

std::optional<EndpointId> probeDue(const FleetHealth &Fleet, TimePoint Now) {
  const EndpointId *First = firstDue(Fleet);
  if (!First || Fleet.Endpoints.at(*First).ProbeAt > Now)
    return std::nullopt;
  return *First;
}

std::size_t ejectedCount(const FleetHealth &Fleet) {
  return std::count_if(Fleet.Endpoints.begin(), Fleet.Endpoints.end(),
                       [](const auto &Each) { return Each.second.Ejected; });
}

std::size_t mostEjected(std::size_t FleetSize, const HealthLimits &Limits) {
  if (FleetSize < 2)
    return 0;
  const auto Share = static_cast<std::size_t>(Limits.LargestEjectedShare *
                                              static_cast<double>(FleetSize));
  return std::max<std::size_t>(Share, 1);
}

} // namespace tamarack
