/// A blocking HTTP client for tests: JSON in, JSON out, and event streams.
///
///   HttpJson Client(Server->port());
///   auto Made = Client.put("/v1/kv/a", {{"value", "1"}});
///   BOOST_TEST(Made->Status == 200);
///
///   auto Events = HttpEvents::open(Port, "/v1/chat/completions", Body);
///   while (auto Chunk = (*Events)->next().value_or(std::nullopt))
///     use(*Chunk);
///
/// An answer with any status is a value. A connection that closes without an
/// answer is ErrorKind::LinkLost, one that stays silent ErrorKind::Timeout.
/// Neither class may be shared between threads.
#ifndef TAMARACK_STANDINS_HTTPJSON_H
#define TAMARACK_STANDINS_HTTPJSON_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Json.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

using HttpHeaders = std::map<std::string, std::string>;

struct HttpJsonAnswer {
  int Status = 0;
  /// Null when the answer's text is no JSON.
  Json Body;
  std::string Text;
  HttpHeaders Headers;
};

/// Where and how long to call; converts from a port on 127.0.0.1.
struct HttpTarget {
  HttpTarget(std::uint16_t Port) : Port(Port) {}
  HttpTarget(std::string Host, std::uint16_t Port)
      : Host(std::move(Host)), Port(Port) {}

  std::string Host = "127.0.0.1";
  std::uint16_t Port;
  std::chrono::milliseconds Timeout = std::chrono::seconds(10);
};

/// One connection, kept alive between calls.
class HttpJson {
public:
  explicit HttpJson(HttpTarget Target);
  ~HttpJson();
  HttpJson(HttpJson &&) noexcept;

  Expected<HttpJsonAnswer> get(const std::string &Path,
                               const HttpHeaders &Headers = {});
  Expected<HttpJsonAnswer> put(const std::string &Path, const Json &Body,
                               const HttpHeaders &Headers = {});
  Expected<HttpJsonAnswer> post(const std::string &Path, const Json &Body,
                                const HttpHeaders &Headers = {});
  Expected<HttpJsonAnswer> remove(const std::string &Path,
                                  const HttpHeaders &Headers = {});
  /// Sends \p Body as it is, or no body when it is empty.
  Expected<HttpJsonAnswer> call(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body,
                                const HttpHeaders &Headers = {});

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// One answer of server-sent events, each holding JSON, up to [DONE].
class HttpEvents {
public:
  /// Sends \p Body by POST, or a GET when it is null.
  static Expected<std::unique_ptr<HttpEvents>>
  open(HttpTarget Target, const std::string &Path, const Json &Body = nullptr,
       const HttpHeaders &Headers = {});
  /// Closes the connection, whether or not the stream has ended.
  ~HttpEvents();

  /// The status and headers; for a status that is not 200 also the body.
  const HttpJsonAnswer &answer() const;
  /// Waits for the next event; nothing once [DONE] has come.
  Expected<std::optional<Json>> next();
  /// All events that are left.
  Expected<std::vector<Json>> rest();

private:
  struct Impl;
  explicit HttpEvents(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack

#endif // TAMARACK_STANDINS_HTTPJSON_H
