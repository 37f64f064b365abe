#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

namespace tamarack {
namespace {

/// A process that sent no report for this long sends no records either, so it
/// has nothing in flight.
constexpr Duration LoadReportLifetime = std::chrono::seconds(2);

/// How long a report says how busy an entry is. Busy ones report every 40 ms.
constexpr Duration EntryLoadLifetime = std::chrono::milliseconds(500);

bool canServe(const EntryLoad &Load) {
  return Load.IsReady && Load.ReachesLedgers;
}

bool isBetterOff(const EntryLoad &Left, const EntryLoad &Right) {
  return canServe(Left) == canServe(Right) ? Left.Behind < Right.Behind
                                           : canServe(Left);
}

/// The limit on records without text for each turn that is asked for. The rest
/// of a longer gap is asked for once these are known.
constexpr std::size_t LinksPerTurn = 8;

/// The limit on the texts of one reply, which has at least one. The caller asks
/// for the rest of a longer chain or of more turns.
constexpr std::size_t MaxReplyTextBytes = 1U << 20U;

/// The limit on programs whose last endpoint is remembered; about one minute of
/// programs on a busy day.
constexpr std::size_t MaxRememberedPrograms = 20000;

} // namespace

LedgerRefusal LedgerNode::Impl::checkView(std::uint64_t ViewNumber) const {
  if (ViewNumber < CurrentView.Number)
    return LedgerRefusal::OlderView;
  if (ViewNumber > CurrentView.Number)
    return LedgerRefusal::UnknownView;
  const ViewMember *Self = findMember(CurrentView, Log->folderId());
  if (Self == nullptr || !Self->Joined)
    return LedgerRefusal::NotJoined;
  return LedgerRefusal::None;
}

std::optional<View> LedgerNode::Impl::newerView(std::uint64_t Number) const {
  if (Number >= CurrentView.Number)
    return std::nullopt;
  return CurrentView;
}

void LedgerNode::Impl::handle(const std::string &Name, Json Body,
                              LinkServer::Reply Answer) {
  if (Name == calls::Record) {
    handleRecord(Body.get<RecordRequest>(), Answer);
  } else if (Name == calls::Chain) {
    handleChain(Body.get<ChainRequest>(), Answer);
  } else if (Name == calls::FetchTurns) {
    handleFetchTurns(Body, Answer);
  } else if (Name == calls::FetchLinks) {
    handleFetchLinks(Body, Answer);
  } else if (Name == calls::Lifetimes) {
    Answer(Json(LifetimesResponse{
        Log->folderId(), CurrentView.Number,
        Store.lifetimes(Body.get<RecordNames>(), steadyNow())}));
  } else if (Name == calls::Ping) {
    handlePing(Body, Answer);
  } else if (Name == calls::Crashes) {
    const auto Request = Body.get<CrashRequest>();
    Crashes.merge(Request.Observed, steadyNow());
    Answer(Json(Crashes.newsAfter(Request.After, steadyNow())));
  } else if (Name == calls::Workspaces) {
    Answer(Json(Workspaces.exchange(Body.get<WorkspaceReport>(), steadyNow())));
  } else if (Name == calls::Adopt) {
    const View Next = Body.get<View>();
    adopt(Next, [this, Next, Answer](const Expected<FrameLocation> &Done) {
      Answer(
          Json(AdoptResponse{Done ? LedgerRefusal::None : LedgerRefusal::Failed,
                             newerView(Next.Number)}));
    });
  } else if (Name == calls::ListRecords) {
    const View Next = Body.get<View>();
    adopt(Next, [this, Next, Answer](const Expected<FrameLocation> &Done) {
      Answer(Json(ListRecordsResponse{
          Done ? LedgerRefusal::None : LedgerRefusal::Failed, Log->folderId(),
          Store.summaries(steadyNow()), newerView(Next.Number)}));
    });
  } else if (Name == calls::CatchUp) {
    Answer(Json(AdoptResponse{catchUp(Body.at("view").get<View>(),
                                      {Body.at("from").get<std::string>(),
                                       Body.at("folder").get<FolderId>()}),
                              {}}));
  } else if (!Options.HandleOtherCall ||
             !Options.HandleOtherCall(Name, Body, Answer)) {
    Answer(refuse(ErrorKind::MalformedRequest, "unknown call: " + Name));
  }
}

LedgerRefusal LedgerNode::Impl::catchUp(const View &Of,
                                        const RecordSource &From) {
  const auto Begun = CatchUps.find(From.Folder);
  if (Begun != CatchUps.end() && Begun->second.ViewNumber == Of.Number) {
    const LedgerRefusal State = Begun->second.State;
    if (State == LedgerRefusal::Failed)
      CatchUps.erase(Begun);
    return State;
  }
  CatchUps[From.Folder] = {Of.Number, LedgerRefusal::InProgress};
  spawn(
      Io,
      [](std::shared_ptr<Impl> Self, View Of, RecordSource From) -> Task<void> {
        Self->adopt(Of, nullptr);
        const bool Done = co_await Self->fetchFromMember(From, Of);
        const auto Ended = Self->CatchUps.find(From.Folder);
        if (Ended != Self->CatchUps.end() &&
            Ended->second.ViewNumber == Of.Number)
          Ended->second.State =
              Done ? LedgerRefusal::None : LedgerRefusal::Failed;
      }(shared_from_this(), Of, From));
  return LedgerRefusal::InProgress;
}

void LedgerNode::Impl::handleRecord(const RecordRequest &Request,
                                    const LinkServer::Reply &Answer) {
  const LedgerRefusal Refusal = checkView(Request.ViewNumber);
  if (Refusal != LedgerRefusal::None) {
    ++Refused;
    Answer(Json(
        RecordResponse{Refusal, {}, newerView(Request.ViewNumber), {}, {}}));
    return;
  }
  Store.apply(Request.Record, steadyNow());
  ++RecordsStored;
  // A repeated record is written again because the first write may not be on
  // disk yet.
  RecordResponse Result{LedgerRefusal::None, {}, {}, lastRanAt(Request), {}};
  if (!Request.Record.Charge.Settled)
    Result.ProgramAccount = Store.account(Request.Record.Program);
  if (Request.ResumedTurn) {
    Result.ResumedOrigin =
        Store.origin(*Request.ResumedTurn, Request.Record.Program);
    Result.OriginVersions = Store.originVersions();
    if (Options.EndpointListAge)
      Result.EndpointListAge = Options.EndpointListAge();
  }
  if (Request.LoadReport)
    Result.NewsElsewhere = exchangeLoadReports(*Request.LoadReport);
  persist(Request.Record, [Answer, Result = std::move(Result)](
                              const Expected<FrameLocation> &Done) mutable {
    if (!Done)
      Result.Refusal = LedgerRefusal::Failed;
    Answer(Json(Result));
  });
}

EndpointId LedgerNode::Impl::lastRanAt(const RecordRequest &Request) {
  if (!Request.RanAt.empty()) {
    if (RanAt.size() >= MaxRememberedPrograms)
      RanAt.clear(); // Only hints, which later turns provide again.
    RanAt[Request.Record.Program.text()] = Request.RanAt;
  }
  const auto Found = RanAt.find(Request.Record.Program.text());
  return Found == RanAt.end() ? EndpointId() : Found->second;
}

LoadByEntry LedgerNode::Impl::entryLoadsFor(const EndpointLoadReport &Report,
                                            TimePoint Now) const {
  const auto Own = Report.News.Entries.find(Report.Reporter);
  if (Own == Report.News.Entries.end())
    return {};
  LoadByEntry Result;
  std::map<DataCentreId, LoadByEntry::const_iterator> Best;
  for (const auto &[Reporter, Latest] : LoadReports) {
    const LoadByEntry &Entries = Latest.Report.News.Entries;
    const auto Entry = Entries.find(Reporter);
    if (Entry == Entries.end() || Reporter == Report.Reporter ||
        Now - Latest.ReceivedAt > EntryLoadLifetime)
      continue;
    if (Entry->second.DataCentre == Own->second.DataCentre) {
      Result.insert(*Entry);
      continue;
    }
    const auto [Found, IsFirst] =
        Best.try_emplace(Entry->second.DataCentre, Entry);
    if (!IsFirst && isBetterOff(Entry->second, Found->second->second))
      Found->second = Entry;
  }
  for (const auto &[DataCentre, Entry] : Best)
    Result.insert(*Entry);
  return Result;
}

EndpointNews
LedgerNode::Impl::exchangeLoadReports(const EndpointLoadReport &Report) {
  const TimePoint Now = steadyNow();
  LoadReports[Report.Reporter] = {Report, Now};
  EndpointNews Result;
  for (auto It = LoadReports.begin(); It != LoadReports.end();) {
    if (Now - It->second.ReceivedAt > LoadReportLifetime) {
      It = LoadReports.erase(It);
      continue;
    }
    if (It->first != Report.Reporter) {
      const EndpointNews &News = It->second.Report.News;
      for (const auto &[Endpoint, Count] : News.InFlight)
        Result.InFlight[Endpoint] += Count;
      for (const auto &[Endpoint, Count] : News.Suspects)
        Result.Suspects[Endpoint] += Count;
      for (const auto &[Endpoint, Counts] : News.Outcomes)
        Result.Outcomes[Endpoint] = Result.Outcomes[Endpoint] + Counts;
      for (const auto &[Endpoint, Rate] : News.Rates)
        Result.Rates[Endpoint] = Result.Rates[Endpoint] + Rate;
    }
    ++It;
  }
  Result.Entries = entryLoadsFor(Report, Now);
  return Result;
}

void LedgerNode::Impl::handleChain(const ChainRequest &Request,
                                   const LinkServer::Reply &Answer) {
  ChainResponse Result{
      checkView(Request.ViewNumber), {}, newerView(Request.ViewNumber)};
  if (Result.Refusal == LedgerRefusal::None) {
    const Expected<TurnStore::Texts> Chain =
        Store.storedChain(Request.Turn, MaxReplyTextBytes);
    if (!Chain)
      Result.Refusal = LedgerRefusal::Failed;
    else
      for (const auto &Turn : *Chain)
        Result.Turns.push_back(*Turn);
  }
  Answer(Json(Result));
}

Expected<std::string> LedgerNode::Impl::readFrame(const TurnId &Turn,
                                                  bool WithText) {
  if (const std::optional<FrameLocation> Location = Store.textLocation(Turn);
      Location && WithText)
    return Reader.read(*Location);
  const Expected<TurnRecord> Record =
      WithText ? Store.record(Turn) : Store.recordWithoutText(Turn);
  if (!Record)
    return tl::unexpected(Record.error());
  std::string Frame;
  Json::to_cbor(Json(*Record), Frame);
  return Frame;
}

void LedgerNode::Impl::handleFetchTurns(const Json &Body,
                                        const LinkServer::Reply &Answer) {
  const auto Request = Body.get<FetchTurnsRequest>();
  FetchTurnsResponse Result;
  std::size_t Bytes = 0;
  for (const TurnId &Turn : Request.Turns)
    if (Expected<std::string> Frame = readFrame(Turn, !Request.WithoutTexts)) {
      Bytes += Frame->size();
      if (Request.InParts && Bytes > MaxReplyTextBytes &&
          !Result.Frames.empty())
        break;
      Result.Frames.push_back(std::move(*Frame));
    } else if (Frame.error().Kind != ErrorKind::UnknownProgram) {
      Answer(tl::unexpected(Frame.error()));
      return;
    }
  Answer(Json(Result));
}

void LedgerNode::Impl::handleFetchLinks(const Json &Body,
                                        const LinkServer::Reply &Answer) {
  FetchTurnsResponse Result;
  for (const TurnId &Turn : Body.get<std::vector<TurnId>>())
    for (const TurnRecord &Record : Store.linksBefore(Turn, LinksPerTurn)) {
      std::string Frame;
      Json::to_cbor(Json(Record), Frame);
      Result.Frames.push_back(std::move(Frame));
    }
  Answer(Json(Result));
}

void LedgerNode::Impl::adopt(const View &Next,
                             const DiskThread::WriteCallback &Done) {
  if (Next.Number > CurrentView.Number) {
    CurrentView = Next;
    LogLine("ledger.view")
        .with("number", Next.Number)
        .with("members", Next.Members.size())
        .with("member", findMember(Next, Log->folderId()) != nullptr ? 1 : 0)
        .with("incomplete_since", Next.IncompleteSince);
    ViewChanged.raise();
  }
  // The view is written even if it did not change, so that Done runs after all
  // earlier writes, including one of the same view that is still in progress.
  const Json Frame{{"view", CurrentView}};
  std::string Text;
  Json::to_cbor(Frame, Text);
  Disk->write(std::move(Text), Done);
}

} // namespace tamarack
