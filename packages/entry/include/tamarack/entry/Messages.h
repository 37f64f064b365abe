/// The messages between our processes, as they travel on links.
///
/// Entries send CallOrder to the owner of a program, owners send the copy
/// orders to places with a data folder, and ExecuteOrder, AskOrder and
/// ReleaseOrder to the process beside an endpoint. Texts named Body, Answer
/// and Chunk are JSON; spans are whole microseconds.
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

/// One event of a streamed answer, as the endpoint sent it.
struct CallPart {
  std::string Chunk;

  auto tied() const { return std::tie(Chunk); }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallPart, Chunk)
};

/// What a call cost.
struct TokenUse {
  TokenCount Prompt = 0;
  /// The part of the prompt that the endpoint had in its cache.
  TokenCount Cached = 0;
  TokenCount Completion = 0;

  auto tied() const { return std::tie(Prompt, Cached, Completion); }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(TokenUse, Prompt, Cached, Completion)
};

struct CallReply {
  /// The HTTP status of the endpoint's answer.
  int Status = 200;
  std::string Answer;
  ProgramId Program;
  std::uint64_t Sequence = 0;
  EndpointId ServedBy;
  TokenUse Use;
  /// The answer was given before and is repeated from the log.
  bool Stored = false;

  auto tied() const {
    return std::tie(Status, Answer, Program, Sequence, ServedBy, Use, Stored);
  }
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallReply, Status, Answer, Program, Sequence,
                                 ServedBy, Use, Stored)
};

/// A caller's request on its way to the owner of its program.
struct CallOrder {
  static constexpr const char *Name = "call";
  using Part = CallPart;
  using Reply = CallReply;

  CallKind Kind = CallKind::Chat;
  CustomerId Customer;
  WorkspaceId Workspace;
  ProgramId Program;
  std::optional<std::uint64_t> Sequence;
  std::string IdempotencyKey;
  /// The key was made by the first entry, so no earlier sending carried it.
  bool KeyIsFresh = false;
  /// The model or the service.
  std::string Target;
  /// Below the service; empty for models.
  std::string Path;
  std::string Body;
  bool MayBegin = false;
  bool Repeatable = true;
  CallClass Class = CallClass::Normal;
  Duration Remaining{0};
  /// For a program that begins.
  TokenCount Budget = 0;
  Limits Bounds;
  /// Entries that the order has passed; bounded so that none goes in circles.
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallOrder, Kind, Customer, Workspace, Program,
                                 Sequence, IdempotencyKey, KeyIsFresh, Target,
                                 Path, Body, MayBegin, Repeatable, Class,
                                 Remaining, Budget, Bounds, Hops)
};

struct ProgramReport {
  ProgramId Program;
  TokenCount Budget = 0;
  TokenCount Reserved = 0;
  TokenCount Settled = 0;
  std::uint32_t Turns = 0;
  std::uint64_t NextSequence = 1;
  std::string Ended;
  std::vector<std::string> History;
  std::vector<ProgramId> SubAgents;
  /// Where the last call ran.
  EndpointId LastEndpoint;
  /// Set when this very order ended the program: how long it took.
  std::optional<Duration> Took;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramReport, Program, Budget, Reserved,
                                 Settled, Turns, NextSequence, Ended, History,
                                 SubAgents, LastEndpoint, Took)
};

/// Asks the owner for the state of a program, or ends it.
struct ProgramOrder {
  static constexpr const char *Name = "program";
  using Reply = ProgramReport;

  ProgramId Program;
  CustomerId Customer;
  bool End = false;
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramOrder, Program, Customer, End, Hops)
};

struct SealOrder {
  static constexpr const char *Name = "seal";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  Epoch At = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(SealOrder, Folder, Shard, At)
};

struct AppendOrder {
  static constexpr const char *Name = "append";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  std::vector<Append> Entries;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AppendOrder, Folder, Shard, Entries)
};

struct InstallOrder {
  static constexpr const char *Name = "install";
  using Reply = Ack;

  FolderId Folder;
  ShardId Shard = 0;
  Install Change;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstallOrder, Folder, Shard, Change)
};

struct RootLog {
  ProgramId Root;
  std::vector<Record> Records;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(RootLog, Root, Records)
};

struct ShardLogs {
  std::vector<RootLog> Roots;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ShardLogs, Roots)
};

