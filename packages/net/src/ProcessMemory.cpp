#include "tamarack/net/ProcessMemory.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <sys/resource.h>

namespace tamarack {
namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(500);
/// The levels are eighths of the limit, from the fourth on.
constexpr std::size_t LevelDivisor = 8;
constexpr std::size_t FirstLevel = 4;
constexpr std::size_t KibiByte = 1024;

} // namespace

std::size_t peakMemoryBytes() {
  rusage Usage{};
  if (::getrusage(RUSAGE_SELF, &Usage) != 0)
    return 0;
  return static_cast<std::size_t>(Usage.ru_maxrss) * KibiByte;
}

unsigned passedMemoryLevels(std::size_t PeakBytes, std::size_t LimitBytes) {
  if (LimitBytes == 0)
    return 0;
  const std::size_t Eighths = PeakBytes * LevelDivisor / LimitBytes;
  return Eighths < FirstLevel ? 0
                              : static_cast<unsigned>(Eighths - FirstLevel + 1);
}

Task<void> watchPeakMemory(Loop &Io, std::size_t LimitBytes) {
  unsigned Passed = 0;
  while (true) {
    const std::size_t Peak = peakMemoryBytes();
    const unsigned Levels = passedMemoryLevels(Peak, LimitBytes);
    if (Levels > Passed)
      LogLine("process.memory")
          .with("peak_bytes", Peak)
          .with("limit_bytes", LimitBytes);
    Passed = std::max(Passed, Levels);
    co_await pause(Io, CheckInterval);
  }
}

} // namespace tamarack
