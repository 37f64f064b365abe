/// Serves one call at its owner: repeats the decision after each change of the
/// program until the call is answered.
#include "OwnerImpl.h"

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

/// The longest wait for another call of the program before the decision is
/// repeated.
constexpr Duration WaitStep = std::chrono::milliseconds(200);

/// A call in progress.
class CallInService {
public:
  CallInService(Owner::Impl &Self, const SubmitCallRequest &Incoming,
                const PartSink &OnPart, CallTrace &Trace,
                CallRequest BaseRequest)
      : Self(Self), Incoming(Incoming), OnPart(OnPart), Trace(Trace),
        BaseRequest(std::move(BaseRequest)),
        Deadline(Self.Time.now() + Incoming.Remaining) {}

  Expected<CallReply> run() {
    while (true)
      if (auto Reply = step())
        return *Reply;
  }

private:
  /// An answer, or nothing when the decision must be repeated.
  using StepResult = std::optional<Expected<CallReply>>;

  StepResult step() {
    const auto Served = Self.findServedTree(Incoming.Program);
    if (!Served)
      return refuseUnserved(Served.error());
    TreeLock Lock(Served->Tree->Mutex);
    Self.resolveOpenAttempts(*Served, Lock);
    if (Served->Shard->Lost)
      return std::nullopt;
    const ProgramTree &Tree = Served->Tree->State;
    if (belongsToOtherCustomer(Tree))
      return Self.countRefusal(
          {ErrorKind::UnknownProgram,
           "program " + Incoming.Program.text() + " does not exist",
           NotRun::Proved,
           {}});
    CallRequest Request = BaseRequest;
    internal::addHistoryTokens(Request, Tree);
    const CallDecision Decision = decideCall(Tree, Request, Self.nowMs());
    if (const auto *Refused = std::get_if<CallRefusal>(&Decision))
      return refuseCall(*Served, *Refused);
    if (const auto *Stored = std::get_if<StoredAnswer>(&Decision))
      return repeatStoredAnswer(*Stored);
    if (const auto *Start = std::get_if<StartCall>(&Decision))
      return attempt(*Served, Lock, Request, *Start);
    return wait(*Served, Lock, std::holds_alternative<JoinCall>(Decision));
  }

  StepResult refuseUnserved(Error Cause) {
    // Without access to a copy the outcome of an earlier request is unknown.
    if (MayHaveRun || LostBeforeSending || mayHaveBeenSentBefore(Incoming))
      Cause.Proof = NotRun::Unproved;
    return Self.countRefusal(Cause);
  }

  bool belongsToOtherCustomer(const ProgramTree &Tree) const {
    const auto Root = Tree.Programs.find(rootOf(Incoming.Program));
    return Root != Tree.Programs.end() &&
           Root->second.Start.Customer != Incoming.Customer;
  }

  StepResult refuseCall(const ServedProgramTree &Served,
                        const CallRefusal &Refused) {
    if (Refused.EndRecord &&
        Self.appendRecords(Served, {*Refused.EndRecord}).has_value())
      Self.releaseEngineMemory(Served.Tree->State);
    return Self.countRefusal(Self.withConfirmedProof(Served, Refused.Cause));
  }

  StepResult repeatStoredAnswer(const StoredAnswer &Stored) {
    {
      std::lock_guard<std::mutex> CountsLock(Self.Mutex);
      ++Self.Counts.Stored;
    }
    auto Reply = internal::toReply(Stored.Answer);
    if (Reply)
      Reply->Stored = Attempts == 0;
    return Reply;
  }

