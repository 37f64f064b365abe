/// The parts of a ledger: answering calls, membership, and its journal.
#ifndef TAMARACK_QUORUM_LEDGERNODEIMPL_H
#define TAMARACK_QUORUM_LEDGERNODEIMPL_H

#include "tamarack/quorum/DiskThread.h"
#include "tamarack/quorum/LedgerNode.h"
#include "tamarack/turns/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace tamarack {

/// Turns that are fetched from one member, and how far that has come.
struct FetchWork {
  FetchWork(Loop &Io, std::vector<TurnId> Turns)
      : Turns(std::move(Turns)), Changed(Io) {}
  const std::vector<TurnId> Turns;
  std::size_t Next = 0;
  std::size_t Running = 0;
  bool Failed = false;
  Signal Changed;
};

struct LedgerNode::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, LedgerOptions Options, ViewStore &Views)
      : Io(Io), Options(std::move(Options)), Views(Views),
        Reader(this->Options.Folder),
        Store([this](const FrameLocation &Place) { return readRecord(Place); }),
        ViewMoved(Io) {}

  Loop &Io;
  const LedgerOptions Options;
  ViewStore &Views;
  FrameReader Reader;
  TurnStore Store;
  /// The newest view that was written to the journal or is being written.
  View Known;
  std::unique_ptr<Journal> Log;
  std::unique_ptr<DiskThread> Disk;
  std::unique_ptr<LinkServer> Server;
  std::map<std::string, std::shared_ptr<LinkClient>> Links;
  Signal ViewMoved;
  struct HeldNote {
    EndpointLoadReport Note;
    TimePoint At;
  };
  std::map<InstanceId, HeldNote> Notes;
  /// Where each program last ran; not kept on disk.
  std::unordered_map<std::string, EndpointId> RanAt;
  std::uint64_t RecordsStored = 0;
  std::uint64_t Refused = 0;
  std::uint64_t BytesSinceRoll = 0;
  const TimePoint StartedAt = steadyNow();
  /// Members that keep a connection but do not answer, and since when.
  std::map<FolderId, TimePoint> SlowSince;
  /// Members that hold all that this one held when it left the view.
  std::set<FolderId> Absorbed;
  bool Retiring = false;
  bool Stopped = false;

  // LedgerCalls.cpp: what other processes ask.
  void handle(const std::string &Name, Json Body, LinkServer::Reply Answer);
  LedgerRefusal judge(std::uint64_t ViewNumber) const;
  void keepRecord(const RecordRequest &Call, const LinkServer::Reply &Answer);
  EndpointId lastRanAt(const RecordRequest &Call);
  /// Keeps \p Note and returns what the other processes run together.
  InFlightByEndpoint exchangeNotes(const EndpointLoadReport &Note);
  void answerChain(const ChainRequest &Call, const LinkServer::Reply &Answer);
  void answerTurns(const Json &Body, const LinkServer::Reply &Answer);
  /// A record as the journal holds it.
  Expected<std::string> frameOf(const TurnId &Turn);
  void adopt(const View &Next, const DiskThread::Written &Done);
  std::optional<View> newerThan(std::uint64_t Number) const;

  // LedgerMembership.cpp: entering and leaving the quorum.
  Task<void> manageMembership();
  Task<void> enterView();
  Task<void> becomeJoined();
  Task<std::set<FolderId>> unreachableMembers();
  /// Fetches what enough joined members of \p Of hold, so that it has each
  /// record that is kept.
  Task<bool> fetchEnough(View Of);
  Task<bool> fetchFrom(std::string Address, View Of);
  /// Takes turns from \p Work until all are fetched or one call failed.
  Task<void> fetchTurns(std::shared_ptr<LinkClient> From,
                        std::shared_ptr<FetchWork> Work);
  Task<bool> change(View Before, View Next, std::string Reason);
  std::shared_ptr<LinkClient> linkTo(const std::string &Address);
  ViewMember self() const;
  const std::string &publicAddress() const;

  // LedgerNode.cpp: journal and upkeep.
  Expected<void> load();
  Expected<TurnRecord> readRecord(const FrameLocation &Place);
  void persist(const TurnRecord &Record, DiskThread::Written Done);
  /// \p Frame is \p Record as the journal holds it.
  void persistFrame(const TurnRecord &Record, std::string Frame,
                    DiskThread::Written Done);
  Task<void> upkeep();
  Task<void> compact();
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_LEDGERNODEIMPL_H
