#include "ChatAnswer.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

Json chunk(const Json &Delta, const Json &Finish = nullptr) {
  return {{"id", "c-1"},
          {"model", "asistente"},
          {"choices", {{{"delta", Delta}, {"finish_reason", Finish}}}}};
}

/// Parsed, as chunks are that come from an endpoint.
const Json UsageChunk = Json::parse(R"({"id": "c-1", "choices": [],
  "usage": {"prompt_tokens": 40, "completion_tokens": 2,
            "prompt_tokens_details": {"cached_tokens": 32}}})");

ChatAnswer answerOfChunks(const std::vector<Json> &Chunks) {
  ChatAnswer Answer;
  for (const Json &Chunk : Chunks)
    addChunk(Answer, Chunk);
  return Answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AChatAnswer)

BOOST_AUTO_TEST_SUITE(FromItsChunks)

BOOST_AUTO_TEST_CASE(JoinsContentInOrderAndKeepsTheUsage) {
  const Json Whole = completionOf(
      answerOfChunks({chunk({{"role", "assistant"}}), chunk({{"content", "A"}}),
                      chunk({{"content", "B"}}, "length"), UsageChunk}));
  const Json Expected = {
      {"id", "c-1"},
      {"object", "chat.completion"},
      {"model", "asistente"},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", "AB"}}},
         {"finish_reason", "length"}}}},
      {"usage",
       {{"prompt_tokens", 40},
        {"completion_tokens", 2},
        {"total_tokens", 42},
        {"prompt_tokens_details", {{"cached_tokens", 32}}}}}};
  BOOST_TEST(Whole == Expected, "expected " << Expected << ", found " << Whole);
}

BOOST_AUTO_TEST_CASE(PutsToolCallsIntoTheMessageOfTheHistory) {
  const Json Call{{"id", "t1"}, {"function", {{"name", "search"}}}};
  const Json Message = messageOf(answerOfChunks(
      {chunk({{"tool_calls", Json::array({Call})}}, "tool_calls")}));
  BOOST_TEST(Message["tool_calls"] == Json::array({Call}));
  BOOST_TEST(!messageOf(ChatAnswer()).contains("tool_calls"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AChunkIsPassedOnAtOnce)

BOOST_AUTO_TEST_CASE(OnlyIfItBringsContentAndDoesNotEndTheAnswer) {
  struct Row {
    const char *What;
    Json Chunk;
    bool IsPassedOn;
  };
  const std::vector<Row> Rows = {
      {"content", chunk({{"content", "A"}}), true},
      {"empty content", chunk({{"content", ""}}), false},
      {"role only", chunk({{"role", "assistant"}}), false},
      {"content with the end", chunk({{"content", "A"}}, "stop"), false},
      {"usage", UsageChunk, false},
      {"no object", Json::array(), false},
      {"choices of a wrong type", {{"choices", 7}}, false},
      {"content of a wrong type", chunk({{"content", 7}}), false},
  };
  for (const Row &Case : Rows) {
    ChatAnswer Answer;
    BOOST_TEST(addChunk(Answer, Case.Chunk) == Case.IsPassedOn,
               Case.What << ": expected " << Case.IsPassedOn);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
