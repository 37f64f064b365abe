/// A small model of the system around ShardCopy, ProgramTree and
/// reconcileLogs(): owners, copies, the shard record, one endpoint and callers.
/// Messages are delivered in any order, late, twice or not at all.
///
/// A history is a list of numbers, each of which drives one step. Broken
/// invariants are added to Violations.
#ifndef TAMARACK_LEDGER_TEST_OWNERMODEL_H
#define TAMARACK_LEDGER_TEST_OWNERMODEL_H

#include "tamarack/ledger/Program.h"
#include "tamarack/ledger/Takeover.h"

#include <deque>
#include <functional>
#include <set>

namespace tamarack::test {

using Log = std::vector<Record>;
using Logs = std::map<ProgramId, Log>;

struct Folder {
  ShardCopy Copy;
  unsigned DataCentre = 0;
  bool Up = true;
  bool Lost = false;
};

/// An operation that one caller requests. It may be executed more than once
/// only if it is repeatable.
struct Operation {
  CallRequest Request;
  std::string Tag;
  unsigned Executions = 0;
};

struct Caller {
  /// The number of the latest request; answers to earlier ones are ignored.
  unsigned RequestNumber = 0;
  /// Whether the latest request was answered "not run".
  bool WasToldNotRun = false;
  std::optional<AttemptResult> Answer;
};

enum class Stage { Appending, Ready, Sent, Recording, Joined, Confirming };

/// A request or an open call that an owner works on.
struct Job {
  std::optional<std::size_t> Operation;
  unsigned RequestNumber = 0;
  Stage Progress = Stage::Appending;
  ProgramId Program;
  Intent Sent;
  std::set<FolderId> Confirmed;
};

/// Records to append to one log, and the copies that accepted the first one.
struct PendingAppends {
  std::deque<Record> Records;
  std::set<FolderId> Accepted;
};

enum class Phase {
  Idle,
  Claiming,
  Sealing,
  Repairing,
  FillingCopy,
  ChangingCopies,
  Resealing,
  Serving
};

struct Owner {
  Phase State = Phase::Idle;
  /// Grows whenever the owner loses its memory.
  unsigned Term = 0;
  ShardRecord CurrentRecord, ProposedRecord;
  std::map<FolderId, Logs> Sealed;
  /// The copy that is being filled before it is added to the record.
  std::optional<CopyLocation> Learner;
  std::map<std::pair<FolderId, ProgramId>, Install> Outstanding;
  Logs AcceptedLogs;
  std::map<ProgramId, ProgramTree> Trees;
  std::map<ProgramId, PendingAppends> Pending;
  std::map<unsigned, Job> Jobs;
};

/// Counts of the events that the histories must reach.
struct Coverage {
  unsigned Takeovers = 0, Executions = 0, NotRun = 0, Fenced = 0, Unknown = 0,
           Repairs = 0, Refills = 0, Joined = 0, Stored = 0, Voided = 0,
           LostFolders = 0;
};

class ClusterModel {
public:
  ClusterModel();
  /// Takes one step, chosen by \p Draw.
  void step(std::uint32_t Draw);
  /// Ends all faults, lets one owner take over and checks the final state.
  void recoverAndCheck();

  std::vector<std::string> Violations;
  Coverage Seen;

private:
  using Message = std::function<void(bool AnswerLost)>;

  void checkInvariant(bool Holds, const std::string &Violation);
  std::uint32_t pick(std::uint32_t Below);
  Owner &pickOwner();
  std::size_t pickOperation();
  void deliver();
  void submitCall(std::size_t Operation, Owner &To);
  void injectFault();
  void loseFolder();

  void advanceOwner(Owner &O);
  void resetOwner(Owner &O);
  bool hasActiveOwner() const;
  void giveUp(Owner &O);
  void startTakeover(Owner &O);
  void compareAndSwap(Owner &O);
  void readBack(Owner &O);
  void sealCopy(Owner &O, const FolderId &Copy);
  void sealNamedCopies(Owner &O);
  void reconcileAll(Owner &O);
  void installOutstanding(Owner &O);
  std::vector<CopyLocation> sealedCopies(const Owner &O) const;
  void finishInstalls(Owner &O);
  void changeCopies(Owner &O, std::vector<CopyLocation> Copies);
  void addCopy(Owner &O);
  void dropCopy(Owner &O, std::size_t Index);
  void serve(Owner &O);
  void sendAppends(Owner &O);
  void onAppendAccepted(Owner &O, const ProgramId &Root, const FolderId &By);
  void onRecordApplied(Owner &O, const Record &Entry);
  void advanceJob(Owner &O, unsigned Number);
  void sendAttempt(Owner &O, unsigned Number);
  void askEndpoint(Owner &O, unsigned Number);
  void confirmEpoch(Owner &O, unsigned Number);
  void onAttemptAnswered(Owner &O, unsigned Number, AttemptResult Answer);
  AttemptResult execute(const ProgramId &Program, const Intent &Sent);
  void deliverAnswer(const Job &To, const AttemptResult &Answer);
  void deliverNotRun(const Job &To);
  void checkTree(const ProgramTree &Tree);
  void checkDeliveredAnswers(const Owner &O);
  void checkAcceptedRecord(const ProgramId &Root, std::uint64_t Index,
                           const Record &Entry);
  /// Sends a message to a copy. The message is lost if the copy cannot be
  /// reached. \p Effect is applied to the copy; \p Then receives the answer if
  /// the owner is still in the same term and version.
  void sendToCopy(Owner &O, const FolderId &To,
                  std::function<Expected<void>(ShardCopy &)> Effect,
                  std::function<void(const ShardCopy &)> Then);
  bool isNamed(const ShardRecord &Record, const FolderId &Copy) const;

  std::uint32_t Draw = 0;
  ShardRecord StoredRecord;
  /// The records that were or may still be written, by version.
  std::map<Epoch, std::vector<ShardRecord>> PossibleRecords;
  std::map<FolderId, Folder> Folders;
  std::vector<Owner> Owners{3};
  std::vector<Operation> Operations;
  std::vector<Caller> Callers;
  std::deque<Message> InFlight;
  Incarnation Endpoint = 1;
  std::map<std::pair<CallId, std::uint32_t>, std::optional<AttemptResult>>
      Attempts;
  std::map<ProgramId, std::size_t> LastExecuted;
  std::map<ProgramId, TokenCount> TokensUsed;
  std::map<std::pair<ProgramId, std::uint64_t>, Record> AcceptedRecords;
  unsigned NextNumber = 0;
};

} // namespace tamarack::test

#endif // TAMARACK_LEDGER_TEST_OWNERMODEL_H
