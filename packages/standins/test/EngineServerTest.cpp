#include "tamarack/standins/EngineServer.h"
#include "tamarack/standins/EngineAnswer.h"
#include "tamarack/standins/HttpJson.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An answer that no test waits for to end by itself.
constexpr int Endless = 100'000;

EngineServer::Options fastEngine() {
  EngineServer::Options Settings;
  Settings.TokenTime = milliseconds(1);
  return Settings;
}

struct Fixture {
  std::unique_ptr<EngineServer> Server;
  std::optional<HttpJson> Client;

  Fixture() { start(fastEngine()); }

  void start(const EngineServer::Options &Settings) {
    Client.reset();
    Server.reset();
    auto Started = EngineServer::create(Settings);
    BOOST_REQUIRE(Started);
    Server = std::move(*Started);
    Client.emplace(Server->port());
  }

  static Json chatBody(const std::string &Text, int MaxTokens) {
    Json Message = {{"role", "user"}, {"content", Text}};
    return {{"model", "asistente"},
            {"messages", Json::array({Message})},
            {"max_tokens", MaxTokens}};
  }

  HttpJsonAnswer chat(const Json &Body, const HttpHeaders &Headers = {}) {
    return Client->post("/v1/chat/completions", Body, Headers).value();
  }

  std::unique_ptr<HttpEvents>
  stream(const std::string &Name, int MaxTokens,
         milliseconds Timeout = std::chrono::seconds(10)) {
    Json Body = chatBody("hello there", MaxTokens);
    Body["stream"] = true;
    HttpTarget Target(Server->port());
    Target.Timeout = Timeout;
    auto Opened = HttpEvents::open(Target, "/v1/chat/completions", Body,
                                   {{"X-Stream-Id", Name}});
    BOOST_REQUIRE(Opened);
    return std::move(*Opened);
  }

  std::unique_ptr<HttpEvents> resume(const std::string &Name, int Offset) {
    auto Opened = HttpEvents::open(Server->port(),
                                   "/v1/streams/" + Name +
                                       "?offset=" + std::to_string(Offset));
    BOOST_REQUIRE(Opened);
    return std::move(*Opened);
  }

  Json get(const std::string &Path) { return Client->get(Path).value().Body; }

  void faults(const Json &Body) {
    BOOST_TEST(Client->post("/v1/faults", Body).value().Status == 200);
  }

  /// Asks until \p Path answers with \p Value under \p Name.
  void await(const std::string &Path, const std::string &Name, int Value) {
    while (get(Path)[Name] != Value)
      std::this_thread::yield();
  }
};

std::string contentOf(const Json &Event) {
  return Event["choices"][0]["delta"].value("content", "");
}

std::string contentOf(const std::vector<Json> &Events) {
  std::string Text;
  for (const auto &Event : Events)
    Text += contentOf(Event);
  return Text;
}

struct OrderRow {
  int Fence;
  const char *Value;
  int StatusIfChecked;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineServerContract, Fixture)

BOOST_AUTO_TEST_SUITE(Completions)

BOOST_AUTO_TEST_CASE(AreTheSameWholeAndStreamed) {
  auto Whole = chat(chatBody("hello there", 5));
  auto Events = stream("s", 5);
  BOOST_TEST(Events->answer().Headers.at("X-Stream-Id") == "s");
  auto Chunks = Events->rest().value();
  BOOST_REQUIRE_EQUAL(Chunks.size(), 6u);
  BOOST_TEST(contentOf(Chunks) ==
             Whole.Body["choices"][0]["message"]["content"]);
  BOOST_TEST(Chunks.back()["choices"][0]["finish_reason"] == "length");
  Json Usage = {{"prompt_tokens", 3},
                {"completion_tokens", 5},
                {"total_tokens", 8},
                {"prompt_tokens_details", {{"cached_tokens", 0}}}};
  BOOST_TEST(Whole.Body["usage"] == Usage);
  Usage["prompt_tokens_details"]["cached_tokens"] = 3;
  BOOST_TEST(Chunks.back()["usage"] == Usage);
  for (const char *Text : {"hello there", "hello you"}) {
    Json Body = chatBody(Text, 5);
    BOOST_TEST(chat(Body).Body["choices"][0]["message"]["content"] ==
               engineAnswer(Body["messages"], 5));
  }
}

