#include "tamarack/relay/ReportTargets.h"

#include <algorithm>

namespace tamarack {

std::vector<std::string>
reportTargets(const View &Of,
              const std::function<int(const DataCentreId &)> &Distance,
              const std::function<bool(const std::string &)> &IsSilent) {
  const ViewMember *Near = nullptr;
  const ViewMember *Far = nullptr;
  for (const ViewMember &Member : Of.Members) {
    if (!Member.Joined || IsSilent(Member.Address))
      continue;
    const bool IsNear = !Distance || Distance(Member.DataCentre) <= 1;
    const ViewMember *&First = IsNear ? Near : Far;
    if (First == nullptr ||
        stableHash(Member.Address) < stableHash(First->Address))
      First = &Member;
  }
  std::vector<std::string> Result;
  for (const ViewMember *Target : {Near, Far})
    if (Target != nullptr)
      Result.push_back(Target->Address);
  return Result;
}

} // namespace tamarack
