/// The process beside an endpoint: the only way to it.
///
/// Orders wait in the admission queue, every attempt is entered in the attempt
/// table before a byte of it leaves, and questions after attempts are answered
/// from that table. Decisions are those of the gate package; this class holds
/// their state and carries out their actions.
#ifndef TAMARACK_DAEMON_ENDPOINTGATE_H
#define TAMARACK_DAEMON_ENDPOINTGATE_H

#include "CacheKeeper.h"
#include "EndpointClient.h"
#include "tamarack/gate/Admission.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace tamarack {
namespace internal {

struct GateCounts {
  std::uint64_t Executed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Voided = 0;
  std::uint64_t CacheReleased = 0;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
};

class EndpointGate {
public:
  EndpointGate(EndpointSettings Endpoint, Incarnation Life,
               AdmissionLimits Limits, const Clock &Time, OwnerQuestion Ask);
  ~EndpointGate();

  Expected<ExecuteReply>
  execute(const ExecuteRequest &Order,
          const std::function<bool(const CallPart &)> &Part);
  AttemptStatus ask(const AttemptStatusRequest &Order);
  void release(const ReleaseRequest &Order);

  EndpointLoad load() const;
  GateCounts counts() const;
  /// Takes no new work from here on.
  void drain();
  /// Whether every admitted call has ended.
  bool isDrained() const;

private:
  /// What a thread that waits for its attempt is told.
  struct Ticket {
    std::optional<Error> Refused;
    bool Started = false;
  };

  void carryOut(const AdmissionActions &Actions);
  Expected<void> await(const ExecuteRequest &Order,
                       std::unique_lock<std::mutex> &Lock);
  Expected<ExecuteReply>
  send(const ExecuteRequest &Order,
       const std::function<bool(const CallPart &)> &Part);
  void finish(const AttemptId &Id, const Expected<ExecuteReply> &Answer);
  void keepHouse();

  EndpointClient Client;
  const Clock &Time;
  /// Null beside plain services, which hold no cache.
  std::unique_ptr<CacheKeeper> Cache;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  AttemptTable Attempts;
  AdmissionState Admission;
  std::map<AttemptId, Ticket> Tickets;
  GateCounts Counts;
  bool Stopping = false;
  std::thread Housekeeper;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_ENDPOINTGATE_H
