#include "Scene.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace tamarack::review {
namespace {

namespace fs = std::filesystem;

enum Group : unsigned { StoreGroup, EntryGroup, LedgerGroup, ReplicaGroup };

constexpr unsigned StorePort = 8142;
constexpr unsigned CallerPort = 8149;
constexpr unsigned ReadinessPort = 8141;
constexpr unsigned ControlPort = 8144;
constexpr unsigned LinkPort = 7380;
constexpr unsigned ReplicaPort = 8501;
constexpr unsigned MaxSlots = 200;
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1200);
constexpr Duration EventInterval = std::chrono::milliseconds(15);
const char *const Zones[] = {"cluj-a", "iasi-a", "cluj-a"};

long long unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool isFree(Loop &Io, const std::string &Address) {
  return listenOn(Io, Address).has_value();
}

} // namespace

std::string fieldOf(const HttpFields &Fields, std::string_view Name) {
  const std::string *Value = Fields.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

Record::Record(const std::string &Path) : Out(Path) {}

long long Record::now() const {
  return (steadyNow() - StartedAt) / std::chrono::milliseconds(1);
}

void Record::add(const std::string &Line) {
  Out << now() << " " << Line << std::endl;
}

Node::Node(std::string Name, std::vector<std::string> Command, fs::path Folder,
           Json Settings)
    : Name(std::move(Name)), Command(std::move(Command)),
      Folder(std::move(Folder)), Settings(std::move(Settings)) {
  fs::create_directories(this->Folder);
}

Node::~Node() { kill(); }

void Node::start(bool FirstStart) {
  Settings["bootstrap"] = FirstStart;
  const fs::path Path = Folder / "node.json";
  std::ofstream(Path) << Settings.dump(1);
  std::vector<std::string> Variables;
  for (char **Each = environ; *Each != nullptr; ++Each)
    Variables.emplace_back(*Each);
  Variables.push_back("TAMARACKCOURSE_CONFIG=" + Path.string());
  const auto PointersTo = [](std::vector<std::string> &Texts) {
    std::vector<char *> Result;
    for (std::string &Text : Texts)
      Result.push_back(Text.data());
    Result.push_back(nullptr);
    return Result;
  };
  posix_spawn_file_actions_t Actions;
  ::posix_spawn_file_actions_init(&Actions);
  const std::string Output = (Folder / "log").string();
  ::posix_spawn_file_actions_addopen(&Actions, 1, Output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  // Otherwise the process would keep the sockets of the stand-ins open.
  ::posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  if (::posix_spawn(&ProcessId, Command.front().c_str(), &Actions, nullptr,
                    PointersTo(Command).data(),
                    PointersTo(Variables).data()) != 0)
    ProcessId = -1;
  ::posix_spawn_file_actions_destroy(&Actions);
}

void Node::signal(int Number) {
  if (isUp())
    ::kill(ProcessId, Number);
}

void Node::kill() {
  if (!isUp())
    return;
  ::kill(ProcessId, SIGKILL);
  ::waitpid(ProcessId, nullptr, 0);
  ProcessId = -1;
}

bool Node::isUp() {
  if (ProcessId < 0)
    return false;
  if (::waitpid(ProcessId, nullptr, WNOHANG) != ProcessId)
    return true;
  ProcessId = -1;
  return false;
}

Replica::Replica(Loop &Io, Options Config, soak::StandinStore &Store,
                 Record &Log)
    : Io(Io), Config(std::move(Config)), Store(Store), Log(Log) {}

void Replica::publish() {
  Store.put("servers/" + Id, Json{{"service", Config.Service},
                                  {"address", Config.Address},
                                  {"zone", Config.Zone},
                                  {"version", "v1"},
                                  {"slots", 32},
                                  {"state", "ready"},
                                  {"cold_remaining_ms", 0},
                                  {"sequence", ++Sequence},
                                  {"born", Born}}
                                 .dump());
}

void Replica::start() {
  ++Incarnation;
  Id = "i-" + Config.Name + "-" + std::to_string(Incarnation);
  Born = unixMillis();
  Sequence = 0;
  Server = std::make_unique<HttpServer>(
      Io, HttpServerLimits{},
      [this](HttpExchange &Call) { return serve(Call); });
  if (!Server->listen(Config.Address))
    Log.add("replica " + Id + " cannot listen");
  publish();
  spawn(Io, beat(Incarnation));
  Log.add("replica " + Id + " starts");
}

Task<void> Replica::beat(unsigned OwnIncarnation) {
  const std::string OwnId = Id;
  TimePoint LastBeatAt = steadyNow();
  while (true) {
    co_await pause(Io, HeartbeatInterval);
    if (Incarnation == OwnIncarnation && Server) {
      LastBeatAt = steadyNow();
      publish();
    } else if (steadyNow() - LastBeatAt >= 3 * HeartbeatInterval) {
      Store.remove("servers/" + OwnId);
      co_return;
    }
  }
}

Task<void> Replica::crash() {
  Log.add("replica " + Id + " crashes");
  Server->close();
  Closed.push_back(std::move(Server));
  co_await pause(Io, Config.Downtime);
  start();
}

Task<void> Replica::serve(HttpExchange &Call) {
  const std::string Request = fieldOf(Call.request().Fields, "X-Request-Id");
  HttpHead Head{200, {}};
  Head.Fields.add("X-Request-Id", Request);
  Head.Fields.add("X-Server-Signature", "signed-" + Request);
  if (fieldOf(Call.request().Fields, "X-Expect-Instance") != Id) {
    Head.Status = 421;
    Head.Fields.add("X-Not-Executed", "1");
    HttpResponse Refusal{std::move(Head), {}};
    co_await Call.answer(std::move(Refusal));
    co_return;
  }
  Log.add("runs " + Request + " at " + Id + " for " +
          fieldOf(Call.request().Fields, "X-Program-Id"));
  if (Config.OnRun)
    Config.OnRun(Call.request());
  if (Config.IsDeadly && Config.IsDeadly(Call.request())) {
    spawn(Io, crash());
    // The connection is cut when the server closes.
    co_await pause(Io, Config.Downtime);
    co_return;
  }
  co_await pause(Io, Config.Work);
  if (Config.Streams) {
    Head.Fields.add("Content-Type", "text/event-stream");
    Call.begin(std::move(Head));
    co_await streamEvents(Call, Request);
  } else {
    HttpResponse Response{std::move(Head), "done " + Request};
    co_await Call.answer(std::move(Response));
  }
}

Task<void> Replica::streamEvents(HttpExchange &Call, std::string Request) {
  const std::string After = fieldOf(Call.request().Fields, "Last-Event-Id");
  const unsigned Sent =
      After.empty() ? 0 : static_cast<unsigned>(std::stoul(After));
  for (unsigned Number = Sent + 1; Number <= EventsPerTurn; ++Number) {
    co_await pause(Io, EventInterval);
    const std::string Event = "id: " + std::to_string(Number) +
                              "\ndata: " + Request + "." +
                              std::to_string(Number) + "\n\n";
    const bool IsOpen = co_await Call.sendChunk(Event);
    if (!IsOpen)
      co_return;
  }
  co_await Call.end();
}

Json makeRoute(const std::string &Prefix, const std::string &Type,
               const std::string &Service) {
  return Json{
      {"name", Prefix},    {"host", Host},        {"path_prefix", Prefix},
      {"type", Type},      {"timeout_ms", 4000},  {"target_latency_ms", 300},
      {"priority", 0},     {"service", Service},  {"max_attempts", 1},
      {"retained", false}, {"retention_s", 60.0}, {"resumable", false}};
}

Scene::Scene(Loop &Io, SceneOptions Config, Record &Log)
    : Io(Io), Options(std::move(Config)), Log(Log) {
  const unsigned First = static_cast<unsigned>(::getpid()) % MaxSlots;
  for (unsigned Try = 0; Try < MaxSlots && Slot == 0; ++Try) {
    Slot = 20 + (First + Try) % MaxSlots;
    if (!isFree(Io, address(StoreGroup, 1, StorePort)) ||
        !isFree(Io, address(EntryGroup, 1, CallerPort)) ||
        !isFree(Io, address(LedgerGroup, 1, LinkPort)))
      Slot = 0;
  }
  Store = std::make_unique<soak::StandinStore>(
      Io, address(StoreGroup, 1, StorePort), 1);
  for (unsigned Number = 1; Number <= Options.Ledgers; ++Number) {
    const std::string Name = "storage-" + std::to_string(Number);
    Ledgers.push_back(std::make_unique<Node>(Name, Options.LedgerCommand,
                                             Options.Folder / Name,
                                             settings(false, Number)));
  }
  for (unsigned Number = 1; Number <= Options.Entries; ++Number) {
    const std::string Name = "edge-" + std::to_string(Number);
    Entries.push_back(std::make_unique<Node>(Name, Options.EntryCommand,
                                             Options.Folder / Name,
                                             settings(true, Number)));
  }
}

std::string Scene::address(unsigned Group, unsigned Number,
                           unsigned Port) const {
  return "127." + std::to_string(Slot) + "." + std::to_string(Group) + "." +
         std::to_string(Number) + ":" + std::to_string(Port);
}

std::string Scene::replicaAddress(unsigned Number) const {
  return address(ReplicaGroup, Number, ReplicaPort);
}

std::string Scene::nextId() {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%016x", ++LastId);
  return Text;
}

Json Scene::settings(bool IsEntry, unsigned Number) const {
  const unsigned Group = IsEntry ? EntryGroup : LedgerGroup;
  const std::string Own = address(Group, Number, 0);
  const std::string Ip = Own.substr(0, Own.find(':'));
  Json Result{
      {"node_name", (IsEntry ? "edge-" : "storage-") + std::to_string(Number)},
      {"role", IsEntry ? "entry" : "ledger"},
      {"machine_class", IsEntry ? "edge" : "storage"},
      {"ip", Ip},
      {"zone", Zones[(Number - 1) % 3]},
      {"region", "ro-nord"},
      {"zones", {{"cluj-a", "ro-nord"}, {"iasi-a", "ro-nord"}}},
      {"internal_ports", {LinkPort, LinkPort + 15}},
      {"seeds", Json::array()},
      {"fault_counted", !IsEntry},
      {"limits", {{"memory_mb", IsEntry ? 260 : 290}}},
      {"data_dir", nullptr},
      {"heartbeat_ms", 1200},
      {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"contact_ms", 4000},
        {"drain_ms", 2500},
        {"config_apply_ms", 2500},
        {"grace_s", 8},
        {"recovery_s", 12}}},
      {"platform", {{"address", address(StoreGroup, 1, StorePort)}}}};
  if (IsEntry)
    Result["listen"] = {{"frontend", address(Group, Number, CallerPort)},
                        {"readiness", address(Group, Number, ReadinessPort)},
                        {"control", address(Group, Number, ControlPort)}};
  else
    Result["data_dir"] =
        (Options.Folder / ("storage-" + std::to_string(Number)) / "data")
            .string();
  for (unsigned Peer = 1; Peer <= std::min(3U, Options.Entries); ++Peer)
    Result["seeds"].push_back(address(EntryGroup, Peer, ControlPort));
  return Result;
}

