#include "OwnerModel.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {

namespace {

constexpr int NominalSize = 100;
constexpr int MaxHistoryLength = 1500;
constexpr std::uint32_t LargestDraw = 1U << 30U;

rc::Gen<std::vector<std::uint32_t>> histories() {
  const auto Draws = rc::gen::resize(
      NominalSize, rc::gen::inRange<std::uint32_t>(0, LargestDraw));
  return rc::gen::resize(MaxHistoryLength,
                         rc::gen::container<std::vector<std::uint32_t>>(Draws));
}

void add(test::Coverage &Total, const test::Coverage &Seen) {
  Total.Takeovers += Seen.Takeovers;
  Total.Executions += Seen.Executions;
  Total.NotRun += Seen.NotRun;
  Total.Fenced += Seen.Fenced;
  Total.Unknown += Seen.Unknown;
  Total.Repairs += Seen.Repairs;
  Total.Refills += Seen.Refills;
  Total.Joined += Seen.Joined;
  Total.Stored += Seen.Stored;
  Total.Voided += Seen.Voided;
  Total.LostFolders += Seen.LostFolders;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Histories)

BOOST_AUTO_TEST_CASE(invariantsHoldUnderFaultsAtAnyStep) {
  test::Coverage Total;
  unsigned Count = 0;
  std::size_t Steps = 0;
  BOOST_TEST(rc::check("all invariants hold at every step", [&] {
    const std::vector<std::uint32_t> Draws = *histories();
    test::ClusterModel Model;
    for (const std::uint32_t Draw : Draws) {
      Model.step(Draw);
      if (!Model.Violations.empty())
        RC_FAIL(Model.Violations.front());
    }
    Model.recoverAndCheck();
    if (!Model.Violations.empty())
      RC_FAIL(Model.Violations.front());
    add(Total, Model.Seen);
    ++Count;
    Steps += Draws.size();
  }));
  BOOST_TEST_MESSAGE(
      Steps << " steps, " << Count << " histories: " << Total.Takeovers
            << " take-overs, " << Total.Executions << " executions, "
            << Total.NotRun << " answered not run, " << Total.Fenced
            << " fenced, " << Total.Unknown << " unknown, " << Total.Repairs
            << " repairs, " << Total.Refills << " refills, " << Total.Joined
            << " joined, " << Total.Stored << " stored, " << Total.Voided
            << " voided, " << Total.LostFolders << " folders lost");
  for (const unsigned Seen :
       {Total.Takeovers, Total.Executions, Total.NotRun, Total.Fenced,
        Total.Unknown, Total.Repairs, Total.Refills, Total.Joined, Total.Stored,
        Total.Voided, Total.LostFolders})
    BOOST_TEST(Seen >= Count / 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
