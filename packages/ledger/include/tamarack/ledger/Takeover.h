/// What a new owner does with the logs of the copies that it has sealed.
///
/// A new owner takes the shard's record by compare-and-swap, seals the named
/// copies at the record's new version, reads a log from each that answered,
/// and settles it before it serves the program:
///
///   Settlement Agreed = settle(Root, Sealed, Record.Copies.size(), At);
///   // Carry out every repair, then ask the endpoints of open calls whose
///   // fate is AskEndpoint, then serve.
///
/// The rules rely on these duties of an owner:
///  - it sends an attempt only after every named copy accepted its Intent, and
///    never sends it again;
///  - it answers only after every named copy accepted the Result;
///  - it names a folder in the shard's record only after it has sealed it and
///    installed every log of the shard in full (installsForCopy()). From the
///    moment it takes the logs to install until it has sealed every copy at the
///    new version it counts no append as accepted, and then repeats those that
///    wait;
///  - it drops a copy only when the others have just confirmed
///  (checkSealedEpoch());
///  - it matches each answer of a copy to the exact request and version;
///  - it answers "not run" from what it remembers only after every named copy
///    confirmed, and not at all once it was fenced: a later owner may have run
///    the same request. A recorded NotRun result needs no confirming.
#ifndef TAMARACK_LEDGER_TAKEOVER_H
#define TAMARACK_LEDGER_TAKEOVER_H

#include "tamarack/ledger/ShardCopy.h"

namespace tamarack {

/// A folder that holds a copy, and the instance that serves it.
struct CopyLocation {
  FolderId Folder;
  InstanceId Instance;

  auto tied() const { return std::tie(Folder, Instance); }
};

/// The value under a shard's key in the platform's service.
struct ShardRecord {
  /// Grows with every change; the epoch of whoever wrote it.
  Epoch Version = 0;
  InstanceId Owner;
  Incarnation OwnerIncarnation = 0;
  std::vector<CopyLocation> Copies;
  /// Unique to the write, so that a writer whose answer was lost recognises
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

enum class OpenCallResolution {
  /// Never sent: a sealed copy lacks its Intent.
  NotRun,
  /// Possibly sent: only the endpoint process can prove that it was not.
  AskEndpoint,
};

struct OpenCall {
  ProgramId Program;
  Intent Sent;
  OpenCallResolution Fate = OpenCallResolution::AskEndpoint;

  auto tied() const { return std::tie(Program, Sent, Fate); }
};

/// A change that brings the copy in \p Folder to the agreed log.
struct Repair {
  FolderId Folder;
  Install Change;

  auto tied() const { return std::tie(Folder, Change); }
};

struct LogReconciliation {
  std::vector<Record> Log;
  /// Only for copies that differ from Log.
  std::vector<Repair> Repairs;
  std::vector<OpenCall> OpenCalls;
  /// Whether every named copy was sealed. When not, the owner must write a
  /// record without the missing ones before it can append.
  bool Complete = false;

  auto tied() const { return std::tie(Log, Repairs, OpenCalls, Complete); }
};

/// Settles the log of \p Root for epoch \p At from at least one sealed copy.
/// The outcome does not depend on the order of \p Sealed, and settling again
/// after some of the repairs were carried out reaches the same log.
LogReconciliation reconcileLogs(const ProgramId &Root,
                                const std::vector<SealedLog> &Sealed,
                                std::size_t NamedCopies, Epoch At);

/// The changes that bring a copy with the logs \p Held to the logs \p Wanted,
/// for a folder that is to be named next; logs that are not wanted are emptied.
/// A log that is right already gets a change too, which adds nothing: once the
/// copy has accepted it, a late install of an earlier try can no longer replace
/// the log at this epoch.
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
