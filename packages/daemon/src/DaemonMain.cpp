/// tamarackd: one process of the system, as its settings say.
#include "tamarack/config/Settings.h"
#include "tamarack/daemon/Daemon.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <spdlog/spdlog.h>

DEFINE_string(config, "", "the process's settings, a JSON file");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int ExitSettings = 2;
constexpr int ExitStart = 1;

/// Blocks the stop signals in all threads and returns the set to wait for.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void setUpLog(const tamarack::Settings &Own) {
  spdlog::set_level(spdlog::level::from_str(Own.LogLevel));
  if (Own.LogFormat == "json")
    spdlog::set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","message":"%v"})");
}

int run(const tamarack::Settings &Own) {
  const sigset_t Signals = blockStopSignals();
  const tamarack::SystemClock Time;
  auto Process = tamarack::Daemon::create(Own, Time);
  if (!Process) {
    spdlog::error("root: {}", Process.error().Message);
    return ExitStart;
  }
  if (const auto Started = (*Process)->start(); !Started) {
    spdlog::error("root: {}", Started.error().Message);
    return ExitStart;
  }
  spdlog::info("root: {} is ready", Own.Instance.text());
  int Signal = 0;
  sigwait(&Signals, &Signal);
  spdlog::info("root: stopping");
  (*Process)->stop();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("tamarackd --config FILE [--check]");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const tamarack::SettingsOutcome Outcome =
      tamarack::loadSettings(FLAGS_config);
  if (const auto *Mistakes = tamarack::mistakesIn(Outcome)) {
    for (const tamarack::SettingsMistake &Mistake : *Mistakes)
      std::cerr << Mistake << '\n';
    return ExitSettings;
  }
  const auto &Own = std::get<tamarack::Settings>(Outcome);
  setUpLog(Own);
  if (FLAGS_check) {
    std::cout << "the settings of " << Own.Instance << " are valid\n";
    return 0;
  }
  return run(Own);
}
