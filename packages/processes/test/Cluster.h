/// A small deployment of real processes on loopback, for tests of failures.
///
///   Cluster Deployment;
///   auto Answer = Deployment.turn(1, "brief-1", 1, "hello");
///   Deployment.kill("entry-1");
///
/// Three entries with data folders in two data centres, two engines, one plain
/// service, and an endpoint process beside each. The destructor ends every
/// process that was started, by its id.
#ifndef TAMARACK_PROCESSES_CLUSTER_H
#define TAMARACK_PROCESSES_CLUSTER_H

#include "tamarack/standins/HttpJson.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tamarack {

struct ClusterOptions {
  /// How long the plain service takes for each run.
  std::chrono::milliseconds ServiceDelay{0};
  /// The engines' time for one token.
  double TokenMs = 2;
};

class Cluster {
public:
  explicit Cluster(ClusterOptions Options = {});
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  static constexpr int Entries = 3;

  void signal(const std::string &Name, int Signal);
  /// Ends a process at once, as a crash would, and waits until it is gone.
  void kill(const std::string &Name);
  /// Asks a process to stop and waits; returns its exit status.
  int stop(const std::string &Name);
  void startDaemon(const std::string &Name);

  Expected<HttpJsonAnswer> turn(int Entry, const std::string &Program,
                                int Sequence, const std::string &Text,
                                int MaxTokens = 8);
  /// Reads a streamed turn to its end.
  Expected<std::vector<Json>>
  streamedTurn(int Entry, const std::string &Program, int Sequence,
               const std::string &Text, int MaxTokens);
  Expected<HttpJsonAnswer> payout(int Entry, const std::string &Key,
                                  int Amount = 100);
  Expected<HttpJsonAnswer> program(int Entry, const std::string &Program);

  Expected<HttpJsonAnswer> end(int Entry, const std::string &Program);
  /// Calls the operators' port with the operators' key.
  Expected<HttpJsonAnswer> operate(int Entry, const std::string &Method,
                                   const std::string &Path, const Json &Body);
  /// Whether the engine's cache has an entry under \p Key.
  bool cacheHolds(int Engine, const std::string &Key);

  /// How often the service ran the action of \p Key.
  int executions(const std::string &Key);
  /// Asks the operators' port without a key.
  Expected<HttpJsonAnswer> unkeyed(int Entry, const std::string &Path);
  /// The instance that the record of the program's shard names.
  std::string ownerOf(const std::string &Program);
  /// The instances that own the shards that have an owner, in the order of
  /// the shards' keys.
  std::vector<std::string> owners();
  void platformFaults(const Json &Faults);
  void engineFaults(int Engine, const Json &Faults);
  /// How many requests each engine process has got.
  int engineRequests(int Engine);

  /// Waits until \p Condition holds; false when it does not within 15 s.
  static bool eventually(const std::function<bool()> &Condition);

private:
  void launch(const std::string &Name, const std::string &Program,
              const std::vector<std::string> &Arguments);
  void writeSettings(const std::string &Name, const std::string &Role,
                     const std::string &DataCentre, int PeerPort,
                     const Json &More);
  HttpTarget callers(int Entry) const;

  std::filesystem::path Folder;
  std::map<std::string, pid_t> Processes;
};

} // namespace tamarack

#endif // TAMARACK_PROCESSES_CLUSTER_H
