/// An in-memory region: the shard records, data folders and endpoint
/// processes, shared by several entries. Faults can be injected into every call
/// of an entry's ports.
///
///   FakeCluster Cluster;
///   Cluster.FaultHook = [](const PortCall &Call) {
///     return Call.What == Port::Execute ? Fault::AnswerLost : Fault::None;
///   };
///   Expected<CallReply> Reply = Cluster.entry("e1").Programs->call(...);
///
/// The hook runs outside all locks, so it may run a call of another entry while
/// the calling entry is paused at this point.
#ifndef TAMARACK_ENTRY_TEST_FAKECLUSTER_H
#define TAMARACK_ENTRY_TEST_FAKECLUSTER_H

#include "tamarack/entry/Owner.h"

namespace tamarack {

enum class Port {
  RecordRead,
  RecordSwap,
  Seal,
  Append,
  Install,
  ReadAll,
  Execute,
  Ask,
};

enum class Fault { None, Unreachable, AnswerLost, DieBefore, DieAfter };

/// Thrown through the code of an owner whose process crashes at this point.
struct ProcessDied {};

struct PortCall {
  Port What = Port::RecordRead;
  InstanceId From;
  /// Empty for the platform's service.
  InstanceId At;
  /// The number of this call among those of the same kind from From to At,
  /// from 1.
  unsigned Number = 0;
};

struct FakeFolder {
  FolderId Id;
  std::map<ShardId, ShardCopy> Shards;
};

struct FakeProcess {
  EndpointId Endpoint;
  AttemptTable Table;
};

struct FakeEntry;

class FakeCluster {
public:
  /// Creates \p EntryCount entries "e1"... with a folder each, and the
  /// processes "p1" and "p2" beside the endpoints "m1" and "m2".
  explicit FakeCluster(unsigned EntryCount = 3);
  ~FakeCluster();

  FakeEntry &entry(const std::string &Name);
  /// Replaces the process of an entry by one with a new incarnation.
  void restartEntry(const std::string &Name);
  void emptyFolder(const std::string &Name);
  void restartProcess(const std::string &Name);
  /// Sets the member state that all entries see.
  void setState(const std::string &Name, MemberState State);

  MemberTable members() const;
  unsigned executions(const std::string &Key) const;
  unsigned count(Port What) const;

  /// Injects the fault that the hook returns, and runs \p Do under the lock of
  /// the cluster unless the fault prevents it.
  template <typename T, typename Function>
  Expected<T> callPort(Port What, const InstanceId &From, const InstanceId &At,
                       Function Do);

  ManualClock Time;
  std::function<Fault(const PortCall &)> FaultHook;
  std::map<InstanceId, FakeFolder> Folders;
  std::map<ShardId, StoredShardRecord> Records;
  std::map<InstanceId, FakeProcess> Processes;
  std::map<std::string, unsigned> Executions;
  /// The body of the last request that an endpoint executed.
  std::string LastBody;

  /// A unique text.
  std::string uniqueText();

private:
  friend struct FakePorts;
  mutable std::mutex Mutex;
  MemberTable Table;
  std::map<InstanceId, std::unique_ptr<FakeEntry>> Entries;
  std::map<std::tuple<Port, InstanceId, InstanceId>, unsigned> Calls;
  std::uint64_t LastUnique = 0;
};

/// The ports of one entry.
struct FakePorts : CopyAccess, ShardRecords, EndpointAccess, MemberDirectory {
  FakePorts(FakeCluster &Cluster, InstanceId Self);

  Expected<void> seal(const CopyLocation &At, ShardId Shard,
                      Epoch Version) override;
  Expected<void> append(const CopyLocation &At, ShardId Shard,
                        const std::vector<Append> &Entries) override;
  Expected<void> install(const CopyLocation &At, ShardId Shard,
                         const Install &Change) override;
  Expected<std::map<ProgramId, std::vector<Record>>>
  readAll(const CopyLocation &At, ShardId Shard) override;

  Expected<std::optional<StoredShardRecord>> read(ShardId Shard) override;
  Expected<void> swap(ShardId Shard, std::uint64_t Revision,
                      const ShardRecord &Next) override;

  std::vector<EndpointView> views(const std::string &Target) override;
  Expected<ExecuteReply> execute(const InstanceId &At,
                                 const ExecuteRequest &Request,
                                 const PartSink &OnPart) override;
  Expected<AttemptStatus>
  queryAttempt(const InstanceId &At,
               const AttemptStatusRequest &Request) override;
  void release(const InstanceId &At, const ReleaseRequest &Request) override;

  Member self() const override;
  MemberTable members() const override;

  FakeCluster &Cluster;
  const InstanceId Name;
  /// Members that only this entry takes for gone.
  std::vector<InstanceId> SuspectedGone;

private:
  Expected<ShardCopy *> copyAt(const CopyLocation &At, ShardId Shard);
};

struct FakeEntry {
  FakeEntry(FakeCluster &Cluster, const InstanceId &Self);

  FakePorts Ports;
  ShardTable Shards;
  std::unique_ptr<Owner> Programs;
};

/// A payout: a service call that is not repeatable.
SubmitCallRequest payout(const std::string &Program, const std::string &Key);
/// A chat call with one message and at most ten answer tokens.
SubmitCallRequest chat(const std::string &Program, const std::string &Text);

} // namespace tamarack

#endif // TAMARACK_ENTRY_TEST_FAKECLUSTER_H
