/// Decides from where and when a process gets the changes of the platform's
/// store: from the feed of another process, or from the store itself.
///
///   FeedFollower Follower(feedLimits(ApplyLimit));
///   Follower.setSources(Addresses); // The nearest first.
///   const FeedStep Step = Follower.nextStep(Now, RemovalsDueAt);
///   // Ask Step.Source until Step.Until, ask the store, or wait until then.
///   Follower.accept(Step.Source, Page, Applied, AskedAt, Now);
///
/// A page is accepted only if its source confirmed it recently and is not
/// behind what this process has already applied, so that the process never goes
/// back. A source that is silent, refused by the store or behind is passed
/// over. If no source has news that is recent enough, the process asks the
/// store itself. Calls to the store thus grow with the number of sources and
/// not with the number of processes.
///
/// When the store must be asked depends only on when the items were last
/// confirmed. Sources are asked in the time until then, so that silent ones do
/// not delay it, however many they are.
#ifndef TAMARACK_FEED_FEEDFOLLOWER_H
#define TAMARACK_FEED_FEEDFOLLOWER_H

#include "tamarack/feed/ChangeFeed.h"

#include <set>

namespace tamarack {

struct FeedLimits {
  /// The time between two rounds of requests to the sources.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// The longest time since the store confirmed the state that is known here
  /// before this process asks the store itself.
  Duration MaxAge = std::chrono::milliseconds(1900);
  /// Sources whose last outage or start is more recent are passed over: keys
  /// that expired meanwhile may be missing in their mirrors.
  Duration SettlePeriod = std::chrono::milliseconds(2200);
  /// The timeout of a request to a source. It is less where the store is due
  /// before, but not less than the minimum: a source in another region answers
  /// within 50 ms.
  Duration SourceTimeout = std::chrono::milliseconds(400);
  Duration MinSourceTimeout = std::chrono::milliseconds(150);
  /// The time between an answer of the store and the next question, for a
  /// process without sources.
  Duration StorePause = std::chrono::milliseconds(1000);
  /// The time between a failed question to the store and the next one.
  Duration StoreRetryInterval = std::chrono::milliseconds(250);

  friend bool operator==(const FeedLimits &, const FeedLimits &) = default;
};

/// The limits with which every change of the store is known within
/// \p ApplyLimit while the store answers, from sources that have the same
/// limits and let a watch wait for maxWatchWait().
FeedLimits feedLimits(Duration ApplyLimit);

/// How long a source may let a watch on the store wait for a change.
Duration maxWatchWait(Duration ApplyLimit);

/// What a process does next to learn the changes of the store.
struct FeedStep {
  enum class Action { AskSource, AskStore, Wait };

  Action Next = Action::Wait;
  /// The source to ask.
  std::string Source;
  /// The deadline of the request to the source, or the end of the wait.
  TimePoint Until;

  friend bool operator==(const FeedStep &, const FeedStep &) = default;
};

class FeedFollower {
public:
  explicit FeedFollower(FeedLimits Limits) : Limits(Limits) {}

  /// Replaces the addresses of the sources, the nearest first.
  void setSources(std::vector<std::string> Addresses);
  /// The sources in the order in which to ask them: first the one that was
  /// accepted last, and last those that were silent, the latest at the end.
  std::vector<std::string> sources() const;
  /// Returns the next step. Its outcome is to be reported by accept(),
  /// onSilent(), onStoreConfirmed() or onStoreFailed(). The store is also asked
  /// once \p RemovalsDueAt has come and no source has news; it must be empty
  /// after the store failed to answer.
  FeedStep nextStep(TimePoint Now, std::optional<TimePoint> RemovalsDueAt);

  /// What this process has received from \p Source.
  FeedPosition positionAt(const std::string &Source) const;
  /// Returns whether \p Page, which answers a request sent at \p AskedAt, is to
  /// be applied. \p Applied is the revision that this process has applied.
  bool accept(const std::string &Source, const FeedPage &Page, Revision Applied,
              TimePoint AskedAt, TimePoint Now);
  /// Records that \p Source did not answer.
  void onSilent(const std::string &Source, TimePoint Now);
  /// Records that the store, asked at \p AskedAt, confirmed the state known
  /// here. The next page of a source must hold all items: the state is no
  /// longer that of the source, which tells only what changed there.
  void onStoreConfirmed(TimePoint AskedAt, TimePoint Now);
  void onStoreFailed(TimePoint Now);
  /// Makes the store due at once, whatever the age of the items. Returns false
  /// if it has just failed to answer, so that it is not asked yet.
  bool requestStore(TimePoint Now);

  /// When the store last confirmed the state known here, directly or through a
  /// source.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  const FeedLimits &limits() const { return Limits; }

private:
  /// When the store is to be asked whatever the sources do.
  TimePoint storeDueAt() const;
  /// The first source that was not asked in this round; empty if there is none.
  std::string nextSource() const;

  const FeedLimits Limits;
  std::vector<std::string> Addresses;
  /// When each silent source last failed to answer.
  std::map<std::string, TimePoint> SilentAt;
  std::string Current;
  FeedPosition Position;
  std::optional<TimePoint> ConfirmedAt;
  /// The store is not asked before.
  TimePoint StorePausedUntil;
  bool IsStoreRequested = false;
  /// When the next round begins, and which sources were asked in this one.
  TimePoint NextRoundAt;
  std::set<std::string> AskedInRound;
};

} // namespace tamarack

#endif // TAMARACK_FEED_FEEDFOLLOWER_H
