#include "tamarack/relay/EventStream.h"
#include "tamarack/relay/ChainCache.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

std::vector<StreamEvent> split(const std::vector<std::string> &Pieces) {
  EventSplitter Splitter;
  std::vector<StreamEvent> Result;
  for (const std::string &Piece : Pieces) {
    Splitter.feed(Piece);
    while (std::optional<StreamEvent> Event = Splitter.next())
      Result.push_back(std::move(*Event));
  }
  return Result;
}

std::shared_ptr<const StoredTurn> makeTurn(const std::string &Id,
                                           const std::string &Previous,
                                           std::size_t Bytes = 100) {
  return std::make_shared<const StoredTurn>(StoredTurn{
      TurnId(Id), TurnId(Previous), std::string(Bytes, 'x'), "", {}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(ReadsIdAndData) {
  const auto Events = split({"id: 1\ndata: one\n\nid:2\ndata:two\n\n"});
  BOOST_REQUIRE(Events.size() == 2U);
  BOOST_TEST(Events[0].Id == "1");
  BOOST_TEST(Events[0].Data == "one");
  BOOST_TEST(Events[0].Text == "id: 1\ndata: one\n\n");
  BOOST_TEST(Events[1].Data == "two");
}

BOOST_AUTO_TEST_CASE(ReassemblesAnEventFromAnyTwoPieces) {
  const std::string Text = "id: 7\r\ndata: a\r\ndata: b\r\n\r\n";
  for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
    const auto Events = split({Text.substr(0, Cut), Text.substr(Cut)});
    BOOST_REQUIRE_MESSAGE(Events.size() == 1U, "cut at " << Cut);
    BOOST_TEST(Events[0].Data == "a\nb");
    BOOST_TEST(Events[0].Text == Text);
  }
}

BOOST_AUTO_TEST_CASE(ReturnsCommentsAsEventsWithoutData) {
  const auto Events = split({": hello\n\n"});
  BOOST_REQUIRE(Events.size() == 1U);
  BOOST_TEST(!Events[0].HasData);
}

BOOST_AUTO_TEST_CASE(ReportsAPartialEvent) {
  EventSplitter Splitter;
  Splitter.feed("id: 1\nda");
  BOOST_TEST(!Splitter.next());
  BOOST_TEST(Splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ChainCacheTest)

BOOST_AUTO_TEST_CASE(ReturnsChainsOldestFirst) {
  ChainCache Cache(10000);
  Cache.add(makeTurn("a", ""));
  Cache.add(makeTurn("b", "a"));
  const auto Chain = Cache.chain(TurnId("b"));
  BOOST_REQUIRE(Chain.size() == 2U);
  BOOST_TEST(Chain[0]->Id.text() == "a");
}

BOOST_AUTO_TEST_CASE(ReturnsNothingIfATurnIsMissing) {
  ChainCache Cache(10000);
  Cache.add(makeTurn("b", "a"));
  BOOST_TEST(Cache.chain(TurnId("b")).empty());
}

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedTurnsAboveTheLimit) {
  ChainCache Cache(1600);
  Cache.add(makeTurn("a", ""));
  Cache.add(makeTurn("b", ""));
  BOOST_TEST(!Cache.chain(TurnId("a")).empty());
  Cache.add(makeTurn("c", ""));
  Cache.add(makeTurn("d", ""));
  BOOST_TEST(Cache.chain(TurnId("b")).empty());
  BOOST_TEST(!Cache.chain(TurnId("a")).empty());
  BOOST_TEST(Cache.bytes() <= 1600U);
}

BOOST_AUTO_TEST_SUITE_END()
