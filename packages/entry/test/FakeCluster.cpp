#include "FakeCluster.h"

#include <algorithm>

namespace tamarack {
namespace {

constexpr Duration FaultDuration = std::chrono::seconds(10);
constexpr Duration RecordReadDuration = std::chrono::seconds(1);
constexpr Duration CallerTimeout = std::chrono::seconds(60);
constexpr Incarnation FirstIncarnation = 100;
constexpr std::uint32_t ProcessLimit = 4;
constexpr TokenCount AnswerTokens = 5;
constexpr TokenCount LargeBudget = 100000;

tl::unexpected<Error> linkLost() {
  return refuse(ErrorKind::LinkLost, "the link was lost");
}

AttemptTable tableOf(Incarnation Self) {
  AttemptTable Table;
  Table.Self = Self;
  return Table;
}

} // namespace

FakeCluster::FakeCluster(unsigned EntryCount) {
  const auto Add = [this](const InstanceId &Name, Role Kind) {
    Member Known;
    Known.Instance = Name;
    Known.Life = FirstIncarnation;
    Known.Kind = Kind;
    Known.Region = RegionId("r");
    Known.DataCentre = DataCentreId("dc-" + Name.text());
    if (Kind == Role::Entry)
      Known.Folder = FolderId("folder-" + Name.text());
    else
      Known.Endpoint = EndpointId("m" + Name.text().substr(1));
    Table.Members[Name].Known = Known;
    return Known;
  };
  for (const char *Name : {"p1", "p2"}) {
    const Member Known = Add(InstanceId(Name), Role::Endpoint);
    Processes[Known.Instance] = {Known.Endpoint, tableOf(FirstIncarnation)};
  }
  for (unsigned Number = 1; Number <= EntryCount; ++Number) {
    const Member Known =
        Add(InstanceId("e" + std::to_string(Number)), Role::Entry);
    Folders[Known.Instance].Id = Known.Folder;
    Entries[Known.Instance] =
        std::make_unique<FakeEntry>(*this, Known.Instance);
  }
}

FakeCluster::~FakeCluster() = default;

FakeEntry &FakeCluster::entry(const std::string &Name) {
  return *Entries.at(InstanceId(Name));
}

void FakeCluster::restartEntry(const std::string &Name) {
  const InstanceId Instance(Name);
  Entries.erase(Instance);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Table.Members.at(Instance).Known.Life;
  }
  Entries[Instance] = std::make_unique<FakeEntry>(*this, Instance);
}

void FakeCluster::emptyFolder(const std::string &Name) {
  const FolderId Id(uniqueText());
  std::lock_guard<std::mutex> Lock(Mutex);
  Folders.at(InstanceId(Name)) = {Id, {}};
  Table.Members.at(InstanceId(Name)).Known.Folder = Id;
}

void FakeCluster::restartProcess(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const Incarnation Life = ++Table.Members.at(InstanceId(Name)).Known.Life;
  Processes.at(InstanceId(Name)).Table = tableOf(Life);
}

void FakeCluster::setState(const std::string &Name, MemberState State) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Table.Members.at(InstanceId(Name)).Known.State = State;
}

MemberTable FakeCluster::members() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Table;
}

unsigned FakeCluster::executions(const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Executions.find(Key);
  return Found == Executions.end() ? 0 : Found->second;
}

unsigned FakeCluster::count(Port What) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  unsigned Sum = 0;
  for (const auto &[Key, Number] : Calls)
    if (std::get<Port>(Key) == What)
      Sum += Number;
  return Sum;
}

std::string FakeCluster::uniqueText() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return "fresh-" + std::to_string(++LastUnique);
}

template <typename T, typename Function>
Expected<T> FakeCluster::callPort(Port What, const InstanceId &From,
                                  const InstanceId &At, Function Do) {
  PortCall Call{What, From, At, 0};
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Call.Number = ++Calls[{What, From, At}];
  }
  const Fault Injected = FaultHook ? FaultHook(Call) : Fault::None;
  if (Injected == Fault::DieBefore)
    throw ProcessDied();
  if (Injected == Fault::Unreachable || Injected == Fault::AnswerLost)
    Time.advance(FaultDuration);
  if (Injected == Fault::Unreachable)
    return linkLost();
  std::lock_guard<std::mutex> Lock(Mutex);
  Expected<T> Answer = Do();
  if (Injected == Fault::DieAfter)
    throw ProcessDied();
  if (Injected == Fault::AnswerLost)
    return linkLost();
  return Answer;
}

