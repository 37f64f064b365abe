/// The implementation of Relay and the state of a request.
#ifndef TAMARACK_RELAY_RELAYIMPL_H
#define TAMARACK_RELAY_RELAYIMPL_H

#include "tamarack/net/Log.h"
#include "tamarack/relay/ChainCache.h"
#include "tamarack/relay/EntryLoad.h"
#include "tamarack/relay/EventStream.h"
#include "tamarack/relay/Hedging.h"
#include "tamarack/relay/ProgramsUnderWay.h"
#include "tamarack/relay/Relay.h"
#include "tamarack/relay/ReportTargets.h"
#include "tamarack/relay/Resumption.h"
#include "tamarack/relay/WorkspaceDirectory.h"

#include <algorithm>
#include <optional>
#include <set>

namespace tamarack {

namespace internal {

/// How long a turn waits for the ledgers before it is refused. Covers a few
/// round trips between regions, the ledgers' syncs to disk, and the replacement
/// of one connection that stopped responding.
inline constexpr Duration LedgerTimeout = std::chrono::milliseconds(1000);
/// How long a request waits until the store has confirmed that there is no
/// route or endpoint for it, or an outdated list of endpoints. It answers
/// within 50 ms, or 300 ms while it is slow.
inline constexpr Duration StoreConfirmTimeout = std::chrono::milliseconds(400);

/// How long after its start an entry lets requests of limited workspaces wait
/// for the first news of the other entries, and how long each of them. It then
/// refuses what the others might have sent.
inline constexpr Duration FirstNewsTime = std::chrono::milliseconds(1000);
inline constexpr Duration MaxNewsWait = std::chrono::milliseconds(300);

/// The longest time for which a wait takes no look at its limit.
inline constexpr Duration LimitCheckInterval = std::chrono::hours(1);

/// The error of a request that is not run because the process is shutting down.
inline Error leavingError() {
  return {
      ErrorKind::Leaving, "the process is shutting down", NotRun::Proved, {}};
}

inline std::string formatMillis(std::optional<Duration> Span) {
  return Span ? std::to_string(*Span / std::chrono::milliseconds(1)) : "none";
}

/// How long a request that may be given up goes on after its caller has ended
/// its sending side, or after the first event that is written then, if nothing
/// shows that the caller still reads.
inline constexpr Duration EndOfSendingGrace = std::chrono::milliseconds(250);

/// Why a request is refused if the rate limits of all endpoints are used up.
inline constexpr const char *RateLimitReason =
    "all endpoints of the service are at their rate limits";

/// How a request counts towards the limit of its workspace.
struct LimitedUse {
  /// When it was admitted, or last sent to an endpoint; empty if an endpoint
  /// stated that it did not run it.
  std::optional<TimePoint> CountedAt;
  bool IsSent = false;
  /// When it was counted as the first turn of a program; empty if it is none.
  std::optional<TimePoint> BegunAt;
  /// Whether it is admitted only if the ledgers know its program, since there
  /// is no room for another one.
  bool NeedsKnownProgram = false;
};

/// The outcome of an attempt at one endpoint.
enum class AttemptOutcome {
  /// The complete response of the endpoint was received.
  Answered,
  /// The endpoint states that it did not run the request, or no byte was sent.
  NotRun,
  /// The endpoint may have run the request.
  Indeterminate,
};

struct AttemptResult {
  AttemptOutcome Outcome = AttemptOutcome::Indeterminate;
  HttpResponse Response;
  /// Why the attempt failed; empty if it was answered.
  std::string FailureReason;
};

/// Whether the answer goes to the caller without a look at other attempts.
inline bool isFinal(const AttemptResult &Result) {
  return Result.Outcome == AttemptOutcome::Answered &&
         Result.Response.Head.Status < 500;
}

/// The state of an attempt at one endpoint, beside which another may run.
struct AttemptState {
  explicit AttemptState(const std::shared_ptr<MemoryAccount> &Memory)
      : ResponseMemory(Memory, MemoryUse::Responses) {}

  /// The call in flight; aborted when the request is cancelled.
  std::shared_ptr<HttpCall> Call;
  /// What the response takes that is received, and what is kept of it.
  MemoryShare ResponseMemory;
  /// Whether there was too little memory for the response.
  bool LackedMemory = false;
  /// Whether another attempt has answered, so that this one is aborted.
  bool IsSuperseded = false;

