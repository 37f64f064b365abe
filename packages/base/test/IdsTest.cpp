#include "tamarack/base/Ids.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(Ids)

BOOST_AUTO_TEST_CASE(ASubAgentSharesRootAndShard) {
  const ProgramId Root("andes:brief-17");
  const ProgramId Child("andes:brief-17/search/deep");
  BOOST_TEST(rootOf(Child) == Root);
  BOOST_TEST(shardOf(Child, 64) == shardOf(Root, 64));
}

BOOST_AUTO_TEST_CASE(TheHashIsTheSameInEveryRelease) {
  BOOST_TEST(stableHash("tamarack") == stableHash("tamarack", 0));
  BOOST_TEST(stableHash("") == 0xef46db3751d8e999ULL);
}

BOOST_AUTO_TEST_SUITE_END()
