#include "tamarack/feed/ChangeFeed.h"

namespace tamarack {
namespace {

/// A follower that lacks more removals than this gets all items.
constexpr std::size_t MaxRemovals = 1000;

Json encodeItem(const StoreItem &Item) {
  return Json::array({Item.Key,
                      Json::binary({Item.Value.begin(), Item.Value.end()}),
                      Item.ModRevision, Item.Removed});
}

StoreItem decodeItem(const Json &Fields) {
  const auto &Bytes = Fields.at(1).get_binary();
  return {Fields.at(0).get<std::string>(),
          {Bytes.begin(), Bytes.end()},
          Fields.at(2).get<Revision>(),
          Fields.at(3).get<bool>()};
}

} // namespace

void to_json(Json &Value, const FeedPosition &From) {
  Value = Json::array({From.Feed, From.Number});
}

void from_json(const Json &Value, FeedPosition &To) {
  Value.at(0).get_to(To.Feed);
  Value.at(1).get_to(To.Number);
}

void to_json(Json &Value, const FeedPage &From) {
  Json Items = Json::array();
  for (const StoreItem &Item : From.Items)
    Items.push_back(encodeItem(Item));
  Value = Json{{"position", From.Position}, {"complete", From.IsComplete},
               {"items", std::move(Items)}, {"revision", From.AppliedRevision},
               {"age", From.Age},           {"since_outage", From.SinceOutage}};
}

void from_json(const Json &Value, FeedPage &To) {
  Value.at("position").get_to(To.Position);
  Value.at("complete").get_to(To.IsComplete);
  To.Items.clear();
  for (const Json &Item : Value.at("items"))
    To.Items.push_back(decodeItem(Item));
  Value.at("revision").get_to(To.AppliedRevision);
  Value.at("age").get_to(To.Age);
  Value.at("since_outage").get_to(To.SinceOutage);
}

ChangeFeed::ChangeFeed(std::string Id, Equivalence SameMeaning)
    : Id(std::move(Id)), SameMeaning(std::move(SameMeaning)) {}

void ChangeFeed::put(const StoreItem &Item) {
  const auto Known = Items.find(Item.Key);
  if (Known != Items.end() && SameMeaning(Known->second.Item, Item)) {
    // A new follower may know a state between the two, which is older than this
    // revision only.
    Known->second.Item = Item;
    return;
  }
  Items[Item.Key] = {Item, ++LastNumber};
}

void ChangeFeed::remove(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  Removals[++LastNumber] = Key;
  forgetOldRemovals();
}

void ChangeFeed::forgetOldRemovals() {
  while (Removals.size() > MaxRemovals) {
    ForgottenNumber = Removals.begin()->first;
    Removals.erase(Removals.begin());
  }
}

FeedPage ChangeFeed::pageAfter(const FeedPosition &Position) const {
  FeedPage Result;
  Result.Position = {Id, LastNumber};
  Result.IsComplete = Position.Feed != Id || Position.Number > LastNumber ||
                      Position.Number < ForgottenNumber;
  for (const auto &[Key, Numbered] : Items)
    if (Result.IsComplete || Numbered.Number > Position.Number)
      Result.Items.push_back(Numbered.Item);
  if (Result.IsComplete)
    return Result;
  for (auto It = Removals.upper_bound(Position.Number); It != Removals.end();
       ++It)
    if (Items.count(It->second) == 0)
      Result.Items.push_back({It->second, {}, 0, true});
  return Result;
}

} // namespace tamarack
