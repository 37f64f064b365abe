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

template <typename Check> void forEachWorkloadAndSeed(const Check &Checked) {
  for (const WorkloadKinds &Kinds : {obrador(), liftara()}) {
    for (std::uint64_t Seed : Seeds) {
      BOOST_TEST_CONTEXT(Kinds.Name << ", seed " << Seed)
      Checked(Kinds, Seed);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TwiceTheCapacityOffered)

BOOST_AUTO_TEST_CASE(KeepsTheGoodputOfOnce) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Once = run(Kinds, 1, Seed);
    const TrialResult Twice = run(Kinds, 2, Seed);
    BOOST_TEST(tokensPerMinute(Twice) >=
               MinGoodputRatio * tokensPerMinute(Once));
    BOOST_TEST(static_cast<double>(Twice.finished()) >=
               MinGoodputRatio * static_cast<double>(Once.finished()));
  });
}

BOOST_AUTO_TEST_CASE(LeavesHighItsFirstTokenTarget) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const ClassResult High = run(Kinds, 2, Seed).Classes[CallClass::High];
    BOOST_TEST(percentile(High.FirstTokenSeconds, 0.95) <=
               FirstTokenTargetSeconds);
  });
}

BOOST_AUTO_TEST_CASE(LeavesLowItsFloor) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Result = run(Kinds, 2, Seed);
    const double Floor = AdmissionLimits().ReservedShare[CallClass::Low];
    BOOST_TEST(Result.LowShareWhileWaiting >= Floor);
    BOOST_TEST(Result.Classes[CallClass::Low].Finished > 0U);
  });
}

BOOST_AUTO_TEST_CASE(IsRefusedOnArrivalAndBreaksNoProgram) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Result = run(Kinds, 2, Seed);
    BOOST_TEST(Result.RefusedOnArrival > 0U);
    BOOST_TEST(Result.RefusedLater == 0U);
    BOOST_TEST(Result.Expired == 0U);
    for (const ClassResult &Class : Result.Classes.Values)
      BOOST_TEST(Class.Broken == 0U);
  });
}

BOOST_AUTO_TEST_CASE(FinishesUrgentProgramsThatNoAdmissionLoses) {
  forEachWorkloadAndSeed([](const WorkloadKinds &Kinds, std::uint64_t Seed) {
    const TrialResult Gate = run(Kinds, 2, Seed);
    const TrialResult None = run(Kinds, 2, Seed, TrialPolicy::NoAdmission);
    BOOST_TEST(Gate.Classes[CallClass::High].Finished >
               10 * None.Classes[CallClass::High].Finished);
  });
}

BOOST_AUTO_TEST_SUITE_END()
