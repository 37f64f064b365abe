/// The messages that entries and ledgers exchange about turns and views.
///
/// Messages are encoded as CBOR and sent over links (package net). All calls
/// are idempotent: records merge, and view numbers only increase.
#ifndef TAMARACK_TURNS_MESSAGES_H
#define TAMARACK_TURNS_MESSAGES_H

#include "tamarack/turns/CrashRecords.h"
#include "tamarack/turns/TurnStore.h"
#include "tamarack/turns/WorkspaceReports.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// Names of the calls that a ledger answers.
namespace calls {
/// RecordRequest to RecordResponse: stores a record durably.
inline constexpr const char *Record = "record";
/// ChainRequest to ChainResponse: reads the stored part of a chain.
inline constexpr const char *Chain = "chain";
/// View to AdoptResponse: adopts this view unless a newer one is known.
inline constexpr const char *Adopt = "adopt";
/// View to ListRecordsResponse: adopts the view, then lists all records.
inline constexpr const char *ListRecords = "names";
/// FetchTurnsRequest to FetchTurnsResponse: reads the records of these turns.
inline constexpr const char *FetchTurns = "turns";
/// {"view": View, "from": ADDRESS, "folder": FolderId} to AdoptResponse: adopts
/// the view and fetches all missing records from the ledger with that folder at
/// the address. Answers at once: InProgress until the records are on disk, so
/// the call is repeated.
inline constexpr const char *CatchUp = "absorb";
/// Array of TurnId to FetchTurnsResponse: reads the records of these turns and
/// of some turns before each of them, without texts.
inline constexpr const char *FetchLinks = "links";
/// RecordNames to LifetimesResponse: how long the ledger keeps these records.
inline constexpr const char *Lifetimes = "lifetimes";
/// Null, or the FolderId of a ledger that is about to stop, to PingResponse.
inline constexpr const char *Ping = "ping";
/// CrashRequest to CrashNews: exchanges the requests under which endpoints
/// crashed.
inline constexpr const char *Crashes = "crashes";
/// WorkspaceReport to WorkspaceNews: exchanges the use of limited workspaces.
inline constexpr const char *Workspaces = "workspaces";
} // namespace calls

/// Why a ledger refused a request.
enum class LedgerRefusal {
  None,
  /// The caller's view is older than the ledger's.
  OlderView,
  /// The caller's view is newer than the ledger's.
  UnknownView,
  /// The ledger is not a joined member of the view.
  NotJoined,
  /// The ledger could not read or write its disk, or fetch records.
  Failed,
  /// The ledger has begun what was asked for and has not finished it.
  InProgress,
};

/// The number of requests in flight at each endpoint.
using InFlightByEndpoint = std::map<EndpointId, std::uint32_t>;

/// How many recent requests at an endpoint failed and succeeded.
struct OutcomeCounts {
  std::uint32_t Failures = 0;
  std::uint32_t Successes = 0;

  friend OutcomeCounts operator+(const OutcomeCounts &Left,
                                 const OutcomeCounts &Right) {
    return {Left.Failures + Right.Failures, Left.Successes + Right.Successes};
  }
  friend bool operator==(const OutcomeCounts &,
                         const OutcomeCounts &) = default;
};

/// The outcomes at endpoints with recent failures.
using OutcomesByEndpoint = std::map<EndpointId, OutcomeCounts>;

/// What entries sent lately to an endpoint that limits its rate.
struct EndpointRate {
  /// The requests per second that the endpoint takes from all entries, as it
  /// states in its responses; empty if it told the reporters no limit.
  std::optional<double> Limit;
  /// The requests to the endpoint.
  std::uint32_t Sent = 0;
  /// The requests to all endpoints of its service.
  std::uint32_t Demand = 0;

  friend EndpointRate operator+(const EndpointRate &Left,
                                const EndpointRate &Right) {
    return {std::max(Left.Limit, Right.Limit), Left.Sent + Right.Sent,
            Left.Demand + Right.Demand};
  }
  friend bool operator==(const EndpointRate &, const EndpointRate &) = default;
};

using RatesByEndpoint = std::map<EndpointId, EndpointRate>;

/// How well one entry can take further requests.
struct EntryLoad {
  /// How late its event loop runs what is due.
  Duration Behind{0};
  DataCentreId DataCentre;
  /// Whether it reaches enough ledgers to serve turns.
  bool ReachesLedgers = true;
  /// Whether it counts as ready, so that it gets new connections.
  bool IsReady = true;

  friend bool operator==(const EntryLoad &, const EntryLoad &) = default;
};

using LoadByEntry = std::map<InstanceId, EntryLoad>;

/// How long the news of other processes are valid. Busy entries report every
/// 40 ms.
inline constexpr Duration EndpointNewsLifetime = std::chrono::seconds(1);

/// What the processes of a region tell each other about endpoints.
struct EndpointNews {
  InFlightByEndpoint InFlight;
  OutcomesByEndpoint Outcomes;
  RatesByEndpoint Rates;
  /// The requests in flight under which endpoints crashed before.
  InFlightByEndpoint Suspects = {};
  /// The loads of the entries themselves.
  LoadByEntry Entries = {};

  friend bool operator==(const EndpointNews &, const EndpointNews &) = default;
};

/// The requests that one process has in flight and their outcomes. Reports are
/// attached to the records sent to ledgers of the same region, so entries learn
/// each other's load without extra messages.
struct EndpointLoadReport {
  InstanceId Reporter;
  EndpointNews News;

