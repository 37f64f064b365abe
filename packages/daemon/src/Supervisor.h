/// Starts the parts of a process in order and stops them in reverse order.
///
///   Supervisor Root("root");
///   Root.add({"peers", [&] { return Peers.start(); }, [&] { Peers.stop(); }});
///   if (Expected<void> Started = Root.start(); !Started)
///     return Started.error();
///
/// A part that fails to start is tried again a bounded number of times; when
/// it still fails, the parts before it are stopped and the error is returned.
#ifndef TAMARACK_DAEMON_SUPERVISOR_H
#define TAMARACK_DAEMON_SUPERVISOR_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {
namespace internal {

struct SupervisedPart {
  std::string Name;
  std::function<Expected<void>()> Start;
  std::function<void()> Stop;
};

struct RestartLimits {
  unsigned Tries = 3;
  Duration Pause = std::chrono::milliseconds(500);
};

class Supervisor {
public:
  explicit Supervisor(std::string Name, RestartLimits Limits = {});
  ~Supervisor();

  void add(SupervisedPart Part);
  Expected<void> start();
  void stop();
  std::vector<std::string> running() const;

private:
  Expected<void> startPart(const SupervisedPart &Part);

  const std::string Name;
  const RestartLimits Limits;
  std::vector<SupervisedPart> Parts;
  std::size_t Running = 0;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_SUPERVISOR_H
