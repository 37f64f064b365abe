/// What the owner of programs needs from the outside, as interfaces.
///
/// The daemon implements them over links and HTTP; tests implement them in
/// memory and fail them at will. Every function may block and may be called
/// from several threads.
#ifndef TAMARACK_ENTRY_PORTS_H
#define TAMARACK_ENTRY_PORTS_H

#include "tamarack/entry/Messages.h"
#include "tamarack/routing/ChooseEndpoint.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// Reaches the places that keep copies of shards.
class CopyAccess {
public:
  virtual ~CopyAccess() = default;
  virtual Expected<void> seal(const CopyLocation &At, ShardId Shard,
                              Epoch Version) = 0;
  virtual Expected<void> append(const CopyLocation &At, ShardId Shard,
                                const std::vector<Append> &Entries) = 0;
  virtual Expected<void> install(const CopyLocation &At, ShardId Shard,
                                 const Install &Change) = 0;
  virtual Expected<std::map<ProgramId, std::vector<Record>>>
  readAll(const CopyLocation &At, ShardId Shard) = 0;
};

/// A record as the platform's service holds it.
struct StoredShardRecord {
  ShardRecord Value;
  std::uint64_t Revision = 0;

  auto tied() const { return std::tie(Value, Revision); }
};

/// The shard records in the platform's service.
class ShardRecords {
public:
  virtual ~ShardRecords() = default;
  /// Nothing when the shard never had an owner.
  virtual Expected<std::optional<StoredShardRecord>> read(ShardId Shard) = 0;
  /// Writes \p Next if the record is still at \p Revision (0: absent). A lost
  /// answer is settled by reading back the token of \p Next. RevisionConflict
  /// means that another writer was first.
  virtual Expected<void> swap(ShardId Shard, std::uint64_t Revision,
                              const ShardRecord &Next) = 0;
};

using PartSink = std::function<void(const CallPart &)>;

/// Reaches the processes beside endpoints.
class EndpointAccess {
public:
  virtual ~EndpointAccess() = default;
  /// What is known of the endpoints that serve \p Target.
  virtual std::vector<EndpointView> views(const std::string &Target) = 0;
  virtual Expected<ExecuteReply> execute(const InstanceId &At,
                                         const ExecuteRequest &Order,
                                         const PartSink &OnPart) = 0;
  virtual Expected<AttemptStatus>
  queryAttempt(const InstanceId &At, const AttemptStatusRequest &Order) = 0;
  virtual void release(const InstanceId &At, const ReleaseRequest &Order) = 0;
};

/// Who is there.
class MemberDirectory {
public:
  virtual ~MemberDirectory() = default;
  virtual Member self() const = 0;
  virtual MemberTable members() const = 0;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_PORTS_H
