#include "HttpServe.h"

#include "tamarack/config/Keys.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/ThreadPool.h>
#include <ostream>
#include <spdlog/spdlog.h>
#include <thread>

namespace tamarack {
namespace internal {
namespace {

constexpr int IdleThreads = 4;
/// Requests that are served at the same time; each holds a thread.
constexpr int MaxThreads = 1024;
constexpr auto StopPoll = std::chrono::milliseconds(20);

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit FunctionHandler(const HttpHandler &Work) : Work(Work) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      Work(Request, Response);
    } catch (const std::exception &Thrown) {
      spdlog::warn("http: {} ended early: {}", Request.getURI(), Thrown.what());
    }
  }

private:
  const HttpHandler &Work;
};

class FunctionFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit FunctionFactory(HttpHandler Work) : Work(std::move(Work)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new FunctionHandler(Work);
  }

private:
  HttpHandler Work;
};

} // namespace

struct HttpServe::Impl {
  Impl(const Poco::Net::SocketAddress &Listen, HttpHandler Handler)
      : Threads(IdleThreads, MaxThreads),
        Server(new FunctionFactory(std::move(Handler)), Threads, bound(Listen),
               params()) {}

  /// A socket that no other process can listen on at the same time.
  static Poco::Net::ServerSocket bound(const Poco::Net::SocketAddress &Listen) {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Listen, true, false);
    Socket.listen();
    return Socket;
  }

  static Poco::Net::HTTPServerParams *params() {
    auto *Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(MaxThreads);
    Params->setMaxQueued(MaxThreads);
    Params->setKeepAlive(true);
    return Params;
  }

  Poco::ThreadPool Threads;
  Poco::Net::HTTPServer Server;
};

HttpServe::HttpServe(std::unique_ptr<Impl> Inner) : Inner(std::move(Inner)) {}

HttpServe::~HttpServe() { stop(); }

Expected<std::unique_ptr<HttpServe>> HttpServe::start(const std::string &Host,
                                                      std::uint16_t Port,
                                                      HttpHandler Handler) {
  try {
    auto Inner = std::make_unique<Impl>(Poco::Net::SocketAddress(Host, Port),
                                        std::move(Handler));
    Inner->Server.start();
    return std::unique_ptr<HttpServe>(new HttpServe(std::move(Inner)));
  } catch (const Poco::Exception &Thrown) {
    return refuse(ErrorKind::Internal, "cannot listen on port " +
                                           std::to_string(Port) + ": " +
                                           Thrown.displayText());
  }
}

void HttpServe::stop() {
  Inner->Server.stop();
  // Closes idle connections only: a request under way finishes its answer.
  Inner->Server.stopAll(false);
  Inner->Threads.joinAll();
}

Expected<std::string> readBody(Poco::Net::HTTPServerRequest &Request,
                               std::size_t MaxBytes) {
  std::string Body;
  std::istream &Stream = Request.stream();
  constexpr std::size_t Step = 65536;
  std::string Buffer(Step, '\0');
  while (Stream) {
    Stream.read(Buffer.data(), static_cast<std::streamsize>(Step));
    Body.append(Buffer, 0, static_cast<std::size_t>(Stream.gcount()));
    if (Body.size() > MaxBytes)
      return refuse(ErrorKind::BodyTooLarge,
                    "the body exceeds " + std::to_string(MaxBytes) + " bytes",
                    NotRun::Proved);
  }
  return Body;
}

void sendJson(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Body) {
  Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(Response.getStatus()));
  Response.setContentType("application/json");
  Response.sendBuffer(Body.data(), Body.size());
}

void sendError(Poco::Net::HTTPServerResponse &Response, const Error &Why) {
  const auto After = retryAfterOf(Why);
  if (After.count() > 0)
    Response.set("Retry-After", std::to_string(After.count()));
  sendJson(Response, answerOf(Why.Kind).HttpStatus, errorBody(Why).dump());
}

std::string bearerKey(const Poco::Net::HTTPServerRequest &Request) {
  return std::string(
      tamarack::bearerKey(Request.get("Authorization", std::string())));
}

} // namespace internal
} // namespace tamarack
