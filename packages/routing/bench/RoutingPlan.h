/// The parameters and results of a run of the routing fake.
#ifndef TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H
#define TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H

#include "tamarack/routing/ChooseEndpoint.h"

#include <cstddef>

namespace tamarack {

enum class Policy { RoundRobin, LeastLoaded, ByCost };

struct RoutingPlan {
  std::size_t Entries = 4;
  std::size_t Endpoints = 14;
  /// If zero, every decision uses the current load.
  Duration ReportPeriod = std::chrono::seconds(1);
  /// The number of endpoints that an entry watches on average.
  std::size_t SubsetTarget = 48;
  /// The offered load as a share of the capacity of all endpoints.
  double Utilisation = 0.75;
  /// The turns of each program.
  std::size_t Turns = 8;
  Duration RunTime = std::chrono::seconds(300);
  /// When the first endpoint starts to leave; it never does if this is zero.
  Duration LeavesAt{0};
  CostModel Model;
};

struct RoutingResult {
  std::size_t Calls = 0;
  std::size_t Programs = 0;
  /// Calls that ran at another endpoint than the previous call of the program.
  std::size_t Moves = 0;
  /// The cached share of the prompt tokens that an earlier turn prefilled.
  double CacheHitRate = 0;
  /// The calls at the busiest endpoint divided by the mean, averaged over time.
  double LoadImbalance = 0;
  double WorstLoadImbalance = 0;
  /// Calls that were sent to an endpoint that was leaving.
  std::size_t SentToLeaving = 0;
  double MeanWaitSeconds = 0;
  double MeanProgramSeconds = 0;
};

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H
