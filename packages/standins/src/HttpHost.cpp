#include "HttpHost.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <ostream>

namespace tamarack::internal {
namespace {

constexpr int MaxConnections = 1000;
constexpr int MaxQueuedConnections = 200;
constexpr int MaxRequestsPerConnection = 1'000'000;
constexpr int KeepAliveSeconds = 60;

std::string readAll(std::istream &In) {
  std::string Text;
  Poco::StreamCopier::copyToString(In, Text);
  return Text;
}

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit FunctionHandler(const HttpHost::Handler &Handle) : Handle(Handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    Exchange Call(Request, Response);
    try {
      Handle(Call);
    } catch (const Json::exception &Failure) {
      if (!Response.sent())
        Call.answer(400, {{"error", Failure.what()}});
    } catch (const std::invalid_argument &Failure) {
      if (!Response.sent())
        Call.answer(400, {{"error", Failure.what()}});
    }
  }

private:
  const HttpHost::Handler &Handle;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit FunctionHandlerFactory(HttpHost::Handler Handle)
      : Handle(std::move(Handle)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new FunctionHandler(Handle);
  }

private:
  HttpHost::Handler Handle;
};

} // namespace

struct Exchange::Impl {
  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  std::string Path;
  Poco::URI::QueryParameters Query;
  std::string Body;
  std::ostream *Events = nullptr;

  Poco::Net::StreamSocket &socket() {
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
  }
};

Exchange::Exchange(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response)
    : Pimpl(new Impl{Request, Response, {}, {}, {}}) {
  Poco::URI Uri(Request.getURI());
  Pimpl->Path = Uri.getPath();
  Pimpl->Query = Uri.getQueryParameters();
  Pimpl->Body = readAll(Request.stream());
}

Exchange::~Exchange() = default;

const std::string &Exchange::method() const {
  return Pimpl->Request.getMethod();
}

const std::string &Exchange::path() const { return Pimpl->Path; }

std::optional<std::string>
Exchange::pathBehind(const std::string &Prefix) const {
  if (path().size() <= Prefix.size() || path().rfind(Prefix, 0) != 0)
    return std::nullopt;
  return path().substr(Prefix.size());
}

bool Exchange::is(const char *Method, const char *Path) const {
  return method() == Method && path() == Path;
}

std::optional<std::string> Exchange::query(const std::string &Name) const {
  for (const auto &[Key, Value] : Pimpl->Query)
    if (Key == Name)
      return Value;
  return std::nullopt;
}

std::uint64_t Exchange::numberQuery(const std::string &Name,
                                    std::uint64_t Default) const {
  auto Text = query(Name);
  return Text ? std::stoull(*Text) : Default;
}

std::string Exchange::header(const std::string &Name) const {
  return Pimpl->Request.get(Name, "");
}

Json Exchange::body() const {
  return Pimpl->Body.empty() ? Json::object() : Json::parse(Pimpl->Body);
}

void Exchange::setHeader(const std::string &Name, const std::string &Value) {
  Pimpl->Response.set(Name, Value);
}

void Exchange::answer(int Status, const Json &Body) {
  auto &Response = Pimpl->Response;
  std::string Text = Body.dump();
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType("application/json");
  Response.sendBuffer(Text.data(), Text.size());
}

void Exchange::drop() {
  Pimpl->Response.setKeepAlive(false);
  Pimpl->socket().shutdown();
}

void Exchange::beginEvents() {
  auto &Response = Pimpl->Response;
  Response.setContentType("text/event-stream");
  Response.setChunkedTransferEncoding(true);
  Pimpl->Events = &Response.send();
  Pimpl->Events->flush();
}

bool Exchange::sendEvent(const std::string &Data) {
  *Pimpl->Events << "data: " << Data << "\n\n";
  Pimpl->Events->flush();
  return Pimpl->Events->good();
}

bool Exchange::callerGone() {
  try {
    auto &Socket = Pimpl->socket();
    return Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           Socket.available() == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

struct HttpHost::Impl {
  Poco::ThreadPool Pool{8, MaxConnections};
  Poco::Net::ServerSocket Socket;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

HttpHost::HttpHost(std::unique_ptr<Impl> Pimpl) : Pimpl(std::move(Pimpl)) {}

Expected<std::unique_ptr<HttpHost>> HttpHost::create(std::uint16_t Port,
                                                     Handler Handle) {
  try {
    auto Built = std::make_unique<Impl>();
    Built->Socket.bind(Poco::Net::SocketAddress("127.0.0.1", Port), true,
                       false);
    Built->Socket.listen(MaxQueuedConnections);
    Poco::Net::HTTPServerParams::Ptr Params(new Poco::Net::HTTPServerParams);
    Params->setKeepAlive(true);
    Params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    Params->setMaxKeepAliveRequests(MaxRequestsPerConnection);
    Params->setMaxThreads(MaxConnections);
    Params->setMaxQueued(MaxQueuedConnections);
    Built->Server = std::make_unique<Poco::Net::HTTPServer>(
        new FunctionHandlerFactory(std::move(Handle)), Built->Pool,
        Built->Socket, Params);
    Built->Server->start();
    return std::unique_ptr<HttpHost>(new HttpHost(std::move(Built)));
  } catch (const Poco::Exception &Failure) {
    return refuse(ErrorKind::Internal,
                  "cannot listen on 127.0.0.1:" + std::to_string(Port) + ": " +
                      Failure.displayText());
  }
}

HttpHost::~HttpHost() {
  // Wakes the accepting thread, which otherwise polls every 250 ms.
  try {
    Pimpl->Socket.impl()->shutdownReceive();
  } catch (const Poco::Exception &) {
    // It then notices the stop with its next poll.
  }
  Pimpl->Server->stopAll(true);
  Pimpl->Pool.joinAll();
}

std::uint16_t HttpHost::port() const { return Pimpl->Server->port(); }

} // namespace tamarack::internal
