/// One attempt of a call: choose, write the intent, send, learn the outcome,
/// write the result.
#include "OwnerImpl.h"

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

/// How long a finished attempt's result is kept trying to be written.
constexpr Duration SettleLimit = std::chrono::seconds(30);
constexpr Duration SettlePause = std::chrono::milliseconds(50);

std::string errorText(const Error &Why) { return Json(Why).dump(); }

Outcome outcomeOf(const Error &Why, bool Repeatable) {
  if (Why.Proof == NotRun::Proved)
    return Outcome::NotRun;
  if (Why.Kind == ErrorKind::OutcomeUnknown)
    return Outcome::Unknown;
  return Repeatable ? Outcome::Failed : Outcome::Unknown;
}

Error finalError(const Error &Why, Outcome How) {
  if (How != Outcome::Unknown)
    return Why;
  return {ErrorKind::OutcomeUnknown,
          "the call was sent and its outcome cannot be learned: " + Why.Message,
          NotRun::Unproved,
          {}};
}

Result failureOf(const AttemptId &Id, const Intent &Sent, const Error &Why) {
  const Outcome How = outcomeOf(Why, Sent.Repeatable);
  return {Id.Call, Id.Attempt, How, errorText(finalError(Why, How)), "", 0};
}

} // namespace

Expected<OpenAttempt>
Owner::Impl::openAttempt(const ServedFamily &Where, const CallOrder &Order,
                         const CallRequest &Request, const StartCall &Start,
                         const std::vector<EndpointId> &Tried,
                         CallTrace &Trace) {
  const Family &Now = Where.Held->State;
  const Member Own = Peers.self();
  CallNeeds Needs;
  Needs.Program = Order.Program;
  Needs.PromptTokens = Request.WorstCase;
  Needs.Home = Own.Region;
  Needs.DataCentre = Own.DataCentre;
  Needs.Exclude = Tried;
  const auto Known = Now.Programs.find(Order.Program);
  if (Known != Now.Programs.end() && !Known->second.CallBySequence.empty()) {
    const CallState &Last =
        Known->second.Calls.at(Known->second.CallBySequence.rbegin()->second);
    if (Last.Done && Last.Done->How == Outcome::Completed) {
      Needs.LastEndpoint = Last.Sent.Endpoint;
      Needs.CachedAt[Last.Sent.Endpoint] =
          internal::historyTokens(Now, Order.Program);
    }
  }
  const auto Views = Endpoints.views(Order.Target);
  const auto Chosen = chooseEndpoint(Views, Needs, Settings.Costs, Draw());
  Trace.Candidates.clear();
  for (const EndpointView &Seen : Views)
    Trace.Candidates.push_back({Seen.Endpoint,
                                Seen.ExpectedWait + Seen.OwnSentSince,
                                costAt(Seen, Needs, Settings.Costs),
                                Needs.CachedAt.count(Seen.Endpoint) != 0
                                    ? Needs.CachedAt.at(Seen.Endpoint)
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
  const auto Beside = Members.Members.find(View->Instance);
  if (Beside == Members.Members.end() || Beside->second.Known.Life == 0)
    return refuse(ErrorKind::EndpointUnavailable,
                  "the endpoint's process has not been heard yet",
                  NotRun::Proved);

  Intent Sent;
  Sent.Call = Start.Call;
  Sent.Sequence = Start.Sequence;
  Sent.IdempotencyKey = Request.IdempotencyKey;
  Sent.Digest = Request.Digest;
  Sent.Attempt = Start.Attempt;
  Sent.Endpoint = Chosen->Endpoint;
  Sent.EndpointIncarnation =
      View->Target != 0 ? View->Target : Beside->second.Known.Life;
  Sent.Repeatable = Request.Repeatable;
  Sent.Reserved = Request.WorstCase;
  Sent.NewMessages = Request.NewMessages;
  std::vector<Record> Records;
  if (Start.BeginFirst)
    Records.push_back({Order.Program, Request.IfNew});
  Records.push_back({Order.Program, Sent});
  const auto Written = record(Where, Records);
  if (!Written && Written.error().Kind == ErrorKind::Fenced)
    return refuse(ErrorKind::Fenced, "another entry owns the program");
  if (!Written)
    // The intent is not known to be on every copy, so it is never sent. Yet a
    // later owner may have run the same request.
    return refuse(ErrorKind::NotEnoughCopies,
                  "the intent could not be kept: " + Written.error().Message);
  return OpenAttempt{
      {Order.Program, Start.Call, Start.Attempt}, View->Instance, Sent};
}

Expected<CallReply> Owner::Impl::start(
    const ServedFamily &Where, FamilyLock &Lock, const CallOrder &Order,
    const CallRequest &Request, const StartCall &Start, const PartSink &OnPart,
    std::vector<EndpointId> &Tried, CallTrace &Trace, TimePoint Deadline) {
  const auto Opened = openAttempt(Where, Order, Request, Start, Tried, Trace);
  if (!Opened)
    return tl::make_unexpected(confirmed(Where, Opened.error()));
  Tried.push_back(Opened->Sent.Endpoint);
  const Family &Now = Where.Held->State;
  const ProgramState &Program = Now.Programs.at(Order.Program);
  const TokenCount HistoryBefore = internal::historyTokens(Now, Order.Program);
  ExecuteOrder Execute;
  Execute.Id = Opened->Id;
  Execute.Owner = Peers.self().Instance;
  Execute.Target = Opened->Sent.EndpointIncarnation;
  Execute.Kind = Order.Kind;
  Execute.Path = Order.Path;
  Execute.Body = internal::endpointBody(Order, &Program);
  Execute.IdempotencyKey = Order.IdempotencyKey;
  Execute.Class = Order.Class;
  Execute.Attained = Now.Settled;
  Execute.PromptTokens = Request.WorstCase - internal::maxTokensOf(Order);
  Execute.MaxTokens = internal::maxTokensOf(Order);
  Execute.Remaining = Deadline - Time.now();
  {
    std::lock_guard<std::mutex> Registering(Mutex);
    ++Counts.Started;
    Local.insert(Opened->Id);
    if (Tried.size() > 1)
      Budgets = onRetrySent(std::move(Budgets), Opened->Sent.Endpoint,
                            Settings.Retries);
  }
  Lock.unlock();
  const Result Done = runAttempt(*Opened, Execute, OnPart, Deadline);
  const Expected<Result> Settled = settle(*Opened, Done, Deadline);
  {
    std::lock_guard<std::mutex> Registering(Mutex);
    Local.erase(Opened->Id);
    if (Done.How == Outcome::Unknown)
      ++Counts.OutcomesUnknown;
  }
  if (!Settled)
    return tl::make_unexpected(Settled.error());
  auto Reply = internal::replyOf(*Settled);
  Trace.Call = Opened->Id.Call;
  Trace.Attempts.push_back(
      {Opened->Id.Attempt, Opened->Sent.Endpoint,
       Reply ? "answered" : answerOf(Reply.error().Kind).Name});
  if (!Reply)
    return Reply;
  countUse(HistoryBefore, Reply->Use);
  std::lock_guard<std::mutex> Filling(Mutex);
  Budgets =
      onSuccess(std::move(Budgets), Opened->Sent.Endpoint, Settings.Retries);
  return Reply;
}

void Owner::Impl::countUse(TokenCount HistoryBefore, const TokenUse &Use) {
  const TokenCount Reusable = std::min(HistoryBefore, Use.Prompt);
  std::lock_guard<std::mutex> Lock(Mutex);
  Counts.PromptTokens += Use.Prompt;
  Counts.CachedTokens += Use.Cached;
  if (Reusable > Use.Cached)
    Counts.PrefilledAgain += Reusable - Use.Cached;
}

Result Owner::Impl::resultOf(const OpenAttempt &Attempt,
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

Result Owner::Impl::runAttempt(const OpenAttempt &Attempt,
                               const ExecuteOrder &Execute,
                               const PartSink &OnPart, TimePoint Deadline) {
  const auto Answer = Endpoints.execute(Attempt.Instance, Execute, OnPart);
  const bool Settled = Answer || Answer.error().Proof == NotRun::Proved ||
                       (Answer.error().Kind != ErrorKind::LinkLost &&
                        Answer.error().Kind != ErrorKind::Timeout);
  if (Settled)
    return resultOf(Attempt, Answer);
  // The order may have arrived: ask after it, and never send it again.
  while (true) {
    if (auto Learned = askAfter(Attempt.Id, Attempt.Sent))
      return *Learned;
    if (Time.now() >= Deadline)
      break;
    std::this_thread::sleep_for(Settings.AskEvery);
  }
  return resultOf(Attempt, Answer);
}

std::optional<Result> Owner::Impl::askAfter(const AttemptId &Id,
                                            const Intent &Sent) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Counts.Asked;
  }
  const Error Unknown{Sent.Repeatable ? ErrorKind::EndpointFailed
                                      : ErrorKind::OutcomeUnknown,
                      "the process beside the endpoint is gone",
                      NotRun::Unproved,
                      {}};
  const MemberTable Members = Peers.members();
  const auto Beside = std::find_if(
      Members.Members.begin(), Members.Members.end(), [&Sent](const auto &Row) {
        return Row.second.Known.Endpoint == Sent.Endpoint;
      });
  if (Beside == Members.Members.end() ||
      Beside->second.Known.State == MemberState::Gone)
    return failureOf(Id, Sent, Unknown);
  const auto Fate =
      Endpoints.ask(Beside->first, {Id, Sent.EndpointIncarnation});
  if (!Fate)
    return std::nullopt;
  switch (Fate->What) {
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
  if (Fate->Answer)
    return resultOf({Id, Beside->first, Sent}, *Fate->Answer);
  return failureOf(Id, Sent, Fate->Failure.value_or(Unknown));
}

Expected<Result> Owner::Impl::settle(const OpenAttempt &Attempt,
                                     const Result &Done, TimePoint Deadline) {
  const TimePoint GiveUp = std::max(Deadline, Time.now() + SettleLimit);
  while (true) {
    const auto Where = serve(Attempt.Id.Program);
    if (Where) {
      FamilyLock Lock(Where->Held->Mutex);
      const auto &Programs = Where->Held->State.Programs;
      const auto Program = Programs.find(Attempt.Id.Program);
      const bool Open =
          Program != Programs.end() &&
          Program->second.Running == Attempt.Id.Call &&
          Program->second.Calls.at(Attempt.Id.Call).Sent.Attempt ==
              Attempt.Id.Attempt;
      if (!Open && !Where->Shard->Lost) {
        // The append whose answer was lost, or another owner, may have
        // settled it with this very result.
        const bool Kept =
            Program != Programs.end() &&
            Program->second.Calls.count(Attempt.Id.Call) != 0 &&
            Program->second.Calls.at(Attempt.Id.Call).Done == Done;
        if (Kept)
          return answerFor(Program->second.Calls.at(Attempt.Id.Call));
        return refuse(ErrorKind::Fenced, "another owner settled the call");
      }
      if (Open && record(*Where, {Record{Attempt.Id.Program, Done}}))
        return answerFor(Where->Held->State.Programs.at(Attempt.Id.Program)
                             .Calls.at(Attempt.Id.Call));
    } else if (Where.error().Kind == ErrorKind::Fenced) {
      return refuse(ErrorKind::Fenced, "another entry owns the program");
    }
    if (Time.now() >= GiveUp)
      return refuse(ErrorKind::NotEnoughCopies,
                    "the answer could not be kept; ask again for it");
    std::this_thread::sleep_for(SettlePause);
  }
}

void Owner::Impl::resolveOpen(const ServedFamily &Where, FamilyLock &Lock) {
  std::vector<std::pair<AttemptId, Intent>> Open;
  for (const auto &[Program, Known] : Where.Held->State.Programs) {
    if (!Known.Running)
      continue;
    const Intent &Sent = Known.Calls.at(*Known.Running).Sent;
    const AttemptId Id{Program, Sent.Call, Sent.Attempt};
    if (!isLocal(Id))
      Open.emplace_back(Id, Sent);
  }
  for (const auto &[Id, Sent] : Open) {
    Lock.unlock();
    const auto Learned = askAfter(Id, Sent);
    Lock.lock();
    if (!Learned)
      continue;
    const ProgramState &Now = Where.Held->State.Programs.at(Id.Program);
    const bool Still = Now.Running == Id.Call &&
                       Now.Calls.at(Id.Call).Sent.Attempt == Id.Attempt;
    if (Still && !record(Where, {Record{Id.Program, *Learned}}))
      return;
  }
}

} // namespace tamarack
