#include "tamarack/turns/View.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

ViewMember member(const std::string &Name, bool Joined = true) {
  return {FolderId("folder-" + Name), InstanceId(Name), DataCentreId("a"),
          "10.0.0.1:" + Name, Joined};
}

View viewOf(std::vector<ViewMember> Members) { return {7, std::move(Members)}; }

std::vector<std::string> namesIn(const View &Of) {
  std::vector<std::string> Result;
  Result.reserve(Of.Members.size());
  for (const ViewMember &Member : Of.Members)
    Result.push_back(Member.Instance.text() + (Member.Joined ? "" : "?"));
  return Result;
}

std::string planned(const JoinPlan &Plan) {
  if (!Plan.Next)
    return "none";
  std::string Result;
  for (const std::string &Name : namesIn(*Plan.Next))
    Result += Name + " ";
  return Result;
}

const ViewRules FirstStart{3, 2, true};
const ViewRules Later{3, 2, false};
/// Two losses are survived.
const ViewRules OfFive{5, 3, false};

const FolderId FolderA("folder-1");
const FolderId FolderB("folder-2");

} // namespace

BOOST_AUTO_TEST_SUITE(AView)

BOOST_AUTO_TEST_CASE(SurvivesTheStore) {
  const View Before = viewOf({member("1"), member("2", false)});
  const Expected<View> After = parseView(Json(Before).dump());
  BOOST_REQUIRE(After);
  BOOST_TEST((*After == Before));
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenItIsNotReadable) {
  for (const char *Text : {"", "{}", "[1]", R"({"number":1,"members":[{}]})"})
    BOOST_TEST(!parseView(Text), Text);
}

BOOST_AUTO_TEST_CASE(NeedsMoreThanHalfOfItsMembers) {
  BOOST_TEST(quorumOf(viewOf({member("1")})) == 1U);
  BOOST_TEST(quorumOf(viewOf({member("1"), member("2")})) == 2U);
  BOOST_TEST(quorumOf(viewOf({member("1"), member("2"), member("3")})) == 2U);
}

BOOST_AUTO_TEST_CASE(KeepsEachRecordOnSomeMemberThatIsFetchedFrom) {
  std::vector<ViewMember> Members;
  for (std::size_t Durable = 1; Durable <= 4; ++Durable) {
    Members.clear();
    for (std::size_t Count = 1; Count <= 2 * Durable - 1; ++Count) {
      Members.push_back(member(std::to_string(Count)));
      const View Of = viewOf(Members);
      const std::size_t Copies = copiesOf(Of, Durable);
      BOOST_TEST(Copies + sourcesNeeded(Of, Durable, Count) > Count,
                 Count << " members, " << Durable << " copies");
    }
  }
}

BOOST_AUTO_TEST_SUITE(IsEntered)

BOOST_AUTO_TEST_CASE(AtOnceWhenTheSystemStartsForTheFirstTime) {
  const JoinPlan First = planJoin({}, member("1", false), {}, FirstStart);
  BOOST_TEST(planned(First) == "1 ");
  const JoinPlan Next =
      planJoin(*First.Next, member("2", false), {}, FirstStart);
  BOOST_TEST(planned(Next) == "1 2 ");
  BOOST_TEST(Next.Next->Number == 2U);
}

BOOST_AUTO_TEST_CASE(ByALedgerThatMustFetchFirst) {
  const View Current = viewOf({member("1"), member("2")});
  BOOST_TEST(planned(planJoin(Current, member("3", false), {}, Later)) ==
             "1 2 3? ");
}

BOOST_AUTO_TEST_CASE(InPlaceOfTheFolderThatTheSameInstanceLost) {
  View Current = viewOf({member("1"), member("2"), member("3")});
  ViewMember Again = member("2", false);
  Again.Folder = FolderId("fresh");
  const JoinPlan Plan = planJoin(Current, Again, {FolderB}, Later);
  BOOST_TEST(planned(Plan) == "1 3 2? ");
  BOOST_TEST(Plan.Replaced->Folder.text() == "folder-2");
}

