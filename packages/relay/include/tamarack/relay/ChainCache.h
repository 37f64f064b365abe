/// An LRU cache of the turns that an entry has stored or read, which saves
/// reading them from the ledgers.
///
/// Turns are immutable, so cached turns never go stale. A turn that is not
/// cached may still exist at the ledgers.
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
  explicit ChainCache(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Adds \p Turn and evicts the least recently used turns above the limit.
  void add(std::shared_ptr<const StoredTurn> Turn);
  /// Returns \p Turn and all turns before it, oldest first; empty if any of
  /// them is not cached.
  std::vector<std::shared_ptr<const StoredTurn>> chain(const TurnId &Turn);
  std::size_t bytes() const { return Bytes; }

private:
  using LruList = std::list<std::shared_ptr<const StoredTurn>>;

  const std::size_t MaxBytes;
  std::size_t Bytes = 0;
  /// The most recently used first.
  LruList Turns;
  std::unordered_map<std::string, LruList::iterator> Index;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_CHAINCACHE_H
