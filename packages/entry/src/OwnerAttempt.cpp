/// Runs one attempt of a call: chooses an endpoint, writes the intent, sends
/// the attempt, learns its outcome and writes the result.
#include "OwnerImpl.h"

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

/// How long writing the result of a finished attempt is retried, at least.
constexpr Duration ResultWriteTimeout = std::chrono::seconds(30);
constexpr Duration ResultWriteRetryInterval = std::chrono::milliseconds(50);

std::string errorText(const Error &Cause) { return Json(Cause).dump(); }

Outcome outcomeOf(const Error &Cause, bool Repeatable) {
  if (Cause.Proof == NotRun::Proved)
    return Outcome::NotRun;
  if (Cause.Kind == ErrorKind::OutcomeUnknown)
    return Outcome::Unknown;
  return Repeatable ? Outcome::Failed : Outcome::Unknown;
}

Error finalError(const Error &Cause, Outcome How) {
  if (How != Outcome::Unknown)
    return Cause;
  return {ErrorKind::OutcomeUnknown,
          "the call was sent and its outcome is unknown: " + Cause.Message,
          NotRun::Unproved,
          {}};
}

AttemptResult failureOf(const AttemptId &Id, const Intent &Sent,
                        const Error &Cause) {
  const Outcome How = outcomeOf(Cause, Sent.Repeatable);
  return {Id.Call, Id.Attempt, How, errorText(finalError(Cause, How)), "", 0};
}

} // namespace

Expected<OpenAttempt> Owner::Impl::openAttempt(
    const ServedProgramTree &Served, const SubmitCallRequest &Incoming,
    const CallRequest &Request, const StartCall &Start,
    const std::vector<EndpointId> &Tried, CallTrace &Trace) {
  const ProgramTree &Tree = Served.Tree->State;
  const Member Own = Peers.self();
  RoutingRequest Needs;
  Needs.Program = Incoming.Program;
  Needs.PromptTokens = Request.WorstCase;
  Needs.Home = Own.Region;
  Needs.DataCentre = Own.DataCentre;
  Needs.Exclude = Tried;
  const auto Found = Tree.Programs.find(Incoming.Program);
  if (Found != Tree.Programs.end() && !Found->second.CallBySequence.empty()) {
    const CallState &Last =
        Found->second.Calls.at(Found->second.CallBySequence.rbegin()->second);
    if (Last.Done && Last.Done->How == Outcome::Completed) {
      Needs.LastEndpoint = Last.Sent.Endpoint;
      Needs.CachedPromptTokens[Last.Sent.Endpoint] =
          internal::historyTokens(Tree, Incoming.Program);
    }
  }
  const auto Views = Endpoints.views(Incoming.Target);
  const auto Chosen =
      chooseEndpoint(Views, Needs, Settings.Costs, NextRandom());
  Trace.Candidates.clear();
  for (const EndpointView &Seen : Views)
    Trace.Candidates.push_back(
        {Seen.Endpoint, Seen.ExpectedWait + Seen.UnreportedWait,
         costAt(Seen, Needs, Settings.Costs),
         Needs.CachedPromptTokens.count(Seen.Endpoint) != 0
             ? Needs.CachedPromptTokens.at(Seen.Endpoint)
             : 0,
         Chosen && Chosen->Endpoint == Seen.Endpoint,
         Seen.Ejected ? "ejected" : nameOf(Seen.State)});
  if (!Chosen)
    return tl::make_unexpected(Chosen.error());
  Trace.Reason = Chosen->Reason;
  const auto View = std::find_if(Views.begin(), Views.end(),
                                 [&Chosen](const EndpointView &Seen) {
                                   return Seen.Endpoint == Chosen->Endpoint;
                                 });
  const MemberTable Members = Peers.members();
  const auto Process = Members.Members.find(View->Instance);
  if (Process == Members.Members.end() || Process->second.Known.Life == 0)
    return refuse(ErrorKind::EndpointUnavailable,
                  "the process beside endpoint " + Chosen->Endpoint.text() +
                      " has not sent a heartbeat yet",
                  NotRun::Proved);

  Intent Sent;
  Sent.Call = Start.Call;
  Sent.Sequence = Start.Sequence;
  Sent.IdempotencyKey = Request.IdempotencyKey;
  Sent.Digest = Request.Digest;
  Sent.Attempt = Start.Attempt;
  Sent.Endpoint = Chosen->Endpoint;
  Sent.EndpointIncarnation =
      View->Target != 0 ? View->Target : Process->second.Known.Life;
  Sent.Repeatable = Request.Repeatable;
  Sent.Reserved = Request.WorstCase;
  Sent.NewMessages = Request.NewMessages;
  std::vector<Record> Records;
  if (Start.BeginFirst)
    Records.push_back({Incoming.Program, Request.IfNew});
  Records.push_back({Incoming.Program, Sent});
  const auto Written = appendRecords(Served, Records);
  if (!Written && Written.error().Kind == ErrorKind::Fenced)
    return refuse(ErrorKind::Fenced, "another entry owns the program");
  if (!Written)
    // The intent may be missing from a copy, so the attempt is never sent. But
    // a later owner may have run the same request.
    return refuse(ErrorKind::NotEnoughCopies,
                  "the intent could not be written to every copy: " +
                      Written.error().Message);
  return OpenAttempt{
      {Incoming.Program, Start.Call, Start.Attempt}, View->Instance, Sent};
}

