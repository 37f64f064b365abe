#include "tamarack/gate/Admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Applies random events to one queue and checks the invariants after each.
class RandomQueueHistory {
public:
  RandomQueueHistory() : State(limits()) {}

  void arrive(std::uint8_t Value) {
    QueuedCall Call;
    Call.Id = {ProgramId(std::to_string(NextProgram++)), CallId("call"), 1};
    Call.Class = static_cast<CallClass>(Value % CallClassCount);
    Call.AttainedService = TokenCount{1'000} * (Value % 5U);
    Call.PromptTokens = 100 + TokenCount{10} * Value;
    Call.CachedTokens = Value % 2 == 0 ? Call.PromptTokens : 0;
    Call.MaxTokens = 200;
    Call.ArrivalTime = Now;
    Call.Deadline = Now + seconds(10 + Value);
    Pending.insert(Call.Id);
    checkActions(onArrival(State, Call, Now));
  }

  void finish(std::uint8_t Value) {
    if (Started.empty())
      return;
    const AttemptId Id = *std::next(Started.begin(), Value % Started.size());
    Started.erase(Id);
    checkActions(onFinished(State, Id, Value, Now));
  }

  void cancel(std::uint8_t Value) {
    const AttemptId Id{ProgramId(std::to_string(Value % (NextProgram + 1))),
                       CallId("call"), 1};
    checkActions(onCancel(State, Id, Now));
  }

  void firstTokens() {
    for (const AttemptId &Id : std::set<AttemptId>(Started))
      checkActions(onFirstToken(State, Id, Now));
  }

  void tokenIntervals(std::uint8_t Value) {
    for (std::size_t Count = 0; Count < State.Limits.SamplesPerAdjustment;
         ++Count)
      checkActions(onTokenInterval(State, milliseconds(Value), Now));
  }

  void advanceTime(std::uint8_t Value) {
    Now += milliseconds(100 * Value);
    checkActions(onTick(State, Now));
  }

  void drain() { checkActions(onDrain(State, Now)); }

  /// Ends all calls one after the other and checks that none is left in the
  /// state.
  void quiesce() {
    const std::size_t Rounds = Pending.size() + Started.size() + 1;
    for (std::size_t Round = 0; Round < Rounds; ++Round) {
      firstTokens();
      finish(0);
    }
    RC_ASSERT(Pending.empty());
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

  void checkActions(const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendCall>(&Action))
        recordStart(Send->Id);
      if (const auto *Refuse = std::get_if<RefuseCall>(&Action))
        recordRefusal(*Refuse);
      if (const auto *Cancel = std::get_if<CancelCall>(&Action))
        RC_ASSERT(Started.count(Cancel->Id) == 1U);
    }
    RC_ASSERT(State.ReservedTokens <= State.Limits.MemoryTokens);
    RC_ASSERT(State.RunningLimit >= State.Limits.MinRunningLimit);
    RC_ASSERT(State.RunningLimit <= State.Limits.MaxBatch);
    RC_ASSERT(report(State).Waiting == Pending.size());
    RC_ASSERT(State.Running.size() == Started.size());
  }

  void recordStart(const AttemptId &Id) {
    RC_ASSERT(Pending.erase(Id) == 1U);
    RC_ASSERT(!State.Draining);
    RC_ASSERT(Started.size() < State.RunningLimit);
    Started.insert(Id);
  }

  void recordRefusal(const RefuseCall &Refuse) {
    RC_ASSERT(Pending.erase(Refuse.Id) == 1U);
    RC_ASSERT(Refuse.Failure.Proof == NotRun::Proved);
  }

  AdmissionState State;
  TimePoint Now;
  unsigned NextProgram = 0;
  std::set<AttemptId> Pending, Started;
};

using RandomEvent = std::pair<std::uint8_t, std::uint8_t>;

void apply(RandomQueueHistory &History, const RandomEvent &Event) {
  switch (Event.first % 16) {
  case 0:
    return History.finish(Event.second);
  case 1:
    return History.cancel(Event.second);
  case 2:
  case 3:
    return History.firstTokens();
  case 4:
    return History.tokenIntervals(Event.second);
  case 5:
    return History.advanceTime(Event.second);
  case 6:
    return Event.second < 16 ? History.drain() : History.arrive(Event.second);
  default:
    return History.arrive(Event.second);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionHistory)

BOOST_AUTO_TEST_CASE(EveryCallStartsOnceOrIsRefusedAsNotRunOnce) {
  BOOST_TEST(
      rc::check("one outcome", [](const std::vector<RandomEvent> &Events) {
        RandomQueueHistory History;
        for (const RandomEvent &Event : Events)
          apply(History, Event);
        History.quiesce();
      }));
}

BOOST_AUTO_TEST_SUITE_END()
