#include "KeyValueStore.h"

#include <algorithm>

namespace tamarack::internal {
namespace {

Revision currentRevision(const KeyValueState &State, const std::string &Key) {
  auto Found = State.Items.find(Key);
  bool Exists = Found != State.Items.end() && Found->second.Value;
  return Exists ? Found->second.ChangedAt : 0;
}

bool isUnder(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

template <typename Predicate>
std::vector<KeyValueItem> select(const KeyValueState &State,
                                 const std::string &Prefix, Predicate Wanted) {
  std::vector<KeyValueItem> Result;
  auto It = State.Items.lower_bound(Prefix);
  for (; It != State.Items.end() && isUnder(It->first, Prefix); ++It)
    if (Wanted(It->second))
      Result.push_back(It->second);
  return Result;
}

void markDeleted(KeyValueState &State, KeyValueItem &Item) {
  Item.Value.reset();
  Item.Lease.clear();
  Item.ChangedAt = ++State.Last;
}

void endLease(KeyValueState &State, const std::string &Lease) {
  for (auto &[Key, Item] : State.Items)
    if (Item.Value && Item.Lease == Lease)
      markDeleted(State, Item);
  State.Leases.erase(Lease);
}

} // namespace

WriteOutcome putItem(KeyValueState &State, const PutRequest &Request,
                     TimePoint Now) {
  expireLeases(State, Now);
  Revision Current = currentRevision(State, Request.Key);
  if (Request.Value.size() > MaxValueBytes)
    return {WriteStatus::TooLarge, Current};
  if (Request.ExpectedRevision && *Request.ExpectedRevision != Current)
    return {WriteStatus::Conflict, Current};
  if (!Request.Lease.empty() && State.Leases.count(Request.Lease) == 0)
    return {WriteStatus::UnknownLease, Current};
  ++State.Last;
  State.Items[Request.Key] = {Request.Key, Request.Value, State.Last,
                              Request.Lease};
  return {WriteStatus::Done, State.Last};
}

WriteOutcome removeItem(KeyValueState &State, const std::string &Key,
                        std::optional<Revision> ExpectedRevision,
                        TimePoint Now) {
  expireLeases(State, Now);
  Revision Current = currentRevision(State, Key);
  if (ExpectedRevision && *ExpectedRevision != Current)
    return {WriteStatus::Conflict, Current};
  if (Current == 0)
    return {WriteStatus::Absent, 0};
  markDeleted(State, State.Items[Key]);
  return {WriteStatus::Done, State.Last};
}

std::optional<KeyValueItem> findItem(const KeyValueState &State,
                                     const std::string &Key) {
  auto Found = State.Items.find(Key);
  if (Found == State.Items.end() || !Found->second.Value)
    return std::nullopt;
  return Found->second;
}

std::vector<KeyValueItem> itemsUnder(const KeyValueState &State,
                                     const std::string &Prefix) {
  return select(State, Prefix, [](const KeyValueItem &Item) {
    return Item.Value.has_value();
  });
}

std::vector<KeyValueItem> changesSince(const KeyValueState &State,
                                       const std::string &Prefix,
                                       Revision After) {
  return select(State, Prefix, [After](const KeyValueItem &Item) {
    return Item.ChangedAt > After;
  });
}

std::string grantLease(KeyValueState &State, Duration TimeToLive,
                       TimePoint Now) {
  expireLeases(State, Now);
  std::string Lease = "lease-" + std::to_string(++State.LeasesGranted);
  State.Leases[Lease] = {TimeToLive, Now + TimeToLive};
  return Lease;
}

bool renewLease(KeyValueState &State, const std::string &Lease, TimePoint Now) {
  expireLeases(State, Now);
  auto Found = State.Leases.find(Lease);
  if (Found == State.Leases.end())
    return false;
  Found->second.Ends = Now + Found->second.TimeToLive;
  return true;
}

bool revokeLease(KeyValueState &State, const std::string &Lease,
                 TimePoint Now) {
  expireLeases(State, Now);
  if (State.Leases.count(Lease) == 0)
    return false;
  endLease(State, Lease);
  return true;
}

void expireLeases(KeyValueState &State, TimePoint Now) {
  std::vector<std::string> Lapsed;
  for (const auto &[Name, Lease] : State.Leases)
    if (Lease.Ends <= Now)
      Lapsed.push_back(Name);
  for (const auto &Name : Lapsed)
    endLease(State, Name);
}

std::optional<TimePoint> nextExpiry(const KeyValueState &State) {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Lease] : State.Leases)
    Next = Next ? std::min(*Next, Lease.Ends) : Lease.Ends;
  return Next;
}

} // namespace tamarack::internal
