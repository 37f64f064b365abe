#include "tamarack/quorum/QuorumClient.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <set>

namespace tamarack {
namespace {

/// Before the members are asked again, where too few could keep a record.
constexpr Duration RoundPause = std::chrono::milliseconds(40);
/// How soon a newer view is noticed while a round waits.
constexpr Duration ViewCheck = std::chrono::milliseconds(100);
/// How long a record is tried that nobody waits for: the longest time that the
/// quorum may be out of reach while the entry lives.
constexpr Duration BackgroundLimit = std::chrono::seconds(20);
/// Load is told that often: often enough to see a burst of some tens of turns
/// a second, seldom enough to cost a few bytes a turn.
constexpr Duration NotePeriod = std::chrono::milliseconds(40);
/// A member that has not kept a record for that long is passed over for a
/// while, and the record goes to the others too: a way between regions of 40
/// ms, a sync of 5 ms, and some load.
constexpr Duration MemberPatience = std::chrono::milliseconds(80);
constexpr Duration PassOverFor = std::chrono::seconds(1);
/// The nearest member has this long before the others are asked for a chain.
constexpr Duration NearestHeadStart = std::chrono::milliseconds(60);

/// What the members answered in one round.
struct Round {
  explicit Round(Loop &Io) : Changed(Io) {}
  Signal Changed;
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  /// The addresses of members that have the record, that have its text too,
  /// and that were given all there is to keep.
  std::set<std::string> Kept;
  std::set<std::string> TextKept;
  std::set<std::string> WholeAsked;
  QuorumProgramState Known;
};

struct ChainRound {
  explicit ChainRound(Loop &Io) : Changed(Io) {}
  Signal Changed;
  std::size_t Answered = 0;
  std::size_t Unknown = 0;
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
  TimePoint NotedAt;
  /// Members that were slow to keep a text, and until when they come last.
  std::map<std::string, TimePoint> PassedOver;

