#include "tamarack/turns/View.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

ViewMember member(const std::string &Name, bool Joined = true) {
  return {FolderId("folder-" + Name), InstanceId(Name), DataCentreId("a"),
          "10.0.0.1:" + Name, Joined};
}

View viewOf(std::vector<ViewMember> Members) { return {7, std::move(Members)}; }

std::vector<std::string> memberNames(const View &Of) {
  std::vector<std::string> Result;
  Result.reserve(Of.Members.size());
  for (const ViewMember &Member : Of.Members)
    Result.push_back(Member.Instance.text() + (Member.Joined ? "" : "?"));
  return Result;
}

std::string describe(const JoinPlan &Plan) {
  if (!Plan.Next)
    return "none";
  std::string Result;
  for (const std::string &Name : memberNames(*Plan.Next))
    Result += Name + " ";
  return Result;
}

const ViewRules FirstStartRules{3, 2, true};
const ViewRules DefaultRules{3, 2, false};
/// Tolerates two losses.
const ViewRules FiveMemberRules{5, 3, false};

const FolderId FolderA("folder-1");
const FolderId FolderB("folder-2");

} // namespace

BOOST_AUTO_TEST_SUITE(AView)

BOOST_AUTO_TEST_CASE(RoundTripsThroughJson) {
  const View Before = viewOf({member("1"), member("2", false)});
  const Expected<View> After = parseView(Json(Before).dump());
  BOOST_REQUIRE(After);
  BOOST_TEST((*After == Before));
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenMalformed) {
  for (const char *Text : {"", "{}", "[1]", R"({"number":1,"members":[{}]})"})
    BOOST_TEST(!parseView(Text), Text);
}

/// Another writer leaves an odd view. View numbers only increase, so one that
/// is narrowed to the greatest number would be the last.
BOOST_AUTO_TEST_CASE(IsRefusedIfItsNumberIsOutOfRange) {
  for (const char *Number : {"-1", "1.5", "1e300", "18446744073709551615",
                             "99999999999999999999", "null", "\"1\""})
    BOOST_TEST(
        !parseView(R"({"number":)" + std::string(Number) + R"(,"members":[]})"),
        Number);
  const std::string Deep(100000, '[');
  BOOST_TEST(!parseView(R"({"number":1,"members":[],"x":)" + Deep +
                        std::string(Deep.size(), ']') + "}"));
}

BOOST_AUTO_TEST_CASE(NeedsMoreThanHalfOfItsMembers) {
  BOOST_TEST(quorumSize(viewOf({member("1")})) == 1U);
  BOOST_TEST(quorumSize(viewOf({member("1"), member("2")})) == 2U);
  BOOST_TEST(quorumSize(viewOf({member("1"), member("2"), member("3")})) == 2U);
}

BOOST_AUTO_TEST_CASE(HasEachRecordOnAMemberThatIsFetchedFrom) {
  std::vector<ViewMember> Members;
  for (std::size_t Durable = 1; Durable <= 4; ++Durable) {
    Members.clear();
    for (std::size_t Count = 1; Count <= 2 * Durable - 1; ++Count) {
      Members.push_back(member(std::to_string(Count)));
      const View Of = viewOf(Members);
      const std::size_t Copies = requiredCopies(Of, Durable);
      BOOST_TEST(Copies + requiredSources(Of, Durable) > Count,
                 Count << " members, " << Durable << " copies");
    }
  }
}

BOOST_AUTO_TEST_SUITE(IsJoined)

BOOST_AUTO_TEST_CASE(ImmediatelyAtTheFirstStartOfTheSystem) {
  const JoinPlan First = planJoin({}, member("1", false), {}, FirstStartRules);
  BOOST_TEST(describe(First) == "1 ");
  const JoinPlan Next =
      planJoin(*First.Next, member("2", false), {}, FirstStartRules);
  BOOST_TEST(describe(Next) == "1 2 ");
  BOOST_TEST(Next.Next->Number == 2U);
}

