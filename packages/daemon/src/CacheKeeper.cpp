#include "CacheKeeper.h"

#include <spdlog/spdlog.h>

namespace tamarack {
namespace internal {

CacheKeeper::CacheKeeper(EndpointClient &Client, CacheKeeperSettings Settings,
                         const Clock &Time, OwnerQuestion Ask)
    : Client(Client), Settings(Settings), Time(Time), Ask(std::move(Ask)) {
  Ledger.Limits = Settings.Limits;
}

CacheKeeper::~CacheKeeper() { stop(); }

void CacheKeeper::start() {
  Worker = std::thread([this] { run(); });
}

void CacheKeeper::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Wake.notify_all();
  }
  if (Worker.joinable())
    Worker.join();
}

void CacheKeeper::enqueue(const CacheActions &Actions) {
  Pending.insert(Pending.end(), Actions.begin(), Actions.end());
  Wake.notify_all();
}

void CacheKeeper::onCallSent(const ExecuteRequest &Order, TokenCount Tokens) {
  const TimePoint Now = Time.now();
  std::lock_guard<std::mutex> Lock(Mutex);
  enqueue(evictIdleEntries(Ledger, Settings.Retention, Tokens + Order.MaxTokens,
                           Now));
  onCacheUseStarted(Ledger, Order.Id.Program, Order.Owner, Tokens, Now,
                    Order.Class);
}

void CacheKeeper::onCallEnded(const ProgramId &Program, TokenCount Tokens) {
  std::lock_guard<std::mutex> Lock(Mutex);
  enqueue(onCacheUseEnded(Ledger, Program, Tokens, Time.now()));
}

void CacheKeeper::onGone(const ProgramId &Program) {
  std::lock_guard<std::mutex> Lock(Mutex);
  enqueue(onProgramEnded(Ledger, Program, Time.now()));
}

TokenCount CacheKeeper::cached(const ProgramId &Program) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return cachedTokens(Ledger, Program);
}

std::uint64_t CacheKeeper::released() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Released;
}

void CacheKeeper::run() {
  TimePoint LastTick = Time.now();
  // The first listing finds what a predecessor has left in the engine.
  TimePoint LastList = LastTick - Settings.ListEvery;
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Wake.wait_for(Lock, Settings.TickEvery,
                  [this] { return Stopping || !Pending.empty(); });
    if (Stopping)
      return;
    while (!Pending.empty()) {
      const CacheAction Next = Pending.front();
      Pending.pop_front();
      Lock.unlock();
      carryOut(Next);
      Lock.lock();
    }
    const TimePoint Now = Time.now();
    if (Now - LastTick >= Settings.TickEvery) {
      LastTick = Now;
      enqueue(onTick(Ledger, Now));
      enqueue(evictIdleEntries(Ledger, Settings.Retention, 0, Now));
    }
    if (Now - LastList >= Settings.ListEvery) {
      LastList = Now;
      Lock.unlock();
      list();
      Lock.lock();
    }
  }
}

void CacheKeeper::list() {
  CacheListing Listing;
  Listing.Asked = Time.now();
  const auto Held = Client.listCache();
  if (!Held) {
    spdlog::warn("cache: the engine's listing failed: {}",
                 Held.error().Message);
    return;
  }
  Listing.Tokens = *Held;
  std::lock_guard<std::mutex> Lock(Mutex);
  enqueue(reconcile(Ledger, Listing, Time.now()));
}

void CacheKeeper::carryOut(const CacheAction &Action) {
  if (const auto *Asked = std::get_if<QueryOwner>(&Action)) {
    const auto Alive = Ask(Asked->Program, Asked->Owner);
    if (!Alive)
      return;
    std::lock_guard<std::mutex> Lock(Mutex);
    if (*Alive)
      claim(Ledger, Asked->Program, Asked->Owner, Time.now());
    else
      enqueue(onProgramEnded(Ledger, Asked->Program, Time.now()));
    return;
  }
  // Engines without export free the memory all the same.
  const ProgramId Program = std::holds_alternative<ReleaseCache>(Action)
                                ? std::get<ReleaseCache>(Action).Program
                                : std::get<ExportCache>(Action).Program;
  if (const auto Done = Client.releaseCache(Program); !Done) {
    spdlog::warn("cache: {} was not released: {}", Program.text(),
                 Done.error().Message);
    return;
  }
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Released;
}

} // namespace internal
} // namespace tamarack