  std::optional<EndpointLoadReport> nextNote();
  bool isInRegion(const ViewMember &Member) const {
    return !Options.Distance || Options.Distance(Member.DataCentre) <= 1;
  }
  void setView(const View &Next);
  std::size_t needed() const {
    return requiredCopies(Current, Options.DurableCopies);
  }
  std::shared_ptr<LinkClient> linkTo(const ViewMember &Member) {
    return Links.at(Member.Address);
  }
  void askToKeep(const std::shared_ptr<LinkClient> &Link, const LinkBody &Body,
                 TimePoint Deadline, const std::shared_ptr<Round> &State,
                 bool WithText, bool MayAdopt);
  void askRound(const TurnUpdate &Turn, TimePoint Deadline,
                const std::shared_ptr<Round> &State);
  /// Gives the record to the members that have not got all of it yet.
  void askTheRest(const TurnUpdate &Turn, TimePoint Deadline,
                  const std::shared_ptr<Round> &State);
  /// One turn and what the members that answered hold before it.
  Task<Expected<TurnChain>> chainPart(TurnId Turn, TimePoint Deadline);
  Task<bool> keepRound(const TurnUpdate &Turn, TimePoint Deadline,
                       std::shared_ptr<Round> State);
  void askForChain(const ViewMember &Member, const LinkBody &Body,
                   TimePoint Deadline, const std::shared_ptr<ChainRound> &State,
                   bool MayAdopt);
  /// The nearest first; the equally near in an order that \p Key chooses.
  std::vector<ViewMember> joinedByDistance(const std::string &Key) const;
  Task<Expected<QuorumProgramState>> storeRecord(TurnUpdate Turn,
                                                 TimePoint Deadline);
  void adoptThen(const std::shared_ptr<LinkClient> &Link, TimePoint Deadline,
                 std::function<void()> Next);
};

void QuorumClient::Impl::setView(const View &Next) {
  if (Next.Number <= Current.Number)
    return;
  Current = Next;
  std::map<std::string, std::shared_ptr<LinkClient>> Kept;
  for (const ViewMember &Member : Next.Members) {
    const auto Known = Links.find(Member.Address);
    Kept[Member.Address] =
        Known != Links.end()
            ? Known->second
            : LinkClient::make(Io, Member.Address, Options.Link);
  }
  Links.swap(Kept);
  LogLine("ledgers.view")
      .with("number", Next.Number)
      .with("members", Next.Members.size())
      .with("joined",
            std::count_if(Next.Members.begin(), Next.Members.end(),
                          [](const ViewMember &M) { return M.Joined; }));
}

std::optional<EndpointLoadReport> QuorumClient::Impl::nextNote() {
  const TimePoint Now = steadyNow();
  if (!Options.MakeLoadReport || Now - NotedAt < NotePeriod)
    return std::nullopt;
  NotedAt = Now;
  return Options.MakeLoadReport();
}

/// Tells a member of the current view, then goes on.
void QuorumClient::Impl::adoptThen(const std::shared_ptr<LinkClient> &Link,
                                   TimePoint Deadline,
                                   std::function<void()> Next) {
  Link->call(calls::Adopt, encodeBody(Current), Deadline,
             [Next = std::move(Next)](const Expected<Json> &) { Next(); });
}

void QuorumClient::Impl::askToKeep(const std::shared_ptr<LinkClient> &Link,
                                   const LinkBody &Body, TimePoint Deadline,
                                   const std::shared_ptr<Round> &State,
                                   bool WithText, bool MayAdopt) {
  const auto Done = [Self = shared_from_this(), Link, Body, Deadline, State,
                     WithText, MayAdopt](const Expected<Json> &Result) {
    RecordResponse Answer;
    if (Result)
      Answer = Result->get<RecordResponse>();
    else
      Answer.Refusal = LedgerRefusal::Failed;
    if (Answer.Refusal == LedgerRefusal::UnknownView && MayAdopt) {
      Self->adoptThen(Link, Deadline, [=] {
        Self->askToKeep(Link, Body, Deadline, State, WithText, false);
      });
      return;
    }
    if (Answer.NewerView)
      Self->setView(*Answer.NewerView);
    if (Self->Options.OnInFlightElsewhere && Answer.InFlightElsewhere)
      Self->Options.OnInFlightElsewhere(*Answer.InFlightElsewhere);
    ++State->Answered;
    if (Answer.Refusal == LedgerRefusal::None) {
      State->Kept.insert(Link->address());
      if (WithText)
        State->TextKept.insert(Link->address());
      Self->PassedOver.erase(Link->address());
      mergeAccount(State->Known.Charges, Answer.ProgramAccount);
      if (State->Known.LastRanAt.empty())
        State->Known.LastRanAt = Answer.LastRanAt;
    }
    State->Changed.raise();
  };
  Link->call(calls::Record, Body, Deadline, Done);
}

/// The nearest members that make a quorum get the record. Where it has a text,
/// the others get its link, for they may keep the turns before it.
void QuorumClient::Impl::askRound(const TurnUpdate &Turn, TimePoint Deadline,
                                  const std::shared_ptr<Round> &State) {
  const std::uint64_t Number = Current.Number;
  const bool HasText = Turn.Record.Text != nullptr;
  const std::size_t Needed = needed();
  RecordRequest Call{Number, Turn.Record, Turn.RanAt, {}};
  const LinkBody Whole = encodeBody(Call);
  Call.LoadReport = nextNote();
  const LinkBody Noted = Call.LoadReport ? encodeBody(Call) : Whole;
  LinkBody Light;
  if (HasText) {
    Call = {Number, withoutText(Turn.Record), Turn.RanAt, {}};
    Light = encodeBody(Call);
  }
  bool NearestTold = false;
  for (const ViewMember &Member :
       joinedByDistance(Turn.Record.Program.text())) {
    if (Number != Current.Number)
      return;
    const bool InQuorum = State->WholeAsked.size() < Needed;
    if (!InQuorum && !HasText)
      return;
    if (InQuorum)
      State->WholeAsked.insert(Member.Address);
    // Other regions have endpoints of their own; a note costs bytes there.
    const bool Near = !NearestTold || isInRegion(Member);
    NearestTold = true;
    ++State->Asked;
    askToKeep(linkTo(Member),
              !InQuorum ? Light
              : Near    ? Noted
                        : Whole,
              Deadline, State, HasText && InQuorum, true);
  }
}

void QuorumClient::Impl::askTheRest(const TurnUpdate &Turn, TimePoint Deadline,
                                    const std::shared_ptr<Round> &State) {
  const LinkBody Whole =
      encodeBody(RecordRequest{Current.Number, Turn.Record, Turn.RanAt, {}});
  for (const std::string &Asked : State->WholeAsked)
    if (State->Kept.count(Asked) == 0)
      PassedOver[Asked] = steadyNow() + PassOverFor;
  for (const ViewMember &Member : joinedByDistance(Turn.Record.Program.text()))
    if (State->WholeAsked.insert(Member.Address).second) {
      ++State->Asked;
      askToKeep(linkTo(Member), Whole, Deadline, State,
                Turn.Record.Text != nullptr, true);
    }
}

Task<bool> QuorumClient::Impl::keepRound(const TurnUpdate &Turn,
                                         TimePoint Deadline,
                                         std::shared_ptr<Round> State) {
  const auto Self = shared_from_this();
  const std::uint64_t Number = Current.Number;
  const std::size_t Needed = needed();
  const std::size_t Texts = Turn.Record.Text ? Options.DurableCopies : 0;
  const TimePoint Patience = steadyNow() + MemberPatience;
  bool AllAsked = false;
  askRound(Turn, Deadline, State);
  const auto IsKept = [&] {
    return State->Kept.size() >= Needed && State->TextKept.size() >= Texts;
  };
  while (!IsKept() && Current.Number == Number && steadyNow() < Deadline) {
    const bool AllAnswered = State->Answered >= State->Asked;
    if (AllAsked && AllAnswered)
      break;
    if (!AllAsked && (AllAnswered || steadyNow() >= Patience)) {
      AllAsked = true;
      askTheRest(Turn, Deadline, State);
      continue;
    }
    const TimePoint Look = AllAsked ? steadyNow() + ViewCheck : Patience;
    co_await State->Changed.wait(std::min(Deadline, Look));
  }
  co_return IsKept();
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
        const auto Place = PassedOver.find(Member.Address);
        return Place == PassedOver.end() || Place->second <= Now;
      });
  return Result;
}

