/// A small deployment on loopback addresses: the project's programs as separate
/// processes, and stand-ins for the platform's store, replicas and callers.
#ifndef TAMARACK_REVIEW_SCENE_HPP
#define TAMARACK_REVIEW_SCENE_HPP

#include "StandinStore.h"

#include "tamarack/base/Json.h"
#include "tamarack/net/HttpCall.h"
#include "tamarack/net/HttpServer.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tamarack::review {

/// `contact_ms` of the sites.
inline constexpr Duration ContactTime = std::chrono::seconds(4);
/// Tokens of one event, as the configuration states them.
inline constexpr unsigned TokensPerEvent = 5;
inline constexpr unsigned EventsPerTurn = 4;

/// The value of a field; empty if there is none.
std::string fieldOf(const HttpFields &Fields, std::string_view Name);

/// What was sent, answered and run, one line each with the milliseconds since
/// the start.
class Record {
public:
  explicit Record(const std::string &Path);
  void add(const std::string &Line);
  long long now() const;

private:
  const TimePoint StartedAt = steadyNow();
  std::ofstream Out;
};

/// One `tamarack-node` process, started as the deploy file says.
class Node {
public:
  Node(std::string Name, std::vector<std::string> Command,
       std::filesystem::path Folder, Json Settings);
  /// Kills the process if it is running.
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start(bool FirstStart);
  void signal(int Number);
  void kill();
  bool isUp();
  const std::string &name() const { return Name; }

private:
  const std::string Name;
  std::vector<std::string> Command;
  const std::filesystem::path Folder;
  Json Settings;
  pid_t ProcessId = -1;
};

/// One replica. Registers itself in the store, as each incarnation under a new
/// id, and renews its entry each 1.2 s. A crash ends its connections and closes
/// its port; its entry goes after three intervals without a renewal.
class Replica {
public:
  struct Options {
    std::string Name;
    std::string Service;
    std::string Zone;
    std::string Address;
    bool Streams = false;
    Duration Work = std::chrono::milliseconds(10);
    /// How long it is down after a crash.
    Duration Downtime = std::chrono::seconds(2);
    /// Whether the replica ends when it begins to run the request.
    std::function<bool(const HttpRequest &)> IsDeadly;
    /// Called for each request that it runs.
    std::function<void(const HttpRequest &)> OnRun;
  };

  Replica(Loop &Io, Options Config, soak::StandinStore &Store, Record &Log);
  void start();

private:
  Task<void> serve(HttpExchange &Call);
  Task<void> streamEvents(HttpExchange &Call, std::string Request);
  Task<void> beat(unsigned OwnIncarnation);
  Task<void> crash();
  void publish();

  Loop &Io;
  const Options Config;
  soak::StandinStore &Store;
  Record &Log;
  std::unique_ptr<HttpServer> Server;
  std::vector<std::unique_ptr<HttpServer>> Closed;
  std::string Id;
  long long Born = 0;
  unsigned Incarnation = 0;
  unsigned Sequence = 0;
};

/// What a caller gets.
struct Answer {
  /// Zero if the connection ended without a complete answer.
  int Status = 0;
  std::string Body;
};

struct SceneOptions {
  std::vector<std::string> EntryCommand;
  std::vector<std::string> LedgerCommand;
  std::filesystem::path Folder;
  unsigned Entries = 2;
  unsigned Ledgers = 3;
};

/// The store, the processes and the calls of clients.
class Scene {
public:
  Scene(Loop &Io, SceneOptions Options, Record &Log);

  /// Starts all processes; false if the entries are not ready in time.
  Task<bool> start();
  Task<bool> awaitReady(std::size_t Entry, Duration Limit);
  /// The address of a replica, "IP:PORT".
  std::string replicaAddress(unsigned Number) const;
  /// Sends one client attempt to an entry, on a new connection. Sets the host
  /// of the routes.
  Task<Answer> send(std::size_t Entry, HttpRequest Request, Duration Limit);
  /// \p Tenants may be null, for none.
  void putConfiguration(const Json &Routes, const Json &Services,
                        const Json &Tenants = nullptr);

  std::vector<std::unique_ptr<Node>> Entries;
  std::vector<std::unique_ptr<Node>> Ledgers;
  soak::StandinStore &store() { return *Store; }
  Record &log() { return Log; }
  Loop &loop() { return Io; }
  /// A new `X-Request-Id`.
  std::string nextId();

private:
  std::string address(unsigned Group, unsigned Number, unsigned Port) const;
  Json settings(bool IsEntry, unsigned Number) const;

  Loop &Io;
  const SceneOptions Options;
  Record &Log;
  /// The second byte of all addresses, chosen so that the ports are free.
  unsigned Slot = 0;
  unsigned LastId = 0;
  std::unique_ptr<soak::StandinStore> Store;
};

/// A route as the operator writes it.
Json makeRoute(const std::string &Prefix, const std::string &Type,
               const std::string &Service);

inline constexpr const char *Host = "shop.example";

/// The result of a trial, which is also the exit code.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

using Trial = std::function<Task<Verdict>(Scene &, bool HasTrouble)>;

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_SCENE_HPP
