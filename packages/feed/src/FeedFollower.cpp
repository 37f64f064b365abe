#include "tamarack/feed/FeedFollower.h"

#include <algorithm>

namespace tamarack {

void FeedFollower::setSources(std::vector<std::string> Next) {
  Addresses = std::move(Next);
}

std::vector<std::string> FeedFollower::sources() const {
  std::vector<std::string> Result = Addresses;
  std::stable_partition(
      Result.begin(), Result.end(),
      [this](const std::string &Address) { return Address == Current; });
  return Result;
}

FeedPosition FeedFollower::positionAt(const std::string &Source) const {
  return Source == Current ? Position : FeedPosition();
}

bool FeedFollower::accept(const std::string &Source, const FeedPage &Page,
                          Revision Applied, TimePoint AskedAt, TimePoint Now) {
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
  return true;
}

void FeedFollower::onStoreConfirmed(TimePoint Time) {
  Position = {};
  ConfirmedAt = std::max(Time, ConfirmedAt.value_or(Time));
}

bool FeedFollower::needsStore(TimePoint Now) const {
  return !ConfirmedAt || Now - *ConfirmedAt > Limits.MaxAge;
}

} // namespace tamarack
