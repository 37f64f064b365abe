/// Claims and take-overs over the real shard table.
#include "FakeWorld.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {
namespace {

Expected<CallReply> callAt(FakeWorld &World, const std::string &Entry,
                           const SubmitCallRequest &Order) {
  return World.entry(Entry).Programs->call(Order, [](const CallPart &) {});
}

bool names(const FakeWorld &World, const std::string &Entry) {
  for (const CopyLocation &Place : World.Records.at(0).Value.Copies)
    if (Place.Instance.text() == Entry &&
        Place.Folder == World.Folders.at(Place.Instance).Id)
      return true;
  return false;
}

/// The two entries that hold copies, and the one that does not.
struct Holders {
  std::vector<std::string> Holding;
  std::string Spare;
};

Holders holdersOf(const FakeWorld &World) {
  Holders Found;
  for (const auto &[Instance, Unused] : World.Folders)
    if (names(World, Instance.text()))
      Found.Holding.push_back(Instance.text());
    else
      Found.Spare = Instance.text();
  return Found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_take_over)

BOOST_AUTO_TEST_CASE(fills_a_new_copy_when_one_is_lost_or_comes_back_empty) {
  for (const bool Empty : {false, true}) {
    FakeWorld World;
    for (const char *Key : {"1", "2"})
      BOOST_REQUIRE(callAt(World, "e1", payout("p", Key)));
    const Holders Before = holdersOf(World);
    BOOST_REQUIRE_EQUAL(Before.Holding.size(), 2U);
    const std::string &Lost = Before.Holding[0];
    const std::string &Kept = Before.Holding[1];
    const std::string &Next = Empty ? Lost : Before.Spare;
    if (Empty)
      World.emptyFolder(Lost);
    World.setState(Empty ? Before.Spare : Lost, MemberState::Gone);
    // A log of earlier days lies in the folder that is used next.
    World.Folders.at(InstanceId(Next)).Shards[0].Logs[ProgramId("old")] = {
        {ProgramId("old"), ProgramStart{}}};
    if (!Empty)
      World.Hook = [Lost](const PortCall &Call) {
        return Call.At.text() == Lost ? Fault::Unreachable : Fault::None;
      };
    // The owner's process starts anew, or is another one than the copy's.
    if (World.Records.at(0).Value.Owner.text() == Kept)
      World.restartEntry(Kept);
    else
      World.entry(Kept).Ports.TakenForGone = {World.Records.at(0).Value.Owner};
    if (Next == World.Records.at(0).Value.Owner.text()) {
      World.entry(Kept).Ports.TakenForGone.clear();
      World.restartEntry(Next);
    }
    const auto Again = callAt(World, Kept, payout("p", "2"));
    BOOST_REQUIRE_MESSAGE(Again && Again->Stored,
                          "empty " << Empty << ": "
                                   << (Again ? Error() : Again.error()));
    const Holders After = holdersOf(World);
    BOOST_REQUIRE_EQUAL(After.Holding.size(), 2U);
    const auto &One = World.Folders.at(InstanceId(After.Holding[0])).Shards[0];
    const auto &Two = World.Folders.at(InstanceId(After.Holding[1])).Shards[0];
    BOOST_CHECK(logOf(One, ProgramId("p")) == logOf(Two, ProgramId("p")));
    BOOST_CHECK_EQUAL(logOf(One, ProgramId("p")).size(), 5U);
    BOOST_CHECK_EQUAL(One.Sealed, Two.Sealed);
    BOOST_CHECK(logOf(One, ProgramId("old")).empty());
    BOOST_CHECK(logOf(Two, ProgramId("old")).empty());
    BOOST_CHECK(names(World, Kept) && names(World, Next));
    BOOST_CHECK_EQUAL(World.executions("2"), 1U);
  }
}

BOOST_AUTO_TEST_CASE(is_won_by_one_of_two_claimers) {
  FakeWorld World;
  bool Raced = false;
  World.Hook = [&](const PortCall &Call) {
    if (Call.From.text() == "e1" && Call.What == Port::RecordSwap && !Raced) {
      Raced = true;
      BOOST_CHECK(World.entry("e2").Shards.locate(0, true)->Here);
    }
    return Fault::None;
  };
  const auto Lost = World.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(!Lost);
  BOOST_CHECK_EQUAL(Lost.error().Kind, ErrorKind::RevisionConflict);
  BOOST_CHECK(Lost.error().Proof == NotRun::Proved);
  const auto Later = World.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(Later.has_value());
  BOOST_CHECK_EQUAL(Later->Elsewhere, InstanceId("e2"));
}

BOOST_AUTO_TEST_CASE(stops_the_appends_of_the_owner_before) {
  FakeWorld World;
  const auto Old = World.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(Old && Old->Here);
  World.setState("e1", MemberState::Gone);
  const auto New = World.entry("e2").Shards.locate(0, true);
  BOOST_REQUIRE(New && New->Here);
  const Record First{ProgramId("p"), ProgramStart{}};
  const auto Late = World.entry("e1").Shards.append(
      *Old->Here, {{Old->Here->At, ProgramId("p"), 0, First}});
  BOOST_REQUIRE(!Late);
  BOOST_CHECK_EQUAL(Late.error().Kind, ErrorKind::Fenced);
  BOOST_CHECK(World.entry("e1").Shards.owned().empty());
  BOOST_CHECK_EQUAL(World.entry("e2").Shards.owned().size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(A_call_writes_nothing_to_the_platform_and_two_appends) {
  FakeWorld World;
  BOOST_REQUIRE(callAt(World, "e1", payout("p", "0")));
  BOOST_CHECK_LE(World.count(Port::RecordSwap), 2U); // A fresh claim.
  const unsigned Swaps = World.count(Port::RecordSwap);
  const unsigned Reads = World.count(Port::RecordRead);
  const unsigned Appends = World.count(Port::Append);
  constexpr unsigned Calls = 50;
  constexpr unsigned Copies = 2;
  constexpr unsigned AppendsPerCall = 2;
  for (unsigned Call = 1; Call <= Calls; ++Call)
    BOOST_REQUIRE(callAt(World, "e1", payout("p", std::to_string(Call))));
  BOOST_CHECK_EQUAL(World.count(Port::RecordSwap), Swaps);
  BOOST_CHECK_EQUAL(World.count(Port::RecordRead), Reads);
  BOOST_CHECK_EQUAL(World.count(Port::Append) - Appends,
                    Calls * Copies * AppendsPerCall);
  World.setState("e1", MemberState::Gone);
  BOOST_REQUIRE(callAt(World, "e2", payout("p", "take-over")));
  BOOST_CHECK_LE(World.count(Port::RecordSwap) - Swaps, 2U);
}

} // namespace tamarack
