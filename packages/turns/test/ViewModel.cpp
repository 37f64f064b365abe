#include "ViewModel.h"

#include "tamarack/turns/View.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <unordered_map>
#include <utility>

namespace tamarack::testing {
namespace {

/// A bit for each folder: FolderStride times the number of disks that the
/// ledger has lost, plus the number of the ledger. For records, there is a bit
/// more for each ledger that has listed it and has still to fetch it.
using FolderSet = std::uint64_t;
constexpr unsigned FolderStride = 8;
constexpr unsigned MaxFolders = 4 * FolderStride;
constexpr unsigned SetBits = MaxFolders + FolderStride;
constexpr FolderSet FolderBits = (FolderSet(1) << MaxFolders) - 1;

FolderSet pendingBit(unsigned Ledger) {
  return FolderSet(1) << (MaxFolders + Ledger);
}

const FolderId &folderName(unsigned Folder) {
  static const std::vector<FolderId> Names = [] {
    std::vector<FolderId> Result;
    for (unsigned Number = 0; Number < MaxFolders; ++Number)
      Result.emplace_back("f" + std::to_string(Number));
    return Result;
  }();
  return Names[Folder];
}

unsigned folderNumber(const FolderId &Folder) {
  unsigned Result = 0;
  for (const char Digit : Folder.text().substr(1))
    Result = Result * 10 + static_cast<unsigned>(Digit - '0');
  return Result;
}

FolderSet folderBit(unsigned Folder) { return FolderSet(1) << Folder; }
FolderSet folderBit(const FolderId &Folder) {
  return folderBit(folderNumber(Folder));
}

bool contains(FolderSet Set, const FolderId &Folder) {
  return (Set & folderBit(Folder)) != 0;
}

std::set<FolderId> foldersOf(FolderSet Set) {
  std::set<FolderId> Result;
  for (unsigned Folder = 0; Folder < MaxFolders; ++Folder)
    if ((Set & folderBit(Folder)) != 0)
      Result.insert(folderName(Folder));
  return Result;
}

RecordHolder holderWith(unsigned Folder) {
  const unsigned Ledger = Folder % FolderStride;
  return {folderName(Folder), InstanceId("i" + std::to_string(Ledger)),
          DataCentreId("a"), "a" + std::to_string(Ledger)};
}

ViewMember memberWith(unsigned Folder) {
  const RecordHolder Holder = holderWith(Folder);
  return {Holder.Folder, Holder.Instance, Holder.DataCentre, Holder.Address};
}

struct ModelLedger {
  unsigned LostDisks = 0;
  bool IsUp = true;
  /// Whether the machine is gone for good, with its disk.
  bool IsGone = false;
  bool IsRetiring = false;
  /// The index in ModelState::Views of the oldest view that it still obeys.
  unsigned SeenView = 0;
  /// The holders that have listed their records since FetchesSince.
  FolderSet Fetched = 0;
  View FetchesSince;
  /// The members that have its records since it began to leave.
  FolderSet CaughtUp = 0;
};

struct ModelState {
  /// The current view is the last; the others are older ones that clients may
  /// still use.
  std::vector<View> Views;
  std::vector<ModelLedger> Ledgers;
  /// For each kind of acknowledged record, the folders that have it.
  std::vector<FolderSet> Records;
  /// The members that have not joined and whose place lost its records.
  FolderSet LostPlaces = 0;
  unsigned LossesLeft = 0;
  bool MayOrderRetirement = false;