struct ReadOrder {
  static constexpr const char *Name = "read";
  using Reply = ShardLogs;

  FolderId Folder;
  ShardId Shard = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReadOrder, Folder, Shard)
};

/// What an endpoint's process tells of its queue with every reply and
/// heartbeat.
struct EndpointLoad {
  std::uint32_t Running = 0;
  std::uint32_t Limit = 0;
  std::uint32_t Waiting = 0;
  Duration ExpectedWait{0};
  bool Draining = false;
  /// What orders must name as their target; see gate/Attempts.h.
  Incarnation Target = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(EndpointLoad, Running, Limit, Waiting,
                                 ExpectedWait, Draining, Target)
};

struct ExecuteReply {
  int Status = 200;
  std::string Answer;
  /// The message that joins the history; empty for services.
  std::string AnswerMessage;
  TokenUse Use;
  EndpointLoad Load;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteReply, Status, Answer, AnswerMessage,
                                 Use, Load)
};

/// One attempt of a call, from the owner to the process beside the endpoint.
struct ExecuteOrder {
  static constexpr const char *Name = "execute";
  using Part = CallPart;
  using Reply = ExecuteReply;

  AttemptId Id;
  /// The entry that owns the program.
  InstanceId Owner;
  /// The process that the intent names; no other may execute the attempt.
  Incarnation Target = 0;
  CallKind Kind = CallKind::Chat;
  std::string Path;
  std::string Body;
  std::string IdempotencyKey;
  CallClass Class = CallClass::Normal;
  TokenCount Attained = 0;
  TokenCount PromptTokens = 0;
  TokenCount MaxTokens = 0;
  Duration Remaining{0};

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteOrder, Id, Owner, Target, Kind, Path,
                                 Body, IdempotencyKey, Class, Attained,
                                 PromptTokens, MaxTokens, Remaining)
};

/// What became of an attempt. Exactly one of Answer and Failure is set when it
/// is finished.
struct AttemptFate {
  AttemptQueryResult::State What = AttemptQueryResult::State::Unknown;
  std::optional<ExecuteReply> Answer;
  std::optional<Error> Failure;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AttemptFate, What, Answer, Failure)
};

struct AskOrder {
  static constexpr const char *Name = "ask";
  using Reply = AttemptFate;

  AttemptId Id;
  Incarnation Target = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AskOrder, Id, Target)
};

/// Frees the engine memory of programs that are gone.
struct ReleaseOrder {
  static constexpr const char *Name = "release";
  using Reply = Ack;

  std::vector<ProgramId> Programs;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReleaseOrder, Programs)
};

/// Whether a program is alive: begun, not ended, and used lately.
struct AliveReply {
  bool Alive = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AliveReply, Alive)
};

/// An endpoint process asks whether it may go on holding a program's cache.
struct AliveOrder {
  static constexpr const char *Name = "alive";
  using Reply = AliveReply;

  ProgramId Program;
  std::uint32_t Hops = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(AliveOrder, Program, Hops)
};

/// A process's document in force.
struct ConfigOffer {
  Json Document;
  bool Confirmed = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ConfigOffer, Document, Confirmed)
};

/// Asks a peer for the operators' document that is in force there.
struct PullOrder {
  static constexpr const char *Name = "pull-config";
  using Reply = ConfigOffer;
};
inline void to_json(Json &Value, const PullOrder &) { Value = Json::object(); }
inline void from_json(const Json &, PullOrder &) {}

/// Asks an instance to stop as a planned stop would, or passes that on.
struct DrainOrder {
  static constexpr const char *Name = "drain";
  using Reply = Ack;

  InstanceId Instance;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(DrainOrder, Instance)
};

/// Whether the request may have been sent before under the same name.
inline bool mayBeRepeated(const CallOrder &Order) {
  return Order.Sequence || (!Order.IdempotencyKey.empty() && !Order.KeyIsFresh);
}

/// What both ends of a link tell with each heartbeat.
struct PeerState {
  InstanceId Instance;
  Incarnation Life = 0;
  bool Leaving = false;
  /// The configuration in force, and whether it is confirmed by the service.
  std::uint64_t ConfigRevision = 0;
  bool ConfigConfirmed = false;
  /// Shards owned by an entry.
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
