#include "tamarack/quorum/QuorumClient.h"

#include "tamarack/net/Log.h"
#include "tamarack/quorum/QuorumReachability.h"

#include <algorithm>
#include <deque>
#include <set>

namespace tamarack {
namespace {

/// The delay before the members are tried again after too few of them
/// answered.
constexpr Duration RetryInterval = std::chrono::milliseconds(40);
/// How often a waiting round checks for a newer view and for the loss of the
/// quorum.
constexpr Duration StateCheckInterval = std::chrono::milliseconds(100);
/// How long a background record is retried. It must cover the longest time that
/// the quorum may be unreachable while the entry is running.
constexpr Duration BackgroundTimeout = std::chrono::seconds(20);
/// The minimum time between load reports: short enough to show a burst of some
/// tens of turns per second, long enough to cost only a few bytes per turn.
constexpr Duration LoadReportInterval = std::chrono::milliseconds(40);
/// If a member has not stored a record within this time, or its connection is
/// lost before, the record is sent to the other members as well, and the member
/// comes last in the order for DeprioritizePeriod. Allows for 40 ms between
/// regions, a sync of 5 ms, and some load.
constexpr Duration MemberTimeout = std::chrono::milliseconds(80);
constexpr Duration DeprioritizePeriod = std::chrono::seconds(1);
/// How long a chain request waits for the nearest member before it is sent to
/// the others.
constexpr Duration NearestMemberHeadStart = std::chrono::milliseconds(60);
/// Turns with texts up to this length are stored without regard to others.
constexpr std::size_t SmallTextBytes = 64U << 10U;
/// The timeout of a ping to a member that is not responsive. It covers the
/// opening of a connection to another region.
constexpr Duration PingTimeout = std::chrono::milliseconds(500);

/// The responses of the members in one attempt to store a record.
struct StoreRound {
  explicit StoreRound(Loop &Io) : Changed(Io) {}
  Signal Changed;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  /// The addresses of members that stored the record, that stored it with its
  /// text, and that the complete record was sent to.
  std::set<std::string> Stored;
  std::set<std::string> TextStored;
  std::set<std::string> SentInFull;
  QuorumProgramState Program;
};

struct ChainRound {
  explicit ChainRound(Loop &Io) : Changed(Io) {}
  Signal Changed;
  std::size_t Answered = 0;
  std::size_t NotFound = 0;
  TurnChain Found;
};

} // namespace

struct QuorumClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, QuorumOptions Options) : Io(Io), Options(std::move(Options)) {}

  Loop &Io;
  const QuorumOptions Options;
  View Current;
  std::map<std::string, std::shared_ptr<LinkClient>> Links;
  std::size_t Pending = 0;
  /// The sum of the long texts that are stored now.
  std::size_t StoringBytes = 0;
  /// The long texts that wait, the first to be stored first. Each has a signal
  /// of its own, since waits with different deadlines wake each other.
  std::deque<std::shared_ptr<Signal>> WaitingTexts;
  TimePoint LoadReportedAt;
  /// Members that were slow to store a record, and until when they come last in
  /// the order.
  std::map<std::string, TimePoint> DeprioritizedUntil;
  /// Members whose connection was lost and has not been opened again.
  std::set<std::string> LostConnections;
  /// The rounds that wait for members.
  std::set<std::shared_ptr<StoreRound>> Rounds;
  QuorumReachability Reach;
  bool TicksRunning = false;
  bool CutOffLogged = false;

  std::optional<EndpointLoadReport> nextLoadReport();
  bool isInRegion(const ViewMember &Member) const {
    return !Options.Distance || Options.Distance(Member.DataCentre) <= 1;
  }
  void setView(const View &Next);
  std::size_t copiesNeeded() const {
    return requiredCopies(Current, Options.DurableCopies);
  }
  /// Returns null if the member has left the view.
  std::shared_ptr<LinkClient> linkTo(const std::string &Address) const {
    const auto Found = Links.find(Address);
    return Found == Links.end() ? nullptr : Found->second;
  }
  std::shared_ptr<LinkClient> makeLink(const std::string &Address);
  void onConnectionChange(const std::string &Address, bool Up);
  /// Whether a member that must still store the record cannot be reached.
  bool waitsForLostMember(const StoreRound &State) const;
  /// Moves the members that have not stored the record to the end of the order.
  void deprioritizeUnstored(const StoreRound &State);
  /// Calls a member and tracks whether it responds.
  void callMember(const std::shared_ptr<LinkClient> &Link,
                  const std::string &Name, const LinkBody &Body,
                  TimePoint Deadline, LinkClient::Callback Done);
  void onMemberCalled(const std::string &Address);
  void onMemberResult(const std::string &Address, const Expected<Json> &Result);
  /// Runs the ticks of Reach, and probes the members that need it, until no
  /// member needs either.
  void startTicks();
  void probeMembers();
  void logReachability();
  void sendRecord(const std::shared_ptr<LinkClient> &Link, const LinkBody &Body,
                  TimePoint Deadline, const std::shared_ptr<StoreRound> &State,
                  bool WithText, bool MaySendView);
  void sendToNearest(const TurnUpdate &Update, TimePoint Deadline,
                     const std::shared_ptr<StoreRound> &State);
  /// Sends the complete record to the members that it was not sent to yet.
  void sendToRemaining(const TurnUpdate &Update, TimePoint Deadline,
                       const std::shared_ptr<StoreRound> &State);
  /// Returns the turn and the predecessors that one member has.
  Task<Expected<TurnChain>> readChainPart(TurnId Turn, TimePoint Deadline);
  Task<bool> runStoreRound(const TurnUpdate &Update, TimePoint Deadline,
                           StoreEffort Effort,
                           std::shared_ptr<StoreRound> State);
  void sendChainRequest(const ViewMember &Member, const LinkBody &Body,
                        TimePoint Deadline,
                        const std::shared_ptr<ChainRound> &State,
                        bool MaySendView);
  /// Returns the joined members, nearest first. The order of equally near ones
  /// depends on a hash of \p Key; slow members come last.
  std::vector<ViewMember> joinedByDistance(const std::string &Key) const;
  bool hasRoomFor(std::size_t Bytes) const {
    return StoringBytes == 0 || StoringBytes + Bytes <= Options.MaxStoringBytes;
  }
  void wakeNextText() {
    if (!WaitingTexts.empty())
      WaitingTexts.front()->raise();
  }
  /// Stores a record whose text may be long, when there is room for it.
  Task<Expected<QuorumProgramState>>
  storeRecord(TurnUpdate Update, TimePoint Deadline, StoreEffort Effort);
  Task<Expected<QuorumProgramState>>
  storeInRounds(TurnUpdate Update, TimePoint Deadline, StoreEffort Effort);
  void sendViewThen(const std::shared_ptr<LinkClient> &Link, TimePoint Deadline,
                    std::function<void()> Next);
};