  const View &view() const { return Views.back(); }
  unsigned folder(unsigned Ledger) const {
    return Ledgers[Ledger].LostDisks * FolderStride + Ledger;
  }
  FolderSet ownBit(unsigned Ledger) const { return folderBit(folder(Ledger)); }
  /// Returns whether the disk with this folder exists.
  bool exists(const FolderId &Folder) const {
    const unsigned Number = folderNumber(Folder);
    const unsigned Ledger = Number % FolderStride;
    return !Ledgers[Ledger].IsGone && folder(Ledger) == Number;
  }
  bool isUp(const FolderId &Folder) const {
    return exists(Folder) && Ledgers[folderNumber(Folder) % FolderStride].IsUp;
  }
};

// Encoding: states are kept as short strings.

void encode(std::string &Out, const View &Of) {
  Out.push_back(static_cast<char>(Of.Members.size()));
  for (const ViewMember &Member : Of.Members) {
    Out.push_back(static_cast<char>(folderNumber(Member.Folder)));
    Out.push_back(static_cast<char>((Member.Joined ? 1 : 0) +
                                    (Member.Leaving ? 2 : 0) +
                                    (Member.AtFreePlace ? 4 : 0)));
    Out.push_back(static_cast<char>(
        Member.Predecessor ? 1 + folderNumber(Member.Predecessor->Folder) : 0));
  }
}

void encode(std::string &Out, FolderSet Set) {
  for (unsigned Shift = 0; Shift < SetBits; Shift += 8)
    Out.push_back(static_cast<char>((Set >> Shift) & 0xFFU));
}

std::string encode(const ModelState &Of) {
  std::string Out;
  Out.push_back(static_cast<char>(Of.Views.size()));
  for (const View &Each : Of.Views)
    encode(Out, Each);
  for (const ModelLedger &Each : Of.Ledgers) {
    Out.push_back(static_cast<char>(Each.LostDisks));
    Out.push_back(static_cast<char>((Each.IsUp ? 1 : 0) +
                                    (Each.IsGone ? 2 : 0) +
                                    (Each.IsRetiring ? 4 : 0)));
    Out.push_back(static_cast<char>(Each.SeenView));
    encode(Out, Each.Fetched);
    encode(Out, Each.FetchesSince);
    encode(Out, Each.CaughtUp);
  }
  Out.push_back(static_cast<char>(Of.LossesLeft));
  Out.push_back(static_cast<char>(Of.MayOrderRetirement ? 1 : 0));
  encode(Out, Of.LostPlaces);
  for (const FolderSet Record : Of.Records)
    encode(Out, Record);
  return Out;
}

class Decoder {
public:
  explicit Decoder(const std::string &From) : From(From) {}
  bool atEnd() const { return Next == From.size(); }
  unsigned number() { return static_cast<unsigned char>(From[Next++]); }
  FolderSet folders() {
    FolderSet Result = 0;
    for (unsigned Shift = 0; Shift < SetBits; Shift += 8)
      Result |= FolderSet(number()) << Shift;
    return Result;
  }
  View view() {
    // No ledger of the model is one of the first start, for which alone the
    // number would matter.
    View Result{100, {}};
    for (unsigned Left = number(); Left > 0; --Left) {
      ViewMember Member = memberWith(number());
      const unsigned Flags = number();
      Member.Joined = (Flags & 1U) != 0;
      Member.Leaving = (Flags & 2U) != 0;
      Member.AtFreePlace = (Flags & 4U) != 0;
      if (const unsigned Predecessor = number(); Predecessor > 0)
        Member.Predecessor = holderWith(Predecessor - 1);
      Result.Members.push_back(std::move(Member));
    }
    return Result;
  }

private:
  const std::string &From;
  std::size_t Next = 0;
};

ModelState decode(const std::string &Text, std::size_t LedgerCount) {
  Decoder From(Text);
  ModelState Result;
  for (unsigned Left = From.number(); Left > 0; --Left)
    Result.Views.push_back(From.view());
  for (std::size_t Number = 0; Number < LedgerCount; ++Number) {
    ModelLedger Each;
    Each.LostDisks = From.number();
    const unsigned Flags = From.number();
    Each.IsUp = (Flags & 1U) != 0;
    Each.IsGone = (Flags & 2U) != 0;
    Each.IsRetiring = (Flags & 4U) != 0;
    Each.SeenView = From.number();
    Each.Fetched = From.folders();
    Each.FetchesSince = From.view();
    Each.CaughtUp = From.folders();
    Result.Ledgers.push_back(std::move(Each));
  }
  Result.LossesLeft = From.number();
  Result.MayOrderRetirement = From.number() != 0;
  Result.LostPlaces = From.folders();
  while (!From.atEnd())
    Result.Records.push_back(From.folders());
  return Result;
}

std::string describe(const View &Of) {
  std::string Result;
  for (const ViewMember &Member : Of.Members) {
    Result += " " + Member.Folder.text();
    Result += Member.Joined ? "" : Member.Leaving ? "(leaving)" : "(fetching";
    if (Member.Predecessor)
      Result += " after " + Member.Predecessor->Folder.text();
    Result += Member.Joined || Member.Leaving ? "" : ")";
  }
  return Result;
}

/// Calls \p Use with each subset of \p Of that has \p Size members.
void forEachSubset(FolderSet Of, std::size_t Size,
                   const std::function<void(FolderSet)> &Use,
                   FolderSet Chosen = 0) {
  if (Size == 0) {
    Use(Chosen);
    return;
  }
  for (FolderSet Rest = Of; Rest != 0;) {
    const FolderSet Lowest = Rest & (~Rest + 1);
    Rest &= ~Lowest;
    forEachSubset(Rest, Size - 1, Use, Chosen | Lowest);
  }
}

/// One step from a state.
struct Successor {
  ModelState State;
  std::string Event;
  /// Whether it is a step of the ledgers alone, and not a fault or an order.
  bool IsOwnStep = false;
};

class Model {
public:
  explicit Model(const ModelOptions &Options) : Options(Options) {}

