#include "OwnerModel.h"

#include <algorithm>

namespace tamarack::test {

namespace {

/// A serving owner drops or adds a copy without need in one of so many steps.
constexpr std::uint32_t CopyChangeOdds = 60;
/// An owner gives up on unreachable copies in one of so many steps.
constexpr std::uint32_t GiveUpOdds = 12;
/// An idle owner takes over from an active one in one of so many steps.
constexpr std::uint32_t TakeoverOdds = 60;
constexpr std::size_t WantedCopies = 2;
constexpr std::size_t MaxCopies = 3;

} // namespace

bool ClusterModel::isNamed(const ShardRecord &Record,
                           const FolderId &Copy) const {
  return std::any_of(
      Record.Copies.begin(), Record.Copies.end(),
      [&](const CopyLocation &Location) { return Location.Folder == Copy; });
}

void ClusterModel::sendToCopy(Owner &O, const FolderId &To,
                              std::function<Expected<void>(ShardCopy &)> Effect,
                              std::function<void(const ShardCopy &)> Then) {
  const unsigned Term = O.Term;
  const Epoch Version = O.CurrentRecord.Version;
  InFlight.push_back(
      [this, &O, To, Effect, Then, Term, Version](bool AnswerLost) {
        Folder &Store = Folders.at(To);
        if (!Store.Up || Store.Lost)
          return;
        const Expected<void> Done = Effect(Store.Copy);
        if (AnswerLost || O.Term != Term || O.CurrentRecord.Version != Version)
          return;
        if (Done)
          return Then(Store.Copy);
        if (Done.error().Kind != ErrorKind::Fenced)
          return;
        ++Seen.Fenced;
        resetOwner(O);
      });
}

void ClusterModel::resetOwner(Owner &O) {
  const unsigned Term = O.Term + 1;
  O = Owner();
  O.Term = Term;
}

void ClusterModel::advanceOwner(Owner &O) {
  switch (O.State) {
  case Phase::Idle:
    return pick(hasActiveOwner() ? TakeoverOdds : 2) == 0 ? startTakeover(O)
                                                          : void();
  case Phase::Claiming:
  case Phase::ChangingCopies:
    return readBack(O);
  case Phase::Sealing:
    if (O.Sealed.size() == O.CurrentRecord.Copies.size() ||
        (!O.Sealed.empty() && pick(8) == 0))
      return reconcileAll(O);
    return sealNamedCopies(O);
  case Phase::Repairing:
  case Phase::FillingCopy:
    if (pick(GiveUpOdds) == 0)
      return giveUp(O);
    return O.Outstanding.empty() ? finishInstalls(O) : installOutstanding(O);
  case Phase::Resealing:
    if (!O.Sealed.empty() && pick(6) == 0)
      return changeCopies(O, sealedCopies(O));
    return sealNamedCopies(O);
  case Phase::Serving:
    return serve(O);
  }
}

bool ClusterModel::hasActiveOwner() const {
  return std::any_of(Owners.begin(), Owners.end(),
                     [](const Owner &O) { return O.State != Phase::Idle; });
}

/// Gives up filling a new copy, or gives up the shard if its repair fails.
void ClusterModel::giveUp(Owner &O) {
  if (O.State != Phase::FillingCopy)
    return resetOwner(O);
  O.Outstanding.clear();
  O.State = Phase::Serving;
}

void ClusterModel::startTakeover(Owner &O) {
  O.ProposedRecord = StoredRecord;
  ++O.ProposedRecord.Version;
  O.ProposedRecord.Token = std::to_string(++NextNumber);
  O.State = Phase::Claiming;
  compareAndSwap(O);
}

void ClusterModel::compareAndSwap(Owner &O) {
  PossibleRecords[O.ProposedRecord.Version].push_back(O.ProposedRecord);
  InFlight.push_back([this, Wanted = O.ProposedRecord](bool) {
    if (StoredRecord.Version + 1 != Wanted.Version)
      return;
    StoredRecord = Wanted;
    PossibleRecords[Wanted.Version] = {Wanted};
  });
}

void ClusterModel::readBack(Owner &O) {
  if (StoredRecord.Token != O.ProposedRecord.Token)
    return StoredRecord.Version < O.ProposedRecord.Version ? compareAndSwap(O)
                                                           : resetOwner(O);
  O.CurrentRecord = O.ProposedRecord;
  O.Sealed.clear();
  for (auto &[Root, Waiting] : O.Pending)
    Waiting.Accepted.clear();
  for (auto &[Number, Each] : O.Jobs)
    Each.Confirmed.clear();
  O.State = O.State == Phase::Claiming ? Phase::Sealing : Phase::Resealing;
  sealNamedCopies(O);
}

void ClusterModel::sealCopy(Owner &O, const FolderId &Copy) {
  const Epoch At = O.CurrentRecord.Version;
  sendToCopy(
      O, Copy, [At](ShardCopy &Held) { return applySeal(Held, At); },
      [this, &O, Copy](const ShardCopy &Held) {
        if (O.Sealed.count(Copy) != 0)
          return;
        if (O.State == Phase::FillingCopy) {
          for (const Install &Change : installsForCopy(
                   Held.Logs, O.AcceptedLogs, O.CurrentRecord.Version))
            O.Outstanding[{Copy, Change.Root}] = Change;
          O.Outstanding.erase({Copy, ProgramId()});
        } else if (O.State != Phase::Sealing && O.State != Phase::Resealing)
          return;
        O.Sealed[Copy] = Held.Logs;
        if (O.State == Phase::Resealing &&
            O.Sealed.size() == O.CurrentRecord.Copies.size())
          O.State = Phase::Serving;
      });
}

void ClusterModel::sealNamedCopies(Owner &O) {
  for (const CopyLocation &Location : O.CurrentRecord.Copies)
    if (O.Sealed.count(Location.Folder) == 0)
      sealCopy(O, Location.Folder);
}

void ClusterModel::reconcileAll(Owner &O) {
  ++Seen.Takeovers;
  std::set<ProgramId> Roots;
  for (const auto &[Copy, Held] : O.Sealed)
    for (const auto &[Root, Records] : Held)
      Roots.insert(Root);
  for (const ProgramId &Root : Roots) {
    std::vector<SealedLog> Sealed;
    for (const auto &[Copy, Held] : O.Sealed)
      Sealed.push_back({Copy, Held.count(Root) ? Held.at(Root) : Log()});
    LogReconciliation Reconciled = reconcileLogs(
        Root, Sealed, O.CurrentRecord.Copies.size(), O.CurrentRecord.Version);
    for (const Repair &Each : Reconciled.Repairs)
      O.Outstanding[{Each.Folder, Root}] = Each.Change;
    Seen.Repairs += Reconciled.Repairs.empty() ? 0 : 1;
    for (const OpenCall &Open : Reconciled.OpenCalls)
      if (Open.Resolution == OpenCallResolution::AskEndpoint)
        O.Jobs[++NextNumber] = {std::nullopt, 0,         Stage::Sent,
                                Open.Program, Open.Sent, {}};
    if (Reconciled.Log.empty())
      continue;
    const Expected<ProgramTree> Tree = replay(Root, Reconciled.Log);
    checkInvariant(Tree.has_value(), "a reconciled log is refused");
    if (!Tree)
      continue;
    checkTree(*Tree);
    O.Trees[Root] = *Tree;
    O.AcceptedLogs[Root] = Reconciled.Log;
  }
  // A stale owner may reconcile logs that it read long ago. No copy accepts
  // its changes.
  if (StoredRecord == O.CurrentRecord)
    checkDeliveredAnswers(O);
  O.State = Phase::Repairing;
}

void ClusterModel::installOutstanding(Owner &O) {
  for (const auto &[Where, Change] : O.Outstanding) {
    if (Where.second.empty()) {
      sealCopy(O, Where.first);
      continue;
    }
    sendToCopy(
        O, Where.first,
        [Change = Change](ShardCopy &Held) {
          return applyInstall(Held, Change);
        },
        [&O, Where = Where, Change = Change](const ShardCopy &) {
          const auto Found = O.Outstanding.find(Where);
          if (Found != O.Outstanding.end() && Found->second == Change)
            O.Outstanding.erase(Found);
        });
  }
}

std::vector<CopyLocation> ClusterModel::sealedCopies(const Owner &O) const {
  std::vector<CopyLocation> Copies;
  for (const CopyLocation &Location : O.CurrentRecord.Copies)
    if (O.Sealed.count(Location.Folder) != 0)
      Copies.push_back(Location);
  return Copies;
}

void ClusterModel::finishInstalls(Owner &O) {
  std::vector<CopyLocation> Copies = sealedCopies(O);
  if (O.State == Phase::FillingCopy) {
    Copies = O.CurrentRecord.Copies;
    Copies.push_back(*O.Learner);
  }
  if (Copies == O.CurrentRecord.Copies)
    O.State = Phase::Serving;
  else
    changeCopies(O, Copies);
}

void ClusterModel::changeCopies(Owner &O, std::vector<CopyLocation> Copies) {
  O.ProposedRecord = O.CurrentRecord;
  ++O.ProposedRecord.Version;
  O.ProposedRecord.Copies = std::move(Copies);
  O.ProposedRecord.Token = std::to_string(++NextNumber);
  O.State = Phase::ChangingCopies;
  compareAndSwap(O);
}

/// Starts to seal and fill a folder that is not named yet.
void ClusterModel::addCopy(Owner &O) {
  std::vector<FolderId> Free;
  for (const auto &[Name, Store] : Folders)
    if (!Store.Lost && !isNamed(O.CurrentRecord, Name))
      Free.push_back(Name);
  if (Free.empty())
    return;
  const FolderId Copy = Free[pick(static_cast<std::uint32_t>(Free.size()))];
  ++Seen.Refills;
  O.Learner = CopyLocation{Copy, {}};
  O.Sealed.erase(Copy);
  O.Outstanding.clear();
  // An entry without a root stands for the seal until its answer brings the
  // logs of the folder.
  O.Outstanding[{Copy, ProgramId()}] = Install();
  O.State = Phase::FillingCopy;
  sealCopy(O, Copy);
}

void ClusterModel::dropCopy(Owner &O, std::size_t Index) {
  std::vector<CopyLocation> Fewer = O.CurrentRecord.Copies;
  Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Index));
  // An owner drops a copy only when the others have just confirmed its epoch.
  for (const CopyLocation &Location : Fewer)
    if (Folders.at(Location.Folder).Lost)
      return;
  if (!Fewer.empty())
    changeCopies(O, Fewer);
}

