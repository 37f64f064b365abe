#include "Peers.h"

#include <spdlog/spdlog.h>

namespace tamarack {
namespace internal {
namespace {

/// Limit of a message that is answered from memory or one disk write.
const CallLimits ShortCall{std::chrono::seconds(3), std::chrono::seconds(3)};
/// Longest time without a part of a streamed answer, which covers the queue.
constexpr Duration ExecuteSilence = std::chrono::seconds(60);
/// What the network adds to the time that an endpoint may take.
constexpr Duration ExecuteGrace = std::chrono::seconds(2);
/// The wait that one call sent since the last report stands for.
constexpr Duration WaitPerOwnCall = std::chrono::milliseconds(50);

} // namespace

Peers::Peers(PeerSettings Given, Platform &Service, const Clock &Time)
    : Settings(std::move(Given)), Service(Service), Time(Time),
      Server(Loop, Settings.Link,
             {[this](bool First) { return ownState(First); },
              [this](const Json &Body) { onPeerState(Body); }},
             Time) {
  Table.Timing = Settings.Timing;
}

Peers::~Peers() { stop(); }

Expected<std::uint16_t> Peers::start(FolderStore *Store) {
  Own = Store;
  auto Port = Server.listen({Settings.Self.Host, Settings.Self.Port});
  if (!Port)
    return Port;
  readList();
  openLinks();
  Housekeeper = std::thread([this] { keepHouse(); });
  return Port;
}

void Peers::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Wake.notify_all();
  }
  if (Housekeeper.joinable())
    Housekeeper.join();
  Server.stop();
  Loop.stop();
}

void Peers::setLoadSource(std::function<EndpointLoad()> Source) {
  std::lock_guard<std::mutex> Lock(Mutex);
  LoadSource = std::move(Source);
}

void Peers::setStateSource(std::function<void(PeerState &)> Source) {
  StateSource = std::move(Source);
}

void Peers::setStateListener(std::function<void(const PeerState &)> Listener) {
  StateListener = std::move(Listener);
}

std::optional<PeerState> Peers::lastState(const InstanceId &Instance) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = LastStates.find(Instance);
  return Found == LastStates.end() ? std::nullopt
                                   : std::optional(Found->second);
}

void Peers::setLeaving() {
  std::lock_guard<std::mutex> Lock(Mutex);
  Leaving = true;
}

bool Peers::isLeaving() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Leaving;
}

Json Peers::ownState(bool First) const {
  std::function<EndpointLoad()> Source;
  PeerState Own;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Own.Leaving = Leaving;
    Source = LoadSource;
  }
  Own.Instance = Settings.Self.Instance;
  Own.Life = Settings.Self.Life;
  if (First)
    Own.Introduction = self();
  if (Source)
    Own.Load = Source();
  if (StateSource)
    StateSource(Own);
  return Own;
}

void Peers::onPeerState(const Json &Body) {
  PeerState Heard;
  try {
    Heard = Body.get<PeerState>();
  } catch (const Json::exception &) {
    spdlog::warn("peers: a heartbeat has another shape");
    return;
  }
  if (StateListener)
    StateListener(Heard);
  const TimePoint Now = Time.now();
  std::lock_guard<std::mutex> Lock(Mutex);
  LastStates[Heard.Instance] = Heard;
  if (Heard.Introduction)
    Table = onIntroduction(std::move(Table), *Heard.Introduction, Now);
  Table = onHeartbeat(std::move(Table), Heard.Instance, Heard.Life, Now);
  if (Heard.Leaving)
    Table =
        onAnnouncedLeaving(std::move(Table), Heard.Instance, Heard.Life, Now);
  if (Heard.Load)
    Loads[Heard.Instance] = {*Heard.Load, Now, Duration(0)};
}

void Peers::keepHouse() {
  TimePoint LastList = Time.now();
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Wake.wait_for(Lock, Settings.Link.HeartbeatInterval);
    if (Stopping)
      return;
    Table = onTick(std::move(Table), Time.now());
    Lock.unlock();
    if (Time.now() - LastList >= Settings.ListEvery) {
      readList();
      LastList = Time.now();
    }
    openLinks();
    Lock.lock();
  }
}

void Peers::readList() {
  const auto Listed = Service.instances();
  if (!Listed) {
    spdlog::warn("peers: the list of instances cannot be read: {}",
                 Listed.error().Message);
    return;
  }
  std::vector<Member> Others;
  for (const Member &Row : *Listed)
    if (Row.Instance != Settings.Self.Instance)
      Others.push_back(Row);
  std::lock_guard<std::mutex> Lock(Mutex);
  Table = onPlatformList(std::move(Table), Others, Time.now());
}

void Peers::openLinks() {
  if (Settings.Self.Kind != Role::Entry)
    return;
  std::vector<Member> Wanted;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Wanted = membersToContact(Table);
  }
  for (const Member &Known : Wanted) {
    const auto Opened = link(Known.Instance);
    if (!Opened)
      continue;
    noteLink(Known.Instance, Opened->isOpen());
    Opened->open();
  }
}

void Peers::noteLink(const InstanceId &Instance, bool IsOpen) {
  std::lock_guard<std::mutex> Lock(Mutex);
  bool &WasOpen = OpenLinks[Instance];
  if (WasOpen && !IsOpen)
    Table = onLinkLost(std::move(Table), Instance, Time.now());
  WasOpen = IsOpen;
}

