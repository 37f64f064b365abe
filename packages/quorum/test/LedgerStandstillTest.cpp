#include "QuorumFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// A ledger with a loop of its own, so that its process can stand still while
/// the others go on.
struct SeparateLedger {
  SeparateLedger(QuorumFixture &Fixture, int Number, bool FirstStart)
      : Node(Io, Fixture.options(Number, FirstStart), Fixture.Views) {
    BOOST_REQUIRE(Node.start());
  }

  Loop Io{1};
  LedgerNode Node;
};

/// Runs the loops of all ledgers until \p Done returns true, at most for
/// \p Limit.
void runAll(QuorumFixture &Fixture,
            const std::vector<std::unique_ptr<SeparateLedger>> &Separate,
            const std::function<bool()> &Done, Duration Limit) {
  const TimePoint Until = steadyNow() + Limit;
  while (!Done() && steadyNow() < Until) {
    Fixture.Io.run_for(1ms);
    for (const auto &Ledger : Separate)
      Ledger->Io.run_for(1ms);
  }
}

bool never() { return false; }

} // namespace

BOOST_AUTO_TEST_SUITE(ALedgerThatStoodStill)

/// Guards against two members that are away at the same time: one that stops
/// was told before its standstill that the other serves, and that one has gone
/// meanwhile.
BOOST_FIXTURE_TEST_CASE(LeavesOnlyByAnswersThatAreRecent, QuorumFixture) {
  std::vector<std::unique_ptr<SeparateLedger>> Separate;
  start(1, true);
  start(2, true);
  Separate.push_back(std::make_unique<SeparateLedger>(*this, 3, true));
  LedgerNode &Stopping = Separate.front()->Node;
  runAll(
      *this, Separate,
      [&] { return joinedCount() == 2 && Stopping.status().IsJoined; }, 10s);
  tellView();
  Stopping.viewChanged(Views.Current);
  BOOST_REQUIRE(Stopping.status().IsJoined);
  std::optional<bool> Left;
  asio::co_spawn(Separate.front()->Io, Stopping.prepareStop(steadyNow() + 8s),
                 [&](const std::exception_ptr &, bool Done) { Left = Done; });
  // It asks the others, which answer while it stands still.
  Separate.front()->Io.run_for(20ms);
  BOOST_REQUIRE(!Left);
  Io.run_for(100ms);
  stop(1);
  Io.run_for(600ms);
  runAll(*this, Separate, never, 800ms);
  BOOST_TEST(!Left);
  start(1);
  runAll(
      *this, Separate, [&] { return Left.has_value(); }, 5s);
  BOOST_REQUIRE(Left);
  BOOST_TEST(*Left);
}

/// Guards against a member that is well and is replaced, because the ledger on
/// standby that pinged it stood still until its ping had timed out. Another
/// member that is away at that time then costs service.
BOOST_FIXTURE_TEST_CASE(DoesNotReplaceMembersWhoseAnswersItCouldNotRead,
                        QuorumFixture) {
  constexpr int FirstStandby = 10;
  constexpr int Moments = 24;
  startAll();
  tellView();
  const View Before = Views.Current;
  std::vector<std::unique_ptr<SeparateLedger>> Standby;
  for (int Handlers = 1; Handlers <= Moments; ++Handlers) {
    Standby.push_back(std::make_unique<SeparateLedger>(
        *this, FirstStandby + Handlers, /*FirstStart=*/false));
    // Each stands still at another moment of its start.
    for (int Number = 0; Number < Handlers; ++Number)
      Standby.back()->Io.run_one_for(1ms);
  }
  Io.run_for(2s);
  runAll(*this, Standby, never, 2s);
  BOOST_TEST((Views.Current == Before));
}

BOOST_AUTO_TEST_SUITE_END()
