/// What was sent to the endpoint, so that no attempt is executed twice and
/// "never sent" is only said when it stays true.
///
/// The process beside an endpoint is its only sender. It admits an attempt,
/// marks it as sent before the first byte leaves, and answers later questions
/// from this table:
///
///   AttemptTable Table{Self};
///   if (auto Admitted = admitAttempt(Table, Id, Target, Now); !Admitted)
///     return Admitted;
///   ...
///   if (markSent(Table, Id, Now))
///     Engine.send(Request);
///   ...
///   AttemptQueryResult Answer = queryAttempt(Table, Id, Target, Now);
#ifndef TAMARACK_GATE_ATTEMPTS_H
#define TAMARACK_GATE_ATTEMPTS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tamarack {

/// One try to execute one call of a program.
struct AttemptId {
  ProgramId Program;
  CallId Call;
  std::uint32_t Attempt = 0;

  auto tied() const { return std::tie(Program, Call, Attempt); }
};

std::ostream &operator<<(std::ostream &Out, const AttemptId &Id);

enum class AttemptPhase {
  /// Admitted; nothing has left for the endpoint.
  Queued,
  /// The first byte may have left.
  Sent,
  /// The endpoint's answer, or its failure, is known.
  Finished,
  /// Nothing left, and nothing ever will.
  Void,
};

std::ostream &operator<<(std::ostream &Out, AttemptPhase Phase);

struct AttemptEntry {
  AttemptPhase Phase = AttemptPhase::Queued;
  std::optional<std::string> Answer;
  /// When the phase was last changed.
  TimePoint ChangedAt;
  /// The target its order names.
  Incarnation Target = 0;

  auto tied() const { return std::tie(Phase, Answer, ChangedAt, Target); }
};

/// The attempts this process has heard of since it started.
///
/// Tell every sender Self in replies and heartbeats. A sender notes the value
/// it last heard in the intent, before it writes the order, and names it as
/// the target in the order and in questions. Orders for a target older than
/// Oldest are refused for ever, which is what makes forgetting safe: neither
/// an order that was delayed nor a sender that was paused, for however long,
/// can bring back an attempt that was forgotten.
struct AttemptTable {
  /// The newest target; grows in pruneAttempts. A restarted process starts
  /// with an empty table and a value above all that its predecessor told, as
  /// one taken from calendar time is.
  Incarnation Self = 0;
  std::map<AttemptId, AttemptEntry> Entries;
  /// The oldest target that is still accepted. Zero until targets were first
  /// moved on; only Self is accepted then.
  Incarnation OldestAccepted = 0;
  /// Whether a sender has used Self, so that senders are known to follow.
  bool SelfInUse = false;
  TimePoint SelfAdvancedAt;

  auto tied() const {
    return std::tie(Self, Entries, OldestAccepted, SelfInUse, SelfAdvancedAt);
  }
};

/// Enters \p Id as queued.
///
/// Refused as proved not run when \p Target is another incarnation or too old,
/// or the attempt is void; the proof relies on the sender writing an order at
/// most once. Refused as Fenced, without proof, when the attempt is known
/// already: the sender asks for its state instead.
Expected<void> admitAttempt(AttemptTable &Table, const AttemptId &Id,
                            Incarnation Target, TimePoint Now);

/// Must succeed before the first byte of \p Id leaves. Only a queued attempt
/// can be sent, hence none is sent twice or after it became void.
Expected<void> markSent(AttemptTable &Table, const AttemptId &Id,
                        TimePoint Now);

/// Keeps the endpoint's answer to a sent attempt. An answer that belongs to no
/// sent attempt is dropped.
void markFinished(AttemptTable &Table, const AttemptId &Id, std::string Answer,
                  TimePoint Now);

/// Makes an admitted attempt that was not sent void, as after a refusal by
/// admission. Refused once the attempt was sent, and for one never admitted
/// here, which a predecessor may have sent.
Expected<void> voidAttempt(AttemptTable &Table, const AttemptId &Id,
                           TimePoint Now);

struct AttemptQueryResult {
  enum class State {
    /// Nothing left and nothing will: the call may be said not to have run.
    NeverSent,
    Running,
    Finished,
    /// Another incarnation was asked for, or a target so old that the attempt
    /// may have been forgotten; this process cannot know.
    Unknown,
  };

  State What = State::Unknown;
  /// The endpoint's answer when finished.
  std::string Answer;

  auto tied() const { return std::tie(What, Answer); }
};

std::ostream &operator<<(std::ostream &Out, AttemptQueryResult::State What);

/// Tells what became of \p Id. Asking after an attempt that was not sent makes
/// it void for good, so that an order still under way cannot make the answer
/// untrue.
AttemptQueryResult queryAttempt(AttemptTable &Table, const AttemptId &Id,
                                Incarnation Target, TimePoint Now);

/// Drops finished and void entries whose last change is at least \p Retention
/// ago and whose target is no longer accepted; returns how many. Moves the
/// accepted targets on, at most once per \p Retention, when senders have been
/// seen to use the newest one.
///
/// A void may be forgotten only when no order it stands against can still be
/// admitted. No time alone ensures that, since a sender can be paused between
/// its intent and its order for longer than any retention; the refusal of old
/// targets does. \p Retention then only decides for how long answers can be
/// asked for, and how long an order may be in flight without being refused.
std::size_t pruneAttempts(AttemptTable &Table, TimePoint Now,
                          Duration Retention);

} // namespace tamarack

#endif // TAMARACK_GATE_ATTEMPTS_H