FakePorts::FakePorts(FakeCluster &Cluster, InstanceId Self)
    : Cluster(Cluster), Name(std::move(Self)) {}

Expected<ShardCopy *> FakePorts::copyAt(const CopyLocation &At, ShardId Shard) {
  FakeFolder &Folder = Cluster.Folders.at(At.Instance);
  if (Folder.Id != At.Folder)
    return refuse(ErrorKind::Fenced, "the folder has another identity");
  return &Folder.Shards[Shard];
}

Expected<void> FakePorts::seal(const CopyLocation &At, ShardId Shard,
                               Epoch Version) {
  return Cluster.callPort<void>(Port::Seal, Name, At.Instance,
                                [&]() -> Expected<void> {
                                  const auto Copy = copyAt(At, Shard);
                                  if (!Copy)
                                    return tl::make_unexpected(Copy.error());
                                  return applySeal(**Copy, Version);
                                });
}

Expected<void> FakePorts::append(const CopyLocation &At, ShardId Shard,
                                 const std::vector<Append> &Entries) {
  return Cluster.callPort<void>(
      Port::Append, Name, At.Instance, [&]() -> Expected<void> {
        const auto Copy = copyAt(At, Shard);
        if (!Copy)
          return tl::make_unexpected(Copy.error());
        for (const Append &Next : Entries)
          if (auto Written = applyAppend(**Copy, Next); !Written)
            return Written;
        return {};
      });
}

Expected<void> FakePorts::install(const CopyLocation &At, ShardId Shard,
                                  const Install &Change) {
  return Cluster.callPort<void>(Port::Install, Name, At.Instance,
                                [&]() -> Expected<void> {
                                  const auto Copy = copyAt(At, Shard);
                                  if (!Copy)
                                    return tl::make_unexpected(Copy.error());
                                  return applyInstall(**Copy, Change);
                                });
}

Expected<std::map<ProgramId, std::vector<Record>>>
FakePorts::readAll(const CopyLocation &At, ShardId Shard) {
  using Logs = std::map<ProgramId, std::vector<Record>>;
  return Cluster.callPort<Logs>(Port::ReadAll, Name, At.Instance,
                                [&]() -> Expected<Logs> {
                                  const auto Copy = copyAt(At, Shard);
                                  if (!Copy)
                                    return tl::make_unexpected(Copy.error());
                                  return (*Copy)->Logs;
                                });
}

Expected<std::optional<StoredShardRecord>> FakePorts::read(ShardId Shard) {
  Cluster.Time.advance(RecordReadDuration);
  using Stored = std::optional<StoredShardRecord>;
  return Cluster.callPort<Stored>(
      Port::RecordRead, Name, {}, [&]() -> Expected<Stored> {
        const auto Found = Cluster.Records.find(Shard);
        if (Found == Cluster.Records.end())
          return Stored();
        return Stored(Found->second);
      });
}

Expected<void> FakePorts::swap(ShardId Shard, std::uint64_t Revision,
                               const ShardRecord &Next) {
  return Cluster.callPort<void>(
      Port::RecordSwap, Name, {}, [&]() -> Expected<void> {
        const auto Found = Cluster.Records.find(Shard);
        const std::uint64_t Present =
            Found == Cluster.Records.end() ? 0 : Found->second.Revision;
        if (Present != Revision)
          return refuse(ErrorKind::RevisionConflict,
                        "another writer was first");
        Cluster.Records[Shard] = {Next, Present + 1};
        return {};
      });
}

std::vector<EndpointView> FakePorts::views(const std::string &) {
  std::vector<EndpointView> Views;
  for (const Member &Known :
       membersIn(members(), MemberState::Live, Role::Endpoint)) {
    EndpointView Seen;
    Seen.Endpoint = Known.Endpoint;
    Seen.Instance = Known.Instance;
    Seen.Region = Known.Region;
    Seen.DataCentre = Known.DataCentre;
    Seen.Limit = ProcessLimit;
    Views.push_back(Seen);
  }
  return Views;
}

