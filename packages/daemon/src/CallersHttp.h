/// The callers' HTTP interface.
///
///   POST /v1/chat/completions     one turn of a program, streamed or not
///   POST /v1/services/{service}/{path}   a tool or plain service
///   GET and DELETE /v1/programs/{id}     state and end of a program
///
/// Headers: Authorization (Bearer key), Tamarack-Program, Tamarack-Sequence,
/// Tamarack-Workspace, Tamarack-Class, Tamarack-Deadline-Ms, Idempotency-Key.
#ifndef TAMARACK_DAEMON_CALLERSHTTP_H
#define TAMARACK_DAEMON_CALLERSHTTP_H

#include "ConfigKeeper.h"
#include "HttpServe.h"
#include "Metrics.h"
#include "Router.h"

#include "tamarack/config/Keys.h"

#include <atomic>
#include <map>

namespace tamarack {
namespace internal {

struct CallersSettings {
  std::string Host;
  std::uint16_t Port = 0;
  RegionId Region;
  CallerKeys Keys;
  std::size_t MaxBodyBytes = 8U << 20U;
};

class CallersHttp {
public:
  CallersHttp(CallersSettings Settings, Router &Requests, Peers &Network,
              const ConfigKeeper &Config, Metrics &Measured, const Clock &Time,
              std::function<std::string()> Fresh);

  Expected<void> start();
  /// Refuses new requests as leaving and waits for the running ones.
  void stop();
  std::uint64_t wrongKeys() const { return WrongKeys; }
  /// Requests refused here, before they reached an owner, by kind.
  std::map<ErrorKind, std::uint64_t> refused() const;

private:
  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  /// Answers with an error that arose before any owner was asked.
  void refuseHere(Poco::Net::HTTPServerResponse &Response, const Error &Why);
  Expected<CustomerId>
  customerOf(const Poco::Net::HTTPServerRequest &Request) const;
  void chat(const CustomerId &Customer, Poco::Net::HTTPServerRequest &Request,
            Poco::Net::HTTPServerResponse &Response);
  void service(const CustomerId &Customer, const std::string &Path,
               Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response);
  void program(const CustomerId &Customer, const std::string &Id,
               Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response);
  Expected<SubmitCallRequest>
  orderOf(const CustomerId &Customer,
          const Poco::Net::HTTPServerRequest &Request,
          const std::string &Target, CallKind Kind);
  bool isServed(const std::string &Target) const;

  const CallersSettings Settings;
  Router &Requests;
  Peers &Network;
  const ConfigKeeper &Config;
  Metrics &Measured;
  const Clock &Time;
  std::atomic<std::uint64_t> WrongKeys{0};
  mutable std::mutex Mutex;
  std::map<ErrorKind, std::uint64_t> Refused;
  const std::function<std::string()> Fresh;
  std::unique_ptr<HttpServe> Server;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_CALLERSHTTP_H
