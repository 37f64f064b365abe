#include "RelayImpl.h"

#include <charconv>

namespace tamarack {

using internal::Passage;
using internal::Relaying;
using internal::StreamEnd;

namespace {

/// How long a turn may wait for the ledgers before it is refused: a few round
/// trips between regions, syncs, and one connection that went silent.
constexpr Duration LedgerPatience = std::chrono::milliseconds(1000);

std::optional<std::uint64_t> numberOf(const std::string &Text) {
  std::uint64_t Result = 0;
  const auto End =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  if (End.ec != std::errc() || End.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Result;
}

Error notRun(ErrorKind Kind, std::string Message) {
  return {Kind, std::move(Message), NotRun::Proved, {}};
}

} // namespace

Task<std::optional<Error>> Relay::Impl::reserve(Passage &Way) {
  if (!Way.Facts.Budget)
    co_return std::nullopt;
  const TurnId Turn(Way.Facts.RequestId);
  const TimePoint Asked = steadyNow();
  TurnRecord Record{
      Way.Facts.Program, Turn, {Way.Facts.MostTokens, false}, nullptr, {}};
  TurnToKeep Reservation{std::move(Record), {}};
  const Expected<ProgramState> Known = co_await Ledgers.keep(
      std::move(Reservation), std::min(Way.Deadline, Asked + LedgerPatience));
  Metrics.ledgerTook(steadyNow() - Asked);
  if (!Known)
    co_return notRun(ErrorKind::NotEnoughCopies, Known.error().Message);
  Way.LastRanAt = Known->LastRanAt;
  const bool Admitted =
      admits(Known->Charges, Turn, Way.Facts.MostTokens, *Way.Facts.Budget);
  LogLine("entry.budget")
      .with("request", Way.Facts.RequestId)
      .with("program", Way.Facts.Program)
      .with("drawn", drawn(Known->Charges))
      .with("most", Way.Facts.MostTokens)
      .with("budget", *Way.Facts.Budget)
      .with("view", Ledgers.view().Number)
      .with("took_ms", steadyNow() - Asked)
      .with("outcome", Admitted ? "admitted" : "spent");
  if (!Admitted)
    co_return notRun(ErrorKind::BudgetExceeded, "the budget is spent");
  co_return std::nullopt;
}

Task<std::optional<Error>> Relay::Impl::prependChain(Passage &Way) {
  if (!Way.Via.KeepsTurns || Way.Facts.Previous.empty())
    co_return std::nullopt;
  TurnChain Chain = Chains.chain(Way.Facts.Previous);
  const bool Cached = !Chain.empty();
  if (!Cached) {
    Expected<TurnChain> Found = co_await Ledgers.chain(
        Way.Facts.Previous,
        std::min(Way.Deadline, steadyNow() + LedgerPatience));
    if (!Found)
      co_return notRun(Found.error().Kind, Found.error().Message);
    Chain = std::move(*Found);
    for (const auto &Turn : Chain)
      Chains.add(Turn);
  }
  std::string Whole;
  for (const auto &Turn : Chain) {
    Whole += Turn->Input;
    Whole += Turn->Output;
  }
  LogLine("entry.chain")
      .with("request", Way.Facts.RequestId)
      .with("previous", Way.Facts.Previous)
      .with("turns", Chain.size())
      .with("bytes", Whole.size())
      .with("cached", Cached ? 1 : 0);
  Way.Body.insert(0, Whole);
  co_return std::nullopt;
}

void Relay::Impl::settle(const Passage &Way, TokenCount Tokens) {
  if (Way.Facts.Budget)
    Ledgers.keepInBackground({{Way.Facts.Program,
                               TurnId(Way.Facts.RequestId),
                               {Tokens, true},
                               nullptr,
                               {}},
                              Way.SentTo});
}

TokenCount Relay::Impl::tokensOf(const Passage &Way,
                                 const Relaying &State) const {
  const ServiceInfo *Info = findService(Current, Way.Service);
  const TokenCount PerEvent = Info == nullptr ? 0 : Info->TokensPerEvent;
  return State.Events * PerEvent;
}

Task<void> Relay::Impl::serveTurn(Passage &Way) {
  const std::string Input = Way.Via.KeepsTurns ? Way.Body : std::string();
  std::optional<Error> Failure = co_await prependChain(Way);
  if (!Failure && !Way.isOver()) {
    Failure = co_await reserve(Way);
  }
  Relaying State;
  StreamEnd End = StreamEnd::NotRun;
  while (!Failure && !Way.isOver() && End == StreamEnd::NotRun) {
    const std::optional<EndpointEntry> To = chooseNext(Way);
    if (!To)
      break;
    End = co_await streamFrom(Way, State, *To);
  }
  if (End == StreamEnd::Finished) {
    if (Way.Via.KeepsTurns)
      Way.Body = Input;
    const bool Done = co_await finishTurn(Way, State);
    if (Done)
      co_return;
  }
  settle(Way, tokensOf(Way, State));
  if (End != StreamEnd::Passed) {
    co_await giveUp(Way, State, std::move(Failure));
  }
}

Task<void> Relay::Impl::giveUp(Passage &Way, const Relaying &State,
                               std::optional<Error> Failure) {
  if (Way.Caller.isResponseStarted()) {
    Metrics.streamBroken();
    LogLine("entry.stream_broken")
        .with("request", Way.Facts.RequestId)
        .with("events", State.Events)
        .with("expired", Way.Expired ? 1 : 0)
        .with("left", Way.CallerLeft ? 1 : 0)
        .with("took_ms", steadyNow() - Way.Caller.requestReadAt());
    Way.Caller.abort();
    co_return;
  }
  if (!Failure && Way.Runs == 0)
    Failure = notRun(Way.Expired ? ErrorKind::DeadlineUnreachable
                                 : ErrorKind::Overloaded,
                     "no endpoint took the request");
  if (!Failure)
    Failure =
        Error{Way.Expired ? ErrorKind::Timeout : ErrorKind::EndpointFailed,
              "the endpoint did not answer",
              NotRun::Unproved,
              {}};
  co_await refuseRequest(Way, std::move(*Failure));
}

Task<StreamEnd> Relay::Impl::streamFrom(Passage &Way, Relaying &State,
                                        EndpointEntry To) {
  const std::shared_ptr<HttpCall> Call = co_await sendTo(Way, To);
  if (!Call)
    co_return StreamEnd::NotRun;
  const ServiceInfo *Info = findService(Current, Way.Service);
  Endpoints.started(To.Endpoint, Way.Facts.Prompt,
                    Info == nullptr ? 0 : Info->MemoryTokens);
  Way.SentTo = To.Endpoint;
  Expected<HttpHead> Head = co_await readOwnHead(Way, *Call);
  StreamEnd End = StreamEnd::Broken;
  if (!Head)
    LogLine("entry.broken_answer")
        .with("request", Way.Facts.RequestId)
        .with("endpoint", To.Endpoint)
        .with("reused", Call->reused() ? 1 : 0)
        .with("reason", Head.error().Message);
  if (Head) {
    End =
        co_await relayAnswer(Way, State, *Call, To.Endpoint, std::move(*Head));
  }
  if (End == StreamEnd::NotRun)
    noteNotRun(Way, To, HttpHead{503, {}});
  else if (End != StreamEnd::Broken)
    Endpoints.succeeded(To.Endpoint);
  else if (!Way.isOver())
    Endpoints.failed(To.Endpoint, steadyNow());
  if (End == StreamEnd::Broken)
    Call->abort();
  else
    Call->finish();
  Endpoints.ended(To.Endpoint);
  co_return End;
}

Task<StreamEnd> Relay::Impl::relayAnswer(Passage &Way, Relaying &State,
                                         HttpCall &Call, EndpointId From,
                                         HttpHead Head) {
  if (Head.Status == 200 && isSound(Head)) {
    removeHopByHop(Head.Fields);
    Way.Caller.begin(std::move(Head));
    const bool Whole = co_await relayEvents(Way, State, Call);
    co_return Whole ? StreamEnd::Finished : StreamEnd::Broken;
  }
  Expected<std::string> Body = co_await readBody(Call);
  if (Body && (Head.Status == 421 || Wire.readAnswer(Head).NotRun))
    co_return StreamEnd::NotRun;
  if (!Body || !isSound(Head) || Way.isOver())
    co_return StreamEnd::Broken;
  HttpResponse Response{std::move(Head), std::move(*Body)};
  co_await passOn(Way, From, std::move(Response));
  co_return StreamEnd::Passed;
}

Task<bool> Relay::Impl::relayEvents(Passage &Way, Relaying &State,
                                    HttpCall &Call) {
  while (true) {
    const Expected<std::optional<std::string>> Piece =
        co_await Call.readPiece();
    if (!Piece || Way.isOver())
      co_return false;
    if (!*Piece)
      co_return !State.Splitter.hasRest();
    State.Splitter.feed(**Piece);
    std::string Ready;
    while (std::optional<StreamEvent> Event = State.Splitter.next()) {
      const std::optional<std::uint64_t> Id = numberOf(Event->Id);
      if (Event->HasData && Id && State.LastId != 0 && *Id != State.LastId + 1)
        co_return false;
      if (Event->HasData) {
        State.LastId = Id.value_or(State.LastId);
        if (State.Events++ == 0)
          Metrics.firstEvent(steadyNow() - Way.Caller.requestReadAt());
        State.Output += Event->Data;
        State.Output += '\n';
      }
      Ready += Event->Text;
    }
    if (Ready.empty())
      continue;
    const bool Sent = co_await Way.Caller.sendChunk(Ready);
    if (!Sent)
      co_return false;
  }
}

Task<bool> Relay::Impl::finishTurn(Passage &Way, Relaying &State) {
  const TurnId Turn(Way.Facts.RequestId);
  const TokenCount Tokens = tokensOf(Way, State);
  if (Way.Via.KeepsTurns && !Way.Facts.LastEvent) {
    const auto Text = std::make_shared<const KeptTurn>(
        KeptTurn{Turn, Way.Facts.Previous, std::move(Way.Body),
                 std::move(State.Output), Way.Via.Retention});
    const TimePoint Asked = steadyNow();
    TurnToKeep Settlement{{Way.Facts.Program, Turn, {Tokens, true}, Text, {}},
                          Way.SentTo};
    const Expected<ProgramState> Kept =
        co_await Ledgers.keep(std::move(Settlement), Way.Deadline);
    Metrics.ledgerTook(steadyNow() - Asked);
    if (!Kept)
      co_return false;
    Chains.add(Text);
  } else {
    settle(Way, Tokens);
  }
  LogLine("entry.answer")
      .with("request", Way.Facts.RequestId)
      .with("route", Way.Via.Name)
      .with("program", Way.Facts.Program)
      .with("status", 200)
      .with("events", State.Events)
      .with("tokens", Tokens)
      .with("took_ms", steadyNow() - Way.Caller.requestReadAt());
  Metrics.answered(200, steadyNow() - Way.Caller.requestReadAt());
  co_await Way.Caller.end();
  co_return true;
}

} // namespace tamarack