Expected<CallReply>
Owner::Impl::runCall(const ServedProgramTree &Served, TreeLock &Lock,
                     const SubmitCallRequest &Incoming,
                     const CallRequest &Request, const StartCall &Start,
                     const PartSink &OnPart, std::vector<EndpointId> &Tried,
                     CallTrace &Trace, TimePoint Deadline) {
  const auto Opened =
      openAttempt(Served, Incoming, Request, Start, Tried, Trace);
  if (!Opened)
    return tl::make_unexpected(withConfirmedProof(Served, Opened.error()));
  Tried.push_back(Opened->Sent.Endpoint);
  const ProgramTree &Tree = Served.Tree->State;
  const ProgramState &Program = Tree.Programs.at(Incoming.Program);
  const TokenCount HistoryBefore =
      internal::historyTokens(Tree, Incoming.Program);
  ExecuteRequest Execute;
  Execute.Id = Opened->Id;
  Execute.Owner = Peers.self().Instance;
  Execute.Target = Opened->Sent.EndpointIncarnation;
  Execute.Kind = Incoming.Kind;
  Execute.Path = Incoming.Path;
  Execute.Body = internal::endpointBody(Incoming, &Program);
  Execute.IdempotencyKey = Incoming.IdempotencyKey;
  Execute.Class = Incoming.Class;
  Execute.Attained = Tree.Settled;
  Execute.PromptTokens = Request.WorstCase - internal::maxTokensOf(Incoming);
  Execute.MaxTokens = internal::maxTokensOf(Incoming);
  Execute.Remaining = Deadline - Time.now();
  {
    std::lock_guard<std::mutex> StateLock(Mutex);
    ++Counts.Started;
    LocalAttempts.insert(Opened->Id);
    if (Tried.size() > 1)
      Budgets = onRetrySent(std::move(Budgets), Opened->Sent.Endpoint,
                            Settings.Retries);
  }
  Lock.unlock();
  const AttemptResult Done = runAttempt(*Opened, Execute, OnPart, Deadline);
  const Expected<AttemptResult> Recorded =
      recordResult(*Opened, Done, Deadline);
  {
    std::lock_guard<std::mutex> StateLock(Mutex);
    LocalAttempts.erase(Opened->Id);
    if (Done.How == Outcome::Unknown)
      ++Counts.OutcomesUnknown;
  }
  if (!Recorded)
    return tl::make_unexpected(Recorded.error());
  auto Reply = internal::toReply(*Recorded);
  Trace.Call = Opened->Id.Call;
  Trace.Attempts.push_back(
      {Opened->Id.Attempt, Opened->Sent.Endpoint,
       Reply ? "answered" : answerOf(Reply.error().Kind).Name});
  if (!Reply)
    return Reply;
  countTokens(HistoryBefore, Reply->Use);
  std::lock_guard<std::mutex> StateLock(Mutex);
  Budgets =
      onSuccess(std::move(Budgets), Opened->Sent.Endpoint, Settings.Retries);
  return Reply;
}

void Owner::Impl::countTokens(TokenCount HistoryBefore, const TokenUsage &Use) {
  const TokenCount Reusable = std::min(HistoryBefore, Use.Prompt);
  std::lock_guard<std::mutex> Lock(Mutex);
  Counts.PromptTokens += Use.Prompt;
  Counts.CachedTokens += Use.Cached;
  if (Reusable > Use.Cached)
    Counts.PrefilledAgain += Reusable - Use.Cached;
}

AttemptResult
Owner::Impl::resultOf(const OpenAttempt &Attempt,
                      const Expected<ExecuteReply> &Answer) const {
  if (!Answer)
    return failureOf(Attempt.Id, Attempt.Sent, Answer.error());
  CallReply Reply;
  Reply.Status = Answer->Status;
  Reply.Answer = Answer->Answer;
  Reply.Program = Attempt.Id.Program;
  Reply.Sequence = Attempt.Sent.Sequence;
  Reply.ServedBy = Attempt.Sent.Endpoint;
  Reply.Use = Answer->Use;
  return {Attempt.Id.Call,       Attempt.Id.Attempt,
          Outcome::Completed,    Json(Reply).dump(),
          Answer->AnswerMessage, Answer->Use.Prompt + Answer->Use.Completion};
}

AttemptResult Owner::Impl::runAttempt(const OpenAttempt &Attempt,
                                      const ExecuteRequest &Execute,
                                      const PartSink &OnPart,
                                      TimePoint Deadline) {
  const auto Answer = Endpoints.execute(Attempt.Instance, Execute, OnPart);
  const bool IsOutcomeKnown = Answer ||
                              Answer.error().Proof == NotRun::Proved ||
                              (Answer.error().Kind != ErrorKind::LinkLost &&
                               Answer.error().Kind != ErrorKind::Timeout);
  if (IsOutcomeKnown)
    return resultOf(Attempt, Answer);
  // The request may have arrived: query its result and never send it again.
  while (true) {
    if (auto AttemptResult = queryResult(Attempt.Id, Attempt.Sent))
      return *AttemptResult;
    if (Time.now() >= Deadline)
      break;
    std::this_thread::sleep_for(Settings.StatusPollInterval);
  }
  return resultOf(Attempt, Answer);
}

