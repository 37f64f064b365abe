/// The membership view of the ledger quorum, and how ledgers join and leave it.
///
/// The platform's store holds one view. Each change increments the view number
/// by compare-and-swap. A ledger refuses requests that carry an older view
/// number than its own:
///
///   const JoinPlan Plan = planJoin(Current, Self, Unreachable, Rules);
///   if (Plan.Next)
///     ... compare-and-swap *Plan.Next ...
///
/// Every change replaces or removes at most one joined member. Each place of a
/// view but a *free* one has a *record holder*: the joined member, a member
/// that is leaving, or, while a new member fetches, the predecessor that it
/// replaces. Every acknowledged record is on all but `places - copies` of the
/// holders, free places not counted, so one holder more than that list all of
/// them. A ledger is marked as joined once it has these lists and each record
/// that too few other holders have. The holders that have listed their records
/// refuse older views.
#ifndef TAMARACK_TURNS_VIEW_H
#define TAMARACK_TURNS_VIEW_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// A ledger on whose disk records of a view are.
struct RecordHolder {
  FolderId Folder;
  InstanceId Instance;
  DataCentreId DataCentre;
  /// The address for links, "IP:PORT".
  std::string Address;

  friend bool operator==(const RecordHolder &, const RecordHolder &) = default;
};

/// One ledger that is listed in a view.
struct ViewMember {
  /// The identity of its data folder. A ledger with a new folder is a
  /// different member.
  FolderId Folder;
  InstanceId Instance;
  DataCentreId DataCentre;
  /// The address for links, "IP:PORT".
  std::string Address;
  /// Set once the ledger holds all records that earlier quorums acknowledged.
  /// Only joined members accept records and
  /// answer requests for chains.
  bool Joined = false;
  /// Set while the member retires. It accepts no records any more, and keeps
  /// its place until the other members have fetched its records.
  bool Leaving = false;
  /// The ledger that held the place before, until this one has joined. Its disk
  /// may hold the only reachable copy of a record, so it is fetched from, and
  /// takes its place again if it comes back first. Empty if there was none or
  /// its folder is known to be lost.
  std::optional<RecordHolder> Predecessor = {};
  /// Set until the member has joined if no records are lost with its place: the
  /// place was free, or its holder left once enough joined members had its
  /// records.
  bool AtFreePlace = false;

  friend bool operator==(const ViewMember &, const ViewMember &) = default;
};

struct View {
  /// Zero before the first view is written.
  std::uint64_t Number = 0;
  std::vector<ViewMember> Members;
  /// The number of the view since which the members may lack acknowledged
  /// records, because more disks were lost than the copies allow for; zero if
  /// they lack none. What no member has may have existed then.
  std::uint64_t IncompleteSince = 0;

  friend bool operator==(const View &, const View &) = default;
};

void to_json(Json &Value, const RecordHolder &Holder);
void from_json(const Json &Value, RecordHolder &Holder);
void to_json(Json &Value, const ViewMember &Member);
void from_json(const Json &Value, ViewMember &Member);
void to_json(Json &Value, const View &From);
void from_json(const Json &Value, View &To);
/// Parses the JSON text of a view; returns InvalidConfiguration if it is
/// malformed.
Expected<View> parseView(const std::string &Text);

/// Returns the member with the given folder identity, or null.
const ViewMember *findMember(const View &Of, const FolderId &Folder);
/// Returns how many members must answer: more than half of all members, joined
/// or not.
std::size_t quorumSize(const View &Of);
/// Returns how many members must store a record: a majority, and at least
/// \p DurableCopies.
std::size_t requiredCopies(const View &Of, std::size_t DurableCopies);
/// Returns the record holders of all places: joined and leaving members, and
/// predecessors of members that have not joined yet.
std::vector<RecordHolder> recordHolders(const View &Of);
/// Returns whether the ledger with this folder is a record holder.
bool holdsRecords(const View &Of, const FolderId &Folder);
/// Returns whether \p Folder is a joined member of \p Of.
bool isJoined(const View &Of, const FolderId &Folder);
/// Returns the number of joined members.
std::size_t joinedCount(const View &Of);
/// Returns all members and all predecessors.
std::vector<RecordHolder> listedLedgers(const View &Of);
/// Returns how many record holders of \p Of must list their records for a
/// ledger to learn of every stored record: enough that each set of required
/// copies includes one of them. A free place holds no copy, so it does not
/// count. Fewer only if more folders are known to be lost than the copies allow
/// for; at least one.
std::size_t requiredSources(const View &Of, std::size_t DurableCopies);

