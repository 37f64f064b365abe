/// A fake of one entry that routes many calls before any report arrives.
///
///   double Imbalance = burstImbalance(140, 14);
#ifndef TAMARACK_ROUTING_BENCH_BURSTFAKE_H
#define TAMARACK_ROUTING_BENCH_BURSTFAKE_H

#include "tamarack/routing/ChooseEndpoint.h"

#include <algorithm>
#include <random>

namespace tamarack {

/// The load imbalance after one entry routed \p Calls simultaneous calls, whose
/// common prefix is cached at the first endpoint: the calls of the busiest
/// endpoint divided by the mean.
inline double burstImbalance(std::size_t Calls, std::size_t Endpoints) {
  constexpr Duration CallDuration = std::chrono::milliseconds(300);
  std::vector<EndpointView> Views(Endpoints);
  for (std::size_t I = 0; I < Endpoints; ++I)
    Views[I].Endpoint = EndpointId("endpoint-" + std::to_string(I));
  RoutingRequest Request;
  Request.PromptTokens = 4000;
  Request.CachedPromptTokens = {{Views.front().Endpoint, 2000}};
  std::mt19937_64 Rng(20261203);
  std::map<EndpointId, std::size_t> CallsAt;
  std::size_t MaxCalls = 0;
  for (std::size_t I = 0; I < Calls; ++I) {
    const auto Chosen = chooseEndpoint(Views, Request, CostModel(), Rng());
    MaxCalls = std::max(MaxCalls, ++CallsAt[Chosen->Endpoint]);
    for (EndpointView &View : Views)
      if (View.Endpoint == Chosen->Endpoint)
        View.UnreportedWait += CallDuration;
  }
  return static_cast<double>(MaxCalls * Endpoints) / static_cast<double>(Calls);
}

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_BURSTFAKE_H
