#include "OwnerImpl.h"

#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

/// Longest uninterrupted wait for another call of the program.
constexpr Duration WaitStep = std::chrono::milliseconds(200);

/// Traces that are kept for explain.
constexpr std::size_t MaxTraces = 2000;

/// How an ended program is named in reports.
std::string reasonOf(const std::optional<EndReason> &End) {
  return End ? Json(*End).get<std::string>() : std::string();
}

ProgramReport reportOf(const Family &Now, const ProgramId &Program) {
  const ProgramState &State = Now.Programs.at(Program);
  ProgramReport Report;
  Report.Program = Program;
  Report.Budget = Now.Budget;
  Report.Reserved = Now.Reserved;
  Report.Settled = Now.Settled;
  Report.Turns = State.Turns;
  Report.NextSequence = State.NextSequence;
  Report.Ended = reasonOf(State.End);
  Report.History = State.History;
  for (const auto &[Other, Unused] : Now.Programs)
    if (Other != Program && Other.text().rfind(Program.text() + '/', 0) == 0)
      Report.SubAgents.push_back(Other);
  if (!State.CallBySequence.empty())
    Report.LastEndpoint =
        State.Calls.at(State.CallBySequence.rbegin()->second).Sent.Endpoint;
  return Report;
}

} // namespace

Owner::Impl::Impl(ShardTable &Shards, EndpointAccess &Endpoints,
                  Directory &Peers, const Clock &Time, OwnerSettings Settings,
                  std::function<std::string()> Fresh,
                  std::function<std::uint64_t()> Draw)
    : Shards(Shards), Endpoints(Endpoints), Peers(Peers), Time(Time),
      Settings(Settings), Fresh(std::move(Fresh)), Draw(std::move(Draw)) {}

Owner::Owner(ShardTable &Shards, EndpointAccess &Endpoints, Directory &Peers,
             const Clock &Time, OwnerSettings Settings,
             std::function<std::string()> Fresh,
             std::function<std::uint64_t()> Draw)
    : State(std::make_unique<Impl>(Shards, Endpoints, Peers, Time, Settings,
                                   std::move(Fresh), std::move(Draw))) {}

Owner::~Owner() = default;

std::int64_t Owner::Impl::nowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.calendarNow().time_since_epoch())
      .count();
}

Expected<std::optional<InstanceId>> Owner::elsewhere(const ProgramId &Program,
                                                     std::uint32_t Hops) {
  const ShardId Shard = shardOf(Program, State->Settings.ShardCount);
  const auto Home = State->Shards.locate(Shard, Hops > 0);
  if (!Home)
    return tl::make_unexpected(Home.error());
  if (Home->Here)
    return std::optional<InstanceId>();
  if (Hops >= State->Settings.MaxHops)
    return refuse(ErrorKind::OwnerUnavailable,
                  "the program's owner is changing", NotRun::Proved);
  return std::optional<InstanceId>(Home->Elsewhere);
}

Expected<ServedFamily> Owner::Impl::serve(const ProgramId &Program) {
  const ShardId Shard = shardOf(Program, Settings.ShardCount);
  const auto Home = Shards.locate(Shard, true);
  if (!Home)
    return tl::make_unexpected(Home.error());
  if (!Home->Here)
    return refuse(ErrorKind::Fenced, "another entry owns the program",
                  NotRun::Proved);
  return ServedFamily{Home->Here, Home->Here->family(rootOf(Program))};
}

Expected<void> Owner::Impl::record(const ServedFamily &Where,
                                   const std::vector<Record> &Records) {
  if (Where.Shard->Lost)
    return refuse(ErrorKind::Fenced, "the shard has another owner");
  Family &Now = Where.Held->State;
  std::vector<Append> Entries;
  for (const Record &Next : Records) {
    Entries.push_back({Where.Shard->At, Now.Root, Now.Length, Next});
    // The state may run ahead of the log here: the shard is lost on any
    // failure, and is read anew from its copies before it serves again.
    if (auto Applied = applyTo(Now, Next); !Applied) {
      Where.Shard->Lost = true;
      return Applied;
    }
  }
  if (auto Written = Shards.append(*Where.Shard, Entries); !Written)
    return Written;
  Where.Held->LastUsed = Time.now();
  Where.Held->Changed.notify_all();
  return {};
}

Expected<CallReply> Owner::Impl::refused(const Error &Why) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts.Refused[Why.Kind];
  return tl::make_unexpected(Why);
}

Error Owner::Impl::confirmed(const ServedFamily &Where, const Error &Why) {
  if (Why.Proof != NotRun::Proved || Shards.confirm(*Where.Shard))
    return Why;
  return {ErrorKind::Fenced,
          "the shard was lost before: " + Why.Message,
          NotRun::Unproved,
          {}};
}