void QuorumClient::Impl::askForChain(const ViewMember &Member,
                                     const LinkBody &Body, TimePoint Deadline,
                                     const std::shared_ptr<ChainRound> &State,
                                     bool MayAdopt) {
  const auto Done = [Self = shared_from_this(), Member, Body, Deadline, State,
                     MayAdopt](const Expected<Json> &Result) {
    ChainResponse Answer;
    if (Result)
      Answer = Result->get<ChainResponse>();
    else
      Answer.Refusal = LedgerRefusal::Failed;
    if (Answer.Refusal == LedgerRefusal::UnknownView && MayAdopt) {
      Self->adoptThen(Self->linkTo(Member), Deadline, [=] {
        Self->askForChain(Member, Body, Deadline, State, false);
      });
      return;
    }
    if (Answer.NewerView)
      Self->setView(*Answer.NewerView);
    ++State->Answered;
    if (Answer.Refusal == LedgerRefusal::None && Answer.Turns.empty())
      ++State->Unknown;
    if (State->Found.empty())
      for (StoredTurn &Turn : Answer.Turns)
        State->Found.push_back(
            std::make_shared<const StoredTurn>(std::move(Turn)));
    State->Changed.raise();
  };
  const auto Link = Links.find(Member.Address);
  if (Link != Links.end())
    Link->second->call(calls::Chain, Body, Deadline, Done);
}

QuorumClient::QuorumClient(Loop &Io, QuorumOptions Options)
    : Inner(std::make_shared<Impl>(Io, std::move(Options))) {}

