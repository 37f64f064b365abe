#include "ShardClaim.h"

#include "tamarack/members/Ownership.h"

#include <algorithm>

namespace tamarack {
namespace internal {
namespace {

using Logs = std::map<ProgramId, std::vector<Record>>;

struct SealedCopy {
  CopyLocation Place;
  Logs Roots;
};

Error notRun(const Error &Cause) {
  Error Proved = Cause;
  Proved.Proof = NotRun::Proved;
  return Proved;
}

/// Writes the next version of the record and returns it as stored.
Expected<StoredShardRecord>
writeRecord(const ClaimTools &Tools, ShardId Shard,
            const std::optional<StoredShardRecord> &Before,
            std::vector<CopyLocation> Copies) {
  const Member Self = Tools.Peers.self();
  StoredShardRecord Next;
  Next.Value.Version = Before ? Before->Value.Version + 1 : 1;
  Next.Value.Owner = Self.Instance;
  Next.Value.OwnerIncarnation = Self.Life;
  Next.Value.Copies = std::move(Copies);
  Next.Value.Token = Tools.UniqueToken();
  const Expected<void> Won =
      Tools.Records.swap(Shard, Before ? Before->Revision : 0, Next.Value);
  if (!Won)
    return tl::make_unexpected(notRun(Won.error()));
  // The revision after a swap is only known to the service.
  const auto Read = Tools.Records.read(Shard);
  if (!Read)
    return tl::make_unexpected(notRun(Read.error()));
  if (!*Read || (*Read)->Value.Token != Next.Value.Token)
    return refuse(ErrorKind::RevisionConflict, "the shard was taken over",
                  NotRun::Proved);
  return **Read;
}

std::vector<SealedCopy> sealAndRead(const ClaimTools &Tools, ShardId Shard,
                                    const ShardRecord &Named) {
  std::vector<SealedCopy> Sealed;
  for (const CopyLocation &Place : Named.Copies) {
    if (!Tools.Copies.seal(Place, Shard, Named.Version))
      continue;
    if (auto Read = Tools.Copies.readAll(Place, Shard))
      Sealed.push_back({Place, std::move(*Read)});
  }
  return Sealed;
}

/// Settles the log of every root that any of \p Sealed holds.
std::map<ProgramId, LogReconciliation>
settleAll(const std::vector<SealedCopy> &Sealed, const ShardRecord &Named) {
  std::map<ProgramId, LogReconciliation> Settled;
  for (const SealedCopy &Copy : Sealed)
    for (const auto &[Root, Unused] : Copy.Roots)
      Settled.emplace(Root, LogReconciliation());
  for (auto &[Root, Agreed] : Settled) {
    std::vector<SealedLog> Held;
    for (const SealedCopy &Copy : Sealed) {
      const auto Found = Copy.Roots.find(Root);
      Held.push_back({Copy.Place.Folder, Found == Copy.Roots.end()
                                             ? std::vector<Record>()
                                             : Found->second});
    }
    Agreed = reconcileLogs(Root, Held, Named.Copies.size(), Named.Version);
  }
  return Settled;
}

Expected<std::uint64_t>
repair(const ClaimTools &Tools, ShardId Shard,
       const std::vector<SealedCopy> &Sealed,
       const std::map<ProgramId, LogReconciliation> &Settled) {
  std::uint64_t Repaired = 0;
  for (const auto &[Root, Agreed] : Settled)
    for (const Repair &Fix : Agreed.Repairs)
      for (const SealedCopy &Copy : Sealed) {
        if (Copy.Place.Folder != Fix.Folder)
          continue;
        const auto Done = Tools.Copies.install(Copy.Place, Shard, Fix.Change);
        if (!Done)
          return tl::make_unexpected(notRun(Done.error()));
        Repaired += Fix.Change.Tail.size();
      }
  return Repaired;
}

/// Makes \p Place hold exactly the settled logs at epoch \p At.
Expected<void> fill(const ClaimTools &Tools, ShardId Shard,
                    const CopyLocation &Place, Epoch At,
                    const std::map<ProgramId, LogReconciliation> &Settled) {
  if (const auto Sealed = Tools.Copies.seal(Place, Shard, At); !Sealed)
    return tl::make_unexpected(notRun(Sealed.error()));
  const auto Present = Tools.Copies.readAll(Place, Shard);
  if (!Present)
    return tl::make_unexpected(notRun(Present.error()));
  for (const auto &[Root, Unused] : *Present) {
    if (Settled.count(Root) != 0)
      continue;
    const auto Emptied =
        Tools.Copies.install(Place, Shard, Install{At, Root, 0, {}});
    if (!Emptied)
      return tl::make_unexpected(notRun(Emptied.error()));
  }
  for (const auto &[Root, Agreed] : Settled) {
    const auto Written =
        Tools.Copies.install(Place, Shard, Install{At, Root, 0, Agreed.Log});
    if (!Written)
      return tl::make_unexpected(notRun(Written.error()));
  }
  return {};
}

CopyLocation placeOf(const Member &Holder) {
  return {Holder.Folder, Holder.Instance};
}

/// The places that should hold the shard: those sealed, then others in order
/// of preference, in different data centres as far as there are several.
std::vector<CopyLocation> choosePlaces(const ClaimTools &Tools, ShardId Shard,
                                       const std::vector<SealedCopy> &Sealed) {
  std::vector<Member> Holders;
  const MemberTable Members = Tools.Peers.members();
  const RegionId Region = Tools.Peers.self().Region;
  for (const Role Kind : {Role::Entry, Role::Endpoint})
    for (const Member &Known :
         membersIn(Members, MemberState::Live, Kind, Region))
      if (!Known.Folder.empty())
        Holders.push_back(Known);
  std::vector<CopyLocation> Places;
  std::vector<DataCentreId> Used;
  for (const SealedCopy &Copy : Sealed) {
    Places.push_back(Copy.Place);
    for (const Member &Holder : Holders)
      if (Holder.Instance == Copy.Place.Instance)
        Used.push_back(Holder.DataCentre);
  }
  const auto Order = chooseCopies(Shard, Holders, Holders.size());
  for (const bool OtherDataCentre : {true, false})
    for (const Member &Holder : Order) {
      const bool Taken = std::any_of(Places.begin(), Places.end(),
                                     [&Holder](const CopyLocation &Place) {
                                       return Place.Instance == Holder.Instance;
                                     });
      const bool Shares =
          std::find(Used.begin(), Used.end(), Holder.DataCentre) != Used.end();
      if (Places.size() >= CopiesPerShard || Taken ||
          (OtherDataCentre && Shares))
        continue;
      Places.push_back(placeOf(Holder));
      Used.push_back(Holder.DataCentre);
    }
  return Places;
}

Expected<std::shared_ptr<OwnedShard>>
open(ShardId Shard, const ShardRecord &Named,
     const std::map<ProgramId, LogReconciliation> &Settled) {
  auto Opened = std::make_shared<OwnedShard>();
  Opened->Number = Shard;
  Opened->At = Named.Version;
  Opened->Copies = Named.Copies;
  for (const auto &[Root, Agreed] : Settled) {
    if (Agreed.Log.empty())
      continue;
    auto Replayed = replay(Root, Agreed.Log);
    if (!Replayed)
      return tl::make_unexpected(notRun(Replayed.error()));
    auto Held = std::make_shared<OwnedFamily>();
    Held->State = std::move(*Replayed);
    Opened->Families.emplace(Root, std::move(Held));
  }
  return Opened;
}

} // namespace

Expected<ClaimOutcome>
claimShard(const ClaimTools &Tools, ShardId Shard,
           const std::optional<StoredShardRecord> &Before) {
  // Taking the version first makes every later step at it exclusively ours.
  auto Taken =
      writeRecord(Tools, Shard, Before,
                  Before ? Before->Value.Copies : std::vector<CopyLocation>());
  if (!Taken)
    return tl::make_unexpected(Taken.error());
  const std::vector<SealedCopy> Sealed =
      sealAndRead(Tools, Shard, Taken->Value);
  if (Sealed.empty() && !Taken->Value.Copies.empty())
    return refuse(ErrorKind::NotEnoughCopies, "no copy can be reached",
                  NotRun::Proved);
  const auto Settled = settleAll(Sealed, Taken->Value);
  const auto Repaired = repair(Tools, Shard, Sealed, Settled);
  if (!Repaired)
    return tl::make_unexpected(Repaired.error());

  const std::vector<CopyLocation> Places = choosePlaces(Tools, Shard, Sealed);
  if (Places.size() < CopiesPerShard)
    return refuse(ErrorKind::NotEnoughCopies,
                  "fewer than two places can keep the program's log",
                  NotRun::Proved);
  ClaimOutcome Outcome;
  Outcome.RecordsRepaired = *Repaired;
  if (Places != Taken->Value.Copies) {
    for (std::size_t At = Sealed.size(); At < Places.size(); ++At) {
      const auto Filled =
          fill(Tools, Shard, Places[At], Taken->Value.Version, Settled);
      if (!Filled)
        return tl::make_unexpected(Filled.error());
      ++Outcome.CopiesReplaced;
    }
    Taken = writeRecord(Tools, Shard, *Taken, Places);
    if (!Taken)
      return tl::make_unexpected(Taken.error());
    for (const CopyLocation &Place : Places) {
      const auto Resealed =
          Tools.Copies.seal(Place, Shard, Taken->Value.Version);
      if (!Resealed)
        return tl::make_unexpected(notRun(Resealed.error()));
    }
  }
  auto Opened = open(Shard, Taken->Value, Settled);
  if (!Opened)
    return tl::make_unexpected(Opened.error());
  Outcome.Shard = std::move(*Opened);
  return Outcome;
}

} // namespace internal
} // namespace tamarack
