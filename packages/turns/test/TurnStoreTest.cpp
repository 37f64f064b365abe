#include "tamarack/turns/TurnStore.h"
#include "tamarack/turns/Messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint StartTime{Duration(1h)};

TurnRecord settledRecord(const std::string &Id, const std::string &Previous,
                         Duration Retention = 60s) {
  return {
      ProgramId("p"),
      TurnId(Id),
      {10, true},
      std::make_shared<const StoredTurn>(StoredTurn{
          TurnId(Id), TurnId(Previous), "in-" + Id, "out-" + Id, Retention}),
      {}};
}

std::string chainText(const TurnStore &Store, const std::string &Id) {
  std::string Result;
  const auto Chain = Store.storedChain(TurnId(Id));
  if (!Chain)
    return "cannot be read";
  for (const auto &Turn : *Chain)
    Result += Turn->Input + " " + Turn->Output + " ";
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ATurnStore)

BOOST_AUTO_TEST_SUITE(KeepsChains)

BOOST_AUTO_TEST_CASE(OldestFirst) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  Store.apply(settledRecord("b", "a"), StartTime);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
}

BOOST_AUTO_TEST_CASE(AsATree) {
  TurnStore Store;
  for (const auto &[Id, Previous] :
       {std::pair("a", ""), {"b", "a"}, {"c", "a"}})
    Store.apply(settledRecord(Id, Previous), StartTime);
  BOOST_TEST(chainText(Store, "c") == "in-a out-a in-c out-c ");
}

// Guards against a reply with a chain that is longer than a link transports.
BOOST_AUTO_TEST_CASE(InPartsOfALimitedLength) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  Store.apply(settledRecord("b", "a"), StartTime);
  Store.apply(settledRecord("c", "b"), StartTime);
  const std::size_t TurnBytes = textBytes(*settledRecord("a", "").Text);
  BOOST_TEST(Store.storedChain(TurnId("c"), 1)->size() == 1U);
  const auto Part = Store.storedChain(TurnId("c"), 2 * TurnBytes);
  BOOST_REQUIRE(Part->size() == 2U);
  BOOST_TEST(Part->front()->Id.text() == "b");
  BOOST_TEST(Store.storedChain(TurnId("c"), 3 * TurnBytes)->size() == 3U);
}

BOOST_AUTO_TEST_CASE(BackToTheFirstTurnWhoseTextIsStoredElsewhere) {
  TurnStore Store;
  Store.apply(settledRecord("b", "a"), StartTime);
  BOOST_TEST(chainText(Store, "b") == "in-b out-b ");
  BOOST_TEST(chainText(Store, "a").empty());
  Store.apply(settledRecord("a", ""), StartTime);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
}

BOOST_AUTO_TEST_CASE(WhileLaterTurnsAreStoredElsewhere) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  Store.apply(withoutText(settledRecord("b", "a")), StartTime + 50s);
  Store.expire(StartTime + 100s);
  BOOST_TEST(chainText(Store, "a") == "in-a out-a ");
}

/// A ledger that was down while a turn ended cannot follow the chain past that
/// turn. The turns before it must not expire while the chain is in use.
BOOST_AUTO_TEST_CASE(WhoseTurnsArriveInAnotherOrder) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  Store.apply(settledRecord("c", "b"), StartTime + 50s);
  Store.apply(withoutText(settledRecord("b", "a", 1s)), StartTime + 51s);
  Store.expire(StartTime + 100s);
  BOOST_TEST(chainText(Store, "a") == "in-a out-a ");
}

BOOST_AUTO_TEST_CASE(AsLongAsTheirNewestTurn) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  Store.apply(settledRecord("b", "a"), StartTime + 50s);
  Store.expire(StartTime + 100s);
  BOOST_TEST(!chainText(Store, "b").empty());
  Store.expire(StartTime + 300s);
  BOOST_TEST(chainText(Store, "b").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatMissedATurnOfAChain)

BOOST_AUTO_TEST_CASE(NamesItUntilItsLinkIsKnown) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  BOOST_TEST(Store.missedTurns().empty());
  Store.apply(settledRecord("c", "b"), StartTime);
  BOOST_REQUIRE(Store.missedTurns().size() == 1U);
  BOOST_TEST(Store.missedTurns().front().text() == "b");
  Store.apply(withoutText(settledRecord("b", "a")), StartTime);
  BOOST_TEST(Store.missedTurns().empty());
}

