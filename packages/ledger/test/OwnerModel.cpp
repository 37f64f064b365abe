#include "OwnerModel.h"

#include <algorithm>
#include <sstream>

namespace tamarack::test {

namespace {

constexpr std::size_t BagLimit = 40;
constexpr TokenCount Budget = 100;
constexpr TokenCount WorstCase = 40;
constexpr std::size_t CallsPerProgram = 3;

} // namespace

World::World() {
  for (unsigned Place = 0; Place < 3; ++Place)
    Folders[FolderId("f" + std::to_string(Place))].DataCentre = Place % 2;
  Platform.Copies = {{FolderId("f0"), {}}, {FolderId("f1"), {}}};
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

void World::require(bool Holds, const std::string &Promise) {
  if (!Holds)
    Violations.push_back(Promise);
}

std::uint32_t World::pick(std::uint32_t Below) {
  const std::uint32_t Picked = Draw % Below;
  Draw /= Below;
  return Picked;
}

void World::step(std::uint32_t Number) {
  Draw = Number;
  const std::uint32_t Kind = pick(40);
  if (Kind < 18)
    deliver();
  else if (Kind < 24) {
    Owner &To = pickOwner();
    ask(pickOperation(), To);
  } else if (Kind < 39)
    act(pickOwner());
  else
    fault();
}

/// Any owner, but one that serves more often than not.
Owner &World::pickOwner() {
  const std::uint32_t Any = pick(3);
  if (pick(3) != 0)
    for (std::uint32_t Next = Any; Next < Any + 3; ++Next)
      if (Owners[Next % 3].Now != Phase::Idle)
        return Owners[Next % 3];
  return Owners[Any];
}

/// Any operation, but the next one of its program more often than not.
std::size_t World::pickOperation() {
  const std::size_t Any = pick(static_cast<std::uint32_t>(Operations.size()));
  const bool IsNext = pick(3) != 0;
  std::size_t Next = Any - Any % CallsPerProgram;
  while (IsNext && Next < Any && Callers[Next].Told)
    ++Next;
  return IsNext ? Next : Any;
}

void World::deliver() {
  if (Bag.empty())
    return;
  const auto Where = Bag.begin() + pick(static_cast<std::uint32_t>(Bag.size()));
  const Message Taken = *Where;
  const bool ComesAgain = pick(8) == 0;
  if (!ComesAgain)
    Bag.erase(Where);
  Taken(pick(6) == 0);
  while (Bag.size() > BagLimit)
    Bag.pop_front();
}

void World::fault() {
  const std::uint32_t Kind = pick(10);
  if (Kind < 4) {
    auto Place = std::next(Folders.begin(),
                           pick(static_cast<std::uint32_t>(Folders.size())));
    Place->second.Up = pick(4) != 0;
  } else if (Kind < 5) {
    const unsigned DataCentre = pick(2);
    const bool Up = pick(3) != 0;
    for (auto &[Name, Place] : Folders)
      if (Place.DataCentre == DataCentre)
        Place.Up = Up;
  } else if (Kind < 7)
    loseFolder();
  else if (Kind < 8)
    ++Endpoint, Attempts.clear();
  else
    forget(Owners[pick(3)]);
}

/// Loses a folder for good unless it is the last one named that is left; its
/// place comes back empty, under another identity.
void World::loseFolder() {
  const auto Place = std::next(
      Folders.begin(), pick(static_cast<std::uint32_t>(Folders.size())));
  const auto Survives = [&](const FolderId &Name) {
    return Name != Place->first && !Folders.at(Name).Lost;
  };
  std::vector<ShardRecord> MayApply = Written[Platform.Version + 1];
  MayApply.push_back(Platform);
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
  if (Place->second.Lost)
    return;
  Place->second.Lost = true;
  ++Seen.LostFolders;
  Folder Fresh;
  Fresh.DataCentre = Place->second.DataCentre;
  Folders.emplace(FolderId("f" + std::to_string(Folders.size())), Fresh);
}

AttemptResult World::execute(const ProgramId &Program, const Intent &Sent) {
  const auto Wanted = std::find_if(
      Operations.begin(), Operations.end(),
      [&](const Operation &Each) { return Each.Tag == Sent.Digest; });
  ++Wanted->Executions;
  ++Seen.Executions;
  require(Sent.Repeatable || Wanted->Executions == 1,
          Wanted->Tag + " ran more than once");
  require(!Callers[Wanted - Operations.begin()].ToldNotRun,
          Wanted->Tag + " ran after its caller was told that it did not");
  require(LastExecuted[Program] <= Sent.Sequence,
          Wanted->Tag + " ran out of order");
  LastExecuted[Program] = Sent.Sequence;
  AttemptResult Done{Sent.Call, Sent.Attempt, Outcome::Completed, "", "", 0};
  Done.Used = Sent.Reserved / 2 + pick(Sent.Reserved / 2 + 1);
  TokensUsed[rootOf(Program)] += Done.Used;
  require(TokensUsed[rootOf(Program)] <= Budget,
          Program.text() + " used more than its budget");
  Done.Answer = Wanted->Tag + " run " + std::to_string(Wanted->Executions);
  if (pick(5) == 0)
    Done.How = Outcome::Failed;
  else
    Done.AnswerMessage = "\"" + Wanted->Tag + "!\"";
  return Done;
}

void World::tellNotRun(const Job &To) {
  if (!To.Operation || Callers[*To.Operation].Ticket != To.Ticket)
    return;
  const Operation &Wanted = Operations[*To.Operation];
  require(Wanted.Executions == 0,
          Wanted.Tag + ": its caller was told not run after it ran");
  Callers[*To.Operation].ToldNotRun = true;
  ++Seen.NotRun;
}

void World::tell(const Job &To, const AttemptResult &Answer) {
  if (!To.Operation || Callers[*To.Operation].Ticket != To.Ticket)
    return;
  if (Answer.How == Outcome::NotRun)
    return tellNotRun(To);
  Caller &Told = Callers[*To.Operation];
  if (Answer.How == Outcome::Unknown)
    ++Seen.Unknown;
  if (Told.Told && Told.Told->How == Outcome::Completed)
    require(*Told.Told == Answer,
            Operations[*To.Operation].Tag + ": its answer changed");
  Told.Told = Answer;
}

void World::checkFamily(const ProgramTree &Now) {
  require(Now.Settled + Now.Reserved <= Now.Budget,
          Now.Root.text() + " reserved more than its budget");
  for (const auto &[Program, State] : Now.Programs) {
    std::vector<std::string> Expected;
    for (const auto &[Sequence, Call] : State.CallBySequence) {
      const CallState &Each = State.Calls.at(Call);
      if (!Each.Done || Each.Done->How != Outcome::Completed)
        continue;
      Expected.push_back("\"" + Each.Sent.Digest + "\"");
      Expected.push_back(Each.Done->AnswerMessage);
    }
    require(State.History == Expected,
            Program.text() + ": its history is not its calls in order");
    for (const std::string &Text : State.History)
      require(Text.rfind("\"" + Program.text() + "#", 0) == 0,
              Program.text() + ": its history holds " + Text);
  }
}

void World::checkTold(const Owner &O) {
  for (std::size_t Index = 0; Index < Callers.size(); ++Index) {
    const CallRequest &Request = Operations[Index].Request;
    const std::optional<AttemptResult> &Told = Callers[Index].Told;
    if (!Told || (Told->How != Outcome::Completed && Request.Repeatable))
      continue;
    const auto Now = O.Families.find(rootOf(Request.Program));
    bool Kept = false;
    if (Now != O.Families.end() && Now->second.Programs.count(Request.Program))
      for (const auto &[Call, State] :
           Now->second.Programs.at(Request.Program).Calls)
        Kept = Kept || State.Done == Told;
    require(Kept, Operations[Index].Tag + ": its told result is lost");
  }
}

/// No two owners may count different records as accepted at one position.
void World::checkAgreed(const ProgramId &Root, std::uint64_t Index,
                        const Record &Entry) {
  const auto [Where, IsFirst] = Agreed.emplace(std::pair(Root, Index), Entry);
  std::ostringstream Context;
  Context << "two records agreed at index " << Index << ": " << Where->second
          << " and " << Entry;
  require(IsFirst || Where->second == Entry, Context.str());
}

void World::heal() {
  for (auto &[Name, Place] : Folders)
    Place.Up = true;
  for (Owner &O : Owners)
    forget(O);
  Owner &O = Owners[0];
  const auto IsDone = [&] {
    return O.Now == Phase::Serving && O.Jobs.empty() && O.Pending.empty();
  };
  for (std::uint32_t Round = 0; Round < 200 && !IsDone(); ++Round) {
    Draw = Round * 7 + 5;
    O.Now == Phase::Idle ? startTakeover(O) : act(O);
    for (std::size_t Left = Bag.size(); Left > 0; --Left) {
      const Message Taken = Bag.front();
      Bag.pop_front();
      Draw = Round;
      Taken(false);
    }
  }
  require(IsDone(), "a healthy shard is not served again");
  checkTold(O);
  for (const auto &[Root, Now] : O.Families)
    checkFamily(Now);
}

} // namespace tamarack::test
