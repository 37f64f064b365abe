#include "Cluster.h"

#include "tamarack/base/Ids.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace tamarack {
namespace {

/// Offsets from the deployment's first port.
constexpr int KvPort = 0;
constexpr int EnginePort = 10;
constexpr int ServicePort = 20;
constexpr int EntryPort = 30;
constexpr int CallerPort = 40;
constexpr int OperatorPort = 50;
constexpr int BesidePort = 60;
constexpr int PortsNeeded = 70;
constexpr int LowestPort = 20000;
constexpr int HighestPort = 30000;
constexpr int Engines = 2;
constexpr std::uint32_t ShardCount = 16;
constexpr auto Poll = std::chrono::milliseconds(20);
constexpr int PollsAtMost = 750;
const HttpHeaders KeyHeader{{"Authorization", "Bearer key-of-obrador"}};

bool isFree(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const bool Free = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address)) == 0;
  close(Socket);
  return Free;
}

/// The first of a range of ports that nobody uses. Ranges below the ephemeral
/// ports, and other ranges for other processes, so that several checkouts can
/// be tested at once.
int freePorts() {
  const int Ranges = (HighestPort - LowestPort) / PortsNeeded;
  for (int Try = 0; Try < Ranges; ++Try) {
    const int First =
        LowestPort + (static_cast<int>(getpid()) + Try) % Ranges * PortsNeeded;
    bool Free = true;
    for (int Offset = 0; Free && Offset < PortsNeeded; ++Offset)
      Free = isFree(First + Offset);
    if (Free)
      return First;
  }
  throw std::runtime_error("no free ports");
}

int portAt(int Offset) {
  static const int First = freePorts();
  return First + Offset;
}

HttpTarget local(int Offset) {
  return HttpTarget(static_cast<std::uint16_t>(portAt(Offset)));
}

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
  std::filesystem::permissions(Path, std::filesystem::perms::owner_read |
                                         std::filesystem::perms::owner_write);
}

bool answers(int Port, const std::string &Path) {
  return HttpJson(local(Port)).get(Path, KeyHeader).has_value();
}

std::string numbered(const std::string &Name, int Number) {
  return Name + "-" + std::to_string(Number);
}

HttpHeaders turnHeaders(const std::string &Program, int Sequence) {
  HttpHeaders Headers = KeyHeader;
  Headers["Tamarack-Program"] = Program;
  Headers["Tamarack-Sequence"] = std::to_string(Sequence);
  Headers["Tamarack-Deadline-Ms"] = "20000";
  return Headers;
}

Json turnBody(const std::string &Text, int MaxTokens, bool Stream) {
  return {{"model", "asistente"},
          {"max_tokens", MaxTokens},
          {"stream", Stream},
          {"messages", {{{"role", "user"}, {"content", Text}}}}};
}

HttpTarget patient(HttpTarget Target) {
  Target.Timeout = std::chrono::seconds(30);
  return Target;
}

} // namespace

