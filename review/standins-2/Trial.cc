#include "Trial.hpp"

#include "tamarack/relay/EventStream.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tamarack::review {
namespace {

namespace fs = std::filesystem;

enum Group : unsigned {
  StoreGroup = 0,
  EntryGroup = 1,
  LedgerGroup = 2,
  EngineGroup = 3,
};
constexpr unsigned StorePort = 8142;
constexpr unsigned CallerPort = 8149;
constexpr unsigned ReadinessPort = 8141;
constexpr unsigned ControlPort = 8144;
constexpr unsigned LinkPort = 7380;
constexpr unsigned EnginePort = 9000;
constexpr Duration StartTimeout = std::chrono::seconds(20);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1200);
constexpr int LostHeartbeats = 3;
/// The longest that a case may take.
constexpr Duration CaseTimeout = std::chrono::seconds(110);
const char *const Zones[] = {"andes-a", "andes-b", "costa-a"};

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string fieldValue(const HttpRequest &Request, const char *Name) {
  const std::string *Value = Request.Fields.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

HttpHead signedHead(int Status, const std::string &Request) {
  HttpHead Result{Status, {}};
  Result.Fields.add("X-Request-Id", Request);
  Result.Fields.add("X-Server-Signature", "signed-" + Request);
  return Result;
}

/// Whether the store's address of \p Slot is free.
bool isFree(unsigned Slot) {
  Loop Probe(1);
  const std::string Ip = "127." + std::to_string(Slot) + ".0.1:";
  return listenOn(Probe, Ip + std::to_string(StorePort)).has_value();
}

} // namespace

void Record::line(const std::string &Text) {
  const auto Millis = (steadyNow() - StartedAt) / std::chrono::milliseconds(1);
  File << Millis << " ms " << Text << std::endl;
}

Process::Process(std::string Program, std::string Role, fs::path Folder,
                 Json Settings)
    : Program(std::move(Program)), Role(std::move(Role)),
      Folder(std::move(Folder)), Settings(std::move(Settings)) {
  fs::create_directories(this->Folder / "data");
}

void Process::start(bool FirstStart) {
  Json Written = Settings;
  Written["bootstrap"] = FirstStart;
  const std::string Path = (Folder / "node.json").string();
  std::ofstream(Path) << Written.dump(1);
  const std::string Log = (Folder / "log").string();
  Id = ::fork();
  if (Id != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, 1);
  ::dup2(Output, 2);
  ::close_range(3, ~0U, 0);
  ::setenv("TAMARACKCOURSE_CONFIG", Path.c_str(), 1);
  ::execl(Program.c_str(), Program.c_str(), Role.c_str(), nullptr);
  ::_exit(127);
}

void Process::kill() {
  if (!isUp())
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
  Id = -1;
}

bool Process::isUp() {
  if (Id > 0 && ::waitpid(Id, nullptr, WNOHANG) == Id)
    Id = -1;
  return Id > 0;
}

Engine::Engine(Loop &Io, Options Config, soak::StandinStore &Store, Record &Log)
    : Io(Io), Config(std::move(Config)), Store(Store), Log(Log) {}

void Engine::publish() {
  Store.put("servers/" + Id, Json{{"service", "asistente"},
                                  {"address", Config.Address},
                                  {"zone", Config.Zone},
                                  {"version", Version},
                                  {"slots", Config.Slots},
                                  {"state", "ready"},
                                  {"cold_remaining_ms", 0},
                                  {"sequence", ++Sequence},
                                  {"born", Born}}
                                 .dump());
}

void Engine::start(const std::string &NextId, const std::string &NextVersion) {
  if (!Id.empty() && Id != NextId)
    Store.remove("servers/" + Id);
  Id = NextId;
  Version = NextVersion;
  Born = unixMillis();
  Sequence = 0;
  IsUp = true;
  Server = std::make_unique<HttpServer>(
      Io, HttpServerLimits{},
      [this](HttpExchange &Call) { return serve(Call); });
  if (const auto Listening = Server->listen(Config.Address); !Listening) {
    std::fprintf(stderr, "%s\n", Listening.error().Message.c_str());
    std::exit(NotRunnable);
  }
  Log.line("replica " + Id + " starts with version " + Version);
  spawn(Io, beat(++Starts));
}

void Engine::crash() {
  Log.line("replica " + Id + " ends while it runs " +
           std::to_string(Running.size()) + " requests");
  IsUp = false;
  Running.clear();
  Server->close();
  EndedServers.push_back(std::move(Server));
}

