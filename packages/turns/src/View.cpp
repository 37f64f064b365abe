#include "tamarack/turns/View.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The member that Self should take the place of: one of its own instance, or
/// the only joined one that does not answer, or one that never joined.
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

/// Whether enough joined members answer for a ledger to fetch from.
bool mayFetch(const View &Current, const ViewMember *Lost,
              const std::set<FolderId> &Unreachable,
              std::size_t DurableCopies) {
  std::size_t Sources = 0;
  std::size_t Answering = 0;
  for (const ViewMember &Member : Current.Members) {
    if (&Member == Lost || !Member.Joined)
      continue;
    ++Sources;
    Answering += Unreachable.count(Member.Folder) == 0 ? 1 : 0;
  }
  return Answering >= sourcesNeeded(Current, DurableCopies, Sources);
}

/// Whether no member that is left can hold a record: the only joined one lost
/// its folder. One that merely does not answer may still hold some.
bool isNothingLeft(const View &Current, const ViewMember *Lost,
                   const ViewMember &Self) {
  const bool LostForGood = Lost != nullptr && Lost->Instance == Self.Instance;
  return std::none_of(Current.Members.begin(), Current.Members.end(),
                      [&](const ViewMember &Member) {
                        return Member.Joined &&
                               !(LostForGood && &Member == Lost);
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
  } catch (const Json::exception &Problem) {
    return refuse(ErrorKind::InvalidConfiguration,
                  std::string("the view cannot be read: ") + Problem.what());
  }
}

const ViewMember *findMember(const View &In, const FolderId &Folder) {
  for (const ViewMember &Member : In.Members)
    if (Member.Folder == Folder)
      return &Member;
  return nullptr;
}

std::size_t quorumOf(const View &Of) { return Of.Members.size() / 2 + 1; }

std::size_t copiesOf(const View &Of, std::size_t DurableCopies) {
  return std::max(quorumOf(Of), DurableCopies);
}

std::size_t sourcesNeeded(const View &Of, std::size_t DurableCopies,
                          std::size_t Sources) {
  const std::size_t Members = Of.Members.size();
  const std::size_t Copies = std::min(Members, copiesOf(Of, DurableCopies));
  return std::max<std::size_t>(1, std::min(Sources, Members - Copies + 1));
}

JoinPlan planJoin(const View &Current, const ViewMember &Self,
                  const std::set<FolderId> &Unreachable,
                  const ViewRules &Rules) {
  if (findMember(Current, Self.Folder) != nullptr)
    return {{}, {}, "is a member"};
  const ViewMember *Lost = memberToReplace(Current, Self, Unreachable);
  if (Lost == nullptr && Current.Members.size() >= Rules.TargetMembers)
    return {{}, {}, "stands by, the view is full"};
  const bool HasNeighbour =
      std::any_of(Current.Members.begin(), Current.Members.end(),
                  [&](const ViewMember &Member) {
                    return Member.DataCentre == Self.DataCentre;
                  });
  if (Lost == nullptr && Rules.OnePerDataCentre && HasNeighbour)
    return {{}, {}, "leaves the place to another data centre"};
  const bool NothingToFetch =
      Rules.FirstStart || isNothingLeft(Current, Lost, Self);
  if (!NothingToFetch &&
      !mayFetch(Current, Lost, Unreachable, Rules.DurableCopies))
    return {{}, {}, "waits, too few joined members answer"};
  JoinPlan Plan;
  View Next = Current;
  if (Lost != nullptr) {
    Plan.Replaced = *Lost;
    Next = without(Current, Lost->Folder);
  }
  Next.Number = Current.Number + 1;
  Next.Members.push_back(Self);
  Next.Members.back().Joined = NothingToFetch;
  Plan.Next = Next;
  Plan.Reason = Lost == nullptr ? "takes a free place" : "replaces a member";
  return Plan;
}

View withJoined(const View &Current, const FolderId &Folder) {
  View Next = Current;
  Next.Number = Current.Number + 1;
  for (ViewMember &Member : Next.Members)
    if (Member.Folder == Folder)
      Member.Joined = true;
  return Next;
}

View without(const View &Current, const FolderId &Folder) {
  View Next{Current.Number + 1, {}};
  std::copy_if(Current.Members.begin(), Current.Members.end(),
               std::back_inserter(Next.Members), [&](const ViewMember &Member) {
                 return Member.Folder != Folder;
               });
  return Next;
}

} // namespace tamarack
