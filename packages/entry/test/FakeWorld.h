/// A region in memory: the platform's records, data folders and endpoint
/// processes, shared by several entries whose port calls fail at will.
///
///   FakeWorld World;
///   World.Hook = [](const PortCall &Call) {
///     return Call.What == Port::Execute ? Fault::AnswerLost : Fault::None;
///   };
///   Expected<CallReply> Reply = World.entry("e1").Programs->call(...);
///
/// The hook runs outside all locks, so it may run another entry's call at the
/// very point where the calling entry is then paused.
#ifndef TAMARACK_ENTRY_TEST_FAKEWORLD_H
#define TAMARACK_ENTRY_TEST_FAKEWORLD_H

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

/// Thrown through an owner's code: its process ends at this point.
struct Died {};

struct PortCall {
  Port What = Port::RecordRead;
  InstanceId From;
  /// Empty for the platform's service.
  InstanceId At;
  /// Counts from 1 the calls of this kind from there to here.
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

class FakeWorld {
public:
  /// \p Entries entries "e1"... with a folder each, and endpoint processes
  /// "p1" and "p2" beside the endpoints "m1" and "m2".
  explicit FakeWorld(unsigned Entries = 3);
  ~FakeWorld();

  FakeEntry &entry(const std::string &Name);
  /// The entry's process ends; a new one with a new incarnation starts.
  void restartEntry(const std::string &Name);
  void emptyFolder(const std::string &Name);
  void restartProcess(const std::string &Name);
  /// Every entry takes the member for \p State from now on.
  void setState(const std::string &Name, MemberState State);

  MemberTable members() const;
  unsigned executions(const std::string &Key) const;
  unsigned count(Port What) const;

  /// Meets a fault, or runs \p Do under the world's lock.
  template <typename T, typename Function>
  Expected<T> reach(Port What, const InstanceId &From, const InstanceId &At,
                    Function Do);

  ManualClock Time;
  std::function<Fault(const PortCall &)> Hook;
  std::map<InstanceId, FakeFolder> Folders;
  std::map<ShardId, StoredShardRecord> Records;
  std::map<InstanceId, FakeProcess> Processes;
  std::map<std::string, unsigned> Executions;
  /// The body of the last order that an endpoint executed.
  std::string LastBody;

  /// A text that was never given before.
  std::string fresh();

private:
  friend struct FakePorts;
  mutable std::mutex Mutex;
  MemberTable Table;
  std::map<InstanceId, std::unique_ptr<FakeEntry>> Running;
  std::map<std::tuple<Port, InstanceId, InstanceId>, unsigned> Calls;
  std::uint64_t Used = 0;
};

/// The ports of one entry into the world.
struct FakePorts : CopyAccess, ShardRecords, EndpointAccess, MemberDirectory {
  FakePorts(FakeWorld &World, InstanceId Self);

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
                                 const ExecuteRequest &Order,
                                 const PartSink &OnPart) override;
  Expected<AttemptStatus>
  queryAttempt(const InstanceId &At,
               const AttemptStatusRequest &Order) override;
  void release(const InstanceId &At, const ReleaseRequest &Order) override;

  Member self() const override;
  MemberTable members() const override;

  FakeWorld &World;
  const InstanceId Name;
  /// Members that this entry alone takes for gone.
  std::vector<InstanceId> TakenForGone;

private:
  Expected<ShardCopy *> copyAt(const CopyLocation &At, ShardId Shard);
};

struct FakeEntry {
  FakeEntry(FakeWorld &World, const InstanceId &Self);

  FakePorts Ports;
  ShardTable Shards;
  std::unique_ptr<Owner> Programs;
};

/// A payout: a service call that may not be repeated.
SubmitCallRequest payout(const std::string &Program, const std::string &Key);
/// A chat call of one message and ten tokens of answer at most.
SubmitCallRequest chat(const std::string &Program, const std::string &Text);

} // namespace tamarack

#endif // TAMARACK_ENTRY_TEST_FAKEWORLD_H