  StepResult attempt(const ServedProgramTree &Served, TreeLock &Lock,
                     const CallRequest &Request, const StartCall &Start) {
    // Only the first attempt streams, because a retry may answer differently.
    const PartSink NoParts = [](const CallPart &) {};
    auto Reply =
        Self.runCall(Served, Lock, Incoming, Request, Start,
                     Attempts == 0 ? OnPart : NoParts, Tried, Trace, Deadline);
    if (Reply)
      return Reply;
    if (Served.Shard->Lost && Tried.empty() && !LostBeforeSending) {
      // Nothing was sent. A new claim shows whether the request has run.
      LostBeforeSending = true;
      return std::nullopt;
    }
    if (Lock.owns_lock())
      Lock.unlock();
    ++Attempts;
    const auto RetryAllowed =
        Self.awaitRetry(Incoming, Reply.error(), Tried, Attempts, Deadline);
    if (!RetryAllowed)
      return Self.countRefusal(RetryAllowed.error());
    MayHaveRun = MayHaveRun || Reply.error().Proof == NotRun::Unproved;
    return std::nullopt;
  }

  StepResult wait(const ServedProgramTree &Served, TreeLock &Lock, bool Joins) {
    const TimePoint Now = Self.Time.now();
    if (Now >= Deadline)
      return Self.countRefusal(
          Self.withConfirmedProof(Served, deadlineError(Joins)));
    {
      std::lock_guard<std::mutex> CountsLock(Self.Mutex);
      ++(Joins ? Self.Counts.Joined : Self.Counts.Waited);
    }
    Served.Tree->Changed.wait_for(Lock,
                                  std::min<Duration>(WaitStep, Deadline - Now));
    return std::nullopt;
  }

  Error deadlineError(bool Joins) const {
    if (Joins)
      return {ErrorKind::Timeout,
              "the call is still running at its deadline",
              NotRun::Unproved,
              {}};
    return {ErrorKind::WrongSequence,
            "an earlier call of the program did not arrive or end in time",
            MayHaveRun ? NotRun::Unproved : NotRun::Proved,
            {}};
  }

  Owner::Impl &Self;
  const SubmitCallRequest &Incoming;
  const PartSink &OnPart;
  CallTrace &Trace;
  const CallRequest BaseRequest;
  const TimePoint Deadline;
  /// The endpoints that were tried.
  std::vector<EndpointId> Tried;
  unsigned Attempts = 0;
  /// Whether an attempt of this call ended without proof that it did not run.
  bool MayHaveRun = false;
  /// Whether the shard was lost before anything was sent.
  bool LostBeforeSending = false;
};

} // namespace

Expected<CallReply> Owner::Impl::serveCall(const SubmitCallRequest &Incoming,
                                           const PartSink &OnPart,
                                           CallTrace &Trace) {
  const CallId Call(NewId());
  Trace.Call = Call;
  auto BaseRequest = internal::makeCallRequest(Incoming, Call, nowMs());
  if (!BaseRequest)
    return countRefusal(BaseRequest.error());
  return CallInService(*this, Incoming, OnPart, Trace, std::move(*BaseRequest))
      .run();
}

Expected<void> Owner::Impl::awaitRetry(const SubmitCallRequest &Incoming,
                                       const Error &Failure,
                                       std::vector<EndpointId> &Tried,
                                       unsigned Attempts, TimePoint Deadline) {
  // Nothing was sent, or the result could not be written. Neither is a fault of
  // the endpoint, and the router finds the entry that serves the program now.
  const bool IsLogFailure = Failure.Kind == ErrorKind::Fenced ||
                            Failure.Kind == ErrorKind::NotEnoughCopies;
  if (Tried.empty() || IsLogFailure)
    return tl::make_unexpected(Failure);
  FailedAttempt Failed{Failure,  Tried.back(), Incoming.Repeatable,
                       Attempts, Deadline,     Tried};
  std::unique_lock<std::mutex> Lock(Mutex);
  RetryOutcome Outcome = decideRetry(
      Failed, std::move(Budgets), Settings.Retries, Time.now(), NextRandom());
  Budgets = std::move(Outcome.Budgets);
  if (const auto *End = std::get_if<GiveUp>(&Outcome.Decision)) {
    ++Counts.GaveUp[End->Reason];
    return tl::make_unexpected(End->Final);
  }
  const auto &NextRetry = std::get<Retry>(Outcome.Decision);
  ++Counts.Retried[NextRetry.Reason];
  Tried = NextRetry.Exclude;
  Lock.unlock();
  std::this_thread::sleep_for(NextRetry.Backoff);
  return {};
}

} // namespace tamarack
