/// The changes of a mirror of the platform's store, for processes that follow
/// the mirror in place of the store.
///
///   ChangeFeed Feed("ledger-1/17", SameMeaning);
///   Feed.put(Item);
///   FeedPage Page = Feed.pageAfter(Position); // Empty position: all items.
///
/// Only changes that alter the meaning of an item are passed on. Replicas
/// rewrite their entries every second with a new sequence number, which is most
/// of what a watch on the store returns.
#ifndef TAMARACK_FEED_CHANGEFEED_H
#define TAMARACK_FEED_CHANGEFEED_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Json.h"
#include "tamarack/feed/StoreItem.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// What a follower has received of a feed.
struct FeedPosition {
  /// Identifies the feed; empty before the first page. A restarted process has
  /// another feed.
  std::string Feed;
  std::uint64_t Number = 0;

  friend bool operator==(const FeedPosition &, const FeedPosition &) = default;
};

/// The answer to a follower.
struct FeedPage {
  FeedPosition Position;
  /// Whether Items holds all items of the mirror, as opposed to the changes
  /// since the follower's position.
  bool IsComplete = false;
  std::vector<StoreItem> Items;
  /// The store's revision up to which the mirror has applied changes.
  Revision AppliedRevision = 0;
  /// The time since the store confirmed the state of the mirror; empty if it
  /// never did.
  std::optional<Duration> Age;
  /// The time since the mirror last noticed an outage of the store or was
  /// started.
  Duration SinceOutage{0};

  friend bool operator==(const FeedPage &, const FeedPage &) = default;
};

void to_json(Json &Value, const FeedPosition &From);
void from_json(const Json &Value, FeedPosition &To);
void to_json(Json &Value, const FeedPage &From);
void from_json(const Json &Value, FeedPage &To);

class ChangeFeed {
public:
  using Equivalence = std::function<bool(const StoreItem &, const StoreItem &)>;

  /// \p Id must differ from the ids of all other feeds. \p SameMeaning tells
  /// whether two states of an item have the same meaning to followers.
  ChangeFeed(std::string Id, Equivalence SameMeaning);

  void put(const StoreItem &Item);
  void remove(const std::string &Key);
  /// Returns the changes after \p Position, or all items if the feed no longer
  /// has the removals since then or is another one. The caller sets the
  /// members that describe the state of the mirror.
  FeedPage pageAfter(const FeedPosition &Position) const;

private:
  struct NumberedItem {
    StoreItem Item;
    std::uint64_t Number = 0;
  };

  void forgetOldRemovals();

  const std::string Id;
  const Equivalence SameMeaning;
  std::uint64_t LastNumber = 0;
  std::map<std::string, NumberedItem> Items;
  /// The removed keys by the number of their removal.
  std::map<std::uint64_t, std::string> Removals;
  /// The number of the newest removal that was forgotten.
  std::uint64_t ForgottenNumber = 0;
};

} // namespace tamarack

#endif // TAMARACK_FEED_CHANGEFEED_H
