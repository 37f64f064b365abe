/// Load pattern: the process has no file descriptor left.
#include "RawCaller.h"
#include "RelayFixture.h"

#include <fcntl.h>
#include <sys/resource.h>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Lets this process open no further file descriptor.
class NoDescriptors {
public:
  NoDescriptors() {
    BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
    const int LowestFree = ::open("/dev/null", O_RDONLY);
    BOOST_REQUIRE(LowestFree >= 0);
    ::close(LowestFree);
    rlimit None = Before;
    None.rlim_cur = static_cast<rlim_t>(LowestFree);
    BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &None) == 0);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &Before); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before{};
};

std::string rawRequest(const std::string &Id) {
  return "POST /once/a HTTP/1.1\r\nHost: h\r\nId: " + Id +
         "\r\nContent-Length: 1\r\n\r\nb";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryWithoutFreeDescriptors, RelayFixture)

/// Guards against requests without an answer when no connection to an endpoint
/// can be opened.
BOOST_AUTO_TEST_CASE(RefusesRequestsThatNeedANewConnectionAsNotRun) {
  setResponses({{signedResponse("done")}});
  listEndpoints({0});
  RawCaller Caller(Io, EntryAddress);
  BOOST_TEST(await(Caller.send(rawRequest("1"))).Status == 200);
  Pool.forget("127.0.0.1:" + std::to_string(FirstEndpointPort));
  {
    const NoDescriptors Here;
    BOOST_TEST(await(Caller.send(rawRequest("2"))).Status == 503);
  }
  BOOST_TEST(await(Caller.send(rawRequest("3"))).Status == 200);
  BOOST_TEST(requestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(ServesRequestsOverIdleConnections) {
  setResponses({{signedResponse("done")}});
  listEndpoints({0});
  RawCaller Caller(Io, EntryAddress);
  BOOST_TEST(await(Caller.send(rawRequest("1"))).Status == 200);
  const NoDescriptors Here;
  BOOST_TEST(await(Caller.send(rawRequest("2"))).Status == 200);
}

/// Connections wait in the listen queue, and callers get their answer late.
BOOST_AUTO_TEST_CASE(AcceptsConnectionsOnceThereAreSome) {
  setResponses({{signedResponse("done")}});
  Tcp::socket Caller(Io);
  Caller.connect(*parseAddress(EntryAddress));
  const std::string Request = rawRequest("1");
  asio::write(Caller, asio::buffer(Request));
  std::size_t Handlers = 0;
  {
    const NoDescriptors Here;
    Handlers = Io.run_for(300ms);
  }
  // The loop must not spin meanwhile.
  BOOST_TEST(Handlers < 1000U);
  BOOST_TEST(requestCount() == 0U);
  until([&] { return Caller.available() > 0; });
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
