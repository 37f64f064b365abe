/// The parts of Owner that its units share.
#ifndef TAMARACK_ENTRY_OWNERIMPL_H
#define TAMARACK_ENTRY_OWNERIMPL_H

#include "Prompt.h"
#include "tamarack/entry/Owner.h"

#include <atomic>
#include <deque>
#include <set>

namespace tamarack {

using FamilyLock = std::unique_lock<std::mutex>;

/// A root program as it is served right now.
struct ServedFamily {
  std::shared_ptr<OwnedShard> Shard;
  std::shared_ptr<OwnedFamily> Held;
};

/// The attempt that a decision to start has led to.
struct OpenAttempt {
  AttemptId Id;
  InstanceId Instance;
  Intent Sent;
};

struct Owner::Impl {
  Impl(ShardTable &Shards, EndpointAccess &Endpoints, MemberDirectory &Peers,
       const Clock &Time, OwnerSettings Settings,
       std::function<std::string()> Fresh, std::function<std::uint64_t()> Draw);

  Expected<CallReply> serveCall(const SubmitCallRequest &Order,
                                const PartSink &OnPart, CallTrace &Trace);
  Expected<ServedFamily> serve(const ProgramId &Program);
  std::int64_t nowMs() const;

  /// Appends records at every copy and applies them. The caller holds the
  /// family's mutex.
  Expected<void> record(const ServedFamily &Where,
                        const std::vector<Record> &Records);

  /// Settles attempts that were left open by an earlier owner or by a lost
  /// link, as far as their endpoints can tell. Unlocks while it asks.
  void resolveOpen(const ServedFamily &Where, FamilyLock &Lock);
  /// Asks after one attempt. Nothing when it still runs or nobody can tell yet.
  std::optional<AttemptResult> askAfter(const AttemptId &Id,
                                        const Intent &Sent);

  /// Chooses an endpoint and writes the intent.
  Expected<OpenAttempt>
  openAttempt(const ServedFamily &Where, const SubmitCallRequest &Order,
              const CallRequest &Request, const StartCall &Start,
              const std::vector<EndpointId> &Tried, CallTrace &Trace);
  /// Sends an attempt and gives its result, whatever it takes to learn it.
  AttemptResult runAttempt(const OpenAttempt &Attempt,
                           const ExecuteRequest &Execute,
                           const PartSink &OnPart, TimePoint Deadline);
  AttemptResult resultOf(const OpenAttempt &Attempt,
                         const Expected<ExecuteReply> &Answer) const;
  /// Writes the result of an attempt, under whichever epoch the shard is held.
  /// Returns the result that the caller may be told.
  Expected<AttemptResult> settle(const OpenAttempt &Attempt,
                                 const AttemptResult &Done, TimePoint Deadline);

  Expected<CallReply> start(const ServedFamily &Where, FamilyLock &Lock,
                            const SubmitCallRequest &Order,
                            const CallRequest &Request, const StartCall &Start,
                            const PartSink &OnPart,
                            std::vector<EndpointId> &Tried, CallTrace &Trace,
                            TimePoint Deadline);
  void countUse(TokenCount HistoryBefore, const TokenUsage &Use);
  void remember(CallTrace Trace);
  Expected<CallReply> refused(const Error &Why);
  /// Whether a failed attempt is made again: waits as long as it should, or
  /// gives the final error.
  Expected<void> mayRetry(const SubmitCallRequest &Order, const Error &Failure,
                          std::vector<EndpointId> &Tried, unsigned Attempts,
                          TimePoint Deadline);
  /// \p Why if its proof still holds, else that the shard was lost.
  Error confirmed(const ServedFamily &Where, const Error &Why);

  /// Ends a program and frees its engine memory.
  Expected<void> end(const ServedFamily &Where, const ProgramId &Program);
  void releaseEverywhere(const ProgramTree &Now);

  bool isLocal(const AttemptId &Id);

  ShardTable &Shards;
  EndpointAccess &Endpoints;
  MemberDirectory &Peers;
  const Clock &Time;
  const OwnerSettings Settings;
  const std::function<std::string()> Fresh;
  const std::function<std::uint64_t()> Draw;

  std::atomic<std::size_t> Running{0};
  mutable std::mutex Mutex;
  /// Newest last, bounded.
  std::deque<CallTrace> Traces;
  /// Attempts that a thread of this process is waiting for.
  std::set<AttemptId> Local;
  OwnerCounts Counts;
  RetryBudgets Budgets;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_OWNERIMPL_H
