/// The samples and the pages that are held to the code.
#include "tamarack/config/OperatorDocument.h"
#include "tamarack/config/Settings.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace tamarack;
namespace fs = std::filesystem;

namespace {

const fs::path Root = TAMARACK_SOURCE_DIR;

std::string readText(const fs::path &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

struct Site {
  const char *Name;
  std::map<std::string, std::string> RegionByDataCentre;
  std::map<std::string, int> ReplicasByModel;
};

const std::vector<Site> Sites = {
    {"obrador",
     {{"andes-a", "andes"}, {"andes-b", "andes"}, {"costa-a", "costa"}},
     {{"asistente", 14}, {"mercado", 3}}},
    {"liftara",
     {{"cluj-a", "ro-nord"}, {"iasi-a", "ro-nord"}, {"buc-a", "ro-sud"}},
     {{"agent-models", 9}, {"field-ops", 3}}},
};

Settings loadSample(const fs::path &Path) {
  const SettingsOutcome Outcome = loadSettings(Path.string());
  if (const auto *Mistakes = mistakesIn(Outcome))
    for (const SettingsMistake &Mistake : *Mistakes)
      BOOST_ERROR(Path << ": " << Mistake);
  const auto *Loaded = std::get_if<Settings>(&Outcome);
  return Loaded ? *Loaded : Settings();
}

/// Every key of \p Schema and of the schemas in it.
void collectKeys(const Json &Schema, const std::string &Prefix,
                 std::map<std::string, Json> &Keys) {
  if (!Schema.contains("properties"))
    return;
  for (const auto &Property : Schema["properties"].items()) {
    const std::string Key = Prefix + Property.key();
    Keys[Key] = Property.value();
    collectKeys(Property.value(), Key + ".", Keys);
  }
}

/// The row of a Markdown table whose first cell is \p Key in backticks.
std::string rowOf(const std::string &Page, const std::string &Key) {
  const std::size_t Begin = Page.find("\n| `" + Key + "` |");
  if (Begin == std::string::npos)
    return {};
  return Page.substr(Begin + 1, Page.find('\n', Begin + 1) - Begin - 1);
}

void checkRow(const std::string &Page, const std::string &Key,
              const std::string &Default) {
  const std::string Row = rowOf(Page, Key);
  BOOST_TEST(!Row.empty(), "docs/CONFIGURATION.md has no row for " << Key);
  if (!Default.empty())
    BOOST_TEST(Row.find("| " + Default + " |") != std::string::npos,
               Key << ": expected the default " << Default << " in " << Row);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Samples)

BOOST_AUTO_TEST_CASE(AllSettingsAreValidAndHaveTheSizesOfToday) {
  for (const Site &Each : Sites) {
    const fs::path Folder = Root / "samples" / Each.Name;
    const Json Deployment = Json::parse(readText(Folder / "deployment.json"));
    std::map<std::string, int> Replicas;
    std::set<std::string> Listed = {"deployment.json", "operators.json"};
    std::set<std::string> EntryCentres;
    for (const char *Part : {"entries", "endpoints"})
      for (const Json &Row : Deployment.at(Part)) {
        const std::string File = Row.at("file").get<std::string>();
        const Settings Own = loadSample(Folder / File);
        Listed.insert(File);
        const auto Region = Each.RegionByDataCentre.find(Own.DataCentre.text());
        BOOST_TEST_REQUIRE((Region != Each.RegionByDataCentre.end()), File);
        BOOST_TEST(Own.Region.text() == Region->second, File);
        if (Own.Role == ProcessRole::Entry)
          EntryCentres.insert(Own.DataCentre.text());
        else if (Own.Endpoint->Kind == "engine")
          Replicas[Own.Endpoint->Serves.front()] +=
              Row.at("replicas").get<int>();
      }
    BOOST_TEST((Replicas == Each.ReplicasByModel), Each.Name);
    BOOST_TEST(EntryCentres.size() == Each.RegionByDataCentre.size());
    for (const auto &File : fs::directory_iterator(Folder))
      BOOST_TEST(Listed.count(File.path().filename().string()) == 1U,
                 File.path() << " is not in deployment.json");
  }
}

BOOST_AUTO_TEST_CASE(TheOperatorsDocumentsAreValid) {
  for (const Site &Each : Sites) {
    const fs::path Path = Root / "samples" / Each.Name / "operators.json";
    const auto Document = operatorDocumentFrom(Json::parse(readText(Path)));
    BOOST_TEST(Document.has_value(), Path << ": " << Document.error());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ConfigurationPage)

BOOST_AUTO_TEST_CASE(HasARowWithTheDefaultOfEveryKey) {
  const std::string Page = readText(Root / "docs" / "CONFIGURATION.md");
  std::map<std::string, Json> Keys;
  collectKeys(settingsSchema(), "", Keys);
  BOOST_TEST(Keys.size() > 20U);
  for (const auto &[Key, Schema] : Keys) {
    const Json Default = Schema.value("default", Json());
    checkRow(Page, Key,
             Default.is_string()   ? "`" + Default.get<std::string>() + "`"
             : Default.is_number() ? Default.dump()
                                   : "");
  }
  for (const SettingRule &Rule : settingRules()) {
    const Json Default = jsonOf(Rule.Default);
    checkRow(Page, Rule.Name,
             Default.is_string() ? "`" + Default.get<std::string>() + "`"
                                 : Default.dump());
  }
}

BOOST_AUTO_TEST_SUITE_END()
