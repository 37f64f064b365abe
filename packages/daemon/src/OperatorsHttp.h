/// The operators' HTTP interface of an entry; config/OperatorApi.h lists its
/// paths. GET /metrics and GET /healthz need no key and tell no names.
#ifndef TAMARACK_DAEMON_OPERATORSHTTP_H
#define TAMARACK_DAEMON_OPERATORSHTTP_H

#include "ConfigKeeper.h"
#include "HttpServe.h"
#include "Metrics.h"
#include "Router.h"
#include "tamarack/config/Keys.h"
#include "tamarack/config/OperatorApi.h"

#include <atomic>

namespace tamarack {
namespace internal {

/// What the interface shows and steers. Requests and Programs are null in an
/// endpoint process.
struct OperatedParts {
  Peers &Network;
  ConfigKeeper &Config;
  Metrics &Measured;
  Platform &Service;
  Router *Requests = nullptr;
  Owner *Programs = nullptr;
  ShardTable *Shards = nullptr;
  /// Begins a planned stop of this process.
  std::function<void()> Drain;
};

class OperatorsHttp {
public:
  OperatorsHttp(std::string Host, std::uint16_t Port, Key Secret,
                OperatedParts Parts);

  Expected<void> start();
  void stop();
  std::uint64_t wrongKeys() const { return WrongKeys; }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void serve(Request &Asked, Response &Answer);
  void route(Request &Asked, Response &Answer);
  Json status() const;
  void putConfig(Request &Asked, Response &Answer);
  void addException(Request &Asked, Response &Answer);
  void removeException(const std::string &Id, Request &Asked, Response &Answer);
  void change(const Expected<OperatorDocument> &Next, Revision Expected,
              const std::string &Author, const std::string &Comment,
              Response &Answer);
  void program(const std::string &Id, Request &Asked, Response &Answer);
  void drain(Request &Asked, Response &Answer);
  void explain(const std::string &Call, Request &Asked, Response &Answer);

  const std::string Host;
  const std::uint16_t Port;
  const Key Secret;
  const OperatedParts Parts;
  std::atomic<std::uint64_t> WrongKeys{0};
  std::unique_ptr<HttpServe> Server;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_OPERATORSHTTP_H
