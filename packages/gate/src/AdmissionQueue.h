/// The waiting and running calls of an AdmissionState: adding and removing
/// calls, and choosing the next call to start.
#ifndef TAMARACK_GATE_SRC_ADMISSIONQUEUE_H
#define TAMARACK_GATE_SRC_ADMISSIONQUEUE_H

#include "tamarack/gate/Admission.h"

namespace tamarack::internal {

std::size_t waitingCallCount(const AdmissionState &State);
/// The queue length at which a call of \p Class is refused. It is smaller for
/// lower classes, which leave room for the higher ones.
std::size_t maxQueueLength(const AdmissionState &State, CallClass Class);
/// The number of running calls reserved for \p Class at the present
/// RunningLimit.
std::size_t reservedSlots(const AdmissionState &State, CallClass Class);
/// The engine memory in tokens that \p Call needs at most.
TokenCount worstCaseTokens(const QueuedCall &Call);

bool isWaitingOrRunning(const AdmissionState &State, const AttemptId &Id);
void enqueue(AdmissionState &State, const QueuedCall &Call);
/// Removes \p Id from the queue. Returns nothing if it was not waiting.
std::optional<QueuedCall> dequeue(AdmissionState &State, const AttemptId &Id);
/// Removes all calls from the queue.
std::vector<QueuedCall> dequeueAll(AdmissionState &State);

/// Whether a slot is free for a call of \p Class, regardless of waiting calls.
bool hasFreeSlot(const AdmissionState &State, CallClass Class);
/// Whether the free memory suffices for \p Call.
bool fitsMemory(const AdmissionState &State, const QueuedCall &Call);
/// Whether \p Call can start without exceeding MaxPrefillBacklog.
bool fitsPrefillBacklog(const AdmissionState &State, const QueuedCall &Call);
/// Whether \p Call can start a new program without evicting the caches of
/// programs that are expected to return.
bool fitsWorkingSet(const AdmissionState &State, const QueuedCall &Call,
                    TimePoint Now);
/// The attempt to start next, or nothing if none can be started now.
std::optional<AttemptId> nextCall(const AdmissionState &State, TimePoint Now);
void startCall(AdmissionState &State, const AttemptId &Id, TimePoint Now);
/// Records the first token. Returns false if it was already recorded.
bool recordFirstToken(AdmissionState &State, RunningCall &Call);
std::optional<RunningCall> endCall(AdmissionState &State, const AttemptId &Id);

} // namespace tamarack::internal

#endif // TAMARACK_GATE_SRC_ADMISSIONQUEUE_H