void Scene::putConfiguration(const Json &Routes, const Json &Services,
                             const Json &Tenants) {
  Json Document{{"version", 7},
                {"routes", Routes},
                {"services", Services},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 5000},
                  {"idle_timeout_ms", 15000}}}};
  if (!Tenants.is_null())
    Document["tenants"] = Tenants;
  Store->put("op/config", Document.dump());
}

Task<bool> Scene::start() {
  for (const auto &Each : Ledgers)
    Each->start(true);
  for (const auto &Each : Entries)
    Each->start(true);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const bool IsReady = co_await awaitReady(Index, std::chrono::seconds(15));
    if (!IsReady)
      co_return false;
  }
  co_return true;
}

namespace {

Task<Answer> exchange(Loop &Io, std::string Address, HttpRequest Request,
                      Duration Limit) {
  // A pool of its own, so that each attempt opens a connection.
  ConnectionPool Pool(Io, {});
  auto Opened = co_await HttpCall::open(Pool, std::move(Address));
  if (!Opened)
    co_return Answer{};
  const std::shared_ptr<HttpCall> Call = *Opened;
  if (!Call->send(encodeRequest(Request)))
    co_return Answer{};
  asio::steady_timer Timer(Io, Limit);
  Timer.async_wait([Weak = std::weak_ptr<HttpCall>(Call)](const ErrorCode &E) {
    const auto Self = Weak.lock();
    if (!E && Self)
      Self->abort();
  });
  const Expected<HttpHead> Head = co_await Call->readHead();
  Answer Result;
  while (Head) {
    const auto Piece = co_await Call->readPiece();
    if (!Piece)
      break;
    if (!*Piece) {
      Result.Status = Head->Status;
      break;
    }
    Result.Body += **Piece;
  }
  Call->abort();
  co_return Result;
}

} // namespace

