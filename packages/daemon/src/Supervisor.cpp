#include "Supervisor.h"

#include <spdlog/spdlog.h>
#include <thread>

namespace tamarack {
namespace internal {

Supervisor::Supervisor(std::string Name, RestartLimits Limits)
    : Name(std::move(Name)), Limits(Limits) {}

Supervisor::~Supervisor() { stop(); }

void Supervisor::add(SupervisedPart Part) { Parts.push_back(std::move(Part)); }

Expected<void> Supervisor::startPart(const SupervisedPart &Part) {
  Expected<void> Started = Part.Start();
  for (unsigned Try = 1; !Started && Try < Limits.Tries; ++Try) {
    spdlog::warn("{}: {} did not start: {}", Name, Part.Name,
                 Started.error().Message);
    std::this_thread::sleep_for(Limits.Pause);
    Started = Part.Start();
  }
  return Started;
}

Expected<void> Supervisor::start() {
  for (const SupervisedPart &Part : Parts) {
    if (auto Started = startPart(Part); !Started) {
      stop();
      return Started;
    }
    ++Running;
    spdlog::info("{}: {} started", Name, Part.Name);
  }
  return {};
}

void Supervisor::stop() {
  while (Running > 0) {
    const SupervisedPart &Part = Parts[--Running];
    Part.Stop();
    spdlog::info("{}: {} stopped", Name, Part.Name);
  }
}

std::vector<std::string> Supervisor::running() const {
  std::vector<std::string> Names;
  for (std::size_t At = 0; At < Running; ++At)
    Names.push_back(Parts[At].Name);
  return Names;
}

} // namespace internal
} // namespace tamarack
