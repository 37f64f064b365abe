/// Random histories of processes that mirror the store, each following the
/// feeds of some and asking the store itself at times.
#include "tamarack/feed/FeedFollower.h"
#include "tamarack/feed/MirrorState.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};
constexpr Duration Step = 250ms;
constexpr int Sources = 3;
constexpr int Processes = 8;

/// The platform's store and the replicas that keep their keys in it.
struct FakeStore {
  Revision Current = 0;
  std::map<std::string, StoreItem> Items;
  std::vector<StoreItem> History;
  Revision HistoryLostBefore = 0;
  bool IsDown = false;
  /// Keys of live replicas that expired in an outage, and when they are written
  /// again.
  std::map<std::string, TimePoint> Returning;

  void put(const std::string &Key, const std::string &Value) {
    Items[Key] = {Key, Value, ++Current, false};
    History.push_back(Items[Key]);
  }
  void remove(const std::string &Key) {
    Returning.erase(Key);
    if (Items.erase(Key) > 0)
      History.push_back({Key, {}, ++Current, true});
  }
  std::vector<StoreItem> listing() const {
    std::vector<StoreItem> Result;
    Result.reserve(Items.size());
    for (const auto &[Key, Item] : Items)
      Result.push_back(Item);
    return Result;
  }
};

struct Process {
  explicit Process(int Number)
      : State({std::to_string(Number),
               [](const StoreItem &Left, const StoreItem &Right) {
                 return Left.Value == Right.Value;
               },
               2200ms},
              Start) {}

  MirrorState State;
  FeedFollower Follower{FeedLimits()};
  bool ReachesStore = true;
  bool ReachesSources = true;
};

struct World {
  World() {
    for (int Number = 0; Number < Processes; ++Number)
      All.emplace_back(Number);
    for (const char *Key : {"a", "b", "c", "d", "e", "f"})
      Store.put(Key, "ready");
  }

  void run(Duration Length) {
    for (const TimePoint End = Now + Length; Now < End; Now += Step) {
      if (!Store.IsDown)
        restoreKeys();
      for (int Number = 0; Number < Processes; ++Number)
        step(Number);
    }
  }

  void restoreKeys() {
    for (auto It = Store.Returning.begin(); It != Store.Returning.end();) {
      if (It->second > Now) {
        ++It;
        continue;
      }
      Store.put(It->first, "ready");
      It = Store.Returning.erase(It);
    }
  }

  /// Does what a process does until it waits. The first processes are the
  /// sources and watch the store each second.
  void step(int Number) {
    Process &Self = All[static_cast<std::size_t>(Number)];
    if (Number >= Sources)
      Self.Follower.setSources({"0", "1", "2"});
    while (true) {
      const FeedStep Step =
          Self.Follower.nextStep(Now, Self.State.removalsDueAt());
      if (Step.Next == FeedStep::Action::Wait)
        return;
      if (Step.Next == FeedStep::Action::AskStore)
        askStore(Self);
      else
        askSource(Self, Step.Source);
    }
  }

  void askSource(Process &Self, const std::string &Source) {
    Process &From = All[static_cast<std::size_t>(std::stoi(Source))];
    if (!Self.ReachesSources || !From.ReachesSources) {
      Self.Follower.onSilent(Source, Now);
      return;
    }
    FeedPage Page = From.State.pageAfter(Self.Follower.positionAt(Source), Now);
    if (From.Follower.confirmedAt())
      Page.Age = Now - *From.Follower.confirmedAt();
    if (!Self.Follower.accept(Source, Page, Self.State.appliedRevision(), Now,
                              Now)) {
      Self.State.onSourceOutage(Now - Page.SinceOutage);
      return;
    }
    Self.State.onAnswer(Now);
    Self.State.applyPage(Page, Now);
  }

  void askStore(Process &Self) {
    if (Store.IsDown || !Self.ReachesStore) {
      Self.State.onStoreFailure(Now);
      Self.Follower.onStoreFailed(Now);
      return;
    }
    Self.State.onAnswer(Now);
    if (!Self.State.isListed() ||
        Self.State.appliedRevision() < Store.HistoryLostBefore) {
      Self.State.applyListing(Store.listing(), Store.Current, Now);
    } else {
      std::vector<StoreItem> Changes;
      for (const StoreItem &Change : Store.History)
        if (Change.ModRevision > Self.State.appliedRevision())
          Changes.push_back(Change);
      Self.State.applyChanges(Changes, Store.Current, Now);
    }
    Self.Follower.onStoreConfirmed(Now, Now);
    Self.State.applyDelayedRemovals(Now);
  }

  void beginOutage(std::mt19937 &Random) {
    Store.IsDown = true;
    for (const auto &[Key, Item] : std::map(Store.Items))
      if (Random() % 4 != 0) {
        Store.remove(Key);
        Store.Returning[Key] = TimePoint::max();
      }
  }

  void endOutage(std::mt19937 &Random) {
    Store.IsDown = false;
    for (auto &[Key, At] : Store.Returning)
      At = Now + std::chrono::milliseconds(Random() % 2000);
  }

  /// A random event at the store, at the replicas or on the network.
  void disturb(std::mt19937 &Random) {
    const std::string Key(1, static_cast<char>('a' + Random() % 6));
    Process &Any = All[Random() % Processes];
    switch (Random() % 8) {
    case 0:
      return Store.IsDown ? endOutage(Random) : beginOutage(Random);
    case 1:
      Any.ReachesStore = !Any.ReachesStore;
      return;
    case 2:
      Any.ReachesSources = !Any.ReachesSources;
      return;
    case 3:
      Store.HistoryLostBefore = Store.Current;
      return;
    case 4:
      return Store.IsDown ? void() : Store.remove(Key);
    case 5:
      return Store.IsDown ? void() : Store.put(Key, "draining");
    default:
      return;
    }
  }

  void calmDown(std::mt19937 &Random) {
    if (Store.IsDown)
      endOutage(Random);
    for (Process &Each : All)
      Each.ReachesStore = Each.ReachesSources = true;
    run(10s);
  }

  /// The keys and values that a process knows, or the store's own.
  static std::string text(const std::map<std::string, StoreItem> &Items) {
    std::string Result;
    for (const auto &[Key, Item] : Items)
      Result += Key + "=" + Item.Value + " ";
    return Result;
  }

  FakeStore Store;
  std::deque<Process> All;
  TimePoint Now = Start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MirrorHistoryTest)

/// Guards against processes that lack keys of the store for good: they saw a
/// key expire in an outage, and their source, which had waited for it to come
/// back, had nothing to tell.
BOOST_AUTO_TEST_CASE(AtRestAllProcessesKnowWhatTheStoreHolds) {
  const bool Holds = rc::check([](std::uint32_t Seed) {
    std::mt19937 Random(Seed);
    World All;
    All.run(5s);
    for (int Event = 0; Event < 30; ++Event) {
      All.disturb(Random);
      All.run(Step * static_cast<int>(1 + Random() % 8));
    }
    All.calmDown(Random);
    for (const Process &Each : All.All)
      RC_ASSERT(World::text(Each.State.items()) ==
                World::text(All.Store.Items));
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
