/// The promises of the system, with real processes that are killed, frozen and
/// thawed while they serve.
#include "Cluster.h"

#include "tamarack/base/Ids.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <iterator>
#include <set>
#include <sstream>

using namespace tamarack;

namespace {

using Answer = Expected<HttpJsonAnswer>;

std::string show(const Answer &Given) {
  return Given ? std::to_string(Given->Status) + " " + Given->Text
               : Given.error().Message;
}

/// The entry that serves the call of \p Key, found by the shard's record.
std::string ownerOfPayout(Cluster &Deployment, const std::string &Key) {
  return Deployment.ownerOf(
      "service:payouts:" + std::to_string(stableHash(Key)) + ":" +
      std::to_string(stableHash(Key, 1)));
}

int numberOf(const std::string &Instance) { return Instance.back() - '0'; }

/// An entry other than \p Instance.
int otherThan(const std::string &Instance) {
  return numberOf(Instance) % Cluster::Entries + 1;
}

/// The words of the answer in the events of a stream.
int wordsIn(const std::vector<Json> &Events) {
  std::string Content;
  for (const Json &Event : Events)
    if (Event.contains("choices"))
      Content += Event["choices"][0]["delta"].value("content", "");
  std::istringstream Words(Content);
  return static_cast<int>(
      std::distance(std::istream_iterator<std::string>(Words), {}));
}

std::string historyOf(Cluster &Deployment, int Entry,
                      const std::string &Program) {
  const auto Report = Deployment.program(Entry, Program);
  std::string Roles;
  if (Report && Report->Status == 200)
    for (const Json &Message : Report->Body["history"])
      Roles += Message["role"].get<std::string>().front();
  return Roles;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Processes)

BOOST_AUTO_TEST_SUITE(APayout)

BOOST_AUTO_TEST_CASE(RunsOnceWhenItsOwnerIsKilledWhileItRuns) {
  Cluster Deployment({std::chrono::milliseconds(1500)});
  // A first call of the same shard shows which entry will own the second.
  const std::string Key = "payout-killed";
  auto First =
      std::async(std::launch::async, [&] { return Deployment.payout(1, Key); });
  BOOST_TEST(
      Cluster::eventually([&] { return Deployment.executions(Key) == 1; }));
  const std::string Owner = ownerOfPayout(Deployment, Key);
  Deployment.kill(Owner);
  First.wait();
  const Answer Again = Deployment.payout(otherThan(Owner), Key);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Status == 200, show(Again));
  BOOST_TEST(Deployment.executions(Key) == 1);
}

BOOST_AUTO_TEST_CASE(RunsOnceWhenItsOwnerIsFrozenAndThawedAfterATakeOver) {
  Cluster Deployment({std::chrono::milliseconds(1000)});
  const std::string Key = "payout-frozen";
  auto First =
      std::async(std::launch::async, [&] { return Deployment.payout(1, Key); });
  BOOST_TEST(
      Cluster::eventually([&] { return Deployment.executions(Key) == 1; }));
  const std::string Owner = ownerOfPayout(Deployment, Key);
  Deployment.signal(Owner, SIGSTOP);
  const Answer Again = Deployment.payout(otherThan(Owner), Key);
  Deployment.signal(Owner, SIGCONT);
  const Answer Original = First.get();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Status == 200, show(Again));
  BOOST_REQUIRE(Original.has_value());
  BOOST_TEST(Original->Status == 200, show(Original));
  BOOST_TEST(Original->Text == Again->Text);
  BOOST_TEST(Deployment.executions(Key) == 1);
}

BOOST_AUTO_TEST_CASE(RunsOnceWhenItIsSentThroughAllEntriesAtOnce) {
  Cluster Deployment({std::chrono::milliseconds(300)});
  std::vector<std::future<Answer>> Sent;
  Sent.reserve(9);
  for (int Copy = 0; Copy < 9; ++Copy)
    Sent.push_back(std::async(std::launch::async, [&Deployment, Copy] {
      return Deployment.payout(Copy % Cluster::Entries + 1, "payout-raced");
    }));
  std::set<std::string> Texts;
  for (auto &Each : Sent) {
    const Answer Given = Each.get();
    BOOST_REQUIRE(Given.has_value());
    BOOST_TEST(Given->Status == 200, show(Given));
    Texts.insert(Given->Text);
  }
  BOOST_TEST(Texts.size() == 1);
  BOOST_TEST(Deployment.executions("payout-raced") == 1);
  const Answer Other = Deployment.payout(2, "payout-raced", 999);
  BOOST_REQUIRE(Other.has_value());
  BOOST_TEST(Other->Status == 422, show(Other));
  BOOST_TEST(Other->Body["error"]["not_run"] == true);
}

