/// The operators' configuration and the endpoint list, as plain values.
#ifndef TAMARACK_RELAY_CATALOG_H
#define TAMARACK_RELAY_CATALOG_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Whether a request may be executed more than once.
enum class RequestKind {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// An event stream; runs at most once unless its route is resumable.
  Stream,
};

/// A service that gets part of a route's requests.
struct ServiceShare {
  ServiceId Service;
  /// Relative to the weights of the route's other services.
  std::uint32_t Weight = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /// The longest that a caller waits for the end of its answer.
  Duration Timeout = std::chrono::seconds(10);
  /// Latency objective: answers within it earn the full credit.
  Duration TargetLatency = std::chrono::milliseconds(300);
  /// The maximum number of endpoints that one request may run on.
  std::uint32_t MaxAttempts = 1;
  /// Scheduling priority; 0 is the highest.
  std::uint32_t Rank = 0;
  std::vector<ServiceShare> Services;
  /// Whether turns of this route are stored in the ledgers, so that callers
  /// send only the new input of each turn.
  bool RetainsTurns = false;
  /// How long a stored turn is retained.
  Duration Retention{0};
  /// Whether a broken stream may be resumed after its last event.
  bool Resumable = false;
  /// Whether callers need no key, although there are workspaces.
  bool IsPublic = false;

  friend bool operator==(const Route &, const Route &) = default;
};

struct ServiceInfo {
  ServiceId Service;
  std::uint32_t MaxConnections = 0;
  /// Tokens in one event of a stream; zero for plain services.
  TokenCount TokensPerEvent = 0;
  /// Tokens that the KV cache of one endpoint holds; zero for plain services.
  TokenCount MemoryTokens = 0;

  friend bool operator==(const ServiceInfo &, const ServiceInfo &) = default;
};

/// A workspace, whose callers present one of its keys.
struct Workspace {
  WorkspaceId Name;
  /// Secret: written to no log, metric, record or message.
  std::vector<std::string> Keys;
  /// Scheduling priority, which precedes that of routes; 0 is the highest.
  std::uint32_t Rank = 0;
  /// Requests per second over all entries; zero if they are not limited.
  double RequestsPerSecond = 0;
  /// Requests beyond that rate which may come at once.
  double Burst = 0;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// Limits on the connections and requests of callers.
struct CallerLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 4U << 20U;
  /// How long a request may take to arrive.
  Duration CallerHeaderTimeout = std::chrono::seconds(3);
  /// How long a connection without a request stays open.
  Duration CallerIdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One version of the operators' configuration.
struct Catalog {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceInfo> Services;
  CallerLimits Limits;
  /// Empty if the deployment has no workspaces, so that no key is needed.
  std::optional<std::vector<Workspace>> Workspaces = {};

  friend bool operator==(const Catalog &, const Catalog &) = default;
};

/// Returns the route of \p Host whose path prefix is the longest one that
/// matches \p Target, or nullptr if none matches. Ignores the port and the
/// case of \p Host and the query of \p Target.
const Route *matchRoute(const Catalog &Config, const std::string &Host,
                        const std::string &Target);

/// Returns the entry of \p Service, or nullptr if it is not configured.
const ServiceInfo *findService(const Catalog &Config, const ServiceId &Service);

/// Selects a service of \p MatchedRoute in proportion to the weights. The same
/// \p Key yields the same service until the weights change.
const ServiceId &chooseService(const Route &MatchedRoute, std::uint64_t Key);

enum class EndpointState { Ready, Draining };

/// One replica of a service, as listed by the platform.
struct EndpointEntry {
  EndpointId Endpoint;
  ServiceId Service;
  /// "IP:PORT".
  std::string Address;
  DataCentreId DataCentre;
  /// The number of requests that run at the same time; further ones queue.
  std::uint32_t Slots = 1;
  EndpointState State = EndpointState::Ready;
  /// The start time of the endpoint's process, which distinguishes a restarted
  /// process with the same id. Zero if the endpoint does not publish it.
  std::uint64_t StartedAt = 0;
  /// The version of its software. What endpoints of two versions generate does
  /// not fit together. Endpoints that state none share the empty version.
  SoftwareVersion Version = {};

  friend bool operator==(const EndpointEntry &,
                         const EndpointEntry &) = default;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_CATALOG_H
