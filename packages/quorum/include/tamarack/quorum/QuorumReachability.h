/// Decides from calls and replies whether a quorum of ledgers can be reached.
///
///   QuorumReachability Reach;
///   Reach.setMembers(Addresses, CopiesNeeded);
///   Reach.onCall(Address);
///   Reach.onReply(Address);
///   Reach.onTick(); // Every QuorumReachability::TickInterval.
///   if (Reach.isCutOff()) ...
///
/// A member is responsive once it has answered, until a call stays unanswered
/// for some ticks in which the member answers no other call either. Time is
/// counted in ticks, so that a process that was suspended does not take its own
/// pause for silence of the members. A member whose connection was reset gets
/// the time of a restart to answer, since its process has probably ended; a
/// partition does not reset connections.
#ifndef TAMARACK_QUORUM_QUORUMREACHABILITY_H
#define TAMARACK_QUORUM_QUORUMREACHABILITY_H

#include "tamarack/base/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack {

class QuorumReachability {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Replaces the members, given by address, of which \p Needed must be
  /// responsive. Keeps the state of members that stay.
  void setMembers(const std::vector<std::string> &Addresses,
                  std::size_t Needed);
  void onCall(const std::string &Address);
  /// Records any reply of the member, also one that reports an error.
  void onReply(const std::string &Address);
  void onConnectionLost(const std::string &Address);
  void onTick();

  /// Whether enough members are responsive.
  bool isReachable() const;
  /// Whether enough members were responsive before and have not been for longer
  /// than all of them need to come back from a loss of power. Until then a
  /// request is better off waiting here than elsewhere.
  bool isCutOff() const;
  /// Whether a call is unanswered or a member is not responsive, so that
  /// onTick() must be called.
  bool needsTicks() const;
  /// The members whose state only an additional call can tell.
  std::vector<std::string> membersToProbe() const;

private:
  struct MemberState {
    bool HasAnswered = false;
    bool AwaitsReply = false;
    /// Ticks since the first unanswered call; negative while a restart is
    /// allowed for.
    int SilentTicks = 0;
    /// Whether a restart was allowed for since the last reply. A client resets
    /// silent connections itself, again and again.
    bool RestartAllowed = false;
  };

  static bool isResponsive(const MemberState &Member);

  std::map<std::string, MemberState> Members;
  std::size_t Needed = 1;
  bool WasReachable = false;
  /// Ticks since too few members are responsive.
  int UnreachableTicks = 0;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_QUORUMREACHABILITY_H
