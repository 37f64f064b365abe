#include "ProgramRules.h"
#include "tamarack/ledger/Program.h"

namespace tamarack {

namespace {

CallDecision refused(ErrorKind Kind, std::string Message) {
  return CallRefusal{
      Error{Kind, std::move(Message), NotRun::Proved, std::nullopt},
      std::nullopt};
}

CallDecision ended(ErrorKind Kind, std::string Message,
                   const ProgramId &Program, EndReason Reason) {
  return CallRefusal{
      Error{Kind, std::move(Message), NotRun::Proved, std::nullopt},
      Record{Program, ProgramEnd{Reason}}};
}

/// The call that \p Request repeats, by its key or by its sequence.
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

bool exceeds(const Limits &Bounds, const ProgramStart &Start,
             std::int64_t NowMs) {
  return Bounds.MaxWallTime > Duration(0) &&
         std::chrono::milliseconds(NowMs - Start.StartedMs) >=
             Bounds.MaxWallTime;
}

/// The refusal of a further attempt for a limit of the program, of its root or
/// of their budget.
std::optional<CallDecision> refuseByLimits(const ProgramTree &Now,
                                           const ProgramState &State,
                                           const CallRequest &Request,
                                           std::int64_t NowMs) {
  const Limits &Bounds = State.Start.Bounds;
  if (Bounds.MaxTurns != 0 && State.Turns >= Bounds.MaxTurns)
    return ended(ErrorKind::LimitReached,
                 "the program reached its limit of " +
                     std::to_string(Bounds.MaxTurns) + " turns",
                 Request.Program, EndReason::TurnLimit);
  if (exceeds(Bounds, State.Start, NowMs))
    return ended(ErrorKind::LimitReached,
                 "the program reached its limit of wall time", Request.Program,
                 EndReason::TimeLimit);
  const ProgramStart &Root = Now.Programs.at(Now.Root).Start;
  if (exceeds(Root.Bounds, Root, NowMs))
    return ended(ErrorKind::LimitReached,
                 "the root program reached its limit of wall time", Now.Root,
                 EndReason::TimeLimit);
  return std::nullopt;
}

std::optional<CallDecision> refuseByBudget(const ProgramTree &Now,
                                           TokenCount WorstCase) {
  if (WorstCase <= Now.Budget - Now.Settled - Now.Reserved)
    return std::nullopt;
  std::string Message = "the call may take " + std::to_string(WorstCase) +
                        " tokens; of the budget of " +
                        std::to_string(Now.Budget) + ", " +
                        std::to_string(Now.Settled) + " are spent and " +
                        std::to_string(Now.Reserved) + " reserved";
  if (Now.Settled >= Now.Budget)
    return ended(ErrorKind::BudgetExceeded, std::move(Message), Now.Root,
                 EndReason::BudgetSpent);
  return refused(ErrorKind::BudgetExceeded, std::move(Message));
}

/// Starts an attempt when end, limits and budget allow it.
CallDecision startAttempt(const ProgramTree &Now, const ProgramState &State,
                          const CallRequest &Request, std::int64_t NowMs,
                          const StartCall &Start) {
  if (internal::isEndedOrUnder(Now, Request.Program))
    return refused(ErrorKind::ProgramEnded, "the program has ended");
  if (State.Running)
    return WaitForTurn{State.NextSequence};
  if (auto Refused = refuseByLimits(Now, State, Request, NowMs))
    return *Refused;
  if (auto Refused = refuseByBudget(Now, Request.WorstCase))
    return *Refused;
  return Start;
}

/// Whether the retry of a call is also allowed by what \p Request declares.
bool isRetry(const ProgramState &State, const CallState &Call,
             const CallRequest &Request) {
  if (!internal::isRetriable(State, Call))
    return false;
  return Request.Repeatable || Call.Done->How == Outcome::NotRun;
}

CallDecision decideRepeated(const ProgramTree &Now, const ProgramState &State,
                            const CallState &Call, const CallRequest &Request,
                            std::int64_t NowMs) {
  if (Call.Sent.Digest != Request.Digest)
    return refused(ErrorKind::KeyReused,
                   "another request has taken this key or sequence");
  if (!Call.Done)
    return JoinCall{Call.Sent.Call};
  if (!isRetry(State, Call, Request))
    return StoredAnswer{answerFor(Call)};
  CallDecision Decision =
      startAttempt(Now, State, Request, NowMs,
                   StartCall{false, Call.Sent.Sequence, Call.Sent.Call,
                             Call.Sent.Attempt + 1});
  // A refused retry does not undo what an earlier attempt may have done.
  if (auto *Refused = std::get_if<CallRefusal>(&Decision);
      Refused && Call.MayHaveRun)
    Refused->Why.Proof = NotRun::Unproved;
  return Decision;
}

CallDecision decideNew(const ProgramTree &Now, const ProgramState &State,
                       const CallRequest &Request, std::int64_t NowMs) {
  const std::uint64_t Sequence = Request.Sequence.value_or(State.NextSequence);
  if (Sequence < State.NextSequence)
    return refused(ErrorKind::WrongSequence,
                   "the next call has sequence " +
                       std::to_string(State.NextSequence));
  if (Sequence > State.NextSequence &&
      !internal::isEndedOrUnder(Now, Request.Program))
    return WaitForTurn{State.NextSequence};
  return startAttempt(Now, State, Request, NowMs,
                      StartCall{false, Sequence, Request.Call, 1});
}

CallDecision decideBegin(const ProgramTree &Now, const CallRequest &Request,
                         std::int64_t NowMs) {
  const bool IsRoot = rootOf(Request.Program) == Request.Program;
  const bool BeginsHere = Request.MayBegin && Request.Sequence.value_or(1) == 1;
  if (!BeginsHere || Now.Programs.empty() != IsRoot)
    return refused(ErrorKind::UnknownProgram,
                   "no program " + Request.Program.text() + " has begun");
  const Record First{Request.Program, Request.IfNew};
  Expected<ProgramTree> After = apply(Now, First);
  if (!After)
    return refused(ErrorKind::ProgramEnded, After.error().Message);
  CallDecision Decision =
      decideNew(*After, After->Programs.at(Request.Program), Request, NowMs);
  if (auto *Start = std::get_if<StartCall>(&Decision))
    Start->BeginFirst = true;
  // A program that never began has no end to record.
  if (auto *Refused = std::get_if<CallRefusal>(&Decision);
      Refused && Refused->EndRecord &&
      Refused->EndRecord->Program == Request.Program)
    Refused->EndRecord.reset();
  return Decision;
}

} // namespace

CallDecision decideCall(const ProgramTree &Now, const CallRequest &Request,
                        std::int64_t NowMs) {
  if (!internal::isMessages(Request.NewMessages))
    return refused(ErrorKind::MalformedRequest,
                   "the new messages are no JSON array");
  const auto Found = Now.Programs.find(Request.Program);
  if (Found == Now.Programs.end())
    return decideBegin(Now, Request, NowMs);
  const ProgramState &State = Found->second;
  if (const CallState *Call = findRepeated(State, Request))
    return decideRepeated(Now, State, *Call, Request, NowMs);
  return decideNew(Now, State, Request, NowMs);
}

} // namespace tamarack
