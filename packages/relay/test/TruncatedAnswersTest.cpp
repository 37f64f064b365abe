#include "RawCaller.h"
#include "RelayFixture.h"

#include <random>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

const std::string Body = "done: the whole body of the answer\n";
const std::string SignedFields = "Id: {id}\r\nSigned: s\r\n";
const std::string Signed = "HTTP/1.1 200 OK\r\n" + SignedFields;

ScriptedResponse closing(std::string Bytes, bool Reset = false) {
  ScriptedResponse Result;
  Result.Bytes = std::move(Bytes);
  Result.CloseAfter = !Reset;
  Result.Reset = Reset;
  return Result;
}

struct AnswerFixture : RelayFixture {
  /// The bytes of a request with a new id.
  std::string encodeNext(const std::string &Method, const std::string &Target) {
    HttpRequest Request{Method, Target, {}, Method == "POST" ? "b" : ""};
    Request.Fields.All = {{"Host", "h"}, {"Id", std::to_string(++LastId)}};
    if (!Request.Body.empty())
      Request.Fields.add("Content-Length", "1");
    return encodeRequest(Request);
  }
  RawResponse send(const std::string &Method, const std::string &Target,
                   RawCaller *Caller = nullptr) {
    RawCaller Own(Io, EntryAddress);
    return await((Caller == nullptr ? Own : *Caller)
                     .send(encodeNext(Method, Target), Method == "HEAD"));
  }
  /// Checks that requests which may and which may not be repeated end with an
  /// error that promises nothing if all endpoints send \p Response.
  void checkIsNotAnswered(const ScriptedResponse &Response) {
    setResponses({Response});
    for (const char *Target : {"/safe/x", "/once/x"}) {
      const std::size_t SentBefore = requestCount();
      const RawResponse Answer = send("POST", Target);
      BOOST_TEST(Answer.Status == 502);
      BOOST_TEST(Answer.IsComplete);
      BOOST_TEST(!Answer.hasField("Signed"));
      const bool MayRepeat = Target[1] == 's';
      BOOST_TEST(requestCount() - SentBefore == (MayRepeat ? 2U : 1U));
    }
  }
  void checkIsAnswered(const ScriptedResponse &Response,
                       const std::string &ExpectedBody) {
    setResponses({Response});
    for (const char *Target : {"/safe/x", "/once/x"}) {
      const RawResponse Answer = send("POST", Target);
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(Answer.IsComplete);
      BOOST_TEST(Answer.Body == ExpectedBody);
      BOOST_TEST(Answer.hasField("Signed: s\r\n"));
    }
  }

  int LastId = 0;
};

} // namespace

/// Guards against a request of a kept connection that was passed on and ends
/// with a closed connection instead of an answer.
BOOST_FIXTURE_TEST_SUITE(KeptConnections, AnswerFixture)

BOOST_AUTO_TEST_CASE(GetAnAnswerHoweverTheEndpointFails) {
  ScriptedResponse Crash;
  Crash.Bytes = Signed;
  Crash.Crash = true;
  const std::vector<ScriptedResponse> Failures = {
      closing(""),
      closing("", true),
      closing("HTTP/1.1 200"),
      closing(Signed + "\r\n", true),
      closing(Signed + "Content-Length: 5\r\n\r\nab"),
      closing(Signed + "Transfer-Encoding: chunked\r\n\r\n", true),
      closing("HTTP/1.1 200 OK\r\n\r\nunsigned"),
      closing("HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n\r\n"),
      {"garbage\r\n\r\n"},
      {Signed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"},
      notRunResponse(),
      {signedResponse("failed", "", "500 Internal Server Error")},
      Crash,
  };
  for (const char *Target : {"/safe/", "/once/", "/turn/"}) {
    RawCaller Caller(Io, EntryAddress);
    for (std::size_t Index = 0; Index < Failures.size(); ++Index) {
      setResponses({Failures[Index]});
      const RawResponse Answer =
          send("POST", Target + std::to_string(Index), &Caller);
      BOOST_TEST(Answer.Status >= 500, Target << " failure " << Index);
      BOOST_TEST(Answer.IsComplete);
      BOOST_TEST(!Answer.IsClosed);
      for (auto &Endpoint : Endpoints)
        if (Endpoint->isCrashed())
          Endpoint->start();
    }
  }
}

BOOST_AUTO_TEST_CASE(StayOpenIfTheEndpointClosesItsOwn) {
  setResponses({closing(signedResponse("done", "Connection: close\r\n"))});
  RawCaller Caller(Io, EntryAddress);
  for (int Number = 0; Number < 3; ++Number) {
    const RawResponse Answer = send("POST", "/once/x", &Caller);
    BOOST_TEST(Answer.Body == "done");
    BOOST_TEST(!Answer.hasField("Connection"));
    BOOST_TEST(!Answer.IsClosed);
  }
}

/// A FIN is all that shows that a caller has closed its connection.
BOOST_AUTO_TEST_CASE(AreGivenUpWhenTheCallerEndsItsOwnDirection) {
  setResponses({{signedResponse("late"), false, 500ms}});
  RawCaller Caller(Io, EntryAddress);
  asio::steady_timer Timer(Io, 100ms);
  Timer.async_wait([&](const ErrorCode &) { Caller.shutdownSend(); });
  const RawResponse Answer = send("POST", "/once/x", &Caller);
  BOOST_TEST(Answer.IsClosed);
  BOOST_TEST(Answer.Bytes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
