#include "FullDisk.h"
#include "QuorumFixture.h"

#include "tamarack/turns/Journal.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Names and charges make a record of this input somewhat longer.
constexpr std::size_t InputBytes = 1000;
constexpr int TurnsBetweenCompactions = 10;
/// The time in which a ledger looks three times whether to compact.
constexpr Duration ThreeChecks = 3200ms;

/// Ledgers 1 and 2 hold all texts, which are as many as they compact after, and
/// have compacted once.
struct Fixture : QuorumFixture {
  Fixture() {
    CompactAfterBytes = TurnsBetweenCompactions * InputBytes;
    startAll();
    useCurrentView();
    stop(3);
    storeTurns(TurnsBetweenCompactions);
    until([this] { return newestSegment(1) > 1 && newestSegment(2) > 1; });
  }

  void storeTurns(int Count, std::size_t Bytes = InputBytes) {
    for (int Number = 0; Number < Count; ++Number) {
      const TurnId Id("t" + std::to_string(Stored++));
      BOOST_REQUIRE(storeRecord({ProgramId("p"),
                                 Id,
                                 {10, true},
                                 std::make_shared<const StoredTurn>(StoredTurn{
                                     Id, {}, std::string(Bytes, 'x'), "", 60s}),
                                 {}}));
    }
  }

  /// Each compaction begins one segment.
  int newestSegment(int Ledger) const {
    int Result = 0;
    for (const auto &Entry : fs::directory_iterator(folder(Ledger))) {
      const std::string Name = Entry.path().filename().string();
      if (Name.rfind("segment-", 0) == 0)
        Result = std::max(Result, std::stoi(Name.substr(8)));
    }
    return Result;
  }

  void restart() {
    for (const int Ledger : {1, 2})
      start(Ledger);
    until([this] { return joinedCount() == 2; });
  }

  int Stored = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AJournalWithMoreLiveBytesThanItIsCompactedAfter,
                         Fixture)

// Guards against compaction that counts the records that it copies, and so
// copies all of them again each second.
BOOST_AUTO_TEST_CASE(IsNotCompactedAgainWithoutNewRecords) {
  const std::map<int, int> Before{{1, newestSegment(1)}, {2, newestSegment(2)}};
  Io.run_for(ThreeChecks);
  for (const auto &[Ledger, Segment] : Before)
    BOOST_TEST(newestSegment(Ledger) == Segment);
}

// Guards against records that are not counted, so that the disk fills up.
BOOST_AUTO_TEST_CASE(IsCompactedOnceAfterThatManyNewRecords) {
  const std::map<int, int> Before{{1, newestSegment(1)}, {2, newestSegment(2)}};
  storeTurns(TurnsBetweenCompactions / 2);
  Io.run_for(ThreeChecks);
  for (const auto &[Ledger, Segment] : Before)
    BOOST_TEST(newestSegment(Ledger) == Segment);
  storeTurns(TurnsBetweenCompactions / 2);
  Io.run_for(ThreeChecks);
  for (const auto &[Ledger, Segment] : Before) {
    BOOST_TEST(newestSegment(Ledger) == Segment + 1);
    BOOST_TEST(Nodes[Ledger]->status().Turns == std::size_t(Stored));
  }
}

// Guards against the loss of all turns when the disk is full while they are
// copied: the old segments have the only copies.
BOOST_AUTO_TEST_CASE(KeepsItsTurnsIfTheyCannotBeCopied) {
  constexpr std::size_t NewBytes = TurnsBetweenCompactions * InputBytes;
  for (const int Ledger : {1, 2}) {
    stop(Ledger);
    const auto Log = Journal::open(folder(Ledger), {}, [](auto &&...) {});
    BOOST_REQUIRE(Log);
    BOOST_REQUIRE((*Log)->roll());
  }
  restart();
  const int Before = newestSegment(1);
  {
    // Room for one turn as long as the others, and not for all.
    const FullDisk Disk(NewBytes * 3 / 2);
    storeTurns(1, NewBytes);
    until([&] { return newestSegment(1) > Before; });
    Io.run_for(ThreeChecks);
  }
  stop(1);
  stop(2);
  restart();
  for (const int Ledger : {1, 2})
    BOOST_TEST(Nodes[Ledger]->status().Turns == std::size_t(Stored));
}

BOOST_AUTO_TEST_SUITE_END()
