#include "tamarack/members/Membership.h"

#include <algorithm>
#include <set>

namespace tamarack {
namespace {

void setState(MemberView &View, MemberState State, TimePoint Now) {
  if (State == MemberState::Leaving)
    View.EverLeaving = true;
  if (State == MemberState::Live && View.EverLeaving)
    State = MemberState::Leaving;
  if (View.Known.State == State)
    return;
  View.Known.State = State;
  View.StateSince = Now;
}

bool isFresh(const MemberView &View, const MembershipTiming &Timing,
             TimePoint Now) {
  return View.LastHeard && Now - *View.LastHeard < suspectAfter(Timing);
}

/// A view of an incarnation not seen before.
MemberView firstView(const Member &From, TimePoint Now) {
  MemberView View;
  View.Known = From;
  View.EverLeaving = From.State == MemberState::Leaving;
  View.StateSince = Now;
  if (From.State == MemberState::Suspected)
    View.Known.State = MemberState::Live;
  return View;
}

/// Replaces the description of a member but keeps what was learnt of it.
void describe(MemberView &View, const Member &From) {
  const MemberState State = View.Known.State;
  View.Known = From;
  View.Known.State = State;
}

/// The view of \p From's incarnation, or null when a newer one is known.
MemberView *admit(MemberTable &Table, const Member &From, TimePoint Now) {
  auto Found = Table.Members.find(From.Instance);
  if (Found == Table.Members.end())
    return &(Table.Members[From.Instance] = firstView(From, Now));
  MemberView &View = Found->second;
  if (From.Life < View.Known.Life)
    return nullptr;
  if (From.Life == View.Known.Life) {
    describe(View, From);
    return &View;
  }
  const Listing Platform = View.Platform;
  View = firstView(From, Now);
  View.Platform = Platform;
  return &View;
}

void hear(MemberView &View, TimePoint Now) {
  View.LastHeard = Now;
  if (View.Known.State != MemberState::Leaving)
    setState(View, MemberState::Live, Now);
}

void takeListed(MemberTable &Table, const Member &From, TimePoint Now) {
  MemberView *View = admit(Table, From, Now);
  MemberView &Any = Table.Members[From.Instance];
  const bool WasDropped = Any.Platform == Listing::Dropped;
  Any.Platform = Listing::Listed;
  if (!View)
    return;
  MemberState &State = View->Known.State;
  if (From.State == MemberState::Leaving && State != MemberState::Gone)
    setState(*View, MemberState::Leaving, Now);
  // Gone by the list alone: the list may bring it back.
  if (WasDropped && !View->LastHeard && State == MemberState::Gone)
    setState(*View, From.State, Now);
}

void dropUnlisted(MemberTable &Table, const std::set<InstanceId> &Named,
                  TimePoint Now) {
  for (auto &[Instance, View] : Table.Members) {
    if (View.Platform != Listing::Listed || Named.count(Instance))
      continue;
    View.Platform = Listing::Dropped;
    if (!isFresh(View, Table.Timing, Now))
      setState(View, MemberState::Gone, Now);
  }
}

/// How long after its suspicion a member is given up.
Duration givenUpAfter(const MemberView &View, const MembershipTiming &Timing) {
  // Silence and the platform's list agree.
  if (View.Platform == Listing::Dropped)
    return Duration(0);
  return goneAfter(Timing) - suspectAfter(Timing);
}

void age(MemberView &View, const MembershipTiming &Timing, TimePoint Now) {
  MemberState &State = View.Known.State;
  const bool Silent = View.LastHeard && !isFresh(View, Timing, Now);
  if (State == MemberState::Live && Silent)
    setState(View, MemberState::Suspected, Now);
  if (State == MemberState::Suspected &&
      Now - View.StateSince >= givenUpAfter(View, Timing))
    setState(View, MemberState::Gone, Now);
  if (State == MemberState::Leaving && Silent &&
      Now - *View.LastHeard >= goneAfter(Timing))
    setState(View, MemberState::Gone, Now);
}

bool isForgotten(const MemberView &View, const MembershipTiming &Timing,
                 TimePoint Now) {
  return View.Known.State == MemberState::Gone &&
         View.Platform != Listing::Listed &&
         Now - View.StateSince >= Timing.ForgetAfter;
}

template <typename Accept>
std::vector<Member> select(const MemberTable &Table, Accept Wanted) {
  std::vector<Member> Selected;
  for (const auto &[Instance, View] : Table.Members)
    if (Wanted(View.Known))
      Selected.push_back(View.Known);
  return Selected;
}

constexpr const char *StateNames[] = {"live", "suspected", "leaving", "gone"};
constexpr const char *RoleNames[] = {"entry", "endpoint"};

MemberState stateNamed(const std::string &Name) {
  for (MemberState State : {MemberState::Live, MemberState::Suspected,
                            MemberState::Leaving, MemberState::Gone})
    if (Name == nameOf(State))
      return State;
  throw Json::other_error::create(501, "unknown state " + Name,
                                  static_cast<const Json *>(nullptr));
}

Role roleNamed(const std::string &Name) {
  for (Role Kind : {Role::Entry, Role::Endpoint})
    if (Name == nameOf(Kind))
      return Kind;
  throw Json::other_error::create(501, "unknown role " + Name,
                                  static_cast<const Json *>(nullptr));
}

} // namespace

Duration suspectAfter(const MembershipTiming &Timing) {
  return Timing.HeartbeatPeriod * Timing.SuspectAfterMissed;
}

Duration goneAfter(const MembershipTiming &Timing) {
  return Timing.HeartbeatPeriod * Timing.GoneAfterMissed;
}

MemberTable onPlatformList(MemberTable Table, const std::vector<Member> &List,
                           TimePoint Now) {
  std::set<InstanceId> Named;
  for (const Member &From : List) {
    Named.insert(From.Instance);
    takeListed(Table, From, Now);
  }
  dropUnlisted(Table, Named, Now);
  return Table;
}

MemberTable onIntroduction(MemberTable Table, const Member &Peer,
                           TimePoint Now) {
  MemberView *View = admit(Table, Peer, Now);
  if (!View)
    return Table;
  hear(*View, Now);
  if (Peer.State == MemberState::Leaving)
    setState(*View, MemberState::Leaving, Now);
  return Table;
}

MemberTable onHeartbeat(MemberTable Table, const InstanceId &Instance,
                        Incarnation Life, TimePoint Now) {
  auto Found = Table.Members.find(Instance);
  if (Found == Table.Members.end())
    return Table;
  Member Peer = Found->second.Known;
  Peer.Life = Life;
  Peer.State = MemberState::Live;
  if (MemberView *View = admit(Table, Peer, Now))
    hear(*View, Now);
  return Table;
}

MemberTable onLinkLost(MemberTable Table, const InstanceId &Instance,
                       TimePoint Now) {
  auto Found = Table.Members.find(Instance);
  if (Found != Table.Members.end() &&
      Found->second.Known.State == MemberState::Live)
    setState(Found->second, MemberState::Suspected, Now);
  return Table;
}

MemberTable onAnnouncedLeaving(MemberTable Table, const InstanceId &Instance,
                               Incarnation Life, TimePoint Now) {
  auto Found = Table.Members.find(Instance);
  if (Found == Table.Members.end())
    return Table;
  Member Peer = Found->second.Known;
  Peer.Life = Life;
  if (MemberView *View = admit(Table, Peer, Now)) {
    View->LastHeard = Now;
    setState(*View, MemberState::Leaving, Now);
  }
  return Table;
}

MemberTable onTick(MemberTable Table, TimePoint Now) {
  for (auto It = Table.Members.begin(); It != Table.Members.end();) {
    age(It->second, Table.Timing, Now);
    if (isForgotten(It->second, Table.Timing, Now))
      It = Table.Members.erase(It);
    else
      ++It;
  }
  return Table;
}

std::vector<Member> membersIn(const MemberTable &Table, MemberState Worst,
                              Role Kind, const RegionId &Region) {
  return select(Table, [&](const Member &Known) {
    return Known.State <= Worst && Known.Kind == Kind && Known.Region == Region;
  });
}

std::vector<Member> membersIn(const MemberTable &Table, MemberState Worst,
                              Role Kind) {
  return select(Table, [&](const Member &Known) {
    return Known.State <= Worst && Known.Kind == Kind;
  });
}

std::vector<Member> membersToContact(const MemberTable &Table) {
  std::vector<Member> Wanted;
  for (const auto &[Instance, View] : Table.Members)
    if (View.Known.State != MemberState::Gone ||
        View.Platform == Listing::Listed)
      Wanted.push_back(View.Known);
  return Wanted;
}

MemberState stateOf(const MemberTable &Table, const InstanceId &Instance,
                    Incarnation Life) {
  auto Found = Table.Members.find(Instance);
  if (Found == Table.Members.end())
    return MemberState::Gone;
  const Member &Known = Found->second.Known;
  return Life != 0 && Known.Life > Life ? MemberState::Gone : Known.State;
}

const char *nameOf(Role Kind) { return RoleNames[static_cast<int>(Kind)]; }

const char *nameOf(MemberState State) {
  return StateNames[static_cast<int>(State)];
}

std::ostream &operator<<(std::ostream &Out, Role Kind) {
  return Out << nameOf(Kind);
}

std::ostream &operator<<(std::ostream &Out, MemberState State) {
  return Out << nameOf(State);
}

void to_json(Json &Value, const Member &From) {
  Value = Json{{"instance", From.Instance},
               {"incarnation", From.Life},
               {"role", nameOf(From.Kind)},
               {"region", From.Region},
               {"data_centre", From.DataCentre},
               {"host", From.Host},
               {"port", From.Port},
               {"folder", From.Folder},
               {"endpoint", From.Endpoint},
               {"serves", From.Serves},
               {"state", nameOf(From.State)}};
}

void from_json(const Json &Value, Member &To) {
  Value.at("instance").get_to(To.Instance);
  To.Life = Value.value("incarnation", Incarnation(0));
  To.Kind = roleNamed(Value.at("role").get<std::string>());
  Value.at("region").get_to(To.Region);
  Value.at("data_centre").get_to(To.DataCentre);
  Value.at("host").get_to(To.Host);
  Value.at("port").get_to(To.Port);
  To.Folder = FolderId(Value.value("folder", std::string()));
  To.Endpoint = EndpointId(Value.value("endpoint", std::string()));
  To.Serves = Value.value("serves", std::vector<std::string>());
  To.State = stateNamed(Value.value("state", std::string("live")));
}

} // namespace tamarack