Expected<CallReply> Owner::call(const CallOrder &Order,
                                const PartSink &OnPart) {
  CallTrace Trace;
  Trace.Program = Order.Program;
  Trace.Customer = Order.Customer;
  Trace.Class = Order.Class;
  ++State->Running;
  auto Reply = State->serveCall(Order, OnPart, Trace);
  --State->Running;
  if (!Reply) {
    Trace.Refusal = Reply.error();
  }
  State->remember(std::move(Trace));
  return Reply;
}

Expected<void> Owner::Impl::mayRetry(const CallOrder &Order,
                                     const Error &Failure,
                                     std::vector<EndpointId> &Tried,
                                     unsigned Attempts, TimePoint Deadline) {
  // Nothing was sent, or the outcome could not be kept here: no matter of the
  // endpoint, and the router finds who serves the program now.
  const bool OfTheLog = Failure.Kind == ErrorKind::Fenced ||
                        Failure.Kind == ErrorKind::NotEnoughCopies;
  if (Tried.empty() || OfTheLog)
    return tl::make_unexpected(Failure);
  FailedAttempt Failed{Failure,  Tried.back(), Order.Repeatable,
                       Attempts, Deadline,     Tried};
  std::unique_lock<std::mutex> Lock(Mutex);
  RetryOutcome Outcome = decideRetry(Failed, std::move(Budgets),
                                     Settings.Retries, Time.now(), Draw());
  Budgets = std::move(Outcome.Budgets);
  if (const auto *End = std::get_if<GiveUp>(&Outcome.Decision)) {
    ++Counts.GaveUp[End->Reason];
    return tl::make_unexpected(End->Final);
  }
  const auto &Again = std::get<Retry>(Outcome.Decision);
  ++Counts.Retried[Again.Reason];
  Tried = Again.Exclude;
  Lock.unlock();
  std::this_thread::sleep_for(Again.After);
  return {};
}

Expected<CallReply> Owner::Impl::serveCall(const CallOrder &Order,
                                           const PartSink &OnPart,
                                           CallTrace &Trace) {
  Impl &Self = *this;
  const TimePoint Deadline = Self.Time.now() + Order.Remaining;
  const CallId Call(Self.Fresh());
  Trace.Call = Call;
  const auto Asked = internal::requestOf(Order, Call, Self.nowMs());
  if (!Asked)
    return Self.refused(Asked.error());
  std::vector<EndpointId> Tried;
  bool MayHaveRun = false;
  unsigned Attempts = 0;
  bool Unconfirmed = false;
  while (true) {
    const auto Where = Self.serve(Order.Program);
    if (!Where) {
      Error Why = Where.error();
      // Without a copy nobody knows what became of an earlier sending.
      if (MayHaveRun || Unconfirmed || mayBeRepeated(Order))
        Why.Proof = NotRun::Unproved;
      return Self.refused(Why);
    }
    FamilyLock Lock(Where->Held->Mutex);
    Self.resolveOpen(*Where, Lock);
    if (Where->Shard->Lost)
      continue;
    const auto Root = Where->Held->State.Programs.find(rootOf(Order.Program));
    if (Root != Where->Held->State.Programs.end() &&
        Root->second.Start.Customer != Order.Customer)
      return Self.refused({ErrorKind::UnknownProgram,
                           "no program " + Order.Program.text() + " has begun",
                           NotRun::Proved,
                           {}});
    CallRequest Request = *Asked;
    internal::addHistory(Request, Where->Held->State);
    const CallDecision Decision =
        decideCall(Where->Held->State, Request, Self.nowMs());
    if (const auto *Refused = std::get_if<Refuse>(&Decision)) {
      if (Refused->EndRecord &&
          Self.record(*Where, {*Refused->EndRecord}).has_value())
        Self.releaseEverywhere(Where->Held->State);
      return Self.refused(Self.confirmed(*Where, Refused->Why));
    }
    if (const auto *Stored = std::get_if<StoredAnswer>(&Decision)) {
      {
        std::lock_guard<std::mutex> Counting(Self.Mutex);
        ++Self.Counts.Stored;
      }
      auto Reply = internal::replyOf(Stored->Answer);
      if (Reply)
        Reply->Stored = Attempts == 0;
      return Reply;
    }
    if (const auto *Start = std::get_if<StartCall>(&Decision)) {
      auto Reply = Self.start(
          *Where, Lock, Order, Request, *Start,
          Attempts == 0 ? OnPart : [](const CallPart &) {}, Tried, Trace,
          Deadline);
      if (!Reply && Where->Shard->Lost && Tried.empty() && !Unconfirmed) {
        // Nothing was sent; a new claim tells whether the request has run.
        Unconfirmed = true;
        continue;
      }
      if (Reply)
        return Reply;
      if (Lock.owns_lock())
        Lock.unlock();
      ++Attempts;
      if (auto Again =
              Self.mayRetry(Order, Reply.error(), Tried, Attempts, Deadline);
          !Again)
        return Self.refused(Again.error());
      MayHaveRun = MayHaveRun || Reply.error().Proof == NotRun::Unproved;
      continue;
    }
    const TimePoint Now = Self.Time.now();
    if (Now >= Deadline) {
      const bool Joining = std::holds_alternative<JoinCall>(Decision);
      return Self.refused(Self.confirmed(
          *Where, {Joining ? ErrorKind::Timeout : ErrorKind::WrongSequence,
                   Joining ? "the call still runs"
                           : "an earlier call of the program did not come or "
                             "end",
                   Joining || MayHaveRun ? NotRun::Unproved : NotRun::Proved,
                   {}}));
    }
    {
      std::lock_guard<std::mutex> Counting(Self.Mutex);
      ++(std::holds_alternative<JoinCall>(Decision) ? Self.Counts.Joined
                                                    : Self.Counts.Waited);
    }
    Where->Held->Changed.wait_for(Lock,
                                  std::min<Duration>(WaitStep, Deadline - Now));
  }
}

