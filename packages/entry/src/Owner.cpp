#include "OwnerImpl.h"

#include "tamarack/members/Ownership.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The number of traces kept for the explain request of operators.
constexpr std::size_t MaxTraces = 2000;

/// The end reason as reported; empty for an active program.
std::string reasonOf(const std::optional<EndReason> &End) {
  return End ? Json(*End).get<std::string>() : std::string();
}

ProgramReport reportOf(const ProgramTree &Tree, const ProgramId &Program) {
  const ProgramState &State = Tree.Programs.at(Program);
  ProgramReport Report;
  Report.Program = Program;
  Report.Budget = Tree.Budget;
  Report.Reserved = Tree.Reserved;
  Report.Settled = Tree.Settled;
  Report.Turns = State.Turns;
  Report.NextSequence = State.NextSequence;
  Report.Ended = reasonOf(State.End);
  Report.History = State.History;
  for (const auto &[Other, Unused] : Tree.Programs)
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
                  OwnerSettings Settings, std::function<std::string()> NewId,
                  std::function<std::uint64_t()> NextRandom)
    : Shards(Shards), Endpoints(Endpoints), Peers(Peers), Time(Time),
      Settings(Settings), NewId(std::move(NewId)),
      NextRandom(std::move(NextRandom)),
      Budgets(fullRetryBudgets(this->Settings.Retries)) {}

Owner::Owner(ShardTable &Shards, EndpointAccess &Endpoints,
             MemberDirectory &Peers, const Clock &Time, OwnerSettings Settings,
             std::function<std::string()> NewId,
             std::function<std::uint64_t()> NextRandom)
    : State(std::make_unique<Impl>(Shards, Endpoints, Peers, Time, Settings,
                                   std::move(NewId), std::move(NextRandom))) {}

Owner::~Owner() = default;

std::int64_t Owner::Impl::nowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.calendarNow().time_since_epoch())
      .count();
}

Expected<std::optional<InstanceId>>
Owner::findOtherOwner(const ProgramId &Program, std::uint32_t Hops) {
  const ShardId Shard = shardOf(Program, State->Settings.ShardCount);
  const auto Location = State->Shards.locate(Shard, Hops > 0);
  if (!Location)
    return tl::make_unexpected(Location.error());
  if (Location->OwnedHere)
    return std::optional<InstanceId>();
  if (Hops >= State->Settings.MaxHops)
    return refuse(ErrorKind::OwnerUnavailable,
                  "the owner of program " + Program.text() +
                      " was not found after " + std::to_string(Hops) + " hops",
                  NotRun::Proved);
  return std::optional<InstanceId>(Location->RemoteOwner);
}

Expected<ServedProgramTree>
Owner::Impl::findServedTree(const ProgramId &Program) {
  const ShardId Shard = shardOf(Program, Settings.ShardCount);
  const auto Location = Shards.locate(Shard, true);
  if (!Location)
    return tl::make_unexpected(Location.error());
  if (!Location->OwnedHere)
    return refuse(ErrorKind::Fenced, "another entry owns the program",
                  NotRun::Proved);
  return ServedProgramTree{Location->OwnedHere,
                           Location->OwnedHere->programTree(rootOf(Program))};
}

Expected<void> Owner::Impl::appendRecords(const ServedProgramTree &Served,
                                          const std::vector<Record> &Records) {
  if (Served.Shard->Lost)
    return refuse(ErrorKind::Fenced, "the shard has another owner");
  ProgramTree &Tree = Served.Tree->State;
  std::vector<Append> Entries;
  for (const Record &Next : Records) {
    Entries.push_back({Served.Shard->At, Tree.Root, Tree.Length, Next});
    // The state is changed before the log. Any failure ends the ownership, and
    // the state is read from the copies again before the shard is served.
    if (auto Applied = applyRecord(Tree, Next); !Applied) {
      Served.Shard->Lost = true;
      return Applied;
    }
  }
  if (auto Written = Shards.append(*Served.Shard, Entries); !Written)
    return Written;
  Served.Tree->LastUsed = Time.now();
  Served.Tree->Changed.notify_all();
  return {};
}

Expected<CallReply> Owner::Impl::countRefusal(const Error &Cause) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts.Refused[Cause.Kind];
  return tl::make_unexpected(Cause);
}

