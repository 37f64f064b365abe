/// The state of a ledger node: call handlers, membership, and the journal.
#ifndef TAMARACK_QUORUM_LEDGERNODEIMPL_H
#define TAMARACK_QUORUM_LEDGERNODEIMPL_H

#include "tamarack/net/Log.h"
#include "tamarack/quorum/DiskThread.h"
#include "tamarack/quorum/LedgerNode.h"
#include "tamarack/turns/FetchPlan.h"
#include "tamarack/turns/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace tamarack {

/// The turns to fetch from one member, and the progress of the workers.
struct FetchWork {
  explicit FetchWork(Loop &Io) : Changed(Io) {}
  std::vector<TurnId> Turns;
  bool WithoutTexts = false;
  /// The index of the first turn that no worker has taken.
  std::size_t Next = 0;
  std::size_t MaxCalls = 1;
  std::size_t RunningWorkers = 0;
  bool Failed = false;
  /// Whether all that is fetched from the member is here, or has failed.
  bool Ended = false;
  /// What the calls so far brought.
  std::size_t Calls = 0;
  std::size_t Records = 0;
  std::size_t Bytes = 0;
  Signal Changed;
};

/// A ledger to fetch records from.
struct RecordSource {
  std::string Address;
  /// Another ledger may answer at the address after a lost disk.
  FolderId Folder;
};

/// The sources that are asked for their lists side by side.
struct SourceLists {
  explicit SourceLists(Loop &Io) : Changed(Io) {}
  /// The addresses of those that have not replied, and until when each has time
  /// to open its link.
  std::map<std::string, TimePoint> Running;
  Signal Changed;
};

/// Returns nothing if the call \p Name of the ledger at \p From failed or its
/// reply cannot be parsed, and logs the latter.
template <typename T>
std::optional<T> parseReply(const Expected<Json> &Reply, const char *Name,
                            const std::string &From) {
  if (!Reply)
    return std::nullopt;
  try {
    return Reply->get<T>();
  } catch (const Json::exception &Failure) {
    LogLine("ledger.reply_refused")
        .with("call", Name)
        .with("from", From)
        .with("reason", Failure.what());
    return std::nullopt;
  }
}

