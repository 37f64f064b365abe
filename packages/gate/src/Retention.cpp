#include "tamarack/gate/Retention.h"

#include <algorithm>

namespace tamarack {

namespace {

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

/// The greater, the sooner the entry is released.
Duration releaseRank(const CacheEntry &Entry, const RetentionSettings &Settings,
                     TimePoint Now) {
  if (Settings.Way == RetentionWay::ExpectedNextUse)
    return timeToNextUse(Entry, Settings, Now);
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
      Found.push_back({releaseRank(Entry, Settings, Now), &Entry});
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.Rank > Right.Rank;
                   });
  return Found;
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
  }
  return "";
}

Duration timeToNextUse(const CacheEntry &Entry,
                       const RetentionSettings &Settings, TimePoint Now) {
  const TimePoint Expected =
      Entry.NextUse.value_or(Entry.LastUse + Settings.UnhintedPause);
  return Now < Expected ? Expected - Now : Now - Expected;
}

CacheActions makeRoom(CacheLedger &Ledger, const RetentionSettings &Settings,
                      TokenCount Reserved, TimePoint Now) {
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
    const CacheActions Release = release(Ledger, Entry.Program, Now);
    if (Transfers && Short)
      Actions.push_back(ExportCache{Entry.Program});
    else
      Actions.insert(Actions.end(), Release.begin(), Release.end());
  }
  return Actions;
}

} // namespace tamarack
