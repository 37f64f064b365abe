/// Load pattern: a fleet of processes learns the changes of the store while
/// only a few of them watch it.
#include "tamarack/feed/FeedFollower.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>
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

FeedLimits limits() {
  FeedLimits Result;
  Result.MaxAge = 2s;
  return Result;
}

struct FollowerFixture {
  FollowerFixture() {
    Follower.setSources({"near", "far"});
    Follower.onStoreConfirmed(Start, Start);
  }

  bool accept(const char *Source, const FeedPage &Page, Revision Applied = 5,
              TimePoint Now = Start) {
    return Follower.accept(Source, Page, Applied, Now, Now);
  }
  bool asksStore(TimePoint Now) {
    return Follower.nextStep(Now, {}).Next == FeedStep::Action::AskStore;
  }

  FeedFollower Follower{limits()};
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

/// Guards against a source that is reached only after all silent ones were
/// waited for again.
BOOST_AUTO_TEST_CASE(EndsWithTheOneThatWasSilentLast) {
  accept("near", page(6, 100ms));
  Follower.onSilent("near", Start + 1s);
  BOOST_TEST((Follower.sources() == std::vector<std::string>{"far", "near"}));
  Follower.onSilent("far", Start + 2s);
  BOOST_TEST((Follower.sources() == std::vector<std::string>{"near", "far"}));
  accept("far", page(6, 100ms));
  BOOST_TEST((Follower.sources() == std::vector<std::string>{"far", "near"}));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a follower that removed a key which its source never missed:
/// the source has no change to tell.
BOOST_AUTO_TEST_CASE(AllItemsAreAskedForAfterTheStoreWasAsked) {
  accept("near", page(6, 100ms));
  Follower.onStoreConfirmed(Start + 1s, Start + 1s);
  BOOST_TEST((Follower.positionAt("near") == FeedPosition()));
}

BOOST_AUTO_TEST_SUITE(TheStoreIsAsked)

BOOST_AUTO_TEST_CASE(OnlyIfNoSourceHasRecentNews) {
  BOOST_TEST(!asksStore(Start + 1s));
  BOOST_TEST(asksStore(Start + 3s));
  accept("near", page(6, 500ms), 5, Start + 3s);
  BOOST_TEST(!asksStore(Start + 4s));
  BOOST_TEST(asksStore(Start + 5s));
}

BOOST_AUTO_TEST_CASE(BeforeAnythingIsKnown) {
  FeedFollower Fresh{FeedLimits()};
  BOOST_TEST((Fresh.nextStep(Start, {}).Next == FeedStep::Action::AskStore));
}

BOOST_AUTO_TEST_SUITE_END()

/// Plays one follower, whose sources fall silent and come back or are refused
/// by the store, in the time that each call takes.
BOOST_AUTO_TEST_SUITE(TheAgeOfTheItems)

struct TimedFollower {
  /// A call to the store from another region while the store is sound.
  static constexpr Duration StoreAnswerTime = 60ms;
  static constexpr Duration SourceAnswerTime = 45ms;

  TimedFollower(Duration ApplyLimit, int SourceCount)
      : ApplyLimit(ApplyLimit), Follower(feedLimits(ApplyLimit)) {
    for (int Number = 0; Number < SourceCount; ++Number)
      Addresses.push_back("s" + std::to_string(Number));
    Follower.setSources(Addresses);
    Follower.onStoreConfirmed(Now, Now);
  }

  /// The age of the items of an answering source: it watches the store all the
  /// time and pauses between two watches.
  Duration sourceAge() const {
    const Duration Period =
        Follower.limits().StorePause + maxWatchWait(ApplyLimit);
    return StoreAnswerTime + (Now - Start) % Period;
  }

  void advance(Duration Time) {
    Now += Time;
    Oldest = std::max(Oldest, Now - *Follower.confirmedAt());
  }

  void step() {
    const FeedStep Step = Follower.nextStep(Now, {});
    const TimePoint AskedAt = Now;
    switch (Step.Next) {
    case FeedStep::Action::Wait:
      return advance(Step.Until - Now);
    case FeedStep::Action::AskStore:
      ++StoreCalls;
      advance(StoreAnswerTime);
      return Follower.onStoreConfirmed(AskedAt, Now);
    case FeedStep::Action::AskSource:
      if (Silent.count(Step.Source) > 0) {
        advance(Step.Until - Now);
        return Follower.onSilent(Step.Source, Now);
      }
      const Duration Age = Refused.count(Step.Source) > 0 ? 1min : sourceAge();
      advance(SourceAnswerTime);
      Follower.accept(Step.Source, page(9, Age), 9, AskedAt, Now);
    }
  }

  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End;)
      step();
  }