void QuorumClient::Impl::setView(const View &Next) {
  if (Next.Number <= Current.Number)
    return;
  Current = Next;
  std::map<std::string, std::shared_ptr<LinkClient>> NewLinks;
  for (const ViewMember &Member : Next.Members) {
    const auto Existing = Links.find(Member.Address);
    NewLinks[Member.Address] =
        Existing != Links.end() ? Existing->second : makeLink(Member.Address);
  }
  Links.swap(NewLinks);
  std::erase_if(LostConnections, [this](const std::string &Address) {
    return Links.count(Address) == 0;
  });
  std::vector<std::string> Joined;
  for (const ViewMember &Member : Next.Members)
    if (Member.Joined)
      Joined.push_back(Member.Address);
  // Where fewer have joined, no other entry reaches more of them.
  Reach.setMembers(Joined, std::min(copiesNeeded(), Joined.size()));
  probeMembers();
  LogLine("ledgers.view")
      .with("number", Next.Number)
      .with("members", Next.Members.size())
      .with("joined", joinedCount(Next));
}

std::shared_ptr<LinkClient>
QuorumClient::Impl::makeLink(const std::string &Address) {
  LinkOptions Link = Options.Link;
  Link.OnConnectionChange = [Weak = weak_from_this(),
                             Next = Options.Link.OnConnectionChange](
                                const std::string &Peer, bool Up) {
    if (Next)
      Next(Peer, Up);
    if (const auto Self = Weak.lock())
      Self->onConnectionChange(Peer, Up);
  };
  return LinkClient::make(Io, Address, std::move(Link));
}

