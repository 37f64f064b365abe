/// What operators configured and which endpoints serve it, as plain values.
#ifndef TAMARACK_RELAY_CATALOG_H
#define TAMARACK_RELAY_CATALOG_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// What may be repeated.
enum class RequestKind {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// An event stream; runs at most once unless its route is resumable.
  Stream,
};

struct ServiceShare {
  ServiceId Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /// The longest that a caller is kept waiting.
  Duration Timeout = std::chrono::seconds(10);
  /// Answers within it earn the full credit.
  Duration TargetLatency = std::chrono::milliseconds(300);
  /// Endpoints that one request may run on.
  std::uint32_t MaxAttempts = 1;
  /// 0 is the highest.
  std::uint32_t Rank = 0;
  std::vector<ServiceShare> Services;
  /// Turns of this route are kept, and carry only their new input.
  bool RetainsTurns = false;
  Duration Retention{0};
  /// A broken stream may go on after its last event.
  bool Resumable = false;

  friend bool operator==(const Route &, const Route &) = default;
};

struct ServiceInfo {
  ServiceId Service;
  std::uint32_t MaxConnections = 0;
  /// Tokens in one event of a stream; zero for plain services.
  TokenCount TokensPerEvent = 0;
  /// Tokens that one endpoint's memory holds; zero for plain services.
  TokenCount MemoryTokens = 0;

  friend bool operator==(const ServiceInfo &, const ServiceInfo &) = default;
};

struct CallerLimits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 4U << 20U;
  Duration CallerHeaderTimeout = std::chrono::seconds(3);
  Duration CallerIdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One version of the operators' configuration.
struct Catalog {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceInfo> Services;
  CallerLimits Limits;

  friend bool operator==(const Catalog &, const Catalog &) = default;
};

/// The route of \p Host with the longest prefix that begins \p Target;
/// nullptr where there is none.
const Route *matchRoute(const Catalog &In, const std::string &Host,
                        const std::string &Target);
const ServiceInfo *findService(const Catalog &In, const ServiceId &Service);

/// The service for a request; the same for the same \p Key while the weights
/// stay.
const ServiceId &chooseService(const Route &From, std::uint64_t Key);

enum class EndpointState { Ready, Draining };

/// One replica, as the platform's list has it.
struct EndpointEntry {
  EndpointId Endpoint;
  ServiceId Service;
  /// "IP:PORT".
  std::string Address;
  DataCentreId DataCentre;
  std::uint32_t Slots = 1;
  EndpointState State = EndpointState::Ready;
  /// When this process of the endpoint started; tells a restart under the same
  /// id. Zero where the endpoint does not say.
  std::uint64_t StartedAt = 0;

  friend bool operator==(const EndpointEntry &,
                         const EndpointEntry &) = default;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_CATALOG_H
