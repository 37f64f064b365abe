#include "tamarack/gate/CacheLedger.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

namespace {

/// The weight of a new pause in the moving average is 1 / MeanPauseDivisor.
constexpr Duration::rep MeanPauseDivisor = 32;

CacheEntry *findEntry(CacheLedger &Ledger, const ProgramId &Program) {
  auto Found = Ledger.Entries.find(Program);
  return Found == Ledger.Entries.end() ? nullptr : &Found->second;
}

void setIdle(CacheEntry &Entry, TimePoint LeaseEnd) {
  Entry.State = CacheState::Idle;
  Entry.ExpiresAt = LeaseEnd;
}

ReleaseCache setReleasing(CacheEntry &Entry) {
  Entry.State = CacheState::Releasing;
  return {Entry.Program};
}

QueryOwner setUnclaimed(CacheEntry &Entry, TimePoint ClaimEnd) {
  Entry.State = CacheState::Unclaimed;
  Entry.ExpiresAt = ClaimEnd;
  return {Entry.Program, Entry.Owner};
}

/// Whether \p Program is \p Ancestor or one of its sub-agents.
bool isSameOrSubAgent(const ProgramId &Program, const ProgramId &Ancestor) {
  const std::string &Text = Program.text();
  const std::string &Prefix = Ancestor.text();
  if (Text.compare(0, Prefix.size(), Prefix) != 0)
    return false;
  return Text.size() == Prefix.size() || Text[Prefix.size()] == '/';
}

/// Whether a listing requested at \p RequestTime may lack the entry's last use.
bool usedSince(const CacheEntry &Entry, TimePoint RequestTime) {
  return Entry.State == CacheState::InUse || Entry.LastUse >= RequestTime;
}

void dropUnlisted(CacheLedger &Ledger, const CacheListing &Listing) {
  for (auto It = Ledger.Entries.begin(); It != Ledger.Entries.end();) {
    const bool Listed = Listing.Tokens.count(It->first) != 0;
    if (Listed || usedSince(It->second, Listing.Asked))
      ++It;
    else
      It = Ledger.Entries.erase(It);
  }
}

void reconcileListed(CacheLedger &Ledger, const ProgramId &Program,
                     TokenCount Tokens, const CacheListing &Listing,
                     TimePoint Now, CacheActions &Actions) {
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry) {
    CacheEntry &Added = Ledger.Entries[Program];
    Added.Program = Program;
    Added.Tokens = Tokens;
    Added.LastUse = Listing.Asked;
    Actions.push_back(setUnclaimed(Added, Now + Ledger.Limits.ClaimTimeout));
    return;
  }
  if (usedSince(*Entry, Listing.Asked))
    return;
  Entry->Tokens = Tokens;
  if (Entry->State == CacheState::Releasing)
    Actions.push_back(ReleaseCache{Program});
}

} // namespace

void onCallQueued(CacheLedger &Ledger, const ProgramId &Program,
                  TimePoint Now) {
  if (auto Found = Ledger.Evicted.find(Program); Found != Ledger.Evicted.end())
    Found->second.NextUse = Now;
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry || Entry->State == CacheState::InUse)
    return;
  if (!Entry->NextUse)
    Ledger.MeanPause +=
        (Now - Entry->LastUse - Ledger.MeanPause) / MeanPauseDivisor;
  onToolPauseStarted(Ledger, Program, Duration(0), Now);
}

void onCacheUseStarted(CacheLedger &Ledger, const ProgramId &Program,
                       const InstanceId &Owner, TokenCount Tokens,
                       TimePoint Now, CallClass Class) {
  Ledger.Evicted.erase(Program);
  CacheEntry &Entry = Ledger.Entries[Program];
  Entry.Program = Program;
  Entry.Owner = Owner;
  Entry.Class = Class;
  Entry.Tokens = std::max(Entry.Tokens, Tokens);
  Entry.LastUse = Now;
  Entry.NextUse.reset();
  Entry.State = CacheState::InUse;
}

