/// Talks to the endpoint itself: a model engine or a plain service.
///
/// A stream that goes silent is abandoned and resumed on a new connection by
/// its id and offset. A service's call is sent once on one connection.
#ifndef TAMARACK_DAEMON_ENDPOINTCLIENT_H
#define TAMARACK_DAEMON_ENDPOINTCLIENT_H

#include "HttpCall.h"
#include "tamarack/entry/Messages.h"

namespace tamarack {
namespace internal {

struct EngineProgress {
  std::function<void()> FirstToken;
  std::function<void(Duration Between)> TokenTime;
  std::function<void(const CallPart &)> Part;
};

class EndpointClient {
public:
  EndpointClient(EndpointSettings Endpoint, const Clock &Time);

  /// Runs one attempt at the engine and assembles the whole answer.
  Expected<ExecuteReply> runChat(const ExecuteRequest &Order,
                                 const EngineProgress &Progress);
  /// Sends one call to the service, exactly once.
  Expected<ExecuteReply> runService(const ExecuteRequest &Order);
  /// Cancels the stream of an attempt.
  void cancel(const AttemptId &Id);
  /// Frees the engine's cache of a program.
  Expected<void> releaseCache(const ProgramId &Program);
  /// The programs that the engine holds cache for, with their tokens.
  Expected<std::map<ProgramId, TokenCount>> listCache();

private:
  const EndpointSettings Endpoint;
  const Clock &Time;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_ENDPOINTCLIENT_H
