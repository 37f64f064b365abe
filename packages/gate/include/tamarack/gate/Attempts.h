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
///   AttemptAnswer Answer = askAttempt(Table, Id, Target, Now);
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
  TimePoint Changed;

  auto tied() const { return std::tie(Phase, Answer, Changed); }
};

/// The attempts this process has heard of since it started.
struct AttemptTable {
  /// The incarnation of this process. A restarted process starts with a new
  /// one and an empty table.
  Incarnation Self = 0;
  std::map<AttemptId, AttemptEntry> Entries;

  auto tied() const { return std::tie(Self, Entries); }
};

/// Enters \p Id as queued.
///
/// Refused as proved not run when \p Target is not this incarnation or the
/// attempt is void. Refused as Fenced, without proof, when the attempt is
/// known already: the sender asks for its state instead.
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

/// Makes an attempt that was not sent void, as after a refusal by admission.
/// Refused once the attempt was sent.
Expected<void> voidAttempt(AttemptTable &Table, const AttemptId &Id,
                           TimePoint Now);

struct AttemptAnswer {
  enum class State {
    /// Nothing left and nothing will: the call may be said not to have run.
    NeverSent,
    Running,
    Finished,
    /// Another incarnation was asked for; this one cannot know.
    Unknown,
  };

  State What = State::Unknown;
  /// The endpoint's answer when finished.
  std::string Answer;

  auto tied() const { return std::tie(What, Answer); }
};

std::ostream &operator<<(std::ostream &Out, AttemptAnswer::State What);

/// Tells what became of \p Id. Asking after an attempt that was not sent makes
/// it void for good, so that an order still under way cannot make the answer
/// untrue.
AttemptAnswer askAttempt(AttemptTable &Table, const AttemptId &Id,
                         Incarnation Target, TimePoint Now);

/// Drops finished and void entries whose last change is at least \p Retention
/// ago, and returns how many.
///
/// A forgotten attempt would be admitted like a new one. \p Retention must
/// therefore exceed the longest time for which an order can be in flight:
/// were a void entry dropped earlier, the order it stands against could still
/// arrive and be sent after "never sent" was answered. The time in flight is
/// bounded because an order is valid only on the connection it was written to,
/// and a connection that stays silent for its heartbeat limit is closed. A
/// sender that was paused for longer finds its connection closed and asks
/// after its attempts instead of resending them.
std::size_t forgetAttempts(AttemptTable &Table, TimePoint Now,
                           Duration Retention);

} // namespace tamarack

#endif // TAMARACK_GATE_ATTEMPTS_H
