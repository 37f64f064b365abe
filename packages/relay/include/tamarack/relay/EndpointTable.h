/// The known endpoints, the load that this entry puts on them, and the choice
/// of an endpoint for a request.
///
///   Endpoints.replace(Entries);
///   std::optional<EndpointEntry> Chosen = Endpoints.choose(Query, Now);
///   Endpoints.onRequestStarted(Chosen->Endpoint);
///
/// The endpoint with the lowest estimated cost in time is chosen, where the
/// cost covers the request itself and those that run beside it. Prompt tokens
/// that are not cached must be prefilled, which stalls the whole batch. Each
/// request in a batch slows down the others. A full endpoint queues requests.
/// The load of this entry counts at once, the load of other entries as last
/// reported.
#ifndef TAMARACK_RELAY_ENDPOINTTABLE_H
#define TAMARACK_RELAY_ENDPOINTTABLE_H

#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/EndpointHealth.h"
#include "tamarack/relay/PromptCache.h"
#include "tamarack/relay/RateLimits.h"
#include "tamarack/turns/Messages.h"
#include "tamarack/turns/StreamOrigin.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace tamarack {

/// What the choice of an endpoint depends on.
struct EndpointQuery {
  ServiceId Service;
  /// Orders endpoints of equal cost, in the same way at every entry; empty for
  /// single requests.
  std::string AffinityKey;
  /// The prompt to process; empty for single requests.
  std::vector<PromptPart> Prompt;
  /// Where the program's last turn ran; empty if that is not known.
  EndpointId LastEndpoint;
  /// Endpoints that the request was already sent to.
  std::set<EndpointId> Exclude;
  /// Whether an endpoint crashed under the request before.
  bool IsSuspect = false;
  /// The only version that may get the request; any if empty.
  std::optional<SoftwareVersion> Version = {};
  /// Whether only endpoints of this region come into question that have a free
  /// slot, work well and limit no rate.
  bool SpareOnly = false;
};

/// What the endpoints of a service in this region run.
struct ServiceLoad {
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  /// Whether the reports of the other entries are recent.
  bool IsKnown = false;

  friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

/// The estimated cost of a request at one endpoint, in milliseconds, by cause.
struct EndpointCost {
  /// The requests that run beside it.
  double BatchMs = 0;
  /// The part of its prompt that the endpoint has not cached.
  double PrefillMs = 0;
  /// The requests beyond the endpoint's slots.
  double QueueMs = 0;
  double DistanceMs = 0;
  /// Added while the endpoint is in back-off.
  double BackoffMs = 0;
  /// Added for requests in flight there under which endpoints crashed.
  double SuspectMs = 0;
  /// Added if its recent outcomes make it an outlier.
  double OutlierMs = 0;
  /// Added for its place in the order of preference.
  double PreferenceMs = 0;

  double totalMs() const {
    return BatchMs + PrefillMs + QueueMs + DistanceMs + BackoffMs + SuspectMs +
           OutlierMs + PreferenceMs;
  }

  friend bool operator==(const EndpointCost &, const EndpointCost &) = default;
};

/// One endpoint as it is weighed for a request.
struct EndpointCandidate {
  EndpointEntry Entry;
  EndpointCost Cost;
  /// The requests of this entry there, and those that others reported.
  std::uint32_t Running = 0;
  std::uint32_t RunningElsewhere = 0;
  /// Its limit in requests per second, if it states one.
  std::optional<double> RateLimit = {};

  friend bool operator==(const EndpointCandidate &,
                         const EndpointCandidate &) = default;
};

struct EndpointTableOptions {
  /// Returns 0 for the local data centre, 1 for others in the local region and
  /// 2 for other regions. All data centres count as local if it is not set.
  std::function<int(const DataCentreId &)> Distance;
  /// Differs between entries; see RateLimits.
  std::uint64_t Seed = 0;
};

class EndpointTable {
public:
  explicit EndpointTable(EndpointTableOptions Options);

  /// Replaces the list of endpoints. Returns the addresses that were removed
  /// or that now belong to another process; pooled connections to them must
  /// not be reused.
  std::vector<std::string> replace(std::vector<EndpointEntry> Entries,
                                   TimePoint Now);

  /// Returns the ready endpoint with the lowest cost among those whose rate
  /// limit admits the request, or nothing if there is none.
  std::optional<EndpointEntry> choose(const EndpointQuery &Query,
                                      TimePoint Now) const;

  /// The endpoints that choose() weighs for \p Query, the cheapest first.
  std::vector<EndpointCandidate> candidates(const EndpointQuery &Query,
                                            TimePoint Now) const;
  /// The time since other entries' load was heard of; empty if it never was.
  std::optional<Duration> remoteNewsAge(TimePoint Now) const;

  /// Counts a request as running. From now on its prompt counts as cached at
  /// the endpoint, up to \p MemoryTokens.
  void onRequestStarted(const EndpointId &Endpoint, TimePoint Now,
                        const std::vector<PromptPart> &Prompt = {},
                        TokenCount MemoryTokens = 0);
  void onRequestEnded(const EndpointId &Endpoint);
  /// Counts a request in flight as one under which an endpoint crashed before.
  void onSuspectStarted(const EndpointId &Endpoint);
  void onSuspectEnded(const EndpointId &Endpoint);
  /// Resets the back-off after a valid response.
  void onSuccess(const EndpointId &Endpoint, TimePoint Now);
  /// Backs off exponentially after a failed connection or an invalid or
  /// missing response.
  void onFailure(const EndpointId &Endpoint, TimePoint Now);
  /// Records a response that reports an internal error of the endpoint, or a
  /// request that ended without any response. It counts against the endpoint
  /// without a back-off, since the request itself may be the reason.
  void onErrorResponse(const EndpointId &Endpoint, TimePoint Now);
  /// Backs off briefly after the endpoint reported that it is full.
  void onEndpointFull(const EndpointId &Endpoint, TimePoint Now);
  /// Records that the endpoint announced its shutdown. It is not chosen again
  /// until it is listed with another start time or address, also if its entry
  /// disappears and returns in between. Returns whether this is news.
  bool onLeaving(const EndpointId &Endpoint, TimePoint Now);

