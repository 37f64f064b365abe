#include "tamarack/daemon/Daemon.h"

#include "CallersHttp.h"
#include "CopyServer.h"
#include "EndpointGate.h"
#include "OperatorsHttp.h"
#include "Supervisor.h"
#include "tamarack/config/Keys.h"

#include <csignal>
#include <random>
#include <spdlog/spdlog.h>
#include <thread>
#include <unistd.h>

namespace tamarack {
namespace {

using namespace internal;

const CallLimits AskLimits{std::chrono::seconds(2), std::chrono::seconds(2)};
constexpr Duration DrainPoll = std::chrono::milliseconds(20);

/// Random numbers from the system, for ids that must never come twice.
class RandomSource {
public:
  std::uint64_t draw() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Engine();
  }
  std::string fresh() { return fmt::format("{:016x}{:016x}", draw(), draw()); }

private:
  std::mutex Mutex;
  std::mt19937_64 Engine{
      (static_cast<std::uint64_t>(std::random_device()()) << 32U) ^
      std::random_device()()};
};

Incarnation incarnationNow(const Clock &Time) {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.calendarNow().time_since_epoch())
          .count());
}

Member memberOf(const Settings &Own, Incarnation Life, const FolderId &Folder) {
  Member Self;
  Self.Instance = Own.Instance;
  Self.Life = Life;
  Self.Kind = Own.Role == ProcessRole::Entry ? Role::Entry : Role::Endpoint;
  Self.Region = Own.Region;
  Self.DataCentre = Own.DataCentre;
  Self.Host = Own.Host;
  Self.Port = Own.PeerPort;
  Self.Folder = Folder;
  if (Own.Endpoint) {
    Self.Endpoint = Own.Endpoint->Name;
    Self.Serves = Own.Endpoint->Serves;
  }
  return Self;
}

PeerSettings peerSettingsOf(const Settings &Own, const Member &Self,
                            const std::string &Secret) {
  PeerSettings Peers;
  Peers.Self = Self;
  Peers.Link.Key = Secret;
  Peers.Link.HeartbeatInterval = Own.HeartbeatEvery;
  Peers.Link.SilenceTimeout = Own.SilenceLimit;
  Peers.Timing.HeartbeatPeriod = Own.HeartbeatEvery;
  const auto Missed = Own.SuspectAfter / Own.HeartbeatEvery;
  Peers.Timing.SuspectAfterMissed = static_cast<unsigned>(Missed);
  Peers.Timing.GoneAfterMissed = static_cast<unsigned>(2 * Missed);
  return Peers;
}

AdmissionLimits admissionOf(const EndpointSettings &Endpoint) {
  AdmissionLimits Limits;
  Limits.MaxBatch = Endpoint.MaxBatch;
  if (Endpoint.MemoryTokens > 0)
    Limits.MemoryTokens = Endpoint.MemoryTokens;
  return Limits;
}

} // namespace

/// The parts of one process; those of the other role stay empty.
struct Daemon::Impl {
  Impl(const Settings &Given, const Clock &Source, std::string PeerSecret,
       CallerKeys Known, std::unique_ptr<FolderStore> Folder)
      : Own(Given), Time(Source), Callers(std::move(Known)),
        Store(std::move(Folder)), Life(incarnationNow(Source)),
        Service(Given.Platform, Given.PlatformTimeout),
        Network(peerSettingsOf(
                    Given,
                    memberOf(Given, Life, Store ? Store->folder() : FolderId()),
                    PeerSecret),
                Service, Source),
        Config(Network, Service, Source, Given.DataFolder,
               [this] { return Random.fresh(); }),
        Measured([this] { return counters(); }) {}

  void buildEntry();
  void buildEndpoint();
  void buildOperators(const Key &Secret);
  void addParts();
  /// Waits until \p HasEnded, but no longer than the settings' stop limit.
  void awaitEnd(const std::function<bool()> &HasEnded) const;
  /// Asks the last known owner, or else any live entry of the region.
  std::optional<bool> askOwner(const ProgramId &Program,
                               const InstanceId &LastOwner);
  std::vector<CounterValue> counters() const;
  Expected<void> start();
  void stop();

