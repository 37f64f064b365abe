/// A fake of an engine's prompt cache, which evicts the least recently used
/// prompts.
///
///   PromptCacheFake Cache;
///   TokenCount Hit = Cache.take(Program); // need not be prefilled
///   Cache.put(Program, Tokens);           // after the call
#ifndef TAMARACK_ROUTING_BENCH_PROMPTCACHEFAKE_H
#define TAMARACK_ROUTING_BENCH_PROMPTCACHEFAKE_H

#include "tamarack/base/Ids.h"

#include <algorithm>
#include <list>
#include <utility>

namespace tamarack {

class PromptCacheFake {
public:
  /// Removes the prompt of \p Program and returns its cached tokens; zero if
  /// none is cached.
  TokenCount take(std::size_t Program) {
    const auto Found =
        std::find_if(Entries.begin(), Entries.end(),
                     [&](const auto &Entry) { return Entry.first == Program; });
    if (Found == Entries.end())
      return 0;
    const TokenCount Tokens = Found->second;
    TotalTokens -= Tokens;
    Entries.erase(Found);
    return Tokens;
  }

  /// Caches the prompt of \p Program.
  void put(std::size_t Program, TokenCount Tokens) {
    Entries.emplace_front(Program, Tokens);
    TotalTokens += Tokens;
    while (TotalTokens > CapacityTokens) {
      TotalTokens -= Entries.back().second;
      Entries.pop_back();
    }
  }

private:
  static constexpr TokenCount CapacityTokens = 400'000;

  /// Programs and their tokens, the most recently used first.
  std::list<std::pair<std::size_t, TokenCount>> Entries;
  TokenCount TotalTokens = 0;
};

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_PROMPTCACHEFAKE_H
