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
using internal::FileDescriptor;
using internal::FrameFile;

constexpr const char *IdentityName = "folder-id";
constexpr const char *LockName = "lock";
constexpr const char *ShardPrefix = "shard-";
constexpr const char *ShardSuffix = ".log";

struct Seal {
  Epoch At;
};

Bytes encodeChange(const Seal &Change) {
  return Json::to_cbor(Json{{"Seal", Change.At}});
}
Bytes encodeChange(const Append &Change) {
  return Json::to_cbor(Json{{"Append", Change}});
}
Bytes encodeChange(const Install &Change) {
  return Json::to_cbor(Json{{"Install", Change}});
}

Expected<void> checkChange(const ShardCopy &Copy, const Seal &Change) {
  return checkSeal(Copy, Change.At);
}
Expected<void> checkChange(const ShardCopy &Copy, const Append &Change) {
  return checkAppend(Copy, Change);
}
Expected<void> checkChange(const ShardCopy &Copy, const Install &Change) {
  return checkInstall(Copy, Change);
}

Expected<void> applyChange(ShardCopy &Copy, const Seal &Change) {
  return applySeal(Copy, Change.At);
}
Expected<void> applyChange(ShardCopy &Copy, const Append &Change) {
  return applyAppend(Copy, Change);
}
Expected<void> applyChange(ShardCopy &Copy, const Install &Change) {
  return applyInstall(Copy, Change);
}

/// Whether the copy already contains the change, so that no write is needed.
bool isApplied(const ShardCopy &Copy, const Seal &Change) {
  return Copy.Sealed == Change.At;
}
bool isApplied(const ShardCopy &Copy, const Append &Change) {
  const auto ChangedAt = Copy.ChangedAt.find(Change.Root);
  return Change.Index < logOf(Copy, Change.Root).size() &&
         ChangedAt != Copy.ChangedAt.end() && ChangedAt->second == Change.At;
}
bool isApplied(const ShardCopy &, const Install &) { return false; }

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

/// The copy of one shard with its file. A store in memory has no file.
struct StoredShard {
  std::mutex Mutex;
  ShardCopy Copy;
  std::unique_ptr<FrameFile> File;

  template <typename Change>
  Expected<void> applyDurably(const Change &Next, bool Sync) {
    const std::lock_guard Lock(Mutex);
    if (Expected<void> Checked = checkChange(Copy, Next); !Checked)
      return Checked;
    if (isApplied(Copy, Next))
      return {};
    if (File)
      if (auto Written = File->append(encodeChange(Next), Sync); !Written)
        return Written;
    return applyChange(Copy, Next);
  }
};

fs::path shardPath(const fs::path &Folder, ShardId Shard) {
  return Folder / (ShardPrefix + std::to_string(Shard) + ShardSuffix);
}

/// The shard that a file name belongs to; nothing for other files.
std::optional<ShardId> parseShardFileName(const std::string &Name) {
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

Expected<std::vector<ShardId>> listShards(const fs::path &Folder) {
  std::vector<ShardId> Shards;
  std::error_code Failure;
  for (const fs::directory_entry &Entry :
       fs::directory_iterator(Folder, Failure))
    if (auto Shard = parseShardFileName(Entry.path().filename().string()))
      Shards.push_back(*Shard);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot list folder " + Folder.string());
  return Shards;
}

/// The identity stored in the folder. A folder without shard files and without
/// an identity gets \p NewIdentity.
Expected<FolderId> readOrCreateIdentity(const fs::path &Folder,
                                        const FolderId &NewIdentity,
                                        bool HoldsShards) {
  const fs::path Path = Folder / IdentityName;
  std::string Text;
  if (std::ifstream File(Path); File && std::getline(File, Text))
    return FolderId(Text);
  if (HoldsShards)
    return refuse(ErrorKind::Internal,
                  "folder " + Folder.string() +
                      " holds shard files but no identity file");
  if (auto Written =
          internal::writeFileAtomically(Path, NewIdentity.text() + "\n");
      !Written)
    return tl::unexpected(Written.error());
  return NewIdentity;
}

} // namespace

