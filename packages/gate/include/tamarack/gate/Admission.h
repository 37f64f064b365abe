/// The queue and the concurrency limit in front of one endpoint.
///
/// Engines admit whatever comes, so calls wait here, and the engine is kept
/// just full enough to meet its target time between tokens. Feed every event
/// to the state and carry out the returned actions in order; an action that is
/// dropped leaves its call waiting for ever:
///
///   AdmissionState State{AdmissionLimits{}};
///   for (const AdmissionAction &Action : onArrival(State, Call, Now))
///     std::visit(Carrier, Action);
///
/// Order: running calls are reserved for classes; among the calls for which
/// that leaves room, the higher class goes first, and within a class the
/// program with the least attained service. Waiting counts as a discount in
/// both, hence no call starves. A call that would miss its deadline is refused
/// on arrival as not run, with a time to come back.
#ifndef TAMARACK_GATE_ADMISSION_H
#define TAMARACK_GATE_ADMISSION_H

#include "tamarack/gate/Attempts.h"
#include "tamarack/gate/CallClass.h"

#include <variant>
#include <vector>

namespace tamarack {

struct QueuedCall {
  AttemptId Id;
  CallClass Class = CallClass::Normal;
  /// The service the whole program already had.
  TokenCount AttainedService = 0;
  TokenCount PromptTokens = 0;
  /// The part of the prompt in the engine's cache.
  TokenCount CachedTokens = 0;
  TokenCount MaxTokens = 0;
  TimePoint ArrivalTime;
  /// When the whole answer must have come.
  TimePoint Deadline;

  auto tied() const {
    return std::tie(Id, Class, AttainedService, PromptTokens, CachedTokens,
                    MaxTokens, ArrivalTime, Deadline);
  }
};

/// The settings of one endpoint's queue.
struct AdmissionLimits {
  /// Calls that may wait, all classes together.
  std::size_t MaxQueueLength = 256;
  std::size_t MaxBatch = 64;
  /// Where the learned limit starts, and its least value.
  std::size_t InitialRunningLimit = 8;
  std::size_t MinRunningLimit = 4;
  TokenCount MemoryTokens = 400'000;
  Duration TokenIntervalTarget = std::chrono::milliseconds(69);
  Duration FirstTokenTarget = std::chrono::milliseconds(1800);
  /// The share of the running calls reserved for each class. High's reserve is
  /// kept open for calls to come; the others' only while they have calls
  /// waiting. Low's share is its floor.
  PerClass<double> ReservedShare{{0.25, 0.10, 0.05}};
  /// The expected wait beyond which a new program is refused. A program under
  /// way is refused only for its deadline or a full queue.
  PerClass<Duration> MaxNewProgramWait{{std::chrono::milliseconds(900),
                                        std::chrono::seconds(5),
                                        std::chrono::seconds(20)}};
  /// A waiting call ranks one class higher after each such period.
  Duration AgeingPeriod = std::chrono::seconds(30);
  /// Attained service that a second of waiting makes up for.
  TokenCount AgeingTokensPerSecond = 500;
  /// Token times within these factors of the target leave the limit as it is.
  double IncreaseBelowFactor = 0.90;
  double DecreaseAboveFactor = 1.05;
  /// The limit is reviewed after this many token times.
  std::size_t SamplesPerAdjustment = 32;
  double DecreaseFactor = 0.9;
  /// Used until a first token was seen.
  Duration InitialPrefillPerToken = Duration(100);
  /// The prefill time that calls already sent may still need when a call of a
  /// class is started. Engines prefill in the order of arrival, so this bounds
  /// how long the first token of an urgent call waits behind others.
  PerClass<Duration> MaxPrefillBacklog{{std::chrono::milliseconds(900),
                                        std::chrono::milliseconds(400),
                                        std::chrono::milliseconds(200)}};
  /// The part of the memory that programs under way may take: the calls that
  /// run and the caches of paused programs that are expected back. More
  /// programs would only evict each other's caches. Each class has its
  /// reserved share of this part as well, and new programs of other classes
  /// keep it free.
  double WorkingSetShare = 0.9;
  /// For so long after a program of a higher class was refused for lack of
  /// memory, lower classes only begin programs within their own share. Covers
  /// the time in which the refused program comes back.
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
  /// The service time expected when it arrived, and the prefill's part of it.
  Duration Work{0};
  Duration Prefill{0};
};

struct RunningCall {
  QueuedCall Call;
  TimePoint Started;
  bool FirstTokenSeen = false;
  /// The prefill time expected when it started.
  Duration Prefill{0};
  /// No other call was being prefilled when it started.
  bool PrefilledAlone = false;
};

/// What was learned about the endpoint from its answers.
struct EndpointEstimate {
  /// The mean time between tokens, in microseconds.
  double TokenIntervalMicroseconds = 0;
  double PrefillMicrosecondsPerToken = 0;
  /// Answer length over MaxTokens.
  double OutputRatio = 0;
  double ServiceMicroseconds = 0;
};

/// Created from its limits; changed only by the functions below.
struct AdmissionState {
  AdmissionState() : AdmissionState(AdmissionLimits{}) {}
  explicit AdmissionState(AdmissionLimits Limits);

