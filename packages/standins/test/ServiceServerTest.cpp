#include "tamarack/standins/ServiceServer.h"
#include "tamarack/standins/HttpJson.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

struct Fixture {
  std::unique_ptr<ServiceServer> Server =
      std::move(*ServiceServer::create(ServiceServer::Options()));
  HttpJson Client{Server->port()};

  Expected<HttpJsonAnswer> run(const std::string &Key) {
    return Client.post("/v1/run/payouts/release", Json::object(),
                       {{"Idempotency-Key", Key}});
  }
};

struct FaultRow {
  const char *Name;
  Json Fault;
  /// Zero stands for a connection without an answer.
  int FirstStatus;
  std::uint64_t Executions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceServerContract, Fixture)

BOOST_AUTO_TEST_CASE(CountsEveryExecutionOfAKey) {
  auto First = run("k");
  auto Second = run("k");
  run("other");
  BOOST_REQUIRE(Second);
  BOOST_TEST(Second->Body["action"] == "payouts/release");
  BOOST_TEST(Second->Body["key"] == "k");
  BOOST_TEST(Second->Body["execution"] == 2);
  BOOST_TEST(Second->Body["receipt"] != First->Body["receipt"]);
  Json Counts = {{"k", 2}, {"other", 1}};
  BOOST_TEST(Client.get("/v1/executions").value().Body["executions"] == Counts);
}

BOOST_AUTO_TEST_CASE(CountsWhatRanUnderEachFault) {
  const FaultRow Rows[] = {
      {"fails before running", {{"fail_next", 1}}, 500, 1},
      {"drops the answer", {{"drop_answers", 1}}, 0, 2},
      {"takes a while", {{"delay_ms", 1}}, 200, 2},
  };
  for (const auto &Row : Rows)
    BOOST_TEST_CONTEXT(Row.Name) {
      Client.post("/v1/faults", Row.Fault);
      auto First = run(Row.Name);
      BOOST_TEST((First ? First->Status : 0) == Row.FirstStatus);
      BOOST_TEST(run(Row.Name).value().Status == 200);
      BOOST_TEST(Server->executions()[Row.Name] == Row.Executions);
    }
}

BOOST_AUTO_TEST_CASE(ExecutesAndKeepsSilentWhileHanging) {
  Client.post("/v1/faults", {{"hang", true}});
  HttpTarget Impatient(Server->port());
  Impatient.Timeout = std::chrono::milliseconds(100);
  auto Answer = HttpJson(Impatient).post("/v1/run/a", Json::object(),
                                         {{"Idempotency-Key", "k"}});
  BOOST_REQUIRE(!Answer);
  BOOST_TEST(Answer.error().Kind == ErrorKind::Timeout);
  BOOST_TEST(Server->executions()["k"] == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
