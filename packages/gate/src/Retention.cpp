#include "tamarack/gate/Retention.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

namespace {

/// Shorter pauses tell less than the time a queue may take.
constexpr Duration MinExpectedPause = std::chrono::seconds(5);

bool isReleasable(const CacheEntry &Entry) {
  return Entry.State == CacheState::Idle ||
         Entry.State == CacheState::Unclaimed;
}

/// Whether the way releases the entry even when memory is free.
bool isRetentionOver(const CacheEntry &Entry, const RetentionSettings &Settings,
                     TimePoint Now) {
  if (Settings.Policy == RetentionPolicy::KeepNothing)
    return true;
  return Settings.Policy == RetentionPolicy::FixedTime &&
         Now - Entry.LastUse >= Settings.FixedTime;
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

/// The greater, the sooner the entry is released.
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

/// The releasable entries, those to release first in front.
std::vector<Candidate> evictionOrder(const CacheLedger &Ledger,
                                     const RetentionSettings &Settings,
                                     TimePoint Now) {
  std::vector<Candidate> Found;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (isReleasable(Entry))
      Found.push_back({evictionRank(Ledger, Entry, Settings, Now), &Entry});
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.Rank > Right.Rank;
                   });
  return Found;
}

void dropExpiredEvictions(CacheLedger &Ledger,
                          const RetentionSettings &Settings, TimePoint Now) {
  for (auto It = Ledger.Evicted.begin(); It != Ledger.Evicted.end();) {
    const bool Back = isExpectedToReturn(Ledger, It->second, Settings, Now);
    It = Back ? std::next(It) : Ledger.Evicted.erase(It);
  }
}

/// Tokens held idle that were not told to be released yet.
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
  const bool Transfers = Settings.TransferPerToken &&
                         *Settings.TransferPerToken < Settings.PrefillPerToken;
  TokenCount Kept = retainedTokens(Order);
  CacheActions Actions;
  for (const Candidate &Next : Order) {
    const CacheEntry &Entry = *Next.Entry;
    const bool Short = Kept + Reserved > Settings.MemoryTokens;
    if (!Short && !isRetentionOver(Entry, Settings, Now))
      continue;
    Kept -= Entry.Tokens;
    if (Short && isExpectedToReturn(Ledger, Entry, Settings, Now))
      Ledger.Evicted[Entry.Program] = Entry;
    const CacheActions Release = release(Ledger, Entry.Program, Now);
    if (Transfers && Short)
      Actions.push_back(ExportCache{Entry.Program});
    else
      Actions.insert(Actions.end(), Release.begin(), Release.end());
  }
  return Actions;
}

} // namespace tamarack
