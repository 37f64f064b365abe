#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <utility>

namespace tamarack {
namespace {

/// The timeout of a call to a source. Listing or fetching the records of a busy
/// minute takes less.
constexpr Duration CallTimeout = std::chrono::milliseconds(2500);
/// How long a source has for the opening of its link, and how often the link of
/// a source is looked at. The next one is asked once it is lost.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration LinkCheckInterval = std::chrono::milliseconds(50);
/// Turns fetched in one call: about 0.2 MB of text, which a shared link of
/// 60 Mbit/s transfers well within CallTimeout. Several calls are in flight at
/// a time because each of them waits in the queue of a busy source.
constexpr std::size_t TurnsPerCall = 32;
constexpr std::size_t MaxConcurrentCalls = 6;
/// Texts fetched from a source between two tries to list others.
constexpr std::size_t TextsBetweenLists = 4 * MaxConcurrentCalls * TurnsPerCall;
/// Records without texts fetched in one call, about 0.1 MB.
constexpr std::size_t RecordsPerCall = 1024;

/// Returns nothing if \p Frame is not the journal encoding of a record.
std::optional<TurnRecord> parseRecord(const std::string &Frame) {
  try {
    return Json::from_cbor(Frame).get<TurnRecord>();
  } catch (const Json::exception &Failure) {
    LogLine("ledger.record_refused").with("reason", Failure.what());
    return std::nullopt;
  }
}

/// Returns whether the ledger that answered at the address of \p Source has its
/// folder, and logs if not.
bool isExpectedFolder(const RecordSource &Source, const FolderId &Answered) {
  if (Answered == Source.Folder)
    return true;
  LogLine("ledger.other_folder")
      .with("address", Source.Address)
      .with("expected", Source.Folder)
      .with("answered", Answered);
  return false;
}

} // namespace

std::vector<RecordHolder> LedgerNode::Impl::otherHolders(const View &Of) const {
  std::vector<RecordHolder> Result = recordHolders(Of);
  std::erase_if(Result, [this](const RecordHolder &Holder) {
    return Holder.Folder == Log->folderId();
  });
  if (Options.Distance)
    std::stable_sort(
        Result.begin(), Result.end(),
        [this](const RecordHolder &Left, const RecordHolder &Right) {
          return Options.Distance(Left.DataCentre) <
                 Options.Distance(Right.DataCentre);
        });
  return Result;
}

bool LedgerNode::Impl::keepsLists(const View &Of) const {
  return keepsSources(ListsSince, Of) &&
         std::all_of(Lists.begin(), Lists.end(), [&Of](const auto &List) {
           return holdsRecords(Of, List.first);
         });
}

void LedgerNode::Impl::forgetFetch() {
  ListsSince = {};
  Lists.clear();
  FailedSources.clear();
  UnreachableSince.clear();
}

Task<bool> LedgerNode::Impl::fetchFromSources(View Of) {
  if (!keepsLists(Of)) {
    ListsSince = Of;
    Lists.clear();
    FailedSources.clear();
  }
  const bool IsListed = co_await listSources(Of);
  if (!keepsLists(CurrentView)) {
    co_return false;
  }
  std::vector<RecordSource> Sources;
  std::vector<RecordList> Listed;
  for (const RecordHolder &Holder : connectedFirst(Of))
    if (const auto Found = Lists.find(Holder.Folder); Found != Lists.end()) {
      Sources.push_back({Holder.Address, Holder.Folder});
      Listed.push_back(
          {Holder.Folder, Found->second, isJoined(ListsSince, Holder.Folder)});
    }
  std::vector<FetchShare> Shares =
      planFetch(Listed, requiredCopies(Of, Options.DurableCopies), Store);
  // Until enough have listed their records, these are looked for again soon.
  if (!IsListed)
    for (FetchShare &Share : Shares)
      Share.Texts.resize(std::min(Share.Texts.size(), TextsBetweenLists));
  FailedSources = co_await fetchShares(Sources, std::move(Shares));
  // The list of a source that is down may be all that tells what it has.
  for (const RecordSource &Source : Sources)
    if (FailedSources.count(Source.Folder) > 0 &&
        linkTo(Source.Address)->isConnected())
      Lists.erase(Source.Folder);
  if (!IsListed || !FailedSources.empty()) {
    co_return false;
  }
  const bool IsSynced = co_await syncRecords(CurrentView);
  co_return IsSynced &&CurrentView.Number == Of.Number;
}

std::vector<RecordHolder>
LedgerNode::Impl::connectedFirst(const View &Of) const {
  std::vector<RecordHolder> Result = otherHolders(Of);
  std::stable_partition(
      Result.begin(), Result.end(), [this](const RecordHolder &Holder) {
        const auto Link = Links.find(Holder.Address);
        return Link != Links.end() && Link->second->isConnected();
      });
  return Result;
}

Task<bool> LedgerNode::Impl::listSources(View Of) {
  const std::size_t Needed = requiredSources(Of, Options.DurableCopies);
  const std::vector<RecordHolder> Sources = connectedFirst(Of);
  // Others may keep what could not be fetched from a source.
  const std::size_t Wanted =
      std::min(Needed + FailedSources.size(), Sources.size());
  const auto Work = std::make_shared<SourceLists>(Io);
  const auto IsCurrent = [this, Number = Of.Number] {
    return CurrentView.Number == Number;
  };
  // A source whose link is lost would take the whole timeout of a call.
  const auto CountHopeful = [this, Work] {
    return std::count_if(Work->Running.begin(), Work->Running.end(),
                         [this](const auto &Asked) {
                           return linkTo(Asked.first)->isConnected() ||
                                  steadyNow() < Asked.second;
                         });
  };
  for (const RecordHolder &Source : Sources) {
    while (Lists.size() < Wanted && Lists.size() + CountHopeful() >= Wanted &&
           IsCurrent()) {
      co_await Work->Changed.wait(steadyNow() + LinkCheckInterval);
    }
    if (Lists.size() >= Wanted || !IsCurrent())
      break;
    if (Lists.count(Source.Folder) > 0)
      continue;
    Work->Running[Source.Address] = steadyNow() + ConnectTimeout;
    spawn(Io, listSource({Source.Address, Source.Folder}, Of, Work));
  }
  // Those whose links are lost may come back.
  while (IsCurrent() && (Lists.size() < Needed
                             ? !Work->Running.empty()
                             : Lists.size() < Wanted && CountHopeful() > 0)) {
    co_await Work->Changed.wait(steadyNow() + LinkCheckInterval);
  }
  if (Lists.size() < Needed)
    LogLine("ledger.fetch_incomplete")
        .with("view", Of.Number)
        .with("listed", Lists.size())
        .with("needed", Needed)
        .with("holders", Sources.size());
  co_return Lists.size() >= Needed;
}

Task<void> LedgerNode::Impl::listSource(RecordSource Source, View Of,
                                        std::shared_ptr<SourceLists> Work) {
  const auto Self = shared_from_this();
  const std::string Address = Source.Address;
  const FolderId Folder = Source.Folder;
  auto Listed = co_await listRecords(std::move(Source), Of);
  Work->Running.erase(Address);
  if (Listed && keepsLists(Of))
    Lists.insert_or_assign(Folder, std::move(*Listed));
  Work->Changed.raise();
}

Task<std::optional<std::vector<RecordSummary>>>
LedgerNode::Impl::listRecords(RecordSource Source, View Of) {
  const TimePoint BegunAt = steadyNow();
  const Expected<Json> Reply =
      co_await callLink(Io, linkTo(Source.Address), calls::ListRecords,
                        encodeBody(Of), BegunAt + CallTimeout);
  auto Answer = parseReply<ListRecordsResponse>(Reply, calls::ListRecords,
                                                Source.Address);
  if (!Answer)
    co_return std::nullopt;
  if (Answer->NewerView)
    adopt(*Answer->NewerView, nullptr);
  if (Answer->Refusal != LedgerRefusal::None || Answer->NewerView)
    co_return std::nullopt;
  if (!isExpectedFolder(Source, Answer->Folder))
    co_return std::nullopt;
  LogLine("ledger.listed")
      .with("from", Source.Address)
      .with("records", Answer->Records.size())
      .with("took_ms", steadyNow() - BegunAt);
  co_return std::move(Answer->Records);
}

Task<bool> LedgerNode::Impl::fetchFromMember(RecordSource Source, View Of) {
  auto Listed = co_await listRecords(Source, Of);
  if (!Listed)
    co_return false;
  const std::vector<RecordList> Lists = {{Source.Folder, std::move(*Listed)}};
  std::vector<FetchShare> Shares = planFetch(Lists, Lists.size() + 1, Store);
  std::vector<RecordSource> Sources = {std::move(Source)};
  const std::set<FolderId> Failed =
      co_await fetchShares(std::move(Sources), std::move(Shares));
  if (!Failed.empty()) {
    co_return false;
  }
  co_return co_await syncRecords(Of);
}

/// Writes are ordered: once this one is on disk, so are all fetched records.
Task<bool> LedgerNode::Impl::syncRecords(View Of) {
  const auto Synced = std::make_shared<std::optional<bool>>();
  adopt(Of, [Synced](const Expected<FrameLocation> &Done) {
    *Synced = bool(Done);
  });
  while (!*Synced)
    co_await pause(Io, std::chrono::milliseconds(5));
  co_return **Synced;
}

Task<std::set<FolderId>>
LedgerNode::Impl::fetchShares(std::vector<RecordSource> Sources,
                              std::vector<FetchShare> Shares) {
  const auto Busy = static_cast<std::size_t>(
      std::count_if(Shares.begin(), Shares.end(),
                    [](const FetchShare &Share) { return !Share.empty(); }));
  std::map<FolderId, std::shared_ptr<FetchWork>> Works;
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    if (Shares[Index].empty())
      continue;
    const auto Work = std::make_shared<FetchWork>(Io);
    Work->MaxCalls = std::max<std::size_t>(1, MaxConcurrentCalls / Busy);
    Works.emplace(Sources[Index].Folder, Work);
    spawn(Io, fetchShare(Sources[Index], std::move(Shares[Index]), Work));
  }
  std::set<FolderId> Failed;
  for (const auto &[Folder, Work] : Works) {
    while (!Work->Ended)
      co_await Work->Changed.wait(TimePoint::max());
    if (Work->Failed) {
      Failed.insert(Folder);
    }
  }
  co_return Failed;
}

