#include "ProgramRules.h"
#include "tamarack/ledger/Program.h"

#include <algorithm>

namespace tamarack {

namespace {

tl::unexpected<Error> broken(const Record &Next, const std::string &Why) {
  std::string Message = "record of " + Next.Program.text() + " refused: " + Why;
  return refuse(ErrorKind::WrongSequence, std::move(Message));
}

bool isKnownCall(const ProgramTree &Now, const CallId &Call) {
  return std::any_of(
      Now.Programs.begin(), Now.Programs.end(),
      [&](const auto &Entry) { return Entry.second.Calls.count(Call) != 0; });
}

Expected<void> applyBegun(ProgramTree &Now, const Record &Next,
                          const ProgramStart &Body) {
  if (Now.Programs.count(Next.Program) != 0)
    return broken(Next, "it has begun already");
  const ProgramId Root = rootOf(Next.Program);
  const bool IsRoot = Next.Program == Root;
  if (Now.Programs.empty() != IsRoot)
    return broken(Next, "the root begins first");
  if (!IsRoot && Now.Root != Root)
    return broken(Next, "it belongs to another root");
  if (internal::isEndedOrUnder(Now, Next.Program))
    return broken(Next, "a program above it has ended");
  if (IsRoot) {
    Now.Root = Root;
    Now.Budget = Body.Budget;
  }
  Now.Programs[Next.Program].Start = Body;
  return {};
}

/// Why \p Body may not run again as a further attempt, or empty.
std::string whyNoRetry(const ProgramState &State, const CallState &Before,
                       const Intent &Body) {
  if (!Before.Done)
    return "the attempt before has no result";
  if (!internal::isRetriable(State, Before))
    return "the call keeps its result";
  if (Body.Attempt != Before.Sent.Attempt + 1)
    return "attempts count up by one";
  if (Body.Sequence != Before.Sent.Sequence ||
      Body.Digest != Before.Sent.Digest ||
      Body.IdempotencyKey != Before.Sent.IdempotencyKey)
    return "a retry differs from its call";
  return {};
}

/// Why \p Body may not be a new call, or empty.
std::string whyNoNewCall(const ProgramTree &Now, const ProgramState &State,
                         const Intent &Body) {
  if (isKnownCall(Now, Body.Call))
    return "the call id is taken";
  if (Body.Sequence != State.NextSequence)
    return "calls run in sequence";
  if (Body.Attempt != 1)
    return "the first attempt is number 1";
  if (!Body.IdempotencyKey.empty() &&
      State.CallByKey.count(Body.IdempotencyKey) != 0)
    return "the idempotency key is taken";
  return {};
}

std::string whyNoIntent(const ProgramTree &Now, const ProgramId &Program,
                        const ProgramState &State, const Intent &Body) {
  if (internal::isEndedOrUnder(Now, Program))
    return "the program has ended";
  if (State.Running)
    return "another call is running";
  const TokenCount Left = Now.Budget - Now.Settled - Now.Reserved;
  if (Body.Reserved > Left)
    return "the budget does not cover it";
  if (!internal::isMessages(Body.NewMessages))
    return "its new messages are no JSON array";
  const auto Before = State.Calls.find(Body.Call);
  return Before == State.Calls.end() ? whyNoNewCall(Now, State, Body)
                                     : whyNoRetry(State, Before->second, Body);
}

Expected<void> applyIntent(ProgramTree &Now, const Record &Next,
                           const Intent &Body) {
  const auto Found = Now.Programs.find(Next.Program);
  if (Found == Now.Programs.end())
    return broken(Next, "it has not begun");
  ProgramState &State = Found->second;
  if (std::string Why = whyNoIntent(Now, Next.Program, State, Body);
      !Why.empty())
    return broken(Next, Why);
  Now.Reserved += Body.Reserved;
  State.Running = Body.Call;
  CallState &Call = State.Calls[Body.Call];
  Call.Sent = Body;
  Call.Done.reset();
  State.CallBySequence[Body.Sequence] = Body.Call;
  if (!Body.IdempotencyKey.empty())
    State.CallByKey[Body.IdempotencyKey] = Body.Call;
  State.NextSequence = Body.Sequence + 1;
  ++State.Turns;
  return {};
}

void joinHistory(ProgramState &State, const CallState &Call) {
  std::optional<std::vector<std::string>> Messages =
      internal::messagesOf(Call.Sent.NewMessages);
  for (std::string &Message : *Messages)
    State.History.push_back(std::move(Message));
  if (!Call.Done->AnswerMessage.empty())
    State.History.push_back(Call.Done->AnswerMessage);
}

Expected<void> applyResult(ProgramTree &Now, const Record &Next,
                           const AttemptResult &Body) {
  const auto Found = Now.Programs.find(Next.Program);
  if (Found == Now.Programs.end())
    return broken(Next, "it has not begun");
  ProgramState &State = Found->second;
  if (State.Running != Body.Call)
    return broken(Next, "the call is not running");
  CallState &Call = State.Calls.at(Body.Call);
  if (Call.Sent.Attempt != Body.Attempt)
    return broken(Next, "the result is of another attempt");
  Call.Done = Body;
  State.Running.reset();
  Now.Reserved -= Call.Sent.Reserved;
  Now.Settled += chargeOf(Call.Sent, Body);
  if (Body.How == Outcome::NotRun)
    --State.Turns;
  else
    Call.MayHaveRun = true;
  if (Body.How == Outcome::Completed)
    joinHistory(State, Call);
  return {};
}

Expected<void> applyEnded(ProgramTree &Now, const Record &Next,
                          const ProgramEnd &Body) {
  const auto Found = Now.Programs.find(Next.Program);
  if (Found == Now.Programs.end())
    return broken(Next, "it has not begun");
  if (Found->second.End)
    return broken(Next, "it has ended already");
  Found->second.End = Body.Reason;
  return {};
}

struct BodyApplier {
  ProgramTree &Now;
  const Record &Next;