  void abort() {
    if (Call)
      Call->abort();
  }
  void supersede() {
    IsSuperseded = true;
    abort();
  }
};

/// A second attempt, which runs in a coroutine of its own.
struct SecondAttempt {
  SecondAttempt(Loop &Io, const std::shared_ptr<MemoryAccount> &Memory)
      : State(Memory), RequestMemory(Memory, MemoryUse::Requests), Ended(Io) {}

  AttemptState State;
  EndpointId First;
  EndpointEntry Endpoint;
  /// The time between the two attempts.
  Duration Delay{0};
  /// What its copy of the request takes.
  MemoryShare RequestMemory;
  /// Set once the attempt has ended.
  std::optional<AttemptResult> Result;
  /// Raised when the attempt has ended or the request is cancelled.
  Signal Ended;
};

/// The state of a request from its last byte to the end of its answer.
struct RequestContext : std::enable_shared_from_this<RequestContext> {
  RequestContext(Loop &Io, HttpExchange &Caller,
                 const std::shared_ptr<MemoryAccount> &Memory)
      : Caller(Caller), DeadlineTimer(Io), GraceTimer(Io),
        RequestMemory(Memory, MemoryUse::Requests), Current(Memory) {}

  HttpExchange &Caller;
  RequestMetadata Metadata;
  Route MatchedRoute;
  ServiceId Service;
  /// The workspace of the caller's key. Not set if the deployment has no
  /// workspaces; empty on a public route.
  std::optional<WorkspaceId> Workspace;
  /// Set if the workspace is limited and the request was admitted.
  std::optional<LimitedUse> Use;
  /// When a caller should retry whose workspace is at its limit.
  Duration WorkspaceDelay{0};
  /// The turn that this one continues, as the ledgers know it; set once its
  /// chain was read.
  TurnId Previous;
  /// The earliest of the caller's deadline, the route's timeout and the time at
  /// which a stopping process answers.
  TimePoint Deadline;
  /// Which of them it is, as told to the caller once it has passed.
  const char *DeadlineReason = "the deadline of the request has passed";
  asio::steady_timer DeadlineTimer;
  /// Limits how long a caller that has ended its sending side may show no sign
  /// that it still reads.
  asio::steady_timer GraceTimer;
  std::string Body;
  /// What copies of the body and the chain before it take.
  MemoryShare RequestMemory;
  /// The length of the input of a turn that is stored.
  std::size_t StoredInputBytes = 0;
  /// Of the request as the caller sent it.
  RequestDigest Digest;
  std::set<EndpointId> TriedEndpoints;
  /// Where the program's last turn ran according to the ledgers.
  EndpointId LastEndpoint;
  /// Whether the ledgers know an earlier turn of the program.
  bool HasEarlierTurns = false;
  /// The endpoint that this turn was sent to most recently.
  EndpointId CurrentEndpoint;
  /// The version that it runs, as listed when the endpoint was chosen.
  SoftwareVersion CurrentVersion;
  /// The only version that may get the request, if it resumes a stream.
  std::optional<SoftwareVersion> RequiredVersion;
  /// The age of the list of endpoints when RequiredVersion was decided.
  Duration DecidedListAge{0};
  /// The tokens of one event of the service when the turn was sent to it; empty
  /// if it was not listed. A later configuration may list it no more.
  std::optional<TokenCount> TokensPerEvent;
  /// The origin of the stream as it was last sent to the ledgers; empty if the
  /// stream cannot be resumed.
  std::optional<StreamOrigin> Origin;
  /// The number of endpoints that may have run the request.
  std::uint32_t PossibleRuns = 0;
  /// Set if no endpoint was chosen because of their rate limits: the mean time
  /// until these admit another request.
  std::optional<Duration> RateLimitDelay;
  /// Set if the request is refused for the entry's own load: when its caller
  /// should come back.
  std::optional<Duration> LoadDelay;
  bool CallerDisconnected = false;
  bool Expired = false;
  /// Whether an event was written after the caller had ended its sending side.
  bool WrittenAfterEndOfSending = false;
  /// Whether the time is up in which a caller that has ended its sending side
  /// could show that it still reads.
  bool GraceOver = false;
  /// Whether the handler has ended, so that Caller must not be used any more.
  bool Ended = false;
  /// The attempt in flight, the first one if there are two.
  AttemptState Current;
  /// When the first attempt was sent; empty if it gets no second one beside it
  /// or has ended.
  std::optional<TimePoint> HedgedSince;
  /// Ends when a second attempt is due.
  std::optional<asio::steady_timer> HedgingTimer;
  /// Null if there was none.
  std::shared_ptr<SecondAttempt> Second;

