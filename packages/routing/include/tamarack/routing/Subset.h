/// Which endpoints an entry watches.
///
/// Every endpoint is watched by its first few entries in rendezvous order.
/// So no endpoint is left out, neighbouring subsets overlap, every process
/// computes the same subsets, and a lost entry changes only the subsets of
/// those that take its place:
///
///   const std::vector<EndpointId> Watched =
///       subsetOf(Self, Entries, Endpoints, SubsetLimits());
///
/// Peers can be watched the same way, by their instance ids as names.
#ifndef TAMARACK_ROUTING_SUBSET_H
#define TAMARACK_ROUTING_SUBSET_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"

#include <cstddef>
#include <vector>

namespace tamarack {

struct SubsetLimits {
  /// How many endpoints an entry should watch on average.
  std::size_t Target = 48;
  /// How many entries watch each endpoint at least, if there are as many.
  std::size_t Watchers = 2;

  auto tied() const { return std::tie(Target, Watchers); }
};

/// The most that subsetOf gives: above the target, because the entries' shares
/// differ by chance.
std::size_t largestSubset(std::size_t Entries, std::size_t Endpoints,
                          const SubsetLimits &Limits);

/// How many entries watch each endpoint.
std::size_t watchersOf(std::size_t Entries, std::size_t Endpoints,
                       const SubsetLimits &Limits);

/// The endpoints that \p Self watches, in the order of \p Endpoints. Where
/// the fleet is small these are all endpoints.
std::vector<EndpointId> subsetOf(const InstanceId &Self,
                                 const std::vector<InstanceId> &Entries,
                                 const std::vector<EndpointId> &Endpoints,
                                 const SubsetLimits &Limits);

/// What a process may spend on control, both ways, and the part of it that
/// is left to load reports.
constexpr double ControlBytesPerSecond = 6000;
constexpr double ReportBytesPerSecond = 3300;

constexpr Duration ShortestReportPeriod = std::chrono::milliseconds(500);

/// How often an entry may hear from each of \p Watched endpoints when a
/// report takes \p BytesPerReport on the wire; at least ShortestReportPeriod.
Duration reportPeriod(std::size_t Watched, std::size_t BytesPerReport,
                      double BytesPerSecond);

} // namespace tamarack

#endif // TAMARACK_ROUTING_SUBSET_H