  Expected<void> operator()(const ProgramStart &Body) const {
    return applyBegun(Now, Next, Body);
  }
  Expected<void> operator()(const Intent &Body) const {
    return applyIntent(Now, Next, Body);
  }
  Expected<void> operator()(const AttemptResult &Body) const {
    return applyResult(Now, Next, Body);
  }
  Expected<void> operator()(const ProgramEnd &Body) const {
    return applyEnded(Now, Next, Body);
  }
};

} // namespace

TokenCount chargeOf(const Intent &Sent, const AttemptResult &Done) {
  switch (Done.How) {
  case Outcome::NotRun:
    return 0;
  case Outcome::Unknown:
    return Sent.Reserved;
  case Outcome::Completed:
  case Outcome::Failed:
    return std::min(Done.Used, Sent.Reserved);
  }
  return Sent.Reserved;
}

AttemptResult answerFor(const CallState &Call) {
  AttemptResult Answer = *Call.Done;
  if (Answer.How == Outcome::NotRun && Call.MayHaveRun)
    Answer.How = Outcome::Failed;
  return Answer;
}

Expected<void> applyRecord(ProgramTree &Now, const Record &Next) {
  Expected<void> Applied = std::visit(BodyApplier{Now, Next}, Next.Body);
  if (Applied)
    ++Now.Length;
  return Applied;
}

Expected<ProgramTree> apply(ProgramTree Before, const Record &Next) {
  if (Expected<void> Applied = applyRecord(Before, Next); !Applied)
    return tl::unexpected(Applied.error());
  return Before;
}

Expected<ProgramTree> replay(const ProgramId &Root,
                             const std::vector<Record> &Log) {
  ProgramTree Now;
  Now.Root = Root;
  for (const Record &Next : Log)
    if (Expected<void> Applied = applyRecord(Now, Next); !Applied)
      return tl::unexpected(Applied.error());
  return Now;
}

} // namespace tamarack