  std::size_t ledgerCount() const { return Options.Members + Options.Standby; }

  ModelState initial() const {
    ModelState Result;
    Result.LossesLeft = Options.Losses;
    Result.MayOrderRetirement = Options.Retires;
    Result.Ledgers.resize(ledgerCount());
    View Formed{100, {}};
    for (unsigned Ledger = 0; Ledger < Options.Members; ++Ledger) {
      Formed.Members.push_back(memberWith(Ledger));
      Formed.Members.back().Joined = true;
    }
    Result.Views.push_back(std::move(Formed));
    normalise(Result);
    return Result;
  }

  std::vector<Successor> successors(const ModelState &Of) const {
    std::vector<Successor> Result;
    for (unsigned Ledger = 0; Ledger < ledgerCount(); ++Ledger) {
      if (Of.Ledgers[Ledger].IsGone)
        continue;
      addFaults(Of, Ledger, Result);
      if (Of.Ledgers[Ledger].IsUp)
        addSteps(Of, Ledger, Result);
    }
    for (Successor &Each : Result)
      normalise(Each.State);
    return Result;
  }

  bool serves(const ModelState &Of) const {
    const View &Current = Of.view();
    const auto Serving =
        std::count_if(Current.Members.begin(), Current.Members.end(),
                      [&](const ViewMember &Member) {
                        return Member.Joined && Of.isUp(Member.Folder);
                      });
    return static_cast<std::size_t>(Serving) >=
           requiredCopies(Current, Options.DurableCopies);
  }

  /// Returns whether enough disks are left to store a record. A machine that
  /// has retired is taken away.
  bool canServe(const ModelState &Of) const {
    std::size_t Left = 0;
    for (unsigned Ledger = 0; Ledger < ledgerCount(); ++Ledger) {
      const ModelLedger &Each = Of.Ledgers[Ledger];
      const bool HasRetired =
          Each.IsRetiring &&
          !holdsRecords(Of.view(), folderName(Of.folder(Ledger)));
      Left += !Each.IsGone && !HasRetired ? 1 : 0;
    }
    return Left >= Options.DurableCopies;
  }

  /// Returns whether a ledger that retires still has a place.
  bool isRetiring(const ModelState &Of) const {
    for (unsigned Ledger = 0; Ledger < ledgerCount(); ++Ledger)
      if (Of.Ledgers[Ledger].IsRetiring &&
          holdsRecords(Of.view(), folderName(Of.folder(Ledger))))
        return true;
    return false;
  }

  /// Returns whether enough disks are left to store a record without those of
  /// ledgers that retire.
  bool canRetire(const ModelState &Of) const {
    const auto Left = std::count_if(Of.Ledgers.begin(), Of.Ledgers.end(),
                                    [](const ModelLedger &Each) {
                                      return !Each.IsGone && !Each.IsRetiring;
                                    });
    return static_cast<std::size_t>(Left) >= Options.DurableCopies;
  }

  /// Returns whether a client that reads as many joined members as it must gets
  /// every acknowledged record, and whether each is on a holder's disk.
  bool keepsRecords(const ModelState &Of) const {
    const View &Current = Of.view();
    FolderSet Joined = 0;
    for (const ViewMember &Member : Current.Members)
      Joined |= Member.Joined && Of.exists(Member.Folder)
                    ? folderBit(Member.Folder)
                    : 0;
    FolderSet Holders = 0;
    for (const RecordHolder &Holder : recordHolders(Current))
      Holders |= folderBit(Holder.Folder);
    const std::size_t Copies = requiredCopies(Current, Options.DurableCopies);
    return std::all_of(
        Of.Records.begin(), Of.Records.end(), [&](FolderSet Record) {
          return static_cast<std::size_t>(std::popcount(Joined & ~Record)) <
                     Copies &&
                 (Holders & Record) != 0;
        });
  }

private:
  /// The number of places that a loss of a disk has harmed and no ledger has
  /// taken over since: the records of the place are lost, or the member that
  /// fetches is.
  std::size_t harmedPlaces(const ModelState &Of) const {
    return static_cast<std::size_t>(std::count_if(
        Of.view().Members.begin(), Of.view().Members.end(),
        [&](const ViewMember &Member) {
          return !Of.exists(Member.Folder) ||
                 contains(Of.LostPlaces, Member.Folder) ||
                 (Member.Predecessor && !Of.exists(Member.Predecessor->Folder));
        }));
  }

