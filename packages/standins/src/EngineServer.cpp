#include "tamarack/standins/EngineServer.h"

#include "EngineCore.h"
#include "EngineOrders.h"
#include "HttpHost.h"

#include "tamarack/standins/EngineAnswer.h"

#include <mutex>
#include <thread>

namespace tamarack {
using namespace internal;
namespace {

constexpr TokenCount DefaultMaxTokens = 16;
constexpr std::chrono::milliseconds SilentSlice(100);

struct EngineFaults {
  bool Refuse = false;
  bool FreezeStreams = false;
  /// Connections opened up to this number are silent.
  std::uint64_t SilentUpTo = 0;
  std::uint64_t FailNext = 0;
};

struct ChatRequest {
  std::string Model;
  bool Stream = false;
  BatchRequest Batch;
};

ChatRequest parseChat(const Json &Body, const std::string &Stream) {
  ChatRequest Chat;
  Chat.Model = Body.value("model", "");
  Chat.Stream = Body.value("stream", false);
  Chat.Batch.Stream = Stream;
  Chat.Batch.CacheKey = Body.value("cache_key", Stream);
  Chat.Batch.Prompt = tokensOf(renderedPrompt(Body.at("messages")));
  Chat.Batch.MaxTokens = Body.value("max_tokens", DefaultMaxTokens);
  return Chat;
}

const char *finishReason(const StreamView &View) {
  return View.Cancelled ? "cancelled" : "length";
}

Json usageJson(const StreamView &View) {
  return {{"prompt_tokens", View.PromptTokens},
          {"completion_tokens", View.Generated},
          {"total_tokens", View.PromptTokens + View.Generated},
          {"prompt_tokens_details", {{"cached_tokens", View.CachedTokens}}}};
}

std::string tokenText(const std::string &Word, TokenCount Index) {
  return Index == 0 ? Word : " " + Word;
}

Json chunkJson(const std::string &Stream, const StreamView &View, Json Delta,
               Json Finish) {
  Json Choice = {{"index", 0},
                 {"delta", std::move(Delta)},
                 {"finish_reason", std::move(Finish)}};
  return {{"id", Stream},
          {"object", "chat.completion.chunk"},
          {"model", View.Model},
          {"choices", Json::array({Choice})}};
}

Json completionJson(const std::string &Stream, const StreamView &View,
                    const std::string &Text) {
  Json Choice = {{"index", 0},
                 {"message", {{"role", "assistant"}, {"content", Text}}},
                 {"finish_reason", finishReason(View)}};
  return {{"id", Stream},
          {"object", "chat.completion"},
          {"model", View.Model},
          {"choices", Json::array({Choice})},
          {"usage", usageJson(View)}};
}

Json errorJson(const std::string &Message) {
  return {{"error", {{"message", Message}}}};
}

} // namespace

struct EngineServer::Impl {
  explicit Impl(const Options &Settings) : Settings(Settings), Core(Settings) {}

  Options Settings;
  std::mutex Mutex;
  EngineFaults Fault;
  OrderState Orders;
  std::uint64_t Connections = 0;
  std::uint64_t StreamsNamed = 0;
  EngineCore Core;
  /// Last, so that no handler runs once the members above are gone.
  std::unique_ptr<HttpHost> Host;

