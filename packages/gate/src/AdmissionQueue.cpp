#include "AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace tamarack::internal {

namespace {

/// The sort key of a waiting call; the smallest is started first.
struct Rank {
  /// The class after promotion, where zero is the highest.
  int Level = 0;
  /// The attained service less the discount for waiting; can be negative.
  std::int64_t AttainedService = 0;
  TimePoint ArrivalTime;
  const AttemptId *Id = nullptr;

  bool precedes(const Rank &Other) const {
    return std::tie(Level, AttainedService, ArrivalTime, *Id) <
           std::tie(Other.Level, Other.AttainedService, Other.ArrivalTime,
                    *Other.Id);
  }
};

Rank rankOf(const AdmissionLimits &Limits, const QueuedCall &Call,
            TimePoint Now) {
  const Duration Waited = std::max(Now - Call.ArrivalTime, Duration(0));
  const auto Promotions = Waited / std::max(Limits.AgeingPeriod, Duration(1));
  const auto Level = static_cast<std::int64_t>(Call.Class) - Promotions;
  const auto Seconds = std::chrono::duration<double>(Waited).count();
  const auto Discount = static_cast<std::int64_t>(
      Seconds * static_cast<double>(Limits.AgeingTokensPerSecond));
  return {static_cast<int>(std::max<std::int64_t>(Level, 0)),
          static_cast<std::int64_t>(Call.AttainedService) - Discount,
          Call.ArrivalTime, &Call.Id};
}

/// The number of free slots that are reserved for classes other than \p Class.
std::size_t slotsReservedForOthers(const AdmissionState &State,
                                   CallClass Class) {
  std::size_t Slots = 0;
  for (CallClass Other : AllClasses) {
    const bool Active =
        Other == CallClass::High || !State.Waiting[Other].empty();
    const std::size_t Reserved = reservedSlots(State, Other);
    const std::size_t Used = State.RunningPerClass[Other];
    if (Other != Class && Active && Used < Reserved)
      Slots += Reserved - Used;
  }
  return Slots;
}

const QueuedCall *firstInClass(const AdmissionState &State, CallClass Class,
                               TimePoint Now) {
  const QueuedCall *First = nullptr;
  Rank FirstRank;
  for (const WaitingCall &Entry : State.Waiting[Class]) {
    const Rank EntryRank = rankOf(State.Limits, Entry.Call, Now);
    if (First && !EntryRank.precedes(FirstRank))
      continue;
    First = &Entry.Call;
    FirstRank = EntryRank;
  }
  return First;
}

const QueuedCall *firstByRank(const AdmissionState &State, TimePoint Now) {
  const QueuedCall *First = nullptr;
  for (CallClass Class : AllClasses) {
    if (!hasFreeSlot(State, Class))
      continue;
    const QueuedCall *Candidate = firstInClass(State, Class, Now);
    if (!Candidate)
      continue;
    if (!First || rankOf(State.Limits, *Candidate, Now)
                      .precedes(rankOf(State.Limits, *First, Now)))
      First = Candidate;
  }
  return First;
}

/// The memory in tokens that the started programs of \p Class need so that none
/// of their prompts is prefilled again.
double workingSet(const AdmissionState &State, CallClass Class) {
  return static_cast<double>(State.ReservedTokensPerClass[Class] +
                             State.PausedTokens[Class]);
}

/// Whether a new program of a class above \p Class was refused for lack of
/// memory within PrecedencePeriod, so that it may still retry.
bool isHigherClassPending(const AdmissionState &State, CallClass Class,
                          TimePoint Now) {
  return std::any_of(AllClasses.begin(), AllClasses.end(),
                     [&](CallClass Higher) {
                       const auto &Refused = State.LastMemoryRefusal[Higher];
                       return Higher < Class && Refused &&
                              Now - *Refused < State.Limits.PrecedencePeriod;
                     });
}

auto findWaiting(std::vector<WaitingCall> &Calls, const AttemptId &Id) {
  return std::find_if(
      Calls.begin(), Calls.end(),
      [&](const WaitingCall &Entry) { return Entry.Call.Id == Id; });
}

} // namespace

std::size_t waitingCallCount(const AdmissionState &State) {
  std::size_t Sum = 0;
  for (CallClass Class : AllClasses)
    Sum += State.Waiting[Class].size();
  return Sum;
}

std::size_t maxQueueLength(const AdmissionState &State, CallClass Class) {
  double Share = 1;
  for (CallClass Higher : AllClasses) {
    if (Higher < Class)
      Share -= State.Limits.ReservedShare[Higher];
  }
  const auto Bound = static_cast<double>(State.Limits.MaxQueueLength);
  return static_cast<std::size_t>(std::max(Share, 0.0) * Bound);
}

std::size_t reservedSlots(const AdmissionState &State, CallClass Class) {
  const double Share = State.Limits.ReservedShare[Class];
  if (Share <= 0)
    return 0;
  const double Calls = Share * static_cast<double>(State.RunningLimit);
  return std::max<std::size_t>(1, std::lround(Calls));
}

TokenCount worstCaseTokens(const QueuedCall &Call) {
  return Call.PromptTokens + Call.MaxTokens;
}