  const Settings Own;
  const Clock &Time;
  const CallerKeys Callers;
  RandomSource Random;
  std::unique_ptr<FolderStore> Store;
  const Incarnation Life;
  Platform Service;
  Peers Network;
  ConfigKeeper Config;
  Metrics Measured;

  std::unique_ptr<PlatformShardRecords> Records;
  std::unique_ptr<ShardTable> Shards;
  std::unique_ptr<Owner> Programs;
  std::unique_ptr<Router> Requests;
  std::unique_ptr<CallersHttp> CallersPort;
  std::unique_ptr<EndpointGate> Gate;
  std::unique_ptr<OperatorsHttp> OperatorsPort;
  Supervisor Root{"root"};
};

void Daemon::Impl::buildEntry() {
  Records = std::make_unique<PlatformShardRecords>(Service, Own.Region);
  Shards = std::make_unique<ShardTable>(*Records, Network, Network,
                                        [this] { return Random.fresh(); });
  OwnerSettings Calls;
  Calls.ShardCount = Own.ShardCount;
  Programs = std::make_unique<Owner>(
      *Shards, Network, Network, Time, Calls, [this] { return Random.fresh(); },
      [this] { return Random.draw(); });
  Requests = std::make_unique<Router>(*Programs, *Shards, Network, Time,
                                      Own.ShardCount);
  CallersSettings Port;
  Port.Host = Own.Host;
  Port.Port = Own.CallerPort;
  Port.Region = Own.Region;
  Port.Keys = Callers;
  CallersPort =
      std::make_unique<CallersHttp>(Port, *Requests, Network, Config, Measured,
                                    Time, [this] { return Random.fresh(); });

  LinkServer &Server = Network.server();
  Server.handleStream<SubmitCallRequest>(
      [this](const SubmitCallRequest &Order,
             const std::function<bool(const CallPart &)> &Part) {
        return Requests->call(Order,
                              [&Part](const CallPart &Piece) { Part(Piece); });
      });
  Server.handle<ProgramAliveRequest>(
      [this](const ProgramAliveRequest &Order) -> Expected<ProgramAliveReply> {
        const CustomerId Customer(
            Order.Program.text().substr(0, Order.Program.text().find('~')));
        Scope Asked;
        Asked.Customer = Customer;
        const auto Alive =
            Requests->isAlive(Order, Config.rulesFor(Asked).CacheTimeToLive);
        if (!Alive)
          return tl::make_unexpected(Alive.error());
        return ProgramAliveReply{*Alive};
      });
  Server.handle<ProgramRequest>(
      [this](const ProgramRequest &Order) { return Requests->program(Order); });
}

void Daemon::Impl::buildEndpoint() {
  Gate = std::make_unique<EndpointGate>(
      *Own.Endpoint, Life, admissionOf(*Own.Endpoint), Time,
      [this](const ProgramId &Program, const InstanceId &LastOwner) {
        return askOwner(Program, LastOwner);
      });
  Network.setLoadSource([this] { return Gate->load(); });
  LinkServer &Server = Network.server();
  Server.handleStream<ExecuteRequest>(
      [this](const ExecuteRequest &Order,
             const std::function<bool(const CallPart &)> &Part) {
        return Gate->execute(Order, Part);
      });
  Server.handle<AttemptStatusRequest>(
      [this](const AttemptStatusRequest &Order) {
        return Expected<AttemptStatus>(Gate->ask(Order));
      });
  Server.handle<ReleaseRequest>([this](const ReleaseRequest &Order) {
    Gate->release(Order);
    return Expected<Ack>(Ack{});
  });
}

