/// Names of things, each a type of its own so that none is taken for another.
///
///   ProgramId Program("andes:brief-17");
///   ShardId Shard = shardOf(Program, ShardCount);
///
/// A sub-agent's program id is its root's id, a slash and a suffix
/// ("andes:brief-17/search"), so root and shard follow from the id alone.
#ifndef TAMARACK_BASE_IDS_H
#define TAMARACK_BASE_IDS_H

#include "tamarack/base/Json.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace tamarack {

/// A text name whose kind is fixed by \p Tag.
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

/// One process of ours, by the name its settings give it.
using InstanceId = Id<struct InstanceTag>;
/// A model engine or plain service that does the work.
using EndpointId = Id<struct EndpointTag>;
using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using CustomerId = Id<struct CustomerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
using ProgramId = Id<struct ProgramTag>;
/// One call of a program, unique within the program's root.
using CallId = Id<struct CallTag>;
/// The identity of a data folder, made new when the folder is made.
using FolderId = Id<struct FolderTag>;

/// Tells a restarted process from its predecessor; grows at every start.
using Incarnation = std::uint64_t;
/// The version of a shard's record; grows with every change of the record.
using Epoch = std::uint64_t;
using ShardId = std::uint32_t;
/// A number of tokens.
using TokenCount = std::uint64_t;

/// The root of \p Program: itself unless it is a sub-agent.
ProgramId rootOf(const ProgramId &Program);

/// The shard of \p Program, the same for a root and all its sub-agents.
/// \p ShardCount must not be zero.
ShardId shardOf(const ProgramId &Program, std::uint32_t ShardCount);

/// A stable 64-bit hash, the same on every instance and in every release.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

} // namespace tamarack

#endif // TAMARACK_BASE_IDS_H
