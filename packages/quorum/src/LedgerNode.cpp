#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

namespace tamarack {
namespace {

constexpr Duration MaintenanceInterval = std::chrono::seconds(1);
/// Records that compaction writes before it pauses, so that other work can run.
constexpr std::size_t RecordsPerBatch = 64;
/// What may wait for the disk before compaction pauses, and for how long it
/// does.
constexpr std::size_t MaxQueuedDiskBytes = 1U << 20U;
constexpr Duration DiskPause = std::chrono::milliseconds(10);

std::string encodeRecord(const TurnRecord &Record) {
  std::string Frame;
  Json::to_cbor(Json(Record), Frame);
  return Frame;
}

/// Returns "SEGMENT:BYTES,..." of the segments that were not read whole.
std::string describe(const std::vector<UnreadEnd> &Ends) {
  std::string Result;
  for (const UnreadEnd &End : Ends)
    Result += (Result.empty() ? "" : ",") + std::to_string(End.Segment) + ":" +
              std::to_string(End.Bytes);
  return Result;
}

} // namespace

Expected<void> LedgerNode::Impl::load() {
  const TimePoint Now = steadyNow();
  std::uint64_t UnreadFrames = 0;
  auto Opened = Journal::open(
      Options.Folder, Options.FreshFolder,
      [&](const FrameLocation &Location, std::string_view Frame) {
        const Json Value = Json::from_cbor(Frame.begin(), Frame.end(), true,
                                           /*allow_exceptions=*/false);
        try {
          if (const auto Found = Value.find("view"); Found != Value.end()) {
            const View Next = Found->get<View>();
            if (Next.Number > CurrentView.Number)
              CurrentView = Next;
            return;
          }
          const TurnRecord Record = Value.get<TurnRecord>();
          Store.apply(Record, Now);
          if (Record.Text)
            Store.setTextLocation(Record.Turn, Location);
        } catch (const Json::exception &) {
          ++UnreadFrames; // Written by another release; logged below.
        }
      });
  if (!Opened)
    return tl::unexpected(Opened.error());
  Log = std::move(*Opened);
  LogLine("ledger.loaded")
      .with("folder", Log->folderId())
      .with("fresh", Log->isFresh() ? 1 : 0)
      .with("view", CurrentView.Number)
      .with("programs", Store.programCount())
      .with("turns", Store.storedTurnCount())
      .with("unread_frames", UnreadFrames)
      .with("segment", Log->currentSegment())
      .with("unread", describe(Log->unreadEnds()));
  return {};
}

Expected<TurnRecord>
LedgerNode::Impl::readRecord(const FrameLocation &Location) {
  const Expected<std::string> Frame = Reader.read(Location);
  if (!Frame) {
    LogLine("ledger.read_failed")
        .with("segment", Location.Segment)
        .with("reason", Frame.error().Message);
    return tl::unexpected(Frame.error());
  }
  try {
    return Json::from_cbor(*Frame).get<TurnRecord>();
  } catch (const Json::exception &Failure) {
    return refuse(ErrorKind::Internal, Failure.what());
  }
}

void LedgerNode::Impl::persist(const TurnRecord &Record,
                               DiskThread::WriteCallback Done) {
  persistFrame(Record, encodeRecord(Record), std::move(Done));
}

void LedgerNode::Impl::persistFrame(const TurnRecord &Record, std::string Frame,
                                    DiskThread::WriteCallback Done) {
  BytesToCompact += Frame.size();
  writeFrame(Record, std::move(Frame), std::move(Done));
}

void LedgerNode::Impl::writeFrame(const TurnRecord &Record, std::string Frame,
                                  DiskThread::WriteCallback Done) {
  if (!Record.Text) {
    Disk->write(std::move(Frame), std::move(Done));
    return;
  }
  Disk->write(std::move(Frame), [Weak = weak_from_this(), Turn = Record.Turn,
                                 Done = std::move(Done)](
                                    const Expected<FrameLocation> &Location) {
    const auto Self = Weak.lock();
    if (Self && Location)
      Self->Store.setTextLocation(Turn, *Location);
    if (Done)
      Done(Location);
  });
}

Task<void> LedgerNode::Impl::waitForDisk() {
  while (Disk->queuedBytes() > MaxQueuedDiskBytes)
    co_await pause(Io, DiskPause);
}

Task<void> LedgerNode::Impl::runMaintenance() {
  const auto Self = shared_from_this();
  while (!Stopped) {
    co_await pause(Io, MaintenanceInterval);
    if (BytesToCompact > Options.CompactAfterBytes)
      co_await compact();
  }
}

/// Writes all live records to a new segment, then removes the older segments.
Task<void> LedgerNode::Impl::compact() {
  BytesToCompact = 0;
  Disk->roll(nullptr);
  adopt(CurrentView, nullptr);
  const std::vector<RecordSummary> Records = Store.summaries(steadyNow());
  std::size_t Processed = 0;
  for (const RecordSummary &Summary : Records) {
    if (const Expected<TurnRecord> Record = Store.record(Summary.Turn)) {
      std::string Frame = encodeRecord(*Record);
      writeFrame(*Record, std::move(Frame), nullptr);
    } else if (Record.error().Kind != ErrorKind::UnknownProgram) {
      co_return; // Keep the old segments, which hold the unreadable text.
    }
    co_await waitForDisk();
    if (++Processed % RecordsPerBatch == 0)
      co_await pause(Io, DiskPause);
  }
  Disk->removeOldSegments(
      [Weak = weak_from_this()](const Expected<FrameLocation> &Done) {
        if (const auto Self = Weak.lock(); Self && Done)
          Self->Reader.closeSegmentsBefore(Done->Segment);
        LogLine("ledger.compacted")
            .with("outcome", Done ? std::string("done") : Done.error().Message);
      });
}

LedgerNode::LedgerNode(Loop &Io, LedgerOptions Options, ViewStore &Views)
    : Inner(std::make_shared<Impl>(Io, std::move(Options), Views)) {}

LedgerNode::~LedgerNode() { stop(); }

Expected<void> LedgerNode::start() {
  // Connections are accepted and calls are handled once the journal is loaded,
  // but an open port tells the others that this ledger is about to serve, so
  // that they do not replace it while it loads.
  Inner->Server = std::make_unique<LinkServer>(
      Inner->Io, [Self = Inner.get()](const std::string &Name, Json Body,
                                      LinkServer::Reply Answer) {
        Self->handle(Name, std::move(Body), std::move(Answer));
      });
  if (auto Listening = Inner->Server->listen(Inner->Options.Address);
      !Listening)
    return Listening;
  if (auto Loaded = Inner->load(); !Loaded)
    return Loaded;
  Inner->Disk = std::make_unique<DiskThread>(Inner->Io, *Inner->Log);
  spawn(Inner->Io, Inner->manageMembership());
  spawn(Inner->Io, Inner->runMaintenance());
  spawn(Inner->Io, Inner->runRetention());
  return {};
}

void LedgerNode::viewChanged(const View &Latest) {
  if (Latest.Number > Inner->CurrentView.Number)
    Inner->adopt(Latest, nullptr);
}

LedgerStatus LedgerNode::status() const {
  const ViewMember *Member =
      findMember(Inner->CurrentView, Inner->Log->folderId());
  return {Inner->CurrentView,
          Member != nullptr,
          Member != nullptr && Member->Joined,
          Inner->Store.storedTurnCount(),
          Inner->Store.programCount(),
          Inner->Store.textBytes(),
          Inner->Store.missedTurnCount(),
          Inner->RecordsStored,
          Inner->Refused,
          Inner->Disk ? Inner->Disk->queuedBytes() : 0};
}

void LedgerNode::stop() {
  Inner->Stopped = true;
  if (Inner->Server)
    Inner->Server->close();
  for (auto &[Address, Link] : std::exchange(Inner->Links, {}))
    Link->close();
}

} // namespace tamarack
