#include "tamarack/ledger/FolderStore.h"

#include "FrameFile.h"

#include <charconv>
#include <fcntl.h>
#include <fstream>
#include <mutex>
#include <sys/file.h>

namespace tamarack {

namespace {

namespace fs = std::filesystem;
using internal::Bytes;
using internal::Descriptor;
using internal::FrameFile;

constexpr const char *IdentityName = "folder-id";
constexpr const char *LockName = "lock";
constexpr const char *ShardPrefix = "shard-";
constexpr const char *ShardSuffix = ".log";

struct Seal {
  Epoch At;
};

Bytes frameOf(const Seal &Change) {
  return Json::to_cbor(Json{{"Seal", Change.At}});
}
Bytes frameOf(const Append &Change) {
  return Json::to_cbor(Json{{"Append", Change}});
}
Bytes frameOf(const Install &Change) {
  return Json::to_cbor(Json{{"Install", Change}});
}

Expected<void> check(const ShardCopy &Copy, const Seal &Change) {
  return checkSeal(Copy, Change.At);
}
Expected<void> check(const ShardCopy &Copy, const Append &Change) {
  return checkAppend(Copy, Change);
}
Expected<void> check(const ShardCopy &Copy, const Install &Change) {
  return checkInstall(Copy, Change);
}

Expected<void> carryOut(ShardCopy &Copy, const Seal &Change) {
  return applySeal(Copy, Change.At);
}
Expected<void> carryOut(ShardCopy &Copy, const Append &Change) {
  return applyAppend(Copy, Change);
}
Expected<void> carryOut(ShardCopy &Copy, const Install &Change) {
  return applyInstall(Copy, Change);
}

/// Whether the copy holds the change already, so that nothing need be written.
bool isDone(const ShardCopy &Copy, const Seal &Change) {
  return Copy.Sealed == Change.At;
}
bool isDone(const ShardCopy &Copy, const Append &Change) {
  const auto ChangedAt = Copy.ChangedAt.find(Change.Root);
  return Change.Index < logOf(Copy, Change.Root).size() &&
         ChangedAt != Copy.ChangedAt.end() && ChangedAt->second == Change.At;
}
bool isDone(const ShardCopy &, const Install &) { return false; }

Expected<void> replayFrame(ShardCopy &Copy, const Bytes &Frame) {
  try {
    const Json Change = Json::from_cbor(Frame);
    if (Change.contains("Seal"))
      return applySeal(Copy, Change.at("Seal").get<Epoch>());
    if (Change.contains("Append"))
      return applyAppend(Copy, Change.at("Append").get<Append>());
    return applyInstall(Copy, Change.at("Install").get<Install>());
  } catch (const Json::exception &Failure) {
    return refuse(ErrorKind::Internal, Failure.what());
  }
}

/// One shard's copy with its file, which a store in memory has none of.
struct StoredShard {
  std::mutex Mutex;
  ShardCopy Copy;
  std::unique_ptr<FrameFile> File;