BOOST_AUTO_TEST_CASE(ReuseThePrefixOfTheFormerTurn) {
  Json Body = chatBody("one two three", 4);
  Body["cache_key"] = "program";
  auto First = chat(Body);
  Json Reply = First.Body["choices"][0]["message"];
  Body["messages"].push_back(Reply);
  Body["messages"].push_back({{"role", "user"}, {"content", "go on"}});
  auto Second = chat(Body).Body["usage"];
  BOOST_TEST(Second["prompt_tokens"] == 12);
  BOOST_TEST(Second["prompt_tokens_details"]["cached_tokens"] == 9);
  Json Entry = {{"key", "program"}, {"tokens", 17}};
  BOOST_TEST(get("/v1/cache")["entries"] == Json::array({Entry}));
  BOOST_TEST(Client->remove("/v1/cache/program").value().Status == 200);
  BOOST_TEST(Client->remove("/v1/cache/program").value().Status == 404);
  chat(Body);
  Json Stats = get("/v1/stats");
  BOOST_TEST(Stats["prefilled_tokens"] == 4 + 3 + 12);
  BOOST_TEST(Stats["prefilled_again_tokens"] == 12);
  BOOST_TEST(Stats["generated_tokens"] == 12);
}

BOOST_AUTO_TEST_CASE(AreRefusedForWhatTheEngineCannotServe) {
  auto Settings = fastEngine();
  Settings.Models = {"asistente"};
  Settings.MaxMemoryTokens = 100;
  start(Settings);
  Json Other = chatBody("x", 1);
  Other["model"] = "mercado";
  BOOST_TEST(chat(Other).Status == 404);
  BOOST_TEST(chat(chatBody("x", 100)).Status == 400);
  BOOST_TEST(chat({{"model", "asistente"}}).Status == 400);
  Client->post("/v1/orders", {{"kind", "load_model"}, {"value", "mercado"}});
  BOOST_TEST(chat(Other).Status == 200);
  BOOST_TEST(get("/v1/stats")["requests"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Streams)

BOOST_AUTO_TEST_CASE(ResumeWithExactlyTheMissingTokens) {
  std::string Whole = contentOf(stream("s", 20)->rest().value());
  for (int Offset : {0, 1, 19, 20}) {
    auto Rest = resume("s", Offset)->rest().value();
    BOOST_TEST(Rest.size() == 21u - Offset);
    std::string Text = contentOf(Rest);
    BOOST_TEST(Text == Whole.substr(Whole.size() - Text.size()));
  }
  BOOST_TEST(Client->get("/v1/streams/none?offset=0").value().Status == 404);
}

BOOST_AUTO_TEST_CASE(GoOnAfterTheirCallerLeft) {
  std::string Seen;
  {
    auto Events = stream("s", 200);
    for (int I = 0; I < 3; ++I)
      Seen += contentOf(**Events->next());
  }
  auto Rest = resume("s", 3)->rest().value();
  BOOST_TEST(Rest.size() == 198u);
  BOOST_TEST(Seen + contentOf(Rest) ==
             contentOf(resume("s", 0)->rest().value()));
}

BOOST_AUTO_TEST_CASE(StopWhenCancelledAndReleaseTheirPlace) {
  auto Settings = fastEngine();
  Settings.MaxBatch = 1;
  start(Settings);
  auto Running = stream("running", Endless);
  BOOST_TEST(Running->next().has_value());
  auto Waiting = stream("waiting", Endless);
  await("/v1/load", "waiting", 1);
  for (const char *Name : {"waiting", "running"})
    BOOST_TEST(
        Client->remove(std::string("/v1/streams/") + Name).value().Status ==
        200);
  auto Last = Running->rest().value().back();
  BOOST_TEST(Last["choices"][0]["finish_reason"] == "cancelled");
  BOOST_TEST(Waiting->rest().value().size() == 1u);
  BOOST_TEST(get("/v1/load")["running"] == 0);
  BOOST_TEST(get("/v1/stats")["cancelled"] == 2);
  BOOST_TEST(Client->remove("/v1/streams/none").value().Status == 404);
}

BOOST_AUTO_TEST_CASE(RefuseAKnownName) {
  stream("s", 1)->rest();
  BOOST_TEST(stream("s", 1)->answer().Status == 409);
  BOOST_TEST(get("/v1/stats")["requests"] == 1);
}

BOOST_AUTO_TEST_CASE(StaySilentForGoodOnceSilenced) {
  auto Silenced = stream("s", Endless, milliseconds(200));
  BOOST_TEST(Silenced->next().has_value());
  faults({{"silence_open", true}});
  // What was sent before may still arrive.
  auto Next = Silenced->next();
  for (int Left = 1000; Next && Left > 0; --Left)
    Next = Silenced->next();
  BOOST_REQUIRE(!Next);
  BOOST_TEST(Next.error().Kind == ErrorKind::Timeout);
  BOOST_TEST(contentOf(**resume("s", 0)->next()) != "");
  faults({{"freeze_streams", true}});
  auto Frozen = stream("t", 1, milliseconds(100));
  Next = Frozen->next();
  BOOST_REQUIRE(!Next);
  BOOST_TEST(Next.error().Kind == ErrorKind::Timeout);
  faults({{"freeze_streams", false}});
  BOOST_TEST(!Frozen->next().has_value());
  BOOST_TEST(resume("t", 0)->rest().value().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(RefusesOrFailsBeforeRunningUnderFaults) {
  faults({{"refuse", true}});
  BOOST_TEST(chat(chatBody("x", 1)).Status == 503);
  faults({{"refuse", false}, {"fail_next", 1}});
  BOOST_TEST(chat(chatBody("x", 1)).Status == 500);
  BOOST_TEST(get("/v1/stats")["requests"] == 0);
  BOOST_TEST(chat(chatBody("x", 1)).Status == 200);
}

BOOST_AUTO_TEST_CASE(TakesOrdersByTheirFenceOnlyWhenItChecks) {
  const OrderRow Rows[] = {
      {5, "prefill", 200}, {4, "decode", 409}, {5, "both", 200}};
  for (bool Checks : {false, true}) {
    auto Settings = fastEngine();
    Settings.CheckFence = Checks;
    start(Settings);
    for (const auto &Row : Rows)
      BOOST_TEST_CONTEXT("checks " << Checks << ", fence " << Row.Fence) {
        auto Answer = Client->post(
            "/v1/orders",
            {{"fence", Row.Fence}, {"kind", "set_role"}, {"value", Row.Value}});
        int Status = Checks ? Row.StatusIfChecked : 200;
        BOOST_TEST(Answer.value().Status == Status);
        BOOST_TEST(Answer.value().Body["fence"] == 5);
        Json Role = get("/v1/orders")["state"]["set_role"];
        BOOST_TEST((Role == Row.Value) == (Status == 200));
      }
  }
  BOOST_TEST(Client->post("/v1/orders", {{"kind", "other"}}).value().Status ==
             400);
}

BOOST_AUTO_TEST_CASE(ReportsLateAndWithGaps) {
  ManualClock Time;
  auto Settings = fastEngine();
  Settings.Time = &Time;
  Settings.EventLag = seconds(2);
  Settings.LoadLag = seconds(1);
  Settings.EventLossEvery = 2;
  start(Settings);
  for (const char *Text : {"a", "b", "c"})
    chat(chatBody(Text, 1));
  BOOST_TEST(get("/v1/cache/events")["events"].empty());
  BOOST_TEST(get("/v1/load")["cached_tokens"] == 0);
  Time.advance(seconds(1));
  BOOST_TEST(get("/v1/cache/events")["events"].empty());
  BOOST_TEST(get("/v1/load")["cached_tokens"] == 12);
  Time.advance(seconds(1));
  Json Events = get("/v1/cache/events?after=0")["events"];
  BOOST_REQUIRE_EQUAL(Events.size(), 2u);
  BOOST_TEST(Events[0]["number"] == 1);
  Json Third = {
      {"number", 3}, {"kind", "stored"}, {"key", "stream-3"}, {"tokens", 4}};
  BOOST_TEST(get("/v1/cache/events?after=1")["events"] == Json::array({Third}));
}

BOOST_AUTO_TEST_SUITE_END()
