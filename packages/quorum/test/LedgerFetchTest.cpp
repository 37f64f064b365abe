#include "SilentLedger.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Together, Turns texts of this length are longer than a frame of a link.
constexpr std::size_t LongInputBytes = 4U << 20U;
constexpr int Turns = 17;

struct Fixture : QuorumFixture {
  static TurnId name(int Number) { return TurnId(std::to_string(Number)); }

  void storeLongTurns(std::size_t InputBytes, Duration Timeout = 5s) {
    for (int Number = 0; Number < Turns; ++Number)
      BOOST_REQUIRE(storeRecord(
          {ProgramId("p"),
           name(Number),
           {10, true},
           std::make_shared<const StoredTurn>(StoredTurn{
               name(Number), {}, std::string(InputBytes, 'x'), "out", 60s}),
           {}},
          Timeout));
  }

  /// Returns the frames that a ledger replies with.
  std::vector<std::string> fetch(int Ledger, const FetchTurnsRequest &Request) {
    const auto Link = LinkClient::make(
        Io, options(Ledger, /*FirstStart=*/false).Address, LinkOptions());
    const Expected<Json> Answer = await(callLink(
        Io, Link, calls::FetchTurns, encodeBody(Request), steadyNow() + 5s));
    BOOST_REQUIRE(Answer);
    return Answer->get<FetchTurnsResponse>().Frames;
  }
};

TurnId turnOf(const std::string &Frame) {
  return Json::from_cbor(Frame).get<TurnRecord>().Turn;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ALedger)
BOOST_AUTO_TEST_SUITE(ThatHasLostItsDisk)

// Guards against a reply that no link can transport: the ledger asks for it
// again on each try, never joins, and the quorum goes on without a spare copy.
BOOST_FIXTURE_TEST_CASE(FetchesTurnsThatTogetherAreLongerThanALinkFrame,
                        Fixture) {
  startAll();
  useCurrentView();
  // The two others hold all of them, and nothing is still on the way to 3.
  constexpr Duration StoreTimeout = 2s;
  stop(3);
  storeLongTurns(LongInputBytes, StoreTimeout);
  Io.run_for(StoreTimeout + 100ms);
  start(3);
  wipe(1);
  start(1);
  until([this] { return joinedCount() == 3; });
  BOOST_TEST(Nodes[1]->status().Turns == std::size_t(Turns));
}

