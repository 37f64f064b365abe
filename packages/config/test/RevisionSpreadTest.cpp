/// Counts what one change costs and how many heartbeats it takes to reach a
/// whole fleet. Each process sends one heartbeat a second to its neighbours,
/// and a pull is over before the next.
#include "tamarack/config/Revisions.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;

namespace {

constexpr std::size_t FleetSize = 400;
constexpr std::size_t NearNeighbours = 8;
/// The target is 7 s at one heartbeat a second.
constexpr unsigned TargetRounds = 7;
constexpr std::size_t HeartbeatField = 16;
constexpr std::size_t PullRequest = 64;

struct Spread {
  unsigned Rounds = 0;
  std::size_t Pulls = 0;
  std::size_t FarPulls = 0;
  std::size_t WatchReads = 0;
  std::size_t FarWatchReads = 0;
  std::size_t Heartbeats = 0;
  std::size_t DocumentBytes = 0;

  std::size_t bytes() const {
    return Pulls * (PullRequest + DocumentBytes) + WatchReads * DocumentBytes;
  }
  std::size_t farBytes() const {
    return FarPulls * (PullRequest + DocumentBytes) +
           FarWatchReads * DocumentBytes;
  }
};

std::ostream &operator<<(std::ostream &Out, const Spread &Result) {
  return Out << Result.Rounds << " rounds, " << Result.Pulls << " pulls ("
             << Result.FarPulls << " far), " << Result.WatchReads
             << " watch reads, " << Result.Heartbeats << " heartbeats of "
             << HeartbeatField << " bytes, document " << Result.DocumentBytes
             << " bytes, " << Result.bytes() << " bytes in all, "
             << Result.farBytes() << " over the slow link";
}

OperatorDocument documentOf(std::size_t Exceptions) {
  OperatorDocument Result;
  Result.Made = {1, "ana", "entry-andes-a-1:1", "after the incident"};
  Result.Defaults[OperatorSetting::BudgetTokens] = std::int64_t(500'000);
  for (std::size_t I = 0; I < Exceptions; ++I) {
    OperatorException Each;
    Each.Id = "exception-" + std::to_string(I);
    Each.Covers.Customer = CustomerId("customer-" + std::to_string(I));
    Each.Value = std::string("high");
    Each.Reason = "agreed with the customer until the new model is in place";
    Each.Author = "ana";
    Result.Exceptions.push_back(Each);
  }
  return Result;
}

class Fleet {
public:
  Fleet() {
    for (std::size_t I = 0; I < FleetSize; ++I) {
      const InstanceId Self("process-" + std::to_string(I));
      States.push_back(
          onServiceRead(startRevisions(Self, {}).State, std::nullopt).State);
    }
    for (const std::size_t Region : {0, 1})
      for (const InstanceId &Name : watchers(membersOf(Region)))
        Watchers.insert(indexOf(Name));
    for (const std::size_t Watcher : Watchers)
      States[Watcher].IsWatcher = true;
    for (std::size_t I = 0; I < FleetSize; ++I)
      connect(I);
  }

  /// Accepts a change at \p First and counts until it is in force everywhere.
  Spread spread(std::size_t First, const OperatorDocument &Document,
                bool CanWatch) {
    Counted.DocumentBytes = Json::to_cbor(Json(Document)).size();
    States[First] = onOffered(States[First], Document, true).State;
    while (!agree() && Counted.Rounds < 100) {
      ++Counted.Rounds;
      if (CanWatch)
        watch(Document);
      playRound();
    }
    return Counted;
  }

private:
  static std::size_t regionOf(std::size_t I) { return I % 2; }
  static std::size_t indexOf(const InstanceId &Name) {
    return std::stoul(Name.text().substr(Name.text().find('-') + 1));
  }

  std::vector<InstanceId> membersOf(std::size_t Region) const {
    std::vector<InstanceId> Members;
    for (std::size_t I = Region; I < FleetSize; I += 2)
      Members.push_back(States[I].Self);
    return Members;
  }

  /// The nearest by rendezvous in the own region; watchers also know the
  /// watchers of the other region.
  void connect(std::size_t I) {
    std::vector<std::pair<std::uint64_t, std::size_t>> Ranked;
    for (std::size_t J = 0; J < FleetSize; ++J)
      if (J != I && regionOf(I) == regionOf(J))
        Ranked.emplace_back(
            stableHash(States[I].Self.text() + States[J].Self.text()), J);
    std::sort(Ranked.begin(), Ranked.end());
    for (std::size_t Rank = 0; Rank < NearNeighbours; ++Rank)
      link(I, Ranked[Rank].second);
    if (Watchers.count(I) == 0)
      return;
    for (const std::size_t J : Watchers)
      if (regionOf(I) != regionOf(J))
        link(I, J);
  }

  void link(std::size_t I, std::size_t J) {
    Links.emplace(I, J);
    Links.emplace(J, I);
  }

  bool agree() const {
    for (const RevisionState &State : States)
      if (State.Held.Made.Number != 1)
        return false;
    return true;
  }

  void watch(const OperatorDocument &Document) {
    if (Counted.Rounds != 1)
      return;
    for (const std::size_t I : Watchers) {
      States[I] = onServiceRead(States[I], Document).State;
      ++Counted.WatchReads;
      // The service stands in the first region.
      Counted.FarWatchReads += regionOf(I);
    }
  }

  void playRound() {
    std::vector<Revision> Sent;
    for (const RevisionState &State : States)
      Sent.push_back(State.Held.Made.Number);
    Now += std::chrono::seconds(1);
    for (const auto &[From, To] : Links) {
      ++Counted.Heartbeats;
      heartbeat(Sent[From], From, To);
    }
  }

  void heartbeat(Revision Sent, std::size_t From, std::size_t To) {
    const bool IsFar = regionOf(From) != regionOf(To);
    const PeerRevision News{States[From].Self, Sent, true,
                            IsFar ? Distance::Far : Distance::Near};
    RevisionStep Step = onPeerRevision(std::move(States[To]), News, Now);
    States[To] = std::move(Step.State);
    if (Step.Actions.empty())
      return;
    ++Counted.Pulls;
    Counted.FarPulls += IsFar ? 1 : 0;
    Step = onOffered(std::move(States[To]), States[From].Held, true);
    States[To] = std::move(Step.State);
  }

  std::vector<RevisionState> States;
  std::set<std::size_t> Watchers;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  TimePoint Now{Duration(0)};
  Spread Counted;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SpreadOverTheFleet)

BOOST_AUTO_TEST_CASE(IsDoneWithinTheTargetAndPullsOnceForEachProcess) {
  for (const bool CanWatch : {true, false})
    for (const std::size_t Exceptions : {10, 200}) {
      // The process farthest from any watcher is not known beforehand, so
      // the change is accepted at many.
      Spread Slowest;
      for (std::size_t First = 0; First < FleetSize; First += 40) {
        const Spread Result =
            Fleet().spread(First, documentOf(Exceptions), CanWatch);
        if (Result.Rounds > Slowest.Rounds)
          Slowest = Result;
      }
      BOOST_TEST_MESSAGE((CanWatch ? "watched: " : "unwatched: ") << Slowest);
      BOOST_TEST(Slowest.Rounds <= TargetRounds, Slowest);
      BOOST_TEST(Slowest.Pulls + Slowest.WatchReads <= FleetSize, Slowest);
      BOOST_TEST(Slowest.FarPulls <= WatchersPerRegion, Slowest);
    }
}

BOOST_AUTO_TEST_SUITE_END()
