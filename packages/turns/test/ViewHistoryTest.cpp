/// Random histories of views, ledgers, disks and records: ledgers are killed,
/// come back with or without their disks, stand by, join and retire, at most as
/// many disks at a time being lost as the deployment tolerates.
#include "tamarack/turns/View.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace tamarack;

namespace {

using RecordNumber = int;

constexpr std::size_t MaxLedgers = 12;

struct Ledger {
  ViewMember Self;
  std::set<RecordNumber> Records;
  std::uint64_t SeenView = 0;
  bool IsUp = true;
  bool IsFirstStart = true;
  bool IsRetiring = false;
  /// The sources fetched from since the view was this one.
  std::set<FolderId> Fetched;
  View FetchesSince;
  /// The members that have fetched from this ledger since it began to leave.
  std::set<FolderId> CaughtUp;
};

class Deployment {
public:
  explicit Deployment(std::size_t ToleratedLosses)
      : Losses(ToleratedLosses), Members(2 * ToleratedLosses + 1) {}

  void addLedger(bool IsFirstStart) {
    const std::string Number = std::to_string(Ledgers.size());
    Ledger &Added = Ledgers.emplace_back();
    Added.Self = {FolderId("folder-" + Number), InstanceId("i-" + Number),
                  DataCentreId("a"), "10.0.0.1:" + Number};
    Added.IsFirstStart = IsFirstStart;
  }

  std::size_t size() const { return Ledgers.size(); }
  const View &view() const { return Current; }

  void kill(std::size_t Index) { Ledgers[Index].IsUp = false; }

  /// Starts a ledger that is down. One that has retired is replaced by an empty
  /// one first.
  void start(std::size_t Index) {
    Ledger &Of = Ledgers[Index];
    if (std::exchange(Of.IsUp, true))
      return;
    if (Of.IsRetiring && !listsInstance(Of.Self.Instance)) {
      empty(Index);
      Of.IsRetiring = false;
    }
    Of.IsFirstStart = false;
    Of.FetchesSince = {};
    Of.CaughtUp.clear();
  }

  /// Empties the disk of a ledger that is down, if no more are lost then than
  /// the deployment tolerates.
  void wipe(std::size_t Index) {
    Ledger &Of = Ledgers[Index];
    const auto Holders = recordHolders(Current);
    const auto Lost = static_cast<std::size_t>(std::count_if(
        Holders.begin(), Holders.end(), [&](const RecordHolder &Holder) {
          return findLedger(Holder.Folder) == nullptr ||
                 Holder.Folder == Of.Self.Folder;
        }));
    if (Of.IsUp || Lost + vacatedPlaces() > Losses)
      return;
    empty(Index);
  }

  /// Stores a record under a view that a client knows, at the joined members
  /// that \p Reached selects.
  void store(const View &Known,
             const std::function<bool(std::size_t)> &Reached) {
    const RecordNumber Record = ++Written;
    std::size_t Stored = 0;
    for (std::size_t Index = 0; Index < Ledgers.size(); ++Index) {
      Ledger &Of = Ledgers[Index];
      const ViewMember *Member = findMember(Known, Of.Self.Folder);
      if (Member == nullptr || !Member->Joined || !Of.IsUp ||
          Of.SeenView > Known.Number || !Reached(Index))
        continue;
      Of.SeenView = Known.Number;
      Of.Records.insert(Record);
      ++Stored;
    }
    if (Stored >= requiredCopies(Known, Losses + 1))
      Acknowledged.insert(Record);
  }

  /// Lets a ledger do its next step. \p Choice selects among its sources,
  /// \p Suspected a member that answers and is taken for unreachable.
  void step(std::size_t Index, std::size_t Choice, std::size_t Suspected) {
    Ledger &Of = Ledgers[Index];
    if (!Of.IsUp)
      return;
    Of.SeenView = std::max(Of.SeenView, Current.Number);
    const ViewMember *Member = findMember(Current, Of.Self.Folder);
    if (Of.IsRetiring && !listsLostFolder(Of) &&
        (Member == nullptr || Member->Joined || Member->Leaving))
      retire(Of, Choice);
    else if (Member == nullptr)
      join(Of, Suspected);
    else if (!Member->Joined && !Member->Leaving)
      fetch(Of, Choice);
  }

  void orderRetirement(std::size_t Index) { Ledgers[Index].IsRetiring = true; }

  /// Checks that a client that reaches as many joined members as it must reads
  /// every acknowledged record, and that no record is left on lost disks only.
  void check() const {
    const std::size_t Copies = requiredCopies(Current, Losses + 1);
    for (const RecordNumber Record : Acknowledged) {
      std::size_t JoinedWithout = 0;
      for (const ViewMember &Member : Current.Members) {
        const Ledger *Of = findLedger(Member.Folder);
        JoinedWithout +=
            Member.Joined && Of != nullptr && Of->Records.count(Record) == 0
                ? 1
                : 0;
      }
      RC_ASSERT(JoinedWithout < Copies);
      const auto Holders = recordHolders(Current);
      RC_ASSERT(std::any_of(
          Holders.begin(), Holders.end(), [&](const RecordHolder &Holder) {
            const Ledger *Of = findLedger(Holder.Folder);
            return Of != nullptr && Of->Records.count(Record) > 0;
          }));
    }
  }

