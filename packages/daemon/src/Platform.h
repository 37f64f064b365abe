/// The platform's key-value service and its list of instances.
///
/// All calls are bounded by the settings' limit. A write whose answer was lost
/// is read back and recognised by its token, never repeated blindly.
#ifndef TAMARACK_DAEMON_PLATFORM_H
#define TAMARACK_DAEMON_PLATFORM_H

#include "HttpCall.h"
#include "tamarack/entry/Ports.h"

#include <atomic>

namespace tamarack {
namespace internal {

struct StoredValue {
  std::string Value;
  std::uint64_t Revision = 0;
};

struct PlatformCounts {
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Failures{0};
  std::atomic<std::uint64_t> AnswersReadBack{0};
};

class Platform {
public:
  Platform(Address At, Duration Limit) : At(std::move(At)), Limit(Limit) {}

  /// Nothing when there is no such key.
  Expected<std::optional<StoredValue>> read(const std::string &Key);
  /// Writes if the key is still at \p Revision (0: absent).
  /// \p IsOurs recognises the written value after a lost answer.
  Expected<void> swap(const std::string &Key, std::uint64_t Revision,
                      const std::string &Value,
                      const std::function<bool(const std::string &)> &IsOurs);
  Expected<std::vector<Member>> instances();

  const PlatformCounts &counts() const { return Counts; }
  /// Whether the last call was answered.
  bool isUp() const { return Up; }

private:
  Expected<HttpAnswer> call(const HttpRequest &Request);

  const Address At;
  const Duration Limit;
  PlatformCounts Counts;
  std::atomic<bool> Up{true};
};

/// The shard records under the region's prefix.
class PlatformShardRecords : public ShardRecords {
public:
  PlatformShardRecords(Platform &Service, RegionId Region)
      : Service(Service), Region(std::move(Region)) {}

  Expected<std::optional<StoredShardRecord>> read(ShardId Shard) override;
  Expected<void> swap(ShardId Shard, std::uint64_t Revision,
                      const ShardRecord &Next) override;

private:
  std::string keyOf(ShardId Shard) const;

  Platform &Service;
  const RegionId Region;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_PLATFORM_H
