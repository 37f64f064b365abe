#include "tamarack/routing/Health.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {
namespace {

const HealthLimits Limits;
const EndpointId A("0");

TimePoint at(int Seconds) { return TimePoint(std::chrono::seconds(Seconds)); }

std::vector<EndpointId> endpoints(std::size_t Count) {
  std::vector<EndpointId> Built;
  for (std::size_t I = 0; I < Count; ++I)
    Built.emplace_back(std::to_string(I));
  return Built;
}

FleetHealth failing(FleetHealth Fleet, const EndpointId &Endpoint, int Times,
                    TimePoint Now = at(0)) {
  for (int I = 0; I < Times; ++I)
    Fleet = onFailure(std::move(Fleet), Endpoint, Limits, Now);
  return Fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointHealthOfAFleet)

BOOST_AUTO_TEST_CASE(FiveFailuresInARowEject) {
  FleetHealth Fleet = onFleet({}, endpoints(10), Limits);
  Fleet = failing(std::move(Fleet), A, 4);
  BOOST_TEST(!isEjected(Fleet, A));
  Fleet = failing(onSuccess(std::move(Fleet), A), A, 4);
  BOOST_TEST(!isEjected(Fleet, A));
  Fleet = failing(std::move(Fleet), A, 1);
  BOOST_TEST(isEjected(Fleet, A));
}

BOOST_AUTO_TEST_CASE(AProbeBringsItBackOrEjectsItForTwiceAsLong) {
  FleetHealth Fleet = onFleet({}, endpoints(10), Limits);
  Fleet = failing(std::move(Fleet), A, 5);
  BOOST_TEST(!probeDue(Fleet, at(4)).has_value());
  BOOST_TEST_REQUIRE(probeDue(Fleet, at(5)).has_value());
  Fleet = onProbeSent(std::move(Fleet), A, Limits, at(5));
  BOOST_TEST(!probeDue(Fleet, at(6)).has_value(), "one probe at a time");
  Fleet = failing(std::move(Fleet), A, 1, at(6));
  BOOST_TEST(!probeDue(Fleet, at(15)).has_value(), "ten seconds from 6 s");
  BOOST_TEST(probeDue(Fleet, at(16)).has_value());
  Fleet = onProbeSent(std::move(Fleet), A, Limits, at(16));
  BOOST_TEST(probeDue(Fleet, at(26)).has_value(), "a lost probe");
  Fleet = onSuccess(std::move(Fleet), A);
  BOOST_TEST(!isEjected(Fleet, A));
  BOOST_TEST(Fleet.Endpoints[A].Ejections == 2U);
  Fleet = onSuccess(std::move(Fleet), A);
  BOOST_TEST(Fleet.Endpoints[A].Ejections == 0U);
}

BOOST_AUTO_TEST_CASE(CallsSentBeforeTheEjectionDoNotProlongIt) {
  FleetHealth Fleet = onFleet({}, endpoints(10), Limits);
  Fleet = failing(std::move(Fleet), A, 50);
  BOOST_TEST(probeDue(Fleet, at(5)).has_value());
}

BOOST_AUTO_TEST_CASE(EjectionTimesGrowToABound) {
  FleetHealth Fleet = onFleet({}, endpoints(10), Limits);
  Fleet = failing(std::move(Fleet), A, 5);
  for (int I = 0; I < 40; ++I) {
    Fleet = onProbeSent(std::move(Fleet), A, Limits, at(0));
    Fleet = failing(std::move(Fleet), A, 1);
  }
  BOOST_TEST((Fleet.Endpoints[A].ProbeAt == at(300)));
}

BOOST_AUTO_TEST_CASE(NeverMoreThanABoundedShareIsEjected) {
  BOOST_TEST(rc::check([] {
    std::size_t Size = *rc::gen::inRange<std::size_t>(1, 20);
    FleetHealth Fleet = onFleet({}, endpoints(Size), Limits);
    const int Steps = *rc::gen::inRange(0, 300);
    for (int I = 0; I < Steps; ++I) {
      const EndpointId Endpoint(
          std::to_string(*rc::gen::inRange<std::size_t>(0, 20)));
      const int What = *rc::gen::inRange(0, 20);
      if (What == 0) {
        Size = *rc::gen::inRange<std::size_t>(1, 20);
        Fleet = onFleet(std::move(Fleet), endpoints(Size), Limits);
      } else if (What == 1)
        Fleet = onSuccess(std::move(Fleet), Endpoint);
      else if (What == 2)
        Fleet = onProbeSent(std::move(Fleet), Endpoint, Limits, at(I));
      else
        Fleet = failing(std::move(Fleet), Endpoint, 3, at(I));
      RC_ASSERT(Fleet.Endpoints.size() == Size);
      RC_ASSERT(ejectedCount(Fleet) <= mostEjected(Size, Limits));
    }
  }));
  BOOST_TEST(mostEjected(1, Limits) == 0U);
  BOOST_TEST(mostEjected(3, Limits) == 1U);
  BOOST_TEST(mostEjected(14, Limits) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
