#include "FakeEngine.h"

#include <algorithm>

namespace tamarack {

bool FakeEngine::cancel(std::size_t Call) {
  const auto IsCall = [&](const Sequence &Item) {
    return Item.Request.Call == Call;
  };
  const std::size_t Before = Queue.size() + Batch.size();
  Queue.erase(std::remove_if(Queue.begin(), Queue.end(), IsCall), Queue.end());
  Batch.erase(std::remove_if(Batch.begin(), Batch.end(), IsCall), Batch.end());
  return Queue.size() + Batch.size() < Before;
}

TokenCount FakeEngine::heldTokens() const {
  TokenCount Sum = 0;
  for (const Sequence &Item : Batch)
    Sum += held(Item);
  return Sum;
}

/// Moves requests from the queue to the batch as long as their prompts fit in
/// memory. Memory can run out later, as answers grow; the engine then preempts.
void FakeEngine::admit() {
  TokenCount Taken = 0;
  for (const Sequence &Item : Batch)
    Taken += Item.Request.PromptTokens + Item.Produced;
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

/// Moves sequences from the end of the batch back to the front of the queue
/// until the next tokens fit in memory. All their tokens, including those of
/// the answer, have to be prefilled again.
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
  for (Sequence &Item : Batch) {
    const TokenCount Missing = Item.Request.PromptTokens - Item.Prefilled;
    const TokenCount Chunk =
        std::min(Missing, Model.ChunkTokens - Step.Prefilled);
    Item.Prefilled += Chunk;
    Step.Prefilled += Chunk;
  }
}

void FakeEngine::decode(EngineStep &Step) {
  for (Sequence &Item : Batch) {
    if (!isDecoding(Item))
      continue;
    ++Item.Produced;
    ++Step.Decoding;
    if (!Item.Started)
      Step.FirstTokens.push_back(Item.Request.Call);
    Item.Started = true;
    if (Item.Produced >= Item.Request.OutputTokens)
      Step.Finished.push_back(Item.Request.Call);
  }
  Batch.erase(std::remove_if(Batch.begin(), Batch.end(),
                             [](const Sequence &Item) {
                               return isDecoding(Item) &&
                                      Item.Produced >=
                                          Item.Request.OutputTokens;
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
