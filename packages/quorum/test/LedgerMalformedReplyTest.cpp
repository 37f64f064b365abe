#include "QuorumFixture.h"

#include "tamarack/turns/Messages.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Answers in the place of a ledger that is down, and states that it has one
/// turn.
class StandInLedger {
public:
  using Handler = std::function<Expected<Json>()>;

  StandInLedger(Loop &Io, const std::string &Address, FolderId Folder,
                const InMemoryViewStore &Views, TurnRecord Kept)
      : Folder(std::move(Folder)), Views(Views), Kept(std::move(Kept)),
        Server(Io, [this](const std::string &Name, const Json &,
                          const LinkServer::Reply &Answer) {
          ++Calls[Name];
          const auto Found = MalformedReplies.find(Name);
          Answer(Found == MalformedReplies.end() ? reply(Name) : Found->second);
        }) {
    BOOST_REQUIRE(Server.listen(Address));
  }

  std::map<std::string, int> Calls;
  /// Sent instead of the proper reply to the call of that name.
  std::map<std::string, Json> MalformedReplies;

private:
  Expected<Json> reply(const std::string &Name) const {
    if (Name == calls::Ping)
      return Json(PingResponse{Folder, Views.Current.Number});
    if (Name == calls::ListRecords)
      return Json(ListRecordsResponse{
          LedgerRefusal::None, Folder, {{Kept.Turn, true, true}}, {}});
    if (Name == calls::FetchTurns) {
      std::string Frame;
      Json::to_cbor(Json(Kept), Frame);
      return Json(FetchTurnsResponse{{Frame}});
    }
    return refuse(ErrorKind::Internal, "not part of the test");
  }

  const FolderId Folder;
  const InMemoryViewStore &Views;
  const TurnRecord Kept;
  LinkServer Server;
};

Json framesOf(const std::vector<std::string> &Frames) {
  return Json(FetchTurnsResponse{Frames});
}

/// Ledger 1 has lost its disk. It needs the records of the two others, of which
/// a stand-in takes the place of the one that it asks first.
struct Fixture : QuorumFixture {
  Fixture() {
    startAll();
    useCurrentView();
    stop(2);
    BOOST_REQUIRE(storeRecord(turn("at-3")));
    StandIn = std::make_unique<StandInLedger>(
        Io, options(2, /*FirstStart=*/false).Address, folderOf(2), Views,
        turn("at-2"));
    wipe(1);
  }

  /// Starts ledger 1 while the stand-in replies to \p Name with \p Malformed.
  void joinsOnceRepliesAreSoundAgain(const std::string &Name,
                                     const Json &Malformed) {
    StandIn->MalformedReplies[Name] = Malformed;
    start(1);
    until([this] { return Nodes[1]->status().Turns == 1U; });
    StandIn->Calls.clear();
    Io.run_for(1s);
    // Each try begins with a list and is followed by a pause of 200 ms.
    BOOST_TEST(StandIn->Calls[calls::ListRecords] >= 2);
    BOOST_TEST(StandIn->Calls[calls::ListRecords] <= 6);
    BOOST_TEST(StandIn->Calls[calls::FetchTurns] <= 6);
    BOOST_TEST(!Nodes[1]->status().IsJoined);
    StandIn->MalformedReplies.clear();
    until([this] { return Nodes[1]->status().IsJoined; });
    BOOST_TEST(Nodes[1]->status().Turns == 2U);
  }

  std::unique_ptr<StandInLedger> StandIn;
};

} // namespace

/// Guards against a malformed reply that ends the process of the ledger that
/// asked, or that keeps it from fetching what others have.
BOOST_AUTO_TEST_SUITE(ALedger)
BOOST_FIXTURE_TEST_SUITE(ThatFetchesRecordsGoesOnAndTriesAgain, Fixture)

BOOST_AUTO_TEST_CASE(AfterAListThatIsNone) {
  joinsOnceRepliesAreSoundAgain(calls::ListRecords, Json("malformed"));
}

BOOST_AUTO_TEST_CASE(AfterAListWithANameThatIsNone) {
  joinsOnceRepliesAreSoundAgain(
      calls::ListRecords,
      Json{{"refusal", 0}, {"folder", folderOf(2)}, {"names", {{1, 2}}}});
}

BOOST_AUTO_TEST_CASE(AfterTurnsThatAreNone) {
  joinsOnceRepliesAreSoundAgain(calls::FetchTurns, Json::array({1, 2}));
}

BOOST_AUTO_TEST_CASE(AfterATurnThatIsNotValidCbor) {
  joinsOnceRepliesAreSoundAgain(calls::FetchTurns, framesOf({"\xff\xff"}));
}

BOOST_AUTO_TEST_CASE(AfterATurnThatIsEmpty) {
  joinsOnceRepliesAreSoundAgain(calls::FetchTurns, framesOf({""}));
}

BOOST_AUTO_TEST_CASE(AfterATurnThatIsNoRecord) {
  std::string Frame;
  Json::to_cbor(Json{{"view", 1}}, Frame);
  joinsOnceRepliesAreSoundAgain(calls::FetchTurns, framesOf({Frame}));
}

BOOST_AUTO_TEST_CASE(AfterATurnThatItDidNotAskFor) {
  std::string Frame;
  Json::to_cbor(Json(turn("at-3")), Frame);
  joinsOnceRepliesAreSoundAgain(calls::FetchTurns, framesOf({Frame, Frame}));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against whole turns that are answered 404: a source loses its disk
// while it is fetched from, and the empty ledger that follows at its address
// says that it has none of the turns.
BOOST_FIXTURE_TEST_CASE(ThatFetchesDoesNotRelyOnAnEmptyLedgerAtTheAddress,
                        Fixture) {
  StandIn->MalformedReplies[calls::ListRecords] = Json("malformed");
  start(1);
  until([this] { return Nodes[1]->status().Turns == 1U; });
  StandIn->MalformedReplies = {
      {calls::FetchTurns, framesOf({})},
      {calls::Ping,
       Json(PingResponse{FolderId("empty"), Views.Current.Number})}};
  StandIn->Calls.clear();
  until([this] { return StandIn->Calls[calls::FetchTurns] > 0; });
  Io.run_for(1s);
  BOOST_TEST(!Nodes[1]->status().IsJoined);
  StandIn->MalformedReplies.clear();
  until([this] { return Nodes[1]->status().IsJoined; });
  BOOST_TEST(Nodes[1]->status().Turns == 2U);
}

BOOST_FIXTURE_TEST_CASE(ThatRetiresAsksAgainAfterAMalformedReply, Fixture) {
  // A ledger begins to leave only while two others answer.
  start(1);
  until([this] { return Nodes[1]->status().IsJoined; });
  StandIn->MalformedReplies[calls::CatchUp] = Json("malformed");
  BOOST_TEST(!await(Nodes[3]->retire()));
  BOOST_TEST(StandIn->Calls[calls::CatchUp] >= 2);
}

BOOST_AUTO_TEST_SUITE_END()