BOOST_AUTO_TEST_CASE(IsUnknownForGoodWhenTheSenderBesideTheServiceIsKilled) {
  Cluster Deployment({std::chrono::milliseconds(1500)});
  const std::string Key = "payout-sender-killed";
  auto First =
      std::async(std::launch::async, [&] { return Deployment.payout(1, Key); });
  BOOST_TEST(
      Cluster::eventually([&] { return Deployment.executions(Key) == 1; }));
  Deployment.kill("beside-payouts");
  Deployment.startDaemon("beside-payouts");
  const Answer Original = First.get();
  BOOST_REQUIRE(Original.has_value());
  BOOST_TEST(Original->Body["error"]["kind"] == "outcome_unknown",
             show(Original));
  BOOST_TEST(Original->Body["error"]["not_run"] == false);
  const Answer Again = Deployment.payout(2, Key);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Body["error"]["kind"] == "outcome_unknown", show(Again));
  BOOST_TEST(Deployment.executions(Key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AProgram)

BOOST_AUTO_TEST_CASE(KeepsItsHistoryWhenItsOwnerIsKilledBetweenTurns) {
  Cluster Deployment;
  BOOST_TEST(Deployment.turn(1, "brief-1", 1, "one")->Status == 200);
  BOOST_TEST(Deployment.turn(2, "brief-1", 2, "two")->Status == 200);
  const std::string Owner = Deployment.ownerOf("brief-1");
  Deployment.kill(Owner);
  const int Entry = otherThan(Owner);
  const Answer Third = Deployment.turn(Entry, "brief-1", 3, "three");
  BOOST_REQUIRE(Third.has_value());
  BOOST_TEST(Third->Status == 200, show(Third));
  BOOST_TEST(historyOf(Deployment, Entry, "brief-1") == "uauaua");
}

BOOST_AUTO_TEST_CASE(GetsItsWholeAnswerWhenItsEndpointProcessIsKilled) {
  Cluster Deployment({std::chrono::milliseconds(0), 20});
  const int Before[] = {Deployment.engineRequests(1),
                        Deployment.engineRequests(2)};
  auto Turn = std::async(std::launch::async, [&] {
    return Deployment.turn(1, "brief-2", 1, "one", 60);
  });
  BOOST_TEST(Cluster::eventually([&] {
    return Deployment.engineRequests(1) > Before[0] ||
           Deployment.engineRequests(2) > Before[1];
  }));
  const int Served = Deployment.engineRequests(1) > Before[0] ? 1 : 2;
  Deployment.kill("beside-engine-" + std::to_string(Served));
  const Answer Whole = Turn.get();
  BOOST_REQUIRE(Whole.has_value());
  BOOST_TEST(Whole->Status == 200, show(Whole));
  BOOST_TEST(historyOf(Deployment, 2, "brief-2") == "ua");
}

BOOST_AUTO_TEST_CASE(GetsItsWholeAnswerWhenConnectionsToTheEngineGoSilent) {
  Cluster Deployment({std::chrono::milliseconds(0), 20});
  const int Before[] = {Deployment.engineRequests(1),
                        Deployment.engineRequests(2)};
  auto Stream = std::async(std::launch::async, [&] {
    return Deployment.streamedTurn(1, "brief-9", 1, "one", 100);
  });
  BOOST_TEST(Cluster::eventually([&] {
    return Deployment.engineRequests(1) > Before[0] ||
           Deployment.engineRequests(2) > Before[1];
  }));
  const int Engine = Deployment.engineRequests(1) > Before[0] ? 1 : 2;
  Deployment.engineFaults(Engine, {{"silence_open", true}});
  const auto Events = Stream.get();
  BOOST_REQUIRE_MESSAGE(Events.has_value(),
                        (Events ? std::string() : Events.error().Message));
  BOOST_TEST(wordsIn(*Events) == 100);
}

BOOST_AUTO_TEST_CASE(GoesOnThroughAnOutageOfThePlatform) {
  Cluster Deployment;
  BOOST_TEST(Deployment.turn(1, "brief-3", 1, "one")->Status == 200);
  Deployment.platformFaults({{"outage", true}});
  const Answer Second = Deployment.turn(2, "brief-3", 2, "two");
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Status == 200, show(Second));
  Deployment.platformFaults({{"outage", false}});
  BOOST_TEST(historyOf(Deployment, 3, "brief-3") == "uaua");
}

BOOST_AUTO_TEST_CASE(IsServedOrRefusedWhileThePlatformHangs) {
  Cluster Deployment;
  BOOST_TEST(Deployment.turn(1, "brief-10", 1, "one")->Status == 200);
  Deployment.platformFaults({{"delay_ms", 60000}});
  const Answer Second = Deployment.turn(2, "brief-10", 2, "two");
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Status == 200, show(Second));
  for (int Program = 0; Program < 6; ++Program) {
    const Answer First =
        Deployment.turn(1, "hangs-" + std::to_string(Program), 1, "one");
    BOOST_REQUIRE(First.has_value());
    const bool Refused =
        First->Status == 503 && First->Headers.count("Retry-After") == 1;
    BOOST_TEST((First->Status == 200 || Refused), show(First));
  }
  Deployment.platformFaults({{"delay_ms", 0}});
}

