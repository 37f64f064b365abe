/// Carries out the planned stop of a process that serves callers.
///
///   GracefulStop Stop(Io, Server, RequestRelay, Ledgers, Grace);
///   Stop.begin([&] { Io.stop(); });
#ifndef TAMARACK_RELAY_GRACEFULSTOP_H
#define TAMARACK_RELAY_GRACEFULSTOP_H

#include "tamarack/net/HttpServer.h"
#include "tamarack/quorum/QuorumClient.h"
#include "tamarack/relay/Relay.h"

#include <functional>
#include <memory>

namespace tamarack {

class GracefulStop {
public:
  /// \p Grace is the time from the beginning of the stop until the process is
  /// killed.
  GracefulStop(Loop &Io, HttpServer &CallerServer, Relay &RequestRelay,
               const QuorumClient &Ledgers, Duration Grace);
  ~GracefulStop();
  GracefulStop(const GracefulStop &) = delete;
  GracefulStop &operator=(const GracefulStop &) = delete;

  /// Begins the stop; \p OnEnded is called once when the process may exit.
  /// Further calls change nothing.
  void begin(std::function<void()> OnEnded);
  /// Whether begin() was called.
  bool hasBegun() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_GRACEFULSTOP_H
