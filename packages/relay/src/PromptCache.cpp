#include "tamarack/relay/PromptCache.h"

#include <algorithm>
#include <numeric>

namespace tamarack {

TokenCount tokensOf(const std::vector<PromptPart> &Prompt) {
  return std::accumulate(
      Prompt.begin(), Prompt.end(), TokenCount(0),
      [](TokenCount Sum, const PromptPart &Part) { return Sum + Part.Tokens; });
}

TokenCount PromptCache::kept(const std::vector<PromptPart> &Prompt) const {
  TokenCount Sum = 0;
  for (const PromptPart &Part : Prompt) {
    const auto Place = Places.find(Part.Id);
    const TokenCount Known = Place == Places.end()
                                 ? 0
                                 : std::min(Place->second->Tokens, Part.Tokens);
    Sum += Known;
    if (Known < Part.Tokens)
      break;
  }
  return Sum;
}

void PromptCache::sent(const std::vector<PromptPart> &Prompt,
                       TokenCount CapacityTokens) {
  // The first parts are used last, so that they outlive what builds on them.
  for (auto Part = Prompt.rbegin(); Part != Prompt.rend(); ++Part) {
    const auto Place = Places.find(Part->Id);
    if (Place != Places.end()) {
      Total -= Place->second->Tokens;
      Parts.erase(Place->second);
    }
    Parts.push_front(*Part);
    Places[Part->Id] = Parts.begin();
    Total += Part->Tokens;
  }
  while (Total > CapacityTokens && Parts.size() > Prompt.size()) {
    Total -= Parts.back().Tokens;
    Places.erase(Parts.back().Id);
    Parts.pop_back();
  }
}

void PromptCache::clear() {
  Parts.clear();
  Places.clear();
  Total = 0;
}

} // namespace tamarack