  /// Whether the request is given up because its caller has probably closed the
  /// connection. A call that may have run and may not be repeated is not: its
  /// caller has no other way to learn what came of it.
  bool isGivenUp() const {
    const bool MustFinish =
        MatchedRoute.Kind == RequestKind::AtMostOnce && PossibleRuns > 0;
    return GraceOver && !MustFinish;
  }
  /// Whether the work for the request is to end.
  bool isCancelled() const {
    return CallerDisconnected || Expired || isGivenUp();
  }
  /// The turn that the caller calls \p Id, as the ledgers know it.
  TurnId turnNamed(const std::string &Id) const {
    return TurnId(scopedId(Workspace, Id));
  }
  /// The turn that the request is.
  TurnId turn() const { return turnNamed(Metadata.RequestId); }
  /// The program that the caller calls \p Id, as the ledgers know it.
  ProgramId programNamed(const std::string &Id) const {
    return ProgramId(scopedId(Workspace, Id));
  }
  /// The program of the request, as the ledgers know it; empty if it has none.
  ProgramId program() const {
    return Metadata.Program.empty() ? ProgramId()
                                    : programNamed(Metadata.Program.text());
  }
  void abortCalls() {
    Current.abort();
    if (!Second)
      return;
    Second->State.abort();
    Second->Ended.raise();
  }
};

/// Why this process ended the work for the request; nothing if it did not. What
/// the aborted call failed with says nothing then.
inline std::optional<std::string>
cancellationReason(const RequestContext &Context) {
  if (Context.Expired)
    return Context.DeadlineReason;
  if (Context.isGivenUp())
    return "the caller has ended its sending side, and there was no answer "
           "soon after";
  return std::nullopt;
}

/// The error of a request that endpoints may have run, and that has no answer
/// because its work was ended, or else because of \p Reason.
inline Error unprovedError(const RequestContext &Context, std::string Reason) {
  const std::optional<std::string> Cancelled = cancellationReason(Context);
  return {Cancelled ? ErrorKind::Timeout : ErrorKind::EndpointFailed,
          Cancelled.value_or(std::move(Reason)),
          NotRun::Unproved,
          {}};
}

/// A turn and all turns before it.
struct TurnHistory {
  TurnChain Turns;
  /// Whether they were in the cache of this entry.
  bool IsCached = false;
};

/// The outcome of an attempt to stream from one endpoint.
enum class StreamOutcome {
  /// All events were forwarded.
  Finished,
  /// The endpoint answered with an error, which was forwarded.
  ErrorForwarded,
  /// The endpoint did not run the request.
  NotRun,
  /// The endpoint may have run the request.
  Indeterminate,
};

/// The part of a stream that was forwarded so far.
struct StreamState {
  EventSplitter Splitter;
  /// The data of all events, each followed by a line feed; empty if the turn is
  /// not stored.
  std::string Output;
  /// The number of events with data.
  std::uint64_t Events = 0;
  /// The numeric id of the last event; zero if none had one.
  std::uint64_t LastId = 0;
};

} // namespace internal

struct Relay::Impl {
  Impl(Loop &Io, RelayOptions Options, const Dialect &Wire,
       QuorumClient &Ledgers, ConnectionPool &Pool, RelayMetrics &Metrics)
      : Io(Io), Wire(Wire), Ledgers(Ledgers), Pool(Pool), Metrics(Metrics),
        Endpoints(Options.Endpoints), Hedges(Options.HedgingShare),
        Chains(Options.ChainCacheBytes), Memory(std::move(Options.Memory)),
        Configuration(std::move(Options.Configuration)),
        ListEndpoints(std::move(Options.ListEndpoints)), EndpointsListed(Io),
        Crashes(Options.Crashes, Options.ProcessId),
        CrashExchangeInterval(Options.CrashExchangeInterval), CrashObserved(Io),
        Distance(Options.Endpoints.Distance),
        Rotation(Options.Instance, Options.DataCentre),
        Instance(Options.Instance), DataCentre(Options.DataCentre),
        ProcessId(Options.ProcessId),
        Limits(Options.WorkspaceLimits, steadyNow()), UseNewsReceived(Io),
        FirstNewsUntil(steadyNow() + internal::FirstNewsTime) {
    const auto Jitter =
        stableHash(Options.ProcessId) %
        static_cast<std::uint64_t>(MaxListingJitter / Duration(1));
    ListingInterval += Duration(Jitter);
  }

