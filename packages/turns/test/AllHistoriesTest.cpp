/// Every history of the views of small deployments: members fail and return,
/// lose their disks, retire, and are replaced, at every moment and in every
/// order.
#include "ViewModel.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack::testing;

namespace {

void checkNone(const Violations &Seen, const char *What) {
  BOOST_TEST(Seen.Count == 0U, What << " in " << Seen.Count << " states:\n"
                                    << Seen.FirstHistory);
}

/// Explores the histories and checks that none loses a record, that the ledgers
/// can serve again after each, and that a retirement ends and leaves enough.
void checkAllHistories(const ModelOptions &Options) {
  const Exploration Seen = explore(Options);
  BOOST_TEST_MESSAGE(Seen.States << " states");
  BOOST_TEST(Seen.IsComplete);
  // Otherwise the histories would show nothing.
  BOOST_TEST(Seen.States > 1000U);
  checkNone(Seen.Lost, "acknowledged records are lost");
  checkNone(Seen.Unserved, "service does not come back");
  checkNone(Seen.Unretired, "a retirement does not end");
  checkNone(Seen.Stranded, "a retirement leaves too few disks");
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllHistoriesOfViews)

/// Guards against a view from which no step of the ledgers leads back to
/// service although no more disks are lost than the deployment tolerates, and
/// against acknowledged records that no reader gets any more.
BOOST_AUTO_TEST_SUITE(LeadBackToServiceWithAllRecords)

BOOST_AUTO_TEST_CASE(OfThreeMembersWhenOneRetires) {
  checkAllHistories({.Members = 3, .Standby = 0});
}
BOOST_AUTO_TEST_CASE(OfThreeMembersAndAStandbyLedgerWhenOneRetires) {
  checkAllHistories({.Members = 3, .Standby = 1, .Suspects = false});
}
BOOST_AUTO_TEST_CASE(OfThreeMembersAndAStandbyLedgerThatSuspectsMembers) {
  checkAllHistories({.Members = 3, .Standby = 1, .MaxDown = 0});
}
BOOST_AUTO_TEST_CASE(OfThreeMembersAndTwoStandbyLedgersWhenOneRetires) {
  checkAllHistories(
      {.Members = 3, .Standby = 2, .MaxDown = 0, .Suspects = false});
}
BOOST_AUTO_TEST_CASE(OfThreeMembersThatLoseTwoDisksOneAfterTheOther) {
  checkAllHistories({.Members = 3,
                     .Standby = 1,
                     .Losses = 2,
                     .MaxDown = 0,
                     .Suspects = false});
}
BOOST_AUTO_TEST_CASE(OfFiveMembersThatLoseTwoDisksWhenOneRetires) {
  checkAllHistories({.Members = 5,
                     .DurableCopies = 3,
                     .Standby = 0,
                     .Losses = 2,
                     .MaxDown = 0,
                     .Suspects = false});
}
BOOST_AUTO_TEST_CASE(OfFiveMembersAndAStandbyLedgerWhenOneRetires) {
  checkAllHistories({.Members = 5,
                     .DurableCopies = 3,
                     .Standby = 1,
                     .MaxDown = 0,
                     .Suspects = false});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
