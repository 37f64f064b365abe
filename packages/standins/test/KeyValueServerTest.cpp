#include "tamarack/standins/KeyValueServer.h"
#include "tamarack/standins/HttpJson.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture {
  ManualClock Time;
  std::unique_ptr<KeyValueServer> Server = start();
  HttpJson Client{Server->port()};

  std::unique_ptr<KeyValueServer> start() {
    KeyValueServer::Options Settings;
    Settings.InstancesLag = seconds(5);
    Settings.Time = &Time;
    auto Started = KeyValueServer::create(Settings);
    BOOST_REQUIRE(Started);
    return std::move(*Started);
  }

  Json faults(const Json &Body) {
    return Client.post("/v1/faults", Body).value().Body;
  }

  /// A watch on a connection of its own.
  std::future<Json> watch(const std::string &Query) {
    return std::async(std::launch::async, [Port = Server->port(), Query] {
      auto Answer = HttpJson(Port).get("/v1/watch?" + Query);
      return Answer ? Answer->Body : Json(Answer.error().Message);
    });
  }

  void awaitWatches(int Count) {
    while (Client.get("/v1/stats").value().Body["watches"] < Count)
      std::this_thread::yield();
  }
};

struct CallRow {
  const char *Method;
  const char *Path;
  const char *Body;
  int Status;
  Json Answer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeyValueServerContract, Fixture)

BOOST_AUTO_TEST_CASE(AnswersEachCall) {
  const char *Key = "/v1/kv/a/b%20c";
  const Json Item = {{"key", "a/b c"}, {"value", "1"}, {"revision", 1}};
  const Json Items = {{"items", {Item}}, {"revision", 1}};
  const CallRow Rows[] = {
      {"GET", Key, "", 404, nullptr},
      {"PUT", Key, R"({"value":"1","expected_revision":0})", 200,
       Json{{"revision", 1}}},
      {"PUT", Key, R"({"value":"2","expected_revision":0})", 409,
       Json{{"revision", 1}}},
      {"GET", Key, "", 200, Item},
      {"GET", "/v1/kv?prefix=a/", "", 200, Items},
      {"GET", "/v1/kv?prefix=b", "", 200,
       Json{{"items", Json::array()}, {"revision", 1}}},
      {"DELETE", "/v1/kv/a/b%20c?expected_revision=7", "", 409,
       Json{{"revision", 1}}},
      {"DELETE", "/v1/kv/a/b%20c?expected_revision=1", "", 200,
       Json{{"revision", 2}}},
      {"DELETE", Key, "", 404, nullptr},
      {"PUT", Key, R"({"value":"3","lease":"none"})", 404, nullptr},
      {"PUT", Key, R"({"value":3})", 400, nullptr},
      {"PUT", Key, "{", 400, nullptr},
      {"GET", "/v1/watch?prefix=&after=x", "", 400, nullptr},
      {"POST", "/v1/leases", R"({"ttl_ms":100})", 200,
       Json{{"lease", "lease-1"}}},
      {"POST", "/v1/leases/lease-1/renew", "", 200, nullptr},
      {"DELETE", "/v1/leases/lease-1", "", 200, nullptr},
      {"POST", "/v1/leases/lease-1/renew", "", 404, nullptr},
      {"DELETE", "/v1/instances/i", "", 404, nullptr},
      {"POST", "/v1/elsewhere", "", 404, nullptr},
  };
  for (const auto &Row : Rows)
    BOOST_TEST_CONTEXT(Row.Method << " " << Row.Path << " " << Row.Body) {
      auto Answer = Client.call(Row.Method, Row.Path, Row.Body);
      BOOST_REQUIRE(Answer);
      BOOST_TEST(Answer->Status == Row.Status);
      if (!Row.Answer.is_null())
        BOOST_TEST(Answer->Body == Row.Answer);
    }
  auto Stats = Client.get("/v1/stats").value().Body;
  BOOST_TEST(
      Stats ==
      (Json{{"reads", 4}, {"writes", 14}, {"watches", 0}, {"refused", 0}}));
}

BOOST_AUTO_TEST_CASE(HasItsPortToItselfUntilItStops) {
  KeyValueServer::Options Same;
  Same.Port = Server->port();
  BOOST_TEST(!KeyValueServer::create(Same).has_value());
  Server.reset();
  auto Again = KeyValueServer::create(Same);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(HttpJson(Same.Port).get("/v1/kv").value().Status == 200);
}

