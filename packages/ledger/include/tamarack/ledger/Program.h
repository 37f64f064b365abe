/// The state of a root program and its sub-agents, built from their log, and
/// the decision on each call that asks to run in it.
///
///   Family Now;
///   for (const Record &Next : Log)
///     if (Expected<void> Applied = applyRecord(Now, Next); !Applied)
///       return Applied;
///   CallDecision Decision = decideCall(Now, Request, NowMs);
///
/// Everything here is pure: the caller appends the records that a decision
/// asks for, and applies them once every copy has accepted them.
#ifndef TAMARACK_LEDGER_PROGRAM_H
#define TAMARACK_LEDGER_PROGRAM_H

#include "tamarack/ledger/Records.h"

#include <map>
#include <optional>

namespace tamarack {

/// The last attempt of a call.
struct CallState {
  Intent Sent;
  std::optional<AttemptResult> Done;
  /// Whether an attempt has ended other than proved not to have run.
  bool MayHaveRun = false;

  auto tied() const { return std::tie(Sent, Done, MayHaveRun); }
};

/// The result of an answered call as its caller may be told: NotRun only if no
/// attempt of the call has run. \p Call must have a result.
AttemptResult answerFor(const CallState &Call);

struct ProgramState {
  ProgramStart Start;
  /// JSON texts of messages: for every completed call, in order, the elements
  /// of its NewMessages and then its AnswerMessage.
  std::vector<std::string> History;
  std::uint64_t NextSequence = 1;
  std::optional<CallId> Running;
  std::map<CallId, CallState> Calls;
  std::map<std::string, CallId> CallByKey;
  std::map<std::uint64_t, CallId> CallBySequence;
  /// Attempts begun, without those proved not to have run.
  std::uint32_t Turns = 0;
  std::optional<EndReason> End;

  auto tied() const {
    return std::tie(Start, History, NextSequence, Running, Calls, CallByKey,
                    CallBySequence, Turns, End);
  }
};

/// A root program with its sub-agents. They share one budget, of which
/// Settled + Reserved never exceeds Budget.
struct ProgramTree {
  ProgramId Root;
  TokenCount Budget = 0;
  TokenCount Reserved = 0;
  TokenCount Settled = 0;
  std::map<ProgramId, ProgramState> Programs;
  /// The number of records applied, which is the index of the next one.
  std::uint64_t Length = 0;

  auto tied() const {
    return std::tie(Root, Budget, Reserved, Settled, Programs, Length);
  }
};

/// Adds a record, or refuses one that breaks an invariant and leaves \p Now
/// as it was.
Expected<void> applyRecord(ProgramTree &Now, const Record &Next);
/// The same on a value; move the family in to avoid a copy.
Expected<ProgramTree> apply(ProgramTree Before, const Record &Next);
/// The family of a whole log.
Expected<ProgramTree> replay(const ProgramId &Root,
                             const std::vector<Record> &Log);

/// What \p Done takes from the budget of \p Sent: nothing when it did not run,
/// the whole reservation when the outcome is unknown, and never more than it.
TokenCount chargeOf(const Intent &Sent, const AttemptResult &Done);

struct CallRequest {
  ProgramId Program;
  /// The caller's number for the call, from 1; absent means the next one.
  std::optional<std::uint64_t> Sequence;
  std::string IdempotencyKey;
  std::string Digest;
  bool Repeatable = false;
  TokenCount WorstCase = 0;
  std::string NewMessages;
  /// Whether an unknown program may begin with this call.
  bool MayBegin = false;
  ProgramStart IfNew;
  /// A fresh id, taken when the call is new.
  CallId Call;

  auto tied() const {
    return std::tie(Program, Sequence, IdempotencyKey, Digest, Repeatable,
                    WorstCase, NewMessages, MayBegin, IfNew, Call);
  }
};

/// Append Begun if BeginFirst, then an Intent with these numbers. A retried
/// call keeps its id and its sequence and has a higher attempt.
struct StartCall {
  bool BeginFirst = false;
  std::uint64_t Sequence = 0;
  CallId Call;
  std::uint32_t Attempt = 1;

  auto tied() const { return std::tie(BeginFirst, Sequence, Call, Attempt); }
};

/// The same request is already running: wait for its answer.
struct JoinCall {
  CallId Call;

  auto tied() const { return std::tie(Call); }
};

/// The same request has been answered.
struct StoredAnswer {
  AttemptResult Answer;

  auto tied() const { return std::tie(Answer); }
};

/// Another call comes first; ask again when the program changes, and refuse as
/// not run when that takes too long.
struct WaitForTurn {
  std::uint64_t Next = 0;

  auto tied() const { return std::tie(Next); }
};

struct CallRefusal {
  Error Why;
  /// A record to append before the refusal is answered: the program's end when
  /// a limit is reached.
  std::optional<Record> EndRecord;

  auto tied() const { return std::tie(Why, EndRecord); }
};

using CallDecision =
    std::variant<StartCall, JoinCall, StoredAnswer, WaitForTurn, CallRefusal>;

/// What to do with a call. \p NowMs is calendar time, for the wall time limit.
CallDecision decideCall(const ProgramTree &Now, const CallRequest &Request,
                        std::int64_t NowMs);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallRequest, Program, Sequence,
                                   IdempotencyKey, Digest, Repeatable,
                                   WorstCase, NewMessages, MayBegin, IfNew,
                                   Call)

} // namespace tamarack

#endif // TAMARACK_LEDGER_PROGRAM_H
