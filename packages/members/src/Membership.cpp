#include "tamarack/members/Membership.h"

#include <algorithm>
#include <set>

namespace tamarack {
namespace {

void setState(MemberView &View, MemberState State, TimePoint Now) {
  if (State == MemberState::Leaving)
    View.WasLeaving = true;
  if (State == MemberState::Live && View.WasLeaving)
    State = MemberState::Leaving;
  if (View.Known.State == State)
    return;
  View.Known.State = State;
  View.StateSince = Now;
}

bool wasHeardRecently(const MemberView &View, const MembershipTiming &Timing,
                      TimePoint Now) {
  return View.LastHeard && Now - *View.LastHeard < suspectTimeout(Timing);
}

/// Returns the view of an incarnation that was not known before.
MemberView newMemberView(const Member &From, TimePoint Now) {
  MemberView View;
  View.Known = From;
  View.WasLeaving = From.State == MemberState::Leaving;
  View.StateSince = Now;
  if (From.State == MemberState::Suspected)
    View.Known.State = MemberState::Live;
  return View;
}

/// Replaces the description of a member but keeps its state.
void updateDescription(MemberView &View, const Member &From) {
  const MemberState State = View.Known.State;
  View.Known = From;
  View.Known.State = State;
}

/// Returns the view of the incarnation of \p From, or null if a newer one is
/// known. Adds or replaces the view if the incarnation is new.
MemberView *findOrAddView(MemberTable &Table, const Member &From,
                          TimePoint Now) {
  auto Found = Table.Members.find(From.Instance);
  if (Found == Table.Members.end())
    return &(Table.Members[From.Instance] = newMemberView(From, Now));
  MemberView &View = Found->second;
  if (From.Life < View.Known.Life)
    return nullptr;
  if (From.Life == View.Known.Life) {
    updateDescription(View, From);
    return &View;
  }
  const Listing Platform = View.Platform;
  View = newMemberView(From, Now);
  View.Platform = Platform;
  return &View;
}

void recordHeartbeat(MemberView &View, TimePoint Now) {
  View.LastHeard = Now;
  if (View.Known.State != MemberState::Leaving)
    setState(View, MemberState::Live, Now);
}

void applyListedMember(MemberTable &Table, const Member &From, TimePoint Now) {
  MemberView *View = findOrAddView(Table, From, Now);
  MemberView &ListedView = Table.Members[From.Instance];
  const bool WasDropped = ListedView.Platform == Listing::Dropped;
  ListedView.Platform = Listing::Listed;
  if (!View)
    return;
  MemberState &State = View->Known.State;
  if (From.State == MemberState::Leaving && State != MemberState::Gone)
    setState(*View, MemberState::Leaving, Now);
  // The member was Gone only because it was not listed, so listing it again
  // restores it.
  if (WasDropped && !View->LastHeard && State == MemberState::Gone)
    setState(*View, From.State, Now);
}

void dropUnlisted(MemberTable &Table, const std::set<InstanceId> &Named,
                  TimePoint Now) {
  for (auto &[Instance, View] : Table.Members) {
    if (View.Platform != Listing::Listed || Named.count(Instance))
      continue;
    View.Platform = Listing::Dropped;
    if (!wasHeardRecently(View, Table.Timing, Now))
      setState(View, MemberState::Gone, Now);
  }
}

/// Returns how long a member stays Suspected before it is Gone.
Duration suspectedToGoneTimeout(const MemberView &View,
                                const MembershipTiming &Timing) {
  // The platform's list confirms what the silence suggests, so do not wait.
  if (View.Platform == Listing::Dropped)
    return Duration(0);
  return goneTimeout(Timing) - suspectTimeout(Timing);
}

void updateState(MemberView &View, const MembershipTiming &Timing,
                 TimePoint Now) {
  MemberState &State = View.Known.State;
  const bool Silent = View.LastHeard && !wasHeardRecently(View, Timing, Now);
  if (State == MemberState::Live && Silent)
    setState(View, MemberState::Suspected, Now);
  if (State == MemberState::Suspected &&
      Now - View.StateSince >= suspectedToGoneTimeout(View, Timing))
    setState(View, MemberState::Gone, Now);
  if (State == MemberState::Leaving && Silent &&
      Now - *View.LastHeard >= goneTimeout(Timing))
    setState(View, MemberState::Gone, Now);
}

bool shouldForget(const MemberView &View, const MembershipTiming &Timing,
                  TimePoint Now) {
  return View.Known.State == MemberState::Gone &&
         View.Platform != Listing::Listed &&
         Now - View.StateSince >= Timing.ForgetTimeout;
}

template <typename Predicate>
std::vector<Member> select(const MemberTable &Table, Predicate Matches) {
  std::vector<Member> Selected;
  for (const auto &[Instance, View] : Table.Members)
    if (Matches(View.Known))
      Selected.push_back(View.Known);
  return Selected;
}

constexpr const char *StateNames[] = {"live", "suspected", "leaving", "gone"};
constexpr const char *RoleNames[] = {"entry", "endpoint"};

MemberState parseState(const std::string &Name) {
  for (MemberState State : {MemberState::Live, MemberState::Suspected,
                            MemberState::Leaving, MemberState::Gone})
    if (Name == nameOf(State))
      return State;
  throw Json::other_error::create(501, "unknown member state: " + Name,
                                  static_cast<const Json *>(nullptr));
}

Role parseRole(const std::string &Name) {
  for (Role Kind : {Role::Entry, Role::Endpoint})
    if (Name == nameOf(Kind))
      return Kind;
  throw Json::other_error::create(501, "unknown member role: " + Name,
                                  static_cast<const Json *>(nullptr));
}

} // namespace

Duration suspectTimeout(const MembershipTiming &Timing) {
  return Timing.HeartbeatPeriod * Timing.SuspectAfterMissed;
}

Duration goneTimeout(const MembershipTiming &Timing) {
  return Timing.HeartbeatPeriod * Timing.GoneAfterMissed;
}

MemberTable onPlatformList(MemberTable Table, const std::vector<Member> &List,
                           TimePoint Now) {
  std::set<InstanceId> Named;
  for (const Member &From : List) {
    Named.insert(From.Instance);
    applyListedMember(Table, From, Now);
  }
  dropUnlisted(Table, Named, Now);
  return Table;
}

MemberTable onIntroduction(MemberTable Table, const Member &Peer,
                           TimePoint Now) {
  MemberView *View = findOrAddView(Table, Peer, Now);
  if (!View)
    return Table;
  recordHeartbeat(*View, Now);
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
  if (MemberView *View = findOrAddView(Table, Peer, Now))
    recordHeartbeat(*View, Now);
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
  if (MemberView *View = findOrAddView(Table, Peer, Now)) {
    View->LastHeard = Now;
    setState(*View, MemberState::Leaving, Now);
  }
  return Table;
}

MemberTable onTick(MemberTable Table, TimePoint Now) {
  for (auto It = Table.Members.begin(); It != Table.Members.end();) {
    updateState(It->second, Table.Timing, Now);
    if (shouldForget(It->second, Table.Timing, Now))
      It = Table.Members.erase(It);
    else
      ++It;
  }
  return Table;
}

std::vector<Member> membersIn(const MemberTable &Table, MemberState LowestState,
                              Role Kind, const RegionId &Region) {
  return select(Table, [&](const Member &Known) {
    return Known.State <= LowestState && Known.Kind == Kind &&
           Known.Region == Region;
  });
}

std::vector<Member> membersIn(const MemberTable &Table, MemberState LowestState,
                              Role Kind) {
  return select(Table, [&](const Member &Known) {
    return Known.State <= LowestState && Known.Kind == Kind;
  });
}

std::vector<Member> membersToContact(const MemberTable &Table) {
  std::vector<Member> Result;
  for (const auto &[Instance, View] : Table.Members)
    if (View.Known.State != MemberState::Gone ||
        View.Platform == Listing::Listed)
      Result.push_back(View.Known);
  return Result;
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
  To.Kind = parseRole(Value.at("role").get<std::string>());
  Value.at("region").get_to(To.Region);
  Value.at("data_centre").get_to(To.DataCentre);
  Value.at("host").get_to(To.Host);
  Value.at("port").get_to(To.Port);
  To.Folder = FolderId(Value.value("folder", std::string()));
  To.Endpoint = EndpointId(Value.value("endpoint", std::string()));
  To.Serves = Value.value("serves", std::vector<std::string>());
  To.State = parseState(Value.value("state", std::string("live")));
}

} // namespace tamarack
