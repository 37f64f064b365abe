/// The key-value service's state: revisions, compare-and-swap and leases.
///
///   KeyValueState State;
///   auto Made = putItem(State, {"shards/7", "{}", 0}, Now);
///
/// A pure state machine: no sockets, no clock. Every function that takes a
/// time point first removes the leases that have lapsed by then.
#ifndef TAMARACK_STANDINS_KEYVALUESTORE_H
#define TAMARACK_STANDINS_KEYVALUESTORE_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::internal {

/// Lets comparisons of this namespace's types be found.
using tamarack::operator==;

using Revision = std::uint64_t;

constexpr std::size_t MaxValueBytes = 1'000'000;

/// A key as last written; a deleted one keeps its revision without a value.
struct KeyValueItem {
  std::string Key;
  std::optional<std::string> Value;
  Revision ChangedAt = 0;
  std::string Lease;
};

struct KeyValueLease {
  Duration TimeToLive{0};
  TimePoint Ends;
};

struct KeyValueState {
  std::map<std::string, KeyValueItem> Items;
  std::map<std::string, KeyValueLease> Leases;
  Revision Last = 0;
  std::uint64_t LeasesGranted = 0;
};

struct PutRequest {
  std::string Key;
  std::string Value;
  /// Zero demands that the key does not exist; nothing demands nothing.
  std::optional<Revision> ExpectedRevision;
  std::string Lease = {};
};

enum class WriteStatus { Done, Conflict, TooLarge, UnknownLease, Absent };

struct WriteOutcome {
  WriteStatus Status;
  /// The key's revision after the call.
  Revision Current;

  auto tied() const { return std::tie(Status, Current); }
};

WriteOutcome putItem(KeyValueState &State, const PutRequest &Request,
                     TimePoint Now);
WriteOutcome removeItem(KeyValueState &State, const std::string &Key,
                        std::optional<Revision> ExpectedRevision,
                        TimePoint Now);

std::optional<KeyValueItem> findItem(const KeyValueState &State,
                                     const std::string &Key);
/// The existing keys under \p Prefix in order.
std::vector<KeyValueItem> itemsUnder(const KeyValueState &State,
                                     const std::string &Prefix);
/// The keys under \p Prefix changed or deleted after \p After.
std::vector<KeyValueItem> changesSince(const KeyValueState &State,
                                       const std::string &Prefix,
                                       Revision After);

std::string grantLease(KeyValueState &State, Duration TimeToLive,
                       TimePoint Now);
/// False when the lease is unknown or has lapsed.
bool renewLease(KeyValueState &State, const std::string &Lease, TimePoint Now);
/// Ends the lease and deletes its keys; false when it is unknown.
bool revokeLease(KeyValueState &State, const std::string &Lease, TimePoint Now);
void expireLeases(KeyValueState &State, TimePoint Now);
std::optional<TimePoint> nextExpiry(const KeyValueState &State);

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_KEYVALUESTORE_H
