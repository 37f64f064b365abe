#include "tamarack/net/Loop.h"

#include <boost/test/unit_test.hpp>
#include <thread>

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

/// Guards against callers that wait in the listen queue of a process whose loop
/// is late, although it has time for what they ask.
BOOST_AUTO_TEST_CASE(ABusyLoopAcceptsAllThatWaitsAtOnce) {
  constexpr int Callers = 30;
  Loop Io{1};
  auto Listener = listenOn(Io, "127.0.0.1:19793");
  BOOST_REQUIRE(Listener.has_value());
  std::vector<Tcp::socket> Waiting;
  for (int Number = 0; Number < Callers; ++Number) {
    Waiting.emplace_back(Io);
    Waiting.back().connect(Listener->local_endpoint());
  }
  int Accepted = 0;
  int Passes = 0;
  spawn(Io, acceptLoop(*Listener, [&Accepted](Tcp::socket) { ++Accepted; }));
  spawn(Io, [](Loop &Io, int &Accepted, int &Passes) -> Task<void> {
    while (Accepted < Callers) {
      ++Passes;
      std::this_thread::sleep_for(2ms);
      co_await pause(Io, 0ms);
    }
  }(Io, Accepted, Passes));
  Io.run_for(1s);
  BOOST_TEST(Accepted == Callers);
  BOOST_TEST(Passes < 10);
}