BOOST_AUTO_TEST_CASE(InPlaceOfAMemberThatDoesNotAnswer) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(planned(planJoin(Current, member("4", false), {FolderA}, Later)) ==
             "2 3 4? ");
}

BOOST_AUTO_TEST_CASE(FromTheOnlyJoinedMemberWhenAnotherLostItsFolderAgain) {
  const View Current =
      viewOf({member("1"), member("2", false), member("3", false)});
  ViewMember Again = member("2", false);
  Again.Folder = FolderId("fresh");
  BOOST_TEST(planned(planJoin(Current, Again, {FolderB}, Later)) == "1 3? 2? ");
}

BOOST_AUTO_TEST_CASE(WhileTwoOfFiveMembersAreLostForGood) {
  const View Current =
      viewOf({member("1"), member("2"), member("3"), member("4"), member("5")});
  const JoinPlan First =
      planJoin(Current, member("6", false), {FolderA, FolderB}, OfFive);
  BOOST_TEST(planned(First) == "2 3 4 5 6? ");
  const JoinPlan Next =
      planJoin(*First.Next, member("7", false), {FolderB}, OfFive);
  BOOST_TEST(planned(Next) == "3 4 5 6? 7? ");
}

BOOST_AUTO_TEST_CASE(WhenTheOnlyJoinedMemberLostItsFolder) {
  ViewMember Again = member("1", false);
  Again.Folder = FolderId("fresh");
  BOOST_TEST(planned(planJoin(viewOf({member("1")}), Again, {}, {1, 1})) ==
             "1 ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsLeftAsItIs)

BOOST_AUTO_TEST_CASE(WhenTheOnlyJoinedMemberDoesNotAnswer) {
  const View Current = viewOf({member("1"), member("2", false)});
  BOOST_TEST(planned(planJoin(Current, member("3", false), {FolderA}, Later)) ==
             "none");
}

BOOST_AUTO_TEST_CASE(WhenThreeOfFiveMembersDoNotAnswer) {
  const View Current =
      viewOf({member("1"), member("2"), member("3"), member("4"), member("5")});
  BOOST_TEST(planned(planJoin(Current, member("6", false),
                              {FolderA, FolderB, FolderId("folder-3")},
                              OfFive)) == "none");
}

BOOST_AUTO_TEST_CASE(WhenItIsFullAndEveryMemberAnswers) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(planned(planJoin(Current, member("4", false), {}, Later)) ==
             "none");
}

BOOST_AUTO_TEST_CASE(WhenTwoJoinedMembersDoNotAnswer) {
  const View Current = viewOf({member("1"), member("2"), member("3")});
  BOOST_TEST(planned(planJoin(Current, member("4", false), {FolderA, FolderB},
                              Later)) == "none");
}

BOOST_AUTO_TEST_CASE(WhileItsPlacesAreForOtherDataCentres) {
  ViewRules Spread = FirstStart;
  Spread.OnePerDataCentre = true;
  const View Current = viewOf({member("1")});
  BOOST_TEST(planned(planJoin(Current, member("2", false), {}, Spread)) ==
             "none");
  ViewMember Elsewhere = member("3", false);
  Elsewhere.DataCentre = DataCentreId("b");
  BOOST_TEST(planned(planJoin(Current, Elsewhere, {}, Spread)) == "1 3 ");
}

BOOST_AUTO_TEST_CASE(WhenTheLedgerIsAMember) {
  const View Current = viewOf({member("1"), member("2", false)});
  BOOST_TEST(planned(planJoin(Current, member("2", false), {FolderA}, Later)) ==
             "none");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(NamesAMemberAsJoinedUnderTheNextNumber) {
  const View Next =
      withJoined(viewOf({member("1"), member("2", false)}), FolderB);
  BOOST_TEST(Next.Number == 8U);
  BOOST_TEST(Next.Members[1].Joined);
}

BOOST_AUTO_TEST_SUITE_END()
