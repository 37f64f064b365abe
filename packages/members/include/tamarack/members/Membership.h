/// Which processes there are, and which of them can be counted on.
///
/// The platform's list proposes members, heartbeats on live connections
/// confirm them, and a leaving process announces itself. Every event takes
/// the table and gives back the next one:
///
///   MemberTable Table;
///   Table = onPlatformList(std::move(Table), List, Now);
///   Table = onHeartbeat(std::move(Table), Peer, Life, Now);
///   Table = onTick(std::move(Table), Now);
///   for (const Member &Entry :
///        membersIn(Table, MemberState::Live, Role::Entry, Region))
///
/// Callers may rely on two things whatever the order of events: an older
/// incarnation is never believed over a newer one, and an incarnation that
/// was Leaving never becomes Live again.
#ifndef TAMARACK_MEMBERS_MEMBERSHIP_H
#define TAMARACK_MEMBERS_MEMBERSHIP_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

enum class Role { Entry, Endpoint };

/// Ordered from the most to the least available.
enum class MemberState { Live, Suspected, Leaving, Gone };

/// One process of ours, as the platform's list and its peers describe it.
struct Member {
  InstanceId Instance;
  /// Grows with each start of the process; zero is older than any.
  Incarnation Life = 0;
  Role Kind = Role::Entry;
  RegionId Region;
  DataCentreId DataCentre;
  std::string Host;
  /// The port of the peer link.
  std::uint16_t Port = 0;
  /// The identity of its data folder; empty where it has none.
  FolderId Folder;
  /// Set for role endpoint only.
  EndpointId Endpoint;
  /// The names of the models or services that its endpoint serves.
  std::vector<std::string> Serves;
  MemberState State = MemberState::Live;

  auto tied() const {
    return std::tie(Instance, Life, Kind, Region, DataCentre, Host, Port,
                    Folder, Endpoint, Serves, State);
  }
};

/// What the platform's lists have said about an instance so far.
enum class Listing { NeverListed, Listed, Dropped };

/// What one process knows about a member.
struct MemberView {
  Member Known;
  Listing Platform = Listing::NeverListed;
  /// This incarnation was Leaving at some time.
  bool EverLeaving = false;
  /// Empty until the first heartbeat of this incarnation.
  std::optional<TimePoint> LastHeard;
  /// When its current state began.
  TimePoint StateSince;

  auto tied() const {
    return std::tie(Known, Platform, EverLeaving, LastHeard, StateSince);
  }
};

/// When silence becomes suspicion and then absence.
struct MembershipTiming {
  Duration HeartbeatPeriod = std::chrono::milliseconds(500);
  unsigned SuspectAfterMissed = 3;
  unsigned GoneAfterMissed = 6;
  /// How long a gone member is remembered, so that its old messages are
  /// recognised as old.
  Duration ForgetAfter = std::chrono::minutes(10);

  auto tied() const {
    return std::tie(HeartbeatPeriod, SuspectAfterMissed, GoneAfterMissed,
                    ForgetAfter);
  }
};

Duration suspectAfter(const MembershipTiming &Timing);
Duration goneAfter(const MembershipTiming &Timing);

struct MemberTable {
  std::map<InstanceId, MemberView> Members;
  MembershipTiming Timing;

  auto tied() const { return std::tie(Members, Timing); }
};

/// Takes in the platform's list. A listed member that has never been heard
/// counts as live; one that went silent does not come back by the list alone.
/// A member that the list drops is gone, at once or as soon as its heartbeats
/// stop.
MemberTable onPlatformList(MemberTable Table, const std::vector<Member> &List,
                           TimePoint Now);

/// A peer introduced itself on a new connection. Counts as a heartbeat.
MemberTable onIntroduction(MemberTable Table, const Member &Peer,
                           TimePoint Now);

/// A heartbeat of a known instance; that of an unknown one is ignored.
MemberTable onHeartbeat(MemberTable Table, const InstanceId &Instance,
                        Incarnation Life, TimePoint Now);

/// The connection broke, or could not be opened. The member is suspected
/// until its next heartbeat.
MemberTable onLinkLost(MemberTable Table, const InstanceId &Instance,
                       TimePoint Now);

MemberTable onAnnouncedLeaving(MemberTable Table, const InstanceId &Instance,
                               Incarnation Life, TimePoint Now);

/// Suspects the silent, gives up the long silent, forgets the long gone. A
/// process that was itself paused suspects its peers first and gives them the
/// rest of the time to be heard.
MemberTable onTick(MemberTable Table, TimePoint Now);

/// The members of \p Kind in \p Region whose state is \p Worst or better, in
/// the order of their instance ids.
std::vector<Member> membersIn(const MemberTable &Table, MemberState Worst,
                              Role Kind, const RegionId &Region);
/// The same in all regions.
std::vector<Member> membersIn(const MemberTable &Table, MemberState Worst,
                              Role Kind);

/// The members to hold a connection to: all but the gone, and of the gone
/// those that the platform still lists. Only a heartbeat brings those back, so
/// somebody must go on trying.
std::vector<Member> membersToContact(const MemberTable &Table);

/// The state of \p Instance as of \p Life: Gone when it is unknown or has
/// been restarted since. A \p Life of zero stands for any incarnation.
MemberState stateOf(const MemberTable &Table, const InstanceId &Instance,
                    Incarnation Life = 0);

const char *nameOf(Role Kind);
const char *nameOf(MemberState State);
std::ostream &operator<<(std::ostream &Out, Role Kind);
std::ostream &operator<<(std::ostream &Out, MemberState State);

/// The object of the platform's instance list, the same between peers.
void to_json(Json &Value, const Member &From);
/// Throws as nlohmann::json does where a field is missing or of a wrong type.
void from_json(const Json &Value, Member &To);

} // namespace tamarack

#endif // TAMARACK_MEMBERS_MEMBERSHIP_H
