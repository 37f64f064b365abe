#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/RelayMetrics.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace tamarack;

namespace {

Route route(const std::string &Name, const std::string &Prefix,
            const std::string &Host = "shop.example") {
  Route Result;
  Result.Name = Name;
  Result.Host = Host;
  Result.PathPrefix = Prefix;
  Result.Services = {{ServiceId("s"), 1}};
  return Result;
}

std::string matchedRouteName(const std::string &Host,
                             const std::string &Target) {
  const Catalog Config{1,
                       {route("all", "/"), route("a", "/a/"),
                        route("ab", "/a/b/"),
                        route("other", "/a/", "x.example")},
                       {},
                       {}};
  const Route *Found = matchRoute(Config, Host, Target);
  return Found == nullptr ? "none" : Found->Name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CatalogTest)

BOOST_AUTO_TEST_CASE(MatchesTheLongestPrefixOfTheHost) {
  const std::tuple<const char *, const char *, const char *> Rows[] = {
      {"shop.example", "/a/b/c", "ab"},   {"shop.example", "/a/bc", "a"},
      {"shop.example", "/a", "all"},      {"shop.example", "/a/?q=/a/b/", "a"},
      {"SHOP.example:80", "/a/x", "a"},   {"x.example", "/a/b/c", "other"},
      {"nowhere.example", "/a/", "none"}, {"x.example", "/b/", "none"}};
  for (const auto &[Host, Target, Expected] : Rows)
    BOOST_TEST(matchedRouteName(Host, Target) == Expected,
               Host << Target << " matched " << matchedRouteName(Host, Target));
}

BOOST_AUTO_TEST_CASE(SplitsRequestsByWeight) {
  Route SplitRoute = route("split", "/");
  SplitRoute.Services = {{ServiceId("most"), 90}, {ServiceId("few"), 10}};
  int Few = 0;
  for (std::uint64_t Key = 0; Key < 1000; ++Key)
    if (chooseService(SplitRoute, Key).text() == "few")
      ++Few;
  BOOST_TEST(Few == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EntryMetrics)

BOOST_AUTO_TEST_CASE(AreAllDocumented) {
  std::ostringstream Page;
  Page << std::ifstream(TAMARACK_SOURCE_DIR "/docs/PLATFORM.md").rdbuf();
  for (const std::string &Name : relayMetricNames())
    BOOST_TEST(Page.str().find("| `" + Name + "`") != std::string::npos, Name);
}

BOOST_AUTO_TEST_CASE(AreSerializedAsText) {
  RelayMetrics Metrics;
  Metrics.countAnswer(200, std::chrono::milliseconds(20));
  Metrics.countRefusal(ErrorKind::Overloaded);
  Metrics.countRetry(RelayRetryReason::Broken);
  const std::string Text = Metrics.text();
  for (const char *Line : {"tamarack_answers_total{status=\"200\"} 1",
                           "tamarack_refusals_total{kind=\"overloaded\"} 1",
                           "tamarack_retries_total{reason=\"broken\"} 1",
                           "tamarack_answer_seconds_count 1"})
    BOOST_TEST(Text.find(Line) != std::string::npos, Line);
}

BOOST_AUTO_TEST_SUITE_END()
