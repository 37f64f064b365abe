/// Chooses the endpoint for one call, by cost in time.
///
///   Expected<Choice> Chosen = chooseEndpoint(Views, Needs, Model, Draw);
///   if (!Chosen)
///     return tl::unexpected(Chosen.error()); // proved not run
///
/// The cost of an endpoint is its expected wait, with this entry's own work
/// that its last report cannot know of, the prefill of the tokens that are
/// not in its cache, the network, and the bytes on the slow link. A program
/// stays where its cache is until another endpoint is cheaper by a margin.
/// Endpoints without cache are compared two at random at a time, so that
/// entries with the same stale reports do not all choose the same one.
#ifndef TAMARACK_ROUTING_CHOOSEENDPOINT_H
#define TAMARACK_ROUTING_CHOOSEENDPOINT_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"
#include "tamarack/members/Membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// What an entry knows about one endpoint that serves the wanted model.
struct EndpointView {
  EndpointId Endpoint;
  /// The process beside it.
  InstanceId Instance;
  RegionId Region;
  DataCentreId DataCentre;
  /// As of the last report.
  Duration ExpectedWait{0};
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// How many calls it runs at once.
  std::uint32_t Limit = 0;
  TimePoint ReportedAt;
  /// The wait added by this entry's own work sent after that report.
  Duration UnreportedWait{0};
  MemberState State = MemberState::Live;
  /// What orders to its process must name as their target; zero where none was
  /// heard yet.
  Incarnation Target = 0;
  /// Taken out by its health, see Health.h.
  bool Ejected = false;

  auto tied() const {
    return std::tie(Endpoint, Instance, Region, DataCentre, ExpectedWait,
                    Running, Waiting, Limit, ReportedAt, UnreportedWait, State,
                    Target, Ejected);
  }
};

struct RoutingRequest {
  ProgramId Program;
  TokenCount PromptTokens = 0;
  /// The tokens of the prompt that each endpoint is known to cache.
  std::map<EndpointId, TokenCount> CachedPromptTokens;
  /// Where the program's last call ran.
  std::optional<EndpointId> LastEndpoint;
  RegionId Home;
  /// What another region would have to be sent.
  std::uint64_t HistoryBytes = 0;
  /// Endpoints that this call was already tried on.
  std::vector<EndpointId> Exclude;
  /// Where the entry stands; empty counts as another data centre.
  DataCentreId DataCentre;

  auto tied() const {
    return std::tie(Program, PromptTokens, CachedPromptTokens, LastEndpoint,
                    Home, HistoryBytes, Exclude, DataCentre);
  }
};

/// What time and bytes cost.
struct CostModel {
  double PrefillTokensPerSecond = 4000;
  /// Round trips to an endpoint.
  Duration NetworkSameDataCentre = std::chrono::microseconds(200);
  Duration NetworkOtherDataCentre = std::chrono::milliseconds(1);
  Duration NetworkOtherRegion = std::chrono::milliseconds(40);
  /// A byte on the slow link: its transfer and its price, as time.
  double SlowLinkMicrosPerByte = 1.0;
  /// How much cheaper another endpoint must be for a program to move.
  Duration HysteresisMargin = std::chrono::seconds(1);
  /// How much cheaper another region must be for a call to leave home.
  Duration RegionMargin = std::chrono::seconds(5);
  /// When callers should come back if no endpoint is available.
  std::chrono::seconds RetryAfter{2};

  auto tied() const {
    return std::tie(PrefillTokensPerSecond, NetworkSameDataCentre,
                    NetworkOtherDataCentre, NetworkOtherRegion,
                    SlowLinkMicrosPerByte, HysteresisMargin, RegionMargin,
                    RetryAfter);
  }
};

struct Choice {
  EndpointId Endpoint;
  Duration Cost{0};
  /// Short, for explain.
  std::string Reason;

  auto tied() const { return std::tie(Endpoint, Cost, Reason); }
};

/// The cost of running the call at \p View.
Duration costAt(const EndpointView &View, const RoutingRequest &Needs,
                const CostModel &Model);

/// The endpoint for a call; \p RandomDraw is any evenly drawn number. Refuses
/// as EndpointUnavailable, proved not run, when none is available.
Expected<Choice> chooseEndpoint(const std::vector<EndpointView> &Views,
                                const RoutingRequest &Needs,
                                const CostModel &Model,
                                std::uint64_t RandomDraw);

} // namespace tamarack

#endif // TAMARACK_ROUTING_CHOOSEENDPOINT_H