std::optional<bool> Daemon::Impl::askOwner(const ProgramId &Program,
                                           const InstanceId &LastOwner) {
  std::vector<InstanceId> Entries;
  if (!LastOwner.empty())
    Entries.push_back(LastOwner);
  for (const Member &Entry :
       membersIn(Network.members(), MemberState::Live, Role::Entry, Own.Region))
    Entries.push_back(Entry.Instance);
  for (const InstanceId &Entry : Entries) {
    const auto Link = Network.link(Entry);
    if (!Link)
      continue;
    if (const auto Reply =
            Link->call(ProgramAliveRequest{Program, 0}, AskLimits))
      return Reply->Alive;
  }
  return std::nullopt;
}

void Daemon::Impl::buildOperators(const Key &Secret) {
  OperatedParts Parts{Network,        Config,
                      Measured,       Service,
                      Requests.get(), Programs.get(),
                      Shards.get(),   [] { ::kill(::getpid(), SIGTERM); }};
  OperatorsPort = std::make_unique<OperatorsHttp>(Own.Host, Own.OperatorPort,
                                                  Secret, Parts);
}

std::vector<CounterValue> Daemon::Impl::counters() const {
  std::vector<CounterValue> Values;
  const auto Add = [&Values](Counter Which, std::uint64_t Value,
                             std::string Label = "") {
    Values.push_back({Which, std::move(Label), static_cast<double>(Value)});
  };
  const PlatformCounts &Platform = Service.counts();
  Add(Counter::PlatformReads, Platform.Reads);
  Add(Counter::PlatformWrites, Platform.Writes);
  Add(Counter::PlatformFailures, Platform.Failures);
  Add(Counter::AnswersReadBack, Platform.AnswersReadBack);
  if (OperatorsPort)
    Add(Counter::WrongKeys, OperatorsPort->wrongKeys(), "operators");
  if (Gate) {
    const GateCounts Gated = Gate->counts();
    Add(Counter::PromptTokens, Gated.PromptTokens);
    Add(Counter::CachedTokens, Gated.CachedTokens);
    Add(Counter::AttemptsVoided, Gated.Voided);
    Add(Counter::CacheReleased, Gated.CacheReleased);
    return Values;
  }
  const OwnerCounts Owned = Programs->counts();
  std::map<ErrorKind, std::uint64_t> Refused = Owned.Refused;
  for (const auto &[Kind, Count] : CallersPort->refused())
    Refused[Kind] += Count;
  for (const ErrorAnswer &Row : errorTable())
    Add(Counter::Refused, Refused[Row.Kind], Row.Name);
  for (const RetryReason Reason : retryReasons()) {
    const auto Found = Owned.Retried.find(Reason);
    Add(Counter::Retried, Found == Owned.Retried.end() ? 0 : Found->second,
        nameOf(Reason));
  }
  for (const GiveUpReason Reason : giveUpReasons()) {
    const auto Found = Owned.GaveUp.find(Reason);
    Add(Counter::GaveUp, Found == Owned.GaveUp.end() ? 0 : Found->second,
        nameOf(Reason));
  }
  Add(Counter::CallsStarted, Owned.Started);
  Add(Counter::CallsJoined, Owned.Joined);
  Add(Counter::AnswersRepeated, Owned.Stored);
  Add(Counter::AttemptsAsked, Owned.Asked);
  Add(Counter::OutcomesUnknown, Owned.OutcomesUnknown);
  Add(Counter::PromptTokens, Owned.PromptTokens);
  Add(Counter::CachedTokens, Owned.CachedTokens);
  Add(Counter::PrefilledAgain, Owned.PrefilledAgain);
  Add(Counter::WrongKeys, CallersPort->wrongKeys(), "callers");
  const ShardCounts Claimed = Shards->counts();
  Add(Counter::ShardClaims, Claimed.Claims);
  Add(Counter::ShardClaimsLost, Claimed.ClaimsLost);
  Add(Counter::CopiesReplaced, Claimed.CopiesReplaced);
  Add(Counter::AppendsFailed, Claimed.AppendsFailed);
  Add(Counter::ShardsReleased, Claimed.Released);
  return Values;
}

