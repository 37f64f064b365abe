#include "tamarack/relay/ProgramsUnderWay.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void ProgramsUnderWay::note(const ProgramId &Program, TimePoint Now) {
  if (Program.empty())
    return;
  const std::size_t PerGeneration =
      std::max<std::size_t>(Limits.MaxPrograms / 2, 1);
  if (isRecentOver(Now) || Recent.size() >= PerGeneration) {
    const bool IsOlderKept = Now - RecentSince < 2 * Limits.Lifetime;
    Older = IsOlderKept ? std::exchange(Recent, {}) : Generation();
    Recent.clear();
    RecentSince = Now;
  }
  const std::uint64_t Hash = stableHash(Program.text());
  Recent.insert(Hash);
  Older.erase(Hash);
}

bool ProgramsUnderWay::isUnderWay(const ProgramId &Program,
                                  TimePoint Now) const {
  if (Program.empty() || Now - RecentSince >= 2 * Limits.Lifetime)
    return false;
  const std::uint64_t Hash = stableHash(Program.text());
  return Recent.count(Hash) > 0 ||
         (!isRecentOver(Now) && Older.count(Hash) > 0);
}

} // namespace tamarack
