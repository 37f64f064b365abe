/// What the headers of a deployment's wire say, without their names.
///
/// The relay works on these values; an adapter decodes and encodes them.
#ifndef TAMARACK_RELAY_DIALECT_H
#define TAMARACK_RELAY_DIALECT_H

#include "tamarack/base/Clock.h"
#include "tamarack/net/HttpMessage.h"
#include "tamarack/relay/PromptCache.h"
#include "tamarack/turns/Account.h"

#include <optional>
#include <string>

namespace tamarack {

/// What a caller's request says of itself.
struct RequestMetadata {
  /// Unique for each attempt of a caller.
  std::string RequestId;
  /// How long the caller still waits.
  std::optional<Duration> TimeLeft;
  /// The parts of the prompt, in order; empty for plain requests.
  std::vector<PromptPart> Prompt;
  /// The most tokens that the turn may generate.
  TokenCount MaxTurnTokens = 0;
  ProgramId Program;
  /// How many tokens all turns of the program may generate.
  std::optional<TokenCount> Budget;
  /// The turn that this one continues.
  TurnId Previous;
  /// The caller has the events up to this one.
  std::optional<std::string> LastEventId;
};

/// What an endpoint's answer says of itself.
struct ResponseMetadata {
  /// The request that it belongs to; empty where it names none.
  std::string RequestId;
  /// It bears the endpoint's signature.
  bool IsSigned = false;
  /// The endpoint states that it did not run the request.
  bool NotRun = false;
  /// The body is encoded, so that it is not the endpoint's own.
  bool IsEncoded = false;
};

class Dialect {
public:
  virtual ~Dialect() = default;
  virtual RequestMetadata
  readRequestMetadata(const HttpFields &Fields) const = 0;
  virtual ResponseMetadata readResponseMetadata(const HttpHead &Head) const = 0;
  /// Makes the fields of a caller's request those of an attempt at
  /// \p Endpoint: drops what only the system may set, adds what it does set.
  virtual void prepareAttempt(HttpFields &Fields, const EndpointId &Endpoint,
                              Duration TimeLeft) const = 0;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_DIALECT_H
