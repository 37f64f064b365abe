#include "tamarack/turns/Account.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

Account accountOf(const std::vector<std::pair<int, TurnCharge>> &Charges) {
  Account Result;
  for (const auto &[Turn, Charge] : Charges)
    charge(Result, TurnId("t" + std::to_string(Turn)), Charge);
  return Result;
}

std::vector<std::pair<int, TurnCharge>> drawCharges() {
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

BOOST_AUTO_TEST_CASE(CountsItsMostWhileItIsOpen) {
  BOOST_TEST(committedTokens(accountOf({{1, {500, false}}})) == 500U);
}

BOOST_AUTO_TEST_CASE(CountsWhatWasHandedOutOnceItIsSettled) {
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
  TokenCount Most;
  TokenCount Budget;
  bool Admitted;
};

BOOST_AUTO_TEST_CASE(ByTheBudgetAndHalfOfItsMost) {
  const Row Rows[] = {{"nothing drawn", 0, 500, 1000, true},
                      {"fits exactly", 500, 500, 1000, true},
                      {"over by half of its most", 750, 500, 1000, true},
                      {"over by more", 751, 500, 1000, false},
                      {"budget of zero", 0, 500, 0, false}};
  for (const Row &Row : Rows) {
    const Account Known = accountOf({{1, {Row.Others, true}}});
    BOOST_TEST(admits(Known, TurnId("t9"), Row.Most, Row.Budget) ==
                   Row.Admitted,
               Row.Name);
  }
}

BOOST_AUTO_TEST_CASE(WithoutCountingItsOwnReservationTwice) {
  const Account Known = accountOf({{1, {500, false}}});
  BOOST_TEST(admits(Known, TurnId("t1"), 500, 500));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsMerged)

BOOST_AUTO_TEST_CASE(InAnyOrderToTheSame) {
  BOOST_TEST(rc::check("merge commutes and repeats", [] {
    const Account Left = accountOf(drawCharges());
    const Account Right = accountOf(drawCharges());
    Account OneWay = Left;
    mergeInto(OneWay, Right);
    Account OtherWay = Right;
    mergeInto(OtherWay, Left);
    RC_ASSERT(OneWay == OtherWay);
    mergeInto(OneWay, Right);
    RC_ASSERT(OneWay == OtherWay);
  }));
}

/// Turns that reserve one after the other at overlapping majorities of three.
BOOST_AUTO_TEST_CASE(SoThatNoProgramExceedsItsBudgetByMoreThanOneTurn) {
  BOOST_TEST(rc::check("budget over majorities", [] {
    std::vector<Account> Ledgers(3);
    const TokenCount Budget = *rc::gen::inRange(0, 2000);
    const TokenCount Most = *rc::gen::inRange(1, 600);
    TokenCount HandedOut = 0;
    for (int Turn = 0; Turn < 12; ++Turn) {
      const TurnId Id("t" + std::to_string(Turn));
      const int Left = *rc::gen::inRange(0, 3);
      Account Known;
      for (int Ledger = 0; Ledger < 3; ++Ledger)
        if (Ledger != Left) {
          charge(Ledgers[Ledger], Id, {Most, false});
          mergeInto(Known, Ledgers[Ledger]);
        }
      const bool Admitted = admits(Known, Id, Most, Budget);
      const TokenCount Used =
          Admitted ? static_cast<TokenCount>(
                         *rc::gen::inRange<int>(0, static_cast<int>(Most) + 1))
                   : 0;
      HandedOut += Used;
      // Some settlements reach only one ledger, some none.
      if (const int At = *rc::gen::inRange(0, 4); At < 3)
        charge(Ledgers[At], Id, {Used, true});
    }
    RC_ASSERT(HandedOut <= Budget + Most);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
