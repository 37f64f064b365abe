/// Passes a streamed answer on to a caller as server-sent events.
///
/// Pieces are passed on as they come; the last event is sent only after the
/// whole answer is kept. When the answer was begun again elsewhere, the rest
/// is sent if what the caller has is its beginning; otherwise the stream ends
/// with an error event that says to ask again for the stored answer.
#ifndef TAMARACK_DAEMON_STREAMRELAY_H
#define TAMARACK_DAEMON_STREAMRELAY_H

#include "tamarack/entry/Messages.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <functional>

namespace tamarack {
namespace internal {

class StreamRelay {
public:
  explicit StreamRelay(Poco::Net::HTTPServerResponse &Response)
      : Response(Response) {}

  /// Whether the caller has already got the head of the answer.
  bool isOpen() const { return Out != nullptr; }
  /// Names the program and the sequence that the head of the answer carries.
  void setHeader(const std::string &Name, const std::string &Value);
  void part(const CallPart &Part);
  void finish(const CallReply &Reply);
  void fail(const Error &Why);

private:
  void open();
  void event(const std::string &Data);

  Poco::Net::HTTPServerResponse &Response;
  std::ostream *Out = nullptr;
  std::string Emitted;
  Json LastChunk = Json::object();
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_STREAMRELAY_H