  /// Records the rate limit that a response of the endpoint states, in requests
  /// per second, or that it states none. Returns whether this is news.
  bool onRateLimit(const EndpointId &Endpoint, std::optional<double> PerSecond,
                   TimePoint Now);
  /// The mean time until the rate limits admit a request like \p Query, for
  /// which no endpoint could be chosen; empty if the limits are not the reason.
  std::optional<Duration> rateLimitDelay(const EndpointQuery &Query,
                                         TimePoint Now) const;

  /// What this entry tells the others: the requests that it runs at each
  /// endpoint, the outcomes at endpoints with recent failures, and what it sent
  /// to endpoints that limit their rate.
  EndpointNews news(TimePoint Now) const;
  /// Sets the sum of the reports of all other entries.
  void setRemoteNews(EndpointNews Next, TimePoint Now);

  std::size_t size() const { return Statuses.size(); }
  /// Returns the entry of \p Endpoint, or nullptr if it is not listed.
  const EndpointEntry *find(const EndpointId &Endpoint) const;
  /// Whether any endpoint of \p Service is listed.
  bool isListed(const ServiceId &Service) const;
  /// Returns the versions of all listed endpoints of \p Service, also of those
  /// that are shutting down.
  std::set<SoftwareVersion> versionsOf(const ServiceId &Service) const;
  /// Whether an endpoint with this service and version is ready.
  bool isServed(const ServiceVersion &Wanted) const;
  /// Whether the process of \p Entry is still listed, as ready and not as
  /// leaving, so that its end is not planned.
  bool isServing(const EndpointEntry &Entry) const;
  /// What all entries of the region run at the usable endpoints of \p Service.
  ServiceLoad loadOf(const ServiceId &Service, TimePoint Now) const;
  /// The requests that this entry runs at \p Endpoint.
  std::uint32_t runningAt(const EndpointId &Endpoint) const;

private:
  struct EndpointStatus {
    EndpointEntry Entry;
    std::uint32_t Running = 0;
    std::uint32_t Suspects = 0;
    /// Consecutive failures.
    std::uint32_t Failures = 0;
    TimePoint BackoffUntil;
    RecentOutcomes Outcomes;
    PromptCache Prompts;
  };

  /// A process that announced its shutdown.
  struct LeavingProcess {
    EndpointEntry Entry;
    TimePoint AnnouncedAt;
  };

  bool isLeaving(const EndpointEntry &Entry) const;
  void forgetOldLeaving(TimePoint Now);
  /// Returns what other entries reported for \p Endpoint in \p Counts, which is
  /// part of their news.
  std::uint32_t remoteCount(const InFlightByEndpoint &Counts,
                            const EndpointId &Endpoint, TimePoint Now) const;
  /// Keeps requests under which endpoints crashed apart from each other, and
  /// others from them where that costs little.
  double suspectCostMs(const EndpointStatus &Candidate,
                       const EndpointQuery &Query, TimePoint Now) const;
  /// Whether the recent outcomes at all entries speak against the endpoint.
  bool isOutlierAt(const EndpointStatus &Candidate, TimePoint Now) const;
  /// As EndpointTableOptions::Distance.
  int distanceTo(const EndpointStatus &Candidate) const;
  static double prefillMs(const EndpointStatus &Candidate,
                          const EndpointQuery &Query);
  /// The cost without what depends on the other endpoints.
  EndpointCost costOf(const EndpointStatus &Candidate,
                      const EndpointQuery &Query, TimePoint Now) const;
  struct WeighedEndpoint {
    const EndpointStatus *Status;
    EndpointCost Cost;
  };
  /// The endpoints that may get the request, in the order of preference.
  std::vector<WeighedEndpoint> weigh(const EndpointQuery &Query,
                                     TimePoint Now) const;
  /// Returns which of \p Candidates are outliers; empty if they are too many
  /// for the others to take over their work.
  std::set<const EndpointStatus *>
  outliersOf(const std::vector<const EndpointStatus *> &Candidates,
             TimePoint Now) const;

  /// Whether the endpoint is ready and has not announced its shutdown.
  bool isUsable(const EndpointStatus &Candidate,
                const ServiceId &Service) const;
  /// Whether the endpoint is usable and has the version that the query asks
  /// for.
  bool isEligible(const EndpointStatus &Candidate,
                  const EndpointQuery &Query) const;
  /// The requests that all entries of the region run at the endpoint.
  std::uint32_t runningAtAll(const EndpointStatus &Candidate,
                             TimePoint Now) const;
  /// As EndpointQuery::SpareOnly, except for outliers.
  bool isSpare(const EndpointStatus &Candidate, TimePoint Now) const;
  /// What a request that is no first turn counts as towards the rate limit.
  RateQuery rateQuery(const EndpointStatus &Candidate) const;
  /// Whether the rate limit of the endpoint admits a request like \p Query.
  bool isWithinRate(const EndpointStatus &Candidate, const EndpointQuery &Query,
                    TimePoint Now) const;

  const EndpointTableOptions Options;
  std::map<EndpointId, EndpointStatus> Statuses;
  RateLimits Rates;
  std::map<EndpointId, LeavingProcess> Leaving;
  EndpointNews RemoteNews;
  TimePoint RemoteNewsAt;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_ENDPOINTTABLE_H
