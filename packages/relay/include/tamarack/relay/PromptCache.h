/// Which parts of prompts an endpoint is likely to keep in its memory.
///
/// An estimate from what this entry sent there: the engine drops the least
/// recently used parts, and other entries use it too. A part is worth something
/// only if all parts before it are kept.
#ifndef TAMARACK_RELAY_PROMPTCACHE_H
#define TAMARACK_RELAY_PROMPTCACHE_H

#include "tamarack/base/Ids.h"

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// One part of a prompt, in order; requests with the same part share it.
struct PromptPart {
  std::string Id;
  /// A part that grows from turn to turn keeps its id.
  TokenCount Tokens = 0;

  friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

TokenCount tokensOf(const std::vector<PromptPart> &Prompt);

class PromptCache {
public:
  PromptCache() = default;
  PromptCache(PromptCache &&) = default;
  PromptCache &operator=(PromptCache &&) = default;
  PromptCache(const PromptCache &) = delete;
  PromptCache &operator=(const PromptCache &) = delete;

  /// Tokens of \p Prompt that are kept.
  TokenCount kept(const std::vector<PromptPart> &Prompt) const;
  /// \p Prompt was sent; the least recently used parts above \p CapacityTokens
  /// are taken for dropped.
  void sent(const std::vector<PromptPart> &Prompt, TokenCount CapacityTokens);
  void clear();

private:
  using Order = std::list<PromptPart>;
  TokenCount Total = 0;
  /// The most recently used first.
  Order Parts;
  std::unordered_map<std::string, Order::iterator> Places;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_PROMPTCACHE_H
