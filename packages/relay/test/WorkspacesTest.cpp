/// Load pattern: callers of several workspaces share the entries, and keys come
/// and go with the configuration.
#include "RelayFixture.h"

#include "tamarack/net/Log.h"
#include "tamarack/relay/WorkspaceDirectory.h"

#include <fcntl.h>
#include <fstream>
#include <sstream>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

Workspace workspace(const std::string &Name, std::vector<std::string> Keys) {
  Workspace Result;
  Result.Name = WorkspaceId(Name);
  Result.Keys = std::move(Keys);
  return Result;
}

struct WorkspacesFixture : RelayFixture {
  WorkspacesFixture() {
    Routes.Workspaces = {workspace("acme", {"acme-key-1", "acme-key-2"}),
                         workspace("birch", {"birch-key"}),
                         workspace("closed", {})};
    Routes.Routes.push_back(route("/open/", RequestKind::Idempotent, 1));
    Routes.Routes.back().IsPublic = true;
    apply();
    setResponses({{signedResponse("hello")}});
  }
  void apply() {
    ++Routes.Version;
    RequestRelay.setCatalog(Routes);
  }
  int statusWithKey(const std::string &Key,
                    const std::string &Target = "/safe/x") {
    return sendRequest(Target, {{"Id", "1"}, {"Key", Key}}).Head.Status;
  }
  HttpResponse sendKept(const std::string &Key, const std::string &Id,
                        const std::string &Previous = "",
                        const std::string &Budget = "1000") {
    return sendRequest("/kept/x",
                       {{"Id", Id},
                        {"Key", Key},
                        {"Program", "p"},
                        {"Previous", Previous},
                        {"Budget", Budget},
                        {"Most", "100"}},
                       "in " + Id + " with " + Key.substr(0, 5) + ";");
  }
  /// The body of the request that an endpoint received last.
  std::string lastBody() const {
    const std::string &Request = lastRequest();
    return Request.substr(Request.find("\r\n\r\n") + 4);
  }
  /// Replaces the configuration when the store is asked.
  void confirmWith(std::vector<Workspace> Next) {
    OnConfirmCatalog = [this, Next = std::move(Next)] {
      CatalogAge = Duration(0);
      Routes.Workspaces = Next;
      apply();
    };
  }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ADirectoryOfWorkspaces)

BOOST_AUTO_TEST_CASE(FindsThemByKeyAndByName) {
  std::vector<Workspace> All;
  for (int Number = 0; Number < 3700; ++Number) {
    const std::string Name = "w" + std::to_string(Number);
    All.push_back(workspace(Name, {Name + "-a", Name + "-b", Name + "-c"}));
  }
  const WorkspaceDirectory Directory(All);
  BOOST_TEST(Directory.keyCount() == 11100U);
  BOOST_TEST(Directory.findByKey("w3699-c") == &All[3699]);
  BOOST_TEST(Directory.findByName(WorkspaceId("w17")) == &All[17]);
  for (const char *Key : {"", "w17", "w17-", "w17-d", "W17-a", "w17-a "})
    BOOST_TEST(Directory.findByKey(Key) == nullptr, Key);
  BOOST_TEST(Directory.findByName(WorkspaceId("w3700")) == nullptr);
}