void QuorumClient::Impl::onConnectionChange(const std::string &Address,
                                            bool Up) {
  if (Up) {
    LostConnections.erase(Address);
    return;
  }
  Reach.onConnectionLost(Address);
  LostConnections.insert(Address);
  DeprioritizedUntil[Address] = steadyNow() + DeprioritizePeriod;
  for (const auto &Round : Rounds)
    Round->Changed.raise();
}

bool QuorumClient::Impl::waitsForLostMember(const StoreRound &State) const {
  return std::any_of(State.SentInFull.begin(), State.SentInFull.end(),
                     [&](const std::string &Sent) {
                       return State.Stored.count(Sent) == 0 &&
                              LostConnections.count(Sent) > 0;
                     });
}

void QuorumClient::Impl::deprioritizeUnstored(const StoreRound &State) {
  for (const std::string &Sent : State.SentInFull)
    if (State.Stored.count(Sent) == 0)
      DeprioritizedUntil[Sent] = steadyNow() + DeprioritizePeriod;
}

void QuorumClient::Impl::callMember(const std::shared_ptr<LinkClient> &Link,
                                    const std::string &Name,
                                    const LinkBody &Body, TimePoint Deadline,
                                    LinkClient::Callback Done) {
  onMemberCalled(Link->address());
  Link->call(Name, Body, Deadline,
             [Weak = weak_from_this(), Address = Link->address(),
              Done = std::move(Done)](Expected<Json> Result) {
               if (const auto Self = Weak.lock())
                 Self->onMemberResult(Address, Result);
               Done(std::move(Result));
             });
}

void QuorumClient::Impl::onMemberCalled(const std::string &Address) {
  Reach.onCall(Address);
  startTicks();
}

void QuorumClient::Impl::onMemberResult(const std::string &Address,
                                        const Expected<Json> &Result) {
  const bool IsReply = Result || (Result.error().Kind != ErrorKind::Timeout &&
                                  Result.error().Kind != ErrorKind::LinkLost);
  if (IsReply)
    Reach.onReply(Address);
}

void QuorumClient::Impl::probeMembers() {
  for (const std::string &Address : Reach.membersToProbe())
    callMember(linkTo(Address), calls::Ping, encodeBody(nullptr),
               steadyNow() + PingTimeout, [](const Expected<Json> &) {});
}

void QuorumClient::Impl::startTicks() {
  if (std::exchange(TicksRunning, true))
    return;
  spawn(Io, [](Loop &Io, std::weak_ptr<Impl> Weak) -> Task<void> {
    while (true) {
      co_await pause(Io, QuorumReachability::TickInterval);
      const auto Self = Weak.lock();
      if (!Self)
        co_return;
      Self->Reach.onTick();
      Self->logReachability();
      Self->probeMembers();
      if (!Self->Reach.needsTicks()) {
        Self->TicksRunning = false;
        co_return;
      }
    }
  }(Io, weak_from_this()));
}

void QuorumClient::Impl::logReachability() {
  if (Reach.isCutOff() == CutOffLogged)
    return;
  CutOffLogged = !CutOffLogged;
  LogLine(CutOffLogged ? "ledgers.cut_off" : "ledgers.reachable")
      .with("view", Current.Number)
      .with("members", Current.Members.size())
      .with("silent", Reach.membersToProbe().size())
      .with("needed", copiesNeeded());
}

std::optional<EndpointLoadReport> QuorumClient::Impl::nextLoadReport() {
  const TimePoint Now = steadyNow();
  if (!Options.MakeLoadReport || Now - LoadReportedAt < LoadReportInterval)
    return std::nullopt;
  LoadReportedAt = Now;
  return Options.MakeLoadReport();
}

