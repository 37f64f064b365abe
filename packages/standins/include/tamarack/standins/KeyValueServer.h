/// A stand-in for the platform's key-value service and its instance list.
///
///   auto Server = KeyValueServer::create({});
///   auto Port = (*Server)->port();
///
/// Interface over HTTP with JSON bodies on 127.0.0.1:
///   GET    /v1/kv/KEY                 {"key","value","revision"} or 404
///   GET    /v1/kv?prefix=P            {"items":[...],"revision":N}
///   PUT    /v1/kv/KEY                 {"value","expected_revision","lease"}
///   DELETE /v1/kv/KEY?expected_revision=N
///   GET    /v1/watch?prefix=P&after=N&timeout_ms=T
///   POST   /v1/leases                 {"ttl_ms"} -> {"lease"}
///   POST   /v1/leases/ID/renew, DELETE /v1/leases/ID
///   PUT, DELETE /v1/instances/ID; GET /v1/instances
///   POST   /v1/faults                 {"outage","delay_ms","lose_answers"}
///   GET    /v1/stats                  {"reads","writes","watches","refused"}
/// A lost compare-and-swap is 409 {"revision":current}; a deleted key appears
/// in a watch with a null value.
#ifndef TAMARACK_STANDINS_KEYVALUESERVER_H
#define TAMARACK_STANDINS_KEYVALUESERVER_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <cstdint>
#include <memory>

namespace tamarack {

class KeyValueServer {
public:
  struct Options {
    /// Zero takes any free port.
    std::uint16_t Port = 0;
    /// How late the list of instances is.
    Duration InstancesLag{0};
    /// Time of leases and watches; the system's clock when null. It must
    /// outlive the server.
    const Clock *Time = nullptr;
  };

  static Expected<std::unique_ptr<KeyValueServer>> create(Options Settings);
  ~KeyValueServer();

  std::uint16_t port() const;

private:
  struct Impl;
  explicit KeyValueServer(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack

#endif // TAMARACK_STANDINS_KEYVALUESERVER_H
