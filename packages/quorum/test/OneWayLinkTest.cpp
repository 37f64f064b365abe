#include "QuorumFixture.h"

#include <boost/asio/write.hpp>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

/// Passes on the bytes of links, unless a direction is cut. What is sent while
/// it is cut arrives once it is open again, as with TCP.
class OneWayProxy {
public:
  OneWayProxy(Loop &Io, const std::string &Address, std::string Target)
      : Io(Io), Target(std::move(Target)),
        Listener(std::move(*listenOn(Io, Address))) {
    spawn(Io, acceptLoop(Listener, [this](Tcp::socket Socket) {
            spawn(this->Io,
                  connect(std::make_shared<Tcp::socket>(std::move(Socket))));
          }));
  }

  bool CutsCalls = false;
  bool CutsReplies = false;

private:
  using SharedSocket = std::shared_ptr<Tcp::socket>;

  Task<void> connect(SharedSocket From) {
    Expected<Tcp::socket> Opened =
        co_await connectWithTimeout(Io, *parseAddress(Target), 400ms);
    if (!Opened)
      co_return;
    const auto To = std::make_shared<Tcp::socket>(std::move(*Opened));
    spawn(Io, passOn(From, To, CutsCalls));
    spawn(Io, passOn(To, From, CutsReplies));
  }

  Task<void> passOn(SharedSocket From, SharedSocket To, const bool &IsCut) {
    std::string Text(64U << 10U, '\0');
    ErrorCode Failure;
    while (!Failure) {
      const std::size_t Count = co_await From->async_read_some(
          asio::buffer(Text), storeErrorIn(Failure));
      while (IsCut)
        co_await pause(Io, 5ms);
      if (!Failure)
        co_await asio::async_write(*To, asio::buffer(Text.data(), Count),
                                   storeErrorIn(Failure));
    }
    ErrorCode Ignored; // The other direction may have closed them before.
    From->close(Ignored);
    To->close(Ignored);
  }

  Loop &Io;
  const std::string Target;
  Tcp::acceptor Listener;
};

/// Three ledgers whose links all go through a proxy each.
struct OneWayFixture : QuorumFixture {
  OneWayFixture() {
    for (const int Number : {1, 2, 3}) {
      LedgerOptions Options = options(Number, /*FirstStart=*/true);
      Options.PublicAddress = "127.0.0.1:" + std::to_string(19750 + Number);
      Proxies[Number] = std::make_unique<OneWayProxy>(Io, Options.PublicAddress,
                                                      Options.Address);
      Nodes[Number] = std::make_unique<LedgerNode>(Io, Options, Views);
      BOOST_REQUIRE(Nodes[Number]->start());
    }
    until([this] { return joinedCount() == 3; });
    useCurrentView();
    storeReservations();
  }

  /// Settles turns as an entry does that does not wait for the outcome.
  void settle(int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Client.storeRecordInBackground({{ProgramId("p"),
                                       TurnId("t" + std::to_string(++Settled)),
                                       {10, true},
                                       nullptr,
                                       {}},
                                      {}});
  }
  TokenCount committed() {
    const auto State =
        storeRecord({ProgramId("p"), TurnId("probe"), {0, false}, nullptr, {}});
    BOOST_REQUIRE(State);
    return committedTokens(State->Charges);
  }

  std::map<int, std::unique_ptr<OneWayProxy>> Proxies;
  int Settled = 0;
};

constexpr int Turns = 50;

} // namespace

/// An entry that stops exits once its records are stored; a record that it
/// leaves behind is charged at its most for ever.
BOOST_FIXTURE_TEST_SUITE(RecordsOfAnEntryAreStored, OneWayFixture)

BOOST_AUTO_TEST_CASE(WhileTheRepliesOfOneLedgerDoNotArrive) {
  for (const int Cut : {1, 2, 3}) {
    Proxies[Cut]->CutsReplies = true;
    const TimePoint Begun = steadyNow();
    settle(Turns);
    until([this] { return Client.pendingRecords() == 0; });
    BOOST_TEST((steadyNow() - Begun < 1s));
    Proxies[Cut]->CutsReplies = false;
    Io.run_for(200ms);
  }
  BOOST_TEST(committed() == static_cast<TokenCount>(10 * Settled));
}

BOOST_AUTO_TEST_CASE(WhileCallsDoNotReachOneLedger) {
  for (const int Cut : {1, 2, 3}) {
    Proxies[Cut]->CutsCalls = true;
    const TimePoint Begun = steadyNow();
    settle(Turns);
    until([this] { return Client.pendingRecords() == 0; });
    BOOST_TEST((steadyNow() - Begun < 1s));
    Proxies[Cut]->CutsCalls = false;
    Io.run_for(200ms);
  }
  BOOST_TEST(committed() == static_cast<TokenCount>(10 * Settled));
}

BOOST_AUTO_TEST_CASE(OnceTheRepliesOfAQuorumArriveAgain) {
  for (const int Cut : {1, 2})
    Proxies[Cut]->CutsReplies = true;
  settle(Turns);
  Io.run_for(2s);
  BOOST_TEST(Client.pendingRecords() == static_cast<std::size_t>(Turns));
  for (const int Cut : {1, 2})
    Proxies[Cut]->CutsReplies = false;
  const TimePoint Begun = steadyNow();
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST((steadyNow() - Begun < 1s));
  BOOST_TEST(committed() == static_cast<TokenCount>(10 * Settled));
}

BOOST_AUTO_TEST_CASE(OnceCallsReachAQuorumAgain) {
  for (const int Cut : {1, 2})
    Proxies[Cut]->CutsCalls = true;
  settle(Turns);
  Io.run_for(2s);
  BOOST_TEST(Client.pendingRecords() == static_cast<std::size_t>(Turns));
  for (const int Cut : {1, 2})
    Proxies[Cut]->CutsCalls = false;
  const TimePoint Begun = steadyNow();
  until([this] { return Client.pendingRecords() == 0; });
  BOOST_TEST((steadyNow() - Begun < 1s));
  BOOST_TEST(committed() == static_cast<TokenCount>(10 * Settled));
}

/// The reservation of a turn decides whether it is served at all.
BOOST_AUTO_TEST_CASE(WithoutARefusalWhileALedgerStopsAndAnotherOneIsCut) {
  tellView();
  Proxies[1]->CutsReplies = true;
  settle(Turns);
  until([this] { return Client.pendingRecords() == 0; });
  Proxies[1]->CutsReplies = false;
  const auto Left = std::make_shared<bool>(false);
  asio::co_spawn(Io, Nodes[2]->prepareStop(steadyNow() + 4s),
                 [Left](const std::exception_ptr &, bool) { *Left = true; });
  until([&] { return *Left; });
  stop(2);
  BOOST_TEST((storeReservations() < 1s));
}

BOOST_AUTO_TEST_SUITE_END()
