/// Reconciliation of the logs of sealed copies when a shard changes its owner.
///
/// A new owner writes the next version of the shard's record by
/// compare-and-swap, seals the copies that the record names at that version,
/// reads the logs of each copy that answered, and reconciles them before it
/// serves the program:
///
///   LogReconciliation Outcome =
///       reconcileLogs(Root, Sealed, Record.Copies.size(), At);
///   // Carry out every repair, then ask the endpoints of open calls whose
///   // resolution is AskEndpoint, then serve.
///
/// Correctness relies on these duties of an owner:
///  - it sends an attempt only after every named copy accepted its Intent, and
///    never sends it twice;
///  - it answers only after every named copy accepted the AttemptResult;
///  - it names a folder in the shard's record only after it sealed the folder
///    and installed every log of the shard in full (installsForCopy()). From
///    the moment it reads the logs to install until it has sealed every copy
///    at the new version, it counts no append as accepted; then it repeats the
///    pending ones;
///  - it drops a copy only when the other copies have just confirmed its epoch
///    (checkSealedEpoch());
///  - it matches each answer of a copy to the exact request and version;
///  - it answers "not run" from memory only after every named copy confirmed
///    its epoch, and never once it was fenced, because a later owner may have
///    run the same request. A recorded NotRun result needs no confirmation.
#ifndef TAMARACK_LEDGER_TAKEOVER_H
#define TAMARACK_LEDGER_TAKEOVER_H

#include "tamarack/ledger/ShardCopy.h"

namespace tamarack {

/// The folder that holds a copy and the instance that serves the folder.
struct CopyLocation {
  FolderId Folder;
  InstanceId Instance;

  auto tied() const { return std::tie(Folder, Instance); }
};

/// The value stored under a shard's key in the platform's key-value service.
struct ShardRecord {
  /// Grows with every write, and is the epoch of the owner that wrote it.
  Epoch Version = 0;
  InstanceId Owner;
  Incarnation OwnerIncarnation = 0;
  std::vector<CopyLocation> Copies;
  /// Unique to the write, so that a writer whose answer was lost can recognize
  /// its own write when it reads the record back.
  std::string Token;

  auto tied() const {
    return std::tie(Version, Owner, OwnerIncarnation, Copies, Token);
  }
};

/// A root's log as read from a sealed copy.
struct SealedLog {
  FolderId Folder;
  std::vector<Record> Records;

  auto tied() const { return std::tie(Folder, Records); }
};

/// How an open call is resolved.
enum class OpenCallResolution {
  /// The attempt was never sent, because a sealed copy lacks its Intent.
  NotRun,
  /// The attempt may have been sent; only the endpoint process can prove that
  /// it was not.
  AskEndpoint,
};

/// An attempt without a result in any of the sealed logs.
struct OpenCall {
  ProgramId Program;
  Intent Sent;
  OpenCallResolution Resolution = OpenCallResolution::AskEndpoint;

  auto tied() const { return std::tie(Program, Sent, Resolution); }
};

/// A change that brings the copy in Folder to the reconciled log.
struct Repair {
  FolderId Folder;
  Install Change;

  auto tied() const { return std::tie(Folder, Change); }
};

/// The outcome of reconciling one log.
struct LogReconciliation {
  /// The reconciled log.
  std::vector<Record> Log;
  /// Only for copies that differ from Log.
  std::vector<Repair> Repairs;
  std::vector<OpenCall> OpenCalls;
  /// Whether every named copy was sealed. If not, the owner must write a shard
  /// record without the missing copies before it can append.
  bool Complete = false;

  auto tied() const { return std::tie(Log, Repairs, OpenCalls, Complete); }
};

/// Reconciles the log of \p Root for epoch \p At from at least one sealed
/// copy. \p NamedCopies is the number of copies that the shard record names.
/// The outcome does not depend on the order of \p Sealed, and reconciling
/// again after some of the repairs were carried out yields the same log.
LogReconciliation reconcileLogs(const ProgramId &Root,
                                const std::vector<SealedLog> &Sealed,
                                std::size_t NamedCopies, Epoch At);

/// The changes that bring a copy with the logs \p Held to the logs \p Wanted,
/// before the copy is added to the shard record. Logs missing from \p Wanted
/// are emptied. A log that is already correct gets a change that adds nothing:
/// once the copy has accepted it, a delayed install of an earlier try can no
/// longer replace the log at this epoch.
std::vector<Install>
installsForCopy(const std::map<ProgramId, std::vector<Record>> &Held,
                const std::map<ProgramId, std::vector<Record>> &Wanted,
                Epoch At);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CopyLocation, Folder, Instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardRecord, Version, Owner,
                                   OwnerIncarnation, Copies, Token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SealedLog, Folder, Records)

} // namespace tamarack

#endif // TAMARACK_LEDGER_TAKEOVER_H
