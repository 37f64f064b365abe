/// The state of a root program and its sub-agents, built from their log, and
/// the decision on each call of these programs.
///
///   ProgramTree Tree;
///   for (const Record &Next : Log)
///     if (Expected<void> Applied = applyRecord(Tree, Next); !Applied)
///       return Applied;
///   CallDecision Decision = decideCall(Tree, Request, NowMs);
///
/// These functions do no input or output. The caller appends the records that
/// a decision requires and applies them once every copy has accepted them.
#ifndef TAMARACK_LEDGER_PROGRAM_H
#define TAMARACK_LEDGER_PROGRAM_H

#include "tamarack/ledger/Records.h"

#include <map>
#include <optional>

namespace tamarack {

/// The last attempt of a call and whether the call may have run.
struct CallState {
  /// The intent of the last attempt.
  Intent Sent;
  /// The result of the last attempt; nothing while it runs.
  std::optional<AttemptResult> Done;
  /// Whether any attempt ended without proof that it did not run.
  bool MayHaveRun = false;

  auto tied() const { return std::tie(Sent, Done, MayHaveRun); }
};

/// The result to report to the caller. A NotRun result is reported as Failed
/// if an earlier attempt of the call may have run. \p Call must have a result.
AttemptResult answerFor(const CallState &Call);

/// The state of one program.
struct ProgramState {
  ProgramStart Start;
  /// JSON texts of messages: for every completed call, in order, the elements
  /// of its NewMessages followed by its AnswerMessage.
  std::vector<std::string> History;
  std::uint64_t NextSequence = 1;
  /// The call whose last attempt has no result yet.
  std::optional<CallId> Running;
  std::map<CallId, CallState> Calls;
  std::map<std::string, CallId> CallByKey;
  std::map<std::uint64_t, CallId> CallBySequence;
  /// The number of attempts, except those proved not to have run.
  std::uint32_t Turns = 0;
  /// The reason of the end; nothing while the program is active.
  std::optional<EndReason> End;

  auto tied() const {
    return std::tie(Start, History, NextSequence, Running, Calls, CallByKey,
                    CallBySequence, Turns, End);
  }
};

/// A root program with its sub-agents. They share one budget; Settled plus
/// Reserved never exceeds Budget.
struct ProgramTree {
  ProgramId Root;
  TokenCount Budget = 0;
  /// Tokens reserved for running attempts.
  TokenCount Reserved = 0;
  /// Tokens charged for finished attempts.
  TokenCount Settled = 0;
  std::map<ProgramId, ProgramState> Programs;
  /// The number of records applied, and so the index of the next record.
  std::uint64_t Length = 0;

  auto tied() const {
    return std::tie(Root, Budget, Reserved, Settled, Programs, Length);
  }
};

/// Applies a record to \p Tree. WrongSequence when the record breaks an
/// invariant; \p Tree is then unchanged.
Expected<void> applyRecord(ProgramTree &Tree, const Record &Next);
/// Like applyRecord(), but takes the tree by value and returns the new one.
/// Move the tree in to avoid a copy.
Expected<ProgramTree> apply(ProgramTree Tree, const Record &Next);
/// Builds the tree of \p Root from its whole log, with the errors of
/// applyRecord().
Expected<ProgramTree> replay(const ProgramId &Root,
                             const std::vector<Record> &Log);

/// The tokens to charge for an attempt: none if it did not run, the whole
/// reservation if the outcome is unknown, and otherwise the tokens used, up to
/// the reservation.
TokenCount chargeOf(const Intent &Sent, const AttemptResult &Done);

/// A call to decide on.
struct CallRequest {
  ProgramId Program;
  /// The caller's sequence number for the call, from 1. If absent, the call
  /// takes the next number.
  std::optional<std::uint64_t> Sequence;
  std::string IdempotencyKey;
  /// A hash of the request, to recognize a key or sequence that is reused for
  /// a different request.
  std::string Digest;
  /// Whether the call may run more than once.
  bool Repeatable = false;
  /// The most tokens that the call may use.
  TokenCount WorstCase = 0;
  /// The messages that the call adds to the history, as the text of a JSON
  /// array.
  std::string NewMessages;
  /// Whether the call may start a program that does not exist yet.
  bool MayBegin = false;
  /// The first record of the program if the call starts it.
  ProgramStart IfNew;
  /// A unique id, used if the call is new.
  CallId Call;

  auto tied() const {
    return std::tie(Program, Sequence, IdempotencyKey, Digest, Repeatable,
                    WorstCase, NewMessages, MayBegin, IfNew, Call);
  }
};

/// Start an attempt: append a ProgramStart if BeginFirst, then an Intent with
/// these numbers. A retried call keeps its id and sequence and gets the next
/// attempt number.
struct StartCall {
  bool BeginFirst = false;
  std::uint64_t Sequence = 0;
  CallId Call;
  std::uint32_t Attempt = 1;

  auto tied() const { return std::tie(BeginFirst, Sequence, Call, Attempt); }
};

/// The same request is already running; wait for its answer.
struct JoinCall {
  CallId Call;

  auto tied() const { return std::tie(Call); }
};

/// The same request has been answered; repeat the answer.
struct StoredAnswer {
  AttemptResult Answer;

  auto tied() const { return std::tie(Answer); }
};

/// An earlier call of the program must end first. Decide again when the
/// program changes, and refuse the call as not run when its deadline passes.
struct WaitForTurn {
  /// The sequence of the call that may run next.
  std::uint64_t Next = 0;

  auto tied() const { return std::tie(Next); }
};

/// Refuse the call.
struct CallRefusal {
  Error Cause;
  /// A record to append before the refusal is answered: the end of a program
  /// that reached a limit.
  std::optional<Record> EndRecord;

  auto tied() const { return std::tie(Cause, EndRecord); }
};

using CallDecision =
    std::variant<StartCall, JoinCall, StoredAnswer, WaitForTurn, CallRefusal>;

/// Decides what to do with a call. \p NowMs is the calendar time in
/// milliseconds since the Unix epoch, for the wall time limit.
CallDecision decideCall(const ProgramTree &Tree, const CallRequest &Request,
                        std::int64_t NowMs);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallRequest, Program, Sequence,
                                   IdempotencyKey, Digest, Repeatable,
                                   WorstCase, NewMessages, MayBegin, IfNew,
                                   Call)

} // namespace tamarack

#endif // TAMARACK_LEDGER_PROGRAM_H