  void addFaults(const ModelState &Of, unsigned Ledger,
                 std::vector<Successor> &Result) const {
    const std::string Name = " f" + std::to_string(Of.folder(Ledger));
    const ModelLedger &Before = Of.Ledgers[Ledger];
    const auto Down = std::count_if(
        Of.Ledgers.begin(), Of.Ledgers.end(),
        [](const ModelLedger &Each) { return !Each.IsGone && !Each.IsUp; });
    if (!Before.IsUp) {
      Successor &Next =
          Result.emplace_back(Successor{Of, "start" + Name, true});
      Next.State.Ledgers[Ledger].IsUp = true;
    } else if (Down < Options.MaxDown) {
      Successor &Next = Result.emplace_back(Successor{Of, "kill" + Name});
      stopProcess(Next.State.Ledgers[Ledger]);
    }
    if (Of.MayOrderRetirement && Ledger + 1 == Options.Members) {
      Successor &Next =
          Result.emplace_back(Successor{Of, "order to retire" + Name});
      Next.State.Ledgers[Ledger].IsRetiring = true;
      Next.State.MayOrderRetirement = false;
    }
    ModelState Lost = Of;
    Lost.Ledgers[Ledger].IsGone = true;
    if (Of.LossesLeft == 0 || harmedPlaces(Lost) >= Options.DurableCopies)
      return;
    --Lost.LossesLeft;
    Result.push_back({Lost, "lose for good" + Name});
    Lost.Ledgers[Ledger].IsGone = false;
    stopProcess(Lost.Ledgers[Ledger]);
    ++Lost.Ledgers[Ledger].LostDisks;
    Lost.Ledgers[Ledger].SeenView = 0;
    for (FolderSet &Record : Lost.Records)
      Record &= ~Of.ownBit(Ledger);
    Result.push_back({std::move(Lost), "wipe" + Name});
  }

  static void stopProcess(ModelLedger &Of) {
    Of.IsUp = false;
    Of.Fetched = 0;
    Of.FetchesSince = {};
    Of.CaughtUp = 0;
  }

  void addSteps(const ModelState &Of, unsigned Ledger,
                std::vector<Successor> &Result) const {
    const FolderId &Own = folderName(Of.folder(Ledger));
    const ViewMember *Member = findMember(Of.view(), Own);
    const bool IsFetching =
        Member != nullptr && !Member->Joined && !Member->Leaving;
    if (Of.Ledgers[Ledger].IsRetiring && !IsFetching &&
        !listsLostFolder(Of, Ledger))
      addRetirement(Of, Ledger, Result);
    else if (Member == nullptr)
      addJoins(Of, Ledger, Result);
    else if (IsFetching)
      addFetches(Of, Ledger, Result);
  }

  /// Returns whether the view lists a folder that the ledger has lost.
  bool listsLostFolder(const ModelState &Of, unsigned Ledger) const {
    const auto Listed = listedLedgers(Of.view());
    return std::any_of(
        Listed.begin(), Listed.end(), [&](const RecordHolder &Each) {
          return folderNumber(Each.Folder) % FolderStride == Ledger &&
                 folderNumber(Each.Folder) != Of.folder(Ledger);
        });
  }

  void addJoins(const ModelState &Of, unsigned Ledger,
                std::vector<Successor> &Result) const {
    std::set<FolderId> Unreachable;
    const auto Listed = listedLedgers(Of.view());
    for (const RecordHolder &Each : Listed)
      if (!Of.isUp(Each.Folder))
        Unreachable.insert(Each.Folder);
    addJoin(Of, Ledger, Unreachable, "", Result);
    if (!Options.Suspects)
      return;
    if (!Unreachable.empty())
      addJoin(Of, Ledger, {}, ", relying on all", Result);
    for (const RecordHolder &Each : Listed)
      if (Unreachable.count(Each.Folder) == 0) {
        std::set<FolderId> Suspected = Unreachable;
        Suspected.insert(Each.Folder);
        addJoin(Of, Ledger, Suspected, ", suspecting " + Each.Folder.text(),
                Result);
      }
  }