/// A reservation has no place in the chain yet.
BOOST_AUTO_TEST_CASE(NamesItAlsoIfOnlyItsReservationIsKnown) {
  TurnStore Store;
  Store.apply({ProgramId("p"), TurnId("b"), {500, false}, nullptr, {}},
              StartTime);
  Store.apply(settledRecord("c", "b"), StartTime);
  BOOST_TEST(Store.missedTurns().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ForgetsItOnceNoLedgerHasItOrItsChainExpires) {
  TurnStore Store;
  Store.apply(settledRecord("c", "b"), StartTime);
  Store.forgetMissed({TurnId("b")});
  BOOST_TEST(Store.missedTurns().empty());
  Store.apply(settledRecord("d", "x"), StartTime);
  Store.expire(StartTime + 300s);
  BOOST_TEST(Store.missedTurns().empty());
}

BOOST_AUTO_TEST_CASE(GetsTheLinksOfAllTurnsBeforeIt) {
  TurnStore Store;
  for (const auto &[Id, Previous] :
       {std::pair("a", ""), {"b", "a"}, {"c", "b"}})
    Store.apply(settledRecord(Id, Previous), StartTime);
  const std::vector<TurnRecord> Links = Store.linksBefore(TurnId("c"), 2);
  BOOST_REQUIRE(Links.size() == 2U);
  BOOST_TEST(Links[0].Turn.text() == "c");
  BOOST_TEST(Links[1].Turn.text() == "b");
  BOOST_TEST(!Links[1].Text);
  BOOST_TEST(Links[1].Link->Previous.text() == "a");
  BOOST_TEST(Store.linksBefore(TurnId("z"), 2).empty());
}

BOOST_AUTO_TEST_SUITE_END()

/// A ledger must not drop what others keep because of records that it missed.
BOOST_AUTO_TEST_SUITE(BeforeItDropsRecords)

BOOST_AUTO_TEST_CASE(KeepsAChainForAsLongAsAnotherStoreDoes) {
  TurnStore Store;
  TurnStore Other;
  for (TurnStore *Each : {&Store, &Other}) {
    Each->apply(settledRecord("a", ""), StartTime);
    Each->apply(settledRecord("b", "a"), StartTime);
  }
  Other.apply(withoutText(settledRecord("c", "b")), StartTime + 50s);
  const TimePoint Now = StartTime + 100s;
  const RecordNames Due = Store.expiring(Now, 10);
  BOOST_TEST(Due.Turns.size() == 2U);
  Store.extend(Other.lifetimes(Due, Now), Now);
  Store.expire(Now, Due);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
  Store.expire(StartTime + 131s);
  BOOST_TEST(chainText(Store, "b").empty());
}

BOOST_AUTO_TEST_CASE(KeepsAnAccountForAsLongAsAnotherStoreDoes) {
  TurnStore Store;
  TurnStore Other;
  for (TurnStore *Each : {&Store, &Other})
    Each->apply({ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}},
                StartTime);
  Other.apply({ProgramId("p"), TurnId("b"), {300, false}, nullptr, {}},
              StartTime + 170s);
  const TimePoint Now = StartTime + 200s;
  const RecordNames Due = Store.expiring(Now, 10);
  BOOST_TEST(Due.Programs.size() == 1U);
  Store.extend(Other.lifetimes(Due, Now), Now);
  Store.expire(Now, Due);
  BOOST_TEST(committedTokens(Store.account(ProgramId("p"))) == 500U);
}

BOOST_AUTO_TEST_CASE(NamesNoMoreRecordsThanAskedFor) {
  TurnStore Store;
  for (const char *Id : {"a", "b", "c"})
    Store.apply(settledRecord(Id, ""), StartTime);
  const RecordNames Due = Store.expiring(StartTime + 300s, 2);
  BOOST_TEST(Due.Turns.size() == 2U);
  Store.expire(StartTime + 300s, Due);
  BOOST_TEST(Store.storedTurnCount() == 1U);
}