/// Sends the current view to a member, then calls \p Next.
void QuorumClient::Impl::sendViewThen(const std::shared_ptr<LinkClient> &Link,
                                      TimePoint Deadline,
                                      std::function<void()> Next) {
  callMember(Link, calls::Adopt, encodeBody(Current), Deadline,
             [Next = std::move(Next)](const Expected<Json> &) { Next(); });
}

void QuorumClient::Impl::sendRecord(const std::shared_ptr<LinkClient> &Link,
                                    const LinkBody &Body, TimePoint Deadline,
                                    const std::shared_ptr<StoreRound> &State,
                                    bool WithText, bool MaySendView) {
  const auto Done = [Self = shared_from_this(), Link, Body, Deadline, State,
                     WithText, MaySendView](const Expected<Json> &Result) {
    RecordResponse Answer;
    if (Result)
      Answer = Result->get<RecordResponse>();
    else
      Answer.Refusal = LedgerRefusal::Failed;
    if (Answer.Refusal == LedgerRefusal::UnknownView && MaySendView) {
      Self->sendViewThen(Link, Deadline, [=] {
        Self->sendRecord(Link, Body, Deadline, State, WithText, false);
      });
      return;
    }
    if (Answer.NewerView)
      Self->setView(*Answer.NewerView);
    if (Self->Options.OnNewsElsewhere && Answer.NewsElsewhere)
      Self->Options.OnNewsElsewhere(*Answer.NewsElsewhere);
    ++State->Answered;
    if (Answer.Refusal == LedgerRefusal::None) {
      State->Stored.insert(Link->address());
      if (WithText)
        State->TextStored.insert(Link->address());
      Self->DeprioritizedUntil.erase(Link->address());
      mergeAccount(State->Program.Charges, Answer.ProgramAccount);
      if (State->Program.LastRanAt.empty())
        State->Program.LastRanAt = Answer.LastRanAt;
      mergeOrigin(State->Program.ResumedOrigin, Answer.ResumedOrigin);
      State->Program.OriginVersions.insert(Answer.OriginVersions.begin(),
                                           Answer.OriginVersions.end());
      auto &ListAge = State->Program.EndpointListAge;
      if (Answer.EndpointListAge)
        ListAge = std::min(ListAge.value_or(Duration::max()),
                           *Answer.EndpointListAge);
    }
    State->Changed.raise();
  };
  callMember(Link, calls::Record, Body, Deadline, Done);
}

/// Sends the record to the nearest members that make a quorum. If it has a
/// text, the other members get its link, because they may store turns that
/// precede it and must keep them.
void QuorumClient::Impl::sendToNearest(
    const TurnUpdate &Update, TimePoint Deadline,
    const std::shared_ptr<StoreRound> &State) {
  const std::uint64_t Number = Current.Number;
  const bool HasText = Update.Record.Text != nullptr;
  const std::size_t Needed = copiesNeeded();
  RecordRequest Request{
      Number, Update.Record, Update.RanAt, {}, Update.ResumedTurn};
  const LinkBody FullBody = encodeBody(Request);
  Request.LoadReport = nextLoadReport();
  const LinkBody FullBodyWithLoad =
      Request.LoadReport ? encodeBody(Request) : FullBody;
  LinkBody BodyWithoutText;
  if (HasText) {
    Request = {Number, withoutText(Update.Record), Update.RanAt, {}};
    BodyWithoutText = encodeBody(Request);
  }
  bool NearestSent = false;
  for (const ViewMember &Member :
       joinedByDistance(Update.Record.Program.text())) {
    if (Number != Current.Number)
      return;
    const bool InQuorum = State->SentInFull.size() < Needed;
    if (!InQuorum && !HasText)
      return;
    if (InQuorum)
      State->SentInFull.insert(Member.Address);
    // Other regions have endpoints of their own, so a load report would be
    // wasted traffic. The nearest member always gets it.
    const bool WithLoadReport = !NearestSent || isInRegion(Member);
    NearestSent = true;
    ++State->Sent;
    sendRecord(linkTo(Member.Address),
               !InQuorum        ? BodyWithoutText
               : WithLoadReport ? FullBodyWithLoad
                                : FullBody,
               Deadline, State, HasText && InQuorum, true);
  }
}

