#include "HttpCall.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <istream>
#include <ostream>

namespace tamarack {
namespace internal {
namespace {

constexpr const char *EventPrefix = "data: ";
constexpr const char *LastEvent = "[DONE]";

Poco::Timespan spanOf(Duration Span) {
  return {0, static_cast<long>(Span.count())};
}

/// Writes the request; what throws here was not sent whole.
void send(Poco::Net::HTTPClientSession &Session, const HttpRequest &Request) {
  Poco::Net::HTTPRequest Head(Request.Method, Request.Path,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto &[Name, Value] : Request.Headers)
    Head.set(Name, Value);
  if (!Request.Body.empty())
    Head.setContentType("application/json");
  Head.setContentLength(static_cast<std::streamsize>(Request.Body.size()));
  Session.sendRequest(Head) << Request.Body << std::flush;
}

/// Reads the head of the answer. Throws if its status is none that may end an
/// exchange (RFC 9110, section 15).
std::istream &receive(Poco::Net::HTTPClientSession &Session,
                      Poco::Net::HTTPResponse &Head) {
  std::istream &Body = Session.receiveResponse(Head);
  const int Status = Head.getStatus();
  if (Status < 200 || Status >= 600)
    throw Poco::Net::MessageException("the status of the answer is invalid");
  return Body;
}

Error errorOf(const Poco::Exception &Thrown, const Address &To, bool Sent) {
  const bool Late =
      dynamic_cast<const Poco::TimeoutException *>(&Thrown) != nullptr;
  return {Sent && Late ? ErrorKind::Timeout : ErrorKind::LinkLost,
          To.Host + ":" + std::to_string(To.Port) + ": " + Thrown.displayText(),
          Sent ? NotRun::Unproved : NotRun::Proved,
          {}};
}

/// Opens the connection, runs \p Talk on it, and turns what it throws into an
/// error. Nothing has been sent until the connection stands.
template <typename Result>
Expected<Result>
withSession(const Address &To, Duration Limit,
            const std::function<Result(Poco::Net::HTTPClientSession &)> &Talk) {
  bool Connected = false;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(To.Host, To.Port), spanOf(Limit));
    Socket.setNoDelay(true);
    // The session sets its own time limit only on sockets that it connects.
    Socket.setReceiveTimeout(spanOf(Limit));
    Socket.setSendTimeout(spanOf(Limit));
    Poco::Net::HTTPClientSession Session(Socket);
    Session.setTimeout(spanOf(Limit));
    Connected = true;
    return Talk(Session);
  } catch (const Poco::Exception &Thrown) {
    return tl::make_unexpected(errorOf(Thrown, To, Connected));
  } catch (const std::exception &Thrown) {
    return refuse(ErrorKind::LinkLost, Thrown.what(),
                  Connected ? NotRun::Unproved : NotRun::Proved);
  }
}

} // namespace

Expected<HttpAnswer> httpCall(const Address &To, const HttpRequest &Request,
                              Duration Limit) {
  return withSession<HttpAnswer>(
      To, Limit, [&Request](Poco::Net::HTTPClientSession &Session) {
        send(Session, Request);
        Poco::Net::HTTPResponse Head;
        HttpAnswer Answer;
        std::istream &Body = receive(Session, Head);
        Answer.Status = Head.getStatus();
        Poco::StreamCopier::copyToString(Body, Answer.Body);
        // The stream catches what the socket throws.
        if (Body.bad())
          throw Poco::Net::NetException("the answer was broken off");
        const auto Length = Head.getContentLength();
        if (Length >= 0 &&
            static_cast<std::size_t>(Length) > Answer.Body.size())
          throw Poco::Net::MessageException("the answer was cut");
        return Answer;
      });
}

Expected<StreamEnd>
httpStream(const Address &To, const HttpRequest &Request, Duration Silence,
           const std::function<bool(const std::string &)> &OnEvent) {
  return withSession<StreamEnd>(
      To, Silence, [&](Poco::Net::HTTPClientSession &Session) {
        send(Session, Request);
        Poco::Net::HTTPResponse Head;
        std::istream &Body = receive(Session, Head);
        StreamEnd End;
        End.Status = Head.getStatus();
        if (Head.getContentType().rfind("text/event-stream", 0) != 0) {
          Poco::StreamCopier::copyToString(Body, End.Body);
          return End;
        }
        std::string Line;
        while (std::getline(Body, Line)) {
          if (!Line.empty() && Line.back() == '\r')
            Line.pop_back();
          if (Line.rfind(EventPrefix, 0) != 0)
            continue;
          const std::string Data =
              Line.substr(std::char_traits<char>::length(EventPrefix));
          if (Data == LastEvent) {
            End.Finished = true;
            break;
          }
          if (!OnEvent(Data))
            break;
        }
        return End;
      });
}

} // namespace internal
} // namespace tamarack
