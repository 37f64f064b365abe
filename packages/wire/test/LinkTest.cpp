#include "tamarack/wire/Link.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

struct CountPart {
  int Number;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CountPart, Number)
};

struct CountOrder {
  static constexpr const char *Name = "count";
  using Part = CountPart;
  using Reply = CountPart;
  int UpTo;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CountOrder, UpTo)
};

const LinkSettings Settings{"secret", std::chrono::milliseconds(20)};
const CallLimits Limits{std::chrono::seconds(5), std::chrono::seconds(5)};

struct ConnectedPair {
  explicit ConnectedPair(const std::string &ClientKey = "secret") {
    Server.handleStream<CountOrder>(
        [](const CountOrder &Order,
           const std::function<bool(const CountPart &)> &Part)
            -> Expected<CountPart> {
          if (Order.UpTo < 0)
            return refuse(ErrorKind::WrongSequence, "below zero",
                          NotRun::Proved);
          for (int Number = 1; Number <= Order.UpTo; ++Number)
            Part({Number});
          return CountPart{Order.UpTo};
        });
    LinkSettings ClientSettings = Settings;
    ClientSettings.Key = ClientKey;
    Client = std::make_unique<LinkClient>(
        Loop, LinkAddress{"127.0.0.1", *Server.listen({"127.0.0.1", 0})},
        ClientSettings, LinkHooks{}, Time);
  }

  SystemClock Time;
  WireLoop Loop;
  LinkServer Server{Loop, Settings, {}, Time};
  std::unique_ptr<LinkClient> Client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LinkTests)

BOOST_AUTO_TEST_CASE(DeliversAllPartsOfAStreamedAnswerInOrder) {
  ConnectedPair Link;
  std::vector<int> Numbers;
  const auto Answer = Link.Client->stream<CountOrder>(
      {100}, Limits, [&Numbers](const CountPart &Part) {
        Numbers.push_back(Part.Number);
        return true;
      });
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->Number == 100);
  BOOST_TEST(Numbers.size() == 100);
  BOOST_TEST(std::is_sorted(Numbers.begin(), Numbers.end()));
}

BOOST_AUTO_TEST_CASE(ReturnsTheKindAndProofOfAServerError) {
  ConnectedPair Link;
  const auto Answer = Link.Client->call<CountOrder>({-1}, Limits);
  BOOST_REQUIRE(!Answer.has_value());
  BOOST_TEST(Answer.error().Kind == ErrorKind::WrongSequence);
  BOOST_TEST((Answer.error().Proof == NotRun::Proved));
}

BOOST_AUTO_TEST_CASE(RefusesAndCountsAWrongKeyAsProvedNotRun) {
  ConnectedPair Link("guess");
  const auto Answer = Link.Client->call<CountOrder>({1}, Limits);
  BOOST_REQUIRE(!Answer.has_value());
  BOOST_TEST(Answer.error().Kind == ErrorKind::LinkLost);
  BOOST_TEST((Answer.error().Proof == NotRun::Proved));
  BOOST_TEST(Link.Server.counts().RefusedKeys == 1);
}

BOOST_AUTO_TEST_CASE(ReportsAnUnreachableServerAsProvedNotRun) {
  ConnectedPair Link;
  const LinkAddress Unreachable{"127.0.0.1", 1};
  LinkClient Client(Link.Loop, Unreachable, Settings, {}, Link.Time);
  const auto Answer = Client.call<CountOrder>({1}, Limits);
  BOOST_REQUIRE(!Answer.has_value());
  BOOST_TEST((Answer.error().Proof == NotRun::Proved));
}

BOOST_AUTO_TEST_SUITE_END()
