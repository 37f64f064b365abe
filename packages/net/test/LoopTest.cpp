#include "tamarack/net/Loop.h"

#include <boost/asio/post.hpp>
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

BOOST_AUTO_TEST_SUITE(AListener)

/// Load pattern: many callers connect at once while the loop is busy. Guards
/// against one connection in each turn of the loop, so that the last ones wait
/// for as many turns as there are connections.
BOOST_AUTO_TEST_CASE(AcceptsAllThatWaitInAFewTurnsOfABusyLoop) {
  constexpr int Connections = 50;
  constexpr int FewTurns = 5;
  Loop Io{1};
  Tcp::acceptor Listener(Io,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::vector<Tcp::socket> Callers;
  for (int Number = 0; Number < Connections; ++Number)
    Callers.emplace_back(Io).connect(Listener.local_endpoint());
  std::vector<Tcp::socket> Accepted;
  spawn(Io, acceptLoop(Listener, [&](Tcp::socket Socket) {
          Accepted.push_back(std::move(Socket));
        }));
  int Turns = 0;
  std::function<void()> Work = [&] {
    if (Accepted.size() < Connections && ++Turns < Connections)
      asio::post(Io, Work);
    else
      Io.stop();
  };
  asio::post(Io, Work);
  Io.run();
  BOOST_TEST(Accepted.size() == Connections);
  BOOST_TEST(Turns <= FewTurns);
}

BOOST_AUTO_TEST_SUITE_END()
