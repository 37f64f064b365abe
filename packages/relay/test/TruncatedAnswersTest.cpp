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

/// Guards against a success with an empty or short body after an endpoint broke
/// off its answer or sent a head that cannot be trusted.
BOOST_FIXTURE_TEST_SUITE(TruncatedAnswers, AnswerFixture)

BOOST_AUTO_TEST_SUITE(WithHeadsThatAreCut)

BOOST_AUTO_TEST_CASE(AreNoSuccess) {
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  for (const std::string &Bytes :
       {std::string("HTTP/1.1 20"), std::string("HTTP/1.1 200 OK\r\n"),
        std::string("HTTP/1.1 200 OK\r\nId: {id}"), Signed + "\r",
        Signed + Length.substr(0, Length.size() - 3), Signed + Length,
        Signed + Length + "\r"}) {
    checkIsNotAnswered(closing(Bytes));
    checkIsNotAnswered(closing(Bytes, true));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithHeadsThatAreMalformed)

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheFramingIsAmbiguous) {
  for (const char *Fields :
       {"Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4, 5\r\n", "Content-Length: -4\r\n",
        "Content-Length: 4x\r\n", "Content-Length: \r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"})
    checkIsNotAnswered(closing(Signed + Fields + "\r\ndone"));
}

/// The body would be that of another coding, or end where its bytes do not say.
BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheTransferCodingIsUnknown) {
  for (const char *Fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: xchunked\r\n"})
    checkIsNotAnswered(closing(Signed + Fields + "\r\ndone"));
  checkIsNotAnswered(closing(Signed +
                             "Transfer-Encoding: gzip, chunked\r\n\r\n" +
                             encodeChunk("done") + std::string(LastChunk)));
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheyAreOfAnotherProtocol) {
  checkIsNotAnswered(closing("done\r\n"));
  checkIsNotAnswered(closing("<html>done</html>"));
  checkIsNotAnswered(closing("HTTP/2 200\r\n" + SignedFields + "\r\ndone"));
  checkIsNotAnswered(closing("HTTP/1.1 200 OK\nId: {id}\nSigned: s\n\ndone"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatEndWithTheirConnection)

BOOST_AUTO_TEST_CASE(AreCompleteIfItIsClosed) {
  checkIsAnswered(closing(Signed + "\r\n" + Body), Body);
  checkIsAnswered(closing("HTTP/1.0 200 OK\r\n" + SignedFields + "\r\n" + Body),
                  Body);
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfItIsReset) {
  checkIsNotAnswered(closing(Signed + "\r\n" + Body, true));
  checkIsNotAnswered(closing(Signed + "\r\n", true));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CutAndSplitAnywhere)

/// How an answer is framed, and whether its route streams.
struct Framing {
  bool IsStream;
  enum { ByLength, ByChunks, ByConnection } End;
};

const std::vector<std::string> Events = {"id: 1\ndata: d1\n\n",
                                         "id: 2\ndata: d2\n\n"};

std::string wholeBody(const Framing &Kind) {
  return Kind.IsStream ? Events[0] + Events[1] : Body;
}

std::string encode(const Framing &Kind) {
  const std::string Whole = wholeBody(Kind);
  switch (Kind.End) {
  case Framing::ByLength:
    return Signed + "Content-Length: " + std::to_string(Whole.size()) +
           "\r\n\r\n" + Whole;
  case Framing::ByChunks:
    return Signed + "Transfer-Encoding: chunked\r\n\r\n" +
           (Kind.IsStream ? encodeChunk(Events[0]) + encodeChunk(Events[1])
                          : encodeChunk(Body.substr(0, 9)) +
                                encodeChunk(Body.substr(9))) +
           std::string(LastChunk);
  default:
    return Signed + "\r\n" + Whole;
  }
}

/// Describes what is wrong with the answer to a request whose endpoint sent the
/// first \p Sent bytes of \p Text; empty if nothing is.
std::string findFault(const Framing &Kind, const std::string &Text,
                      std::size_t Sent, bool IsReset,
                      const RawResponse &Answer) {
  const std::string Whole = wholeBody(Kind);
  if (Answer.Bytes.empty())
    return "no answer";
  if (!Answer.Extra.empty())
    return "bytes after the answer";
  if (Answer.Status >= 500)
    return !Answer.IsComplete          ? "an error that is incomplete"
           : Answer.hasField("Signed") ? "an error that is signed"
                                       : "";
  if (Answer.Status != 200 || !Answer.hasField("Signed: s\r\n"))
    return "an answer of neither the endpoint nor the entry";
  if (Whole.compare(0, Answer.Body.size(), Answer.Body) != 0)
    return "a body that is not the endpoint's";
  if (!Answer.IsComplete)
    return Answer.IsClosed ? "" : "an answer that does not end";
  if (Kind.End == Framing::ByConnection && IsReset)
    return "a success after a reset";
  if (Answer.Body == Whole)
    return Sent == Text.size() || Kind.End == Framing::ByConnection
               ? ""
               : "a success before its end";
  if (Kind.End != Framing::ByConnection)
    return "a success that is short";
  // What has arrived is complete, if it is a series of events on a stream.
  const std::size_t HeadSize = Text.find("\r\n\r\n") + 4;
  if (Sent < HeadSize || Answer.Body.size() != Sent - HeadSize)
    return "a success with a part of what was sent";
  if (Kind.IsStream && Answer.Body != Events[0])
    return "a stream that ends in an event, or before the first";
  return "";
}

/// Sends one request after the other, each with a response that is cut one byte
/// later. The response comes in one segment, or in two that are split at
/// random.
Task<bool> cutEverywhere(AnswerFixture &Self, Framing Kind, bool IsReset,
                         std::mt19937 &Random) {
  const std::string Text = encode(Kind);
  for (std::size_t Sent = 0; Sent <= Text.size(); ++Sent) {
    const std::string Cut = Text.substr(0, Sent);
    ScriptedResponse Response = closing(Cut, IsReset);
    if (Random() % 8 == 0) {
      const std::size_t Split = Random() % (Sent + 1);
      Response.Bytes = Cut.substr(0, Split);
      Response.LaterSegments = {Cut.substr(Split)};
    }
    Self.setResponses({Response});
    const bool MayRepeat = !Kind.IsStream && Random() % 2 == 0;
    const std::string Route = Kind.IsStream ? "/turn/"
                              : MayRepeat   ? "/safe/"
                                            : "/once/";
    const std::string Request =
        Self.encodeNext("POST", Route + std::to_string(Sent));
    RawCaller Caller(Self.Io, Self.EntryAddress);
    const RawResponse Answer = co_await Caller.send(Request);
    const std::string Fault = findFault(Kind, Text, Sent, IsReset, Answer);
    BOOST_TEST(Fault.empty(), Fault << " after " << Sent << " of "
                                    << Text.size() << " bytes, stream "
                                    << Kind.IsStream << ", framing " << Kind.End
                                    << ", reset " << IsReset << ", route "
                                    << Route << ": " << Answer.Bytes);
  }
  co_return true;
}

BOOST_AUTO_TEST_CASE(AreNeverAShortSuccess) {
  std::mt19937 Random(37);
  for (const bool IsStream : {false, true})
    for (const auto End :
         {Framing::ByLength, Framing::ByChunks, Framing::ByConnection})
      for (const bool IsReset : {false, true})
        BOOST_TEST(
            await(cutEverywhere(*this, {IsStream, End}, IsReset, Random)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

/// Guards against bytes after a response that has no body by definition: the
/// caller takes them for the start of the next one.
BOOST_FIXTURE_TEST_SUITE(AnswersWithoutBody, AnswerFixture)

BOOST_AUTO_TEST_CASE(ToHeadRequestsHaveNone) {
  setResponses({{Signed + "Content-Length: 5\r\n\r\n"}});
  for (const char *Target : {"/safe/x", "/once/x", "/turn/x"}) {
    RawCaller Caller(Io, EntryAddress);
    for (int Number = 0; Number < 2; ++Number) {
      const RawResponse Answer = send("HEAD", Target, &Caller);
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(Answer.hasField("Signed: s\r\n"));
      BOOST_TEST(!Answer.hasField("Content-Length: 0\r\n"));
      BOOST_TEST(Answer.Extra == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(HaveNoneIfTheyAreErrorsOfTheEntry) {
  listEndpoints({});
  RawCaller Caller(Io, EntryAddress);
  for (int Number = 0; Number < 2; ++Number) {
    const RawResponse Answer = send("HEAD", "/safe/x", &Caller);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.Extra == "");
  }
}

BOOST_AUTO_TEST_CASE(OfStatus204And304HaveNoLength) {
  for (const char *Status : {"204 No Content", "304 Not Modified"}) {
    setResponses(
        {{std::string("HTTP/1.1 ") + Status + "\r\n" + SignedFields + "\r\n"}});
    for (const char *Target : {"/once/x", "/turn/x"}) {
      RawCaller Caller(Io, EntryAddress);
      for (int Number = 0; Number < 2; ++Number) {
        const RawResponse Answer = send("POST", Target, &Caller);
        BOOST_TEST(Answer.Status == std::stoi(Status));
        BOOST_TEST(Answer.hasField("Signed: s\r\n"));
        BOOST_TEST(!Answer.hasField("Content-Length"));
        BOOST_TEST(Answer.Extra == "");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against an answer that is lost because the endpoint announces it with
/// an interim response, which any HTTP/1.1 server may send.
BOOST_FIXTURE_TEST_SUITE(InterimResponses, AnswerFixture)

BOOST_AUTO_TEST_CASE(PrecedeTheAnswer) {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  checkIsAnswered({Interim + signedResponse("done")}, "done");
  setResponses({{Interim + completeStream(1)}});
  BOOST_TEST(send("POST", "/turn/x").Body == "id: 1\ndata: d1\n\n");
  setResponses({{Interim + Signed + "Content-Length: 5\r\n\r\n"}});
  BOOST_TEST(send("HEAD", "/once/x").Status == 200);
}

BOOST_AUTO_TEST_CASE(AreNoAnswer) {
  checkIsNotAnswered(closing("HTTP/1.1 102 Processing\r\n\r\n"));
  checkIsNotAnswered(closing("HTTP/1.1 101 Switching Protocols\r\n"
                             "Upgrade: x\r\n" +
                             SignedFields + "\r\ndone"));
}

BOOST_AUTO_TEST_CASE(WithoutEndCloseTheConnection) {
  ScriptedResponse Response;
  Response.Endless = "HTTP/1.1 102 Processing\r\n\r\n";
  const TimePoint SentAt = steadyNow();
  checkIsNotAnswered(Response);
  // Long before the deadline of 2 s.
  BOOST_TEST((steadyNow() - SentAt < Duration(1s)));
  Response.Endless = "HTTP/1.1 100 Continue\r\n\r\n";
  checkIsNotAnswered(Response);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a status that no response may have (RFC 9110, section 15) and
/// that callers get as an answer, and against the body of such a response that
/// is taken for the answer.
BOOST_FIXTURE_TEST_SUITE(AnswersWithAnInvalidStatus, AnswerFixture)

const std::vector<std::string> InvalidStatuses = {
    "000 OK", "001 OK",  "099 OK", "101 OK",  "600 OK",  "700 OK",
    "999 OK", "0 OK",    "20 OK",  "1000 OK", "2000 OK", "2xx OK",
    "OK",     "+200 OK", "-1 OK",  "+20 OK",  "-20 OK",  " 200 OK",
    "  OK",   "",        "2 0 OK", "0x0 OK",  "20\t OK", "200.0 OK"};

/// A signed head without framing.
std::string headWithStatus(const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\n" + SignedFields + "\r\n";
}

/// A head without any field.
std::string bareHead(const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\n\r\n";
}

BOOST_AUTO_TEST_CASE(AreNoAnswer) {
  for (const std::string &Status : InvalidStatuses) {
    BOOST_TEST_CONTEXT("status " << Status) {
      const TimePoint SentAt = steadyNow();
      checkIsNotAnswered({signedResponse("done", "", Status)});
      checkIsNotAnswered({signedResponse("", "", Status)});
      checkIsNotAnswered(closing(headWithStatus(Status) + "done"));
      // Long before the deadlines of 2 s.
      BOOST_TEST((steadyNow() - SentAt < Duration(1s)));
    }
  }
}

BOOST_AUTO_TEST_CASE(AreNoAnswerOnStreamingRoutes) {
  for (const std::string &Status : InvalidStatuses)
    for (const std::string &Fields :
         {std::string(), std::string("Content-Type: text/event-stream\r\n")}) {
      setResponses({{signedResponse("id: 1\ndata: d1\n\n", Fields, Status)}});
      const RawResponse Answer = send("POST", "/turn/x");
      BOOST_TEST(Answer.Status == 502, "status " << Status);
      BOOST_TEST(Answer.IsComplete);
      BOOST_TEST(!Answer.hasField("Signed"));
    }
}

BOOST_AUTO_TEST_CASE(DoNotHideAnAnswerInTheirBody) {
  for (const std::string &Status : InvalidStatuses)
    checkIsNotAnswered({signedResponse(signedResponse("inner"), "", Status)});
}

BOOST_AUTO_TEST_CASE(DoNotPrecedeAnAnswer) {
  for (const std::string &Status : InvalidStatuses)
    checkIsNotAnswered({bareHead(Status) + signedResponse("done")});
}

BOOST_AUTO_TEST_CASE(ProveNothingAboutTheRequest) {
  for (const std::string &Status : InvalidStatuses) {
    setResponses({{signedResponse("", "Not-Run: 1\r\n", Status)}});
    for (const char *Target : {"/once/x", "/turn/x"}) {
      const std::size_t SentBefore = requestCount();
      const RawResponse Answer = send("POST", Target);
      BOOST_TEST(Answer.Status == 502, Target << " status " << Status);
      BOOST_TEST(requestCount() - SentBefore == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AreRepeatedElsewhereIfTheRequestMayBe) {
  for (const char *Status : {"000 OK", "600 OK", "2xx OK"}) {
    setResponses({{signedResponse("done")}});
    // The endpoint that is chosen first differs with the id.
    const std::string Request = encodeNext("POST", "/safe/x");
    for (std::size_t Faulty : {0U, 1U}) {
      Endpoints[Faulty]->Responses = {{signedResponse("", "", Status)}};
      RawCaller Caller(Io, EntryAddress);
      const RawResponse Answer = await(Caller.send(Request));
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(Answer.Body == "done");
      Endpoints[Faulty]->Responses = {{signedResponse("done")}};
    }
  }
}

BOOST_AUTO_TEST_CASE(AreNotMistakenForOtherValidOnes) {
  for (const int Status : {200, 226, 299, 399, 400, 451, 499, 500, 599}) {
    setResponses({{signedResponse("done", "", std::to_string(Status) + " X")}});
    const RawResponse Answer = send("POST", "/once/x");
    BOOST_TEST(Answer.Status == Status);
    BOOST_TEST(Answer.Body == "done");
    BOOST_TEST(Answer.hasField("Signed: s\r\n"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE_END()
