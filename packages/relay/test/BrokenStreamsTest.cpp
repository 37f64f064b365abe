#include "RawCaller.h"
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

const std::string FirstEvent = "id: 1\ndata: d1\n\n";
const std::string TwoEvents = FirstEvent + "id: 2\ndata: d2\n\n";

/// The head of a signed event stream with \p Framing.
std::string streamHead(const std::string &Framing = "") {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n"
         "Content-Type: text/event-stream\r\n" +
         Framing + "\r\n";
}

ScriptedResponse closing(std::string Bytes) {
  ScriptedResponse Result;
  Result.Bytes = std::move(Bytes);
  Result.CloseAfter = true;
  return Result;
}

ScriptedResponse resetting(std::string Bytes) {
  ScriptedResponse Result;
  Result.Bytes = std::move(Bytes);
  Result.Reset = true;
  return Result;
}

/// Adds a route whose streams can be resumed and callers that see bytes.
struct StreamFixture : RelayFixture {
  StreamFixture() {
    Routes.Version = 2;
    Routes.Routes.push_back(route("/resumable/", RequestKind::Stream, 3));
    Routes.Routes.back().Resumable = true;
    RequestRelay.setCatalog(Routes);
  }

  /// Sends a turn of the program "p" as sendTurn() does, on a new connection or
  /// on that of \p Caller.
  RawResponse turn(const std::string &Target, const std::string &Id,
                   const std::vector<HttpField> &More = {},
                   RawCaller *Caller = nullptr) {
    HttpRequest Request{"POST", Target, {}, "in " + Id + ";"};
    Request.Fields.All = {{"Host", "h"},
                          {"Id", Id},
                          {"Program", "p"},
                          {"Budget", "100000"},
                          {"Most", "100"}};
    Request.Fields.set("Content-Length", std::to_string(Request.Body.size()));
    for (const HttpField &Field : More)
      Request.Fields.add(Field.Name, Field.Value);
    RawCaller Own(Io, EntryAddress);
    return await(
        (Caller == nullptr ? Own : *Caller).send(encodeRequest(Request)));
  }
  /// Checks that the turn "t1" gets a complete error that promises nothing, and
  /// that it is neither sent again nor charged.
  void checkIsNotAnswered(const ScriptedResponse &Response,
                          const std::string &Target = "/turn/x",
                          int ExpectedStatus = 502,
                          const std::vector<HttpField> &More = {}) {
    setResponses({Response});
    const RawResponse Answer = turn(Target, "t1", More);
    BOOST_TEST(Answer.Status == ExpectedStatus);
    BOOST_TEST(Answer.IsComplete);
    BOOST_TEST(!Answer.IsClosed);
    BOOST_TEST(!Answer.hasField("Signed"));
    BOOST_TEST(requestCount() == 1U);
    until([this] { return Client.pendingRecords() == 0; });
    BOOST_TEST(tokensDrawnBy("p") == 0U);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenStreams, StreamFixture)

/// Guards against a stream of which the caller has received nothing and that
/// ends with a closed connection instead of an answer.
BOOST_AUTO_TEST_SUITE(ThatFailBeforeTheirFirstEvent)

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheEndpointClosesAfterTheHead) {
  checkIsNotAnswered(closing(signedStreamHead()));
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheEndpointResetsAfterTheHead) {
  checkIsNotAnswered(resetting(signedStreamHead()));
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheEndpointResetsWithoutAnyFraming) {
  checkIsNotAnswered(resetting(streamHead()));
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheEndpointClosesInTheFirstEvent) {
  checkIsNotAnswered(
      closing(signedStreamHead() + encodeChunk("id: 1\ndata: d")));
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheChunksAreMalformed) {
  checkIsNotAnswered({signedStreamHead() + "zz\r\n" + FirstEvent});
}

BOOST_AUTO_TEST_CASE(AreAnsweredOnResumableRoutes) {
  checkIsNotAnswered(resetting(signedStreamHead()), "/resumable/x");
}

BOOST_AUTO_TEST_CASE(AreAnsweredAtTheirDeadline) {
  checkIsNotAnswered({signedStreamHead()}, "/turn/x", 504,
                     {{"Wait-Ms", "200"}});
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheEventIsTooLong) {
  ScriptedResponse Response{signedStreamHead()};
  Response.Endless = encodeChunk("data: " + std::string(4096, 'x') + "\n");
  checkIsNotAnswered(Response);
}

