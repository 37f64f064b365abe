#include "tamarack/relay/PromptCache.h"

#include <algorithm>
#include <numeric>

namespace tamarack {

TokenCount promptTokens(const std::vector<PromptPart> &Prompt) {
  return std::accumulate(
      Prompt.begin(), Prompt.end(), TokenCount(0),
      [](TokenCount Sum, const PromptPart &Part) { return Sum + Part.Tokens; });
}

TokenCount
PromptCache::cachedTokens(const std::vector<PromptPart> &Prompt) const {
  TokenCount Sum = 0;
  for (const PromptPart &Part : Prompt) {
    const auto It = Index.find(Part.Id);
    const TokenCount Cached =
        It == Index.end() ? 0 : std::min(It->second->Tokens, Part.Tokens);
    Sum += Cached;
    if (Cached < Part.Tokens)
      break;
  }
  return Sum;
}

void PromptCache::recordPrompt(const std::vector<PromptPart> &Prompt,
                               TokenCount CapacityTokens) {
  // What follows a part that is not recorded is useless.
  const auto End = std::find_if(
      Prompt.begin(),
      Prompt.begin() + static_cast<std::ptrdiff_t>(
                           std::min(Prompt.size(), MaxPartsPerPrompt)),
      [](const PromptPart &Part) { return Part.Id.size() > MaxIdBytes; });
  const auto Recorded = static_cast<std::size_t>(End - Prompt.begin());
  // The first part becomes the most recently used one, because a part is
  // useless without those before it and must be evicted before them.
  for (auto Part = std::make_reverse_iterator(End); Part != Prompt.rend();
       ++Part) {
    const auto It = Index.find(Part->Id);
    if (It != Index.end()) {
      TotalTokens -= It->second->Tokens;
      Parts.erase(It->second);
    }
    Parts.push_front(*Part);
    Index[Part->Id] = Parts.begin();
    TotalTokens += Part->Tokens;
  }
  while (Parts.size() > Recorded &&
         (TotalTokens > CapacityTokens || Parts.size() > MaxParts)) {
    TotalTokens -= Parts.back().Tokens;
    Index.erase(Parts.back().Id);
    Parts.pop_back();
  }
}

void PromptCache::clear() {
  Parts.clear();
  Index.clear();
  TotalTokens = 0;
}

} // namespace tamarack
