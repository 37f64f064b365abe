/// The memory that the process has used.
#ifndef TAMARACK_NET_PROCESSMEMORY_H
#define TAMARACK_NET_PROCESSMEMORY_H

#include "tamarack/net/Loop.h"

#include <cstddef>

namespace tamarack {

/// The largest resident size of the process so far.
std::size_t peakMemoryBytes();

/// Half of \p LimitBytes and each further eighth of it that \p PeakBytes has
/// passed; zero if none.
unsigned passedMemoryLevels(std::size_t PeakBytes, std::size_t LimitBytes);

/// Logs "process.memory" each time the peak passes another level of
/// passedMemoryLevels(), for as long as the process runs. A process that uses
/// more than \p LimitBytes may be killed without a further log line.
Task<void> watchPeakMemory(Loop &Io, std::size_t LimitBytes);

} // namespace tamarack

#endif // TAMARACK_NET_PROCESSMEMORY_H
