/// Tracks the entries of the engine's cache by program, and the instance that
/// owns each program.
///
/// The process beside the endpoint sees every request, so its ledger is the
/// primary source. The engine's events, which can be late or lost, only correct
/// it, and a periodic listing of the cache reconciles the two:
///
///   // A call is sent, its answer is complete, and a hint is received:
///   onCacheUseStarted(Ledger, Program, Owner, PromptTokens, Now);
///   onCacheUseEnded(Ledger, Program, CachedTokens, Now);
///   onToolPauseStarted(Ledger, Program, ExpectedPause, Now);
///   // The engine lists its cache:
///   CacheActions Actions = reconcile(Ledger, Listing, Now);
///
/// Every idle entry has a lease. When it expires, the owner is queried, and an
/// entry that is not claimed before ClaimTimeout is released. The memory of a
/// lost program is therefore freed even if no message reported its end.
#ifndef TAMARACK_GATE_CACHELEDGER_H
#define TAMARACK_GATE_CACHELEDGER_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"
#include "tamarack/gate/CallClass.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace tamarack {

enum class CacheState {
  /// A call of the program is running.
  InUse,
  /// No call is running and the lease has not expired.
  Idle,
  /// The lease has expired or the owner is unknown; the owner is being queried.
  Unclaimed,
  /// The engine was told to release the entry but has not confirmed it yet.
  Releasing,
};

/// The cache of one program.
struct CacheEntry {
  ProgramId Program;
  /// Empty if unknown, as after a restart of this process.
  InstanceId Owner;
  TokenCount Tokens = 0;
  TimePoint LastUse;
  /// When the next call is expected, if a hint announced the length of the
  /// pause or the call is already queued.
  std::optional<TimePoint> NextUse;
  CacheState State = CacheState::Idle;
  /// The end of the lease of an idle entry, or of the claim timeout of an
  /// unclaimed one.
  TimePoint ExpiresAt;
  /// Whether the program has ended. An entry in use is released when its call
  /// ends.
  bool Ended = false;
  /// The class of the program's last call.
  CallClass Class = CallClass::Normal;

  auto tied() const {
    return std::tie(Program, Owner, Tokens, LastUse, NextUse, State, ExpiresAt,
                    Ended, Class);
  }
};

/// The timeouts of idle entries.
struct CacheLimits {
  /// How long an idle entry is kept without being used or claimed.
  Duration LeaseDuration = std::chrono::seconds(60);
  /// How long an owner has to claim an entry after it was queried.
  Duration ClaimTimeout = std::chrono::seconds(5);
};

/// The entries of one engine's cache.
struct CacheLedger {
  CacheLimits Limits;
  /// The moving average of the pauses of programs that gave no hint.
  Duration MeanPause = std::chrono::seconds(20);
  std::map<ProgramId, CacheEntry> Entries;
  /// Entries that were evicted for lack of memory while their programs were
  /// expected to return. They use no memory until the programs return.
  std::map<ProgramId, CacheEntry> Evicted;
};

/// Tell the engine to release the program's cache. The action is idempotent.
struct ReleaseCache {
  ProgramId Program;
  auto tied() const { return std::tie(Program); }
};

/// Ask the owner of the program's shard whether the program is alive, then call
/// claim or onProgramEnded. \p Owner is the last known owner, or empty.
struct QueryOwner {
  ProgramId Program;
  InstanceId Owner;
  auto tied() const { return std::tie(Program, Owner); }
};

/// Have the engine export the program's KV cache and then release it.
struct ExportCache {
  ProgramId Program;
  auto tied() const { return std::tie(Program); }
};

using CacheAction = std::variant<ReleaseCache, QueryOwner, ExportCache>;
using CacheActions = std::vector<CacheAction>;

/// A call of \p Program has arrived and waits: its entry is about to be used.
void onCallQueued(CacheLedger &Ledger, const ProgramId &Program, TimePoint Now);

/// A call of \p Program with a prompt of \p Tokens is about to be sent.
void onCacheUseStarted(CacheLedger &Ledger, const ProgramId &Program,
                       const InstanceId &Owner, TokenCount Tokens,
                       TimePoint Now, CallClass Class = CallClass::Normal);

/// The call has ended, with \p Tokens in the cache. Releases the entry if the
/// program has ended in the meantime.
CacheActions onCacheUseEnded(CacheLedger &Ledger, const ProgramId &Program,
                             TokenCount Tokens, TimePoint Now);

/// The program has announced that its next call follows after \p Expected.
/// Renews the lease for at least that long.
void onToolPauseStarted(CacheLedger &Ledger, const ProgramId &Program,
                        Duration Expected, TimePoint Now);

/// The owner has confirmed that the program is alive. Renews the lease.
void claim(CacheLedger &Ledger, const ProgramId &Program,
           const InstanceId &Owner, TimePoint Now);

/// The program and its sub-agents have ended. Releases their entries.
CacheActions onProgramEnded(CacheLedger &Ledger, const ProgramId &Program,
                            TimePoint Now);

/// Releases the entry of \p Program unless it is in use.
CacheActions release(CacheLedger &Ledger, const ProgramId &Program,
                     TimePoint Now);

/// The engine's report of the number of tokens it still caches for a program.
struct EngineCacheEvent {
  ProgramId Program;
  TokenCount Tokens = 0;
};

/// Corrects the size of an entry that is not in use. An event can be lost or
/// older than the last use, so it only ever reduces a size and never adds an
/// entry. Remaining differences are resolved by the next listing.
void onEngineEvent(CacheLedger &Ledger, const EngineCacheEvent &Event);

/// A listing of the engine's cache.
struct CacheListing {
  /// When the listing was requested. Later uses may be missing from it.
  TimePoint Asked;
  std::map<ProgramId, TokenCount> Tokens;
};

/// Updates the ledger to match the engine. Entries that are only in the listing
/// are added and their owners queried, releases that the engine has not carried
/// out are repeated, and entries that are not in the listing are removed.
CacheActions reconcile(CacheLedger &Ledger, const CacheListing &Listing,
                       TimePoint Now);

/// Queries the owners of entries whose lease has expired, and releases entries
/// that were not claimed in time. Call it about once a second.
CacheActions onTick(CacheLedger &Ledger, TimePoint Now);

/// The number of tokens of \p Program that the engine is expected to cache.
TokenCount cachedTokens(const CacheLedger &Ledger, const ProgramId &Program);

/// The number of tokens cached for programs without a running call.
TokenCount idleTokens(const CacheLedger &Ledger);

} // namespace tamarack

#endif // TAMARACK_GATE_CACHELEDGER_H
