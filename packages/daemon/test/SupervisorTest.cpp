#include "Supervisor.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace tamarack::internal;

namespace {

using Names = std::vector<std::string>;

/// Parts that write down their starts and stops.
struct RecordedParts {
  Names Events;

  /// A part whose first \p Failures starts fail.
  SupervisedPart part(const std::string &Name, unsigned Failures = 0) {
    return {Name,
            [this, Name, Failures]() mutable -> Expected<void> {
              Events.push_back("start " + Name);
              if (Failures == 0)
                return {};
              --Failures;
              return refuse(ErrorKind::PlatformUnavailable, Name + " failed");
            },
            [this, Name] { Events.push_back("stop " + Name); }};
  }
};

const RestartLimits AtOnce{3, Duration(0)};

} // namespace

BOOST_AUTO_TEST_SUITE(ASupervisor)

BOOST_AUTO_TEST_CASE(StartsInOrderAndStopsInReverseOrder) {
  RecordedParts Parts;
  Supervisor Root("root", AtOnce);
  Root.add(Parts.part("peers"));
  Root.add(Parts.part("callers"));
  BOOST_TEST(Root.start().has_value());
  BOOST_TEST(Root.running() == (Names{"peers", "callers"}),
             boost::test_tools::per_element());
  Root.stop();
  const Names Expected{"start peers", "start callers", "stop callers",
                       "stop peers"};
  BOOST_TEST(Parts.Events == Expected, boost::test_tools::per_element());
  BOOST_TEST(Root.running().empty());
}

BOOST_AUTO_TEST_CASE(StopsEachPartOnce) {
  RecordedParts Parts;
  {
    Supervisor Root("root", AtOnce);
    Root.add(Parts.part("peers"));
    BOOST_TEST(Root.start().has_value());
    Root.stop();
    Root.stop();
  }
  const Names Expected{"start peers", "stop peers"};
  BOOST_TEST(Parts.Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE(WhenAPartFailsToStart)

BOOST_AUTO_TEST_CASE(TriesItAgainWithinTheLimit) {
  RecordedParts Parts;
  Supervisor Root("root", AtOnce);
  Root.add(Parts.part("platform", 2));
  BOOST_TEST(Root.start().has_value());
  BOOST_TEST(Parts.Events.size() == 3U);
  BOOST_TEST(Root.running() == Names{"platform"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(StopsThePartsBeforeItAndReturnsItsError) {
  RecordedParts Parts;
  Supervisor Root("root", AtOnce);
  Root.add(Parts.part("peers"));
  Root.add(Parts.part("platform", 3));
  Root.add(Parts.part("callers"));
  const Expected<void> Started = Root.start();
  BOOST_REQUIRE(!Started.has_value());
  BOOST_TEST(Started.error().Kind == ErrorKind::PlatformUnavailable);
  BOOST_TEST(Started.error().Message == "platform failed");
  const Names Expected{"start peers", "start platform", "start platform",
                       "start platform", "stop peers"};
  BOOST_TEST(Parts.Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
