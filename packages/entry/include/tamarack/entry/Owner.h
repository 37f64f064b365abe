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

#include <memory>

namespace tamarack {

struct OwnerSettings {
  std::uint32_t ShardCount = 64;
  /// Entries that an order may pass on its way to the owner.
  std::uint32_t MaxHops = 3;
  /// Attempts of one repeatable call.
  std::uint32_t MaxAttempts = 3;
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
  std::uint64_t Retried = 0;
  std::uint64_t OutcomesUnknown = 0;
  std::map<ErrorKind, std::uint64_t> Refused;
};

/// The outcome of locating a program: the answer, or the entry to ask.
struct OwnerElsewhere {
  InstanceId Instance;
};

class Owner {
public:
  /// \p Fresh gives a text that was never used; \p Draw an even random number.
  Owner(ShardTable &Shards, EndpointAccess &Endpoints, Directory &Peers,
        const Clock &Time, OwnerSettings Settings,
        std::function<std::string()> Fresh,
        std::function<std::uint64_t()> Draw);
  ~Owner();

  /// Finds the entry that serves \p Program: nothing when it is this one.
  Expected<std::optional<InstanceId>> elsewhere(const ProgramId &Program,
                                                std::uint32_t Hops);

  /// Serves a call of a program that is owned here.
  Expected<CallReply> call(const CallOrder &Order, const PartSink &OnPart);
  Expected<ProgramReport> program(const ProgramOrder &Order);

  OwnerCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace tamarack

#endif // TAMARACK_ENTRY_OWNER_H
