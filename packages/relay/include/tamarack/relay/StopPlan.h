/// The stages of a planned stop as a pure function of the time and of what
/// callers still wait for.
///
///   const StopPlan Plan = planStop(Now, Grace);
///   Stage = nextStage(Plan, Stage, Observed, Now);
#ifndef TAMARACK_RELAY_STOPPLAN_H
#define TAMARACK_RELAY_STOPPLAN_H

#include "tamarack/base/Clock.h"
#include "tamarack/net/HttpServer.h"

#include <cstddef>

namespace tamarack {

/// The stages of a planned stop, in their order.
enum class StopStage {
  /// Readiness checks fail; requests are served, and each response closes its
  /// connection, unless the caller pipelines.
  Announced,
  /// New requests are refused as not run.
  Refusing,
  /// The listener is closed. What has arrived is answered, and each connection
  /// is closed after its answer.
  Closing,
  /// The process may exit.
  Ended
};

/// The value of \p Stage in log lines.
const char *nameOf(StopStage Stage);

/// When the stages of a stop begin at the latest; without times, never.
struct StopPlan {
  /// From then on new requests are refused as not run.
  TimePoint RefuseAt = TimePoint::max();
  /// From then on no request is sent to an endpoint.
  TimePoint SendBy = TimePoint::max();
  /// When requests that still run are answered, and Closing begins.
  TimePoint AnswerBy = TimePoint::max();
  /// When the process exits.
  TimePoint ExitBy = TimePoint::max();

  friend bool operator==(const StopPlan &, const StopPlan &) = default;
};

/// Plans a stop that began at \p Started, of a process that is killed after
/// \p Grace.
StopPlan planStop(TimePoint Started, Duration Grace);

/// Returns \p Plan with at least the time that writing the answers takes, for a
/// process that begins to close at \p Now. It is too short if the grace is, or
/// if the process was not scheduled until its end.
StopPlan withClosingTime(StopPlan Plan, TimePoint Now);

/// What a stopping process still has to do, all observed at the same time.
struct StopObservation {
  HttpServerLoad Callers;
  /// Records that are not on enough ledgers yet.
  std::size_t UnsettledRecords = 0;

  friend bool operator==(const StopObservation &,
                         const StopObservation &) = default;
};

/// Returns the stage that follows \p Current at \p Now: the same one, or the
/// next one. A caller advances until the stage stays the same.
StopStage nextStage(const StopPlan &Plan, StopStage Current,
                    const StopObservation &Observed, TimePoint Now);

} // namespace tamarack

#endif // TAMARACK_RELAY_STOPPLAN_H