std::shared_ptr<LinkClient> Peers::link(const InstanceId &Instance) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Table.Members.find(Instance);
  if (Known == Table.Members.end())
    return nullptr;
  const LinkAddress Wanted{Known->second.Known.Host, Known->second.Known.Port};
  auto &[Address, Client] = Links[Instance];
  if (!Client || Address != Wanted) {
    Address = Wanted;
    Client = std::make_shared<LinkClient>(
        Loop, Wanted, Settings.Link,
        LinkHooks{[this](bool First) { return ownState(First); },
                  [this](const Json &Body) { onPeerState(Body); }},
        Time);
  }
  return Client;
}

Member Peers::self() const {
  Member Current = Settings.Self;
  Current.State = isLeaving() ? MemberState::Leaving : MemberState::Live;
  return Current;
}

MemberTable Peers::members() const {
  MemberTable Known;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Known = Table;
  }
  MemberView Own;
  Own.Known = self();
  Known.Members[Settings.Self.Instance] = Own;
  return Known;
}

template <typename Message>
Expected<typename Message::Reply> Peers::callPeer(const InstanceId &To,
                                                  const Message &Order) {
  const auto Link = link(To);
  if (!Link)
    return refuse(ErrorKind::LinkLost, "no address of " + To.text(),
                  NotRun::Proved);
  return Link->call(Order, ShortCall);
}

bool Peers::isOwn(const CopyLocation &At) const {
  return Own != nullptr && At.Folder == Own->folder();
}

Expected<void> Peers::seal(const CopyLocation &At, ShardId Shard,
                           Epoch Version) {
  if (isOwn(At))
    return Own->seal(Shard, Version);
  return callPeer(At.Instance, SealRequest{At.Folder, Shard, Version})
      .map([](const Ack &) {});
}

Expected<void> Peers::append(const CopyLocation &At, ShardId Shard,
                             const std::vector<Append> &Entries) {
  if (!isOwn(At))
    return callPeer(At.Instance, AppendRequest{At.Folder, Shard, Entries})
        .map([](const Ack &) {});
  for (const Append &Entry : Entries)
    if (auto Written = Own->append(Shard, Entry); !Written)
      return Written;
  return {};
}

Expected<void> Peers::install(const CopyLocation &At, ShardId Shard,
                              const Install &Change) {
  if (isOwn(At))
    return Own->install(Shard, Change);
  return callPeer(At.Instance, InstallRequest{At.Folder, Shard, Change})
      .map([](const Ack &) {});
}

Expected<std::map<ProgramId, std::vector<Record>>>
Peers::readAll(const CopyLocation &At, ShardId Shard) {
  if (isOwn(At))
    return Own->readAll(Shard);
  auto Read = callPeer(At.Instance, ReadLogsRequest{At.Folder, Shard});
  if (!Read)
    return tl::make_unexpected(Read.error());
  std::map<ProgramId, std::vector<Record>> Logs;
  for (RootLog &Root : Read->Roots)
    Logs[Root.Root] = std::move(Root.Records);
  return Logs;
}

std::vector<EndpointView> Peers::views(const std::string &Target) {
  std::vector<EndpointView> Seen;
  for (const Member &Beside :
       membersIn(members(), MemberState::Leaving, Role::Endpoint)) {
    if (std::find(Beside.Serves.begin(), Beside.Serves.end(), Target) ==
        Beside.Serves.end())
      continue;
    EndpointView View;
    View.Endpoint = Beside.Endpoint;
    View.Instance = Beside.Instance;
    View.Region = Beside.Region;
    View.DataCentre = Beside.DataCentre;
    View.State = Beside.State;
    std::lock_guard<std::mutex> Lock(Mutex);
    const auto Known = Loads.find(Beside.Instance);
    if (Known != Loads.end()) {
      View.ExpectedWait = Known->second.Load.ExpectedWait;
      View.Running = Known->second.Load.Running;
      View.Waiting = Known->second.Load.Waiting;
      View.Limit = Known->second.Load.Limit;
      View.Target = Known->second.Load.Target;
      View.ReportedAt = Known->second.ReportedAt;
      View.UnreportedWait = Known->second.UnreportedWait;
    }
    Seen.push_back(View);
  }
  return Seen;
}

void Peers::noteLoad(const InstanceId &Instance, const EndpointLoad &Load) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Loads[Instance] = {Load, Time.now(), Duration(0)};
}

Expected<ExecuteReply> Peers::execute(const InstanceId &At,
                                      const ExecuteRequest &Order,
                                      const PartSink &OnPart) {
  const auto Link = link(At);
  if (!Link)
    return refuse(ErrorKind::LinkLost, "no address of " + At.text(),
                  NotRun::Proved);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Loads[At].UnreportedWait += WaitPerOwnCall;
  }
  const CallLimits Limits{ExecuteSilence, Order.Remaining + ExecuteGrace};
  auto Answer = Link->stream(Order, Limits, [&OnPart](const CallPart &Part) {
    OnPart(Part);
    return true;
  });
  if (Answer)
    noteLoad(At, Answer->Load);
  return Answer;
}

Expected<AttemptStatus> Peers::queryAttempt(const InstanceId &At,
                                            const AttemptStatusRequest &Order) {
  return callPeer(At, Order);
}

void Peers::release(const InstanceId &At, const ReleaseRequest &Order) {
  if (const auto Sent = callPeer(At, Order); !Sent)
    spdlog::warn("peers: a release did not reach {}: {}", At.text(),
                 Sent.error().Message);
}

} // namespace internal
} // namespace tamarack