void QuorumClient::Impl::sendToRemaining(
    const TurnUpdate &Update, TimePoint Deadline,
    const std::shared_ptr<StoreRound> &State) {
  const LinkBody FullBody = encodeBody(RecordRequest{
      Current.Number, Update.Record, Update.RanAt, {}, Update.ResumedTurn});
  for (const ViewMember &Member :
       joinedByDistance(Update.Record.Program.text()))
    if (State->SentInFull.insert(Member.Address).second) {
      ++State->Sent;
      sendRecord(linkTo(Member.Address), FullBody, Deadline, State,
                 Update.Record.Text != nullptr, true);
    }
}

Task<bool>
QuorumClient::Impl::runStoreRound(const TurnUpdate &Update, TimePoint Deadline,
                                  StoreEffort Effort,
                                  std::shared_ptr<StoreRound> State) {
  const auto Self = shared_from_this();
  const std::uint64_t Number = Current.Number;
  const std::size_t Needed = copiesNeeded();
  const std::size_t TextsNeeded =
      Update.Record.Text ? Options.DurableCopies : 0;
  const TimePoint SlowAt = steadyNow() + MemberTimeout;
  bool SentToAll = false;
  Rounds.insert(State);
  sendToNearest(Update, Deadline, State);
  const auto IsStored = [&] {
    return State->Stored.size() >= Needed &&
           State->TextStored.size() >= TextsNeeded;
  };
  while (!IsStored() && Current.Number == Number && steadyNow() < Deadline) {
    if (Effort == StoreEffort::UntilCutOff && Reach.isCutOff())
      break;
    const bool AllAnswered = State->Answered >= State->Sent;
    if (SentToAll && AllAnswered)
      break;
    const bool IsLate = AllAnswered || steadyNow() >= SlowAt;
    if (!SentToAll && (IsLate || waitsForLostMember(*State))) {
      if (IsLate)
        deprioritizeUnstored(*State);
      SentToAll = true;
      sendToRemaining(Update, Deadline, State);
      continue;
    }
    const TimePoint WakeAt =
        SentToAll ? steadyNow() + StateCheckInterval : SlowAt;
    co_await State->Changed.wait(std::min(Deadline, WakeAt));
  }
  Rounds.erase(State);
  co_return IsStored();
}

std::vector<ViewMember>
QuorumClient::Impl::joinedByDistance(const std::string &Key) const {
  std::vector<ViewMember> Result;
  std::copy_if(Current.Members.begin(), Current.Members.end(),
               std::back_inserter(Result),
               [](const ViewMember &Member) { return Member.Joined; });
  std::sort(Result.begin(), Result.end(),
            [&Key](const ViewMember &Left, const ViewMember &Right) {
              return stableHash(Key, stableHash(Left.Address)) <
                     stableHash(Key, stableHash(Right.Address));
            });
  if (Options.Distance)
    std::stable_sort(Result.begin(), Result.end(),
                     [this](const ViewMember &Left, const ViewMember &Right) {
                       return Options.Distance(Left.DataCentre) <
                              Options.Distance(Right.DataCentre);
                     });
  const TimePoint Now = steadyNow();
  std::stable_partition(
      Result.begin(), Result.end(), [this, Now](const ViewMember &Member) {
        const auto Found = DeprioritizedUntil.find(Member.Address);
        return Found == DeprioritizedUntil.end() || Found->second <= Now;
      });
  return Result;
}

void QuorumClient::Impl::sendChainRequest(
    const ViewMember &Member, const LinkBody &Body, TimePoint Deadline,
    const std::shared_ptr<ChainRound> &State, bool MaySendView) {
  const auto Done = [Self = shared_from_this(), Member, Body, Deadline, State,
                     MaySendView](const Expected<Json> &Result) {
    ChainResponse Answer;
    if (Result)
      Answer = Result->get<ChainResponse>();
    else
      Answer.Refusal = LedgerRefusal::Failed;
    const auto Link = Self->linkTo(Member.Address);
    if (Answer.Refusal == LedgerRefusal::UnknownView && MaySendView && Link) {
      Self->sendViewThen(Link, Deadline, [=] {
        Self->sendChainRequest(Member, Body, Deadline, State, false);
      });
      return;
    }
    if (Answer.NewerView)
      Self->setView(*Answer.NewerView);
    ++State->Answered;
    if (Answer.Refusal == LedgerRefusal::None && Answer.Turns.empty())
      ++State->NotFound;
    if (State->Found.empty())
      for (StoredTurn &Turn : Answer.Turns)
        State->Found.push_back(
            std::make_shared<const StoredTurn>(std::move(Turn)));
    State->Changed.raise();
  };
  if (const auto Link = linkTo(Member.Address)) {
    callMember(Link, calls::Chain, Body, Deadline, Done);
    return;
  }
  ++State->Answered;
  State->Changed.raise();
}

