/// A fake of one entry that must place many calls before any report arrives.
///
///   double Herd = herdOfBurst(140, 14);
#ifndef TAMARACK_ROUTING_BENCH_BURSTFAKE_H
#define TAMARACK_ROUTING_BENCH_BURSTFAKE_H

#include "tamarack/routing/ChooseEndpoint.h"

#include <algorithm>
#include <random>

namespace tamarack {

/// How evenly one entry spreads \p Calls that come at once, all with a prefix
/// cached at the first endpoint: the most calls of an endpoint over the mean.
inline double herdOfBurst(std::size_t Calls, std::size_t Endpoints) {
  constexpr Duration WorkOfOneCall = std::chrono::milliseconds(300);
  std::vector<EndpointView> Views(Endpoints);
  for (std::size_t I = 0; I < Endpoints; ++I)
    Views[I].Endpoint = EndpointId("endpoint-" + std::to_string(I));
  RoutingRequest Needs;
  Needs.PromptTokens = 4000;
  Needs.CachedPromptTokens = {{Views.front().Endpoint, 2000}};
  std::mt19937_64 Draw(20261203);
  std::map<EndpointId, std::size_t> Sent;
  std::size_t Most = 0;
  for (std::size_t I = 0; I < Calls; ++I) {
    const auto Chosen = chooseEndpoint(Views, Needs, CostModel(), Draw());
    Most = std::max(Most, ++Sent[Chosen->Endpoint]);
    for (EndpointView &Each : Views)
      if (Each.Endpoint == Chosen->Endpoint)
        Each.UnreportedWait += WorkOfOneCall;
  }
  return static_cast<double>(Most * Endpoints) / static_cast<double>(Calls);
}

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_BURSTFAKE_H
