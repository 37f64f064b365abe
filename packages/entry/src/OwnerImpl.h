/// The implementation of Owner, shared by its source files.
#ifndef TAMARACK_ENTRY_OWNERIMPL_H
#define TAMARACK_ENTRY_OWNERIMPL_H

#include "Prompt.h"
#include "tamarack/entry/Owner.h"

#include <atomic>
#include <deque>
#include <set>

namespace tamarack {

using TreeLock = std::unique_lock<std::mutex>;

/// A root program and the owned shard that holds it.
struct ServedProgramTree {
  std::shared_ptr<OwnedShard> Shard;
  std::shared_ptr<OwnedProgramTree> Tree;
};

/// An attempt whose intent has been written.
struct OpenAttempt {
  AttemptId Id;
  InstanceId Instance;
  Intent Sent;
};

struct Owner::Impl {
  Impl(ShardTable &Shards, EndpointAccess &Endpoints, MemberDirectory &Peers,
       const Clock &Time, OwnerSettings Settings,
       std::function<std::string()> NewId,
       std::function<std::uint64_t()> NextRandom);

  Expected<CallReply> serveCall(const SubmitCallRequest &Incoming,
                                const PartSink &OnPart, CallTrace &Trace);
  Expected<ServedProgramTree> findServedTree(const ProgramId &Program);
  std::int64_t nowMs() const;

  /// Appends records at every copy and applies them. The caller holds the
  /// mutex of the tree.
  Expected<void> appendRecords(const ServedProgramTree &Served,
                               const std::vector<Record> &Records);

  /// Records the results of attempts left open by an earlier owner or a lost
  /// link, as far as their endpoints can report them. Releases \p Lock while it
  /// queries the endpoints.
  void resolveOpenAttempts(const ServedProgramTree &Served, TreeLock &Lock);
  /// Queries the result of an attempt; nothing while it runs or the endpoint
  /// cannot be reached.
  std::optional<AttemptResult> queryResult(const AttemptId &Id,
                                           const Intent &Sent);

  /// Chooses an endpoint and writes the intent of an attempt.
  Expected<OpenAttempt> openAttempt(const ServedProgramTree &Served,
                                    const SubmitCallRequest &Incoming,
                                    const CallRequest &Request,
                                    const StartCall &Start,
                                    const std::vector<EndpointId> &Tried,
                                    CallTrace &Trace);
  /// Sends an attempt and returns its result. If the answer is lost, queries
  /// the result until \p Deadline.
  AttemptResult runAttempt(const OpenAttempt &Attempt,
                           const ExecuteRequest &Execute,
                           const PartSink &OnPart, TimePoint Deadline);
  AttemptResult resultOf(const OpenAttempt &Attempt,
                         const Expected<ExecuteReply> &Answer) const;
  /// Writes the result of an attempt, also if the shard has been claimed again
  /// at a later epoch. Returns the result to report to the caller. Fenced when
  /// another entry owns the program, NotEnoughCopies when the result cannot be
  /// written.
  Expected<AttemptResult> recordResult(const OpenAttempt &Attempt,
                                       const AttemptResult &Done,
                                       TimePoint Deadline);

  Expected<CallReply> runCall(const ServedProgramTree &Served, TreeLock &Lock,
                              const SubmitCallRequest &Incoming,
                              const CallRequest &Request,
                              const StartCall &Start, const PartSink &OnPart,
                              std::vector<EndpointId> &Tried, CallTrace &Trace,
                              TimePoint Deadline);
  void countTokens(TokenCount HistoryBefore, const TokenUsage &Use);
  void keepTrace(CallTrace Trace);
  Expected<CallReply> countRefusal(const Error &Cause);
  /// Decides whether a failed attempt is retried. Waits for the back-off before
  /// a retry; returns the final error otherwise.
  Expected<void> awaitRetry(const SubmitCallRequest &Incoming,
                            const Error &Failure,
                            std::vector<EndpointId> &Tried, unsigned Attempts,
                            TimePoint Deadline);
  /// Returns \p Cause if it claims no proof or the shard is still owned here,
  /// and Fenced without proof otherwise.
  Error withConfirmedProof(const ServedProgramTree &Served, const Error &Cause);

  /// Records the end of a program and frees its engine memory.
  Expected<void> endProgram(const ServedProgramTree &Served,
                            const ProgramId &Program);
  void releaseEngineMemory(const ProgramTree &Tree);

  bool isLocal(const AttemptId &Id);

  ShardTable &Shards;
  EndpointAccess &Endpoints;
  MemberDirectory &Peers;
  const Clock &Time;
  const OwnerSettings Settings;
  const std::function<std::string()> NewId;
  const std::function<std::uint64_t()> NextRandom;

  std::atomic<std::size_t> Running{0};
  mutable std::mutex Mutex;
  /// The most recent traces, the newest last.
  std::deque<CallTrace> Traces;
  /// Attempts that a thread of this process waits for.
  std::set<AttemptId> LocalAttempts;
  OwnerCounts Counts;
  RetryBudgets Budgets;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_OWNERIMPL_H
