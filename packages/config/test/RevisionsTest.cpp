#include "tamarack/config/Revisions.h"

#include "RevisionWorld.h"
#include "TemporaryFolder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

/// Waiting for near peers, a lost pull, and one hop in each region.
constexpr unsigned RoundsToAgree = 5;

OperatorDocument revision(Revision Number) {
  OperatorDocument Result;
  Result.Made = {Number, "ana", "t" + std::to_string(Number), ""};
  return Result;
}

RevisionState holding(Revision Number) {
  return onServiceRead(startRevisions(InstanceId("p"), {}).State,
                       revision(Number))
      .State;
}

RevisionStep asked(const RevisionState &State, Revision Expected) {
  return onChangeAsked(State, {"r", {}, Expected, {0, "ana", "mine", ""}});
}

template <typename Action> const Action *find(const RevisionStep &Step) {
  for (const RevisionAction &Each : Step.Actions)
    if (const auto *Found = std::get_if<Action>(&Each))
      return Found;
  return nullptr;
}

ErrorKind refusal(const RevisionStep &Step) {
  const auto *Told = find<AnswerOperator>(Step);
  return Told && !Told->Answer ? Told->Answer.error().Kind
                               : ErrorKind::Internal;
}

const TimePoint Start{Duration(0)};

} // namespace

BOOST_AUTO_TEST_SUITE(Revisions)

BOOST_AUTO_TEST_SUITE(AChange)

BOOST_AUTO_TEST_CASE(IsAcceptedOnceTheSwapHasWon) {
  const RevisionStep Asked = asked(holding(4), 4);
  BOOST_TEST_REQUIRE(find<CompareAndSwap>(Asked));
  BOOST_TEST(find<CompareAndSwap>(Asked)->Expected == 4U);
  BOOST_TEST(Asked.State.Held.Made.Number == 4U);
  const RevisionStep Won = onCasWon(Asked.State, "mine");
  BOOST_TEST_REQUIRE(find<AnswerOperator>(Won));
  BOOST_TEST(find<AnswerOperator>(Won)->Answer.value() == 5U);
  BOOST_TEST(Won.State.Held.Made.Number == 5U);
}

