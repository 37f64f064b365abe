#include "EngineBatch.h"

#include <algorithm>
#include <array>

namespace tamarack::internal {
namespace {

/// The most tokens that one step prefills.
constexpr TokenCount PrefillChunkTokens = 512;

constexpr std::array<const char *, 16> Vocabulary = {
    "lift",  "brief", "visit",  "design", "tuesday", "battery",
    "reply", "seat",  "colour", "logo",   "rail",    "remote",
    "check", "plan",  "street", "sample"};

TokenCount reservedTokens(const BatchRequest &Request) {
  return Request.Prompt.size() + Request.MaxTokens;
}

std::uint64_t hashOf(const TokenSequence &Tokens) {
  std::string_view Bytes(reinterpret_cast<const char *>(Tokens.data()),
                         Tokens.size() * sizeof(TokenHash));
  return stableHash(Bytes);
}

/// The prompt as far as computed, followed by what was generated.
TokenSequence computedTokens(const RunningRequest &Running) {
  TokenSequence Tokens = Running.Request.Prompt;
  Tokens.resize(Tokens.size() - Running.PrefillLeft);
  if (Running.Generated == 0)
    return Tokens;
  Tokens.push_back(stableHash(AssistantPrefix));
  for (TokenCount I = 0; I < Running.Generated; ++I)
    Tokens.push_back(stableHash(answerWord(Running.Request.Prompt, I)));
  return Tokens;
}

TokenCount cacheBound(const BatchState &State, const BatchLimits &Limits) {
  TokenCount Running = runningTokens(State);
  TokenCount Free =
      Limits.MaxMemoryTokens > Running ? Limits.MaxMemoryTokens - Running : 0;
  return std::min(Limits.CacheTokens, Free);
}

bool fits(const BatchState &State, const BatchLimits &Limits) {
  if (State.Running.empty())
    return true;
  TokenCount Needed =
      runningTokens(State) + reservedTokens(State.Waiting.front());
  return State.Running.size() < Limits.MaxBatch &&
         Needed <= Limits.MaxMemoryTokens;
}

void admitNext(BatchState &State, const BatchLimits &Limits) {
  RunningRequest Next;
  Next.Request = std::move(State.Waiting.front());
  State.Waiting.pop_front();
  PrefixMatch Match = matchPrefix(State.Cache, Next.Request.Prompt);
  Next.Cached = Match.Cached;
  Next.PrefillLeft = Next.Request.Prompt.size() - Match.Cached;
  State.Count.Prefilled += Next.PrefillLeft;
  State.Count.PrefilledAgain += Match.Again;
  State.Running.push_back(std::move(Next));
  shrinkCache(State.Cache, cacheBound(State, Limits));
}

TokenCount prefillChunk(BatchState &State) {
  TokenCount Left = PrefillChunkTokens;
  for (auto &Running : State.Running) {
    TokenCount Share = std::min(Left, Running.PrefillLeft);
    Running.PrefillLeft -= Share;
    Left -= Share;
  }
  return PrefillChunkTokens - Left;
}

bool finished(const RunningRequest &Running) {
  return Running.PrefillLeft == 0 &&
         Running.Generated >= Running.Request.MaxTokens;
}

void keepInCache(BatchState &State, const BatchLimits &Limits,
                 const RunningRequest &Running) {
  storeSequence(State.Cache, Running.Request.CacheKey, computedTokens(Running),
                cacheBound(State, Limits));
}

void retireFinished(BatchState &State, const BatchLimits &Limits) {
  auto FirstDone =
      std::stable_partition(State.Running.begin(), State.Running.end(),
                            [](const auto &Each) { return !finished(Each); });
  std::vector<RunningRequest> Done(
      std::make_move_iterator(FirstDone),
      std::make_move_iterator(State.Running.end()));
  State.Running.erase(FirstDone, State.Running.end());
  for (const auto &Each : Done)
    keepInCache(State, Limits, Each);
}

Duration prefillTime(TokenCount Tokens, const BatchLimits &Limits) {
  constexpr double MicrosecondsPerMs = 1000;
  double Micros = Tokens * MicrosecondsPerMs / Limits.PrefillTokensPerMs;
  return Duration(static_cast<Duration::rep>(Micros));
}

} // namespace

StepOutcome stepBatch(BatchState &State, const BatchLimits &Limits) {
  while (!State.Waiting.empty() && fits(State, Limits))
    admitNext(State, Limits);
  StepOutcome Outcome;
  if (State.Running.empty())
    return Outcome;
  Outcome.Takes = Limits.TokenTime + prefillTime(prefillChunk(State), Limits);
  for (auto &Running : State.Running) {
    if (Running.PrefillLeft > 0)
      continue;
    if (Running.Generated < Running.Request.MaxTokens) {
      ++Running.Generated;
      ++State.Count.Generated;
    }
    Outcome.Progress.push_back({Running.Request.Stream, Running.Cached,
                                Running.Generated, finished(Running)});
  }
  retireFinished(State, Limits);
  return Outcome;
}

bool cancelRequest(BatchState &State, const BatchLimits &Limits,
                   const std::string &Stream) {
  auto Waiting = std::find_if(
      State.Waiting.begin(), State.Waiting.end(),
      [&](const BatchRequest &Each) { return Each.Stream == Stream; });
  if (Waiting != State.Waiting.end()) {
    State.Waiting.erase(Waiting);
    return true;
  }
  auto Found = std::find_if(
      State.Running.begin(), State.Running.end(),
      [&](const auto &Each) { return Each.Request.Stream == Stream; });
  if (Found == State.Running.end())
    return false;
  RunningRequest Cancelled = std::move(*Found);
  State.Running.erase(Found);
  keepInCache(State, Limits, Cancelled);
  return true;
}

TokenCount runningTokens(const BatchState &State) {
  TokenCount Sum = 0;
  for (const auto &Each : State.Running)
    Sum += reservedTokens(Each.Request);
  return Sum;
}

std::string answerWord(const TokenSequence &Prompt, TokenCount Index) {
  std::uint64_t Hash = stableHash(std::to_string(Index), hashOf(Prompt));
  return Vocabulary[Hash % Vocabulary.size()];
}

} // namespace tamarack::internal