bool isWaitingOrRunning(const AdmissionState &State, const AttemptId &Id) {
  if (State.Running.count(Id) != 0)
    return true;
  return std::any_of(AllClasses.begin(), AllClasses.end(),
                     [&](CallClass Class) {
                       const auto &Calls = State.Waiting[Class];
                       return std::any_of(Calls.begin(), Calls.end(),
                                          [&](const WaitingCall &Entry) {
                                            return Entry.Call.Id == Id;
                                          });
                     });
}

void enqueue(AdmissionState &State, const QueuedCall &Call) {
  const Duration Work = expectedService(State, Call);
  const Duration Prefill = expectedPrefill(State, Call);
  State.Waiting[Call.Class].push_back({Call, Work, Prefill});
  State.WaitingWork[Call.Class] += Work;
  State.WaitingPrefill[Call.Class] += Prefill;
}

std::optional<QueuedCall> dequeue(AdmissionState &State, const AttemptId &Id) {
  for (CallClass Class : AllClasses) {
    auto &Calls = State.Waiting[Class];
    auto Found = findWaiting(Calls, Id);
    if (Found == Calls.end())
      continue;
    QueuedCall Call = std::move(Found->Call);
    State.WaitingWork[Class] -= Found->Work;
    State.WaitingPrefill[Class] -= Found->Prefill;
    Calls.erase(Found);
    return Call;
  }
  return std::nullopt;
}

std::vector<QueuedCall> dequeueAll(AdmissionState &State) {
  std::vector<QueuedCall> Calls;
  for (CallClass Class : AllClasses) {
    for (WaitingCall &Entry : State.Waiting[Class])
      Calls.push_back(std::move(Entry.Call));
    State.Waiting[Class].clear();
    State.WaitingWork[Class] = Duration(0);
    State.WaitingPrefill[Class] = Duration(0);
  }
  return Calls;
}

bool hasFreeSlot(const AdmissionState &State, CallClass Class) {
  const std::size_t Taken =
      State.Running.size() + slotsReservedForOthers(State, Class);
  return Taken < State.RunningLimit;
}

bool fitsMemory(const AdmissionState &State, const QueuedCall &Call) {
  return State.ReservedTokens + worstCaseTokens(Call) <=
         State.Limits.MemoryTokens;
}

bool fitsPrefillBacklog(const AdmissionState &State, const QueuedCall &Call) {
  const Duration Bound = State.Limits.MaxPrefillBacklog[Call.Class];
  const Duration Pending = State.PendingPrefill;
  return Pending.count() == 0 ||
         Pending + expectedPrefill(State, Call) <= Bound;
}

bool fitsWorkingSet(const AdmissionState &State, const QueuedCall &Call,
                    TimePoint Now) {
  const double Bound = State.Limits.WorkingSetShare *
                       static_cast<double>(State.Limits.MemoryTokens);
  const auto Needed = static_cast<double>(worstCaseTokens(Call));
  double Total = 0;
  double ReservedForOthers = 0;
  for (CallClass Class : AllClasses) {
    const double Used = workingSet(State, Class);
    const double Reserved = State.Limits.ReservedShare[Class] * Bound;
    Total += Used;
    if (Class == Call.Class && Used + Needed <= Reserved)
      return true;
    if (Class != Call.Class)
      ReservedForOthers += std::max(0.0, Reserved - Used);
  }
  // With no other program on the endpoint, nothing is evicted.
  if (Total == 0)
    return true;
  return Total + ReservedForOthers + Needed <= Bound &&
         !isHigherClassPending(State, Call.Class, Now);
}

std::optional<AttemptId> nextCall(const AdmissionState &State, TimePoint Now) {
  const QueuedCall *First = firstByRank(State, Now);
  // Smaller calls do not overtake a large call that waits for memory, since
  // they could starve it.
  if (!First || !fitsMemory(State, *First) ||
      !fitsPrefillBacklog(State, *First))
    return std::nullopt;
  return First->Id;
}

void startCall(AdmissionState &State, const AttemptId &Id, TimePoint Now) {
  std::optional<QueuedCall> Call = dequeue(State, Id);
  if (!Call)
    return;
  const Duration Prefill = expectedPrefill(State, *Call);
  const bool PrefilledAlone = State.PendingPrefill.count() == 0;
  State.ReservedTokens += worstCaseTokens(*Call);
  State.ReservedTokensPerClass[Call->Class] += worstCaseTokens(*Call);
  State.PendingPrefill += Prefill;
  ++State.RunningPerClass[Call->Class];
  State.Running.emplace(
      Id, RunningCall{*Call, Now, false, Prefill, PrefilledAlone});
}

bool recordFirstToken(AdmissionState &State, RunningCall &Call) {
  if (Call.FirstTokenSeen)
    return false;
  Call.FirstTokenSeen = true;
  State.PendingPrefill -= Call.Prefill;
  return true;
}

std::optional<RunningCall> endCall(AdmissionState &State, const AttemptId &Id) {
  auto Found = State.Running.find(Id);
  if (Found == State.Running.end())
    return std::nullopt;
  recordFirstToken(State, Found->second);
  RunningCall Ended = std::move(Found->second);
  State.Running.erase(Found);
  State.ReservedTokens -= worstCaseTokens(Ended.Call);
  State.ReservedTokensPerClass[Ended.Call.Class] -= worstCaseTokens(Ended.Call);
  --State.RunningPerClass[Ended.Call.Class];
  return Ended;
}

} // namespace tamarack::internal