  void addJoin(const ModelState &Of, unsigned Ledger,
               const std::set<FolderId> &Unreachable, const std::string &Why,
               std::vector<Successor> &Result) const {
    const FolderId &Own = folderName(Of.folder(Ledger));
    const JoinPlan Plan =
        planJoin(Of.view(), memberWith(Of.folder(Ledger)), Unreachable,
                 {Options.Members, Options.DurableCopies, false});
    if (!Plan.Next)
      return;
    Successor Next{Of, Own.text() + " " + Plan.Reason + Why, Why.empty()};
    changeView(Next.State, Ledger, *Plan.Next);
    Result.push_back(std::move(Next));
  }

  void addFetches(const ModelState &Of, unsigned Ledger,
                  std::vector<Successor> &Result) const {
    const FolderId &Own = folderName(Of.folder(Ledger));
    const View &Current = Of.view();
    const ModelLedger &Fetching = Of.Ledgers[Ledger];
    FolderSet Holders = 0;
    FolderSet Up = 0;
    for (const RecordHolder &Each : recordHolders(Current)) {
      const FolderSet Bit = folderBit(Each.Folder);
      Holders |= Bit;
      Up |= Of.isUp(Each.Folder) ? Bit : 0;
    }
    const std::size_t Needed = requiredSources(Current, Options.DurableCopies);
    const bool Continues = keepsSources(Fetching.FetchesSince, Current) &&
                           (Fetching.Fetched & ~Holders) == 0;
    const FolderSet Listed = Continues ? Fetching.Fetched : 0;
    const FolderSet Pending = pendingBit(Ledger);
    const bool IsComplete = std::none_of(
        Of.Records.begin(), Of.Records.end(),
        [Pending](FolderSet Record) { return (Record & Pending) != 0; });
    const bool IsListed =
        static_cast<std::size_t>(std::popcount(Listed)) >= Needed;
    if (IsListed && IsComplete) {
      Successor Next{Of, Own.text() + " joined", true};
      changeView(Next.State, Ledger, withMemberJoined(Current, Own));
      Result.push_back(std::move(Next));
    }
    for (const FolderId &Each : foldersOf(Up & Listed)) {
      Successor Next{Of, Own.text() + " fetches from " + Each.text(), true};
      for (FolderSet &Record : Next.State.Records)
        if ((Record & Pending) != 0 && contains(Record, Each))
          Record = (Record | Of.ownBit(Ledger)) & ~Pending;
      Result.push_back(std::move(Next));
    }
    // Another holder may keep what one that is down has listed.
    const bool MayListMore = !IsComplete && (Listed & ~Up) != 0;
    if (IsListed && !MayListMore)
      return;
    forEachSubset(
        IsListed ? Up & ~Listed : Up, IsListed ? 1 : Needed,
        [&](FolderSet Sources) {
          Successor Next{Of, Own.text() + " lists", true};
          for (const FolderId &Each : foldersOf(Sources))
            Next.Event += " " + Each.text();
          ModelLedger &After = Next.State.Ledgers[Ledger];
          After.Fetched = Sources | (IsListed ? Listed : 0);
          After.FetchesSince = IsListed ? Fetching.FetchesSince : Current;
          listRecords(Next.State, Ledger, After.Fetched, After.FetchesSince);
          Result.push_back(std::move(Next));
        });
  }

