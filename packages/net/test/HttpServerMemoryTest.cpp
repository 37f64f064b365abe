/// A server whose memory account is small.
#include "HttpServerFixture.h"

#include <vector>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr std::size_t AccountBytes = 8U << 20U;
const std::string LongRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";

struct SmallAccount : HttpServerFixture {
  SmallAccount()
      : Limited(
            Io, limits(), [this](HttpExchange &Call) { return answer(Call); },
            Account) {
    Server.close();
    BOOST_REQUIRE(Limited.listen("127.0.0.1:" + std::to_string(LimitedPort)));
  }

  static constexpr std::uint16_t LimitedPort = 19884;

  static HttpServerLimits limits() {
    HttpServerLimits Result;
    Result.MaxRequestBodyBytes = 2 * AccountBytes;
    return Result;
  }

  static std::string encodeRequest(std::size_t BodyBytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'b');
  }

  /// Sends \p Text on a new connection and returns what the server answers.
  std::string call(const std::string &Text) {
    RawClient Client(LimitedPort);
    for (std::size_t At = 0; At < Text.size(); At += PieceBytes) {
      Client.sendAll(Text.substr(At, PieceBytes));
      Io.poll();
    }
    runUntil([&] { return !Client.receive().empty() || Client.isEnded(); });
    return Client.receive();
  }

  /// Opens \p Count connections that send \p Text and then wait.
  void openStalled(std::size_t Count, const std::string &Text) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Stalled.emplace_back(LimitedPort);
      for (std::size_t At = 0; At < Text.size(); At += PieceBytes) {
        Stalled.back().sendAll(Text.substr(At, PieceBytes));
        Io.run_for(std::chrono::microseconds(200));
      }
    }
  }

  static constexpr std::size_t PieceBytes = 16U << 10U;
  const std::shared_ptr<MemoryAccount> Account =
      std::make_shared<MemoryAccount>(AccountBytes);
  HttpServer Limited;
  std::vector<RawClient> Stalled;
};

/// Whether \p Answer has this status.
bool hasStatus(const std::string &Answer, int Status) {
  return Answer.rfind("HTTP/1.1 " + std::to_string(Status), 0) == 0;
}

} // namespace

/// Guards against bodies and heads each of which is within its limit, and which
/// use up the memory together.
BOOST_FIXTURE_TEST_SUITE(AServerWithAMemoryAccount, SmallAccount)

BOOST_AUTO_TEST_SUITE(AnswersSmallRequests)

BOOST_AUTO_TEST_CASE(BesideLongBodiesThatStopBeforeTheirEnd) {
  openStalled(40, LongRequest + std::string(990000, 'b'));
  BOOST_TEST(Account->used() <= AccountBytes);
  BOOST_TEST(Limited.counts().RefusedForMemory > 0U);
  BOOST_TEST(hasStatus(call(GetRequest), 200));
  BOOST_TEST(hasStatus(call(encodeRequest(2000)), 200));
}

BOOST_AUTO_TEST_CASE(BesideManyHeadsThatStopBeforeTheirEnd) {
  openStalled(200, "GET / HTTP/1.1\r\nx-a: " + std::string(12000, 'a'));
  BOOST_TEST(Account->used() <= AccountBytes);
  BOOST_TEST(hasStatus(call(GetRequest), 200));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RefusesARequest)

BOOST_AUTO_TEST_CASE(ThatFitsLaterWithATimeToComeBack) {
  openStalled(4, LongRequest + std::string(990000, 'b'));
  const std::string Answer = call(encodeRequest(1000000));
  BOOST_TEST(hasStatus(Answer, 503));
  BOOST_TEST(Answer.find("\r\nRetry-After: 0.200\r\n") != std::string::npos);
  BOOST_TEST(Answer.find("\r\nConnection: close\r\n") != std::string::npos);
  BOOST_TEST(Started == 0);
}

BOOST_AUTO_TEST_CASE(ThatNeverFitsBeforeItsBodyArrives) {
  RawClient Client(LimitedPort);
  Client.sendAll(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n");
  BOOST_TEST(runUntil([&] { return !Client.receive().empty(); }));
  BOOST_TEST(hasStatus(Client.receive(), 413));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(GetsBackWhatARequestTook) {
  BOOST_TEST(hasStatus(call(encodeRequest(1000000)), 200));
  openStalled(3, LongRequest + std::string(990000, 'b'));
  BOOST_TEST(Account->used() > 2900000U);
  Stalled.clear();
  BOOST_TEST(runUntil([&] { return Limited.connections() == 0; }));
  BOOST_TEST(Account->used() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsTheBodyWhileItsHandlerRuns) {
  Held = true;
  RawClient Client(LimitedPort);
  Client.sendAll(encodeRequest(100000));
  BOOST_TEST(runUntil([&] { return Started == 1; }));
  BOOST_TEST(Account->used(MemoryUse::Requests) >= 100000U);
  Held = false;
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 1); }));
  BOOST_TEST(runUntil([&] { return Account->used() < 10000U; }));
}

BOOST_AUTO_TEST_SUITE_END()
