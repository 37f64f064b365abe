#include "PrefixCache.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

struct MatchRow {
  const char *Prompt;
  TokenCount Cached;
  TokenCount Again;
};

std::string keysOf(const PrefixCache &Cache) {
  std::string Keys;
  for (const auto &[Key, Entry] : Cache.Entries)
    Keys += Key;
  return Keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixCacheUnit)

BOOST_AUTO_TEST_CASE(MatchesTheLongestPrefixAndCountsWhatWasEvicted) {
  PrefixCache Cache;
  storeSequence(Cache, "gone", tokensOf("a b c d"), 10);
  removeEntry(Cache, "gone");
  storeSequence(Cache, "x", tokensOf("a b"), 10);
  storeSequence(Cache, "y", tokensOf("a q q"), 10);
  const MatchRow Rows[] = {
      {"a b c d e", 2, 2}, {"a q q q", 3, 0}, {"a b", 2, 0},
      {"b a", 0, 0},       {"", 0, 0},        {"a z c d", 1, 0},
  };
  for (const auto &Row : Rows)
    BOOST_TEST_CONTEXT("prompt '" << Row.Prompt << "'") {
      PrefixMatch Match = matchPrefix(Cache, tokensOf(Row.Prompt));
      BOOST_TEST(Match.Cached == Row.Cached);
      BOOST_TEST(Match.Again == Row.Again);
    }
}

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedEntries) {
  PrefixCache Cache;
  for (const char *Key : {"a", "b", "c"})
    storeSequence(Cache, Key, tokensOf(std::string(Key) + " 1 2"), 9);
  matchPrefix(Cache, tokensOf("a 1"));
  storeSequence(Cache, "d", tokensOf("d 1 2 3"), 9);
  BOOST_TEST(keysOf(Cache) == "ad");
  BOOST_TEST(Cache.Held == 7u);
}

BOOST_AUTO_TEST_CASE(ReplacesTheEntryOfAKeyAndCutsWhatDoesNotFit) {
  PrefixCache Cache;
  storeSequence(Cache, "a", tokensOf("1 2 3"), 5);
  storeSequence(Cache, "a", tokensOf("1 2 3 4 5 6 7"), 5);
  BOOST_TEST(Cache.Held == 5u);
  BOOST_TEST(matchPrefix(Cache, tokensOf("1 2 3 4 5 6")).Cached == 5u);
}

BOOST_AUTO_TEST_CASE(ReportsEachChange) {
  PrefixCache Cache;
  storeSequence(Cache, "a", tokensOf("1 2 3"), 5);
  storeSequence(Cache, "b", tokensOf("4 5 6"), 5);
  const std::vector<CacheEvent> Expected = {{CacheChange::Stored, "a", 3},
                                            {CacheChange::Removed, "a", 3},
                                            {CacheChange::Stored, "b", 3}};
  BOOST_TEST((Cache.Events == Expected));
  BOOST_TEST(!removeEntry(Cache, "a"));
}

BOOST_AUTO_TEST_SUITE_END()