Task<void> LedgerNode::Impl::fetchShare(RecordSource Source, FetchShare Share,
                                        std::shared_ptr<FetchWork> Work) {
  const auto Self = shared_from_this();
  const TimePoint BegunAt = steadyNow();
  const std::string Address = Source.Address;
  const auto Link = linkTo(Address);
  const std::size_t TextCount = Share.Texts.size();
  LogLine("ledger.fetch")
      .with("from", Address)
      .with("records", Share.Records.size())
      .with("texts", TextCount);
  // Accounts first: they are small, and no program may draw without them.
  co_await fetchTurns(Link, std::move(Share.Records), true, Work);
  co_await fetchTurns(Link, std::move(Share.Texts), false, Work);
  // What it did not reply with counts as unknown, so it must be the ledger that
  // listed it: one that has lost its disk meanwhile knows nothing.
  if (!Work->Failed) {
    const bool IsSame = co_await hasFolder(Source);
    Work->Failed = !IsSame;
  }
  LogLine(Work->Failed ? "ledger.fetch_failed" : "ledger.fetched")
      .with("from", Address)
      .with("records", Work->Records)
      .with("bytes", Work->Bytes)
      .with("calls", Work->Calls)
      .with("took_ms", steadyNow() - BegunAt);
  Work->Ended = true;
  Work->Changed.raise();
}

