#include "tamarack/routing/Health.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {
namespace {

const HealthLimits Limits;
const EndpointId A("0");

TimePoint at(int Seconds) { return TimePoint(std::chrono::seconds(Seconds)); }

std::vector<EndpointId> endpoints(std::size_t Count) {
  std::vector<EndpointId> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.emplace_back(std::to_string(I));
  return Result;
}

FleetHealth withFailures(FleetHealth Fleet, const EndpointId &Endpoint,
                         int Times, TimePoint Now = at(0)) {
  for (int I = 0; I < Times; ++I)
    Fleet = onFailure(std::move(Fleet), Endpoint, Limits, Now);
  return Fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HealthTest)

BOOST_AUTO_TEST_CASE(EjectsAfterFiveConsecutiveFailures) {
  FleetHealth Fleet = setFleet({}, endpoints(10), Limits);
  Fleet = withFailures(std::move(Fleet), A, 4);
  BOOST_TEST(!isEjected(Fleet, A));
  Fleet = withFailures(onSuccess(std::move(Fleet), A), A, 4);
  BOOST_TEST(!isEjected(Fleet, A));
  Fleet = withFailures(std::move(Fleet), A, 1);
  BOOST_TEST(isEjected(Fleet, A));
}

BOOST_AUTO_TEST_CASE(ProbesReinstateOrEjectForTwiceAsLong) {
  FleetHealth Fleet = setFleet({}, endpoints(10), Limits);
  Fleet = withFailures(std::move(Fleet), A, 5);
  BOOST_TEST(!nextDueProbe(Fleet, at(4)).has_value());
  BOOST_TEST_REQUIRE(nextDueProbe(Fleet, at(5)).has_value());
  Fleet = onProbeSent(std::move(Fleet), A, Limits, at(5));
  BOOST_TEST(!nextDueProbe(Fleet, at(6)).has_value(), "one probe at a time");
  Fleet = withFailures(std::move(Fleet), A, 1, at(6));
  BOOST_TEST(!nextDueProbe(Fleet, at(15)).has_value(),
             "ejected for ten seconds from 6 s on");
  BOOST_TEST(nextDueProbe(Fleet, at(16)).has_value());
  Fleet = onProbeSent(std::move(Fleet), A, Limits, at(16));
  BOOST_TEST(nextDueProbe(Fleet, at(26)).has_value(),
             "a lost probe is sent again");
  Fleet = onSuccess(std::move(Fleet), A);
  BOOST_TEST(!isEjected(Fleet, A));
  BOOST_TEST(Fleet.Endpoints[A].Ejections == 2U);
  Fleet = onSuccess(std::move(Fleet), A);
  BOOST_TEST(Fleet.Endpoints[A].Ejections == 0U);
}

BOOST_AUTO_TEST_CASE(IgnoresFailuresOfCallsSentBeforeTheEjection) {
  FleetHealth Fleet = setFleet({}, endpoints(10), Limits);
  Fleet = withFailures(std::move(Fleet), A, 50);
  BOOST_TEST(nextDueProbe(Fleet, at(5)).has_value());
}

BOOST_AUTO_TEST_CASE(BoundsTheEjectionTime) {
  FleetHealth Fleet = setFleet({}, endpoints(10), Limits);
  Fleet = withFailures(std::move(Fleet), A, 5);
  for (int I = 0; I < 40; ++I) {
    Fleet = onProbeSent(std::move(Fleet), A, Limits, at(0));
    Fleet = withFailures(std::move(Fleet), A, 1);
  }
  BOOST_TEST((Fleet.Endpoints[A].ProbeAt == at(300)));
}

BOOST_AUTO_TEST_CASE(BoundsTheEjectedShare) {
  BOOST_TEST(rc::check([] {
    std::size_t Size = *rc::gen::inRange<std::size_t>(1, 20);
    FleetHealth Fleet = setFleet({}, endpoints(Size), Limits);
    const int Steps = *rc::gen::inRange(0, 300);
    for (int I = 0; I < Steps; ++I) {
      const EndpointId Endpoint(
          std::to_string(*rc::gen::inRange<std::size_t>(0, 20)));
      const int Action = *rc::gen::inRange(0, 20);
      if (Action == 0) {
        Size = *rc::gen::inRange<std::size_t>(1, 20);
        Fleet = setFleet(std::move(Fleet), endpoints(Size), Limits);
      } else if (Action == 1)
        Fleet = onSuccess(std::move(Fleet), Endpoint);
      else if (Action == 2)
        Fleet = onProbeSent(std::move(Fleet), Endpoint, Limits, at(I));
      else
        Fleet = withFailures(std::move(Fleet), Endpoint, 3, at(I));
      RC_ASSERT(Fleet.Endpoints.size() == Size);
      RC_ASSERT(ejectedCount(Fleet) <= maxEjected(Size, Limits));
    }
  }));
  BOOST_TEST(maxEjected(1, Limits) == 0U);
  BOOST_TEST(maxEjected(3, Limits) == 1U);
  BOOST_TEST(maxEjected(14, Limits) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
