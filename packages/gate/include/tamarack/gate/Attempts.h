/// Records which attempts were sent to the endpoint, so that no attempt is
/// executed twice and "never sent" is reported only if it remains true.
///
/// The process beside an endpoint is the only one that sends requests to it. It
/// admits an attempt, marks it as sent before the first byte is written, and
/// answers later queries from this table:
///
///   AttemptTable Table{Self};
///   if (auto Admitted = admitAttempt(Table, Id, Target, Now); !Admitted)
///     return Admitted;
///   ...
///   if (markSent(Table, Id, Now))
///     Engine.send(Request);
///   ...
///   AttemptQueryResult Result = queryAttempt(Table, Id, Target, Now);
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

/// Identifies one attempt to execute one call of a program.
struct AttemptId {
  ProgramId Program;
  CallId Call;
  std::uint32_t Attempt = 0;

  auto tied() const { return std::tie(Program, Call, Attempt); }
};

std::ostream &operator<<(std::ostream &Out, const AttemptId &Id);

enum class AttemptPhase {
  /// Admitted; nothing has been sent to the endpoint.
  Queued,
  /// The first byte may have been sent.
  Sent,
  /// The endpoint's answer or failure is recorded.
  Finished,
  /// Nothing was sent, and nothing ever will be.
  Void,
};

std::ostream &operator<<(std::ostream &Out, AttemptPhase Phase);

/// The state of one attempt.
struct AttemptEntry {
  AttemptPhase Phase = AttemptPhase::Queued;
  /// The endpoint's answer or failure, once finished.
  std::optional<std::string> Answer;
  /// When the phase last changed.
  TimePoint ChangedAt;
  /// The target that the execute order names.
  Incarnation Target = 0;

  auto tied() const { return std::tie(Phase, Answer, ChangedAt, Target); }
};

/// The attempts that were admitted or queried since this process started.
///
/// Report Self to every sender in replies and heartbeats. A sender stores the
/// last value it received in the intent record, before it sends the execute
/// order, and names it as the target of the order and of queries. Orders for a
/// target older than OldestAccepted are always refused. This makes it safe to
/// prune the table: a delayed order or a sender that was paused, for however
/// long, cannot cause a pruned attempt to be executed.
struct AttemptTable {
  /// The newest target; pruneAttempts increases it. A restarted process begins
  /// with an empty table and a value greater than any its predecessor reported,
  /// for example one derived from calendar time.
  Incarnation Self = 0;
  std::map<AttemptId, AttemptEntry> Entries;
  /// The oldest target that is still accepted. Zero until Self is first
  /// increased; only Self is accepted then.
  Incarnation OldestAccepted = 0;
  /// Whether a sender has used the present value of Self. It is increased only
  /// then, so that senders can keep up.
  bool SelfInUse = false;
  /// When Self was last increased.
  TimePoint SelfAdvancedAt;

  auto tied() const {
    return std::tie(Self, Entries, OldestAccepted, SelfInUse, SelfAdvancedAt);
  }
};

/// Adds \p Id to the table as queued.
///
/// Returns an error with proof that the attempt was not run if \p Target is not
/// accepted, or if the attempt is void; the proof relies on senders sending an
/// order at most once. Returns Fenced without proof if the attempt was already
/// admitted; the sender queries its state instead.
Expected<void> admitAttempt(AttemptTable &Table, const AttemptId &Id,
                            Incarnation Target, TimePoint Now);

/// Marks \p Id as sent. It must succeed before the first byte is sent. Only a
/// queued attempt can be marked, so none is sent twice or after it became void.
Expected<void> markSent(AttemptTable &Table, const AttemptId &Id,
                        TimePoint Now);

/// Records the endpoint's answer to a sent attempt. Does nothing if \p Id is
/// not in the phase Sent.
void markFinished(AttemptTable &Table, const AttemptId &Id, std::string Answer,
                  TimePoint Now);

/// Makes an admitted attempt void before it is sent, for example after
/// admission control has refused it. Returns an error if the attempt was sent,
/// or if this process did not admit it, since a predecessor may have sent it.
Expected<void> voidAttempt(AttemptTable &Table, const AttemptId &Id,
                           TimePoint Now);

/// The result of queryAttempt.
struct AttemptQueryResult {
  enum class State {
    /// Nothing was sent and nothing will be: the call is proved not to have
    /// run.
    NeverSent,
    Running,
    Finished,
    /// The query names the target of another incarnation, one that does not
    /// match the entry, or one so old that the entry may have been pruned.
    Unknown,
  };

  State What = State::Unknown;
  /// The endpoint's answer; empty unless the state is Finished.
  std::string Answer;

  auto tied() const { return std::tie(What, Answer); }
};

std::ostream &operator<<(std::ostream &Out, AttemptQueryResult::State What);

/// Returns the state of \p Id. A query for an attempt that was not sent makes
/// it void permanently, so that an order still in flight cannot invalidate the
/// result.
AttemptQueryResult queryAttempt(AttemptTable &Table, const AttemptId &Id,
                                Incarnation Target, TimePoint Now);

/// Removes finished and void entries whose last change is at least \p Retention
/// ago and whose target is no longer accepted. Returns the number of removed
/// entries. Also increases Self, at most once per \p Retention and only if a
/// sender has used its present value.
///
/// A void entry may be removed only if no order for the attempt can still be
/// admitted. A time limit alone does not ensure this, since a sender can be
/// paused between its intent record and its order for longer than any
/// retention. Refusing old targets does. \p Retention therefore only determines
/// how long results can be queried and how long an order may be in flight
/// without being refused.
std::size_t pruneAttempts(AttemptTable &Table, TimePoint Now,
                          Duration Retention);

} // namespace tamarack

#endif // TAMARACK_GATE_ATTEMPTS_H
