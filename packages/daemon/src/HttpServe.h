/// A small layer over POCO's HTTP server: one handler function per server.
#ifndef TAMARACK_DAEMON_HTTPSERVE_H
#define TAMARACK_DAEMON_HTTPSERVE_H

#include "tamarack/base/Error.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {
namespace internal {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                       Poco::Net::HTTPServerResponse &)>;

class HttpServe {
public:
  /// Listens on \p Host and \p Port and calls \p Handler on a thread of the
  /// server for each request. What the handler throws is logged and ends the
  /// connection.
  static Expected<std::unique_ptr<HttpServe>>
  start(const std::string &Host, std::uint16_t Port, HttpHandler Handler);
  ~HttpServe();

  /// Stops accepting and waits until running requests have been answered.
  void stop();

private:
  struct Impl;
  explicit HttpServe(std::unique_ptr<Impl> Inner);
  std::unique_ptr<Impl> Inner;
};

/// Reads a body of at most \p MaxBytes.
Expected<std::string> readBody(Poco::Net::HTTPServerRequest &Request,
                               std::size_t MaxBytes);
void sendJson(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Body);
/// Sends the answer of the error table, with Retry-After where it helps.
void sendError(Poco::Net::HTTPServerResponse &Response, const Error &Why);
/// The text behind "Bearer ", or nothing.
std::string bearerKey(const Poco::Net::HTTPServerRequest &Request);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_HTTPSERVE_H
