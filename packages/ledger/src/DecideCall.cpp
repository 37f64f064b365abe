#include "ProgramRules.h"
#include "tamarack/ledger/Program.h"

namespace tamarack {

namespace {

CallDecision refuseCall(ErrorKind Kind, std::string Message) {
  return CallRefusal{
      Error{Kind, std::move(Message), NotRun::Proved, std::nullopt},
      std::nullopt};
}

CallDecision refuseAndEnd(ErrorKind Kind, std::string Message,
                          const ProgramId &Program, EndReason Reason) {
  return CallRefusal{
      Error{Kind, std::move(Message), NotRun::Proved, std::nullopt},
      Record{Program, ProgramEnd{Reason}}};
}

/// The call that \p Request repeats, found by its key or its sequence; null
/// for a new call.
const CallState *findRepeated(const ProgramState &State,
                              const CallRequest &Request) {
  if (!Request.IdempotencyKey.empty()) {
    const auto ByKey = State.CallByKey.find(Request.IdempotencyKey);
    if (ByKey != State.CallByKey.end())
      return &State.Calls.at(ByKey->second);
  }
  if (!Request.Sequence)
    return nullptr;
  const auto BySequence = State.CallBySequence.find(*Request.Sequence);
  return BySequence == State.CallBySequence.end()
             ? nullptr
             : &State.Calls.at(BySequence->second);
}

bool isWallTimeExceeded(const Limits &Bounds, const ProgramStart &Start,
                        std::int64_t NowMs) {
  return Bounds.MaxWallTime > Duration(0) &&
         std::chrono::milliseconds(NowMs - Start.StartedMs) >=
             Bounds.MaxWallTime;
}

/// Refuses a further attempt if the program or its root reached a limit.
std::optional<CallDecision> refuseByLimits(const ProgramTree &Tree,
                                           const ProgramState &State,
                                           const CallRequest &Request,
                                           std::int64_t NowMs) {
  const Limits &Bounds = State.Start.Bounds;
  if (Bounds.MaxTurns != 0 && State.Turns >= Bounds.MaxTurns)
    return refuseAndEnd(ErrorKind::LimitReached,
                        "the program reached its limit of " +
                            std::to_string(Bounds.MaxTurns) + " turns",
                        Request.Program, EndReason::TurnLimit);
  if (isWallTimeExceeded(Bounds, State.Start, NowMs))
    return refuseAndEnd(ErrorKind::LimitReached,
                        "the program reached its wall time limit",
                        Request.Program, EndReason::TimeLimit);
  const ProgramStart &Root = Tree.Programs.at(Tree.Root).Start;
  if (isWallTimeExceeded(Root.Bounds, Root, NowMs))
    return refuseAndEnd(ErrorKind::LimitReached,
                        "the root program reached its wall time limit",
                        Tree.Root, EndReason::TimeLimit);
  return std::nullopt;
}

/// Refuses a call that the remaining budget does not cover.
std::optional<CallDecision> refuseByBudget(const ProgramTree &Tree,
                                           TokenCount WorstCase) {
  if (WorstCase <= Tree.Budget - Tree.Settled - Tree.Reserved)
    return std::nullopt;
  std::string Message = "the call may use " + std::to_string(WorstCase) +
                        " tokens, but of the budget of " +
                        std::to_string(Tree.Budget) + " tokens " +
                        std::to_string(Tree.Settled) + " are spent and " +
                        std::to_string(Tree.Reserved) + " are reserved";
  if (Tree.Settled >= Tree.Budget)
    return refuseAndEnd(ErrorKind::BudgetExceeded, std::move(Message),
                        Tree.Root, EndReason::BudgetSpent);
  return refuseCall(ErrorKind::BudgetExceeded, std::move(Message));
}

/// Starts an attempt unless the program has ended, another call is running, or
/// a limit or the budget forbids it.
CallDecision startAttempt(const ProgramTree &Tree, const ProgramState &State,
                          const CallRequest &Request, std::int64_t NowMs,
                          const StartCall &Start) {
  if (internal::isEndedOrHasEndedAncestor(Tree, Request.Program))
    return refuseCall(ErrorKind::ProgramEnded,
                      "program " + Request.Program.text() +
                          " or one of its ancestors has ended");
  if (State.Running)
    return WaitForTurn{State.NextSequence};
  if (auto Refused = refuseByLimits(Tree, State, Request, NowMs))
    return *Refused;
  if (auto Refused = refuseByBudget(Tree, Request.WorstCase))
    return *Refused;
  return Start;
}

/// Whether \p Request may retry \p Call. It must itself declare the call
/// repeatable, unless the last attempt did not run.
bool mayRetryCall(const ProgramState &State, const CallState &Call,
                  const CallRequest &Request) {
  if (!internal::isRetriable(State, Call))
    return false;
  return Request.Repeatable || Call.Done->How == Outcome::NotRun;
}

CallDecision decideRepeated(const ProgramTree &Tree, const ProgramState &State,
                            const CallState &Call, const CallRequest &Request,
                            std::int64_t NowMs) {
  if (Call.Sent.Digest != Request.Digest)
    return refuseCall(ErrorKind::KeyReused,
                      "another request has taken this key or sequence");
  if (!Call.Done)
    return JoinCall{Call.Sent.Call};
  if (!mayRetryCall(State, Call, Request))
    return StoredAnswer{answerFor(Call)};
  CallDecision Decision =
      startAttempt(Tree, State, Request, NowMs,
                   StartCall{false, Call.Sent.Sequence, Call.Sent.Call,
                             Call.Sent.Attempt + 1});
  // The refusal of a retry does not prove that earlier attempts did not run.
  if (auto *Refused = std::get_if<CallRefusal>(&Decision);
      Refused && Call.MayHaveRun)
    Refused->Cause.Proof = NotRun::Unproved;
  return Decision;
}

CallDecision decideNew(const ProgramTree &Tree, const ProgramState &State,
                       const CallRequest &Request, std::int64_t NowMs) {
  const std::uint64_t Sequence = Request.Sequence.value_or(State.NextSequence);
  if (Sequence < State.NextSequence)
    return refuseCall(ErrorKind::WrongSequence,
                      "sequence " + std::to_string(Sequence) +
                          " is too low: the next call has sequence " +
                          std::to_string(State.NextSequence));
  if (Sequence > State.NextSequence &&
      !internal::isEndedOrHasEndedAncestor(Tree, Request.Program))
    return WaitForTurn{State.NextSequence};
  return startAttempt(Tree, State, Request, NowMs,
                      StartCall{false, Sequence, Request.Call, 1});
}

CallDecision decideBegin(const ProgramTree &Tree, const CallRequest &Request,
                         std::int64_t NowMs) {
  const bool IsRoot = rootOf(Request.Program) == Request.Program;
  const bool BeginsHere = Request.MayBegin && Request.Sequence.value_or(1) == 1;
  if (!BeginsHere || Tree.Programs.empty() != IsRoot)
    return refuseCall(ErrorKind::UnknownProgram,
                      "program " + Request.Program.text() + " does not exist");
  const Record First{Request.Program, Request.IfNew};
  Expected<ProgramTree> After = apply(Tree, First);
  if (!After)
    return refuseCall(ErrorKind::ProgramEnded, After.error().Message);
  CallDecision Decision =
      decideNew(*After, After->Programs.at(Request.Program), Request, NowMs);
  if (auto *Start = std::get_if<StartCall>(&Decision))
    Start->BeginFirst = true;
  // The end of a program that was never started is not recorded.
  if (auto *Refused = std::get_if<CallRefusal>(&Decision);
      Refused && Refused->EndRecord &&
      Refused->EndRecord->Program == Request.Program)
    Refused->EndRecord.reset();
  return Decision;
}

} // namespace

CallDecision decideCall(const ProgramTree &Tree, const CallRequest &Request,
                        std::int64_t NowMs) {
  if (!internal::isMessageArray(Request.NewMessages))
    return refuseCall(ErrorKind::MalformedRequest,
                      "the new messages are not a JSON array");
  const auto Found = Tree.Programs.find(Request.Program);
  if (Found == Tree.Programs.end())
    return decideBegin(Tree, Request, NowMs);
  const ProgramState &State = Found->second;
  if (const CallState *Call = findRepeated(State, Request))
    return decideRepeated(Tree, State, *Call, Request, NowMs);
  return decideNew(Tree, State, Request, NowMs);
}

} // namespace tamarack
