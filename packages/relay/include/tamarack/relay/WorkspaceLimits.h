/// Keeps the requests of each workspace within its limit over all entries.
///
///   WorkspaceLimits Limits(Options, Now);
///   if (Limits.admits(Workspace, Phase, Now))
///     Limits.onAdmitted(Workspace, Phase, Now); // Counts as sent.
///   Limits.fillReport(Report, Now);
///   Limits.setNews(Ledger, News, Now); // The ledger's answer to the report.
///
/// A limit is a number of requests in any span of the length of the window:
/// what the rate allows in it, and the burst. Each entry decides for itself by
/// its own counts, which are exact, and the sum of what the others reported,
/// which is some tenths of a second old:
///
/// - While the limit bears what is known and what the others may have sent
///   meanwhile at their demand, everything is admitted. Calls of a program come
///   several at a time at one entry, which its share of a small limit would not
///   cover.
/// - Nearer to the limit, an entry sends in the time that reports take no more
///   than its share of the room, by its share of the demand.
/// - First turns leave a tenth of the limit to programs under way. Once these
///   will need the rest of it, no more programs are begun than the limit bears
///   at the mean number of requests that a program of the workspace needs.
///
/// Room that other entries may use without reporting it is left to them: the
/// part of those that were known and report no more, and whatever was sent
/// before anybody began to count. An entry that hears nothing itself keeps to
/// an equal part of the limit.
#ifndef TAMARACK_RELAY_WORKSPACELIMITS_H
#define TAMARACK_RELAY_WORKSPACELIMITS_H

#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/SlidingCount.h"
#include "tamarack/turns/WorkspaceReports.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct WorkspaceLimitOptions {
  /// A limit binds the requests in any span of this length.
  Duration Window = std::chrono::seconds(5);
  /// What operators accept beyond a limit because entries decide without
  /// asking each other: a part of the limit, and a number of requests.
  double Overage = 0.1;
  double Slack = 20;
  /// Differs between entries, which share what is less than one request each.
  std::uint64_t Seed = 0;
};

/// What a request is to its program.
enum class ProgramPhase {
  FirstTurn,
  /// A later turn, a call of a tool, or a request of no program.
  UnderWay
};

inline bool hasLimit(const Workspace &Of) { return Of.RequestsPerSecond > 0; }

class WorkspaceLimits {
public:
  WorkspaceLimits(WorkspaceLimitOptions Options, TimePoint StartedAt)
      : Options(Options), StartedAt(StartedAt) {}

  /// How long the news of a ledger are valid.
  static constexpr Duration NewsLifetime = std::chrono::seconds(1);

  bool admits(const Workspace &Of, ProgramPhase Phase, TimePoint Now) const;
  /// Counts a request as sent at \p Now.
  void onAdmitted(const Workspace &Of, ProgramPhase Phase, TimePoint Now);
  void onRefused(const Workspace &Of, ProgramPhase Phase, TimePoint Now);
  /// Counts a request that was sent later than it was admitted, or to another
  /// endpoint, too.
  void onSent(const WorkspaceId &Of, TimePoint Now);
  /// Takes back what was counted at \p At of a request.
  void takeBack(const WorkspaceId &Of, TimePoint At);
  /// Takes back that the request that was admitted at \p At began a program.
  void takeBackFirstTurn(const WorkspaceId &Of, TimePoint At);
  /// The time until a request that was refused is probably admitted.
  Duration delay(const Workspace &Of, ProgramPhase Phase, TimePoint Now) const;

  /// The requests that the limit allows in the window.
  double limit(const Workspace &Of) const;
  /// The requests in the window that are known of all entries.
  double used(const WorkspaceId &Of, TimePoint Now) const;
  /// The mean number of requests that a program of the workspace needs.
  double requestsPerProgram(const WorkspaceId &Of, TimePoint Now) const;
  /// Whether anything is known of the other entries.
  bool hasNews(TimePoint Now) const;