  Loop &Io;
  const Dialect &Wire;
  QuorumClient &Ledgers;
  ConnectionPool &Pool;
  RelayMetrics &Metrics;
  EndpointTable Endpoints;
  Hedging Hedges;
  ChainCache Chains;
  const std::shared_ptr<MemoryAccount> Memory;
  Catalog ActiveCatalog;
  /// Of ActiveCatalog.
  WorkspaceDirectory Workspaces;
  const CatalogSource Configuration;
  const std::function<Task<void>(TimePoint)> ListEndpoints;
  /// The minimum time between two listings, which differs between entries.
  static constexpr Duration MaxListingJitter = std::chrono::milliseconds(500);
  Duration ListingInterval = std::chrono::seconds(1);
  TimePoint NextListingAt;
  bool IsListing = false;
  /// The deadline of the listing that runs.
  TimePoint ListingUntil;
  /// Raised at the end of a listing.
  Signal EndpointsListed;
  CrashRecords Crashes;
  const Duration CrashExchangeInterval;
  /// Raised when an endpoint crashed.
  Signal CrashObserved;
  /// The exchange of crash records with one ledger.
  struct CrashPeer {
    CrashPosition Received;
    /// The last change observed here that the ledger has.
    std::uint64_t SentNumber = 0;
    bool IsCalled = false;
  };
  std::map<std::string, CrashPeer> CrashPeers;
  const std::function<int(const DataCentreId &)> Distance;
  LoopDelay Delay;
  EntryRotation Rotation;
  const InstanceId Instance;
  const DataCentreId DataCentre;
  ProgramsUnderWay Programs;
  /// The tightest objective of all routes with turns; none if there are none.
  std::optional<Duration> TurnTarget;
  /// The answers since the last one that said "ready".
  int UnreadyAnswers = 0;
  const std::string ProcessId;
  WorkspaceLimits Limits;
  /// Whether any workspace has a limit.
  bool HasLimits = false;
  /// The exchange of the use of workspaces with one ledger.
  struct UsePeer {
    bool IsCalled = false;
    /// Set if it did not answer.
    TimePoint SilentUntil;
  };
  std::map<std::string, UsePeer> UsePeers;
  /// Raised by the first news, for which requests wait until FirstNewsUntil.
  Signal UseNewsReceived;
  const TimePoint FirstNewsUntil;
  /// Whether there were news of other entries when that was last logged.
  bool HadUseNews = false;
  StopPlan Stop;
  /// The requests whose deadline timers run.
  std::set<std::shared_ptr<internal::RequestContext>> Running;
  /// The signals of the waits whose limit a stop may bring forward.
  std::set<Signal *> LimitedWaits;

  // Relay.cpp: routes, deadlines and refusals.
  Task<void> serve(HttpExchange &Caller);
  /// Decodes the request and sets its route, service and deadline. Returns why
  /// the request is refused, if it is.
  std::optional<Error> prepare(internal::RequestContext &Context);
  /// Finds the workspace of the request. Returns why the request is refused, if
  /// it is.
  std::optional<Error> authorize(internal::RequestContext &Context) const;
  /// Whether the configuration is too old to accept the keys that it lists.
  bool mayBeRevoked(const internal::RequestContext &Context) const;
  /// Does the same as prepare(), but does not refuse a request for want of a
  /// route or a key before the configuration is confirmed to be current.
  Task<std::optional<Error>>
  prepareConfirmed(internal::RequestContext &Context);
  /// Cancels the request at its deadline, which is capped if the process stops.
  void startDeadline(const std::shared_ptr<internal::RequestContext> &Context);
  /// Whether requests are sent to endpoints no more, because the process stops.
  bool isSendingOver() const { return steadyNow() >= Stop.SendBy; }
  /// The time until which a request that was not sent yet may wait for
  /// something, \p Limit at most.
  TimePoint waitLimit(TimePoint Deadline, Duration Limit) const {
    return std::min({Deadline, steadyNow() + Limit, Stop.SendBy});
  }
  /// Waits for \p Work until \p Limit, which a stop may bring forward
  /// meanwhile. What takes longer goes on without the request, and fails for it
  /// with NotEnoughCopies.
  template <typename T>
  Task<Expected<T>> waitUntil(const TimePoint &Limit, Task<Expected<T>> Work);
  /// The time since the configuration was confirmed; empty if it never was.
  std::optional<Duration> catalogAge() const;
  /// Asks the store for the configuration, and returns when it is confirmed or
  /// nothing may be sent any more.
  Task<void> confirmCatalog(TimePoint Deadline);
  /// Lists the endpoints anew, unless that was done a moment ago.
  Task<void> listEndpoints(TimePoint Deadline);
  /// Limits the request to EndOfSendingGrace from \p Start, unless its caller
  /// is known to read by then.
  static void startGrace(internal::RequestContext &Context, TimePoint Start);
  Task<void> refuseRequest(internal::RequestContext &Context, Error Failure);
  Task<void> servePlain(internal::RequestContext &Context);
  /// Sends the complete response of an endpoint to the caller.
  Task<void> forwardResponse(internal::RequestContext &Context, EndpointId From,
                             HttpResponse Response);

