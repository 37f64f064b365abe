#include "FakeWorld.h"

#include <algorithm>

namespace tamarack {
namespace {

constexpr Duration FaultTakes = std::chrono::seconds(10);
constexpr Duration RecordReadTakes = std::chrono::seconds(1);
constexpr Duration CallerWaits = std::chrono::seconds(60);
constexpr Incarnation FirstLife = 100;
constexpr std::uint32_t ProcessLimit = 4;
constexpr TokenCount AnswerTokens = 5;
constexpr TokenCount ManyTokens = 100000;

tl::unexpected<Error> lost() {
  return refuse(ErrorKind::LinkLost, "the link was lost");
}

AttemptTable tableOf(Incarnation Self) {
  AttemptTable Table;
  Table.Self = Self;
  return Table;
}

} // namespace

FakeWorld::FakeWorld(unsigned Entries) {
  const auto Add = [this](const InstanceId &Name, Role Kind) {
    Member Known;
    Known.Instance = Name;
    Known.Life = FirstLife;
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
    Processes[Known.Instance] = {Known.Endpoint, tableOf(FirstLife)};
  }
  for (unsigned Number = 1; Number <= Entries; ++Number) {
    const Member Known =
        Add(InstanceId("e" + std::to_string(Number)), Role::Entry);
    Folders[Known.Instance].Id = Known.Folder;
    Running[Known.Instance] =
        std::make_unique<FakeEntry>(*this, Known.Instance);
  }
}

FakeWorld::~FakeWorld() = default;

FakeEntry &FakeWorld::entry(const std::string &Name) {
  return *Running.at(InstanceId(Name));
}

void FakeWorld::restartEntry(const std::string &Name) {
  const InstanceId Instance(Name);
  Running.erase(Instance);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Table.Members.at(Instance).Known.Life;
  }
  Running[Instance] = std::make_unique<FakeEntry>(*this, Instance);
}

void FakeWorld::emptyFolder(const std::string &Name) {
  const FolderId Id(fresh());
  std::lock_guard<std::mutex> Lock(Mutex);
  Folders.at(InstanceId(Name)) = {Id, {}};
  Table.Members.at(InstanceId(Name)).Known.Folder = Id;
}

void FakeWorld::restartProcess(const std::string &Name) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const Incarnation Life = ++Table.Members.at(InstanceId(Name)).Known.Life;
  Processes.at(InstanceId(Name)).Table = tableOf(Life);
}

void FakeWorld::setState(const std::string &Name, MemberState State) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Table.Members.at(InstanceId(Name)).Known.State = State;
}

MemberTable FakeWorld::members() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Table;
}

unsigned FakeWorld::executions(const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Executions.find(Key);
  return Found == Executions.end() ? 0 : Found->second;
}

unsigned FakeWorld::count(Port What) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  unsigned Sum = 0;
  for (const auto &[Key, Number] : Calls)
    if (std::get<Port>(Key) == What)
      Sum += Number;
  return Sum;
}

std::string FakeWorld::fresh() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return "fresh-" + std::to_string(++Used);
}

template <typename T, typename Function>
Expected<T> FakeWorld::reach(Port What, const InstanceId &From,
                             const InstanceId &At, Function Do) {
  PortCall Call{What, From, At, 0};
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Call.Number = ++Calls[{What, From, At}];
  }
  const Fault Met = Hook ? Hook(Call) : Fault::None;
  if (Met == Fault::DieBefore)
    throw Died();
  if (Met == Fault::Unreachable || Met == Fault::AnswerLost)
    Time.advance(FaultTakes);
  if (Met == Fault::Unreachable)
    return lost();
  std::lock_guard<std::mutex> Lock(Mutex);
  Expected<T> Answer = Do();
  if (Met == Fault::DieAfter)
    throw Died();
  if (Met == Fault::AnswerLost)
    return lost();
  return Answer;
}

FakePorts::FakePorts(FakeWorld &World, InstanceId Self)
    : World(World), Name(std::move(Self)) {}

Expected<CopyShard *> FakePorts::copyAt(const CopyPlace &At, ShardId Shard) {
  FakeFolder &Folder = World.Folders.at(At.Instance);
  if (Folder.Id != At.Folder)
    return refuse(ErrorKind::Fenced, "another folder is there");
  return &Folder.Shards[Shard];
}

Expected<void> FakePorts::seal(const CopyPlace &At, ShardId Shard,
                               Epoch Version) {
  return World.reach<void>(Port::Seal, Name, At.Instance,
                           [&]() -> Expected<void> {
                             const auto Copy = copyAt(At, Shard);
                             if (!Copy)
                               return tl::make_unexpected(Copy.error());
                             return sealAt(**Copy, Version);
                           });
}

Expected<void> FakePorts::append(const CopyPlace &At, ShardId Shard,
                                 const std::vector<Append> &Entries) {
  return World.reach<void>(
      Port::Append, Name, At.Instance, [&]() -> Expected<void> {
        const auto Copy = copyAt(At, Shard);
        if (!Copy)
          return tl::make_unexpected(Copy.error());
        for (const Append &Next : Entries)
          if (auto Written = appendTo(**Copy, Next); !Written)
            return Written;
        return {};
      });
}

Expected<void> FakePorts::install(const CopyPlace &At, ShardId Shard,
                                  const Install &Change) {
  return World.reach<void>(Port::Install, Name, At.Instance,
                           [&]() -> Expected<void> {
                             const auto Copy = copyAt(At, Shard);
                             if (!Copy)
                               return tl::make_unexpected(Copy.error());
                             return installTo(**Copy, Change);
                           });
}

