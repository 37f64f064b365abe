/// The engine's continuous batching as a pure stepping function.
///
///   BatchState State;
///   State.Waiting.push_back({"s1", "s1", tokensOf("user: hello"), 16});
///   StepOutcome Step = stepBatch(State, Limits);
///
/// Each step admits waiting requests in order, spends a bounded share on
/// prefill and decodes one token for every request whose prefill is done.
/// The step's results are due once Step.Takes has passed.
#ifndef TAMARACK_STANDINS_ENGINEBATCH_H
#define TAMARACK_STANDINS_ENGINEBATCH_H

#include "PrefixCache.h"

#include "tamarack/base/Clock.h"

#include <deque>
#include <string>
#include <vector>

namespace tamarack::internal {

struct BatchLimits {
  std::size_t MaxBatch = 32;
  /// Bound on the tokens of running requests and the cache together.
  TokenCount MaxMemoryTokens = 1'000'000;
  TokenCount CacheTokens = 200'000;
  Duration TokenTime = std::chrono::milliseconds(5);
  double PrefillTokensPerMs = 50;
};

struct BatchRequest {
  std::string Stream;
  std::string CacheKey;
  TokenSequence Prompt;
  TokenCount MaxTokens = 0;
};

struct RunningRequest {
  BatchRequest Request;
  TokenCount Cached = 0;
  TokenCount PrefillLeft = 0;
  TokenCount Generated = 0;
};

struct BatchCounters {
  TokenCount Prefilled = 0;
  TokenCount PrefilledAgain = 0;
  TokenCount Generated = 0;
};

struct BatchState {
  std::deque<BatchRequest> Waiting;
  std::vector<RunningRequest> Running;
  PrefixCache Cache;
  BatchCounters Count;
};

/// What became of one request in a step.
struct StepProgress {
  std::string Stream;
  TokenCount Cached;
  /// The tokens generated so far, and whether they are all.
  TokenCount Generated;
  bool Finished;

  auto tied() const { return std::tie(Stream, Cached, Generated, Finished); }
};

struct StepOutcome {
  Duration Takes{0};
  std::vector<StepProgress> Progress;
};

StepOutcome stepBatch(BatchState &State, const BatchLimits &Limits);
/// Takes a request out; what was computed of it enters the cache.
bool cancelRequest(BatchState &State, const BatchLimits &Limits,
                   const std::string &Stream);
/// The tokens reserved by running requests.
TokenCount runningTokens(const BatchState &State);

/// The \p Index-th word of the answer to \p Prompt, the same on every engine.
std::string answerWord(const TokenSequence &Prompt, TokenCount Index);
/// The first word of an assistant's message in a rendered prompt.
constexpr const char *AssistantPrefix = "assistant:";

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_ENGINEBATCH_H
