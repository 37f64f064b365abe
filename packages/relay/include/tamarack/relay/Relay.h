/// Proxies callers' requests to endpoints.
///
///   Relay RequestRelay(Io, Options, Wire, Ledgers, Pool, Metrics);
///   RequestRelay.setCatalog(Catalog);
///   RequestRelay.setEndpoints(Entries);
///   HttpServer Server(Io, Limits, [&](HttpExchange &Call) {
///     return RequestRelay.serve(Call);
///   });
///
/// A request is matched to a route, then to an endpoint, and the endpoint's
/// response is forwarded unchanged. The budget of a turn is reserved at the
/// ledgers before the turn is sent and settled when it ends. If the route
/// retains turns, the stored chain is prepended to the turn's input.
///
/// A request that may have run is not sent again unless it is idempotent. A
/// response that says "not run" is only given if no endpoint ran the request.
#ifndef TAMARACK_RELAY_RELAY_H
#define TAMARACK_RELAY_RELAY_H

#include "tamarack/net/HttpCall.h"
#include "tamarack/net/HttpServer.h"
#include "tamarack/quorum/QuorumClient.h"
#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/Dialect.h"
#include "tamarack/relay/EndpointTable.h"
#include "tamarack/relay/Explanation.h"
#include "tamarack/relay/RelayMetrics.h"
#include "tamarack/relay/StopPlan.h"
#include "tamarack/relay/WorkspaceLimits.h"

#include <functional>
#include <memory>
#include <optional>

namespace tamarack {

/// How current the configuration and the list of endpoints are, which come from
/// the same source.
struct CatalogSource {
  /// Returns the time since the configuration was last confirmed to be the
  /// newest; empty if it never was. It counts as current if this is not set.
  std::function<std::optional<Duration>()> Age;
  /// The time within which a new configuration must take effect.
  Duration MaxAge = std::chrono::milliseconds(2500);
  /// Tries to confirm the configuration, or to get the newest one, until the
  /// deadline. May be called any number of times at once.
  std::function<Task<void>(TimePoint Deadline)> Confirm;
  /// The age at which keys of workspaces may have been revoked, so that they
  /// are accepted no more. If it is not set, the last configuration counts
  /// whatever its age is.
  std::optional<Duration> MaxKeyAge = {};
};

struct RelayOptions {
  EndpointTableOptions Endpoints;
  /// The part of a service's requests that may get a second attempt at another
  /// endpoint; none if it is 0. See Hedging.
  double HedgingShare = 0;
  /// The memory limit of the cache of stored turns.
  std::size_t ChainCacheBytes = 16U << 20U;
  CatalogSource Configuration;
  /// Reads the list of endpoints anew until the deadline, and passes it to
  /// Relay::setEndpoints(). Called at most about once a second, when no
  /// endpoint of a service is known or most of them have disappeared. May be
  /// null.
  std::function<Task<void>(TimePoint Deadline)> ListEndpoints;
  /// The entry and its data centre, as reported to other entries. It never
  /// leaves the rotation for its load if the data centre is empty.
  InstanceId Instance;
  DataCentreId DataCentre;
  /// Identifies this start of the process among all processes.
  std::string ProcessId;
  WorkspaceLimitOptions WorkspaceLimits = {};
  CrashLimits Crashes;
  /// The time between two exchanges with a ledger of the requests under which
  /// endpoints crashed.
  Duration CrashExchangeInterval = std::chrono::seconds(1);
  /// What requests and responses in flight take counts there, except the
  /// request as the server has read it. May be null.
  std::shared_ptr<MemoryAccount> Memory;
};

/// What an entry knows of the limits of workspaces.
struct WorkspaceLimitStatus {
  /// The workspaces of which more than half of the limit is used.
  std::size_t NearLimit = 0;
  /// The entries that report their use, this one included.
  std::uint32_t Reporters = 0;
  bool HasNews = false;
};

class Relay {
public:
  Relay(Loop &Io, RelayOptions Options, const Dialect &Wire,
        QuorumClient &Ledgers, ConnectionPool &Pool, RelayMetrics &Metrics);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Activates \p Next unless its version is not newer than the active one.
  void setCatalog(Catalog Next);
  void setEndpoints(std::vector<EndpointEntry> Entries);
  /// The active configuration.
  const Catalog &catalog() const;
  /// The load and the recent outcomes of this entry at each endpoint, and its
  /// own load.
  EndpointNews endpointNews() const;
  /// Sets the sum of what all other entries of the region report.
  void setRemoteNews(const EndpointNews &News);
  /// Sets RelayOptions::HedgingShare.
  void setHedgingShare(double Share);
  /// Limits all running and later requests by the times of \p Plan, because
  /// the process is shutting down. Streams that still run when requests are
  /// answered are aborted.
  void stop(const StopPlan &Plan);
  /// Whether the configuration and the endpoints are known and a quorum of
  /// ledgers can be reached, so that requests can be served, and the entry has
  /// not left the rotation for its load.
  bool isReady() const;
  /// Records what was answered to a check of the readiness.
  void onReadinessAnswered(bool Ready);
  /// The delay of the event loop, and whether turns are late because of it.
  Duration loopDelay() const;
  bool isBehind() const;

  /// Where \p Request would go now, and why. Changes nothing.
  Explanation explain(const ExplainedRequest &Request) const;

  /// Handles one request until its answer is sent.
  Task<void> serve(HttpExchange &Call);
  /// Exchanges the requests under which endpoints crashed with the ledgers, for
  /// as long as the process runs.
  Task<void> exchangeCrashes();
  /// Measures the delay of the event loop, and decides from it whether the
  /// entry takes further connections, for as long as the process runs.
  Task<void> watchLoad();
  /// Exchanges the use of limited workspaces with ledgers of all regions, for
  /// as long as the process runs.
  Task<void> exchangeWorkspaceUse();
  WorkspaceLimitStatus workspaceLimitStatus() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_RELAY_H
