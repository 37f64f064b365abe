/// Load pattern: endpoints close idle connections while the entry stands still
/// between the choice of a connection and the write of its request.
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

struct EndpointConnectionsFixture : RelayFixture {
  EndpointConnectionsFixture() {
    listEndpoints({0});
    // A request asks for the age when its route is found, and then between the
    // choice of a connection and the write.
    MeasureCatalogAge = [this] {
      if (ClosesBeforeWrite && ++Questions == 2)
        Endpoints[0]->closeConnections();
      return CatalogAge;
    };
  }

  bool ClosesBeforeWrite = false;
  int Questions = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionsToEndpoints, EndpointConnectionsFixture)

/// Guards against a 502 for a request of which no byte was sent, as its
/// endpoint had closed the idle connection that was chosen for it.
BOOST_AUTO_TEST_SUITE(ThatEndBeforeTheWrite)

BOOST_AUTO_TEST_CASE(CarryNoRequestThatMayNotBeRepeated) {
  setResponses({{signedResponse("done")}});
  BOOST_TEST(sendRequest("/once/a", {{"Id", "1"}}, "b").Head.Status == 200);
  ClosesBeforeWrite = true;
  const HttpResponse Response = sendRequest("/once/a", {{"Id", "2"}}, "b");
  BOOST_TEST(Response.Head.Status == 200);
  BOOST_TEST(Response.Body == "done");
  BOOST_TEST(requestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(CarryNoTurn) {
  setResponses({{completeStream(2)}});
  BOOST_TEST(sendTurn("1", "1000").Head.Status == 200);
  ClosesBeforeWrite = true;
  BOOST_TEST(sendTurn("2", "1000").Head.Status == 200);
  BOOST_TEST(requestCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
