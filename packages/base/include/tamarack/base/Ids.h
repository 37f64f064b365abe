/// Identifiers, each kind a distinct type so that they cannot be confused.
///
///   ProgramId Program("andes:brief-17");
///   ShardId Shard = shardOf(Program, ShardCount);
///
/// A sub-agent's program ID is its root's ID, a slash and a suffix, as in
/// "andes:brief-17/search", so the ID alone determines root and shard.
#ifndef TAMARACK_BASE_IDS_H
#define TAMARACK_BASE_IDS_H

#include "tamarack/base/Json.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace tamarack {

/// A string identifier; \p Tag makes it a distinct type.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Text) : Text(std::move(Text)) {}

  const std::string &text() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend bool operator==(const Id &Left, const Id &Right) {
    return Left.Text == Right.Text;
  }
  friend bool operator!=(const Id &Left, const Id &Right) {
    return Left.Text != Right.Text;
  }
  friend bool operator<(const Id &Left, const Id &Right) {
    return Left.Text < Right.Text;
  }
  friend std::ostream &operator<<(std::ostream &Out, const Id &Name) {
    return Out << Name.Text;
  }
  friend void to_json(Json &Value, const Id &Name) { Value = Name.Text; }
  friend void from_json(const Json &Value, Id &Name) {
    Name.Text = Value.get<std::string>();
  }

private:
  std::string Text;
};

/// A process of this project, as named in its settings.
using InstanceId = Id<struct InstanceTag>;
/// A model engine or plain service that executes calls.
using EndpointId = Id<struct EndpointTag>;
using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using CustomerId = Id<struct CustomerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
/// The version of an endpoint's software, as it states it; versions have no
/// order.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using ProgramId = Id<struct ProgramTag>;
/// A call of a program, unique within the program's root.
using CallId = Id<struct CallTag>;
/// A data folder, identified by an ID generated at its creation.
using FolderId = Id<struct FolderTag>;

/// Distinguishes a restarted process from its predecessor; grows at each start.
using Incarnation = std::uint64_t;
/// The version of a shard's record; grows with each change of the record.
using Epoch = std::uint64_t;
using ShardId = std::uint32_t;
/// A number of tokens.
using TokenCount = std::uint64_t;

/// Returns the root of \p Program, which is \p Program unless a sub-agent.
ProgramId rootOf(const ProgramId &Program);

/// Returns the shard of \p Program, the same for a root and its sub-agents.
/// \p ShardCount must not be zero.
ShardId shardOf(const ProgramId &Program, std::uint32_t ShardCount);

/// Returns a 64-bit hash that is the same on all instances and in all releases.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace tamarack

#endif // TAMARACK_BASE_IDS_H