  // Explain.cpp: what would become of a request.
  /// Why a request of \p Found, which is null if no route matches, is refused
  /// whatever its endpoints are; nothing if it is not.
  std::optional<Error> refusalOf(const ExplainedRequest &Request,
                                 const Route *Found) const;

  // Load.cpp: the load of this entry.
  Task<void> watchLoad();
  void updateRotation(TimePoint Now);
  EntryLoad ownLoad() const;
  bool isReady() const;
  /// Whether callers that keep their connections are to open new ones, which
  /// lead elsewhere.
  bool closesConnections() const;
  /// Returns why the request is refused early, if it is.
  std::optional<Error> refusalUnderLoad(internal::RequestContext &Context);

  // Origins.cpp: where streams begin and go on.
  /// The turn whose stream a caller resumes; empty if none is named, or by
  /// more bytes than an id has.
  static TurnId resumedTurn(const RequestMetadata &Metadata);
  /// Whether the origin of the request's stream is stored.
  bool storesOrigin(const internal::RequestContext &Context) const;
  /// The record of the turn while it runs.
  TurnRecord openRecord(const internal::RequestContext &Context) const;
  /// Makes \p To the origin of the request's stream.
  void setOrigin(internal::RequestContext &Context,
                 const EndpointEntry &To) const;
  /// Whether the stored origin still holds if \p To gets the request.
  bool holdsOrigin(const internal::RequestContext &Context,
                   const EndpointEntry &To) const;
  /// Stores \p To as the origin of the request's stream. Returns why the
  /// request is refused, if it is.
  Task<std::optional<Error>> replaceOrigin(internal::RequestContext &Context,
                                           EndpointEntry To);
  /// Stores that the origin is unknown, in the background.
  void forgetOrigin(internal::RequestContext &Context);
  /// Whether the endpoint that the request was sent to is now listed with
  /// another version, so that it is not known which one generates its events.
  bool isVersionInDoubt(const internal::RequestContext &Context) const;
  /// Whether a ledger, whose list of endpoints is \p AgeElsewhere old, may know
  /// versions that this process does not know of yet.
  bool isListOutdated(std::optional<Duration> AgeElsewhere) const;
  /// Whether the process stood still since the version of the request was
  /// decided, so that its list of endpoints may have changed meanwhile.
  bool isDecisionOutdated(const internal::RequestContext &Context) const;
  /// Restricts the request to the version at which its stream goes on. Returns
  /// why the request is refused, if it is.
  Task<std::optional<Error>> requireVersion(internal::RequestContext &Context,
                                            QuorumProgramState Program);
  void recordResumption(const internal::RequestContext &Context,
                        const std::optional<StreamOrigin> &Origin,
                        ResumptionOutcome Outcome);

