/// A small deployment on loopback addresses: the project's own processes,
/// started with the commands of the deploy file, before stand-ins for the
/// platform's store and for endpoints.
#ifndef TAMARACK_REVIEW_WORLD_HPP
#define TAMARACK_REVIEW_WORLD_HPP

#include "StandinStore.h"

#include "tamarack/base/Json.h"
#include "tamarack/net/Loop.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tamarack::review {

/// What was sent, answered and run, one line each with the time in seconds.
class RecordFile {
public:
  explicit RecordFile(const std::string &Path);
  ~RecordFile();
  RecordFile(const RecordFile &) = delete;
  RecordFile &operator=(const RecordFile &) = delete;
  void line(const std::string &Text);

private:
  std::FILE *Out;
  const TimePoint StartedAt;
};

/// One process of the system.
class Node {
public:
  struct Options {
    /// "entry" or "ledger".
    std::string Role;
    std::string Name;
    std::filesystem::path Folder;
    Json Settings;
  };
  Node(Options Config, RecordFile &Record);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Writes the settings file and starts the process. \p FirstStart tells it
  /// that the whole system starts for the first time.
  bool start(bool FirstStart);
  void signal(int Signal);
  /// Kills the process and waits until it has ended.
  void kill();
  bool isUp();
  const std::string &name() const { return Config.Name; }

private:
  const Options Config;
  RecordFile &Record;
  pid_t ProcessId = -1;
};

struct WorldOptions {
  /// The zones and their regions.
  std::vector<std::pair<std::string, std::string>> Zones;
  /// The routes and services of the configuration.
  Json Routes;
  Json Services;
  /// fault_tolerance.machines.
  unsigned ToleratedLosses = 1;
};

class World {
public:
  World(Loop &Io, RecordFile &Record, WorldOptions Options);
  ~World();

  Node &addEntry(const std::string &Zone);
  Node &addLedger(const std::string &Zone);
  /// The address for callers of an entry.
  std::string callerAddress(const Node &Entry) const;
  /// The address for an endpoint.
  std::string endpointAddress(unsigned Number) const;
  /// Waits until all entries are ready.
  Task<bool> awaitReady(Duration Timeout);
  void putConfiguration(const Json &Routes, const Json &Services);

  soak::StandinStore &store() { return *Store; }
  RecordFile &record() { return Record; }
  Loop &loop() { return Io; }
  /// Whether the case is to be played with its disruption.
  static bool hasTrouble();

private:
  std::string address(unsigned Group, unsigned Number, unsigned Port) const;
  Json settings(const std::string &Role, const std::string &Name,
                unsigned Group, unsigned Number, const std::string &Zone) const;

  Loop &Io;
  RecordFile &Record;
  const WorldOptions Options;
  std::filesystem::path Folder;
  unsigned Slot = 0;
  unsigned ConfigurationVersion = 0;
  std::unique_ptr<soak::StandinStore> Store;
  std::vector<std::unique_ptr<Node>> Entries;
  std::vector<std::unique_ptr<Node>> Ledgers;
};

/// A route as the operator writes it.
Json makeRoute(const std::string &Path, const std::string &Type,
               const std::string &Service, unsigned TimeoutMs);
/// Plays a case and returns its exit code: 1 if the rule was broken, 0 if it
/// held, 2 if the case could not run.
int runCase(int ArgumentCount, char **Arguments, WorldOptions Options,
            std::function<Task<int>(World &)> Play);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_WORLD_HPP
