#include "World.hpp"

#include "tamarack/net/HttpCall.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tamarack::review {
namespace {

namespace fs = std::filesystem;

/// Loopback addresses have the form 127.SLOT.GROUP.NUMBER.
enum Group : unsigned {
  StoreGroup = 0,
  EntryGroup = 1,
  LedgerGroup = 2,
  EndpointGroup = 3,
};

constexpr unsigned StorePort = 8142;
constexpr unsigned CallerPort = 8149;
constexpr unsigned ReadinessPort = 8141;
constexpr unsigned PeerPort = 8144;
constexpr unsigned LinkPort = 7380;
constexpr unsigned EndpointPort = 9000;
/// A case must end within 120 s.
constexpr unsigned MaxSeconds = 117;
const char *const Program = "target/bin/tamarack-node";
/// Set by runCase().
bool PlaysTrouble = true;

} // namespace

RecordFile::RecordFile(const std::string &Path)
    : Out(std::fopen(Path.c_str(), "w")), StartedAt(steadyNow()) {}

RecordFile::~RecordFile() {
  if (Out != nullptr)
    std::fclose(Out);
}

void RecordFile::line(const std::string &Text) {
  const double Seconds =
      std::chrono::duration<double>(steadyNow() - StartedAt).count();
  std::printf("%8.3f %s\n", Seconds, Text.c_str());
  if (Out == nullptr)
    return;
  std::fprintf(Out, "%8.3f %s\n", Seconds, Text.c_str());
  std::fflush(Out);
}

Node::Node(Options Config, RecordFile &Record)
    : Config(std::move(Config)), Record(Record) {
  fs::create_directories(this->Config.Folder);
}

Node::~Node() { kill(); }

bool Node::start(bool FirstStart) {
  Json Settings = Config.Settings;
  Settings["bootstrap"] = FirstStart;
  const fs::path Path = Config.Folder / "node.json";
  std::ofstream(Path) << Settings.dump(1);
  if (Config.Role == "ledger")
    fs::create_directories(Config.Folder / "data");
  const std::string Log = (Config.Folder / "log").string();
  const std::string Variable = "TAMARACKCOURSE_CONFIG=" + Path.string();
  const pid_t Parent = ::getpid();
  ProcessId = ::fork();
  if (ProcessId < 0)
    return false;
  if (ProcessId == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Parent)
      ::_exit(2);
    const int Descriptor =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Descriptor, 1);
    ::dup2(Descriptor, 2);
    // Otherwise the process would keep the sockets of the stand-ins open.
    ::close_range(3, ~0U, 0);
    std::string Role = Config.Role;
    std::string Name = Program;
    std::string Setting = Variable;
    char *Arguments[] = {Name.data(), Role.data(), nullptr};
    char *Environment[] = {Setting.data(), nullptr};
    ::execve(Program, Arguments, Environment);
    ::_exit(2);
  }
  Record.line("start " + Config.Name + (FirstStart ? " bootstrap" : ""));
  return true;
}

void Node::signal(int Signal) {
  if (!isUp())
    return;
  Record.line("signal " + std::to_string(Signal) + " " + Config.Name);
  ::kill(ProcessId, Signal);
}

void Node::kill() {
  if (!isUp())
    return;
  Record.line("kill " + Config.Name);
  ::kill(ProcessId, SIGKILL);
  ::waitpid(ProcessId, nullptr, 0);
  ProcessId = -1;
}

bool Node::isUp() {
  if (ProcessId < 0)
    return false;
  int Status = 0;
  if (::waitpid(ProcessId, &Status, WNOHANG) != ProcessId)
    return true;
  Record.line("end " + Config.Name + " status=" + std::to_string(Status));
  ProcessId = -1;
  return false;
}

bool World::hasTrouble() { return PlaysTrouble; }

