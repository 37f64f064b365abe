#include "RelayImpl.h"

#include <charconv>
#include <utility>

namespace tamarack {

using internal::LedgerTimeout;
using internal::RateLimitReason;
using internal::RequestContext;
using internal::StreamOutcome;
using internal::StreamState;
using internal::TurnHistory;

namespace {

/// The maximum length of one event. Events hold the text of a few tokens.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// Why a stream is broken off if its events need more memory than is left.
constexpr const char *OutOfMemoryReason =
    "too little memory is left for the stream";

/// Parses \p Text as a decimal number; nothing if any other character is in it.
std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Result = 0;
  const auto End =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  if (End.ec != std::errc() || End.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Result;
}

tl::unexpected<Error> brokenStream(std::string Reason) {
  return refuse(ErrorKind::EndpointFailed, std::move(Reason));
}

/// Whether a stream that has ended between two events is complete. One without
/// events is not, unless it resumes after the last event and its end is marked:
/// the connections of a process that is killed are closed too.
bool isCompleteStream(const StreamState &State, bool IsResumed,
                      bool IsEndMarked) {
  return State.Events > 0 || (IsResumed && IsEndMarked);
}

/// Whether \p Event is the head of an HTTP response, which no event looks like.
bool isHttpHead(const StreamEvent &Event) {
  return Event.Text.rfind("HTTP/1.", 0) == 0;
}

/// An error for a request that no endpoint ran.
Error notRunError(ErrorKind Kind, std::string Message) {
  return {Kind, std::move(Message), NotRun::Proved, {}};
}

} // namespace

Task<std::optional<Error>> Relay::Impl::reserve(RequestContext &Context) {
  const bool Resumes = isResumption(Context.Metadata);
  if (storesOrigin(Context))
    if (const auto To = Endpoints.choose(endpointQuery(Context), steadyNow()))
      setOrigin(Context, *To);
  if (!Context.Metadata.Budget && !Resumes) {
    if (Context.Origin)
      Ledgers.storeRecordInBackground({openRecord(Context), {}});
    co_return std::nullopt;
  }
  const TurnId Turn = Context.turn();
  const TimePoint SentAt = steadyNow();
  TurnUpdate Reservation{openRecord(Context), {}};
  if (Resumes) {
    const TurnId Named = resumedTurn(Context.Metadata);
    Reservation.ResumedTurn =
        Named.empty() ? Named : Context.turnNamed(Named.text());
  }
  auto Reserving = Ledgers.storeRecord(
      std::move(Reservation), waitLimit(Context.Deadline, LedgerTimeout),
      StoreEffort::UntilCutOff);
  const Expected<QuorumProgramState> Program =
      co_await waitUntil(Stop.SendBy, std::move(Reserving));
  Metrics.observeLedgerLatency(steadyNow() - SentAt);
  if (!Program) {
    if (Resumes)
      recordResumption(Context, {}, ResumptionOutcome::LedgersUnavailable);
    co_return notRunError(ErrorKind::NotEnoughCopies, Program.error().Message);
  }
  Context.LastEndpoint = Program->LastRanAt;
  if (!Context.Metadata.Budget) {
    co_return co_await requireVersion(Context, *Program);
  }
  const bool Admitted =
      admits(Program->Charges, Turn, Context.Metadata.MaxTurnTokens,
             *Context.Metadata.Budget);
  LogLine("entry.budget")
      .with("request", Context.Metadata.RequestId)
      .with("program", Context.Metadata.Program)
      .with("drawn", committedTokens(Program->Charges))
      .with("most", Context.Metadata.MaxTurnTokens)
      .with("budget", *Context.Metadata.Budget)
      .with("view", Ledgers.view().Number)
      .with("took_ms", steadyNow() - SentAt)
      .with("outcome", Admitted ? "admitted" : "spent");
  if (!Admitted)
    co_return notRunError(ErrorKind::BudgetExceeded,
                          "the token budget of the program is spent");
  if (Resumes) {
    co_return co_await requireVersion(Context, *Program);
  }
  co_return std::nullopt;
}

Task<Expected<TurnHistory>> Relay::Impl::readHistory(RequestContext &Context,
                                                     TurnId Last) {
  TurnHistory Result{Chains.chain(Last), true};
  if (!Result.Turns.empty())
    co_return Result;
  auto Reading =
      Ledgers.chain(Last, waitLimit(Context.Deadline, LedgerTimeout));
  Expected<TurnChain> Stored =
      co_await waitUntil(Stop.SendBy, std::move(Reading));
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  for (const auto &Turn : *Stored)
    Chains.add(Turn);
  co_return TurnHistory{std::move(*Stored), false};
}

Task<std::optional<Error>> Relay::Impl::prependChain(RequestContext &Context) {
  if (!Context.MatchedRoute.RetainsTurns || Context.Metadata.Previous.empty())
    co_return std::nullopt;
  const TurnId Named = Context.Metadata.Previous;
  Context.Previous = Context.turnNamed(Named.text());
  Expected<TurnHistory> Read = co_await readHistory(Context, Context.Previous);
  const bool IsUnknown =
      !Read && Read.error().Kind == ErrorKind::UnknownProgram;
  if (IsUnknown && Context.Workspace && mayBeUnscoped(Named.text())) {
    Context.Previous = Named;
    Read = co_await readHistory(Context, Named);
  }
  if (!Read)
    co_return notRunError(Read.error().Kind, Read.error().Message);
  const TurnChain &Chain = Read->Turns;
  std::size_t ChainBytes = 0;
  for (const auto &Turn : Chain)
    ChainBytes += textBytes(*Turn);
  if (std::optional<Error> Failure = holdRequest(Context, ChainBytes))
    co_return Failure;
  std::string History;
  History.reserve(ChainBytes + Context.Body.size());
  for (const auto &Turn : Chain) {
    History += Turn->Input;
    History += Turn->Output;
  }
  LogLine("entry.chain")
      .with("request", Context.Metadata.RequestId)
      .with("previous", Context.Metadata.Previous)
      .with("turns", Chain.size())
      .with("bytes", ChainBytes)
      .with("cached", Read->IsCached ? 1 : 0);
  History += Context.Body;
  Context.Body = std::move(History);
  co_return std::nullopt;
}

void Relay::Impl::settle(const RequestContext &Context, TokenCount Tokens) {
  if (Context.Metadata.Budget)
    Ledgers.storeRecordInBackground(
        {{Context.programNamed(Context.Metadata.Program.text()),
          Context.turn(),
          {Tokens, true},
          nullptr,
          {}},
         Context.CurrentEndpoint});
}

TokenCount Relay::Impl::generatedTokens(const RequestContext &Context,
                                        const StreamState &State) {
  if (State.Events == 0)
    return 0;
  return Context.TokensPerEvent ? State.Events * *Context.TokensPerEvent
                                : Context.Metadata.MaxTurnTokens;
}

bool Relay::Impl::storesTurn(const RequestContext &Context) {
  return Context.MatchedRoute.Kind == RequestKind::Stream &&
         Context.MatchedRoute.RetainsTurns && !Context.Metadata.LastEventId;
}

Task<void> Relay::Impl::serveTurn(RequestContext &Context) {
  std::string Input = storesTurn(Context) ? Context.Body : std::string();
  Context.StoredInputBytes = Input.size();
  std::optional<Error> Failure = co_await prependChain(Context);
  if (!Failure && !Context.isCancelled()) {
    Failure = co_await reserve(Context);
  }
  StreamState State;
  StreamOutcome Outcome = StreamOutcome::NotRun;
  while (!Failure && !Context.isCancelled() &&
         Outcome == StreamOutcome::NotRun) {
    const std::optional<EndpointEntry> To = chooseNextEndpoint(Context);
    if (!To)
      break;
    if (!holdsOrigin(Context, *To)) {
      Failure = co_await replaceOrigin(Context, *To);
    }
    if (Failure)
      break;
    Outcome = co_await streamFromEndpoint(Context, State, *To);
  }
  if (Outcome == StreamOutcome::Finished) {
    if (storesTurn(Context))
      Context.Body = std::move(Input);
    const bool Stored = co_await finishTurn(Context, State);
    if (Stored)
      co_return;
  }
  settle(Context, generatedTokens(Context, State));
  if (Outcome != StreamOutcome::ErrorForwarded) {
    co_await abandonTurn(Context, State, std::move(Failure));
  }
}

Task<void> Relay::Impl::abandonTurn(RequestContext &Context,
                                    const StreamState &State,
                                    std::optional<Error> Failure) {
  if (Context.Caller.isResponseStarted()) {
    Metrics.countBrokenStream();
    LogLine("entry.stream_broken")
        .with("request", Context.Metadata.RequestId)
        .with("events", State.Events)
        .with("expired", Context.Expired ? 1 : 0)
        .with("left", Context.CallerDisconnected ? 1 : 0)
        .with("sending_ended", Context.Caller.hasCallerEndedSending() ? 1 : 0)
        .with("given_up", Context.isGivenUp() ? 1 : 0)
        .with("took_ms", steadyNow() - Context.Caller.requestReadAt());
    Context.Caller.abort();
    co_return;
  }
  if (Context.PossibleRuns == 0 && isSendingOver() &&
      (!Failure || Failure->Kind == ErrorKind::NotEnoughCopies))
    Failure = internal::leavingError();
  if (!Failure && Context.PossibleRuns == 0)
    Failure = notRunError(Context.Expired ? ErrorKind::DeadlineUnreachable
                                          : ErrorKind::Overloaded,
                          internal::cancellationReason(Context).value_or(
                              Context.RateLimitDelay
                                  ? RateLimitReason
                                  : "no endpoint accepted the request"));
  if (!Failure)
    Failure = internal::unprovedError(
        Context, "the endpoint did not answer or its response is invalid");
  co_await refuseRequest(Context, std::move(*Failure));
}

Task<StreamOutcome> Relay::Impl::streamFromEndpoint(RequestContext &Context,
                                                    StreamState &State,
                                                    EndpointEntry To) {
  const std::shared_ptr<HttpCall> Call = co_await sendAttempt(Context, To);
  if (!Call)
    co_return StreamOutcome::NotRun;
  const ServiceInfo *Info = findService(ActiveCatalog, Context.Service);
  Endpoints.onRequestStarted(To.Endpoint, steadyNow(), Context.Metadata.Prompt,
                             Info == nullptr ? 0 : Info->MemoryTokens);
  Context.TokensPerEvent =
      Info == nullptr ? std::nullopt : std::optional(Info->TokensPerEvent);
  Context.CurrentEndpoint = To.Endpoint;
  Context.CurrentVersion = To.Version;
  const TimePoint SentAt = steadyNow();
  const bool IsSuspect = Crashes.isSuspect(Context.Digest, SentAt);
  if (IsSuspect)
    Endpoints.onSuspectStarted(To.Endpoint);
  Expected<HttpHead> Head =
      co_await readMatchingHead(Context, *Call, To.Endpoint);
  const int Status = Head ? Head->Status : 0;
  StreamOutcome Outcome = StreamOutcome::Indeterminate;
  Context.LackedMemory = !Head && Head.error().Kind == ErrorKind::Overloaded;
  if (!Head)
    LogLine("entry.broken_answer")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reused", Call->reused() ? 1 : 0)
        .with("reason", Head.error().Message);
  if (Head) {
    Outcome = co_await relayResponse(Context, State, *Call, To.Endpoint,
                                     std::move(*Head));
  }
  if (Outcome == StreamOutcome::NotRun)
    recordNotRun(Context, To, HttpHead{503, {}});
  else if (Outcome != StreamOutcome::Indeterminate)
    recordAnswer(To, Status);
  else if (Context.isCancelled())
    recordSilence(Context, To, SentAt, Head.has_value());
  else if (!isOwnFault(Context))
    Endpoints.onFailure(To.Endpoint, steadyNow());
  const bool IsBroken = Outcome == StreamOutcome::Indeterminate &&
                        !Context.isCancelled() && !Context.LackedMemory &&
                        (Call->isEndedByServer() || !Call->isEndMarked());
  if (Outcome == StreamOutcome::Indeterminate)
    Call->abort();
  else
    Call->finish();
  Endpoints.onRequestEnded(To.Endpoint);
  if (IsSuspect)
    Endpoints.onSuspectEnded(To.Endpoint);
  if (Outcome == StreamOutcome::Finished ||
      Outcome == StreamOutcome::ErrorForwarded)
    Crashes.onAnswered(Context.Digest, steadyNow());
  if (IsBroken) {
    co_await recordBrokenAttempt(Context, To, SentAt);
  }
  co_return Outcome;
}

Task<StreamOutcome> Relay::Impl::relayResponse(RequestContext &Context,
                                               StreamState &State,
                                               HttpCall &Call, EndpointId From,
                                               HttpHead Head) {
  const bool HasEvents = Context.Caller.request().Method != "HEAD";
  if (Head.Status == 200 && HasEvents && isForwardable(Head)) {
    removeHopByHop(Head.Fields);
    Context.Caller.begin(std::move(Head));
    // It is not sent again once its stream has begun.
    Context.Body = {};
    Context.RequestMemory.shrinkTo(Context.StoredInputBytes);
    const Expected<void> Relayed = co_await relayEvents(Context, State, Call);
    if (Relayed)
      co_return StreamOutcome::Finished;
    LogLine("entry.broken_answer")
        .with("request", Context.Metadata.RequestId)
        .with("endpoint", From)
        .with("reused", Call.reused() ? 1 : 0)
        .with("events", State.Events)
        .with("reason", Relayed.error().Message);
    co_return StreamOutcome::Indeterminate;
  }
  Expected<std::string> Body = co_await readBody(Context, Call, Head);
  if (Body && isRefusal(Head))
    co_return StreamOutcome::NotRun;
  if (!Body || Context.isCancelled())
    co_return StreamOutcome::Indeterminate;
  HttpResponse Response{std::move(Head), std::move(*Body)};
  co_await forwardResponse(Context, From, std::move(Response));
  co_return StreamOutcome::ErrorForwarded;
}

Task<Expected<void>> Relay::Impl::relayEvents(RequestContext &Context,
                                              StreamState &State,
                                              HttpCall &Call) {
  while (true) {
    const Expected<std::optional<std::string>> Piece =
        co_await Call.readPiece();
    if (Context.isCancelled())
      co_return brokenStream("the request was cancelled");
    if (!Piece)
      co_return tl::unexpected(Piece.error());
    if (!*Piece && State.Splitter.hasPartialEvent())
      co_return brokenStream("the stream ends inside an event");
    if (!*Piece && !isCompleteStream(State, hasReceivedEvents(Context.Metadata),
                                     Call.isEndMarked()))
      co_return brokenStream("the stream ends before its first event");
    if (!*Piece)
      co_return Expected<void>();
    if (isVersionInDoubt(Context)) {
      if (Context.RequiredVersion)
        co_return brokenStream("the version of the endpoint is in doubt");
      if (Context.Origin && Context.Origin->Process)
        forgetOrigin(Context);
    }
    std::string Ready;
    const char *Fault = nullptr;
    if (Context.ResponseMemory.resize(State.Output.capacity() +
                                      State.Splitter.bufferBytes() +
                                      (*Piece)->size()))
      State.Splitter.feed(**Piece);
    else
      Context.LackedMemory = true;
    while (std::optional<StreamEvent> Event = State.Splitter.next()) {
      if (isHttpHead(*Event)) {
        Fault = "another response follows in the stream";
        break;
      }
      const std::optional<std::uint64_t> Id = parseNumber(Event->Id);
      if (Event->HasData && Id && State.LastId != 0 &&
          *Id != State.LastId + 1) {
        Fault = "an event is missing";
        break;
      }
      if (Event->HasData) {
        State.LastId = Id.value_or(State.LastId);
        if (State.Events++ == 0)
          Metrics.observeFirstEvent(steadyNow() -
                                    Context.Caller.requestReadAt());
        Event->Data += '\n';
        if (storesTurn(Context) &&
            !appendWithin(Context.ResponseMemory, State.Output, Event->Data,
                          State.Splitter.bufferBytes())) {
          Context.LackedMemory = true;
          break;
        }
      }
      Ready += Event->Text;
    }
    if (Fault == nullptr && Context.LackedMemory)
      Fault = OutOfMemoryReason;
    if (Fault == nullptr && State.Splitter.partialBytes() > MaxEventBytes)
      Fault = "an event is too long";
    if (!Ready.empty()) {
      const bool Sent = co_await Context.Caller.sendChunk(Ready);
      if (!Sent)
        co_return brokenStream("the caller has disconnected");
      if (Context.Caller.hasCallerEndedSending() &&
          !std::exchange(Context.WrittenAfterEndOfSending, true))
        startGrace(Context, steadyNow());
    }
    if (Fault != nullptr)
      co_return brokenStream(Fault);
  }
}

Task<bool> Relay::Impl::finishTurn(RequestContext &Context,
                                   StreamState &State) {
  const TurnId Turn = Context.turn();
  const TokenCount Tokens = generatedTokens(Context, State);
  if (storesTurn(Context)) {
    const auto FinishedTurn = std::make_shared<const StoredTurn>(
        StoredTurn{Turn, Context.Previous, std::move(Context.Body),
                   std::move(State.Output), Context.MatchedRoute.Retention});
    const TimePoint SentAt = steadyNow();
    const std::string &Program = Context.Metadata.Program.text();
    TurnUpdate Settlement{{Context.programNamed(Program),
                           Turn,
                           {Tokens, true},
                           FinishedTurn,
                           {},
                           Context.Origin},
                          Context.CurrentEndpoint};
    auto Storing = Ledgers.storeRecord(std::move(Settlement), Context.Deadline);
    const Expected<QuorumProgramState> Stored =
        co_await waitUntil(Context.Deadline, std::move(Storing));
    Metrics.observeLedgerLatency(steadyNow() - SentAt);
    if (!Stored)
      co_return false;
    Chains.add(FinishedTurn);
  } else {
    settle(Context, Tokens);
  }
  LogLine("entry.answer")
      .with("request", Context.Metadata.RequestId)
      .with("route", Context.MatchedRoute.Name)
      .with("workspace", Context.Workspace.value_or(WorkspaceId()))
      .with("program", Context.Metadata.Program)
      .with("status", 200)
      .with("events", State.Events)
      .with("tokens", Tokens)
      .with("took_ms", steadyNow() - Context.Caller.requestReadAt());
  Metrics.countAnswer(200, steadyNow() - Context.Caller.requestReadAt());
  co_await Context.Caller.end();
  co_return true;
}

} // namespace tamarack
