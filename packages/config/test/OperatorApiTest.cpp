#include "tamarack/config/OperatorApi.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(OperatorApi)

BOOST_AUTO_TEST_CASE(ReportsSurviveTheWayOverTheWire) {
  using std::chrono::microseconds;
  StatusReport Status{InstanceId("entry-1"), 7, "slow", true, {}, {}};
  Status.Instances = {{InstanceId("slot-1"), "endpoint", RegionId("andes"),
                       DataCentreId("andes-a"), "leaving", 6, 12}};
  Status.Counters = {{"refused_overloaded", 3}};
  BOOST_TEST((Json(Status).get<StatusReport>() == Status), Json(Status));

  Explanation Report{CallId("c"),
                     ProgramId("andes:p/s"),
                     CustomerId("x"),
                     InstanceId("entry-1"),
                     CallClass::High,
                     "refused",
                     "overloaded",
                     "The queue is full.",
                     7,
                     {"e"},
                     {},
                     {}};
  Report.Candidates = {{EndpointId("asistente-1"), microseconds(1500),
                        microseconds(20'000), microseconds(40), 900, true,
                        "cheapest"}};
  Report.Attempts = {{1, EndpointId("asistente-1"), "answered"}};
  BOOST_TEST((Json(Report).get<Explanation>() == Report), Json(Report));
  BOOST_TEST((Json::object().get<Explanation>() == Explanation()));
}

BOOST_AUTO_TEST_SUITE_END()
