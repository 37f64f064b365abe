/// Deterministic subsetting: selects the endpoints that an entry watches.
///
/// Every endpoint is watched by the first few entries in its rendezvous hashing
/// order. Hence every endpoint is watched, the subsets of entries overlap, all
/// processes compute the same subsets, and a lost entry changes only the
/// subsets of the entries that replace it:
///
///   const std::vector<EndpointId> Watched =
///       subsetOf(Self, Entries, Endpoints, SubsetLimits());
///
/// Peers can be watched in the same way, with their instance ids as names.
#ifndef TAMARACK_ROUTING_SUBSET_H
#define TAMARACK_ROUTING_SUBSET_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"

#include <cstddef>
#include <vector>

namespace tamarack {

struct SubsetLimits {
  /// The average number of endpoints that an entry should watch.
  std::size_t Target = 48;
  /// The minimum number of entries that watch each endpoint, if there are as
  /// many.
  std::size_t Watchers = 2;

  auto tied() const { return std::tie(Target, Watchers); }
};

/// The maximum size of a subset. It exceeds the target, because hashing assigns
/// the entries unequal numbers of endpoints.
std::size_t maxSubsetSize(std::size_t Entries, std::size_t Endpoints,
                          const SubsetLimits &Limits);

/// The number of entries that watch each endpoint.
std::size_t watchersPerEndpoint(std::size_t Entries, std::size_t Endpoints,
                                const SubsetLimits &Limits);

/// The endpoints that \p Self watches, in the order of \p Endpoints. In a fleet
/// of at most the target size these are all endpoints.
std::vector<EndpointId> subsetOf(const InstanceId &Self,
                                 const std::vector<InstanceId> &Entries,
                                 const std::vector<EndpointId> &Endpoints,
                                 const SubsetLimits &Limits);

/// The bandwidth of a process for control messages in both directions, and the
/// part of it that is available for load reports.
constexpr double ControlBytesPerSecond = 6000;
constexpr double ReportBytesPerSecond = 3300;

constexpr Duration MinReportPeriod = std::chrono::milliseconds(500);

/// The interval at which each of \p Watched endpoints may report to an entry
/// without exceeding \p BytesPerSecond, where a report takes \p BytesPerReport
/// on the wire; at least MinReportPeriod.
Duration reportPeriod(std::size_t Watched, std::size_t BytesPerReport,
                      double BytesPerSecond);

} // namespace tamarack

#endif // TAMARACK_ROUTING_SUBSET_H
