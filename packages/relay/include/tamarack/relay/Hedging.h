/// Decides when a request that may be repeated gets a second attempt at another
/// endpoint, beside the first one (hedging).
///
///   Hedging Hedges(Share);
///   Hedges.onRequest(Service, Now);
///   if (const auto Delay = Hedges.delay(Service, Route, Now))
///     ... ask again after the delay ...
///   if (!Hedges.refusal(Facts, Now))
///     Hedges.onSent(Service, Now);
///
/// A second attempt is due once the first one has taken longer than most
/// attempts of its service and route lately, and those that took so long would
/// mostly have taken longer still than a new attempt does. If all answers come
/// within a short time of each other, as when the request says how long it
/// takes, that is only after the longest of them. The operators limit them to a
/// part of the service's requests. Each entry keeps to that part of its own
/// requests, so all entries together keep to it.
#ifndef TAMARACK_RELAY_HEDGING_H
#define TAMARACK_RELAY_HEDGING_H

#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/EndpointTable.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tamarack {

/// The largest part of a service's requests that may get a second attempt.
inline constexpr double MaxHedgingShare = 0.5;

/// The distribution of durations in the last one to two periods.
class RecentDurations {
public:
  static constexpr Duration Period = std::chrono::seconds(15);

  void add(Duration Value, TimePoint Now);
  std::uint32_t count(TimePoint Now) const;
  /// The duration that the part \p Part of them does not exceed, rounded up by
  /// an eighth at most; empty if there are none.
  std::optional<Duration> quantile(double Part, TimePoint Now) const;
  /// The shortest time that the part \p Part of them does not exceed and after
  /// which half of the longer ones take at least \p Rest more; the longest of
  /// them if there is no such time, and empty if there are none.
  std::optional<Duration> patience(double Part, Duration Rest,
                                   TimePoint Now) const;

private:
  /// From about 0.25 ms to two minutes, eight to each doubling.
  static constexpr unsigned MinExponent = 8;
  static constexpr unsigned MaxExponent = 27;
  static constexpr unsigned StepBits = 3;
  static constexpr std::size_t BucketCount = (MaxExponent - MinExponent)
                                             << StepBits;
  struct Histogram {
    std::array<std::uint32_t, BucketCount> Buckets{};
    std::uint32_t Total = 0;
  };

  static std::size_t bucketOf(Duration Value);
  static Duration lowerBound(std::size_t Bucket);
  static Duration upperBound(std::size_t Bucket) {
    return lowerBound(Bucket + 1);
  }
  /// Whether the counts of both periods are of the last one to two periods, or
  /// only those of the current one.
  bool includesPrevious(TimePoint Now) const;
  bool isOutdated(TimePoint Now) const;
  std::uint32_t countIn(std::size_t Bucket, TimePoint Now) const;

  Histogram Previous;
  Histogram Current;
  TimePoint CurrentSince;
};

/// The requests and the second attempts of the last minute.
class HedgingWindow {
public:
  static constexpr Duration Length = std::chrono::minutes(1);

  void addRequest(TimePoint Now) { ++slot(Now).Requests; }
  void addAttempt(TimePoint Now) { ++slot(Now).Attempts; }
  /// Whether the second attempts are \p Share of the requests at most, with one
  /// more of them.
  bool hasRoom(double Share, TimePoint Now) const;

private:
  static constexpr std::int64_t SlotCount = 60;
  static constexpr Duration SlotLength = Length / SlotCount;

  struct Slot {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Attempts = 0;
  };

  Slot &slot(TimePoint Now);

  std::array<Slot, SlotCount> Slots{};
};

/// Why a request gets no second attempt.
enum class HedgingRefusal {
  /// The first attempt has not taken long yet, or too little is known of what
  /// is usual.
  NotDue,
  /// The process is shutting down.
  Stopping,
  /// An endpoint crashed under the request before.
  SuspectedCrash,
  /// The request may have run at as many endpoints as its route allows.
  MaxAttempts,
  /// The deadline comes before a usual answer would.
  LittleTime,
  /// The service is nearly full, or its load is not known.
  LittleRoom,
  /// There is too little memory for another copy of the request.
  LittleMemory,
  /// Second attempts have reached their part of the service's requests.
  Limit,
  /// All other endpoints limit their rate.
  RateLimited,
  /// No other endpoint has a free slot and works well.
  NoEndpoint,
};

/// The label value of \p Reason.
const char *nameOf(HedgingRefusal Reason);

/// A request whose first attempt is in flight.
struct HedgingFacts {
  ServiceId Service;
  std::string Route;
  /// The time since the first attempt was sent.
  Duration Elapsed{0};
  Duration TimeLeft{0};
  /// The endpoints that may have run the request, and how many may.
  std::uint32_t PossibleRuns = 1;
  std::uint32_t MaxAttempts = 1;
  ServiceLoad Load;
  bool IsStopping = false;
  bool IsSuspect = false;
  bool HasMemory = true;
  /// Whether another endpoint could take the request at once.
  bool HasEndpoint = false;
  /// Whether others could not because of their rate limits.
  bool IsRateLimited = false;

  friend bool operator==(const HedgingFacts &, const HedgingFacts &) = default;
};

class Hedging {
public:
  /// Second attempts are \p Share of the requests at most; none if it is 0.
  explicit Hedging(double Share) : Share(Share) {}

  bool isEnabled() const { return Share > 0; }
  void setShare(double Next) { Share = Next; }

  /// Counts a request to the service, of any kind.
  void onRequest(const ServiceId &Service, TimePoint Now);
  /// Records how long an attempt took until its answer was complete.
  void onAnswer(const ServiceId &Service, const std::string &Route,
                Duration Took, TimePoint Now);
  void onSent(const ServiceId &Service, TimePoint Now);
  /// After which time a second attempt is due; empty if it never is.
  std::optional<Duration> delay(const ServiceId &Service,
                                const std::string &Route, TimePoint Now) const;
  /// Why the request gets no second attempt now; empty if it does.
  std::optional<HedgingRefusal> refusal(const HedgingFacts &Facts,
                                        TimePoint Now) const;
  /// Drops what is known of routes and services that \p Config does not have.
  void retain(const Catalog &Config);

private:
  using RouteKey = std::pair<ServiceId, std::string>;

  double Share;
  std::map<RouteKey, RecentDurations> Answers;
  std::map<ServiceId, HedgingWindow> Windows;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_HEDGING_H
