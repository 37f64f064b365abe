/// Which cache entries to keep while their programs wait for tools or people.
///
///   RetentionSettings Settings;
///   for (const CacheAction &Action :
///        evictIdleEntries(Ledger, Settings, TokensNeeded, Now))
///     std::visit(Carrier, Action);
///
/// Several ways are offered so that they can be compared; docs/measurements/
/// gate.md has the comparison.
#ifndef TAMARACK_GATE_RETENTION_H
#define TAMARACK_GATE_RETENTION_H

#include "tamarack/gate/CacheLedger.h"

#include <string_view>

namespace tamarack {

enum class RetentionPolicy {
  /// Releases a cache as soon as its call has ended.
  KeepNothing,
  /// Releases the least recently used when memory is short.
  LeastRecentlyUsed,
  /// Releases after a fixed idle time, and the least recently used before that
  /// when memory is short.
  FixedTime,
  /// Releases the entry whose next use is farthest away when memory is short.
  ExpectedNextUse,
  /// Releases the entry with the oldest timestamp when memory is short: the
  /// time of the next use where one is expected, else of the last. This is the
  /// order of timestamp-aware caching in the paper "Low-Latency Stateful
  /// Stream Processing through Timely and Accurate Prefetching".
  TimestampOrder,
};

std::string_view nameOf(RetentionPolicy Policy);

struct RetentionSettings {
  RetentionPolicy Policy = RetentionPolicy::ExpectedNextUse;
  /// The engine memory for running calls and idle caches together.
  TokenCount MemoryTokens = 400'000;
  /// The idle time after which FixedTime releases.
  Duration FixedTime = std::chrono::seconds(30);
  /// A program is expected back for this many times its expected pause. At an
  /// exponential pause and a few programs in a hundred lost at each, half of
  /// those still away after four pauses are lost.
  Duration::rep ReturnTimeoutInPauses = 4;
  Duration PrefillPerToken = Duration(100);
  /// The time to export and import a token; nothing when the engine cannot.
  std::optional<Duration> TransferPerToken;
};

/// How far an idle entry is from its next use. An entry that is overdue is
/// expected to need as long again as it is late: programs whose tool hangs or
/// that are gone so move back in the order without any timeout.
Duration timeToNextUse(const CacheLedger &Ledger, const CacheEntry &Entry,
                       TimePoint Now);

/// The tokens of idle entries whose programs are expected back, and of those
/// that lost their entry for lack of memory.
PerClass<TokenCount> expectedReturnTokens(const CacheLedger &Ledger,
                                          const RetentionSettings &Settings,
                                          TimePoint Now);

/// Releases idle entries so that \p Reserved tokens of running calls and what
/// stays idle fit the memory, plus those that the way does not keep at all. An
/// entry is exported instead where that is cheaper than building it again.
CacheActions evictIdleEntries(CacheLedger &Ledger,
                              const RetentionSettings &Settings,
                              TokenCount Reserved, TimePoint Now);

} // namespace tamarack

#endif // TAMARACK_GATE_RETENTION_H