  std::size_t acknowledgedCount() const { return Acknowledged.size(); }

private:
  void empty(std::size_t Index) {
    Ledger &Of = Ledgers[Index];
    Of.Records.clear();
    Of.SeenView = 0;
    Of.Self.Folder = FolderId("folder-" + std::to_string(Index) + "-" +
                              std::to_string(++Emptied));
  }
  bool listsInstance(const InstanceId &Instance) const {
    const auto Listed = listedLedgers(Current);
    return std::any_of(
        Listed.begin(), Listed.end(),
        [&](const RecordHolder &Each) { return Each.Instance == Instance; });
  }
  const Ledger *findLedger(const FolderId &Folder) const {
    const auto Found =
        std::find_if(Ledgers.begin(), Ledgers.end(), [&](const Ledger &Each) {
          return Each.Self.Folder == Folder;
        });
    return Found == Ledgers.end() ? nullptr : &*Found;
  }
  Ledger *findUp(const FolderId &Folder) {
    for (Ledger &Each : Ledgers)
      if (Each.Self.Folder == Folder && Each.IsUp)
        return &Each;
    return nullptr;
  }

  /// The places whose holder's folder is lost and known to be. A free place has
  /// lost nothing.
  std::size_t vacatedPlaces() const {
    return static_cast<std::size_t>(
        std::count_if(Current.Members.begin(), Current.Members.end(),
                      [](const ViewMember &Member) {
                        return !Member.Joined && !Member.Leaving &&
                               !Member.Predecessor && !Member.AtFreePlace;
                      }));
  }

  bool listsLostFolder(const Ledger &Of) const {
    const auto Listed = listedLedgers(Current);
    return std::any_of(Listed.begin(), Listed.end(),
                       [&](const RecordHolder &Each) {
                         return Each.Instance == Of.Self.Instance &&
                                Each.Folder != Of.Self.Folder;
                       });
  }

  void join(Ledger &Of, std::size_t Suspected) {
    std::set<FolderId> Unreachable;
    const auto Listed = listedLedgers(Current);
    for (std::size_t Index = 0; Index < Listed.size(); ++Index)
      if (findUp(Listed[Index].Folder) == nullptr || Index == Suspected)
        Unreachable.insert(Listed[Index].Folder);
    const JoinPlan Plan = planJoin(Current, Of.Self, Unreachable,
                                   {Members, Losses + 1, Of.IsFirstStart});
    if (!Plan.Next)
      return;
    Of.FetchesSince = {};
    change(Of, *Plan.Next);
  }

  void fetch(Ledger &Of, std::size_t Choice) {
    const std::vector<RecordHolder> Holders = recordHolders(Current);
    const std::size_t Needed = requiredSources(Current, Losses + 1);
    const bool AreHolders = std::all_of(
        Of.Fetched.begin(), Of.Fetched.end(),
        [this](const FolderId &Each) { return holdsRecords(Current, Each); });
    if (!keepsSources(Of.FetchesSince, Current) || !AreHolders)
      Of.Fetched.clear();
    if (!Of.Fetched.empty() && Of.Fetched.size() >= Needed) {
      change(Of, withMemberJoined(Current, Of.Self.Folder));
      return;
    }
    std::vector<const Ledger *> Sources;
    for (std::size_t Step = 0; Step < Holders.size(); ++Step)
      if (Ledger *From =
              findUp(Holders[(Choice + Step) % Holders.size()].Folder);
          From != nullptr && Sources.size() < Needed)
        Sources.push_back(From);
    if (Sources.size() < Needed)
      return;
    fetchFromAll(Of, Sources);
    Of.FetchesSince = Current;
    for (const Ledger *Source : Sources)
      Of.Fetched.insert(Source->Self.Folder);
  }

  /// Fetches what too few of \p Sources keep once \p To has joined.
  void fetchFromAll(Ledger &To, const std::vector<const Ledger *> &Sources) {
    std::map<RecordNumber, std::size_t> Kept;
    for (const Ledger *From : Sources) {
      const bool Stays = isJoined(Current, From->Self.Folder);
      for (const RecordNumber Record : From->Records)
        Kept[Record] += Stays ? 1 : 0;
      findUp(From->Self.Folder)->SeenView =
          std::max(From->SeenView, Current.Number);
    }
    To.SeenView = std::max(To.SeenView, Current.Number);
    for (const auto &[Record, Copies] : Kept)
      if (Copies < requiredCopies(Current, Losses + 1))
        To.Records.insert(Record);
  }

  bool fetchFrom(Ledger &To, const FolderId &Source) {
    Ledger *From = findUp(Source);
    if (From == nullptr)
      return false;
    From->SeenView = std::max(From->SeenView, Current.Number);
    To.SeenView = std::max(To.SeenView, Current.Number);
    To.Records.insert(From->Records.begin(), From->Records.end());
    return true;
  }

