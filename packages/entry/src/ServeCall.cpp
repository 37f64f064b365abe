/// Serves one call at its owner: decides again after each change of the
/// program until there is an answer.
#include "OwnerImpl.h"

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

/// Longest uninterrupted wait for another call of the program.
constexpr Duration WaitStep = std::chrono::milliseconds(200);

/// One call on its way to an answer.
class CallInService {
public:
  CallInService(Owner::Impl &Self, const SubmitCallRequest &Order,
                const PartSink &OnPart, CallTrace &Trace, CallRequest Asked)
      : Self(Self), Order(Order), OnPart(OnPart), Trace(Trace),
        Asked(std::move(Asked)), Deadline(Self.Time.now() + Order.Remaining) {}

  Expected<CallReply> run() {
    while (true)
      if (auto Reply = step())
        return *Reply;
  }

private:
  /// An answer, or nothing when the program must be looked at again.
  using Outcome = std::optional<Expected<CallReply>>;

  Outcome step() {
    const auto Where = Self.serve(Order.Program);
    if (!Where)
      return unserved(Where.error());
    FamilyLock Lock(Where->Held->Mutex);
    Self.resolveOpen(*Where, Lock);
    if (Where->Shard->Lost)
      return std::nullopt;
    const ProgramTree &Now = Where->Held->State;
    if (isAnothers(Now))
      return Self.refused({ErrorKind::UnknownProgram,
                           "no program " + Order.Program.text() + " has begun",
                           NotRun::Proved,
                           {}});
    CallRequest Request = Asked;
    internal::addHistory(Request, Now);
    const CallDecision Decision = decideCall(Now, Request, Self.nowMs());
    if (const auto *Refused = std::get_if<CallRefusal>(&Decision))
      return refuseCall(*Where, *Refused);
    if (const auto *Stored = std::get_if<StoredAnswer>(&Decision))
      return repeat(*Stored);
    if (const auto *Start = std::get_if<StartCall>(&Decision))
      return attempt(*Where, Lock, Request, *Start);
    return wait(*Where, Lock, std::holds_alternative<JoinCall>(Decision));
  }

  Outcome unserved(Error Why) {
    // Without a copy nobody knows what became of an earlier sending.
    if (MayHaveRun || Unconfirmed || mayHaveBeenSentBefore(Order))
      Why.Proof = NotRun::Unproved;
    return Self.refused(Why);
  }

  bool isAnothers(const ProgramTree &Now) const {
    const auto Root = Now.Programs.find(rootOf(Order.Program));
    return Root != Now.Programs.end() &&
           Root->second.Start.Customer != Order.Customer;
  }

  Outcome refuseCall(const ServedFamily &Where, const CallRefusal &Refused) {
    if (Refused.EndRecord &&
        Self.record(Where, {*Refused.EndRecord}).has_value())
      Self.releaseEverywhere(Where.Held->State);
    return Self.refused(Self.confirmed(Where, Refused.Cause));
  }

  Outcome repeat(const StoredAnswer &Stored) {
    {
      std::lock_guard<std::mutex> Counting(Self.Mutex);
      ++Self.Counts.Stored;
    }
    auto Reply = internal::replyOf(Stored.Answer);
    if (Reply)
      Reply->Stored = Attempts == 0;
    return Reply;
  }

  Outcome attempt(const ServedFamily &Where, FamilyLock &Lock,
                  const CallRequest &Request, const StartCall &Start) {
    // Only the first attempt streams: a later one may answer otherwise.
    const PartSink Silent = [](const CallPart &) {};
    auto Reply =
        Self.start(Where, Lock, Order, Request, Start,
                   Attempts == 0 ? OnPart : Silent, Tried, Trace, Deadline);
    if (Reply)
      return Reply;
    if (Where.Shard->Lost && Tried.empty() && !Unconfirmed) {
      // Nothing was sent; a new claim tells whether the request has run.
      Unconfirmed = true;
      return std::nullopt;
    }
    if (Lock.owns_lock())
      Lock.unlock();
    ++Attempts;
    const auto Again =
        Self.mayRetry(Order, Reply.error(), Tried, Attempts, Deadline);
    if (!Again)
      return Self.refused(Again.error());
    MayHaveRun = MayHaveRun || Reply.error().Proof == NotRun::Unproved;
    return std::nullopt;
  }

  Outcome wait(const ServedFamily &Where, FamilyLock &Lock, bool Joins) {
    const TimePoint Now = Self.Time.now();
    if (Now >= Deadline)
      return Self.refused(Self.confirmed(Where, late(Joins)));
    {
      std::lock_guard<std::mutex> Counting(Self.Mutex);
      ++(Joins ? Self.Counts.Joined : Self.Counts.Waited);
    }
    Where.Held->Changed.wait_for(Lock,
                                 std::min<Duration>(WaitStep, Deadline - Now));
    return std::nullopt;
  }

  Error late(bool Joins) const {
    if (Joins)
      return {ErrorKind::Timeout, "the call still runs", NotRun::Unproved, {}};
    return {ErrorKind::WrongSequence,
            "an earlier call of the program did not come or end",
            MayHaveRun ? NotRun::Unproved : NotRun::Proved,
            {}};
  }

  Owner::Impl &Self;
  const SubmitCallRequest &Order;
  const PartSink &OnPart;
  CallTrace &Trace;
  const CallRequest Asked;
  const TimePoint Deadline;
  /// Endpoints that attempts were sent to.
  std::vector<EndpointId> Tried;
  unsigned Attempts = 0;
  /// An attempt of this call ended without proof that it did not run.
  bool MayHaveRun = false;
  /// The shard was lost before anything was sent.
  bool Unconfirmed = false;
};

} // namespace

Expected<CallReply> Owner::Impl::serveCall(const SubmitCallRequest &Order,
                                           const PartSink &OnPart,
                                           CallTrace &Trace) {
  const CallId Call(Fresh());
  Trace.Call = Call;
  auto Asked = internal::requestOf(Order, Call, nowMs());
  if (!Asked)
    return refused(Asked.error());
  return CallInService(*this, Order, OnPart, Trace, std::move(*Asked)).run();
}

Expected<void> Owner::Impl::mayRetry(const SubmitCallRequest &Order,
                                     const Error &Failure,
                                     std::vector<EndpointId> &Tried,
                                     unsigned Attempts, TimePoint Deadline) {
  // Nothing was sent, or the outcome could not be kept here: no matter of the
  // endpoint, and the router finds who serves the program now.
  const bool OfTheLog = Failure.Kind == ErrorKind::Fenced ||
                        Failure.Kind == ErrorKind::NotEnoughCopies;
  if (Tried.empty() || OfTheLog)
    return tl::make_unexpected(Failure);
  FailedAttempt Failed{Failure,  Tried.back(), Order.Repeatable,
                       Attempts, Deadline,     Tried};
  std::unique_lock<std::mutex> Lock(Mutex);
  RetryOutcome Outcome = decideRetry(Failed, std::move(Budgets),
                                     Settings.Retries, Time.now(), Draw());
  Budgets = std::move(Outcome.Budgets);
  if (const auto *End = std::get_if<GiveUp>(&Outcome.Decision)) {
    ++Counts.GaveUp[End->Reason];
    return tl::make_unexpected(End->Final);
  }
  const auto &Again = std::get<Retry>(Outcome.Decision);
  ++Counts.Retried[Again.Reason];
  Tried = Again.Exclude;
  Lock.unlock();
  std::this_thread::sleep_for(Again.After);
  return {};
}

} // namespace tamarack
