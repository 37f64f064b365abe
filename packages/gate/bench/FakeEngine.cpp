#include "FakeEngine.h"

#include <algorithm>

namespace tamarack {

bool FakeEngine::cancel(std::size_t Call) {
  const auto IsCall = [&](const Sequence &Each) {
    return Each.Request.Call == Call;
  };
  const std::size_t Before = Queue.size() + Batch.size();
  Queue.erase(std::remove_if(Queue.begin(), Queue.end(), IsCall), Queue.end());
  Batch.erase(std::remove_if(Batch.begin(), Batch.end(), IsCall), Batch.end());
  return Queue.size() + Batch.size() < Before;
}

TokenCount FakeEngine::heldTokens() const {
  TokenCount Sum = 0;
  for (const Sequence &Each : Batch)
    Sum += held(Each);
  return Sum;
}

/// Takes requests in while the prompt fits; answers grow beyond that, which is
/// how engines come to preempt.
void FakeEngine::admit() {
  TokenCount Taken = 0;
  for (const Sequence &Each : Batch)
    Taken += Each.Request.PromptTokens + Each.Produced;
  while (!Queue.empty() && Batch.size() < Model.MaxBatch) {
    Sequence &Next = Queue.front();
    Taken += Next.Request.PromptTokens;
    if (Taken > Model.MemoryTokens && !Batch.empty())
      return;
    Next.Prefilled =
        std::max(Next.Prefilled, std::min(Next.Request.CachedTokens,
                                          Next.Request.PromptTokens - 1));
    Batch.push_back(Next);
    Queue.pop_front();
  }
}

/// Puts the latest sequence back to the front of the queue. What it held is
/// lost and prefilled again, answer included.
void FakeEngine::preempt() {
  while (heldTokens() + Batch.size() > Model.MemoryTokens && Batch.size() > 1) {
    Sequence Last = Batch.back();
    Batch.pop_back();
    Last.Prefilled = 0;
    Last.Request.CachedTokens = 0;
    Last.Request.PromptTokens += Last.Produced;
    Last.Request.OutputTokens -= Last.Produced;
    Last.Produced = 0;
    Queue.push_front(Last);
  }
}

void FakeEngine::prefill(EngineStep &Step) {
  for (Sequence &Each : Batch) {
    const TokenCount Missing = Each.Request.PromptTokens - Each.Prefilled;
    const TokenCount Chunk =
        std::min(Missing, Model.ChunkTokens - Step.Prefilled);
    Each.Prefilled += Chunk;
    Step.Prefilled += Chunk;
  }
}

void FakeEngine::decode(EngineStep &Step) {
  for (Sequence &Each : Batch) {
    if (!isDecoding(Each))
      continue;
    ++Each.Produced;
    ++Step.Decoding;
    if (!Each.Started)
      Step.FirstTokens.push_back(Each.Request.Call);
    Each.Started = true;
    if (Each.Produced >= Each.Request.OutputTokens)
      Step.Finished.push_back(Each.Request.Call);
  }
  Batch.erase(std::remove_if(Batch.begin(), Batch.end(),
                             [](const Sequence &Each) {
                               return isDecoding(Each) &&
                                      Each.Produced >=
                                          Each.Request.OutputTokens;
                             }),
              Batch.end());
}

EngineStep FakeEngine::step() {
  preempt();
  admit();
  EngineStep Step;
  prefill(Step);
  const auto Batched = static_cast<Duration::rep>(Batch.size());
  decode(Step);
  Step.Length =
      Model.Base + Model.PerSequence * Batched +
      Model.PerPrefillToken * static_cast<Duration::rep>(Step.Prefilled);
  return Step;
}

} // namespace tamarack
