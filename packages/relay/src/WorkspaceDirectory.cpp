#include "tamarack/relay/WorkspaceDirectory.h"

namespace tamarack {
namespace {

const Workspace *
findIn(const std::unordered_map<std::string_view, const Workspace *> &Index,
       std::string_view Text) {
  const auto Found = Index.find(Text);
  return Found == Index.end() ? nullptr : Found->second;
}

} // namespace

WorkspaceDirectory::WorkspaceDirectory(
    const std::vector<Workspace> &Workspaces) {
  for (const Workspace &Each : Workspaces) {
    ByName.emplace(Each.Name.text(), &Each);
    for (const std::string &Key : Each.Keys)
      ByKey.emplace(Key, &Each);
  }
}

const Workspace *WorkspaceDirectory::findByKey(std::string_view Key) const {
  return findIn(ByKey, Key);
}

const Workspace *WorkspaceDirectory::findByName(const WorkspaceId &Name) const {
  return findIn(ByName, Name.text());
}

std::string scopedId(const std::optional<WorkspaceId> &Owner,
                     const std::string &Id) {
  if (!Owner)
    return Id;
  std::string Result;
  Result.reserve(Owner->text().size() + 1 + Id.size());
  Result += Owner->text();
  Result += ScopeSeparator;
  Result += Id;
  return Result;
}

bool mayBeUnscoped(const std::string &Id) {
  return Id.find(ScopeSeparator) == std::string::npos;
}

} // namespace tamarack
