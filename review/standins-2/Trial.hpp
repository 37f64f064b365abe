/// A small deployment on loopback addresses for the scripts of the second
/// review: processes of the project, and stand-ins for the store, the replicas
/// and the callers.
///
///   int main(int Count, char **Arguments) {
///     return runTrial(Count, Arguments, {}, [](Trial &Run) -> Task<int> {
///       const Reply Answer = co_await Run.send(0, Call);
///       co_return Answer.Complete ? Held : Broken;
///     });
///   }
#ifndef TAMARACK_REVIEW_TRIAL_HPP
#define TAMARACK_REVIEW_TRIAL_HPP

#include "StandinStore.h"

#include "tamarack/base/Json.h"
#include "tamarack/net/HttpCall.h"
#include "tamarack/net/HttpServer.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tamarack::review {

/// The exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRunnable = 2;

/// From the site files of the small deployments.
constexpr Duration ContactTime = std::chrono::milliseconds(4000);
constexpr std::uint64_t TokensPerEvent = 5;
constexpr const char *Host = "review.example";

struct TrialOptions {
  unsigned Entries = 3;
  unsigned Ledgers = 3;
  unsigned Engines = 4;
  /// How many of them, the last ones, have software version "v2"; the others
  /// have "v1".
  unsigned NewerEngines = 0;
  unsigned Slots = 16;
  /// How many events answer a turn, and the time between two of them.
  std::uint64_t EventsPerTurn = 10;
  Duration EventGap = std::chrono::milliseconds(100);
  /// Whether the route "/chat/" retains turns and allows resumption.
  bool Retained = true;
  bool Resumable = false;
};

/// The lines of record.txt, each with the milliseconds since the start.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);

private:
  std::ofstream File;
  const TimePoint StartedAt = steadyNow();
};

/// A process of the project.
class Process {
public:
  Process(std::string Program, std::string Role, std::filesystem::path Folder,
          Json Settings);
  ~Process() { kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start(bool FirstStart);
  /// Kills the process and waits for its end.
  void kill();
  bool isUp();

private:
  const std::string Program;
  const std::string Role;
  const std::filesystem::path Folder;
  const Json Settings;
  pid_t Id = -1;
};

/// One model replica. It answers a turn with events and writes its entry in the
/// store anew at each heartbeat, as the pages say.
class Engine {
public:
  struct Options {
    std::string Zone;
    std::string Address;
    unsigned Slots = 16;
    std::uint64_t EventsPerTurn = 10;
    Duration EventGap{0};
  };
  Engine(Loop &Io, Options Config, soak::StandinStore &Store, Record &Log);

  /// Starts a process of the replica under \p Id with this software version.
  void start(const std::string &Id, const std::string &Version);
  /// Ends the process: its port is closed and its connections end. Its entry
  /// stays until it has missed three heartbeats.
  void crash();
  const std::string &id() const { return Id; }
  /// The requests that run now.
  std::size_t running() const { return Running.size(); }
  bool runs(const std::string &Request) const {
    return Running.count(Request) > 0;
  }

  /// Called for each request that begins to run.
  std::function<void(const HttpRequest &, const Engine &)> OnRun;

private:
  Task<void> serve(HttpExchange &Call);
  Task<void> beat(unsigned Start);
  void publish();

  Loop &Io;
  const Options Config;
  soak::StandinStore &Store;
  Record &Log;
  std::unique_ptr<HttpServer> Server;
  /// Servers of earlier processes, whose handlers may still run.
  std::vector<std::unique_ptr<HttpServer>> EndedServers;
  std::set<std::string> Running;
  std::string Id;
  std::string Version;
  std::int64_t Born = 0;
  unsigned Starts = 0;
  unsigned Sequence = 0;
  bool IsUp = false;
};

struct Event {
  std::uint64_t Number = 0;
  std::string Data;
};

struct Reply {
  /// 0 if there was no answer.
  int Status = 0;
  /// Whether the answer arrived to its marked end.
  bool Complete = false;
  std::vector<Event> Events;
  std::string Body;
};

/// What a caller sends; the id, the host and the deadline are added.
struct Call {
  std::string Id;
  std::string Target = "/chat/1";
  std::map<std::string, std::string> Fields;
  std::string Body;
  Duration Deadline = std::chrono::milliseconds(4000);
  /// Asked after each part of the answer; the caller closes its connection if
  /// it returns true. May be null.
  std::function<bool()> Leaves;
};

class Trial {
public:
  Trial(Loop &Io, const TrialOptions &Options, std::string Program,
        std::filesystem::path Folder, Record &Log, bool HasTrouble);

  /// Starts all processes; false if an entry is not ready in time.
  Task<bool> start();
  Task<Reply> send(unsigned Entry, Call Request);
  /// A turn of a program with a budget that is never spent.
  Call turn(const std::string &Program, const std::string &Body) const;
  std::string newId(const std::string &Prefix);
  /// Whether \p Request has begun to run at a replica.
  bool hasRun(const std::string &Request) const {
    return RanAt.count(Request) > 0;
  }
  /// The replicas' ids at which it ran, in order.
  std::vector<std::string> ranAt(const std::string &Request) const;

  Loop &Io;
  const TrialOptions Options;
  Record &Log;
  /// Whether the disruption is played.
  const bool HasTrouble;
  std::vector<std::unique_ptr<Process>> Entries;
  std::vector<std::unique_ptr<Process>> Ledgers;
  std::vector<std::unique_ptr<Engine>> Engines;

private:
  std::string ip(unsigned Group, unsigned Number) const;
  std::string address(unsigned Group, unsigned Number, unsigned Port) const;
  Json settings(const std::string &Role, unsigned Number) const;
  std::string configuration() const;

  const std::string Program;
  const std::filesystem::path Folder;
  /// The second byte of all addresses, which no other run uses.
  unsigned Slot;
  std::unique_ptr<soak::StandinStore> Store;
  std::map<std::string, std::vector<std::string>> RanAt;
  std::uint64_t LastId = 0;
};

/// Runs \p Case with the arguments --program FILE and --record FILE, and
/// returns its exit code. TROUBLE=0 leaves the disruption out.
int runTrial(int Count, char **Arguments, const TrialOptions &Options,
             const std::function<Task<int>(Trial &)> &Case);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_TRIAL_HPP