  /// Forgets the workspaces that are not in \p Known or have no limit there.
  void keepOnly(const std::vector<Workspace> &Known);
  /// Fills in what this entry reports, except who it is.
  void fillReport(WorkspaceReport &Report, TimePoint Now) const;
  /// The time between two reports, which is short while a workspace is near its
  /// limit, and while there are no news.
  Duration reportInterval(TimePoint Now) const;
  /// Records the news of the ledger at \p Ledger, in answer to the report that
  /// was sent at \p ReportedAt.
  void setNews(const std::string &Ledger, WorkspaceNews News,
               TimePoint ReportedAt, TimePoint Now);
  /// The entries that are known to report now, this one included.
  std::uint32_t reporters(TimePoint Now) const;
  /// The workspaces of which more than half of the limit is used.
  std::size_t nearLimit(TimePoint Now) const;

private:
  struct State {
    explicit State(Duration Window);

    /// As in the workspace's last request or in the configuration since.
    double Limit = 0;
    SlidingCount Sent;
    SlidingCount FirstTurns;
    /// As in WorkspaceUse.
    SlidingCount Demand;
    SlidingCount FirstTurnDemand;
    SlidingCount Begun;
    /// Sent in the last second.
    SlidingCount SentLately;
    /// The requests and the first turns of all entries in LearningTime.
    double MeanSent = 0;
    double MeanFirstTurns = 0;
  };
  /// What is known of one workspace.
  struct Knowledge {
    WorkspaceUse Own;
    WorkspaceUse Others;
    /// What the others may know nothing of: the requests that were sent, and
    /// the first turns among them.
    double SentLately = 0;
    double BegunLately = 0;
    double MeanSent = 0;
    double MeanFirstTurns = 0;
  };
  /// A number that all entries together keep within a limit.
  struct SharedUse {
    /// Of this entry, and the part that the others may not know of; of the
    /// others.
    double Own = 0;
    double Lately = 0;
    double Others = 0;
    /// What the others may have added since they reported.
    double Unreported = 0;
    /// The part of the demand at this entry.
    double Share = 1;
  };
  struct Picture {
    WorkspaceNews News;
    TimePoint At;
    /// How long the ledger took to answer.
    Duration Took{0};
  };

  State &stateOf(const Workspace &Of);
  static WorkspaceUse useOf(const State &Own, TimePoint Now);
  Knowledge knowledgeOf(const WorkspaceId &Of, TimePoint Now) const;
  /// The most that any ledger knows of the other entries.
  WorkspaceUse remoteUse(const WorkspaceId &Of, TimePoint Now) const;
  static bool isFresh(const Picture &Each, TimePoint Now) {
    return Now - Each.At <= NewsLifetime;
  }
  /// What is accepted beyond \p Limit.
  double tolerance(double Limit) const {
    return Options.Overage * Limit + Options.Slack;
  }
  /// The part of \p Limit that need not be left to what is not reported.
  double boundedLimit(double Limit, TimePoint Now) const;
  /// The part of the limit for this entry while it hears nothing of others.
  double aloneLimit(const Workspace &Of, TimePoint Now) const;
  /// The time after which others know of what an entry sends. Longer while
  /// ledgers answer late.
  Duration reportDelay(TimePoint Now) const;
  /// Whether one more keeps all entries within \p Limit, and within \p Accepted
  /// with what the others have not reported yet.
  static bool admitsOneMore(const SharedUse &Use, double Limit,
                            double Accepted);
  /// \p Unreported is the part of the demand period after which others know
  /// what an entry did.
  bool admitsFirstTurn(const Workspace &Of, const Knowledge &Known,
                       double Limit, double Unreported) const;
  static double requestsPerProgram(const Knowledge &Known);
  /// The most entries that have reported at once for some time.
  std::uint32_t knownEntries() const;

  const WorkspaceLimitOptions Options;
  const TimePoint StartedAt;
  std::map<WorkspaceId, State> States;
  /// By the address of the ledger.
  std::map<std::string, Picture> Pictures;
  std::optional<TimePoint> NewsAt;
  /// The most entries that reported at once, in this span and the one before.
  std::uint32_t RecentMost = 0;
  std::uint32_t EarlierMost = 0;
  TimePoint RecentSince;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_WORKSPACELIMITS_H
