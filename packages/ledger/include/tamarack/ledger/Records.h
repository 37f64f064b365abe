/// The records of a program's log.
///
/// Each root program has one append-only log for itself and its sub-agents. A
/// record's index is its position in the log, from 0. The history, call order,
/// budget and at-most-once guarantee of a program derive from this log alone.
///
///   Record First{ProgramId("andes:brief-17"), ProgramStart{...}};
///   std::vector<std::uint8_t> Bytes = encodeRecord(First);
///   Expected<Record> Decoded = decodeRecord(Bytes);
#ifndef TAMARACK_LEDGER_RECORDS_H
#define TAMARACK_LEDGER_RECORDS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace tamarack {

/// Limits that end a program stuck in a loop. Zero means no limit.
struct Limits {
  std::uint32_t MaxTurns = 0;
  Duration MaxWallTime{0};

  auto tied() const { return std::tie(MaxTurns, MaxWallTime); }
};

/// The first record of a program. The Budget of a sub-agent is ignored, since
/// it draws on the budget of its root.
struct ProgramStart {
  CustomerId Customer;
  WorkspaceId Workspace;
  ModelId Model;
  std::string Parent;
  TokenCount Budget = 0;
  Limits Bounds;
  /// Calendar time, in milliseconds since the Unix epoch.
  std::int64_t StartedMs = 0;

  auto tied() const {
    return std::tie(Customer, Workspace, Model, Parent, Budget, Bounds,
                    StartedMs);
  }
};

/// Announces an attempt of a call. It is written to every copy before the
/// attempt is sent to its endpoint.
struct Intent {
  CallId Call;
  std::uint64_t Sequence = 0;
  /// Empty when the caller gave none.
  std::string IdempotencyKey;
  /// A hash of the request; a repeated request must have the same one.
  std::string Digest;
  /// The number of the attempt within the call, from 1.
  std::uint32_t Attempt = 1;
  EndpointId Endpoint;
  Incarnation EndpointIncarnation = 0;
  bool Repeatable = false;
  /// Tokens reserved from the budget until the result is known: the most that
  /// the attempt may use.
  TokenCount Reserved = 0;
  /// The messages that the call adds to the history, as the text of a JSON
  /// array.
  std::string NewMessages;

  auto tied() const {
    return std::tie(Call, Sequence, IdempotencyKey, Digest, Attempt, Endpoint,
                    EndpointIncarnation, Repeatable, Reserved, NewMessages);
  }
};

/// The outcome of an attempt. NotRun is recorded only when it is proved.
enum class Outcome { Completed, Failed, Unknown, NotRun };

/// The result of an attempt. It is written to every copy before the last event
/// of the answer is sent to the caller.
struct AttemptResult {
  CallId Call;
  std::uint32_t Attempt = 1;
  Outcome How = Outcome::Unknown;
  /// The whole answer as JSON text.
  std::string Answer;
  /// The JSON text of the message that is added to the history; empty if none.
  std::string AnswerMessage;
  /// Tokens that the attempt used.
  TokenCount Used = 0;

  auto tied() const {
    return std::tie(Call, Attempt, How, Answer, AnswerMessage, Used);
  }
};

enum class EndReason { Requested, Expired, TurnLimit, TimeLimit, BudgetSpent };

/// The end of a program. Only the result of a call that is still running may
/// follow it.
struct ProgramEnd {
  EndReason Reason = EndReason::Requested;

  auto tied() const { return std::tie(Reason); }
};

/// One entry of a log.
struct Record {
  ProgramId Program;
  std::variant<ProgramStart, Intent, AttemptResult, ProgramEnd> Body;

  auto tied() const { return std::tie(Program, Body); }
};

/// Encodes the record as CBOR.
std::vector<std::uint8_t> encodeRecord(const Record &Entry);
/// MalformedRequest when the bytes are not an encoded record.
Expected<Record> decodeRecord(const std::vector<std::uint8_t> &Bytes);

/// An unrecognized name is read as the first value of the list: Unknown, which
/// makes no claim about the attempt.
NLOHMANN_JSON_SERIALIZE_ENUM(Outcome, {{Outcome::Unknown, "Unknown"},
                                       {Outcome::Completed, "Completed"},
                                       {Outcome::Failed, "Failed"},
                                       {Outcome::NotRun, "NotRun"}})
NLOHMANN_JSON_SERIALIZE_ENUM(EndReason,
                             {{EndReason::Requested, "Requested"},
                              {EndReason::Expired, "Expired"},
                              {EndReason::TurnLimit, "TurnLimit"},
                              {EndReason::TimeLimit, "TimeLimit"},
                              {EndReason::BudgetSpent, "BudgetSpent"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Limits, MaxTurns, MaxWallTime)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramStart, Customer, Workspace, Model,
                                   Parent, Budget, Bounds, StartedMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Intent, Call, Sequence, IdempotencyKey,
                                   Digest, Attempt, Endpoint,
                                   EndpointIncarnation, Repeatable, Reserved,
                                   NewMessages)
/// A message that occurs verbatim in the answer is written as its offset and
/// length there, because it makes up most of the answer.
void to_json(Json &Value, const AttemptResult &From);
void from_json(const Json &Value, AttemptResult &To);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramEnd, Reason)
void to_json(Json &Value, const Record &From);
void from_json(const Json &Value, Record &To);

std::ostream &operator<<(std::ostream &Out, Outcome How);
std::ostream &operator<<(std::ostream &Out, EndReason Reason);
/// Prints one line for logs and test messages, without the payload.
std::ostream &operator<<(std::ostream &Out, const Record &Entry);

} // namespace tamarack

#endif // TAMARACK_LEDGER_RECORDS_H
