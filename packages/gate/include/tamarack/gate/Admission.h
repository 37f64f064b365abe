/// Admission control for one endpoint: a queue and an adaptive concurrency
/// limit.
///
/// Engines accept every request they are sent, so calls are queued here, and
/// the number of running calls is adjusted to meet the target for the time
/// between tokens. Pass every event to the state and carry out the returned
/// actions in order. If an action is dropped, its call is never answered:
///
///   AdmissionState State{AdmissionLimits{}};
///   for (const AdmissionAction &Action : onArrival(State, Call, Now))
///     std::visit(Executor, Action);
///
/// Scheduling: a share of the running calls is reserved for each class. Among
/// the calls that may use a free slot, higher classes go first, and within a
/// class the program with the least attained service. The time a call has
/// waited raises its class and lowers its attained service, so no call
/// starves. A call that would miss its deadline is refused on arrival, with
/// proof that it was not run and a time after which to retry.
#ifndef TAMARACK_GATE_ADMISSION_H
#define TAMARACK_GATE_ADMISSION_H

#include "tamarack/gate/Attempts.h"
#include "tamarack/gate/CallClass.h"

#include <variant>
#include <vector>

namespace tamarack {

/// A call and what admission control has to know about it.
struct QueuedCall {
  AttemptId Id;
  CallClass Class = CallClass::Normal;
  /// The service the program has received so far, in tokens. Zero for a new
  /// program.
  TokenCount AttainedService = 0;
  TokenCount PromptTokens = 0;
  /// The number of prompt tokens that are in the engine's cache.
  TokenCount CachedTokens = 0;
  /// The maximum length of the answer.
  TokenCount MaxTokens = 0;
  TimePoint ArrivalTime;
  /// The time by which the complete answer is due.
  TimePoint Deadline;

  auto tied() const {
    return std::tie(Id, Class, AttainedService, PromptTokens, CachedTokens,
                    MaxTokens, ArrivalTime, Deadline);
  }
};

/// The settings of one endpoint's queue.
struct AdmissionLimits {
  /// The maximum number of waiting calls of all classes.
  std::size_t MaxQueueLength = 256;
  /// The upper bound of the adaptive limit on running calls.
  std::size_t MaxBatch = 64;
  /// The initial value and the lower bound of the adaptive limit.
  std::size_t InitialRunningLimit = 8;
  std::size_t MinRunningLimit = 4;
  /// The size of the engine's KV cache, in tokens.
  TokenCount MemoryTokens = 400'000;
  /// The target for the mean time between two tokens of an answer.
  Duration TokenIntervalTarget = std::chrono::milliseconds(69);
  /// The target for the time to the first token.
  Duration FirstTokenTarget = std::chrono::milliseconds(1800);
  /// The share of the running calls that is reserved for each class. The
  /// reserve of High is always kept free; the others only while calls of their
  /// class are waiting. Low is guaranteed its share even under a constant load
  /// of higher classes.
  PerClass<double> ReservedShare{{0.25, 0.10, 0.05}};
  /// The maximum expected wait for the first call of a program; the call is
  /// refused above it. Later calls are refused only if their deadline cannot be
  /// met or the queue is full.
  PerClass<Duration> MaxNewProgramWait{{std::chrono::milliseconds(900),
                                        std::chrono::seconds(5),
                                        std::chrono::seconds(20)}};
  /// A waiting call is promoted by one class after each such period.
  Duration AgeingPeriod = std::chrono::seconds(30);
  /// The attained service that is discounted for each second of waiting.
  TokenCount AgeingTokensPerSecond = 500;
  /// The limit is increased when the mean time between tokens is below the
  /// first factor times TokenIntervalTarget, and decreased when it is above the
  /// second.
  double IncreaseBelowFactor = 0.90;
  double DecreaseAboveFactor = 1.05;
  /// The number of token intervals after which the limit is adjusted.
  std::size_t SamplesPerAdjustment = 32;
  /// A decrease multiplies the limit by this factor; an increase adds one.
  double DecreaseFactor = 0.9;
  /// The assumed prefill time per token until one has been measured.
  Duration InitialPrefillPerToken = Duration(100);
  /// While other calls are being prefilled, a call of a class is started only
  /// if the pending prefill, including its own, takes at most this long.
  /// Engines prefill in the order of arrival, so this bounds how long the first
  /// token of an urgent call is delayed by others.
  PerClass<Duration> MaxPrefillBacklog{{std::chrono::milliseconds(900),
                                        std::chrono::milliseconds(400),
                                        std::chrono::milliseconds(200)}};
  /// The share of the memory that started programs may use for running calls
  /// and for the caches of paused programs that are expected to return. With
  /// more programs than that, they would evict each other's caches. Each
  /// class has its ReservedShare of this memory too, which new programs of
  /// other classes leave free.
  double WorkingSetShare = 0.9;
  /// After a new program was refused for lack of memory, lower classes may
  /// start new programs only within their own reserve for this long. The period
  /// covers the time until the refused program retries.
  Duration PrecedencePeriod = std::chrono::seconds(5);

