/// Holds the table of error kinds in docs/REFERENCE.md to the code.
#include "tamarack/base/Error.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace tamarack;

namespace {

struct PageRow {
  int HttpStatus = 0;
  std::string RetryAfter;
};

std::map<std::string, PageRow> rowsOfPage() {
  std::ifstream File(TAMARACK_SOURCE_DIR "/docs/REFERENCE.md");
  std::stringstream Text;
  Text << File.rdbuf();
  const std::string Page = Text.str();
  const std::regex Row(R"(\| `(\w+)` \| (\d{3}) \| (none|\d+ s) \|)");
  std::map<std::string, PageRow> Rows;
  for (std::sregex_iterator At(Page.begin(), Page.end(), Row), End; At != End;
       ++At)
    Rows[At->str(1)] = {std::stoi(At->str(2)), At->str(3)};
  return Rows;
}

std::string retryAfterText(const ErrorAnswer &Row) {
  return Row.RetryAfter.count() == 0
             ? "none"
             : std::to_string(Row.RetryAfter.count()) + " s";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ThePageOfErrorKinds)

BOOST_AUTO_TEST_CASE(NamesEveryKindWithItsStatusAndRetryAfter) {
  const auto Rows = rowsOfPage();
  for (const ErrorAnswer &Row : errorTable()) {
    const auto Found = Rows.find(Row.Name);
    BOOST_TEST((Found != Rows.end()), Row.Name << " has no row in the page");
    if (Found == Rows.end())
      continue;
    BOOST_TEST(Found->second.HttpStatus == Row.HttpStatus,
               Row.Name << ": expected " << Row.HttpStatus << ", found "
                        << Found->second.HttpStatus);
    BOOST_TEST(Found->second.RetryAfter == retryAfterText(Row),
               Row.Name << ": expected " << retryAfterText(Row) << ", found "
                        << Found->second.RetryAfter);
  }
}

BOOST_AUTO_TEST_CASE(NamesNoKindThatTheCodeLacks) {
  for (const auto &[Name, Row] : rowsOfPage())
    BOOST_TEST(answerOf(errorKindOf(Name)).Name == Name,
               Name << " stands in REFERENCE.md, not in the table");
}

BOOST_AUTO_TEST_SUITE_END()
