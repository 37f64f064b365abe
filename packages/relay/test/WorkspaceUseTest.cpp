/// Load pattern: callers of a workspace ask for more than its limit allows.
#include "RelayFixture.h"

#include "tamarack/relay/ReportTargets.h"

using namespace tamarack;
using namespace tamarack::testing;

namespace {

struct LimitedFixture : RelayFixture {
  LimitedFixture() {
    Workspace Limited;
    Limited.Name = WorkspaceId("acme");
    Limited.Keys = {"acme-key"};
    Limited.RequestsPerSecond = 1;
    Limited.Burst = 20;
    Workspace Free;
    Free.Name = WorkspaceId("birch");
    Free.Keys = {"birch-key"};
    Routes.Workspaces = {Limited, Free};
    ++Routes.Version;
    LimitedRelay.setCatalog(Routes);
    LimitedRelay.setEndpoints(entries());
    setResponses({{signedResponse("hello")}});
    Server.close();
    BOOST_REQUIRE(LimitedServer.listen(EntryAddress));
    spawn(Io, LimitedRelay.exchangeWorkspaceUse());
    // The ledgers know nothing of the time before they started.
    const TimePoint KnownAt = steadyNow() + WindowLength + 100ms;
    until([&] {
      return steadyNow() >= KnownAt &&
             LimitedRelay.workspaceLimitStatus().HasNews;
    });
  }
  ~LimitedFixture() { LimitedServer.close(); }

  static std::vector<EndpointEntry> entries() {
    std::vector<EndpointEntry> Result;
    Result.reserve(2);
    for (int Number = 0; Number < 2; ++Number)
      Result.push_back(
          {EndpointId("e" + std::to_string(Number)), ServiceId("s"),
           "127.0.0.1:" + std::to_string(FirstEndpointPort + Number),
           DataCentreId("a"), 16, EndpointState::Ready, 0});
    return Result;
  }
  RelayOptions limitedOptions() {
    RelayOptions Result = options();
    Result.Instance = InstanceId("entry-1");
    Result.WorkspaceLimits = {WindowLength, 0, 0, 0};
    return Result;
  }
  HttpResponse call(const std::string &Key = "acme-key",
                    const std::string &Program = "") {
    return sendRequest(
        "/safe/x",
        {{"Id", std::to_string(++LastId)}, {"Key", Key}, {"Program", Program}});
  }
  HttpResponse turn(const std::string &Program, const std::string &Budget = "",
                    const std::string &Previous = "") {
    std::vector<HttpField> Fields = {{"Id", std::to_string(++LastId)},
                                     {"Key", "acme-key"},
                                     {"Program", Program},
                                     {"Previous", Previous}};
    if (!Budget.empty()) {
      Fields.push_back({"Budget", Budget});
      Fields.push_back({"Most", "100"});
    }
    return sendRequest("/turn/x", std::move(Fields), "in;");
  }
  /// The requests that are answered until one is refused.
  int callsUntilRefused() {
    int Result = 0;
    while (call().Head.Status == 200)
      ++Result;
    return Result;
  }

