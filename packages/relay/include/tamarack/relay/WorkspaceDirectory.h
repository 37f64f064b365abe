/// Finds the workspaces of a configuration, and keeps what they store apart.
///
///   const WorkspaceDirectory Directory(*Config.Workspaces);
///   const Workspace *Owner = Directory.findByKey(Metadata.AccessKey);
///   if (Owner == nullptr)
///     return refuse(ErrorKind::Unauthorized, "...", NotRun::Proved);
///   const TurnId Turn(scopedId(Owner->Name, Metadata.RequestId));
#ifndef TAMARACK_RELAY_WORKSPACEDIRECTORY_H
#define TAMARACK_RELAY_WORKSPACEDIRECTORY_H

#include "tamarack/relay/Catalog.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// An index of workspaces, built once for each configuration.
class WorkspaceDirectory {
public:
  WorkspaceDirectory() = default;
  /// \p Workspaces must outlive the directory and stay unchanged.
  explicit WorkspaceDirectory(const std::vector<Workspace> &Workspaces);

  /// Returns the workspace that holds \p Key, or nullptr if none does.
  const Workspace *findByKey(std::string_view Key) const;
  /// Returns the workspace named \p Name, or nullptr if there is none.
  const Workspace *findByName(const WorkspaceId &Name) const;
  std::size_t keyCount() const { return ByKey.size(); }

private:
  std::unordered_map<std::string_view, const Workspace *> ByKey;
  std::unordered_map<std::string_view, const Workspace *> ByName;
};

/// Separates the parts of a scoped id. No name of a workspace contains it.
inline constexpr char ScopeSeparator = ' ';

/// Returns the id under which the system keeps what \p Owner calls \p Id, so
/// that no workspace reaches or affects what belongs to another. Ids of
/// deployments without workspaces remain as they are.
std::string scopedId(const std::optional<WorkspaceId> &Owner,
                     const std::string &Id);
/// Whether a record may be kept as \p Id that belongs to no workspace, since it
/// was written before there were any.
bool mayBeUnscoped(const std::string &Id);

} // namespace tamarack

#endif // TAMARACK_RELAY_WORKSPACEDIRECTORY_H
