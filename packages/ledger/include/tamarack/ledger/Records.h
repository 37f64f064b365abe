/// The records of a program's log.
///
/// One append-only log per root program holds the records of the root and of
/// its sub-agents; a record's position in the log is its index. The log is the
/// single source of a program's history, order, budget and at-most-once rule.
///
///   Record First{ProgramId("andes:brief-17"), Begun{...}};
///   std::vector<std::uint8_t> Bytes = encodeRecord(First);
///   Expected<Record> Same = decodeRecord(Bytes);
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

/// What ends a program that loops. Zero means no limit.
struct Limits {
  std::uint32_t MaxTurns = 0;
  Duration MaxWallTime{0};

  auto tied() const { return std::tie(MaxTurns, MaxWallTime); }
};

/// The first record of a program. A sub-agent's Budget is ignored: it draws on
/// its root's.
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

/// Written to every copy before anything of an attempt is sent out.
struct Intent {
  CallId Call;
  std::uint64_t Sequence = 0;
  /// Empty when the caller gave none.
  std::string IdempotencyKey;
  std::string Digest;
  /// Counts from 1 within the call.
  std::uint32_t Attempt = 1;
  EndpointId Endpoint;
  Incarnation EndpointIncarnation = 0;
  bool Repeatable = false;
  /// The worst case, held against the budget until the result is known.
  TokenCount Reserved = 0;
  /// The history delta: the text of a JSON array of messages.
  std::string NewMessages;

  auto tied() const {
    return std::tie(Call, Sequence, IdempotencyKey, Digest, Attempt, Endpoint,
                    EndpointIncarnation, Repeatable, Reserved, NewMessages);
  }
};

/// How an attempt came out. NotRun is only written when it is proved.
enum class Outcome { Completed, Failed, Unknown, NotRun };

/// Written to every copy before the last event of an answer reaches the caller.
struct AttemptResult {
  CallId Call;
  std::uint32_t Attempt = 1;
  Outcome How = Outcome::Unknown;
  /// The whole answer as JSON text.
  std::string Answer;
  /// The JSON text of the message that joins the history; empty if none.
  std::string AnswerMessage;
  TokenCount Used = 0;

  auto tied() const {
    return std::tie(Call, Attempt, How, Answer, AnswerMessage, Used);
  }
};

enum class EndReason { Requested, Expired, TurnLimit, TimeLimit, BudgetSpent };

/// The last record of a program, but for the result of a call still running.
struct ProgramEnd {
  EndReason Reason = EndReason::Requested;

  auto tied() const { return std::tie(Reason); }
};

struct Record {
  ProgramId Program;
  std::variant<ProgramStart, Intent, AttemptResult, ProgramEnd> Body;

  auto tied() const { return std::tie(Program, Body); }
};

/// The record as CBOR.
std::vector<std::uint8_t> encodeRecord(const Record &Entry);
/// Refuses bytes that are no record as MalformedRequest.
Expected<Record> decodeRecord(const std::vector<std::uint8_t> &Bytes);

/// An unknown name reads as the first of the list, which claims the least.
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
/// A message that stands in the answer word for word is written as its place
/// there, since it is most of the answer.
void to_json(Json &Value, const AttemptResult &From);
void from_json(const Json &Value, AttemptResult &To);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramEnd, Reason)
void to_json(Json &Value, const Record &From);
void from_json(const Json &Value, Record &To);

std::ostream &operator<<(std::ostream &Out, Outcome How);
std::ostream &operator<<(std::ostream &Out, EndReason Reason);
/// One line for logs and test messages, without the payload.
std::ostream &operator<<(std::ostream &Out, const Record &Entry);

} // namespace tamarack

#endif // TAMARACK_LEDGER_RECORDS_H
