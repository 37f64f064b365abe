#include "tamarack/relay/EndpointTable.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{Duration(1h)};

EndpointEntry entry(const std::string &Id, const std::string &DataCentre = "a",
                    EndpointState State = EndpointState::Ready) {
  return {EndpointId(Id),
          ServiceId("llm"),
          "10.0.0.1:" + Id,
          DataCentreId(DataCentre),
          16,
          State,
          0};
}

EndpointEntry entryWithVersion(const std::string &Id,
                               const std::string &Version) {
  EndpointEntry Result = entry(Id);
  Result.Version = SoftwareVersion(Version);
  return Result;
}

struct EndpointTableFixture {
  EndpointTableFixture()
      : Endpoints({[](const DataCentreId &DataCentre) {
          return DataCentre.text() == "a"   ? 0
                 : DataCentre.text() == "b" ? 1
                                            : 2;
        }}) {}

  std::string chosenEndpoint(const std::string &Key,
                             std::set<EndpointId> Exclude = {},
                             const std::string &Last = "") {
    const std::vector<PromptPart> Prompt = {{"shared", 12000}, {Key, 4000}};
    const auto Choice =
        Endpoints.choose({ServiceId("llm"), Key,
                          Key.empty() ? std::vector<PromptPart>() : Prompt,
                          EndpointId(Last), std::move(Exclude)},
                         Now);
    return Choice ? Choice->Endpoint.text() : "none";
  }
  void addRunning(const std::string &Id, int Requests) {
    for (int Count = 0; Count < Requests; ++Count)
      Endpoints.onRequestStarted(EndpointId(Id), Now);
  }
  /// Makes the prompt of a finished turn of the program \p Key cached there.
  void cachePromptAt(const std::string &Id, const std::string &Key) {
    Endpoints.onRequestStarted(EndpointId(Id), Now,
                               {{"shared", 12000}, {Key, 3500}}, 400000);
    Endpoints.onRequestEnded(EndpointId(Id));
  }

  EndpointTable Endpoints;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointTableTest, EndpointTableFixture)

BOOST_AUTO_TEST_SUITE(ForPrograms)

BOOST_AUTO_TEST_CASE(PrefersTheEndpointThatCachedThePrompt) {
  Endpoints.replace({entry("1"), entry("2"), entry("3", "b")}, Now);
  for (const char *Id : {"1", "2", "3"}) {
    const std::string Key = std::string("program-at-") + Id;
    cachePromptAt(Id, Key);
    addRunning(Id, 3);
    BOOST_TEST(chosenEndpoint(Key) == Id);
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheCacheWhenTheListIsReplaced) {
  for (int Round = 0; Round < 3; ++Round) {
    Endpoints.replace({entry("1"), entry("2")}, Now);
    cachePromptAt("2", "program-7");
    BOOST_TEST(chosenEndpoint("program-7") == "2");
  }
}

/// Guards against a turn that is sent to a restarted endpoint for a cache that
/// its predecessor had. Not all endpoints publish when they started.
BOOST_AUTO_TEST_CASE(DropsTheCacheOfAnEndpointThatComesBackAtAnotherVersion) {
  Endpoints.replace({entryWithVersion("1", "v1"), entry("2"), entry("3")}, Now);
  cachePromptAt("1", "program-7");
  addRunning("1", 1);
  BOOST_TEST(chosenEndpoint("program-7") == "1");
  Endpoints.replace({entryWithVersion("1", "v2"), entry("2"), entry("3")}, Now);
  BOOST_TEST(chosenEndpoint("program-7") != "1");
}

BOOST_AUTO_TEST_CASE(PrefersTheEndpointOfTheLastTurn) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  for (const char *Id : {"1", "2"})
    BOOST_TEST(chosenEndpoint("program-7", {}, Id) == Id);
}

BOOST_AUTO_TEST_CASE(PrefersAnEndpointThatCachedASharedPart) {
  Endpoints.replace({entry("1"), entry("2"), entry("3")}, Now);
  cachePromptAt("2", "other-program");
  BOOST_TEST(chosenEndpoint("program-7") == "2");
}