Expected<std::map<ProgramId, std::vector<Record>>>
FakePorts::readAll(const CopyPlace &At, ShardId Shard) {
  using Logs = std::map<ProgramId, std::vector<Record>>;
  return World.reach<Logs>(Port::ReadAll, Name, At.Instance,
                           [&]() -> Expected<Logs> {
                             const auto Copy = copyAt(At, Shard);
                             if (!Copy)
                               return tl::make_unexpected(Copy.error());
                             return (*Copy)->Logs;
                           });
}

Expected<std::optional<StoredShardRecord>> FakePorts::read(ShardId Shard) {
  World.Time.advance(RecordReadTakes);
  using Stored = std::optional<StoredShardRecord>;
  return World.reach<Stored>(Port::RecordRead, Name, {},
                             [&]() -> Expected<Stored> {
                               const auto Found = World.Records.find(Shard);
                               if (Found == World.Records.end())
                                 return Stored();
                               return Stored(Found->second);
                             });
}

Expected<void> FakePorts::swap(ShardId Shard, std::uint64_t Revision,
                               const ShardRecord &Next) {
  return World.reach<void>(Port::RecordSwap, Name, {}, [&]() -> Expected<void> {
    const auto Found = World.Records.find(Shard);
    const std::uint64_t Present =
        Found == World.Records.end() ? 0 : Found->second.Revision;
    if (Present != Revision)
      return refuse(ErrorKind::RevisionConflict, "another was first");
    World.Records[Shard] = {Next, Present + 1};
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
                                          const ExecuteOrder &Order,
                                          const PartSink &OnPart) {
  auto Reply = World.reach<
      ExecuteReply>(Port::Execute, Name, At, [&]() -> Expected<ExecuteReply> {
    AttemptTable &Table = World.Processes.at(At).Table;
    const TimePoint Now = World.Time.now();
    if (auto Admitted = admitAttempt(Table, Order.Id, Order.Target, Now);
        !Admitted)
      return tl::make_unexpected(Admitted.error());
    if (auto Sent = markSent(Table, Order.Id, Now); !Sent)
      return tl::make_unexpected(Sent.error());
    const std::string Key = Order.IdempotencyKey.empty() ? Order.Id.Call.text()
                                                         : Order.IdempotencyKey;
    const unsigned Times = ++World.Executions[Key];
    World.LastBody = Order.Body;
    ExecuteReply Done;
    Done.Answer = Json{{"key", Key}, {"executions", Times}}.dump();
    if (Order.Kind == CallKind::Chat)
      Done.AnswerMessage = Json{{"role", "assistant"}, {"content", Key}}.dump();
    Done.Use = {Order.PromptTokens, 0, AnswerTokens};
    markFinished(Table, Order.Id, Json(Done).dump(), Now);
    return Done;
  });
  if (Reply && OnPart)
    OnPart({Reply->Answer});
  return Reply;
}

Expected<AttemptFate> FakePorts::ask(const InstanceId &At,
                                     const AskOrder &Order) {
  return World.reach<AttemptFate>(
      Port::Ask, Name, At, [&]() -> Expected<AttemptFate> {
        const AttemptQueryResult Known =
            queryAttempt(World.Processes.at(At).Table, Order.Id, Order.Target,
                         World.Time.now());
        AttemptFate Fate;
        Fate.What = Known.What;
        if (Known.What == AttemptQueryResult::State::Finished)
          Fate.Answer = Json::parse(Known.Answer).get<ExecuteReply>();
        return Fate;
      });
}

void FakePorts::release(const InstanceId &, const ReleaseOrder &) {}

Member FakePorts::self() const {
  return World.members().Members.at(Name).Known;
}

MemberTable FakePorts::members() const {
  MemberTable Seen = World.members();
  for (const InstanceId &Gone : TakenForGone)
    Seen.Members.at(Gone).Known.State = MemberState::Gone;
  return Seen;
}

FakeEntry::FakeEntry(FakeWorld &World, const InstanceId &Self)
    : Ports(World, Self),
      Shards(Ports, Ports, Ports, [&World] { return World.fresh(); }) {
  OwnerSettings Settings;
  Settings.ShardCount = 1;
  Settings.AskEvery = std::chrono::milliseconds(1);
  Programs = std::make_unique<Owner>(
      Shards, Ports, Ports, World.Time, Settings,
      [&World] { return World.fresh(); }, [] { return std::uint64_t{0}; });
}

CallOrder payout(const std::string &Program, const std::string &Key) {
  CallOrder Order;
  Order.Kind = CallKind::Service;
  Order.Customer = CustomerId("andes");
  Order.Program = ProgramId(Program);
  Order.IdempotencyKey = Key;
  Order.Target = "payouts";
  Order.Body = Json{{"amount", 5}, {"to", Key}}.dump();
  Order.MayBegin = true;
  Order.Repeatable = false;
  Order.Remaining = CallerWaits;
  Order.Budget = ManyTokens;
  return Order;
}

CallOrder chat(const std::string &Program, const std::string &Text) {
  CallOrder Order = payout(Program, Text);
  Order.Kind = CallKind::Chat;
  Order.Target = "llama";
  Order.Repeatable = true;
  Order.Body = Json{
      {"messages", {{{"role", "user"}, {"content", Text}}}},
      {"max_tokens",
       10}}.dump();
  return Order;
}

} // namespace tamarack
