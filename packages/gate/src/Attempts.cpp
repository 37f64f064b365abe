#include "tamarack/gate/Attempts.h"

#include <iterator>
#include <utility>

namespace tamarack {

std::ostream &operator<<(std::ostream &Out, const AttemptId &Id) {
  return Out << Id.Program << '/' << Id.Call << '#' << Id.Attempt;
}

std::ostream &operator<<(std::ostream &Out, AttemptPhase Phase) {
  switch (Phase) {
  case AttemptPhase::Queued:
    return Out << "queued";
  case AttemptPhase::Sent:
    return Out << "sent";
  case AttemptPhase::Finished:
    return Out << "finished";
  case AttemptPhase::Void:
    return Out << "void";
  }
  return Out;
}

std::ostream &operator<<(std::ostream &Out, AttemptQueryResult::State What) {
  switch (What) {
  case AttemptQueryResult::State::NeverSent:
    return Out << "never sent";
  case AttemptQueryResult::State::Running:
    return Out << "running";
  case AttemptQueryResult::State::Finished:
    return Out << "finished";
  case AttemptQueryResult::State::Unknown:
    return Out << "unknown";
  }
  return Out;
}

namespace {

void setPhase(AttemptEntry &Entry, AttemptPhase Phase, TimePoint Now) {
  Entry.Phase = Phase;
  Entry.ChangedAt = Now;
}

/// Whether orders for \p Target can be admitted. Until Self is first increased,
/// only Self is accepted.
bool isAccepted(const AttemptTable &Table, Incarnation Target) {
  const Incarnation OldestAccepted =
      Table.OldestAccepted == 0 ? Table.Self : Table.OldestAccepted;
  return OldestAccepted <= Target && Target <= Table.Self;
}

/// Makes an entry void unless it was sent. Returns whether it is void.
bool makeVoid(AttemptEntry &Entry, TimePoint Now) {
  if (Entry.Phase == AttemptPhase::Sent ||
      Entry.Phase == AttemptPhase::Finished)
    return false;
  setPhase(Entry, AttemptPhase::Void, Now);
  return true;
}

bool isTerminal(const AttemptEntry &Entry) {
  return Entry.Phase == AttemptPhase::Finished ||
         Entry.Phase == AttemptPhase::Void;
}

/// Increases Self, and accepts only the previous and the new value from now on.
void advanceSelf(AttemptTable &Table, TimePoint Now) {
  Table.OldestAccepted = Table.Self;
  ++Table.Self;
  Table.SelfInUse = false;
  Table.SelfAdvancedAt = Now;
}

tl::unexpected<Error> refuseVoid() {
  return refuse(ErrorKind::Fenced, "the attempt is void; it will not be sent",
                NotRun::Proved);
}

} // namespace

Expected<void> admitAttempt(AttemptTable &Table, const AttemptId &Id,
                            Incarnation Target, TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found != Table.Entries.end() && Found->second.Phase == AttemptPhase::Void)
    return refuseVoid();
  if (Found != Table.Entries.end())
    return refuse(ErrorKind::Fenced,
                  "the attempt was already admitted; query its state");
  if (!isAccepted(Table, Target))
    return refuse(ErrorKind::EndpointUnavailable,
                  "the order names target " + std::to_string(Target) +
                      ", which is not accepted; the current target is " +
                      std::to_string(Table.Self),
                  NotRun::Proved);
  Table.SelfInUse = Table.SelfInUse || Target == Table.Self;
  Table.Entries[Id] = {AttemptPhase::Queued, {}, Now, Target};
  return {};
}

Expected<void> markSent(AttemptTable &Table, const AttemptId &Id,
                        TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end())
    return refuse(ErrorKind::Fenced,
                  "the attempt was not admitted by this process");
  switch (Found->second.Phase) {
  case AttemptPhase::Queued:
    setPhase(Found->second, AttemptPhase::Sent, Now);
    return {};
  case AttemptPhase::Void:
    return refuseVoid();
  case AttemptPhase::Sent:
  case AttemptPhase::Finished:
    break;
  }
  return refuse(ErrorKind::Fenced, "the attempt was already sent");
}

void markFinished(AttemptTable &Table, const AttemptId &Id, std::string Answer,
                  TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end() || Found->second.Phase != AttemptPhase::Sent)
    return;
  Found->second.Answer = std::move(Answer);
  setPhase(Found->second, AttemptPhase::Finished, Now);
}

Expected<void> voidAttempt(AttemptTable &Table, const AttemptId &Id,
                           TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end())
    return refuse(ErrorKind::Fenced,
                  "the attempt was not admitted by this process");
  if (!makeVoid(Found->second, Now))
    return refuse(ErrorKind::Fenced, "the attempt was already sent");
  return {};
}

AttemptQueryResult queryAttempt(AttemptTable &Table, const AttemptId &Id,
                                Incarnation Target, TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end()) {
    if (!isAccepted(Table, Target))
      return {AttemptQueryResult::State::Unknown, {}};
    Table.Entries[Id] = {AttemptPhase::Void, {}, Now, Target};
    return {AttemptQueryResult::State::NeverSent, {}};
  }
  AttemptEntry &Entry = Found->second;
  if (Entry.Target != Target)
    return {AttemptQueryResult::State::Unknown, {}};
  if (makeVoid(Entry, Now))
    return {AttemptQueryResult::State::NeverSent, {}};
  if (Entry.Phase == AttemptPhase::Sent)
    return {AttemptQueryResult::State::Running, {}};
  return {AttemptQueryResult::State::Finished, Entry.Answer.value_or("")};
}

std::size_t pruneAttempts(AttemptTable &Table, TimePoint Now,
                          Duration Retention) {
  if (Table.SelfInUse && Now - Table.SelfAdvancedAt >= Retention)
    advanceSelf(Table, Now);
  std::size_t Removed = 0;
  for (auto It = Table.Entries.begin(); It != Table.Entries.end();) {
    const AttemptEntry &Entry = It->second;
    const bool Kept = !isTerminal(Entry) || Now - Entry.ChangedAt < Retention ||
                      isAccepted(Table, Entry.Target);
    It = Kept ? std::next(It) : Table.Entries.erase(It);
    Removed += Kept ? 0 : 1;
  }
  return Removed;
}

} // namespace tamarack