  template <typename Change>
  Expected<void> change(const Change &Next, bool Sync) {
    const std::lock_guard Lock(Mutex);
    if (Expected<void> Checked = check(Copy, Next); !Checked)
      return Checked;
    if (isDone(Copy, Next))
      return {};
    if (File)
      if (auto Written = File->append(frameOf(Next), Sync); !Written)
        return Written;
    return carryOut(Copy, Next);
  }
};

fs::path shardPath(const fs::path &Folder, ShardId Shard) {
  return Folder / (ShardPrefix + std::to_string(Shard) + ShardSuffix);
}

/// The shard whose file has this name, or nothing for other files.
std::optional<ShardId> shardNamed(const std::string &Name) {
  const std::string Prefix = ShardPrefix;
  const std::string Suffix = ShardSuffix;
  if (Name.size() <= Prefix.size() + Suffix.size() ||
      Name.compare(0, Prefix.size(), Prefix) != 0 ||
      Name.compare(Name.size() - Suffix.size(), Suffix.size(), Suffix) != 0)
    return std::nullopt;
  ShardId Shard = 0;
  const char *End = Name.data() + Name.size() - Suffix.size();
  const auto Read = std::from_chars(Name.data() + Prefix.size(), End, Shard);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Shard;
}

Expected<std::unique_ptr<StoredShard>> openShard(const fs::path &Path) {
  std::vector<Bytes> Frames;
  auto File = FrameFile::open(Path, Frames);
  if (!File)
    return tl::unexpected(File.error());
  auto Shard = std::make_unique<StoredShard>();
  for (const Bytes &Frame : Frames)
    if (auto Replayed = replayFrame(Shard->Copy, Frame); !Replayed)
      return refuse(ErrorKind::Internal,
                    Path.string() + ": " + Replayed.error().Message);
  Shard->File = std::move(*File);
  return Shard;
}

Expected<std::vector<ShardId>> shardsIn(const fs::path &Folder) {
  std::vector<ShardId> Shards;
  std::error_code Failure;
  for (const fs::directory_entry &Entry :
       fs::directory_iterator(Folder, Failure))
    if (auto Shard = shardNamed(Entry.path().filename().string()))
      Shards.push_back(*Shard);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot list " + Folder.string());
  return Shards;
}

/// The identity kept in the folder, or \p Fresh, which is then kept there.
Expected<FolderId> identityOf(const fs::path &Folder, const FolderId &Fresh,
                              bool HoldsShards) {
  const fs::path Path = Folder / IdentityName;
  std::string Text;
  if (std::ifstream File(Path); File && std::getline(File, Text))
    return FolderId(Text);
  if (HoldsShards)
    return refuse(ErrorKind::Internal,
                  Folder.string() + " holds shards but no identity");
  if (auto Written = internal::writeWhole(Path, Fresh.text() + "\n"); !Written)
    return tl::unexpected(Written.error());
  return Fresh;
}

} // namespace

struct FolderStore::Impl {
  fs::path Path;
  FolderId Identity;
  FolderStoreOptions Options;
  std::unique_ptr<Descriptor> Lock;
  std::uint64_t TornTails = 0;
  mutable std::mutex Mutex;
  std::map<ShardId, std::unique_ptr<StoredShard>> Shards;