  auto tied() const {
    return std::tie(MaxQueueLength, MaxBatch, InitialRunningLimit,
                    MinRunningLimit, MemoryTokens, TokenIntervalTarget,
                    FirstTokenTarget, ReservedShare, MaxNewProgramWait,
                    AgeingPeriod, AgeingTokensPerSecond, IncreaseBelowFactor,
                    DecreaseAboveFactor, SamplesPerAdjustment, DecreaseFactor,
                    InitialPrefillPerToken, MaxPrefillBacklog, WorkingSetShare,
                    PrecedencePeriod);
  }
};

struct WaitingCall {
  QueuedCall Call;
  /// The service time that was expected on arrival, and the prefill time
  /// within it.
  Duration Work{0};
  Duration Prefill{0};
};

struct RunningCall {
  QueuedCall Call;
  TimePoint StartTime;
  bool FirstTokenSeen = false;
  /// The prefill time that was expected when the call started.
  Duration Prefill{0};
  /// Whether no other call was being prefilled when this one started.
  bool PrefilledAlone = false;
};

/// Moving averages of the endpoint's measured performance.
struct EndpointEstimate {
  /// The time between two tokens of an answer.
  double TokenIntervalMicroseconds = 0;
  double PrefillMicrosecondsPerToken = 0;
  /// The length of an answer divided by its MaxTokens.
  double OutputRatio = 0;
  /// The time from the start of a call to its end.
  double ServiceMicroseconds = 0;
};

/// The state of one endpoint's queue. Created from its limits and modified only
/// by the functions below.
struct AdmissionState {
  AdmissionState() : AdmissionState(AdmissionLimits{}) {}
  explicit AdmissionState(AdmissionLimits Limits);

  AdmissionLimits Limits;
  /// The adaptive limit on the number of running calls.
  std::size_t RunningLimit;
  EndpointEstimate Estimate;
  PerClass<std::vector<WaitingCall>> Waiting;
  /// The sums of Work and Prefill over the waiting calls.
  PerClass<Duration> WaitingWork;
  PerClass<Duration> WaitingPrefill;
  PerClass<std::size_t> RunningPerClass;
  std::map<AttemptId, RunningCall> Running;
  /// The memory reserved for running calls: prompts and maximum answers.
  TokenCount ReservedTokens = 0;
  /// The expected prefill time of running calls that have no first token yet.
  Duration PendingPrefill{0};
  PerClass<TokenCount> ReservedTokensPerClass;
  /// The cached tokens of paused programs that are expected to return.
  PerClass<TokenCount> PausedTokens;
  /// When a new program of the class was last refused for lack of memory.
  PerClass<std::optional<TimePoint>> LastMemoryRefusal;
  /// The token intervals since the last adjustment of RunningLimit.
  double IntervalSumMicroseconds = 0;
  std::size_t IntervalCount = 0;
  bool Draining = false;
};

/// Call markSent, then send the call to the endpoint. If markSent fails, the
/// attempt became void while it waited: call onFinished with zero tokens.
struct SendCall {
  AttemptId Id;
};

/// Answer the call with \p Failure. Nothing of it was sent; make its attempt
/// void before answering.
struct RefuseCall {
  AttemptId Id;
  Error Failure;
};

/// Cancel the running call at the engine, and call onFinished once it has
/// ended.
struct CancelCall {
  AttemptId Id;
};

using AdmissionAction = std::variant<SendCall, RefuseCall, CancelCall>;
using AdmissionActions = std::vector<AdmissionAction>;

/// A call has arrived. It is started, queued or refused. An attempt that is
/// already waiting or running is refused as Fenced, without proof that it was
/// not run.
[[nodiscard]] AdmissionActions onArrival(AdmissionState &State,
                                         const QueuedCall &Call, TimePoint Now);

/// The first token of a running call has been received.
[[nodiscard]] AdmissionActions onFirstToken(AdmissionState &State,
                                            const AttemptId &Id, TimePoint Now);

/// Updates the cached tokens of paused programs that are expected to return, as
/// computed by expectedReturnTokens. Call it before every onArrival.
void onPausedTokens(AdmissionState &State, const PerClass<TokenCount> &Tokens);

/// The time between two consecutive tokens of one stream has been measured.
[[nodiscard]] AdmissionActions
onTokenInterval(AdmissionState &State, Duration Interval, TimePoint Now);

/// A running call has ended, complete or not, after \p Produced output tokens.
/// Frees its slot.
[[nodiscard]] AdmissionActions onFinished(AdmissionState &State,
                                          const AttemptId &Id,
                                          TokenCount Produced, TimePoint Now);

/// Refuses waiting calls that can no longer meet their deadline. Call it every
/// few hundred milliseconds.
[[nodiscard]] AdmissionActions onTick(AdmissionState &State, TimePoint Now);

/// The caller has disconnected. A waiting call is refused as not run; a running
/// call is cancelled.
[[nodiscard]] AdmissionActions onCancel(AdmissionState &State,
                                        const AttemptId &Id, TimePoint Now);

/// Starts draining the endpoint: waiting calls are refused as not run, new
/// calls are refused, and running calls finish.
[[nodiscard]] AdmissionActions onDrain(AdmissionState &State, TimePoint Now);

/// Whether the endpoint is draining and no call is running any more.
bool isDrained(const AdmissionState &State);

/// The load of the endpoint, which is reported in every reply.
struct QueueReport {
  std::size_t Running = 0;
  std::size_t RunningLimit = 0;
  std::size_t Waiting = 0;
  PerClass<Duration> ExpectedWait;
  TokenCount FreeTokens = 0;
  bool Draining = false;

  auto tied() const {
    return std::tie(Running, RunningLimit, Waiting, ExpectedWait, FreeTokens,
                    Draining);
  }
};

QueueReport report(const AdmissionState &State);

/// The expected prefill time of \p Call, for the prompt tokens not cached.
Duration expectedPrefill(const AdmissionState &State, const QueuedCall &Call);

/// The expected time from the start of \p Call to its end.
Duration expectedService(const AdmissionState &State, const QueuedCall &Call);

/// The expected time that a call of \p Class would wait if it arrived now.
Duration expectedWait(const AdmissionState &State, CallClass Class);

} // namespace tamarack

#endif // TAMARACK_GATE_ADMISSION_H