Task<bool> LedgerNode::Impl::hasFolder(RecordSource Source) {
  const Expected<Json> Reply =
      co_await callLink(Io, linkTo(Source.Address), calls::Ping,
                        encodeBody(nullptr), steadyNow() + CallTimeout);
  const auto Answer =
      parseReply<PingResponse>(Reply, calls::Ping, Source.Address);
  co_return Answer &&isExpectedFolder(Source, Answer->Folder);
}

Task<void> LedgerNode::Impl::fetchTurns(std::shared_ptr<LinkClient> From,
                                        std::vector<TurnId> Turns,
                                        bool WithoutTexts,
                                        std::shared_ptr<FetchWork> Work) {
  Work->Turns = std::move(Turns);
  Work->Next = 0;
  Work->WithoutTexts = WithoutTexts;
  for (std::size_t Worker = 0; Worker < Work->MaxCalls; ++Worker) {
    ++Work->RunningWorkers;
    spawn(Io, fetchParts(From, Work));
  }
  while (Work->RunningWorkers > 0)
    co_await Work->Changed.wait(TimePoint::max());
}

std::vector<TurnId>
LedgerNode::Impl::storeFetched(FetchTurnsResponse Reply,
                               const std::vector<TurnId> &Asked) {
  // Turns before the last one that is in the reply are in it or unknown.
  auto Rest = Reply.Frames.empty() ? Asked.end() : Asked.begin();
  for (std::string &Frame : Reply.Frames) {
    const std::optional<TurnRecord> Record = parseRecord(Frame);
    if (!Record)
      break;
    const auto Found = std::find(Rest, Asked.end(), Record->Turn);
    if (Found != Asked.end())
      Rest = std::next(Found);
    Store.apply(*Record, steadyNow());
    persistFrame(*Record, std::move(Frame), nullptr);
  }
  return {Rest, Asked.end()};
}