QuorumClient::QuorumClient(Loop &Io, QuorumOptions Options)
    : Inner(std::make_shared<Impl>(Io, std::move(Options))) {}

QuorumClient::~QuorumClient() = default;

void QuorumClient::setView(const View &Next) { Inner->setView(Next); }
const View &QuorumClient::view() const { return Inner->Current; }
bool QuorumClient::hasView() const {
  return Inner->Current.Members.size() >= Inner->Options.DurableCopies;
}
bool QuorumClient::isReachable() const { return Inner->Reach.isReachable(); }
bool QuorumClient::isCutOff() const { return Inner->Reach.isCutOff(); }
std::size_t QuorumClient::pendingRecords() const { return Inner->Pending; }
std::size_t QuorumClient::storingBytes() const { return Inner->StoringBytes; }

Task<Expected<QuorumProgramState>>
QuorumClient::Impl::storeRecord(TurnUpdate Update, TimePoint Deadline,
                                StoreEffort Effort) {
  const auto Self = shared_from_this();
  const std::size_t Bytes =
      Update.Record.Text ? textBytes(*Update.Record.Text) : 0;
  if (Bytes <= SmallTextBytes) {
    co_return co_await storeInRounds(std::move(Update), Deadline, Effort);
  }
  const auto Turn = std::make_shared<Signal>(Io);
  WaitingTexts.push_back(Turn);
  while ((WaitingTexts.front() != Turn || !hasRoomFor(Bytes)) &&
         steadyNow() < Deadline)
    co_await Turn->wait(Deadline);
  std::erase(WaitingTexts, Turn);
  const bool IsLate = steadyNow() >= Deadline;
  StoringBytes += IsLate ? 0 : Bytes;
  wakeNextText();
  if (IsLate)
    co_return refuse(ErrorKind::NotEnoughCopies,
                     "other long turns were stored until the deadline");
  Expected<QuorumProgramState> Result =
      co_await storeInRounds(std::move(Update), Deadline, Effort);
  StoringBytes -= Bytes;
  wakeNextText();
  co_return Result;
}

Task<Expected<QuorumProgramState>>
QuorumClient::Impl::storeInRounds(TurnUpdate Update, TimePoint Deadline,
                                  StoreEffort Effort) {
  const auto Self = shared_from_this();
  while (steadyNow() < Deadline) {
    if (Effort == StoreEffort::UntilCutOff && Reach.isCutOff())
      co_return refuse(ErrorKind::NotEnoughCopies,
                       "too few ledgers can be reached");
    const std::uint64_t Number = Current.Number;
    const auto State = std::make_shared<StoreRound>(Io);
    const bool Stored = co_await runStoreRound(Update, Deadline, Effort, State);
    if (Stored)
      co_return State->Program;
    if (Number == Current.Number) {
      co_await pause(Io, RetryInterval);
    }
  }
  co_return refuse(ErrorKind::NotEnoughCopies,
                   "too few ledgers stored the record before the deadline");
}

Task<Expected<QuorumProgramState>>
QuorumClient::storeRecord(TurnUpdate Update, TimePoint Deadline,
                          StoreEffort Effort) {
  return Inner->storeRecord(std::move(Update), Deadline, Effort);
}

