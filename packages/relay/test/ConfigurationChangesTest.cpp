/// Load pattern: a configuration drops or limits what requests that are under
/// way use.
#include "RawCaller.h"
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// The response of an endpoint that is still at work when the configuration
/// changes.
constexpr Duration ServiceTime = 300ms;

struct ConfigurationChangesFixture : RelayFixture {
  void apply() {
    ++Routes.Version;
    RequestRelay.setCatalog(Routes);
  }
  void dropRoutes() {
    Routes.Routes = {route("/other/", RequestKind::Idempotent, 1)};
    Routes.Routes[0].Services = {{ServiceId("other"), 1}};
    apply();
  }
  void dropServices() {
    Routes.Services.clear();
    for (Route &Each : Routes.Routes)
      Each.Services = {{ServiceId("other"), 1}};
    apply();
  }
  void lowerRouteLimits() {
    for (Route &Each : Routes.Routes) {
      Each.MaxAttempts = 1;
      Each.Timeout = 1ms;
    }
    apply();
  }
  void lowerCallerLimits() {
    HttpServerLimits Limits;
    Limits.MaxRequestHeadBytes = 1;
    Limits.MaxRequestBodyBytes = 1;
    Limits.RequestReadTimeout = 1ms;
    Limits.KeepAliveTimeout = 1ms;
    Server.setLimits(Limits);
  }
  void lowerAll() {
    lowerCallerLimits();
    lowerRouteLimits();
    dropServices();
    dropRoutes();
  }
  /// Starts a request of each kind.
  void startRequests() {
    for (const char *Target : {"/once/a", "/safe/a", "/turn/a", "/kept/a"})
      startRequest(Target, {{"Id", Target},
                            {"Program", Target},
                            {"Budget", "1000"},
                            {"Most", "100"}});
  }
  void checkAreServed() {
    untilAnswered();
    for (const auto &Result : Results)
      BOOST_TEST(Result->Response->Head.Status == 200);
    BOOST_TEST(requestCount() == Results.size());
  }
};

} // namespace

/// Guards against a change of the configuration that cuts requests which were
/// taken before it.
BOOST_FIXTURE_TEST_SUITE(AChangeOfTheConfiguration, ConfigurationChangesFixture)

BOOST_AUTO_TEST_SUITE(LetsRequestsGoOn)

BOOST_AUTO_TEST_CASE(ThatEndpointsRun) {
  setResponses({{completeStream(2), false, ServiceTime}});
  startRequests();
  until([this] { return requestCount() == Results.size(); });
  lowerAll();
  checkAreServed();
}

BOOST_AUTO_TEST_CASE(WhoseStreamsHaveBegun) {
  ScriptedResponse Stream{signedStreamHead() + eventChunk(1)};
  for (int Number = 2; Number <= 60; ++Number)
    Stream.LaterSegments.push_back(eventChunk(Number));
  Stream.LaterSegments.emplace_back(LastChunk);
  setResponses({Stream});
  startRequests();
  until([this] { return requestCount() == Results.size(); });
  Io.run_for(30ms);
  for (const auto &Result : Results)
    BOOST_REQUIRE(!Result->Response);
  lowerAll();
  checkAreServed();
}

