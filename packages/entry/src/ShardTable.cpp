#include "tamarack/entry/ShardTable.h"

#include "ShardClaim.h"
#include "tamarack/members/Ownership.h"

#include <algorithm>
#include <future>

namespace tamarack {

std::shared_ptr<OwnedProgramTree>
OwnedShard::programTree(const ProgramId &Root) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::shared_ptr<OwnedProgramTree> &Held = Trees[Root];
  if (!Held) {
    Held = std::make_shared<OwnedProgramTree>();
    Held->State.Root = Root;
  }
  return Held;
}

struct ShardTable::Impl {
  Impl(ShardRecords &Records, CopyAccess &Copies, MemberDirectory &Peers,
       std::function<std::string()> UniqueToken)
      : Records(Records), Copies(Copies), Peers(Peers),
        UniqueToken(std::move(UniqueToken)) {}

  bool isClosed() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Closed;
  }

  void release(const OwnedShard &Shard);

  std::shared_ptr<OwnedShard> findOwned(ShardId Shard) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Owned.find(Shard);
    if (Found == Owned.end() || Found->second->Lost)
      return nullptr;
    return Found->second;
  }

  std::shared_ptr<std::mutex> claimMutex(ShardId Shard) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::shared_ptr<std::mutex> &Held = ClaimMutexes[Shard];
    if (!Held)
      Held = std::make_shared<std::mutex>();
    return Held;
  }

  /// The cached owner of a shard, if it may still serve.
  std::optional<InstanceId> cachedOwner(ShardId Shard,
                                        const MemberTable &Members) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = CachedOwners.find(Shard);
    if (Found == CachedOwners.end() || !isServedByOther(Found->second, Members))
      return std::nullopt;
    return Found->second.Owner;
  }

  /// Whether the owner that \p Named names is another process that is not
  /// gone.
  bool isServedByOther(const ShardRecord &Named,
                       const MemberTable &Members) const {
    if (Named.Owner == Peers.self().Instance)
      return false;
    return !Named.Owner.empty() &&
           stateOf(Members, Named.Owner, Named.OwnerIncarnation) !=
               MemberState::Gone;
  }

  std::optional<InstanceId> preferredEntry(ShardId Shard,
                                           const MemberTable &Members) const {
    const Member Self = Peers.self();
    std::vector<InstanceId> Entries{Self.Instance};
    for (const Member &Entry :
         membersIn(Members, MemberState::Live, Role::Entry, Self.Region))
      if (Entry.Instance != Self.Instance)
        Entries.push_back(Entry.Instance);
    return preferredOwner(Shard, Entries);
  }

  Expected<ShardLocation>
  claim(ShardId Shard, const std::optional<StoredShardRecord> &Previous);

  ShardRecords &Records;
  CopyAccess &Copies;
  MemberDirectory &Peers;
  const std::function<std::string()> UniqueToken;

  std::mutex Mutex;
  bool Closed = false;
  std::map<ShardId, std::shared_ptr<OwnedShard>> Owned;
  std::map<ShardId, ShardRecord> CachedOwners;
  std::map<ShardId, std::shared_ptr<std::mutex>> ClaimMutexes;
  ShardCounts Counts;
};

ShardTable::ShardTable(ShardRecords &Records, CopyAccess &Copies,
                       MemberDirectory &Peers,
                       std::function<std::string()> UniqueToken)
    : State(std::make_unique<Impl>(Records, Copies, Peers,
                                   std::move(UniqueToken))) {}

ShardTable::~ShardTable() = default;

Expected<ShardLocation>
ShardTable::Impl::claim(ShardId Shard,
                        const std::optional<StoredShardRecord> &Previous) {
  auto Claimed = internal::claimShard({Records, Copies, Peers, UniqueToken},
                                      Shard, Previous);
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!Claimed) {
    ++Counts.ClaimsLost;
    return tl::make_unexpected(Claimed.error());
  }
  ++Counts.Claims;
  Counts.CopiesReplaced += Claimed->CopiesReplaced;
  Counts.RecordsRepaired += Claimed->RecordsRepaired;
  CachedOwners.erase(Shard);
  Owned[Shard] = Claimed->Shard;
  return ShardLocation{Claimed->Shard, {}};
}

