/// A simulated model engine: continuous batching in steps, chunked prefill, and
/// preemption when memory runs out. It admits requests in order of arrival as
/// long as they fit in its memory and batch.
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
  /// The maximum number of prompt tokens that are prefilled in one step.
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
  /// The calls that got their first or last token in this step.
  std::vector<std::size_t> FirstTokens, Finished;
  /// The number of sequences that got a token in this step.
  std::size_t Decoding = 0;
  TokenCount Prefilled = 0;
};

class FakeEngine {
public:
  explicit FakeEngine(EngineModel Model) : Model(Model) {}

  void submit(const EngineRequest &Request) { Queue.push_back({Request}); }
  /// Removes a queued or running call. Returns whether there was one.
  bool cancel(std::size_t Call);
  /// Runs one step of the batch.
  EngineStep step();

  bool isIdle() const { return Queue.empty() && Batch.empty(); }
  /// The number of tokens in memory for the sequences of the batch.
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
