#include "tamarack/feed/FeedFollower.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The parts of the time within which a change of the store must take effect.
/// A source pauses between two watches, a watch waits for changes, and a
/// follower polls its source; their sum is less than the age at which a
/// follower asks the store itself. That age and the minimum timeout of a source
/// leave a fifth of the time for the answer of the store.
constexpr double StorePauseFraction = 0.4;
constexpr double WatchWaitFraction = 0.1;
constexpr double PollIntervalFraction = 0.2;
constexpr double MaxAgeFraction = 0.75;
constexpr double MinSourceTimeoutFraction = 0.05;
constexpr Duration MaxStorePause = std::chrono::seconds(2);
constexpr Duration MaxPollInterval = std::chrono::seconds(1);
/// Less than FeedLimits::SourceTimeout.
constexpr Duration MaxMinSourceTimeout = std::chrono::milliseconds(200);

Duration fractionOf(Duration Whole, double Fraction) {
  return std::chrono::duration_cast<Duration>(Whole * Fraction);
}

} // namespace

FeedLimits feedLimits(Duration ApplyLimit) {
  FeedLimits Result;
  Result.PollInterval =
      std::min(MaxPollInterval, fractionOf(ApplyLimit, PollIntervalFraction));
  Result.MaxAge = fractionOf(ApplyLimit, MaxAgeFraction);
  Result.MinSourceTimeout = std::min(
      MaxMinSourceTimeout, fractionOf(ApplyLimit, MinSourceTimeoutFraction));
  Result.StorePause =
      std::min(MaxStorePause, fractionOf(ApplyLimit, StorePauseFraction));
  return Result;
}

Duration maxWatchWait(Duration ApplyLimit) {
  return fractionOf(ApplyLimit, WatchWaitFraction);
}

void FeedFollower::setSources(std::vector<std::string> Next) {
  Addresses = std::move(Next);
  for (auto It = SilentAt.begin(); It != SilentAt.end();)
    It = std::find(Addresses.begin(), Addresses.end(), It->first) ==
                 Addresses.end()
             ? SilentAt.erase(It)
             : std::next(It);
}

std::vector<std::string> FeedFollower::sources() const {
  // Sorts by the time of the last silence, which is the earliest for sources
  // that answer, and among these the current one first.
  const auto SortKey = [this](const std::string &Address) {
    const auto Silent = SilentAt.find(Address);
    return std::pair(Silent == SilentAt.end() ? TimePoint::min()
                                              : Silent->second,
                     Address != Current);
  };
  std::vector<std::string> Result = Addresses;
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const std::string &Left, const std::string &Right) {
                     return SortKey(Left) < SortKey(Right);
                   });
  return Result;
}

TimePoint FeedFollower::storeDueAt() const {
  if (!ConfirmedAt || Addresses.empty() || IsStoreRequested)
    return StorePausedUntil;
  return std::max(*ConfirmedAt + Limits.MaxAge, StorePausedUntil);
}

std::string FeedFollower::nextSource() const {
  for (const std::string &Source : sources())
    if (AskedInRound.count(Source) == 0)
      return Source;
  return {};
}

FeedStep FeedFollower::nextStep(TimePoint Now,
                                std::optional<TimePoint> RemovalsDueAt) {
  const TimePoint StoreDueAt = storeDueAt();
  if (StoreDueAt <= Now)
    return {FeedStep::Action::AskStore, {}, Now};
  const TimePoint RoundAt =
      std::min(NextRoundAt, RemovalsDueAt.value_or(TimePoint::max()));
  if (RoundAt <= Now) {
    if (const std::string Source = nextSource(); !Source.empty()) {
      AskedInRound.insert(Source);
      const Duration Timeout = std::clamp(
          StoreDueAt - Now, Limits.MinSourceTimeout, Limits.SourceTimeout);
      return {FeedStep::Action::AskSource, Source, Now + Timeout};
    }
    AskedInRound.clear();
    NextRoundAt = Now + Limits.PollInterval;
    if (RemovalsDueAt && *RemovalsDueAt <= Now)
      return {FeedStep::Action::AskStore, {}, Now};
    return {FeedStep::Action::Wait, {}, std::min(NextRoundAt, StoreDueAt)};
  }
  return {FeedStep::Action::Wait, {}, std::min(RoundAt, StoreDueAt)};
}

FeedPosition FeedFollower::positionAt(const std::string &Source) const {
  return Source == Current ? Position : FeedPosition();
}

bool FeedFollower::accept(const std::string &Source, const FeedPage &Page,
                          Revision Applied, TimePoint AskedAt, TimePoint Now) {
  SilentAt.erase(Source);
  if (!Page.Age || Page.AppliedRevision < Applied)
    return false;
  const TimePoint Confirmed = AskedAt - *Page.Age;
  if (Now - Confirmed > Limits.MaxAge)
    return false;
  if (Page.IsComplete && Page.SinceOutage < Limits.SettlePeriod)
    return false;
  Current = Source;
  Position = Page.Position;
  ConfirmedAt = std::max(Confirmed, ConfirmedAt.value_or(Confirmed));
  // A source that the store refuses passes on items that grow older. The other
  // sources are asked before the store is.
  const Duration TimeLeft = storeDueAt() - Now;
  if (TimeLeft >= Limits.PollInterval / 2) {
    AskedInRound.clear();
    NextRoundAt =
        Now + std::min(Limits.PollInterval, TimeLeft - Limits.MinSourceTimeout);
  }
  return true;
}

void FeedFollower::onSilent(const std::string &Source, TimePoint Now) {
  SilentAt[Source] = Now;
}

void FeedFollower::onStoreConfirmed(TimePoint AskedAt, TimePoint Now) {
  Position = {};
  ConfirmedAt = std::max(AskedAt, ConfirmedAt.value_or(AskedAt));
  IsStoreRequested = false;
  StorePausedUntil = Addresses.empty() ? Now + Limits.StorePause : Now;
}

void FeedFollower::onStoreFailed(TimePoint Now) {
  IsStoreRequested = false;
  StorePausedUntil = Now + (Addresses.empty() ? Limits.StoreRetryInterval
                                              : Limits.PollInterval);
}

bool FeedFollower::requestStore(TimePoint Now) {
  if (StorePausedUntil > Now)
    return false;
  IsStoreRequested = true;
  return true;
}

} // namespace tamarack
