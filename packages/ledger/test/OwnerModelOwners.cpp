#include "OwnerModel.h"

#include <algorithm>

namespace tamarack::test {

namespace {

/// An owner that nobody watches drops a copy or adds one this often.
constexpr std::uint32_t CopyChangeOdds = 60;
/// An owner gives up on copies that do not answer this often.
constexpr std::uint32_t GiveUpOdds = 12;
/// An idle owner suspects the present one this often.
constexpr std::uint32_t TakeoverOdds = 60;
constexpr std::size_t WantedCopies = 2;
constexpr std::size_t MostCopies = 3;

} // namespace

bool World::names(const ShardRecord &Record, const FolderId &Copy) const {
  return std::any_of(
      Record.Copies.begin(), Record.Copies.end(),
      [&](const CopyLocation &Place) { return Place.Folder == Copy; });
}

void World::send(Owner &O, const FolderId &To,
                 std::function<Expected<void>(ShardCopy &)> Effect,
                 std::function<void(const ShardCopy &)> Then) {
  const unsigned Term = O.Term;
  const Epoch Version = O.Mine.Version;
  Bag.push_back([this, &O, To, Effect, Then, Term, Version](bool AnswerLost) {
    Folder &Place = Folders.at(To);
    if (!Place.Up || Place.Lost)
      return;
    const Expected<void> Done = Effect(Place.Copy);
    if (AnswerLost || O.Term != Term || O.Mine.Version != Version)
      return;
    if (Done)
      return Then(Place.Copy);
    if (Done.error().Kind != ErrorKind::Fenced)
      return;
    ++Seen.Fenced;
    forget(O);
  });
}

void World::forget(Owner &O) {
  const unsigned Term = O.Term + 1;
  O = Owner();
  O.Term = Term;
}

void World::act(Owner &O) {
  switch (O.Now) {
  case Phase::Idle:
    return pick(isLed() ? TakeoverOdds : 2) == 0 ? startTakeover(O) : void();
  case Phase::Taking:
  case Phase::Changing:
    return readBack(O);
  case Phase::Sealing:
    if (O.Sealed.size() == O.Mine.Copies.size() ||
        (!O.Sealed.empty() && pick(8) == 0))
      return settleAll(O);
    return sealNamed(O);
  case Phase::Repairing:
  case Phase::Filling:
    if (pick(GiveUpOdds) == 0)
      return giveUp(O);
    return O.Outstanding.empty() ? afterInstalls(O) : installOutstanding(O);
  case Phase::Resealing:
    if (!O.Sealed.empty() && pick(6) == 0)
      return changeCopies(O, sealedOf(O));
    return sealNamed(O);
  case Phase::Serving:
    return serve(O);
  }
}

bool World::isLed() const {
  return std::any_of(Owners.begin(), Owners.end(),
                     [](const Owner &O) { return O.Now != Phase::Idle; });
}

/// Gives up on a new copy, or on the shard when its own copies need repair.
void World::giveUp(Owner &O) {
  if (O.Now != Phase::Filling)
    return forget(O);
  O.Outstanding.clear();
  O.Now = Phase::Serving;
}

void World::startTakeover(Owner &O) {
  O.Wanted = Platform;
  ++O.Wanted.Version;
  O.Wanted.Token = std::to_string(++NextNumber);
  O.Now = Phase::Taking;
  compareAndSwap(O);
}

void World::compareAndSwap(Owner &O) {
  Written[O.Wanted.Version].push_back(O.Wanted);
  Bag.push_back([this, Wanted = O.Wanted](bool) {
    if (Platform.Version + 1 != Wanted.Version)
      return;
    Platform = Wanted;
    Written[Wanted.Version] = {Wanted};
  });
}

void World::readBack(Owner &O) {
  if (Platform.Token != O.Wanted.Token)
    return Platform.Version < O.Wanted.Version ? compareAndSwap(O) : forget(O);
  O.Mine = O.Wanted;
  O.Sealed.clear();
  for (auto &[Root, Waiting] : O.Pending)
    Waiting.Accepted.clear();
  for (auto &[Number, Each] : O.Jobs)
    Each.Confirmed.clear();
  O.Now = O.Now == Phase::Taking ? Phase::Sealing : Phase::Resealing;
  sealNamed(O);
}

void World::sealCopy(Owner &O, const FolderId &Copy) {
  const Epoch At = O.Mine.Version;
  send(
      O, Copy, [At](ShardCopy &Held) { return applySeal(Held, At); },
      [this, &O, Copy](const ShardCopy &Held) {
        if (O.Sealed.count(Copy) != 0)
          return;
        if (O.Now == Phase::Filling) {
          for (const Install &Change :
               installsForCopy(Held.Logs, O.Agreed, O.Mine.Version))
            O.Outstanding[{Copy, Change.Root}] = Change;
          O.Outstanding.erase({Copy, ProgramId()});
        } else if (O.Now != Phase::Sealing && O.Now != Phase::Resealing)
          return;
        O.Sealed[Copy] = Held.Logs;
        if (O.Now == Phase::Resealing &&
            O.Sealed.size() == O.Mine.Copies.size())
          O.Now = Phase::Serving;
      });
}

void World::sealNamed(Owner &O) {
  for (const CopyLocation &Place : O.Mine.Copies)
    if (O.Sealed.count(Place.Folder) == 0)
      sealCopy(O, Place.Folder);
}

void World::settleAll(Owner &O) {
  ++Seen.Takeovers;
  std::set<ProgramId> Roots;
  for (const auto &[Copy, Held] : O.Sealed)
    for (const auto &[Root, Records] : Held)
      Roots.insert(Root);
  for (const ProgramId &Root : Roots) {
    std::vector<SealedLog> Sealed;
    for (const auto &[Copy, Held] : O.Sealed)
      Sealed.push_back({Copy, Held.count(Root) ? Held.at(Root) : Log()});
    LogReconciliation Settled =
        reconcileLogs(Root, Sealed, O.Mine.Copies.size(), O.Mine.Version);
    for (const Repair &Each : Settled.Repairs)
      O.Outstanding[{Each.Folder, Root}] = Each.Change;
    Seen.Repairs += Settled.Repairs.empty() ? 0 : 1;
    for (const OpenCall &Open : Settled.OpenCalls)
      if (Open.Fate == OpenCallResolution::AskEndpoint)
        O.Jobs[++NextNumber] = {std::nullopt, 0,         Stage::Sent,
                                Open.Program, Open.Sent, {}};
    if (Settled.Log.empty())
      continue;
    const Expected<ProgramTree> Now = replay(Root, Settled.Log);
    require(Now.has_value(), "a settled log is refused");
    if (!Now)
      continue;
    checkFamily(*Now);
    O.Families[Root] = *Now;
    O.Agreed[Root] = Settled.Log;
  }
  // A stale owner may settle what it read long ago; no copy will obey it.
  if (Platform == O.Mine)
    checkTold(O);
  O.Now = Phase::Repairing;
}

void World::installOutstanding(Owner &O) {
  for (const auto &[Where, Change] : O.Outstanding) {
    if (Where.second.empty()) {
      sealCopy(O, Where.first);
      continue;
    }
    send(
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

std::vector<CopyLocation> World::sealedOf(const Owner &O) const {
  std::vector<CopyLocation> Copies;
  for (const CopyLocation &Place : O.Mine.Copies)
    if (O.Sealed.count(Place.Folder) != 0)
      Copies.push_back(Place);
  return Copies;
}

void World::afterInstalls(Owner &O) {
  std::vector<CopyLocation> Copies = sealedOf(O);
  if (O.Now == Phase::Filling) {
    Copies = O.Mine.Copies;
    Copies.push_back(*O.Learner);
  }
  if (Copies == O.Mine.Copies)
    O.Now = Phase::Serving;
  else
    changeCopies(O, Copies);
}

void World::changeCopies(Owner &O, std::vector<CopyLocation> Copies) {
  O.Wanted = O.Mine;
  ++O.Wanted.Version;
  O.Wanted.Copies = std::move(Copies);
  O.Wanted.Token = std::to_string(++NextNumber);
  O.Now = Phase::Changing;
  compareAndSwap(O);
}

/// Seals and fills a folder that is to be named next.
void World::refill(Owner &O) {
  std::vector<FolderId> Free;
  for (const auto &[Name, Place] : Folders)
    if (!Place.Lost && !names(O.Mine, Name))
      Free.push_back(Name);
  if (Free.empty())
    return;
  const FolderId Copy = Free[pick(static_cast<std::uint32_t>(Free.size()))];
  ++Seen.Refills;
  O.Learner = CopyLocation{Copy, {}};
  O.Sealed.erase(Copy);
  O.Outstanding.clear();
  // Stands for the seal until its answer brings what the folder holds.
  O.Outstanding[{Copy, ProgramId()}] = Install();
  O.Now = Phase::Filling;
  sealCopy(O, Copy);
}

void World::dropCopy(Owner &O, std::size_t Index) {
  std::vector<CopyLocation> Fewer = O.Mine.Copies;
  Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Index));
  // An owner drops a copy only when the others have just confirmed.
  for (const CopyLocation &Place : Fewer)
    if (Folders.at(Place.Folder).Lost)
      return;
  if (!Fewer.empty())
    changeCopies(O, Fewer);
}

void World::serve(Owner &O) {
  const bool Few = O.Mine.Copies.size() < WantedCopies;
  if (pick(Few ? 3 : CopyChangeOdds) == 0) {
    if (O.Mine.Copies.size() < MostCopies && (Few || pick(2) == 0))
      return refill(O);
    return dropCopy(O, pick(static_cast<std::uint32_t>(O.Mine.Copies.size())));
  }
  if (pick(GiveUpOdds) == 0)
    for (std::size_t Index = 0; Index < O.Mine.Copies.size(); ++Index)
      if (const Folder &Place = Folders.at(O.Mine.Copies[Index].Folder);
          Place.Lost || !Place.Up)
        return dropCopy(O, Index);
  pushAppends(O);
  if (!O.Jobs.empty())
    workOn(O, std::next(O.Jobs.begin(),
                        pick(static_cast<std::uint32_t>(O.Jobs.size())))
                  ->first);
}

void World::pushAppends(Owner &O) {
  for (const auto &[Root, Waiting] : O.Pending)
    for (const CopyLocation &Place : O.Mine.Copies) {
      if (Waiting.Accepted.count(Place.Folder) != 0)
        continue;
      const Append Next{O.Mine.Version, Root, O.Agreed[Root].size(),
                        Waiting.Records.front()};
      const FolderId By = Place.Folder;
      send(
          O, By, [Next](ShardCopy &Held) { return applyAppend(Held, Next); },
          [this, &O, Next, By](const ShardCopy &) {
            const auto Found = O.Pending.find(Next.Root);
            if (O.Now == Phase::Serving && Found != O.Pending.end() &&
                O.Agreed[Next.Root].size() == Next.Index)
              accepted(O, Next.Root, By);
          });
    }
}

void World::accepted(Owner &O, const ProgramId &Root, const FolderId &By) {
  PendingAppends &Waiting = O.Pending[Root];
  Waiting.Accepted.insert(By);
  for (const CopyLocation &Place : O.Mine.Copies)
    if (Waiting.Accepted.count(Place.Folder) == 0)
      return;
  const Record Entry = Waiting.Records.front();
  Waiting.Records.pop_front();
  Waiting.Accepted.clear();
  if (Waiting.Records.empty())
    O.Pending.erase(Root);
  checkAgreed(Root, O.Agreed[Root].size(), Entry);
  O.Agreed[Root].push_back(Entry);
  applied(O, Entry);
}

} // namespace tamarack::test
