#include "tamarack/standins/KeyValueServer.h"

#include "HttpHost.h"
#include "KeyValueStore.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace tamarack {
using namespace internal;
namespace {

/// Waiting watches look at the clock at least this often.
constexpr Duration WatchSlice = std::chrono::milliseconds(50);
constexpr std::uint64_t DefaultWatchMs = 30'000;

using InstanceMap = std::map<std::string, Json>;

struct InstanceSnapshot {
  TimePoint Since;
  InstanceMap Instances;
};

struct Faults {
  bool Outage = false;
  std::chrono::milliseconds Delay{0};
  std::uint64_t LoseAnswers = 0;
};

struct Stats {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Refused = 0;
};

struct Answer {
  int Status;
  Json Body;
};

Json itemJson(const KeyValueItem &Item) {
  return {
      {"key", Item.Key}, {"value", Item.Value}, {"revision", Item.ChangedAt}};
}

Json itemsJson(const std::vector<KeyValueItem> &Items, Revision Last) {
  Json List = Json::array();
  for (const auto &Item : Items)
    List.push_back(itemJson(Item));
  return {{"items", List}, {"revision", Last}};
}

Answer writeAnswer(const WriteOutcome &Outcome) {
  Json Body = {{"revision", Outcome.Current}};
  switch (Outcome.Status) {
  case WriteStatus::Done:
    return {200, Body};
  case WriteStatus::Conflict:
    return {409, Body};
  case WriteStatus::TooLarge:
    return {413, {{"error", "value exceeds 1 MB"}}};
  case WriteStatus::UnknownLease:
    return {404, {{"error", "unknown lease"}}};
  case WriteStatus::Absent:
    return {404, {{"error", "no such key"}}};
  }
  return {500, Json::object()};
}

Answer foundAnswer(bool Found) {
  return Found ? Answer{200, Json::object()}
               : Answer{404, {{"error", "not found"}}};
}

std::optional<Revision> expectedRevision(const Exchange &Call) {
  if (!Call.query("expected_revision"))
    return std::nullopt;
  return Call.numberQuery("expected_revision", 0);
}

} // namespace

struct KeyValueServer::Impl {
  Options Settings;
  SystemClock OwnClock;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  KeyValueState State;
  std::deque<InstanceSnapshot> Snapshots;
  Faults Fault;
  Stats Count;
  /// Last, so that no handler runs once the members above are gone.
  std::unique_ptr<HttpHost> Host;

  TimePoint now() const {
    return Settings.Time ? Settings.Time->now() : OwnClock.now();
  }

  void handle(Exchange &Call);
  void handleFaults(Exchange &Call);
  void read(Exchange &Call);
  void watch(Exchange &Call);
  void write(Exchange &Call);
  Answer applyWrite(const Exchange &Call);
  Answer applyLease(const Exchange &Call, const std::string &Rest);
  Answer applyInstance(const Exchange &Call, const std::string &Name);
  InstanceMap visibleInstances();
};

void KeyValueServer::Impl::handle(Exchange &Call) {
  if (Call.path() == "/v1/faults")
    return handleFaults(Call);
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Fault.Delay, [this] { return Stopping; });
  if (Fault.Outage) {
    ++Count.Refused;
    Lock.unlock();
    return Call.answer(503, {{"error", "outage"}});
  }
  Lock.unlock();
  if (Call.is("GET", "/v1/watch"))
    return watch(Call);
  return Call.method() == "GET" ? read(Call) : write(Call);
}

void KeyValueServer::Impl::handleFaults(Exchange &Call) {
  Json Body = Call.body();
  std::lock_guard Lock(Mutex);
  Fault.Outage = Body.value("outage", Fault.Outage);
  Fault.Delay = std::chrono::milliseconds(
      Body.value("delay_ms", std::int64_t(Fault.Delay.count())));
  Fault.LoseAnswers = Body.value("lose_answers", Fault.LoseAnswers);
  Changed.notify_all();
  Call.answer(200, {{"outage", Fault.Outage},
                    {"delay_ms", Fault.Delay.count()},
                    {"lose_answers", Fault.LoseAnswers}});
}

void KeyValueServer::Impl::read(Exchange &Call) {
  std::unique_lock Lock(Mutex);
  expireLeases(State, now());
  Answer Result = foundAnswer(false);
  if (Call.path() == "/v1/stats") {
    Result = {200,
              {{"reads", Count.Reads},
               {"writes", Count.Writes},
               {"watches", Count.Watches},
               {"refused", Count.Refused}}};
    Lock.unlock();
    return Call.answer(Result.Status, Result.Body);
  }
  ++Count.Reads;
  if (auto Key = Call.pathBehind("/v1/kv/")) {
    if (auto Item = findItem(State, *Key))
      Result = {200, itemJson(*Item)};
  } else if (Call.path() == "/v1/kv") {
    auto Prefix = Call.query("prefix").value_or("");
    Result = {200, itemsJson(itemsUnder(State, Prefix), State.Last)};
  } else if (Call.path() == "/v1/instances") {
    Json List = Json::array();
    for (const auto &[Name, Instance] : visibleInstances())
      List.push_back(Instance);
    Result = {200, {{"instances", List}}};
  }
  Lock.unlock();
  Call.answer(Result.Status, Result.Body);
}

