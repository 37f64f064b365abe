#include "tamarack/config/Settings.h"

#include "TemporaryFolder.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace tamarack;

namespace {

Json entryDocument() {
  return Json::parse(R"({
    "instance": "entry-1", "role": "entry", "region": "andes",
    "data_centre": "andes-a", "host": "127.0.0.1", "peer_port": 7100,
    "caller_port": 7101, "operator_port": 7102,
    "platform": {"host": "127.0.0.1", "port": 7900},
    "peer_key_file": "peer.key", "operator_key_file": "operator.key",
    "caller_keys_file": "callers.json"})");
}

Json endpointDocument() {
  return Json::parse(R"({
    "instance": "slot-1", "role": "endpoint", "region": "andes",
    "data_centre": "andes-a", "host": "127.0.0.1", "peer_port": 7200,
    "platform": {"host": "127.0.0.1", "port": 7900},
    "peer_key_file": "peer.key",
    "endpoint": {"name": "asistente-1", "kind": "engine",
                 "at": {"host": "127.0.0.1", "port": 8000},
                 "serves": ["asistente"], "checks_fence": true,
                 "max_batch": 16, "memory_tokens": 400000}})");
}

/// \p Document with each pointer of \p Changes set, or removed if discarded.
Json changed(Json Document, const std::map<std::string, Json> &Changes) {
  return Document.patch([&] {
    Json Patch = Json::array();
    for (const auto &[Pointer, Value] : Changes) {
      const bool Remove = Value == "(remove)";
      Patch.push_back({{"op", Remove ? "remove" : "add"},
                       {"path", Pointer},
                       {"value", Value}});
    }
    return Patch;
  }());
}

std::string textOf(const SettingsOutcome &Outcome) {
  std::ostringstream Text;
  if (const auto *Mistakes = mistakesIn(Outcome))
    for (const SettingsMistake &Mistake : *Mistakes)
      Text << Mistake << '\n';
  return Text.str();
}

const std::string ExpectedName =
    "expected a name: letters, digits, '.', '_' and '-', at most 64\n";

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsOfAProcess)

BOOST_AUTO_TEST_CASE(AnEntryGetsTheDefaultsItLeavesOut) {
  const SettingsOutcome Outcome = parseSettings(entryDocument());
  BOOST_TEST_REQUIRE(textOf(Outcome) == "");
  const Settings &Own = std::get<Settings>(Outcome);
  BOOST_TEST(Own.Instance == InstanceId("entry-1"));
  BOOST_TEST(Own.ShardCount == 64);
  BOOST_TEST((Own.HeartbeatEvery == std::chrono::seconds(1)));
  BOOST_TEST(Own.LogFormat == "text");
}

BOOST_AUTO_TEST_CASE(AnEndpointProcessKnowsItsEndpoint) {
  const SettingsOutcome Outcome = parseSettings(endpointDocument());
  BOOST_TEST_REQUIRE(textOf(Outcome) == "");
  const Settings &Own = std::get<Settings>(Outcome);
  BOOST_TEST_REQUIRE(Own.Endpoint.has_value());
  BOOST_TEST(Own.Endpoint->Name == EndpointId("asistente-1"));
  BOOST_TEST(Own.Endpoint->At.Port == 8000);
  BOOST_TEST(Own.Endpoint->Repeatable);
  BOOST_TEST(Own.Endpoint->MemoryTokens == 400000U);
}

BOOST_AUTO_TEST_CASE(AServiceHasNoMemoryOfTokens) {
  Json Document = endpointDocument();
  Document["endpoint"].erase("memory_tokens");
  Document["endpoint"]["kind"] = "service";
  Document["endpoint"]["repeatable"] = false;
  const SettingsOutcome Outcome = parseSettings(Document);
  BOOST_REQUIRE(mistakesIn(Outcome) == nullptr);
  const auto &Endpoint = *std::get<Settings>(Outcome).Endpoint;
  BOOST_TEST(Endpoint.MemoryTokens == 0);
  BOOST_TEST(!Endpoint.Repeatable);
}

BOOST_AUTO_TEST_SUITE(Mistakes)

struct Case {
  const char *Name;
  Json Document;
  std::string Report;
};

