/// Which ledgers form the quorum, and how one enters or leaves it.
///
/// The platform's store holds one view. Each change makes the next number by
/// compare-and-swap. A ledger refuses requests of an older view than it knows:
///
///   const JoinPlan Plan = planJoin(Current, Self, Unreachable, Wanted);
///   if (Plan.Next)
///     ... compare-and-swap *Plan.Next ...
///
/// Every change replaces or removes at most one joined member. A ledger is only
/// joined after it fetched from so many joined members that each record which
/// an earlier view kept lies on one of them; these refuse older views from then
/// on.
#ifndef TAMARACK_TURNS_VIEW_H
#define TAMARACK_TURNS_VIEW_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// One ledger that the view names.
struct ViewMember {
  /// The identity of its data folder: a fresh folder is another member.
  FolderId Folder;
  InstanceId Instance;
  DataCentreId DataCentre;
  /// Where it listens for links, "IP:PORT".
  std::string Address;
  /// It holds all that earlier quorums answered, and counts.
  bool Joined = false;

  friend bool operator==(const ViewMember &, const ViewMember &) = default;
};

struct View {
  /// Zero before the first view was written.
  std::uint64_t Number = 0;
  std::vector<ViewMember> Members;

  friend bool operator==(const View &, const View &) = default;
};

void to_json(Json &Value, const ViewMember &Member);
void from_json(const Json &Value, ViewMember &Member);
void to_json(Json &Value, const View &From);
void from_json(const Json &Value, View &To);
Expected<View> parseView(const std::string &Text);

const ViewMember *findMember(const View &In, const FolderId &Folder);
/// How many members must answer: more than half of all, joined or not.
std::size_t quorumOf(const View &Of);
/// How many members have a record that is kept: a majority, and at least
/// \p DurableCopies.
std::size_t copiesOf(const View &Of, std::size_t DurableCopies);
/// How many of \p Sources joined members a ledger must fetch from, so that each
/// record that is kept is among what it fetched: all that there are, or so many
/// that no quorum can do without them; never none.
std::size_t sourcesNeeded(const View &Of, std::size_t DurableCopies,
                          std::size_t Sources);

/// What a deployment asks of its views.
struct ViewRules {
  /// Members that a view should name.
  std::size_t TargetMembers = 3;
  /// Disks that a record must lie on: the losses to survive, and one.
  std::size_t DurableCopies = 2;
  /// The whole system starts for the first time, with empty disks.
  bool FirstStart = false;
  /// Free places are left to data centres that have no member yet.
  bool OnePerDataCentre = false;
};

struct JoinPlan {
  /// The view to write; nothing where the ledger is a member or stands by.
  std::optional<View> Next;
  /// The member that Next no longer names.
  std::optional<ViewMember> Replaced;
  std::string Reason;
};

/// How \p Self enters \p Current. \p Unreachable has the folders of members
/// that answered nothing for the suspicion time; at most one of them is
/// replaced, and only if enough joined members answer to fetch from.
JoinPlan planJoin(const View &Current, const ViewMember &Self,
                  const std::set<FolderId> &Unreachable,
                  const ViewRules &Rules);

/// \p Current with \p Folder marked as joined.
View withJoined(const View &Current, const FolderId &Folder);
/// \p Current without \p Folder.
View without(const View &Current, const FolderId &Folder);

} // namespace tamarack

#endif // TAMARACK_TURNS_VIEW_H
