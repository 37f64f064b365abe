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

#include "HttpServe.h"
#include "Router.h"

#include <map>

namespace tamarack {
namespace internal {

struct CallersSettings {
  std::string Host;
  std::uint16_t Port = 0;
  RegionId Region;
  /// From a caller's key to its customer.
  std::map<std::string, CustomerId> Keys;
  std::size_t MaxBodyBytes = 8U << 20U;
  Duration DefaultDeadline = std::chrono::seconds(120);
  TokenCount DefaultBudget = 2'000'000;
  Limits DefaultLimits{150, std::chrono::hours(24)};
};

class CallersHttp {
public:
  CallersHttp(CallersSettings Settings, Router &Requests, Peers &Network,
              std::function<std::string()> Fresh);

  Expected<void> start();
  /// Refuses new requests as leaving and waits for the running ones.
  void stop();

private:
  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
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
  Expected<CallOrder> orderOf(const CustomerId &Customer,
                              const Poco::Net::HTTPServerRequest &Request);
  bool isServed(const std::string &Target) const;

  const CallersSettings Settings;
  Router &Requests;
  Peers &Network;
  const std::function<std::string()> Fresh;
  std::unique_ptr<HttpServe> Server;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_CALLERSHTTP_H
