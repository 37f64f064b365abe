/// A stand-in for a model engine: continuous batching, a bounded prefix cache,
/// resumable streams, late reports and orders.
///
///   EngineServer::Options Settings;
///   Settings.TokenTime = std::chrono::milliseconds(1);
///   auto Engine = EngineServer::create(Settings);
///
/// Interface over HTTP on 127.0.0.1:
///   POST   /v1/chat/completions  OpenAI form, "stream" and "cache_key"
///   GET    /v1/streams/ID?offset=N, DELETE /v1/streams/ID
///   GET    /v1/cache, DELETE /v1/cache/KEY, GET /v1/cache/events?after=N
///   GET    /v1/load              {"running","waiting","cached_tokens"}
///   POST   /v1/orders            {"fence","kind","value"}; GET /v1/orders
///   GET    /v1/stats
///   POST   /v1/faults            {"refuse","freeze_streams","silence_open",
///                                 "fail_next"}
/// The header X-Stream-Id names a stream and is echoed; a known name is 409.
/// Tokens are the words of the rendered messages ("role: content"). The answer
/// has exactly max_tokens words and depends on the prompt only. A caller that
/// disconnects does not stop its stream.
///
/// While "freeze_streams" holds, every answer connection goes silent for good;
/// "silence_open" does so to those open now, while new ones work.
#ifndef TAMARACK_STANDINS_ENGINESERVER_H
#define TAMARACK_STANDINS_ENGINESERVER_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace tamarack {

class EngineServer {
public:
  struct Options {
    /// Zero takes any free port.
    std::uint16_t Port = 0;
    /// The models served; empty serves any name.
    std::set<std::string> Models = {};
    std::size_t MaxBatch = 32;
    /// Bound on the tokens of running requests and the cache together.
    TokenCount MaxMemoryTokens = 1'000'000;
    TokenCount CacheTokens = 200'000;
    /// The time of one decoding step.
    Duration TokenTime = std::chrono::milliseconds(5);
    double PrefillTokensPerMs = 50;
    Duration LoadLag{0};
    Duration EventLag{0};
    /// Drops every such event from the report; zero drops none.
    std::uint64_t EventLossEvery = 0;
    /// Whether orders with an older fencing number are refused.
    bool CheckFence = false;
    /// Time of the lagging reports; the system's clock when null. It must
    /// outlive the server.
    const Clock *Time = nullptr;
  };

  static Expected<std::unique_ptr<EngineServer>> create(Options Settings);
  ~EngineServer();

  std::uint16_t port() const;

private:
  struct Impl;
  explicit EngineServer(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack

#endif // TAMARACK_STANDINS_ENGINESERVER_H
