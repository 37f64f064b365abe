/// Decides when a connection that hears nothing is abandoned.
#ifndef TAMARACK_WIRE_SILENCE_H
#define TAMARACK_WIRE_SILENCE_H

#include "tamarack/base/Clock.h"

namespace tamarack {
namespace internal {

struct Silence {
  TimePoint LastHeard;
  Duration Limit;
};

inline bool isSilent(const Silence &State, TimePoint Now) {
  return Now - State.LastHeard >= State.Limit;
}

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_WIRE_SILENCE_H
