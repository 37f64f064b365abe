#include "OwnerImpl.h"

#include "tamarack/members/Ownership.h"

#include <algorithm>

namespace tamarack {
namespace {

/// Traces that are kept for explain.
constexpr std::size_t MaxTraces = 2000;

/// How an ended program is named in reports.
std::string reasonOf(const std::optional<EndReason> &End) {
  return End ? Json(*End).get<std::string>() : std::string();
}

ProgramReport reportOf(const ProgramTree &Now, const ProgramId &Program) {
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
                  MemberDirectory &Peers, const Clock &Time,
                  OwnerSettings Settings, std::function<std::string()> Fresh,
                  std::function<std::uint64_t()> Draw)
    : Shards(Shards), Endpoints(Endpoints), Peers(Peers), Time(Time),
      Settings(Settings), Fresh(std::move(Fresh)), Draw(std::move(Draw)),
      Budgets(fullBudgets(this->Settings.Retries)) {}

Owner::Owner(ShardTable &Shards, EndpointAccess &Endpoints,
             MemberDirectory &Peers, const Clock &Time, OwnerSettings Settings,
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

Expected<std::optional<InstanceId>>
Owner::findOtherOwner(const ProgramId &Program, std::uint32_t Hops) {
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
  ProgramTree &Now = Where.Held->State;
  std::vector<Append> Entries;
  for (const Record &Next : Records) {
    Entries.push_back({Where.Shard->At, Now.Root, Now.Length, Next});
    // The state may run ahead of the log here: the shard is lost on any
    // failure, and is read anew from its copies before it serves again.
    if (auto Applied = applyRecord(Now, Next); !Applied) {
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

Expected<CallReply> Owner::call(const SubmitCallRequest &Order,
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

Expected<ProgramReport> Owner::program(const ProgramRequest &Order) {
  const auto Where = State->serve(Order.Program);
  if (!Where)
    return tl::make_unexpected(Where.error());
  FamilyLock Lock(Where->Held->Mutex);
  State->resolveOpen(*Where, Lock);
  const ProgramTree &Now = Where->Held->State;
  const auto Found = Now.Programs.find(Order.Program);
  if (Found == Now.Programs.end() ||
      Now.Programs.at(Now.Root).Start.Customer != Order.Customer)
    return refuse(ErrorKind::UnknownProgram,
                  "no program " + Order.Program.text() + " has begun",
                  NotRun::Proved);
  const bool EndsNow = Order.End && !Found->second.End;
  if (EndsNow) {
    if (auto Ended = State->end(*Where, Order.Program); !Ended)
      return tl::make_unexpected(Ended.error());
  }
  ProgramReport Report = reportOf(Where->Held->State, Order.Program);
  if (EndsNow)
    Report.Took = std::chrono::milliseconds(
        State->nowMs() -
        Where->Held->State.Programs.at(Order.Program).Start.StartedMs);
  return Report;
}

Expected<bool> Owner::isAlive(const ProgramId &Program, Duration IdleLimit) {
  const auto Where = State->serve(Program);
  if (!Where)
    return tl::make_unexpected(Where.error());
  FamilyLock Lock(Where->Held->Mutex);
  const ProgramTree &Now = Where->Held->State;
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
          record(Where, {Record{Program, ProgramEnd{EndReason::Requested}}});
      !Written)
    return Written;
  releaseEverywhere(Where.Held->State);
  return {};
}

void Owner::Impl::releaseEverywhere(const ProgramTree &Now) {
  std::map<EndpointId, std::set<ProgramId>> Holding;
  for (const auto &[Program, Known] : Now.Programs)
    if (Known.End || Now.Programs.at(Now.Root).End)
      for (const auto &[Call, Sent] : Known.Calls)
        Holding[Sent.Sent.Endpoint].insert(Program);
  for (const Member &Holder :
       membersIn(Peers.members(), MemberState::Leaving, Role::Endpoint)) {
    const auto Found = Holding.find(Holder.Endpoint);
    if (Found != Holding.end())
      Endpoints.release(Holder.Instance,
                        {{Found->second.begin(), Found->second.end()}});
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
