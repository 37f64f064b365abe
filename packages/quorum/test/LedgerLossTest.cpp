#include "SilentLedger.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

struct Fixture : QuorumFixture {
  Fixture() {
    startAll();
    useCurrentView();
  }

  /// Loses both disks that have turn "a", and waits until all serve again.
  void loseTurn() {
    stop(3);
    BOOST_REQUIRE(storeRecord(turn("a"), 1s));
    Io.run_for(1100ms);
    start(3);
    until([this] { return Nodes[3]->status().IsJoined; });
    for (const int Number : {1, 2})
      wipe(Number);
    for (const int Number : {1, 2})
      start(Number);
    until([this] { return joinedCount() == 3; });
    useCurrentView();
  }
};

} // namespace

/// Guards against whole turns that are answered 404, and against service that
/// never comes back, after more disks are lost than the deployment tolerates or
/// sooner than a successor has fetched.
BOOST_AUTO_TEST_SUITE(AQuorumThatHasLostRecords)

BOOST_FIXTURE_TEST_CASE(IsNotCertainThatATurnNeverWas, Fixture) {
  loseTurn();
  BOOST_TEST(chain("a") == "not_enough_copies");
  BOOST_TEST(chain("nowhere") == "not_enough_copies");
  BOOST_REQUIRE(storeRecord(turn("b")));
  BOOST_TEST(chain("b") == "in b, out b; ");
}

BOOST_FIXTURE_TEST_CASE(IsCertainAgainOnceWhatItLostWouldHaveExpired, Fixture) {
  IncompletePeriod = 2s;
  loseTurn();
  BOOST_TEST(chain("a") == "not_enough_copies");
  until([this] { return Views.Current.IncompleteSince == 0; });
  useCurrentView();
  BOOST_TEST(chain("a") == "unknown_program");
}

BOOST_FIXTURE_TEST_CASE(IsCertainAfterOneDisk, Fixture) {
  BOOST_REQUIRE(storeRecord(turn("a")));
  wipe(1);
  start(1);
  until([this] { return joinedCount() == 3; });
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
  BOOST_TEST(chain("nowhere") == "unknown_program");
}

// One ledger has left, the place of the next one is taken by a successor, and
// the only one that it could fetch from loses its disk before it did.
BOOST_FIXTURE_TEST_CASE(ServesAgainThoughTheirLastHolderIsGone, Fixture) {
  HolderTimeout = 1s;
  until([this] { return await(Nodes[3]->retire()); });
  stop(3);
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  stop(2);
  const auto Silent = startSilentLedger(*this, 2);
  stop(1);
  start(4);
  until([this] { return !folderOf(4).empty(); });
  Silent->close();
  fs::remove_all(folder(2));
  start(2);
  until([this] { return joinedCount() == 2; });
  useCurrentView();
  BOOST_TEST(chain("a") == "not_enough_copies");
  BOOST_REQUIRE(storeRecord(turn("b")));
  // It was only down, and has what no other has.
  start(1);
  tellView();
  until([this] { return Nodes[2]->status().Turns == 2U; });
  BOOST_TEST(chain("a") == "in a, out a; ");
}

// A holder that is only down keeps what no other has.
BOOST_FIXTURE_TEST_CASE(WaitsForAHolderThatMayServeWithOthersElsewhere,
                        Fixture) {
  HolderTimeout = 500ms;
  BOOST_REQUIRE(storeRecord(turn("a")));
  wipe(1);
  stop(2);
  start(1);
  Io.run_for(12s);
  BOOST_TEST(!Nodes[1]->status().IsJoined);
  start(2);
  until([this] { return joinedCount() == 3; });
  useCurrentView();
  BOOST_TEST(Views.Current.IncompleteSince == 0U);
  BOOST_TEST(chain("a") == "in a, out a; ");
}

BOOST_AUTO_TEST_SUITE_END()
