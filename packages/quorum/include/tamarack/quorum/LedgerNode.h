/// A ledger node, which stores records on its disk as a member of the quorum.
///
///   LedgerNode Node(Io, Options, Views);
///   if (auto Started = Node.start(); !Started) ...
///   Node.viewChanged(Latest);      // from a watch on the platform's store
///   co_await Node.retire();        // when operators retire the instance
///   co_await Node.prepareStop(Deadline); // before a planned stop
///
/// View.h describes how members join and leave the quorum. A record is
/// acknowledged only once it is on disk.
#ifndef TAMARACK_QUORUM_LEDGERNODE_H
#define TAMARACK_QUORUM_LEDGERNODE_H

#include "tamarack/net/Link.h"
#include "tamarack/quorum/QuorumClient.h"
#include "tamarack/turns/View.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace tamarack {

/// Reads and replaces the view in the platform's store.
class ViewStore {
public:
  virtual ~ViewStore() = default;
  /// Returns the current view; its number is 0 if none was written yet.
  virtual Task<Expected<View>> readView() = 0;
  /// Writes \p Next if the store still holds \p Before (compare-and-swap).
  /// Returns false if it holds another view. Implementations read the view back
  /// to learn the outcome if the response was lost.
  virtual Task<Expected<bool>> replaceView(View Before, View Next) = 0;
};

struct LedgerOptions {
  InstanceId Instance;
  DataCentreId DataCentre;
  /// The address to listen on for links, "IP:PORT".
  std::string Address;
  /// The address that other processes connect to, if it differs from Address.
  std::string PublicAddress;
  std::filesystem::path Folder;
  /// The identity for a folder that has none yet; must be unique.
  FolderId FreshFolder;
  /// The number of members that a view should have.
  std::size_t TargetMembers = 3;
  /// The number of disks that a record must be on: the tolerated losses plus
  /// one.
  std::size_t DurableCopies = 2;
  /// Set when the whole system starts for the first time, with empty disks.
  bool FirstStart = false;
  /// The number of bytes written to the journal after which it is compacted:
  /// live records are copied to a new segment and old segments are removed. The
  /// copies do not count.
  /// The default is a fifth of the smallest disk (470 MB), or two minutes of
  /// traffic on a busy day.
  std::uint64_t CompactAfterBytes = 96U << 20U;
  /// How long a ledger that fetches waits for a predecessor without a
  /// connection before it joins without the records that only that one has.
  /// Longer than machines take to restart; one that comes back later offers its
  /// records.
  Duration HolderTimeout = std::chrono::seconds(8);
  /// How long at least the members count as incomplete after records were lost.
  /// Longer than accounts are kept.
  Duration IncompletePeriod = std::chrono::minutes(4);
  /// Smaller is nearer; records are fetched from the nearest members first.
  std::function<int(const DataCentreId &)> Distance;
  LinkOptions Link;
  /// Returns the time since this process's list of endpoints was confirmed, if
  /// it ever was. Entries compare theirs with it; may be null.
  std::function<std::optional<Duration>()> EndpointListAge;
  /// Handles the calls that are not the ledger's own; returns false for an
  /// unknown one.
  std::function<bool(const std::string &Name, const Json &Body,
                     const LinkServer::Reply &Answer)>
      HandleOtherCall;
};

struct LedgerStatus {
  View Current;
  bool IsMember = false;
  bool IsJoined = false;
  /// The number of turns with a text.
  std::size_t Turns = 0;
  std::size_t Programs = 0;
  /// The bytes of text held in memory.
  std::size_t TextBytes = 0;
  /// The number of turns that stored chains refer to and that this ledger
  /// lacks.
  std::size_t MissedTurns = 0;
  std::uint64_t RecordsStored = 0;
  /// The number of records refused because of their view.
  std::uint64_t Refused = 0;
  /// The bytes of records that are being written to disk.
  std::size_t QueuedBytes = 0;
};

class LedgerNode {
public:
  LedgerNode(Loop &Io, LedgerOptions Options, ViewStore &Views);
  ~LedgerNode();
  LedgerNode(const LedgerNode &) = delete;
  LedgerNode &operator=(const LedgerNode &) = delete;

  /// Loads the journal, starts to listen, and joins the quorum in the
  /// background. Fails if the folder or the address cannot be used.
  Expected<void> start();
  /// Adopts \p Latest if it is newer than the current view.
  void viewChanged(const View &Latest);
  /// Leaves the quorum. Returns true once no view relies on the records of this
  /// ledger: a member that replaces it has joined, or every joined member holds
  /// them. If false, call it again.
  Task<bool> retire();
  /// Waits until the other members make a quorum without this ledger, at most
  /// until \p Deadline; serves meanwhile. Then ends all links, which takes half
  /// a second at most and loses no reply. Returns whether the others make a
  /// quorum. Of members that are stopped at the same time, one after the other
  /// is let go.
  Task<bool> prepareStop(TimePoint Deadline);
  LedgerStatus status() const;
  /// Calls \p Name of the ledger at \p Address.
  Task<Expected<Json>> call(std::string Address, std::string Name, Json Body,
                            TimePoint Deadline);
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_LEDGERNODE_H
