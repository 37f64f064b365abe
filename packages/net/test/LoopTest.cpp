#include "tamarack/net/Loop.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ASignal)

/// Guards against a loop that spins while a coroutine waits without a limit.
BOOST_AUTO_TEST_CASE(ThatIsNotRaisedWakesNobodyWithoutADeadline) {
  Loop Io{1};
  Signal Never(Io);
  int Wakes = 0;
  spawn(Io, [](Signal &Never, int &Wakes) -> Task<void> {
    while (Wakes < 1000) {
      co_await Never.wait(TimePoint::max());
      ++Wakes;
    }
  }(Never, Wakes));
  Io.run_for(50ms);
  BOOST_TEST(Wakes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