CacheActions onCacheUseEnded(CacheLedger &Ledger, const ProgramId &Program,
                             TokenCount Tokens, TimePoint Now) {
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry || Entry->State != CacheState::InUse)
    return {};
  Entry->Tokens = Tokens;
  Entry->LastUse = Now;
  if (Entry->Ended)
    return {setReleasing(*Entry)};
  setIdle(*Entry, Now + Ledger.Limits.LeaseDuration);
  return {};
}

void onToolPauseStarted(CacheLedger &Ledger, const ProgramId &Program,
                        Duration Expected, TimePoint Now) {
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry || Entry->State == CacheState::InUse ||
      Entry->State == CacheState::Releasing)
    return;
  Entry->NextUse = Now + Expected;
  setIdle(*Entry, Now + std::max(Expected, Ledger.Limits.LeaseDuration));
}

void claim(CacheLedger &Ledger, const ProgramId &Program,
           const InstanceId &Owner, TimePoint Now) {
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry)
    return;
  Entry->Owner = Owner;
  if (Entry->State == CacheState::Idle || Entry->State == CacheState::Unclaimed)
    setIdle(*Entry, Now + Ledger.Limits.LeaseDuration);
}

CacheActions onProgramEnded(CacheLedger &Ledger, const ProgramId &Program,
                            TimePoint Now) {
  for (auto It = Ledger.Evicted.begin(); It != Ledger.Evicted.end();) {
    const bool Remove = isSameOrSubAgent(It->first, Program);
    It = Remove ? Ledger.Evicted.erase(It) : std::next(It);
  }
  CacheActions Actions;
  for (auto &[Id, Entry] : Ledger.Entries) {
    if (!isSameOrSubAgent(Id, Program))
      continue;
    Entry.Ended = true;
    for (CacheAction &Action : release(Ledger, Id, Now))
      Actions.push_back(std::move(Action));
  }
  return Actions;
}

CacheActions release(CacheLedger &Ledger, const ProgramId &Program, TimePoint) {
  CacheEntry *Entry = findEntry(Ledger, Program);
  if (!Entry || Entry->State == CacheState::InUse)
    return {};
  return {setReleasing(*Entry)};
}

void onEngineEvent(CacheLedger &Ledger, const EngineCacheEvent &Event) {
  CacheEntry *Entry = findEntry(Ledger, Event.Program);
  if (!Entry || Entry->State == CacheState::InUse)
    return;
  Entry->Tokens = std::min(Entry->Tokens, Event.Tokens);
}

CacheActions reconcile(CacheLedger &Ledger, const CacheListing &Listing,
                       TimePoint Now) {
  CacheActions Actions;
  dropUnlisted(Ledger, Listing);
  for (const auto &[Program, Tokens] : Listing.Tokens)
    reconcileListed(Ledger, Program, Tokens, Listing, Now, Actions);
  return Actions;
}

CacheActions onTick(CacheLedger &Ledger, TimePoint Now) {
  CacheActions Actions;
  for (auto &[Program, Entry] : Ledger.Entries) {
    if (Entry.State == CacheState::InUse || Now < Entry.ExpiresAt)
      continue;
    if (Entry.State == CacheState::Idle)
      Actions.push_back(setUnclaimed(Entry, Now + Ledger.Limits.ClaimTimeout));
    else if (Entry.State == CacheState::Unclaimed)
      Actions.push_back(setReleasing(Entry));
  }
  return Actions;
}

TokenCount cachedTokens(const CacheLedger &Ledger, const ProgramId &Program) {
  auto Found = Ledger.Entries.find(Program);
  if (Found == Ledger.Entries.end() ||
      Found->second.State == CacheState::Releasing)
    return 0;
  return Found->second.Tokens;
}

TokenCount idleTokens(const CacheLedger &Ledger) {
  TokenCount Sum = 0;
  for (const auto &[Program, Entry] : Ledger.Entries) {
    if (Entry.State != CacheState::InUse)
      Sum += Entry.Tokens;
  }
  return Sum;
}

} // namespace tamarack
