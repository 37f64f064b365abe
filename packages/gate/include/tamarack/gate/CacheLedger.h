/// What is in the engine's cache, by program, and who vouches for it.
///
/// The process beside the endpoint sees every request, so its ledger is the
/// first source. The engine's late and incomplete events only correct it, and
/// a periodic listing reconciles both:
///
///   onCacheUseStarted(Ledger, Program, Owner, PromptTokens, Now);      // call
///   sent onCacheUseEnded(Ledger, Program, TokensNow, Now);           // answer
///   complete onToolPauseStarted(Ledger, Program, Expected, Now);    // hint
///   CacheActions Actions = reconcile(Ledger, Listing, Now);
///
/// Every idle entry is on a lease. When it lapses the owner is asked, and an
/// entry that nobody claims within a bound is released. Hence memory of a gone
/// program is freed even when its end was never heard of.
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
  /// No call is running; the owner's lease holds.
  Idle,
  /// The lease lapsed or the owner is not known; it has been asked for.
  Unclaimed,
  /// The engine was told to release it, which is not confirmed yet.
  Releasing,
};

struct CacheEntry {
  ProgramId Program;
  /// Empty when not known, as after a restart of this process.
  InstanceId Owner;
  TokenCount Tokens = 0;
  TimePoint LastUse;
  /// When the next call of the program is expected, by a hint at tool start.
  std::optional<TimePoint> NextUse;
  CacheState State = CacheState::Idle;
  /// The end of the lease when idle, or of the time to claim when unclaimed.
  TimePoint ExpiresAt;
  /// The program has ended while its last call was running.
  bool Ended = false;
  /// The class of the program's last call.
  CallClass Class = CallClass::Normal;

  auto tied() const {
    return std::tie(Program, Owner, Tokens, LastUse, NextUse, State, ExpiresAt,
                    Ended, Class);
  }
};

struct CacheLimits {
  /// How long an idle entry is kept without a word of its owner.
  Duration LeaseDuration = std::chrono::seconds(60);
  /// How long an owner has to claim an entry after it was asked for.
  Duration ClaimTimeout = std::chrono::seconds(5);
};

struct CacheLedger {
  CacheLimits Limits;
  /// The mean pause of programs that gave no hint, learned from those that
  /// came back.
  Duration MeanPause = std::chrono::seconds(20);
  std::map<ProgramId, CacheEntry> Entries;
  /// Entries given up for lack of memory while their programs were expected
  /// back. They hold no memory, but will when the programs return.
  std::map<ProgramId, CacheEntry> Evicted;
};

/// Tell the engine to release the program's cache. States what is desired, so
/// it may be carried out any number of times.
struct ReleaseCache {
  ProgramId Program;
  auto tied() const { return std::tie(Program); }
};

/// Ask the owner of the program's shard whether it claims the entry: answer by
/// claim or by onProgramEnded. \p Owner is the last one known, or empty.
struct QueryOwner {
  ProgramId Program;
  InstanceId Owner;
  auto tied() const { return std::tie(Program, Owner); }
};

/// Have the engine export the program's KV cache and release it afterwards.
struct ExportCache {
  ProgramId Program;
  auto tied() const { return std::tie(Program); }
};

using CacheAction = std::variant<ReleaseCache, QueryOwner, ExportCache>;
using CacheActions = std::vector<CacheAction>;

/// A call of \p Program has come and waits: its entry is needed at once.
void onCallQueued(CacheLedger &Ledger, const ProgramId &Program, TimePoint Now);

/// A call of \p Program is being sent, with \p Tokens of prompt.
void onCacheUseStarted(CacheLedger &Ledger, const ProgramId &Program,
                       const InstanceId &Owner, TokenCount Tokens,
                       TimePoint Now, CallClass Class = CallClass::Normal);

/// The call has ended and left \p Tokens in the cache. Releases the entry when
/// the program ended meanwhile.
CacheActions onCacheUseEnded(CacheLedger &Ledger, const ProgramId &Program,
                             TokenCount Tokens, TimePoint Now);

/// The program's next call is expected after \p Expected. Renews the lease to
/// at least that long.
void onToolPauseStarted(CacheLedger &Ledger, const ProgramId &Program,
                        Duration Expected, TimePoint Now);

/// The owner vouches for the entry: its lease starts anew.
void claim(CacheLedger &Ledger, const ProgramId &Program,
           const InstanceId &Owner, TimePoint Now);

/// The program and its sub-agents are gone.
CacheActions onProgramEnded(CacheLedger &Ledger, const ProgramId &Program,
                            TimePoint Now);

/// Marks the entry as being released, as chosen by retention.
CacheActions release(CacheLedger &Ledger, const ProgramId &Program,
                     TimePoint Now);

/// An engine's report of what it holds for a program, or evicted to.
struct EngineCacheEvent {
  ProgramId Program;
  TokenCount Tokens = 0;
};

/// Corrects the size of a known entry that is not in use. A report can be
/// older than the last use or be lost, hence it never adds an entry, and only
/// ever lowers a size; the listing settles the rest.
void onEngineEvent(CacheLedger &Ledger, const EngineCacheEvent &Event);

/// Everything the engine holds.
struct CacheListing {
  /// When the listing was asked for: uses since then may be missing in it.
  TimePoint Asked;
  std::map<ProgramId, TokenCount> Tokens;
};

/// Brings the ledger in line with the engine. Entries nobody is known to own
/// are asked for, releases that were not carried out are repeated, and entries
/// the engine has dropped are dropped here.
CacheActions reconcile(CacheLedger &Ledger, const CacheListing &Listing,
                       TimePoint Now);

/// To be called every second or so: asks for entries whose lease lapsed and
/// releases those that nobody claimed in time.
CacheActions onTick(CacheLedger &Ledger, TimePoint Now);

/// The tokens of \p Program expected in the engine's cache.
TokenCount cachedTokens(const CacheLedger &Ledger, const ProgramId &Program);

/// The tokens held for programs without a running call.
TokenCount idleTokens(const CacheLedger &Ledger);

} // namespace tamarack

#endif // TAMARACK_GATE_CACHELEDGER_H