Task<void> LedgerNode::Impl::fetchParts(std::shared_ptr<LinkClient> From,
                                        std::shared_ptr<FetchWork> Work) {
  const auto Self = shared_from_this();
  const std::size_t PerCall =
      Work->WithoutTexts ? RecordsPerCall : TurnsPerCall;
  while (!Work->Failed && Work->Next < Work->Turns.size()) {
    const std::size_t End = std::min(Work->Next + PerCall, Work->Turns.size());
    std::vector<TurnId> Part(
        Work->Turns.begin() + static_cast<std::ptrdiff_t>(Work->Next),
        Work->Turns.begin() + static_cast<std::ptrdiff_t>(End));
    Work->Next = End;
    // Ledgers of earlier releases send the texts with the records.
    if (!Work->WithoutTexts)
      std::erase_if(Part,
                    [this](const TurnId &Turn) { return Store.hasText(Turn); });
    while (!Work->Failed && !Part.empty()) {
      ++Work->Calls;
      const LinkBody Request =
          encodeBody(FetchTurnsRequest{Part, true, Work->WithoutTexts});
      const Expected<Json> Fetched = co_await callLink(
          Io, From, calls::FetchTurns, Request, steadyNow() + CallTimeout);
      const std::size_t Asked = Part.size();
      auto Reply = parseReply<FetchTurnsResponse>(Fetched, calls::FetchTurns,
                                                  From->address());
      if (Reply) {
        Work->Records += Reply->Frames.size();
        for (const std::string &Frame : Reply->Frames)
          Work->Bytes += Frame.size();
        Part = storeFetched(std::move(*Reply), Part);
      }
      Work->Failed = Work->Failed || Part.size() == Asked;
    }
  }
  --Work->RunningWorkers;
  Work->Changed.raise();
}

} // namespace tamarack