BOOST_AUTO_TEST_CASE(EachNamesItsPathWhatWasFoundAndWhatWasExpected) {
  const Json Entry = entryDocument();
  const Json Slot = endpointDocument();
  const std::vector<Case> Cases = {
      {"missing", changed(Entry, {{"/instance", "(remove)"}}),
       "/instance: found nothing, " + ExpectedName},
      {"wrong type", changed(Entry, {{"/peer_port", "7100"}}),
       "/peer_port: found \"7100\", expected a port from 1 to 65535\n"},
      {"out of bounds", changed(Entry, {{"/platform/port", 70000}}),
       "/platform/port: found 70000, expected a port from 1 to 65535\n"},
      {"not a whole number", changed(Entry, {{"/stop_limit_ms", 1.5}}),
       "/stop_limit_ms: found 1.5, expected milliseconds from 0 to 3600000\n"},
      {"host name", changed(Entry, {{"/host", "db.example"}}),
       "/host: found \"db.example\", expected an IP number\n"},
      {"two unknown keys", changed(Entry, {{"/colour", 1}, {"/a~1'b", "x"}}),
       "/a~1'b: found \"x\", expected no such key\n"
       "/colour: found 1, expected no such key\n"},
      {"unknown key inside", changed(Slot, {{"/endpoint/speed", 9}}),
       "/endpoint/speed: found 9, expected no such key\n"},
      {"unknown role", changed(Entry, {{"/role", "leader"}}),
       "/role: found \"leader\", expected \"entry\" or \"endpoint\"\n"},
      {"empty name", changed(Entry, {{"/region", ""}}),
       "/region: found \"\", " + ExpectedName},
      {"item", changed(Slot, {{"/endpoint/serves", {"asistente", 3}}}),
       "/endpoint/serves/1: found 3, expected a name of 1 to 128 "
       "characters\n"},
      {"entry with an endpoint",
       changed(Entry, {{"/endpoint", Slot["endpoint"]}}),
       "/endpoint: found " + Slot["endpoint"].dump().substr(0, 60) +
           "..., expected no such key, as the role is entry\n"},
      {"entry without callers", changed(Entry, {{"/caller_port", "(remove)"}}),
       "/caller_port: found nothing, expected a value, as the role is "
       "entry\n"},
      {"operators without a key", changed(Slot, {{"/operator_port", 7102}}),
       "/operator_key_file: found nothing, expected a value, as the role is "
       "endpoint with operator_port\n"},
      {"service that does not say whether calls may be repeated",
       changed(Slot, {{"/endpoint/kind", "service"},
                      {"/endpoint/memory_tokens", "(remove)"}}),
       "/endpoint/repeatable: found nothing, expected true or false: whether "
       "calls may be repeated\n"},
      {"limit below the heartbeat",
       changed(Entry, {{"/heartbeat_every_ms", 4000}}),
       "/silence_limit_ms: found 3000, expected more than "
       "heartbeat_every_ms, which is 4000\n"},
      {"same port twice", changed(Entry, {{"/operator_port", 7101}}),
       "/operator_port: found 7101, expected a port other than "
       "caller_port\n"},
      {"not an object", Json::array(),
       "/: found [], expected an object with the settings of one process\n"},
  };
  for (const Case &Row : Cases)
    BOOST_TEST(textOf(parseSettings(Row.Document)) == Row.Report,
               Row.Name << ": expected\n"
                        << Row.Report << "but got\n"
                        << textOf(parseSettings(Row.Document)));
}

BOOST_AUTO_TEST_CASE(AllAreReportedAtOnce) {
  const Json Document = changed(entryDocument(), {{"/instance", "(remove)"},
                                                  {"/peer_port", 0},
                                                  {"/colour", 1},
                                                  {"/platform/host", 7},
                                                  {"/log_level", "loud"},
                                                  {"/operator_port", 7101}});
  const SettingsOutcome Outcome = parseSettings(Document);
  BOOST_TEST_REQUIRE(mistakesIn(Outcome));
  BOOST_TEST(mistakesIn(Outcome)->size() == 6U, textOf(Outcome));
}

BOOST_AUTO_TEST_CASE(ALongTextIsCutBetweenCharacters) {
  std::string Long;
  for (int I = 0; I < 100; ++I)
    Long += "\u00e9";
  for (const char *Before : {"", "x"}) {
    const Json Report = textOf(
        parseSettings(changed(entryDocument(), {{"/region", Before + Long}})));
    BOOST_CHECK_NO_THROW(Report.dump());
  }
}

BOOST_AUTO_TEST_CASE(AnyValueAnywhereIsReportedAndNeverThrown) {
  const std::vector<Json> Odd = {Json(), true,           -1,
                                 1.5,    UINT64_MAX,     "",
                                 "x",    Json::array(),  Json::object(),
                                 {1, 2}, {{"host", {}}}, std::string(100, 'x')};
  for (const Json &Document : {entryDocument(), endpointDocument()}) {
    std::vector<std::string> Pointers = {"", "/endpoint", "/platform",
                                         "/endpoint/at", "/endpoint/serves"};
    const Json Flat = Document.flatten();
    for (const auto &Leaf : Flat.items())
      Pointers.push_back(Leaf.key());
    for (const std::string &Pointer : Pointers)
      for (const Json &Value : Odd) {
        Json Changed = Document;
        const Json::json_pointer Where(Pointer);
        if (!Pointer.empty() && !Changed.contains(Where.parent_pointer()))
          continue;
        Changed[Where] = Value;
        BOOST_CHECK_NO_THROW(parseSettings(Changed));
      }
  }
}

BOOST_AUTO_TEST_CASE(AFileThatIsNoJsonIsOneMistake) {
  for (const std::string Path : {"/nowhere.json", "/scripts/build"}) {
    const SettingsOutcome Outcome = loadSettings(TAMARACK_SOURCE_DIR + Path);
    BOOST_TEST_REQUIRE(mistakesIn(Outcome), Path);
    BOOST_TEST(mistakesIn(Outcome)->size() == 1U, textOf(Outcome));
  }
}

BOOST_AUTO_TEST_CASE(AKeyThatStandsTwiceIsAMistake) {
  const TemporaryFolder Folder;
  std::string Text = entryDocument().dump();
  Text.insert(1, R"("platform": {"port": 1, "port": 2}, )");
  const SettingsOutcome Outcome =
      loadSettings(Folder.write("settings.json", Text));
  BOOST_TEST(textOf(Outcome) ==
             "/platform: found the key more than once, expected the key once\n"
             "/platform/port: found the key more than once, expected the key "
             "once\n");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
