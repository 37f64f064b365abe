/// Serves the calls of the programs that this entry owns.
///
///   Owner Programs(Shards, Endpoints, Peers, Time, Settings, NewId,
///                  NextRandom);
///   Expected<CallReply> Reply = Programs.call(Request, OnPart);
///
/// The intent is written to every copy before an attempt is sent to an
/// endpoint, and the result is written to every copy before call() returns. A
/// repeated request joins the running call or gets the stored answer. An error
/// with NotRun::Proved guarantees that the call did not run. OutcomeUnknown is
/// final: repeating the request returns it again.
#ifndef TAMARACK_ENTRY_OWNER_H
#define TAMARACK_ENTRY_OWNER_H

#include "tamarack/base/Clock.h"
#include "tamarack/entry/ShardTable.h"
#include "tamarack/routing/RetryBudget.h"

#include <memory>

namespace tamarack {

struct OwnerSettings {
  std::uint32_t ShardCount = 64;
  /// The number of entries that a request may pass on its way to the owner.
  std::uint32_t MaxHops = 3;
  RetryLimits Retries;
  /// The interval between queries for the status of a running attempt.
  Duration StatusPollInterval = std::chrono::milliseconds(200);
  CostModel Costs;
};

/// Counters of the calls served by an owner, for metrics and tests.
struct OwnerCounts {
  /// Attempts sent to endpoints.
  std::uint64_t Started = 0;
  /// Waits of a repeated request for its running call.
  std::uint64_t Joined = 0;
  /// Answers repeated from the log.
  std::uint64_t Stored = 0;
  /// Waits for an earlier call of the program.
  std::uint64_t Waited = 0;
  /// Queries for the status of an attempt.
  std::uint64_t Asked = 0;
  std::map<RetryReason, std::uint64_t> Retried;
  std::map<GiveUpReason, std::uint64_t> GaveUp;
  std::uint64_t OutcomesUnknown = 0;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
  /// History tokens that an endpoint had to prefill again.
  TokenCount PrefilledAgain = 0;
  std::map<ErrorKind, std::uint64_t> Refused;
};

/// An endpoint considered for a call.
struct TracedCandidate {
  EndpointId Endpoint;
  Duration Wait{0};
  Duration Cost{0};
  TokenCount Cached = 0;
  bool Chosen = false;
  std::string Reason;
};

/// An attempt of a call.
struct TracedAttempt {
  std::uint32_t Number = 0;
  EndpointId Endpoint;
  /// "answered" or the name of the error kind.
  std::string Outcome;
};

/// Explains which endpoint was chosen for a call, or why it was refused. Only
/// the most recent traces are kept.
struct CallTrace {
  CallId Call;
  ProgramId Program;
  CustomerId Customer;
  CallClass Class = CallClass::Normal;
  std::string Reason;
  std::optional<Error> Refusal;
  std::vector<TracedCandidate> Candidates;
  std::vector<TracedAttempt> Attempts;
};

class Owner {
public:
  /// \p NewId returns a unique text, \p NextRandom a uniformly distributed
  /// random number.
  Owner(ShardTable &Shards, EndpointAccess &Endpoints, MemberDirectory &Peers,
        const Clock &Time, OwnerSettings Settings,
        std::function<std::string()> NewId,
        std::function<std::uint64_t()> NextRandom);
  ~Owner();

  /// Finds the entry that serves \p Program; nothing when it is this one.
  /// OwnerUnavailable after MaxHops hops, besides the errors of
  /// ShardTable::locate().
  Expected<std::optional<InstanceId>> findOtherOwner(const ProgramId &Program,
                                                     std::uint32_t Hops);

  /// Serves a call of a program that this entry owns. Passes the parts of a
  /// streamed answer to \p OnPart.
  Expected<CallReply> call(const SubmitCallRequest &Request,
                           const PartSink &OnPart);
  Expected<ProgramReport> program(const ProgramRequest &Request);
  /// Whether \p Program exists, has not ended, and was used within
  /// \p IdleLimit. The limit detects programs that crashed between two turns.
  Expected<bool> isAlive(const ProgramId &Program, Duration IdleLimit);

  /// The number of calls in progress.
  std::size_t running() const;
  OwnerCounts counts() const;
  /// The trace of \p Call, or else of the last call of \p Program; nothing when
  /// neither is kept.
  std::optional<CallTrace> trace(const CallId &Call,
                                 const ProgramId &Program) const;

  /// Shared by the source files of this package; not for use by others.
  struct Impl;

private:
  std::unique_ptr<Impl> State;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_OWNER_H
