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

struct Table {
  Table()
      : Endpoints({[](const DataCentreId &To) {
          return To.text() == "a" ? 0 : To.text() == "b" ? 1 : 2;
        }}) {}

  std::string chosen(const std::string &Key, std::set<EndpointId> Exclude = {},
                     const std::string &Last = "") {
    const std::vector<PromptPart> Prompt = {{"shared", 12000}, {Key, 4000}};
    const auto Choice =
        Endpoints.choose({ServiceId("llm"), Key,
                          Key.empty() ? std::vector<PromptPart>() : Prompt,
                          EndpointId(Last), std::move(Exclude)},
                         Now);
    return Choice ? Choice->Endpoint.text() : "none";
  }
  void occupy(const std::string &Id, int Requests) {
    for (int Count = 0; Count < Requests; ++Count)
      Endpoints.started(EndpointId(Id));
  }
  /// A turn of \p Key ran there and its prompt is kept.
  void keepAt(const std::string &Id, const std::string &Key) {
    Endpoints.started(EndpointId(Id), {{"shared", 12000}, {Key, 3500}}, 400000);
    Endpoints.ended(EndpointId(Id));
  }

  EndpointTable Endpoints;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEndpointTable, Table)

BOOST_AUTO_TEST_SUITE(ForPrograms)

BOOST_AUTO_TEST_CASE(StaysWhereTheirPromptIsKept) {
  Endpoints.replace({entry("1"), entry("2"), entry("3", "b")});
  for (const char *Id : {"1", "2", "3"}) {
    const std::string Key = std::string("program-at-") + Id;
    keepAt(Id, Key);
    occupy(Id, 3);
    BOOST_TEST(chosen(Key) == Id);
  }
}

BOOST_AUTO_TEST_CASE(StaysThereWhenTheListOfEndpointsIsReadAgain) {
  for (int Reading = 0; Reading < 3; ++Reading) {
    Endpoints.replace({entry("1"), entry("2")});
    keepAt("2", "program-7");
    BOOST_TEST(chosen("program-7") == "2");
  }
}

BOOST_AUTO_TEST_CASE(StaysWhereAnotherEntrySentTheLastTurn) {
  Endpoints.replace({entry("1"), entry("2")});
  for (const char *Id : {"1", "2"})
    BOOST_TEST(chosen("program-7", {}, Id) == Id);
}

BOOST_AUTO_TEST_CASE(ReadsASharedPartWhereItIsKeptAlready) {
  Endpoints.replace({entry("1"), entry("2"), entry("3")});
  keepAt("2", "other-program");
  BOOST_TEST(chosen("program-7") == "2");
}

BOOST_AUTO_TEST_CASE(SpreadsProgramsOverTheRegion) {
  Endpoints.replace({entry("1"), entry("2"), entry("3", "b")});
  std::map<std::string, int> Count;
  for (int Program = 0; Program < 300; ++Program)
    ++Count[chosen("program-" + std::to_string(Program))];
  for (const char *Id : {"1", "2", "3"})
    BOOST_TEST(Count[Id] > 60, Id << " got " << Count[Id] << " of 300");
}

BOOST_AUTO_TEST_CASE(MovesWhereWaitingCostsMoreThanReadingThePromptAgain) {
  Endpoints.replace({entry("1"), entry("2")});
  keepAt("1", "program-7");
  occupy("1", 3);
  BOOST_TEST(chosen("program-7") == "1");
  occupy("1", 5);
  BOOST_TEST(chosen("program-7") == "2");
}

BOOST_AUTO_TEST_CASE(CountsWhatOtherEntriesRun) {
  Endpoints.replace({entry("1"), entry("2")});
  const std::string First = chosen("program-7");
  Endpoints.setRemoteLoad({{EndpointId(First), 4}}, Now);
  BOOST_TEST(chosen("program-7") != First);
  Endpoints.setRemoteLoad({}, Now);
  BOOST_TEST(chosen("program-7") == First);
}

BOOST_AUTO_TEST_CASE(ForgetsWhatSilentEntriesRan) {
  Endpoints.replace({entry("1"), entry("2")});
  const std::string First = chosen("program-7");
  Endpoints.setRemoteLoad({{EndpointId(First), 9}}, Now - 2s);
  BOOST_TEST(chosen("program-7") == First);
}

BOOST_AUTO_TEST_CASE(LeavesTheRegionOnlyWhenItIsFull) {
  Endpoints.replace({entry("1"), entry("9", "far")});
  keepAt("1", "program-7");
  occupy("1", 8);
  BOOST_TEST(chosen("program-7") == "1");
  occupy("1", 24);
  BOOST_TEST(chosen("program-7") == "9");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForSingleRequests)

BOOST_AUTO_TEST_CASE(TakesTheLeastBusyNearBy) {
  Endpoints.replace({entry("1"), entry("2", "b"), entry("9", "far")});
  BOOST_TEST(chosen("") == "1");
  occupy("1", 1);
  BOOST_TEST(chosen("") == "2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AvoidsAnEndpoint)

BOOST_AUTO_TEST_CASE(ThatLeaves) {
  Endpoints.replace({entry("1", "a", EndpointState::Draining), entry("2")});
  BOOST_TEST(chosen("") == "2");
  Endpoints.replace({entry("1", "a", EndpointState::Draining)});
  BOOST_TEST(chosen("") == "none");
}

BOOST_AUTO_TEST_CASE(ThatFailedAsLongAsThereIsAnother) {
  Endpoints.replace({entry("1"), entry("2")});
  Endpoints.failed(EndpointId("1"), Now);
  BOOST_TEST(chosen("") == "2");
  BOOST_TEST(chosen("", {EndpointId("2")}) == "1");
}

BOOST_AUTO_TEST_CASE(ThatWasTried) {
  Endpoints.replace({entry("1"), entry("2")});
  BOOST_TEST(chosen("", {EndpointId("1"), EndpointId("2")}) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NamesStaleConnections)

BOOST_AUTO_TEST_CASE(OfEndpointsThatAreGoneMovedOrRestarted) {
  Endpoints.replace({entry("1"), entry("2"), entry("3"), entry("4")});
  EndpointEntry Moved = entry("2");
  Moved.Address = "10.0.0.9:2";
  EndpointEntry Restarted = entry("3");
  Restarted.StartedAt = 5;
  std::vector<std::string> Stale =
      Endpoints.replace({Moved, Restarted, entry("4")});
  std::sort(Stale.begin(), Stale.end());
  BOOST_TEST((Stale == std::vector<std::string>{"10.0.0.1:1", "10.0.0.1:2",
                                                "10.0.0.1:3"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
