#include "ProgramRules.h"
#include "tamarack/ledger/Program.h"

#include <algorithm>

namespace tamarack {

namespace {

tl::unexpected<Error> invariantError(const Record &Next,
                                     const std::string &Cause) {
  std::string Message =
      "record of program " + Next.Program.text() + " refused: " + Cause;
  return refuse(ErrorKind::WrongSequence, std::move(Message));
}

bool isCallIdTaken(const ProgramTree &Tree, const CallId &Call) {
  return std::any_of(
      Tree.Programs.begin(), Tree.Programs.end(),
      [&](const auto &Entry) { return Entry.second.Calls.count(Call) != 0; });
}

Expected<void> applyStart(ProgramTree &Tree, const Record &Next,
                          const ProgramStart &Body) {
  if (Tree.Programs.count(Next.Program) != 0)
    return invariantError(Next, "the program has already started");
  const ProgramId Root = rootOf(Next.Program);
  const bool IsRoot = Next.Program == Root;
  if (Tree.Programs.empty() != IsRoot)
    return invariantError(Next, "the root program must start first");
  if (!IsRoot && Tree.Root != Root)
    return invariantError(Next, "the program belongs to another root");
  if (internal::isEndedOrHasEndedAncestor(Tree, Next.Program))
    return invariantError(Next, "an ancestor of the program has ended");
  if (IsRoot) {
    Tree.Root = Root;
    Tree.Budget = Body.Budget;
  }
  Tree.Programs[Next.Program].Start = Body;
  return {};
}

/// Why \p Body may not be a further attempt of its call; empty if it may.
std::string retryError(const ProgramState &State, const CallState &Previous,
                       const Intent &Body) {
  if (!Previous.Done)
    return "the previous attempt has no result";
  if (!internal::isRetriable(State, Previous))
    return "the call may not be attempted again";
  if (Body.Attempt != Previous.Sent.Attempt + 1)
    return "the attempt number must grow by one";
  if (Body.Sequence != Previous.Sent.Sequence ||
      Body.Digest != Previous.Sent.Digest ||
      Body.IdempotencyKey != Previous.Sent.IdempotencyKey)
    return "the retry differs from its call";
  return {};
}

/// Why \p Body may not be the first attempt of a new call; empty if it may.
std::string newCallError(const ProgramTree &Tree, const ProgramState &State,
                         const Intent &Body) {
  if (isCallIdTaken(Tree, Body.Call))
    return "the call id is already in use";
  if (Body.Sequence != State.NextSequence)
    return "the sequence is not the next one";
  if (Body.Attempt != 1)
    return "the first attempt must have number 1";
  if (!Body.IdempotencyKey.empty() &&
      State.CallByKey.count(Body.IdempotencyKey) != 0)
    return "the idempotency key is already in use";
  return {};
}

/// Why \p Body may not be applied; empty if it may.
std::string intentError(const ProgramTree &Tree, const ProgramId &Program,
                        const ProgramState &State, const Intent &Body) {
  if (internal::isEndedOrHasEndedAncestor(Tree, Program))
    return "the program or one of its ancestors has ended";
  if (State.Running)
    return "another call is running";
  const TokenCount Left = Tree.Budget - Tree.Settled - Tree.Reserved;
  if (Body.Reserved > Left)
    return "the remaining budget does not cover the reservation";
  if (!internal::isMessageArray(Body.NewMessages))
    return "the new messages are not a JSON array";
  const auto Known = State.Calls.find(Body.Call);
  return Known == State.Calls.end() ? newCallError(Tree, State, Body)
                                    : retryError(State, Known->second, Body);
}

Expected<void> applyIntent(ProgramTree &Tree, const Record &Next,
                           const Intent &Body) {
  const auto Found = Tree.Programs.find(Next.Program);
  if (Found == Tree.Programs.end())
    return invariantError(Next, "the program has not started");
  ProgramState &State = Found->second;
  if (std::string Cause = intentError(Tree, Next.Program, State, Body);
      !Cause.empty())
    return invariantError(Next, Cause);
  Tree.Reserved += Body.Reserved;
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

void appendToHistory(ProgramState &State, const CallState &Call) {
  std::optional<std::vector<std::string>> Messages =
      internal::parseMessages(Call.Sent.NewMessages);
  for (std::string &Message : *Messages)
    State.History.push_back(std::move(Message));
  if (!Call.Done->AnswerMessage.empty())
    State.History.push_back(Call.Done->AnswerMessage);
}

Expected<void> applyResult(ProgramTree &Tree, const Record &Next,
                           const AttemptResult &Body) {
  const auto Found = Tree.Programs.find(Next.Program);
  if (Found == Tree.Programs.end())
    return invariantError(Next, "the program has not started");
  ProgramState &State = Found->second;
  if (State.Running != Body.Call)
    return invariantError(Next, "the call is not running");
  CallState &Call = State.Calls.at(Body.Call);
  if (Call.Sent.Attempt != Body.Attempt)
    return invariantError(Next, "the result belongs to another attempt");
  Call.Done = Body;
  State.Running.reset();
  Tree.Reserved -= Call.Sent.Reserved;
  Tree.Settled += chargeOf(Call.Sent, Body);
  if (Body.How == Outcome::NotRun)
    --State.Turns;
  else
    Call.MayHaveRun = true;
  if (Body.How == Outcome::Completed)
    appendToHistory(State, Call);
  return {};
}

Expected<void> applyEnd(ProgramTree &Tree, const Record &Next,
                        const ProgramEnd &Body) {
  const auto Found = Tree.Programs.find(Next.Program);
  if (Found == Tree.Programs.end())
    return invariantError(Next, "the program has not started");
  if (Found->second.End)
    return invariantError(Next, "the program has already ended");
  Found->second.End = Body.Reason;
  return {};
}

struct BodyApplier {
  ProgramTree &Tree;
  const Record &Next;

  Expected<void> operator()(const ProgramStart &Body) const {
    return applyStart(Tree, Next, Body);
  }
  Expected<void> operator()(const Intent &Body) const {
    return applyIntent(Tree, Next, Body);
  }
  Expected<void> operator()(const AttemptResult &Body) const {
    return applyResult(Tree, Next, Body);
  }
  Expected<void> operator()(const ProgramEnd &Body) const {
    return applyEnd(Tree, Next, Body);
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

Expected<void> applyRecord(ProgramTree &Tree, const Record &Next) {
  Expected<void> Applied = std::visit(BodyApplier{Tree, Next}, Next.Body);
  if (Applied)
    ++Tree.Length;
  return Applied;
}

Expected<ProgramTree> apply(ProgramTree Tree, const Record &Next) {
  if (Expected<void> Applied = applyRecord(Tree, Next); !Applied)
    return tl::unexpected(Applied.error());
  return Tree;
}

Expected<ProgramTree> replay(const ProgramId &Root,
                             const std::vector<Record> &Log) {
  ProgramTree Tree;
  Tree.Root = Root;
  for (const Record &Next : Log)
    if (Expected<void> Applied = applyRecord(Tree, Next); !Applied)
      return tl::unexpected(Applied.error());
  return Tree;
}

} // namespace tamarack