void KeyValueServer::Impl::watch(Exchange &Call) {
  auto Prefix = Call.query("prefix").value_or("");
  Revision After = Call.numberQuery("after", 0);
  auto Timeout =
      std::chrono::milliseconds(Call.numberQuery("timeout_ms", DefaultWatchMs));
  std::unique_lock Lock(Mutex);
  ++Count.Watches;
  TimePoint Ends = now() + Timeout;
  Revision Checked = After;
  std::vector<KeyValueItem> Items;
  while (true) {
    TimePoint Now = now();
    expireLeases(State, Now);
    if (State.Last > Checked)
      Items = changesSince(State, Prefix, After);
    Checked = State.Last;
    if (!Items.empty() || Now >= Ends || Stopping || Fault.Outage)
      break;
    Duration Wait = std::min(WatchSlice, Duration(Ends - Now));
    if (auto Expiry = nextExpiry(State))
      Wait = std::min(Wait, Duration(*Expiry - Now));
    Changed.wait_for(Lock, Wait);
  }
  bool Outage = Fault.Outage;
  Json Body = itemsJson(Items, State.Last);
  Lock.unlock();
  if (Outage)
    return Call.answer(503, {{"error", "outage"}});
  Call.answer(200, Body);
}

void KeyValueServer::Impl::write(Exchange &Call) {
  std::unique_lock Lock(Mutex);
  ++Count.Writes;
  Answer Result = applyWrite(Call);
  bool Lose = Fault.LoseAnswers > 0;
  if (Lose)
    --Fault.LoseAnswers;
  Changed.notify_all();
  Lock.unlock();
  if (Lose)
    return Call.drop();
  Call.answer(Result.Status, Result.Body);
}

Answer KeyValueServer::Impl::applyWrite(const Exchange &Call) {
  if (auto Key = Call.pathBehind("/v1/kv/")) {
    if (Call.method() == "DELETE")
      return writeAnswer(
          removeItem(State, *Key, expectedRevision(Call), now()));
    Json Body = Call.body();
    PutRequest Request{*Key, Body.at("value").get<std::string>(), {}};
    if (Body.contains("expected_revision"))
      Request.ExpectedRevision =
          Body["expected_revision"].get<std::optional<Revision>>();
    Request.Lease = Body.value("lease", "");
    return writeAnswer(putItem(State, Request, now()));
  }
  if (Call.is("POST", "/v1/leases")) {
    std::chrono::milliseconds TimeToLive(
        Call.body().at("ttl_ms").get<std::int64_t>());
    return {200, {{"lease", grantLease(State, TimeToLive, now())}}};
  }
  if (auto Rest = Call.pathBehind("/v1/leases/"))
    return applyLease(Call, *Rest);
  if (auto Name = Call.pathBehind("/v1/instances/"))
    return applyInstance(Call, *Name);
  return foundAnswer(false);
}

Answer KeyValueServer::Impl::applyLease(const Exchange &Call,
                                        const std::string &Rest) {
  if (Call.method() == "DELETE")
    return foundAnswer(revokeLease(State, Rest, now()));
  std::string Lease = Rest.substr(0, Rest.find('/'));
  if (Rest != Lease + "/renew")
    return foundAnswer(false);
  return foundAnswer(renewLease(State, Lease, now()));
}

Answer KeyValueServer::Impl::applyInstance(const Exchange &Call,
                                           const std::string &Name) {
  InstanceMap Instances;
  if (!Snapshots.empty())
    Instances = Snapshots.back().Instances;
  bool Known = Instances.count(Name) > 0;
  bool Removes = Call.method() == "DELETE";
  if (Removes)
    Instances.erase(Name);
  else
    Instances[Name] = Call.body();
  Snapshots.push_back({now(), std::move(Instances)});
  return foundAnswer(Known || !Removes);
}

InstanceMap KeyValueServer::Impl::visibleInstances() {
  TimePoint Seen = now() - Settings.InstancesLag;
  while (Snapshots.size() > 1 && Snapshots[1].Since <= Seen)
    Snapshots.pop_front();
  bool Any = !Snapshots.empty() && Snapshots.front().Since <= Seen;
  return Any ? Snapshots.front().Instances : InstanceMap();
}

KeyValueServer::KeyValueServer(std::unique_ptr<Impl> Pimpl)
    : Pimpl(std::move(Pimpl)) {}

Expected<std::unique_ptr<KeyValueServer>>
KeyValueServer::create(Options Settings) {
  auto Built = std::make_unique<Impl>();
  Built->Settings = Settings;
  auto Host =
      HttpHost::create(Settings.Port, [Raw = Built.get()](Exchange &Call) {
        Raw->handle(Call);
      });
  if (!Host)
    return tl::unexpected(Host.error());
  Built->Host = std::move(*Host);
  return std::unique_ptr<KeyValueServer>(new KeyValueServer(std::move(Built)));
}

KeyValueServer::~KeyValueServer() {
  {
    std::lock_guard Lock(Pimpl->Mutex);
    Pimpl->Stopping = true;
    Pimpl->Changed.notify_all();
  }
  Pimpl->Host.reset();
}

std::uint16_t KeyValueServer::port() const { return Pimpl->Host->port(); }

} // namespace tamarack
