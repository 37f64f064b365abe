/// A fake of an engine's prompt cache, which lets go the least recently used.
///
///   PromptCacheFake Cache;
///   TokenCount Hit = Cache.take(Program); // what need not be prefilled
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
  /// Removes and returns the tokens held for \p Program.
  TokenCount take(std::size_t Program) {
    const auto Found =
        std::find_if(Held.begin(), Held.end(),
                     [&](const auto &Each) { return Each.first == Program; });
    if (Found == Held.end())
      return 0;
    const TokenCount Tokens = Found->second;
    Total -= Tokens;
    Held.erase(Found);
    return Tokens;
  }

  void put(std::size_t Program, TokenCount Tokens) {
    Held.emplace_front(Program, Tokens);
    Total += Tokens;
    while (Total > Capacity) {
      Total -= Held.back().second;
      Held.pop_back();
    }
  }

private:
  static constexpr TokenCount Capacity = 400'000;

  /// Programs and their tokens, the last used first.
  std::list<std::pair<std::size_t, TokenCount>> Held;
  TokenCount Total = 0;
};

} // namespace tamarack

#endif // TAMARACK_ROUTING_BENCH_PROMPTCACHEFAKE_H
