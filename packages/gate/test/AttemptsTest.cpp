#include "tamarack/gate/Attempts.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tamarack;
using std::chrono::seconds;

namespace {

constexpr Duration Retention = seconds(60);
constexpr Incarnation FirstIncarnation = 1000;
constexpr Incarnation IncarnationStep = 1000;

AttemptId attempt(std::uint32_t Number) {
  return {ProgramId("cluj:visit-4"), CallId("dispatch"), Number};
}

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

/// Senders that send orders and queries to one table, with restarts, pauses of
/// any length and pruning. Every order is delivered at most once. Checks that
/// no attempt is sent twice, or both sent and reported as not run.
class RandomAttemptHistory {
public:
  void writeIntent() {
    if (IntendedTargets.size() < MaxAttempts)
      IntendedTargets.push_back(ReceivedTarget);
  }

  void deliverOrder(std::uint32_t Index) {
    if (!DeliveredOrders.insert(Index).second)
      return;
    recordOutcome(Index, admitAttempt(Table, attempt(Index),
                                      IntendedTargets[Index], Now));
  }

  void markAsSent(std::uint32_t Index) {
    if (!markSent(Table, attempt(Index), Now))
      return;
    RC_ASSERT(SentAttempts.insert(Index).second);
    RC_ASSERT(ReportedNotRun.count(Index) == 0U);
  }

  void finish(std::uint32_t Index) {
    markFinished(Table, attempt(Index), "done", Now);
  }

  void query(std::uint32_t Index) {
    using State = AttemptQueryResult::State;
    const State What =
        queryAttempt(Table, attempt(Index), IntendedTargets[Index], Now).What;
    if (What == State::NeverSent)
      reportNotRun(Index);
    if (What == State::Running || What == State::Finished)
      RC_ASSERT(SentAttempts.count(Index) == 1U);
  }

  void voidDelivered(std::uint32_t Index) {
    if (DeliveredOrders.count(Index) != 0 &&
        voidAttempt(Table, attempt(Index), Now))
      reportNotRun(Index);
  }

  void restart() {
    CurrentIncarnation += IncarnationStep;
    Table = AttemptTable{CurrentIncarnation, {}, 0, false, {}};
  }

  void advanceTime(int Quarters) {
    Now += Retention * Quarters / 4;
    pruneAttempts(Table, Now, Retention);
  }

  void receiveTarget() { ReceivedTarget = Table.Self; }

  std::uint32_t attempts() const {
    return static_cast<std::uint32_t>(IntendedTargets.size());
  }

private:
  static constexpr std::size_t MaxAttempts = 6;

  void recordOutcome(std::uint32_t Index, const Expected<void> &Outcome) {
    if (!Outcome && Outcome.error().Proof == NotRun::Proved)
      reportNotRun(Index);
  }

  void reportNotRun(std::uint32_t Index) {
    RC_ASSERT(SentAttempts.count(Index) == 0U);
    ReportedNotRun.insert(Index);
  }