  void addRetirement(const ModelState &Of, unsigned Ledger,
                     std::vector<Successor> &Result) const {
    const FolderId &Own = folderName(Of.folder(Ledger));
    const View &Current = Of.view();
    if (!holdsRecords(Current, Own)) {
      // The machine is taken away at once.
      Successor &Next =
          Result.emplace_back(Successor{Of, Own.text() + " is retired", true});
      Next.State.Ledgers[Ledger].IsGone = true;
      return;
    }
    const FolderSet CaughtUp = Of.Ledgers[Ledger].CaughtUp;
    std::set<FolderId> Answering;
    for (const ViewMember &Each : Current.Members)
      if (Of.isUp(Each.Folder))
        Answering.insert(Each.Folder);
    addLeave(Of, Ledger, Answering, "", Result);
    if (Options.Suspects)
      for (const ViewMember &Each : Current.Members) {
        std::set<FolderId> Wrong = Answering;
        if (Wrong.erase(Each.Folder) == 0)
          Wrong.insert(Each.Folder);
        addLeave(Of, Ledger, Wrong, ", wrong about " + Each.Folder.text(),
                 Result);
      }
    const ViewMember *Member = findMember(Current, Own);
    if (Member != nullptr && Member->Joined)
      return;
    for (const ViewMember &Each : Current.Members) {
      if (!Each.Joined || !Of.isUp(Each.Folder) ||
          contains(CaughtUp, Each.Folder))
        continue;
      Successor Next{Of, Each.Folder.text() + " catches up with " + Own.text(),
                     true};
      copyRecords(Next.State, Ledger, folderNumber(Each.Folder) % FolderStride);
      Next.State.Ledgers[Ledger].CaughtUp |= folderBit(Each.Folder);
      Result.push_back(std::move(Next));
    }
  }

  void addLeave(const ModelState &Of, unsigned Ledger,
                const std::set<FolderId> &Answering, const std::string &Why,
                std::vector<Successor> &Result) const {
    const FolderId &Own = folderName(Of.folder(Ledger));
    const LeavePlan Plan =
        planLeave(Of.view(), Own, foldersOf(Of.Ledgers[Ledger].CaughtUp),
                  Answering, Options.DurableCopies);
    if (!Plan.Next)
      return;
    Successor Next{Of, Own.text() + " " + Plan.Reason + Why, Why.empty()};
    changeView(Next.State, Ledger, *Plan.Next);
    const ViewMember *Now = findMember(*Plan.Next, Own);
    if (Now != nullptr && Now->Joined)
      Next.State.Ledgers[Ledger].CaughtUp = 0;
    Result.push_back(std::move(Next));
  }

  /// Both obey the current view before \p From lists its records.
  static void copyRecords(ModelState &In, unsigned From, unsigned To) {
    obeyView(In, From);
    obeyView(In, To);
    for (FolderSet &Record : In.Records)
      if ((Record & In.ownBit(From)) != 0)
        Record |= In.ownBit(To);
  }

  /// Marks what a ledger has to fetch: what too few of \p Sources keep once it
  /// has joined. They obey the current view before they list their records.
  void listRecords(ModelState &In, unsigned To, FolderSet Sources,
                   const View &Since) const {
    FolderSet Staying = 0;
    for (const ViewMember &Member : Since.Members)
      Staying |= Member.Joined ? folderBit(Member.Folder) : 0;
    const std::size_t Copies = requiredCopies(In.view(), Options.DurableCopies);
    for (const FolderId &Each : foldersOf(Sources))
      obeyView(In, folderNumber(Each) % FolderStride);
    obeyView(In, To);
    for (FolderSet &Record : In.Records) {
      const auto Kept =
          static_cast<std::size_t>(std::popcount(Record & Sources & Staying));
      const bool IsLacking =
          (Record & Sources) != 0 && (Record & In.ownBit(To)) == 0;
      Record &= ~pendingBit(To);
      Record |= IsLacking && Kept < Copies ? pendingBit(To) : 0;
    }
  }

  static void obeyView(ModelState &In, unsigned Ledger) {
    In.Ledgers[Ledger].SeenView =
        std::max<unsigned>(In.Ledgers[Ledger].SeenView, In.Views.size() - 1);
  }

  static void changeView(ModelState &Of, unsigned Ledger, const View &Next) {
    const View Before = Of.view();
    const auto HasLostItsPlace = [&](const ViewMember &Now) {
      const ViewMember *Then = findMember(Before, Now.Folder);
      if (Then == nullptr)
        for (const ViewMember &Each : Before.Members)
          if (findMember(Next, Each.Folder) == nullptr)
            Then = &Each;
      if (Then == nullptr)
        return false; // A free place.
      if (Then->Joined || Then->Leaving)
        return !Of.exists(Then->Folder);
      return Then->Predecessor ? !Of.exists(Then->Predecessor->Folder)
                               : contains(Of.LostPlaces, Then->Folder);
    };
    FolderSet LostPlaces = 0;
    for (const ViewMember &Member : Next.Members)
      if (!Member.Joined && !Member.Leaving && !Member.Predecessor &&
          HasLostItsPlace(Member))
        LostPlaces |= folderBit(Member.Folder);
    Of.LostPlaces = LostPlaces;
    Of.Views.push_back(Next);
    Of.Ledgers[Ledger].SeenView = Of.Views.size() - 1;
  }