Task<void> Engine::beat(unsigned Start) {
  const std::string Own = Id;
  while (IsUp && Starts == Start) {
    publish();
    co_await pause(Io, HeartbeatInterval);
  }
  for (int Missed = 1; Missed < LostHeartbeats && Starts == Start; ++Missed)
    co_await pause(Io, HeartbeatInterval);
  if (Starts == Start)
    Store.remove("servers/" + Own);
}

Task<void> Engine::serve(HttpExchange &Call) {
  const unsigned Start = Starts;
  const std::string Request = fieldValue(Call.request(), "X-Request-Id");
  const std::string Expected = fieldValue(Call.request(), "X-Expect-Instance");
  const bool IsOther = !Expected.empty() && Expected != Id;
  if (IsOther || Running.size() >= Config.Slots) {
    HttpResponse Refusal{signedHead(IsOther ? 421 : 503, Request), {}};
    Refusal.Head.Fields.add("X-Not-Executed", "1");
    co_await Call.answer(std::move(Refusal));
    co_return;
  }
  Running.insert(Request);
  Log.line("replica " + Id + " (" + Version + ") runs " + Request +
           " after event '" + fieldValue(Call.request(), "Last-Event-Id") +
           "'");
  if (OnRun)
    OnRun(Call.request(), *this);
  HttpHead Head = signedHead(200, Request);
  Head.Fields.add("Content-Type", "text/event-stream");
  const std::string Last = fieldValue(Call.request(), "Last-Event-Id");
  const std::string Own = Version;
  Call.begin(std::move(Head));
  const std::uint64_t First = Last.empty() ? 1 : std::stoull(Last) + 1;
  // Callers tell how many tokens they expect; the turn has as many.
  const std::string Hint = fieldValue(Call.request(), "X-Length-Hint");
  const std::uint64_t Events =
      Hint.empty() ? Config.EventsPerTurn : std::stoull(Hint) / TokensPerEvent;
  for (std::uint64_t Number = First; Number <= Events; ++Number) {
    co_await pause(Io, Config.EventGap);
    if (Starts != Start || !IsUp)
      co_return;
    if (Call.isCallerDisconnected())
      break;
    const std::string Text = std::to_string(Number);
    co_await Call.sendChunk("id: " + Text + "\ndata: " + Own + "/" + Text +
                            "\n\n");
  }
  if (Starts != Start || !IsUp)
    co_return;
  co_await Call.end();
  Running.erase(Request);
}

Trial::Trial(Loop &Io, const TrialOptions &Options, std::string Program,
             fs::path Folder, Record &Log, bool HasTrouble)
    : Io(Io), Options(Options), Log(Log), HasTrouble(HasTrouble),
      Program(std::move(Program)), Folder(std::move(Folder)),
      Slot(60 + static_cast<unsigned>(::getpid()) % 150) {
  while (!isFree(Slot))
    Slot = 60 + (Slot - 59) % 190;
  Store = std::make_unique<soak::StandinStore>(
      Io, address(StoreGroup, 1, StorePort), 1);
  Store->put("op/config", configuration());
  for (unsigned Number = 1; Number <= Options.Ledgers; ++Number)
    Ledgers.push_back(std::make_unique<Process>(
        this->Program, "ledger",
        this->Folder / ("ledger-" + std::to_string(Number)),
        settings("ledger", Number)));
  for (unsigned Number = 1; Number <= Options.Entries; ++Number)
    Entries.push_back(std::make_unique<Process>(
        this->Program, "entry",
        this->Folder / ("entry-" + std::to_string(Number)),
        settings("entry", Number)));
  for (unsigned Number = 1; Number <= Options.Engines; ++Number) {
    Engine::Options Config{
        Zones[Number % 3], address(EngineGroup, Number, EnginePort),
        Options.Slots, Options.EventsPerTurn, Options.EventGap};
    Engines.push_back(
        std::make_unique<Engine>(Io, std::move(Config), *Store, Log));
    Engines.back()->OnRun = [this](const HttpRequest &Request,
                                   const Engine &At) {
      RanAt[fieldValue(Request, "X-Request-Id")].push_back(At.id());
    };
    const bool IsNewer = Number > Options.Engines - Options.NewerEngines;
    Engines.back()->start("i-" + std::to_string(Number), IsNewer ? "v2" : "v1");
  }
}

std::string Trial::ip(unsigned Group, unsigned Number) const {
  return "127." + std::to_string(Slot) + "." + std::to_string(Group) + "." +
         std::to_string(Number);
}

std::string Trial::address(unsigned Group, unsigned Number,
                           unsigned Port) const {
  return ip(Group, Number) + ":" + std::to_string(Port);
}

