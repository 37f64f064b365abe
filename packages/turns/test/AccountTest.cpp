#include "tamarack/turns/Account.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

Account accountOf(const std::vector<std::pair<int, TurnCharge>> &Charges) {
  Account Result;
  for (const auto &[Turn, Charge] : Charges)
    addCharge(Result, TurnId("t" + std::to_string(Turn)), Charge);
  return Result;
}

std::vector<std::pair<int, TurnCharge>> generateCharges() {
  std::vector<std::pair<int, TurnCharge>> Result;
  const int Count = *rc::gen::inRange(0, 12);
  Result.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Result.emplace_back(
        *rc::gen::inRange(0, 5),
        TurnCharge{static_cast<TokenCount>(*rc::gen::inRange(0, 100)),
                   *rc::gen::arbitrary<bool>()});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnAccount)

BOOST_AUTO_TEST_SUITE(OfOneTurn)

BOOST_AUTO_TEST_CASE(CountsItsReservedMaximumWhileItIsOpen) {
  BOOST_TEST(committedTokens(accountOf({{1, {500, false}}})) == 500U);
}

BOOST_AUTO_TEST_CASE(CountsDeliveredTokensOnceItIsSettled) {
  BOOST_TEST(committedTokens(
                 accountOf({{1, {500, false}}, {1, {120, true}}})) == 120U);
}

BOOST_AUTO_TEST_CASE(StaysSettledWhenItsReservationArrivesLate) {
  BOOST_TEST(committedTokens(
                 accountOf({{1, {120, true}}, {1, {500, false}}})) == 120U);
}

BOOST_AUTO_TEST_CASE(KeepsTheLargerOfTwoSettlements) {
  BOOST_TEST(committedTokens(accountOf({{1, {120, true}}, {1, {0, true}}})) ==
             120U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DecidesWhetherATurnMayRun)

struct Row {
  const char *Name;
  TokenCount Others;
  TokenCount MaxTokens;
  TokenCount Budget;
  bool Admitted;
};

BOOST_AUTO_TEST_CASE(ByTheBudgetPlusHalfOfItsMaximum) {
  const Row Rows[] = {{"nothing committed", 0, 500, 1000, true},
                      {"fits exactly", 500, 500, 1000, true},
                      {"over by half of its maximum", 750, 500, 1000, true},
                      {"over by more", 751, 500, 1000, false},
                      {"budget of zero", 0, 500, 0, false}};
  for (const Row &Row : Rows) {
    const Account Current = accountOf({{1, {Row.Others, true}}});
    BOOST_TEST(admits(Current, TurnId("t9"), Row.MaxTokens, Row.Budget) ==
                   Row.Admitted,
               Row.Name);
  }
}

BOOST_AUTO_TEST_CASE(WithoutCountingItsOwnReservationTwice) {
  const Account Current = accountOf({{1, {500, false}}});
  BOOST_TEST(admits(Current, TurnId("t1"), 500, 500));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsMerged)

BOOST_AUTO_TEST_CASE(ToTheSameResultInAnyOrder) {
  BOOST_TEST(rc::check("merge commutes and repeats", [] {
    const Account Left = accountOf(generateCharges());
    const Account Right = accountOf(generateCharges());
    Account LeftThenRight = Left;
    mergeAccount(LeftThenRight, Right);
    Account RightThenLeft = Right;
    mergeAccount(RightThenLeft, Left);
    RC_ASSERT(LeftThenRight == RightThenLeft);
    mergeAccount(LeftThenRight, Right);
    RC_ASSERT(LeftThenRight == RightThenLeft);
  }));
}

/// Each turn reserves at a random majority of three ledgers, after the turns
/// before it.
BOOST_AUTO_TEST_CASE(SoThatNoProgramExceedsItsBudgetByMoreThanOneTurn) {
  BOOST_TEST(rc::check("budget over majorities", [] {
    std::vector<Account> Ledgers(3);
    const TokenCount Budget = *rc::gen::inRange(0, 2000);
    const TokenCount MaxTokens = *rc::gen::inRange(1, 600);
    TokenCount TotalDelivered = 0;
    for (int Turn = 0; Turn < 12; ++Turn) {
      const TurnId Id("t" + std::to_string(Turn));
      const int SkippedLedger = *rc::gen::inRange(0, 3);
      Account Merged;
      for (int Ledger = 0; Ledger < 3; ++Ledger)
        if (Ledger != SkippedLedger) {
          addCharge(Ledgers[Ledger], Id, {MaxTokens, false});
          mergeAccount(Merged, Ledgers[Ledger]);
        }
      const bool Admitted = admits(Merged, Id, MaxTokens, Budget);
      const TokenCount Delivered =
          Admitted ? static_cast<TokenCount>(*rc::gen::inRange<int>(
                         0, static_cast<int>(MaxTokens) + 1))
                   : 0;
      TotalDelivered += Delivered;
      // Some settlements reach only one ledger, some none.
      if (const int Ledger = *rc::gen::inRange(0, 4); Ledger < 3)
        addCharge(Ledgers[Ledger], Id, {Delivered, true});
    }
    RC_ASSERT(TotalDelivered <= Budget + MaxTokens);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
