/// Callers that end the sending side of their connections while their requests
/// are served. Such a caller may have closed the connection, or wait for the
/// answer.
#include "RawCaller.h"
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// How long after the end of the sending side the work of an endpoint has to
/// have ended, if it may be given up.
constexpr Duration GiveUpLimit = 500ms;
/// When the caller ends its sending side, after it has sent the request.
constexpr Duration EndsAfter = 30ms;

ScriptedResponse delayed(std::string Bytes, Duration Delay) {
  ScriptedResponse Result;
  Result.Bytes = std::move(Bytes);
  Result.Delay = Delay;
  return Result;
}

/// The events 1 to \p Events, \p Interval apart, the first after \p Delay.
ScriptedResponse slowStream(int Events, Duration Delay, Duration Interval) {
  ScriptedResponse Result = delayed(signedStreamHead() + eventChunk(1), Delay);
  Result.SegmentInterval = Interval;
  for (int Number = 2; Number <= Events; ++Number)
    Result.LaterSegments.push_back(eventChunk(Number));
  Result.LaterSegments.emplace_back(LastChunk);
  return Result;
}

struct CallerEndFixture : RelayFixture {
  std::string encode(const std::string &Target) {
    HttpRequest Request{"POST", Target, {}, "b"};
    Request.Fields.All = {{"Host", "h"},
                          {"Id", std::to_string(++LastId)},
                          {"Content-Length", "1"}};
    return encodeRequest(Request);
  }

  /// Sends a request, calls \p End after a while, and reads to the end of the
  /// connection or of the response.
  RawResponse sendAndEnd(const std::string &Target, Duration After,
                         const std::function<void(RawCaller &)> &End) {
    RawCaller Caller(Io, EntryAddress);
    asio::steady_timer Timer(Io, After);
    Timer.async_wait([&](const ErrorCode &) {
      EndedAt = steadyNow();
      End(Caller);
    });
    return await(Caller.send(encode(Target)));
  }
  RawResponse sendAndEndSending(const std::string &Target) {
    return sendAndEnd(Target, EndsAfter,
                      [](RawCaller &Caller) { Caller.shutdownSend(); });
  }

  std::size_t closedConnections() const {
    return Endpoints[0]->ClosedConnections + Endpoints[1]->ClosedConnections;
  }

  int LastId = 0;
  TimePoint EndedAt;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACallerThatEndsItsSendingSide, CallerEndFixture)

/// Guards against a FIN that is taken for a disconnect, so that what was sent
/// to an endpoint ends with a closed connection.
BOOST_AUTO_TEST_CASE(GetsTheAnswerToACallThatMayNotBeRepeated) {
  setResponses({delayed(signedResponse("late"), GiveUpLimit + 200ms)});
  const RawResponse Answer = sendAndEndSending("/once/x");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "late");
  BOOST_TEST(Answer.hasField("Connection: close"));
  BOOST_TEST(requestCount() == 1U);
  BOOST_TEST(closedConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(GetsTheAnswerToACallThatMayBeRepeated) {
  setResponses({delayed(signedResponse("done"), 150ms)});
  const RawResponse Answer = sendAndEndSending("/safe/x");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "done");
}