BOOST_AUTO_TEST_CASE(IsRefusedBeforeTheServiceIsAsked) {
  const RevisionState Fresh = startRevisions(InstanceId("p"), {}).State;
  const RevisionState Busy = asked(holding(4), 4).State;
  ChangeRequest Broken{"r", {}, 4, {0, "", "mine", ""}};
  BOOST_TEST(refusal(asked(holding(4), 3)) == ErrorKind::RevisionConflict);
  BOOST_TEST(refusal(asked(Busy, 4)) == ErrorKind::RevisionConflict);
  BOOST_TEST(refusal(asked(Fresh, 0)) == ErrorKind::PlatformUnavailable);
  BOOST_TEST(refusal(onChangeAsked(holding(4), Broken)) ==
             ErrorKind::InvalidConfiguration);
  BOOST_TEST(refusal(onCasNotSent(Busy, "mine")) ==
             ErrorKind::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(WhoseAnswerIsLostIsReadBackAndRecognised) {
  const RevisionState Uncertain =
      onCasAnswerLost(asked(holding(4), 4).State, "mine").State;
  OperatorDocument Mine = nextRevision(revision(4), {}, {0, "a", "mine", ""});
  const OperatorDocument Later = nextRevision(Mine, {}, {0, "b", "other", ""});
  OperatorDocument Other = Mine;
  Other.Made.Token = "other";
  OperatorDocument Far = Later;
  Far.Made.Number = 200;
  Far.History.clear();
  struct Case {
    const char *Name;
    OperatorDocument Read;
    ErrorKind Answer;
  };
  const std::vector<Case> Cases = {
      {"won", Mine, ErrorKind::Internal},
      {"won and followed", Later, ErrorKind::Internal},
      {"lost", Other, ErrorKind::RevisionConflict},
      {"fallen out of the history", Far, ErrorKind::OutcomeUnknown},
  };
  for (const Case &Row : Cases) {
    const RevisionStep Step = onServiceRead(Uncertain, Row.Read);
    BOOST_TEST_REQUIRE(find<AnswerOperator>(Step), Row.Name);
    BOOST_TEST(refusal(Step) == Row.Answer, Row.Name);
    BOOST_TEST(Step.State.Held.Made.Number == Row.Read.Made.Number, Row.Name);
  }
  const RevisionStep Absent = onServiceRead(Uncertain, revision(4));
  BOOST_TEST_REQUIRE(find<CompareAndSwap>(Absent), "not there yet: try again");
  BOOST_TEST(find<CompareAndSwap>(Absent)->Next.Made.Token == "mine");
}

BOOST_AUTO_TEST_CASE(ThatStaysUncertainIsAnsweredSo) {
  RevisionStep Step = onCasAnswerLost(asked(holding(4), 4).State, "mine");
  for (unsigned I = 1; I < RevisionLimits().MaxInquiries; ++I) {
    BOOST_TEST(find<ReadService>(Step));
    Step = onServiceReadFailed(Step.State);
  }
  BOOST_TEST(refusal(onServiceReadFailed(Step.State)) ==
             ErrorKind::OutcomeUnknown);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(AStart)

BOOST_AUTO_TEST_CASE(ServesOnceTheServiceOrAConfirmedPeerIsHeard) {
  const RevisionState Own = startRevisions(InstanceId("p"), revision(3)).State;
  BOOST_TEST(Own.Held.Made.Number == 3U);
  BOOST_TEST(!mayServe(Own));
  BOOST_TEST(!mayServe(onServiceReadFailed(Own).State));
  const InstanceId Peer("q");
  BOOST_TEST(!mayServe(onPeerRevision(Own, {Peer, 3, false}, Start).State));
  BOOST_TEST(mayServe(onPeerRevision(Own, {Peer, 3, true}, Start).State));
  const RevisionStep Higher = onPeerRevision(Own, {Peer, 8, true}, Start);
  BOOST_TEST(!mayServe(Higher.State), "first take the peer's document");
  const RevisionStep Taken = onOffered(Higher.State, revision(8), true);
  BOOST_TEST(mayServe(Taken.State));
  BOOST_TEST(Taken.State.Held.Made.Number == 8U);
  BOOST_TEST(onOffered(Taken.State, revision(7), true).Actions.empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(APull)

BOOST_AUTO_TEST_CASE(IsTriedElsewhereOnlyAfterItsLimit) {
  const RevisionStep First =
      onPeerRevision(holding(1), {InstanceId("q"), 2, true}, Start);
  BOOST_TEST(find<PullFrom>(First));
  const PeerRevision Other{InstanceId("r"), 2, true, Distance::Near};
  const auto Limit = RevisionLimits().PullLimit;
  BOOST_TEST(
      onPeerRevision(First.State, Other, Start + Limit / 2).Actions.empty());
  BOOST_TEST(find<PullFrom>(onPeerRevision(First.State, Other, Start + Limit)));
}

BOOST_AUTO_TEST_CASE(CrossesTheSlowLinkForWatchersOrAfterADelay) {
  const PeerRevision Far{InstanceId("q"), 2, true, Distance::Far};
  RevisionState Watcher = holding(1);
  Watcher.IsWatcher = true;
  BOOST_TEST(find<PullFrom>(onPeerRevision(Watcher, Far, Start)));
  const RevisionStep First = onPeerRevision(holding(1), Far, Start);
  BOOST_TEST(First.Actions.empty());
  const auto Delay = RevisionLimits().FarPullDelay;
  BOOST_TEST(find<PullFrom>(onPeerRevision(First.State, Far, Start + Delay)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(Histories)

// Operators race, processes die at any step, answers are lost and swaps take
// effect late, the service fails and the regions part.
BOOST_AUTO_TEST_CASE(NeverRevertAndAlwaysAgreeInTheEnd) {
  std::set<std::string> Seen;
  std::size_t Accepted = 0;
  unsigned Slowest = 0;
  const bool Holds = rc::check([&] {
    const auto Draws = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1U << 24));
    RevisionWorld World;
    for (const std::uint32_t Draw : Draws)
      World.play(Draw);
    const unsigned Rounds = World.roundsToAgree(RoundsToAgree);
    Slowest = std::max(Slowest, Rounds);
    RC_ASSERT(Rounds <= RoundsToAgree);
    Accepted += World.acceptedCount();
    Seen.insert(World.Seen.begin(), World.Seen.end());
  });
  BOOST_TEST(Holds);
  BOOST_TEST_MESSAGE("accepted " << Accepted << " revisions, slowest agreement "
                                 << Slowest << " rounds");
  // The histories reach the cases that they are meant to reach.
  for (const char *Case : {"accepted", "revision_conflict", "outcome_unknown",
                           "platform_unavailable", "late swap"})
    BOOST_TEST(Seen.count(Case) == 1U, "never seen: " << Case);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(TheDataFolder)

BOOST_AUTO_TEST_CASE(KeepsTheDocumentOverARestart) {
  const TemporaryFolder Folder;
  const std::string Path = Folder.path().string();
  BOOST_TEST(!loadDocument(Path)->has_value());
  for (const Revision Number : {1, 2}) {
    BOOST_TEST_REQUIRE(saveDocument(Path, revision(Number)).has_value());
    const auto Loaded = loadDocument(Path);
    BOOST_TEST_REQUIRE(Loaded.has_value());
    BOOST_TEST((*Loaded == revision(Number)));
  }
  BOOST_TEST(!saveDocument(Path + "/none", revision(1)).has_value());
}

BOOST_AUTO_TEST_CASE(RefusesAFileThatIsNoDocument) {
  const TemporaryFolder Folder;
  BOOST_TEST_REQUIRE(
      saveDocument(Folder.path().string(), revision(1)).has_value());
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.path()))
    std::ofstream(Entry.path()) << "{\"author\": 3}";
  const auto Loaded = loadDocument(Folder.path().string());
  BOOST_TEST_REQUIRE(!Loaded.has_value());
  BOOST_TEST(Loaded.error().Kind == ErrorKind::InvalidConfiguration);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
