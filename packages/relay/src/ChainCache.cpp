#include "tamarack/relay/ChainCache.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The memory that a turn takes besides its text: list and map nodes, ids and
/// string headers.
constexpr std::size_t TurnOverheadBytes = 400;

std::size_t memoryBytes(const StoredTurn &Turn) {
  return textBytes(Turn) + TurnOverheadBytes;
}

} // namespace

void ChainCache::add(std::shared_ptr<const StoredTurn> Turn) {
  if (Index.count(Turn->Id.text()) > 0)
    return;
  Bytes += memoryBytes(*Turn);
  Turns.push_front(std::move(Turn));
  Index[Turns.front()->Id.text()] = Turns.begin();
  while (Bytes > MaxBytes && Turns.size() > 1) {
    Bytes -= memoryBytes(*Turns.back());
    Index.erase(Turns.back()->Id.text());
    Turns.pop_back();
  }
}

std::vector<std::shared_ptr<const StoredTurn>>
ChainCache::chain(const TurnId &Turn) {
  std::vector<std::shared_ptr<const StoredTurn>> Result;
  TurnId NextTurn = Turn;
  while (!NextTurn.empty()) {
    const auto It = Index.find(NextTurn.text());
    if (It == Index.end())
      return {};
    Turns.splice(Turns.begin(), Turns, It->second);
    Result.push_back(*It->second);
    NextTurn = Result.back()->Previous;
  }
  std::reverse(Result.begin(), Result.end());
  return Result;
}

} // namespace tamarack
