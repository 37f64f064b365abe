#include "tamarack/net/ProcessMemory.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(TheMemoryOfTheProcess)

BOOST_AUTO_TEST_CASE(IsAtLeastWhatWasWritten) {
  constexpr std::size_t Written = 256U << 20U;
  { const std::vector<char> Block(Written, 'x'); }
  BOOST_TEST(peakMemoryBytes() >= Written);
}

BOOST_AUTO_TEST_CASE(PassesLevelsFromHalfOfTheLimitOn) {
  BOOST_TEST(passedMemoryLevels(0, 800) == 0U);
  BOOST_TEST(passedMemoryLevels(399, 800) == 0U);
  BOOST_TEST(passedMemoryLevels(400, 800) == 1U);
  BOOST_TEST(passedMemoryLevels(499, 800) == 1U);
  BOOST_TEST(passedMemoryLevels(500, 800) == 2U);
  BOOST_TEST(passedMemoryLevels(800, 800) == 5U);
}

BOOST_AUTO_TEST_CASE(HasNoLevelsWithoutALimit) {
  BOOST_TEST(passedMemoryLevels(1U << 30U, 0) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