  void handle(Exchange &Call);
  void chat(Exchange &Call);
  void resume(Exchange &Call, const std::string &Stream);
  void cancel(Exchange &Call, const std::string &Stream);
  void handleOrder(Exchange &Call);
  void handleFaults(Exchange &Call);
  void answerCache(Exchange &Call);
  void report(Exchange &Call);
  bool refusesChat(Exchange &Call);
  bool serves(const std::string &Model);
  std::string streamName(const Exchange &Call);
  std::uint64_t openConnection();
  bool silent(std::uint64_t Connection);
  bool keepSilentIfFrozen(Exchange &Call, std::uint64_t Connection);
  void sendStream(Exchange &Call, const std::string &Stream, TokenCount Offset);
  void sendWhole(Exchange &Call, const std::string &Stream);
};

void EngineServer::Impl::handle(Exchange &Call) {
  if (Call.is("POST", "/v1/chat/completions"))
    return chat(Call);
  if (auto Stream = Call.pathBehind("/v1/streams/"))
    return Call.method() == "DELETE" ? cancel(Call, *Stream)
                                     : resume(Call, *Stream);
  if (Call.path().rfind("/v1/cache", 0) == 0)
    return answerCache(Call);
  if (Call.is("POST", "/v1/orders"))
    return handleOrder(Call);
  if (Call.is("POST", "/v1/faults"))
    return handleFaults(Call);
  report(Call);
}

void EngineServer::Impl::chat(Exchange &Call) {
  if (refusesChat(Call))
    return;
  std::string Stream = streamName(Call);
  ChatRequest Chat = parseChat(Call.body(), Stream);
  if (!serves(Chat.Model))
    return Call.answer(404, errorJson("unknown model " + Chat.Model));
  switch (Core.submit(Chat.Model, std::move(Chat.Batch))) {
  case Submission::AlreadyKnown:
    return Call.answer(409, errorJson("stream is known: " + Stream));
  case Submission::TooLong:
    return Call.answer(400, errorJson("request exceeds the engine's memory"));
  case Submission::Accepted:
    break;
  }
  Call.setHeader("X-Stream-Id", Stream);
  if (Chat.Stream)
    return sendStream(Call, Stream, 0);
  sendWhole(Call, Stream);
}

bool EngineServer::Impl::refusesChat(Exchange &Call) {
  std::unique_lock Lock(Mutex);
  if (Fault.Refuse) {
    Lock.unlock();
    Call.answer(503, errorJson("refused"));
    return true;
  }
  if (Fault.FailNext == 0)
    return false;
  --Fault.FailNext;
  Lock.unlock();
  Call.answer(500, errorJson("failed before running"));
  return true;
}

bool EngineServer::Impl::serves(const std::string &Model) {
  std::lock_guard Lock(Mutex);
  return Settings.Models.empty() || Settings.Models.count(Model) > 0 ||
         Orders.Models.count(Model) > 0;
}

std::string EngineServer::Impl::streamName(const Exchange &Call) {
  std::string Name = Call.header("X-Stream-Id");
  if (!Name.empty())
    return Name;
  std::lock_guard Lock(Mutex);
  return "stream-" + std::to_string(++StreamsNamed);
}

void EngineServer::Impl::resume(Exchange &Call, const std::string &Stream) {
  TokenCount Offset = Call.numberQuery("offset", 0);
  if (!Core.waitForTokens(Stream, 0))
    return Call.answer(404, errorJson("unknown stream " + Stream));
  Call.setHeader("X-Stream-Id", Stream);
  sendStream(Call, Stream, Offset);
}

void EngineServer::Impl::cancel(Exchange &Call, const std::string &Stream) {
  bool Known = Core.cancel(Stream);
  Call.answer(Known ? 200 : 404, Json::object());
}

std::uint64_t EngineServer::Impl::openConnection() {
  std::lock_guard Lock(Mutex);
  return ++Connections;
}

bool EngineServer::Impl::silent(std::uint64_t Connection) {
  std::lock_guard Lock(Mutex);
  return Fault.FreezeStreams || Connection <= Fault.SilentUpTo;
}

/// Holds a silent connection open until its caller gives up.
bool EngineServer::Impl::keepSilentIfFrozen(Exchange &Call,
                                            std::uint64_t Connection) {
  if (!silent(Connection))
    return false;
  while (!Core.stopping() && !Call.callerGone())
    std::this_thread::sleep_for(SilentSlice);
  Call.drop();
  return true;
}

void EngineServer::Impl::sendStream(Exchange &Call, const std::string &Stream,
                                    TokenCount Offset) {
  std::uint64_t Connection = openConnection();
  Call.beginEvents();
  while (!Core.stopping()) {
    auto View = Core.waitForTokens(Stream, Offset);
    if (!View || keepSilentIfFrozen(Call, Connection))
      return;
    for (const auto &Word : View->NewTokens) {
      Json Delta = {{"content", tokenText(Word, Offset++)}};
      if (!Call.sendEvent(chunkJson(Stream, *View, Delta, nullptr).dump()))
        return;
    }
    if (!View->Finished)
      continue;
    Json Last = chunkJson(Stream, *View, Json::object(), finishReason(*View));
    Last["usage"] = usageJson(*View);
    Call.sendEvent(Last.dump());
    Call.sendEvent("[DONE]");
    return;
  }
}

void EngineServer::Impl::sendWhole(Exchange &Call, const std::string &Stream) {
  std::uint64_t Connection = openConnection();
  std::string Text;
  TokenCount Offset = 0;
  while (!Core.stopping()) {
    auto View = Core.waitForTokens(Stream, Offset);
    if (!View || keepSilentIfFrozen(Call, Connection))
      return;
    for (const auto &Word : View->NewTokens)
      Text += tokenText(Word, Offset++);
    if (View->Finished)
      return Call.answer(200, completionJson(Stream, *View, Text));
  }
  Call.drop();
}

void EngineServer::Impl::handleOrder(Exchange &Call) {
  Json Body = Call.body();
  EngineOrder Order{Body.value("fence", std::uint64_t(0)),
                    Body.at("kind").get<std::string>(),
                    Body.value("value", Json())};
  if (!isOrderKind(Order.Kind))
    return Call.answer(400, errorJson("unknown order " + Order.Kind));
  std::unique_lock Lock(Mutex);
  bool Taken = takeOrder(Orders, Order, Settings.CheckFence);
  Json Answer = {{"fence", Orders.Fence}};
  Lock.unlock();
  Call.answer(Taken ? 200 : 409, Answer);
}

void EngineServer::Impl::handleFaults(Exchange &Call) {
  Json Body = Call.body();
  std::unique_lock Lock(Mutex);
  Fault.Refuse = Body.value("refuse", Fault.Refuse);
  Fault.FreezeStreams = Body.value("freeze_streams", Fault.FreezeStreams);
  Fault.FailNext = Body.value("fail_next", Fault.FailNext);
  if (Body.value("silence_open", false))
    Fault.SilentUpTo = Connections;
  Lock.unlock();
  Call.answer(200, Json::object());
}

void EngineServer::Impl::answerCache(Exchange &Call) {
  if (Call.is("GET", "/v1/cache"))
    return Call.answer(200, Core.cacheListing());
  if (Call.is("GET", "/v1/cache/events"))
    return Call.answer(200, Core.cacheEvents(Call.numberQuery("after", 0)));
  auto Key = Call.pathBehind("/v1/cache/");
  bool Removed = Key && Call.method() == "DELETE" && Core.dropCacheEntry(*Key);
  Call.answer(Removed ? 200 : 404, Json::object());
}

void EngineServer::Impl::report(Exchange &Call) {
  if (Call.is("GET", "/v1/load"))
    return Call.answer(200, Core.laggingLoad());
  if (Call.is("GET", "/v1/stats"))
    return Call.answer(200, Core.stats());
  if (!Call.is("GET", "/v1/orders"))
    return Call.answer(404, errorJson("not found"));
  std::unique_lock Lock(Mutex);
  Json Answer = Orders;
  Lock.unlock();
  Call.answer(200, Answer);
}

EngineServer::EngineServer(std::unique_ptr<Impl> Pimpl)
    : Pimpl(std::move(Pimpl)) {}

Expected<std::unique_ptr<EngineServer>> EngineServer::create(Options Settings) {
  auto Built = std::make_unique<Impl>(Settings);
  auto Host =
      HttpHost::create(Settings.Port, [Raw = Built.get()](Exchange &Call) {
        Raw->handle(Call);
      });
  if (!Host)
    return tl::unexpected(Host.error());
  Built->Host = std::move(*Host);
  return std::unique_ptr<EngineServer>(new EngineServer(std::move(Built)));
}

EngineServer::~EngineServer() {
  Pimpl->Core.stop();
  Pimpl->Host.reset();
}

std::uint16_t EngineServer::port() const { return Pimpl->Host->port(); }

} // namespace tamarack