/// As those of the small sites: zones in two regions, their bounds and limits.
Json Trial::settings(const std::string &Role, unsigned Number) const {
  const bool IsEntry = Role == "entry";
  const unsigned Group = IsEntry ? EntryGroup : LedgerGroup;
  const std::string Zone = Zones[(Number - 1) % 3];
  Json Result{
      {"node_name", Role + "-" + Zone + "-" + std::to_string(Number)},
      {"role", Role},
      {"machine_class", IsEntry ? "edge" : "storage"},
      {"ip", ip(Group, Number)},
      {"zone", Zone},
      {"region", Zone.substr(0, Zone.find('-'))},
      {"zones",
       {{"andes-a", "andes"}, {"andes-b", "andes"}, {"costa-a", "costa"}}},
      {"internal_ports", {LinkPort, LinkPort + 15}},
      {"seeds", Json::array()},
      {"fault_counted", !IsEntry},
      {"limits", {{"memory_mb", IsEntry ? 110 : 130}, {"max_fds", 4100}}},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", 1200},
      {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"contact_ms", 4000},
        {"drain_ms", 2500},
        {"grace_s", 8},
        {"config_apply_ms", 2500},
        {"recovery_s", 12},
        {"forward_ms", 300}}},
      {"platform", {{"address", address(StoreGroup, 1, StorePort)}}}};
  if (!IsEntry) {
    Result["data_dir"] =
        (Folder / ("ledger-" + std::to_string(Number)) / "data").string();
    return Result;
  }
  Result["listen"] = {{"frontend", address(Group, Number, CallerPort)},
                      {"readiness", address(Group, Number, ReadinessPort)},
                      {"control", address(Group, Number, ControlPort)}};
  for (unsigned Peer = 1; Peer <= Options.Entries; ++Peer)
    Result["seeds"].push_back(address(EntryGroup, Peer, ControlPort));
  return Result;
}

std::string Trial::configuration() const {
  const Json Chat{{"name", "chat"},
                  {"host", Host},
                  {"path_prefix", "/chat/"},
                  {"type", "streaming"},
                  {"service", "asistente"},
                  {"timeout_ms", 4000},
                  {"target_latency_ms", 300},
                  {"target_gap_ms", 300},
                  {"priority", 0},
                  {"max_attempts", 1},
                  {"retained", Options.Retained},
                  {"retention_s", 60.0},
                  {"resumable", Options.Resumable},
                  {"sticky", true}};
  return Json{
      {"version", 1},
      {"routes", {Chat}},
      {"services",
       {{{"name", "asistente"},
         {"max_connections", 160},
         {"engine",
          {{"chunk_tokens", TokensPerEvent}, {"kv_capacity", 483364}}}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 5000},
        {"idle_timeout_ms", 15000}}}}
      .dump();
}

Task<bool> Trial::start() {
  for (const auto &Each : Ledgers)
    Each->start(true);
  for (const auto &Each : Entries)
    Each->start(true);
  const TimePoint Deadline = steadyNow() + StartTimeout;
  for (unsigned Number = 1; Number <= Options.Entries; ++Number) {
    int Status = 0;
    while (Status != 200) {
      if (steadyNow() >= Deadline)
        co_return false;
      co_await pause(Io, std::chrono::milliseconds(100));
      ConnectionPool Pool(Io, {});
      HttpRequest Request{"GET", "/v1/readyz", {}, {}};
      const Expected<HttpResponse> Answer =
          co_await fetch(Pool, address(EntryGroup, Number, ReadinessPort),
                         std::move(Request), std::chrono::seconds(1));
      Status = Answer ? Answer->Head.Status : 0;
    }
  }
  // All members of the quorum have joined by then.
  co_await pause(Io, std::chrono::seconds(3));
  Log.line("all entries are ready");
  co_return true;
}

std::string Trial::newId(const std::string &Prefix) {
  return Prefix + "-" + std::to_string(++LastId);
}

std::vector<std::string> Trial::ranAt(const std::string &Request) const {
  const auto Found = RanAt.find(Request);
  return Found == RanAt.end() ? std::vector<std::string>() : Found->second;
}

Call Trial::turn(const std::string &Program, const std::string &Body) const {
  Call Result;
  Result.Body = Body;
  Result.Fields = {{"X-Program-Id", Program},
                   {"X-Session-Id", Program},
                   {"X-Program-Deadline-Ms", "40000"},
                   {"X-Token-Budget", "100000"},
                   {"X-Token-Usage", "1680,60"},
                   {"X-Model", "m"},
                   {"X-Prefix-Hash", "5c1e07a2:12600," + Program + ":1680"}};
  return Result;
}

