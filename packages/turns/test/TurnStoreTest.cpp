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
