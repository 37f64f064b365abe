#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

#include <algorithm>

namespace tamarack {
namespace {

/// Between looks at the view where nothing changes it.
constexpr Duration LookPeriod = std::chrono::milliseconds(1000);
/// Before a step that failed is tried again.
constexpr Duration StepPause = std::chrono::milliseconds(200);
/// At the first start, members spread over data centres for that long, so that
/// each region has some of them. All processes start within 0.3 s, and traffic
/// begins some 10 s later.
constexpr Duration SpreadFor = std::chrono::milliseconds(1500);
/// A member that answers no ping for that long is replaced by a ledger that
/// stands by. Longer than a process takes to start again (about a second).
constexpr Duration SuspectAfter = std::chrono::milliseconds(1500);
/// One that keeps a connection open is alive and busy: to replace it would add
/// a copy of all records to its load. It may be frozen, too, and waits that
/// long.
constexpr Duration SuspectConnectedAfter = std::chrono::seconds(8);
/// A call between members; names and texts of a busy minute take below it.
constexpr Duration CallLimit = std::chrono::milliseconds(2500);
/// A member takes over what a retiring one holds.
constexpr Duration AbsorbLimit = std::chrono::seconds(5);
/// Turns fetched in one call: about 0.2 MB of text, which a link of 60 Mbit/s
/// that others use too carries well within the limit of a call. Several calls
/// are under way at once, since each waits for its turn at a busy source.
constexpr std::size_t TurnsPerCall = 32;
constexpr std::size_t CallsAtOnce = 6;

bool hasInstance(const View &In, const InstanceId &Instance) {
  return std::any_of(
      In.Members.begin(), In.Members.end(),
      [&](const ViewMember &Member) { return Member.Instance == Instance; });
}

} // namespace

ViewMember LedgerNode::Impl::self() const {
  return {Log->folderId(), Options.Instance, Options.DataCentre,
          publicAddress(), false};
}

const std::string &LedgerNode::Impl::publicAddress() const {
  return Options.PublicAddress.empty() ? Options.Address
                                       : Options.PublicAddress;
}

std::shared_ptr<LinkClient>
LedgerNode::Impl::linkTo(const std::string &Address) {
  auto &Link = Links[Address];
  if (!Link)
    Link = LinkClient::make(Io, Address, Options.Link);
  return Link;
}

Task<void> LedgerNode::Impl::manageMembership() {
  const auto Self = shared_from_this();
  while (!Stopped) {
    const ViewMember *Member = findMember(Known, Log->folderId());
    if (Member != nullptr && Member->Joined) {
      co_await ViewMoved.wait(steadyNow() + LookPeriod);
      continue;
    }
    const Expected<View> Latest = co_await Views.readView();
    if (!Latest) {
      co_await pause(Io, StepPause);
      continue;
    }
    if (Latest->Number > Known.Number)
      adopt(*Latest, nullptr);
    Member = findMember(Known, Log->folderId());
    if (Member == nullptr)
      co_await enterView();
    else if (!Member->Joined)
      co_await becomeJoined();
  }
}

Task<std::set<FolderId>> LedgerNode::Impl::unreachableMembers() {
  std::set<FolderId> Result;
  if (Options.FirstStart)
    co_return Result;
  const auto Silent = std::make_shared<std::set<FolderId>>();
  for (const ViewMember &Member : Known.Members) {
    Silent->insert(Member.Folder);
    linkTo(Member.Address)
        ->call(calls::Ping, encodeBody(nullptr), steadyNow() + SuspectAfter,
               [Silent, Folder = Member.Folder](const Expected<Json> &Done) {
                 if (Done)
                   Silent->erase(Folder);
               });
  }
  const TimePoint Until = steadyNow() + SuspectAfter;
  while (!Silent->empty() && steadyNow() < Until)
    co_await pause(Io, std::chrono::milliseconds(20));
  const TimePoint Now = steadyNow();
  for (const ViewMember &Member : Known.Members) {
    const bool IsSlow = Silent->count(Member.Folder) > 0 &&
                        linkTo(Member.Address)->isConnected();
    if (!IsSlow) {
      SlowSince.erase(Member.Folder);
      continue;
    }
    const TimePoint Since = SlowSince.emplace(Member.Folder, Now).first->second;
    if (Now - Since < SuspectConnectedAfter)
      Silent->erase(Member.Folder);
  }
  co_return *Silent;
}

Task<void> LedgerNode::Impl::enterView() {
  // A retiring ledger whose disk was emptied first fetches again what the view
  // relies on it to hold.
  if (Retiring && !hasInstance(Known, Options.Instance)) {
    co_await ViewMoved.wait(steadyNow() + LookPeriod);
    co_return;
  }
  const View Before = Known;
  const std::set<FolderId> Unreachable = co_await unreachableMembers();
  if (Before.Number != Known.Number)
    co_return;
  const bool Spread = Options.FirstStart && steadyNow() - StartedAt < SpreadFor;
  const ViewRules Rules{Options.TargetMembers, Options.DurableCopies,
                        Options.FirstStart, Spread};
  const JoinPlan Plan = planJoin(Before, self(), Unreachable, Rules);
  if (!Plan.Next) {
    LogLine("ledger.outside")
        .with("view", Before.Number)
        .with("reason", Plan.Reason);
    co_await ViewMoved.wait(steadyNow() + (Spread ? StepPause : LookPeriod));
    co_return;
  }
  const bool Done = co_await change(Before, *Plan.Next, Plan.Reason);
  if (!Done) {
    co_await pause(Io, StepPause);
  }
}

Task<void> LedgerNode::Impl::becomeJoined() {
  const View Before = Known;
  const bool Fetched = co_await fetchEnough(Before);
  bool Done = false;
  if (Fetched && Before.Number == Known.Number) {
    View Next = withMemberJoined(Before, Log->folderId());
    std::string Reason = "joined";
    Done = co_await change(Before, std::move(Next), std::move(Reason));
  }
  if (!Done) {
    co_await pause(Io, StepPause);
  }
}

Task<bool> LedgerNode::Impl::change(View Before, View Next,
                                    std::string Reason) {
  const Expected<bool> Done = co_await Views.replaceView(Before, Next);
  LogLine("ledger.change_view")
      .with("number", Next.Number)
      .with("reason", Reason)
      .with("outcome", !Done ? Done.error().Message
                             : std::string(*Done ? "written" : "lost a race"));
  if (Done && *Done)
    adopt(Next, nullptr);
  co_return Done &&*Done;
}

Task<bool> LedgerNode::Impl::fetchEnough(View Of) {
  std::vector<ViewMember> Sources;
  std::copy_if(Of.Members.begin(), Of.Members.end(),
               std::back_inserter(Sources), [this](const ViewMember &Member) {
                 return Member.Joined && Member.Folder != Log->folderId();
               });
  if (Options.Distance)
    std::stable_sort(Sources.begin(), Sources.end(),
                     [this](const ViewMember &Left, const ViewMember &Right) {
                       return Options.Distance(Left.DataCentre) <
                              Options.Distance(Right.DataCentre);
                     });
  const std::size_t Needed =
      requiredSources(Of, Options.DurableCopies, Sources.size());
  std::size_t Complete = 0;
  for (const ViewMember &Source : Sources) {
    if (Complete == Needed || Known.Number != Of.Number)
      break;
    const bool Fetched = co_await fetchFrom(Source.Address, Of);
    if (Fetched)
      ++Complete;
  }
  co_return Complete == Needed &&Known.Number == Of.Number;
}

Task<bool> LedgerNode::Impl::fetchFrom(std::string Address, View Of) {
  const auto Link = linkTo(Address);
  const Expected<Json> Listed = co_await callLink(
      Io, Link, calls::ListRecords, encodeBody(Of), steadyNow() + CallLimit);
  if (!Listed)
    co_return false;
  const ListRecordsResponse Answer = Listed->get<ListRecordsResponse>();
  if (Answer.NewerView)
    adopt(*Answer.NewerView, nullptr);
  if (Answer.Refusal != LedgerRefusal::None || Answer.NewerView)
    co_return false;
  std::vector<TurnId> Lacking;
  for (const RecordSummary &Name : Answer.Records) {
    if (Store.isMissing(Name))
      Lacking.push_back(Name.Turn);
  }
  LogLine("ledger.fetch")
      .with("from", Address)
      .with("named", Answer.Records.size())
      .with("lacking", Lacking.size());
  const auto Work = std::make_shared<FetchWork>(Io, std::move(Lacking));
  for (std::size_t Worker = 0; Worker < CallsAtOnce; ++Worker) {
    ++Work->Running;
    spawn(Io, fetchTurns(Link, Work));
  }
  while (Work->Running > 0)
    co_await Work->Changed.wait(TimePoint::max());
  if (Work->Failed)
    co_return false;
  // Everything fetched is on disk once a later write is.
  const auto Synced = std::make_shared<std::optional<bool>>();
  adopt(Of, [Synced](const Expected<FrameLocation> &Done) {
    *Synced = bool(Done);
  });
  while (!*Synced)
    co_await pause(Io, std::chrono::milliseconds(5));
  co_return **Synced;
}

Task<void> LedgerNode::Impl::fetchTurns(std::shared_ptr<LinkClient> From,
                                        std::shared_ptr<FetchWork> Work) {
  const auto Self = shared_from_this();
  while (!Work->Failed && Work->Next < Work->Turns.size()) {
    const std::size_t End =
        std::min(Work->Next + TurnsPerCall, Work->Turns.size());
    const std::vector<TurnId> Part(
        Work->Turns.begin() + static_cast<std::ptrdiff_t>(Work->Next),
        Work->Turns.begin() + static_cast<std::ptrdiff_t>(End));
    Work->Next = End;
    const Expected<Json> Fetched = co_await callLink(
        Io, From, calls::FetchTurns, encodeBody(Part), steadyNow() + CallLimit);
    if (!Fetched) {
      Work->Failed = true;
      break;
    }
    for (std::string &Frame : Fetched->get<FetchTurnsResponse>().Frames) {
      const TurnRecord Record = Json::from_cbor(Frame).get<TurnRecord>();
      Store.apply(Record, steadyNow());
      persistFrame(Record, std::move(Frame), nullptr);
    }
  }
  --Work->Running;
  Work->Changed.raise();
}

Task<bool> LedgerNode::retire() {
  const auto Self = Inner;
  Self->Retiring = true;
  const Expected<View> Latest = co_await Self->Views.readView();
  if (!Latest)
    co_return false;
  if (Latest->Number > Self->Known.Number)
    Self->adopt(*Latest, nullptr);
  View Left = Self->Known;
  const ViewMember *Member = findMember(Left, Self->Log->folderId());
  const bool IsNamed = hasInstance(Left, Self->Options.Instance);
  if (IsNamed && (Member == nullptr || !Member->Joined))
    co_return false;
  if (IsNamed) {
    const View Next = withoutMember(Left, Self->Log->folderId());
    const auto Joined =
        std::count_if(Next.Members.begin(), Next.Members.end(),
                      [](const ViewMember &Member) { return Member.Joined; });
    if (static_cast<std::size_t>(Joined) < Self->Options.DurableCopies)
      co_return false;
    std::string Reason = "retires";
    const bool Done = co_await Self->change(Left, Next, std::move(Reason));
    if (!Done)
      co_return false;
    Left = Next;
  } else if (Self->Store.programCount() == 0) {
    co_return true; // It was never a member, or its disk was empty since.
  }
  for (const ViewMember &Other : Left.Members) {
    if (!Other.Joined || Self->Absorbed.count(Other.Folder) > 0)
      continue;
    const Json Body{{"view", Left}, {"from", Self->publicAddress()}};
    const Expected<Json> Done =
        co_await callLink(Self->Io, Self->linkTo(Other.Address), calls::CatchUp,
                          encodeBody(Body), steadyNow() + AbsorbLimit);
    if (!Done || Done->get<AdoptResponse>().Refusal != LedgerRefusal::None)
      co_return false;
    Self->Absorbed.insert(Other.Folder);
  }
  co_return true;
}

} // namespace tamarack