struct LedgerNode::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, LedgerOptions Options, ViewStore &Views)
      : Io(Io), Options(std::move(Options)), Views(Views),
        Reader(this->Options.Folder),
        Store([this](const FrameLocation &Location) {
          return readRecord(Location);
        }),
        ViewChanged(Io), Crashes({}, this->Options.FreshFolder.text()) {}

  Loop &Io;
  const LedgerOptions Options;
  ViewStore &Views;
  FrameReader Reader;
  TurnStore Store;
  /// The newest view known. It is in the journal or being written to it.
  View CurrentView;
  /// The highest view number that members or the store have reported.
  std::uint64_t NewestViewNumber = 0;
  std::unique_ptr<Journal> Log;
  std::unique_ptr<DiskThread> Disk;
  std::unique_ptr<LinkServer> Server;
  std::map<std::string, std::shared_ptr<LinkClient>> Links;
  Signal ViewChanged;
  /// What entries have told of requests that crash endpoints.
  CrashRecords Crashes;
  struct ReceivedLoadReport {
    EndpointLoadReport Report;
    TimePoint ReceivedAt;
  };
  std::map<InstanceId, ReceivedLoadReport> LoadReports;
  WorkspaceReports Workspaces{steadyNow()};
  /// The endpoint that last ran a turn of each program; not stored on disk.
  std::unordered_map<std::string, EndpointId> RanAt;
  std::uint64_t RecordsStored = 0;
  std::uint64_t Refused = 0;
  /// The bytes of records that were written since the last compaction began.
  /// Those that it copied itself are not counted: more live records than
  /// CompactAfterBytes would cause the next one at once.
  std::uint64_t BytesToCompact = 0;
  const TimePoint StartedAt = steadyNow();
  /// Members that keep their connection but do not answer pings, and since
  /// when.
  std::map<FolderId, TimePoint> UnresponsiveSince;
  /// The view in which this ledger began to fetch, and the records that record
  /// holders have listed since. A view that changes elsewhere does not make it
  /// begin anew: what is acknowledged meanwhile does not rely on this ledger.
  View ListsSince;
  std::map<FolderId, std::vector<RecordSummary>> Lists;
  /// The holders of which it could not fetch all that it must.
  std::set<FolderId> FailedSources;
  /// The holders that this ledger has no connection to while it fetches, and
  /// since when.
  std::map<FolderId, TimePoint> UnreachableSince;
  /// Whether this ledger had records when it became a member.
  bool HasOlderRecords = false;
  /// The mark of missing records in the view whose members this ledger offered
  /// its records to.
  std::uint64_t OfferedSince = 0;
  /// The mark of missing records in the current view, and since when this
  /// process knows it.
  std::uint64_t KnownIncompleteSince = 0;
  TimePoint IncompleteSeenAt;
  /// Members that hold all records that this one had when it left the view.
  std::set<FolderId> CaughtUpMembers;
  /// The fetches on behalf of retiring members, by the folder of the member:
  /// None once all records are on disk.
  struct CatchUpProgress {
    std::uint64_t ViewNumber = 0;
    LedgerRefusal State = LedgerRefusal::InProgress;
  };
  std::map<FolderId, CatchUpProgress> CatchUps;
  bool Retiring = false;
  bool Stopping = false;
  /// Whether prepareStop() has returned, after which the process may exit.
  bool StopPrepared = false;
  /// The answers that isDispensable() has received.
  struct StopInquiry {
    std::size_t Asked = 0;
    std::size_t Answered = 0;
    /// Members that go on serving until this ledger is back.
    std::set<FolderId> Serving;
    /// Members that have asked this ledger meanwhile, and may stop before it.
    std::set<FolderId> StopFirst;

    std::size_t othersLeft() const;
  };
  std::shared_ptr<StopInquiry> Inquiry;
  bool Stopped = false;

  // LedgerCalls.cpp: handlers of calls from other processes.
  void handle(const std::string &Name, Json Body, LinkServer::Reply Answer);
  /// Returns why a record or chain request with this view number is refused.
  LedgerRefusal checkView(std::uint64_t ViewNumber) const;
  void handleRecord(const RecordRequest &Request,
                    const LinkServer::Reply &Answer);
  EndpointId lastRanAt(const RecordRequest &Request);
  /// Stores \p Report and returns the sum of the recent reports of all other
  /// processes.
  EndpointNews exchangeLoadReports(const EndpointLoadReport &Report);
  /// The loads of all entries of the reporter's data centre, and of the one of
  /// each other data centre that is best off.
  LoadByEntry entryLoadsFor(const EndpointLoadReport &Report,
                            TimePoint Now) const;
  void handleChain(const ChainRequest &Request,
                   const LinkServer::Reply &Answer);
  void handleFetchTurns(const Json &Body, const LinkServer::Reply &Answer);
  void handleFetchLinks(const Json &Body, const LinkServer::Reply &Answer);
  /// Returns the record of \p Turn in its journal encoding.
  Expected<std::string> readFrame(const TurnId &Turn, bool WithText);
  /// Begins to fetch all missing records from \p From and returns how far it
  /// is; a failed fetch is begun again by the next call.
  LedgerRefusal catchUp(const View &Of, const RecordSource &From);
  /// Makes \p Next the current view if it is newer, and writes the current view
  /// to the journal. \p Done is called once that and all earlier writes are on
  /// disk; may be null.
  void adopt(const View &Next, const DiskThread::WriteCallback &Done);
  /// Returns the current view if its number is above \p Number.
  std::optional<View> newerView(std::uint64_t Number) const;

  // LedgerRetention.cpp: what this ledger keeps for how long.
  /// Returns how many other record holders this one must ask to learn of every
  /// acknowledged record; zero if it is none itself.
  std::size_t requiredAnswers(const View &Of) const;
  Task<void> runRetention();
  /// Fetches the links that chains refer to and that this ledger missed.
  Task<void> fetchMissedLinks();
  /// Stores a record without text; returns whether it held anything new.
  bool storeLink(const std::string &Frame);
  /// Drops records after their retention, unless other ledgers keep them for
  /// longer because of turns that this one missed.
  Task<void> expireRecords();

  // LedgerMembership.cpp: joining and leaving the quorum.
  Task<void> manageMembership();
  /// Reads the view from the store and adopts it if it is newer. Returns false
  /// if the store failed.
  Task<bool> readNewestView();
  /// Tries to become a member of the view.
  Task<void> joinView();
  /// Fetches the records of other members, then marks this member as joined.
  Task<void> fetchRecordsAndJoin();
  /// Lets the joined members of a view that may lack records fetch those of
  /// this ledger: one of them may have joined without it.
  Task<void> offerRecords(View To, std::set<FolderId> Unreachable);
  /// Returns whether it is of no use to go on fetching: nobody serves without
  /// this ledger, what it lacks is nowhere to be had but at predecessors that
  /// have long been away, and these cannot serve on their own.
  bool isUseless(const View &Of, TimePoint Now);
  /// Asks all ledgers again before it returns the same.
  Task<bool> isConfirmedUseless(View Of);
  /// Takes the mark of missing records from the view once all of them would
  /// have expired.
  Task<void> endIncompleteness();
  Task<std::set<FolderId>> findUnreachableMembers();
  /// Replaces the view in the store and adopts it. Returns false if the store
  /// failed or held another view.
  Task<bool> replaceView(View Before, View Next, std::string Reason);
  /// Returns the other joined members of \p Of that answer now and are not
  /// about to stop; nothing if the answers are too old to rely on.
  Task<std::optional<std::set<FolderId>>> findAnsweringMembers(View Of);
  /// Asks the joined members of \p Remaining that are \p Answering to fetch the
  /// records of this one.
  Task<void> askMembersToCatchUp(View Remaining, std::set<FolderId> Answering);
  /// Returns whether records can be stored while this ledger is down.
  Task<bool> isDispensable();
  void handlePing(const Json &Body, const LinkServer::Reply &Answer);
  std::shared_ptr<LinkClient> linkTo(const std::string &Address);
  ViewMember self() const;
  /// What this ledger requires of views at the moment.
  ViewRules viewRules() const;
  const std::string &publicAddress() const;

  // LedgerFetch.cpp: records that this ledger gets from others.
  /// Returns the record holders of \p Of but this ledger, nearest first.
  std::vector<RecordHolder> otherHolders(const View &Of) const;
  /// The same with those first that this ledger is connected to.
  std::vector<RecordHolder> connectedFirst(const View &Of) const;
  /// Returns whether the lists that this ledger has are all of holders of \p Of
  /// and include all that may rely on them.
  bool keepsLists(const View &Of) const;
  /// Forgets what it knows of the records of others, before it fetches from
  /// them or once it has.
  void forgetFetch();
  /// Fetches what this ledger must have to join \p Of: it lists the records of
  /// enough holders, and fetches those that too few others keep. Returns false
  /// if it failed or the view changed.
  Task<bool> fetchFromSources(View Of);
  /// Fills Lists with those of enough holders of \p Of.
  Task<bool> listSources(View Of);
  Task<void> listSource(RecordSource Source, View Of,
                        std::shared_ptr<SourceLists> Work);
  /// Lists the records of a ledger, which adopts \p Of before.
  Task<std::optional<std::vector<RecordSummary>>>
  listRecords(RecordSource Source, View Of);
  /// Fetches all records that \p Source has and this one lacks. Returns whether
  /// they are all on disk.
  Task<bool> fetchFromMember(RecordSource Source, View Of);
  /// Fetches each share from the source with the same index, side by side, and
  /// returns those that failed.
  Task<std::set<FolderId>> fetchShares(std::vector<RecordSource> Sources,
                                       std::vector<FetchShare> Shares);
  Task<void> fetchShare(RecordSource Source, FetchShare Share,
                        std::shared_ptr<FetchWork> Work);
  /// Asks which ledger is at the address of \p Source.
  Task<bool> hasFolder(RecordSource Source);
  Task<void> fetchTurns(std::shared_ptr<LinkClient> From,
                        std::vector<TurnId> Turns, bool WithoutTexts,
                        std::shared_ptr<FetchWork> Work);
  /// A worker: fetches turns of \p Work until all are taken or a call fails.
  Task<void> fetchParts(std::shared_ptr<LinkClient> From,
                        std::shared_ptr<FetchWork> Work);
  /// Stores the records of \p Reply, up to the first one that cannot be parsed,
  /// and returns the turns of \p Asked that they do not tell about.
  std::vector<TurnId> storeFetched(FetchTurnsResponse Reply,
                                   const std::vector<TurnId> &Asked);
  /// Adopts \p Of and returns once all that was stored before is on disk, or
  /// false if it cannot be written.
  Task<bool> syncRecords(View Of);

  // LedgerNode.cpp: the journal and periodic maintenance.
  Expected<void> load();
  Expected<TurnRecord> readRecord(const FrameLocation &Location);
  void persist(const TurnRecord &Record, DiskThread::WriteCallback Done);
  /// \p Frame is the journal encoding of \p Record.
  void persistFrame(const TurnRecord &Record, std::string Frame,
                    DiskThread::WriteCallback Done);
  /// The same for a record that compaction copies.
  void writeFrame(const TurnRecord &Record, std::string Frame,
                  DiskThread::WriteCallback Done);
  /// Returns once little is queued for the disk, so that texts that are copied
  /// do not gather in memory.
  Task<void> waitForDisk();
  Task<void> runMaintenance();
  Task<void> compact();
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_LEDGERNODEIMPL_H
