/// The shard copies kept in one data folder.
///
///   auto Store = FolderStore::open("/var/lib/tamarack", FolderId(Random));
///   (*Store)->seal(Shard, 7);
///   (*Store)->append(Shard, {7, Root, 0, First});
///
/// Each change is on disk before it is visible or answered. The folder's
/// identity is made with the folder and stays; a folder that was emptied or
/// replaced gets the fresh identity and is another place. All functions may be
/// called from several threads.
#ifndef TAMARACK_LEDGER_FOLDERSTORE_H
#define TAMARACK_LEDGER_FOLDERSTORE_H

#include "tamarack/ledger/ShardCopy.h"

#include <filesystem>
#include <memory>

namespace tamarack {

struct FolderStoreOptions {
  /// Flushes each change to the device before it is answered. Without it a
  /// change survives the death of the process but not of the machine, so the
  /// folder must then be made new after the machine restarts.
  bool SyncEveryAppend = true;
};

class FolderStore {
public:
  /// Opens or makes the folder at \p Path. An empty path keeps everything in
  /// memory. \p Fresh becomes the identity of a folder that has none; it must
  /// never be used twice. Refuses a folder that another process has open or
  /// whose files are damaged before their end.
  static Expected<std::unique_ptr<FolderStore>>
  open(const std::filesystem::path &Path, FolderId Fresh,
       FolderStoreOptions Options = {});
  ~FolderStore();

  FolderId folder() const;
  Expected<void> seal(ShardId Shard, Epoch At);
  Expected<void> append(ShardId Shard, const Append &Next);
  Expected<void> install(ShardId Shard, const Install &Change);
  /// Fenced when the shard has been sealed at another epoch; see
  /// checkSealedEpoch().
  Expected<void> confirm(ShardId Shard, Epoch At) const;
  /// The log of \p Root, empty when there is none.
  Expected<std::vector<Record>> read(ShardId Shard,
                                     const ProgramId &Root) const;
  Expected<std::map<ProgramId, std::vector<Record>>>
  readAll(ShardId Shard) const;
  Epoch sealed(ShardId Shard) const;
  /// Files whose incomplete last change was dropped when the folder opened.
  std::uint64_t tornTails() const;
  std::uint64_t bytesOnDisk() const;

private:
  struct Impl;
  explicit FolderStore(std::unique_ptr<Impl> Inner);
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_LEDGER_FOLDERSTORE_H
