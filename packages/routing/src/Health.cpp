#include "tamarack/routing/Health.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The duration of the last of \p Ejections ejections in a row: doubles with
/// each one, up to the maximum.
Duration ejectionTime(unsigned Ejections, const HealthLimits &Limits) {
  Duration Time = Limits.InitialEjection;
  for (unsigned I = 1; I < Ejections && Time < Limits.MaxEjection; ++I)
    Time *= 2;
  return std::min(Time, Limits.MaxEjection);
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

FleetHealth setFleet(FleetHealth Fleet,
                     const std::vector<EndpointId> &Endpoints,
                     const HealthLimits &Limits) {
  FleetHealth Next;
  for (const EndpointId &Endpoint : Endpoints)
    Next.Endpoints[Endpoint] = Fleet.Endpoints[Endpoint];
  const std::size_t Max = maxEjected(Next.Endpoints.size(), Limits);
  for (std::size_t Count = ejectedCount(Next); Count > Max; --Count)
    Next.Endpoints[*firstDue(Next)].Ejected = false;
  return Next;
}

FleetHealth onSuccess(FleetHealth Fleet, const EndpointId &Endpoint) {
  const auto Found = Fleet.Endpoints.find(Endpoint);
  if (Found == Fleet.Endpoints.end())
    return Fleet;
  EndpointHealth &Health = Found->second;
  // The success of a probe reinstates the endpoint; only a second consecutive
  // success resets its ejection time.
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
  // Without a probe in flight this is a call sent before the ejection, which
  // must not prolong it.
  if (Health.Ejected && !Health.Probing)
    return Fleet;
  ++Health.ConsecutiveFailures;
  const bool MayEject =
      Health.Ejected ||
      ejectedCount(Fleet) < maxEjected(Fleet.Endpoints.size(), Limits);
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

std::optional<EndpointId> nextDueProbe(const FleetHealth &Fleet,
                                       TimePoint Now) {
  const EndpointId *First = firstDue(Fleet);
  if (!First || Fleet.Endpoints.at(*First).ProbeAt > Now)
    return std::nullopt;
  return *First;
}

std::size_t ejectedCount(const FleetHealth &Fleet) {
  return std::count_if(Fleet.Endpoints.begin(), Fleet.Endpoints.end(),
                       [](const auto &Entry) { return Entry.second.Ejected; });
}

std::size_t maxEjected(std::size_t FleetSize, const HealthLimits &Limits) {
  if (FleetSize < 2)
    return 0;
  const auto Share = static_cast<std::size_t>(Limits.MaxEjectedShare *
                                              static_cast<double>(FleetSize));
  return std::max<std::size_t>(Share, 1);
}

} // namespace tamarack