BOOST_AUTO_TEST_CASE(BeginsThoughAnswersOfThePlatformAreLost) {
  Cluster Deployment;
  Deployment.platformFaults({{"lose_answers", 2}});
  for (int Program = 0; Program < 6; ++Program) {
    const Answer First =
        Deployment.turn(1, "lost-" + std::to_string(Program), 1, "one");
    BOOST_REQUIRE(First.has_value());
    BOOST_TEST(First->Status == 200, show(First));
  }
}

BOOST_AUTO_TEST_CASE(SurvivesTheLossOfACopyWithItsFolder) {
  Cluster Deployment;
  BOOST_TEST(Deployment.turn(1, "brief-4", 1, "one")->Status == 200);
  const std::string Owner = Deployment.ownerOf("brief-4");
  const std::string Lost = "entry-" + std::to_string(otherThan(Owner));
  Deployment.kill(Lost);
  const Answer Second = Deployment.turn(numberOf(Owner), "brief-4", 2, "two");
  BOOST_REQUIRE(Second.has_value());
  const bool RefusedAsNotRun =
      Second->Status == 503 && Second->Body["error"]["not_run"] == true;
  BOOST_TEST((Second->Status == 200 || RefusedAsNotRun), show(Second));
  BOOST_TEST(Cluster::eventually([&] {
    const Answer Again = Deployment.turn(numberOf(Owner), "brief-4", 2, "two");
    return Again && Again->Status == 200;
  }));
  BOOST_TEST(historyOf(Deployment, numberOf(Owner), "brief-4") == "uaua");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEngine)

BOOST_AUTO_TEST_CASE(HoldsNothingOfAProgramThatEndedWhileItsProcessWasDown) {
  Cluster Deployment;
  const Answer Turn = Deployment.turn(1, "brief-7", 1, "one");
  BOOST_REQUIRE(Turn.has_value());
  const int Engine = numberOf(Turn->Headers.at("Tamarack-Endpoint"));
  BOOST_TEST(Deployment.cacheHolds(Engine, "obrador~brief-7"));
  Deployment.kill("beside-engine-" + std::to_string(Engine));
  BOOST_TEST(Deployment.end(2, "brief-7")->Status == 200);
  BOOST_TEST(Deployment.cacheHolds(Engine, "obrador~brief-7"));
  Deployment.startDaemon("beside-engine-" + std::to_string(Engine));
  BOOST_TEST(Cluster::eventually(
      [&] { return !Deployment.cacheHolds(Engine, "obrador~brief-7"); }));
}

