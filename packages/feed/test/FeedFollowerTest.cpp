/// Load pattern: a fleet of processes learns the changes of the store while
/// only a few of them watch it.
#include "tamarack/feed/FeedFollower.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

FeedPage page(Revision Applied, std::optional<Duration> Age,
              bool IsComplete = false) {
  FeedPage Result;
  Result.Position = {"f", Applied};
  Result.IsComplete = IsComplete;
  Result.AppliedRevision = Applied;
  Result.Age = Age;
  Result.SinceOutage = 1min;
  return Result;
}

struct FollowerFixture {
  FollowerFixture() {
    Follower.setSources({"near", "far"});
    Follower.onStoreConfirmed(Start);
  }

  bool accept(const char *Source, const FeedPage &Page, Revision Applied = 5,
              TimePoint Now = Start) {
    return Follower.accept(Source, Page, Applied, Now, Now);
  }

  FeedFollower Follower{FeedLimits{500ms, 2s, 2200ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FeedFollowerTest, FollowerFixture)

BOOST_AUTO_TEST_SUITE(APageIsAccepted)

BOOST_AUTO_TEST_CASE(IfItsSourceConfirmedItRecently) {
  BOOST_TEST(accept("near", page(5, 100ms)));
  BOOST_TEST(!accept("near", page(6, 3s)));
  BOOST_TEST(!accept("near", page(6, std::nullopt)));
}

BOOST_AUTO_TEST_CASE(OnlyIfItDoesNotGoBack) {
  BOOST_TEST(!accept("near", page(4, 100ms)));
  BOOST_TEST(accept("far", page(5, 100ms)));
}

BOOST_AUTO_TEST_CASE(WithAllItemsOnlyOnceTheSourceHasSettled) {
  FeedPage Page = page(6, 100ms, true);
  Page.SinceOutage = 1s;
  BOOST_TEST(!accept("near", Page));
  Page.SinceOutage = 3s;
  BOOST_TEST(accept("near", Page));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheOrderOfSources)

BOOST_AUTO_TEST_CASE(BeginsWithTheOneThatWasAcceptedLast) {
  BOOST_TEST((Follower.sources() == std::vector<std::string>{"near", "far"}));
  accept("far", page(6, 100ms));
  BOOST_TEST((Follower.sources() == std::vector<std::string>{"far", "near"}));
  BOOST_TEST((Follower.positionAt("far") == FeedPosition{"f", 6}));
  BOOST_TEST((Follower.positionAt("near") == FeedPosition()));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a follower that removed a key which its source never missed:
/// the source has no change to tell.
BOOST_AUTO_TEST_CASE(AllItemsAreAskedForAfterTheStoreWasAsked) {
  accept("near", page(6, 100ms));
  Follower.onStoreConfirmed(Start + 1s);
  BOOST_TEST((Follower.positionAt("near") == FeedPosition()));
}

BOOST_AUTO_TEST_SUITE(TheStoreIsAsked)

BOOST_AUTO_TEST_CASE(OnlyIfNoSourceHasRecentNews) {
  BOOST_TEST(!Follower.needsStore(Start + 1s));
  BOOST_TEST(Follower.needsStore(Start + 3s));
  accept("near", page(6, 500ms), 5, Start + 3s);
  BOOST_TEST(!Follower.needsStore(Start + 4s));
  BOOST_TEST(Follower.needsStore(Start + 5s));
}

BOOST_AUTO_TEST_CASE(BeforeAnythingIsKnown) {
  BOOST_TEST(FeedFollower(FeedLimits()).needsStore(Start));
}

BOOST_AUTO_TEST_SUITE_END()

/// Plays 80 followers and 5 sources for a minute in steps of the poll interval.
/// Sources confirm their state every second unless the store refuses them.
BOOST_AUTO_TEST_SUITE(StoreCallsOfAFleet)

struct Fleet {
  static constexpr int Sources = 5;
  static constexpr int Followers = 80;

  Fleet() {
    std::vector<std::string> Addresses;
    Addresses.reserve(Sources);
    for (int Source = 0; Source < Sources; ++Source)
      Addresses.push_back("s" + std::to_string(Source));
    for (int Number = 0; Number < Followers; ++Number) {
      All.emplace_back(FeedLimits{500ms, 2s, 2200ms});
      All.back().setSources(Addresses);
      All.back().onStoreConfirmed(Start);
    }
  }

  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End; Now += 500ms) {
      for (int Source = 0; Source < Sources; ++Source)
        if (Refused.count(Source) == 0 && (Now - Start) % 1s == Duration(0)) {
          ConfirmedAt[Source] = Now;
          ++Calls;
        }
      for (FeedFollower &Follower : All)
        step(Follower);
    }
  }

  void step(FeedFollower &Follower) {
    for (const std::string &Source : Follower.sources()) {
      const int Number = Source[1] - '0';
      if (Silent.count(Number) > 0)
        continue;
      if (Follower.accept(Source, page(9, Now - ConfirmedAt[Number]), 9, Now,
                          Now))
        break;
    }
    if (Follower.needsStore(Now)) {
      ++Calls;
      ++DirectCalls;
      Follower.onStoreConfirmed(Now);
    }
    Oldest = std::max(Oldest, Now - *Follower.confirmedAt());
  }

  std::vector<FeedFollower> All;
  std::map<int, TimePoint> ConfirmedAt;
  std::set<int> Refused;
  std::set<int> Silent;
  TimePoint Now = Start;
  int Calls = 0;
  int DirectCalls = 0;
  Duration Oldest{0};
};

BOOST_FIXTURE_TEST_CASE(GrowWithTheSourcesOnly, Fleet) {
  run(60s);
  BOOST_TEST(Calls == 60 * Sources);
  BOOST_TEST(DirectCalls == 0);
}

BOOST_FIXTURE_TEST_CASE(StayFewWhileSomeSourcesAreRefusedOrSilent, Fleet) {
  run(5s);
  Refused = {0, 1};
  Silent = {2};
  run(20s);
  BOOST_TEST(DirectCalls == 0);
  BOOST_TEST((Oldest <= Duration(2s)));
}

BOOST_FIXTURE_TEST_CASE(KeepEveryFollowerCurrentWhileAllSourcesAreRefused,
                        Fleet) {
  run(5s);
  Refused = {0, 1, 2, 3, 4};
  run(20s);
  BOOST_TEST(DirectCalls > 0);
  BOOST_TEST((Oldest <= Duration(2500ms)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