void Daemon::Impl::addParts() {
  Root.add(
      {"peers",
       [this] { return Network.start(Store.get()).map([](std::uint16_t) {}); },
       [this] { Network.stop(); }});
  Root.add({"config",
            [this] {
              Config.start();
              return Expected<void>();
            },
            [this] { Config.stop(); }});
  if (CallersPort)
    Root.add({"callers", [this] { return CallersPort->start(); },
              [this] { CallersPort->stop(); }});
  if (OperatorsPort)
    Root.add({"operators", [this] { return OperatorsPort->start(); },
              [this] { OperatorsPort->stop(); }});
}

Expected<void> Daemon::Impl::start() {
  if (Store)
    serveCopies(Network.server(), *Store);
  if (Own.Role == ProcessRole::Entry)
    buildEntry();
  else
    buildEndpoint();
  Network.setStateSource([this](PeerState &Told) {
    Told.ConfigRevision = Config.inForce();
    Told.ConfigConfirmed = Config.isConfirmed();
    Told.Shards = Shards ? Shards->owned().size() : 0;
  });
  Network.server().handle<DrainRequest>(
      [this](const DrainRequest &Order) -> Expected<Ack> {
        if (Order.Instance != Own.Instance)
          return refuse(ErrorKind::MalformedRequest,
                        "another instance is meant", NotRun::Proved);
        ::kill(::getpid(), SIGTERM);
        return Ack{};
      });
  if (Own.OperatorPort != 0) {
    const auto Secret = loadKey(Own.OperatorKeyFile);
    if (!Secret)
      return tl::make_unexpected(Secret.error());
    buildOperators(*Secret);
  }
  addParts();
  return Root.start();
}

void Daemon::Impl::awaitEnd(const std::function<bool()> &HasEnded) const {
  const TimePoint GiveUp = Time.now() + Own.StopLimit;
  while (!HasEnded() && Time.now() < GiveUp)
    std::this_thread::sleep_for(DrainPoll);
}

void Daemon::Impl::stop() {
  Network.setLeaving();
  if (Gate) {
    Gate->drain();
    awaitEnd([this] { return Gate->isDrained(); });
  }
  if (CallersPort)
    CallersPort->stop();
  if (Programs) {
    // Calls that other entries forwarded end first; later ones find the next
    // owner by the released records.
    awaitEnd([this] { return Programs->running() == 0; });
    Shards->release();
  }
  Root.stop();
}

Daemon::Daemon(std::unique_ptr<Impl> Inner) : Inner(std::move(Inner)) {}

Daemon::~Daemon() = default;

Expected<std::unique_ptr<Daemon>> Daemon::create(const Settings &Own,
                                                 const Clock &Time) {
  const auto PeerKey = loadKey(Own.PeerKeyFile);
  if (!PeerKey)
    return tl::make_unexpected(PeerKey.error());
  CallerKeys Callers;
  if (!Own.CallerKeysFile.empty()) {
    auto Read = loadCallerKeys(Own.CallerKeysFile);
    if (!Read)
      return tl::make_unexpected(Read.error());
    Callers = std::move(*Read);
  }
  std::unique_ptr<FolderStore> Store;
  if (!Own.DataFolder.empty()) {
    RandomSource Random;
    auto Opened = FolderStore::open(Own.DataFolder, FolderId(Random.fresh()));
    if (!Opened)
      return tl::make_unexpected(Opened.error());
    Store = std::move(*Opened);
  }
  return std::unique_ptr<Daemon>(new Daemon(std::make_unique<Impl>(
      Own, Time, PeerKey->secret(), std::move(Callers), std::move(Store))));
}

Expected<void> Daemon::start() { return Inner->start(); }

void Daemon::stop() { Inner->stop(); }

} // namespace tamarack
