#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

namespace tamarack {
namespace {

/// A process that told nothing for that long sends nothing either.
constexpr Duration NoteLifetime = std::chrono::seconds(2);

/// Programs whose last endpoint is remembered: a minute of a busy day.
constexpr std::size_t MostPlaces = 20000;

} // namespace

LedgerRefusal LedgerNode::Impl::judge(std::uint64_t ViewNumber) const {
  if (ViewNumber < Known.Number)
    return LedgerRefusal::OlderView;
  if (ViewNumber > Known.Number)
    return LedgerRefusal::UnknownView;
  const ViewMember *Self = findMember(Known, Log->folderId());
  if (Self == nullptr || !Self->Joined)
    return LedgerRefusal::NotJoined;
  return LedgerRefusal::None;
}

std::optional<View> LedgerNode::Impl::newerThan(std::uint64_t Number) const {
  if (Number >= Known.Number)
    return std::nullopt;
  return Known;
}

void LedgerNode::Impl::handle(const std::string &Name, Json Body,
                              LinkServer::Reply Answer) {
  if (Name == calls::Record) {
    keepRecord(Body.get<RecordRequest>(), Answer);
  } else if (Name == calls::Chain) {
    answerChain(Body.get<ChainRequest>(), Answer);
  } else if (Name == calls::FetchTurns) {
    answerTurns(Body, Answer);
  } else if (Name == calls::Ping) {
    Answer(Json(nullptr));
  } else if (Name == calls::Adopt) {
    const View Next = Body.get<View>();
    adopt(Next, [this, Next, Answer](const Expected<FrameLocation> &Done) {
      Answer(
          Json(AdoptResponse{Done ? LedgerRefusal::None : LedgerRefusal::Failed,
                             newerThan(Next.Number)}));
    });
  } else if (Name == calls::ListRecords) {
    const View Next = Body.get<View>();
    adopt(Next, [this, Next, Answer](const Expected<FrameLocation> &Done) {
      Answer(Json(ListRecordsResponse{
          Done ? LedgerRefusal::None : LedgerRefusal::Failed, Store.summaries(),
          newerThan(Next.Number)}));
    });
  } else if (Name == calls::CatchUp) {
    spawn(Io,
          [](std::shared_ptr<Impl> Self, Json Body,
             LinkServer::Reply Answer) -> Task<void> {
            const View Of = Body.at("view").get<View>();
            Self->adopt(Of, nullptr);
            const bool Done = co_await Self->fetchFrom(
                Body.at("from").get<std::string>(), Of);
            Answer(Json(AdoptResponse{
                Done ? LedgerRefusal::None : LedgerRefusal::Failed, {}}));
          }(shared_from_this(), std::move(Body), std::move(Answer)));
  } else {
    Answer(refuse(ErrorKind::MalformedRequest, "no call named " + Name));
  }
}

void LedgerNode::Impl::keepRecord(const RecordRequest &Call,
                                  const LinkServer::Reply &Answer) {
  const LedgerRefusal Refusal = judge(Call.ViewNumber);
  if (Refusal != LedgerRefusal::None) {
    ++Refused;
    Answer(
        Json(RecordResponse{Refusal, {}, newerThan(Call.ViewNumber), {}, {}}));
    return;
  }
  Store.apply(Call.Record, steadyNow());
  ++RecordsStored;
  // A repeated record is written again: the first may not be on disk yet.
  RecordResponse Result{LedgerRefusal::None, {}, {}, lastRanAt(Call), {}};
  if (!Call.Record.Charge.Settled)
    Result.ProgramAccount = Store.account(Call.Record.Program);
  if (Call.LoadReport)
    Result.InFlightElsewhere = exchangeNotes(*Call.LoadReport);
  persist(Call.Record, [Answer, Result = std::move(Result)](
                           const Expected<FrameLocation> &Done) mutable {
    if (!Done)
      Result.Refusal = LedgerRefusal::Failed;
    Answer(Json(Result));
  });
}

EndpointId LedgerNode::Impl::lastRanAt(const RecordRequest &Call) {
  if (!Call.RanAt.empty()) {
    if (RanAt.size() >= MostPlaces)
      RanAt.clear(); // Only hints, which the next turns give again.
    RanAt[Call.Record.Program.text()] = Call.RanAt;
  }
  const auto Place = RanAt.find(Call.Record.Program.text());
  return Place == RanAt.end() ? EndpointId() : Place->second;
}

InFlightByEndpoint
LedgerNode::Impl::exchangeNotes(const EndpointLoadReport &Note) {
  const TimePoint Now = steadyNow();
  Notes[Note.Reporter] = {Note, Now};
  InFlightByEndpoint Result;
  for (auto Place = Notes.begin(); Place != Notes.end();) {
    if (Now - Place->second.At > NoteLifetime) {
      Place = Notes.erase(Place);
      continue;
    }
    if (Place->first != Note.Reporter)
      for (const auto &[Endpoint, Count] : Place->second.Note.InFlight)
        Result[Endpoint] += Count;
    ++Place;
  }
  return Result;
}

void LedgerNode::Impl::answerChain(const ChainRequest &Call,
                                   const LinkServer::Reply &Answer) {
  ChainResponse Result{judge(Call.ViewNumber), {}, newerThan(Call.ViewNumber)};
  if (Result.Refusal == LedgerRefusal::None) {
    const Expected<TurnStore::Texts> Known = Store.storedChain(Call.Turn);
    if (!Known)
      Result.Refusal = LedgerRefusal::Failed;
    else
      for (const auto &Turn : *Known)
        Result.Turns.push_back(*Turn);
  }
  Answer(Json(Result));
}

Expected<std::string> LedgerNode::Impl::frameOf(const TurnId &Turn) {
  if (const std::optional<FrameLocation> Place = Store.textLocation(Turn))
    return Reader.read(*Place);
  const Expected<TurnRecord> Record = Store.record(Turn);
  if (!Record)
    return tl::unexpected(Record.error());
  std::string Frame;
  Json::to_cbor(Json(*Record), Frame);
  return Frame;
}

void LedgerNode::Impl::answerTurns(const Json &Body,
                                   const LinkServer::Reply &Answer) {
  FetchTurnsResponse Result;
  for (const TurnId &Turn : Body.get<std::vector<TurnId>>())
    if (Expected<std::string> Frame = frameOf(Turn)) {
      Result.Frames.push_back(std::move(*Frame));
    } else if (Frame.error().Kind != ErrorKind::UnknownProgram) {
      Answer(tl::unexpected(Frame.error()));
      return;
    }
  Answer(Json(Result));
}

void LedgerNode::Impl::adopt(const View &Next,
                             const DiskThread::Written &Done) {
  if (Next.Number > Known.Number) {
    Known = Next;
    LogLine("ledger.view")
        .with("number", Next.Number)
        .with("members", Next.Members.size())
        .with("member", findMember(Next, Log->folderId()) != nullptr ? 1 : 0);
    ViewMoved.raise();
  }
  // Also behind an earlier write of the same view that is still under way.
  const Json Frame{{"view", Known}};
  std::string Text;
  Json::to_cbor(Frame, Text);
  Disk->write(std::move(Text), Done);
}

} // namespace tamarack
