/// What entries and ledgers say to each other about turns and views.
///
/// Each message travels as CBOR on a link (package net). Every call may be
/// repeated: records merge, and views only grow.
#ifndef TAMARACK_TURNS_MESSAGES_H
#define TAMARACK_TURNS_MESSAGES_H

#include "tamarack/turns/TurnStore.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// Names of the calls that a ledger answers.
namespace calls {
/// RecordCall to RecordAnswer: keeps a record durably.
inline constexpr const char *Record = "record";
/// ChainCall to ChainAnswer.
inline constexpr const char *Chain = "chain";
/// View to AdoptAnswer: obey this view or a later one.
inline constexpr const char *Adopt = "adopt";
/// View to NamesAnswer: adopt it, then name all records.
inline constexpr const char *Names = "names";
/// TurnsCall to TurnsAnswer.
inline constexpr const char *Turns = "turns";
/// View to AdoptAnswer: adopt it, and answer once everything that the named
/// members hold was fetched.
inline constexpr const char *Absorb = "absorb";
/// Null to Null.
inline constexpr const char *Ping = "ping";
} // namespace calls

/// Why a ledger did not do as it was asked.
enum class LedgerRefusal {
  None,
  /// The caller's view is older than the ledger's.
  OlderView,
  /// The ledger does not know the caller's view yet.
  UnknownView,
  /// The ledger is not a joined member of the view.
  NotJoined,
  /// Its disk failed.
  Failed,
};

/// How many requests run at each endpoint.
using InFlightByEndpoint = std::map<EndpointId, std::uint32_t>;

/// What one process keeps running. It travels with records to the ledgers of
/// its region, so that entries learn of each other's load without a message
/// more.
struct EndpointLoadReport {
  InstanceId From;
  InFlightByEndpoint Running;

  friend bool operator==(const EndpointLoadReport &,
                         const EndpointLoadReport &) = default;
};

struct RecordCall {
  std::uint64_t ViewNumber = 0;
  TurnRecord Record;
  /// Where the turn ran, told with its settlement.
  EndpointId RanAt;
  /// Present now and then; the answer then has the others' notes.
  std::optional<EndpointLoadReport> Note;
};

struct RecordAnswer {
  LedgerRefusal Refusal = LedgerRefusal::None;
  /// All charges of the program that this ledger knows of, where the record is
  /// a reservation; settlements need no account.
  Account Known;
  /// Present with OlderView.
  std::optional<View> Newer;
  /// Where a turn of the program last ran; empty where that is not known.
  EndpointId LastRanAt;
  /// What all other processes that told it run, where the call had a note.
  std::optional<InFlightByEndpoint> RunningElsewhere;
};

struct ChainCall {
  std::uint64_t ViewNumber = 0;
  TurnId Turn;
};

struct ChainAnswer {
  LedgerRefusal Refusal = LedgerRefusal::None;
  /// Oldest first, ending with the turn, as far as the texts are held there;
  /// empty where the turn's own is not.
  std::vector<StoredTurn> Turns;
  std::optional<View> Newer;
};

struct AdoptAnswer {
  LedgerRefusal Refusal = LedgerRefusal::None;
  std::optional<View> Newer;
};

struct NamesAnswer {
  LedgerRefusal Refusal = LedgerRefusal::None;
  std::vector<RecordName> Names;
  std::optional<View> Newer;
};

struct TurnsAnswer {
  /// Each is a TurnRecord as a journal holds it, so that it goes from one disk
  /// to the other without being encoded again.
  std::vector<std::string> Frames;
};

void to_json(Json &Value, LedgerRefusal Refusal);
void from_json(const Json &Value, LedgerRefusal &Refusal);
void to_json(Json &Value, const Account &From);
void from_json(const Json &Value, Account &To);
void to_json(Json &Value, const EndpointLoadReport &From);
void from_json(const Json &Value, EndpointLoadReport &To);
void to_json(Json &Value, const RecordCall &From);
void from_json(const Json &Value, RecordCall &To);
void to_json(Json &Value, const RecordAnswer &From);
void from_json(const Json &Value, RecordAnswer &To);
void to_json(Json &Value, const ChainCall &From);
void from_json(const Json &Value, ChainCall &To);
void to_json(Json &Value, const ChainAnswer &From);
void from_json(const Json &Value, ChainAnswer &To);
void to_json(Json &Value, const AdoptAnswer &From);
void from_json(const Json &Value, AdoptAnswer &To);
void to_json(Json &Value, const NamesAnswer &From);
void from_json(const Json &Value, NamesAnswer &To);
void to_json(Json &Value, const TurnsAnswer &From);
void from_json(const Json &Value, TurnsAnswer &To);

/// Short, for logs and counters.
const char *nameOf(LedgerRefusal Refusal);

} // namespace tamarack

#endif // TAMARACK_TURNS_MESSAGES_H