Cluster::Cluster(ClusterOptions Options) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "tamarack-XXXXXX").string();
  Folder = mkdtemp(Template.data());
  writeFile(Folder / "peer.key", "peer-key");
  writeFile(Folder / "operator.key", "operator-key");
  writeFile(Folder / "callers.json", R"({"key-of-obrador": "obrador"})");
  launch("kv", "tamarack-standin",
         {"--kind=kv", "--port=" + std::to_string(portAt(KvPort))});
  launch("service", "tamarack-standin",
         {"--kind=service", "--port=" + std::to_string(portAt(ServicePort)),
          "--delay_ms=" + std::to_string(Options.ServiceDelay.count())});
  eventually([] { return answers(KvPort, "/v1/stats"); });
  std::vector<std::string> Daemons;
  for (int Entry = 1; Entry <= Entries; ++Entry) {
    const std::string Name = numbered("entry", Entry);
    writeSettings(
        Name, "entry", Entry == 1 ? "andes-a" : "andes-b",
        portAt(EntryPort + Entry),
        {{"caller_port", portAt(CallerPort + Entry)},
         {"operator_port", portAt(OperatorPort + Entry)},
         {"operator_key_file", (Folder / "operator.key").string()},
         {"caller_keys_file", (Folder / "callers.json").string()},
         {"data_folder", (Folder / numbered("data", Entry)).string()}});
    Daemons.push_back(Name);
  }
  for (int Engine = 1; Engine <= Engines; ++Engine) {
    launch(numbered("engine", Engine), "tamarack-standin",
           {"--kind=engine",
            "--port=" + std::to_string(portAt(EnginePort + Engine)),
            "--token_ms=" + std::to_string(Options.TokenMs)});
    const std::string Name = numbered("beside-engine", Engine);
    writeSettings(
        Name, "endpoint", "andes-a", portAt(BesidePort + Engine),
        {{"endpoint",
          {{"name", numbered("engine", Engine)},
           {"kind", "engine"},
           {"at",
            {{"host", "127.0.0.1"}, {"port", portAt(EnginePort + Engine)}}},
           {"serves", {"asistente"}},
           {"checks_fence", false},
           {"max_batch", 16},
           {"memory_tokens", 100000}}}});
    Daemons.push_back(Name);
  }
  writeSettings(
      "beside-payouts", "endpoint", "andes-a", portAt(BesidePort),
      {{"endpoint",
        {{"name", "payouts-1"},
         {"kind", "service"},
         {"at", {{"host", "127.0.0.1"}, {"port", portAt(ServicePort)}}},
         {"serves", {"payouts"}},
         {"checks_fence", false},
         {"repeatable", false},
         {"max_batch", 16}}}});
  Daemons.emplace_back("beside-payouts");
  for (const std::string &Name : Daemons)
    startDaemon(Name);
  const bool Ready = eventually([this] {
    for (int Entry = 1; Entry <= Entries; ++Entry) {
      const auto Answer = payout(Entry, "warm-up-" + std::to_string(Entry));
      if (!Answer || Answer->Status != 200)
        return false;
      const auto Turn =
          turn(Entry, "warm-up-" + std::to_string(Entry), 1, "hello");
      if (!Turn || Turn->Status != 200)
        return false;
    }
    return true;
  });
  if (!Ready)
    throw std::runtime_error("the processes did not become ready");
}