BOOST_AUTO_TEST_CASE(RefusesALargeValue) {
  Json Body = {{"value", std::string(1'000'001, 'x')}};
  BOOST_TEST(Client.put("/v1/kv/a", Body).value().Status == 413);
}

BOOST_AUTO_TEST_SUITE(Watches)

BOOST_AUTO_TEST_CASE(WakeOnAChangeUnderTheirPrefixOnly) {
  auto Change = watch("prefix=a/&after=0&timeout_ms=600000");
  awaitWatches(1);
  Client.put("/v1/kv/b", {{"value", "other"}});
  Client.put("/v1/kv/a/1", {{"value", "x"}});
  Json Item = {{"key", "a/1"}, {"value", "x"}, {"revision", 2}};
  BOOST_TEST(Change.get() == (Json{{"items", {Item}}, {"revision", 2}}));
}

BOOST_AUTO_TEST_CASE(SeeALapsedLeaseAsADeletedKey) {
  auto Lease = Client.post("/v1/leases", {{"ttl_ms", 3000}}).value().Body;
  Client.put("/v1/kv/a", {{"value", "x"}, {"lease", Lease["lease"]}});
  auto Change = watch("prefix=a&after=1&timeout_ms=600000");
  awaitWatches(1);
  Time.advance(seconds(3));
  Json Item = {{"key", "a"}, {"value", nullptr}, {"revision", 2}};
  BOOST_TEST(Change.get() == (Json{{"items", {Item}}, {"revision", 2}}));
  BOOST_TEST(Client.get("/v1/kv/a").value().Status == 404);
}

BOOST_AUTO_TEST_CASE(TimeOutWithoutAChange) {
  auto Change = watch("prefix=a&after=0&timeout_ms=1000");
  awaitWatches(1);
  Time.advance(milliseconds(1000));
  Json Nothing = {{"items", Json::array()}, {"revision", 0}};
  BOOST_TEST(Change.get() == Nothing);
}

BOOST_AUTO_TEST_CASE(EndWhenTheServerStops) {
  auto Change = watch("prefix=a&after=0&timeout_ms=600000");
  awaitWatches(1);
  Server.reset();
  Change.get();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(OfALostAnswerLeaveTheWriteInEffect) {
  faults({{"lose_answers", 1}});
  Json Body = {{"value", "x"}, {"expected_revision", 0}};
  auto Lost = Client.put("/v1/kv/a", Body);
  BOOST_REQUIRE(!Lost);
  BOOST_TEST(Lost.error().Kind == ErrorKind::LinkLost);
  BOOST_TEST(Client.get("/v1/kv/a").value().Body["value"] == "x");
  auto Again = Client.put("/v1/kv/a", Body).value();
  BOOST_TEST(Again.Status == 409);
  BOOST_TEST(Again.Body["revision"] == 1);
}

BOOST_AUTO_TEST_CASE(OfAnOutageRefuseAllCallsAndEndWatches) {
  auto Change = watch("prefix=a&after=0&timeout_ms=600000");
  awaitWatches(1);
  faults({{"outage", true}});
  BOOST_TEST(Change.get().contains("error"));
  for (const char *Path : {"/v1/kv/a", "/v1/watch", "/v1/instances"})
    BOOST_TEST(Client.get(Path).value().Status == 503);
  BOOST_TEST(Client.put("/v1/kv/a", {{"value", "x"}}).value().Status == 503);
  faults({{"outage", false}});
  BOOST_TEST(Client.get("/v1/kv/a").value().Status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ListsInstancesAsOfTheLagAgo) {
  auto Listed = [this] {
    return Client.get("/v1/instances").value().Body["instances"];
  };
  Client.put("/v1/instances/a", {{"id", "a"}});
  BOOST_TEST(Listed() == Json::array());
  Time.advance(seconds(5));
  Client.put("/v1/instances/b", {{"id", "b"}});
  Client.remove("/v1/instances/a");
  BOOST_TEST(Listed() == (Json::array({{{"id", "a"}}})));
  Time.advance(seconds(5));
  BOOST_TEST(Listed() == (Json::array({{{"id", "b"}}})));
}

BOOST_AUTO_TEST_SUITE_END()
