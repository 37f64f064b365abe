/// The call path of the entry that owns a program: sequence, send, answer.
///
///   Owner Programs(Shards, Endpoints, Peers, Time, Settings, Fresh);
///   Expected<CallReply> Reply = Programs.call(Order, [](const CallPart &Part)
///   {
///     Stream.write(Part.Chunk);
///   });
///
/// An intent is on every copy before anything is sent to an endpoint, and the
/// result is on every copy before call() returns. The same request again joins
/// the running call or gets the stored answer. An error that says not run is
/// proved; OutcomeUnknown is final and repeated.
#ifndef TAMARACK_ENTRY_OWNER_H
#define TAMARACK_ENTRY_OWNER_H

#include "tamarack/base/Clock.h"
#include "tamarack/entry/ShardTable.h"
#include "tamarack/routing/RetryBudget.h"

#include <memory>

namespace tamarack {

struct OwnerSettings {
  std::uint32_t ShardCount = 64;
  /// Entries that an order may pass on its way to the owner.
  std::uint32_t MaxHops = 3;
  RetryLimits Retries;
  /// How long to wait between questions after an attempt that still runs.
  Duration AskEvery = std::chrono::milliseconds(200);
  CostModel Costs;
};

/// Counts of the call path by what happened, for metrics and bounds.
struct OwnerCounts {
  std::uint64_t Started = 0;
  std::uint64_t Joined = 0;
  std::uint64_t Stored = 0;
  std::uint64_t Waited = 0;
  std::uint64_t Asked = 0;
  std::map<RetryReason, std::uint64_t> Retried;
  std::map<GiveUpReason, std::uint64_t> GaveUp;
  std::uint64_t OutcomesUnknown = 0;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
  /// Tokens of a history that the endpoint had to prefill again.
  TokenCount PrefilledAgain = 0;
  std::map<ErrorKind, std::uint64_t> Refused;
};

struct TracedCandidate {
  EndpointId Endpoint;
  Duration Wait{0};
  Duration Cost{0};
  TokenCount Cached = 0;
  bool Chosen = false;
  std::string Reason;
};

struct TracedAttempt {
  std::uint32_t Number = 0;
  EndpointId Endpoint;
  /// "answered" or the name of the error kind.
  std::string Outcome;
};

/// Why a call went where it did, or was refused. The last ones are kept.
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
  /// \p Fresh gives a text that was never used; \p Draw an even random number.
  Owner(ShardTable &Shards, EndpointAccess &Endpoints, MemberDirectory &Peers,
        const Clock &Time, OwnerSettings Settings,
        std::function<std::string()> Fresh,
        std::function<std::uint64_t()> Draw);
  ~Owner();

  /// Finds the entry that serves \p Program: nothing when it is this one.
  Expected<std::optional<InstanceId>> findOtherOwner(const ProgramId &Program,
                                                     std::uint32_t Hops);

  /// Serves a call of a program that is owned here.
  Expected<CallReply> call(const SubmitCallRequest &Order,
                           const PartSink &OnPart);
  Expected<ProgramReport> program(const ProgramRequest &Order);
  /// Whether \p Program has begun, has not ended, and was used within
  /// \p IdleLimit. A program that died between its turns is so recognised.
  Expected<bool> isAlive(const ProgramId &Program, Duration IdleLimit);

  /// Calls that are being served here.
  std::size_t running() const;
  OwnerCounts counts() const;
  /// The trace of \p Call, or of the last call of \p Program when there is no
  /// such call; nothing when neither is remembered.
  std::optional<CallTrace> trace(const CallId &Call,
                                 const ProgramId &Program) const;

  /// The units of this package share it; it is of no use to others.
  struct Impl;

private:
  std::unique_ptr<Impl> State;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_OWNER_H
