#include "Trial.h"

#include "TrialState.h"

#include <algorithm>
#include <queue>

namespace tamarack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickInterval = milliseconds(250);
/// The owner ends a program that made no call for this long.
constexpr Duration ProgramIdleTimeout = seconds(600);
/// How often a caller submits the first call of a program and each later one
/// before it gives up.
constexpr unsigned MaxFirstCallTries = 3;
constexpr unsigned MaxLaterCallTries = 7;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

AdmissionLimits limitsOf(const TrialSettings &Settings) {
  AdmissionLimits Limits = Settings.Limits;
  Limits.MemoryTokens = Settings.Model.MemoryTokens;
  Limits.MaxBatch = Settings.Model.MaxBatch;
  if (Settings.Policy != TrialPolicy::FirstComeFirstServed)
    return Limits;
  Limits.ReservedShare = {};
  Limits.MaxQueueLength = 1'000'000;
  Limits.AgeingTokensPerSecond = 0;
  Limits.AgeingPeriod = std::chrono::hours(24);
  Limits.MaxPrefillBacklog[CallClass::Normal] = std::chrono::hours(24);
  return Limits;
}

class Trial {
public:
  explicit Trial(const TrialSettings &Settings)
      : Settings(Settings), State(limitsOf(Settings)), Engine(Settings.Model),
        Scripts(drawPrograms(Settings.Kinds, Settings.Size, Settings.Model)) {
    Retention.Policy = Settings.Retention;
    Retention.MemoryTokens = Settings.Model.MemoryTokens;
    Programs.resize(Scripts.size());
    for (std::size_t Index = 0; Index < Scripts.size(); ++Index) {
      Programs[Index].Script = &Scripts[Index];
      schedule(Scripts[Index].StartTime, EventKind::Submit, Index);
    }
    schedule(TimePoint(TickInterval), EventKind::Tick);
  }

  TrialResult run() {
    const TimePoint End(Settings.Size.Length);
    while (Now < End) {
      if (Engine.isIdle())
        runEventsUntil(Events.top().Time);
      else
        runStep();
    }
    Result.RunningLimit = State.RunningLimit;
    Result.Minutes = secondsOf(Settings.Size.Length - Settings.WarmUp) / 60;
    if (Steps > 0)
      Result.MeanTokenSeconds = StepSeconds / static_cast<double>(Steps);
    if (LowSamples > 0)
      Result.LowShareWhileWaiting =
          LowShareSum / static_cast<double>(LowSamples);
    return Result;
  }

private:
  // Simulated time and events.

  void schedule(TimePoint Time, EventKind Kind, std::size_t Program = 0,
                std::uint32_t Attempt = 0) {
    Events.push({Time, NextSequence++, Kind, Program, Attempt});
  }

  bool isMeasuring() const { return Now >= TimePoint(Settings.WarmUp); }

  void runEventsUntil(TimePoint End) {
    while (!Events.empty() && Events.top().Time <= End) {
      const Event Next = Events.top();
      Events.pop();
      Now = std::max(Now, Next.Time);
      handle(Next);
    }
    Now = std::max(Now, End);
  }

  void handle(const Event &Next) {
    switch (Next.Kind) {
    case EventKind::Submit:
      return submit(Next.Program);
    case EventKind::Expire:
      return expire(Next.Program, Next.Attempt);
    case EventKind::EndDeadProgram:
      return endProgram(Next.Program);
    case EventKind::Tick:
      return tick();
    }
  }

  void runStep() {
    const EngineStep Step = Engine.step();
    runEventsUntil(Now + Step.Length);
    for (std::size_t Index : Step.FirstTokens)
      handleFirstToken(Index);
    for (std::size_t Index : Step.Finished)
      handleFinished(Index);
    if (Step.Decoding == 0)
      return;
    if (isMeasuring()) {
      ++Steps;
      StepSeconds += secondsOf(Step.Length);
    }
    if (isQueued())
      carryOut(onTokenInterval(State, Step.Length, Now));
  }

  // Calls.

  bool isQueued() const { return Settings.Policy != TrialPolicy::NoAdmission; }

  ClassResult &resultOf(const LiveProgram &Program) {
    return Result.Classes[Program.kind().Class];
  }

  static ProgramId idOf(std::size_t Index) {
    return ProgramId(std::to_string(Index));
  }

  AttemptId attemptOf(std::size_t Index) const {
    const LiveProgram &Program = Programs[Index];
    return {idOf(Index), CallId(std::to_string(Program.TurnNumber)),
            Program.Attempt};
  }

