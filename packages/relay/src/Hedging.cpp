#include "tamarack/relay/Hedging.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace tamarack {
namespace {

/// A second attempt is due once the first has taken longer than this part of
/// the attempts.
constexpr double SlowQuantile = 0.95;
/// A new attempt is taken to last as long as this part of the attempts at most,
/// so that it would mostly answer first.
constexpr double NewAttemptQuantile = 0.75;
/// With fewer answers the quantile would be that of the slowest one.
constexpr std::uint32_t MinAnswers = 20;
/// No second attempts are sent while more of a service's slots are taken, since
/// most of what is slow then waits for a slot.
constexpr double MaxBusyPart = 0.75;

} // namespace

std::size_t RecentDurations::bucketOf(Duration Value) {
  const auto Micros = static_cast<std::uint64_t>(
      std::max<std::int64_t>(Value / std::chrono::microseconds(1), 0));
  const std::uint64_t Clamped =
      std::clamp(Micros, std::uint64_t(1) << MinExponent,
                 (std::uint64_t(1) << MaxExponent) - 1);
  const unsigned Exponent = std::bit_width(Clamped) - 1;
  const std::uint64_t Step =
      (Clamped >> (Exponent - StepBits)) - (std::uint64_t(1) << StepBits);
  return ((Exponent - MinExponent) << StepBits) + Step;
}

Duration RecentDurations::lowerBound(std::size_t Bucket) {
  const std::size_t Exponent = MinExponent + (Bucket >> StepBits);
  const std::uint64_t Step = Bucket % (std::uint64_t(1) << StepBits);
  const std::uint64_t Micros = ((std::uint64_t(1) << StepBits) + Step)
                               << (Exponent - StepBits);
  return std::chrono::microseconds(Micros);
}

bool RecentDurations::includesPrevious(TimePoint Now) const {
  return Now - CurrentSince < Period;
}

bool RecentDurations::isOutdated(TimePoint Now) const {
  return Now - CurrentSince >= 2 * Period;
}

void RecentDurations::add(Duration Value, TimePoint Now) {
  if (!includesPrevious(Now)) {
    Previous = isOutdated(Now) ? Histogram() : Current;
    Current = {};
    CurrentSince = Now;
  }
  ++Current.Buckets[bucketOf(Value)];
  ++Current.Total;
}

std::uint32_t RecentDurations::count(TimePoint Now) const {
  if (isOutdated(Now))
    return 0;
  return Current.Total + (includesPrevious(Now) ? Previous.Total : 0);
}

std::optional<Duration> RecentDurations::quantile(double Part,
                                                  TimePoint Now) const {
  const std::uint32_t Total = count(Now);
  if (Total == 0)
    return std::nullopt;
  const auto Wanted = static_cast<std::uint32_t>(std::ceil(Part * Total));
  std::uint32_t Seen = 0;
  std::size_t Bucket = 0;
  while (Seen += countIn(Bucket, Now), Seen < Wanted)
    ++Bucket;
  return upperBound(Bucket);
}

std::optional<Duration> RecentDurations::patience(double Part, Duration Rest,
                                                  TimePoint Now) const {
  const std::uint32_t Total = count(Now);
  if (Total == 0)
    return std::nullopt;
  const auto Wanted = static_cast<std::uint32_t>(std::ceil(Part * Total));
  std::uint32_t Seen = 0;
  // The bucket of the median of those that are longer, and the durations in the
  // buckets before it.
  std::size_t Median = 0;
  std::uint32_t BeforeMedian = 0;
  std::size_t Bucket = 0;
  while (Seen += countIn(Bucket, Now), Seen < Total) {
    const std::uint32_t Longer = Total - Seen;
    while (BeforeMedian + countIn(Median, Now) <= Seen + (Longer - 1) / 2)
      BeforeMedian += countIn(Median++, Now);
    if (Seen >= Wanted && lowerBound(Median) >= upperBound(Bucket) + Rest)
      return upperBound(Bucket);
    ++Bucket;
  }
  return upperBound(Bucket);
}

std::uint32_t RecentDurations::countIn(std::size_t Bucket,
                                       TimePoint Now) const {
  return Current.Buckets[Bucket] +
         (includesPrevious(Now) ? Previous.Buckets[Bucket] : 0);
}

HedgingWindow::Slot &HedgingWindow::slot(TimePoint Now) {
  const std::int64_t Number = Now.time_since_epoch() / SlotLength;
  Slot &Result = Slots[static_cast<std::size_t>(Number % SlotCount)];
  if (Result.Number != Number)
    Result = {Number, 0, 0};
  return Result;
}