  void retire(Ledger &Of, std::size_t Choice) {
    if (!holdsRecords(Current, Of.Self.Folder))
      return;
    const ViewMember *Member = findMember(Current, Of.Self.Folder);
    const ViewMember &Other = Current.Members[Choice % Current.Members.size()];
    Ledger *To = findUp(Other.Folder);
    const bool IsJoined = Member != nullptr && Member->Joined;
    if (!IsJoined && Other.Joined && To != nullptr) {
      fetchFrom(*To, Of.Self.Folder);
      Of.CaughtUp.insert(Other.Folder);
    }
    std::set<FolderId> Answering;
    for (const ViewMember &Each : Current.Members)
      if (findUp(Each.Folder) != nullptr)
        Answering.insert(Each.Folder);
    const LeavePlan Plan =
        planLeave(Current, Of.Self.Folder, Of.CaughtUp, Answering, Losses + 1);
    if (!Plan.Next)
      return;
    change(Of, *Plan.Next);
    const ViewMember *Now = findMember(Current, Of.Self.Folder);
    if (Now != nullptr && Now->Joined)
      Of.CaughtUp.clear();
  }

  void change(Ledger &By, const View &Next) {
    RC_ASSERT(Next.Number == Current.Number + 1);
    Current = Next;
    By.SeenView = Next.Number;
  }

  const std::size_t Losses;
  const std::size_t Members;
  View Current;
  std::vector<Ledger> Ledgers;
  std::set<RecordNumber> Acknowledged;
  RecordNumber Written = 0;
  int Emptied = 0;
};

/// Draws from the whole range, also in the first histories.
std::size_t below(std::size_t Limit) {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, Limit));
}

struct HistoryTotals {
  std::size_t Acknowledged = 0;
  std::size_t ViewChanges = 0;
};

/// Plays one history of \p Steps events and checks it after each.
void playHistory(std::size_t Losses, std::size_t Standby, int Steps,
                 HistoryTotals &Totals) {
  Deployment Of(Losses);
  for (std::size_t Number = 0; Number < 2 * Losses + 1 + Standby; ++Number)
    Of.addLedger(/*IsFirstStart=*/true);
  const auto StepAll = [&] {
    for (std::size_t Index = 0; Index < Of.size(); ++Index)
      Of.step(Index, below(8), /*Suspected=*/99);
  };
  StepAll();
  View Known = Of.view();
  for (int Step = 0; Step < Steps; ++Step) {
    const std::size_t Index = below(Of.size());
    switch (below(20)) {
    case 0:
      Of.kill(Index);
      break;
    case 1:
    case 2:
    case 3:
      Of.start(Index);
      break;
    case 4:
    case 5:
      Of.wipe(Index);
      break;
    case 6:
      if (below(4) == 0)
        Of.orderRetirement(Index);
      break;
    case 7:
      if (Of.size() < MaxLedgers && below(4) == 0)
        Of.addLedger(/*IsFirstStart=*/false);
      break;
    case 8:
    case 9:
      Known = Of.view();
      [[fallthrough]];
    case 10:
      Of.store(Known, [](std::size_t) { return below(4) > 0; });
      break;
    case 11:
    case 12:
    case 13:
      StepAll();
      break;
    default:
      Of.step(Index, below(8), below(20));
    }
    Of.check();
  }
  Totals.Acknowledged += Of.acknowledgedCount();
  Totals.ViewChanges += Of.view().Number;
}

/// Histories in which ledgers fail, return and retire while others stand by.
void checkHistories(std::size_t Losses, std::size_t Standby) {
  HistoryTotals Totals;
  BOOST_TEST(rc::check("acknowledged records stay readable", [&] {
    playHistory(Losses, Standby, /*Steps=*/300, Totals);
  }));
  // Otherwise the histories would show nothing.
  BOOST_TEST(Totals.Acknowledged > 1000U);
  BOOST_TEST(Totals.ViewChanges > 1000U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ARandomHistoryOfViews)

/// Guards against members that count as holding records which only others had:
/// after overlapping losses, a first start, or a retirement.
BOOST_AUTO_TEST_SUITE(KeepsAcknowledgedRecordsReadable)

BOOST_AUTO_TEST_CASE(OfThreeMembersWithoutStandbyLedgers) {
  checkHistories(1, 0);
}
BOOST_AUTO_TEST_CASE(OfThreeMembersWithOneStandbyLedger) {
  checkHistories(1, 1);
}
BOOST_AUTO_TEST_CASE(OfThreeMembersWithTwoStandbyLedgers) {
  checkHistories(1, 2);
}
BOOST_AUTO_TEST_CASE(OfFiveMembersWithOneStandbyLedger) {
  checkHistories(2, 1);
}
BOOST_AUTO_TEST_CASE(OfFiveMembersWithThreeStandbyLedgers) {
  checkHistories(2, 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
