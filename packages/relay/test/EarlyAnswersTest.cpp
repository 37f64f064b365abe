#include "RawCaller.h"
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// More than the kernel takes of a request that its endpoint does not read.
constexpr std::size_t UploadBytes = 8U << 20U;

const std::string Signed = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n";
const std::string StreamFields = "Content-Type: text/event-stream\r\n";
const std::string FirstEvent = "id: 1\ndata: d1\n\n";

enum class Ending { Close, Reset, EndOfSending };

/// A response that is sent while the upload is still being written, with a
/// pause before its last part and one before its end.
ScriptedResponse early(const std::string &Head, const std::string &Part,
                       Ending End) {
  ScriptedResponse Result{Head};
  Result.LaterSegments = {Part, ""};
  Result.SegmentInterval = 20ms;
  Result.IsEarly = true;
  Result.CloseAfter = End == Ending::Close;
  Result.Reset = End == Ending::Reset;
  Result.EndsSending = End == Ending::EndOfSending;
  return Result;
}

struct UploadFixture : RelayFixture {
  UploadFixture() {
    listEndpoints({0});
    Server.close();
    BOOST_REQUIRE(LargeServer.listen(EntryAddress));
  }
  ~UploadFixture() { LargeServer.close(); }

  static HttpServerLimits largeLimits() {
    HttpServerLimits Result;
    Result.MaxRequestBodyBytes = UploadBytes;
    return Result;
  }

  std::string encodeUpload(const std::string &Target,
                           std::size_t Bytes = UploadBytes) {
    HttpRequest Request{"POST", Target, {}, std::string(Bytes, 'u')};
    Request.Fields.All = {{"Host", "h"},
                          {"Id", std::to_string(++LastId)},
                          {"Content-Length", std::to_string(Bytes)}};
    return encodeRequest(Request);
  }
  RawResponse upload(const std::string &Target,
                     std::size_t Bytes = UploadBytes) {
    RawCaller Caller(Io, EntryAddress);
    return await(Caller.send(encodeUpload(Target, Bytes)));
  }
  void checkIsRefused(const RawResponse &Answer) {
    BOOST_TEST(Answer.Status == 502);
    BOOST_TEST(Answer.IsComplete);
    BOOST_TEST(!Answer.hasField("Signed"));
  }

  int LastId = 0;
  HttpServer LargeServer{Io, largeLimits(), [this](HttpExchange &Call) {
                           return RequestRelay.serve(Call);
                         }};
};

} // namespace

/// Guards against a part of an answer that is passed on as a complete one. An
/// endpoint that answers before it has read the request, and closes, resets the
/// connection; the failure may show in the write of the request alone.
BOOST_FIXTURE_TEST_SUITE(AnswersDuringTheUpload, UploadFixture)

BOOST_AUTO_TEST_SUITE(ThatEndWithTheirConnection)

BOOST_AUTO_TEST_CASE(AreNoSuccess) {
  for (const Ending End : {Ending::Close, Ending::Reset, Ending::EndOfSending})
    for (const char *Target : {"/safe/x", "/once/x", "/turn/x"}) {
      setResponses({early(Signed + "\r\n", "a part", End)});
      BOOST_TEST_CONTEXT(Target << ", ending " << static_cast<int>(End)) {
        checkIsRefused(upload(Target));
      }
    }
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheyEndAtOnce) {
  for (const Ending End : {Ending::Close, Ending::Reset}) {
    ScriptedResponse Response = early(Signed + "\r\na part", "", End);
    Response.LaterSegments.clear();
    setResponses({Response});
    for (int Number = 0; Number < 5; ++Number)
      checkIsRefused(upload("/once/x"));
  }
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheyHadEvents) {
  for (const Ending End :
       {Ending::Close, Ending::Reset, Ending::EndOfSending}) {
    setResponses({early(Signed + StreamFields + "\r\n", FirstEvent, End)});
    BOOST_TEST_CONTEXT("ending " << static_cast<int>(End)) {
      const RawResponse Answer = upload("/turn/x");
      BOOST_TEST(!Answer.IsComplete);
      BOOST_TEST(Answer.IsClosed);
    }
  }
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheUploadIsWrittenButNotReceived) {
  // The kernel of the entry holds what the endpoint's does not take.
  constexpr std::size_t Bytes = 1U << 20U;
  for (const Ending End : {Ending::Close, Ending::Reset, Ending::EndOfSending})
    for (int Number = 0; Number < 3; ++Number) {
      setResponses({early(Signed + "\r\n", "a part", End)});
      BOOST_TEST_CONTEXT("ending " << static_cast<int>(End))
      checkIsRefused(upload("/once/x", Bytes));
    }
}

BOOST_AUTO_TEST_CASE(AreCompleteIfTheWholeUploadWasReceived) {
  ScriptedResponse Response{Signed + "\r\nwhole"};
  Response.CloseAfter = true;
  setResponses({Response});
  const RawResponse Answer = upload("/once/x");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "whole");
  BOOST_TEST(Answer.IsComplete);
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheyAreResetAfterTheUpload) {
  ScriptedResponse Response = early(Signed + "\r\n", "a part", Ending::Reset);
  Response.IsEarly = false;
  setResponses({Response});
  checkIsRefused(upload("/once/x"));
}

BOOST_AUTO_TEST_CASE(AreNoSuccessForACallerOnASlowLink) {
  setResponses({early(Signed + "\r\n", "a part", Ending::Reset)});
  const std::string Request = encodeUpload("/once/x");
  RawCaller Caller(Io, EntryAddress);
  const RawResponse Answer = await([](UploadFixture &Self, RawCaller &Caller,
                                      std::string Text) -> Task<RawResponse> {
    constexpr std::size_t Pieces = 10;
    const std::size_t Size = Text.size() / Pieces;
    for (std::size_t Piece = 0; Piece + 1 < Pieces; ++Piece) {
      co_await Caller.write(Text.substr(Piece * Size, Size));
      co_await pause(Self.Io, 10ms);
    }
    co_return co_await Caller.send(Text.substr((Pieces - 1) * Size));
  }(*this, Caller, Request));
  checkIsRefused(Answer);
}

BOOST_AUTO_TEST_CASE(AreFollowedByTheAnswersToPipelinedRequests) {
  setResponses(
      {early(Signed + "\r\n", "a part", Ending::Reset), {signedResponse("b")}});
  RawCaller Caller(Io, EntryAddress);
  const RawResponse First =
      await(Caller.send(encodeUpload("/once/x") + encodeUpload("/once/y", 1)));
  checkIsRefused(First);
  RawResponse Second;
  Second.Bytes = First.Extra;
  parseResponse(Second, false);
  if (!Second.IsComplete)
    Second = await(Caller.send(""));
  BOOST_TEST(Second.Body == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AreCompleteIfTheirLengthSaysSo) {
  for (const Ending End : {Ending::Close, Ending::Reset}) {
    setResponses({early(Signed + "Content-Length: 5\r\n\r\n", "whole", End)});
    const RawResponse Answer = upload("/once/x");
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.Body == "whole");
  }
}

BOOST_AUTO_TEST_CASE(AreNoSuccessIfTheyAreShorterThanTheirLength) {
  for (const Ending End : {Ending::Close, Ending::Reset, Ending::EndOfSending})
    for (const char *Framing :
         {"Content-Length: 7\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"}) {
      setResponses({early(Signed + Framing, "5\r\nhi", End)});
      checkIsRefused(upload("/once/x"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
