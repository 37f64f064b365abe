#include "tamarack/relay/SlidingCount.h"

#include <algorithm>

namespace tamarack {

std::int64_t SlidingCount::slotNumber(TimePoint Time) const {
  return Time.time_since_epoch() / SlotLength;
}

void SlidingCount::add(TimePoint Now) {
  const std::int64_t Slot = slotNumber(Now);
  const std::int64_t Passed = std::min(Slot - LastSlot, Slots);
  for (std::int64_t Back = 0; Back < Passed; ++Back)
    Counts[static_cast<std::size_t>((Slot - Back) % Slots)] = 0;
  LastSlot = std::max(LastSlot, Slot);
  ++Counts[static_cast<std::size_t>(LastSlot % Slots)];
}

void SlidingCount::takeBack(TimePoint At) {
  const std::int64_t Slot = slotNumber(At);
  if (Slot <= LastSlot - Slots || Slot > LastSlot)
    return;
  std::uint32_t &Count = Counts[static_cast<std::size_t>(Slot % Slots)];
  if (Count > 0)
    --Count;
}

std::uint32_t SlidingCount::countLast(std::int64_t Number,
                                      TimePoint Now) const {
  std::uint32_t Result = 0;
  const std::int64_t Oldest =
      std::max(slotNumber(Now) - std::min(Number, Slots), std::int64_t(0));
  for (std::int64_t Slot = std::max(Oldest, LastSlot - Slots) + 1;
       Slot <= LastSlot; ++Slot)
    Result += Counts[static_cast<std::size_t>(Slot % Slots)];
  return Result;
}

} // namespace tamarack