BOOST_AUTO_TEST_CASE(SpreadsProgramsOverTheDataCentre) {
  Endpoints.replace({entry("1"), entry("2"), entry("3")}, Now);
  std::map<std::string, int> Count;
  for (int Program = 0; Program < 300; ++Program)
    ++Count[chosenEndpoint("program-" + std::to_string(Program))];
  for (const char *Id : {"1", "2", "3"})
    BOOST_TEST(Count[Id] > 60, Id << " got " << Count[Id] << " of 300");
}

BOOST_AUTO_TEST_CASE(SpreadsProgramsThatRunOverTheRegion) {
  Endpoints.replace({entry("1"), entry("2"), entry("3", "b")}, Now);
  std::map<std::string, int> Count;
  for (int Program = 0; Program < 300; ++Program) {
    const std::string Id = chosenEndpoint("program-" + std::to_string(Program));
    ++Count[Id];
    addRunning(Id, 1);
  }
  for (const char *Id : {"1", "2", "3"})
    BOOST_TEST(Count[Id] > 60, Id << " got " << Count[Id] << " of 300");
}

/// Load pattern: a release, in which the first endpoint of a version or the
/// last one serves beside others. A stream there could not be resumed after a
/// crash.
BOOST_AUTO_TEST_CASE(PrefersAVersionWithTwoEndpointsAtEqualCost) {
  Endpoints.replace({entryWithVersion("1", "v1"), entryWithVersion("2", "v2"),
                     entryWithVersion("3", "v2")},
                    Now);
  for (int Program = 0; Program < 50; ++Program)
    BOOST_TEST(chosenEndpoint("program-" + std::to_string(Program)) != "1");
  addRunning("2", 1);
  addRunning("3", 1);
  BOOST_TEST(chosenEndpoint("program-7") == "1");
}

BOOST_AUTO_TEST_CASE(MovesIfWaitingCostsMoreThanPrefilling) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  cachePromptAt("1", "program-7");
  addRunning("1", 3);
  BOOST_TEST(chosenEndpoint("program-7") == "1");
  addRunning("1", 5);
  BOOST_TEST(chosenEndpoint("program-7") == "2");
}

BOOST_AUTO_TEST_CASE(CountsTheLoadOfOtherEntries) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  const std::string First = chosenEndpoint("program-7");
  Endpoints.setRemoteNews({{{EndpointId(First), 4}}, {}, {}}, Now);
  BOOST_TEST(chosenEndpoint("program-7") != First);
  Endpoints.setRemoteNews({}, Now);
  BOOST_TEST(chosenEndpoint("program-7") == First);
}

BOOST_AUTO_TEST_CASE(IgnoresOutdatedLoadOfOtherEntries) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  const std::string First = chosenEndpoint("program-7");
  Endpoints.setRemoteNews({{{EndpointId(First), 9}}, {}, {}}, Now - 2s);
  BOOST_TEST(chosenEndpoint("program-7") == First);
}

/// Load pattern: many small programs in a region of several data centres, whose
/// prompts would fill the links between them.
BOOST_AUTO_TEST_CASE(StaysInTheDataCentreWhileItIsNoBusier) {
  Endpoints.replace({entry("1"), entry("2"), entry("3", "b"), entry("4", "b")},
                    Now);
  for (const char *Key : {"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"}) {
    const std::string Chosen = chosenEndpoint(Key);
    BOOST_TEST((Chosen == "1" || Chosen == "2"), Key << " went to " << Chosen);
  }
  addRunning("1", 1);
  addRunning("2", 1);
  const std::string Chosen = chosenEndpoint("p1");
  BOOST_TEST((Chosen == "3" || Chosen == "4"));
}

BOOST_AUTO_TEST_CASE(LeavesTheRegionOnlyIfItIsFull) {
  Endpoints.replace({entry("1"), entry("9", "far")}, Now);
  cachePromptAt("1", "program-7");
  addRunning("1", 8);
  BOOST_TEST(chosenEndpoint("program-7") == "1");
  addRunning("1", 24);
  BOOST_TEST(chosenEndpoint("program-7") == "9");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForSingleRequests)