struct FolderStore::Impl {
  fs::path Path;
  FolderId Identity;
  FolderStoreOptions Options;
  std::unique_ptr<FileDescriptor> Lock;
  std::uint64_t TornTails = 0;
  mutable std::mutex Mutex;
  std::map<ShardId, std::unique_ptr<StoredShard>> Shards;

  Expected<void> lockFolder();
  Expected<void> load();
  Expected<StoredShard *> shard(ShardId Shard);
  StoredShard *findShard(ShardId Shard) const;
};

Expected<void> FolderStore::Impl::lockFolder() {
  std::error_code Failure;
  fs::create_directories(Path, Failure);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot create folder " + Path.string());
  Lock = std::make_unique<FileDescriptor>(
      ::open((Path / LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
  if (Lock->number() < 0 || ::flock(Lock->number(), LOCK_EX | LOCK_NB) != 0)
    return internal::systemError("cannot lock folder " + Path.string());
  return {};
}

Expected<void> FolderStore::Impl::load() {
  const auto Found = listShards(Path);
  if (!Found)
    return tl::unexpected(Found.error());
  auto Loaded = readOrCreateIdentity(Path, Identity, !Found->empty());
  if (!Loaded)
    return tl::unexpected(Loaded.error());
  Identity = *Loaded;
  for (const ShardId Shard : *Found) {
    auto Opened = openShard(shardPath(Path, Shard));
    if (!Opened)
      return tl::unexpected(Opened.error());
    TornTails += (*Opened)->File->hadTornTail() ? 1 : 0;
    Shards.emplace(Shard, std::move(*Opened));
  }
  return {};
}

/// Finds the shard and creates it if it is new.
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

StoredShard *FolderStore::Impl::findShard(ShardId Shard) const {
  const std::lock_guard Guard(Mutex);
  const auto Found = Shards.find(Shard);
  return Found == Shards.end() ? nullptr : Found->second.get();
}

FolderStore::FolderStore(std::unique_ptr<Impl> Inner)
    : Inner(std::move(Inner)) {}
FolderStore::~FolderStore() = default;

Expected<std::unique_ptr<FolderStore>>
FolderStore::open(const fs::path &Path, FolderId NewIdentity,
                  FolderStoreOptions Options) {
  auto Inner = std::make_unique<Impl>();
  Inner->Path = Path;
  Inner->Identity = std::move(NewIdentity);
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
  return (*Found)->applyDurably(Seal{At}, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::append(ShardId Shard, const Append &Next) {
  auto Found = Inner->shard(Shard);
  if (!Found)
    return tl::unexpected(Found.error());
  return (*Found)->applyDurably(Next, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::install(ShardId Shard, const Install &Change) {
  auto Found = Inner->shard(Shard);
  if (!Found)
    return tl::unexpected(Found.error());
  return (*Found)->applyDurably(Change, Inner->Options.SyncEveryAppend);
}

Expected<void> FolderStore::confirmEpoch(ShardId Shard, Epoch At) const {
  StoredShard *Found = Inner->findShard(Shard);
  if (!Found)
    return checkSealedEpoch(ShardCopy(), At);
  const std::lock_guard Guard(Found->Mutex);
  return checkSealedEpoch(Found->Copy, At);
}

Expected<std::vector<Record>> FolderStore::read(ShardId Shard,
                                                const ProgramId &Root) const {
  StoredShard *Found = Inner->findShard(Shard);
  if (!Found)
    return std::vector<Record>();
  const std::lock_guard Guard(Found->Mutex);
  return logOf(Found->Copy, Root);
}

Expected<std::map<ProgramId, std::vector<Record>>>
FolderStore::readAll(ShardId Shard) const {
  StoredShard *Found = Inner->findShard(Shard);
  if (!Found)
    return std::map<ProgramId, std::vector<Record>>();
  const std::lock_guard Guard(Found->Mutex);
  return Found->Copy.Logs;
}

Epoch FolderStore::sealed(ShardId Shard) const {
  StoredShard *Found = Inner->findShard(Shard);
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