BOOST_AUTO_TEST_CASE(EncodesTheQuestionAndTheAnswer) {
  const RecordNames Names{{TurnId("a")}, {ProgramId("p")}};
  BOOST_TEST((Json(Names).get<RecordNames>() == Names));
  const LifetimesResponse Answer{
      FolderId("f"), 7, {{{TurnId("a"), 5s}}, {{ProgramId("p"), 6s}}}};
  const auto Back = Json(Answer).get<LifetimesResponse>();
  BOOST_TEST((Back.Lifetimes == Answer.Lifetimes));
  BOOST_TEST(Back.ViewNumber == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(KeepsTheFirstTextOfATurn) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  TurnRecord Other = settledRecord("a", "");
  Other.Text = std::make_shared<const StoredTurn>(
      StoredTurn{TurnId("a"), {}, "other", "other", 60s});
  BOOST_TEST(!Store.apply(Other, StartTime));
  BOOST_TEST(chainText(Store, "a") == "in-a out-a ");
}

BOOST_AUTO_TEST_CASE(DropsAccountsOnlyOnceTheirProgramsCannotResume) {
  TurnStore Store;
  Store.apply({ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}},
              StartTime);
  Store.expire(StartTime + 170s);
  BOOST_TEST(committedTokens(Store.account(ProgramId("p"))) == 500U);
  Store.expire(StartTime + 200s);
  BOOST_TEST(Store.programCount() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsTheBytesOfItsTexts) {
  TurnStore Store;
  Store.apply(settledRecord("a", ""), StartTime);
  BOOST_TEST(Store.textBytes() == std::string("in-aout-a").size());
  Store.expire(StartTime + 300s);
  BOOST_TEST(Store.textBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE(WithTextsOnDisk)

BOOST_AUTO_TEST_CASE(HoldsNoneOfThemInMemory) {
  std::vector<TurnRecord> RecordsOnDisk;
  TurnStore Store([&](const FrameLocation &Location) -> Expected<TurnRecord> {
    return RecordsOnDisk.at(Location.Offset);
  });
  for (const auto &[Id, Previous] : {std::pair("a", ""), {"b", "a"}}) {
    const TurnRecord Record = settledRecord(Id, Previous);
    Store.apply(Record, StartTime);
    Store.setTextLocation(TurnId(Id), {1, RecordsOnDisk.size(), 0});
    RecordsOnDisk.push_back(Record);
  }
  BOOST_TEST(Store.textBytes() == 0U);
  BOOST_TEST(Store.storedTurnCount() == 2U);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
  BOOST_TEST(Store.record(TurnId("a"))->Text->Input == "in-a");
  BOOST_TEST(!Store.isMissing({TurnId("a"), true, true}));
}

BOOST_AUTO_TEST_CASE(ReportsAnUnreadableTextAsAnError) {
  TurnStore Store([](const FrameLocation &) -> Expected<TurnRecord> {
    return refuse(ErrorKind::Internal, "the disk failed");
  });
  Store.apply(settledRecord("a", ""), StartTime);
  Store.setTextLocation(TurnId("a"), {1, 0, 0});
  BOOST_TEST(chainText(Store, "a") == "cannot be read");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ReachesTheSameStateForAnyOrderOfItsRecords) {
  BOOST_TEST(rc::check("records commute", [] {
    const std::vector<TurnRecord> Records = {
        {ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}},
        settledRecord("a", ""),
        {ProgramId("p"), TurnId("b"), {300, false}, nullptr, {}},
        settledRecord("b", "a"),
        {ProgramId("p"), TurnId("b"), {0, true}, nullptr, {}}};
    std::vector<std::size_t> Order = {0, 1, 2, 3, 4, 0, 2, 4};
    for (std::size_t At = Order.size(); At > 1; --At)
      std::swap(Order[At - 1], Order[*rc::gen::inRange<std::size_t>(0, At)]);
    TurnStore Store;
    for (const std::size_t Index : Order)
      Store.apply(Records[Index], StartTime);
    RC_ASSERT(committedTokens(Store.account(ProgramId("p"))) == TokenCount(20));
    RC_ASSERT(chainText(Store, "b") == "in-a out-a in-b out-b ");
  }));
}

BOOST_AUTO_TEST_CASE(EncodesRecordsAsCborWithAnyBytes) {
  TurnRecord Record = settledRecord("a", "");
  Record.Text = std::make_shared<const StoredTurn>(StoredTurn{
      TurnId("a"), TurnId("z"), std::string("\0\xff\n", 3), "\xc3", 60s});
  std::string Text;
  Json::to_cbor(Json(Record), Text);
  const TurnRecord Back = Json::from_cbor(Text).get<TurnRecord>();
  BOOST_TEST((*Back.Text == *Record.Text));
  BOOST_TEST((Back.Charge == Record.Charge));
}

BOOST_AUTO_TEST_SUITE_END()