BOOST_AUTO_TEST_CASE(PrefersTheLeastBusyEndpointInTheRegion) {
  Endpoints.replace({entry("1"), entry("2", "b"), entry("9", "far")}, Now);
  BOOST_TEST(chosenEndpoint("") == "1");
  addRunning("1", 1);
  BOOST_TEST(chosenEndpoint("") == "2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Exclusion)

BOOST_AUTO_TEST_CASE(SkipsDrainingEndpoints) {
  Endpoints.replace({entry("1", "a", EndpointState::Draining), entry("2")},
                    Now);
  BOOST_TEST(chosenEndpoint("") == "2");
  Endpoints.replace({entry("1", "a", EndpointState::Draining)}, Now);
  BOOST_TEST(chosenEndpoint("") == "none");
}

BOOST_AUTO_TEST_CASE(UsesAFailedEndpointOnlyIfThereIsNoOther) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  Endpoints.onFailure(EndpointId("1"), Now);
  BOOST_TEST(chosenEndpoint("") == "2");
  BOOST_TEST(chosenEndpoint("", {EndpointId("2")}) == "1");
}

BOOST_AUTO_TEST_CASE(SkipsOtherVersionsThanTheRequiredOne) {
  Endpoints.replace({entryWithVersion("1", "v1"), entryWithVersion("2", "v2")},
                    Now);
  EndpointQuery Query;
  Query.Service = ServiceId("llm");
  Query.Version = SoftwareVersion("v2");
  addRunning("2", 20);
  Endpoints.onFailure(EndpointId("2"), Now);
  BOOST_REQUIRE(Endpoints.choose(Query, Now));
  BOOST_TEST(Endpoints.choose(Query, Now)->Endpoint.text() == "2");
  Query.Version = SoftwareVersion("v3");
  BOOST_TEST(!Endpoints.choose(Query, Now));
}

BOOST_AUTO_TEST_CASE(SkipsExcludedEndpoints) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  BOOST_TEST(chosenEndpoint("", {EndpointId("1"), EndpointId("2")}) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnnouncedShutdown)

BOOST_AUTO_TEST_CASE(ExcludesTheEndpointEvenIfThereIsNoOther) {
  Endpoints.replace({entry("1")}, Now);
  BOOST_TEST(Endpoints.onLeaving(EndpointId("1"), Now));
  BOOST_TEST(!Endpoints.onLeaving(EndpointId("1"), Now));
  BOOST_TEST(chosenEndpoint("") == "none");
}

BOOST_AUTO_TEST_CASE(OutlastsTheListing) {
  Endpoints.replace({entry("1"), entry("2")}, Now);
  Endpoints.onLeaving(EndpointId("1"), Now);
  Endpoints.replace({entry("1"), entry("2")}, Now);
  BOOST_TEST(chosenEndpoint("", {EndpointId("2")}) == "none");
  Endpoints.replace({entry("2")}, Now + 1s);
  Endpoints.replace({entry("1"), entry("2")}, Now + 4s);
  BOOST_TEST(chosenEndpoint("", {EndpointId("2")}) == "none");
}

BOOST_AUTO_TEST_CASE(EndsWithANewStartOfTheEndpoint) {
  Endpoints.replace({entry("1")}, Now);
  Endpoints.onLeaving(EndpointId("1"), Now);
  EndpointEntry Restarted = entry("1");
  Restarted.StartedAt = 5;
  Endpoints.replace({Restarted}, Now);
  BOOST_TEST(chosenEndpoint("") == "1");
}

BOOST_AUTO_TEST_CASE(EndsWhenTheEndpointComesBackAtAnotherVersion) {
  Endpoints.replace({entryWithVersion("1", "v1")}, Now);
  Endpoints.onLeaving(EndpointId("1"), Now);
  Endpoints.replace({entryWithVersion("1", "v2")}, Now);
  BOOST_TEST(chosenEndpoint("") == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StaleConnections)

BOOST_AUTO_TEST_CASE(AreReportedForRemovedMovedAndRestartedEndpoints) {
  Endpoints.replace({entry("1"), entry("2"), entry("3"), entry("4")}, Now);
  EndpointEntry Moved = entry("2");
  Moved.Address = "10.0.0.9:2";
  EndpointEntry Restarted = entry("3");
  Restarted.StartedAt = 5;
  std::vector<std::string> Stale =
      Endpoints.replace({Moved, Restarted, entry("4")}, Now);
  std::sort(Stale.begin(), Stale.end());
  BOOST_TEST((Stale == std::vector<std::string>{"10.0.0.1:1", "10.0.0.1:2",
                                                "10.0.0.1:3"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
