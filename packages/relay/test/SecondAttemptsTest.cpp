/// Load pattern: one endpoint of a service is much slower than usual for a
/// moment.
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Usual answers take 20 ms. Those of a slow endpoint come long after a second
/// attempt is due, and before the deadline.
constexpr Duration Usual = 20ms;
constexpr Duration Slow = 250ms;
constexpr Duration VerySlow = 700ms;

struct HedgingRelayFixture : RelayFixture {
  HedgingRelayFixture() { RequestRelay.setHedgingShare(0.5); }

  /// Answers enough requests to \p Target to know what is usual, and finds out
  /// which endpoint an idle entry chooses first.
  void learn(const std::string &Target = "/safe/x", int Requests = 24) {
    setResponses({{signedResponse("usual"), false, Usual}});
    for (int Number = 0; Number < Requests; ++Number)
      startRequest(Target, {{"Id", "l" + std::to_string(Number)}});
    untilAnswered();
    const std::size_t Before = Endpoints[0]->Requests.size();
    sendRequest(Target, {{"Id", "l"}});
    const bool IsFirst = Endpoints[0]->Requests.size() > Before;
    First = Endpoints[IsFirst ? 0 : 1].get();
    Second = Endpoints[IsFirst ? 1 : 0].get();
    for (auto &Endpoint : Endpoints) {
      Endpoint->Requests.clear();
      Endpoint->ClosedConnections = 0;
    }
    RequestRelay.setRemoteNews({});
  }
  void script(ScriptedResponse FromFirst, ScriptedResponse FromSecond) {
    First->Responses = {std::move(FromFirst)};
    Second->Responses = {std::move(FromSecond)};
  }
  bool hasMetric(const std::string &Line) const {
    return Metrics.text().find(Line) != std::string::npos;
  }
  bool hasOutcome(const std::string &Outcome) const {
    return hasMetric("tamarack_second_attempts_total{outcome=\"" + Outcome +
                     "\"} 1\n");
  }
  bool wasRefused(const std::string &Reason) const {
    return requestCount() == 1 &&
           hasMetric("tamarack_second_attempts_refused_total{reason=\"" +
                     Reason + "\"} 1\n");
  }

  ScriptedEndpoint *First = nullptr;
  ScriptedEndpoint *Second = nullptr;
};

ScriptedResponse failure(Duration Delay) { return {"", true, Delay}; }
ScriptedResponse refusal(Duration Delay) {
  ScriptedResponse Result = notRunResponse();
  Result.Delay = Delay;
  return Result;
}
ScriptedResponse error(const std::string &Body, Duration Delay) {
  return {signedResponse(Body, "", "500 Internal Server Error"), false, Delay};
}
ScriptedResponse answer(const std::string &Body, Duration Delay) {
  return {signedResponse(Body), false, Delay};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelaySecondAttempts, HedgingRelayFixture)

BOOST_AUTO_TEST_SUITE(TheCallerGetsOneWholeAnswer)

BOOST_AUTO_TEST_CASE(ThatOfTheSecondAttemptIfTheFirstIsSlow) {
  learn();
  script(answer("first", VerySlow), answer("second", 0ms));
  const TimePoint SentAt = steadyNow();
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "second");
  BOOST_TEST((steadyNow() - SentAt < VerySlow));
  BOOST_TEST(hasOutcome("won"));
  until([this] { return First->ClosedConnections == 1; });
  BOOST_TEST(Second->ClosedConnections == 0U);
}

BOOST_AUTO_TEST_CASE(ThatOfTheFirstIfItComesJustAfterTheSecondWasSent) {
  learn();
  script(answer("first", Slow), answer("second", VerySlow));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(hasOutcome("lost"));
  until([this] { return Second->ClosedConnections == 1; });
  BOOST_TEST(First->ClosedConnections == 0U);
}

/// Guards against an answer that is made of parts of two.
BOOST_AUTO_TEST_CASE(ThatOfTheSecondIfTheFirstStopsInTheMiddle) {
  learn();
  ScriptedResponse Half = answer("firstfirst", 0ms);
  const std::string Rest = Half.Bytes.substr(Half.Bytes.size() - 5);
  Half.Bytes.resize(Half.Bytes.size() - 5);
  Half.LaterSegments = {Rest};
  Half.SegmentInterval = VerySlow;
  script(Half, answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "second");
}

