#include "LoadDriver.h"

#include "HttpHost.h"

#include "tamarack/standins/EngineAnswer.h"
#include "tamarack/standins/EngineServer.h"

#include <boost/test/unit_test.hpp>
#include <mutex>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

constexpr TokenCount AnswerTokens = 3;

/// Four programs of two turns with five words each.
LoadPlan smallPlan(std::uint16_t Port) {
  LoadPlan Plan;
  Plan.Targets = {HttpTarget(Port)};
  Plan.Concurrency = 2;
  Plan.Programs = 4;
  Plan.Turns = 2;
  Plan.WordsPerTurn = 4;
  Plan.MaxTokens = AnswerTokens;
  return Plan;
}

/// Keeps histories like an entry and notes what it was sent.
struct EntryStub {
  std::mutex Mutex;
  std::map<std::string, Json> Histories;
  std::vector<std::string> Sequences;
  bool Forgets = false;
  std::unique_ptr<HttpHost> Host =
      std::move(*HttpHost::create(0, [this](Exchange &Call) { serve(Call); }));

  void serve(Exchange &Call) {
    std::lock_guard Lock(Mutex);
    if (Call.header("Authorization") != "Bearer key")
      return Call.answer(401, {{"error", {{"kind", "unauthorized"}}}});
    std::string Program = Call.header("Tamarack-Program");
    Sequences.push_back(Program + "#" + Call.header("Tamarack-Sequence"));
    Json &History = Histories[Program];
    if (Forgets || History.is_null())
      History = Json::array();
    const Json Body = Call.body();
    for (const auto &Message : Body.at("messages"))
      History.push_back(Message);
    std::string Text = engineAnswer(History, AnswerTokens);
    History.push_back({{"role", "assistant"}, {"content", Text}});
    Json Choice = {{"delta", {{"content", Text}}}};
    Call.beginEvents();
    Call.sendEvent(Json{{"choices", Json::array({Choice})}}.dump());
    Call.sendEvent("[DONE]");
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadDriver)

BOOST_AUTO_TEST_CASE(DrivesAnEngineAndMeasuresEveryToken) {
  EngineServer::Options Settings;
  Settings.TokenTime = std::chrono::milliseconds(1);
  auto Engine = std::move(*EngineServer::create(Settings));
  HttpJson(Engine->port()).post("/v1/faults", {{"fail_next", 1}});
  LoadPlan Plan = smallPlan(Engine->port());
  Plan.Direct = true;
  Plan.Retries = 1;
  Json Report = reportOf(runLoad(Plan, SystemClock()));
  BOOST_TEST(Report["programs_finished"] == 4);
  BOOST_TEST(Report["calls"] == 9);
  BOOST_TEST(Report["errors"] == (Json{{"http_500", 1}}));
  BOOST_TEST(Report["wrong_answers"] == 0);
  BOOST_TEST(Report["first_token_ms"]["count"] == 8);
  BOOST_TEST(Report["between_tokens_ms"]["count"] == 16);
  // A turn of 6 words, then the same with the answer's 4 and 6 more.
  BOOST_TEST(Report["prompt_tokens"] == 4 * (6 + 16));
  BOOST_TEST(Report["cached_tokens"] >= 4 * 10);
}

BOOST_AUTO_TEST_CASE(SendsAnEntryTheNewMessageUnderItsSequence) {
  EntryStub Entry;
  LoadPlan Plan = smallPlan(Entry.Host->port());
  Plan.Concurrency = 1;
  Plan.Programs = 2;
  Plan.Key = "key";
  LoadSamples Samples = runLoad(Plan, SystemClock());
  BOOST_TEST(Samples.WrongAnswers == 0u);
  const std::vector<std::string> Expected = {"load-0#1", "load-0#2", "load-1#1",
                                             "load-1#2"};
  BOOST_TEST(Entry.Sequences == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CountsAnswersThatMissTheHistory) {
  EntryStub Entry;
  Entry.Forgets = true;
  LoadPlan Plan = smallPlan(Entry.Host->port());
  Plan.Key = "key";
  BOOST_TEST(runLoad(Plan, SystemClock()).WrongAnswers == 4u);
}

BOOST_AUTO_TEST_CASE(CountsErrorsByKindAndFailsTheProgram) {
  EntryStub Entry;
  LoadSamples Samples = runLoad(smallPlan(Entry.Host->port()), SystemClock());
  BOOST_TEST(Samples.Errors["unauthorized"] == 4u);
  BOOST_TEST(Samples.ProgramsFailed == 4u);
  BOOST_TEST(Samples.Program.empty());
}

BOOST_AUTO_TEST_CASE(TakesThePercentilesByNearestRank) {
  std::vector<Duration> Sorted;
  for (int I = 1; I <= 200; ++I)
    Sorted.emplace_back(I);
  BOOST_TEST(percentileOf(Sorted, 50).count() == 100);
  BOOST_TEST(percentileOf(Sorted, 99).count() == 198);
  BOOST_TEST(percentileOf({Duration(7)}, 1).count() == 7);
  BOOST_TEST(percentileOf({}, 50).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