/// Guards against a bare close where work is given up that may be repeated.
BOOST_AUTO_TEST_CASE(IsToldThatItsCallWasGivenUp) {
  setResponses({{""}});
  const RawResponse Answer = sendAndEndSending("/safe/x");
  const TimePoint AnsweredAt = steadyNow();
  BOOST_TEST(Answer.Status == 504);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(Answer.Body.find("sending side") != std::string::npos);
  BOOST_TEST((AnsweredAt - EndedAt < GiveUpLimit));
  until([this] { return closedConnections() == 1; });
  BOOST_TEST((steadyNow() - EndedAt < GiveUpLimit));
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(GetsItsStreamToTheEnd) {
  setResponses({slowStream(40, 100ms, 30ms)});
  const RawResponse Answer = sendAndEndSending("/turn/x");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(Answer.Body.find("data: d40\n") != std::string::npos);
}

/// Guards against a pause between events that ends the stream of a caller
/// which has acknowledged the events before it.
BOOST_AUTO_TEST_CASE(GetsItsStreamToTheEndAfterLongPauses) {
  setResponses({slowStream(2, 150ms, GiveUpLimit + 100ms)});
  const RawResponse Answer = sendAndEndSending("/turn/x");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(Answer.Body.find("data: d2\n") != std::string::npos);
}

/// Guards against a stream without events that ends with a bare close.
BOOST_AUTO_TEST_CASE(IsToldThatItsStreamWasGivenUp) {
  setResponses({{""}});
  const RawResponse Answer = sendAndEndSending("/turn/x");
  BOOST_TEST(Answer.Status == 504);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST((steadyNow() - EndedAt < GiveUpLimit));
}

/// Guards against pipelined calls of which the last one, behind which nothing
/// follows, gets no answer.
BOOST_AUTO_TEST_CASE(GetsTheAnswersToItsPipelinedCalls) {
  setResponses({delayed(signedResponse("done"), 20ms)});
  constexpr int Calls = 5;
  std::string Text;
  for (int Number = 0; Number < Calls; ++Number)
    Text += encode("/once/x");
  const Expected<Tcp::endpoint> Peer = parseAddress(EntryAddress);
  Tcp::socket Socket(Io);
  Socket.connect(*Peer);
  asio::write(Socket, asio::buffer(Text));
  Socket.shutdown(Tcp::socket::shutdown_send);
  std::string Received;
  bool Ended = false;
  spawn(Io, [](Tcp::socket &From, std::string &To, bool &Ended) -> Task<void> {
    ErrorCode Failure;
    char Buffer[4096];
    while (!Failure) {
      const std::size_t Count = co_await From.async_read_some(
          asio::buffer(Buffer), storeErrorIn(Failure));
      To.append(Buffer, Count);
    }
    Ended = Failure == asio::error::eof;
  }(Socket, Received, Ended));
  until([&] { return Ended; });
  int Answers = 0;
  for (std::size_t At = Received.find("\r\n\r\ndone"); At != std::string::npos;
       At = Received.find("\r\n\r\ndone", At + 1))
    ++Answers;
  BOOST_TEST(Answers == Calls);
}

/// Guards against a call that is sent to a further endpoint long after its
/// caller has probably closed the connection.
BOOST_AUTO_TEST_CASE(IsRefusedIfNoEndpointHasRunItsCallInTime) {
  ScriptedResponse Refusal = notRunResponse();
  Refusal.Delay = 400ms;
  setResponses({Refusal});
  const RawResponse Answer = sendAndEndSending("/once/x");
  BOOST_TEST(Answer.Status == 503);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(requestCount() == 1U);
}

/// Guards against the same for a call that waits for the configuration when its
/// caller ends its sending side.
BOOST_AUTO_TEST_CASE(IsRefusedIfItsCallCouldNotBeSentInTime) {
  setResponses({{signedResponse("done")}});
  CatalogAge = 10s;
  StoreDelay = 350ms;
  OnConfirmCatalog = [this] {
    Routes.Version = 2;
    Routes.Routes.push_back(route("/new/", RequestKind::AtMostOnce, 2));
    RequestRelay.setCatalog(Routes);
  };
  const RawResponse Answer = sendAndEndSending("/new/x");
  BOOST_TEST(Answer.Status == 503);
  BOOST_TEST(Answer.IsComplete);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ACallerThatClosesItsConnection, CallerEndFixture)

/// Guards against an endpoint that works on for a caller which is gone.
BOOST_AUTO_TEST_CASE(EndsTheWorkOnItsStream) {
  setResponses({slowStream(100, 20ms, 20ms)});
  sendAndEnd("/turn/x", 100ms, [](RawCaller &Caller) { Caller.close(); });
  until([this] { return closedConnections() == 1; });
  BOOST_TEST((steadyNow() - EndedAt < GiveUpLimit));
}

BOOST_AUTO_TEST_CASE(EndsTheWorkOnItsStreamBeforeTheFirstEvent) {
  setResponses({{""}});
  sendAndEnd("/turn/x", EndsAfter, [](RawCaller &Caller) { Caller.close(); });
  until([this] { return closedConnections() == 1; });
  BOOST_TEST((steadyNow() - EndedAt < GiveUpLimit));
}

BOOST_AUTO_TEST_CASE(EndsTheWorkOnItsCallThatMayBeRepeated) {
  setResponses({{""}});
  sendAndEnd("/safe/x", EndsAfter, [](RawCaller &Caller) { Caller.close(); });
  until([this] { return closedConnections() == 1; });
  BOOST_TEST((steadyNow() - EndedAt < GiveUpLimit));
}

/// Guards against a reset that is not seen behind the end of the sending side.
BOOST_AUTO_TEST_CASE(EndsTheWorkAtOnceIfItResetsIt) {
  setResponses({{""}});
  sendAndEnd("/once/x", EndsAfter, [this](RawCaller &Caller) {
    Caller.shutdownSend();
    Io.post([&Caller] { Caller.reset(); });
  });
  until([this] { return closedConnections() == 1; });
  BOOST_TEST((steadyNow() - EndedAt < 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