BOOST_AUTO_TEST_CASE(ThatOfTheAttemptThatDoesNotFail) {
  struct Case {
    const char *Name;
    ScriptedResponse FromFirst;
    ScriptedResponse FromSecond;
    const char *Body;
  };
  ScriptedResponse Truncated = answer("second", 0ms);
  Truncated.Bytes.pop_back();
  Truncated.CloseAfter = true;
  const std::vector<Case> Cases = {
      {"the second is lost", answer("first", Slow), failure(0ms), "first"},
      {"the second is truncated", answer("first", Slow), Truncated, "first"},
      {"the second is refused", answer("first", Slow), refusal(0ms), "first"},
      {"the second gets an error", answer("first", Slow), error("oops", 0ms),
       "first"},
      {"the first is lost", failure(Slow), answer("second", VerySlow),
       "second"},
      {"the first is refused", refusal(Slow), answer("second", VerySlow),
       "second"},
      {"the first gets an error", error("oops", Slow),
       answer("second", VerySlow), "second"},
      {"both get errors", error("first", Slow), error("second", VerySlow),
       "first"},
  };
  int Id = 0;
  for (const Case &Each : Cases) {
    listEndpoints({0, 1}, ++Id); // Ends back-offs.
    // So many that the slow answers of earlier cases stay the exception.
    learn("/safe/x", 60);
    script(Each.FromFirst, Each.FromSecond);
    BOOST_TEST(sendRequest("/safe/x", {{"Id", std::to_string(Id)}}).Body ==
                   Each.Body,
               Each.Name);
    BOOST_TEST(First->Requests.size() == 1U, Each.Name);
    BOOST_TEST(Second->Requests.size() == 1U, Each.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheCallerGetsOneTruthfulFailure)

BOOST_AUTO_TEST_CASE(IfBothAttemptsFail) {
  learn();
  script(failure(Slow), failure(Slow));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Head.Status == 502);
  BOOST_TEST(requestCount() == 2U);
  BOOST_TEST(hasOutcome("failed"));
}

BOOST_AUTO_TEST_CASE(ThatSaysNotRunOnlyIfBothAreRefused) {
  learn();
  script(refusal(Slow), refusal(0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Head.Status == 503);
  BOOST_TEST(requestCount() == 2U);
  listEndpoints({0, 1}, 1);
  RequestRelay.setRemoteNews({});
  script(refusal(Slow), failure(VerySlow));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "2"}}).Head.Status == 502);
}

BOOST_AUTO_TEST_CASE(AtTheDeadlineWithBothConnectionsClosed) {
  learn();
  script(answer("first", 3s), answer("second", 3s));
  const HttpResponse Response =
      sendRequest("/safe/x", {{"Id", "1"}, {"Wait-Ms", "400"}});
  BOOST_TEST(Response.Head.Status == 504);
  until([this] {
    return First->ClosedConnections == 1 && Second->ClosedConnections == 1;
  });
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against work for a caller that has gone.
BOOST_AUTO_TEST_CASE(BothAttemptsEndWithTheCallersConnection) {
  learn();
  script(answer("first", 1500ms), answer("second", 1500ms));
  const TimePoint SentAt = steadyNow();
  {
    Tcp::socket Caller(Io);
    Caller.connect(*parseAddress("127.0.0.1:" + std::to_string(EntryPort)));
    asio::write(Caller, asio::buffer(std::string(
                            "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                            "\r\n")));
    until([this] { return requestCount() == 2; });
    // Reset, as a caller that has gone does not read what is sent.
    Caller.set_option(asio::socket_base::linger(true, 0));
  }
  until([this] {
    return First->ClosedConnections == 1 && Second->ClosedConnections == 1;
  });
  BOOST_TEST((steadyNow() - SentAt < 3s));
}

BOOST_AUTO_TEST_SUITE(ThereIsNoSecondAttempt)

BOOST_AUTO_TEST_CASE(OfARequestThatMayRunOnce) {
  learn("/once/x");
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/once/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(IfNoShareIsSet) {
  RequestRelay.setHedgingShare(RelayOptions().HedgingShare);
  learn();
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(BeyondTheMaximumOfAttempts) {
  Routes.Version = 2;
  Routes.Routes.push_back(route("/single/", RequestKind::Idempotent, 1));
  RequestRelay.setCatalog(Routes);
  learn("/single/x");
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/single/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(wasRefused("max_attempts"));
}

BOOST_AUTO_TEST_CASE(WhileTheProcessStops) {
  learn();
  RequestRelay.stop(planStop(steadyNow(), 8s));
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(wasRefused("stopping"));
}

BOOST_AUTO_TEST_CASE(OfARequestUnderWhichAnEndpointCrashed) {
  learn();
  setResponses({{"", false, {}, {}, true}});
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}, "b").Head.Status == 502);
  for (auto &Endpoint : Endpoints) {
    Endpoint->start();
    Endpoint->Requests.clear();
  }
  listEndpoints({0, 1}, 1);
  RequestRelay.setRemoteNews({});
  setResponses({answer("slow", Slow)});
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "2"}}, "b").Body == "slow");
  BOOST_TEST(wasRefused("suspected_crash"));
}

BOOST_AUTO_TEST_CASE(WhileTheServiceHasLittleRoom) {
  learn();
  EndpointNews News;
  News.InFlight = {{EndpointId("e0"), 12}, {EndpointId("e1"), 12}};
  RequestRelay.setRemoteNews(News);
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(wasRefused("little_room"));
}

BOOST_AUTO_TEST_CASE(AtAnEndpointThatIsFull) {
  learn();
  EndpointNews News;
  News.InFlight = {
      {EndpointId(Second == Endpoints[0].get() ? "e0" : "e1"), 16}};
  RequestRelay.setRemoteNews(News);
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(wasRefused("no_endpoint"));
}

BOOST_AUTO_TEST_CASE(AtAnEndpointThatLimitsItsRate) {
  learn();
  EndpointNews News;
  const EndpointId Limited(Second == Endpoints[0].get() ? "e0" : "e1");
  News.Rates[Limited].Limit = 100;
  RequestRelay.setRemoteNews(News);
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "first");
  BOOST_TEST(wasRefused("rate_limited"));
}

BOOST_AUTO_TEST_CASE(BeyondTheShare) {
  RequestRelay.setHedgingShare(0.05);
  learn();
  script(answer("first", Slow), answer("second", 0ms));
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "1"}}).Body == "second");
  First->Requests.clear();
  Second->Requests.clear();
  RequestRelay.setRemoteNews({});
  BOOST_TEST(sendRequest("/safe/x", {{"Id", "2"}}).Body == "first");
  BOOST_TEST(wasRefused("limit"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
