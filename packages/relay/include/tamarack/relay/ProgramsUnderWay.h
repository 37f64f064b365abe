/// The programs that this entry has served lately, so that it can tell a
/// further request of a program from its first one.
///
///   if (!Programs.isUnderWay(Program, Now))
///     ...the first request, or one that follows those at another entry
///   Programs.note(Program, Now);
///
/// Callers choose the ids and their number. Each takes eight bytes here however
/// long it is, and the memory is bounded: a program is forgotten between one
/// and two lifetimes after its last request, or earlier if there are too many.
#ifndef TAMARACK_RELAY_PROGRAMSUNDERWAY_H
#define TAMARACK_RELAY_PROGRAMSUNDERWAY_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <unordered_set>

namespace tamarack {

struct ProgramsUnderWayLimits {
  /// Covers the pauses between the requests of a program.
  Duration Lifetime = std::chrono::minutes(1);
  /// The most that may be known; the oldest half of them go first.
  std::size_t MaxPrograms = 16384;
};

class ProgramsUnderWay {
public:
  explicit ProgramsUnderWay(ProgramsUnderWayLimits Limits = {})
      : Limits(Limits) {}

  /// Records a request of \p Program that was admitted. An empty id is ignored.
  void note(const ProgramId &Program, TimePoint Now);
  /// Whether a request of \p Program was noted lately.
  bool isUnderWay(const ProgramId &Program, TimePoint Now) const;
  std::size_t size() const { return Recent.size() + Older.size(); }

private:
  /// Hashes of the ids. Those that are noted again move to the recent ones.
  using Generation = std::unordered_set<std::uint64_t>;

  bool isRecentOver(TimePoint Now) const {
    return Now - RecentSince >= Limits.Lifetime;
  }

  ProgramsUnderWayLimits Limits;
  Generation Recent;
  Generation Older;
  TimePoint RecentSince;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_PROGRAMSUNDERWAY_H
