#include "OwnerModel.h"

#include <algorithm>
#include <sstream>

namespace tamarack::test {

namespace {

constexpr std::size_t MaxInFlight = 40;
constexpr TokenCount Budget = 100;
constexpr TokenCount WorstCase = 40;
constexpr std::size_t CallsPerProgram = 3;

} // namespace

ClusterModel::ClusterModel() {
  for (unsigned Number = 0; Number < 3; ++Number)
    Folders[FolderId("f" + std::to_string(Number))].DataCentre = Number % 2;
  StoredRecord.Copies = {{FolderId("f0"), {}}, {FolderId("f1"), {}}};
  for (const char *Program : {"p", "p/a", "p/b", "q"})
    for (std::size_t Call = 1; Call <= CallsPerProgram; ++Call) {
      Operation Wanted;
      Wanted.Tag = Program + std::string("#") + std::to_string(Call);
      Wanted.Request.Program = ProgramId(Program);
      Wanted.Request.Digest = Wanted.Tag;
      Wanted.Request.Repeatable = Call == 2;
      Wanted.Request.WorstCase = WorstCase;
      Wanted.Request.NewMessages = "[\"" + Wanted.Tag + "\"]";
      Wanted.Request.MayBegin = true;
      Wanted.Request.IfNew.Budget = Budget;
      if (Call == 3)
        Wanted.Request.IdempotencyKey = Wanted.Tag;
      else
        Wanted.Request.Sequence = Call;
      Operations.push_back(Wanted);
    }
  Callers.resize(Operations.size());
}

void ClusterModel::checkInvariant(bool Holds, const std::string &Violation) {
  if (!Holds)
    Violations.push_back(Violation);
}

std::uint32_t ClusterModel::pick(std::uint32_t Below) {
  const std::uint32_t Picked = Draw % Below;
  Draw /= Below;
  return Picked;
}

void ClusterModel::step(std::uint32_t Number) {
  Draw = Number;
  const std::uint32_t Kind = pick(40);
  if (Kind < 18)
    deliver();
  else if (Kind < 24) {
    Owner &To = pickOwner();
    submitCall(pickOperation(), To);
  } else if (Kind < 39)
    advanceOwner(pickOwner());
  else
    injectFault();
}

/// Picks any owner, but prefers one that is not idle.
Owner &ClusterModel::pickOwner() {
  const std::uint32_t Any = pick(3);
  if (pick(3) != 0)
    for (std::uint32_t Next = Any; Next < Any + 3; ++Next)
      if (Owners[Next % 3].State != Phase::Idle)
        return Owners[Next % 3];
  return Owners[Any];
}

/// Picks any operation, but prefers the next one of its program.
std::size_t ClusterModel::pickOperation() {
  const std::size_t Any = pick(static_cast<std::uint32_t>(Operations.size()));
  const bool IsNext = pick(3) != 0;
  std::size_t Next = Any - Any % CallsPerProgram;
  while (IsNext && Next < Any && Callers[Next].Answer)
    ++Next;
  return IsNext ? Next : Any;
}

void ClusterModel::deliver() {
  if (InFlight.empty())
    return;
  const auto Where =
      InFlight.begin() + pick(static_cast<std::uint32_t>(InFlight.size()));
  const Message Received = *Where;
  const bool IsDuplicated = pick(8) == 0;
  if (!IsDuplicated)
    InFlight.erase(Where);
  Received(pick(6) == 0);
  while (InFlight.size() > MaxInFlight)
    InFlight.pop_front();
}

void ClusterModel::injectFault() {
  const std::uint32_t Kind = pick(10);
  if (Kind < 4) {
    auto Store = std::next(Folders.begin(),
                           pick(static_cast<std::uint32_t>(Folders.size())));
    Store->second.Up = pick(4) != 0;
  } else if (Kind < 5) {
    const unsigned DataCentre = pick(2);
    const bool Up = pick(3) != 0;
    for (auto &[Name, Store] : Folders)
      if (Store.DataCentre == DataCentre)
        Store.Up = Up;
  } else if (Kind < 7)
    loseFolder();
  else if (Kind < 8)
    ++Endpoint, Attempts.clear();
  else
    resetOwner(Owners[pick(3)]);
}

/// Loses a folder permanently unless it is the last surviving one that a
/// record names. A new empty folder with another identity replaces it.
void ClusterModel::loseFolder() {
  const auto Store = std::next(
      Folders.begin(), pick(static_cast<std::uint32_t>(Folders.size())));
  const auto Survives = [&](const FolderId &Name) {
    return Name != Store->first && !Folders.at(Name).Lost;
  };
  std::vector<ShardRecord> MayApply = PossibleRecords[StoredRecord.Version + 1];
  MayApply.push_back(StoredRecord);
  for (const ShardRecord &Record : MayApply)
    if (std::none_of(
            Record.Copies.begin(), Record.Copies.end(),
            [&](const CopyLocation &Copy) { return Survives(Copy.Folder); }))
      return;
  for (const Owner &O : Owners)
    if (!O.Sealed.empty() &&
        std::none_of(O.Sealed.begin(), O.Sealed.end(),
                     [&](const auto &Copy) { return Survives(Copy.first); }))
      return;
  if (Store->second.Lost)
    return;
  Store->second.Lost = true;
  ++Seen.LostFolders;
  Folder Replacement;
  Replacement.DataCentre = Store->second.DataCentre;
  Folders.emplace(FolderId("f" + std::to_string(Folders.size())), Replacement);
}

AttemptResult ClusterModel::execute(const ProgramId &Program,
                                    const Intent &Sent) {
  const auto Wanted = std::find_if(
      Operations.begin(), Operations.end(),
      [&](const Operation &Each) { return Each.Tag == Sent.Digest; });
  ++Wanted->Executions;
  ++Seen.Executions;
  checkInvariant(Sent.Repeatable || Wanted->Executions == 1,
                 Wanted->Tag + " ran more than once");
  checkInvariant(!Callers[Wanted - Operations.begin()].WasToldNotRun,
                 Wanted->Tag +
                     " ran after its caller was told that it did not");
  checkInvariant(LastExecuted[Program] <= Sent.Sequence,
                 Wanted->Tag + " ran out of order");
  LastExecuted[Program] = Sent.Sequence;
  AttemptResult Done{Sent.Call, Sent.Attempt, Outcome::Completed, "", "", 0};
  Done.Used = Sent.Reserved / 2 + pick(Sent.Reserved / 2 + 1);
  TokensUsed[rootOf(Program)] += Done.Used;
  checkInvariant(TokensUsed[rootOf(Program)] <= Budget,
                 Program.text() + " used more than its budget");
  Done.Answer = Wanted->Tag + " run " + std::to_string(Wanted->Executions);
  if (pick(5) == 0)
    Done.How = Outcome::Failed;
  else
    Done.AnswerMessage = "\"" + Wanted->Tag + "!\"";
  return Done;
}

void ClusterModel::deliverNotRun(const Job &To) {
  if (!To.Operation || Callers[*To.Operation].RequestNumber != To.RequestNumber)
    return;
  const Operation &Wanted = Operations[*To.Operation];
  checkInvariant(Wanted.Executions == 0,
                 Wanted.Tag + " was answered \"not run\" after it ran");
  Callers[*To.Operation].WasToldNotRun = true;
  ++Seen.NotRun;
}

void ClusterModel::deliverAnswer(const Job &To, const AttemptResult &Answer) {
  if (!To.Operation || Callers[*To.Operation].RequestNumber != To.RequestNumber)
    return;
  if (Answer.How == Outcome::NotRun)
    return deliverNotRun(To);
  Caller &Recipient = Callers[*To.Operation];
  if (Answer.How == Outcome::Unknown)
    ++Seen.Unknown;
  if (Recipient.Answer && Recipient.Answer->How == Outcome::Completed)
    checkInvariant(*Recipient.Answer == Answer,
                   "the answer to " + Operations[*To.Operation].Tag +
                       " changed");
  Recipient.Answer = Answer;
}

void ClusterModel::checkTree(const ProgramTree &Tree) {
  checkInvariant(Tree.Settled + Tree.Reserved <= Tree.Budget,
                 Tree.Root.text() + " reserved more than its budget");
  for (const auto &[Program, State] : Tree.Programs) {
    std::vector<std::string> Expected;
    for (const auto &[Sequence, Call] : State.CallBySequence) {
      const CallState &Each = State.Calls.at(Call);
      if (!Each.Done || Each.Done->How != Outcome::Completed)
        continue;
      Expected.push_back("\"" + Each.Sent.Digest + "\"");
      Expected.push_back(Each.Done->AnswerMessage);
    }
    checkInvariant(State.History == Expected, "the history of " +
                                                  Program.text() +
                                                  " is not its calls in order");
    for (const std::string &Text : State.History)
      checkInvariant(Text.rfind("\"" + Program.text() + "#", 0) == 0,
                     "the history of " + Program.text() + " contains " + Text);
  }
}

void ClusterModel::checkDeliveredAnswers(const Owner &O) {
  for (std::size_t Index = 0; Index < Callers.size(); ++Index) {
    const CallRequest &Request = Operations[Index].Request;
    const std::optional<AttemptResult> &Delivered = Callers[Index].Answer;
    if (!Delivered ||
        (Delivered->How != Outcome::Completed && Request.Repeatable))
      continue;
    const auto Tree = O.Trees.find(rootOf(Request.Program));
    bool Kept = false;
    if (Tree != O.Trees.end() && Tree->second.Programs.count(Request.Program))
      for (const auto &[Call, State] :
           Tree->second.Programs.at(Request.Program).Calls)
        Kept = Kept || State.Done == Delivered;
    checkInvariant(Kept, "the result of " + Operations[Index].Tag +
                             " was answered but is lost");
  }
}

/// No two owners may count different records as accepted at the same index.
void ClusterModel::checkAcceptedRecord(const ProgramId &Root,
                                       std::uint64_t Index,
                                       const Record &Entry) {
  const auto [Where, IsFirst] =
      AcceptedRecords.emplace(std::pair(Root, Index), Entry);
  std::ostringstream Context;
  Context << "two different records accepted at index " << Index << ": "
          << Where->second << " and " << Entry;
  checkInvariant(IsFirst || Where->second == Entry, Context.str());
}

void ClusterModel::recoverAndCheck() {
  for (auto &[Name, Store] : Folders)
    Store.Up = true;
  for (Owner &O : Owners)
    resetOwner(O);
  Owner &O = Owners[0];
  const auto IsDone = [&] {
    return O.State == Phase::Serving && O.Jobs.empty() && O.Pending.empty();
  };
  for (std::uint32_t Round = 0; Round < 200 && !IsDone(); ++Round) {
    Draw = Round * 7 + 5;
    O.State == Phase::Idle ? startTakeover(O) : advanceOwner(O);
    for (std::size_t Left = InFlight.size(); Left > 0; --Left) {
      const Message Received = InFlight.front();
      InFlight.pop_front();
      Draw = Round;
      Received(false);
    }
  }
  checkInvariant(IsDone(), "the shard is not served after all faults ended");
  checkDeliveredAnswers(O);
  for (const auto &[Root, Tree] : O.Trees)
    checkTree(Tree);
}

} // namespace tamarack::test
