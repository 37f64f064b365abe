#include "tamarack/turns/FetchPlan.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint StartTime{Duration(1h)};
constexpr std::size_t Copies = 2;

RecordSummary withText(const std::string &Turn, Duration NeededFor = 60s) {
  return {TurnId(Turn), true, true, 0, NeededFor};
}
RecordSummary withoutText(const std::string &Turn, bool IsSettled = true) {
  return {TurnId(Turn), IsSettled, false, 0, 0s};
}
RecordList listOf(const std::string &Folder,
                  std::vector<RecordSummary> Records) {
  return {FolderId(Folder), std::move(Records)};
}

/// Returns the turns of a share, and those with texts after a bar.
std::string describe(const FetchShare &Share) {
  std::string Result;
  for (const TurnId &Turn : Share.Records)
    Result += Turn.text() + " ";
  Result += "|";
  for (const TurnId &Turn : Share.Texts)
    Result += " " + Turn.text();
  return Result;
}

std::string planOf(const std::vector<RecordList> &Lists,
                   const TurnStore &Have = TurnStore()) {
  std::string Result;
  for (const FetchShare &Share : planFetch(Lists, Copies, Have))
    Result += (Result.empty() ? "" : "; ") + describe(Share);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(APlanToFetchRecords)

// Guards against a ledger that takes so long to fetch what others keep anyway
// that the next one is lost before it has what only that one had.
BOOST_AUTO_TEST_SUITE(LeavesOut)

BOOST_AUTO_TEST_CASE(RecordsThatEnoughOthersKeep) {
  BOOST_TEST(planOf({listOf("a", {withText("both"), withText("only-a")}),
                     listOf("b", {withText("both"), withText("only-b")})}) ==
             "only-a | only-a; only-b | only-b");
}

BOOST_AUTO_TEST_CASE(TextsThatNoChainNeedsAnyMore) {
  BOOST_TEST(planOf({listOf("a", {withText("old", 0s)})}) == "old |");
}

BOOST_AUTO_TEST_CASE(WhatItHas) {
  TurnStore Have;
  Have.apply({ProgramId("p"), TurnId("t"), {10, true}, nullptr, {}}, StartTime);
  BOOST_TEST(planOf({listOf("a", {withoutText("t")})}, Have) == "|");
  BOOST_TEST(planOf({listOf("a", {withText("t")})}, Have) == "t | t");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a record that is left on too few disks.
BOOST_AUTO_TEST_SUITE(Includes)

BOOST_AUTO_TEST_CASE(RecordsOfALedgerThatDoesNotStay) {
  std::vector<RecordList> Lists = {listOf("a", {withText("t")}),
                                   listOf("b", {withText("t")})};
  Lists.back().IsKept = false;
  BOOST_TEST(planOf(Lists) == "t | t; |");
}

BOOST_AUTO_TEST_CASE(ATextThatAnotherHasOnlyTheLinkOf) {
  BOOST_TEST(planOf({listOf("a", {withoutText("t")}),
                     listOf("b", {withText("t")})}) == "t |; t | t");
}

BOOST_AUTO_TEST_CASE(ASettlementThatAnotherLacks) {
  BOOST_TEST(planOf({listOf("a", {withoutText("t", /*IsSettled=*/false)}),
                     listOf("b", {withoutText("t")})}) == "t |; t |");
}

BOOST_AUTO_TEST_CASE(ATextOnceIfNotEnoughKeepIt) {
  std::vector<RecordList> Lists = {listOf("a", {withText("t")}),
                                   listOf("b", {withText("t")})};
  BOOST_TEST(describe(planFetch(Lists, Copies + 1, TurnStore())[0]) == "t | t");
  BOOST_TEST(planFetch(Lists, Copies + 1, TurnStore())[1].empty());
}

BOOST_AUTO_TEST_CASE(ATextThatALaterTurnNeedsAsAnotherLedgerKnows) {
  RecordSummary Link = withoutText("t");
  Link.NeededFor = 30s;
  BOOST_TEST(planOf({listOf("a", {withText("t", 0s)}), listOf("b", {Link})}) ==
             "t | t; |");
}

// Guards against a list of an earlier release, which does not tell for how long
// a text is needed.
BOOST_AUTO_TEST_CASE(ATextWithoutAKnownNeed) {
  const RecordSummary Earlier =
      Json::array({TurnId("t"), true, true}).get<RecordSummary>();
  BOOST_TEST(planOf({listOf("a", {Earlier})}) == "t | t");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a source that is lost while texts are fetched that no program
// will name, before those that it will.
BOOST_AUTO_TEST_CASE(BeginsWithTheTextsThatAreNeededLongest) {
  BOOST_TEST(planOf({listOf("a", {withText("1", 5s), withText("2", 50s),
                                  withText("3", 20s)})}) == "1 2 3 | 2 3 1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ASummaryOfARecord)

BOOST_AUTO_TEST_CASE(TellsForHowLongItsChainNeedsTheTurn) {
  TurnStore Store;
  const auto Apply = [&Store](const std::string &Id, const std::string &Before,
                              TimePoint Now) {
    Store.apply({ProgramId("p"),
                 TurnId(Id),
                 {10, true},
                 std::make_shared<const StoredTurn>(
                     StoredTurn{TurnId(Id), TurnId(Before), "in", "out", 60s}),
                 {}},
                Now);
  };
  const auto NeededFor = [&Store](TimePoint Now) {
    return Store.summaries(Now).at(0).NeededFor;
  };
  Apply("1", "", StartTime);
  BOOST_TEST((NeededFor(StartTime + 40s) > 20s));
  BOOST_TEST((NeededFor(StartTime + 75s) == 0s));
  Apply("2", "1", StartTime + 40s);
  BOOST_TEST((NeededFor(StartTime + 75s) > 25s));
  const Json Encoded = Store.summaries(StartTime).at(0);
  BOOST_TEST((Encoded.get<RecordSummary>().NeededFor == NeededFor(StartTime)));
}

BOOST_AUTO_TEST_CASE(NeedsNoTextOfATurnWithoutAChain) {
  TurnStore Store;
  Store.apply({ProgramId("p"), TurnId("t"), {10, true}, nullptr, {}},
              StartTime);
  BOOST_TEST((Store.summaries(StartTime).at(0).NeededFor == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
