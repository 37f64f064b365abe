#include "tamarack/gate/Attempts.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr Duration Retention = seconds(60);
constexpr Incarnation FirstStart = 1000;
constexpr Incarnation StartsApart = 1000;

AttemptId attempt(std::uint32_t Number) {
  return {ProgramId("cluj:visit-4"), CallId("dispatch"), Number};
}

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

/// Senders, orders and questions around one table, with restarts, pauses of
/// any length and forgetting. Each order is written at most once.
class AttemptHistory {
public:
  void intend() {
    if (Targets.size() < MaxAttempts)
      Targets.push_back(Heard);
  }

  void deliver(std::uint32_t Index) {
    if (!Delivered.insert(Index).second)
      return;
    note(Index, admitAttempt(Table, attempt(Index), Targets[Index], Now));
  }

  void send(std::uint32_t Index) {
    if (!markSent(Table, attempt(Index), Now))
      return;
    RC_ASSERT(Left.insert(Index).second);
    RC_ASSERT(SaidNotRun.count(Index) == 0U);
  }

  void finish(std::uint32_t Index) {
    markFinished(Table, attempt(Index), "done", Now);
  }

  void ask(std::uint32_t Index) {
    using State = AttemptQueryResult::State;
    const State What =
        queryAttempt(Table, attempt(Index), Targets[Index], Now).What;
    if (What == State::NeverSent)
      sayNotRun(Index);
    if (What == State::Running || What == State::Finished)
      RC_ASSERT(Left.count(Index) == 1U);
  }

  void drop(std::uint32_t Index) {
    if (Delivered.count(Index) != 0 && voidAttempt(Table, attempt(Index), Now))
      sayNotRun(Index);
  }

  void restart() {
    Starts += StartsApart;
    Table = AttemptTable{Starts, {}, 0, false, {}};
  }

  void pass(int Part) {
    Now += Retention * Part / 4;
    pruneAttempts(Table, Now, Retention);
  }

  void hear() { Heard = Table.Self; }

  std::uint32_t attempts() const {
    return static_cast<std::uint32_t>(Targets.size());
  }

private:
  static constexpr std::size_t MaxAttempts = 6;

  void note(std::uint32_t Index, const Expected<void> &Outcome) {
    if (!Outcome && Outcome.error().Proof == NotRun::Proved)
      sayNotRun(Index);
  }

  void sayNotRun(std::uint32_t Index) {
    RC_ASSERT(Left.count(Index) == 0U);
    SaidNotRun.insert(Index);
  }

  Incarnation Starts = FirstStart;
  Incarnation Heard = FirstStart;
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  TimePoint Now = at(0);
  std::vector<Incarnation> Targets;
  std::set<std::uint32_t> Delivered, Left, SaidNotRun;
};

using Step = std::pair<std::uint8_t, std::uint8_t>;

void apply(AttemptHistory &History, const Step &Drawn) {
  if (History.attempts() == 0)
    return History.intend();
  const std::uint32_t Index = Drawn.second % History.attempts();
  switch (Drawn.first % 12) {
  case 0:
    return History.intend();
  case 1:
  case 2:
    return History.deliver(Index);
  case 3:
  case 4:
    return History.send(Index);
  case 5:
    return History.finish(Index);
  case 6:
    return History.ask(Index);
  case 7:
    return History.drop(Index);
  case 8:
  case 9:
    return History.pass(Drawn.second % 12);
  case 10:
    return History.hear();
  default:
    return Drawn.second < 32 ? History.restart() : History.hear();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Attempts)

BOOST_AUTO_TEST_SUITE(AnAttemptOnItsWay)

BOOST_AUTO_TEST_CASE(IsSentOnceAndItsAnswerIsKept) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  BOOST_TEST(admitAttempt(Table, attempt(1), FirstStart, at(0)).has_value());
  BOOST_TEST(markSent(Table, attempt(1), at(1)).has_value());
  BOOST_TEST(!markSent(Table, attempt(1), at(2)).has_value());
  BOOST_TEST(queryAttempt(Table, attempt(1), FirstStart, at(2)).What ==
             AttemptQueryResult::State::Running);
  markFinished(Table, attempt(1), "sent technician 7", at(3));
  const AttemptQueryResult Answer =
      queryAttempt(Table, attempt(1), FirstStart, at(4));
  BOOST_TEST(Answer.What == AttemptQueryResult::State::Finished);
  BOOST_TEST(Answer.Answer == "sent technician 7");
}