  AdmissionLimits Limits;
  /// The learned number of calls that may run at once.
  std::size_t RunningLimit;
  EndpointEstimate Estimate;
  PerClass<std::vector<WaitingCall>> Waiting;
  PerClass<Duration> WaitingWork;
  PerClass<Duration> WaitingPrefill;
  PerClass<std::size_t> RunningPerClass;
  std::map<AttemptId, RunningCall> Running;
  TokenCount ReservedTokens = 0;
  /// The expected prefill of running calls without a first token.
  Duration PendingPrefill{0};
  PerClass<TokenCount> ReservedTokensPerClass;
  /// Caches of paused programs that are expected back.
  PerClass<TokenCount> PausedTokens;
  /// When a program of the class was last refused for lack of memory.
  PerClass<std::optional<TimePoint>> LastMemoryRefusal;
  double IntervalSumMicroseconds = 0;
  std::size_t IntervalCount = 0;
  bool Draining = false;
};

/// Send the call to the endpoint now, after markSent. When markSent refuses,
/// the attempt became void while it waited: report onFinished with no tokens.
struct SendCall {
  AttemptId Id;
};

/// Answer the call with \p Failure. Nothing of it was sent: make its attempt
/// void before answering.
struct RefuseCall {
  AttemptId Id;
  Error Failure;
};

/// Cancel the running call at the engine; its end is reported by onFinished.
struct CancelCall {
  AttemptId Id;
};

using AdmissionAction = std::variant<SendCall, RefuseCall, CancelCall>;
using AdmissionActions = std::vector<AdmissionAction>;

/// A call has come: it starts, waits or is refused at once. A call that is
/// already waiting or running is refused as Fenced, without proof.
[[nodiscard]] AdmissionActions onArrival(AdmissionState &State,
                                         const QueuedCall &Call, TimePoint Now);

/// The first token of a running call has come.
[[nodiscard]] AdmissionActions onFirstToken(AdmissionState &State,
                                            const AttemptId &Id, TimePoint Now);

/// The tokens in caches of paused programs that are expected back, as
/// expectedReturnTokens tells. To be reported before every arrival.
void onPausedTokens(AdmissionState &State, const PerClass<TokenCount> &Tokens);

/// A time between two tokens of one stream was observed.
[[nodiscard]] AdmissionActions onTokenInterval(AdmissionState &State,
                                               Duration Between, TimePoint Now);

/// A running call has ended, whole or not, with \p Produced tokens. Frees its
/// place.
[[nodiscard]] AdmissionActions onFinished(AdmissionState &State,
                                          const AttemptId &Id,
                                          TokenCount Produced, TimePoint Now);

/// To be called every few hundred milliseconds: refuses waiting calls whose
/// deadline has become unreachable since they arrived.
[[nodiscard]] AdmissionActions onTick(AdmissionState &State, TimePoint Now);

/// The caller has gone. A waiting call is dropped as not run; a running one is
/// stopped.
[[nodiscard]] AdmissionActions onCancel(AdmissionState &State,
                                        const AttemptId &Id, TimePoint Now);

/// The endpoint leaves: waiting calls are handed back as not run, new ones are
/// refused, running ones finish.
[[nodiscard]] AdmissionActions onDrain(AdmissionState &State, TimePoint Now);

/// Whether the endpoint has been drained to the last call.
bool isDrained(const AdmissionState &State);

/// What every reply tells the entries about this endpoint.
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

/// The prefill time to expect for \p Call.
Duration expectedPrefill(const AdmissionState &State, const QueuedCall &Call);

/// The service time to expect for \p Call once it has started.
Duration expectedService(const AdmissionState &State, const QueuedCall &Call);

/// How long a call of \p Class would wait if it came now.
Duration expectedWait(const AdmissionState &State, CallClass Class);

} // namespace tamarack

#endif // TAMARACK_GATE_ADMISSION_H
