#include "tamarack/net/Link.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

/// A client and its peer on a loop each, so that the client's process can stand
/// still while the peer goes on.
struct StandstillFixture {
  StandstillFixture() { BOOST_REQUIRE(Peer.listen(Address)); }
  ~StandstillFixture() {
    Link->close();
    Peer.close();
    run([] { return false; }, 20ms);
  }

  static LinkOptions options(int &Connections) {
    LinkOptions Result;
    Result.SilenceTimeout = 150ms;
    Result.OnConnectionChange = [&Connections](const std::string &, bool Up) {
      Connections += Up ? 1 : 0;
    };
    return Result;
  }

  /// Runs both processes until \p Done returns true, at most for \p Limit.
  void run(const std::function<bool()> &Done, Duration Limit = 3s) {
    const TimePoint Until = steadyNow() + Limit;
    while (!Done() && steadyNow() < Until) {
      PeerIo.run_for(1ms);
      Io.run_for(1ms);
    }
  }

  /// Calls the peer, which does not answer yet.
  void call(Duration Timeout) {
    Link->call("any", encodeBody(nullptr), steadyNow() + Timeout,
               [this](Expected<Json> Body) { Result = std::move(Body); });
    run([this] { return !Unanswered.empty(); });
    BOOST_REQUIRE(Unanswered.size() == 1U);
  }
  void answerAll() {
    for (const LinkServer::Reply &Answer : std::exchange(Unanswered, {}))
      Answer(Json("reply"));
    PeerIo.run_for(10ms);
  }

  /// Lets the client's process stand still twice in a row. The timers that
  /// expired in the first standstill are due when the second one begins, in
  /// which \p Meanwhile runs: so they run before the sockets are looked at.
  void standStill(const std::function<void()> &Meanwhile) {
    const TimePoint Now = steadyNow();
    asio::steady_timer First(Io, Now + 1ms);
    asio::steady_timer Second(Io, Now + 20ms);
    bool Ended = false;
    First.async_wait(
        [](const ErrorCode &) { std::this_thread::sleep_for(70ms); });
    Second.async_wait([&](const ErrorCode &) {
      Meanwhile();
      std::this_thread::sleep_for(400ms);
      Ended = true;
    });
    while (!Ended)
      Io.run_one();
  }

  static constexpr const char *Address = "127.0.0.1:19652";
  Loop PeerIo{1};
  Loop Io{1};
  std::vector<LinkServer::Reply> Unanswered;
  int Received = 0;
  LinkServer Peer{PeerIo, [this](const std::string &, const Json &,
                                 const LinkServer::Reply &Answer) {
                    ++Received;
                    Unanswered.push_back(Answer);
                  }};
  int Connections = 0;
  std::shared_ptr<LinkClient> Link =
      LinkClient::make(Io, Address, options(Connections));
  std::optional<Expected<Json>> Result;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ALinkOfAProcessThatStoodStill, StandstillFixture)

/// Guards against a sound connection that is taken for silent and is closed
/// with the reply unread, so that the call is sent and handled again.
BOOST_AUTO_TEST_CASE(IsNotSilentIfAReplyWaitsInTheSocket) {
  call(5s);
  standStill([this] { answerAll(); });
  run([this] { return Result.has_value(); });
  BOOST_REQUIRE(Result);
  BOOST_TEST(Result->has_value());
  BOOST_TEST(Connections == 1);
  BOOST_TEST(Received == 1);
}

/// Guards against a process that takes its own standstill for the silence of
/// its peer.
BOOST_AUTO_TEST_CASE(IsNotSilentWhileThePeerHadNoTimeToAnswer) {
  call(5s);
  standStill([] {});
  run([] { return false; }, 60ms);
  answerAll();
  run([this] { return Result.has_value(); });
  BOOST_REQUIRE(Result);
  BOOST_TEST(Result->has_value());
  BOOST_TEST(Connections == 1);
  BOOST_TEST(Received == 1);
}

/// Guards against a record that is told as not stored although the ledger's
/// reply arrived in time.
BOOST_AUTO_TEST_CASE(GetsAReplyThatArrivedBeforeTheDeadline) {
  call(200ms);
  standStill([this] { answerAll(); });
  run([this] { return Result.has_value(); });
  BOOST_REQUIRE(Result);
  BOOST_TEST(Result->has_value());
}

/// A peer that goes on sending must not keep calls that it does not answer
/// beyond their deadlines.
BOOST_AUTO_TEST_CASE(ReportsATimeoutAlsoIfThereIsAlwaysSomethingToRead) {
  call(200ms);
  const std::string Answer(1000, 'x');
  bool Going = true;
  const std::function<void()> CallAgain = [&] {
    Link->call("other", encodeBody(nullptr), steadyNow() + 5s,
               [&](const Expected<Json> &) {
                 if (Going)
                   CallAgain();
               });
  };
  CallAgain();
  const LinkServer::Reply First = std::exchange(Unanswered, {}).front();
  const TimePoint Begun = steadyNow();
  while (!Result && steadyNow() - Begun < 2s) {
    for (const LinkServer::Reply &Other : std::exchange(Unanswered, {}))
      Other(Json(Answer));
    PeerIo.run_for(1ms);
    Io.run_for(1ms);
  }
  Going = false;
  Link->close();
  BOOST_REQUIRE(Result);
  BOOST_REQUIRE(!Result->has_value());
  BOOST_TEST(Result->error().Kind == ErrorKind::Timeout);
  BOOST_TEST((steadyNow() - Begun < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
