/// A model engine in simulated time: continuous batching in steps, chunked
/// prefill, and preemption when memory runs out. It admits requests first come
/// first served as far as its memory and batch take them.
///
///   FakeEngine Engine(EngineModel{});
///   Engine.submit(Request);
///   EngineStep Step = Engine.step();   // lasts Step.Length
#ifndef TAMARACK_GATE_BENCH_FAKEENGINE_H
#define TAMARACK_GATE_BENCH_FAKEENGINE_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"

#include <deque>
#include <vector>

namespace tamarack {

struct EngineModel {
  std::size_t MaxBatch = 64;
  TokenCount MemoryTokens = 400'000;
  /// A step lasts Base + PerSequence * batch + PerPrefillToken * chunk.
  Duration Base = std::chrono::milliseconds(12);
  Duration PerSequence = std::chrono::microseconds(1000);
  Duration PerPrefillToken = std::chrono::microseconds(50);
  /// Prompt tokens computed in one step at most.
  TokenCount ChunkTokens = 512;
};

struct EngineRequest {
  std::size_t Call = 0;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
  TokenCount OutputTokens = 0;
};

struct EngineStep {
  Duration Length{0};
  /// Sequences that got a token in this step.
  std::vector<std::size_t> FirstTokens, Finished;
  std::size_t Decoding = 0;
  TokenCount Prefilled = 0;
};

class FakeEngine {
public:
  explicit FakeEngine(EngineModel Model) : Model(Model) {}

  void submit(const EngineRequest &Request) { Queue.push_back({Request}); }
  /// Whether the call was still known and has been removed.
  bool cancel(std::size_t Call);
  EngineStep step();

  bool isIdle() const { return Queue.empty() && Batch.empty(); }
  /// Tokens held by the running sequences.
  TokenCount heldTokens() const;

private:
  struct Sequence {
    EngineRequest Request;
    TokenCount Prefilled = 0;
    TokenCount Produced = 0;
    bool Started = false;
  };

  static TokenCount held(const Sequence &Item) {
    return Item.Prefilled + Item.Produced;
  }
  static bool isDecoding(const Sequence &Item) {
    return Item.Prefilled >= Item.Request.PromptTokens;
  }
  void admit();
  void preempt();
  void prefill(EngineStep &Step);
  void decode(EngineStep &Step);

  EngineModel Model;
  std::deque<Sequence> Queue;
  std::vector<Sequence> Batch;
};

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_FAKEENGINE_H
