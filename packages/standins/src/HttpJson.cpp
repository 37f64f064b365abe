#include "tamarack/standins/HttpJson.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <istream>

namespace tamarack {
namespace {

using Poco::Net::HTTPClientSession;

const std::string EventPrefix = "data: ";
const std::string EndOfEvents = "[DONE]";

/// Runs \p Work and turns POCO's exceptions into errors.
template <typename Work> auto guarded(Work Do) -> decltype(Do()) {
  try {
    return Do();
  } catch (const Poco::TimeoutException &Failure) {
    return refuse(ErrorKind::Timeout, Failure.displayText());
  } catch (const Poco::Exception &Failure) {
    return refuse(ErrorKind::LinkLost, Failure.displayText());
  } catch (const std::ios_base::failure &) {
    return refuse(ErrorKind::LinkLost, "the connection failed before");
  }
}

std::unique_ptr<HTTPClientSession> makeSession(const HttpTarget &Target) {
  auto Session = std::make_unique<HTTPClientSession>(Target.Host, Target.Port);
  auto Micros = std::chrono::microseconds(Target.Timeout).count();
  Session->setTimeout(Poco::Timespan(Micros));
  Session->setKeepAlive(true);
  return Session;
}

void sendRequest(HTTPClientSession &Session, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 const HttpHeaders &Headers) {
  Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
  for (const auto &[Name, Value] : Headers)
    Request.set(Name, Value);
  if (!Body.empty())
    Request.setContentType("application/json");
  if (Method != "GET")
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  std::ostream &Out = Session.sendRequest(Request);
  Out << Body << std::flush;
}

std::istream &receiveHead(HTTPClientSession &Session, HttpJsonAnswer &Answer) {
  Poco::Net::HTTPResponse Response;
  std::istream &In = Session.receiveResponse(Response);
  Answer.Status = Response.getStatus();
  for (const auto &[Name, Value] : Response)
    Answer.Headers[Name] = Value;
  return In;
}

/// Reading fails by throwing rather than by looking like the end.
std::string readText(std::istream &In) {
  std::string Text;
  In.exceptions(std::ios::badbit);
  Poco::StreamCopier::copyToString(In, Text);
  return Text;
}

void readBody(std::istream &In, HttpJsonAnswer &Answer) {
  Answer.Text = readText(In);
  Json Body = Json::parse(Answer.Text, nullptr, false);
  Answer.Body = Body.is_discarded() ? Json() : Body;
}

} // namespace

struct HttpJson::Impl {
  std::unique_ptr<HTTPClientSession> Session;
};

HttpJson::HttpJson(HttpTarget Target) : Pimpl(new Impl{makeSession(Target)}) {}

HttpJson::~HttpJson() = default;
HttpJson::HttpJson(HttpJson &&) noexcept = default;

Expected<HttpJsonAnswer> HttpJson::get(const std::string &Path,
                                       const HttpHeaders &Headers) {
  return call("GET", Path, "", Headers);
}

Expected<HttpJsonAnswer> HttpJson::put(const std::string &Path,
                                       const Json &Body,
                                       const HttpHeaders &Headers) {
  return call("PUT", Path, Body.dump(), Headers);
}

Expected<HttpJsonAnswer> HttpJson::post(const std::string &Path,
                                        const Json &Body,
                                        const HttpHeaders &Headers) {
  return call("POST", Path, Body.dump(), Headers);
}

Expected<HttpJsonAnswer> HttpJson::remove(const std::string &Path,
                                          const HttpHeaders &Headers) {
  return call("DELETE", Path, "", Headers);
}

Expected<HttpJsonAnswer> HttpJson::call(const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body,
                                        const HttpHeaders &Headers) {
  auto Answer = guarded([&]() -> Expected<HttpJsonAnswer> {
    HttpJsonAnswer Result;
    sendRequest(*Pimpl->Session, Method, Path, Body, Headers);
    readBody(receiveHead(*Pimpl->Session, Result), Result);
    return Result;
  });
  if (!Answer)
    Pimpl->Session->reset();
  return Answer;
}

struct HttpEvents::Impl {
  std::unique_ptr<HTTPClientSession> Session;
  HttpJsonAnswer Answer;
  std::istream *In = nullptr;
};

HttpEvents::HttpEvents(std::unique_ptr<Impl> Pimpl) : Pimpl(std::move(Pimpl)) {}

HttpEvents::~HttpEvents() = default;

Expected<std::unique_ptr<HttpEvents>>
HttpEvents::open(HttpTarget Target, const std::string &Path, const Json &Body,
                 const HttpHeaders &Headers) {
  return guarded([&]() -> Expected<std::unique_ptr<HttpEvents>> {
    auto Opened = std::make_unique<Impl>();
    Opened->Session = makeSession(Target);
    bool Posts = !Body.is_null();
    sendRequest(*Opened->Session, Posts ? "POST" : "GET", Path,
                Posts ? Body.dump() : "", Headers);
    Opened->In = &receiveHead(*Opened->Session, Opened->Answer);
    if (Opened->Answer.Status != 200)
      readBody(*Opened->In, Opened->Answer);
    else
      Opened->In->exceptions(std::ios::badbit);
    return std::unique_ptr<HttpEvents>(new HttpEvents(std::move(Opened)));
  });
}

const HttpJsonAnswer &HttpEvents::answer() const { return Pimpl->Answer; }

Expected<std::optional<Json>> HttpEvents::next() {
  return guarded([&]() -> Expected<std::optional<Json>> {
    std::string Line;
    while (std::getline(*Pimpl->In, Line)) {
      if (Line.rfind(EventPrefix, 0) != 0)
        continue;
      std::string Data = Line.substr(EventPrefix.size());
      if (Data == EndOfEvents)
        return std::nullopt;
      Json Event = Json::parse(Data, nullptr, false);
      if (Event.is_discarded())
        return refuse(ErrorKind::EndpointFailed, "malformed event: " + Data);
      return Event;
    }
    return refuse(ErrorKind::LinkLost, "the stream ended before [DONE]");
  });
}

Expected<std::vector<Json>> HttpEvents::rest() {
  std::vector<Json> Events;
  while (true) {
    auto Event = next();
    if (!Event)
      return tl::unexpected(Event.error());
    if (!*Event)
      return Events;
    Events.push_back(std::move(**Event));
  }
}

} // namespace tamarack
