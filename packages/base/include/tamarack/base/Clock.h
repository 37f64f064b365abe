/// Time as the whole workspace sees it: std::chrono, behind an interface.
///
/// Decisions take a TimePoint; only the daemons own a Clock. Tests pass a
/// ManualClock and move it by hand:
///
///   ManualClock Clock;
///   Clock.advance(std::chrono::seconds(3));
#ifndef TAMARACK_BASE_CLOCK_H
#define TAMARACK_BASE_CLOCK_H

#include <chrono>
#include <mutex>

namespace tamarack {

using Duration = std::chrono::microseconds;
/// A point on a clock that never goes back; it has no meaning elsewhere.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  /// Calendar time, for ends of exceptions and for people.
  virtual std::chrono::system_clock::time_point calendarNow() const = 0;
};

class SystemClock : public Clock {
public:
  TimePoint now() const override;
  std::chrono::system_clock::time_point calendarNow() const override;
};

/// A clock that stands still until it is moved. Safe from several threads.
class ManualClock : public Clock {
public:
  TimePoint now() const override;
  std::chrono::system_clock::time_point calendarNow() const override;
  void advance(Duration By);

private:
  mutable std::mutex Mutex;
  TimePoint Current{Duration(0)};
};

} // namespace tamarack

#endif // TAMARACK_BASE_CLOCK_H
