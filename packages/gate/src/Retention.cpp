#include "tamarack/gate/Retention.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

namespace {

/// Shorter expected pauses are rounded up to this, since the next call may also
/// be delayed in a queue.
constexpr Duration MinExpectedPause = std::chrono::seconds(5);

bool isReleasable(const CacheEntry &Entry) {
  return Entry.State == CacheState::Idle ||
         Entry.State == CacheState::Unclaimed;
}

/// Whether the policy releases the entry even if memory is free.
bool isRetentionOver(const CacheEntry &Entry, const RetentionSettings &Settings,
                     TimePoint Now) {
  if (Settings.Policy == RetentionPolicy::KeepNothing)
    return true;
  return Settings.Policy == RetentionPolicy::FixedTime &&
         Now - Entry.LastUse >= Settings.IdleTimeout;
}

TimePoint nextUse(const CacheLedger &Ledger, const CacheEntry &Entry) {
  return Entry.NextUse.value_or(Entry.LastUse + Ledger.MeanPause);
}

bool isExpectedToReturn(const CacheLedger &Ledger, const CacheEntry &Entry,
                        const RetentionSettings &Settings, TimePoint Now) {
  const Duration Pause =
      std::max(nextUse(Ledger, Entry) - Entry.LastUse, MinExpectedPause);
  return Now - Entry.LastUse <= Pause * Settings.ReturnTimeoutInPauses;
}

/// The sort key of an entry; the largest is evicted first.
Duration evictionRank(const CacheLedger &Ledger, const CacheEntry &Entry,
                      const RetentionSettings &Settings, TimePoint Now) {
  if (Settings.Policy == RetentionPolicy::ExpectedNextUse)
    return timeToNextUse(Ledger, Entry, Now);
  if (Settings.Policy == RetentionPolicy::TimestampOrder)
    return Now - nextUse(Ledger, Entry);
  return Now - Entry.LastUse;
}

struct Candidate {
  Duration Rank;
  const CacheEntry *Entry = nullptr;
};

/// The releasable entries in the order of eviction.
std::vector<Candidate> evictionOrder(const CacheLedger &Ledger,
                                     const RetentionSettings &Settings,
                                     TimePoint Now) {
  std::vector<Candidate> Candidates;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (isReleasable(Entry))
      Candidates.push_back(
          {evictionRank(Ledger, Entry, Settings, Now), &Entry});
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.Rank > Right.Rank;
                   });
  return Candidates;
}

void dropExpiredEvictions(CacheLedger &Ledger,
                          const RetentionSettings &Settings, TimePoint Now) {
  for (auto It = Ledger.Evicted.begin(); It != Ledger.Evicted.end();) {
    const bool Keep = isExpectedToReturn(Ledger, It->second, Settings, Now);
    It = Keep ? std::next(It) : Ledger.Evicted.erase(It);
  }
}

/// The total size of the entries in tokens.
TokenCount retainedTokens(const std::vector<Candidate> &Entries) {
  TokenCount Sum = 0;
  for (const Candidate &Next : Entries)
    Sum += Next.Entry->Tokens;
  return Sum;
}

} // namespace

std::string_view nameOf(RetentionPolicy Policy) {
  switch (Policy) {
  case RetentionPolicy::KeepNothing:
    return "keep nothing";
  case RetentionPolicy::LeastRecentlyUsed:
    return "least recently used";
  case RetentionPolicy::FixedTime:
    return "fixed time";
  case RetentionPolicy::ExpectedNextUse:
    return "expected next use";
  case RetentionPolicy::TimestampOrder:
    return "timestamp order";
  }
  return "";
}

Duration timeToNextUse(const CacheLedger &Ledger, const CacheEntry &Entry,
                       TimePoint Now) {
  const TimePoint Expected = nextUse(Ledger, Entry);
  return Now < Expected ? Expected - Now : Now - Expected;
}

PerClass<TokenCount> expectedReturnTokens(const CacheLedger &Ledger,
                                          const RetentionSettings &Settings,
                                          TimePoint Now) {
  PerClass<TokenCount> Sum;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (isReleasable(Entry) && isExpectedToReturn(Ledger, Entry, Settings, Now))
      Sum[Entry.Class] += Entry.Tokens;
  }
  for (const auto &[Program, Entry] : Ledger.Evicted) {
    if (isExpectedToReturn(Ledger, Entry, Settings, Now))
      Sum[Entry.Class] += Entry.Tokens;
  }
  return Sum;
}

CacheActions evictIdleEntries(CacheLedger &Ledger,
                              const RetentionSettings &Settings,
                              TokenCount Reserved, TimePoint Now) {
  dropExpiredEvictions(Ledger, Settings, Now);
  const std::vector<Candidate> Order = evictionOrder(Ledger, Settings, Now);
  const bool TransferIsCheaper =
      Settings.TransferPerToken &&
      *Settings.TransferPerToken < Settings.PrefillPerToken;
  TokenCount Retained = retainedTokens(Order);
  CacheActions Actions;
  for (const Candidate &Next : Order) {
    const CacheEntry &Entry = *Next.Entry;
    const bool MemoryShort = Retained + Reserved > Settings.MemoryTokens;
    if (!MemoryShort && !isRetentionOver(Entry, Settings, Now))
      continue;
    Retained -= Entry.Tokens;
    if (MemoryShort && isExpectedToReturn(Ledger, Entry, Settings, Now))
      Ledger.Evicted[Entry.Program] = Entry;
    const CacheActions Release = release(Ledger, Entry.Program, Now);
    if (TransferIsCheaper && MemoryShort)
      Actions.push_back(ExportCache{Entry.Program});
    else
      Actions.insert(Actions.end(), Release.begin(), Release.end());
  }
  return Actions;
}

} // namespace tamarack
