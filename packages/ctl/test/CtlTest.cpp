#include "tamarack/ctl/Ctl.h"

#include "FakeEntry.h"
#include "tamarack/config/OperatorApi.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace tamarack;

namespace {

/// A run of the tool with a key file of its own.
class Run {
public:
  Run() {
    std::ofstream("ctl-test.key") << "operators-key\n";
    Options.KeyFile = "ctl-test.key";
    Options.Author = "ana";
  }
  ~Run() { std::remove("ctl-test.key"); }
  Run(const Run &) = delete;
  Run &operator=(const Run &) = delete;

  ExitCode operator()(const std::string &Entry,
                      const std::vector<std::string> &Words) {
    Options.Entry = Entry;
    Out.str("");
    Err.str("");
    return runCtl(Words, Options, Out, Err);
  }

  CtlOptions Options;
  std::ostringstream Out;
  std::ostringstream Err;
};

std::string refusalOf(ErrorKind Kind, NotRun Proof) {
  return errorBody({Kind, "said the entry", Proof, {}}).dump();
}

bool holds(const std::ostringstream &Text, const std::string &Part) {
  return Text.str().find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Tamarackctl)

BOOST_AUTO_TEST_CASE(SendsTheKeyAndTheRequest) {
  FakeEntry Entry(200, R"({"revision": 8})");
  Run Tool;
  Tool.Options.Service = "payout";
  Tool.Options.Reason = "slow bank";
  const ExitCode Code =
      Tool(Entry.address(), {"exception", "add", "tool_timeout_ms", "90000"});
  BOOST_TEST((Code == ExitCode::Ok), Tool.Err.str());
  BOOST_TEST(Tool.Out.str() == "Accepted as revision 8.\n");
  BOOST_TEST(Entry.Authorization == "Bearer operators-key");
  BOOST_TEST(Entry.Method + " " + Entry.Path == "POST /v1/exceptions");
  BOOST_TEST(Json::parse(Entry.Body)["reason"] == "slow bank");
}

BOOST_AUTO_TEST_CASE(TellsOutcomesApartByTheExitCode) {
  struct Case {
    int Status;
    std::string Answer;
    ExitCode Code;
    const char *Says;
  };
  const std::vector<Case> Cases = {
      {200, "{}", ExitCode::Ok, ""},
      {401, refusalOf(ErrorKind::Unauthorized, NotRun::Proved),
       ExitCode::Unauthorized, "(not run)"},
      {401, "no", ExitCode::Unauthorized, "401"},
      {409, refusalOf(ErrorKind::RevisionConflict, NotRun::Proved),
       ExitCode::Conflict, "revision_conflict"},
      {409, refusalOf(ErrorKind::LimitReached, NotRun::Proved),
       ExitCode::Refused, "limit_reached"},
      {503, refusalOf(ErrorKind::PlatformUnavailable, NotRun::Proved),
       ExitCode::Refused, "said the entry (not run)"},
      {502, refusalOf(ErrorKind::OutcomeUnknown, NotRun::Unproved),
       ExitCode::Refused, "outcome_unknown: said the entry\n"},
      {500, "<html>", ExitCode::Refused, "status 500"},
      {200, "<html>", ExitCode::Refused, "no JSON"},
      {0, "", ExitCode::Unreachable, "not known whether"},
  };
  for (const Case &Row : Cases) {
    FakeEntry Entry(Row.Status, Row.Answer);
    Run Tool;
    const ExitCode Code = Tool(Entry.address(), {"program", "end", "p"});
    BOOST_TEST((Code == Row.Code), Row.Status
                                       << " " << Row.Answer << ": expected "
                                       << static_cast<int>(Row.Code) << ", got "
                                       << static_cast<int>(Code));
    BOOST_TEST(holds(Tool.Err, Row.Says),
               "expected \"" << Row.Says << "\" in: " << Tool.Err.str());
    BOOST_TEST(!holds(Tool.Err, "operators-key"), "the key is never shown");
  }
}

BOOST_AUTO_TEST_CASE(SaysWhetherAnUnansweredRequestMayHaveTakenEffect) {
  // Connections wait in the backlog of a socket that nobody accepts from.
  Poco::Net::ServerSocket Silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string Address = Silent.address().toString();
  Run Tool;
  Tool.Options.TimeoutMs = "50";
  BOOST_TEST((Tool(Address, {"drain", "x"}) == ExitCode::Unreachable));
  BOOST_TEST(holds(Tool.Err, "not known whether"), Tool.Err.str());
  Silent.close();
  BOOST_TEST((Tool(Address, {"drain", "x"}) == ExitCode::Unreachable));
  BOOST_TEST(holds(Tool.Err, "can't reach the entry"), Tool.Err.str());
  BOOST_TEST(holds(Tool.Err, "(not run)"), Tool.Err.str());
}

BOOST_AUTO_TEST_CASE(RefusesWrongFlagsAsUsage) {
  Run Tool;
  for (const char *Entry : {"", "localhost:1", "127.0.0.1", "127.0.0.1:0",
                            "127.0.0.1:70000", "127.0.0.1:1x"})
    BOOST_TEST((Tool(Entry, {"status"}) == ExitCode::Usage), Entry);
  Tool.Options.TimeoutMs = "soon";
  BOOST_TEST((Tool("127.0.0.1:1", {"status"}) == ExitCode::Usage));
  Tool.Options.KeyFile = "/nowhere";
  BOOST_TEST((Tool("127.0.0.1:1", {"status"}) == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(WritesOneJsonValueWhenAsked) {
  Run Tool;
  Tool.Options.Json = true;
  FakeEntry Good(200, R"({"instance": "entry-1"})");
  Tool(Good.address(), {"status"});
  BOOST_TEST(Json::parse(Tool.Out.str())["instance"] == "entry-1");
  FakeEntry Bad(409, refusalOf(ErrorKind::RevisionConflict, NotRun::Proved));
  Tool(Bad.address(), {"status"});
  BOOST_TEST(Json::parse(Tool.Out.str())["error"]["kind"] ==
             "revision_conflict");
  Tool("nowhere", {"status"});
  BOOST_TEST(Json::parse(Tool.Out.str())["error"]["not_run"] == true);
}

BOOST_AUTO_TEST_SUITE_END()
