/// Keeps the requests to endpoints that limit their rate within the limits.
///
///   RateLimits Limits(Seed);
///   Limits.onStated(Endpoint, PerSecond, Now); // From each response.
///   if (Limits.admits(Query, Now))
///     Limits.onSent(Query, Now);
///
/// An endpoint in need states in its responses how many requests per second it
/// takes from all entries together. Entries report to each other what they have
/// sent to such endpoints. A request is admitted if this entry has saved up a
/// token, at a rate that is its share of the limit by its share of the demand,
/// and all entries together have been within the limit. The sum alone would let
/// all entries send at once whenever the limit has room, since reports arrive
/// late; the tokens alone would not stop a burst after a pause.
///
/// A limit holds until a response states none. An entry that gets no response
/// from the endpoint for a while goes by what the others report.
#ifndef TAMARACK_RELAY_RATELIMITS_H
#define TAMARACK_RELAY_RATELIMITS_H

#include "tamarack/base/Clock.h"
#include "tamarack/relay/SlidingCount.h"
#include "tamarack/turns/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

struct RateQuery {
  EndpointId Endpoint;
  ServiceId Service;
  /// The part of the limit that the entries of this region may use, from 0
  /// to 1.
  double RegionPart = 1;
  /// The part of that for requests of this kind.
  double KindPart = 1;
};

class RateLimits {
public:
  /// Entries with different seeds do not save up their first token for an
  /// endpoint at the same time.
  explicit RateLimits(std::uint64_t Seed) : Seed(Seed) {}

  /// How long a limit is reported to other entries without another response. It
  /// holds longer here while no entry reports anything.
  static constexpr Duration StatementLifetime = std::chrono::seconds(10);
  /// The time over which requests are counted.
  static constexpr Duration Period = std::chrono::seconds(4);

  /// Records the limit that a response of \p Endpoint states, in requests per
  /// second; empty if it states none. Returns whether the limit has changed.
  bool onStated(const EndpointId &Endpoint, std::optional<double> PerSecond,
                TimePoint Now);
  /// Drops what is known of \p Endpoint, whose process was replaced or ended.
  void forget(const EndpointId &Endpoint);
  /// Records that a request like \p Query is sent, admitted or not.
  void onSent(const RateQuery &Query, TimePoint Now);
  /// The limit of \p Endpoint that this or another entry was told, in requests
  /// per second; what it takes to notice its end if it is less than that.
  std::optional<double> limitOf(const EndpointId &Endpoint,
                                TimePoint Now) const;
  bool admits(const RateQuery &Query, TimePoint Now) const;
  /// The part of the requests to the service that this entry sends.
  double shareOf(const RateQuery &Query, TimePoint Now) const;

  /// The endpoints whose limit this or another entry was told.
  std::vector<EndpointId> limitedEndpoints(TimePoint Now) const;
  /// What this entry reports of \p Endpoint to the others.
  EndpointRate rateOf(const EndpointId &Endpoint, const ServiceId &Service,
                      TimePoint Now) const;
  /// Sets the sum of the reports of all other entries.
  void setRemoteNews(RatesByEndpoint Next, TimePoint Now);

private:
  /// What a response of an endpoint stated.
  struct Statement {
    double PerSecond = 0;
    TimePoint At;
  };
  /// What was sent to one endpoint.
  struct EndpointUse {
    SlidingCount Sent{Period};
    /// The tokens at TokensAt; empty before a limit is known.
    std::optional<double> Tokens;
    TimePoint TokensAt;
  };

  /// Begins to save up tokens for the endpoint unless that has begun.
  void startTokens(const EndpointId &Endpoint, TimePoint Now);

  bool isRemoteRecent(TimePoint Now) const;
  /// What the endpoint stated to this entry lately.
  std::optional<double> statedLimit(const EndpointId &Endpoint,
                                    TimePoint Now) const;
  /// The tokens for the endpoint, whose limit is \p Limit.
  double tokens(const RateQuery &Query, double Limit, TimePoint Now) const;

  const std::uint64_t Seed;
  std::map<EndpointId, Statement> Stated;
  std::map<EndpointId, EndpointUse> Uses;
  std::map<ServiceId, SlidingCount> SentInAll;
  RatesByEndpoint Remote;
  std::optional<TimePoint> RemoteAt;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_RATELIMITS_H