Cluster::~Cluster() {
  for (const auto &[Name, Process] : Processes)
    ::kill(Process, SIGKILL);
  for (const auto &[Name, Process] : Processes)
    waitpid(Process, nullptr, 0);
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

void Cluster::launch(const std::string &Name, const std::string &Program,
                     const std::vector<std::string> &Arguments) {
  const std::string Path = std::string(TAMARACK_PROGRAMS) + "/" + Program;
  std::vector<std::string> Words{Path};
  Words.insert(Words.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  const std::string Log = (Folder / (Name + ".log")).string();
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  pid_t Process = 0;
  const int Failure = posix_spawn(&Process, Path.c_str(), &Files, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0)
    throw std::runtime_error("cannot start " + Path);
  Processes[Name] = Process;
}

void Cluster::writeSettings(const std::string &Name, const std::string &Role,
                            const std::string &DataCentre, int PeerPort,
                            const Json &More) {
  Json Settings{{"instance", Name},
                {"role", Role},
                {"region", "andes"},
                {"data_centre", DataCentre},
                {"host", "127.0.0.1"},
                {"peer_port", PeerPort},
                {"shard_count", ShardCount},
                {"platform", {{"host", "127.0.0.1"}, {"port", portAt(KvPort)}}},
                {"peer_key_file", (Folder / "peer.key").string()},
                {"heartbeat_every_ms", 100},
                {"silence_limit_ms", 500},
                {"suspect_after_ms", 300},
                {"platform_timeout_ms", 1000}};
  Settings.update(More);
  writeFile(Folder / (Name + ".json"), Settings.dump());
  Json Row{{"instance", Name},
           {"role", Role},
           {"region", "andes"},
           {"data_centre", DataCentre},
           {"host", "127.0.0.1"},
           {"port", PeerPort},
           {"folder", ""},
           {"endpoint", ""},
           {"serves", Json::array()},
           {"state", "live"}};
  if (More.contains("endpoint")) {
    Row["endpoint"] = More["endpoint"]["name"];
    Row["serves"] = More["endpoint"]["serves"];
  }
  HttpJson(local(KvPort)).put("/v1/instances/" + Name, Row);
}

void Cluster::startDaemon(const std::string &Name) {
  launch(Name, "tamarackd", {"--config", (Folder / (Name + ".json")).string()});
}

void Cluster::signal(const std::string &Name, int Signal) {
  ::kill(Processes.at(Name), Signal);
}

void Cluster::kill(const std::string &Name) {
  signal(Name, SIGKILL);
  waitpid(Processes.at(Name), nullptr, 0);
  Processes.erase(Name);
}

int Cluster::stop(const std::string &Name) {
  signal(Name, SIGTERM);
  int Status = 0;
  waitpid(Processes.at(Name), &Status, 0);
  Processes.erase(Name);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

HttpTarget Cluster::callers(int Entry) const {
  return patient(local(CallerPort + Entry));
}

Expected<HttpJsonAnswer> Cluster::turn(int Entry, const std::string &Program,
                                       int Sequence, const std::string &Text,
                                       int MaxTokens) {
  return HttpJson(callers(Entry))
      .post("/v1/chat/completions", turnBody(Text, MaxTokens, false),
            turnHeaders(Program, Sequence));
}

Expected<std::vector<Json>>
Cluster::streamedTurn(int Entry, const std::string &Program, int Sequence,
                      const std::string &Text, int MaxTokens) {
  auto Events = HttpEvents::open(callers(Entry), "/v1/chat/completions",
                                 turnBody(Text, MaxTokens, true),
                                 turnHeaders(Program, Sequence));
  if (!Events)
    return tl::make_unexpected(Events.error());
  return (*Events)->rest();
}

Expected<HttpJsonAnswer> Cluster::payout(int Entry, const std::string &Key,
                                         int Amount) {
  HttpHeaders Headers = KeyHeader;
  Headers["Idempotency-Key"] = Key;
  Headers["Tamarack-Deadline-Ms"] = "20000";
  return HttpJson(callers(Entry))
      .post("/v1/services/payouts/release", {{"amount", Amount}}, Headers);
}

Expected<HttpJsonAnswer> Cluster::program(int Entry,
                                          const std::string &Program) {
  return HttpJson(callers(Entry)).get("/v1/programs/" + Program, KeyHeader);
}

Expected<HttpJsonAnswer> Cluster::end(int Entry, const std::string &Program) {
  return HttpJson(callers(Entry)).remove("/v1/programs/" + Program, KeyHeader);
}

Expected<HttpJsonAnswer> Cluster::operate(int Entry, const std::string &Method,
                                          const std::string &Path,
                                          const Json &Body) {
  return HttpJson(patient(local(OperatorPort + Entry)))
      .call(Method, Path, Body.is_null() ? "" : Body.dump(),
            {{"Authorization", "Bearer operator-key"}});
}

bool Cluster::cacheHolds(int Engine, const std::string &Key) {
  const auto Answer = HttpJson(local(EnginePort + Engine)).get("/v1/cache");
  if (Answer)
    for (const Json &Entry : Answer->Body["entries"])
      if (Entry["key"] == Key)
        return true;
  return false;
}

int Cluster::executions(const std::string &Key) {
  const auto Answer = HttpJson(local(ServicePort)).get("/v1/executions");
  return Answer ? Answer->Body["executions"].value(Key, 0) : -1;
}

Expected<HttpJsonAnswer> Cluster::unkeyed(int Entry, const std::string &Path) {
  return HttpJson(local(OperatorPort + Entry)).get(Path);
}

std::string Cluster::ownerOf(const std::string &Program) {
  const ShardId Shard = shardOf(ProgramId("obrador~" + Program), ShardCount);
  const auto Stored =
      HttpJson(local(KvPort))
          .get("/v1/kv/tamarack/shards/andes/" + std::to_string(Shard));
  if (!Stored || Stored->Status != 200)
    return {};
  return Json::parse(Stored->Body["value"].get<std::string>())["Owner"];
}

std::vector<std::string> Cluster::owners() {
  std::vector<std::string> Owners;
  const auto Answer =
      HttpJson(local(KvPort)).get("/v1/kv?prefix=tamarack/shards/");
  if (!Answer)
    return Owners;
  for (const Json &Item : Answer->Body["items"])
    Owners.push_back(Json::parse(Item["value"].get<std::string>())["Owner"]);
  return Owners;
}

void Cluster::platformFaults(const Json &Faults) {
  HttpJson(local(KvPort)).post("/v1/faults", Faults);
}

void Cluster::engineFaults(int Engine, const Json &Faults) {
  HttpJson(local(EnginePort + Engine)).post("/v1/faults", Faults);
}

int Cluster::engineRequests(int Engine) {
  const auto Answer = HttpJson(local(EnginePort + Engine)).get("/v1/stats");
  return Answer ? Answer->Body.value("requests", 0) : -1;
}

bool Cluster::eventually(const std::function<bool()> &Condition) {
  for (int Polled = 0; Polled < PollsAtMost; ++Polled) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Poll);
  }
  return false;
}

} // namespace tamarack
