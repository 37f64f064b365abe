#include "tamarack/members/Membership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

Member entry(const std::string &Name, Incarnation Life = 1,
             MemberState State = MemberState::Live) {
  Member Result;
  Result.Instance = InstanceId(Name);
  Result.Life = Life;
  Result.Region = RegionId("andes");
  Result.DataCentre = DataCentreId("andes-a");
  Result.Host = "10.0.0.1";
  Result.Port = 7100;
  Result.State = State;
  return Result;
}

const InstanceId A("a");

/// One event about instance "a", for tables of cases and random histories.
struct Event {
  enum Kind {
    List,
    ListLeaving,
    ListDrop,
    Introduce,
    Heartbeat,
    LinkLost,
    Leave,
    Tick
  };
  Kind Type;
  int TimeMs = 0;
  Incarnation Life = 1;
};

MemberTable apply(MemberTable Table, const Event &Next) {
  const TimePoint Now = at(Next.TimeMs);
  switch (Next.Type) {
  case Event::List:
    return onPlatformList(std::move(Table), {entry("a", Next.Life)}, Now);
  case Event::ListLeaving:
    return onPlatformList(std::move(Table),
                          {entry("a", Next.Life, MemberState::Leaving)}, Now);
  case Event::ListDrop:
    return onPlatformList(std::move(Table), {}, Now);
  case Event::Introduce:
    return onIntroduction(std::move(Table), entry("a", Next.Life), Now);
  case Event::Heartbeat:
    return onHeartbeat(std::move(Table), A, Next.Life, Now);
  case Event::LinkLost:
    return onLinkLost(std::move(Table), A, Now);
  case Event::Leave:
    return onAnnouncedLeaving(std::move(Table), A, Next.Life, Now);
  case Event::Tick:
    break;
  }
  return onTick(std::move(Table), Now);
}

MemberState stateAfter(const std::vector<Event> &Events) {
  MemberTable Table;
  for (const Event &Next : Events)
    Table = apply(std::move(Table), Next);
  return stateOf(Table, A);
}

struct Row {
  const char *Description;
  std::vector<Event> Events;
  MemberState Expected;
};

void check(const std::vector<Row> &Rows) {
  for (const Row &Case : Rows) {
    BOOST_TEST_INFO(Case.Description);
    BOOST_TEST(stateAfter(Case.Events) == Case.Expected);
  }
}

std::vector<Event> generateHistory() {
  const int Count = *rc::gen::inRange(1, 60);
  std::vector<Event> Events;
  int NowMs = 0;
  for (int I = 0; I < Count; ++I) {
    NowMs += *rc::gen::element(0, 50, 500, 1500, 4000);
    Events.push_back({static_cast<Event::Kind>(*rc::gen::inRange(0, 8)), NowMs,
                      *rc::gen::inRange<Incarnation>(1, 4)});
  }
  return Events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Membership)

BOOST_AUTO_TEST_SUITE(PlatformList)