// Guards against a successor that fetches all records over the link between
// regions, for longer than until the next ledger may be lost.
BOOST_FIXTURE_TEST_CASE(FetchesOnlyWhatTooFewOthersKeep, Fixture) {
  startAll();
  useCurrentView();
  // A ledger that starts gets what entries still try to send it.
  constexpr Duration StoreTimeout = 1s;
  const auto Store = [&](int From, int To) {
    for (int Number = From; Number < To; ++Number)
      BOOST_REQUIRE(
          storeRecord(turn("t-" + std::to_string(Number)), StoreTimeout));
    Io.run_for(StoreTimeout + 100ms);
  };
  stop(3);
  Store(0, 10); // At 1 and 2.
  start(3);
  until([this] { return Nodes[3]->status().IsJoined; });
  stop(2);
  Store(10, 13); // At 1 and 3.
  start(2);
  until([this] { return Nodes[2]->status().IsJoined; });
  wipe(3);
  start(3);
  until([this] { return Nodes[3]->status().IsJoined; });
  BOOST_TEST(Nodes[3]->status().Turns == 3U);
  // Each is on two disks again.
  wipe(1);
  start(1);
  until([this] { return Nodes[1]->status().IsJoined; });
  useCurrentView();
  for (int Number = 0; Number < 13; ++Number)
    BOOST_TEST(chain("t-" + std::to_string(Number)) ==
               "in t-" + std::to_string(Number) + ", out t-" +
                   std::to_string(Number) + "; ");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a ledger that waits for the timeout of a call to a source that
// is gone, while others that it may fetch from are there and no turn is served.
BOOST_FIXTURE_TEST_CASE(ThatFetchesAsksTheNextSourceOnceALinkIsLost, Fixture) {
  constexpr Duration JoinTimeout = 1500ms;
  startAll();
  useCurrentView();
  BOOST_REQUIRE(
      storeRecord({ProgramId("p"), name(0), {10, true}, nullptr, {}}));
  // A ledger in place of member 2 that never lists its records.
  stop(2);
  const auto Silent = startSilentLedger(*this, 2);
  Views.Current = withMemberLeaving(Views.Current, folderOf(1));
  tellView();
  start(4);
  until([&] { return !folderOf(4).empty(); });
  Io.run_for(300ms);
  BOOST_TEST(!Nodes[4]->status().IsJoined);
  Silent->close();
  const TimePoint LostAt = steadyNow();
  until([&] { return Nodes[4]->status().IsJoined; });
  BOOST_TEST((steadyNow() - LostAt < JoinTimeout));
}

BOOST_AUTO_TEST_SUITE(ThatIsAskedForTurns)

// Guards against the memory that a reply with many long texts takes at both
// ends of the link.
BOOST_FIXTURE_TEST_CASE(RepliesInPartsInTheOrderAskedFor, Fixture) {
  constexpr std::size_t InputBytes = 300U << 10U;
  constexpr std::size_t MaxPartBytes = 1U << 20U;
  startAll();
  useCurrentView();
  storeLongTurns(InputBytes);
  FetchTurnsRequest Request{{}, /*InParts=*/true};
  for (int Number = 0; Number < Turns; ++Number)
    Request.Turns.push_back(name(Number));
  int Fetched = 0;
  while (Fetched < Turns) {
    const std::vector<std::string> Frames =
        fetch(ledgersWithText().front(), Request);
    BOOST_REQUIRE(!Frames.empty());
    std::size_t Bytes = 0;
    for (const std::string &Frame : Frames) {
      Bytes += Frame.size();
      BOOST_TEST(turnOf(Frame).text() == name(Fetched++).text());
    }
    BOOST_TEST(Bytes <= MaxPartBytes);
    Request.Turns.erase(Request.Turns.begin(),
                        Request.Turns.begin() +
                            static_cast<std::ptrdiff_t>(Frames.size()));
  }
}

// Guards against a turn that is longer than a part and is never fetched.
BOOST_FIXTURE_TEST_CASE(RepliesWithAtLeastOneThatItHas, Fixture) {
  startAll();
  useCurrentView();
  storeLongTurns(LongInputBytes);
  const std::vector<std::string> Frames =
      fetch(ledgersWithText().front(),
            {{TurnId("nowhere"), name(3), name(4)}, /*InParts=*/true});
  BOOST_REQUIRE(Frames.size() == 1U);
  BOOST_TEST(turnOf(Frames.front()).text() == name(3).text());
}

// Guards against turns that are taken for sent although they are not, or that
// are asked for without end.
BOOST_FIXTURE_TEST_CASE(RepliesWithNoneOnlyIfAllAreUnknown, Fixture) {
  startAll();
  BOOST_TEST(fetch(1, {{TurnId("nowhere"), TurnId("neither")}, true}).empty());
}

// Guards against a ledger of an earlier release that takes the first part for
// the whole, and joins without the rest.
BOOST_FIXTURE_TEST_CASE(RepliesAsAWholeToOneThatDoesNotAskForTheRest, Fixture) {
  startAll();
  useCurrentView();
  storeLongTurns(300U << 10U);
  FetchTurnsRequest Request;
  for (int Number = 0; Number < Turns; ++Number)
    Request.Turns.push_back(name(Number));
  BOOST_TEST(fetch(ledgersWithText().front(), Request).size() ==
             std::size_t(Turns));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(ThatWritesManyLongTurns)

// Guards against the memory that texts take which are read from one segment
// faster than they are written to the next.
BOOST_FIXTURE_TEST_CASE(ToANewSegmentQueuesFewOfThemAtATime, Fixture) {
  CompactAfterBytes = (Turns - 2) * LongInputBytes;
  startAll();
  useCurrentView();
  // The two others hold all of them.
  stop(3);
  storeLongTurns(LongInputBytes);
  std::size_t MostQueued = 0;
  until([&] {
    bool HasOldSegment = false;
    for (const int Number : {1, 2}) {
      MostQueued = std::max(MostQueued, Nodes[Number]->status().QueuedBytes);
      HasOldSegment = HasOldSegment || fs::exists(folder(Number) / "segment-1");
    }
    return !HasOldSegment;
  });
  BOOST_TEST(MostQueued < 3 * LongInputBytes);
  BOOST_TEST(Nodes[1]->status().Turns == std::size_t(Turns));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
