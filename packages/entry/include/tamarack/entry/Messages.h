/// The messages between the processes of the system, as sent over links.
///
/// Entries send SubmitCallRequest to the owner of a program. Owners send
/// SealRequest, AppendRequest, InstallRequest and ReadLogsRequest to instances
/// with a data folder, and ExecuteRequest, AttemptStatusRequest and
/// ReleaseRequest to the process beside an endpoint. Fields named Body, Answer
/// and Chunk hold JSON text; durations are sent as whole microseconds.
#ifndef TAMARACK_ENTRY_MESSAGES_H
#define TAMARACK_ENTRY_MESSAGES_H

#include "tamarack/gate/Admission.h"
#include "tamarack/gate/Attempts.h"
#include "tamarack/ledger/Takeover.h"
#include "tamarack/members/Membership.h"
#include "tamarack/wire/Link.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

enum class CallKind { Chat, Service };

NLOHMANN_JSON_SERIALIZE_ENUM(CallKind, {{CallKind::Chat, "chat"},
                                        {CallKind::Service, "service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(CallClass, {{CallClass::Normal, "normal"},
                                         {CallClass::High, "high"},
                                         {CallClass::Low, "low"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptId, Program, Call, Attempt)

/// One event of a streamed answer, as sent by the endpoint.
struct CallPart {
  std::string Chunk;

  auto tied() const { return std::tie(Chunk); }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallPart, Chunk)
};

/// The tokens that a call used.
struct TokenUsage {
  TokenCount Prompt = 0;
  /// Prompt tokens that the endpoint had in its cache.
  TokenCount Cached = 0;
  TokenCount Completion = 0;

  auto tied() const { return std::tie(Prompt, Cached, Completion); }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(TokenUsage, Prompt, Cached, Completion)
};

/// The answer to a call.
struct CallReply {
  /// The HTTP status of the endpoint's answer.
  int Status = 200;
  std::string Answer;
  ProgramId Program;
  std::uint64_t Sequence = 0;
  EndpointId ServedBy;
  TokenUsage Use;
  /// Whether the answer is a repetition from the log.
  bool Stored = false;

  auto tied() const {
    return std::tie(Status, Answer, Program, Sequence, ServedBy, Use, Stored);
  }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallReply, Status, Answer, Program, Sequence,
                                 ServedBy, Use, Stored)
};

/// A call on its way to the owner of its program.
struct SubmitCallRequest {
  static constexpr const char *Name = "call";
  using Part = CallPart;
  using Reply = CallReply;

  CallKind Kind = CallKind::Chat;
  CustomerId Customer;
  WorkspaceId Workspace;
  ProgramId Program;
  std::optional<std::uint64_t> Sequence;
  std::string IdempotencyKey;
  /// Whether the first entry generated the key, so that no earlier request can
  /// have carried it.
  bool KeyIsFresh = false;
  /// The name of the model or service.
  std::string Target;
  /// The path below the service; empty for models.
  std::string Path;
  std::string Body;
  bool MayBegin = false;
  bool Repeatable = true;
  CallClass Class = CallClass::Normal;
  /// The time until the deadline of the caller.
  Duration Remaining{0};
  /// The budget of the program if the call starts it.
  TokenCount Budget = 0;
  /// The limits of the program if the call starts it.
  Limits Bounds;
  /// The number of entries that the request has passed. It is bounded, so that
  /// a request cannot loop.
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(SubmitCallRequest, Kind, Customer, Workspace,
                                 Program, Sequence, IdempotencyKey, KeyIsFresh,
                                 Target, Path, Body, MayBegin, Repeatable,
                                 Class, Remaining, Budget, Bounds, Hops)
};

/// The state of a program.
struct ProgramReport {
  ProgramId Program;
  TokenCount Budget = 0;
  TokenCount Reserved = 0;
  TokenCount Settled = 0;
  std::uint32_t Turns = 0;
  std::uint64_t NextSequence = 1;
  /// The name of the EndReason; empty while the program is active.
  std::string Ended;
  std::vector<std::string> History;
  std::vector<ProgramId> SubAgents;
  /// The endpoint of the last call.
  EndpointId LastEndpoint;
  /// The time from the start to the end of the program. Set only if this
  /// request ended the program.
  std::optional<Duration> Took;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramReport, Program, Budget, Reserved,
                                 Settled, Turns, NextSequence, Ended, History,
                                 SubAgents, LastEndpoint, Took)
};

/// Requests the state of a program from its owner and, if End is set, ends the
/// program.
struct ProgramRequest {
  static constexpr const char *Name = "program";
  using Reply = ProgramReport;

  ProgramId Program;
  CustomerId Customer;
  bool End = false;
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramRequest, Program, Customer, End, Hops)
};

/// Seals a copy at epoch At.
struct SealRequest {
  static constexpr const char *Name = "seal";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  Epoch At = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(SealRequest, Folder, Shard, At)
};

/// Appends records to the logs of a copy.
struct AppendRequest {
  static constexpr const char *Name = "append";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  std::vector<Append> Entries;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AppendRequest, Folder, Shard, Entries)
};

/// Replaces the end of a log of a copy.
struct InstallRequest {
  static constexpr const char *Name = "install";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  Install Change;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstallRequest, Folder, Shard, Change)
};

