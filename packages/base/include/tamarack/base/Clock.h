/// The clock interface of the whole code base, based on std::chrono.
///
/// Decision code takes a TimePoint; only the processes own a Clock. Tests use a
/// ManualClock and advance it explicitly:
///
///   ManualClock Clock;
///   Clock.advance(std::chrono::seconds(3));
#ifndef TAMARACK_BASE_CLOCK_H
#define TAMARACK_BASE_CLOCK_H

#include <chrono>
#include <mutex>

namespace tamarack {

using Duration = std::chrono::microseconds;
/// A time of the monotonic clock, meaningful within one process only.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  /// Wall-clock time, for the expiry of exceptions and for display.
  virtual std::chrono::system_clock::time_point calendarNow() const = 0;
};

class SystemClock : public Clock {
public:
  TimePoint now() const override;
  std::chrono::system_clock::time_point calendarNow() const override;
};

/// A clock whose time also counts while the machine is suspended, unlike that
/// of SystemClock and of timers. For the age of what other machines have told.
class SuspendAwareClock : public Clock {
public:
  TimePoint now() const override;
  std::chrono::system_clock::time_point calendarNow() const override;
};

/// A clock that changes only when it is advanced. Thread-safe.
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