Task<Expected<Json>> QuorumClient::call(std::string Address, std::string Name,
                                        Json Body, TimePoint Deadline) {
  const auto Self = Inner;
  const auto Link = Self->linkTo(Address);
  if (!Link)
    co_return refuse(ErrorKind::LinkLost, Address + " is not a member");
  Self->onMemberCalled(Address);
  Expected<Json> Result =
      co_await callLink(Self->Io, Link, Name, encodeBody(Body), Deadline);
  Self->onMemberResult(Address, Result);
  co_return Result;
}

void QuorumClient::storeRecordInBackground(TurnUpdate Update) {
  ++Inner->Pending;
  spawn(Inner->Io,
        [](std::shared_ptr<Impl> Self, TurnUpdate Update) -> Task<void> {
          const Expected<QuorumProgramState> Done = co_await Self->storeRecord(
              Update, steadyNow() + BackgroundTimeout,
              StoreEffort::UntilDeadline);
          --Self->Pending;
          if (!Done)
            LogLine("ledgers.not_kept")
                .with("turn", Update.Record.Turn)
                .with("program", Update.Record.Program)
                .with("error", Done.error().Message);
        }(Inner, std::move(Update)));
}

/// Joins the parts of the chain that different members have.
Task<Expected<TurnChain>> QuorumClient::chain(TurnId Turn, TimePoint Deadline) {
  const auto Self = Inner;
  TurnChain Result;
  std::size_t Bytes = 0;
  TurnId Next = Turn;
  while (!Next.empty()) {
    Expected<TurnChain> Part = co_await Self->readChainPart(Next, Deadline);
    if (!Part && !Result.empty())
      co_return refuse(ErrorKind::NotEnoughCopies,
                       "an earlier turn of the chain was not found",
                       NotRun::Proved);
    if (!Part)
      co_return Part;
    for (const auto &Stored : *Part)
      Bytes += textBytes(*Stored);
    if (Bytes > Self->Options.MaxChainBytes)
      co_return refuse(ErrorKind::BodyTooLarge,
                       "the turns before the request are too long",
                       NotRun::Proved);
    Part->insert(Part->end(), Result.begin(), Result.end());
    Result = std::move(*Part);
    Next = Result.front()->Previous;
  }
  co_return Result;
}

Task<Expected<TurnChain>>
QuorumClient::Impl::readChainPart(TurnId Turn, TimePoint Deadline) {
  const auto Self = shared_from_this();
  while (steadyNow() < Deadline && !Self->Reach.isCutOff()) {
    const std::uint64_t Number = Self->Current.Number;
    const std::vector<ViewMember> Members = Self->joinedByDistance(Turn.text());
    const auto State = std::make_shared<ChainRound>(Self->Io);
    const LinkBody Body = encodeBody(ChainRequest{Number, Turn});
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      Self->sendChainRequest(Members[Index], Body, Deadline, State, true);
      if (Index == 0 && LostConnections.count(Members[Index].Address) == 0) {
        co_await State->Changed.wait(steadyNow() + NearestMemberHeadStart);
      }
      if (!State->Found.empty())
        co_return State->Found;
    }
    while (State->Found.empty() && State->Answered < Members.size() &&
           steadyNow() < Deadline && !Self->Reach.isCutOff()) {
      const TimePoint WakeAt = steadyNow() + StateCheckInterval;
      co_await State->Changed.wait(std::min(Deadline, WakeAt));
    }
    if (!State->Found.empty())
      co_return State->Found;
    if (State->NotFound == Members.size() && Number == Self->Current.Number &&
        Members.size() >= Self->copiesNeeded()) {
      LogLine("ledgers.turn_unknown")
          .with("turn", Turn)
          .with("view", Number)
          .with("asked", Members.size())
          .with("members", Self->Current.Members.size())
          .with("incomplete_since", Self->Current.IncompleteSince);
      if (Self->Current.IncompleteSince > 0)
        co_return refuse(ErrorKind::NotEnoughCopies,
                         "the ledgers may have lost the turn", NotRun::Proved);
      co_return refuse(ErrorKind::UnknownProgram, "no such turn",
                       NotRun::Proved);
    }
    co_await pause(Self->Io, RetryInterval);
  }
  co_return refuse(ErrorKind::NotEnoughCopies,
                   "too few ledgers answered for the turn", NotRun::Proved);
}

} // namespace tamarack
