/// The interfaces through which the owner of programs reaches other processes.
///
/// The daemon implements them over links and HTTP; tests implement them in
/// memory and inject faults. Every function may block and may be called from
/// several threads.
#ifndef TAMARACK_ENTRY_PORTS_H
#define TAMARACK_ENTRY_PORTS_H

#include "tamarack/entry/Messages.h"
#include "tamarack/routing/ChooseEndpoint.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// Access to the copies of shards. The functions return the errors of
/// ShardCopy.h, and LinkLost or Timeout when the copy cannot be reached.
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

/// A shard record as stored in the platform's key-value service.
struct StoredShardRecord {
  ShardRecord Value;
  std::uint64_t Revision = 0;

  auto tied() const { return std::tie(Value, Revision); }
};

/// Access to the shard records in the platform's key-value service.
class ShardRecords {
public:
  virtual ~ShardRecords() = default;
  /// Reads the record of \p Shard; nothing when the shard never had an owner.
  virtual Expected<std::optional<StoredShardRecord>> read(ShardId Shard) = 0;
  /// Compare-and-swap: writes \p Next if the record is still at \p Revision
  /// (0: absent). RevisionConflict when another writer was first. After a lost
  /// answer the implementation reads the record back and compares its token
  /// with that of \p Next.
  virtual Expected<void> swap(ShardId Shard, std::uint64_t Revision,
                              const ShardRecord &Next) = 0;
};

/// Receives the parts of a streamed answer.
using PartSink = std::function<void(const CallPart &)>;

/// Access to the endpoints through the processes beside them.
class EndpointAccess {
public:
  virtual ~EndpointAccess() = default;
  /// The state of the endpoints that serve \p Target.
  virtual std::vector<EndpointView> views(const std::string &Target) = 0;
  /// Executes an attempt. Passes the parts of a streamed answer to \p OnPart.
  virtual Expected<ExecuteReply> execute(const InstanceId &At,
                                         const ExecuteRequest &Request,
                                         const PartSink &OnPart) = 0;
  virtual Expected<AttemptStatus>
  queryAttempt(const InstanceId &At, const AttemptStatusRequest &Request) = 0;
  virtual void release(const InstanceId &At, const ReleaseRequest &Request) = 0;
};

/// The members of the cluster as this process sees them.
class MemberDirectory {
public:
  virtual ~MemberDirectory() = default;
  virtual Member self() const = 0;
  virtual MemberTable members() const = 0;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_PORTS_H
