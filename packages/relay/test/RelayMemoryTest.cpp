/// A relay whose memory account is small.
#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr std::size_t AccountBytes = 1U << 20U;

HttpCallLimits callLimits(const std::shared_ptr<MemoryAccount> &Account) {
  HttpCallLimits Result;
  Result.Memory = Account;
  return Result;
}

struct SmallAccount : RelayFixture {
  SmallAccount() {
    Limited.setCatalog(Routes);
    Limited.setEndpoints({{EndpointId("e0"), ServiceId("s"),
                           "127.0.0.1:" + std::to_string(FirstEndpointPort),
                           DataCentreId("a"), 64, EndpointState::Ready, 0}});
    EntryAddress = "127.0.0.1:19783";
    BOOST_REQUIRE(LimitedServer.listen(EntryAddress));
  }
  ~SmallAccount() { LimitedServer.close(); }

  RelayOptions limitedOptions() {
    RelayOptions Result = options();
    Result.Memory = Account;
    return Result;
  }

  /// Sends \p Count requests at once, and runs the loop until all are answered.
  /// Returns the most that they held.
  std::size_t sendAtOnce(int Count, const std::string &Target) {
    for (int Number = 0; Number < Count; ++Number)
      startRequest(Target, {{"Id", "r" + std::to_string(Number)},
                            {"Program", "p" + std::to_string(Number)},
                            {"Wait-Ms", "1500"}});
    std::size_t Peak = 0;
    until([&] {
      Peak = std::max(Peak, Account->used());
      return std::all_of(
          Results.begin(), Results.end(),
          [](const auto &Result) { return Result->Response.has_value(); });
    });
    return Peak;
  }

  const std::shared_ptr<MemoryAccount> Account =
      std::make_shared<MemoryAccount>(AccountBytes);
  ConnectionPool LimitedPool{Io, callLimits(Account)};
  Relay Limited{Io, limitedOptions(), Wire, Client, LimitedPool, Metrics};
  HttpServer LimitedServer{
      Io,
      {},
      [this](HttpExchange &Call) { return Limited.serve(Call); },
      Account};
};

ScriptedResponse endless(std::string Begin, std::string Piece) {
  ScriptedResponse Result;
  Result.Bytes = std::move(Begin);
  Result.Endless = std::move(Piece);
  return Result;
}

} // namespace

/// Guards against responses each of which is within its limit, and which use
/// up the memory together.
BOOST_FIXTURE_TEST_SUITE(ARelayWithAMemoryAccount, SmallAccount)

BOOST_AUTO_TEST_SUITE(BreaksOff)

BOOST_AUTO_TEST_CASE(BodiesWithoutEnd) {
  setResponses({endless("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n\r\n",
                        std::string(60000, 'x'))});
  BOOST_TEST(sendAtOnce(30, "/once/x") <= AccountBytes);
  for (const auto &Result : Results)
    BOOST_TEST(Result->Response->Head.Status == 502);
  BOOST_TEST(Account->used(MemoryUse::Responses) == 0U);
}

BOOST_AUTO_TEST_CASE(EventsWithoutEnd) {
  setResponses({endless(signedStreamHead() + eventChunk(1) +
                            encodeChunk("id: 2\ndata: "),
                        encodeChunk(std::string(60000, 'x')))});
  BOOST_TEST(sendAtOnce(30, "/turn/x") <= AccountBytes);
  BOOST_TEST(Account->used(MemoryUse::Responses) == 0U);
}

BOOST_AUTO_TEST_CASE(OutputThatIsKeptWithoutEnd) {
  setResponses(
      {endless(signedStreamHead(),
               encodeChunk("data: " + std::string(6000, 'x') + "\n\n"))});
  BOOST_TEST(sendAtOnce(10, "/kept/x") <= AccountBytes);
  BOOST_TEST(Account->used(MemoryUse::Responses) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Serves)

BOOST_AUTO_TEST_CASE(ResponsesThatFit) {
  setResponses({{signedResponse(std::string(200000, 'x'))}});
  const HttpResponse Answer = sendRequest("/once/x", {{"Id", "a"}});
  BOOST_TEST(Answer.Head.Status == 200);
  BOOST_TEST(Answer.Body.size() == 200000U);
  BOOST_TEST(Account->used(MemoryUse::Responses) == 0U);
}

BOOST_AUTO_TEST_CASE(LongStreamsWhoseOutputIsNotKept) {
  std::string Stream = signedStreamHead();
  for (int Number = 0; Number < 200; ++Number)
    Stream += encodeChunk("data: " + std::string(10000, 'x') + "\n\n");
  setResponses({{Stream + std::string(LastChunk)}});
  const HttpResponse Answer =
      sendRequest("/turn/x", {{"Id", "a"}, {"Program", "p"}}, "in");
  BOOST_TEST(Answer.Head.Status == 200);
  BOOST_TEST(Answer.Body.size() > 2000000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RefusesAsNotRun)

BOOST_AUTO_TEST_CASE(ARequestWhoseCopiesNeverFit) {
  setResponses({{signedResponse("done")}});
  // Its body fits, but not with the input and the request for the endpoint.
  const HttpResponse Answer = sendRequest(
      "/kept/x", {{"Id", "a"}, {"Program", "p"}}, std::string(400000, 'b'));
  BOOST_TEST(Answer.Head.Status == 413);
  BOOST_TEST(requestCount() == 0U);
}

// Guards against ids that are kept beyond their requests.
BOOST_AUTO_TEST_CASE(ARequestWithALongId) {
  setResponses({{signedResponse("done")}});
  const std::string Long(300, 'i');
  for (const std::vector<HttpField> &Fields :
       {std::vector<HttpField>{{"Id", Long}},
        std::vector<HttpField>{{"Id", "a"}, {"Program", Long}},
        std::vector<HttpField>{{"Id", "a"}, {"Previous", Long}}})
    BOOST_TEST(sendRequest("/once/x", Fields).Head.Status == 400);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ARequestWhoseCopiesFitLater) {
  setResponses({{signedResponse("done")}});
  MemoryShare Others(Account, MemoryUse::Responses);
  BOOST_TEST(Others.resize(AccountBytes / 2 - 1));
  const HttpResponse Answer =
      sendRequest("/once/x", {{"Id", "a"}}, std::string(200000, 'b'));
  BOOST_TEST(Answer.Head.Status == 503);
  BOOST_TEST(Answer.Head.Fields.has("Retry-After"));
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