  QueuedCall callOf(std::size_t Index) const {
    const LiveProgram &Program = Programs[Index];
    QueuedCall Call;
    Call.Id = attemptOf(Index);
    Call.PromptTokens = Program.prompt();
    Call.CachedTokens = cachedTokens(Ledger, idOf(Index));
    Call.MaxTokens = Program.kind().MaxOutput;
    Call.ArrivalTime = Now;
    if (Settings.Policy == TrialPolicy::FirstComeFirstServed) {
      Call.AttainedService = 1;
      Call.Deadline = TimePoint::max();
      return Call;
    }
    Call.Class = Program.kind().Class;
    Call.AttainedService = Program.AttainedService;
    Call.Deadline = Now + Program.kind().AnswerTimeout;
    return Call;
  }

  CallClass classOf(const LiveProgram &Program) const {
    return Settings.Policy == TrialPolicy::Gate ? Program.kind().Class
                                                : CallClass::Normal;
  }

  void submit(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    ++Program.Attempt;
    Program.InCall = true;
    Program.Sent = false;
    Program.SubmittedAt = Now;
    if (Program.Tries++ == 0)
      Program.CallStartedAt = Now;
    if (Program.TurnNumber == 0 && Program.Tries == 1 && isMeasuring())
      ++resultOf(Program).Offered;
    schedule(Now + Program.kind().AnswerTimeout, EventKind::Expire, Index,
             Program.Attempt);
    // The entry is used as soon as the call leaves the queue.
    onCallQueued(Ledger, idOf(Index), Now);
    if (!isQueued())
      return send(Index);
    onPausedTokens(State, expectedReturnTokens(Ledger, Retention, Now));
    HandlingArrival = true;
    carryOut(onArrival(State, callOf(Index), Now));
    HandlingArrival = false;
  }

  void send(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    const TokenCount Cached =
        std::min(cachedTokens(Ledger, idOf(Index)), Program.History);
    Program.Sent = true;
    Program.CurrentPrefill = Program.prompt() - Cached;
    if (isMeasuring()) {
      Result.Prefilled += Program.CurrentPrefill;
      Result.PrefilledAgain += Program.History - Cached;
    }
    onCacheUseStarted(Ledger, idOf(Index), Owner, Program.prompt(), Now,
                      classOf(Program));
    Engine.submit({Index, Program.prompt(), Cached, Program.turn().Output});
    carryOutCacheActions(
        evictIdleEntries(Ledger, Retention, reservedTokens(), Now));
  }

