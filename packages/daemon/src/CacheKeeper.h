/// Keeps the engine's cache in line with the programs that are alive.
///
/// The decisions are those of gate/CacheLedger.h and gate/Retention.h. A
/// thread of its own carries out their actions: releases at the engine,
/// questions to entries whether a program is still alive, and the periodic
/// listing that finds what nobody knows of, as after a restart.
#ifndef TAMARACK_DAEMON_CACHEKEEPER_H
#define TAMARACK_DAEMON_CACHEKEEPER_H

#include "EndpointClient.h"
#include "tamarack/gate/CacheLedger.h"
#include "tamarack/gate/Retention.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace tamarack {
namespace internal {

struct CacheKeeperSettings {
  RetentionSettings Retention;
  CacheLimits Limits;
  Duration TickEvery = std::chrono::seconds(1);
  Duration ListEvery = std::chrono::seconds(5);
};

/// Whether the program is alive, as its owner says; nothing when nobody can
/// tell. The instance is the last known owner, or empty.
using OwnerQuestion =
    std::function<std::optional<bool>(const ProgramId &, const InstanceId &)>;

class CacheKeeper {
public:
  CacheKeeper(EndpointClient &Client, CacheKeeperSettings Settings,
              const Clock &Time, OwnerQuestion Ask);
  ~CacheKeeper();

  void start();
  void stop();

  /// A call is being sent with \p Tokens of prompt.
  void onCallSent(const ExecuteRequest &Order, TokenCount Tokens);
  /// The call has ended and left \p Tokens in the cache.
  void onCallEnded(const ProgramId &Program, TokenCount Tokens);
  /// The program and its sub-agents are gone.
  void onGone(const ProgramId &Program);

  TokenCount cached(const ProgramId &Program) const;
  std::uint64_t released() const;

private:
  void enqueue(const CacheActions &Actions);
  void run();
  void list();
  void carryOut(const CacheAction &Action);

  EndpointClient &Client;
  const CacheKeeperSettings Settings;
  const Clock &Time;
  const OwnerQuestion Ask;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  CacheLedger Ledger;
  std::deque<CacheAction> Pending;
  std::uint64_t Released = 0;
  bool Stopping = false;
  std::thread Worker;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_CACHEKEEPER_H
