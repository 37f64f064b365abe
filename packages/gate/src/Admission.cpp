#include "tamarack/gate/Admission.h"

#include "AdmissionEstimate.h"
#include "AdmissionQueue.h"

#include <algorithm>

namespace tamarack {

namespace {

std::string millisecondsText(Duration Time) {
  return std::to_string(Time.count() / 1000) + " ms";
}

RefuseCall makeRefusal(const QueuedCall &Call, ErrorKind Kind,
                       std::string Message,
                       std::optional<std::chrono::seconds> RetryAfter = {}) {
  return {Call.Id, Error{Kind, std::move(Message), NotRun::Proved, RetryAfter}};
}

/// The refusal of \p Call if it must not be queued.
std::optional<RefuseCall> refuseIfInadmissible(const AdmissionState &State,
                                               const QueuedCall &Call,
                                               TimePoint Now) {
  if (State.Draining)
    return makeRefusal(Call, ErrorKind::Leaving, "the endpoint is draining");
  if (internal::worstCaseTokens(Call) > State.Limits.MemoryTokens)
    return makeRefusal(Call, ErrorKind::LimitReached,
                       "the call needs memory for " +
                           std::to_string(internal::worstCaseTokens(Call)) +
                           " tokens, but the endpoint has memory for " +
                           std::to_string(State.Limits.MemoryTokens));
  const Duration Wait = expectedWait(State, Call.Class);
  const auto RetryAfter = internal::retryDelay(Wait, Call.Id.Program);
  if (Now + Wait + expectedService(State, Call) > Call.Deadline)
    return makeRefusal(
        Call, ErrorKind::DeadlineUnreachable,
        "the answer cannot be complete before the call's deadline", RetryAfter);
  if (internal::waitingCallCount(State) >=
      internal::maxQueueLength(State, Call.Class))
    return makeRefusal(
        Call, ErrorKind::Overloaded,
        "the queue has reached the limit of " +
            std::to_string(internal::maxQueueLength(State, Call.Class)) +
            " waiting calls for this class",
        RetryAfter);
  if (Call.AttainedService == 0 &&
      Wait > State.Limits.MaxNewProgramWait[Call.Class])
    return makeRefusal(
        Call, ErrorKind::Overloaded,
        "the expected wait of " + millisecondsText(Wait) +
            " exceeds the limit of " +
            millisecondsText(State.Limits.MaxNewProgramWait[Call.Class]) +
            " for a new program",
        RetryAfter);
  return std::nullopt;
}

/// The refusal of \p Call if it would start a new program and the started
/// programs leave no memory for it.
std::optional<RefuseCall>
refuseForMemory(AdmissionState &State, const QueuedCall &Call, TimePoint Now) {
  if (Call.AttainedService != 0 || internal::fitsWorkingSet(State, Call, Now))
    return std::nullopt;
  State.LastMemoryRefusal[Call.Class] = Now;
  const Duration Wait = expectedWait(State, Call.Class);
  return makeRefusal(Call, ErrorKind::Overloaded,
                     "the started programs leave no memory for a new program",
                     internal::retryDelay(Wait, Call.Id.Program));
}

AdmissionActions startWaitingCalls(AdmissionState &State, TimePoint Now) {
  AdmissionActions Actions;
  while (std::optional<AttemptId> Next = internal::nextCall(State, Now)) {
    internal::startCall(State, *Next, Now);
    Actions.push_back(SendCall{*Next});
  }
  return Actions;
}

std::vector<QueuedCall> callsMissingDeadline(const AdmissionState &State,
                                             TimePoint Now) {
  std::vector<QueuedCall> Calls;
  for (CallClass Class : AllClasses) {
    for (const WaitingCall &Entry : State.Waiting[Class]) {
      if (Now + Entry.Work > Entry.Call.Deadline)
        Calls.push_back(Entry.Call);
    }
  }
  return Calls;
}

} // namespace

AdmissionState::AdmissionState(AdmissionLimits Limits)
    : Limits(Limits), RunningLimit(std::clamp(
                          Limits.InitialRunningLimit, Limits.MinRunningLimit,
                          std::max(Limits.MinRunningLimit, Limits.MaxBatch))),
      Estimate(internal::initialEstimate(Limits)) {}

AdmissionActions onArrival(AdmissionState &State, const QueuedCall &Call,
                           TimePoint Now) {
  if (internal::isWaitingOrRunning(State, Call.Id))
    return {
        RefuseCall{Call.Id, Error{ErrorKind::Fenced,
                                  "the attempt is already waiting or running",
                                  NotRun::Unproved, std::nullopt}}};
  if (auto Refused = refuseIfInadmissible(State, Call, Now))
    return {*Refused};
  if (auto Refused = refuseForMemory(State, Call, Now))
    return {*Refused};
  internal::enqueue(State, Call);
  return startWaitingCalls(State, Now);
}

AdmissionActions onFirstToken(AdmissionState &State, const AttemptId &Id,
                              TimePoint Now) {
  auto Found = State.Running.find(Id);
  if (Found == State.Running.end() ||
      !internal::recordFirstToken(State, Found->second))
    return {};
  // Otherwise the time includes the prefill of other calls.
  if (Found->second.PrefilledAlone)
    internal::learnPrefill(State.Estimate, Found->second.Call,
                           Now - Found->second.StartTime);
  return startWaitingCalls(State, Now);
}

void onPausedTokens(AdmissionState &State, const PerClass<TokenCount> &Tokens) {
  State.PausedTokens = Tokens;
}

AdmissionActions onTokenInterval(AdmissionState &State, Duration Interval,
                                 TimePoint Now) {
  internal::learnTokenInterval(State.Estimate, Interval);
  const std::size_t PreviousLimit = State.RunningLimit;
  internal::adjustRunningLimit(State, Interval);
  if (State.RunningLimit <= PreviousLimit)
    return {};
  return startWaitingCalls(State, Now);
}

AdmissionActions onFinished(AdmissionState &State, const AttemptId &Id,
                            TokenCount Produced, TimePoint Now) {
  if (auto Ended = internal::endCall(State, Id))
    internal::learnService(State.Estimate, *Ended, Produced, Now);
  return startWaitingCalls(State, Now);
}

AdmissionActions onTick(AdmissionState &State, TimePoint Now) {
  AdmissionActions Actions;
  for (const QueuedCall &Call : callsMissingDeadline(State, Now)) {
    internal::dequeue(State, Call.Id);
    const Duration Wait = expectedWait(State, Call.Class);
    Actions.push_back(
        makeRefusal(Call, ErrorKind::DeadlineUnreachable,
                    "the answer cannot be complete before the call's deadline",
                    internal::retryDelay(Wait, Call.Id.Program)));
  }
  for (AdmissionAction &Action : startWaitingCalls(State, Now))
    Actions.push_back(std::move(Action));
  return Actions;
}

AdmissionActions onCancel(AdmissionState &State, const AttemptId &Id,
                          TimePoint Now) {
  if (State.Running.count(Id) != 0)
    return {CancelCall{Id}};
  AdmissionActions Actions;
  if (auto Call = internal::dequeue(State, Id))
    Actions.push_back(
        makeRefusal(*Call, ErrorKind::LinkLost, "the caller has disconnected"));
  for (AdmissionAction &Action : startWaitingCalls(State, Now))
    Actions.push_back(std::move(Action));
  return Actions;
}

AdmissionActions onDrain(AdmissionState &State, TimePoint) {
  State.Draining = true;
  AdmissionActions Actions;
  for (const QueuedCall &Call : internal::dequeueAll(State))
    Actions.push_back(
        makeRefusal(Call, ErrorKind::Leaving, "the endpoint is draining"));
  return Actions;
}

bool isDrained(const AdmissionState &State) {
  return State.Draining && State.Running.empty();
}

QueueReport report(const AdmissionState &State) {
  QueueReport Report;
  Report.Running = State.Running.size();
  Report.RunningLimit = State.RunningLimit;
  Report.Waiting = internal::waitingCallCount(State);
  for (CallClass Class : AllClasses)
    Report.ExpectedWait[Class] = expectedWait(State, Class);
  Report.FreeTokens = State.Limits.MemoryTokens - State.ReservedTokens;
  Report.Draining = State.Draining;
  return Report;
}

} // namespace tamarack
