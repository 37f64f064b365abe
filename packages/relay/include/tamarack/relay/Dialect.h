/// The metadata that a deployment carries in HTTP headers, independent of the
/// header names.
///
/// The relay works on these values; a deployment's adapter implements Dialect
/// to decode and encode them.
#ifndef TAMARACK_RELAY_DIALECT_H
#define TAMARACK_RELAY_DIALECT_H

#include "tamarack/base/Clock.h"
#include "tamarack/net/HttpMessage.h"
#include "tamarack/relay/PromptCache.h"
#include "tamarack/turns/Account.h"

#include <optional>
#include <string>

namespace tamarack {

/// The metadata of a caller's request.
struct RequestMetadata {
  /// Unique for each attempt of a caller.
  std::string RequestId;
  /// How long the caller still waits.
  std::optional<Duration> TimeLeft;
  /// The parts of the prompt, in order; empty for plain requests.
  std::vector<PromptPart> Prompt;
  /// The maximum number of tokens that the turn may generate.
  TokenCount MaxTurnTokens = 0;
  ProgramId Program;
  /// How many tokens all turns of the program may generate.
  std::optional<TokenCount> Budget;
  /// The turn that this one continues.
  TurnId Previous;
  /// The caller's key, which shows its workspace; empty if it has none. Secret.
  std::string AccessKey;
  /// The time until the caller's whole program should have ended.
  std::optional<Duration> ProgramTimeLeft;
  /// The id of the last event that the caller received, if it resumes a
  /// stream.
  std::optional<std::string> LastEventId;
  /// The request that brought the first event of the stream that the caller
  /// resumes; empty if the caller names none.
  TurnId ResumedTurn;
};

/// Whether the caller has received a part of the stream before.
inline bool hasReceivedEvents(const RequestMetadata &Metadata) {
  return !Metadata.LastEventId.value_or("").empty();
}

/// Whether the request resumes a stream of which the caller has events.
inline bool isResumption(const RequestMetadata &Metadata) {
  return !Metadata.ResumedTurn.empty() || hasReceivedEvents(Metadata);
}

/// What the system itself tells an endpoint with an attempt.
struct AttemptMetadata {
  EndpointId Endpoint;
  /// The time until the request's deadline.
  Duration TimeLeft{0};
  /// The caller's workspace, empty on a public route. Not set if the deployment
  /// has no workspaces; what the caller sent is passed on then.
  std::optional<WorkspaceId> Workspace = {};
};

/// The metadata of an endpoint's response.
struct ResponseMetadata {
  /// The request that the response belongs to; empty if it names none.
  std::string RequestId;
  /// Whether the response carries the endpoint's signature.
  bool IsSigned = false;
  /// Whether the endpoint states that it did not run the request.
  bool NotRun = false;
  /// Whether the body has a content encoding, which means that it is not the
  /// endpoint's own body.
  bool IsEncoded = false;
  /// Whether the endpoint states that it is shutting down.
  bool IsLeaving = false;
  /// The requests per second that the endpoint takes from all entries together,
  /// if it limits them.
  std::optional<double> RateLimit;
};

/// Translates between metadata and the header fields of a deployment.
class Dialect {
public:
  virtual ~Dialect() = default;
  virtual RequestMetadata
  readRequestMetadata(const HttpFields &Fields) const = 0;
  virtual ResponseMetadata readResponseMetadata(const HttpHead &Head) const = 0;
  /// Turns the fields of a caller's request into those of an attempt: removes
  /// the fields that only the system may set and adds the system's own.
  virtual void prepareAttempt(HttpFields &Fields,
                              const AttemptMetadata &Attempt) const = 0;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_DIALECT_H