BOOST_AUTO_TEST_CASE(HoldsNothingOfAnEndedProgramWhoseOwnerWasKilled) {
  Cluster Deployment;
  const Answer Turn = Deployment.turn(1, "brief-8", 1, "one");
  BOOST_REQUIRE(Turn.has_value());
  const int Engine = numberOf(Turn->Headers.at("Tamarack-Endpoint"));
  const std::string Owner = Deployment.ownerOf("brief-8");
  Deployment.kill(Owner);
  BOOST_TEST(Cluster::eventually([&] {
    const Answer Ended = Deployment.end(otherThan(Owner), "brief-8");
    return Ended && Ended->Status == 200;
  }));
  BOOST_TEST(Cluster::eventually(
      [&] { return !Deployment.cacheHolds(Engine, "obrador~brief-8"); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Metrics)

BOOST_AUTO_TEST_CASE(CountAProgramOnceWhenItIsEndedTwice) {
  Cluster Deployment;
  BOOST_TEST(Deployment.turn(1, "brief-11", 1, "one")->Status == 200);
  BOOST_TEST(Deployment.end(1, "brief-11")->Status == 200);
  BOOST_TEST(Deployment.end(1, "brief-11")->Status == 200);
  const Answer Scraped = Deployment.unkeyed(1, "/metrics");
  BOOST_REQUIRE(Scraped.has_value());
  BOOST_TEST(Scraped->Text.find("tamarack_program_seconds_count 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(IsInForceEverywhereWithinSecondsAndAfterARestart) {
  Cluster Deployment;
  const Json Exception{{"id", "slow-day"},
                       {"scope", {{"customer", "obrador"}}},
                       {"setting", "max_turns"},
                       {"value", 40},
                       {"reason", "a demonstration"},
                       {"author", "ana"}};
  const Answer Added =
      Deployment.operate(1, "POST", "/v1/exceptions", Exception);
  BOOST_REQUIRE(Added.has_value());
  BOOST_TEST(Added->Status == 200, show(Added));
  const auto InForce = [&](int Entry) {
    const Answer Held = Deployment.operate(Entry, "GET", "/v1/config", {});
    return Held ? Held->Body["exceptions"].size() : 0;
  };
  // Seven seconds at one heartbeat a second; here a heartbeat is 100 ms.
  BOOST_TEST(
      Cluster::eventually([&] { return InForce(2) == 1 && InForce(3) == 1; }));
  Deployment.platformFaults({{"outage", true}});
  Deployment.kill("entry-2");
  Deployment.startDaemon("entry-2");
  BOOST_TEST(Cluster::eventually([&] { return InForce(2) == 1; }));
  Deployment.platformFaults({{"outage", false}});
}

BOOST_AUTO_TEST_CASE(HasOneWinnerWhenOperatorsRace) {
  Cluster Deployment;
  std::vector<std::future<Answer>> Sent;
  Sent.reserve(6);
  for (int Operator = 0; Operator < 6; ++Operator)
    Sent.push_back(std::async(std::launch::async, [&Deployment, Operator] {
      const Json Document{{"defaults", {{"max_turns", 20 + Operator}}},
                          {"exceptions", Json::array()},
                          {"author", "operator"}};
      return Deployment.operate(
          Operator % Cluster::Entries + 1, "PUT", "/v1/config",
          {{"document", Document}, {"expected_revision", 0}});
    }));
  int Won = 0;
  for (auto &Each : Sent) {
    const Answer Given = Each.get();
    BOOST_REQUIRE(Given.has_value());
    BOOST_TEST((Given->Status == 200 || Given->Status == 409), show(Given));
    Won += Given->Status == 200 ? 1 : 0;
  }
  BOOST_TEST(Won == 1);
}

BOOST_AUTO_TEST_CASE(IsRefusedWithoutTheOperatorsKey) {
  Cluster Deployment;
  const Answer Given = Deployment.unkeyed(1, "/v1/status");
  BOOST_REQUIRE(Given.has_value());
  BOOST_TEST(Given->Status == 401);
  const Answer Scraped = Deployment.unkeyed(1, "/metrics");
  BOOST_TEST(Scraped->Text.find("tamarack_wrong_keys_total{port="
                                "\"operators\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APlannedStop)

BOOST_AUTO_TEST_CASE(OfAnEndpointProcessCutsNoStreamAndTakesNoNewWork) {
  Cluster Deployment({std::chrono::milliseconds(0), 20});
  const int Before[] = {Deployment.engineRequests(1),
                        Deployment.engineRequests(2)};
  auto Stream = std::async(std::launch::async, [&] {
    return Deployment.streamedTurn(1, "brief-5", 1, "one", 100);
  });
  BOOST_TEST(Cluster::eventually([&] {
    return Deployment.engineRequests(1) > Before[0] ||
           Deployment.engineRequests(2) > Before[1];
  }));
  const int Leaving = Deployment.engineRequests(1) > Before[0] ? 1 : 2;
  const int AtLeaving = Deployment.engineRequests(Leaving);
  BOOST_TEST(Deployment.stop("beside-engine-" + std::to_string(Leaving)) == 0);
  const auto Events = Stream.get();
  BOOST_REQUIRE(Events.has_value());
  BOOST_TEST(wordsIn(*Events) == 100);
  for (int Program = 0; Program < 4; ++Program) {
    const Answer Next =
        Deployment.turn(2, "next-" + std::to_string(Program), 1, "one");
    BOOST_REQUIRE(Next.has_value());
    BOOST_TEST(Next->Status == 200, show(Next));
  }
  BOOST_TEST(Deployment.engineRequests(Leaving) == AtLeaving);
}

BOOST_AUTO_TEST_CASE(OfAnEntryCutsNoRequest) {
  Cluster Deployment({std::chrono::milliseconds(0), 20});
  auto Turn = std::async(std::launch::async, [&] {
    return Deployment.turn(1, "brief-6", 1, "one", 60);
  });
  BOOST_TEST(Cluster::eventually([&] {
    const auto Owners = Deployment.owners();
    return !Owners.empty() && Deployment.program(2, "brief-6")->Status == 200;
  }));
  BOOST_TEST(Deployment.stop("entry-1") == 0);
  const Answer Whole = Turn.get();
  BOOST_REQUIRE(Whole.has_value());
  BOOST_TEST(Whole->Status == 200, show(Whole));
  for (const std::string &Owner : Deployment.owners())
    BOOST_TEST(Owner != "entry-1", "a shard was not given up");
  const Answer Second = Deployment.turn(2, "brief-6", 2, "two");
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Status == 200, show(Second));
  BOOST_TEST(historyOf(Deployment, 3, "brief-6") == "uaua");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
