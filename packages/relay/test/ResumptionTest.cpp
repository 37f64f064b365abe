#include "tamarack/relay/Resumption.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const ServiceId Llm("llm");

EndpointEntry entry(const std::string &Id, const std::string &Version,
                    EndpointState State = EndpointState::Ready) {
  return {EndpointId(Id), Llm, "10.0.0.1:" + Id,        DataCentreId("a"), 16,
          State,          1,   SoftwareVersion(Version)};
}

struct ResumptionFixture {
  ResumptionFixture() {
    Facts.MatchedRoute.Services = {{Llm, 1}};
    Facts.Service = Llm;
  }

  void list(std::vector<EndpointEntry> Entries) {
    Endpoints.replace(std::move(Entries), TimePoint());
  }
  void setOrigin(const std::string &Endpoint, const std::string &Version) {
    Facts.Origin = StreamOrigin{
        1, 4s,
        EndpointProcess{
            EndpointId(Endpoint), 1, {Llm, SoftwareVersion(Version)}}};
  }
  /// The outcome, and the version at which the stream goes on.
  std::string decide() const {
    const ResumptionDecision Decision = decideResumption(Facts, Endpoints);
    return nameOf(Decision.Outcome) +
           (Decision.Target ? " " + Decision.Target->Version.text() : "");
  }

  EndpointTable Endpoints{{}};
  ResumptionFacts Facts;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AResumption, ResumptionFixture)

BOOST_AUTO_TEST_SUITE(OfAStreamOfKnownOrigin)

BOOST_AUTO_TEST_CASE(GoesOnAtItsVersion) {
  list({entry("1", "v1"), entry("2", "v2")});
  setOrigin("2", "v2");
  BOOST_TEST(decide() == "known_version v2");
}

BOOST_AUTO_TEST_CASE(GoesOnAtAnotherEndpointAfterItsOwnHasGone) {
  list({entry("1", "v1"), entry("2", "v2")});
  setOrigin("3", "v1");
  BOOST_TEST(decide() == "known_version v1");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfAllEndpointsOfItsVersionAreLeaving) {
  list({entry("1", "v1", EndpointState::Draining), entry("2", "v2")});
  setOrigin("1", "v1");
  BOOST_TEST(decide() == "version_unavailable");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfTheRouteNoLongerHasItsService) {
  list({entry("1", "v1")});
  setOrigin("1", "v1");
  Facts.MatchedRoute.Services = {{ServiceId("other"), 1}};
  BOOST_TEST(decide() == "version_unavailable");
}

BOOST_AUTO_TEST_CASE(GoesOnAtItsServiceAfterTheWeightsHaveChanged) {
  list({entry("1", "v1")});
  setOrigin("1", "v1");
  Facts.MatchedRoute.Services = {{ServiceId("other"), 9}, {Llm, 1}};
  Facts.Service = ServiceId("other");
  const ResumptionDecision Decision = decideResumption(Facts, Endpoints);
  BOOST_REQUIRE(Decision.Target);
  BOOST_TEST(Decision.Target->Service == Llm);
}

/// Guards against an endpoint that came back under its id at another version,
/// and began the stream there before the entry knew.
BOOST_AUTO_TEST_CASE(IsRefusedIfItsEndpointIsListedAtAnotherVersion) {
  list({entry("1", "v2"), entry("2", "v1")});
  setOrigin("1", "v1");
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfItsProcessIsInDoubt) {
  list({entry("1", "v1")});
  Facts.Origin = StreamOrigin{2, 4s, {}};
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAStreamOfUnknownOrigin)

BOOST_AUTO_TEST_CASE(GoesOnIfTheServiceHasOneVersion) {
  list({entry("1", "v1"), entry("2", "v1")});
  Facts.OriginVersions = {{Llm, SoftwareVersion("v1")},
                          {ServiceId("other"), SoftwareVersion("v2")}};
  BOOST_TEST(decide() == "only_version v1");
}

BOOST_AUTO_TEST_CASE(GoesOnIfNoEndpointStatesAVersion) {
  list({entry("1", ""), entry("2", "")});
  BOOST_TEST(decide() == "only_version ");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfTwoVersionsServe) {
  list({entry("1", "v1", EndpointState::Draining), entry("2", "v2")});
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfAnotherVersionBeganStreamsLately) {
  list({entry("2", "v2")});
  Facts.OriginVersions = {{Llm, SoftwareVersion("v1")}};
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfTheServiceThatBeganItIsUnknown) {
  list({entry("1", "v1")});
  Facts.IsServiceStable = false;
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfNoEndpointIsReady) {
  list({entry("1", "v1", EndpointState::Draining)});
  BOOST_TEST(decide() == "version_unavailable");
  list({});
  BOOST_TEST(decide() == "unknown_version");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
