/// Counts events over a sliding period, and the shares that limits on them are
/// divided by.
#ifndef TAMARACK_RELAY_SLIDINGCOUNT_H
#define TAMARACK_RELAY_SLIDINGCOUNT_H

#include "tamarack/base/Clock.h"

#include <array>
#include <cstdint>

namespace tamarack {

/// The number of events in the last period, in steps of a slot.
class SlidingCount {
public:
  static constexpr std::int64_t Slots = 16;

  explicit SlidingCount(Duration Period) : SlotLength(Period / Slots) {}
  /// A count that covers at least \p Period, and up to one slot more.
  static SlidingCount atLeast(Duration Period) {
    return SlidingCount(Period * Slots / (Slots - 1));
  }

  void add(TimePoint Now);
  /// Takes back an event of \p At, unless that is too long ago to count.
  void takeBack(TimePoint At);
  std::uint32_t count(TimePoint Now) const { return countLast(Slots, Now); }
  /// The events of at least the last \p Span, if that is within the period.
  std::uint32_t countSince(Duration Span, TimePoint Now) const {
    return countLast(Span / SlotLength + 2, Now);
  }

private:
  std::int64_t slotNumber(TimePoint Time) const;
  /// The events of the last \p Number slots.
  std::uint32_t countLast(std::int64_t Number, TimePoint Now) const;

  Duration SlotLength;
  std::array<std::uint32_t, Slots> Counts{};
  /// The number of the slot in which the last event was.
  std::int64_t LastSlot = 0;
};

/// The part of all demand that is one's own; the request in question, which
/// is not counted yet, belongs to it.
inline double shareOfDemand(double Own, double Others) {
  return (1 + Own) / (1 + Own + Others);
}

} // namespace tamarack

#endif // TAMARACK_RELAY_SLIDINGCOUNT_H