  Expected<void> lockFolder();
  Expected<void> load();
  Expected<StoredShard *> shard(ShardId Shard);
  StoredShard *knownShard(ShardId Shard) const;
};

Expected<void> FolderStore::Impl::lockFolder() {
  std::error_code Failure;
  fs::create_directories(Path, Failure);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot make " + Path.string());
  Lock = std::make_unique<Descriptor>(
      ::open((Path / LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
  if (Lock->number() < 0 || ::flock(Lock->number(), LOCK_EX | LOCK_NB) != 0)
    return internal::systemError("cannot lock " + Path.string());
  return {};
}

Expected<void> FolderStore::Impl::load() {
  const auto Found = shardsIn(Path);
  if (!Found)
    return tl::unexpected(Found.error());
  auto Kept = identityOf(Path, Identity, !Found->empty());
  if (!Kept)
    return tl::unexpected(Kept.error());
  Identity = *Kept;
  for (const ShardId Shard : *Found) {
    auto Opened = openShard(shardPath(Path, Shard));
    if (!Opened)
      return tl::unexpected(Opened.error());
    TornTails += (*Opened)->File->hadTornTail() ? 1 : 0;
    Shards.emplace(Shard, std::move(*Opened));
  }
  return {};
}

/// The shard, made when it is new.
Expected<StoredShard *> FolderStore::Impl::shard(ShardId Shard) {
  const std::lock_guard Guard(Mutex);
  std::unique_ptr<StoredShard> &Slot = Shards[Shard];
  if (Slot)
    return Slot.get();
  if (Path.empty()) {
    Slot = std::make_unique<StoredShard>();
    return Slot.get();
  }
  auto Opened = openShard(shardPath(Path, Shard));
  if (!Opened) {
    Shards.erase(Shard);
    return tl::unexpected(Opened.error());
  }
  Slot = std::move(*Opened);
  return Slot.get();
}

StoredShard *FolderStore::Impl::knownShard(ShardId Shard) const {
  const std::lock_guard Guard(Mutex);
  const auto Found = Shards.find(Shard);
  return Found == Shards.end() ? nullptr : Found->second.get();
}

FolderStore::FolderStore(std::unique_ptr<Impl> Inner)
    : Inner(std::move(Inner)) {}
FolderStore::~FolderStore() = default;

Expected<std::unique_ptr<FolderStore>>
FolderStore::open(const fs::path &Path, FolderId Fresh,
                  FolderStoreOptions Options) {
  auto Inner = std::make_unique<Impl>();
  Inner->Path = Path;
  Inner->Identity = std::move(Fresh);
  Inner->Options = Options;
  if (!Path.empty()) {
    if (Expected<void> Locked = Inner->lockFolder(); !Locked)
      return tl::unexpected(Locked.error());
    if (Expected<void> Loaded = Inner->load(); !Loaded)
      return tl::unexpected(Loaded.error());
  }
  return std::unique_ptr<FolderStore>(new FolderStore(std::move(Inner)));
}

FolderId FolderStore::folder() const { return Inner->Identity; }

Expected<void> FolderStore::seal(ShardId Shard, Epoch At) {
  auto Found = Inner->shard(Shard);
  if (!Found)
    return tl::unexpected(Found.error());
  return (*Found)->change(Seal{At}, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::append(ShardId Shard, const Append &Next) {
  auto Found = Inner->shard(Shard);
  if (!Found)
    return tl::unexpected(Found.error());
  return (*Found)->change(Next, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::install(ShardId Shard, const Install &Change) {
  auto Found = Inner->shard(Shard);
  if (!Found)
    return tl::unexpected(Found.error());
  return (*Found)->change(Change, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::confirm(ShardId Shard, Epoch At) const {
  StoredShard *Found = Inner->knownShard(Shard);
  if (!Found)
    return checkSealedEpoch(ShardCopy(), At);
  const std::lock_guard Guard(Found->Mutex);
  return checkSealedEpoch(Found->Copy, At);
}

Expected<std::vector<Record>> FolderStore::read(ShardId Shard,
                                                const ProgramId &Root) const {
  StoredShard *Found = Inner->knownShard(Shard);
  if (!Found)
    return std::vector<Record>();
  const std::lock_guard Guard(Found->Mutex);
  return logOf(Found->Copy, Root);
}

Expected<std::map<ProgramId, std::vector<Record>>>
FolderStore::readAll(ShardId Shard) const {
  StoredShard *Found = Inner->knownShard(Shard);
  if (!Found)
    return std::map<ProgramId, std::vector<Record>>();
  const std::lock_guard Guard(Found->Mutex);
  return Found->Copy.Logs;
}

Epoch FolderStore::sealed(ShardId Shard) const {
  StoredShard *Found = Inner->knownShard(Shard);
  if (!Found)
    return 0;
  const std::lock_guard Guard(Found->Mutex);
  return Found->Copy.Sealed;
}

std::uint64_t FolderStore::tornTails() const { return Inner->TornTails; }

std::uint64_t FolderStore::bytesOnDisk() const {
  const std::lock_guard Guard(Inner->Mutex);
  std::uint64_t Bytes = 0;
  for (const auto &Entry : Inner->Shards) {
    const std::lock_guard ShardGuard(Entry.second->Mutex);
    Bytes += Entry.second->File ? Entry.second->File->size() : 0;
  }
  return Bytes;
}

} // namespace tamarack
