/// The waiting and running calls of an AdmissionState: entering, leaving, and
/// the choice of the next call to start.
#ifndef TAMARACK_GATE_SRC_ADMISSIONQUEUE_H
#define TAMARACK_GATE_SRC_ADMISSIONQUEUE_H

#include "tamarack/gate/Admission.h"

namespace tamarack::internal {

std::size_t waitingCallCount(const AdmissionState &State);
/// How many calls may wait when one of \p Class comes; lower classes leave
/// room for the higher ones.
std::size_t maxQueueLength(const AdmissionState &State, CallClass Class);
/// The running calls reserved for \p Class under the present limit.
std::size_t reservedSlots(const AdmissionState &State, CallClass Class);
/// The engine memory that \p Call takes at most.
TokenCount worstCaseTokens(const QueuedCall &Call);

bool isWaitingOrRunning(const AdmissionState &State, const AttemptId &Id);
void enqueue(AdmissionState &State, const QueuedCall &Call);
/// Takes \p Id out of the queue; nothing when it does not wait.
std::optional<QueuedCall> dequeue(AdmissionState &State, const AttemptId &Id);
/// Empties the queue.
std::vector<QueuedCall> dequeueAll(AdmissionState &State);

/// Whether a call of \p Class could start at once if none waited before it.
bool hasFreeSlot(const AdmissionState &State, CallClass Class);
bool fitsMemory(const AdmissionState &State, const QueuedCall &Call);
/// Whether the calls already sent leave the engine time to prefill \p Call.
bool fitsPrefillBacklog(const AdmissionState &State, const QueuedCall &Call);
/// Whether \p Call may begin a program without evicting caches of others that
/// are expected back.
bool fitsWorkingSet(const AdmissionState &State, const QueuedCall &Call,
                    TimePoint Now);
/// The attempt to start next; nothing when none may start now.
std::optional<AttemptId> nextCall(const AdmissionState &State, TimePoint Now);
void startCall(AdmissionState &State, const AttemptId &Id, TimePoint Now);
/// Notes the first token; false when it was noted before.
bool recordFirstToken(AdmissionState &State, RunningCall &Call);
std::optional<RunningCall> endCall(AdmissionState &State, const AttemptId &Id);

} // namespace tamarack::internal

#endif // TAMARACK_GATE_SRC_ADMISSIONQUEUE_H
