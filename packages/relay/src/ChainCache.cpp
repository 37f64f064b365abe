#include "tamarack/relay/ChainCache.h"

#include <algorithm>

namespace tamarack {
namespace {

/// What a turn costs besides its text: nodes, ids and the strings' headers.
constexpr std::size_t TurnOverhead = 400;

std::size_t costOf(const StoredTurn &Turn) {
  return Turn.Input.size() + Turn.Output.size() + TurnOverhead;
}

} // namespace

void ChainCache::add(std::shared_ptr<const StoredTurn> Turn) {
  if (Places.count(Turn->Id.text()) > 0)
    return;
  Bytes += costOf(*Turn);
  Turns.push_front(std::move(Turn));
  Places[Turns.front()->Id.text()] = Turns.begin();
  while (Bytes > MostBytes && Turns.size() > 1) {
    Bytes -= costOf(*Turns.back());
    Places.erase(Turns.back()->Id.text());
    Turns.pop_back();
  }
}

std::vector<std::shared_ptr<const StoredTurn>>
ChainCache::chain(const TurnId &Turn) {
  std::vector<std::shared_ptr<const StoredTurn>> Result;
  TurnId Next = Turn;
  while (!Next.empty()) {
    const auto Place = Places.find(Next.text());
    if (Place == Places.end())
      return {};
    Turns.splice(Turns.begin(), Turns, Place->second);
    Result.push_back(*Place->second);
    Next = Result.back()->Previous;
  }
  std::reverse(Result.begin(), Result.end());
  return Result;
}

} // namespace tamarack
