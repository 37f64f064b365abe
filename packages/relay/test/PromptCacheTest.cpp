#include "tamarack/relay/PromptCache.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(APromptCache)

BOOST_AUTO_TEST_CASE(KnowsTheLeadingPartsOfAPrompt) {
  PromptCache Cache;
  Cache.recordPrompt({{"a", 10}, {"b", 5}}, 100);
  BOOST_TEST(Cache.cachedTokens({{"a", 10}, {"b", 7}, {"c", 1}}) == 15U);
  BOOST_TEST(Cache.cachedTokens({{"x", 10}, {"b", 5}}) == 0U);
}

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedParts) {
  PromptCache Cache;
  Cache.recordPrompt({{"a", 60}}, 100);
  Cache.recordPrompt({{"b", 60}}, 100);
  BOOST_TEST(Cache.cachedTokens({{"a", 60}}) == 0U);
  BOOST_TEST(Cache.cachedTokens({{"b", 60}}) == 60U);
}

// Guards against parts whose tokens say nothing of the memory that they take
// at the entry.
BOOST_AUTO_TEST_SUITE(IsBounded)

BOOST_AUTO_TEST_CASE(IfPartsHaveNoTokens) {
  PromptCache Cache;
  for (int Request = 0; Request < 200; ++Request) {
    std::vector<PromptPart> Prompt;
    Prompt.reserve(1000);
    for (int Number = 0; Number < 1000; ++Number)
      Prompt.push_back(
          {std::to_string(Request) + "-" + std::to_string(Number), 0});
    Cache.recordPrompt(Prompt, 100);
  }
  BOOST_TEST(Cache.size() <= PromptCache::MaxParts);
}

BOOST_AUTO_TEST_CASE(IfIdsAreLong) {
  PromptCache Cache;
  Cache.recordPrompt({{"a", 1}, {std::string(10000, 'x'), 1}, {"b", 1}}, 100);
  BOOST_TEST(Cache.size() == 1U);
  BOOST_TEST(Cache.cachedTokens({{"a", 1}}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
