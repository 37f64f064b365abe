/// A durable store of shard copies in one data folder.
///
///   auto Store = FolderStore::open("/var/lib/tamarack", FolderId(Random));
///   (*Store)->seal(Shard, 7);
///   (*Store)->append(Shard, {7, Root, 0, First});
///
/// Each change is written to disk before it becomes visible or is answered.
/// The folder gets its identity on creation and keeps it. A folder that was
/// emptied or replaced gets a new identity, so it cannot pass for the old one.
/// All functions are thread-safe.
#ifndef TAMARACK_LEDGER_FOLDERSTORE_H
#define TAMARACK_LEDGER_FOLDERSTORE_H

#include "tamarack/ledger/ShardCopy.h"

#include <filesystem>
#include <memory>

namespace tamarack {

struct FolderStoreOptions {
  /// Flushes each change to the device before it is answered. Without the
  /// flush a change survives a crash of the process but not of the machine, so
  /// the folder must be recreated after the machine restarts.
  bool SyncEveryAppend = true;
};

class FolderStore {
public:
  /// Opens the folder at \p Path and creates it if it does not exist. An empty
  /// path keeps everything in memory. A folder without an identity gets
  /// \p NewIdentity, which must be unique. Internal when another process has
  /// the folder open, a file cannot be read or written, or a file is damaged
  /// before its last frame.
  static Expected<std::unique_ptr<FolderStore>>
  open(const std::filesystem::path &Path, FolderId NewIdentity,
       FolderStoreOptions Options = {});
  ~FolderStore();

  /// The identity of the folder.
  FolderId folder() const;
  /// Changes the copy of \p Shard, with the errors of applySeal(),
  /// applyAppend() and applyInstall(). Internal when the change cannot be
  /// written.
  Expected<void> seal(ShardId Shard, Epoch At);
  Expected<void> append(ShardId Shard, const Append &Next);
  Expected<void> install(ShardId Shard, const Install &Change);
  /// Fenced when the copy of \p Shard is sealed at another epoch than \p At;
  /// see checkSealedEpoch().
  Expected<void> confirmEpoch(ShardId Shard, Epoch At) const;
  /// The log of \p Root, empty when there is none.
  Expected<std::vector<Record>> read(ShardId Shard,
                                     const ProgramId &Root) const;
  /// All logs of \p Shard by root program.
  Expected<std::map<ProgramId, std::vector<Record>>>
  readAll(ShardId Shard) const;
  /// The epoch at which \p Shard is sealed; 0 when it never was.
  Epoch sealed(ShardId Shard) const;
  /// The number of files whose incomplete last frame was dropped on open.
  std::uint64_t tornTails() const;
  /// The total size of the shard files, in bytes.
  std::uint64_t bytesOnDisk() const;

private:
  struct Impl;
  explicit FolderStore(std::unique_ptr<Impl> Inner);
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_LEDGER_FOLDERSTORE_H
