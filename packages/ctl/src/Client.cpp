#include "tamarack/ctl/Client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <istream>
#include <ostream>

namespace tamarack {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr unsigned LastPort = 65535;
constexpr std::size_t LongestPort = 5;

void send(HTTPClientSession &Session, const Key &OperatorKey,
          const CtlRequest &Asked) {
  HTTPRequest Request(Asked.Method, Asked.Path, HTTPRequest::HTTP_1_1);
  const std::string Body = Asked.Body.is_null() ? "" : Asked.Body.dump();
  Request.set("Authorization", "Bearer " + OperatorKey.secret());
  Request.setContentType("application/json");
  Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  Session.sendRequest(Request) << Body << std::flush;
}

Error refusalIn(const Json &Answer, int Status) {
  const Json Body = Answer.is_object() ? Answer.value("error", Json()) : Json();
  if (!Body.is_object() || !Body.value("kind", Json()).is_string())
    return {ErrorKind::Internal,
            "the entry answered with status " + std::to_string(Status),
            NotRun::Unproved,
            {}};
  const Json Message = Body.value("message", Json());
  return {errorKindOf(Body["kind"].get<std::string>()),
          Message.is_string() ? Message.get<std::string>() : "",
          Body.value("not_run", Json()) == true ? NotRun::Proved
                                                : NotRun::Unproved,
          {}};
}

Expected<Json> receive(HTTPClientSession &Session) {
  HTTPResponse Response;
  std::string Text;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
  const Json Answer = Json::parse(Text, nullptr, false);
  const int Status = Response.getStatus();
  if (Status >= HTTPResponse::HTTP_BAD_REQUEST) {
    Error Refusal = refusalIn(Answer, Status);
    if (Status == HTTPResponse::HTTP_UNAUTHORIZED)
      Refusal.Kind = ErrorKind::Unauthorized;
    return tl::make_unexpected(Refusal);
  }
  if (Answer.is_discarded())
    return refuse(ErrorKind::Internal, "the entry's answer is no JSON");
  return Answer;
}

/// Nothing has been sent before there is a connection.
tl::unexpected<Error> refuseLink(const std::string &Why, bool IsConnected) {
  if (!IsConnected)
    return refuse(ErrorKind::LinkLost, "can't reach the entry: " + Why,
                  NotRun::Proved);
  return refuse(ErrorKind::LinkLost,
                "no answer; it is not known whether the request took effect: " +
                    Why);
}

/// A session whose connection is made before anything is sent, so that a
/// failure to connect is told from a lost answer.
class ConnectingSession : public HTTPClientSession {
public:
  ConnectingSession(const Address &Entry, const Poco::Timespan &Timeout)
      : HTTPClientSession(Entry.Host, Entry.Port) {
    setTimeout(Timeout);
    setKeepAlive(false);
  }

  void connectNow() { connect(Poco::Net::SocketAddress(getHost(), getPort())); }
};

} // namespace

Expected<Address> addressFrom(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  const std::string Host = Text.substr(0, Colon);
  const std::string Port =
      Colon == std::string::npos ? "" : Text.substr(Colon + 1);
  Poco::Net::IPAddress Ignored;
  const bool IsPort =
      !Port.empty() && Port.size() <= LongestPort &&
      Port.find_first_not_of("0123456789") == std::string::npos &&
      std::stoul(Port) >= 1 && std::stoul(Port) <= LastPort;
  if (!IsPort || !Poco::Net::IPAddress::tryParse(Host, Ignored))
    return refuse(ErrorKind::MalformedRequest,
                  "--entry " + Text +
                      ": expected an IP number, a colon and a "
                      "port",
                  NotRun::Proved);
  return Address{Host, static_cast<std::uint16_t>(std::stoul(Port))};
}

Expected<Json> sendRequest(const Address &Entry, const Key &OperatorKey,
                           const CtlRequest &Request, Duration Timeout) {
  bool IsConnected = false;
  try {
    ConnectingSession Session(Entry, Poco::Timespan(Timeout.count()));
    Session.connectNow();
    IsConnected = true;
    send(Session, OperatorKey, Request);
    return receive(Session);
  } catch (const Poco::Exception &Failure) {
    return refuseLink(Failure.displayText(), IsConnected);
  } catch (const std::exception &Failure) {
    return refuseLink(Failure.what(), IsConnected);
  }
}

} // namespace tamarack