bool HedgingWindow::hasRoom(double Share, TimePoint Now) const {
  const std::int64_t Last = Now.time_since_epoch() / SlotLength;
  std::uint64_t Requests = 0;
  std::uint64_t Attempts = 0;
  for (const Slot &Each : Slots)
    if (Each.Number > Last - SlotCount && Each.Number <= Last) {
      Requests += Each.Requests;
      Attempts += Each.Attempts;
    }
  return static_cast<double>(Attempts + 1) <=
         Share * static_cast<double>(Requests);
}

const char *nameOf(HedgingRefusal Reason) {
  switch (Reason) {
  case HedgingRefusal::NotDue:
    return "not_due";
  case HedgingRefusal::Stopping:
    return "stopping";
  case HedgingRefusal::SuspectedCrash:
    return "suspected_crash";
  case HedgingRefusal::MaxAttempts:
    return "max_attempts";
  case HedgingRefusal::LittleTime:
    return "little_time";
  case HedgingRefusal::LittleRoom:
    return "little_room";
  case HedgingRefusal::LittleMemory:
    return "little_memory";
  case HedgingRefusal::Limit:
    return "limit";
  case HedgingRefusal::RateLimited:
    return "rate_limited";
  case HedgingRefusal::NoEndpoint:
    return "no_endpoint";
  }
  return "unknown";
}

void Hedging::onRequest(const ServiceId &Service, TimePoint Now) {
  if (isEnabled())
    Windows[Service].addRequest(Now);
}

void Hedging::onAnswer(const ServiceId &Service, const std::string &Route,
                       Duration Took, TimePoint Now) {
  if (isEnabled())
    Answers[{Service, Route}].add(Took, Now);
}

void Hedging::onSent(const ServiceId &Service, TimePoint Now) {
  Windows[Service].addAttempt(Now);
}

std::optional<Duration> Hedging::delay(const ServiceId &Service,
                                       const std::string &Route,
                                       TimePoint Now) const {
  if (!isEnabled())
    return std::nullopt;
  const auto Known = Answers.find({Service, Route});
  if (Known == Answers.end() || Known->second.count(Now) < MinAnswers)
    return std::nullopt;
  const RecentDurations &Durations = Known->second;
  return Durations.patience(SlowQuantile,
                            *Durations.quantile(NewAttemptQuantile, Now), Now);
}

std::optional<HedgingRefusal> Hedging::refusal(const HedgingFacts &Facts,
                                               TimePoint Now) const {
  const std::optional<Duration> Delay = delay(Facts.Service, Facts.Route, Now);
  if (!Delay || Facts.Elapsed < *Delay)
    return HedgingRefusal::NotDue;
  if (Facts.IsStopping)
    return HedgingRefusal::Stopping;
  if (Facts.IsSuspect)
    return HedgingRefusal::SuspectedCrash;
  if (Facts.PossibleRuns >= Facts.MaxAttempts)
    return HedgingRefusal::MaxAttempts;
  const std::optional<Duration> Usual =
      Answers.at({Facts.Service, Facts.Route}).quantile(0.5, Now);
  if (Facts.TimeLeft < *Usual)
    return HedgingRefusal::LittleTime;
  if (!Facts.Load.IsKnown ||
      Facts.Load.Running + 1 > MaxBusyPart * Facts.Load.Slots)
    return HedgingRefusal::LittleRoom;
  if (!Facts.HasMemory)
    return HedgingRefusal::LittleMemory;
  const auto Window = Windows.find(Facts.Service);
  if (Window == Windows.end() || !Window->second.hasRoom(Share, Now))
    return HedgingRefusal::Limit;
  if (!Facts.HasEndpoint)
    return Facts.IsRateLimited ? HedgingRefusal::RateLimited
                               : HedgingRefusal::NoEndpoint;
  return std::nullopt;
}

void Hedging::retain(const Catalog &Config) {
  for (auto It = Answers.begin(); It != Answers.end();) {
    const bool Exists = std::any_of(Config.Routes.begin(), Config.Routes.end(),
                                    [&](const Route &Each) {
                                      return Each.Name == It->first.second;
                                    }) &&
                        findService(Config, It->first.first) != nullptr;
    It = Exists ? std::next(It) : Answers.erase(It);
  }
  for (auto It = Windows.begin(); It != Windows.end();)
    It = findService(Config, It->first) != nullptr ? std::next(It)
                                                   : Windows.erase(It);
}

} // namespace tamarack