/// Returns whether more folders of \p Of are known to be lost than the copies
/// allow for, so that no ledger can have every stored record.
bool hasLostRecords(const View &Of, std::size_t DurableCopies);
/// Returns whether no set of the unreachable ledgers that \p Of or an earlier
/// view lists can store records any more. \p Listed is the number of record
/// holders that have listed their records, and so obey \p Of.
bool isSealed(const View &Of, std::size_t Listed, std::size_t DurableCopies);

/// Returns whether what holders have listed since \p Before counts in \p After:
/// both have as many places, and no other record holders have come in. Then the
/// change concerns only places of ledgers that have not joined, or lost
/// folders.
bool keepsSources(const View &Before, const View &After);

/// What a deployment requires of its views.
struct ViewRules {
  /// The number of members that a view should have.
  std::size_t TargetMembers = 3;
  /// The number of disks that a record must be on: the tolerated losses plus
  /// one.
  std::size_t DurableCopies = 2;
  /// Set for a ledger that was started when the whole system started for the
  /// first time, with empty disks.
  bool FirstStart = false;
  /// Reserves free places for data centres that have no member yet.
  bool OnePerDataCentre = false;
};

/// Returns whether \p Of is still being formed by ledgers of the first start:
/// it has free places, and all its changes have added a member. Only then may a
/// ledger join without fetching. Later on, members may lack what a member that
/// has left had.
bool isForming(const View &Of, const ViewRules &Rules);

struct JoinPlan {
  /// The view to write; empty if the ledger is a member already or must stay
  /// on standby.
  std::optional<View> Next;
  /// The member that is not in Next any more, if any.
  std::optional<ViewMember> Replaced;
  /// Explains the decision in logs.
  std::string Reason;
};

/// Plans how \p Self joins \p Current. \p Unreachable holds the folders of the
/// members and predecessors that did not answer within the suspicion timeout.
/// At most one member is replaced, and only if enough record holders can be
/// fetched from or it is one of Self's instance: its folder is lost, so it does
/// not come back. A predecessor takes its place again at once: it is counted
/// among the holders, so it lacks no more than they may.
JoinPlan planJoin(const View &Current, const ViewMember &Self,
                  const std::set<FolderId> &Unreachable,
                  const ViewRules &Rules);

struct LeavePlan {
  /// The view to write; empty if there is none at the moment.
  std::optional<View> Next;
  /// Explains the decision in logs.
  std::string Reason;
};

/// Plans the next step of the record holder \p Folder, which retires. \p
/// CaughtUp holds the folders of the members that have fetched all its records
/// since it began to leave, \p Answering those of the members that have
/// answered just now. It begins to leave, and leaves, only while enough others
/// answer to store records without it. If fewer do meanwhile, it takes its
/// place again: it was counted among the holders, so it lacks no more than they
/// may.
LeavePlan planLeave(const View &Current, const FolderId &Folder,
                    const std::set<FolderId> &CaughtUp,
                    const std::set<FolderId> &Answering,
                    std::size_t DurableCopies);

/// Returns the successor of \p Current in which \p Folder is joined.
View withMemberJoined(const View &Current, const FolderId &Folder);
/// Returns the successor of \p Current in which \p Folder is leaving.
View withMemberLeaving(const View &Current, const FolderId &Folder);
/// Returns the successor of \p Current in which \p Folder, which was leaving,
/// is joined again.
View withMemberStaying(const View &Current, const FolderId &Folder);
/// Returns \p Next, the successor of a view, with the mark that its members may
/// lack records.
View withRecordsMissing(View Next);
/// Returns the successor of \p Current without that mark.
View withRecordsComplete(const View &Current);
/// Returns the successor of \p Current without the member \p Folder.
View withoutMember(const View &Current, const FolderId &Folder);
/// Returns the successor of \p Current in which \p Folder is neither a member
/// nor a predecessor; a place that another ledger has taken is free. Right only
/// if as many joined members hold its records as the copies that the successor
/// requires.
View withoutHolder(const View &Current, const FolderId &Folder);

} // namespace tamarack

#endif // TAMARACK_TURNS_VIEW_H
