/// Load pattern: an entry is stopped while callers still send, and is not
/// scheduled for some hundred milliseconds at a time.
#include "RelayFixture.h"

#include "tamarack/relay/GracefulStop.h"

#include <thread>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr Duration LongGrace = 8s;
/// When new requests are refused in a stop with that grace.
constexpr Duration RefuseAfter = 2600ms;

/// A short grace, and when requests are refused, sent no more and answered in a
/// stop with it.
constexpr Duration ShortGrace = 1600ms;
constexpr Duration ShortRefuseAfter = ShortGrace / 3;
constexpr Duration ShortAnswerAfter = 1400ms;
constexpr Duration ShortSendFor = (ShortRefuseAfter + ShortAnswerAfter) / 2;

/// A caller that uses blocking calls and so does not need the loop to run.
class RawCaller {
public:
  explicit RawCaller(Loop &Io) : Socket(Io) {
    Socket.connect(*parseAddress("127.0.0.1:" + std::to_string(EntryPort)));
    Socket.non_blocking(true);
  }
  void send(const std::string &Text) {
    asio::write(Socket, asio::buffer(Text));
  }
  /// Reads what has arrived. Returns whether the connection has ended, and
  /// closes it then.
  bool hasEnded() {
    if (!Socket.is_open())
      return true;
    char Buffer[4096];
    while (!Failure) {
      const std::size_t Count = Socket.read_some(asio::buffer(Buffer), Failure);
      Received.append(Buffer, Count);
    }
    if (Failure == asio::error::would_block) {
      Failure = {};
      return false;
    }
    ErrorCode Ignored; // The socket is closed even on error.
    Socket.close(Ignored);
    return true;
  }
  /// The status of the response; 0 if none was received.
  int status() const {
    return Received.size() < 12 ? 0 : std::stoi(Received.substr(9, 3));
  }

  std::string Received;
  ErrorCode Failure;

private:
  Tcp::socket Socket;
};

std::string rawRequest(const std::string &Id, std::size_t BodyBytes) {
  return "POST /once/a HTTP/1.1\r\nHost: h\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
         std::string(BodyBytes, 'b');
}

/// A listener whose queue is full, so that the kernel answers no further
/// connection.
class FullListener {
public:
  FullListener(Loop &Io, int Port) : Listener(Io) {
    const Tcp::endpoint Address =
        *parseAddress("127.0.0.1:" + std::to_string(Port));
    Listener.open(Address.protocol());
    Listener.set_option(Tcp::acceptor::reuse_address(true));
    Listener.bind(Address);
    Listener.listen(0);
    // The kernel admits one more than the length of the queue.
    Waiting.emplace_back(Io);
    Waiting.back().connect(Address);
  }

private:
  Tcp::acceptor Listener;
  std::vector<Tcp::socket> Waiting;
};

/// An entry that ends its connections when its stop has ended, as an exit does.
struct StopFixture : RelayFixture {
  void begin(Duration Grace) {
    Stop =
        std::make_unique<GracefulStop>(Io, Server, RequestRelay, Client, Grace);
    BegunAt = steadyNow();
    Stop->begin([this] {
      ++Ends;
      Took = steadyNow() - BegunAt;
      Server.close();
    });
  }
  void runUntil(Duration SinceBegin) {
    Io.run_for(BegunAt + SinceBegin - steadyNow());
  }
  /// Does not run the loop, as a process that is not scheduled.
  void standStillUntil(Duration SinceBegin) {
    std::this_thread::sleep_until(BegunAt + SinceBegin);
  }
  void untilEnded() {
    until([this] { return Ends > 0; });
  }
  void untilEnded(RawCaller &Caller) {
    until([&] { return Caller.hasEnded(); });
    untilEnded();
  }