QuorumClient::~QuorumClient() = default;

void QuorumClient::setView(const View &Next) { Inner->setView(Next); }
const View &QuorumClient::view() const { return Inner->Current; }
bool QuorumClient::hasView() const {
  return Inner->Current.Members.size() >= Inner->Options.DurableCopies;
}
std::size_t QuorumClient::pendingRecords() const { return Inner->Pending; }

Task<Expected<QuorumProgramState>>
QuorumClient::Impl::storeRecord(TurnUpdate Turn, TimePoint Deadline) {
  const auto Self = shared_from_this();
  while (steadyNow() < Deadline) {
    const std::uint64_t Number = Current.Number;
    const auto State = std::make_shared<Round>(Io);
    const bool Kept = co_await keepRound(Turn, Deadline, State);
    if (Kept)
      co_return State->Known;
    if (Number == Current.Number) {
      co_await pause(Io, RoundPause);
    }
  }
  co_return refuse(ErrorKind::NotEnoughCopies,
                   "too few ledgers kept the record in time");
}

Task<Expected<QuorumProgramState>>
QuorumClient::storeRecord(TurnUpdate Turn, TimePoint Deadline) {
  return Inner->storeRecord(std::move(Turn), Deadline);
}

void QuorumClient::storeRecordInBackground(TurnUpdate Turn) {
  ++Inner->Pending;
  spawn(Inner->Io,
        [](std::shared_ptr<Impl> Self, TurnUpdate Turn) -> Task<void> {
          const Expected<QuorumProgramState> Done =
              co_await Self->storeRecord(Turn, steadyNow() + BackgroundLimit);
          --Self->Pending;
          if (!Done)
            LogLine("ledgers.not_kept")
                .with("turn", Turn.Record.Turn)
                .with("program", Turn.Record.Program)
                .with("error", Done.error().Message);
        }(Inner, std::move(Turn)));
}

/// Links the parts that different members hold.
Task<Expected<TurnChain>> QuorumClient::chain(TurnId Turn, TimePoint Deadline) {
  const auto Self = Inner;
  TurnChain Result;
  TurnId Next = Turn;
  while (!Next.empty()) {
    Expected<TurnChain> Part = co_await Self->chainPart(Next, Deadline);
    if (!Part && !Result.empty())
      co_return refuse(ErrorKind::NotEnoughCopies,
                       "an earlier turn of the chain was not found",
                       NotRun::Proved);
    if (!Part)
      co_return Part;
    Part->insert(Part->end(), Result.begin(), Result.end());
    Result = std::move(*Part);
    Next = Result.front()->Previous;
  }
  co_return Result;
}

Task<Expected<TurnChain>> QuorumClient::Impl::chainPart(TurnId Turn,
                                                        TimePoint Deadline) {
  const auto Self = shared_from_this();
  while (steadyNow() < Deadline) {
    const std::uint64_t Number = Self->Current.Number;
    const std::vector<ViewMember> Members = Self->joinedByDistance(Turn.text());
    const auto State = std::make_shared<ChainRound>(Self->Io);
    const LinkBody Body = encodeBody(ChainRequest{Number, Turn});
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      Self->askForChain(Members[Index], Body, Deadline, State, true);
      if (Index == 0) {
        co_await State->Changed.wait(steadyNow() + NearestHeadStart);
      }
      if (!State->Found.empty())
        co_return State->Found;
    }
    while (State->Found.empty() && State->Answered < Members.size() &&
           steadyNow() < Deadline)
      co_await State->Changed.wait(Deadline);
    if (!State->Found.empty())
      co_return State->Found;
    if (State->Unknown == Members.size() && Number == Self->Current.Number &&
        Members.size() >= Self->needed())
      co_return refuse(ErrorKind::UnknownProgram, "there is no such turn",
                       NotRun::Proved);
    co_await pause(Self->Io, RoundPause);
  }
  co_return refuse(ErrorKind::NotEnoughCopies,
                   "too few ledgers answered for the turn", NotRun::Proved);
}

} // namespace tamarack