std::optional<AttemptResult> Owner::Impl::queryResult(const AttemptId &Id,
                                                      const Intent &Sent) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Counts.Asked;
  }
  const Error Unknown{
      Sent.Repeatable ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown,
      "the process beside endpoint " + Sent.Endpoint.text() + " is gone",
      NotRun::Unproved,
      {}};
  const MemberTable Members = Peers.members();
  const auto Process = std::find_if(
      Members.Members.begin(), Members.Members.end(), [&Sent](const auto &Row) {
        return Row.second.Known.Endpoint == Sent.Endpoint;
      });
  if (Process == Members.Members.end() ||
      Process->second.Known.State == MemberState::Gone)
    return failureOf(Id, Sent, Unknown);
  const auto Status =
      Endpoints.queryAttempt(Process->first, {Id, Sent.EndpointIncarnation});
  if (!Status)
    return std::nullopt;
  switch (Status->What) {
  case AttemptQueryResult::State::Running:
    return std::nullopt;
  case AttemptQueryResult::State::NeverSent:
    return failureOf(Id, Sent,
                     {ErrorKind::EndpointUnavailable,
                      "the call did not reach the endpoint",
                      NotRun::Proved,
                      {}});
  case AttemptQueryResult::State::Unknown:
    return failureOf(Id, Sent, Unknown);
  case AttemptQueryResult::State::Finished:
    break;
  }
  if (Status->Answer)
    return resultOf({Id, Process->first, Sent}, *Status->Answer);
  return failureOf(Id, Sent, Status->Failure.value_or(Unknown));
}

Expected<AttemptResult> Owner::Impl::recordResult(const OpenAttempt &Attempt,
                                                  const AttemptResult &Done,
                                                  TimePoint Deadline) {
  const TimePoint GiveUpTime =
      std::max(Deadline, Time.now() + ResultWriteTimeout);
  while (true) {
    const auto Served = findServedTree(Attempt.Id.Program);
    if (Served) {
      TreeLock Lock(Served->Tree->Mutex);
      const auto &Programs = Served->Tree->State.Programs;
      const auto Program = Programs.find(Attempt.Id.Program);
      const bool Open =
          Program != Programs.end() &&
          Program->second.Running == Attempt.Id.Call &&
          Program->second.Calls.at(Attempt.Id.Call).Sent.Attempt ==
              Attempt.Id.Attempt;
      if (!Open && !Served->Shard->Lost) {
        // An append whose answer was lost, or another owner, may have recorded
        // this very result.
        const bool IsRecorded =
            Program != Programs.end() &&
            Program->second.Calls.count(Attempt.Id.Call) != 0 &&
            Program->second.Calls.at(Attempt.Id.Call).Done == Done;
        if (IsRecorded)
          return answerFor(Program->second.Calls.at(Attempt.Id.Call));
        return refuse(ErrorKind::Fenced,
                      "another owner recorded the result of the call");
      }
      if (Open && appendRecords(*Served, {Record{Attempt.Id.Program, Done}}))
        return answerFor(Served->Tree->State.Programs.at(Attempt.Id.Program)
                             .Calls.at(Attempt.Id.Call));
    } else if (Served.error().Kind == ErrorKind::Fenced) {
      return refuse(ErrorKind::Fenced, "another entry owns the program");
    }
    if (Time.now() >= GiveUpTime)
      return refuse(ErrorKind::NotEnoughCopies,
                    "the answer could not be written to every copy; repeat "
                    "the request to get it");
    std::this_thread::sleep_for(ResultWriteRetryInterval);
  }
}

void Owner::Impl::resolveOpenAttempts(const ServedProgramTree &Served,
                                      TreeLock &Lock) {
  std::vector<std::pair<AttemptId, Intent>> Open;
  for (const auto &[Program, Known] : Served.Tree->State.Programs) {
    if (!Known.Running)
      continue;
    const Intent &Sent = Known.Calls.at(*Known.Running).Sent;
    const AttemptId Id{Program, Sent.Call, Sent.Attempt};
    if (!isLocal(Id))
      Open.emplace_back(Id, Sent);
  }
  for (const auto &[Id, Sent] : Open) {
    Lock.unlock();
    const auto AttemptResult = queryResult(Id, Sent);
    Lock.lock();
    if (!AttemptResult)
      continue;
    const ProgramState &State = Served.Tree->State.Programs.at(Id.Program);
    const bool IsStillOpen = State.Running == Id.Call &&
                             State.Calls.at(Id.Call).Sent.Attempt == Id.Attempt;
    if (IsStillOpen &&
        !appendRecords(Served, {Record{Id.Program, *AttemptResult}}))
      return;
  }
}

} // namespace tamarack
