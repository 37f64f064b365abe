/// A stand-in for a plain tool service, and the witness for at most once.
///
///   auto Service = ServiceServer::create({});
///   // POST /v1/run/payouts/release with the header Idempotency-Key
///   // GET  /v1/executions -> {"executions":{"KEY":1}}
///
/// It counts each execution by key and never deduplicates.
///   POST /v1/run/ACTION  {"action","key","execution","receipt"}
///   GET  /v1/executions
///   POST /v1/faults      {"hang","delay_ms","fail_next","drop_answers"}
/// A hanging service executes and then keeps silent until "hang" is cleared.
#ifndef TAMARACK_STANDINS_SERVICESERVER_H
#define TAMARACK_STANDINS_SERVICESERVER_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace tamarack {

class ServiceServer {
public:
  struct Options {
    /// Zero takes any free port.
    std::uint16_t Port = 0;
    /// How long each run takes.
    Duration Delay{0};
  };

  static Expected<std::unique_ptr<ServiceServer>> create(Options Settings);
  ~ServiceServer();

  std::uint16_t port() const;
  /// How often each key was executed.
  std::map<std::string, std::uint64_t> executions() const;

private:
  struct Impl;
  explicit ServiceServer(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack

#endif // TAMARACK_STANDINS_SERVICESERVER_H