Expected<ExecuteReply> FakePorts::execute(const InstanceId &At,
                                          const ExecuteRequest &Request,
                                          const PartSink &OnPart) {
  auto Reply = Cluster.callPort<
      ExecuteReply>(Port::Execute, Name, At, [&]() -> Expected<ExecuteReply> {
    AttemptTable &Table = Cluster.Processes.at(At).Table;
    const TimePoint Now = Cluster.Time.now();
    if (auto Admitted = admitAttempt(Table, Request.Id, Request.Target, Now);
        !Admitted)
      return tl::make_unexpected(Admitted.error());
    if (auto Sent = markSent(Table, Request.Id, Now); !Sent)
      return tl::make_unexpected(Sent.error());
    const std::string Key = Request.IdempotencyKey.empty()
                                ? Request.Id.Call.text()
                                : Request.IdempotencyKey;
    const unsigned Times = ++Cluster.Executions[Key];
    Cluster.LastBody = Request.Body;
    ExecuteReply Done;
    Done.Answer = Json{{"key", Key}, {"executions", Times}}.dump();
    if (Request.Kind == CallKind::Chat)
      Done.AnswerMessage = Json{{"role", "assistant"}, {"content", Key}}.dump();
    Done.Use = {Request.PromptTokens, 0, AnswerTokens};
    markFinished(Table, Request.Id, Json(Done).dump(), Now);
    return Done;
  });
  if (Reply && OnPart)
    OnPart({Reply->Answer});
  return Reply;
}

Expected<AttemptStatus>
FakePorts::queryAttempt(const InstanceId &At,
                        const AttemptStatusRequest &Request) {
  return Cluster.callPort<AttemptStatus>(
      Port::Ask, Name, At, [&]() -> Expected<AttemptStatus> {
        const AttemptQueryResult Known =
            tamarack::queryAttempt(Cluster.Processes.at(At).Table, Request.Id,
                                   Request.Target, Cluster.Time.now());
        AttemptStatus Fate;
        Fate.What = Known.What;
        if (Known.What == AttemptQueryResult::State::Finished)
          Fate.Answer = Json::parse(Known.Answer).get<ExecuteReply>();
        return Fate;
      });
}

void FakePorts::release(const InstanceId &, const ReleaseRequest &) {}

Member FakePorts::self() const {
  return Cluster.members().Members.at(Name).Known;
}

MemberTable FakePorts::members() const {
  MemberTable Seen = Cluster.members();
  for (const InstanceId &Gone : SuspectedGone)
    Seen.Members.at(Gone).Known.State = MemberState::Gone;
  return Seen;
}

FakeEntry::FakeEntry(FakeCluster &Cluster, const InstanceId &Self)
    : Ports(Cluster, Self),
      Shards(Ports, Ports, Ports, [&Cluster] { return Cluster.uniqueText(); }) {
  OwnerSettings Settings;
  Settings.ShardCount = 1;
  Settings.StatusPollInterval = std::chrono::milliseconds(1);
  Programs = std::make_unique<Owner>(
      Shards, Ports, Ports, Cluster.Time, Settings,
      [&Cluster] { return Cluster.uniqueText(); },
      [] { return std::uint64_t{0}; });
}

SubmitCallRequest payout(const std::string &Program, const std::string &Key) {
  SubmitCallRequest Request;
  Request.Kind = CallKind::Service;
  Request.Customer = CustomerId("andes");
  Request.Program = ProgramId(Program);
  Request.IdempotencyKey = Key;
  Request.Target = "payouts";
  Request.Body = Json{{"amount", 5}, {"to", Key}}.dump();
  Request.MayBegin = true;
  Request.Repeatable = false;
  Request.Remaining = CallerTimeout;
  Request.Budget = LargeBudget;
  return Request;
}

SubmitCallRequest chat(const std::string &Program, const std::string &Text) {
  SubmitCallRequest Request = payout(Program, Text);
  Request.Kind = CallKind::Chat;
  Request.Target = "llama";
  Request.Repeatable = true;
  Request.Body = Json{
      {"messages", {{{"role", "user"}, {"content", Text}}}},
      {"max_tokens",
       10}}.dump();
  return Request;
}

} // namespace tamarack