  /// The joined members of a view that accept records of it.
  static FolderSet acceptingMembers(const ModelState &Of, unsigned Index,
                                    bool OnlyIfUp) {
    FolderSet Result = 0;
    for (const ViewMember &Member : Of.Views[Index].Members) {
      if (!Member.Joined || !Of.exists(Member.Folder))
        continue;
      const ModelLedger &Ledger =
          Of.Ledgers[folderNumber(Member.Folder) % FolderStride];
      if (Ledger.SeenView <= Index && (Ledger.IsUp || !OnlyIfUp))
        Result |= folderBit(Member.Folder);
    }
    return Result;
  }

  /// Brings states that differ in nothing that matters to the same form, and
  /// lets clients store records under all views that they may know.
  void normalise(ModelState &Of) const {
    dropUnusedViews(Of);
    for (unsigned Ledger = 0; Ledger < Of.Ledgers.size(); ++Ledger)
      normaliseLedger(Of, Ledger);
    storeRecords(Of);
    // A record on fewer disks is in more danger than one on these and others.
    std::vector<FolderSet> Kept;
    std::sort(Of.Records.begin(), Of.Records.end(),
              [](FolderSet Left, FolderSet Right) {
                const int Fewer = std::popcount(Left);
                const int More = std::popcount(Right);
                return Fewer != More ? Fewer < More : Left < Right;
              });
    for (const FolderSet Record : Of.Records)
      if (std::none_of(Kept.begin(), Kept.end(), [Record](FolderSet Each) {
            return (Each & ~Record) == 0 &&
                   ((Each ^ Record) & ~FolderBits) == 0;
          }))
        Kept.push_back(Record);
    Of.Records = std::move(Kept);
  }

  /// Returns whether clients may store records under an older view that they
  /// may not store in the same way under a later one.
  bool isStillUsed(const ModelState &Of, unsigned Index) const {
    const View &Older = Of.Views[Index];
    const std::size_t Copies = requiredCopies(Older, Options.DurableCopies);
    const FolderSet Accepting = acceptingMembers(Of, Index, /*OnlyIfUp=*/false);
    if (static_cast<std::size_t>(std::popcount(Accepting)) < Copies)
      return false;
    for (unsigned Later = Index + 1; Later < Of.Views.size(); ++Later) {
      const FolderSet AcceptingLater =
          acceptingMembers(Of, Later, /*OnlyIfUp=*/false);
      if ((Accepting & ~AcceptingLater) == 0 &&
          requiredCopies(Of.Views[Later], Options.DurableCopies) <= Copies)
        return false;
    }
    return true;
  }

  void dropUnusedViews(ModelState &Of) const {
    for (unsigned Index = 0; Index + 1 < Of.Views.size();) {
      if (isStillUsed(Of, Index)) {
        ++Index;
        continue;
      }
      Of.Views.erase(Of.Views.begin() + Index);
      for (ModelLedger &Ledger : Of.Ledgers)
        Ledger.SeenView -= Ledger.SeenView > Index ? 1 : 0;
    }
  }

  static void normaliseLedger(ModelState &Of, unsigned Index) {
    ModelLedger &Ledger = Of.Ledgers[Index];
    const FolderId &Own = folderName(Of.folder(Index));
    const ViewMember *Now = findMember(Of.view(), Own);
    if (Now == nullptr || Now->Joined || Now->Leaving) {
      Ledger.Fetched = 0;
      Ledger.FetchesSince = {};
    }
    if (Ledger.Fetched == 0)
      for (FolderSet &Record : Of.Records)
        Record &= ~pendingBit(Index);
    if (Ledger.IsGone) {
      for (FolderSet &Record : Of.Records)
        Record &= ~Of.ownBit(Index);
      const unsigned LostDisks = Ledger.LostDisks;
      Ledger = {};
      Ledger.LostDisks = LostDisks;
      Ledger.IsUp = false;
      Ledger.IsGone = true;
    }
    const auto Accepts = [&](unsigned View) {
      const ViewMember *Member = findMember(Of.Views[View], Own);
      return Member != nullptr && Member->Joined;
    };
    while (Ledger.SeenView < Of.Views.size() && !Accepts(Ledger.SeenView))
      ++Ledger.SeenView;
  }

