/// The table of all processes and of their availability.
///
/// The platform's list proposes members, heartbeats on live connections
/// confirm them, and a leaving process announces itself. Every event handler
/// takes the table and returns the updated one:
///
///   MemberTable Table;
///   Table = onPlatformList(std::move(Table), List, Now);
///   Table = onHeartbeat(std::move(Table), Peer, Life, Now);
///   Table = onTick(std::move(Table), Now);
///   for (const Member &Entry :
///        membersIn(Table, MemberState::Live, Role::Entry, Region))
///
/// Two invariants hold for any order of events: an older incarnation never
/// replaces a newer one, and an incarnation that was Leaving never becomes Live
/// again.
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

/// One process of this system, as described by the platform's list and by its
/// peers.
struct Member {
  InstanceId Instance;
  /// Increases with each start of the process; zero is older than any other.
  Incarnation Life = 0;
  Role Kind = Role::Entry;
  RegionId Region;
  DataCentreId DataCentre;
  std::string Host;
  /// The port for links between peers.
  std::uint16_t Port = 0;
  /// The identity of its data folder; empty if it has none.
  FolderId Folder;
  /// Set only for the role Endpoint.
  EndpointId Endpoint;
  /// The names of the models or services that its endpoint serves.
  std::vector<std::string> Serves;
  MemberState State = MemberState::Live;

  auto tied() const {
    return std::tie(Instance, Life, Kind, Region, DataCentre, Host, Port,
                    Folder, Endpoint, Serves, State);
  }
};

/// Whether the platform's list has contained an instance.
enum class Listing { NeverListed, Listed, Dropped };

/// The state of a member as seen by one process.
struct MemberView {
  Member Known;
  Listing Platform = Listing::NeverListed;
  /// Whether this incarnation was ever Leaving.
  bool WasLeaving = false;
  /// Empty until the first heartbeat of this incarnation.
  std::optional<TimePoint> LastHeard;
  /// When its current state began.
  TimePoint StateSince;

  auto tied() const {
    return std::tie(Known, Platform, WasLeaving, LastHeard, StateSince);
  }
};

/// When a silent member becomes Suspected and then Gone.
struct MembershipTiming {
  Duration HeartbeatPeriod = std::chrono::milliseconds(500);
  unsigned SuspectAfterMissed = 3;
  unsigned GoneAfterMissed = 6;
  /// How long a gone member stays in the table, so that messages of its old
  /// incarnations are recognised.
  Duration ForgetTimeout = std::chrono::minutes(10);

  auto tied() const {
    return std::tie(HeartbeatPeriod, SuspectAfterMissed, GoneAfterMissed,
                    ForgetTimeout);
  }
};

/// Returns how long a member may be silent before it is Suspected.
Duration suspectTimeout(const MembershipTiming &Timing);
/// Returns how long a member may be silent before it is Gone.
Duration goneTimeout(const MembershipTiming &Timing);

struct MemberTable {
  std::map<InstanceId, MemberView> Members;
  MembershipTiming Timing;

  auto tied() const { return std::tie(Members, Timing); }
};

/// Applies the platform's list. A listed member that has never sent a heartbeat
/// counts as Live; one that went silent does not become Live again because of
/// the list alone. A member that is no longer listed becomes Gone at once, or,
/// if its heartbeats still arrive, as soon as they stop.
MemberTable onPlatformList(MemberTable Table, const std::vector<Member> &List,
                           TimePoint Now);

/// Applies the introduction of a peer on a new connection, which counts as a
/// heartbeat.
MemberTable onIntroduction(MemberTable Table, const Member &Peer,
                           TimePoint Now);

/// Applies a heartbeat; ignored if the instance is unknown.
MemberTable onHeartbeat(MemberTable Table, const InstanceId &Instance,
                        Incarnation Life, TimePoint Now);

/// Applies the failure of a connection, or of the attempt to open one. A Live
/// member is Suspected until its next heartbeat.
MemberTable onLinkLost(MemberTable Table, const InstanceId &Instance,
                       TimePoint Now);

/// Applies the announcement of an instance that it is leaving; ignored if the
/// instance is unknown.
MemberTable onAnnouncedLeaving(MemberTable Table, const InstanceId &Instance,
                               Incarnation Life, TimePoint Now);

/// Applies the timeouts: silent members become Suspected, then Gone, and are
/// finally removed from the table. The timeout to Gone starts when a member
/// becomes Suspected, so after a pause of this process its peers still have
/// that time to send a heartbeat.
MemberTable onTick(MemberTable Table, TimePoint Now);

/// Returns the members of \p Kind in \p Region whose state is \p LowestState or
/// better, ordered by instance id.
std::vector<Member> membersIn(const MemberTable &Table, MemberState LowestState,
                              Role Kind, const RegionId &Region);
/// Returns such members of all regions.
std::vector<Member> membersIn(const MemberTable &Table, MemberState LowestState,
                              Role Kind);

/// Returns the members to hold a connection to: all that are not Gone, and
/// those Gone members that the platform still lists. The latter return only by
/// a heartbeat, for which a connection is needed.
std::vector<Member> membersToContact(const MemberTable &Table);

/// Returns the state of incarnation \p Life of \p Instance: Gone if the
/// instance is unknown or has restarted since. A \p Life of zero means any
/// incarnation.
MemberState stateOf(const MemberTable &Table, const InstanceId &Instance,
                    Incarnation Life = 0);

const char *nameOf(Role Kind);
const char *nameOf(MemberState State);
std::ostream &operator<<(std::ostream &Out, Role Kind);
std::ostream &operator<<(std::ostream &Out, MemberState State);

/// Encodes a member as in the platform's instance list; peers use the same
/// format.
void to_json(Json &Value, const Member &From);
/// Throws Json::exception if a required field is missing or a field has a wrong
/// type.
void from_json(const Json &Value, Member &To);

} // namespace tamarack

#endif // TAMARACK_MEMBERS_MEMBERSHIP_H
