/// Claims and takeovers of shards with the real shard table.
#include "FakeCluster.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {
namespace {

Expected<CallReply> callAt(FakeCluster &Cluster, const std::string &Entry,
                           const SubmitCallRequest &Request) {
  return Cluster.entry(Entry).Programs->call(Request, [](const CallPart &) {});
}

bool isNamed(const FakeCluster &Cluster, const std::string &Entry) {
  for (const CopyLocation &Location : Cluster.Records.at(0).Value.Copies)
    if (Location.Instance.text() == Entry &&
        Location.Folder == Cluster.Folders.at(Location.Instance).Id)
      return true;
  return false;
}

/// The two entries that hold copies, and the third one.
struct Holders {
  std::vector<std::string> Holding;
  std::string Spare;
};

Holders holdersOf(const FakeCluster &Cluster) {
  Holders Found;
  for (const auto &[Instance, Unused] : Cluster.Folders)
    if (isNamed(Cluster, Instance.text()))
      Found.Holding.push_back(Instance.text());
    else
      Found.Spare = Instance.text();
  return Found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_takeover)

BOOST_AUTO_TEST_CASE(fills_a_new_copy_when_one_is_lost_or_comes_back_empty) {
  for (const bool Empty : {false, true}) {
    FakeCluster Cluster;
    for (const char *Key : {"1", "2"})
      BOOST_REQUIRE(callAt(Cluster, "e1", payout("p", Key)));
    const Holders Before = holdersOf(Cluster);
    BOOST_REQUIRE_EQUAL(Before.Holding.size(), 2U);
    const std::string &Lost = Before.Holding[0];
    const std::string &Remaining = Before.Holding[1];
    const std::string &Next = Empty ? Lost : Before.Spare;
    if (Empty)
      Cluster.emptyFolder(Lost);
    Cluster.setState(Empty ? Before.Spare : Lost, MemberState::Gone);
    // The folder that gets the new copy holds an outdated log.
    Cluster.Folders.at(InstanceId(Next)).Shards[0].Logs[ProgramId("old")] = {
        {ProgramId("old"), ProgramStart{}}};
    if (!Empty)
      Cluster.FaultHook = [Lost](const PortCall &Call) {
        return Call.At.text() == Lost ? Fault::Unreachable : Fault::None;
      };
    // Make the entry with the remaining copy take over the shard.
    if (Cluster.Records.at(0).Value.Owner.text() == Remaining)
      Cluster.restartEntry(Remaining);
    else
      Cluster.entry(Remaining).Ports.SuspectedGone = {
          Cluster.Records.at(0).Value.Owner};
    if (Next == Cluster.Records.at(0).Value.Owner.text()) {
      Cluster.entry(Remaining).Ports.SuspectedGone.clear();
      Cluster.restartEntry(Next);
    }
    const auto Again = callAt(Cluster, Remaining, payout("p", "2"));
    BOOST_REQUIRE_MESSAGE(Again && Again->Stored,
                          "empty " << Empty << ": "
                                   << (Again ? Error() : Again.error()));
    const Holders After = holdersOf(Cluster);
    BOOST_REQUIRE_EQUAL(After.Holding.size(), 2U);
    const auto &One =
        Cluster.Folders.at(InstanceId(After.Holding[0])).Shards[0];
    const auto &Two =
        Cluster.Folders.at(InstanceId(After.Holding[1])).Shards[0];
    BOOST_CHECK(logOf(One, ProgramId("p")) == logOf(Two, ProgramId("p")));
    BOOST_CHECK_EQUAL(logOf(One, ProgramId("p")).size(), 5U);
    BOOST_CHECK_EQUAL(One.Sealed, Two.Sealed);
    BOOST_CHECK(logOf(One, ProgramId("old")).empty());
    BOOST_CHECK(logOf(Two, ProgramId("old")).empty());
    BOOST_CHECK(isNamed(Cluster, Remaining) && isNamed(Cluster, Next));
    BOOST_CHECK_EQUAL(Cluster.executions("2"), 1U);
  }
}

BOOST_AUTO_TEST_CASE(is_won_by_only_one_of_two_concurrent_claims) {
  FakeCluster Cluster;
  bool Raced = false;
  Cluster.FaultHook = [&](const PortCall &Call) {
    if (Call.From.text() == "e1" && Call.What == Port::RecordSwap && !Raced) {
      Raced = true;
      BOOST_CHECK(Cluster.entry("e2").Shards.locate(0, true)->OwnedHere);
    }
    return Fault::None;
  };
  const auto Lost = Cluster.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(!Lost);
  BOOST_CHECK_EQUAL(Lost.error().Kind, ErrorKind::RevisionConflict);
  BOOST_CHECK(Lost.error().Proof == NotRun::Proved);
  const auto Later = Cluster.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(Later.has_value());
  BOOST_CHECK_EQUAL(Later->RemoteOwner, InstanceId("e2"));
}

BOOST_AUTO_TEST_CASE(fences_the_appends_of_the_previous_owner) {
  FakeCluster Cluster;
  const auto Old = Cluster.entry("e1").Shards.locate(0, true);
  BOOST_REQUIRE(Old && Old->OwnedHere);
  Cluster.setState("e1", MemberState::Gone);
  const auto New = Cluster.entry("e2").Shards.locate(0, true);
  BOOST_REQUIRE(New && New->OwnedHere);
  const Record First{ProgramId("p"), ProgramStart{}};
  const auto Late = Cluster.entry("e1").Shards.append(
      *Old->OwnedHere, {{Old->OwnedHere->At, ProgramId("p"), 0, First}});
  BOOST_REQUIRE(!Late);
  BOOST_CHECK_EQUAL(Late.error().Kind, ErrorKind::Fenced);
  BOOST_CHECK(Cluster.entry("e1").Shards.owned().empty());
  BOOST_CHECK_EQUAL(Cluster.entry("e2").Shards.owned().size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(A_call_takes_two_appends_and_no_platform_access) {
  FakeCluster Cluster;
  BOOST_REQUIRE(callAt(Cluster, "e1", payout("p", "0")));
  BOOST_CHECK_LE(Cluster.count(Port::RecordSwap), 2U); // The first claim.
  const unsigned Swaps = Cluster.count(Port::RecordSwap);
  const unsigned Reads = Cluster.count(Port::RecordRead);
  const unsigned Appends = Cluster.count(Port::Append);
  constexpr unsigned Calls = 50;
  constexpr unsigned Copies = 2;
  constexpr unsigned AppendsPerCall = 2;
  for (unsigned Call = 1; Call <= Calls; ++Call)
    BOOST_REQUIRE(callAt(Cluster, "e1", payout("p", std::to_string(Call))));
  BOOST_CHECK_EQUAL(Cluster.count(Port::RecordSwap), Swaps);
  BOOST_CHECK_EQUAL(Cluster.count(Port::RecordRead), Reads);
  BOOST_CHECK_EQUAL(Cluster.count(Port::Append) - Appends,
                    Calls * Copies * AppendsPerCall);
  Cluster.setState("e1", MemberState::Gone);
  BOOST_REQUIRE(callAt(Cluster, "e2", payout("p", "take-over")));
  BOOST_CHECK_LE(Cluster.count(Port::RecordSwap) - Swaps, 2U);
}

} // namespace tamarack
