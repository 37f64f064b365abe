#include "RelayFixture.h"

#include "tamarack/relay/Explanation.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::testing;
using namespace std::chrono_literals;

namespace {

EndpointCandidate candidate(const std::string &Endpoint, double PrefillMs) {
  EndpointCandidate Result;
  Result.Entry = {EndpointId(Endpoint), ServiceId("engines"), "127.0.0.1:1",
                  DataCentreId("quito"), 16};
  Result.Cost.PrefillMs = PrefillMs;
  Result.Running = 3;
  Result.RunningElsewhere = 4;
  return Result;
}

Explanation servedRequest() {
  Explanation Result;
  Result.CatalogVersion = 7;
  Result.CatalogAge = 120ms;
  Result.Route = "chat";
  Result.Service = ServiceId("engines");
  Result.Workspace = WorkspaceId("desk");
  Result.Allowance = {{20, 40, 140, 41}};
  Result.ReachesLedgers = true;
  Result.Endpoints = {candidate("e-1", 12.5), candidate("e-2", 80)};
  return Result;
}

std::string messageOf(const std::string &Body) {
  const auto Parsed = parseExplainedRequest(Body);
  return Parsed ? std::string() : Parsed.error().Message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnExplainedRequest)

BOOST_AUTO_TEST_CASE(IsReadAsItIsWritten) {
  const ExplainedRequest Request{"desk.example",      "/chat/1",
                                 WorkspaceId("desk"), ProgramId("p-1"),
                                 EndpointId("e-2"),   {{"a", 800}, {"b", 20}}};
  const auto Parsed = parseExplainedRequest(Json(Request).dump());
  BOOST_REQUIRE(Parsed);
  BOOST_TEST((*Parsed == Request));
}

BOOST_AUTO_TEST_CASE(IsRefusedWithTheNameOfTheFieldThatIsWrong) {
  BOOST_TEST(messageOf("[]") == "the body is no JSON object");
  BOOST_TEST(messageOf("{") == "the body is no JSON object");
  BOOST_TEST(messageOf(R"({"host": "h"})") ==
             "the fields 'host' and 'target' are required");
  BOOST_TEST(messageOf(R"({"host": 3, "target": "/"})") ==
             "the field 'host' has another type than expected");
  BOOST_TEST(messageOf(R"({"host": "h", "target": "/", "prompt": [1]})") ==
             "the field 'prompt' has another type than expected");
  BOOST_TEST(messageOf(R"({"host": "h", "target": "/", "key": "k"})") ==
             "the field 'key' is unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnExplanation)

BOOST_AUTO_TEST_CASE(NamesTheCheapestEndpointAndTheCostOfEachByCause) {
  const Json Encoded = servedRequest();
  BOOST_TEST(Encoded.at("refusal").is_null());
  BOOST_TEST(Encoded.at("endpoints")[0].at("endpoint") == "e-1");
  BOOST_TEST(Encoded.at("endpoints")[0].at("cost").at("prefill_ms") == 12.5);
  BOOST_TEST(Encoded.at("endpoints")[1].at("cost").at("total_ms") == 80.0);
  const std::string Table = renderTable(Encoded);
  BOOST_TEST(Table.find("sent to e-1") != std::string::npos);
  BOOST_TEST(Table.find("20.0 a second, burst 40; 41 of 140 used") !=
             std::string::npos);
  BOOST_TEST(Table.find("7/16") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SaysWhyAndForHowLongARequestWouldBeRefused) {
  Explanation Refused;
  Refused.Refusal = ErrorKind::Overloaded;
  Refused.RefusalReason = "no endpoint is available";
  Refused.RetryAfter = 250ms;
  const Json Encoded = Refused;
  BOOST_TEST(Encoded.at("refusal").at("kind") == "overloaded");
  BOOST_TEST(Encoded.at("refusal").at("status") == 503);
  BOOST_TEST(Encoded.at("refusal").at("retry_after_ms") == 250.0);
  BOOST_TEST(Encoded.at("catalog_age_ms").is_null());
  const std::string Table = renderTable(Encoded);
  BOOST_TEST(Table.find("refused, overloaded (503)") != std::string::npos);
  BOOST_TEST(Table.find("confirmed unknown ago") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct ExplainingEntry : RelayFixture {
  ExplainingEntry() {
    Workspace Acme;
    Acme.Name = WorkspaceId("acme");
    Acme.Keys = {"acme-key"};
    Routes.Workspaces = {Acme};
    ++Routes.Version;
    RequestRelay.setCatalog(Routes);
  }
  void limitTo(double RequestsPerSecond) {
    Routes.Workspaces->front().RequestsPerSecond = RequestsPerSecond;
    ++Routes.Version;
    RequestRelay.setCatalog(Routes);
  }
  Explanation explain(const std::string &Target,
                      const std::string &Workspace = "acme") const {
    return RequestRelay.explain({Routes.Routes.front().Host,
                                 Target,
                                 WorkspaceId(Workspace),
                                 {},
                                 {},
                                 {}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryThatExplains, ExplainingEntry)

BOOST_AUTO_TEST_CASE(NamesTheEndpointThatTheRequestThenGoesTo) {
  const Explanation Explained = explain("/safe/x");
  BOOST_TEST(!Explained.Refusal);
  BOOST_REQUIRE(!Explained.Endpoints.empty());
  setResponses({{signedResponse("hello")}});
  sendRequest("/safe/x", {{"Id", "1"}, {"Key", "acme-key"}});
  const std::string Chosen = Explained.Endpoints.front().Entry.Endpoint.text();
  BOOST_TEST(lastRequest().find("To: " + Chosen) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SendsAndCountsNothing) {
  const Explanation First = explain("/safe/x");
  const Explanation Second = explain("/safe/x");
  BOOST_TEST((First.Endpoints == Second.Endpoints));
  BOOST_TEST(RequestRelay.endpointNews().InFlight.empty());
}

BOOST_AUTO_TEST_CASE(SaysWhyARequestWouldBeRefused) {
  BOOST_TEST((explain("/none/x").Refusal == ErrorKind::UnknownService));
  BOOST_TEST((explain("/safe/x", "nobody").Refusal == ErrorKind::Unauthorized));
  RequestRelay.setEndpoints({});
  const Explanation Full = explain("/safe/x");
  BOOST_TEST((Full.Refusal == ErrorKind::Overloaded));
  BOOST_TEST(Full.RefusalReason == "no endpoint is available");
}

BOOST_AUTO_TEST_CASE(ShowsTheLimitOfTheWorkspace) {
  BOOST_TEST(!explain("/safe/x").Allowance);
  limitTo(100);
  const Explanation Within = explain("/safe/x");
  BOOST_TEST(!Within.Refusal);
  BOOST_REQUIRE(Within.Allowance);
  BOOST_TEST(Within.Allowance->Used == 0);
  limitTo(0.01);
  const Explanation Beyond = explain("/safe/x");
  BOOST_TEST((Beyond.Refusal == ErrorKind::RateLimited));
  BOOST_TEST(Beyond.RetryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