void ClusterModel::serve(Owner &O) {
  const bool Few = O.CurrentRecord.Copies.size() < WantedCopies;
  if (pick(Few ? 3 : CopyChangeOdds) == 0) {
    if (O.CurrentRecord.Copies.size() < MaxCopies && (Few || pick(2) == 0))
      return addCopy(O);
    return dropCopy(
        O, pick(static_cast<std::uint32_t>(O.CurrentRecord.Copies.size())));
  }
  if (pick(GiveUpOdds) == 0)
    for (std::size_t Index = 0; Index < O.CurrentRecord.Copies.size(); ++Index)
      if (const Folder &Store =
              Folders.at(O.CurrentRecord.Copies[Index].Folder);
          Store.Lost || !Store.Up)
        return dropCopy(O, Index);
  sendAppends(O);
  if (!O.Jobs.empty())
    advanceJob(O, std::next(O.Jobs.begin(),
                            pick(static_cast<std::uint32_t>(O.Jobs.size())))
                      ->first);
}

void ClusterModel::sendAppends(Owner &O) {
  for (const auto &[Root, Waiting] : O.Pending)
    for (const CopyLocation &Location : O.CurrentRecord.Copies) {
      if (Waiting.Accepted.count(Location.Folder) != 0)
        continue;
      const Append Next{O.CurrentRecord.Version, Root,
                        O.AcceptedLogs[Root].size(), Waiting.Records.front()};
      const FolderId By = Location.Folder;
      sendToCopy(
          O, By, [Next](ShardCopy &Held) { return applyAppend(Held, Next); },
          [this, &O, Next, By](const ShardCopy &) {
            const auto Found = O.Pending.find(Next.Root);
            if (O.State == Phase::Serving && Found != O.Pending.end() &&
                O.AcceptedLogs[Next.Root].size() == Next.Index)
              onAppendAccepted(O, Next.Root, By);
          });
    }
}

void ClusterModel::onAppendAccepted(Owner &O, const ProgramId &Root,
                                    const FolderId &By) {
  PendingAppends &Waiting = O.Pending[Root];
  Waiting.Accepted.insert(By);
  for (const CopyLocation &Location : O.CurrentRecord.Copies)
    if (Waiting.Accepted.count(Location.Folder) == 0)
      return;
  const Record Entry = Waiting.Records.front();
  Waiting.Records.pop_front();
  Waiting.Accepted.clear();
  if (Waiting.Records.empty())
    O.Pending.erase(Root);
  checkAcceptedRecord(Root, O.AcceptedLogs[Root].size(), Entry);
  O.AcceptedLogs[Root].push_back(Entry);
  onRecordApplied(O, Entry);
}

} // namespace tamarack::test
