/// A small threaded HTTP server on loopback, one thread per connection.
///
///   auto Host = HttpHost::create(0, [](Exchange &Call) {
///     Call.answer(200, {{"path", Call.path()}});
///   });
///
/// A handler may answer once, stream server-sent events, or drop the
/// connection without an answer. Malformed JSON is answered with 400.
#ifndef TAMARACK_STANDINS_HTTPHOST_H
#define TAMARACK_STANDINS_HTTPHOST_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Json.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tamarack::internal {

/// One request and the means to answer it.
class Exchange {
public:
  Exchange(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response);
  ~Exchange();

  const std::string &method() const;
  /// The decoded path without the query.
  const std::string &path() const;
  /// The rest of the path behind \p Prefix, or nothing when it does not match.
  std::optional<std::string> pathBehind(const std::string &Prefix) const;
  bool is(const char *Method, const char *Path) const;
  std::optional<std::string> query(const std::string &Name) const;
  /// A numeric query parameter; throws std::invalid_argument when malformed.
  std::uint64_t numberQuery(const std::string &Name,
                            std::uint64_t Default) const;
  std::string header(const std::string &Name) const;
  /// The body as a JSON object; an empty body reads as {}.
  Json body() const;

  void setHeader(const std::string &Name, const std::string &Value);
  void answer(int Status, const Json &Body);
  /// Closes the connection without an answer.
  void drop();
  /// Begins an answer of server-sent events.
  void beginEvents();
  /// Sends one event; false once the caller has gone.
  bool sendEvent(const std::string &Data);
  /// Whether the caller has closed its end.
  bool callerGone();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

class HttpHost {
public:
  using Handler = std::function<void(Exchange &)>;

  static Expected<std::unique_ptr<HttpHost>> create(std::uint16_t Port,
                                                    Handler Handle);
  /// Stops the server; returns when no handler runs any more.
  ~HttpHost();

  std::uint16_t port() const;

private:
  struct Impl;
  explicit HttpHost(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_HTTPHOST_H