void ShardTable::Impl::release(const OwnedShard &Shard) {
  const auto Read = Records.read(Shard.Number);
  if (!Read || !*Read || (*Read)->Value.Version != Shard.At)
    return;
  ShardRecord Next = (*Read)->Value;
  ++Next.Version;
  Next.Owner = InstanceId();
  Next.OwnerIncarnation = 0;
  Next.Token = UniqueToken();
  // If this fails, others claim the shard once this process counts as gone.
  if (!Records.swap(Shard.Number, (*Read)->Revision, Next))
    return;
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts.Released;
}

void ShardTable::release() {
  std::map<ShardId, std::shared_ptr<OwnedShard>> Held;
  {
    std::lock_guard<std::mutex> Lock(State->Mutex);
    State->Closed = true;
    Held.swap(State->Owned);
  }
  for (const auto &[Number, Shard] : Held)
    if (!Shard->Lost.exchange(true))
      State->release(*Shard);
}

Expected<ShardLocation> ShardTable::locate(ShardId Shard, bool MayClaim) {
  if (auto Held = State->findOwned(Shard))
    return ShardLocation{std::move(Held), {}};
  const auto Claiming = State->claimMutex(Shard);
  std::lock_guard<std::mutex> OneAtATime(*Claiming);
  if (auto Held = State->findOwned(Shard))
    return ShardLocation{std::move(Held), {}};

  if (State->isClosed())
    return refuse(ErrorKind::OwnerUnavailable, "this instance is leaving");
  const MemberTable Members = State->Peers.members();
  if (const auto Known = State->cachedOwner(Shard, Members))
    return ShardLocation{nullptr, *Known};
  const auto Read = State->Records.read(Shard);
  const auto Preferred = State->preferredEntry(Shard, Members);
  const bool IsPreferred =
      !Preferred || *Preferred == State->Peers.self().Instance;
  if (!Read && !MayClaim && !IsPreferred)
    // Most shards are owned by their preferred entry, so guess that one while
    // the platform's service cannot be reached.
    return ShardLocation{nullptr, *Preferred};
  if (!Read) {
    Error Unread = Read.error();
    Unread.Proof = NotRun::Proved;
    return tl::make_unexpected(Unread);
  }
  if (*Read && State->isServedByOther((*Read)->Value, Members)) {
    std::lock_guard<std::mutex> Lock(State->Mutex);
    State->CachedOwners[Shard] = (*Read)->Value;
    return ShardLocation{nullptr, (*Read)->Value.Owner};
  }
  const bool WasHere =
      *Read && (*Read)->Value.Owner == State->Peers.self().Instance;
  if (!MayClaim && !WasHere && !IsPreferred)
    return ShardLocation{nullptr, *Preferred};
  return State->claim(Shard, *Read);
}

Expected<void> ShardTable::append(OwnedShard &Shard,
                                  const std::vector<Append> &Entries) {
  if (Shard.Lost)
    return refuse(ErrorKind::Fenced, "the shard has another owner");
  std::vector<std::future<Expected<void>>> Others;
  for (std::size_t Index = 1; Index < Shard.Copies.size(); ++Index)
    Others.push_back(std::async(std::launch::async, [&, Index] {
      return State->Copies.append(Shard.Copies[Index], Shard.Number, Entries);
    }));
  Expected<void> Outcome =
      State->Copies.append(Shard.Copies.front(), Shard.Number, Entries);
  for (auto &Other : Others)
    if (Expected<void> Answer = Other.get(); !Answer)
      Outcome = Answer;
  if (!Outcome) {
    Shard.Lost = true;
    std::lock_guard<std::mutex> Lock(State->Mutex);
    ++State->Counts.AppendsFailed;
  }
  return Outcome;
}

Expected<void> ShardTable::confirmOwnership(OwnedShard &Shard) {
  if (Shard.Lost)
    return refuse(ErrorKind::Fenced, "the shard has another owner");
  // Sealing again at the sealed epoch changes nothing.
  for (const CopyLocation &Location : Shard.Copies)
    if (auto Sealed = State->Copies.seal(Location, Shard.Number, Shard.At);
        !Sealed) {
      Shard.Lost = true;
      return Sealed;
    }
  return {};
}

void ShardTable::forgetOwner(ShardId Shard) {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  State->CachedOwners.erase(Shard);
}

std::vector<ShardId> ShardTable::owned() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  std::vector<ShardId> Held;
  for (const auto &[Shard, Owner] : State->Owned)
    if (!Owner->Lost)
      Held.push_back(Shard);
  return Held;
}

ShardCounts ShardTable::counts() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Counts;
}

} // namespace tamarack