  // Attempts.cpp: the choice of an endpoint and single attempts.
  EndpointQuery endpointQuery(const internal::RequestContext &Context) const;
  /// Chooses an endpoint that the request was not sent to before; nothing if
  /// none is left or the maximum number of endpoints is reached.
  std::optional<EndpointEntry>
  chooseNextEndpoint(internal::RequestContext &Context);
  /// Encodes the request as \p To gets it.
  std::string encodeAttempt(const internal::RequestContext &Context,
                            const EndpointEntry &To) const;
  /// Takes an idle connection, or opens one until nothing may be sent any more.
  Task<Expected<std::shared_ptr<HttpCall>>> openCall(EndpointEntry To,
                                                     std::string RequestId);
  /// Opens a connection and sends the request. Returns null if no byte was
  /// sent.
  Task<std::shared_ptr<HttpCall>> sendAttempt(internal::RequestContext &Context,
                                              internal::AttemptState &State,
                                              EndpointEntry To);
  /// Reads the head of the response to this request; skips responses to
  /// others.
  Task<Expected<HttpHead>> readMatchingHead(internal::RequestContext &Context,
                                            HttpCall &Call, EndpointId From);
  Task<internal::AttemptResult> attemptPlain(internal::RequestContext &Context,
                                             internal::AttemptState &State,
                                             EndpointEntry To);
  /// Reads the body of a response that is forwardable or a refusal, of a
  /// refusal only the beginning. Fails at once for any other response, whose
  /// body may have no end.
  Task<Expected<std::string>> readBody(internal::AttemptState &State,
                                       HttpCall &Call, const HttpHead &Head);
  /// Whether the attempt failed because others had taken the memory, so that it
  /// says nothing about the endpoint.
  bool isOwnFault(const internal::AttemptState &State) const;
  /// Whether the response states that the request was not run.
  bool isRefusal(const HttpHead &Head) const;
  /// Whether a response may be forwarded to the caller: it is signed by the
  /// endpoint, not encoded and not interim.
  bool isForwardable(const HttpHead &Head) const;
  /// Records a complete response of the endpoint.
  void recordAnswer(const EndpointEntry &To, int Status);
  /// Records that a request was cancelled, if the endpoint had time to answer
  /// while the caller waited.
  void recordSilence(const internal::RequestContext &Context,
                     const EndpointEntry &To, TimePoint SentAt,
                     bool HasAnswered);
  /// Records whether the endpoint says in \p Metadata that it is shutting down
  /// or limits its rate.
  void recordEndpointState(const internal::RequestContext &Context,
                           const EndpointId &From,
                           const ResponseMetadata &Metadata);
  /// Records that the endpoint stated that it did not run the request.
  void recordNotRun(internal::RequestContext &Context, const EndpointEntry &To,
                    const HttpHead &Head);

  // WorkspaceUse.cpp: limits of workspaces.
  /// The workspace of the request if it is limited, else nullptr.
  const Workspace *
  limitedWorkspace(const internal::RequestContext &Context) const;
  /// Whether the entry has just started and hears of the others in a moment.
  bool awaitsUseNews(const internal::RequestContext &Context) const;
  /// Counts the request towards the limit of its workspace. Returns why it is
  /// refused, if it is.
  std::optional<Error> admitToWorkspace(internal::RequestContext &Context);
  /// Does the rest of that, once the ledgers have told whether the program has
  /// begun before.
  std::optional<Error> confirmProgram(internal::RequestContext &Context);
  Error workspaceLimitError(internal::RequestContext &Context,
                            const Workspace &Of, ProgramPhase Phase);
  void countSent(internal::RequestContext &Context);
  void countNotRun(internal::RequestContext &Context);
  /// Takes back what was counted if no endpoint may have run the request.
  void endUse(internal::RequestContext &Context);
  Task<void> exchangeWorkspaceUse();
  Task<void> exchangeUseWith(std::string Address, WorkspaceReport Report);
  void logUseNews();

  // SecondAttempts.cpp: attempts beside one that takes long.
  /// Runs an attempt, and a second one beside it if it takes long. Returns the
  /// result of the one that serves the caller, and makes \p To its endpoint.
  Task<internal::AttemptResult> attemptHedged(internal::RequestContext &Context,
                                              EndpointEntry &To);
  /// Starts the timer after which a second attempt is due.
  void startHedgingTimer(internal::RequestContext &Context, TimePoint SentAt,
                         const EndpointId &First);
  static void stopHedgingTimer(internal::RequestContext &Context);
  void
  startSecondAttempt(const std::shared_ptr<internal::RequestContext> &Context,
                     const EndpointId &First);
  Task<void> runSecondAttempt(std::shared_ptr<internal::RequestContext> Context,
                              std::shared_ptr<internal::SecondAttempt> Second);
  /// Records how long the attempt took, if others are compared with it.
  void recordDuration(const internal::RequestContext &Context,
                      TimePoint SentAt);