Error Owner::Impl::withConfirmedProof(const ServedProgramTree &Served,
                                      const Error &Cause) {
  if (Cause.Proof != NotRun::Proved || Shards.confirmOwnership(*Served.Shard))
    return Cause;
  return {ErrorKind::Fenced,
          "another entry may own the shard, so this refusal is not certain: " +
              Cause.Message,
          NotRun::Unproved,
          {}};
}

Expected<CallReply> Owner::call(const SubmitCallRequest &Request,
                                const PartSink &OnPart) {
  CallTrace Trace;
  Trace.Program = Request.Program;
  Trace.Customer = Request.Customer;
  Trace.Class = Request.Class;
  ++State->Running;
  auto Reply = State->serveCall(Request, OnPart, Trace);
  --State->Running;
  if (!Reply) {
    Trace.Refusal = Reply.error();
  }
  State->keepTrace(std::move(Trace));
  return Reply;
}

Expected<ProgramReport> Owner::program(const ProgramRequest &Request) {
  const auto Served = State->findServedTree(Request.Program);
  if (!Served)
    return tl::make_unexpected(Served.error());
  TreeLock Lock(Served->Tree->Mutex);
  State->resolveOpenAttempts(*Served, Lock);
  const ProgramTree &Tree = Served->Tree->State;
  const auto Found = Tree.Programs.find(Request.Program);
  if (Found == Tree.Programs.end() ||
      Tree.Programs.at(Tree.Root).Start.Customer != Request.Customer)
    return refuse(ErrorKind::UnknownProgram,
                  "program " + Request.Program.text() + " does not exist",
                  NotRun::Proved);
  const bool EndsNow = Request.End && !Found->second.End;
  if (EndsNow) {
    if (auto Ended = State->endProgram(*Served, Request.Program); !Ended)
      return tl::make_unexpected(Ended.error());
  }
  ProgramReport Report = reportOf(Served->Tree->State, Request.Program);
  if (EndsNow)
    Report.Took = std::chrono::milliseconds(
        State->nowMs() -
        Served->Tree->State.Programs.at(Request.Program).Start.StartedMs);
  return Report;
}

Expected<bool> Owner::isAlive(const ProgramId &Program, Duration IdleLimit) {
  const auto Served = State->findServedTree(Program);
  if (!Served)
    return tl::make_unexpected(Served.error());
  TreeLock Lock(Served->Tree->Mutex);
  const ProgramTree &Tree = Served->Tree->State;
  const auto Found = Tree.Programs.find(Program);
  if (Found == Tree.Programs.end() || Found->second.End ||
      Tree.Programs.at(Tree.Root).End)
    return false;
  // A tree that was just taken over has not been used here yet.
  TimePoint &LastUsed = Served->Tree->LastUsed;
  if (LastUsed == TimePoint())
    LastUsed = State->Time.now();
  return Found->second.Running || State->Time.now() - LastUsed < IdleLimit;
}

Expected<void> Owner::Impl::endProgram(const ServedProgramTree &Served,
                                       const ProgramId &Program) {
  if (auto Written = appendRecords(
          Served, {Record{Program, ProgramEnd{EndReason::Requested}}});
      !Written)
    return Written;
  releaseEngineMemory(Served.Tree->State);
  return {};
}

void Owner::Impl::releaseEngineMemory(const ProgramTree &Tree) {
  std::map<EndpointId, std::set<ProgramId>> Holding;
  for (const auto &[Program, State] : Tree.Programs)
    if (State.End || Tree.Programs.at(Tree.Root).End)
      for (const auto &[Id, Call] : State.Calls)
        Holding[Call.Sent.Endpoint].insert(Program);
  for (const Member &Holder :
       membersIn(Peers.members(), MemberState::Leaving, Role::Endpoint)) {
    const auto Found = Holding.find(Holder.Endpoint);
    if (Found != Holding.end())
      Endpoints.release(Holder.Instance,
                        {{Found->second.begin(), Found->second.end()}});
  }
}

void Owner::Impl::keepTrace(CallTrace Trace) {
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
  return LocalAttempts.count(Id) != 0;
}

} // namespace tamarack
