#include "tamarack/turns/View.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The longest view in the store; a member takes some 300 bytes.
constexpr std::size_t MaxViewBytes = 64U << 10U;
/// View numbers only increase, so a greater one would end all changes.
constexpr std::uint64_t MaxViewNumber = std::uint64_t(1) << 48U;

/// Returns the member that Self should replace, or null: the member on Self's
/// own instance, else an unreachable member that has not joined, else one that
/// is leaving, else an unreachable joined member.
const ViewMember *memberToReplace(const View &Current, const ViewMember &Self,
                                  const std::set<FolderId> &Unreachable) {
  for (const ViewMember &Member : Current.Members)
    if (Member.Instance == Self.Instance)
      return &Member;
  for (const ViewMember &Member : Current.Members)
    if (!Member.Joined && Unreachable.count(Member.Folder) > 0)
      return &Member;
  for (const ViewMember &Member : Current.Members)
    if (Member.Leaving)
      return &Member;
  for (const ViewMember &Member : Current.Members)
    if (Unreachable.count(Member.Folder) > 0)
      return &Member;
  return nullptr;
}

std::size_t majorityOf(std::size_t Members) { return Members / 2 + 1; }

RecordHolder holderFrom(const ViewMember &Member) {
  return {Member.Folder, Member.Instance, Member.DataCentre, Member.Address};
}

/// Returns the holder of the records of a member's place, if there is one.
std::optional<RecordHolder> recordHolder(const ViewMember &Member) {
  if (Member.Joined || Member.Leaving)
    return holderFrom(Member);
  return Member.Predecessor;
}

/// Returns the number of places that hold records or have lost them, as in the
/// view before a free place was taken.
std::size_t placesWithRecords(const View &Of) {
  return static_cast<std::size_t>(
      std::count_if(Of.Members.begin(), Of.Members.end(),
                    [](const ViewMember &Each) { return !Each.AtFreePlace; }));
}

/// Returns how many places have every stored record between them, whichever
/// they are.
std::size_t holdersWithAllRecords(const View &Of, std::size_t DurableCopies) {
  const std::size_t Places = placesWithRecords(Of);
  return Places -
         std::min(Places, std::max(majorityOf(Places), DurableCopies)) + 1;
}

/// Returns whether enough record holders of \p Of are reachable for a ledger to
/// fetch all records.
bool hasEnoughSources(const View &Of, const std::set<FolderId> &Unreachable,
                      std::size_t DurableCopies) {
  const std::vector<RecordHolder> Holders = recordHolders(Of);
  const auto Answering = std::count_if(
      Holders.begin(), Holders.end(), [&](const RecordHolder &Holder) {
        return Unreachable.count(Holder.Folder) == 0;
      });
  return static_cast<std::size_t>(Answering) >=
         requiredSources(Of, DurableCopies);
}

/// Returns the successor of \p Current in which \p Self, the predecessor of a
/// member that has not joined, takes its place again; empty if it is none.
std::optional<View> withPredecessorBack(const View &Current,
                                        const ViewMember &Self) {
  View Next = Current;
  for (ViewMember &Member : Next.Members) {
    if (!Member.Predecessor || Member.Predecessor->Folder != Self.Folder)
      continue;
    Member = Self;
    Member.Joined = true;
    ++Next.Number;
    return Next;
  }
  return std::nullopt;
}

/// Returns the successor of \p Current without the predecessor on \p Instance,
/// whose folder is lost; empty if there is none.
std::optional<View> withoutLostPredecessor(const View &Current,
                                           const InstanceId &Instance) {
  View Next = Current;
  for (ViewMember &Member : Next.Members) {
    if (!Member.Predecessor || Member.Predecessor->Instance != Instance)
      continue;
    Member.Predecessor.reset();
    ++Next.Number;
    return Next;
  }
  return std::nullopt;
}

} // namespace

void to_json(Json &Value, const RecordHolder &Holder) {
  Value = Json{{"folder", Holder.Folder},
               {"instance", Holder.Instance},
               {"data_centre", Holder.DataCentre},
               {"address", Holder.Address}};
}

void from_json(const Json &Value, RecordHolder &Holder) {
  Value.at("folder").get_to(Holder.Folder);
  Value.at("instance").get_to(Holder.Instance);
  Value.at("data_centre").get_to(Holder.DataCentre);
  Value.at("address").get_to(Holder.Address);
}

void to_json(Json &Value, const ViewMember &Member) {
  Value = Json{{"folder", Member.Folder},
               {"instance", Member.Instance},
               {"data_centre", Member.DataCentre},
               {"address", Member.Address},
               {"joined", Member.Joined}};
  if (Member.Leaving)
    Value["leaving"] = true;
  if (Member.Predecessor)
    Value["predecessor"] = *Member.Predecessor;
  if (Member.AtFreePlace)
    Value["at_free_place"] = true;
}