  void storeRecords(ModelState &Of) const {
    for (unsigned Index = 0; Index < Of.Views.size(); ++Index)
      forEachSubset(acceptingMembers(Of, Index, /*OnlyIfUp=*/true),
                    requiredCopies(Of.Views[Index], Options.DurableCopies),
                    [&](FolderSet Stored) { Of.Records.push_back(Stored); });
  }

  const ModelOptions Options;
};

/// The graph of all states, breadth first.
class Explorer {
public:
  explicit Explorer(const ModelOptions &Options)
      : Options(Options), Of(Options) {}

  Exploration run() {
    add(Of.initial(), 0);
    for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
      if (Keys.size() > Options.MaxStates) {
        Result.IsComplete = false;
        break;
      }
      expand(static_cast<std::uint32_t>(Index));
    }
    Result.States = Keys.size();
    if (Result.IsComplete)
      findViolations();
    return Result;
  }

private:
  struct Node {
    std::uint32_t Parent = 0;
    /// Whether the state, or one to which steps of the ledgers lead, serves,
    /// and has no ledger that retires.
    bool Serves = false;
    bool HasRetired = false;
    bool MustServe = false;
    bool MustRetire = false;
  };

  std::uint32_t add(const ModelState &State, std::uint32_t Parent) {
    const auto [Found, Added] =
        Numbers.try_emplace(encode(State), static_cast<std::uint32_t>(0));
    if (!Added)
      return Found->second;
    Found->second = static_cast<std::uint32_t>(Keys.size());
    Keys.push_back(&Found->first);
    Nodes.push_back({Parent, Of.serves(State), !Of.isRetiring(State),
                     Of.canServe(State), Of.canRetire(State)});
    LeadsHere.emplace_back();
    if (!Of.keepsRecords(State))
      report(Result.Lost, Found->second);
    return Found->second;
  }

  void expand(std::uint32_t Index) {
    const ModelState State = decode(*Keys[Index], Of.ledgerCount());
    for (const Successor &Next : Of.successors(State)) {
      const std::uint32_t Number = add(Next.State, Index);
      if (!Next.IsOwnStep)
        continue;
      LeadsHere[Number].push_back(Index);
      if (!Options.Suspects && Nodes[Index].MustServe &&
          !Nodes[Number].MustServe)
        report(Result.Stranded, Number);
    }
  }

  /// Sets \p Flag of all states from which steps of the ledgers lead to one
  /// that has it.
  void markThoseLeadingTo(bool Node::*Flag) {
    std::vector<std::uint32_t> Open;
    for (std::uint32_t Index = 0; Index < Nodes.size(); ++Index)
      if (Nodes[Index].*Flag)
        Open.push_back(Index);
    while (!Open.empty()) {
      const std::uint32_t Index = Open.back();
      Open.pop_back();
      for (const std::uint32_t Before : LeadsHere[Index])
        if (!std::exchange(Nodes[Before].*Flag, true))
          Open.push_back(Before);
    }
  }

  void findViolations() {
    markThoseLeadingTo(&Node::Serves);
    markThoseLeadingTo(&Node::HasRetired);
    for (std::uint32_t Index = 0; Index < Nodes.size(); ++Index) {
      if (Nodes[Index].MustServe && !Nodes[Index].Serves)
        report(Result.Unserved, Index);
      if (Nodes[Index].MustRetire && !Nodes[Index].HasRetired)
        report(Result.Unretired, Index);
    }
  }

  void report(Violations &In, std::uint32_t Index) {
    if (In.Count++ == 0)
      In.FirstHistory = history(Index);
  }

  std::string history(std::uint32_t Index) {
    if (Index == 0)
      return "";
    const std::uint32_t Parent = Nodes[Index].Parent;
    std::string Before = history(Parent);
    const ModelState State = decode(*Keys[Parent], Of.ledgerCount());
    for (const Successor &Next : Of.successors(State))
      if (encode(Next.State) == *Keys[Index])
        return Before + Next.Event + ":" + describe(Next.State.view()) + "\n";
    return Before;
  }

  const ModelOptions Options;
  const Model Of;
  Exploration Result;
  std::unordered_map<std::string, std::uint32_t> Numbers;
  std::vector<const std::string *> Keys;
  std::vector<Node> Nodes;
  /// For each state, those from which a step of a ledger leads to it.
  std::vector<std::vector<std::uint32_t>> LeadsHere;
};

} // namespace

Exploration explore(const ModelOptions &Options) {
  return Explorer(Options).run();
}

} // namespace tamarack::testing
