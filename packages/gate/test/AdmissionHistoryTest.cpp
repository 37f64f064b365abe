#include "tamarack/gate/Admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Draws events at one queue and checks what must hold after each.
class QueueHistory {
public:
  QueueHistory() : State(limits()) {}

  void arrive(std::uint8_t Drawn) {
    QueuedCall Call;
    Call.Id = {ProgramId(std::to_string(Next++)), CallId("call"), 1};
    Call.Class = static_cast<CallClass>(Drawn % CallClassCount);
    Call.AttainedService = TokenCount{1'000} * (Drawn % 5U);
    Call.PromptTokens = 100 + TokenCount{10} * Drawn;
    Call.CachedTokens = Drawn % 2 == 0 ? Call.PromptTokens : 0;
    Call.MaxTokens = 200;
    Call.ArrivalTime = Now;
    Call.Deadline = Now + seconds(10 + Drawn);
    Open.insert(Call.Id);
    check(onArrival(State, Call, Now));
  }

  void finish(std::uint8_t Drawn) {
    if (Started.empty())
      return;
    const AttemptId Id = *std::next(Started.begin(), Drawn % Started.size());
    Started.erase(Id);
    check(onFinished(State, Id, Drawn, Now));
  }

  void cancel(std::uint8_t Drawn) {
    const AttemptId Id{ProgramId(std::to_string(Drawn % (Next + 1))),
                       CallId("call"), 1};
    check(onCancel(State, Id, Now));
  }

  void firstTokens() {
    for (const AttemptId &Id : std::set<AttemptId>(Started))
      check(onFirstToken(State, Id, Now));
  }

  void tokenTimes(std::uint8_t Drawn) {
    for (std::size_t Count = 0; Count < State.Limits.SamplesPerAdjustment;
         ++Count)
      check(onTokenInterval(State, milliseconds(Drawn), Now));
  }

  void pass(std::uint8_t Drawn) {
    Now += milliseconds(100 * Drawn);
    check(onTick(State, Now));
  }

  void drain() { check(onDrain(State, Now)); }

  /// Calls end one after the other; then nothing may be left behind.
  void quiesce() {
    const std::size_t Rounds = Open.size() + Started.size() + 1;
    for (std::size_t Round = 0; Round < Rounds; ++Round) {
      firstTokens();
      finish(0);
    }
    RC_ASSERT(Open.empty());
    RC_ASSERT(report(State).Waiting == 0U);
    RC_ASSERT(State.ReservedTokens == 0U);
    RC_ASSERT(State.PendingPrefill.count() == 0);
    for (CallClass Class : AllClasses) {
      RC_ASSERT(State.WaitingWork[Class].count() == 0);
      RC_ASSERT(State.WaitingPrefill[Class].count() == 0);
      RC_ASSERT(State.RunningPerClass[Class] == 0U);
    }
  }

private:
  static AdmissionLimits limits() {
    AdmissionLimits Limits;
    Limits.MaxQueueLength = 20;
    Limits.MemoryTokens = 12'000;
    return Limits;
  }

  void check(const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions) {
      if (const auto *Start = std::get_if<SendCall>(&Action))
        start(Start->Id);
      if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
        recordRefusal(*Refuse);
      if (const auto *Stop = std::get_if<CancelCall>(&Action))
        RC_ASSERT(Started.count(Stop->Id) == 1U);
    }
    RC_ASSERT(State.ReservedTokens <= State.Limits.MemoryTokens);
    RC_ASSERT(State.RunningLimit >= State.Limits.MinRunningLimit);
    RC_ASSERT(State.RunningLimit <= State.Limits.MaxBatch);
    RC_ASSERT(report(State).Waiting == Open.size());
    RC_ASSERT(State.Running.size() == Started.size());
  }

  void start(const AttemptId &Id) {
    RC_ASSERT(Open.erase(Id) == 1U);
    RC_ASSERT(!State.Draining);
    RC_ASSERT(Started.size() < State.RunningLimit);
    Started.insert(Id);
  }

  void recordRefusal(const RefuseCall &Refuse) {
    RC_ASSERT(Open.erase(Refuse.Id) == 1U);
    RC_ASSERT(Refuse.Failure.Proof == NotRun::Proved);
  }

  AdmissionState State;
  TimePoint Now;
  unsigned Next = 0;
  std::set<AttemptId> Open, Started;
};

using Step = std::pair<std::uint8_t, std::uint8_t>;

void apply(QueueHistory &History, const Step &Drawn) {
  switch (Drawn.first % 16) {
  case 0:
    return History.finish(Drawn.second);
  case 1:
    return History.cancel(Drawn.second);
  case 2:
  case 3:
    return History.firstTokens();
  case 4:
    return History.tokenTimes(Drawn.second);
  case 5:
    return History.pass(Drawn.second);
  case 6:
    return Drawn.second < 16 ? History.drain() : History.arrive(Drawn.second);
  default:
    return History.arrive(Drawn.second);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionHistory)

BOOST_AUTO_TEST_CASE(EveryCallStartsOnceOrIsRefusedAsNotRunOnce) {
  BOOST_TEST(rc::check("one outcome", [](const std::vector<Step> &Steps) {
    QueueHistory History;
    for (const Step &Drawn : Steps)
      apply(History, Drawn);
    History.quiesce();
  }));
}

BOOST_AUTO_TEST_SUITE_END()