World::World(Loop &Io, RecordFile &Record, WorldOptions Options)
    : Io(Io), Record(Record), Options(std::move(Options)) {
  const std::string Pattern =
      (fs::temp_directory_path() / "tamarack-review-XXXXXX").string();
  std::vector<char> Name(Pattern.begin(), Pattern.end());
  Name.push_back('\0');
  if (::mkdtemp(Name.data()) == nullptr)
    std::exit(2);
  Folder = Name.data();
  // Takes the first group of addresses that no other program listens on.
  const auto First = static_cast<unsigned>(::getpid());
  for (unsigned Try = 0; Try < 200 && Slot == 0; ++Try) {
    const unsigned Candidate = 20 + (First + Try) % 200;
    Slot = Candidate;
    if (!listenOn(Io, address(StoreGroup, 1, StorePort)))
      Slot = 0;
  }
  if (Slot == 0)
    std::exit(2);
  Store = std::make_unique<soak::StandinStore>(
      Io, address(StoreGroup, 1, StorePort), 1);
  putConfiguration(this->Options.Routes, this->Options.Services);
}

World::~World() {
  Entries.clear();
  Ledgers.clear();
  std::error_code Ignored; // Only a temporary folder.
  if (std::getenv("REVIEW_KEEP") == nullptr)
    fs::remove_all(Folder, Ignored);
  else
    std::printf("kept %s\n", Folder.c_str());
}

std::string World::address(unsigned Group, unsigned Number,
                           unsigned Port) const {
  return "127." + std::to_string(Slot) + "." + std::to_string(Group) + "." +
         std::to_string(Number) + ":" + std::to_string(Port);
}

std::string World::endpointAddress(unsigned Number) const {
  return address(EndpointGroup, Number, EndpointPort);
}

void World::putConfiguration(const Json &Routes, const Json &Services) {
  ConfigurationVersion += 3;
  Store->put("op/config", Json{{"version", ConfigurationVersion},
                               {"routes", Routes},
                               {"services", Services},
                               {"limits",
                                {{"max_header_bytes", 16384},
                                 {"max_body_bytes", 4194304},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15000}}}}
                              .dump());
}

Json World::settings(const std::string &Role, const std::string &Name,
                     unsigned Group, unsigned Number,
                     const std::string &Zone) const {
  Json Zones = Json::object();
  for (const auto &[Each, Region] : Options.Zones)
    Zones[Each] = Region;
  const std::string Place = address(Group, Number, 0);
  Json Seeds = Json::array();
  for (unsigned Peer = 1; Peer <= 3; ++Peer)
    Seeds.push_back(address(EntryGroup, Peer, PeerPort));
  const bool IsEntry = Role == "entry";
  return Json{
      {"node_name", Name},
      {"role", Role},
      {"machine_class", IsEntry ? "edge" : "storage"},
      {"serves", Json::array({IsEntry ? "edge" : "storage"})},
      {"ip", Place.substr(0, Place.find(':'))},
      {"zone", Zone},
      {"region", Zones.at(Zone)},
      {"zones", Zones},
      {"listen",
       IsEntry ? Json{{"frontend", address(Group, Number, CallerPort)},
                      {"readiness", address(Group, Number, ReadinessPort)},
                      {"control", address(Group, Number, PeerPort)}}
               : Json::object()},
      {"internal_ports", {LinkPort, LinkPort + 15}},
      {"seeds", Seeds},
      {"fault_counted", !IsEntry},
      {"limits", {{"memory_mb", IsEntry ? 260 : 290}, {"max_fds", 4100}}},
      {"data_dir", IsEntry ? Json() : Json((Folder / Name / "data").string())},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", 1200},
      {"contracts",
       {"base", "drain", "config", "cost", "recover", "agent", "stream",
        "engine", "platform"}},
      {"fault_tolerance",
       {{"machines", Options.ToleratedLosses}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"seed_lag_s", 3},
        {"addr_reuse_s", 2},
        {"contact_ms", 4000},
        {"ack_ms", 5000},
        {"catch_up_s", 4.7},
        {"drain_ms", 2500},
        {"grace_s", 8},
        {"loss_slack_ms", 200},
        {"config_apply_ms", 2500},
        {"rollback_slack_ms", 250},
        {"outer_ms", 6000},
        {"recovery_s", 12},
        {"forward_ms", 300},
        {"retry_after_s", 0},
        {"deadline_s", 10},
        {"settle_ms", 1000}}},
      {"platform",
       {{"address", address(StoreGroup, 1, StorePort)},
        {"form", "kv"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"history_s", 20},
        {"value_bytes", 1048576},
        {"ttl_min_ms", 1000}}}};
}