/// A turn that waits for ledgers has its route already.
BOOST_AUTO_TEST_CASE(ThatWaitForLedgers) {
  setResponses({{completeStream(2)}});
  bool IsLowered = false;
  MeasureCatalogAge = [&] {
    if (!std::exchange(IsLowered, true))
      asio::post(Io, [this] { lowerAll(); });
    return CatalogAge;
  };
  BOOST_TEST(sendTurn("1", "1000").Head.Status == 200);
  BOOST_TEST(RequestRelay.catalog().Routes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThatWaitForTheListOfEndpoints) {
  setResponses({{completeStream(2)}});
  StoreDelay = 200ms;
  listEndpoints({});
  startRequests();
  Io.run_for(50ms);
  BOOST_TEST(requestCount() == 0U);
  lowerAll();
  listEndpoints({0});
  checkAreServed();
}

/// The second attempt was allowed when the request was taken.
BOOST_AUTO_TEST_CASE(ThatAreSentOnceMore) {
  setResponses({{"", true, ServiceTime}});
  listEndpoints({0});
  startRequest("/safe/a", {{"Id", "1"}});
  until([this] { return requestCount() == 1; });
  lowerAll();
  Endpoints[1]->Responses = {{signedResponse("again")}};
  listEndpoints({0, 1});
  untilAnswered();
  BOOST_TEST(Results[0]->Response->Head.Status == 200);
  BOOST_TEST(requestCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

/// A request that is partly read when the configuration changes.
BOOST_AUTO_TEST_SUITE(AnswersRequestsThatAreBeingRead)

const std::string Head = "POST /once/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                         "Content-Length: 4000\r\n\r\n";

/// Sends a request whose body comes 400 ms after its head, and does \p Change
/// between the two. Returns the response.
RawResponse sendSlowly(ConfigurationChangesFixture &Self,
                       const std::function<void()> &Change) {
  Self.setResponses({{signedResponse("done")}});
  Tcp::socket Caller(Self.Io);
  Caller.connect(*parseAddress(Self.EntryAddress));
  asio::write(Caller, asio::buffer(Head));
  Self.until([&] { return Self.Server.load().Arriving == 1; });
  Self.Io.run_for(50ms);
  Change();
  Self.Io.run_for(400ms);
  const std::string Body(4000, 'b');
  ErrorCode Failure;
  asio::write(Caller, asio::buffer(Body), Failure);
  Caller.non_blocking(true);
  RawResponse Response;
  char Buffer[4096];
  Self.until([&] {
    const std::size_t Count = Caller.read_some(asio::buffer(Buffer), Failure);
    Response.Bytes.append(Buffer, Count);
    parseResponse(Response, false);
    return Response.IsComplete ||
           (Failure && Failure != asio::error::would_block);
  });
  return Response;
}

BOOST_AUTO_TEST_CASE(IfItLowersTheLimitsOfCallers) {
  BOOST_TEST(sendSlowly(*this, [this] { lowerCallerLimits(); }).Status == 200);
}

BOOST_AUTO_TEST_CASE(IfItDropsTheirRoute) {
  BOOST_TEST(sendSlowly(*this, [this] { dropRoutes(); }).Status == 404);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Callers keep connections for as long as the configuration says when they
/// send their next request, and send what it allows then.
BOOST_AUTO_TEST_SUITE(HoldsForIdleConnections)

/// Guards against a body that is refused by a limit which is not in force.
BOOST_AUTO_TEST_CASE(ThatSendLongerRequestsThanWereAllowedBefore) {
  HttpServerLimits Limits;
  Limits.MaxRequestBodyBytes = 100;
  Server.setLimits(Limits);
  setResponses({{signedResponse("done")}});
  RawCaller Caller(Io, EntryAddress);
  const std::string Short = "GET /once/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
  BOOST_TEST(await(Caller.send(Short)).Status == 200);
  Limits.MaxRequestBodyBytes = 10000;
  Server.setLimits(Limits);
  const std::string Long = "POST /once/a HTTP/1.1\r\nHost: h\r\nId: "
                           "2\r\nContent-Length: 4000\r\n\r\n" +
                           std::string(4000, 'b');
  BOOST_TEST(await(Caller.send(Long)).Status == 200);
}

/// Guards against an idle timeout that outlasts the configuration it was in.
BOOST_AUTO_TEST_CASE(ThatAreIdleForLongerThanWasAllowedBefore) {
  HttpServerLimits Limits;
  Limits.KeepAliveTimeout = 500ms;
  Server.setLimits(Limits);
  setResponses({{signedResponse("done")}});
  RawCaller Caller(Io, EntryAddress);
  const std::string Request =
      "GET /once/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
  BOOST_TEST(await(Caller.send(Request)).Status == 200);
  Limits.KeepAliveTimeout = 5s;
  Server.setLimits(Limits);
  Io.run_for(1200ms);
  BOOST_TEST(await(Caller.send(Request)).Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