  /// The limit is 21 requests.
  static constexpr Duration WindowLength = 1s;
  int LastId = 0;
  Relay LimitedRelay{Io, limitedOptions(), Wire, Client, Pool, Metrics};
  HttpServer LimitedServer{
      Io,
      {},
      [this](HttpExchange &Call) { return LimitedRelay.serve(Call); },
      nullptr};
};

struct FreshFixture : LimitedFixture {
  Relay FreshRelay{Io, limitedOptions(), Wire, Client, Pool, Metrics};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWorkspaceAtItsLimit, LimitedFixture)

BOOST_AUTO_TEST_CASE(IsToldWhenToComeBackAndIsNotRun) {
  const int Answered = callsUntilRefused();
  BOOST_TEST(Answered == 21);
  const std::size_t Requests = requestCount();
  const HttpResponse Refusal = call();
  BOOST_TEST(Refusal.Head.Status == 429);
  const std::string *Delay = Refusal.Head.Fields.find("Retry-After");
  BOOST_REQUIRE(Delay != nullptr);
  BOOST_TEST(std::stod(*Delay) >= 0.1);
  BOOST_TEST(std::stod(*Delay) <= 2);
  BOOST_TEST(requestCount() == Requests);
}

BOOST_AUTO_TEST_CASE(IsServedAgainAfterItsWindow) {
  callsUntilRefused();
  const TimePoint OverAt = steadyNow() + WindowLength + 100ms;
  until([&] { return steadyNow() >= OverAt; });
  BOOST_TEST(call().Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(DoesNotAffectAnother) {
  callsUntilRefused();
  BOOST_TEST(call("birch-key").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(HasNotUsedWhatEndpointsDidNotRun) {
  setResponses({notRunResponse()});
  for (int Count = 0; Count < 15; ++Count)
    BOOST_TEST(call().Head.Status == 503);
  setResponses({{signedResponse("hello")}});
  BOOST_TEST(callsUntilRefused() == 21);
}

BOOST_AUTO_TEST_CASE(HasUsedTwoIfTwoEndpointsMayHaveRunARequest) {
  for (auto &Endpoint : Endpoints)
    Endpoint->Responses = {{"nonsense", true}};
  BOOST_TEST(call().Head.Status == 502);
  setResponses({{signedResponse("hello")}});
  BOOST_TEST(callsUntilRefused() == 19);
}

/// Entries that are all restarted at once would refuse what comes before they
/// have heard of each other.
BOOST_FIXTURE_TEST_CASE(IsServedByAnEntryThatHasJustStarted, FreshFixture) {
  FreshRelay.setCatalog(Routes);
  FreshRelay.setEndpoints(entries());
  LimitedServer.close();
  HttpServer FreshServer(
      Io, {}, [&](HttpExchange &Call) { return FreshRelay.serve(Call); },
      nullptr);
  BOOST_REQUIRE(FreshServer.listen(EntryAddress));
  for (const char *Id : {"f1", "f2", "f3"})
    startRequest("/safe/x", {{"Id", Id}, {"Key", "acme-key"}});
  const TimePoint StartedAt = steadyNow();
  until([&] { return steadyNow() >= StartedAt + 50ms; });
  BOOST_TEST(requestCount() == 0U);
  spawn(Io, FreshRelay.exchangeWorkspaceUse());
  untilAnswered();
  for (const auto &Result : Results)
    BOOST_TEST(Result->Response->Head.Status == 200);
  FreshServer.close();
}

BOOST_AUTO_TEST_SUITE(BeginsNoMorePrograms)

BOOST_AUTO_TEST_CASE(WhileThoseUnderWayNeedTheRest) {
  setResponses({{completeStream(2)}});
  BOOST_TEST(turn("p").Head.Status == 200);
  setResponses({{signedResponse("hello")}});
  for (int Count = 0; Count < 18; ++Count)
    BOOST_TEST(call("acme-key", "p").Head.Status == 200);
  setResponses({{completeStream(2)}});
  const std::size_t Requests = requestCount();
  BOOST_TEST(turn("q").Head.Status == 429);
  BOOST_TEST(turn("r", "1000").Head.Status == 429);
  BOOST_TEST(requestCount() == Requests);
  BOOST_TEST(turn("p").Head.Status == 200);
}

/// The program began at another entry, which only the ledgers know.
BOOST_AUTO_TEST_CASE(ButGoesOnWithThoseOfOtherEntries) {
  BOOST_REQUIRE(storeRecord({ProgramId("acme elsewhere"),
                             TurnId("acme t1"),
                             {20, true},
                             nullptr,
                             {}}));
  for (int Count = 0; Count < 19; ++Count)
    BOOST_TEST(call().Head.Status == 200);
  setResponses({{completeStream(2)}});
  BOOST_TEST(turn("another", "1000").Head.Status == 429);
  BOOST_TEST(turn("elsewhere", "1000").Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReportsOnWorkspaces)

namespace {

View viewOf(const std::vector<std::pair<std::string, std::string>> &Members) {
  View Result;
  for (const auto &[Address, Place] : Members) {
    ViewMember Member;
    Member.Address = Address;
    Member.DataCentre = DataCentreId(Place);
    Member.Joined = true;
    Result.Members.push_back(Member);
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(MeetAtOneLedgerWhateverTheRegion) {
  const View Of = viewOf(
      {{"1", "a"}, {"2", "a"}, {"3", "b"}, {"4", "b"}, {"5", "c"}, {"6", "c"}});
  for (const std::string Silent : {"", "1", "2", "3", "4", "5", "6"}) {
    std::map<std::string, int> Reporters;
    for (const std::string Region : {"a", "b", "c"}) {
      const std::vector<std::string> Targets = reportTargets(
          Of,
          [&](const DataCentreId &To) { return To.text() == Region ? 1 : 2; },
          [&](const std::string &Address) { return Address == Silent; });
      BOOST_TEST(Targets.size() == 2U);
      for (const std::string &Target : Targets)
        ++Reporters[Target];
    }
    BOOST_TEST(std::any_of(Reporters.begin(), Reporters.end(),
                           [](const auto &Each) { return Each.second == 3; }));
    BOOST_TEST(Reporters.count(Silent) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(GoToNobodyWhileThereIsNoView) {
  BOOST_TEST(reportTargets({}, nullptr, [](const std::string &) {
               return false;
             }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
