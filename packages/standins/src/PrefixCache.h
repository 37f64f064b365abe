/// The engine's prefix cache: token sequences bounded by LRU eviction.
///
///   PrefixCache Cache;
///   storeSequence(Cache, "andes:brief-17", tokensOf("user: hello"), 1000);
///   PrefixMatch Match = matchPrefix(Cache, tokensOf("user: hello there"));
///
/// A sequence is stored under a key and replaces the key's former one. Two
/// entries that share a prefix each count their own tokens.
#ifndef TAMARACK_STANDINS_PREFIXCACHE_H
#define TAMARACK_STANDINS_PREFIXCACHE_H

#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace tamarack::internal {

/// Lets comparisons of this namespace's types be found.
using tamarack::operator==;

using TokenHash = std::uint64_t;
using TokenSequence = std::vector<TokenHash>;

struct CacheEntry {
  TokenSequence Tokens;
  std::uint64_t LastUse = 0;
};

enum class CacheChange { Stored, Removed };

struct CacheEvent {
  CacheChange Change;
  std::string Key;
  TokenCount Tokens;

  auto tied() const { return std::tie(Change, Key, Tokens); }
};

struct PrefixCache {
  std::map<std::string, CacheEntry> Entries;
  /// The tokens of all entries.
  TokenCount Held = 0;
  std::uint64_t Uses = 0;
  /// Changes since the caller last emptied the list.
  std::vector<CacheEvent> Events;
  /// Hashes of every prefix that was ever stored.
  std::unordered_set<std::uint64_t> EverStored;
};

struct PrefixMatch {
  /// The length of the longest common prefix with any entry.
  TokenCount Cached = 0;
  /// Tokens behind it that were stored once and have gone since.
  TokenCount Again = 0;

  auto tied() const { return std::tie(Cached, Again); }
};

/// One token for each word that white space separates.
std::vector<std::string> wordsOf(std::string_view Text);
TokenSequence tokensOf(std::string_view Text);

/// Looks \p Tokens up and marks the matching entry as just used.
PrefixMatch matchPrefix(PrefixCache &Cache, const TokenSequence &Tokens);
/// Stores the part of \p Tokens that fits \p Bound, evicting others for it.
void storeSequence(PrefixCache &Cache, const std::string &Key,
                   TokenSequence Tokens, TokenCount Bound);
bool removeEntry(PrefixCache &Cache, const std::string &Key);
/// Evicts the least recently used entries until at most \p Bound is held.
void shrinkCache(PrefixCache &Cache, TokenCount Bound);

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_PREFIXCACHE_H
