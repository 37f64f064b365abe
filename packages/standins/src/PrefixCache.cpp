#include "PrefixCache.h"

#include <algorithm>
#include <sstream>

namespace tamarack::internal {
namespace {

std::uint64_t extendHash(std::uint64_t Prefix, TokenHash Token) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15;
  return (Prefix ^ Token) * Multiplier + (Prefix >> 29);
}

TokenCount commonPrefix(const TokenSequence &Left, const TokenSequence &Right) {
  auto End =
      std::mismatch(Left.begin(), Left.end(), Right.begin(), Right.end());
  return End.first - Left.begin();
}

/// Counts the tokens from \p From on whose whole prefix was stored before.
TokenCount storedBefore(const PrefixCache &Cache, const TokenSequence &Tokens,
                        TokenCount From) {
  std::uint64_t Prefix = 0;
  TokenCount Count = 0;
  for (std::size_t I = 0; I < Tokens.size(); ++I) {
    Prefix = extendHash(Prefix, Tokens[I]);
    if (I >= From && Cache.EverStored.count(Prefix) > 0)
      ++Count;
  }
  return Count;
}

void rememberPrefixes(PrefixCache &Cache, const TokenSequence &Tokens) {
  std::uint64_t Prefix = 0;
  for (TokenHash Token : Tokens) {
    Prefix = extendHash(Prefix, Token);
    Cache.EverStored.insert(Prefix);
  }
}

} // namespace

std::vector<std::string> wordsOf(std::string_view Text) {
  std::istringstream In{std::string(Text)};
  std::vector<std::string> Words;
  std::string Word;
  while (In >> Word)
    Words.push_back(Word);
  return Words;
}

TokenSequence tokensOf(std::string_view Text) {
  TokenSequence Tokens;
  for (const auto &Word : wordsOf(Text))
    Tokens.push_back(stableHash(Word));
  return Tokens;
}

PrefixMatch matchPrefix(PrefixCache &Cache, const TokenSequence &Tokens) {
  PrefixMatch Match;
  CacheEntry *Best = nullptr;
  for (auto &[Key, Entry] : Cache.Entries) {
    TokenCount Common = commonPrefix(Entry.Tokens, Tokens);
    if (Common > Match.Cached) {
      Match.Cached = Common;
      Best = &Entry;
    }
  }
  if (Best)
    Best->LastUse = ++Cache.Uses;
  Match.Again = storedBefore(Cache, Tokens, Match.Cached);
  return Match;
}

void storeSequence(PrefixCache &Cache, const std::string &Key,
                   TokenSequence Tokens, TokenCount Bound) {
  auto Former = Cache.Entries.find(Key);
  if (Former != Cache.Entries.end()) {
    Cache.Held -= Former->second.Tokens.size();
    Cache.Entries.erase(Former);
  }
  if (Tokens.size() > Bound)
    Tokens.resize(Bound);
  if (Tokens.empty())
    return;
  shrinkCache(Cache, Bound - Tokens.size());
  rememberPrefixes(Cache, Tokens);
  Cache.Held += Tokens.size();
  Cache.Events.push_back({CacheChange::Stored, Key, Tokens.size()});
  Cache.Entries[Key] = {std::move(Tokens), ++Cache.Uses};
}

bool removeEntry(PrefixCache &Cache, const std::string &Key) {
  auto Found = Cache.Entries.find(Key);
  if (Found == Cache.Entries.end())
    return false;
  TokenCount Tokens = Found->second.Tokens.size();
  Cache.Held -= Tokens;
  Cache.Events.push_back({CacheChange::Removed, Key, Tokens});
  Cache.Entries.erase(Found);
  return true;
}

void shrinkCache(PrefixCache &Cache, TokenCount Bound) {
  while (Cache.Held > Bound) {
    auto Oldest =
        std::min_element(Cache.Entries.begin(), Cache.Entries.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.LastUse < Right.second.LastUse;
                         });
    std::string Key = Oldest->first;
    removeEntry(Cache, Key);
  }
}

} // namespace tamarack::internal
