#include "tamarack/relay/ProgramsUnderWay.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

ProgramId program(int Number) {
  return ProgramId("program-" + std::to_string(Number));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProgramsUnderWayAtAnEntry)

BOOST_AUTO_TEST_CASE(AreKnownAfterTheirFirstRequest) {
  ProgramsUnderWay Programs;
  BOOST_TEST(!Programs.isUnderWay(program(1), Start));
  Programs.note(program(1), Start);
  BOOST_TEST(Programs.isUnderWay(program(1), Start));
  BOOST_TEST(!Programs.isUnderWay(program(2), Start));
}

BOOST_AUTO_TEST_CASE(AreKnownAsLongAsTheirRequestsFollow) {
  ProgramsUnderWay Programs({10s, 100});
  for (TimePoint Now = Start; Now < Start + 2min; Now += 9s) {
    Programs.note(program(1), Now);
    BOOST_TEST(Programs.isUnderWay(program(1), Now + 9s));
  }
}

BOOST_AUTO_TEST_CASE(AreForgottenAfterTwoLifetimes) {
  ProgramsUnderWay Programs({10s, 100});
  Programs.note(program(1), Start);
  BOOST_TEST(Programs.isUnderWay(program(1), Start + 10s));
  BOOST_TEST(!Programs.isUnderWay(program(1), Start + 20s));
  Programs.note(program(2), Start + 21s);
  BOOST_TEST(!Programs.isUnderWay(program(1), Start + 21s));
  BOOST_TEST(Programs.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WithoutAnIdAreNeverKnown) {
  ProgramsUnderWay Programs;
  Programs.note(ProgramId(), Start);
  BOOST_TEST(!Programs.isUnderWay(ProgramId(), Start));
  BOOST_TEST(Programs.size() == 0U);
}

// Guards against callers that name a new program with each request.
BOOST_AUTO_TEST_CASE(AreBoundedAndTheLatestOnesKept) {
  ProgramsUnderWay Programs({10s, 100});
  for (int Number = 0; Number < 10000; ++Number)
    Programs.note(program(Number), Start);
  BOOST_TEST(Programs.size() <= 100U);
  for (int Number = 9950; Number < 10000; ++Number)
    BOOST_TEST(Programs.isUnderWay(program(Number), Start));
}

BOOST_AUTO_TEST_SUITE_END()
