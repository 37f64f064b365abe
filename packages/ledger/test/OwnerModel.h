/// A small model of everything around the pure machines: owners, copies, the
/// platform's record, one endpoint and callers. Messages wait in a bag and are
/// delivered in any order, late, twice or not at all.
///
/// A history is a list of numbers; each drives one step. Whatever breaks a
/// promise is added to Violations.
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

/// What one caller wants done, once if it is not repeatable.
struct Operation {
  CallRequest Request;
  std::string Tag;
  unsigned Executions = 0;
};

struct Caller {
  unsigned Ticket = 0;
  /// It was told that the operation has not run, and has not asked again.
  bool ToldNotRun = false;
  std::optional<AttemptResult> Told;
};

enum class Stage { Appending, Ready, Sent, Recording, Joined, Confirming };

struct Job {
  std::optional<std::size_t> Operation;
  unsigned Ticket = 0;
  Stage At = Stage::Appending;
  ProgramId Program;
  Intent Sent;
  std::set<FolderId> Confirmed;
};

struct PendingAppends {
  std::deque<Record> Records;
  std::set<FolderId> Accepted;
};

enum class Phase {
  Idle,
  Taking,
  Sealing,
  Repairing,
  Filling,
  Changing,
  Resealing,
  Serving
};

struct Owner {
  Phase Now = Phase::Idle;
  /// Grows whenever the owner forgets everything.
  unsigned Term = 0;
  ShardRecord Mine, Wanted;
  std::map<FolderId, Logs> Sealed;
  std::optional<CopyLocation> Learner;
  std::map<std::pair<FolderId, ProgramId>, Install> Outstanding;
  Logs Agreed;
  std::map<ProgramId, ProgramTree> Families;
  std::map<ProgramId, PendingAppends> Pending;
  std::map<unsigned, Job> Jobs;
};

struct Coverage {
  unsigned Takeovers = 0, Executions = 0, NotRun = 0, Fenced = 0, Unknown = 0,
           Repairs = 0, Refills = 0, Joined = 0, Stored = 0, Voided = 0,
           LostFolders = 0;
};

class World {
public:
  World();
  /// Does one step drawn by \p Draw.
  void step(std::uint32_t Draw);
  /// Ends all faults, lets one owner take over and checks what is left.
  void heal();

  std::vector<std::string> Violations;
  Coverage Seen;

private:
  using Message = std::function<void(bool AnswerLost)>;

  void require(bool Holds, const std::string &Promise);
  std::uint32_t pick(std::uint32_t Below);
  Owner &pickOwner();
  std::size_t pickOperation();
  void deliver();
  void ask(std::size_t Operation, Owner &To);
  void fault();
  void loseFolder();

  void act(Owner &O);
  void forget(Owner &O);
  bool isLed() const;
  void giveUp(Owner &O);
  void startTakeover(Owner &O);
  void compareAndSwap(Owner &O);
  void readBack(Owner &O);
  void sealCopy(Owner &O, const FolderId &Copy);
  void sealNamed(Owner &O);
  void settleAll(Owner &O);
  void installOutstanding(Owner &O);
  std::vector<CopyLocation> sealedOf(const Owner &O) const;
  void afterInstalls(Owner &O);
  void changeCopies(Owner &O, std::vector<CopyLocation> Copies);
  void refill(Owner &O);
  void dropCopy(Owner &O, std::size_t Index);
  void serve(Owner &O);
  void pushAppends(Owner &O);
  void accepted(Owner &O, const ProgramId &Root, const FolderId &By);
  void applied(Owner &O, const Record &Entry);
  void workOn(Owner &O, unsigned Number);
  void sendOut(Owner &O, unsigned Number);
  void askEndpoint(Owner &O, unsigned Number);
  void confirm(Owner &O, unsigned Number);
  void answered(Owner &O, unsigned Number, AttemptResult Answer);
  AttemptResult execute(const ProgramId &Program, const Intent &Sent);
  void tell(const Job &To, const AttemptResult &Answer);
  void tellNotRun(const Job &To);
  void checkFamily(const ProgramTree &Now);
  void checkTold(const Owner &O);
  void checkAgreed(const ProgramId &Root, std::uint64_t Index,
                   const Record &Entry);
  /// Sends a message to a copy that is lost when the copy cannot be reached;
  /// the answer reaches the owner if it has not moved on since.
  void send(Owner &O, const FolderId &To,
            std::function<Expected<void>(ShardCopy &)> Effect,
            std::function<void(const ShardCopy &)> Then);
  bool names(const ShardRecord &Record, const FolderId &Copy) const;

  std::uint32_t Draw = 0;
  ShardRecord Platform;
  /// Every record that was written or may yet be, by its version.
  std::map<Epoch, std::vector<ShardRecord>> Written;
  std::map<FolderId, Folder> Folders;
  std::vector<Owner> Owners{3};
  std::vector<Operation> Operations;
  std::vector<Caller> Callers;
  std::deque<Message> Bag;
  Incarnation Endpoint = 1;
  std::map<std::pair<CallId, std::uint32_t>, std::optional<AttemptResult>>
      Attempts;
  std::map<ProgramId, std::size_t> LastExecuted;
  std::map<ProgramId, TokenCount> TokensUsed;
  std::map<std::pair<ProgramId, std::uint64_t>, Record> Agreed;
  unsigned NextNumber = 0;
};

} // namespace tamarack::test

#endif // TAMARACK_LEDGER_TEST_OWNERMODEL_H