  // Crashes.cpp: requests that crash endpoints.
  /// Returns why a request is refused if too many endpoints crashed under it.
  std::optional<Error>
  refusalAfterCrashes(const internal::RequestContext &Context);
  /// Records a crash if the endpoint ended while it ran the request, as opposed
  /// to a lost connection or a planned stop.
  Task<void> recordBrokenAttempt(const internal::RequestContext &Context,
                                 EndpointEntry To, TimePoint SentAt);
  Task<void> exchangeCrashes();
  Task<void> exchangeCrashesWith(std::string Address);

  /// Counts the copies of the request that are made to send it. \p ChainBytes
  /// is the length of the chain before its body. Returns why the request is
  /// refused, if it is.
  std::optional<Error> holdRequest(internal::RequestContext &Context,
                                   std::size_t ChainBytes);

  // Turns.cpp: budgets, chains and streams.
  /// Whether the turn is stored when it is complete.
  static bool storesTurn(const internal::RequestContext &Context);
  Task<void> serveTurn(internal::RequestContext &Context);
  /// Reserves the maximum tokens of the turn at the ledgers. Returns why the
  /// turn is refused, if it is.
  Task<std::optional<Error>> reserve(internal::RequestContext &Context);
  /// Reads \p Last and all turns before it.
  Task<Expected<internal::TurnHistory>>
  readHistory(internal::RequestContext &Context, TurnId Last);
  /// Prepends the text of the previous turns to the body.
  Task<std::optional<Error>> prependChain(internal::RequestContext &Context);
  /// Settles the turn at \p Tokens, in the background.
  void settle(const internal::RequestContext &Context, TokenCount Tokens);
  Task<internal::StreamOutcome>
  streamFromEndpoint(internal::RequestContext &Context,
                     internal::StreamState &State, EndpointEntry To);
  Task<internal::StreamOutcome> relayResponse(internal::RequestContext &Context,
                                              internal::StreamState &State,
                                              HttpCall &Call, EndpointId From,
                                              HttpHead Head);
  /// Ends a turn that did not finish: aborts its stream if it has begun, and
  /// refuses the request otherwise.
  Task<void> abandonTurn(internal::RequestContext &Context,
                         const internal::StreamState &State,
                         std::optional<Error> Failure);
  /// Forwards events until the stream ends. Fails with EndpointFailed if it is
  /// not complete.
  Task<Expected<void>> relayEvents(internal::RequestContext &Context,
                                   internal::StreamState &State,
                                   HttpCall &Call);
  /// Stores and settles a complete turn, then ends its stream. Returns false
  /// if the turn could not be stored.
  Task<bool> finishTurn(internal::RequestContext &Context,
                        internal::StreamState &State);
  /// The tokens of the events that were forwarded; the maximum of the turn if
  /// it is not known how many an event has.
  static TokenCount generatedTokens(const internal::RequestContext &Context,
                                    const internal::StreamState &State);
};

template <typename T>
Task<Expected<T>> Relay::Impl::waitUntil(const TimePoint &Limit,
                                         Task<Expected<T>> Work) {
  struct WaitState {
    explicit WaitState(Loop &Io) : Changed(Io) {}
    Signal Changed;
    std::optional<Expected<T>> Result;
  };
  const auto State = std::make_shared<WaitState>(Io);
  spawn(Io,
        [](std::shared_ptr<WaitState> State,
           Task<Expected<T>> Work) -> Task<void> {
          Expected<T> Result = co_await std::move(Work);
          State->Result = std::move(Result);
          State->Changed.raise();
        }(State, std::move(Work)));
  LimitedWaits.insert(&State->Changed);
  while (!State->Result && steadyNow() < Limit) {
    const TimePoint NextCheckAt = steadyNow() + internal::LimitCheckInterval;
    co_await State->Changed.wait(std::min(Limit, NextCheckAt));
  }
  LimitedWaits.erase(&State->Changed);
  if (State->Result)
    co_return std::move(*State->Result);
  co_return refuse(ErrorKind::NotEnoughCopies, "the process is shutting down",
                   NotRun::Proved);
}

} // namespace tamarack

#endif // TAMARACK_RELAY_RELAYIMPL_H
