/// One ledger: keeps records on its disk and is a member of the quorum.
///
///   LedgerNode Node(Io, Options, Views);
///   if (auto Started = Node.start(); !Started) ...
///   Node.viewChanged(Latest);      // from a watch of the store
///   co_await Node.retire(...);     // when operators want the disk emptied
///
/// See View.h for how members enter and leave. Nothing is answered before it
/// is on disk.
#ifndef TAMARACK_QUORUM_LEDGERNODE_H
#define TAMARACK_QUORUM_LEDGERNODE_H

#include "tamarack/net/Link.h"
#include "tamarack/quorum/QuorumClient.h"
#include "tamarack/turns/View.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace tamarack {

/// Where the view lies: the platform's store, behind compare-and-swap.
class ViewStore {
public:
  virtual ~ViewStore() = default;
  /// The current view; number 0 where none was written yet.
  virtual Task<Expected<View>> readView() = 0;
  /// Writes \p Next if the store still holds \p Before. False when it holds
  /// another one. A lost answer is settled by reading back.
  virtual Task<Expected<bool>> replaceView(View Before, View Next) = 0;
};

struct LedgerOptions {
  InstanceId Instance;
  DataCentreId DataCentre;
  /// Where it listens for links, "IP:PORT".
  std::string Address;
  /// Where others reach it, if that is not where it listens.
  std::string PublicAddress;
  std::filesystem::path Folder;
  /// The identity that a folder without one gets; never used twice.
  FolderId FreshFolder;
  /// How many members a view should name.
  std::size_t TargetMembers = 3;
  std::size_t DurableCopies = 2;
  /// The whole system starts for the first time, with empty disks.
  bool FirstStart = false;
  /// Journal bytes after which live records are written again and old segments
  /// removed: a fifth of the smallest disk (470 MB), two minutes of a busy day.
  std::uint64_t CompactAfterBytes = 96U << 20U;
  std::function<int(const DataCentreId &)> Distance;
  LinkOptions Link;
};

struct LedgerStatus {
  View Current;
  bool IsMember = false;
  bool IsJoined = false;
  std::size_t Turns = 0;
  std::size_t Programs = 0;
  std::size_t TextBytes = 0;
  std::uint64_t RecordsStored = 0;
  std::uint64_t Refused = 0;
};

class LedgerNode {
public:
  LedgerNode(Loop &Io, LedgerOptions Options, ViewStore &Views);
  ~LedgerNode();
  LedgerNode(const LedgerNode &) = delete;
  LedgerNode &operator=(const LedgerNode &) = delete;

  /// Loads the folder, listens, and enters the quorum in the background.
  Expected<void> start();
  void viewChanged(const View &Latest);
  /// Leaves the quorum; true once every remaining member holds everything.
  Task<bool> retire();
  LedgerStatus status() const;
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_LEDGERNODE_H