  void carryOut(const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendCall>(&Action))
        send(std::stoul(Send->Id.Program.text()));
      if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
        handleRefusal(std::stoul(Refuse->Id.Program.text()), Refuse->Failure);
    }
  }

  void handleRefusal(std::size_t Index, const Error &Failure) {
    LiveProgram &Program = Programs[Index];
    if (!Program.InCall)
      return;
    if (isMeasuring())
      ++(HandlingArrival ? Result.RefusedOnArrival : Result.RefusedLater);
    Program.InCall = false;
    const bool IsFirstCall = Program.TurnNumber == 0;
    if (Program.Tries < (IsFirstCall ? MaxFirstCallTries : MaxLaterCallTries))
      return schedule(Now + retryAfterOf(Failure), EventKind::Submit, Index);
    if (isMeasuring())
      ++(IsFirstCall ? resultOf(Program).Refused : resultOf(Program).Broken);
    endProgram(Index);
  }

  void expire(std::size_t Index, std::uint32_t Attempt) {
    LiveProgram &Program = Programs[Index];
    if (!Program.InCall || Program.Attempt != Attempt)
      return;
    Program.InCall = false;
    if (isMeasuring()) {
      ++Result.Expired;
      ++resultOf(Program).Broken;
    }
    Engine.cancel(Index);
    if (Program.Sent)
      carryOutCacheActions(
          onCacheUseEnded(Ledger, idOf(Index), Program.History, Now));
    endProgram(Index);
    if (!isQueued())
      return;
    carryOut(onCancel(State, attemptOf(Index), Now));
    carryOut(onFinished(State, attemptOf(Index), 0, Now));
  }

  void handleFirstToken(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    if (!Program.InCall)
      return;
    if (isQueued())
      carryOut(onFirstToken(State, attemptOf(Index), Now));
    if (isMeasuring())
      resultOf(Program).FirstTokenSeconds.push_back(
          secondsOf(Now - Program.SubmittedAt));
  }

  void handleFinished(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    if (!Program.InCall)
      return;
    const TokenCount Output = Program.turn().Output;
    const AttemptId Ended = attemptOf(Index);
    Program.InCall = false;
    Program.Tries = 0;
    Program.History = Program.prompt() + Output;
    Program.Output += Output;
    Program.AttainedService += Program.CurrentPrefill + Output;
    Program.TimeInCalls += Now - Program.CallStartedAt;
    if (isMeasuring())
      resultOf(Program).OutputTokens += Output;
    carryOutCacheActions(
        onCacheUseEnded(Ledger, idOf(Index), Program.History, Now));
    afterTurn(Index);
    if (isQueued())
      carryOut(onFinished(State, Ended, Output, Now));
  }

  void afterTurn(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    const bool Last = Program.TurnNumber + 1 == Program.Script->Turns.size();
    if (!Last || Program.Script->Dies)
      startPause(Index);
    if (Last && Program.Script->Dies) {
      Program.Dead = true;
      return schedule(Now + ProgramIdleTimeout, EventKind::EndDeadProgram,
                      Index);
    }
    if (Last)
      return finishProgram(Index);
    const Duration Pause = Program.turn().PauseAfter;
    ++Program.TurnNumber;
    schedule(Now + Pause, EventKind::Submit, Index);
  }

  void startPause(std::size_t Index) {
    const ProgramKind &Kind = Programs[Index].kind();
    if (Kind.HasHint)
      onToolPauseStarted(Ledger, idOf(Index), Kind.Pause, Now);
  }

  void finishProgram(std::size_t Index) {
    LiveProgram &Program = Programs[Index];
    if (isMeasuring()) {
      ++resultOf(Program).Finished;
      Result.UsefulTokens += Program.Output;
      resultOf(Program).ProgramSeconds.push_back(
          secondsOf(Program.TimeInCalls));
    }
    endProgram(Index);
  }

  // Cache.

  TokenCount reservedTokens() const {
    return isQueued() ? State.ReservedTokens : Engine.heldTokens();
  }

  void endProgram(std::size_t Index) {
    Programs[Index].Ended = true;
    carryOutCacheActions(onProgramEnded(Ledger, idOf(Index), Now));
  }

  /// Carries out releases, and answers queries on behalf of the owner.
  void carryOutCacheActions(const CacheActions &Actions) {
    for (const CacheAction &Action : Actions) {
      if (const auto *Release = std::get_if<ReleaseCache>(&Action))
        Ledger.Entries.erase(Release->Program);
      const auto *Query = std::get_if<QueryOwner>(&Action);
      if (Query && !Programs[std::stoul(Query->Program.text())].Ended)
        claim(Ledger, Query->Program, Owner, Now);
    }
  }

  void tick() {
    schedule(Now + TickInterval, EventKind::Tick);
    if (isQueued())
      carryOut(onTick(State, Now));
    carryOutCacheActions(onTick(Ledger, Now));
    carryOutCacheActions(
        evictIdleEntries(Ledger, Retention, reservedTokens(), Now));
    if (isMeasuring())
      sample();
  }

  void sample() {
    for (const auto &[Program, Entry] : Ledger.Entries) {
      if (Programs[std::stoul(Program.text())].Dead)
        Result.TokenSecondsHeldForDead +=
            static_cast<double>(Entry.Tokens) * secondsOf(TickInterval);
    }
    if (State.Waiting[CallClass::Low].empty() || State.Running.empty())
      return;
    ++LowSamples;
    LowShareSum += static_cast<double>(State.RunningPerClass[CallClass::Low]) /
                   static_cast<double>(State.Running.size());
  }

  const TrialSettings &Settings;
  const InstanceId Owner{"entry-1"};
  AdmissionState State;
  CacheLedger Ledger;
  RetentionSettings Retention;
  FakeEngine Engine;
  std::vector<ProgramScript> Scripts;
  std::vector<LiveProgram> Programs;
  std::priority_queue<Event> Events;
  std::size_t NextSequence = 0;
  TimePoint Now;
  bool HandlingArrival = false;
  TrialResult Result;
  std::size_t Steps = 0;
  double StepSeconds = 0;
  std::size_t LowSamples = 0;
  double LowShareSum = 0;
};

} // namespace

TrialResult runTrial(const TrialSettings &Settings) {
  return Trial(Settings).run();
}

} // namespace tamarack