  const Duration ApplyLimit;
  FeedFollower Follower;
  std::vector<std::string> Addresses;
  std::set<std::string> Silent;
  std::set<std::string> Refused;
  TimePoint Now = Start;
  Duration Oldest{0};
  int StoreCalls = 0;
};

/// Guards against a bound that each of its parts keeps and their sum does not:
/// the time spent on silent sources was added to the age at which the store is
/// asked.
BOOST_AUTO_TEST_CASE(StaysWithinTheLimitHoweverManySourcesAreSilent) {
  for (const Duration ApplyLimit :
       {1000ms, 2500ms, 4000ms, 5000ms, 7000ms, 30000ms})
    for (const int SourceCount : {1, 3, 9, 27}) {
      TimedFollower Each(ApplyLimit, SourceCount);
      Each.run(3 * ApplyLimit);
      Each.Silent.insert(Each.Addresses.begin(), Each.Addresses.end());
      Each.run(10 * ApplyLimit);
      BOOST_TEST((Each.Oldest <= ApplyLimit),
                 SourceCount << " silent sources: the items reach an age of "
                             << Each.Oldest / 1ms << " ms of "
                             << ApplyLimit / 1ms);
    }
}

BOOST_AUTO_TEST_CASE(StaysWithinTheLimitWhateverSourcesDo) {
  const bool Holds = rc::check([](std::uint32_t Seed) {
    std::mt19937 Random(Seed);
    const Duration ApplyLimit = 1s + Random() % 60 * Duration(100ms);
    TimedFollower Each(ApplyLimit, 1 + static_cast<int>(Random() % 27));
    for (int Event = 0; Event < 60; ++Event) {
      for (const std::string &Source : Each.Addresses)
        switch (Random() % 6) {
        case 0:
          Each.Silent.insert(Source);
          break;
        case 1:
          Each.Silent.erase(Source);
          break;
        case 2:
          Each.Refused.insert(Source);
          break;
        case 3:
          Each.Refused.erase(Source);
          break;
        default:
          break;
        }
      Each.run(Random() % 3000 * Duration(1ms));
    }
    RC_ASSERT(Each.Oldest <= ApplyLimit);
  });
  BOOST_TEST(Holds);
}

/// One source that answers is found among many silent ones, and the store is
/// asked no more from then on.
BOOST_AUTO_TEST_CASE(NeedsNoStoreOnceOneOfManySourcesAnswers) {
  TimedFollower Each(2500ms, 27);
  Each.Silent.insert(Each.Addresses.begin(), Each.Addresses.end());
  Each.Silent.erase("s26");
  Each.run(27 * Each.Follower.limits().SourceTimeout + 2500ms);
  Each.StoreCalls = 0;
  Each.run(30s);
  BOOST_TEST(Each.StoreCalls == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/// Plays 80 followers and 5 sources for a minute in steps of 50 ms.
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
      All.emplace_back(limits());
      All.back().setSources(Addresses);
      All.back().onStoreConfirmed(Start, Start);
    }
  }

  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End; Now += 50ms) {
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
    while (true) {
      const FeedStep Step = Follower.nextStep(Now, {});
      if (Step.Next == FeedStep::Action::Wait)
        break;
      if (Step.Next == FeedStep::Action::AskStore) {
        ++Calls;
        ++DirectCalls;
        Follower.onStoreConfirmed(Now, Now);
        continue;
      }
      const int Number = Step.Source[1] - '0';
      if (Silent.count(Number) > 0)
        Follower.onSilent(Step.Source, Now);
      else
        Follower.accept(Step.Source, page(9, Now - ConfirmedAt[Number]), 9, Now,
                        Now);
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