BOOST_AUTO_TEST_CASE(ListedMembersAreLiveUntilSilentOrUnlisted) {
  check({
      {"an unknown instance is gone", {}, MemberState::Gone},
      {"listed and never heard", {{Event::List}}, MemberState::Live},
      {"listed, no connection can be opened",
       {{Event::List}, {Event::LinkLost, 10}},
       MemberState::Suspected},
      {"listed, but no connection for long",
       {{Event::List},
        {Event::LinkLost, 10},
        {Event::Tick, 1510},
        {Event::List, 2}},
       MemberState::Gone},
      {"dropped", {{Event::List}, {Event::ListDrop, 10}}, MemberState::Gone},
      {"dropped and listed again",
       {{Event::List}, {Event::ListDrop, 10}, {Event::List, 20}},
       MemberState::Live},
      {"dropped while its heartbeats arrive",
       {{Event::List}, {Event::Heartbeat, 10}, {Event::ListDrop, 20}},
       MemberState::Live},
      {"dropped and then silent",
       {{Event::List},
        {Event::Heartbeat, 10},
        {Event::ListDrop, 20},
        {Event::Tick, 1510}},
       MemberState::Gone},
      {"listed as leaving", {{Event::ListLeaving}}, MemberState::Leaving},
      {"heard, then listed as leaving",
       {{Event::List}, {Event::Heartbeat, 10}, {Event::ListLeaving, 20}},
       MemberState::Leaving},
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Heartbeats)

BOOST_AUTO_TEST_CASE(SilentMembersAreSuspectedThenGoneAndReturnWithAHeartbeat) {
  const Event Heard{Event::Introduce, 0};
  check({
      {"just short of three periods",
       {Heard, {Event::Tick, 1499}},
       MemberState::Live},
      {"three periods", {Heard, {Event::Tick, 1500}}, MemberState::Suspected},
      {"six periods",
       {Heard, {Event::Tick, 1500}, {Event::Tick, 3000}},
       MemberState::Gone},
      {"suspected and heard",
       {Heard, {Event::Tick, 1500}, {Event::Heartbeat, 1600}},
       MemberState::Live},
      {"gone and heard",
       {Heard,
        {Event::Tick, 1500},
        {Event::Tick, 3000},
        {Event::Heartbeat, 3100}},
       MemberState::Live},
      {"gone and only listed",
       {Heard, {Event::Tick, 1500}, {Event::Tick, 3000}, {Event::List, 3100}},
       MemberState::Gone},
      {"a broken connection needs no silence",
       {Heard, {Event::LinkLost, 100}},
       MemberState::Suspected},
      {"after a pause of this process, peers are suspected first",
       {Heard, {Event::Tick, 60000}},
       MemberState::Suspected},
      {"after a pause of this process, peers have time to send a heartbeat",
       {Heard,
        {Event::Tick, 60000},
        {Event::Heartbeat, 60100},
        {Event::Tick, 61500}},
       MemberState::Live},
  });
}

BOOST_AUTO_TEST_CASE(GoneMembersAreForgottenAfterTheTimeout) {
  MemberTable Table = onIntroduction({}, entry("a"), at(0));
  Table = onTick(std::move(Table), at(1500));
  Table = onTick(std::move(Table), at(3000));
  Table = onTick(std::move(Table), at(602999));
  BOOST_TEST(Table.Members.size() == 1U);
  Table = onTick(std::move(Table), at(603000));
  BOOST_TEST(Table.Members.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RestartsAndLeaving)

BOOST_AUTO_TEST_CASE(ANewIncarnationPermanentlyReplacesTheOldOne) {
  check({
      {"a leaving process is restarted",
       {{Event::ListLeaving}, {Event::Introduce, 10, 2}},
       MemberState::Live},
      {"the list still shows the old one leaving",
       {{Event::List}, {Event::Introduce, 10, 2}, {Event::ListLeaving, 20}},
       MemberState::Live},
      {"the announcement of the old one arrives late",
       {{Event::Introduce, 0, 2}, {Event::Leave, 10, 1}},
       MemberState::Live},
      {"the old one's heartbeat does not hide the new one's silence",
       {{Event::Introduce, 0, 2},
        {Event::Heartbeat, 1400},
        {Event::Tick, 1500}},
       MemberState::Suspected},
  });
  const MemberTable Table = onIntroduction({}, entry("a", 2), at(0));
  BOOST_TEST(stateOf(Table, A, 1) == MemberState::Gone);
  BOOST_TEST(stateOf(Table, A, 2) == MemberState::Live);
}

BOOST_AUTO_TEST_CASE(ALeavingIncarnationNeverBecomesLiveAgain) {
  BOOST_TEST(rc::check([] {
    MemberTable Table;
    std::map<Incarnation, bool> WasLeaving;
    for (const Event &Next : generateHistory()) {
      Table = apply(std::move(Table), Next);
      if (!Table.Members.count(A))
        continue;
      const Member &Known = Table.Members[A].Known;
      if (Known.State == MemberState::Leaving)
        WasLeaving[Known.Life] = true;
      RC_ASSERT(!WasLeaving[Known.Life] || Known.State >= MemberState::Leaving);
    }
  }));
}

BOOST_AUTO_TEST_CASE(TheKnownIncarnationNeverDecreases) {
  BOOST_TEST(rc::check([] {
    MemberTable Table;
    Table.Timing.ForgetTimeout = std::chrono::hours(1);
    Incarnation Highest = 0;
    for (const Event &Next : generateHistory()) {
      Table = apply(std::move(Table), Next);
      const auto Found = Table.Members.find(A);
      const Incarnation Life =
          Found == Table.Members.end() ? 0 : Found->second.Known.Life;
      RC_ASSERT(Life >= Highest);
      Highest = Life;
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Table)

BOOST_AUTO_TEST_CASE(MembersAreSelectedByStateRoleAndRegion) {
  Member Remote = entry("far");
  Remote.Region = RegionId("costa");
  Member EndpointMember = entry("slot");
  EndpointMember.Kind = Role::Endpoint;
  const MemberTable Table = onLinkLost(
      onPlatformList({},
                     {entry("b", 1, MemberState::Leaving), entry("c"),
                      entry("a"), Remote, EndpointMember},
                     at(0)),
      InstanceId("c"), at(1));
  const auto CountOf = [&](MemberState LowestState) {
    return membersIn(Table, LowestState, Role::Entry, RegionId("andes")).size();
  };
  BOOST_TEST(CountOf(MemberState::Live) == 1U);
  BOOST_TEST(CountOf(MemberState::Suspected) == 2U);
  BOOST_TEST(CountOf(MemberState::Leaving) == 3U);
  BOOST_TEST(membersIn(Table, MemberState::Live, Role::Entry).size() == 2U);
  BOOST_TEST(membersIn(Table, MemberState::Live, Role::Endpoint).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AGoneMemberIsContactedWhileItIsListed) {
  MemberTable Table = onPlatformList({}, {entry("a"), entry("b")}, at(0));
  for (const char *Silent : {"a", "b"})
    Table = onLinkLost(std::move(Table), InstanceId(Silent), at(0));
  Table = onTick(std::move(Table), at(3000));
  BOOST_TEST(stateOf(Table, A) == MemberState::Gone);
  BOOST_TEST(membersToContact(Table).size() == 2U);
  Table = onPlatformList(std::move(Table), {entry("a")}, at(3001));
  BOOST_TEST_REQUIRE(membersToContact(Table).size() == 1U);
  BOOST_TEST(membersToContact(Table).front().Instance == A);
}

BOOST_AUTO_TEST_CASE(AMemberRoundTripsThroughJson) {
  Member Full = entry("a", 7, MemberState::Leaving);
  Full.Kind = Role::Endpoint;
  Full.Folder = FolderId("f-1");
  Full.Endpoint = EndpointId("asistente-3");
  Full.Serves = {"asistente", "escrow"};
  BOOST_TEST((Json(Full).get<Member>() == Full), Json(Full).dump());
  const Json Bare = {{"instance", "a"}};
  BOOST_CHECK_THROW(Bare.get<Member>(), Json::exception);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