Task<bool> Scene::awaitReady(std::size_t Entry, Duration Limit) {
  const TimePoint Until = steadyNow() + Limit;
  const std::string Address =
      address(EntryGroup, static_cast<unsigned>(Entry) + 1, ReadinessPort);
  while (steadyNow() < Until) {
    HttpRequest Request{"GET", "/v1/readyz", {}, {}};
    Request.Fields.add("Host", Address);
    const Answer Got = co_await exchange(Io, Address, std::move(Request),
                                         std::chrono::seconds(1));
    if (Got.Status == 200)
      co_return true;
    co_await pause(Io, std::chrono::milliseconds(50));
  }
  co_return false;
}

Task<Answer> Scene::send(std::size_t Entry, HttpRequest Request,
                         Duration Limit) {
  const std::string Id = fieldOf(Request.Fields, "X-Request-Id");
  Request.Fields.set("Host", Host);
  Request.Fields.set("X-Deadline-Ms",
                     std::to_string(Limit / std::chrono::milliseconds(1)));
  if (Request.Method != "GET")
    Request.Fields.set("Content-Length", std::to_string(Request.Body.size()));
  const std::string Address =
      address(EntryGroup, static_cast<unsigned>(Entry) + 1, CallerPort);
  Log.add("sent " + Id + " to " + Entries[Entry]->name() + " " +
          Request.Method + " " + Request.Target + " for " +
          fieldOf(Request.Fields, "X-Program-Id"));
  Answer Got = co_await exchange(Io, Address, std::move(Request),
                                 Limit + std::chrono::milliseconds(500));
  Log.add("answered " + Id + " " + std::to_string(Got.Status));
  co_return Got;
}

} // namespace tamarack::review