Node &World::addEntry(const std::string &Zone) {
  const auto Number = static_cast<unsigned>(Entries.size() + 1);
  const std::string Name = "edge-" + Zone + "-" + std::to_string(Number);
  Entries.push_back(std::make_unique<Node>(
      Node::Options{"entry", Name, Folder / Name,
                    settings("entry", Name, EntryGroup, Number, Zone)},
      Record));
  return *Entries.back();
}

Node &World::addLedger(const std::string &Zone) {
  const auto Number = static_cast<unsigned>(Ledgers.size() + 1);
  const std::string Name = "storage-" + Zone + "-" + std::to_string(Number);
  Ledgers.push_back(std::make_unique<Node>(
      Node::Options{"ledger", Name, Folder / Name,
                    settings("ledger", Name, LedgerGroup, Number, Zone)},
      Record));
  return *Ledgers.back();
}

std::string World::callerAddress(const Node &Entry) const {
  for (unsigned Index = 0; Index < Entries.size(); ++Index)
    if (Entries[Index].get() == &Entry)
      return address(EntryGroup, Index + 1, CallerPort);
  return {};
}

Task<bool> World::awaitReady(Duration Timeout) {
  const TimePoint Deadline = steadyNow() + Timeout;
  ConnectionPool Pool(Io, {});
  for (unsigned Number = 1; Number <= Entries.size(); ++Number) {
    int Status = 0;
    while (Status != 200 && steadyNow() < Deadline) {
      co_await pause(Io, std::chrono::milliseconds(50));
      HttpRequest Request{"GET", "/v1/readyz", {}, {}};
      std::string Place = address(EntryGroup, Number, ReadinessPort);
      const Expected<HttpResponse> Response = co_await fetch(
          Pool, Place, std::move(Request), std::chrono::seconds(1));
      Status = Response ? Response->Head.Status : 0;
    }
    if (Status != 200)
      co_return false;
  }
  Record.line("all entries are ready");
  co_return true;
}

Json makeRoute(const std::string &Path, const std::string &Type,
               const std::string &Service, unsigned TimeoutMs) {
  return Json{{"name", "r" + Path},      {"host", "review.example"},
              {"path_prefix", Path},     {"type", Type},
              {"timeout_ms", TimeoutMs}, {"target_latency_ms", 300},
              {"priority", 0},           {"service", Service},
              {"max_attempts", 1},       {"retained", false},
              {"retention_s", 60.0},     {"sticky", Type == "streaming"},
              {"resumable", false},      {"target_gap_ms", 300}};
}

int runCase(int ArgumentCount, char **Arguments, WorldOptions Options,
            std::function<Task<int>(World &)> Play) {
  const std::string Mode = ArgumentCount < 3 ? "" : Arguments[2];
  if ((Mode != "trouble" && Mode != "calm") || !fs::exists(Program)) {
    std::fprintf(stderr,
                 "needs the path of the record, \"trouble\" or \"calm\", and "
                 "%s\n",
                 Program);
    return 2;
  }
  PlaysTrouble = Mode == "trouble";
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  RecordFile Record(Arguments[1]);
  Record.line("mode " + Mode);
  int Result = 2;
  {
    Loop Io(1);
    World Deployment(Io, Record, std::move(Options));
    asio::steady_timer Watchdog(Io, std::chrono::seconds(MaxSeconds));
    Watchdog.async_wait([&](const ErrorCode &Cancelled) {
      if (Cancelled)
        return;
      Record.line("the case took too long");
      Io.stop();
    });
    spawn(Io,
          [](Loop &Io, World &Deployment,
             std::function<Task<int>(World &)> &Play,
             int &Result) -> Task<void> {
            Result = co_await Play(Deployment);
            Io.stop();
          }(Io, Deployment, Play, Result));
    Io.run();
  }
  Record.line(Result == 1   ? "RESULT the rule was broken"
              : Result == 0 ? "RESULT the rule held"
                            : "RESULT the case could not run");
  std::fflush(stdout);
  std::_Exit(Result);
}

} // namespace tamarack::review
