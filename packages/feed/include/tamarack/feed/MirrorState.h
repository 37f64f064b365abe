/// The state of a mirror of the platform's store: its items, and the removals
/// that are delayed because the keys may come back.
///
///   MirrorState State(Options, Now);
///   State.onStoreFailure(Now);
///   State.applyChanges(Changes, StoreRevision, Now);
///   State.applyDelayedRemovals(AskedAt);
///
/// Leases can expire during a store outage, so a key that the store lacks
/// during or shortly after an outage may come back. Its removal is delayed
/// until the time has passed within which the platform restores such keys, and
/// the store, asked after that, still lacks it. A source of a feed passes on
/// only removals that it has delayed itself where that was needed, so they take
/// effect at once: a process that was cut off takes its own loss of the store
/// for an outage, but a source that was not cut off knows better.
#ifndef TAMARACK_FEED_MIRRORSTATE_H
#define TAMARACK_FEED_MIRRORSTATE_H

#include "tamarack/feed/ChangeFeed.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct MirrorStateOptions {
  /// Identifies the feed of this mirror; must be unique.
  std::string FeedId;
  /// Whether two states of an item have the same meaning to followers.
  ChangeFeed::Equivalence SameMeaning;
  /// The time after an outage within which the platform restores keys whose
  /// leases expired in it.
  Duration RestorePeriod = std::chrono::milliseconds(2200);
};

/// The keys that a change of the mirror affected.
struct MirrorRemovals {
  std::vector<std::string> Removed;
  /// Keys that are absent from the store and whose removal is delayed.
  std::vector<std::string> Delayed;

  friend bool operator==(const MirrorRemovals &,
                         const MirrorRemovals &) = default;
};

class MirrorState {
public:
  MirrorState(MirrorStateOptions Options, TimePoint StartedAt);

  /// All items by key, including those whose removal is delayed.
  const std::map<std::string, StoreItem> &items() const { return Items; }
  /// The item of \p Key, or nullptr if there is none.
  const StoreItem *find(const std::string &Key) const;
  /// Whether the store, a source or a peer has provided the items.
  bool isLoaded() const { return Loaded; }
  /// Whether the items are complete up to appliedRevision(), so that the
  /// changes after it can be watched.
  bool isListed() const { return Listed; }
  /// The revision up to which changes have been applied.
  Revision appliedRevision() const { return AppliedRevision; }
  bool isInOutage() const { return InOutage; }
  std::size_t delayedRemovals() const { return DelayedRemovals.size(); }

  /// Records that the store did not answer. Returns whether an outage begins.
  bool onStoreFailure(TimePoint Now);
  /// Records an answer of the store or of a source. Returns whether it ends an
  /// outage.
  bool onAnswer(TimePoint Now);
  /// Records that a source, whose page was not accepted, has seen an outage at
  /// \p At, which this process may not have noticed itself.
  void onSourceOutage(TimePoint At) {
    LastOutageAt = std::max(LastOutageAt, At);
  }
  /// Records that the store no longer has the changes after appliedRevision().
  void onHistoryLost() { Listed = false; }

  /// Replaces the items by a listing of the store whose first page was of
  /// \p ListedAt. Keeps items that changed after that.
  MirrorRemovals applyListing(const std::vector<StoreItem> &Listing,
                              Revision ListedAt, TimePoint Now);
  /// Applies changes that a watch on the store returned.
  MirrorRemovals applyChanges(const std::vector<StoreItem> &Changes,
                              Revision StoreRevision, TimePoint Now);
  /// Applies a page of a source's feed.
  MirrorRemovals applyPage(const FeedPage &Page, TimePoint Now);
  /// Loads the items of a peer's mirror; ignored once the mirror is loaded.
  void loadFromPeer(const std::vector<StoreItem> &PeerItems);
  /// When the first delayed removal may be carried out; empty if there is none
  /// or the store does not answer.
  std::optional<TimePoint> removalsDueAt() const;
  /// Carries out the removals that the store confirmed, where \p AskedAt is
  /// when it was asked for the changes that were applied last. Returns their
  /// keys.
  std::vector<std::string> applyDelayedRemovals(TimePoint AskedAt);

  /// Returns what a follower that has received \p Position lacks. The caller
  /// sets FeedPage::Age.
  FeedPage pageAfter(const FeedPosition &Position, TimePoint Now) const;

private:
  void put(const StoreItem &Item);
  void erase(const std::string &Key);
  /// Removes \p Key unless it changed after \p RemovedAt, or delays that if
  /// \p MayDelay is set and an outage is recent.
  void remove(const std::string &Key, Revision RemovedAt, bool MayDelay,
              TimePoint Now, MirrorRemovals &Result);
  /// Does the same for all items except those of \p Present.
  void removeMissing(const std::vector<StoreItem> &Present, Revision RemovedAt,
                     bool MayDelay, TimePoint Now, MirrorRemovals &Result);

  const MirrorStateOptions Options;
  std::map<std::string, StoreItem> Items;
  ChangeFeed Feed;
  /// Keys that disappeared around an outage, and the end of the time within
  /// which they may come back.
  std::map<std::string, TimePoint> DelayedRemovals;
  Revision AppliedRevision = 0;
  bool Loaded = false;
  bool Listed = false;
  bool InOutage = false;
  /// Time of the last failed call or of the answer that ended an outage, here
  /// or at a source.
  TimePoint LastOutageAt;
  const TimePoint StartedAt;
};

} // namespace tamarack

#endif // TAMARACK_FEED_MIRRORSTATE_H
