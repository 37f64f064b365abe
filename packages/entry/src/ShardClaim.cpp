#include "ShardClaim.h"

#include "tamarack/members/Ownership.h"

#include <algorithm>

namespace tamarack {
namespace internal {
namespace {

using Logs = std::map<ProgramId, std::vector<Record>>;

struct SealedCopy {
  CopyLocation Location;
  Logs Roots;
};

Error notRun(const Error &Cause) {
  Error Proved = Cause;
  Proved.Proof = NotRun::Proved;
  return Proved;
}

/// Writes the next version of the record and returns it as stored.
Expected<StoredShardRecord>
writeRecord(const ClaimContext &Context, ShardId Shard,
            const std::optional<StoredShardRecord> &Previous,
            std::vector<CopyLocation> Copies) {
  const Member Self = Context.Peers.self();
  StoredShardRecord Next;
  Next.Value.Version = Previous ? Previous->Value.Version + 1 : 1;
  Next.Value.Owner = Self.Instance;
  Next.Value.OwnerIncarnation = Self.Life;
  Next.Value.Copies = std::move(Copies);
  Next.Value.Token = Context.UniqueToken();
  const Expected<void> Written = Context.Records.swap(
      Shard, Previous ? Previous->Revision : 0, Next.Value);
  if (!Written)
    return tl::make_unexpected(notRun(Written.error()));
  // A swap does not return the new revision, so the record is read back.
  const auto Read = Context.Records.read(Shard);
  if (!Read)
    return tl::make_unexpected(notRun(Read.error()));
  if (!*Read || (*Read)->Value.Token != Next.Value.Token)
    return refuse(ErrorKind::RevisionConflict,
                  "another entry has taken over shard " + std::to_string(Shard),
                  NotRun::Proved);
  return **Read;
}

std::vector<SealedCopy> sealAndRead(const ClaimContext &Context, ShardId Shard,
                                    const ShardRecord &Named) {
  std::vector<SealedCopy> Sealed;
  for (const CopyLocation &Location : Named.Copies) {
    if (!Context.Copies.seal(Location, Shard, Named.Version))
      continue;
    if (auto Read = Context.Copies.readAll(Location, Shard))
      Sealed.push_back({Location, std::move(*Read)});
  }
  return Sealed;
}

/// Reconciles the logs of all roots in \p Sealed.
std::map<ProgramId, LogReconciliation>
reconcileAll(const std::vector<SealedCopy> &Sealed, const ShardRecord &Named) {
  std::map<ProgramId, LogReconciliation> Reconciled;
  for (const SealedCopy &Copy : Sealed)
    for (const auto &[Root, Unused] : Copy.Roots)
      Reconciled.emplace(Root, LogReconciliation());
  for (auto &[Root, Reconciliation] : Reconciled) {
    std::vector<SealedLog> Held;
    for (const SealedCopy &Copy : Sealed) {
      const auto Found = Copy.Roots.find(Root);
      Held.push_back({Copy.Location.Folder, Found == Copy.Roots.end()
                                                ? std::vector<Record>()
                                                : Found->second});
    }
    Reconciliation =
        reconcileLogs(Root, Held, Named.Copies.size(), Named.Version);
  }
  return Reconciled;
}

Expected<std::uint64_t>
repairCopies(const ClaimContext &Context, ShardId Shard,
             const std::vector<SealedCopy> &Sealed,
             const std::map<ProgramId, LogReconciliation> &Reconciled) {
  std::uint64_t Repaired = 0;
  for (const auto &[Root, Reconciliation] : Reconciled)
    for (const Repair &Fix : Reconciliation.Repairs)
      for (const SealedCopy &Copy : Sealed) {
        if (Copy.Location.Folder != Fix.Folder)
          continue;
        const auto Done =
            Context.Copies.install(Copy.Location, Shard, Fix.Change);
        if (!Done)
          return tl::make_unexpected(notRun(Done.error()));
        Repaired += Fix.Change.Tail.size();
      }
  return Repaired;
}

/// Makes the copy at \p Location hold exactly the reconciled logs at epoch
/// \p At.
Expected<void>
fillCopy(const ClaimContext &Context, ShardId Shard,
         const CopyLocation &Location, Epoch At,
         const std::map<ProgramId, LogReconciliation> &Reconciled) {
  if (const auto Sealed = Context.Copies.seal(Location, Shard, At); !Sealed)
    return tl::make_unexpected(notRun(Sealed.error()));
  const auto Present = Context.Copies.readAll(Location, Shard);
  if (!Present)
    return tl::make_unexpected(notRun(Present.error()));
  for (const auto &[Root, Unused] : *Present) {
    if (Reconciled.count(Root) != 0)
      continue;
    const auto Emptied =
        Context.Copies.install(Location, Shard, Install{At, Root, 0, {}});
    if (!Emptied)
      return tl::make_unexpected(notRun(Emptied.error()));
  }
  for (const auto &[Root, Reconciliation] : Reconciled) {
    const auto Written = Context.Copies.install(
        Location, Shard, Install{At, Root, 0, Reconciliation.Log});
    if (!Written)
      return tl::make_unexpected(notRun(Written.error()));
  }
  return {};
}

CopyLocation locationOf(const Member &Holder) {
  return {Holder.Folder, Holder.Instance};
}

/// The locations for the copies of the shard: the sealed ones, then others in
/// order of preference, in different data centres if there are several.
std::vector<CopyLocation>
chooseLocations(const ClaimContext &Context, ShardId Shard,
                const std::vector<SealedCopy> &Sealed) {
  std::vector<Member> Holders;
  const MemberTable Members = Context.Peers.members();
  const RegionId Region = Context.Peers.self().Region;
  for (const Role Kind : {Role::Entry, Role::Endpoint})
    for (const Member &Known :
         membersIn(Members, MemberState::Live, Kind, Region))
      if (!Known.Folder.empty())
        Holders.push_back(Known);
  std::vector<CopyLocation> Locations;
  std::vector<DataCentreId> Used;
  for (const SealedCopy &Copy : Sealed) {
    Locations.push_back(Copy.Location);
    for (const Member &Holder : Holders)
      if (Holder.Instance == Copy.Location.Instance)
        Used.push_back(Holder.DataCentre);
  }
  const auto Preferred = chooseCopies(Shard, Holders, Holders.size());
  for (const bool OtherDataCentre : {true, false})
    for (const Member &Holder : Preferred) {
      const bool IsUsed =
          std::any_of(Locations.begin(), Locations.end(),
                      [&Holder](const CopyLocation &Location) {
                        return Location.Instance == Holder.Instance;
                      });
      const bool Shares =
          std::find(Used.begin(), Used.end(), Holder.DataCentre) != Used.end();
      if (Locations.size() >= CopiesPerShard || IsUsed ||
          (OtherDataCentre && Shares))
        continue;
      Locations.push_back(locationOf(Holder));
      Used.push_back(Holder.DataCentre);
    }
  return Locations;
}

Expected<std::shared_ptr<OwnedShard>>
openShard(ShardId Shard, const ShardRecord &Named,
          const std::map<ProgramId, LogReconciliation> &Reconciled) {
  auto Opened = std::make_shared<OwnedShard>();
  Opened->Number = Shard;
  Opened->At = Named.Version;
  Opened->Copies = Named.Copies;
  for (const auto &[Root, Reconciliation] : Reconciled) {
    if (Reconciliation.Log.empty())
      continue;
    auto Replayed = replay(Root, Reconciliation.Log);
    if (!Replayed)
      return tl::make_unexpected(notRun(Replayed.error()));
    auto Held = std::make_shared<OwnedProgramTree>();
    Held->State = std::move(*Replayed);
    Opened->Trees.emplace(Root, std::move(Held));
  }
  return Opened;
}

} // namespace

Expected<ClaimOutcome>
claimShard(const ClaimContext &Context, ShardId Shard,
           const std::optional<StoredShardRecord> &Previous) {
  // Writing the record first makes this entry the only owner at its version.
  auto Claimed = writeRecord(Context, Shard, Previous,
                             Previous ? Previous->Value.Copies
                                      : std::vector<CopyLocation>());
  if (!Claimed)
    return tl::make_unexpected(Claimed.error());
  const std::vector<SealedCopy> Sealed =
      sealAndRead(Context, Shard, Claimed->Value);
  if (Sealed.empty() && !Claimed->Value.Copies.empty())
    return refuse(ErrorKind::NotEnoughCopies,
                  "no copy of shard " + std::to_string(Shard) +
                      " can be reached",
                  NotRun::Proved);
  const auto Reconciled = reconcileAll(Sealed, Claimed->Value);
  const auto Repaired = repairCopies(Context, Shard, Sealed, Reconciled);
  if (!Repaired)
    return tl::make_unexpected(Repaired.error());

  const std::vector<CopyLocation> Locations =
      chooseLocations(Context, Shard, Sealed);
  if (Locations.size() < CopiesPerShard)
    return refuse(ErrorKind::NotEnoughCopies,
                  "only " + std::to_string(Locations.size()) +
                      " instances can keep a copy of shard " +
                      std::to_string(Shard) + "; " +
                      std::to_string(CopiesPerShard) + " are needed",
                  NotRun::Proved);
  ClaimOutcome Outcome;
  Outcome.RecordsRepaired = *Repaired;
  if (Locations != Claimed->Value.Copies) {
    for (std::size_t At = Sealed.size(); At < Locations.size(); ++At) {
      const auto Filled = fillCopy(Context, Shard, Locations[At],
                                   Claimed->Value.Version, Reconciled);
      if (!Filled)
        return tl::make_unexpected(Filled.error());
      ++Outcome.CopiesReplaced;
    }
    Claimed = writeRecord(Context, Shard, *Claimed, Locations);
    if (!Claimed)
      return tl::make_unexpected(Claimed.error());
    for (const CopyLocation &Location : Locations) {
      const auto Resealed =
          Context.Copies.seal(Location, Shard, Claimed->Value.Version);
      if (!Resealed)
        return tl::make_unexpected(notRun(Resealed.error()));
    }
  }
  auto Opened = openShard(Shard, Claimed->Value, Reconciled);
  if (!Opened)
    return tl::make_unexpected(Opened.error());
  Outcome.Shard = std::move(*Opened);
  return Outcome;
}

} // namespace internal
} // namespace tamarack
