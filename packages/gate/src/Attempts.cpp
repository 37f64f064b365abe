#include "tamarack/gate/Attempts.h"

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

std::ostream &operator<<(std::ostream &Out, AttemptAnswer::State What) {
  switch (What) {
  case AttemptAnswer::State::NeverSent:
    return Out << "never sent";
  case AttemptAnswer::State::Running:
    return Out << "running";
  case AttemptAnswer::State::Finished:
    return Out << "finished";
  case AttemptAnswer::State::Unknown:
    return Out << "unknown";
  }
  return Out;
}

namespace {

void change(AttemptEntry &Entry, AttemptPhase Phase, TimePoint Now) {
  Entry.Phase = Phase;
  Entry.Changed = Now;
}

tl::unexpected<Error> refuseVoid() {
  return refuse(ErrorKind::Fenced, "the attempt is void", NotRun::Proved);
}

} // namespace

Expected<void> admitAttempt(AttemptTable &Table, const AttemptId &Id,
                            Incarnation Target, TimePoint Now) {
  if (Target != Table.Self)
    return refuse(ErrorKind::EndpointUnavailable,
                  "the process was restarted since the order was written",
                  NotRun::Proved);
  auto [Found, Added] = Table.Entries.try_emplace(
      Id, AttemptEntry{AttemptPhase::Queued, {}, Now});
  if (Added)
    return {};
  if (Found->second.Phase == AttemptPhase::Void)
    return refuseVoid();
  return refuse(ErrorKind::Fenced, "the attempt is known already; ask for it");
}

Expected<void> markSent(AttemptTable &Table, const AttemptId &Id,
                        TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end())
    return refuse(ErrorKind::Fenced, "the attempt was never admitted");
  switch (Found->second.Phase) {
  case AttemptPhase::Queued:
    change(Found->second, AttemptPhase::Sent, Now);
    return {};
  case AttemptPhase::Void:
    return refuseVoid();
  case AttemptPhase::Sent:
  case AttemptPhase::Finished:
    break;
  }
  return refuse(ErrorKind::Fenced, "the attempt was sent already");
}

void markFinished(AttemptTable &Table, const AttemptId &Id, std::string Answer,
                  TimePoint Now) {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end() || Found->second.Phase != AttemptPhase::Sent)
    return;
  Found->second.Answer = std::move(Answer);
  change(Found->second, AttemptPhase::Finished, Now);
}

Expected<void> voidAttempt(AttemptTable &Table, const AttemptId &Id,
                           TimePoint Now) {
  AttemptEntry &Entry =
      Table.Entries.try_emplace(Id, AttemptEntry{AttemptPhase::Queued, {}, Now})
          .first->second;
  if (Entry.Phase == AttemptPhase::Sent ||
      Entry.Phase == AttemptPhase::Finished)
    return refuse(ErrorKind::Fenced, "the attempt was sent already");
  // A repeated void is kept for its full retention again, since every question
  // may cross with an order that is still under way.
  change(Entry, AttemptPhase::Void, Now);
  return {};
}

AttemptAnswer askAttempt(AttemptTable &Table, const AttemptId &Id,
                         Incarnation Target, TimePoint Now) {
  if (Target != Table.Self)
    return {AttemptAnswer::State::Unknown, {}};
  if (voidAttempt(Table, Id, Now))
    return {AttemptAnswer::State::NeverSent, {}};
  const AttemptEntry &Entry = Table.Entries.at(Id);
  if (Entry.Phase == AttemptPhase::Sent)
    return {AttemptAnswer::State::Running, {}};
  return {AttemptAnswer::State::Finished, Entry.Answer.value_or("")};
}

std::size_t forgetAttempts(AttemptTable &Table, TimePoint Now,
                           Duration Retention) {
  std::size_t Forgotten = 0;
  for (auto Entry = Table.Entries.begin(); Entry != Table.Entries.end();) {
    const AttemptPhase Phase = Entry->second.Phase;
    const bool Settled =
        Phase == AttemptPhase::Finished || Phase == AttemptPhase::Void;
    if (!Settled || Now - Entry->second.Changed < Retention) {
      ++Entry;
      continue;
    }
    Entry = Table.Entries.erase(Entry);
    ++Forgotten;
  }
  return Forgotten;
}

} // namespace tamarack