  std::unique_ptr<GracefulStop> Stop;
  TimePoint BegunAt;
  Duration Took{0};
  int Ends = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(APlannedStopOfAnEntry, StopFixture)

BOOST_AUTO_TEST_SUITE(Answers)

/// Guards against an exit while a request waits in its socket, which the kernel
/// then resets.
BOOST_AUTO_TEST_CASE(ARequestThatCameWhileTheProcessWasNotScheduled) {
  begin(LongGrace);
  runUntil(RefuseAfter - 200ms);
  RawCaller Caller(Io);
  runUntil(RefuseAfter - 100ms);
  Caller.send(rawRequest("1", 10));
  standStillUntil(RefuseAfter + 200ms);
  untilEnded(Caller);
  BOOST_TEST(Caller.status() == 503);
  BOOST_TEST((Took < Duration(RefuseAfter + 1s)));
}

/// Guards against an exit while a connection with a request waits in the listen
/// queue.
BOOST_AUTO_TEST_CASE(AConnectionThatCameWhileTheProcessWasNotScheduled) {
  begin(LongGrace);
  runUntil(RefuseAfter - 100ms);
  RawCaller Caller(Io);
  Caller.send(rawRequest("1", 10));
  standStillUntil(RefuseAfter + 200ms);
  untilEnded(Caller);
  BOOST_TEST(Caller.status() == 503);
}

/// Guards against an exit while the body of a request is still arriving.
BOOST_AUTO_TEST_CASE(ARequestThatIsHalfRead) {
  begin(LongGrace);
  runUntil(RefuseAfter - 200ms);
  const std::string Request = rawRequest("1", 100000);
  RawCaller Caller(Io);
  Caller.send(Request.substr(0, 50000));
  runUntil(RefuseAfter + 500ms);
  BOOST_TEST(Ends == 0);
  if (Ends == 0)
    Caller.send(Request.substr(50000));
  untilEnded(Caller);
  BOOST_TEST(Caller.status() == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Ends)

/// Guards against restarts that take service away for longer than the callers
/// need to notice them.
BOOST_AUTO_TEST_CASE(WhenNobodySendsAnyMore) {
  begin(LongGrace);
  runUntil(RefuseAfter - 200ms);
  RawCaller Idle(Io);
  untilEnded();
  BOOST_TEST((Took >= Duration(RefuseAfter)));
  BOOST_TEST((Took < Duration(RefuseAfter + 500ms)));
}

BOOST_AUTO_TEST_CASE(OnceIfItIsBegunAgain) {
  begin(LongGrace);
  runUntil(RefuseAfter - 1s);
  int Others = 0;
  Stop->begin([&] { ++Others; });
  untilEnded();
  BOOST_TEST((Took < Duration(RefuseAfter + 500ms)));
  Io.run_for(100ms);
  BOOST_TEST(Ends == 1);
  BOOST_TEST(Others == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against requests that still run at the end of the grace and are cut
/// without an answer.
BOOST_AUTO_TEST_SUITE(EndsWithTheGrace)

/// The requests may have run, so nothing is promised.
BOOST_AUTO_TEST_CASE(AndAnswersRequestsThatEndpointsStillRun) {
  setResponses({{completeStream(1), false, 3s}});
  begin(ShortGrace);
  for (const char *Target : {"/once/a", "/safe/a", "/turn/a", "/kept/a"})
    startRequest(Target, {{"Id", Target}, {"Program", "p"}});
  untilEnded();
  untilAnswered();
  for (const auto &Result : Results) {
    BOOST_TEST(Result->Response->Head.Status == 504);
    BOOST_TEST((Result->EndedAt >= BegunAt + ShortAnswerAfter));
  }
  BOOST_TEST(requestCount() == Results.size());
  BOOST_TEST((Took < ShortGrace));
}

BOOST_AUTO_TEST_CASE(AndBreaksOffStreamsThatHaveBegun) {
  setResponses({{signedStreamHead() + eventChunk(1)}});
  begin(ShortGrace);
  RawCaller Caller(Io);
  Caller.send("GET /turn/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n");
  untilEnded(Caller);
  BOOST_TEST((Took >= ShortAnswerAfter));
  BOOST_TEST(Caller.status() == 200);
  BOOST_TEST(Caller.Received.find("data: d1") != std::string::npos);
  BOOST_TEST(Caller.Received.find(std::string(LastChunk)) == std::string::npos);
}

/// Guards against endpoints that other entries avoid, since this one stopped.
BOOST_AUTO_TEST_CASE(AndBlamesNoEndpointForIt) {
  setResponses({{signedResponse("late"), false, 3s}});
  begin(ShortGrace);
  startRequest("/once/a", {{"Id", "1"}});
  untilEnded();
  untilAnswered();
  for (const auto &[Endpoint, Counts] : RequestRelay.endpointNews().Outcomes)
    BOOST_TEST(Counts.Failures == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against requests that are passed on so late in a stop that they
/// cannot end before the exit.
BOOST_AUTO_TEST_SUITE(SendsNoRequestLate)

BOOST_AUTO_TEST_CASE(AfterAnEndpointRefusedIt) {
  ScriptedResponse Refusal = notRunResponse();
  Refusal.Delay = ShortSendFor + 200ms;
  setResponses({Refusal, Refusal, {signedResponse("late")}});
  begin(ShortGrace);
  startRequest("/once/a", {{"Id", "1"}});
  startRequest("/turn/a", {{"Id", "2"}});
  untilAnswered();
  for (const auto &Result : Results)
    BOOST_TEST(Result->Response->Head.Status == 503);
  BOOST_TEST(requestCount() == Results.size());
}

/// One endpoint may have run it, so nothing is promised.
BOOST_AUTO_TEST_CASE(AfterAnEndpointBrokeOff) {
  setResponses({{"", true, ShortSendFor + 200ms}, {signedResponse("late")}});
  begin(ShortGrace);
  startRequest("/safe/a", {{"Id", "1"}});
  untilAnswered();
  BOOST_TEST(Results[0]->Response->Head.Status == 502);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AfterAWaitForLedgers) {
  silence(1);
  silence(2);
  begin(ShortGrace);
  runUntil(ShortRefuseAfter - 50ms);
  startRequest(
      "/turn/a",
      {{"Id", "1"}, {"Program", "p"}, {"Budget", "1000"}, {"Most", "100"}});
  untilAnswered();
  BOOST_TEST(Results[0]->Response->Head.Status == 503);
  BOOST_TEST((Results[0]->EndedAt < BegunAt + ShortSendFor + 100ms));
  BOOST_TEST(requestCount() == 0U);
}

/// An endpoint stops work at that time, and its slot becomes free.
BOOST_AUTO_TEST_CASE(WithALongerDeadlineThanTheStopLeaves) {
  setResponses({{signedResponse("hello")}});
  begin(ShortGrace);
  startRequest("/once/a", {{"Id", "1"}});
  untilAnswered();
  BOOST_TEST(Results[0]->Response->Head.Status == 200);
  const std::string &Request = lastRequest();
  const std::size_t Field = Request.find("Left-Ms: ");
  BOOST_REQUIRE(Field != std::string::npos);
  BOOST_TEST(std::stoi(Request.substr(Field + 9)) <=
             ShortAnswerAfter / Duration(1ms));
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against requests that an endpoint's end beside the stop leaves
/// without an answer, runs twice, or calls not run.
BOOST_AUTO_TEST_SUITE(WhileTheEndpointOfItsRequests)

const std::vector<std::string> AllTargets = {"/once/a", "/safe/a", "/turn/a",
                                             "/kept/a"};

/// Starts a request of each kind and then a stop, and does \p Change while they
/// run at the first endpoint.
void changeWhileRunning(StopFixture &Self, const ScriptedResponse &Response,
                        const std::function<void()> &Change) {
  Self.setResponses({Response});
  Self.listEndpoints({0});
  for (const std::string &Target : AllTargets)
    Self.startRequest(Target, {{"Id", Target}, {"Program", "p"}});
  Self.until([&] { return Self.requestCount() == AllTargets.size(); });
  Self.begin(ShortGrace);
  Change();
  Self.untilEnded();
  Self.untilAnswered();
}

/// Checks that each request was answered by the only endpoint that ran it.
void checkAreServed(const StopFixture &Self) {
  for (const auto &Result : Self.Results)
    BOOST_TEST(Result->Response->Head.Status == 200);
  BOOST_TEST(Self.requestCount() == AllTargets.size());
}

const ScriptedResponse LateAnswer{completeStream(2), false, 300ms};
const ScriptedResponse LateEnd{"", true, 300ms};

BOOST_AUTO_TEST_CASE(Disappears) {
  changeWhileRunning(*this, LateAnswer, [this] { listEndpoints({1}); });
  checkAreServed(*this);
}

BOOST_AUTO_TEST_CASE(AndAllOthersDisappear) {
  changeWhileRunning(*this, LateAnswer, [this] { listEndpoints({}); });
  checkAreServed(*this);
}

BOOST_AUTO_TEST_CASE(IsReplacedAtItsAddress) {
  changeWhileRunning(*this, LateAnswer, [this] { listEndpoints({0, 1}, 2); });
  checkAreServed(*this);
}

/// A request that may be repeated is, once; of the others nothing is promised.
void checkMayHaveRun(StopFixture &Self) {
  BOOST_TEST(Self.Results[0]->Response->Head.Status == 502);
  BOOST_TEST(Self.Results[1]->Response->Head.Status == 200);
  BOOST_TEST(Self.Results[2]->Response->Head.Status == 502);
  BOOST_TEST(Self.Results[3]->Response->Head.Status == 502);
  BOOST_TEST(Self.requestCount() == AllTargets.size() + 1);
}

BOOST_AUTO_TEST_CASE(DisappearsAndBreaksOff) {
  changeWhileRunning(*this, LateEnd, [this] {
    Endpoints[1]->Responses = {{signedResponse("again")}};
    listEndpoints({1});
  });
  checkMayHaveRun(*this);
}

BOOST_AUTO_TEST_CASE(BreaksOffAndIsReplacedAtItsAddress) {
  changeWhileRunning(*this, LateEnd, [this] {
    Endpoints[1]->Responses = {{signedResponse("again")}};
    listEndpoints({0, 1}, 2);
  });
  checkMayHaveRun(*this);
}

BOOST_AUTO_TEST_CASE(BreaksOffAndAllDisappear) {
  changeWhileRunning(*this, LateEnd, [this] { listEndpoints({}); });
  for (const auto &Result : Results)
    BOOST_TEST(Result->Response->Head.Status == 502);
  BOOST_TEST(requestCount() == AllTargets.size());
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a wait that began before the stop and outlasts a short grace,
/// so that the exit cuts its request.
BOOST_AUTO_TEST_SUITE(EndsWaitsThatBeganBeforeIt)

constexpr Duration TimeBeforeStop = 100ms;

/// Starts \p Targets, which wait, and then a stop with \p Grace.
void checkAreRefused(StopFixture &Self, Duration Grace,
                     const std::vector<std::string> &Targets) {
  for (const std::string &Target : Targets)
    Self.startRequest(Target, {{"Id", Target},
                               {"Program", "p"},
                               {"Budget", "1000"},
                               {"Most", "100"}});
  Self.Io.run_for(TimeBeforeStop);
  for (const auto &Result : Self.Results)
    BOOST_REQUIRE(!Result->Response);
  Self.begin(Grace);
  Self.untilEnded();
  Self.untilAnswered();
  for (const auto &Result : Self.Results) {
    BOOST_TEST(Result->Response->Head.Status == 503);
    BOOST_TEST((Result->EndedAt < Self.BegunAt + Grace));
  }
  // Records that silent ledgers do not store hold up the exit.
  if (Self.Client.pendingRecords() == 0)
    BOOST_TEST((Self.Took < Grace));
  const HttpServerLoad Cut = Self.Server.counts().CutAtDeadline;
  BOOST_TEST(Cut.Running == 0U);
  BOOST_TEST(Cut.Arriving == 0U);
  BOOST_TEST(Self.requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE(ForLedgers)

void checkWaitForLedgers(StopFixture &Self, Duration Grace) {
  Self.silence(1);
  Self.silence(2);
  checkAreRefused(Self, Grace, {"/turn/a", "/kept/a"});
}

BOOST_AUTO_TEST_CASE(InAThirdOfASecond) { checkWaitForLedgers(*this, 300ms); }
BOOST_AUTO_TEST_CASE(InSixTenths) { checkWaitForLedgers(*this, 600ms); }
BOOST_AUTO_TEST_CASE(InASecond) { checkWaitForLedgers(*this, 1100ms); }

/// A turn of a chain waits for the earlier turns first.
BOOST_AUTO_TEST_CASE(ThatHaveTheEarlierTurns) {
  for (const int Ledger : {1, 2, 3})
    silence(Ledger);
  startRequest("/kept/a", {{"Id", "2"}, {"Previous", "1"}, {"Program", "p"}});
  checkAreRefused(*this, 600ms, {});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForTheStore)

BOOST_AUTO_TEST_CASE(ThatListsEndpoints) {
  StoreDelay = 400ms;
  listEndpoints({});
  checkAreRefused(*this, 300ms, {"/once/a", "/safe/a", "/turn/a"});
}

BOOST_AUTO_TEST_CASE(ThatHasTheConfiguration) {
  StoreDelay = 400ms;
  CatalogAge = 10s;
  checkAreRefused(*this, 300ms, {"/unknown/a"});
}

BOOST_AUTO_TEST_SUITE_END()

/// The connection is in the queue of a listener that is full.
BOOST_AUTO_TEST_CASE(ForAConnection) {
  FullListener Silent(Io, 19798);
  RequestRelay.setEndpoints(
      {{EndpointId("silent"), ServiceId("s"), "127.0.0.1:19798",
        DataCentreId("a"), 16, EndpointState::Ready, 0}});
  checkAreRefused(*this, 300ms, {"/once/a", "/turn/a"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
