#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <utility>

namespace tamarack {
namespace {

/// How often a ledger checks its membership if the view does not change.
constexpr Duration ViewPollInterval = std::chrono::milliseconds(1000);
/// The delay before a failed step is retried.
constexpr Duration RetryInterval = std::chrono::milliseconds(200);
/// How long after the first start free places are reserved for data centres
/// without a member, so that members spread over the regions. All processes
/// start within 0.3 s, and traffic begins about 10 s later.
constexpr Duration SpreadPeriod = std::chrono::milliseconds(1500);
/// A member that does not answer a ping within this time is replaced by a
/// standby ledger. Longer than the restart of a process, which takes about one
/// second.
constexpr Duration SuspectTimeout = std::chrono::milliseconds(1500);
/// The same for a member whose connection is still open. It is probably alive
/// and busy, and replacing it would add the copying of all records to its load;
/// it may also be frozen, so it is replaced after this time.
constexpr Duration SuspectConnectedTimeout = std::chrono::seconds(8);
/// How often the answers to pings are looked at. If this ledger itself does not
/// run for MaxStandstill meanwhile, a missing answer says nothing.
constexpr Duration PingCheckInterval = std::chrono::milliseconds(20);
constexpr Duration MaxStandstill = SuspectTimeout / 3;
/// The timeout for all members to fetch all records of a retiring member.
constexpr Duration CatchUpTimeout = std::chrono::seconds(5);
/// How often the members are asked whether they have fetched them.
constexpr Duration CatchUpPollInterval = std::chrono::milliseconds(100);
/// How long a ledger that is about to stop or to leave waits for the answers of
/// the others, which may be in another region, and how often it asks them.
constexpr Duration MemberPingTimeout = std::chrono::milliseconds(400);
constexpr Duration MemberPollInterval = std::chrono::milliseconds(50);
/// How much later than that the answers may be used. A link reports a missing
/// answer some 100 ms late, and a busy process stands still for as long.
constexpr Duration MaxAnswerDelay = MemberPingTimeout / 2;
/// How long the links of a ledger that leaves may take to end: a process may
/// stand still for 300 ms, and the way to another region and back takes 80 ms.
constexpr Duration LinkEndTimeout = std::chrono::milliseconds(500);
/// The same as a part of the time that prepareStop() may wait.
constexpr int LinkEndDivisor = 2;
/// Returns nothing if the call failed or the reply cannot be parsed.
std::optional<PingResponse> parsePing(const Expected<Json> &Answer) {
  if (!Answer)
    return std::nullopt;
  try {
    return Answer->get<PingResponse>();
  } catch (const Json::exception &Failure) {
    LogLine("ledger.ping_refused").with("reason", Failure.what());
    return std::nullopt;
  }
}

/// Returns whether \p Of lists a folder of \p Self's instance that is lost.
bool listsLostFolder(const View &Of, const ViewMember &Self) {
  const std::vector<RecordHolder> Listed = listedLedgers(Of);
  return std::any_of(
      Listed.begin(), Listed.end(), [&](const RecordHolder &Ledger) {
        return Ledger.Instance == Self.Instance && Ledger.Folder != Self.Folder;
      });
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

ViewRules LedgerNode::Impl::viewRules() const {
  const bool Spread =
      Options.FirstStart && steadyNow() - StartedAt < SpreadPeriod;
  return {Options.TargetMembers, Options.DurableCopies, Options.FirstStart,
          Spread};
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
    const ViewMember *Member = findMember(CurrentView, Log->folderId());
    if (Member != nullptr && (Member->Joined || Member->Leaving)) {
      forgetFetch();
      co_await ViewChanged.wait(steadyNow() + ViewPollInterval);
      if (HasOlderRecords && CurrentView.IncompleteSince > 0) {
        co_await offerRecords(CurrentView, {});
      }
      co_await endIncompleteness();
      continue;
    }
    // A ledger on standby follows the view through its members, so that calls
    // to the store do not grow with the number of such ledgers.
    const bool IsOutdated = Member != nullptr ||
                            CurrentView.Number < NewestViewNumber ||
                            CurrentView.Number == 0;
    if (IsOutdated) {
      const bool IsRead = co_await readNewestView();
      if (!IsRead) {
        co_await pause(Io, RetryInterval);
        continue;
      }
    }
    Member = findMember(CurrentView, Log->folderId());
    if (Member == nullptr)
      co_await joinView();
    else if (!Member->Joined && !Member->Leaving)
      co_await fetchRecordsAndJoin();
  }
}

Task<std::set<FolderId>> LedgerNode::Impl::findUnreachableMembers() {
  std::set<FolderId> Result;
  if (isForming(CurrentView, viewRules()))
    co_return Result; // All members have just joined.
  struct PingState {
    std::set<FolderId> Unanswered;
    /// Members at whose address a ledger with another folder answers.
    std::set<FolderId> Lost;
  };
  const auto State = std::make_shared<PingState>();
  const std::vector<RecordHolder> Asked = listedLedgers(CurrentView);
  TimePoint LastCheck = steadyNow();
  Duration LongestStandstill(0);
  for (const RecordHolder &Ledger : Asked) {
    State->Unanswered.insert(Ledger.Folder);
    linkTo(Ledger.Address)
        ->call(calls::Ping, encodeBody(nullptr), steadyNow() + SuspectTimeout,
               [Self = shared_from_this(), State,
                Folder = Ledger.Folder](const Expected<Json> &Answer) {
                 const std::optional<PingResponse> Ping = parsePing(Answer);
                 if (!Ping)
                   return;
                 Self->NewestViewNumber =
                     std::max(Self->NewestViewNumber, Ping->ViewNumber);
                 State->Unanswered.erase(Folder);
                 if (Ping->Folder != Folder)
                   State->Lost.insert(Folder);
               });
  }
  const TimePoint Until = steadyNow() + SuspectTimeout;
  while (!State->Unanswered.empty() && steadyNow() < Until) {
    co_await pause(Io, PingCheckInterval);
    const TimePoint CheckedAt = steadyNow();
    LongestStandstill = std::max(LongestStandstill, CheckedAt - LastCheck);
    LastCheck = CheckedAt;
  }
  if (!State->Unanswered.empty() && LongestStandstill > MaxStandstill) {
    LogLine("ledger.stood_still")
        .with("discarded", "pings without an answer")
        .with("took_ms", LongestStandstill);
    co_return State->Lost;
  }
  const TimePoint Now = steadyNow();
  for (const RecordHolder &Ledger : Asked) {
    const bool IsUnresponsive = State->Unanswered.count(Ledger.Folder) > 0 &&
                                linkTo(Ledger.Address)->isConnected();
    if (!IsUnresponsive) {
      UnresponsiveSince.erase(Ledger.Folder);
      continue;
    }
    const TimePoint Since =
        UnresponsiveSince.emplace(Ledger.Folder, Now).first->second;
    if (Now - Since < SuspectConnectedTimeout)
      State->Unanswered.erase(Ledger.Folder);
  }
  Result = State->Unanswered;
  Result.insert(State->Lost.begin(), State->Lost.end());
  co_return Result;
}

Task<void> LedgerNode::Impl::joinView() {
  // A retiring ledger does not join again. The exception is one whose disk was
  // emptied while the view still lists its former folder: the view relies on
  // its records, so it must fetch them again before it can leave.
  if (Retiring && !listsLostFolder(CurrentView, self())) {
    co_await ViewChanged.wait(steadyNow() + ViewPollInterval);
    co_return;
  }
  const View Before = CurrentView;
  const std::set<FolderId> Unreachable = co_await findUnreachableMembers();
  if (Before.Number != CurrentView.Number || Before.Number < NewestViewNumber)
    co_return;
  const ViewRules Rules = viewRules();
  const JoinPlan Plan = planJoin(Before, self(), Unreachable, Rules);
  if (!Plan.Next) {
    LogLine("ledger.outside")
        .with("view", Before.Number)
        .with("reason", Plan.Reason);
    if (Before.IncompleteSince > 0)
      co_await offerRecords(Before, Unreachable);
    co_await ViewChanged.wait(steadyNow() + (Rules.OnePerDataCentre
                                                 ? RetryInterval
                                                 : ViewPollInterval));
    co_return;
  }
  forgetFetch();
  HasOlderRecords = Store.programCount() > 0;
  for (const FolderId &Folder : Unreachable)
    UnreachableSince.emplace(Folder, steadyNow());
  const bool Done = co_await replaceView(Before, *Plan.Next, Plan.Reason);
  if (!Done) {
    // Another ledger may have changed the view first.
    NewestViewNumber = std::max(NewestViewNumber, Before.Number + 1);
    co_await pause(Io, RetryInterval);
  }
}

Task<void> LedgerNode::Impl::offerRecords(View To,
                                          std::set<FolderId> Unreachable) {
  if (OfferedSince != To.IncompleteSince) {
    OfferedSince = To.IncompleteSince;
    CaughtUpMembers.clear();
  }
  std::set<FolderId> Answering;
  for (const ViewMember &Member : To.Members)
    if (Member.Joined && Member.Folder != Log->folderId() &&
        Unreachable.count(Member.Folder) == 0)
      Answering.insert(Member.Folder);
  if (Store.programCount() > 0) {
    co_await askMembersToCatchUp(std::move(To), std::move(Answering));
  }
}

Task<void> LedgerNode::Impl::fetchRecordsAndJoin() {
  const View Before = CurrentView;
  const bool Fetched = co_await fetchFromSources(Before);
  bool GivesUp = false;
  if (!Fetched && isUseless(Before, steadyNow())) {
    GivesUp = co_await isConfirmedUseless(Before);
  }
  bool Done = false;
  if ((Fetched || GivesUp) && Before.Number == CurrentView.Number) {
    const bool IsIncomplete =
        !Fetched || hasLostRecords(Before, Options.DurableCopies);
    LogLine("ledger.joining")
        .with("view", Before.Number)
        .with("listed", Lists.size())
        .with("holders", recordHolders(Before).size())
        .with("places", Before.Members.size())
        .with("fetched", Fetched ? 1 : 0)
        .with("incomplete", IsIncomplete ? 1 : 0)
        .with("turns", Store.storedTurnCount())
        .with("programs", Store.programCount());
    View Next = withMemberJoined(Before, Log->folderId());
    std::string Reason = "joined";
    if (IsIncomplete) {
      Next = withRecordsMissing(std::move(Next));
      Reason = "joined without all records";
    }
    Done = co_await replaceView(Before, std::move(Next), std::move(Reason));
  }
  if (!Done) {
    co_await pause(Io, RetryInterval);
  }
}

bool LedgerNode::Impl::isUseless(const View &Of, TimePoint Now) {
  std::size_t Reachable = 0;
  std::size_t Listed = 0;
  bool HasHope = false;
  for (const RecordHolder &Holder : otherHolders(Of)) {
    const bool HasListed = Lists.count(Holder.Folder) > 0;
    Listed += HasListed ? 1 : 0;
    // A member that is away keeps its place and its records.
    const bool HasPlace = findMember(Of, Holder.Folder) != nullptr;
    if (linkTo(Holder.Address)->isConnected()) {
      UnreachableSince.erase(Holder.Folder);
      Reachable += isJoined(Of, Holder.Folder) ? 1 : 0;
      HasHope = HasHope || !HasListed || FailedSources.count(Holder.Folder) > 0;
      continue;
    }
    const TimePoint Since =
        UnreachableSince.try_emplace(Holder.Folder, Now).first->second;
    HasHope = HasHope || HasPlace || Now - Since < Options.HolderTimeout;
  }
  // Without this ledger, records are stored and read as before.
  const bool IsNeeded = Reachable < requiredCopies(Of, Options.DurableCopies);
  return !HasHope && IsNeeded && isSealed(Of, Listed, Options.DurableCopies);
}

/// One that is cut off itself learns nothing of the others.
Task<bool> LedgerNode::Impl::isConfirmedUseless(View Of) {
  const std::set<FolderId> Unreachable = co_await findUnreachableMembers();
  const std::vector<RecordHolder> Listed = listedLedgers(Of);
  const bool IsAnyOtherThere = std::any_of(
      Listed.begin(), Listed.end(), [&](const RecordHolder &Ledger) {
        return Ledger.Folder != Log->folderId() &&
               Unreachable.count(Ledger.Folder) == 0;
      });
  co_return IsAnyOtherThere &&isUseless(Of, steadyNow());
}

Task<void> LedgerNode::Impl::endIncompleteness() {
  const View Before = CurrentView;
  if (Before.IncompleteSince != KnownIncompleteSince) {
    KnownIncompleteSince = Before.IncompleteSince;
    IncompleteSeenAt = steadyNow();
  }
  if (Before.IncompleteSince == 0 || !isJoined(Before, Log->folderId()) ||
      steadyNow() - IncompleteSeenAt <
          std::max(Options.IncompletePeriod, Store.longestRetention()))
    co_return;
  View Next = withRecordsComplete(Before);
  std::string Reason = "records that may be missing have expired";
  co_await replaceView(Before, std::move(Next), std::move(Reason));
}

Task<bool> LedgerNode::Impl::replaceView(View Before, View Next,
                                         std::string Reason) {
  const Expected<bool> Done = co_await Views.replaceView(Before, Next);
  LogLine("ledger.change_view")
      .with("number", Next.Number)
      .with("reason", Reason)
      .with("outcome",
            !Done
                ? Done.error().Message
                : std::string(*Done ? "written" : "another change came first"));
  if (Done && *Done)
    adopt(Next, nullptr);
  co_return Done &&*Done;
}

Task<Expected<Json>> LedgerNode::call(std::string Address, std::string Name,
                                      Json Body, TimePoint Deadline) {
  const auto Self = Inner;
  const LinkBody Encoded = encodeBody(Body);
  co_return co_await callLink(Self->Io, Self->linkTo(Address), std::move(Name),
                              Encoded, Deadline);
}

Task<bool> LedgerNode::Impl::readNewestView() {
  const Expected<View> Latest = co_await Views.readView();
  if (!Latest)
    co_return false;
  NewestViewNumber = Latest->Number;
  if (Latest->Number > CurrentView.Number)
    adopt(*Latest, nullptr);
  co_return true;
}

Task<bool> LedgerNode::retire() {
  const auto Self = Inner;
  Self->Retiring = true;
  const bool IsRead = co_await Self->readNewestView();
  if (!IsRead)
    co_return false;
  const FolderId Folder = Self->Log->folderId();
  const ViewMember *Member = findMember(Self->CurrentView, Folder);
  const bool IsFetching =
      Member != nullptr && !Member->Joined && !Member->Leaving;
  if (IsFetching || listsLostFolder(Self->CurrentView, Self->self()))
    co_return false;
  const TimePoint Deadline = steadyNow() + CatchUpTimeout;
  std::string DelayedFor;
  TimePoint ReadAt = steadyNow() + ViewPollInterval;
  while (steadyNow() < Deadline) {
    // Once a standby ledger has the place, nobody else tells this one of views.
    if (steadyNow() >= ReadAt) {
      ReadAt = steadyNow() + ViewPollInterval;
      co_await Self->readNewestView();
    }
    // Another ledger may have taken the place meanwhile.
    const View Before = Self->CurrentView;
    if (!holdsRecords(Before, Folder))
      co_return true;
    const auto Answering = co_await Self->findAnsweringMembers(Before);
    if (!Answering || Before.Number != Self->CurrentView.Number)
      continue;
    const LeavePlan Plan = planLeave(Before, Folder, Self->CaughtUpMembers,
                                     *Answering, Self->Options.DurableCopies);
    const bool WasJoined = isJoined(Before, Folder);
    if (Plan.Next) {
      const bool Stays = isJoined(*Plan.Next, Folder);
      // Whether the view was written may be unknown, so before it is.
      if (WasJoined || Stays)
        Self->CaughtUpMembers.clear();
      const bool Done =
          co_await Self->replaceView(Before, *Plan.Next, Plan.Reason);
      if (!Done || Stays)
        co_return false;
      continue;
    }
    if (std::exchange(DelayedFor, Plan.Reason) != Plan.Reason)
      LogLine("ledger.leave_delayed")
          .with("view", Before.Number)
          .with("reason", Plan.Reason)
          .with("joined", joinedCount(Before))
          .with("answering", Answering->size())
          .with("caught_up", Self->CaughtUpMembers.size());
    if (WasJoined)
      co_return false;
    co_await Self->askMembersToCatchUp(Before, *Answering);
    co_await pause(Self->Io, CatchUpPollInterval);
  }
  co_return false;
}

Task<bool> LedgerNode::prepareStop(TimePoint Deadline) {
  const auto Self = Inner;
  Self->Stopping = true;
  const Duration EndLimit =
      std::min(LinkEndTimeout, (Deadline - steadyNow()) / LinkEndDivisor);
  bool Dispensable = co_await Self->isDispensable();
  while (!Dispensable && steadyNow() < Deadline) {
    co_await pause(Self->Io, MemberPollInterval);
    Dispensable = co_await Self->isDispensable();
  }
  Self->StopPrepared = true;
  const TimePoint EndBegun = steadyNow();
  const LinkEnd Ended = co_await Self->Server->endLinks(EndBegun + EndLimit);
  LogLine("ledger.links_ended")
      .with("took_ms", steadyNow() - EndBegun)
      .with("connections", Ended.Connections)
      .with("cut", Ended.CutConnections)
      .with("unanswered", Ended.UnansweredCalls)
      .with("discarded", Ended.DiscardedCalls);
  co_return Dispensable;
}

/// A ledger that is about to stop relies on the answer. So this one must not
/// rely on that ledger too, nor answer if it may exit.
void LedgerNode::Impl::handlePing(const Json &Body,
                                  const LinkServer::Reply &Answer) {
  if (!Body.is_null() && StopPrepared) {
    Answer(refuse(ErrorKind::Leaving, "the ledger stops"));
    return;
  }
  if (!Body.is_null() && Inquiry && Body.get<FolderId>() < Log->folderId())
    Inquiry->StopFirst.insert(Body.get<FolderId>());
  Answer(Json(PingResponse{Log->folderId(), CurrentView.Number, Stopping}));
}

std::size_t LedgerNode::Impl::StopInquiry::othersLeft() const {
  return std::count_if(
      Serving.begin(), Serving.end(),
      [this](const FolderId &Folder) { return StopFirst.count(Folder) == 0; });
}

Task<bool> LedgerNode::Impl::isDispensable() {
  const FolderId Own = Log->folderId();
  const View Of = CurrentView;
  const ViewMember *Member = findMember(Of, Own);
  const std::size_t Needed = requiredCopies(Of, Options.DurableCopies);
  const bool CanBeReplaced = Of.Members.size() > Needed;
  if (Member == nullptr || !Member->Joined || !CanBeReplaced)
    co_return true;
  const auto State = std::make_shared<StopInquiry>();
  Inquiry = State;
  const TimePoint Until = steadyNow() + MemberPingTimeout;
  for (const ViewMember &Other : Of.Members) {
    if (!Other.Joined || Other.Folder == Own)
      continue;
    ++State->Asked;
    linkTo(Other.Address)
        ->call(
            calls::Ping, encodeBody(Own), Until,
            [State, Own, Folder = Other.Folder](const Expected<Json> &Answer) {
              ++State->Answered;
              const std::optional<PingResponse> Ping = parsePing(Answer);
              // Of two that stop, the one with the smaller folder goes first.
              if (Ping && Ping->Folder == Folder &&
                  (!Ping->Stopping || Own < Folder))
                State->Serving.insert(Folder);
            });
  }
  while (State->othersLeft() < Needed && State->Answered < State->Asked)
    co_await pause(Io, MemberPollInterval / 10);
  const TimePoint Now = steadyNow();
  if (Now >= Until && State->othersLeft() >= Needed) {
    // The others may have gone since they answered.
    LogLine("ledger.stood_still")
        .with("discarded", "answers of other ledgers about a stop")
        .with("took_ms", Now - Until + MemberPingTimeout);
    co_return false;
  }
  co_return State->othersLeft() >= Needed;
}

Task<std::optional<std::set<FolderId>>>
LedgerNode::Impl::findAnsweringMembers(View Of) {
  struct PingState {
    std::size_t Asked = 0;
    std::size_t Answered = 0;
    std::set<FolderId> Serving;
  };
  const auto State = std::make_shared<PingState>();
  const TimePoint Until = steadyNow() + MemberPingTimeout;
  for (const ViewMember &Other : Of.Members) {
    if (!Other.Joined || Other.Folder == Log->folderId())
      continue;
    ++State->Asked;
    linkTo(Other.Address)
        ->call(calls::Ping, encodeBody(nullptr), Until,
               [State, Folder = Other.Folder](const Expected<Json> &Answer) {
                 ++State->Answered;
                 const std::optional<PingResponse> Ping = parsePing(Answer);
                 if (Ping && Ping->Folder == Folder && !Ping->Stopping)
                   State->Serving.insert(Folder);
               });
  }
  while (State->Answered < State->Asked)
    co_await pause(Io, MemberPollInterval / 10);
  const Duration Late = steadyNow() - Until;
  if (Late > MaxAnswerDelay) {
    // The others may have gone since they answered.
    LogLine("ledger.stood_still")
        .with("discarded", "answers of other ledgers about a retirement")
        .with("took_ms", Late + MemberPingTimeout);
    co_return std::nullopt;
  }
  co_return State->Serving;
}

Task<void> LedgerNode::Impl::askMembersToCatchUp(View Remaining,
                                                 std::set<FolderId> Answering) {
  const LinkBody Body = encodeBody(Json{{"view", Remaining},
                                        {"from", publicAddress()},
                                        {"folder", Log->folderId()}});
  const auto Pending = std::make_shared<std::size_t>(0);
  // A member answers at once whether it has caught up. One that does not may be
  // lost, which is to be found out before long.
  const TimePoint Until = steadyNow() + MemberPingTimeout;
  for (const ViewMember &Other : Remaining.Members) {
    if (!Other.Joined || Answering.count(Other.Folder) == 0 ||
        CaughtUpMembers.count(Other.Folder) > 0)
      continue;
    ++*Pending;
    linkTo(Other.Address)
        ->call(calls::CatchUp, Body, Until,
               [Self = shared_from_this(), Pending,
                Other](const Expected<Json> &Answer) {
                 --*Pending;
                 const auto Reply = parseReply<AdoptResponse>(
                     Answer, calls::CatchUp, Other.Address);
                 if (Reply && Reply->Refusal == LedgerRefusal::None)
                   Self->CaughtUpMembers.insert(Other.Folder);
               });
  }
  while (*Pending > 0)
    co_await pause(Io, MemberPollInterval / 10);
}

} // namespace tamarack
