#include "EndpointGate.h"

#include <spdlog/spdlog.h>

namespace tamarack {
namespace internal {
namespace {

constexpr Duration TickEvery = std::chrono::milliseconds(200);
/// How long finished and void attempts are remembered. Longer than any order
/// can be in flight, since a silent link is abandoned within seconds.
constexpr Duration AttemptRetention = std::chrono::minutes(30);

std::string textOf(const Expected<ExecuteReply> &Answer) {
  if (Answer)
    return Json{{"answer", *Answer}}.dump();
  return Json{{"failure", Answer.error()}}.dump();
}

AttemptStatus fateOf(const AttemptQueryResult &Answer) {
  AttemptStatus Fate;
  Fate.What = Answer.What;
  if (Answer.What != AttemptQueryResult::State::Finished)
    return Fate;
  const Json Kept = Json::parse(Answer.Answer, nullptr, false);
  if (Kept.contains("answer"))
    Fate.Answer = Kept["answer"].get<ExecuteReply>();
  else
    Fate.Failure = Kept.at("failure").get<Error>();
  return Fate;
}

} // namespace

EndpointGate::EndpointGate(EndpointSettings Endpoint, Incarnation Life,
                           AdmissionLimits Limits, const Clock &Time,
                           OwnerQuestion Ask)
    : Client(Endpoint, Time), Time(Time), Admission(Limits) {
  Attempts.Self = Life;
  if (Endpoint.Kind == "engine") {
    CacheKeeperSettings Kept;
    Kept.Retention.MemoryTokens = Limits.MemoryTokens;
    Cache = std::make_unique<CacheKeeper>(Client, Kept, Time, std::move(Ask));
    Cache->start();
  }
  Housekeeper = std::thread([this] { keepHouse(); });
}

EndpointGate::~EndpointGate() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Changed.notify_all();
  }
  Housekeeper.join();
}

void EndpointGate::carryOut(const AdmissionActions &Actions) {
  for (const AdmissionAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendCall>(&Action)) {
      Tickets[Send->Id].Started = true;
    } else if (const auto *Refused = std::get_if<RefuseCall>(&Action)) {
      const auto Ticket = Tickets.find(Refused->Id);
      if (Ticket != Tickets.end())
        Ticket->second.Refused = Refused->Failure;
    }
  }
  Changed.notify_all();
}

Expected<void> EndpointGate::await(const ExecuteRequest &Order,
                                   std::unique_lock<std::mutex> &Lock) {
  const TimePoint Now = Time.now();
  if (auto Admitted = admitAttempt(Attempts, Order.Id, Order.Target, Now);
      !Admitted)
    return Admitted;
  Tickets[Order.Id] = Ticket();
  const TokenCount Cached = Cache ? Cache->cached(Order.Id.Program) : 0;
  carryOut(onArrival(Admission,
                     {Order.Id, Order.Class, Order.Attained, Order.PromptTokens,
                      Cached, Order.MaxTokens, Now, Now + Order.Remaining},
                     Now));
  Changed.wait(Lock, [this, &Order] {
    const Ticket &Own = Tickets[Order.Id];
    return Own.Started || Own.Refused;
  });
  const Ticket Own = Tickets[Order.Id];
  Tickets.erase(Order.Id);
  if (Own.Refused) {
    const auto Voided = voidAttempt(Attempts, Order.Id, Time.now());
    Error Why = *Own.Refused;
    Why.Proof = Voided ? NotRun::Proved : NotRun::Unproved;
    return tl::make_unexpected(Why);
  }
  if (auto Marked = markSent(Attempts, Order.Id, Time.now()); !Marked) {
    carryOut(onFinished(Admission, Order.Id, 0, Time.now()));
    return Marked;
  }
  return {};
}

Expected<ExecuteReply>
EndpointGate::send(const ExecuteRequest &Order,
                   const std::function<bool(const CallPart &)> &Part) {
  if (Order.Kind == CallKind::Service)
    return Client.runService(Order);
  EngineProgress Progress;
  Progress.FirstToken = [this, &Order] {
    std::lock_guard<std::mutex> Lock(Mutex);
    carryOut(onFirstToken(Admission, Order.Id, Time.now()));
  };
  Progress.TokenTime = [this](Duration Between) {
    std::lock_guard<std::mutex> Lock(Mutex);
    carryOut(onTokenInterval(Admission, Between, Time.now()));
  };
  Progress.Part = [&Part](const CallPart &Piece) { Part(Piece); };
  Cache->onCallSent(Order, Order.PromptTokens);
  auto Answer = Client.runChat(Order, Progress);
  const TokenCount Left =
      Answer ? Answer->Use.Prompt + Answer->Use.Completion : 0;
  Cache->onCallEnded(Order.Id.Program, Left);
  return Answer;
}

void EndpointGate::finish(const AttemptId &Id,
                          const Expected<ExecuteReply> &Answer) {
  std::lock_guard<std::mutex> Lock(Mutex);
  markFinished(Attempts, Id, textOf(Answer), Time.now());
  const TokenCount Produced = Answer ? Answer->Use.Completion : 0;
  carryOut(onFinished(Admission, Id, Produced, Time.now()));
  ++Counts.Executed;
  if (!Answer)
    return;
  Counts.PromptTokens += Answer->Use.Prompt;
  Counts.CachedTokens += Answer->Use.Cached;
}

Expected<ExecuteReply>
EndpointGate::execute(const ExecuteRequest &Order,
                      const std::function<bool(const CallPart &)> &Part) {
  {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (auto Admitted = await(Order, Lock); !Admitted) {
      ++Counts.Refused;
      return tl::make_unexpected(Admitted.error());
    }
  }
  Expected<ExecuteReply> Answer = send(Order, Part);
  finish(Order.Id, Answer);
  if (Answer)
    Answer->Load = load();
  return Answer;
}

AttemptStatus EndpointGate::ask(const AttemptStatusRequest &Order) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const AttemptQueryResult Answer =
      queryAttempt(Attempts, Order.Id, Order.Target, Time.now());
  if (Answer.What == AttemptQueryResult::State::NeverSent) {
    ++Counts.Voided;
    // A thread that waits in the queue learns that its attempt is void.
    carryOut(onCancel(Admission, Order.Id, Time.now()));
  }
  return fateOf(Answer);
}

void EndpointGate::release(const ReleaseRequest &Order) {
  if (!Cache)
    return;
  for (const ProgramId &Program : Order.Programs)
    Cache->onGone(Program);
}

EndpointLoad EndpointGate::load() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const QueueReport Now = report(Admission);
  return {static_cast<std::uint32_t>(Now.Running),
          static_cast<std::uint32_t>(Now.RunningLimit),
          static_cast<std::uint32_t>(Now.Waiting),
          Now.ExpectedWait[CallClass::Normal],
          Now.Draining,
          Attempts.Self};
}

GateCounts EndpointGate::counts() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  GateCounts Now = Counts;
  Now.CacheReleased = Cache ? Cache->released() : 0;
  return Now;
}

void EndpointGate::drain() {
  std::lock_guard<std::mutex> Lock(Mutex);
  carryOut(onDrain(Admission, Time.now()));
}

bool EndpointGate::isDrained() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return tamarack::isDrained(Admission);
}

void EndpointGate::keepHouse() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Changed.wait_for(Lock, TickEvery, [this] { return Stopping; });
    carryOut(onTick(Admission, Time.now()));
    pruneAttempts(Attempts, Time.now(), AttemptRetention);
  }
}

} // namespace internal
} // namespace tamarack
