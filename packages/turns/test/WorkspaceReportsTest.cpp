/// Load pattern: many entries report their use of workspaces some times a
/// second, and are restarted or cut off meanwhile.
#include "tamarack/turns/WorkspaceReports.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};
const WorkspaceId Acme("acme");
const WorkspaceId Birch("birch");

struct WorkspaceReportsFixture {
  WorkspaceNews report(const std::string &Entry, UseByWorkspace Use,
                       TimePoint Now, const std::string &Process = "1",
                       std::set<WorkspaceId> NearLimit = {}) {
    return Reports.exchange(
        {InstanceId(Entry), Process, 5s, std::move(Use), std::move(NearLimit)},
        Now);
  }
  WorkspaceReports Reports{Start};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkspaceReportsTest, WorkspaceReportsFixture)

BOOST_AUTO_TEST_CASE(SumUpWhatTheOthersReported) {
  report("a", {{Acme, {10, 2, 3, 2, 1}}}, Start);
  report("b", {{Acme, {20, 4, 6, 3, 2}}}, Start);
  const WorkspaceNews News = report("c", {{Acme, {1, 0, 1, 0, 0}}}, Start + 1s);
  BOOST_TEST((News.Use.at(Acme) == WorkspaceUse{30, 6, 9, 5, 3}));
  BOOST_TEST(News.Reporters == 2U);
  BOOST_TEST((News.KnownFor == 1s));
}

BOOST_AUTO_TEST_CASE(AreReplacedByLaterOnes) {
  report("a", {{Acme, {10, 0, 3, 0, 0}}, {Birch, {1, 0, 1, 0, 0}}}, Start);
  report("a", {{Acme, {4, 0, 1, 0, 0}}}, Start + 1s);
  const WorkspaceNews News = report("b", {{Acme, {}}, {Birch, {}}}, Start + 1s);
  BOOST_TEST((News.Use.at(Acme) == WorkspaceUse{4, 0, 1, 0, 0}));
  BOOST_TEST((News.Use.at(Birch) == WorkspaceUse()));
}

/// Guards against entries that are all restarted at once and send as much again
/// as they did before.
BOOST_AUTO_TEST_CASE(CountForTheWindowAfterTheProcessHasEnded) {
  report("a", {{Acme, {10, 1, 3, 1, 1}}}, Start);
  BOOST_TEST(report("a", {{Acme, {}}}, Start + 2s, "2").Use.at(Acme).Sent ==
             10U);
  BOOST_TEST((report("a", {{Acme, {}}}, Start + 5s, "2").Use.at(Acme) ==
              WorkspaceUse{10, 1, 0, 0, 0}));
  BOOST_TEST((report("a", {{Acme, {}}}, Start + 6s, "2").Use.at(Acme) ==
              WorkspaceUse()));
}

BOOST_AUTO_TEST_CASE(TellHowManyEntriesReportNow) {
  report("a", {}, Start);
  report("a", {}, Start + 2s, "2");
  report("b", {}, Start);
  BOOST_TEST(report("c", {}, Start + 2s).Reporters == 1U);
}

BOOST_AUTO_TEST_CASE(TellAllEntriesOfWorkspacesNearTheirLimits) {
  report("a", {{Acme, {9, 0, 0, 0, 0}}, {Birch, {1, 0, 0, 0, 0}}}, Start, "1",
         {Acme});
  const WorkspaceNews News = report("b", {}, Start);
  BOOST_TEST(News.Use.size() == 1U);
  BOOST_TEST(News.Use.at(Acme).Sent == 9U);
  report("a", {{Acme, {1, 0, 0, 0, 0}}}, Start + 1s);
  BOOST_TEST(report("b", {}, Start + 1s).Use.empty());
}

BOOST_AUTO_TEST_CASE(AreDecodedAsTheyWereEncoded) {
  const WorkspaceReport Report{
      InstanceId("a"), "7", 5s, {{Acme, {1, 2, 3, 4, 5}}}, {Acme}};
  BOOST_TEST((Json(Report).get<WorkspaceReport>() == Report));
  const WorkspaceNews News{{{Acme, {1, 2, 3, 4, 5}}}, 17, 3s};
  BOOST_TEST((Json(News).get<WorkspaceNews>() == News));
}

BOOST_AUTO_TEST_SUITE_END()
