/// Detects connections on which nothing is received any more.
#ifndef TAMARACK_WIRE_SILENCE_H
#define TAMARACK_WIRE_SILENCE_H

#include "tamarack/base/Clock.h"

namespace tamarack {
namespace internal {

struct SilenceDetector {
  TimePoint LastReceived;
  Duration Timeout;
};

inline bool isSilent(const SilenceDetector &State, TimePoint Now) {
  return Now - State.LastReceived >= State.Timeout;
}

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_WIRE_SILENCE_H
