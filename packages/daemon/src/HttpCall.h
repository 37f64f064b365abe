/// Requests to the HTTP interfaces around us: the platform's service, engines
/// and plain services.
///
///   Expected<HttpAnswer> Answer =
///       httpCall({Host, Port}, {"GET", "/v1/load"}, std::chrono::seconds(1));
///
/// An error that happened before the request could be written is proved not
/// run; a later one is not.
#ifndef TAMARACK_DAEMON_HTTPCALL_H
#define TAMARACK_DAEMON_HTTPCALL_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/config/Settings.h"

#include <functional>
#include <map>
#include <string>

namespace tamarack {
namespace internal {

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  std::map<std::string, std::string> Headers;
};

struct HttpAnswer {
  int Status = 0;
  std::string Body;
};

Expected<HttpAnswer> httpCall(const Address &To, const HttpRequest &Request,
                              Duration Limit);

/// How a stream of server-sent events ended.
struct StreamEnd {
  int Status = 0;
  /// The whole body when the answer was no stream of events.
  std::string Body;
  /// Whether the stream's own last event came.
  bool Finished = false;
};

/// Gets a stream of server-sent events. \p OnEvent takes the data of each;
/// it returns false to stop. \p Silence bounds the time without any byte.
Expected<StreamEnd>
httpStream(const Address &To, const HttpRequest &Request, Duration Silence,
           const std::function<bool(const std::string &)> &OnEvent);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_HTTPCALL_H
