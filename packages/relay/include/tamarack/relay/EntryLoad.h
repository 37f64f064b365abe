/// How an entry judges its own load, and what it does about it: which requests
/// it refuses early, and when it takes no further connections.
///
/// The measure is the delay of the event loop: how late it runs what is due.
/// It covers the processor, the log and whatever else holds up the loop, and
/// follows the speed of the machine. A request waits for the loop several
/// times, so its own delay is a multiple of that.
#ifndef TAMARACK_RELAY_ENTRYLOAD_H
#define TAMARACK_RELAY_ENTRYLOAD_H

#include "tamarack/base/Clock.h"
#include "tamarack/turns/Messages.h"

#include <map>
#include <optional>

namespace tamarack {

/// The smoothed delay of the event loop.
class LoopDelay {
public:
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(25);

  /// Records that a probe ran \p Late after it was due. The less of two probes
  /// in a row counts: a process that stood still for once is not behind.
  void observe(Duration Late);
  Duration value() const { return Smoothed; }

private:
  Duration Last{0};
  Duration Smoothed{0};
};

/// How often a turn waits for the loop before its first event: its connection
/// and bytes, the ledgers' answers and the wake-ups behind them (a reservation
/// takes about four times the delay), the endpoint's answer.
inline constexpr int WaitsPerTurn = 12;
/// The same for a request without a reservation, until its answer.
inline constexpr int WaitsPerCall = 5;

/// What decides whether a request is refused early.
struct LoadDemand {
  bool IsTurn = false;
  /// Whether it begins a program, as far as this entry knows.
  bool IsFirst = false;
  Duration TargetLatency{0};
  Duration TimeLeft{0};
  /// Whether a new connection probably leads to an entry that is better off.
  bool IsElsewhereBetter = false;
};

enum class LoadVerdict {
  Admitted,
  /// It is a new program's, which is better begun elsewhere or later.
  TooBusy,
  /// It cannot be done in the time that it has left.
  TooLate
};

/// Programs under way are admitted as long as they can be served at all, since
/// what was done for them would be lost. A new one is refused if it would miss
/// its objective here and not elsewhere, or would take a good part of the time
/// that it has.
LoadVerdict judgeLoad(Duration Delay, const LoadDemand &Demand);

/// Decides when an entry asks for no further connections, from its own delay
/// and the reports of the others.
///
/// Entries that get too much leave the rotation while at least half of the
/// entries of their data centre stay in it, since callers are sent to all
/// entries of a data centre of which fewer are left. If several want to leave,
/// those with the greatest delay go first. If none of a data centre's entries
/// can take more, all leave, provided that another data centre of the region
/// can: callers are sent to the nearest one then.
class EntryRotation {
public:
  EntryRotation(InstanceId Self, DataCentreId DataCentre)
      : Self(std::move(Self)), DataCentre(std::move(DataCentre)) {}

  /// Takes the reports of other entries of the region.
  void hear(const LoadByEntry &News, TimePoint Now);
  /// Decides anew. \p Target is the tightest objective for turns.
  void update(Duration Delay, Duration Target, TimePoint Now);

  /// Whether turns have missed their objective lately because of the loop.
  bool isBehind() const { return BehindSince.has_value(); }
  /// Whether the entry asks for no further connections.
  bool isOut() const { return OutSince.has_value(); }
  /// Whether a caller that opens a new connection probably reaches an entry
  /// that is better off.
  bool isElsewhereBetter(Duration Delay, TimePoint Now) const;
  /// The entries of the data centre that are known, and those of them beside
  /// this one that are ready.
  std::size_t known() const;
  std::size_t othersReady(TimePoint Now) const;

  /// How long a report holds.
  static constexpr Duration ReportLifetime = EndpointNewsLifetime;
  /// How long an entry counts as one of its data centre after its last report.
  static constexpr Duration PeerLifetime = std::chrono::minutes(2);
  /// How long an entry must be behind before it leaves, and must have caught up
  /// before it no longer counts as behind.
  static constexpr Duration LeaveAfter = std::chrono::milliseconds(300);
  static constexpr Duration CaughtUpAfter = std::chrono::milliseconds(500);
  /// How long it stays out at least; twice as long each time that it leaves
  /// again soon after it is back.
  static constexpr Duration MinOutTime = std::chrono::seconds(2);
  static constexpr Duration MaxOutTime = std::chrono::seconds(8);

private:
  struct Peer {
    EntryLoad Load;
    TimePoint HeardAt;
  };

  /// The entry's load, if its report still holds.
  static const EntryLoad *current(const Peer &From, TimePoint Now);
  static bool canServe(const EntryLoad *Load) {
    return Load != nullptr && Load->IsReady && Load->ReachesLedgers;
  }
  /// Whether this entry goes before \p Other, which is behind too.
  bool leavesBefore(const InstanceId &Other, Duration OtherDelay) const;
  bool mayBeOut(TimePoint Now) const;
  bool canOtherDataCentresServe(TimePoint Now) const;
  void updateBehind(TimePoint Now);

  InstanceId Self;
  DataCentreId DataCentre;
  std::map<InstanceId, Peer> Peers;
  TimePoint HeardAt;
  Duration Delay{0};
  /// A delay above it makes turns miss their objective.
  Duration MaxDelay{0};
  std::optional<TimePoint> BehindSince;
  TimePoint LastBusyAt;
  std::optional<TimePoint> OutSince;
  TimePoint LastBackAt;
  Duration OutTime = MinOutTime;
  std::size_t ReadyWhenLeft = 0;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_ENTRYLOAD_H