BOOST_AUTO_TEST_CASE(AreAnsweredIfTheVersionOfTheEndpointIsInDoubt) {
  listEndpoints({0});
  setResponses({{resumedStream(3, 4), false, 200ms}});
  spawn(Io, [](StreamFixture &Self) -> Task<void> {
    co_await pause(Self.Io, 100ms);
    Self.RequestRelay.setEndpoints(
        {{EndpointId("e0"), ServiceId("s"),
          "127.0.0.1:" + std::to_string(FirstEndpointPort), DataCentreId("a"),
          16, EndpointState::Ready, 0, SoftwareVersion("v2")}});
  }(*this));
  const RawResponse Answer = turn("/resumable/x", "t1", {{"Last-Event", "2"}});
  BOOST_TEST(Answer.Status == 502);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(LeaveTheConnectionOfTheCallerUsable) {
  setResponses({{completeStream(2)}});
  RawCaller Caller(Io, EntryAddress);
  BOOST_TEST(turn("/turn/x", "t1", {}, &Caller).Status == 200);
  setResponses({closing(signedStreamHead())});
  BOOST_TEST(turn("/turn/x", "t2", {}, &Caller).Status == 502);
  setResponses({{completeStream(2)}});
  const RawResponse Answer = turn("/turn/x", "t3", {}, &Caller);
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == TwoEvents);
  BOOST_TEST(Answer.Extra.empty());
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a stream without any event that is passed on, and stored, as
/// a complete answer: the connections of an endpoint's process that is killed
/// are closed too.
BOOST_AUTO_TEST_SUITE(WithoutAnyEvent)

BOOST_AUTO_TEST_CASE(AreNotCompleteIfOnlyTheConnectionEnds) {
  checkIsNotAnswered(closing(streamHead()));
}

BOOST_AUTO_TEST_CASE(AreNotCompleteIfTheirEndIsMarked) {
  for (const char *Framing :
       {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Content-Length: 0\r\n"}) {
    for (auto &Endpoint : Endpoints)
      Endpoint->Requests.clear();
    checkIsNotAnswered({streamHead(Framing)});
  }
}

BOOST_AUTO_TEST_CASE(AreNotStored) {
  checkIsNotAnswered(closing(streamHead()), "/kept/x");
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheyHadOnlyComments) {
  setResponses({closing(streamHead() + ": hello\n\n")});
  const RawResponse Answer = turn("/kept/x", "t1");
  BOOST_TEST(Answer.Body == ": hello\n\n");
  BOOST_TEST(!Answer.IsComplete);
  BOOST_TEST(Answer.IsClosed);
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_CASE(AreCompleteIfTheyResumeAfterTheLastEvent) {
  setResponses({{resumedStream(1, 0)}});
  const RawResponse Answer = turn("/resumable/x", "t1", {{"Last-Event", "2"}});
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(Answer.Body.empty());
}

BOOST_AUTO_TEST_CASE(AreNotCompleteIfTheyResumeAndOnlyTheConnectionEnds) {
  checkIsNotAnswered(closing(streamHead()), "/resumable/x", 502,
                     {{"Last-Event", "2"}});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatEndWithTheirConnection)

BOOST_AUTO_TEST_CASE(AreCompleteBetweenEvents) {
  setResponses({closing(streamHead() + TwoEvents)});
  const RawResponse Answer = turn("/kept/x", "t1");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == TwoEvents);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(chain("t1") == "in t1;, d1\nd2\n; ");
}

BOOST_AUTO_TEST_CASE(AreBrokenOffInsideAnEvent) {
  setResponses({closing(streamHead() + TwoEvents + "id: 3\nda")});
  const RawResponse Answer = turn("/kept/x", "t1");
  BOOST_TEST(Answer.Body == TwoEvents);
  BOOST_TEST(!Answer.IsComplete);
  BOOST_TEST(Answer.IsClosed);
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfItIsReset) {
  ScriptedResponse Response = resetting(streamHead());
  Response.LaterSegments = {TwoEvents, ": \n\n"};
  setResponses({Response});
  const RawResponse Answer = turn("/kept/x", "t1");
  BOOST_TEST(!Answer.IsComplete);
  BOOST_TEST(Answer.IsClosed);
  BOOST_TEST(chain("t1") == "unknown_program");
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a broken stream that looks complete, and against text of
/// another response in it.
BOOST_AUTO_TEST_SUITE(ThatHaveBegun)

/// Lets an endpoint send a first event and then \p Rest, and every other
/// request fail. Checks that the caller gets that event and a broken stream.
void checkIsBrokenOff(StreamFixture &Self, const ScriptedResponse &Response) {
  for (const char *Target : {"/turn/x", "/kept/x", "/resumable/x"}) {
    for (auto &Endpoint : Self.Endpoints)
      Endpoint->Requests.clear();
    Self.setResponses(
        {Response, {signedResponse("ERROR", "", "500 Internal Server Error")}});
    const std::string Id = std::string("t") + Target[1];
    const RawResponse Answer = Self.turn(Target, Id);
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.Body == FirstEvent);
    BOOST_TEST(!Answer.IsComplete);
    BOOST_TEST(Answer.IsClosed);
    BOOST_TEST(Self.requestCount() == 1U);
    BOOST_TEST(Self.chain(Id) == "unknown_program");
  }
}

const std::string ErrorResponse =
    signedResponse("ERROR", "", "503 Service Unavailable");
const std::string RefusalOfOther =
    signedResponse("ERROR", "Not-Run: 1\r\n", "421 Misdirected Request");

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheEndpointCloses) {
  const std::string Begun = signedStreamHead() + eventChunk(1);
  checkIsBrokenOff(*this, closing(Begun));
  checkIsBrokenOff(*this, closing(Begun + "0\r\n"));
  checkIsBrokenOff(*this, closing(Begun + encodeChunk("id: 2\nda")));
  checkIsBrokenOff(*this, closing(Begun + eventChunk(2).substr(0, 8)));
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheEndpointResets) {
  ScriptedResponse Response = resetting(signedStreamHead() + eventChunk(1));
  Response.LaterSegments = {encodeChunk("id: 2\n"), encodeChunk("da")};
  checkIsBrokenOff(*this, Response);
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheyEndInAnEventWithALastChunk) {
  checkIsBrokenOff(*this, {signedStreamHead() + eventChunk(1) +
                           encodeChunk("id: 2\nda") + std::string(LastChunk)});
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfTheyAreShorterThanTheirLength) {
  checkIsBrokenOff(*this,
                   closing(streamHead("Content-Length: 17\r\n") + FirstEvent));
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfAResponseFollowsInsteadOfAChunk) {
  for (const std::string &Other :
       {ErrorResponse, RefusalOfOther,
        std::string("HTTP/1.1 103 Early Hints\r\n\r\n")}) {
    checkIsBrokenOff(*this, {signedStreamHead() + eventChunk(1) + Other});
    ScriptedResponse InAnotherSegment{signedStreamHead() + eventChunk(1)};
    InAnotherSegment.LaterSegments = {Other};
    checkIsBrokenOff(*this, InAnotherSegment);
  }
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfAResponseFollowsWithoutAnyFraming) {
  const std::string Begun = streamHead() + FirstEvent;
  for (const std::string &Other :
       {ErrorResponse, RefusalOfOther,
        std::string("HTTP/1.1 103 Early Hints\r\n\r\n")}) {
    checkIsBrokenOff(*this, closing(Begun + Other));
    ScriptedResponse InAnotherSegment = closing(Begun);
    InAnotherSegment.LaterSegments = {Other};
    checkIsBrokenOff(*this, InAnotherSegment);
  }
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfAnEventIsMissing) {
  checkIsBrokenOff(*this, {signedStreamHead() + eventChunk(1) + eventChunk(3) +
                           std::string(LastChunk)});
}

/// Guards against events that are lost because they arrive together with an
/// invalid one: the caller can only resume after what it has received.
BOOST_AUTO_TEST_CASE(HaveTheEventsBeforeAnInvalidOne) {
  checkIsBrokenOff(*this,
                   closing(streamHead() + FirstEvent + "id: 3\ndata: d3\n\n"));
}

BOOST_AUTO_TEST_CASE(AreBrokenOffIfAnEventHasNoEnd) {
  ScriptedResponse Response{signedStreamHead() + eventChunk(1)};
  Response.Endless = encodeChunk("data: " + std::string(4096, 'x') + "\n");
  checkIsBrokenOff(*this, Response);
}

BOOST_AUTO_TEST_CASE(AreBrokenOffAtTheirDeadline) {
  setResponses({{signedStreamHead() + eventChunk(1)}});
  const RawResponse Answer = turn("/turn/x", "t1", {{"Wait-Ms", "200"}});
  BOOST_TEST(Answer.Body == FirstEvent);
  BOOST_TEST(!Answer.IsComplete);
  BOOST_TEST(Answer.IsClosed);
}

BOOST_AUTO_TEST_CASE(AreCompleteWithChunkExtensionsAndTrailers) {
  setResponses({{signedStreamHead() + "10;a=b\r\n" + FirstEvent +
                 "\r\n0;c\r\nMore: x\r\n\r\n"}});
  const RawResponse Answer = turn("/kept/x", "t1");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == FirstEvent);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(chain("t1") == "in t1;, d1\n; ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
