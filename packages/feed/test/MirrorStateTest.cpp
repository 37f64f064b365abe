#include "tamarack/feed/MirrorState.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

StoreItem item(const std::string &Key, Revision ModRevision) {
  return {Key, "ready", ModRevision, false};
}

StoreItem removal(const std::string &Key, Revision ModRevision) {
  return {Key, {}, ModRevision, true};
}

/// A mirror that knows the keys "a" and "b" of revision 5.
struct MirrorFixture {
  MirrorFixture() {
    State.applyListing({item("a", 3), item("b", 4)}, 5, Start);
  }

  /// The store is out until 65 s; at 66 s it reports that "a" is removed.
  void hearOfRemovalAfterOutage() {
    State.onStoreFailure(Start + 1min);
    State.onAnswer(Start + 65s);
    State.applyChanges({removal("a", 6)}, 6, Start + 66s);
  }

  bool has(const std::string &Key) const { return State.find(Key) != nullptr; }

  static MirrorStateOptions options() {
    return {"f",
            [](const StoreItem &Left, const StoreItem &Right) {
              return Left.Value == Right.Value;
            },
            2200ms};
  }

  MirrorState State{options(), Start - 1h};
};

/// The page of a source that was in touch with the store all the while.
FeedPage page(std::vector<StoreItem> Items, bool IsComplete = false) {
  FeedPage Result;
  Result.Position = {"source", 9};
  Result.IsComplete = IsComplete;
  Result.Items = std::move(Items);
  Result.AppliedRevision = 9;
  Result.Age = Duration(100ms);
  Result.SinceOutage = 1min;
  return Result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(MirrorStateTest, MirrorFixture)

BOOST_AUTO_TEST_SUITE(ARemovalThatTheStoreReports)

BOOST_AUTO_TEST_CASE(TakesEffectAtOnceWithoutAnOutage) {
  const MirrorRemovals Result =
      State.applyChanges({removal("a", 6)}, 6, Start + 1min);
  BOOST_TEST((Result == MirrorRemovals{{"a"}, {}}));
  BOOST_TEST(!has("a"));
  BOOST_TEST(has("b"));
}

BOOST_AUTO_TEST_CASE(IsDelayedDuringAndAfterAnOutage) {
  BOOST_TEST(State.onStoreFailure(Start + 1min));
  BOOST_TEST(!State.onStoreFailure(Start + 61s));
  BOOST_TEST(State.onAnswer(Start + 65s));
  const MirrorRemovals Result =
      State.applyChanges({removal("a", 6)}, 6, Start + 65s);
  BOOST_TEST((Result == MirrorRemovals{{}, {"a"}}));
  BOOST_TEST(has("a"));
  BOOST_TEST(State.delayedRemovals() == 1);
}

/// Guards against a process that drops all endpoints at once because it first
/// asked the store just after an outage, which only its sources had noticed.
BOOST_AUTO_TEST_CASE(IsDelayedIfASourceHasSeenAnOutage) {
  State.onSourceOutage(Start + 1min);
  BOOST_TEST((State.applyChanges({removal("a", 6)}, 6, Start + 61s) ==
              MirrorRemovals{{}, {"a"}}));
  BOOST_TEST(has("a"));
}

BOOST_AUTO_TEST_CASE(IsForgottenWhenTheKeyComesBack) {
  hearOfRemovalAfterOutage();
  State.applyChanges({item("a", 7)}, 7, Start + 66s);
  BOOST_TEST(State.applyDelayedRemovals(Start + 2min).empty());
  BOOST_TEST(has("a"));
}

BOOST_AUTO_TEST_CASE(TakesEffectWhenTheStoreIsAskedAfterTheRestorePeriod) {
  hearOfRemovalAfterOutage();
  BOOST_TEST((State.removalsDueAt() == Start + 67200ms));
  BOOST_TEST(State.applyDelayedRemovals(Start + 67199ms).empty());
  BOOST_TEST(has("a"));
  BOOST_TEST((State.applyDelayedRemovals(Start + 67200ms) ==
              std::vector<std::string>{"a"}));
  BOOST_TEST(!has("a"));
  BOOST_TEST(!State.removalsDueAt().has_value());
}

BOOST_AUTO_TEST_CASE(StaysDelayedWhileTheStoreIsOutAgain) {
  hearOfRemovalAfterOutage();
  State.onStoreFailure(Start + 67s);
  BOOST_TEST(!State.removalsDueAt().has_value());
  BOOST_TEST(State.applyDelayedRemovals(Start + 2min).empty());
  BOOST_TEST(has("a"));
}

BOOST_AUTO_TEST_CASE(OfAnOlderRevisionThanTheItemIsIgnored) {
  State.applyChanges({item("a", 8)}, 8, Start + 1min);
  State.applyChanges({removal("a", 7)}, 8, Start + 1min);
  BOOST_TEST(has("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AListing)

BOOST_AUTO_TEST_CASE(RemovesWhatItLacksButNotWhatIsNewer) {
  State.applyChanges({item("c", 8)}, 8, Start + 1min);
  State.applyListing({item("a", 3)}, 7, Start + 1min);
  BOOST_TEST(has("a"));
  BOOST_TEST(!has("b"));
  BOOST_TEST(has("c"));
  BOOST_TEST(State.appliedRevision() == 7);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against requests to an endpoint that left while this process was cut
/// off: its removal was held back as if the store had been out.
BOOST_AUTO_TEST_SUITE(ARemovalThatASourceReportsAfterThisProcessWasCutOff)

void cutOff(MirrorState &State) {
  for (Duration Since{0}; Since < 11s; Since += 1s)
    State.onStoreFailure(Start + 1min + Since);
  State.onAnswer(Start + 71s);
}

BOOST_AUTO_TEST_CASE(TakesEffectAtOnce) {
  cutOff(State);
  State.applyPage(page({removal("a", 0)}), Start + 71s);
  BOOST_TEST(!has("a"));
  BOOST_TEST(has("b"));
}

BOOST_AUTO_TEST_CASE(TakesEffectAtOnceIfThePageHoldsAllItems) {
  cutOff(State);
  State.applyPage(page({item("b", 4)}, true), Start + 71s);
  BOOST_TEST(!has("a"));
  BOOST_TEST(has("b"));
}

BOOST_AUTO_TEST_CASE(ReplacesWhatWasDelayedBefore) {
  hearOfRemovalAfterOutage();
  State.applyPage(page({item("b", 4)}), Start + 66s);
  BOOST_TEST(!State.removalsDueAt().has_value());
  BOOST_TEST(has("a"));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against new followers that lose keys which are about to come back.
BOOST_AUTO_TEST_SUITE(APageForFollowers)

BOOST_AUTO_TEST_CASE(HoldsKeysWhoseRemovalIsDelayed) {
  hearOfRemovalAfterOutage();
  const FeedPage Page = State.pageAfter({}, Start + 67s);
  BOOST_TEST(Page.Items.size() == 2);
  BOOST_TEST((Page.SinceOutage == Duration(2s)));
}

BOOST_AUTO_TEST_CASE(TellsTheOutagesOfTheSourceThatThisProcessFollowed) {
  State.onStoreFailure(Start + 1min);
  State.onAnswer(Start + 65s);
  State.applyPage(page({}), Start + 65s);
  BOOST_TEST((State.pageAfter({}, Start + 65s).SinceOutage == Duration(1min)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
