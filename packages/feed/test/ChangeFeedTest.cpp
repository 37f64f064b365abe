#include "tamarack/feed/ChangeFeed.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

StoreItem item(const std::string &Key, const std::string &Value,
               Revision ModRevision = 1) {
  return {Key, Value, ModRevision, false};
}

struct ChangeFeedFixture {
  /// Values mean the same if they agree up to the first slash.
  ChangeFeed Feed{"f", [](const StoreItem &Left, const StoreItem &Right) {
                    return Left.Value.substr(0, Left.Value.find('/')) ==
                           Right.Value.substr(0, Right.Value.find('/'));
                  }};

  /// The keys of the page after \p Position; removed ones begin with a minus.
  std::string keysAfter(const FeedPosition &Position) {
    std::string Result;
    for (const StoreItem &Item : Feed.pageAfter(Position).Items)
      Result += (Item.Removed ? "-" : "") + Item.Key + " ";
    return Result;
  }
  FeedPosition now() { return Feed.pageAfter({}).Position; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangeFeedTest, ChangeFeedFixture)

BOOST_AUTO_TEST_SUITE(ForANewFollower)

BOOST_AUTO_TEST_CASE(ThePageHoldsAllItems) {
  Feed.put(item("a", "1"));
  Feed.put(item("b", "1"));
  Feed.remove("a");
  const FeedPage Page = Feed.pageAfter({});
  BOOST_TEST(Page.IsComplete);
  BOOST_TEST(keysAfter({}) == "b ");
}

/// Guards against a new follower that keeps a state which lay between two
/// states of the same meaning: it ignores items of an older revision than its
/// own.
BOOST_AUTO_TEST_CASE(AnItemHasItsLatestRevision) {
  Feed.put(item("a", "1/x", 3));
  const FeedPosition Before = now();
  Feed.put(item("a", "1/y", 9));
  BOOST_TEST((Feed.pageAfter({}).Items.front() == item("a", "1/y", 9)));
  BOOST_TEST(keysAfter(Before).empty());
}

BOOST_AUTO_TEST_CASE(ThePageOfAnotherFeedIsNoPosition) {
  Feed.put(item("a", "1"));
  BOOST_TEST(Feed.pageAfter({"other", 1}).IsComplete);
  BOOST_TEST(Feed.pageAfter({"f", 99}).IsComplete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForAFollowerWithAPosition)

BOOST_AUTO_TEST_CASE(ThePageHoldsOnlyLaterChanges) {
  Feed.put(item("a", "1"));
  Feed.put(item("b", "1"));
  const FeedPosition Position = now();
  BOOST_TEST(keysAfter(Position).empty());
  Feed.put(item("b", "2", 5));
  Feed.put(item("c", "1", 6));
  Feed.remove("a");
  BOOST_TEST(!Feed.pageAfter(Position).IsComplete);
  BOOST_TEST(keysAfter(Position) == "b c -a ");
}

BOOST_AUTO_TEST_CASE(AKeyThatReturnedIsNotRemoved) {
  Feed.put(item("a", "1"));
  const FeedPosition Position = now();
  Feed.remove("a");
  Feed.put(item("a", "1", 7));
  BOOST_TEST(keysAfter(Position) == "a ");
}

BOOST_AUTO_TEST_CASE(ChangesWithoutMeaningAreLeftOut) {
  Feed.put(item("a", "1/heartbeat 1"));
  const FeedPosition Position = now();
  Feed.put(item("a", "1/heartbeat 2", 2));
  BOOST_TEST(keysAfter(Position).empty());
  Feed.put(item("a", "2/heartbeat 3", 3));
  BOOST_TEST(keysAfter(Position) == "a ");
}

BOOST_AUTO_TEST_CASE(AllItemsAreSentIfRemovalsWereForgotten) {
  Feed.put(item("a", "1"));
  const FeedPosition Position = now();
  for (int Number = 0; Number < 1100; ++Number) {
    Feed.put(item("k" + std::to_string(Number), "1"));
    Feed.remove("k" + std::to_string(Number));
  }
  BOOST_TEST(Feed.pageAfter(Position).IsComplete);
  BOOST_TEST(keysAfter(Position) == "a ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pages)

BOOST_AUTO_TEST_CASE(SurviveTheirEncoding) {
  FeedPage Page;
  Page.Position = {"f", 7};
  Page.IsComplete = true;
  Page.Items = {item("a", std::string("\xff\0x", 3), 4), {"b", "", 0, true}};
  Page.AppliedRevision = 9;
  Page.Age = 30ms;
  Page.SinceOutage = 5s;
  const Json Encoded = Json::from_cbor(Json::to_cbor(Json(Page)));
  BOOST_TEST((Encoded.get<FeedPage>() == Page));
}

BOOST_AUTO_TEST_CASE(ThatAreMalformedAreRejected) {
  for (const char *Text : {"null", "{}", "[]", R"({"position":["f"]})"})
    BOOST_CHECK_THROW(Json::parse(Text).get<FeedPage>(), Json::exception);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
