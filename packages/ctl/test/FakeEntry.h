/// An entry's operator port that remembers the request and gives one answer.
#ifndef TAMARACK_CTL_TEST_FAKEENTRY_H
#define TAMARACK_CTL_TEST_FAKEENTRY_H

#include "tamarack/base/Json.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <string>

namespace tamarack {

class FakeEntry {
public:
  /// Status zero closes the connection without an answer.
  FakeEntry(int Status, std::string Answer)
      : Status(Status), Answer(std::move(Answer)),
        Socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Server(new Factory(*this), Socket, new Poco::Net::HTTPServerParams) {
    Server.start();
  }
  ~FakeEntry() { Server.stopAll(true); }
  FakeEntry(const FakeEntry &) = delete;
  FakeEntry &operator=(const FakeEntry &) = delete;

  std::string address() const { return Socket.address().toString(); }

  std::string Method;
  std::string Path;
  std::string Authorization;
  std::string Body;

private:
  class Handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit Handler(FakeEntry &Entry) : Entry(Entry) {}
    void handleRequest(Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response) override {
      Entry.Method = Request.getMethod();
      Entry.Path = Request.getURI();
      Entry.Authorization = Request.get("Authorization", "");
      Poco::StreamCopier::copyToString(Request.stream(), Entry.Body);
      if (Entry.Status == 0)
        return;
      Response.setStatus(std::to_string(Entry.Status));
      Response.setContentLength64(
          static_cast<Poco::Int64>(Entry.Answer.size()));
      Response.send() << Entry.Answer;
    }

  private:
    FakeEntry &Entry;
  };

  class Factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit Factory(FakeEntry &Entry) : Entry(Entry) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
      return new Handler(Entry);
    }

  private:
    FakeEntry &Entry;
  };

  int Status;
  std::string Answer;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

} // namespace tamarack

#endif // TAMARACK_CTL_TEST_FAKEENTRY_H
