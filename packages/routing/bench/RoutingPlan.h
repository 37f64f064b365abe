/// What a run of the routing fake is given, and what it counts.
#ifndef TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H
#define TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H

#include "tamarack/routing/ChooseEndpoint.h"

#include <cstddef>

namespace tamarack {

enum class Policy { RoundRobin, LeastLoaded, ByCost };

struct RoutingPlan {
  std::size_t Entries = 4;
  std::size_t Endpoints = 14;
  /// Zero: every decision sees the present load.
  Duration ReportPeriod = std::chrono::seconds(1);
  std::size_t SubsetTarget = 48;
  double Utilisation = 0.75;
  std::size_t Turns = 8;
  Duration Runs = std::chrono::seconds(300);
  /// When the first endpoint starts to leave; never if zero.
  Duration LeavesAt{0};
  CostModel Model;
};

struct RoutingResult {
  std::size_t Calls = 0;
  std::size_t Programs = 0;
  std::size_t Moves = 0;
  /// Of the tokens that an earlier turn had already prefilled.
  double CacheHitRate = 0;
  /// The longest queue over the mean one, averaged over time.
  double Herd = 0;
  double WorstHerd = 0;
  std::size_t SentToLeaving = 0;
  double MeanWaitSeconds = 0;
  double MeanProgramSeconds = 0;
};

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_ROUTINGPLAN_H
