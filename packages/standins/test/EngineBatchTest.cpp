#include "EngineBatch.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

struct Fixture {
  BatchState State;
  BatchLimits Limits;

  void add(const std::string &Name, const std::string &Prompt,
           TokenCount MaxTokens) {
    State.Waiting.push_back({Name, Name, tokensOf(Prompt), MaxTokens});
  }

  /// Steps until all is done; each step's streams, '!' behind finished ones.
  std::string run() {
    std::string Log;
    while (!State.Waiting.empty() || !State.Running.empty()) {
      for (const auto &Each : stepBatch(State, Limits).Progress)
        Log += Each.Stream + (Each.Finished ? "!" : "");
      Log += " ";
      BOOST_TEST(runningTokens(State) + State.Cache.Held <=
                 Limits.MaxMemoryTokens);
      BOOST_TEST(State.Cache.Held <= Limits.CacheTokens);
    }
    return Log;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineBatch, Fixture)

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(DecodesTogetherAndLetsOthersWaitInOrder) {
  Limits.MaxBatch = 2;
  add("a", "p", 3);
  add("b", "q", 1);
  add("c", "r", 2);
  add("d", "s", 1);
  BOOST_TEST(run() == "ab! ac a!c! d! ");
}

BOOST_AUTO_TEST_CASE(KeepsRunningAndCachedTokensWithinTheMemory) {
  Limits.MaxMemoryTokens = 10;
  Limits.CacheTokens = 6;
  add("a", "1 2", 3);
  add("b", "3 4", 3);
  add("c", "5 6 7", 2);
  BOOST_TEST(run() == "ab ab a!b! c c! ");
  BOOST_TEST(State.Cache.Held == 6u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Prefill)

BOOST_AUTO_TEST_CASE(CostsOnlyTheTokensThatAreNotCached) {
  Limits.TokenTime = Duration(100);
  Limits.PrefillTokensPerMs = 1;
  add("a", "1 2 3", 1);
  BOOST_TEST(stepBatch(State, Limits).Takes.count() == 3100);
  add("b", "1 2 3 4", 1);
  BOOST_TEST(stepBatch(State, Limits).Takes.count() == 1100);
  BOOST_TEST(State.Count.Prefilled == 4u);
  BOOST_TEST(State.Count.PrefilledAgain == 0u);
  removeEntry(State.Cache, "a");
  removeEntry(State.Cache, "b");
  add("c", "1 2 9", 1);
  stepBatch(State, Limits);
  BOOST_TEST(State.Count.Prefilled == 7u);
  BOOST_TEST(State.Count.PrefilledAgain == 2u);
}

BOOST_AUTO_TEST_CASE(OfALongPromptLetsOthersDecodeMeanwhile) {
  std::string Long;
  for (int I = 0; I < 1100; ++I)
    Long += "w" + std::to_string(I) + " ";
  add("a", "p", 4);
  add("b", Long, 1);
  BOOST_TEST(run() == "a a ab! a! ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Answers)

BOOST_AUTO_TEST_CASE(EnterTheCacheForTheNextTurn) {
  add("a", "user: hello", 2);
  run();
  auto Prompt = tokensOf("user: hello");
  std::string Next = "user: hello assistant: " + answerWord(Prompt, 0) + " " +
                     answerWord(Prompt, 1) + " user: more";
  BOOST_TEST(matchPrefix(State.Cache, tokensOf(Next)).Cached == 5u);
}

BOOST_AUTO_TEST_CASE(OfCancelledRequestsStopAndKeepWhatWasComputed) {
  Limits.MaxBatch = 1;
  add("a", "1 2 3", 10);
  add("b", "4", 1);
  stepBatch(State, Limits);
  BOOST_TEST(cancelRequest(State, Limits, "a"));
  BOOST_TEST(!cancelRequest(State, Limits, "a"));
  BOOST_TEST(matchPrefix(State.Cache, tokensOf("1 2 3")).Cached == 3u);
  BOOST_TEST(cancelRequest(State, Limits, "b"));
  BOOST_TEST(run() == "");
  BOOST_TEST(State.Count.Generated == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
