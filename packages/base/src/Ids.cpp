#include "tamarack/base/Ids.h"

#include <xxhash.h>

namespace tamarack {

ProgramId rootOf(const ProgramId &Program) {
  const std::string &Text = Program.text();
  return ProgramId(Text.substr(0, Text.find('/')));
}

ShardId shardOf(const ProgramId &Program, std::uint32_t ShardCount) {
  return static_cast<ShardId>(stableHash(rootOf(Program).text()) % ShardCount);
}

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace tamarack