/// A ledger that has stood by since the first start lacks what the members have
/// stored. It must not join a view with a free place as if it had just started.
BOOST_AUTO_TEST_CASE(ByALedgerOfTheFirstStartThatMustFetchFirst) {
  View Formed;
  for (const char *Name : {"1", "2", "3"})
    Formed = *planJoin(Formed, member(Name, false), {}, FirstStartRules).Next;
  BOOST_TEST(describe(planJoin(withoutMember(Formed, FolderA),
                               member("4", false), {}, FirstStartRules)) ==
             "2 3 4? ");
  BOOST_TEST(describe(planJoin(Formed, member("4", false), {FolderA},
                               FirstStartRules)) == "2 3 4? ");
}

/// A retiring member keeps its place until its records are on others. Counted
/// as gone before, it lets a ledger join that has fetched from too few.
BOOST_AUTO_TEST_CASE(InPlaceOfAMemberThatIsLeaving) {
  const View Current = withMemberLeaving(
      viewOf({member("1"), member("2"), member("3")}), FolderA);
  BOOST_TEST(requiredCopies(Current, 2) == 2U);
  const JoinPlan Plan = planJoin(Current, member("4", false), {}, DefaultRules);
  BOOST_TEST(describe(Plan) == "2 3 4? ");
  BOOST_REQUIRE(recordHolders(*Plan.Next).size() == 3U);
  BOOST_TEST(recordHolders(*Plan.Next)[2].Folder.text() == "folder-1");
  // It may be fetched from, as long as it is there.
  BOOST_TEST(describe(planJoin(Current, member("4", false), {FolderB},
                               DefaultRules)) == "2 3 4? ");
  BOOST_TEST(describe(planJoin(Current, member("4", false), {FolderA, FolderB},
                               DefaultRules)) == "none");
}

BOOST_AUTO_TEST_CASE(ByALedgerThatMustFetchFirst) {
  const View Current = viewOf({member("1"), member("2")});
  BOOST_TEST(describe(planJoin(Current, member("3", false), {},
                               DefaultRules)) == "1 2 3? ");
}

BOOST_AUTO_TEST_CASE(InPlaceOfTheFolderThatTheSameInstanceLost) {
  View Current = viewOf({member("1"), member("2"), member("3")});
  ViewMember Returned = member("2", false);
  Returned.Folder = FolderId("fresh");
  const JoinPlan Plan = planJoin(Current, Returned, {FolderB}, DefaultRules);
  BOOST_TEST(describe(Plan) == "1 3 2? ");
  BOOST_TEST(Plan.Replaced->Folder.text() == "folder-2");
}

BOOST_AUTO_TEST_CASE(InPlaceOfAMemberThatDoesNotAnswer) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(describe(planJoin(Current, member("4", false), {FolderA},
                               DefaultRules)) == "2 3 4? ");
}

BOOST_AUTO_TEST_CASE(WhileOnlyOneMemberIsJoinedAndAnotherLostItsFolderAgain) {
  const View Current =
      viewOf({member("1"), member("2", false), member("3", false)});
  ViewMember Returned = member("2", false);
  Returned.Folder = FolderId("fresh");
  BOOST_TEST(describe(planJoin(Current, Returned, {FolderB}, DefaultRules)) ==
             "1 3? 2? ");
}

BOOST_AUTO_TEST_CASE(WhileTwoOfFiveMembersArePermanentlyLost) {
  const View Current =
      viewOf({member("1"), member("2"), member("3"), member("4"), member("5")});
  const JoinPlan First = planJoin(Current, member("6", false),
                                  {FolderA, FolderB}, FiveMemberRules);
  BOOST_TEST(describe(First) == "2 3 4 5 6? ");
  const JoinPlan Next =
      planJoin(*First.Next, member("7", false), {FolderB}, FiveMemberRules);
  BOOST_TEST(describe(Next) == "3 4 5 6? 7? ");
}

