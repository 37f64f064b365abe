/// Policies that decide which cache entries are kept while their programs wait
/// for tools or people.
///
///   RetentionSettings Settings;
///   for (const CacheAction &Action :
///        evictIdleEntries(Ledger, Settings, ReservedTokens, Now))
///     std::visit(Executor, Action);
///
/// Several policies exist so that they can be compared. The comparison is in
/// docs/measurements/gate.md.
#ifndef TAMARACK_GATE_RETENTION_H
#define TAMARACK_GATE_RETENTION_H

#include "tamarack/gate/CacheLedger.h"

#include <string_view>

namespace tamarack {

enum class RetentionPolicy {
  /// Releases an entry as soon as its call has ended.
  KeepNothing,
  /// Releases the least recently used entry when memory is short.
  LeastRecentlyUsed,
  /// Releases an entry after a fixed idle time, and earlier, least recently
  /// used first, when memory is short.
  FixedTime,
  /// Releases the entry with the longest time to its next use when memory is
  /// short.
  ExpectedNextUse,
  /// Releases the entry with the oldest timestamp when memory is short. The
  /// timestamp is the announced time of the next use, or else the last use plus
  /// the mean pause. This is the order of timestamp-aware caching in the paper
  /// "Low-Latency Stateful Stream Processing through Timely and Accurate
  /// Prefetching".
  TimestampOrder,
};

std::string_view nameOf(RetentionPolicy Policy);

/// The settings of the cache of one engine.
struct RetentionSettings {
  RetentionPolicy Policy = RetentionPolicy::ExpectedNextUse;
  /// The engine memory for running calls and idle entries together.
  TokenCount MemoryTokens = 400'000;
  /// The idle time after which the policy FixedTime releases an entry.
  Duration IdleTimeout = std::chrono::seconds(30);
  /// A paused program is expected to return until this many times its expected
  /// pause has passed. If pauses are distributed exponentially and a few
  /// percent of programs are lost in each, half of the programs still away
  /// after four mean pauses are lost.
  Duration::rep ReturnTimeoutInPauses = 4;
  /// The time to prefill a token.
  Duration PrefillPerToken = Duration(100);
  /// The time to export and import a token, if the engine supports it.
  std::optional<Duration> TransferPerToken;
};

/// The expected time until the next use of an idle entry. An overdue entry is
/// expected to take as long again as it is already late, so programs with a
/// hung tool and lost programs become candidates for eviction without a
/// timeout.
Duration timeToNextUse(const CacheLedger &Ledger, const CacheEntry &Entry,
                       TimePoint Now);

/// The tokens of programs that are expected to return, by class: those of idle
/// entries and those of entries that were evicted for lack of memory.
PerClass<TokenCount> expectedReturnTokens(const CacheLedger &Ledger,
                                          const RetentionSettings &Settings,
                                          TimePoint Now);

/// Releases idle entries until the remaining ones and the \p Reserved tokens of
/// running calls fit in memory, and all entries that the policy does not keep.
/// An entry that is evicted for lack of memory is exported instead if a
/// transfer is cheaper than prefilling it again.
CacheActions evictIdleEntries(CacheLedger &Ledger,
                              const RetentionSettings &Settings,
                              TokenCount Reserved, TimePoint Now);

} // namespace tamarack

#endif // TAMARACK_GATE_RETENTION_H
