#include "tamarack/base/Clock.h"

#include <ctime>

namespace tamarack {

TimePoint SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::chrono::system_clock::time_point SystemClock::calendarNow() const {
  return std::chrono::system_clock::now();
}

TimePoint SuspendAwareClock::now() const {
  timespec Time{};
  // Cannot fail: the clock exists since Linux 2.6.39.
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(Time.tv_nsec)));
}

std::chrono::system_clock::time_point SuspendAwareClock::calendarNow() const {
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