BOOST_AUTO_TEST_CASE(WhenTheOnlyJoinedMemberLostItsFolder) {
  ViewMember Returned = member("1", false);
  Returned.Folder = FolderId("fresh");
  BOOST_TEST(describe(planJoin(viewOf({member("1")}), Returned, {}, {1, 1})) ==
             "1 ");
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a ledger that waits for more holders than can have a record
/// that it lacks, and never joins after a loss that the deployment tolerates.
BOOST_AUTO_TEST_SUITE(IsFetchedFromOneOfTwoHoldersWithEveryRecord)

BOOST_AUTO_TEST_CASE(AtAPlaceThatWasFree) {
  const View Current = viewOf({member("1"), member("2")});
  const View Joining =
      *planJoin(Current, member("3", false), {}, DefaultRules).Next;
  BOOST_TEST(requiredSources(Joining, 2) == 1U);
  BOOST_TEST(requiredSources(withMemberJoined(Joining, FolderId("folder-3")),
                             2) == 2U);
}

BOOST_AUTO_TEST_CASE(AtAPlaceThatAMemberHasLeft) {
  const View Leaving = withMemberLeaving(
      viewOf({member("1"), member("2"), member("3")}), FolderA);
  const View Joining =
      *planJoin(Leaving, member("4", false), {}, DefaultRules).Next;
  BOOST_TEST(requiredSources(Joining, 2) == 2U);
  BOOST_TEST(requiredSources(withoutHolder(Joining, FolderA), 2) == 1U);
}

BOOST_AUTO_TEST_CASE(AtAFreePlaceThatAnotherLedgerHadTaken) {
  const View Current = viewOf({member("1"), member("2")});
  const View First =
      *planJoin(Current, member("3", false), {}, DefaultRules).Next;
  const View Next =
      *planJoin(First, member("4", false), {FolderId("folder-3")}, DefaultRules)
           .Next;
  BOOST_TEST(describe({Next, {}, ""}) == "1 2 4? ");
  BOOST_TEST(requiredSources(Next, 2) == 1U);
  BOOST_TEST((*parseView(Json(Next).dump()) == Next));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsFetchedFromTwoHolders)

/// The records of a lost disk may be on either of the other members only.
BOOST_AUTO_TEST_CASE(AtAPlaceWhoseDiskIsLost) {
  ViewMember Returned = member("3", false);
  Returned.Folder = FolderId("fresh");
  const View Joining =
      *planJoin(viewOf({member("1"), member("2"), member("3")}), Returned, {},
                DefaultRules)
           .Next;
  BOOST_TEST(describe({Joining, {}, ""}) == "1 2 3? ");
  BOOST_TEST(requiredSources(Joining, 2) == 2U);
}

/// A fourth place raises the copies to three, but earlier records are on two.
BOOST_AUTO_TEST_CASE(AtAFreePlaceThatRaisesTheNumberOfCopies) {
  const View Joining =
      *planJoin(viewOf({member("1"), member("2"), member("3")}),
                member("4", false), {}, {4, 2, false})
           .Next;
  BOOST_TEST(requiredSources(Joining, 2) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

/// A ledger that replaced a member and has not joined yet.
BOOST_AUTO_TEST_SUITE(WithAPredecessor)

View replaced() {
  return *planJoin(viewOf({member("1"), member("2"), member("3")}),
                   member("4", false), {FolderA}, DefaultRules)
              .Next;
}

BOOST_AUTO_TEST_CASE(KeepsItWhenTheFetchingLedgerIsReplacedToo) {
  const JoinPlan Plan = planJoin(replaced(), member("5", false),
                                 {FolderId("folder-4")}, DefaultRules);
  BOOST_TEST(describe(Plan) == "2 3 5? ");
  BOOST_TEST(Plan.Next->Members[2].Predecessor->Folder.text() == "folder-1");
}

BOOST_AUTO_TEST_CASE(TakesItBackAsAJoinedMember) {
  const JoinPlan Plan =
      planJoin(replaced(), member("1", false), {FolderB}, DefaultRules);
  BOOST_TEST(describe(Plan) == "2 3 1 ");
  BOOST_TEST(!Plan.Next->Members[2].Predecessor);
}

BOOST_AUTO_TEST_CASE(ForgetsItWhenItsFolderIsKnownToBeLost) {
  ViewMember Returned = member("1", false);
  Returned.Folder = FolderId("fresh");
  const JoinPlan Plan =
      planJoin(replaced(), Returned, {FolderA, FolderB}, DefaultRules);
  BOOST_TEST(describe(Plan) == "2 3 4? ");
  // Without need, the change would only interrupt the ledger that fetches.
  BOOST_TEST(describe(planJoin(replaced(), Returned, {FolderA},
                               DefaultRules)) == "none");
  BOOST_TEST(recordHolders(*Plan.Next).size() == 2U);
  BOOST_TEST(Plan.Next->Number == replaced().Number + 1);
  BOOST_TEST(describe(planJoin(*Plan.Next, Returned, {}, DefaultRules)) ==
             "none");
}

BOOST_AUTO_TEST_CASE(ForgetsItOnceTheNewMemberHasJoined) {
  const View Joined = withMemberJoined(replaced(), FolderId("folder-4"));
  BOOST_TEST(!Joined.Members[2].Predecessor);
  BOOST_TEST(describe(planJoin(Joined, member("1", false), {}, DefaultRules)) ==
             "none");
}

BOOST_AUTO_TEST_CASE(RoundTripsThroughJson) {
  BOOST_TEST((*parseView(Json(replaced()).dump()) == replaced()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsUnchanged)

BOOST_AUTO_TEST_CASE(WhenTheOnlyJoinedMemberDoesNotAnswer) {
  const View Current = viewOf({member("1"), member("2", false)});
  BOOST_TEST(describe(planJoin(Current, member("3", false), {FolderA},
                               DefaultRules)) == "none");
}

BOOST_AUTO_TEST_CASE(WhenThreeOfFiveMembersDoNotAnswer) {
  const View Current =
      viewOf({member("1"), member("2"), member("3"), member("4"), member("5")});
  BOOST_TEST(describe(planJoin(Current, member("6", false),
                               {FolderA, FolderB, FolderId("folder-3")},
                               FiveMemberRules)) == "none");
}

BOOST_AUTO_TEST_CASE(WhenItIsFullAndEveryMemberAnswers) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(describe(planJoin(Current, member("4", false), {},
                               DefaultRules)) == "none");
}

BOOST_AUTO_TEST_CASE(WhenTwoJoinedMembersDoNotAnswer) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(describe(planJoin(Current, member("4", false), {FolderA, FolderB},
                               DefaultRules)) == "none");
}

/// A ledger that replaced a member and has not fetched its records yet must not
/// make the records of a second member look dispensable: what only these two
/// members stored would be on no member any more.
BOOST_AUTO_TEST_CASE(WhenAMemberFailsWhileTheReplacementOfAnotherFetches) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  const JoinPlan First =
      planJoin(Current, member("4", false), {FolderA}, DefaultRules);
  BOOST_TEST(describe(First) == "2 3 4? ");
  BOOST_TEST(describe(planJoin(*First.Next, member("5", false),
                               {FolderA, FolderB}, DefaultRules)) == "none");
}

BOOST_AUTO_TEST_CASE(WhileItsFreePlacesAreReservedForOtherDataCentres) {
  ViewRules Spread = FirstStartRules;
  Spread.OnePerDataCentre = true;
  const View Current = *planJoin({}, member("1", false), {}, Spread).Next;
  BOOST_TEST(describe(planJoin(Current, member("2", false), {}, Spread)) ==
             "none");
  ViewMember Elsewhere = member("3", false);
  Elsewhere.DataCentre = DataCentreId("b");
  BOOST_TEST(describe(planJoin(Current, Elsewhere, {}, Spread)) == "1 3 ");
}

BOOST_AUTO_TEST_CASE(WhenTheLedgerIsAlreadyAMember) {
  const View Current = viewOf({member("1"), member("2", false)});
  BOOST_TEST(describe(planJoin(Current, member("2", false), {FolderA},
                               DefaultRules)) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a ledger that gives up its place while members that count as
/// joined are gone, so that too few are left to store records.
BOOST_AUTO_TEST_SUITE(OfAMemberThatRetires)

const FolderId FolderC("folder-3");
const std::set<FolderId> Others{FolderB, FolderC};

View threeMembers() { return viewOf({member("1"), member("2"), member("3")}); }
View leaving() { return withMemberLeaving(threeMembers(), FolderA); }

BOOST_AUTO_TEST_CASE(LetsItLeaveOnceTheOthersHaveItsRecordsAndAnswer) {
  const LeavePlan Begun = planLeave(threeMembers(), FolderA, {}, Others, 2);
  BOOST_REQUIRE(Begun.Next);
  BOOST_TEST((*Begun.Next == leaving()));
  BOOST_TEST(!planLeave(leaving(), FolderA, {FolderB}, Others, 2).Next);
  const LeavePlan Ended = planLeave(leaving(), FolderA, Others, Others, 2);
  BOOST_REQUIRE(Ended.Next);
  BOOST_TEST((*Ended.Next == withoutHolder(leaving(), FolderA)));
}

BOOST_AUTO_TEST_CASE(KeepsItWhileTooFewOthersAnswer) {
  BOOST_TEST(!planLeave(threeMembers(), FolderA, {}, {FolderB}, 2).Next);
  // Its own answer says nothing about the others.
  BOOST_TEST(
      !planLeave(threeMembers(), FolderA, {}, {FolderA, FolderB}, 2).Next);
}

BOOST_AUTO_TEST_CASE(LetsItTakeItsPlaceAgainWhenTooFewOthersAnswer) {
  const LeavePlan Plan = planLeave(leaving(), FolderA, Others, {FolderC}, 2);
  BOOST_REQUIRE(Plan.Next);
  BOOST_TEST(Plan.Next->Number == leaving().Number + 1);
  BOOST_TEST((Plan.Next->Members == threeMembers().Members));
}

/// Guards against a ledger that never leaves, and accepts nothing meanwhile,
/// since one of more members than needed is gone for good.
BOOST_AUTO_TEST_CASE(LetsItLeaveWhileAMemberThatIsNotNeededIsGone) {
  const View FiveMembers = withMemberLeaving(
      viewOf({member("1"), member("2"), member("3"), member("4"), member("5")}),
      FolderA);
  const std::set<FolderId> Left{FolderB, FolderC, FolderId("folder-4")};
  BOOST_TEST(planLeave(FiveMembers, FolderA, Left, Left, 3).Next.has_value());
  BOOST_TEST(
      !planLeave(FiveMembers, FolderA, {FolderB, FolderC}, Left, 3).Next);
}

BOOST_AUTO_TEST_CASE(KeepsItAsAPredecessorWhileTooFewOthersAnswer) {
  const View Replaced =
      *planJoin(leaving(), member("4", false), {}, DefaultRules).Next;
  BOOST_TEST(!planLeave(Replaced, FolderA, Others, {FolderC}, 2).Next);
  BOOST_TEST(planLeave(Replaced, FolderA, Others, Others, 2).Next.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against records that are taken for never stored after all their disks
/// were lost.
BOOST_AUTO_TEST_SUITE(ThatMayLackRecords)

BOOST_AUTO_TEST_CASE(IsMarkedIfALedgerJoinsAndNoHolderIsLeft) {
  const View Current = viewOf({member("1"), member("2", false)});
  ViewMember Returned = member("1", false);
  Returned.Folder = FolderId("fresh");
  const JoinPlan Plan = planJoin(Current, Returned, {FolderA}, DefaultRules);
  BOOST_REQUIRE(Plan.Next);
  BOOST_TEST(joinedCount(*Plan.Next) == 1U);
  BOOST_TEST(Plan.Next->IncompleteSince == Plan.Next->Number);
}

BOOST_AUTO_TEST_CASE(IsNotMarkedAtTheFirstStart) {
  const JoinPlan Plan = planJoin({}, member("1", false), {}, FirstStartRules);
  BOOST_TEST(Plan.Next->IncompleteSince == 0U);
  BOOST_TEST(planJoin({}, member("1", false), {}, DefaultRules)
                 .Next->IncompleteSince == 0U);
}

BOOST_AUTO_TEST_CASE(HasLostMoreFoldersThanTheCopiesAllowFor) {
  View Current = viewOf({member("1"), member("2", false), member("3")});
  BOOST_TEST(!hasLostRecords(Current, 2));
  Current.Members[0].Joined = false;
  BOOST_TEST(hasLostRecords(Current, 2));
  Current.Members[0].AtFreePlace = true;
  BOOST_TEST(!hasLostRecords(Current, 2));
}

BOOST_AUTO_TEST_CASE(StaysMarkedWhateverElseChanges) {
  View Marked = withRecordsMissing(
      viewOf({member("1"), member("2"), member("3", false)}));
  const std::uint64_t Since = Marked.Number;
  for (const View &Next :
       {withMemberJoined(Marked, FolderId("folder-3")),
        withMemberLeaving(Marked, FolderA), withMemberStaying(Marked, FolderA),
        withoutMember(Marked, FolderA), withoutHolder(Marked, FolderA),
        *planJoin(Marked, member("4", false), {FolderId("folder-3")},
                  DefaultRules)
             .Next})
    BOOST_TEST(Next.IncompleteSince == Since);
  BOOST_TEST(withRecordsComplete(Marked).IncompleteSince == 0U);
  BOOST_TEST(withRecordsComplete(Marked).Number == Marked.Number + 1);
}

BOOST_AUTO_TEST_CASE(RoundTripsThroughJson) {
  const View Marked = withRecordsMissing(viewOf({member("1")}));
  BOOST_TEST((*parseView(Json(Marked).dump()) == Marked));
}

BOOST_AUTO_TEST_CASE(IsCompleteIfAnEarlierReleaseWroteIt) {
  Json Value = withRecordsMissing(viewOf({member("1")}));
  Value.erase("incomplete_since");
  BOOST_TEST(parseView(Value.dump())->IncompleteSince == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against two sets of ledgers that both store records.
BOOST_AUTO_TEST_CASE(IsSealedOnceNoQuorumOfUnreachableMembersIsLeft) {
  const View Current = viewOf({member("1"), member("2"), member("3", false)});
  // One place is lost: a quorum needs both others.
  BOOST_TEST(!isSealed(Current, 0, 2));
  BOOST_TEST(isSealed(Current, 1, 2));
  View Replacing = Current;
  Replacing.Members[2].Predecessor = {FolderId("folder-9"), {}, {}, {}};
  BOOST_TEST(!isSealed(Replacing, 1, 2));
  BOOST_TEST(isSealed(Replacing, 2, 2));
}

/// Guards against a deployment that waits for folders that are lost.
BOOST_AUTO_TEST_CASE(IsTakenPartInByALedgerWhoseFolderIsLostAtOnce) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  ViewMember Returned = member("1", false);
  Returned.Folder = FolderId("fresh");
  BOOST_TEST(describe(planJoin(Current, Returned, {FolderA, FolderB},
                               DefaultRules)) == "2 3 1? ");
}

BOOST_AUTO_TEST_CASE(LosesThePlaceOfAMemberThatHasLeft) {
  const View Current = withMemberLeaving(
      viewOf({member("1"), member("2"), member("3")}), FolderA);
  BOOST_TEST(Current.Number == 8U);
  BOOST_TEST(withoutHolder(Current, FolderA).Members.size() == 2U);
  // The place may have been taken by a ledger that has not joined yet.
  const View Replaced =
      *planJoin(Current, member("4", false), {}, DefaultRules).Next;
  BOOST_TEST(withoutHolder(Replaced, FolderA).Members.size() == 3U);
  BOOST_TEST(recordHolders(withoutHolder(Replaced, FolderA)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(MarksAMemberAsJoinedAndIncrementsTheNumber) {
  const View Next =
      withMemberJoined(viewOf({member("1"), member("2", false)}), FolderB);
  BOOST_TEST(Next.Number == 8U);
  BOOST_TEST(Next.Members[1].Joined);
}

BOOST_AUTO_TEST_SUITE_END()
