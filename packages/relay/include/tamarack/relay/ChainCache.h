/// The turns that an entry has seen, so that it need not ask a ledger.
///
/// Turns never change, so that what is here is right; what is not may still be
/// at the ledgers. The least recently used turns yield.
#ifndef TAMARACK_RELAY_CHAINCACHE_H
#define TAMARACK_RELAY_CHAINCACHE_H

#include "tamarack/turns/TurnStore.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarack {

class ChainCache {
public:
  explicit ChainCache(std::size_t MostBytes) : MostBytes(MostBytes) {}

  void add(std::shared_ptr<const StoredTurn> Turn);
  /// \p Turn and all before it, oldest first; empty where a turn is missing.
  std::vector<std::shared_ptr<const StoredTurn>> chain(const TurnId &Turn);
  std::size_t bytes() const { return Bytes; }

private:
  using Order = std::list<std::shared_ptr<const StoredTurn>>;

  const std::size_t MostBytes;
  std::size_t Bytes = 0;
  /// The most recently used first.
  Order Turns;
  std::unordered_map<std::string, Order::iterator> Places;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_CHAINCACHE_H
