#include "Trial.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr std::uint64_t Seeds[] = {1, 2, 3};
constexpr double MinGoodputRatio = 0.95;
constexpr double FirstTokenTargetSeconds = 1.8;

TrialResult run(const WorkloadKinds &Kinds, double Load, std::uint64_t Seed,
                TrialPolicy Policy = TrialPolicy::Gate) {
  TrialSettings Settings;
  Settings.Kinds = Kinds;
  Settings.Size.Load = Load;
  Settings.Size.Seed = Seed;
  Settings.Policy = Policy;
  return runTrial(Settings);
}

double tokensPerMinute(const TrialResult &Result) {
  return static_cast<double>(Result.UsefulTokens) / Result.Minutes;
}

template <typename Function> void forEachWorkloadAndSeed(const Function &Body) {
  for (const WorkloadKinds &Kinds : {obrador(), liftara()}) {
    for (std::uint64_t Seed : Seeds) {
      BOOST_TEST_CONTEXT(Kinds.Name << ", seed " << Seed)
      Body(Kinds, Seed);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DoubleLoad)

BOOST_AUTO_TEST_CASE(KeepsGoodputOfSingleLoad) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult SingleResult = run(Kinds, 1, Seed);
    const TrialResult DoubleResult = run(Kinds, 2, Seed);
    BOOST_TEST(tokensPerMinute(DoubleResult) >=
               MinGoodputRatio * tokensPerMinute(SingleResult));
    BOOST_TEST(static_cast<double>(DoubleResult.finished()) >=
               MinGoodputRatio * static_cast<double>(SingleResult.finished()));
  });
}

BOOST_AUTO_TEST_CASE(HighMeetsFirstTokenTarget) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const ClassResult High = run(Kinds, 2, Seed).Classes[CallClass::High];
    BOOST_TEST(percentile(High.FirstTokenSeconds, 0.95) <=
               FirstTokenTargetSeconds);
  });
}

BOOST_AUTO_TEST_CASE(LowKeepsReservedShare) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Result = run(Kinds, 2, Seed);
    const double LowReservedShare =
        AdmissionLimits().ReservedShare[CallClass::Low];
    BOOST_TEST(Result.LowShareWhileWaiting >= LowReservedShare);
    BOOST_TEST(Result.Classes[CallClass::Low].Finished > 0U);
  });
}

BOOST_AUTO_TEST_CASE(RefusesOnArrivalAndBreaksNoProgram) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Result = run(Kinds, 2, Seed);
    BOOST_TEST(Result.RefusedOnArrival > 0U);
    BOOST_TEST(Result.RefusedLater == 0U);
    BOOST_TEST(Result.Expired == 0U);
    for (const ClassResult &Class : Result.Classes.Values)
      BOOST_TEST(Class.Broken == 0U);
  });
}

BOOST_AUTO_TEST_CASE(FinishesMoreUrgentProgramsThanWithoutAdmission) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Gate = run(Kinds, 2, Seed);
    const TrialResult None = run(Kinds, 2, Seed, TrialPolicy::NoAdmission);
    BOOST_TEST(Gate.Classes[CallClass::High].Finished >
               10 * None.Classes[CallClass::High].Finished);
  });
}

BOOST_AUTO_TEST_SUITE_END()