BOOST_AUTO_TEST_CASE(IsRefusedWithTheProofThatHolds) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  BOOST_TEST(admitAttempt(Table, attempt(1), FirstStart, at(0)).has_value());
  queryAttempt(Table, attempt(2), FirstStart, at(0));
  struct Row {
    const char *Name;
    std::uint32_t Attempt;
    Incarnation Target;
    ErrorKind Kind;
    NotRun Proof;
  };
  const Row Rows[] = {
      {"known", 1, FirstStart, ErrorKind::Fenced, NotRun::Unproved},
      {"void", 2, FirstStart, ErrorKind::Fenced, NotRun::Proved},
      {"predecessor", 3, FirstStart - 1, ErrorKind::EndpointUnavailable,
       NotRun::Proved},
  };
  for (const Row &Case : Rows) {
    BOOST_TEST_CONTEXT(Case.Name) {
      auto Admitted =
          admitAttempt(Table, attempt(Case.Attempt), Case.Target, at(1));
      BOOST_REQUIRE(!Admitted.has_value());
      BOOST_TEST(Admitted.error().Kind == Case.Kind);
      BOOST_TEST((Admitted.error().Proof == Case.Proof));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AQuestion)

BOOST_AUTO_TEST_CASE(VoidsWhatWasNotSent) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  BOOST_TEST(admitAttempt(Table, attempt(1), FirstStart, at(0)).has_value());
  for (std::uint32_t Number : {1U, 2U}) {
    BOOST_TEST(queryAttempt(Table, attempt(Number), FirstStart, at(1)).What ==
               AttemptQueryResult::State::NeverSent);
    BOOST_TEST(!markSent(Table, attempt(Number), at(2)).has_value());
    BOOST_TEST(
        !admitAttempt(Table, attempt(Number), FirstStart, at(2)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(IsAnsweredAsUnknownAboutAPredecessor) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  BOOST_TEST(queryAttempt(Table, attempt(1), FirstStart - 1, at(0)).What ==
             AttemptQueryResult::State::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Forgetting)

BOOST_AUTO_TEST_CASE(EmptiesTheTableOnceSendersUseNewerTargets) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  std::size_t Forgotten = 0;
  for (std::uint32_t Round = 0; Round < 10; ++Round) {
    const TimePoint Now = at(0) + Retention * Round;
    BOOST_TEST(
        admitAttempt(Table, attempt(Round), Table.Self, Now).has_value());
    BOOST_TEST(markSent(Table, attempt(Round), Now).has_value());
    markFinished(Table, attempt(Round), "done", Now);
    Forgotten += pruneAttempts(Table, Now, Retention);
  }
  BOOST_TEST(Forgotten + Table.Entries.size() == 10U);
  BOOST_TEST(Table.Entries.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(KeepsServingSendersThatNeverLearnNewerTargets) {
  AttemptTable Table{FirstStart, {}, 0, false, {}};
  for (std::uint32_t Round = 0; Round < 10; ++Round) {
    const TimePoint Now = at(0) + Retention * Round;
    BOOST_TEST(
        admitAttempt(Table, attempt(Round), FirstStart, Now).has_value());
    pruneAttempts(Table, Now, Retention);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(NoHistorySendsTwiceOrAfterSayingNotRun) {
  BOOST_TEST(rc::check("at most once", [](const std::vector<Step> &Steps) {
    AttemptHistory History;
    for (const Step &Drawn : Steps)
      apply(History, Drawn);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
