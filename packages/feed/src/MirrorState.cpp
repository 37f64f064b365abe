#include "tamarack/feed/MirrorState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack {

MirrorState::MirrorState(MirrorStateOptions Options, TimePoint StartedAt)
    : Options(std::move(Options)),
      Feed(this->Options.FeedId, this->Options.SameMeaning),
      StartedAt(StartedAt) {}

const StoreItem *MirrorState::find(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() ? nullptr : &Found->second;
}

bool MirrorState::onStoreFailure(TimePoint Now) {
  LastOutageAt = Now;
  return !std::exchange(InOutage, true);
}

bool MirrorState::onAnswer(TimePoint Now) {
  if (!std::exchange(InOutage, false))
    return false;
  LastOutageAt = Now;
  return true;
}

MirrorRemovals MirrorState::applyListing(const std::vector<StoreItem> &Listing,
                                         Revision ListedAt, TimePoint Now) {
  MirrorRemovals Result;
  for (const StoreItem &Item : Listing)
    put(Item);
  removeMissing(Listing, ListedAt, true, Now, Result);
  AppliedRevision = ListedAt;
  Listed = true;
  Loaded = true;
  return Result;
}

MirrorRemovals MirrorState::applyChanges(const std::vector<StoreItem> &Changes,
                                         Revision StoreRevision,
                                         TimePoint Now) {
  MirrorRemovals Result;
  for (const StoreItem &Change : Changes)
    if (Change.Removed)
      remove(Change.Key, Change.ModRevision, true, Now, Result);
    else
      put(Change);
  AppliedRevision = std::max(AppliedRevision, StoreRevision);
  return Result;
}

MirrorRemovals MirrorState::applyPage(const FeedPage &Page, TimePoint Now) {
  // The items are those of the source from now on, so its outages count.
  LastOutageAt = Now - Page.SinceOutage;
  MirrorRemovals Result;
  for (const StoreItem &Item : Page.Items)
    if (Item.Removed)
      remove(Item.Key, Page.AppliedRevision, false, Now, Result);
    else
      put(Item);
  if (Page.IsComplete)
    removeMissing(Page.Items, Page.AppliedRevision, false, Now, Result);
  DelayedRemovals.clear();
  AppliedRevision = Page.AppliedRevision;
  Listed = true;
  Loaded = true;
  return Result;
}

void MirrorState::loadFromPeer(const std::vector<StoreItem> &PeerItems) {
  if (Loaded)
    return;
  for (const StoreItem &Item : PeerItems)
    put(Item);
  Loaded = !Items.empty();
}

std::optional<TimePoint> MirrorState::removalsDueAt() const {
  const auto First =
      std::min_element(DelayedRemovals.begin(), DelayedRemovals.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       });
  if (First == DelayedRemovals.end() || InOutage)
    return std::nullopt;
  return First->second;
}

std::vector<std::string> MirrorState::applyDelayedRemovals(TimePoint AskedAt) {
  std::vector<std::string> Result;
  if (InOutage)
    return Result;
  for (const auto &[Key, DueAt] : DelayedRemovals)
    if (DueAt <= AskedAt)
      Result.push_back(Key);
  for (const std::string &Key : Result)
    erase(Key);
  return Result;
}

FeedPage MirrorState::pageAfter(const FeedPosition &Position,
                                TimePoint Now) const {
  FeedPage Result = Feed.pageAfter(Position);
  Result.AppliedRevision = AppliedRevision;
  Result.SinceOutage =
      InOutage ? Duration(0) : Now - std::max(LastOutageAt, StartedAt);
  return Result;
}

void MirrorState::put(const StoreItem &Item) {
  DelayedRemovals.erase(Item.Key);
  StoreItem &Current = Items[Item.Key];
  if (Item.ModRevision < Current.ModRevision)
    return;
  Current = Item;
  Feed.put(Item);
}

void MirrorState::erase(const std::string &Key) {
  Items.erase(Key);
  DelayedRemovals.erase(Key);
  Feed.remove(Key);
}

void MirrorState::remove(const std::string &Key, Revision RemovedAt,
                         bool MayDelay, TimePoint Now, MirrorRemovals &Result) {
  const auto Found = Items.find(Key);
  if (Found == Items.end() || Found->second.ModRevision > RemovedAt)
    return;
  const TimePoint MayReturnUntil = LastOutageAt + Options.RestorePeriod;
  if (MayDelay && (InOutage || Now < MayReturnUntil)) {
    if (DelayedRemovals.emplace(Key, MayReturnUntil).second)
      Result.Delayed.push_back(Key);
    return;
  }
  erase(Key);
  Result.Removed.push_back(Key);
}

void MirrorState::removeMissing(const std::vector<StoreItem> &Present,
                                Revision RemovedAt, bool MayDelay,
                                TimePoint Now, MirrorRemovals &Result) {
  std::set<std::string> PresentKeys;
  for (const StoreItem &Item : Present)
    PresentKeys.insert(Item.Key);
  std::vector<std::string> MissingKeys;
  for (const auto &[Key, Item] : Items)
    if (PresentKeys.count(Key) == 0)
      MissingKeys.push_back(Key);
  for (const std::string &Key : MissingKeys)
    remove(Key, RemovedAt, MayDelay, Now, Result);
}

} // namespace tamarack
