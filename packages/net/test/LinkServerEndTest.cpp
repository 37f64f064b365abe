#include "tamarack/net/Link.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

/// A server that answers when it is told to, and a client on a loop of its own,
/// which can stand still.
struct LinkEndFixture {
  LinkEndFixture() { BOOST_REQUIRE(Server->listen(Address)); }
  ~LinkEndFixture() {
    Link->close();
    Server->close();
    runBoth([] { return false; }, 20ms);
  }

  void runBoth(const std::function<bool()> &Done, Duration Limit = 3s) {
    const TimePoint Until = steadyNow() + Limit;
    while (!Done() && steadyNow() < Until) {
      ServerIo.run_for(1ms);
      Io.run_for(1ms);
    }
  }
  void call(int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Link->call(
          "any", encodeBody(nullptr), steadyNow() + 5s,
          [this](const Expected<Json> &Body) { Answered += Body ? 1 : 0; });
  }
  void answerAll() {
    for (const LinkServer::Reply &Answer : std::exchange(Unanswered, {}))
      Answer(Json("reply"));
  }
  void beginEnd(Duration Limit) {
    asio::co_spawn(
        ServerIo, Server->endLinks(steadyNow() + Limit),
        [this](const std::exception_ptr &, LinkEnd Ended) { End = Ended; });
  }

  static constexpr const char *Address = "127.0.0.1:19653";
  Loop ServerIo{1};
  Loop Io{1};
  int Handled = 0;
  int Answered = 0;
  std::vector<LinkServer::Reply> Unanswered;
  std::unique_ptr<LinkServer> Server = std::make_unique<LinkServer>(
      ServerIo, [this](const std::string &, const Json &,
                       const LinkServer::Reply &Answer) {
        ++Handled;
        Unanswered.push_back(Answer);
      });
  std::shared_ptr<LinkClient> Link =
      LinkClient::make(Io, Address, LinkOptions());
  std::optional<LinkEnd> End;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ALinkServerThatEndsItsLinks, LinkEndFixture)

/// Guards against replies that are destroyed by the end of their link, so that
/// what was done is reported as not done.
BOOST_AUTO_TEST_CASE(AnswersTheCallsThatItHasHandled) {
  call(20);
  runBoth([this] { return Handled == 20; });
  beginEnd(2s);
  runBoth([] { return false; }, 30ms);
  BOOST_TEST(!End);
  answerAll();
  runBoth([this] { return End.has_value(); });
  BOOST_REQUIRE(End);
  BOOST_TEST(Answered == 20);
  BOOST_TEST((*End == LinkEnd{1, 0, 0, 0}));
}

/// Guards against calls that are handled but whose callers learn nothing of it.
BOOST_AUTO_TEST_CASE(HandlesNoCallThatArrivesLater) {
  call(1);
  runBoth([this] { return Handled == 1; });
  beginEnd(2s);
  ServerIo.run_for(5ms);
  call(10);
  runBoth([] { return false; }, 30ms);
  BOOST_TEST(Handled == 1);
  answerAll();
  runBoth([this] { return End.has_value(); });
  BOOST_REQUIRE(End);
  BOOST_TEST(Answered == 1);
  BOOST_TEST((*End == LinkEnd{1, 0, 0, 10}));
}

/// Guards against a reset, by calls that wait in the server's socket, of a
/// connection whose client has not read its replies because it stands still.
BOOST_AUTO_TEST_CASE(AnswersAClientThatStandsStillAndHasSentMore) {
  call(20);
  runBoth([this] { return Handled == 20; });
  call(20);
  Io.run_for(5ms);
  answerAll();
  beginEnd(300ms);
  while (!End)
    ServerIo.run_for(5ms);
  Server.reset();
  BOOST_TEST((*End == LinkEnd{1, 1, 0, 20}));
  Io.run_for(50ms);
  BOOST_TEST(Answered == 20);
  ServerIo.restart(); // It has stopped, as nothing was left to do.
  Server = std::make_unique<LinkServer>(
      ServerIo, [](const std::string &, const Json &,
                   const LinkServer::Reply &Answer) { Answer(Json("again")); });
  BOOST_REQUIRE(Server->listen(Address));
  runBoth([this] { return Answered == 40; });
  BOOST_TEST(Answered == 40);
}

BOOST_AUTO_TEST_CASE(DoesNotWaitForAHandlerBeyondTheDeadline) {
  call(3);
  runBoth([this] { return Handled == 3; });
  const TimePoint Begun = steadyNow();
  beginEnd(100ms);
  runBoth([this] { return End.has_value(); });
  BOOST_REQUIRE(End);
  BOOST_TEST((*End == LinkEnd{1, 1, 3, 0}));
  BOOST_TEST((steadyNow() - Begun < 1s));
}

BOOST_AUTO_TEST_SUITE_END()
