/// The client with which an entry stores records and reads chains at the
/// quorum of ledgers.
///
///   QuorumClient Ledgers(Io, Options);
///   Ledgers.setView(View);
///   Expected<QuorumProgramState> State =
///       co_await Ledgers.storeRecord({Record, RanAt}, Deadline);
///
/// A record is stored once a majority of the view's members, and at least
/// Options.DurableCopies of them, have it on disk. Its text must be on at least
/// Options.DurableCopies of them. Members beyond the nearest ones that make a
/// quorum get a record with a link in place of the text, since texts account
/// for most of the traffic between data centres; texts are immutable and need
/// no majority. All calls are idempotent and are retried until they succeed or
/// their deadline passes.
#ifndef TAMARACK_QUORUM_QUORUMCLIENT_H
#define TAMARACK_QUORUM_QUORUMCLIENT_H

#include "tamarack/net/Link.h"
#include "tamarack/turns/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace tamarack {

/// A turn and its predecessors, oldest first.
using TurnChain = std::vector<std::shared_ptr<const StoredTurn>>;

/// A record and the endpoint that ran its turn, if known.
struct TurnUpdate {
  TurnRecord Record;
  EndpointId RanAt;
  /// As RecordRequest::ResumedTurn.
  std::optional<TurnId> ResumedTurn = {};
};

/// The state of a program as known to the members that answered.
struct QuorumProgramState {
  /// The charges of its turns.
  Account Charges;
  /// The endpoint that last ran one of its turns; a hint that may be outdated.
  EndpointId LastRanAt;
  /// Where the resumed stream began; empty if no member knows.
  std::optional<StreamOrigin> ResumedOrigin = {};
  /// The versions at which streams began that may still be resumed; complete
  /// if the update resumed a stream, else empty.
  std::set<ServiceVersion> OriginVersions = {};
  /// The time since any of the members last confirmed its list of endpoints;
  /// set if the update resumed a stream and a member knows.
  std::optional<Duration> EndpointListAge = {};
};

/// How long an attempt to store a record goes on.
enum class StoreEffort {
  UntilDeadline,
  /// Fails early once the process is cut off from the ledgers.
  UntilCutOff
};

struct QuorumOptions {
  /// The number of disks that a record must be on: the tolerated losses plus
  /// one.
  std::size_t DurableCopies = 2;
  /// Smaller is nearer; requests go to the nearest members first. At most 1
  /// means the same region.
  std::function<int(const DataCentreId &)> Distance;
  LinkOptions Link;
  /// The sum of the texts of turns that are stored at once. A longer text is
  /// stored alone. Encoding and sending a text takes some times its length.
  std::size_t MaxStoringBytes = 8U << 20U;
  /// chain() fails for chains with longer texts.
  std::size_t MaxChainBytes = 64U << 20U;
  /// Creates the load report of this process; null if it sends none.
  std::function<EndpointLoadReport()> MakeLoadReport;
  /// Called with the sum of the load reports of all other processes of the
  /// region.
  std::function<void(const EndpointNews &)> OnNewsElsewhere;
};

class QuorumClient {
public:
  QuorumClient(Loop &Io, QuorumOptions Options);
  ~QuorumClient();
  QuorumClient(const QuorumClient &) = delete;
  QuorumClient &operator=(const QuorumClient &) = delete;

  /// Ignores views that are not newer.
  void setView(const View &Next);
  const View &view() const;
  /// Whether the view has at least Options.DurableCopies members.
  bool hasView() const;
  /// Whether enough joined members for a quorum have answered and still do.
  bool isReachable() const;
  /// Whether a quorum could be reached before and has been out of reach for
  /// some seconds, so that requests are better sent to another entry.
  bool isCutOff() const;

  /// Stores the record and returns the state of its program. Charges are
  /// included only if the record is a reservation. NotEnoughCopies if the
  /// record was not stored before \p Deadline, or earlier depending on
  /// \p Effort; it may still be on some members.
  Task<Expected<QuorumProgramState>>
  storeRecord(TurnUpdate Update, TimePoint Deadline,
              StoreEffort Effort = StoreEffort::UntilDeadline);
  /// Calls storeRecord() without waiting for the result; failures are logged.
  void storeRecordInBackground(TurnUpdate Update);
  /// The number of records that storeRecordInBackground() is still storing.
  std::size_t pendingRecords() const;
  /// The sum of the long texts that are being stored.
  std::size_t storingBytes() const;

  /// Returns \p Turn and all its predecessors, oldest first. UnknownProgram if
  /// every joined member answers that it does not have \p Turn; NotEnoughCopies
  /// if the chain was not found but some member may have it, which is reported
  /// before \p Deadline if the process is cut off from the ledgers.
  Task<Expected<TurnChain>> chain(TurnId Turn, TimePoint Deadline);

  /// Calls \p Name of the member at \p Address. LinkLost if it is not a member.
  Task<Expected<Json>> call(std::string Address, std::string Name, Json Body,
                            TimePoint Deadline);

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_QUORUMCLIENT_H
