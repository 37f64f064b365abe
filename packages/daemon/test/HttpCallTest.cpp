#include "HttpCall.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

enum class Ending { Close, Reset };

/// A server that sends the same bytes in answer to one request.
class RawServer {
public:
  RawServer(std::string Bytes, Ending End)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this, Bytes = std::move(Bytes), End] {
          Poco::Net::StreamSocket Caller = Listener.acceptConnection();
          char Buffer[4096];
          Caller.receiveBytes(Buffer, sizeof Buffer);
          Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
          if (End == Ending::Reset) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            Caller.setLinger(true, 0);
          }
          Caller.close();
        }) {}
  ~RawServer() { Thread.join(); }

  Expected<HttpAnswer> answer() {
    return httpCall({"127.0.0.1", Listener.address().port()},
                    {"POST", "/x", "{}", {}}, std::chrono::seconds(2));
  }

private:
  Poco::Net::ServerSocket Listener;
  std::thread Thread;
};

Expected<HttpAnswer> answerTo(const std::string &Bytes,
                              Ending End = Ending::Close) {
  return RawServer(Bytes, End).answer();
}

} // namespace

/// Guards against a part of an answer that is taken for a whole one, and
/// against a status that no response may have.
BOOST_AUTO_TEST_SUITE(AnswersOfServices)

BOOST_AUTO_TEST_CASE(AreTakenIfTheyAreWhole) {
  for (const char *Framing : {"Content-Length: 4\r\n", ""}) {
    const auto Answer =
        answerTo(std::string("HTTP/1.1 200 OK\r\n") + Framing + "\r\ndone");
    BOOST_REQUIRE(Answer.has_value());
    BOOST_TEST(Answer->Status == 200);
    BOOST_TEST(Answer->Body == "done");
  }
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheirConnectionIsReset) {
  for (const char *Framing : {"Content-Length: 40\r\n\r\n", "\r\n",
                              "Transfer-Encoding: chunked\r\n\r\n28\r\n"}) {
    const auto Answer = answerTo(
        std::string("HTTP/1.1 200 OK\r\n") + Framing + "a part", Ending::Reset);
    BOOST_TEST(!Answer.has_value(), Framing);
  }
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheirStatusIsInvalid) {
  for (const char *Status :
       {"000", "099", "101", "600", "999", "1000", "2xx"}) {
    const auto Answer = answerTo(std::string("HTTP/1.1 ") + Status +
                                 " X\r\nContent-Length: 4\r\n\r\ndone");
    BOOST_TEST(!Answer.has_value(), Status);
    if (!Answer)
      BOOST_TEST((Answer.error().Proof == NotRun::Unproved));
  }
}

BOOST_AUTO_TEST_SUITE_END()