  Incarnation CurrentIncarnation = FirstIncarnation;
  Incarnation ReceivedTarget = FirstIncarnation;
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  TimePoint Now = at(0);
  std::vector<Incarnation> IntendedTargets;
  std::set<std::uint32_t> DeliveredOrders, SentAttempts, ReportedNotRun;
};

using RandomEvent = std::pair<std::uint8_t, std::uint8_t>;

void apply(RandomAttemptHistory &History, const RandomEvent &Event) {
  if (History.attempts() == 0)
    return History.writeIntent();
  const std::uint32_t Index = Event.second % History.attempts();
  switch (Event.first % 12) {
  case 0:
    return History.writeIntent();
  case 1:
  case 2:
    return History.deliverOrder(Index);
  case 3:
  case 4:
    return History.markAsSent(Index);
  case 5:
    return History.finish(Index);
  case 6:
    return History.query(Index);
  case 7:
    return History.voidDelivered(Index);
  case 8:
  case 9:
    return History.advanceTime(Event.second % 12);
  case 10:
    return History.receiveTarget();
  default:
    return Event.second < 32 ? History.restart() : History.receiveTarget();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Attempts)

BOOST_AUTO_TEST_SUITE(Lifecycle)

BOOST_AUTO_TEST_CASE(SentOnceAndAnswerRecorded) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  BOOST_TEST(
      admitAttempt(Table, attempt(1), FirstIncarnation, at(0)).has_value());
  BOOST_TEST(markSent(Table, attempt(1), at(1)).has_value());
  BOOST_TEST(!markSent(Table, attempt(1), at(2)).has_value());
  BOOST_TEST(queryAttempt(Table, attempt(1), FirstIncarnation, at(2)).What ==
             AttemptQueryResult::State::Running);
  markFinished(Table, attempt(1), "sent technician 7", at(3));
  const AttemptQueryResult Result =
      queryAttempt(Table, attempt(1), FirstIncarnation, at(4));
  BOOST_TEST(Result.What == AttemptQueryResult::State::Finished);
  BOOST_TEST(Result.Answer == "sent technician 7");
}

BOOST_AUTO_TEST_CASE(RefusalCarriesProofOnlyIfNotRun) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  BOOST_TEST(
      admitAttempt(Table, attempt(1), FirstIncarnation, at(0)).has_value());
  queryAttempt(Table, attempt(2), FirstIncarnation, at(0));
  struct TestCase {
    const char *Name;
    std::uint32_t Attempt;
    Incarnation Target;
    ErrorKind Kind;
    NotRun Proof;
  };
  const TestCase Cases[] = {
      {"known", 1, FirstIncarnation, ErrorKind::Fenced, NotRun::Unproved},
      {"void", 2, FirstIncarnation, ErrorKind::Fenced, NotRun::Proved},
      {"predecessor", 3, FirstIncarnation - 1, ErrorKind::EndpointUnavailable,
       NotRun::Proved},
  };
  for (const TestCase &Case : Cases) {
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

BOOST_AUTO_TEST_SUITE(Query)

BOOST_AUTO_TEST_CASE(VoidsAttemptThatWasNotSent) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  BOOST_TEST(
      admitAttempt(Table, attempt(1), FirstIncarnation, at(0)).has_value());
  for (std::uint32_t Number : {1U, 2U}) {
    BOOST_TEST(
        queryAttempt(Table, attempt(Number), FirstIncarnation, at(1)).What ==
        AttemptQueryResult::State::NeverSent);
    BOOST_TEST(!markSent(Table, attempt(Number), at(2)).has_value());
    BOOST_TEST(!admitAttempt(Table, attempt(Number), FirstIncarnation, at(2))
                    .has_value());
  }
}

BOOST_AUTO_TEST_CASE(ReturnsUnknownForPredecessorTarget) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  BOOST_TEST(
      queryAttempt(Table, attempt(1), FirstIncarnation - 1, at(0)).What ==
      AttemptQueryResult::State::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pruning)

BOOST_AUTO_TEST_CASE(RemovesEntriesOnceSendersUseNewerTargets) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  std::size_t Removed = 0;
  for (std::uint32_t Round = 0; Round < 10; ++Round) {
    const TimePoint Now = at(0) + Retention * Round;
    BOOST_TEST(
        admitAttempt(Table, attempt(Round), Table.Self, Now).has_value());
    BOOST_TEST(markSent(Table, attempt(Round), Now).has_value());
    markFinished(Table, attempt(Round), "done", Now);
    Removed += pruneAttempts(Table, Now, Retention);
  }
  BOOST_TEST(Removed + Table.Entries.size() == 10U);
  BOOST_TEST(Table.Entries.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(AdmitsSendersThatNeverLearnNewerTargets) {
  AttemptTable Table{FirstIncarnation, {}, 0, false, {}};
  for (std::uint32_t Round = 0; Round < 10; ++Round) {
    const TimePoint Now = at(0) + Retention * Round;
    BOOST_TEST(
        admitAttempt(Table, attempt(Round), FirstIncarnation, Now).has_value());
    pruneAttempts(Table, Now, Retention);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(NeverSendsTwiceOrAfterReportingNotRun) {
  BOOST_TEST(
      rc::check("at most once", [](const std::vector<RandomEvent> &Events) {
        RandomAttemptHistory History;
        for (const RandomEvent &Event : Events)
          apply(History, Event);
      }));
}

BOOST_AUTO_TEST_SUITE_END()
