#include "tamarack/turns/TurnStore.h"
#include "tamarack/turns/Messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

TurnRecord kept(const std::string &Id, const std::string &Previous,
                Duration KeepFor = 60s) {
  return {ProgramId("p"),
          TurnId(Id),
          {10, true},
          std::make_shared<const StoredTurn>(StoredTurn{
              TurnId(Id), TurnId(Previous), "in-" + Id, "out-" + Id, KeepFor}),
          {}};
}

std::string chainText(const TurnStore &Store, const std::string &Id) {
  std::string Result;
  const auto Chain = Store.knownChain(TurnId(Id));
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
  Store.apply(kept("a", ""), Start);
  Store.apply(kept("b", "a"), Start);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
}

BOOST_AUTO_TEST_CASE(AsATree) {
  TurnStore Store;
  for (const auto &[Id, Previous] :
       {std::pair("a", ""), {"b", "a"}, {"c", "a"}})
    Store.apply(kept(Id, Previous), Start);
  BOOST_TEST(chainText(Store, "c") == "in-a out-a in-c out-c ");
}

BOOST_AUTO_TEST_CASE(BackToTheFirstTurnWhoseTextIsElsewhere) {
  TurnStore Store;
  Store.apply(kept("b", "a"), Start);
  BOOST_TEST(chainText(Store, "b") == "in-b out-b ");
  BOOST_TEST(chainText(Store, "a").empty());
  Store.apply(kept("a", ""), Start);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
}

BOOST_AUTO_TEST_CASE(AlsoWhileTurnsThatContinueThemAreHeldElsewhere) {
  TurnStore Store;
  Store.apply(kept("a", ""), Start);
  Store.apply(withoutText(kept("b", "a")), Start + 50s);
  Store.expire(Start + 100s);
  BOOST_TEST(chainText(Store, "a") == "in-a out-a ");
}

BOOST_AUTO_TEST_CASE(AsLongAsTheirNewestTurn) {
  TurnStore Store;
  Store.apply(kept("a", ""), Start);
  Store.apply(kept("b", "a"), Start + 50s);
  Store.expire(Start + 100s);
  BOOST_TEST(!chainText(Store, "b").empty());
  Store.expire(Start + 300s);
  BOOST_TEST(chainText(Store, "b").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(KeepsTheFirstTextOfATurn) {
  TurnStore Store;
  Store.apply(kept("a", ""), Start);
  TurnRecord Other = kept("a", "");
  Other.Text = std::make_shared<const StoredTurn>(
      StoredTurn{TurnId("a"), {}, "other", "other", 60s});
  BOOST_TEST(!Store.apply(Other, Start));
  BOOST_TEST(chainText(Store, "a") == "in-a out-a ");
}

BOOST_AUTO_TEST_CASE(ForgetsAccountsOnlyAfterTheirProgramsCannotComeBack) {
  TurnStore Store;
  Store.apply({ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}}, Start);
  Store.expire(Start + 170s);
  BOOST_TEST(committedTokens(Store.account(ProgramId("p"))) == 500U);
  Store.expire(Start + 200s);
  BOOST_TEST(Store.programsKept() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsItsBytes) {
  TurnStore Store;
  Store.apply(kept("a", ""), Start);
  BOOST_TEST(Store.textBytes() == std::string("in-aout-a").size());
  Store.expire(Start + 300s);
  BOOST_TEST(Store.textBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE(WithTextsOnDisk)

BOOST_AUTO_TEST_CASE(HoldsNoneOfThemInMemory) {
  std::vector<TurnRecord> Disk;
  TurnStore Store([&](const FramePlace &Place) -> Expected<TurnRecord> {
    return Disk.at(Place.Offset);
  });
  for (const auto &[Id, Previous] : {std::pair("a", ""), {"b", "a"}}) {
    const TurnRecord Record = kept(Id, Previous);
    Store.apply(Record, Start);
    Store.textIsAt(TurnId(Id), {1, Disk.size(), 0});
    Disk.push_back(Record);
  }
  BOOST_TEST(Store.textBytes() == 0U);
  BOOST_TEST(Store.turnsKept() == 2U);
  BOOST_TEST(chainText(Store, "b") == "in-a out-a in-b out-b ");
  BOOST_TEST(Store.record(TurnId("a"))->Text->Input == "in-a");
  BOOST_TEST(!Store.lacks({TurnId("a"), true, true}));
}

BOOST_AUTO_TEST_CASE(DoesNotTakeOneThatCannotBeReadForUnknown) {
  TurnStore Store([](const FramePlace &) -> Expected<TurnRecord> {
    return refuse(ErrorKind::Internal, "the disk failed");
  });
  Store.apply(kept("a", ""), Start);
  Store.textIsAt(TurnId("a"), {1, 0, 0});
  BOOST_TEST(chainText(Store, "a") == "cannot be read");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsTheSameForAnyOrderOfItsRecords) {
  BOOST_TEST(rc::check("records commute", [] {
    const std::vector<TurnRecord> Records = {
        {ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}},
        kept("a", ""),
        {ProgramId("p"), TurnId("b"), {300, false}, nullptr, {}},
        kept("b", "a"),
        {ProgramId("p"), TurnId("b"), {0, true}, nullptr, {}}};
    std::vector<std::size_t> Order = {0, 1, 2, 3, 4, 0, 2, 4};
    for (std::size_t At = Order.size(); At > 1; --At)
      std::swap(Order[At - 1], Order[*rc::gen::inRange<std::size_t>(0, At)]);
    TurnStore Store;
    for (const std::size_t Index : Order)
      Store.apply(Records[Index], Start);
    RC_ASSERT(committedTokens(Store.account(ProgramId("p"))) == TokenCount(20));
    RC_ASSERT(chainText(Store, "b") == "in-a out-a in-b out-b ");
  }));
}

BOOST_AUTO_TEST_CASE(TravelsAsCborWithAnyBytes) {
  TurnRecord Record = kept("a", "");
  Record.Text = std::make_shared<const StoredTurn>(StoredTurn{
      TurnId("a"), TurnId("z"), std::string("\0\xff\n", 3), "\xc3", 60s});
  std::string Text;
  Json::to_cbor(Json(Record), Text);
  const TurnRecord Back = Json::from_cbor(Text).get<TurnRecord>();
  BOOST_TEST((*Back.Text == *Record.Text));
  BOOST_TEST((Back.Charge == Record.Charge));
}

BOOST_AUTO_TEST_SUITE_END()
