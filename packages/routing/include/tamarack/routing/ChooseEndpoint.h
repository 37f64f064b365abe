/// Chooses the endpoint for one call by its estimated cost in time.
///
///   Expected<Choice> Chosen = chooseEndpoint(Views, Request, Model, Draw);
///   if (!Chosen)
///     return tl::unexpected(Chosen.error()); // proved not run
///
/// The cost of an endpoint is the sum of its expected wait, the wait added by
/// calls that this entry sent after the endpoint's last report, the prefill of
/// the prompt tokens that are not cached there, the network round trip, and the
/// bytes on the slow link. A program stays with the endpoint that caches its
/// prompt until another endpoint is cheaper by a margin. Among endpoints
/// without a cached prompt, the cheaper of two drawn at random is used, so that
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

/// What an entry knows about one endpoint that serves the requested model.
struct EndpointView {
  EndpointId Endpoint;
  /// The process that runs beside the endpoint.
  InstanceId Instance;
  RegionId Region;
  DataCentreId DataCentre;
  /// The expected wait as of the last report.
  Duration ExpectedWait{0};
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// The maximum number of calls that it runs at the same time.
  std::uint32_t Limit = 0;
  TimePoint ReportedAt;
  /// The wait added by the calls that this entry sent after the last report.
  Duration UnreportedWait{0};
  MemberState State = MemberState::Live;
  /// The incarnation that orders to its process must name as their target;
  /// zero if none was reported yet.
  Incarnation Target = 0;
  /// Whether it is ejected for its failures, see Health.h.
  bool Ejected = false;

  auto tied() const {
    return std::tie(Endpoint, Instance, Region, DataCentre, ExpectedWait,
                    Running, Waiting, Limit, ReportedAt, UnreportedWait, State,
                    Target, Ejected);
  }
};

/// What the choice of an endpoint depends on besides the endpoints.
struct RoutingRequest {
  ProgramId Program;
  TokenCount PromptTokens = 0;
  /// The prompt tokens that each endpoint is known to cache.
  std::map<EndpointId, TokenCount> CachedPromptTokens;
  /// Where the program's last call ran.
  std::optional<EndpointId> LastEndpoint;
  /// The home region, which is preferred to others.
  RegionId Home;
  /// The bytes of history that would have to be sent to another region.
  std::uint64_t HistoryBytes = 0;
  /// Endpoints that this call was already sent to.
  std::vector<EndpointId> Exclude;
  /// The data centre of the entry; if empty, all endpoints count as being in
  /// another one.
  DataCentreId DataCentre;

  auto tied() const {
    return std::tie(Program, PromptTokens, CachedPromptTokens, LastEndpoint,
                    Home, HistoryBytes, Exclude, DataCentre);
  }
};

/// The cost of tokens, network and bytes, as time.
struct CostModel {
  double PrefillTokensPerSecond = 4000;
  /// Round trips to an endpoint.
  Duration NetworkSameDataCentre = std::chrono::microseconds(200);
  Duration NetworkOtherDataCentre = std::chrono::milliseconds(1);
  Duration NetworkOtherRegion = std::chrono::milliseconds(40);
  /// The transfer time and the price of a byte on the slow link, as time.
  double SlowLinkMicrosPerByte = 1.0;
  /// How much cheaper another endpoint must be for a program to move.
  Duration HysteresisMargin = std::chrono::seconds(1);
  /// How much cheaper another region must be for a call to leave the home
  /// region.
  Duration RegionMargin = std::chrono::seconds(5);
  /// When callers should retry if no endpoint is available.
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
  /// A short explanation, shown by the explain command.
  std::string Reason;

  auto tied() const { return std::tie(Endpoint, Cost, Reason); }
};

/// The cost of running the call of \p Request at \p View.
Duration costAt(const EndpointView &View, const RoutingRequest &Request,
                const CostModel &Model);

/// Chooses the endpoint for a call. \p RandomDraw is any uniformly distributed
/// number. Fails with EndpointUnavailable, proved not run, if no endpoint is
/// available.
Expected<Choice> chooseEndpoint(const std::vector<EndpointView> &Views,
                                const RoutingRequest &Request,
                                const CostModel &Model,
                                std::uint64_t RandomDraw);

} // namespace tamarack

#endif // TAMARACK_ROUTING_CHOOSEENDPOINT_H
