#include "tamarack/turns/View.h"

#include <algorithm>

namespace tamarack {
namespace {

/// Returns the member that Self should replace, or null: the member on Self's
/// own instance, else an unreachable member that has not joined, else an
/// unreachable joined member.
const ViewMember *memberToReplace(const View &Current, const ViewMember &Self,
                                  const std::set<FolderId> &Unreachable) {
  for (const ViewMember &Member : Current.Members)
    if (Member.Instance == Self.Instance)
      return &Member;
  for (const ViewMember &Member : Current.Members)
    if (!Member.Joined && Unreachable.count(Member.Folder) > 0)
      return &Member;
  for (const ViewMember &Member : Current.Members)
    if (Unreachable.count(Member.Folder) > 0)
      return &Member;
  return nullptr;
}

/// Returns whether enough joined members besides \p ToReplace are reachable for
/// a ledger to fetch all records.
bool hasEnoughSources(const View &Current, const ViewMember *ToReplace,
                      const std::set<FolderId> &Unreachable,
                      std::size_t DurableCopies) {
  std::size_t Sources = 0;
  std::size_t Answering = 0;
  for (const ViewMember &Member : Current.Members) {
    if (&Member == ToReplace || !Member.Joined)
      continue;
    ++Sources;
    Answering += Unreachable.count(Member.Folder) == 0 ? 1 : 0;
  }
  return Answering >= requiredSources(Current, DurableCopies, Sources);
}

/// Returns whether no member can hold a record any more, so that there is
/// nothing to fetch. A joined member lost its records if Self, on the same
/// instance, has a new folder; one that is only unreachable may still have
/// them.
bool noRecordsRemain(const View &Current, const ViewMember *ToReplace,
                     const ViewMember &Self) {
  const bool FolderLost =
      ToReplace != nullptr && ToReplace->Instance == Self.Instance;
  return std::none_of(Current.Members.begin(), Current.Members.end(),
                      [&](const ViewMember &Member) {
                        return Member.Joined &&
                               !(FolderLost && &Member == ToReplace);
                      });
}

} // namespace

void to_json(Json &Value, const ViewMember &Member) {
  Value = Json{{"folder", Member.Folder},
               {"instance", Member.Instance},
               {"data_centre", Member.DataCentre},
               {"address", Member.Address},
               {"joined", Member.Joined}};
}

void from_json(const Json &Value, ViewMember &Member) {
  Value.at("folder").get_to(Member.Folder);
  Value.at("instance").get_to(Member.Instance);
  Value.at("data_centre").get_to(Member.DataCentre);
  Value.at("address").get_to(Member.Address);
  Value.at("joined").get_to(Member.Joined);
}

void to_json(Json &Value, const View &From) {
  Value = Json{{"number", From.Number}, {"members", From.Members}};
}

void from_json(const Json &Value, View &To) {
  Value.at("number").get_to(To.Number);
  Value.at("members").get_to(To.Members);
}

Expected<View> parseView(const std::string &Text) {
  try {
    return Json::parse(Text).get<View>();
  } catch (const Json::exception &Failure) {
    return refuse(ErrorKind::InvalidConfiguration,
                  std::string("malformed view: ") + Failure.what());
  }
}

const ViewMember *findMember(const View &Of, const FolderId &Folder) {
  for (const ViewMember &Member : Of.Members)
    if (Member.Folder == Folder)
      return &Member;
  return nullptr;
}

std::size_t quorumSize(const View &Of) { return Of.Members.size() / 2 + 1; }

std::size_t requiredCopies(const View &Of, std::size_t DurableCopies) {
  return std::max(quorumSize(Of), DurableCopies);
}

std::size_t requiredSources(const View &Of, std::size_t DurableCopies,
                            std::size_t Sources) {
  const std::size_t Members = Of.Members.size();
  const std::size_t Copies =
      std::min(Members, requiredCopies(Of, DurableCopies));
  return std::max<std::size_t>(1, std::min(Sources, Members - Copies + 1));
}

JoinPlan planJoin(const View &Current, const ViewMember &Self,
                  const std::set<FolderId> &Unreachable,
                  const ViewRules &Rules) {
  if (findMember(Current, Self.Folder) != nullptr)
    return {{}, {}, "already a member"};
  const ViewMember *ToReplace = memberToReplace(Current, Self, Unreachable);
  if (ToReplace == nullptr && Current.Members.size() >= Rules.TargetMembers)
    return {{}, {}, "on standby: the view is full"};
  const bool HasLocalMember =
      std::any_of(Current.Members.begin(), Current.Members.end(),
                  [&](const ViewMember &Member) {
                    return Member.DataCentre == Self.DataCentre;
                  });
  if (ToReplace == nullptr && Rules.OnePerDataCentre && HasLocalMember)
    return {{},
            {},
            "on standby: the free places are reserved for other data centres"};
  const bool NothingToFetch =
      Rules.FirstStart || noRecordsRemain(Current, ToReplace, Self);
  if (!NothingToFetch &&
      !hasEnoughSources(Current, ToReplace, Unreachable, Rules.DurableCopies))
    return {{}, {}, "waiting: too few joined members are reachable"};
  JoinPlan Plan;
  View Next = Current;
  if (ToReplace != nullptr) {
    Plan.Replaced = *ToReplace;
    Next = withoutMember(Current, ToReplace->Folder);
  }
  Next.Number = Current.Number + 1;
  Next.Members.push_back(Self);
  Next.Members.back().Joined = NothingToFetch;
  Plan.Next = Next;
  Plan.Reason =
      ToReplace == nullptr ? "joins at a free place" : "replaces a member";
  return Plan;
}

View withMemberJoined(const View &Current, const FolderId &Folder) {
  View Next = Current;
  Next.Number = Current.Number + 1;
  for (ViewMember &Member : Next.Members)
    if (Member.Folder == Folder)
      Member.Joined = true;
  return Next;
}

View withoutMember(const View &Current, const FolderId &Folder) {
  View Next{Current.Number + 1, {}};
  std::copy_if(Current.Members.begin(), Current.Members.end(),
               std::back_inserter(Next.Members), [&](const ViewMember &Member) {
                 return Member.Folder != Folder;
               });
  return Next;
}

} // namespace tamarack
