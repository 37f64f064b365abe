/// tamarack-standin: one stand-in of the platform as a process of its own.
///
///   tamarack-standin --kind=engine --port=9000 --models=asistente
///
/// SIGTERM or SIGINT stops it.
#include "tamarack/standins/EngineServer.h"
#include "tamarack/standins/KeyValueServer.h"
#include "tamarack/standins/ServiceServer.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(kind, "engine", "kv, engine or service");
DEFINE_uint32(port, 0, "port on 127.0.0.1; 0 takes any free one");
DEFINE_int64(instances_lag_ms, 0, "kv: how late the instance list is");
DEFINE_int64(delay_ms, 0, "service: how long each run takes");
DEFINE_string(models, "", "engine: served models by comma; empty serves any");
DEFINE_double(token_ms, 5, "engine: time of one decoding step");
DEFINE_double(prefill_tokens_per_ms, 50, "engine: prefill rate");
DEFINE_uint64(max_batch, 32, "engine: requests decoded together");
DEFINE_uint64(max_memory_tokens, 1'000'000,
              "engine: tokens of running requests and cache together");
DEFINE_uint64(cache_tokens, 200'000, "engine: tokens in the prefix cache");
DEFINE_int64(load_lag_ms, 0, "engine: how late load reports are");
DEFINE_int64(event_lag_ms, 0, "engine: how late cache events are");
DEFINE_uint64(event_loss_every, 0, "engine: drops every such cache event");
DEFINE_bool(check_fence, false, "engine: refuses orders with an older fence");

namespace {

using namespace tamarack;

constexpr double MicrosecondsPerMs = 1000;

std::set<std::string> splitByComma(const std::string &Text) {
  std::set<std::string> Parts;
  std::istringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ','))
    Parts.insert(Part);
  return Parts;
}

EngineServer::Options engineOptions() {
  EngineServer::Options Settings;
  Settings.Port = static_cast<std::uint16_t>(FLAGS_port);
  Settings.Models = splitByComma(FLAGS_models);
  Settings.MaxBatch = FLAGS_max_batch;
  Settings.MaxMemoryTokens = FLAGS_max_memory_tokens;
  Settings.CacheTokens = FLAGS_cache_tokens;
  Settings.TokenTime =
      Duration(static_cast<Duration::rep>(FLAGS_token_ms * MicrosecondsPerMs));
  Settings.PrefillTokensPerMs = FLAGS_prefill_tokens_per_ms;
  Settings.LoadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  Settings.EventLag = std::chrono::milliseconds(FLAGS_event_lag_ms);
  Settings.EventLossEvery = FLAGS_event_loss_every;
  Settings.CheckFence = FLAGS_check_fence;
  return Settings;
}

KeyValueServer::Options keyValueOptions() {
  KeyValueServer::Options Settings;
  Settings.Port = static_cast<std::uint16_t>(FLAGS_port);
  Settings.InstancesLag = std::chrono::milliseconds(FLAGS_instances_lag_ms);
  return Settings;
}

ServiceServer::Options serviceOptions() {
  ServiceServer::Options Settings;
  Settings.Port = static_cast<std::uint16_t>(FLAGS_port);
  Settings.Delay = std::chrono::milliseconds(FLAGS_delay_ms);
  return Settings;
}

/// Serves until a signal comes; the exit status of the program.
template <typename Server>
int serve(typename Server::Options Settings, const sigset_t &StopSignals) {
  auto Running = Server::create(Settings);
  if (!Running) {
    std::cerr << "standin: " << Running.error().Message << "\n";
    return 1;
  }
  std::cout << "standin: " << FLAGS_kind << " listens on port "
            << (*Running)->port() << std::endl;
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  // Blocked before any thread starts, so that only sigwait sees them.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_kind == "kv")
    return serve<KeyValueServer>(keyValueOptions(), StopSignals);
  if (FLAGS_kind == "engine")
    return serve<EngineServer>(engineOptions(), StopSignals);
  if (FLAGS_kind == "service")
    return serve<ServiceServer>(serviceOptions(), StopSignals);
  std::cerr << "standin: unknown kind " << FLAGS_kind << "\n";
  return 2;
}
