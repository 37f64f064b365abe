/// What entries tell each other about workspaces whose requests are limited.
///
/// Each entry reports its own use to some ledgers, which keep it in memory and
/// answer with the sum of what all others reported:
///
///   WorkspaceReports Reports(Now);
///   WorkspaceNews News = Reports.exchange(Report, Now);
///
/// What a process sent counts for the whole window of the limits after its last
/// report, also if the process has ended and another one has taken its place.
#ifndef TAMARACK_TURNS_WORKSPACEREPORTS_H
#define TAMARACK_TURNS_WORKSPACEREPORTS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"
#include "tamarack/base/Json.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace tamarack {

/// What entries did lately for a workspace whose requests are limited.
struct WorkspaceUse {
  /// The requests that were sent to endpoints, in the window of the limit.
  std::uint32_t Sent = 0;
  /// Those of them that were first turns of programs.
  std::uint32_t FirstTurns = 0;
  /// The requests that callers asked for in the last second, the first turns
  /// among them, and those of these that were admitted.
  std::uint32_t Demand = 0;
  std::uint32_t FirstTurnDemand = 0;
  std::uint32_t Begun = 0;

  friend WorkspaceUse operator+(const WorkspaceUse &Left,
                                const WorkspaceUse &Right) {
    return {Left.Sent + Right.Sent, Left.FirstTurns + Right.FirstTurns,
            Left.Demand + Right.Demand,
            Left.FirstTurnDemand + Right.FirstTurnDemand,
            Left.Begun + Right.Begun};
  }
  friend WorkspaceUse operator-(const WorkspaceUse &Left,
                                const WorkspaceUse &Right) {
    return {Left.Sent - Right.Sent, Left.FirstTurns - Right.FirstTurns,
            Left.Demand - Right.Demand,
            Left.FirstTurnDemand - Right.FirstTurnDemand,
            Left.Begun - Right.Begun};
  }
  friend bool operator==(const WorkspaceUse &, const WorkspaceUse &) = default;
};

using UseByWorkspace = std::map<WorkspaceId, WorkspaceUse>;

struct WorkspaceReport {
  InstanceId Reporter;
  /// Identifies this start of the reporter's process.
  std::string Process;
  /// The time for which the report counts.
  Duration Window{0};
  UseByWorkspace Use;
  /// The workspaces that all entries should hear of, since they are near their
  /// limits.
  std::set<WorkspaceId> NearLimit = {};

  friend bool operator==(const WorkspaceReport &,
                         const WorkspaceReport &) = default;
};

/// The sum of what other processes report of the workspaces that the asking one
/// reports, and of those that are near their limits.
struct WorkspaceNews {
  UseByWorkspace Use;
  /// The other instances that have reported lately.
  std::uint32_t Reporters = 0;
  /// For how long reports have been received.
  Duration KnownFor{0};

  friend bool operator==(const WorkspaceNews &,
                         const WorkspaceNews &) = default;
};

class WorkspaceReports {
public:
  explicit WorkspaceReports(TimePoint StartedAt) : StartedAt(StartedAt) {}

  /// How long an instance counts as reporting after a report. Entries report
  /// twice a second at least.
  static constexpr Duration ReporterLifetime = std::chrono::milliseconds(1500);

  /// Replaces the report of the process and returns the news for it.
  WorkspaceNews exchange(WorkspaceReport Report, TimePoint Now);

private:
  struct Received {
    WorkspaceReport Report;
    TimePoint At;
  };
  struct Total {
    WorkspaceUse Use;
    /// The reports that include the workspace, and those that say that it is
    /// near its limit.
    std::uint32_t Reports = 0;
    std::uint32_t Near = 0;
  };

  void add(const WorkspaceReport &Report);
  void subtract(const WorkspaceReport &Report);
  /// Ends the reports whose window is over, and the demand of those that were
  /// not followed by another one.
  void expire(TimePoint Now);
  void endDemand(WorkspaceReport &Report);
  WorkspaceNews newsFor(const WorkspaceReport &Report, TimePoint Now) const;

  const TimePoint StartedAt;
  std::map<std::pair<InstanceId, std::string>, Received> Reports;
  /// The sum of all reports, so that an exchange costs no more if there are
  /// many of them.
  std::map<WorkspaceId, Total> Totals;
  std::set<WorkspaceId> NearLimit;
};

void to_json(Json &Value, const WorkspaceReport &From);
void from_json(const Json &Value, WorkspaceReport &To);
void to_json(Json &Value, const WorkspaceNews &From);
void from_json(const Json &Value, WorkspaceNews &To);

} // namespace tamarack

#endif // TAMARACK_TURNS_WORKSPACEREPORTS_H
