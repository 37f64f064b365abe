/// One process of the system in either role.
///
///   auto Process = Daemon::create(Settings, Time);
///   if (!Process)
///     return Process.error();
///   (*Process)->start();
///   ...
///   (*Process)->stop();   // graceful: cuts no request
#ifndef TAMARACK_DAEMON_DAEMON_H
#define TAMARACK_DAEMON_DAEMON_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/config/Settings.h"

#include <memory>

namespace tamarack {

class Daemon {
public:
  /// Reads the key files and opens the data folder. Nothing is served yet.
  static Expected<std::unique_ptr<Daemon>> create(const Settings &Own,
                                                  const Clock &Time);
  ~Daemon();

  Expected<void> start();
  /// Announces that this process leaves, lets running requests end within the
  /// settings' limit, and stops.
  void stop();

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> Inner);
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_DAEMON_DAEMON_H