  friend bool operator==(const EndpointLoadReport &,
                         const EndpointLoadReport &) = default;
};

struct RecordRequest {
  std::uint64_t ViewNumber = 0;
  TurnRecord Record;
  /// The endpoint that ran the turn; sent with its settlement, else empty.
  EndpointId RanAt;
  /// Sent from time to time; the response then carries NewsElsewhere.
  std::optional<EndpointLoadReport> LoadReport;
  /// Set if the turn resumes a stream: the turn of the same program that began
  /// it, or an empty id if the caller names none. The response then carries
  /// ResumedOrigin, OriginVersions and EndpointListAge.
  std::optional<TurnId> ResumedTurn = {};
};

struct RecordResponse {
  LedgerRefusal Refusal = LedgerRefusal::None;
  /// All charges of the program that this ledger holds if the record is a
  /// reservation; empty for settlements, which need no account.
  Account ProgramAccount;
  /// Set with OlderView.
  std::optional<View> NewerView;
  /// The endpoint that last ran a turn of the program; empty if unknown.
  EndpointId LastRanAt;
  /// The sum over all other processes with a recent load report; set if the
  /// request carried a load report.
  std::optional<EndpointNews> NewsElsewhere;
  /// Where the resumed stream began; empty if the ledger does not know.
  std::optional<StreamOrigin> ResumedOrigin = {};
  /// The versions at which streams began that may still be resumed.
  std::vector<ServiceVersion> OriginVersions = {};
  /// The time since the ledger's list of endpoints was confirmed; set if the
  /// request resumes a stream and the list ever was.
  std::optional<Duration> EndpointListAge = {};
};

struct ChainRequest {
  std::uint64_t ViewNumber = 0;
  TurnId Turn;
};

struct ChainResponse {
  LedgerRefusal Refusal = LedgerRefusal::None;
  /// The requested turn and its predecessors, oldest first, back to the first
  /// one whose text this ledger does not hold. Empty if it does not hold the
  /// text of the requested turn.
  std::vector<StoredTurn> Turns;
  std::optional<View> NewerView;
};

struct AdoptResponse {
  LedgerRefusal Refusal = LedgerRefusal::None;
  std::optional<View> NewerView;
};

/// Tells which ledger answers at an address. A member whose disk was lost is
/// followed there by a ledger with another folder and without its records.
struct PingResponse {
  FolderId Folder;
  std::uint64_t ViewNumber = 0;
  /// Whether the ledger is about to stop.
  bool Stopping = false;
};

struct ListRecordsResponse {
  LedgerRefusal Refusal = LedgerRefusal::None;
  /// The folder of the ledger that answers.
  FolderId Folder;
  std::vector<RecordSummary> Records;
  std::optional<View> NewerView;
};

/// An array of TurnId, which ends with an empty one if InParts is set and with
/// two if WithoutTexts is set too: earlier releases skip them as turns that
/// they do not have, and reply as a whole and with texts.
struct FetchTurnsRequest {
  std::vector<TurnId> Turns;
  /// Whether the caller asks for the rest of a reply that is not complete.
  /// Records come in the order of Turns, those that are unknown are left out,
  /// and a reply is empty only if all are unknown.
  bool InParts = false;
  /// Whether the records are to come without their texts. Only with InParts.
  bool WithoutTexts = false;
};

struct FetchTurnsResponse {
  /// TurnRecords in their journal encoding, so records are copied from disk to
  /// disk without being encoded again.
  std::vector<std::string> Frames;
};

/// Tells how long the named records are kept, by the ledger with that folder.
struct LifetimesResponse {
  FolderId Folder;
  std::uint64_t ViewNumber = 0;
  RecordLifetimes Lifetimes;
};

void to_json(Json &Value, LedgerRefusal Refusal);
void from_json(const Json &Value, LedgerRefusal &Refusal);
void to_json(Json &Value, const Account &From);
void from_json(const Json &Value, Account &To);
void to_json(Json &Value, const EndpointNews &From);
void from_json(const Json &Value, EndpointNews &To);
void to_json(Json &Value, const EndpointLoadReport &From);
void from_json(const Json &Value, EndpointLoadReport &To);
void to_json(Json &Value, const RecordRequest &From);
void from_json(const Json &Value, RecordRequest &To);
void to_json(Json &Value, const RecordResponse &From);
void from_json(const Json &Value, RecordResponse &To);
void to_json(Json &Value, const ChainRequest &From);
void from_json(const Json &Value, ChainRequest &To);
void to_json(Json &Value, const ChainResponse &From);
void from_json(const Json &Value, ChainResponse &To);
void to_json(Json &Value, const AdoptResponse &From);
void from_json(const Json &Value, AdoptResponse &To);
void to_json(Json &Value, const PingResponse &From);
void from_json(const Json &Value, PingResponse &To);
void to_json(Json &Value, const ListRecordsResponse &From);
void from_json(const Json &Value, ListRecordsResponse &To);
void to_json(Json &Value, const FetchTurnsRequest &From);
void from_json(const Json &Value, FetchTurnsRequest &To);
void to_json(Json &Value, const FetchTurnsResponse &From);
void from_json(const Json &Value, FetchTurnsResponse &To);
void to_json(Json &Value, const LifetimesResponse &From);
void from_json(const Json &Value, LifetimesResponse &To);

/// Returns a short name for logs and counters.
const char *nameOf(LedgerRefusal Refusal);

} // namespace tamarack

#endif // TAMARACK_TURNS_MESSAGES_H