void from_json(const Json &Value, ViewMember &Member) {
  Value.at("folder").get_to(Member.Folder);
  Value.at("instance").get_to(Member.Instance);
  Value.at("data_centre").get_to(Member.DataCentre);
  Value.at("address").get_to(Member.Address);
  Value.at("joined").get_to(Member.Joined);
  // Views of earlier releases have none of the following. Without the mark of a
  // free place, its member fetches from more holders than it must.
  Member.Leaving = Value.value("leaving", false);
  Member.AtFreePlace = Value.value("at_free_place", false);
  Member.Predecessor.reset();
  if (const auto Found = Value.find("predecessor"); Found != Value.end())
    Member.Predecessor = Found->get<RecordHolder>();
}

void to_json(Json &Value, const View &From) {
  Value = Json{{"number", From.Number}, {"members", From.Members}};
  if (From.IncompleteSince > 0)
    Value["incomplete_since"] = From.IncompleteSince;
}

void from_json(const Json &Value, View &To) {
  Value.at("number").get_to(To.Number);
  Value.at("members").get_to(To.Members);
  // Views of earlier releases do not say it.
  To.IncompleteSince = Value.value("incomplete_since", std::uint64_t(0));
}

Expected<View> parseView(const std::string &Text) {
  if (Text.size() > MaxViewBytes)
    return refuse(ErrorKind::InvalidConfiguration, "the view is too long");
  try {
    const Json Value = Json::parse(Text);
    // Any other number would be narrowed to one that no later view exceeds.
    if (!Value.at("number").is_number_unsigned() ||
        Value.at("number").get<std::uint64_t>() > MaxViewNumber)
      return refuse(ErrorKind::InvalidConfiguration,
                    "the number of the view is not a count");
    return Value.get<View>();
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

std::size_t quorumSize(const View &Of) { return majorityOf(Of.Members.size()); }

std::size_t requiredCopies(const View &Of, std::size_t DurableCopies) {
  return std::max(quorumSize(Of), DurableCopies);
}

std::vector<RecordHolder> recordHolders(const View &Of) {
  std::vector<RecordHolder> Result;
  for (const ViewMember &Member : Of.Members)
    if (std::optional<RecordHolder> Holder = recordHolder(Member))
      Result.push_back(std::move(*Holder));
  return Result;
}

bool holdsRecords(const View &Of, const FolderId &Folder) {
  const std::vector<RecordHolder> Holders = recordHolders(Of);
  return std::any_of(
      Holders.begin(), Holders.end(),
      [&](const RecordHolder &Holder) { return Holder.Folder == Folder; });
}

bool isJoined(const View &Of, const FolderId &Folder) {
  const ViewMember *Member = findMember(Of, Folder);
  return Member != nullptr && Member->Joined;
}

std::size_t joinedCount(const View &Of) {
  return static_cast<std::size_t>(
      std::count_if(Of.Members.begin(), Of.Members.end(),
                    [](const ViewMember &Member) { return Member.Joined; }));
}

std::vector<RecordHolder> listedLedgers(const View &Of) {
  std::vector<RecordHolder> Result;
  for (const ViewMember &Member : Of.Members) {
    Result.push_back(holderFrom(Member));
    if (Member.Predecessor)
      Result.push_back(*Member.Predecessor);
  }
  return Result;
}

std::size_t requiredSources(const View &Of, std::size_t DurableCopies) {
  return std::max<std::size_t>(
      1, std::min(recordHolders(Of).size(),
                  holdersWithAllRecords(Of, DurableCopies)));
}

bool hasLostRecords(const View &Of, std::size_t DurableCopies) {
  return recordHolders(Of).size() < holdersWithAllRecords(Of, DurableCopies);
}

bool isSealed(const View &Of, std::size_t Listed, std::size_t DurableCopies) {
  const std::size_t Lost = placesWithRecords(Of) - recordHolders(Of).size();
  return Lost + Listed >= holdersWithAllRecords(Of, DurableCopies);
}

bool keepsSources(const View &Before, const View &After) {
  const std::vector<RecordHolder> Known = recordHolders(Before);
  const std::vector<RecordHolder> Holders = recordHolders(After);
  return Before.Members.size() == After.Members.size() &&
         std::all_of(Holders.begin(), Holders.end(),
                     [&](const RecordHolder &Holder) {
                       return std::find(Known.begin(), Known.end(), Holder) !=
                              Known.end();
                     });
}

bool isForming(const View &Of, const ViewRules &Rules) {
  return Rules.FirstStart && Of.Number == Of.Members.size() &&
         Of.Members.size() < Rules.TargetMembers;
}

JoinPlan planJoin(const View &Current, const ViewMember &Self,
                  const std::set<FolderId> &Unreachable,
                  const ViewRules &Rules) {
  if (findMember(Current, Self.Folder) != nullptr)
    return {{}, {}, "already a member"};
  if (std::optional<View> Next = withPredecessorBack(Current, Self))
    return {std::move(Next), {}, "takes its place again"};
  // Only if it matters: a change of the view interrupts those that fetch.
  if (!hasEnoughSources(Current, Unreachable, Rules.DurableCopies))
    if (auto Next = withoutLostPredecessor(Current, Self.Instance))
      return {std::move(Next), {}, "reports the loss of its former folder"};
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
  JoinPlan Plan;
  View Next = Current;
  ViewMember Added = Self;
  Added.AtFreePlace = ToReplace == nullptr;
  if (ToReplace != nullptr) {
    Plan.Replaced = *ToReplace;
    Added.Predecessor = recordHolder(*ToReplace);
    Added.AtFreePlace = ToReplace->AtFreePlace;
    // The folder of the same instance is lost.
    if (Added.Predecessor && Added.Predecessor->Instance == Self.Instance)
      Added.Predecessor.reset();
    Next = withoutMember(Current, ToReplace->Folder);
  }
  Next.Number = Current.Number + 1;
  Next.Members.push_back(Added);
  const bool IsForming = ToReplace == nullptr && isForming(Current, Rules);
  const bool ReplacesLostFolder =
      ToReplace != nullptr && ToReplace->Instance == Self.Instance;
  if (IsForming || recordHolders(Next).empty())
    Next = withMemberJoined(Next, Self.Folder);
  else if (!ReplacesLostFolder &&
           !hasEnoughSources(Next, Unreachable, Rules.DurableCopies))
    return {{}, {}, "waiting: too few record holders are reachable"};
  Next.Number = Current.Number + 1;
  const bool HasNothing = !IsForming && findMember(Next, Self.Folder)->Joined;
  if (HasNothing && !Current.Members.empty())
    Next = withRecordsMissing(std::move(Next));
  Plan.Next = Next;
  Plan.Reason =
      ToReplace == nullptr ? "joins at a free place" : "replaces a member";
  return Plan;
}

LeavePlan planLeave(const View &Current, const FolderId &Folder,
                    const std::set<FolderId> &CaughtUp,
                    const std::set<FolderId> &Answering,
                    std::size_t DurableCopies) {
  std::size_t OthersAnswering = 0;
  std::size_t OthersCaughtUp = 0;
  for (const ViewMember &Other : Current.Members) {
    if (!Other.Joined || Other.Folder == Folder ||
        Answering.count(Other.Folder) == 0)
      continue;
    ++OthersAnswering;
    OthersCaughtUp += CaughtUp.count(Other.Folder);
  }
  const ViewMember *Member = findMember(Current, Folder);
  const bool OthersServe =
      OthersAnswering >= requiredCopies(Current, DurableCopies);
  if (Member != nullptr && Member->Joined) {
    if (!OthersServe)
      return {{}, "waiting: too few other members answer"};
    return {withMemberLeaving(Current, Folder), "is leaving"};
  }
  if (Member != nullptr && !OthersServe)
    return {withMemberStaying(Current, Folder),
            "stays: too few other members answer"};
  View Next = withoutHolder(Current, Folder);
  if (OthersCaughtUp < requiredCopies(Next, DurableCopies))
    return {{}, "waiting: too few members that answer have its records"};
  return {std::move(Next), "has left"};
}

View withMemberJoined(const View &Current, const FolderId &Folder) {
  View Next = Current;
  Next.Number = Current.Number + 1;
  for (ViewMember &Member : Next.Members)
    if (Member.Folder == Folder) {
      Member.Joined = true;
      Member.Predecessor.reset();
      Member.AtFreePlace = false;
    }
  return Next;
}

View withMemberLeaving(const View &Current, const FolderId &Folder) {
  View Next = Current;
  Next.Number = Current.Number + 1;
  for (ViewMember &Member : Next.Members)
    if (Member.Folder == Folder) {
      Member.Joined = false;
      Member.Leaving = true;
    }
  return Next;
}

View withMemberStaying(const View &Current, const FolderId &Folder) {
  View Next = withMemberJoined(Current, Folder);
  for (ViewMember &Member : Next.Members)
    if (Member.Folder == Folder)
      Member.Leaving = false;
  return Next;
}

View withoutHolder(const View &Current, const FolderId &Folder) {
  View Next = withoutMember(Current, Folder);
  for (ViewMember &Member : Next.Members)
    if (Member.Predecessor && Member.Predecessor->Folder == Folder) {
      Member.Predecessor.reset();
      Member.AtFreePlace = true;
    }
  return Next;
}

View withRecordsMissing(View Next) {
  Next.IncompleteSince = Next.Number;
  return Next;
}

View withRecordsComplete(const View &Current) {
  View Next = Current;
  ++Next.Number;
  Next.IncompleteSince = 0;
  return Next;
}

View withoutMember(const View &Current, const FolderId &Folder) {
  View Next = Current;
  ++Next.Number;
  std::erase_if(Next.Members, [&](const ViewMember &Member) {
    return Member.Folder == Folder;
  });
  return Next;
}

} // namespace tamarack
