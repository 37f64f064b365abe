/// How one process takes part in changing and spreading the operators'
/// document: a state machine without I/O.
///
/// Each function takes the state (move it in to spare the copy) and an event,
/// and returns the new state with the actions that the caller carries out; the
/// results come back as events:
///
///   RevisionStep Step = startRevisions(Self, FromFolder);  // {ReadService}
///   Step = onServiceRead(Step.State, Document, Now);       // {PutInForce}
///   Step = onPeerRevision(Step.State, {Peer, 7, true, Distance::Near}, Now);
///                                                          // {PullFrom}
///
/// What callers may rely on:
///  - The document in force never goes back to a lower revision.
///  - Accepted is answered only when the compare-and-swap is known to have
///    won. A conflict is answered only when it is known to have lost; where
///    neither can be learned, the answer is OutcomeUnknown.
///  - Only documents that the platform's service has accepted come into force.
#ifndef TAMARACK_CONFIG_REVISIONS_H
#define TAMARACK_CONFIG_REVISIONS_H

#include "tamarack/config/OperatorDocument.h"

#include <variant>

namespace tamarack {

/// Whether a peer stands in the own region or behind the slow link.
enum class Distance { Near, Far };

struct RevisionLimits {
  /// After this long without an answer a pull is tried at another peer.
  Duration PullLimit = std::chrono::seconds(1);
  /// How long a process waits for a near peer before it pulls over the slow
  /// link, unless it is one of the region's watchers.
  Duration FarPullDelay = std::chrono::seconds(2);
  /// How often an uncertain change is looked into before giving up.
  std::uint32_t MaxInquiries = 4;
};

/// A change on its way to the platform's service.
struct ProposedChange {
  std::string RequestId;
  OperatorDocument Document;
  /// Set once the answer of the compare-and-swap is lost.
  bool IsUncertain = false;
  std::uint32_t Inquiries = 0;

  auto tied() const {
    return std::tie(RequestId, Document, IsUncertain, Inquiries);
  }
};

struct PullInFlight {
  InstanceId From;
  TimePoint Since;

  auto tied() const { return std::tie(From, Since); }
};

struct RevisionState {
  InstanceId Self;
  RevisionLimits Limits;
  /// Whether this process watches the service for its region. The caller sets
  /// it by watchers() whenever the region's live processes change.
  bool IsWatcher = false;
  /// The document in force.
  OperatorDocument Held;
  /// Whether the service, or a peer that had heard it, has been heard.
  bool IsConfirmed = false;
  std::optional<ProposedChange> Proposed;
  std::optional<PullInFlight> Pulling;
  /// Since when a far peer is known to have a higher revision.
  std::optional<TimePoint> FarNewsSince;

  auto tied() const {
    return std::tie(Self, IsWatcher, Held, IsConfirmed, Proposed, Pulling,
                    FarNewsSince);
  }
};

/// Read the document from the service, then onServiceRead or
/// onServiceReadFailed. Actions of one step that ask twice may be merged.
struct ReadService {};

/// Replace the document in the service if its revision is Expected, then
/// onCasWon, onCasLost, onCasAnswerLost or onCasNotSent with Next's token.
struct CompareAndSwap {
  Revision Expected = 0;
  OperatorDocument Next;
};

/// Ask the peer for its document, then onOffered.
struct PullFrom {
  InstanceId Peer;
};

/// Apply the document, keep it in the data folder where there is one, and
/// name its revision in heartbeats from now on.
struct PutInForce {
  OperatorDocument Document;
};

/// The final answer to the operator's request: the accepted revision or why
/// there is none.
struct AnswerOperator {
  std::string RequestId;
  Expected<Revision> Answer;
};

using RevisionAction = std::variant<ReadService, CompareAndSwap, PullFrom,
                                    PutInForce, AnswerOperator>;

struct RevisionStep {
  RevisionState State;
  std::vector<RevisionAction> Actions;
};

/// What a heartbeat says.
struct PeerRevision {
  InstanceId Peer;
  Revision Number = 0;
  bool IsConfirmed = false;
  Distance Away = Distance::Near;
};

/// What an operator asks for; Made.Number of Content is ignored.
struct ChangeRequest {
  std::string RequestId;
  OperatorDocument Content;
  Revision Expected = 0;
  /// The author, a comment, and a token that no other change ever has.
  RevisionNote Made;
};

RevisionStep startRevisions(const InstanceId &Self,
                            const std::optional<OperatorDocument> &FromFolder,
                            const RevisionLimits &Limits = {});

/// A peer's document. \p IsConfirmed is the peer's.
RevisionStep onOffered(RevisionState State, const OperatorDocument &Document,
                       bool IsConfirmed);

RevisionStep onPeerRevision(RevisionState State, const PeerRevision &News,
                            TimePoint Now);

RevisionStep onChangeAsked(RevisionState State, const ChangeRequest &Request);

RevisionStep onCasWon(RevisionState State, const std::string &Token);
RevisionStep onCasLost(RevisionState State, const std::string &Token);
RevisionStep onCasAnswerLost(RevisionState State, const std::string &Token);
/// The compare-and-swap was surely never sent.
RevisionStep onCasNotSent(RevisionState State, const std::string &Token);

/// The service's document, by a read or a watch; nothing where it has none.
RevisionStep onServiceRead(RevisionState State,
                           const std::optional<OperatorDocument> &Current);
RevisionStep onServiceReadFailed(RevisionState State);

/// Whether the process knows enough to serve: the service or a peer that had
/// heard it has been heard since the start.
bool mayServe(const RevisionState &State);

/// How many processes of a region watch the service.
constexpr std::size_t WatchersPerRegion = 3;

/// Which of the region's \p Live processes watch, the same everywhere.
std::vector<InstanceId> watchers(std::vector<InstanceId> Live,
                                 std::size_t Count = WatchersPerRegion);

/// Writes \p Document into \p Folder by an atomic rename, synced.
Expected<void> saveDocument(const std::string &Folder,
                            const OperatorDocument &Document);

/// The document saved in \p Folder; nothing where none was.
Expected<std::optional<OperatorDocument>>
loadDocument(const std::string &Folder);

} // namespace tamarack

#endif // TAMARACK_CONFIG_REVISIONS_H
