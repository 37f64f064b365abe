#include "tamarack/ctl/Command.h"

#include "Flags.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <gflags/gflags.h>

using namespace tamarack;

namespace {

using Words = std::vector<std::string>;

CtlOptions optionsOfAna() {
  CtlOptions Options;
  Options.Author = "ana";
  return Options;
}

/// A document in a file of its own, removed at the end.
class DocumentFile {
public:
  explicit DocumentFile(const std::string &Text)
      : Path("ctl-test-document.json") {
    std::ofstream(Path) << Text;
  }
  ~DocumentFile() { std::remove(Path.c_str()); }
  DocumentFile(const DocumentFile &) = delete;
  DocumentFile &operator=(const DocumentFile &) = delete;
  const std::string Path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLineOfTheTool)

BOOST_AUTO_TEST_CASE(EachCommandIsOneRequest) {
  struct Case {
    Words Given;
    const char *Method;
    const char *Path;
    Json Body;
  };
  const std::vector<Case> Cases = {
      {{"status"}, "GET", "/v1/status", Json()},
      {{"config", "show"}, "GET", "/v1/config", Json()},
      {{"config", "history"}, "GET", "/v1/config/history", Json()},
      {{"exception", "list"}, "GET", "/v1/config", Json()},
      {{"exception", "remove", "a b"},
       "DELETE",
       "/v1/exceptions/a%20b",
       Json()},
      {{"program", "show", "andes:p/s"},
       "GET",
       "/v1/programs/andes%3Ap%2Fs",
       Json()},
      {{"program", "end", "p"}, "DELETE", "/v1/programs/p", Json()},
      {{"drain", "slot-1"}, "POST", "/v1/drain", {{"instance", "slot-1"}}},
      {{"explain", "c?1"}, "GET", "/v1/explain/c%3F1", Json()},
  };
  for (const Case &Row : Cases) {
    const auto Request = parseCommand(Row.Given, optionsOfAna());
    BOOST_TEST_REQUIRE(Request.has_value(), Request.error());
    BOOST_TEST(Request->Method == Row.Method, Row.Path);
    BOOST_TEST(Request->Path == Row.Path);
    BOOST_TEST(Request->Body == Row.Body, Row.Path);
  }
  CtlOptions Options;
  Options.Program = "andes:p";
  BOOST_TEST(parseCommand({"explain", "c"}, Options)->Path ==
             "/v1/explain/c?program=andes%3Ap");
}

BOOST_AUTO_TEST_CASE(AnExceptionCarriesScopeReasonAuthorAndEnd) {
  CtlOptions Options = optionsOfAna();
  Options.Customer = "clinic";
  Options.Model = "planner";
  Options.Reason = "pilot";
  Options.Until = "2026-12-24T18:00:00Z";
  const auto Request =
      parseCommand({"exception", "add", "max_turns", "9"}, Options);
  BOOST_TEST_REQUIRE(Request.has_value(), Request.error());
  BOOST_TEST(Request->Path == "/v1/exceptions");
  BOOST_TEST(Request->Body == Json::parse(R"({"id": "max_turns-clinic-planner",
               "scope": {"customer": "clinic", "model": "planner"},
               "setting": "max_turns", "value": 9, "reason": "pilot",
               "author": "ana", "until": "2026-12-24T18:00:00Z"})"));
}

BOOST_AUTO_TEST_CASE(ADocumentNamesTheRevisionItReplaces) {
  const DocumentFile File(R"({"author": "bob", "revision": 4})");
  CtlOptions Options = optionsOfAna();
  const auto Kept = parseCommand({"config", "set", File.Path}, Options);
  BOOST_TEST_REQUIRE(Kept.has_value(), Kept.error());
  BOOST_TEST(Kept->Body["expected_revision"] == 4);
  BOOST_TEST(Kept->Body["document"]["author"] == "ana");
  Options.ExpectedRevision = "7";
  const auto Given = parseCommand({"config", "set", File.Path}, Options);
  BOOST_TEST(Given->Body["expected_revision"] == 7);
}

BOOST_AUTO_TEST_CASE(AMistakeIsRefusedBeforeAnythingIsSent) {
  const DocumentFile File(R"({"author": "bob", "colour": 1})");
  CtlOptions Scoped = optionsOfAna();
  Scoped.Model = "m";
  CtlOptions Reasoned = Scoped;
  Reasoned.Reason = "pilot";
  CtlOptions NoScope = optionsOfAna();
  NoScope.Reason = "pilot";
  CtlOptions NotANumber = optionsOfAna();
  NotANumber.ExpectedRevision = "four";
  CtlOptions BadText = Reasoned;
  BadText.Reason = "caf\xe9";
  CtlOptions BadEnd = Reasoned;
  BadEnd.Until = "tomorrow";
  struct Case {
    Words Given;
    CtlOptions Options;
    const char *Says;
  };
  const std::vector<Case> Cases = {
      {{}, {}, "no command"},
      {{"frobnicate"}, {}, "no command \"frobnicate\""},
      {{"config"}, {}, "no command \"config\""},
      {{"status", "now"}, {}, "usage: tamarackctl status"},
      {{"drain"}, {}, "usage: tamarackctl drain INSTANCE"},
      {{"config", "set", "/nowhere"}, {}, "can't read /nowhere"},
      {{"config", "set", File.Path}, optionsOfAna(), "/colour: found 1"},
      {{"exception", "add", "class", "high"}, Scoped, "--reason"},
      {{"exception", "add", "class", "high"}, NoScope, "--customer"},
      {{"exception", "add", "speed", "9"}, Reasoned, "/setting"},
      {{"exception", "add", "class", "9"}, Reasoned, "one of high normal low"},
      {{"exception", "add", "class", "high"}, BadText, "not valid UTF-8"},
      {{"exception", "add", "class", "low"}, BadEnd, "/until"},
  };
  for (const Case &Row : Cases) {
    const auto Refused = parseCommand(Row.Given, Row.Options);
    BOOST_TEST_REQUIRE(!Refused.has_value(), Row.Says);
    BOOST_TEST(Refused.error().Message.find(Row.Says) != std::string::npos,
               "expected \"" << Row.Says << "\" in: " << Refused.error());
  }
}

BOOST_AUTO_TEST_CASE(FlagsStandAnywhereAndMistakesInThemAreRefused) {
  const gflags::FlagSaver Saver;
  const auto Line = readCommandLine(
      {"exception", "--json", "add", "--reason", "a b", "class", "--model=m"});
  BOOST_TEST_REQUIRE(Line.has_value(), Line.error());
  BOOST_TEST(Line->Words == (Words{"exception", "add", "class"}),
             boost::test_tools::per_element());
  BOOST_TEST(Line->Options.Reason == "a b");
  BOOST_TEST(Line->Options.Model == "m");
  BOOST_TEST(Line->Options.Json);
  for (const char *Wrong : {"--nope", "--json=maybe", "--reason", "-x"})
    BOOST_TEST(!readCommandLine({"status", Wrong}).has_value(), Wrong);
}

BOOST_AUTO_TEST_CASE(TheHelpNamesEveryCommandAndExitCode) {
  const std::string Help = helpText();
  for (const char *Text :
       {"status", "config show", "config set FILE", "config history",
        "exception add", "exception remove", "exception list", "program show",
        "program end", "drain", "explain", "--json", "budget_tokens",
        "5  another change was accepted first"})
    BOOST_TEST(Help.find(Text) != std::string::npos, Text);
}

BOOST_AUTO_TEST_SUITE_END()