Expected<ProgramReport> Owner::program(const ProgramOrder &Order) {
  const auto Where = State->serve(Order.Program);
  if (!Where)
    return tl::make_unexpected(Where.error());
  FamilyLock Lock(Where->Held->Mutex);
  State->resolveOpen(*Where, Lock);
  const Family &Now = Where->Held->State;
  const auto Found = Now.Programs.find(Order.Program);
  if (Found == Now.Programs.end() ||
      Now.Programs.at(Now.Root).Start.Customer != Order.Customer)
    return refuse(ErrorKind::UnknownProgram,
                  "no program " + Order.Program.text() + " has begun",
                  NotRun::Proved);
  if (Order.End && !Found->second.End) {
    if (auto Ended = State->end(*Where, Order.Program); !Ended)
      return tl::make_unexpected(Ended.error());
  }
  return reportOf(Where->Held->State, Order.Program);
}

Expected<bool> Owner::isAlive(const ProgramId &Program, Duration IdleLimit) {
  const auto Where = State->serve(Program);
  if (!Where)
    return tl::make_unexpected(Where.error());
  FamilyLock Lock(Where->Held->Mutex);
  const Family &Now = Where->Held->State;
  const auto Found = Now.Programs.find(Program);
  if (Found == Now.Programs.end() || Found->second.End ||
      Now.Programs.at(Now.Root).End)
    return false;
  // A family that was just taken over has not been used here yet.
  TimePoint &LastUsed = Where->Held->LastUsed;
  if (LastUsed == TimePoint())
    LastUsed = State->Time.now();
  return Found->second.Running || State->Time.now() - LastUsed < IdleLimit;
}

Expected<void> Owner::Impl::end(const ServedFamily &Where,
                                const ProgramId &Program) {
  if (auto Written =
          record(Where, {Record{Program, Ended{EndReason::Requested}}});
      !Written)
    return Written;
  releaseEverywhere(Where.Held->State);
  return {};
}

void Owner::Impl::releaseEverywhere(const Family &Now) {
  std::map<EndpointId, std::vector<ProgramId>> Holding;
  for (const auto &[Program, Known] : Now.Programs)
    if (Known.End || Now.Programs.at(Now.Root).End)
      for (const auto &[Call, Sent] : Known.Calls)
        Holding[Sent.Sent.Endpoint].push_back(Program);
  for (const Member &Holder :
       membersIn(Peers.members(), MemberState::Leaving, Role::Endpoint)) {
    const auto Found = Holding.find(Holder.Endpoint);
    if (Found != Holding.end())
      Endpoints.release(Holder.Instance, {Found->second});
  }
}

void Owner::Impl::remember(CallTrace Trace) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Traces.push_back(std::move(Trace));
  if (Traces.size() > MaxTraces)
    Traces.pop_front();
}

std::optional<CallTrace> Owner::trace(const CallId &Call,
                                      const ProgramId &Program) const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  const auto &Traces = State->Traces;
  for (const bool ByCall : {true, false})
    for (auto Trace = Traces.rbegin(); Trace != Traces.rend(); ++Trace)
      if (ByCall ? Trace->Call == Call : Trace->Program == Program)
        return *Trace;
  return std::nullopt;
}

std::size_t Owner::running() const { return State->Running; }

OwnerCounts Owner::counts() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Counts;
}

bool Owner::Impl::isLocal(const AttemptId &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Local.count(Id) != 0;
}

} // namespace tamarack