Task<Reply> Trial::send(unsigned Entry, Call Request) {
  // A new connection for each request, as for the retries of clients.
  ConnectionPool Pool(Io, {});
  Reply Result;
  HttpFields Fields;
  const auto Millis = Request.Deadline / std::chrono::milliseconds(1);
  Fields.add("Host", Host);
  Fields.add("X-Request-Id", Request.Id);
  Fields.add("X-Deadline-Ms", std::to_string(Millis));
  for (const auto &[Name, Value] : Request.Fields)
    Fields.add(Name, Value);
  Fields.add("Content-Length", std::to_string(Request.Body.size()));
  const HttpRequest Head{"POST", Request.Target, std::move(Fields),
                         Request.Body};
  Log.line("caller sends " + Request.Id + " to entry " +
           std::to_string(Entry + 1) + ", body '" + Request.Body + "'");
  const auto Opened =
      co_await HttpCall::open(Pool, address(EntryGroup, Entry + 1, CallerPort));
  if (!Opened) {
    Log.line("caller of " + Request.Id + " cannot connect");
    co_return Result;
  }
  const std::shared_ptr<HttpCall> Open = *Opened;
  asio::steady_timer Timer(Io, Request.Deadline);
  Timer.async_wait([Open](const ErrorCode &Cancelled) {
    if (!Cancelled)
      Open->abort();
  });
  Open->send(encodeRequest(Head));
  const Expected<HttpHead> Answer = co_await Open->readHead();
  EventSplitter Splitter;
  if (Answer)
    Result.Status = Answer->Status;
  while (Answer && !Result.Complete) {
    const Expected<std::optional<std::string>> Piece =
        co_await Open->readPiece();
    if (!Piece)
      break;
    Result.Complete = !*Piece;
    if (Result.Complete)
      break;
    Result.Body += **Piece;
    Splitter.feed(**Piece);
    while (const std::optional<StreamEvent> Each = Splitter.next())
      if (Each->HasData)
        Result.Events.push_back(
            {std::strtoull(Each->Id.c_str(), nullptr, 10), Each->Data});
    if (Request.Leaves && Request.Leaves())
      break;
  }
  Timer.cancel();
  Open->abort();
  const std::string Text =
      Result.Status == 200 ? "" : ", '" + Result.Body.substr(0, 120) + "'";
  Log.line("caller of " + Request.Id + " got status " +
           std::to_string(Result.Status) + ", " +
           std::to_string(Result.Events.size()) + " events, " +
           (Result.Complete ? "complete" : "cut") + Text);
  co_return Result;
}

int runTrial(int Count, char **Arguments, const TrialOptions &Options,
             const std::function<Task<int>(Trial &)> &Case) {
  std::map<std::string, std::string> Named;
  for (int Index = 1; Index + 1 < Count; Index += 2)
    Named[Arguments[Index]] = Arguments[Index + 1];
  const char *const Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  std::string Pattern = (fs::temp_directory_path() / "review-XXXXXX").string();
  if (Named.count("--program") == 0 || Named.count("--record") == 0 ||
      ::mkdtemp(Pattern.data()) == nullptr) {
    std::fprintf(stderr, "needed: --program FILE --record FILE\n");
    return NotRunnable;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int Result = NotRunnable;
  {
    Loop Io(1);
    Record Log(Named["--record"]);
    Trial Run(Io, Options, Named["--program"], Pattern, Log, HasTrouble);
    asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&](const ErrorCode &, int) { Io.stop(); });
    asio::steady_timer Timer(Io, CaseTimeout);
    Timer.async_wait([&](const ErrorCode &) {
      Log.line("the case takes too long");
      Io.stop();
    });
    spawn(Io,
          [](Trial &Run, const std::function<Task<int>(Trial &)> &Case,
             int &Result) -> Task<void> {
            const bool IsReady = co_await Run.start();
            if (IsReady)
              Result = co_await Case(Run);
            else
              Run.Log.line("the entries are not ready in time");
            Run.Io.stop();
          }(Run, Case, Result));
    Io.run();
    Log.line("exit code " + std::to_string(Result));
    Run.Entries.clear();
    Run.Ledgers.clear();
    std::error_code Ignored; // What is left is in the temporary folder.
    if (std::getenv("REVIEW_KEEP") == nullptr)
      fs::remove_all(Pattern, Ignored);
    else
      std::fprintf(stderr, "logs: %s\n", Pattern.c_str());
    // The coroutines that are left would use what is destroyed.
    std::fflush(stdout);
    ::_exit(Result);
  }
}

} // namespace tamarack::review
