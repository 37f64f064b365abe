#include "tamarack/gate/Retention.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

namespace {

/// Shorter pauses tell less than the time a queue may take.
constexpr Duration LeastPause = std::chrono::seconds(5);

bool isReleasable(const CacheEntry &Entry) {
  return Entry.State == CacheState::Idle ||
         Entry.State == CacheState::Unclaimed;
}

/// Whether the way releases the entry even when memory is free.
bool isUnwanted(const CacheEntry &Entry, const RetentionSettings &Settings,
                TimePoint Now) {
  if (Settings.Way == RetentionWay::KeepNothing)
    return true;
  return Settings.Way == RetentionWay::FixedTime &&
         Now - Entry.LastUse >= Settings.FixedTime;
}

TimePoint nextUse(const CacheLedger &Ledger, const CacheEntry &Entry) {
  return Entry.NextUse.value_or(Entry.LastUse + Ledger.MeanPause);
}

bool isExpectedBack(const CacheLedger &Ledger, const CacheEntry &Entry,
                    const RetentionSettings &Settings, TimePoint Now) {
  const Duration Pause =
      std::max(nextUse(Ledger, Entry) - Entry.LastUse, LeastPause);
  return Now - Entry.LastUse <= Pause * Settings.PausesExpectedBack;
}

/// The greater, the sooner the entry is released.
Duration releaseRank(const CacheLedger &Ledger, const CacheEntry &Entry,
                     const RetentionSettings &Settings, TimePoint Now) {
  if (Settings.Way == RetentionWay::ExpectedNextUse)
    return timeToNextUse(Ledger, Entry, Now);
  if (Settings.Way == RetentionWay::TimestampOrder)
    return Now - nextUse(Ledger, Entry);
  return Now - Entry.LastUse;
}

struct Candidate {
  Duration Rank;
  const CacheEntry *Entry = nullptr;
};

/// The releasable entries, those to release first in front.
std::vector<Candidate> candidates(const CacheLedger &Ledger,
                                  const RetentionSettings &Settings,
                                  TimePoint Now) {
  std::vector<Candidate> Found;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (isReleasable(Entry))
      Found.push_back({releaseRank(Ledger, Entry, Settings, Now), &Entry});
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.Rank > Right.Rank;
                   });
  return Found;
}

void dropLongEvicted(CacheLedger &Ledger, const RetentionSettings &Settings,
                     TimePoint Now) {
  for (auto Each = Ledger.Evicted.begin(); Each != Ledger.Evicted.end();) {
    const bool Back = isExpectedBack(Ledger, Each->second, Settings, Now);
    Each = Back ? std::next(Each) : Ledger.Evicted.erase(Each);
  }
}

/// Tokens held idle that were not told to be released yet.
TokenCount keptTokens(const std::vector<Candidate> &Entries) {
  TokenCount Sum = 0;
  for (const Candidate &Each : Entries)
    Sum += Each.Entry->Tokens;
  return Sum;
}

} // namespace

std::string_view nameOf(RetentionWay Way) {
  switch (Way) {
  case RetentionWay::KeepNothing:
    return "keep nothing";
  case RetentionWay::LeastRecentlyUsed:
    return "least recently used";
  case RetentionWay::FixedTime:
    return "fixed time";
  case RetentionWay::ExpectedNextUse:
    return "expected next use";
  case RetentionWay::TimestampOrder:
    return "timestamp order";
  }
  return "";
}

Duration timeToNextUse(const CacheLedger &Ledger, const CacheEntry &Entry,
                       TimePoint Now) {
  const TimePoint Expected = nextUse(Ledger, Entry);
  return Now < Expected ? Expected - Now : Now - Expected;
}

PerClass<TokenCount> expectedBackTokens(const CacheLedger &Ledger,
                                        const RetentionSettings &Settings,
                                        TimePoint Now) {
  PerClass<TokenCount> Sum;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (isReleasable(Entry) && isExpectedBack(Ledger, Entry, Settings, Now))
      Sum[Entry.Class] += Entry.Tokens;
  }
  for (const auto &[Program, Entry] : Ledger.Evicted) {
    if (isExpectedBack(Ledger, Entry, Settings, Now))
      Sum[Entry.Class] += Entry.Tokens;
  }
  return Sum;
}

CacheActions evictIdleEntries(CacheLedger &Ledger,
                              const RetentionSettings &Settings,
                              TokenCount Reserved, TimePoint Now) {
  dropLongEvicted(Ledger, Settings, Now);
  const std::vector<Candidate> Order = candidates(Ledger, Settings, Now);
  const bool Transfers = Settings.TransferPerToken &&
                         *Settings.TransferPerToken < Settings.PrefillPerToken;
  TokenCount Kept = keptTokens(Order);
  CacheActions Actions;
  for (const Candidate &Each : Order) {
    const CacheEntry &Entry = *Each.Entry;
    const bool Short = Kept + Reserved > Settings.MemoryTokens;
    if (!Short && !isUnwanted(Entry, Settings, Now))
      continue;
    Kept -= Entry.Tokens;
    if (Short && isExpectedBack(Ledger, Entry, Settings, Now))
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
