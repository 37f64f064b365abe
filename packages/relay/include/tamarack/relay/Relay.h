/// The way of a request through an entry.
///
///   Relay Requests(Io, Options, Wire, Ledgers, Pool, Metrics);
///   Requests.setCatalog(Catalog);
///   Requests.setEndpoints(Entries);
///   HttpServer Server(Io, Limits, [&](HttpExchange &Call) {
///     return Requests.serve(Call);
///   });
///
/// A request finds its route, then an endpoint, and gets that endpoint's answer
/// unchanged. A turn is first reserved at the ledgers; its chain is put before
/// its input where the route keeps turns; it is settled at its end. What may
/// have run is never sent again unless it is idempotent, and an answer that
/// says "not run" is only given when it is so.
#ifndef TAMARACK_RELAY_RELAY_H
#define TAMARACK_RELAY_RELAY_H

#include "tamarack/net/HttpCall.h"
#include "tamarack/net/HttpServer.h"
#include "tamarack/quorum/QuorumClient.h"
#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/Dialect.h"
#include "tamarack/relay/EndpointTable.h"
#include "tamarack/relay/RelayMetrics.h"

#include <memory>

namespace tamarack {

struct RelayOptions {
  EndpointTableOptions Endpoints;
  /// Text of turns kept in memory.
  std::size_t ChainCacheBytes = 16U << 20U;
};

class Relay {
public:
  Relay(Loop &Io, RelayOptions Options, const Dialect &Wire,
        QuorumClient &Ledgers, ConnectionPool &Pool, RelayMetrics &Metrics);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Ignores versions that are not newer.
  void setCatalog(Catalog Next);
  void setEndpoints(std::vector<EndpointEntry> Entries);
  const Catalog &catalog() const;
  /// This entry's load for the others, and theirs.
  EndpointLoad load() const;
  void setRemoteLoad(const EndpointLoad &Elsewhere);
  /// From now on requests are refused as not run: the process stops soon.
  void rejectNewRequests();
  /// Whether requests can be served.
  bool isReady() const;

  Task<void> serve(HttpExchange &Call);

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_RELAY_H
