/// A model of the prompt cache of one endpoint.
///
/// The contents are an estimate based on the prompts that this entry sent to
/// the endpoint. The engine evicts the least recently used parts, and other
/// entries use the endpoint too. A cached part saves work only if all parts
/// before it are cached as well.
#ifndef TAMARACK_RELAY_PROMPTCACHE_H
#define TAMARACK_RELAY_PROMPTCACHE_H

#include "tamarack/base/Ids.h"

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// One part of a prompt; requests with the same part share its cached tokens.
struct PromptPart {
  std::string Id;
  /// May grow from turn to turn under the same id.
  TokenCount Tokens = 0;

  friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// The tokens of all parts of \p Prompt together.
TokenCount promptTokens(const std::vector<PromptPart> &Prompt);

class PromptCache {
public:
  PromptCache() = default;
  PromptCache(PromptCache &&) = default;
  PromptCache &operator=(PromptCache &&) = default;
  PromptCache(const PromptCache &) = delete;
  PromptCache &operator=(const PromptCache &) = delete;

  /// The number of leading tokens of \p Prompt that are cached.
  TokenCount cachedTokens(const std::vector<PromptPart> &Prompt) const;
  /// Callers choose parts and ids, and the capacity in tokens does not bound
  /// the memory that these take. Longer ids, and what follows them in a prompt,
  /// are not recorded.
  static constexpr std::size_t MaxParts = 1024;
  static constexpr std::size_t MaxPartsPerPrompt = 64;
  static constexpr std::size_t MaxIdBytes = 64;

  std::size_t size() const { return Parts.size(); }
  /// Records that \p Prompt was sent, and evicts the least recently used parts
  /// above \p CapacityTokens or MaxParts.
  void recordPrompt(const std::vector<PromptPart> &Prompt,
                    TokenCount CapacityTokens);
  void clear();

private:
  using LruList = std::list<PromptPart>;
  TokenCount TotalTokens = 0;
  /// The most recently used first.
  LruList Parts;
  std::unordered_map<std::string, LruList::iterator> Index;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_PROMPTCACHE_H
