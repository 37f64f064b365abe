#include "Metrics.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

std::string readPage() {
  std::ifstream File(TAMARACK_SOURCE_DIR "/docs/METRICS.md");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// The names in the first column of the page's table, with type and label.
std::map<std::string, std::string> rowsOf(const std::string &Page) {
  const std::regex Row(R"(\| `(tamarack_\w+)` \| (\w+) \| ([^|]*) \|)");
  std::map<std::string, std::string> Rows;
  for (std::sregex_iterator At(Page.begin(), Page.end(), Row), End; At != End;
       ++At)
    Rows[At->str(1)] = At->str(2) + ", " + At->str(3);
  return Rows;
}

std::string expectedRow(const MetricRow &Row) {
  const std::string Total = "_total";
  const bool IsCounter = Row.Name.size() > Total.size() &&
                         Row.Name.compare(Row.Name.size() - Total.size(),
                                          Total.size(), Total) == 0;
  const std::string Label = Row.Label.empty() ? "none" : "`" + Row.Label + "`";
  return (IsCounter ? "counter, " : "histogram, ") + Label;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsOfAProcess)

BOOST_AUTO_TEST_SUITE(ThePageAndTheTable)

BOOST_AUTO_TEST_CASE(EveryNameOfTheTableStandsInThePageWithTypeAndLabel) {
  const auto Rows = rowsOf(readPage());
  for (const MetricRow &Row : metricTable()) {
    const auto Found = Rows.find(Row.Name);
    const std::string Actual = Found == Rows.end() ? "no row" : Found->second;
    BOOST_TEST(Actual == expectedRow(Row), Row.Name << ": expected "
                                                    << expectedRow(Row)
                                                    << ", found " << Actual);
  }
}

BOOST_AUTO_TEST_CASE(EveryNameInThePageStandsInTheTable) {
  std::set<std::string> Known;
  for (const MetricRow &Row : metricTable())
    Known.insert(Row.Name);
  const std::string Page = readPage();
  const std::regex Name(R"(tamarack_\w+)");
  for (std::sregex_iterator At(Page.begin(), Page.end(), Name), End; At != End;
       ++At)
    BOOST_TEST(Known.count(At->str()) == 1U,
               At->str() << " stands in METRICS.md, not in the table");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AScrape)

BOOST_AUTO_TEST_CASE(ShowsCountersWithTheirLabels) {
  const Metrics Measured([] {
    return std::vector<CounterValue>{{Counter::Refused, "overloaded", 3},
                                     {Counter::Refused, "timeout", 1},
                                     {Counter::CacheReleased, "", 7}};
  });
  const std::string Text = Measured.text();
  for (const char *Line : {"tamarack_refused_total{kind=\"overloaded\"} 3",
                           "tamarack_refused_total{kind=\"timeout\"} 1",
                           "tamarack_cache_released_total 7"})
    BOOST_TEST(Text.find(Line) != std::string::npos, "expected " << Line
                                                                 << " in\n"
                                                                 << Text);
}

BOOST_AUTO_TEST_CASE(CountsADurationInTheBucketOfItsSeconds) {
  Metrics Measured([] { return std::vector<CounterValue>(); });
  Measured.observe(Timing::Call, std::chrono::milliseconds(300));
  const std::string Text = Measured.text();
  for (const char *Line :
       {"tamarack_call_seconds_bucket{le=\"0.25\"} 0",
        "tamarack_call_seconds_bucket{le=\"0.5\"} 1",
        "tamarack_call_seconds_count 1", "tamarack_program_seconds_count 0"})
    BOOST_TEST(Text.find(Line) != std::string::npos, "expected " << Line
                                                                 << " in\n"
                                                                 << Text);
}

BOOST_AUTO_TEST_CASE(GivesEachCounterTheNameOfItsOwnRow) {
  BOOST_TEST(nameOf(Counter::Refused) == "tamarack_refused_total");
  BOOST_TEST(nameOf(Counter::WrongKeys) == "tamarack_wrong_keys_total");
  BOOST_TEST(nameOf(Counter::CacheReleased) == metricTable().back().Name);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