/// The log of one root program.
struct RootLog {
  ProgramId Root;
  std::vector<Record> Records;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(RootLog, Root, Records)
};

/// All logs of a copy.
struct ShardLogs {
  std::vector<RootLog> Roots;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ShardLogs, Roots)
};

/// Reads all logs of a copy.
struct ReadLogsRequest {
  static constexpr const char *Name = "read";
  using Reply = ShardLogs;

  FolderId Folder;
  ShardId Shard = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReadLogsRequest, Folder, Shard)
};

/// The queue state that the process beside an endpoint sends with every reply
/// and heartbeat.
struct EndpointLoad {
  std::uint32_t Running = 0;
  std::uint32_t Limit = 0;
  std::uint32_t Waiting = 0;
  Duration ExpectedWait{0};
  bool Draining = false;
  /// The incarnation that requests must name as their target; see
  /// gate/Attempts.h.
  Incarnation Target = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(EndpointLoad, Running, Limit, Waiting,
                                 ExpectedWait, Draining, Target)
};

/// The answer of an endpoint to an attempt.
struct ExecuteReply {
  /// The HTTP status of the answer.
  int Status = 200;
  std::string Answer;
  /// The message that is added to the history; empty for services.
  std::string AnswerMessage;
  TokenUsage Use;
  EndpointLoad Load;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteReply, Status, Answer, AnswerMessage,
                                 Use, Load)
};

/// One attempt of a call, from the owner to the process beside the endpoint.
struct ExecuteRequest {
  static constexpr const char *Name = "execute";
  using Part = CallPart;
  using Reply = ExecuteReply;

  AttemptId Id;
  /// The entry that owns the program.
  InstanceId Owner;
  /// The incarnation named in the intent. No other process may execute the
  /// attempt.
  Incarnation Target = 0;
  CallKind Kind = CallKind::Chat;
  std::string Path;
  std::string Body;
  std::string IdempotencyKey;
  CallClass Class = CallClass::Normal;
  /// Tokens charged to the program tree so far.
  TokenCount Attained = 0;
  TokenCount PromptTokens = 0;
  TokenCount MaxTokens = 0;
  Duration Remaining{0};

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteRequest, Id, Owner, Target, Kind, Path,
                                 Body, IdempotencyKey, Class, Attained,
                                 PromptTokens, MaxTokens, Remaining)
};

/// The status of an attempt. If it is finished, exactly one of Answer and
/// Failure is set.
struct AttemptStatus {
  AttemptQueryResult::State What = AttemptQueryResult::State::Unknown;
  std::optional<ExecuteReply> Answer;
  std::optional<Error> Failure;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AttemptStatus, What, Answer, Failure)
};

/// Queries the status of an attempt. One that has not arrived is void
/// afterwards.
struct AttemptStatusRequest {
  static constexpr const char *Name = "ask";
  using Reply = AttemptStatus;

  AttemptId Id;
  Incarnation Target = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AttemptStatusRequest, Id, Target)
};

/// Frees the engine memory of ended programs.
struct ReleaseRequest {
  static constexpr const char *Name = "release";
  using Reply = Ack;

  std::vector<ProgramId> Programs;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReleaseRequest, Programs)
};

/// Whether a program exists, has not ended, and was used recently.
struct ProgramAliveReply {
  bool Alive = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramAliveReply, Alive)
};

/// Sent by the process beside an endpoint to check whether to keep the cache
/// of a program.
struct ProgramAliveRequest {
  static constexpr const char *Name = "alive";
  using Reply = ProgramAliveReply;

  ProgramId Program;
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramAliveRequest, Program, Hops)
};

/// The operators' document in force at a process.
struct ConfigOffer {
  Json Document;
  bool Confirmed = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ConfigOffer, Document, Confirmed)
};

/// Requests the operators' document in force at a peer.
struct PullConfigRequest {
  static constexpr const char *Name = "pull-config";
  using Reply = ConfigOffer;
};
inline void to_json(Json &Value, const PullConfigRequest &) {
  Value = Json::object();
}
inline void from_json(const Json &, PullConfigRequest &) {}

/// Requests a planned stop of an instance, directly or through another one.
struct DrainRequest {
  static constexpr const char *Name = "drain";
  using Reply = Ack;

  InstanceId Instance;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(DrainRequest, Instance)
};

/// Whether the same call may have been sent before with this sequence or key.
inline bool mayHaveBeenSentBefore(const SubmitCallRequest &Request) {
  return Request.Sequence ||
         (!Request.IdempotencyKey.empty() && !Request.KeyIsFresh);
}

/// The state that each end of a link sends with every heartbeat.
struct PeerState {
  InstanceId Instance;
  Incarnation Life = 0;
  bool Leaving = false;
  /// The revision of the configuration in force, and whether the platform's
  /// service has confirmed it.
  std::uint64_t ConfigRevision = 0;
  bool ConfigConfirmed = false;
  /// The number of shards owned by an entry.
  std::uint64_t Shards = 0;
  std::optional<EndpointLoad> Load;
  /// Sent with the first heartbeat of a connection only.
  std::optional<Member> Introduction;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(PeerState, Instance, Life, Leaving,
                                 ConfigRevision, ConfigConfirmed, Shards, Load,
                                 Introduction)
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_MESSAGES_H