BOOST_AUTO_TEST_CASE(KeepsTheSameIdOfTwoApart) {
  const std::string Id = "t1";
  std::set<std::string> Ids;
  for (const std::optional<WorkspaceId> &Owner :
       {std::optional<WorkspaceId>(), std::optional(WorkspaceId()),
        std::optional(WorkspaceId("a")), std::optional(WorkspaceId("b"))})
    Ids.insert(scopedId(Owner, Id));
  BOOST_TEST(Ids.size() == 4U);
  BOOST_TEST(scopedId(std::nullopt, Id) == Id);
  BOOST_TEST(mayBeUnscoped(Id));
  BOOST_TEST(!mayBeUnscoped(scopedId(WorkspaceId("a"), Id)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RequestsOfWorkspaces, WorkspacesFixture)

/// Guards against an endpoint that acts for another workspace, and against a
/// key that leaves the entry.
BOOST_AUTO_TEST_CASE(ReachEndpointsWithTheNameAndWithoutTheKey) {
  setResponses({{completeStream(2)}});
  for (const char *Target : {"/safe/x", "/once/x", "/turn/x", "/kept/x"})
    for (const auto &[Key, Name] :
         {std::pair("acme-key-1", "acme"), {"birch-key", "birch"}}) {
      for (auto &Endpoint : Endpoints)
        Endpoint->Requests.clear();
      const std::string Id = std::string(Target) + Key[0];
      const HttpResponse Response = sendRequest(Target, {{"Id", Id},
                                                         {"Key", Key},
                                                         {"KEY", "second"},
                                                         {"Workspace", "other"},
                                                         {"Program", "p"}});
      BOOST_TEST(Response.Head.Status == 200, Target);
      const std::string &Request = lastRequest();
      BOOST_TEST(contains(Request, std::string("\nWorkspace: ") + Name + "\r"));
      for (const char *Secret : {"-key", "second", "other"})
        BOOST_TEST(!contains(Request, Secret), Request);
    }
}

BOOST_AUTO_TEST_CASE(NeedNoKeyOnAPublicRoute) {
  for (const char *Key : {"", "unknown", "acme-key-1"}) {
    BOOST_TEST(statusWithKey(Key, "/open/x") == 200);
    BOOST_TEST(contains(lastRequest(), "\nWorkspace: \r"));
    BOOST_TEST(!contains(lastRequest(), "\nKey"));
  }
}

BOOST_AUTO_TEST_CASE(AreRefusedWithoutAKnownKey) {
  for (const char *Key : {"", "unknown", "ACME-KEY-1", "acme", "acme-key-1x"})
    BOOST_TEST(statusWithKey(Key) == 401, Key);
  BOOST_TEST(statusWithKey("unknown", "/none/x") == 404);
  BOOST_TEST(requestCount() == 0U);
  BOOST_TEST(CatalogConfirmations == 0);
}

BOOST_AUTO_TEST_CASE(AreAllRefusedIfThereAreNone) {
  Routes.Workspaces->clear();
  apply();
  BOOST_TEST(statusWithKey("acme-key-1") == 401);
  BOOST_TEST(statusWithKey("", "/open/x") == 200);
}

BOOST_AUTO_TEST_CASE(AreForwardedAsTheyComeWithoutWorkspaces) {
  Routes.Workspaces.reset();
  apply();
  BOOST_TEST(statusWithKey("unknown") == 200);
  BOOST_TEST(contains(lastRequest(), "\nKey: unknown\r"));
  BOOST_TEST(!contains(lastRequest(), "Workspace"));
}

/// Guards against a 401 that rests on a configuration of unknown age, such as
/// after the process was suspended or while the store is away.
BOOST_AUTO_TEST_SUITE(WithAnUnknownKeyInAnOldConfiguration)

BOOST_AUTO_TEST_CASE(AreServedIfTheNewestOneHasTheKey) {
  CatalogAge = 3s;
  confirmWith({workspace("new", {"new-key"})});
  BOOST_TEST(statusWithKey("new-key") == 200);
  BOOST_TEST(contains(lastRequest(), "\nWorkspace: new\r"));
}

BOOST_AUTO_TEST_CASE(AreRefusedIfTheNewestOneLacksTheKey) {
  CatalogAge = 3s;
  confirmWith({workspace("new", {"new-key"})});
  BOOST_TEST(statusWithKey("unknown") == 401);
}

BOOST_AUTO_TEST_CASE(AreToldToComeBackIfItCannotBeConfirmed) {
  for (const auto Age : {std::optional<Duration>(3s), {}}) {
    CatalogAge = Age;
    const HttpResponse Response =
        sendRequest("/safe/x", {{"Id", "1"}, {"Key", "unknown"}});
    BOOST_TEST(Response.Head.Status == 503);
    BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  }
  BOOST_TEST(CatalogConfirmations == 2);
}

BOOST_AUTO_TEST_CASE(DoNotHoldUpThoseWithAKnownOne) {
  CatalogAge = 1h;
  BOOST_TEST(statusWithKey("acme-key-1") == 200);
  BOOST_TEST(CatalogConfirmations == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/// The caller goes on over the connection on which its key was accepted.
BOOST_AUTO_TEST_CASE(AreRefusedOnAKeptConnectionOnceTheirKeyIsRevoked) {
  BOOST_TEST(statusWithKey("acme-key-2") == 200);
  const std::size_t Opened = CallerPool.opened();
  Routes.Workspaces->at(0).Keys = {"acme-key-1"};
  apply();
  BOOST_TEST(statusWithKey("acme-key-2") == 401);
  BOOST_TEST(statusWithKey("acme-key-1") == 200);
  BOOST_TEST(CallerPool.opened() == Opened);
  BOOST_TEST(requestCount() == 2U);
}

/// Guards against keys in what operators and other processes read.
BOOST_AUTO_TEST_CASE(LeaveNoKeyInLogsMetricsAndJournals) {
  const fs::path Path = Root / "log";
  const int Console = ::dup(STDOUT_FILENO);
  const int Target = ::open(Path.c_str(), O_WRONLY | O_CREAT, 0600);
  std::fflush(stdout);
  ::dup2(Target, STDOUT_FILENO);
  startLog(Io, "entry");
  setResponses({{completeStream(2)}});
  apply();
  sendKept("acme-key-1", "t1");
  sendKept("acme-key-1", "t2", "t1");
  sendKept("birch-key", "t3", "t1");
  statusWithKey("acme-key-2");
  statusWithKey("acme-key-3");
  Io.run_for(200ms);
  stopLog();
  std::fflush(stdout);
  ::dup2(Console, STDOUT_FILENO);
  ::close(Console);
  ::close(Target);

  std::string Written = Metrics.text();
  for (const fs::directory_entry &Each : fs::recursive_directory_iterator(Root))
    if (Each.is_regular_file()) {
      std::ostringstream Text;
      Text << std::ifstream(Each.path(), std::ios::binary).rdbuf();
      Written += Text.str();
    }
  for (const char *Expected : {"entry.refused", "entry.answer", "entry.chain",
                               "workspace=acme", "kind=unauthorized", "in t2"})
    BOOST_TEST(contains(Written, Expected), Expected);
  for (const char *Secret : {"acme-key", "birch-key"})
    BOOST_TEST(!contains(Written, Secret), Secret);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Adds an entry that accepts keys for no longer than 5 s after it last heard
/// of the store.
struct StrictFixture : WorkspacesFixture {
  StrictFixture() {
    EntryAddress = "127.0.0.1:19798";
    Strict.setCatalog(Routes);
    list();
    BOOST_REQUIRE(StrictServer.listen(EntryAddress));
  }
  ~StrictFixture() { StrictServer.close(); }
  RelayOptions strictOptions() {
    RelayOptions Result = options();
    Result.Configuration.MaxKeyAge = 5s;
    return Result;
  }
  void list() {
    Strict.setEndpoints({{EndpointId("e0"), ServiceId("s"),
                          "127.0.0.1:" + std::to_string(FirstEndpointPort),
                          DataCentreId("a"), 16, EndpointState::Ready, 0}});
  }
  /// Sends a request whose key is accepted before the configuration becomes
  /// \p Age old, and which is sent to an endpoint after that.
  int statusAfterPause(Duration Age) {
    StoreDelay = 100ms;
    Strict.setEndpoints({});
    bool IsAccepted = false;
    MeasureCatalogAge = [this, Age, &IsAccepted] {
      if (!std::exchange(IsAccepted, true))
        asio::post(Io, [this, Age] {
          list();
          CatalogAge = Age;
        });
      return CatalogAge;
    };
    const int Result = statusWithKey("acme-key-1");
    MeasureCatalogAge = nullptr;
    return Result;
  }
  Relay Strict{Io, strictOptions(), Wire, Client, Pool, Metrics};
  HttpServer StrictServer{
      Io, {}, [this](HttpExchange &Call) { return Strict.serve(Call); }};
};

} // namespace

/// Guards against a revoked key that is accepted by a process which was
/// suspended or cut off, for deployments that rather refuse service.
BOOST_FIXTURE_TEST_SUITE(UnderStrictRevocation, StrictFixture)

BOOST_AUTO_TEST_CASE(KeysAreAcceptedUpToTheLimit) {
  CatalogAge = 5s;
  BOOST_TEST(statusWithKey("acme-key-1") == 200);
  BOOST_TEST(CatalogConfirmations == 0);
}

BOOST_AUTO_TEST_CASE(KeysAreRefusedAsNotRunBeyondIt) {
  CatalogAge = 5001ms;
  const HttpResponse Response =
      sendRequest("/safe/x", {{"Id", "1"}, {"Key", "acme-key-1"}});
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(Response.Head.Fields.has("Retry-After"));
  BOOST_TEST(statusWithKey("", "/open/x") == 200);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(KeysAreAcceptedAgainOnceTheStoreConfirmsThem) {
  CatalogAge = 1h;
  OnConfirmCatalog = [this] { CatalogAge = Duration(0); };
  BOOST_TEST(statusWithKey("acme-key-1") == 200);
}

BOOST_AUTO_TEST_CASE(RequestsAreSentAfterAShortPause) {
  BOOST_TEST(statusAfterPause(5s) == 200);
}

BOOST_AUTO_TEST_CASE(RequestsAreNotSentAfterAPauseInWhichKeysMayHaveGone) {
  BOOST_TEST(statusAfterPause(6s) == 503);
  BOOST_TEST(requestCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TurnsOfWorkspaces, WorkspacesFixture)

BOOST_AUTO_TEST_CASE(AreContinuedWithAnyOfItsKeys) {
  setResponses({{completeStream(1)}});
  listEndpoints({0});
  BOOST_TEST(sendKept("acme-key-1", "t1").Head.Status == 200);
  BOOST_TEST(sendKept("acme-key-2", "t2", "t1").Head.Status == 200);
  BOOST_TEST(lastBody() == "in t1 with acme-;d1\nin t2 with acme-;");
}

/// Guards against text that one workspace reads of another.
BOOST_AUTO_TEST_CASE(AreUnknownToOthers) {
  setResponses({{completeStream(1)}});
  BOOST_TEST(sendKept("acme-key-1", "t1").Head.Status == 200);
  BOOST_TEST(sendKept("birch-key", "t2", "t1").Head.Status == 404);
  // As the ledgers name it.
  BOOST_TEST(sendKept("birch-key", "t3", "acme t1").Head.Status == 404);
  BOOST_TEST(requestCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AreUnknownToOthersAfterAllLedgersWereRestarted) {
  setResponses({{completeStream(1)}});
  listEndpoints({0});
  BOOST_TEST(sendKept("acme-key-1", "t1").Head.Status == 200);
  for (const int Number : {1, 2, 3})
    stop(Number);
  for (const int Number : {1, 2, 3})
    start(Number);
  until([this] { return joinedCount() == 3; });
  RelayOptions Fresh = options();
  Fresh.ChainCacheBytes = 0;
  Relay OtherRelay(Io, std::move(Fresh), Wire, Client, Pool, Metrics);
  OtherRelay.setCatalog(Routes);
  OtherRelay.setEndpoints({{EndpointId("e0"), ServiceId("s"),
                            "127.0.0.1:" + std::to_string(FirstEndpointPort),
                            DataCentreId("a"), 16, EndpointState::Ready, 0}});
  HttpServer OtherServer(
      Io, {}, [&](HttpExchange &Call) { return OtherRelay.serve(Call); });
  EntryAddress = "127.0.0.1:19798";
  BOOST_REQUIRE(OtherServer.listen(EntryAddress));
  BOOST_TEST(sendKept("birch-key", "t2", "t1").Head.Status == 404);
  BOOST_TEST(sendKept("acme-key-1", "t3", "t1").Head.Status == 200);
  BOOST_TEST(lastBody() == "in t1 with acme-;d1\nin t3 with acme-;");
  OtherServer.close();
}

/// Callers choose the ids of their turns and programs.
BOOST_AUTO_TEST_CASE(WithTheSameIdsAreKeptApart) {
  setResponses({{completeStream(1)}});
  listEndpoints({0});
  for (const char *Key : {"acme-key-1", "birch-key"})
    BOOST_TEST(sendKept(Key, "t1").Head.Status == 200);
  for (const auto &[Key, Body] :
       {std::pair("acme-key-1", "in t1 with acme-;d1\nin t2 with acme-;"),
        {"birch-key", "in t1 with birch;d1\nin t2 with birch;"}}) {
    BOOST_TEST(sendKept(Key, "t2", "t1").Head.Status == 200);
    BOOST_TEST(lastBody() == Body);
  }
}

/// Records that were written before there were workspaces have none.
BOOST_AUTO_TEST_CASE(OfEarlierReleasesAreContinuedByWhoeverNamesThem) {
  BOOST_REQUIRE(storeRecord(QuorumFixture::turn("t0")));
  setResponses({{completeStream(1)}});
  listEndpoints({0});
  BOOST_TEST(sendKept("birch-key", "t1", "t0").Head.Status == 200);
  BOOST_TEST(sendKept("birch-key", "t2", "t1").Head.Status == 200);
  BOOST_TEST(lastBody() == "in t0out t0in t1 with birch;d1\nin t2 with birch;");
  BOOST_TEST(sendKept("acme-key-1", "t3", "t1").Head.Status == 404);
  BOOST_TEST(sendKept("acme-key-1", "t3", "t0").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(DrawOnTheBudgetsOfTheirOwnPrograms) {
  setResponses({{completeStream(2)}});
  for (const char *Key : {"acme-key-1", "birch-key"}) {
    BOOST_TEST(sendKept(Key, "t1", "", "20").Head.Status == 402);
    BOOST_TEST(sendKept(Key, "t2", "", "100").Head.Status == 200);
  }
  BOOST_TEST(tokensDrawnBy("acme p") == 20U);
  BOOST_TEST(tokensDrawnBy("p") == 0U);
}

/// Guards against events of a stream that another workspace receives.
BOOST_AUTO_TEST_CASE(AreNotResumedByOthers) {
  for (Route &Each : Routes.Routes)
    Each.Resumable = true;
  apply();
  // Of two versions, so that only the origin tells where the stream goes on.
  std::vector<EndpointEntry> Entries;
  Entries.reserve(2);
  for (int Number = 0; Number < 2; ++Number)
    Entries.push_back(
        {EndpointId("e" + std::to_string(Number)), ServiceId("s"),
         "127.0.0.1:" + std::to_string(FirstEndpointPort + Number),
         DataCentreId("a"), 16, EndpointState::Ready, 0,
         SoftwareVersion("v" + std::to_string(Number))});
  RequestRelay.setEndpoints(Entries);
  setResponses({{signedStreamHead() + eventChunk(1) + eventChunk(2), true},
                {resumedStream(3, 4)}});
  const auto Send = [this](const std::string &Key, const std::string &Id,
                           std::vector<HttpField> Extra) {
    std::vector<HttpField> Fields = {
        {"Id", Id}, {"Key", Key}, {"Program", "p"}};
    Fields.insert(Fields.end(), Extra.begin(), Extra.end());
    return sendRequest("/turn/x", std::move(Fields), "in;").Head.Status;
  };
  BOOST_TEST(Send("acme-key-1", "t1", {}) == 0);
  const std::vector<HttpField> Resumption = {{"Last-Event", "2"},
                                             {"Continues", "t1"}};
  BOOST_TEST(Send("birch-key", "t2", Resumption) == 503);
  BOOST_TEST(requestCount() == 1U);
  BOOST_TEST(Send("acme-key-2", "t3", Resumption) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
