#include "RelayFixture.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Adds a second entry, and lists the endpoints at a version each, so that
/// nothing but the stored origin tells at which version a stream began.
struct LedgerStopFixture : RelayFixture {
  LedgerStopFixture() {
    tellView();
    SecondLedgers.setView(Views.Current);
    Routes.Version = 2;
    for (Route &Each : Routes.Routes)
      Each.Resumable = !Each.RetainsTurns;
    RequestRelay.setCatalog(Routes);
    SecondRelay.setCatalog(Routes);
    std::vector<EndpointEntry> Entries;
    Entries.reserve(2);
    for (int Number = 0; Number < 2; ++Number)
      Entries.push_back(
          {EndpointId("e" + std::to_string(Number)), ServiceId("s"),
           "127.0.0.1:" + std::to_string(FirstEndpointPort + Number),
           DataCentreId("a"), 16, EndpointState::Ready, 0,
           SoftwareVersion("v" + std::to_string(Number))});
    RequestRelay.setEndpoints(Entries);
    SecondRelay.setEndpoints(std::move(Entries));
    BOOST_REQUIRE(SecondServer.listen(SecondEntryAddress));
  }
  ~LedgerStopFixture() { SecondServer.close(); }

  /// Begins a stream without a budget and leaves it after its first event.
  void beginStream(const std::string &Id) {
    const auto Begun = std::make_shared<bool>(false);
    spawn(Io,
          [](RelayFixture &Self, std::string Id,
             std::shared_ptr<bool> Begun) -> Task<void> {
            auto Call =
                co_await HttpCall::open(Self.CallerPool, Self.EntryAddress);
            HttpRequest Request{"GET", "/turn/x", {}, {}};
            Request.Fields.All = {{"Host", "h"}, {"Id", Id}, {"Program", Id}};
            (*Call)->send(encodeRequest(Request));
            const Expected<HttpHead> Head = co_await (*Call)->readHead();
            const auto Piece = co_await (*Call)->readPiece();
            *Begun = Head && Piece && *Piece;
            (*Call)->abort();
          }(*this, Id, Begun));
    until([&] { return *Begun; });
  }
  HttpResponse resumeStream(const std::string &Id) {
    return sendRequest("/turn/x", {{"Id", "again-" + Id},
                                   {"Program", Id},
                                   {"Last-Event", "1"},
                                   {"Continues", Id}});
  }
  /// Sends the next turn of a chain. Returns its status.
  int sendNextTurn() {
    const std::string Id = "turn-" + std::to_string(++Turns);
    const int Status = sendTurn(Id, "1000000", Previous, "/kept/x").Head.Status;
    if (Status == 200)
      Previous = Id;
    return Status;
  }

  static constexpr const char *SecondEntryAddress = "127.0.0.1:19799";
  int Turns = 0;
  std::string Previous;
  QuorumClient SecondLedgers{Io, {}};
  Relay SecondRelay{Io, options(), Wire, SecondLedgers, Pool, Metrics};
  HttpServer SecondServer{
      Io, {}, [this](HttpExchange &Call) { return SecondRelay.serve(Call); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlannedStopsOfLedgers, LedgerStopFixture)

/// A turn that cannot be stored is refused before it is sent, or broken off
/// after its last event; planned work must not cause either.
BOOST_AUTO_TEST_CASE(RefuseAndBreakOffNoTurn) {
  constexpr Duration Restart = 1500ms;
  constexpr Duration Gap = 200ms;
  setResponses({{completeStream(3)}});
  BOOST_TEST(sendNextTurn() == 200);
  std::map<int, TimePoint> DownSince;
  const auto ServeTurns = [&](const std::function<bool()> &Done) {
    while (!Done()) {
      BOOST_TEST(sendNextTurn() == 200);
      for (auto It = DownSince.begin(); It != DownSince.end();) {
        if (steadyNow() - It->second < Restart) {
          ++It;
          continue;
        }
        start(It->first);
        It = DownSince.erase(It);
      }
    }
  };
  for (const int Next : {1, 2, 3}) {
    const auto Prepared = std::make_shared<bool>(false);
    asio::co_spawn(
        Io, Nodes[Next]->prepareStop(steadyNow() + 4s),
        [Prepared](const std::exception_ptr &, bool) { *Prepared = true; });
    ServeTurns([&] { return *Prepared; });
    stop(Next);
    DownSince[Next] = steadyNow();
    const TimePoint NextAt = steadyNow() + Gap;
    ServeTurns([&] { return steadyNow() >= NextAt; });
  }
  ServeTurns([&] { return DownSince.empty(); });
}

/// A stream is sent before the record of its origin is stored. If that record
/// were lost with its entry, or only a ledger that stopped knew it, the stream
/// could not go on elsewhere.
BOOST_AUTO_TEST_CASE(LetStreamsGoOnThatBrokeOffAsTheirEntryStopped) {
  constexpr int Streams = 12;
  setResponses({{signedStreamHead() + eventChunk(1)}});
  for (int Number = 0; Number < Streams; ++Number)
    beginStream("stream-" + std::to_string(Number));
  until([this] { return Client.pendingRecords() == 0; });
  Server.close();
  EntryAddress = SecondEntryAddress;
  setResponses({{resumedStream(2, 3)}});
  int GoOn = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    const int Down = 1 + Number % 3;
    stop(Down);
    GoOn += resumeStream("stream-" + std::to_string(Number)).Head.Status == 200;
    start(Down);
    until([this] { return joinedCount() == 3; });
  }
  BOOST_TEST(GoOn == Streams);
}

BOOST_AUTO_TEST_SUITE_END()
