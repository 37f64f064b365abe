#include "tamarack/base/Clock.h"

namespace tamarack {

TimePoint SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::chrono::system_clock::time_point SystemClock::calendarNow() const {
  return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Current;
}

std::chrono::system_clock::time_point ManualClock::calendarNow() const {
  return std::chrono::system_clock::time_point(now().time_since_epoch());
}

void ManualClock::advance(Duration By) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Current += By;
}

} // namespace tamarack
