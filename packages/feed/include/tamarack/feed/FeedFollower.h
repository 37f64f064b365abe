/// Decides from where a process gets the changes of the platform's store: from
/// the feed of another process, or from the store itself.
///
///   FeedFollower Follower(Limits, Self);
///   Follower.setSources(Addresses); // The nearest first.
///   for (const std::string &Source : Follower.sources())
///     if (Follower.accept(Source, PageOf(Source), Applied, AskedAt, Now))
///       break;
///   if (Follower.needsStore(Now)) ...
///
/// A page is accepted only if its source confirmed it recently and is not
/// behind what this process has already applied, so that the process never goes
/// back. A source that is silent, refused by the store or behind is passed
/// over. If no source has news that is recent enough, the process asks the
/// store itself. Calls to the store thus grow with the number of sources and
/// not with the number of processes.
#ifndef TAMARACK_FEED_FEEDFOLLOWER_H
#define TAMARACK_FEED_FEEDFOLLOWER_H

#include "tamarack/feed/ChangeFeed.h"

namespace tamarack {

struct FeedLimits {
  /// The time between two requests to a source.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// The longest time since the store confirmed the state that is known here
  /// before this process asks the store itself.
  Duration MaxAge = std::chrono::milliseconds(1900);
  /// Sources whose last outage or start is more recent are passed over: keys
  /// that expired meanwhile may be missing in their mirrors.
  Duration SettlePeriod = std::chrono::milliseconds(2200);
};

class FeedFollower {
public:
  explicit FeedFollower(FeedLimits Limits) : Limits(Limits) {}

  /// Replaces the addresses of the sources, the nearest first.
  void setSources(std::vector<std::string> Addresses);
  /// The sources in the order in which to ask them: the one that was accepted
  /// last comes first.
  std::vector<std::string> sources() const;
  /// What this process has received from \p Source.
  FeedPosition positionAt(const std::string &Source) const;
  /// Returns whether \p Page, which answers a request sent at \p AskedAt, is to
  /// be applied. \p Applied is the revision that this process has applied.
  bool accept(const std::string &Source, const FeedPage &Page, Revision Applied,
              TimePoint AskedAt, TimePoint Now);
  /// Records that the store itself confirmed the state known here at \p Time.
  /// The next page of a source must hold all items: the state is no longer that
  /// of the source, which tells only what changed there.
  void onStoreConfirmed(TimePoint Time);
  bool needsStore(TimePoint Now) const;
  /// When the store last confirmed the state known here, directly or through a
  /// source.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  const FeedLimits &limits() const { return Limits; }

private:
  const FeedLimits Limits;
  std::vector<std::string> Addresses;
  std::string Current;
  FeedPosition Position;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace tamarack

#endif // TAMARACK_FEED_FEEDFOLLOWER_H
