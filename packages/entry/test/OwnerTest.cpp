/// The call path over the real owner: what a payout, a history and a budget
/// may rely on when processes end at any point.
#include "FakeWorld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

const PartSink NoParts = [](const CallPart &) {};

Expected<CallReply> callAt(FakeWorld &World, const std::string &Entry,
                           const SubmitCallRequest &Order) {
  return World.entry(Entry).Programs->call(Order, NoParts);
}

/// "answered", "answered again", or the error's name and proof.
std::string textOf(const Expected<CallReply> &Reply) {
  if (Reply)
    return Reply->Stored ? "answered again" : "answered";
  return std::string(answerOf(Reply.error().Kind).Name) +
         (Reply.error().Proof == NotRun::Proved ? ", not run" : "");
}

/// Calls at an entry whose process may end underneath.
std::string callOrDie(FakeWorld &World, const std::string &Entry,
                      const SubmitCallRequest &Order) {
  try {
    return textOf(callAt(World, Entry, Order));
  } catch (const Died &) {
    return "died";
  }
}

ProgramReport reportAt(FakeWorld &World, const std::string &Entry,
                       const std::string &Program) {
  const auto Report = World.entry(Entry).Programs->program(
      {ProgramId(Program), CustomerId("andes"), false, 0});
  BOOST_REQUIRE_MESSAGE(Report.has_value(), "no report of " << Program);
  return *Report;
}

/// Meets \p What at the call that \p Number counts, from \p From only.
struct Meet {
  Port At;
  unsigned Number;
  Fault What;
};

void meet(FakeWorld &World, const std::string &From,
          const std::vector<Meet> &Faults) {
  World.Hook = [From, Faults](const PortCall &Call) {
    if (Call.From.text() == From)
      for (const Meet &Next : Faults)
        if (Next.At == Call.What && Next.Number == Call.Number)
          return Next.What;
    return Fault::None;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_payout)

BOOST_AUTO_TEST_SUITE(runs_at_most_once)

/// The owner's process ends at one point; a caller asks again elsewhere.
BOOST_AUTO_TEST_CASE(when_its_owner_is_lost_at_any_point) {
  struct Row {
    const char *Name;
    Meet Lost;
    const char *Then;
    unsigned Executions;
  };
  // The first append of a call holds its intent, the second its result.
  const std::vector<Row> Rows{
      {"before the intent", {Port::Append, 1, Fault::DieBefore}, "answered", 1},
      {"after the intent", {Port::Append, 1, Fault::DieAfter}, "answered", 1},
      {"before it was sent",
       {Port::Execute, 1, Fault::DieBefore},
       "answered",
       1},
      {"after it was sent",
       {Port::Execute, 1, Fault::DieAfter},
       "answered again",
       1},
      {"before the result",
       {Port::Append, 2, Fault::DieBefore},
       "answered again",
       1},
      {"after the result",
       {Port::Append, 2, Fault::DieAfter},
       "answered again",
       1}};
  for (const Row &Next : Rows) {
    FakeWorld World;
    meet(World, "e1", {Next.Lost});
    const std::string First = callOrDie(World, "e1", payout("p", "k"));
    BOOST_CHECK_EQUAL(First, "died");
    World.setState("e1", MemberState::Gone);
    const std::string Second = callOrDie(World, "e2", payout("p", "k"));
    BOOST_CHECK_MESSAGE(
        Second == Next.Then && World.executions("k") == Next.Executions,
        "lost " << Next.Name << ": expected " << Next.Then << " after "
                << Next.Executions << " executions, got " << Second << " after "
                << World.executions("k"));
    BOOST_CHECK_EQUAL(callOrDie(World, "e2", payout("p", "k")),
                      "answered again");
    BOOST_CHECK_EQUAL(World.executions("k"), 1U);
  }
}

/// Messages of the same process fail instead; it goes on by itself.
BOOST_AUTO_TEST_CASE(when_messages_or_their_answers_are_lost) {
  struct Row {
    const char *Name;
    std::vector<Meet> Faults;
    const char *First;
    const char *Again;
    unsigned Executions;
  };
  const std::vector<Row> Rows{{"the order",
                               {{Port::Execute, 1, Fault::Unreachable}},
                               "endpoint_unavailable, not run",
                               "answered",
                               1},
                              {"the answer",
                               {{Port::Execute, 1, Fault::AnswerLost}},
                               "answered",
                               "answered again",
                               1},
                              {"the answer and a question",
                               {{Port::Execute, 1, Fault::AnswerLost},
                                {Port::Ask, 1, Fault::Unreachable}},
                               "answered",
                               "answered again",
                               1},
                              {"the intent's answer",
                               {{Port::Append, 1, Fault::AnswerLost}},
                               "answered",
                               "answered again",
                               1},
                              {"the result",
                               {{Port::Append, 2, Fault::Unreachable}},
                               "answered",
                               "answered again",
                               1},
                              {"the result's answer and the next claim's seal",
                               {{Port::Append, 2, Fault::AnswerLost},
                                {Port::Seal, 3, Fault::Unreachable}},
                               "answered",
                               "answered again",
                               1}};
  for (const Row &Next : Rows) {
    FakeWorld World;
    meet(World, "e1", Next.Faults);
    const std::string First = callOrDie(World, "e1", payout("p", "k"));
    const std::string Again = callOrDie(World, "e1", payout("p", "k"));
    BOOST_CHECK_MESSAGE(First == Next.First && Again == Next.Again &&
                            World.executions("k") == Next.Executions,
                        "lost " << Next.Name << ": expected " << Next.First
                                << " then " << Next.Again << ", got " << First
                                << " then " << Again << " after "
                                << World.executions("k") << " executions");
  }
}

BOOST_AUTO_TEST_CASE(when_asked_for_at_two_entries_at_once) {
  constexpr unsigned Rounds = 20;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    FakeWorld World;
    // Each takes the other for gone, so both claim and fence each other.
    World.entry("e1").Ports.TakenForGone = {InstanceId("e2")};
    World.entry("e2").Ports.TakenForGone = {InstanceId("e1")};
    std::map<std::string, std::string> Answers;
    std::string First;
    std::thread Other(
        [&] { First = callOrDie(World, "e1", payout("p", "k")); });
    const std::string Second = callOrDie(World, "e2", payout("p", "k"));
    Other.join();
    BOOST_CHECK_MESSAGE(World.executions("k") <= 1,
                        "round " << Round << ": " << World.executions("k")
                                 << " executions; " << First << " and "
                                 << Second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_not_said_not_to_have_run_when_it_did)

/// The old owner goes on after another took over and ran the same request.
BOOST_AUTO_TEST_CASE(by_an_old_owner_that_was_paused) {
  struct Row {
    const char *Name;
    Port PausedAt;
    unsigned Number;
  };
  const std::vector<Row> Rows{{"before the intent", Port::Append, 3},
                              {"before it was sent", Port::Execute, 2},
                              {"before the result", Port::Append, 4}};
  for (const Row &Next : Rows) {
    FakeWorld World;
    BOOST_REQUIRE_EQUAL(callOrDie(World, "e1", payout("p", "first")),
                        "answered");
    World.entry("e2").Ports.TakenForGone = {InstanceId("e1")};
    std::atomic<bool> Paused{false};
    std::string ByNew;
    World.Hook = [&](const PortCall &Call) {
      if (Call.From.text() == "e1" && Call.What == Next.PausedAt &&
          Call.Number == Next.Number && !Paused.exchange(true))
        ByNew = callOrDie(World, "e2", payout("p", "k"));
      return Fault::None;
    };
    const std::string ByOld = callOrDie(World, "e1", payout("p", "k"));
    BOOST_CHECK_EQUAL(World.executions("k"), 1U);
    BOOST_CHECK_MESSAGE(ByOld.find("not run") == std::string::npos,
                        "paused " << Next.Name << ": the new owner said "
                                  << ByNew << ", the old one " << ByOld
                                  << " after " << World.executions("k")
                                  << " executions");
  }
}

/// An owner that was fenced without noticing knows nothing of later calls.
BOOST_AUTO_TEST_CASE(by_an_old_owner_that_answers_from_memory) {
  FakeWorld World;
  SubmitCallRequest Begin = payout("p", "first");
  Begin.Bounds.MaxTurns = 2;
  BOOST_REQUIRE_EQUAL(callOrDie(World, "e1", Begin), "answered");
  World.entry("e2").Ports.TakenForGone = {InstanceId("e1")};
  SubmitCallRequest Third = payout("p", "k");
  Third.Sequence = 2;
  BOOST_REQUIRE_EQUAL(callOrDie(World, "e2", Third), "answered");
  // In the old owner's memory sequence 2 is next and 3 must wait.
  Third.Sequence = 3;
  Third.Remaining = Duration(0);
  const std::string ByOld = callOrDie(World, "e1", Third);
  BOOST_CHECK_MESSAGE(ByOld.find("not run") == std::string::npos,
                      "the old owner said " << ByOld << " after "
                                            << World.executions("k")
                                            << " execution");
}

BOOST_AUTO_TEST_SUITE_END()

/// What the restarted process forgot, nobody can learn any more.
BOOST_AUTO_TEST_CASE(has_a_final_unknown_outcome_when_its_endpoint_restarts) {
  FakeWorld World;
  World.Hook = [&World](const PortCall &Call) {
    if (Call.What == Port::Ask && Call.Number == 1)
      World.restartProcess(Call.At.text());
    return Call.What == Port::Execute ? Fault::AnswerLost : Fault::None;
  };
  for (const char *Entry : {"e1", "e1", "e2", "e2"}) {
    if (std::string(Entry) == "e2")
      World.setState("e1", MemberState::Gone);
    BOOST_CHECK_EQUAL(callOrDie(World, Entry, payout("p", "k")),
                      "outcome_unknown");
  }
  BOOST_CHECK_EQUAL(World.executions("k"), 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_program)

BOOST_AUTO_TEST_CASE(keeps_its_history_and_order_across_owners) {
  FakeWorld World;
  const std::vector<std::string> Entries{"e1", "e1", "e2", "e3"};
  for (std::size_t Turn = 0; Turn < Entries.size(); ++Turn) {
    const std::string &Entry = Entries[Turn];
    const std::string &Before = Entries[Turn == 0 ? 0 : Turn - 1];
    if (Before != Entry)
      World.entry(Entry).Ports.TakenForGone = {InstanceId(Before)};
    SubmitCallRequest Order = chat("p", "question " + std::to_string(Turn));
    Order.Sequence = Turn + 1;
    BOOST_CHECK_EQUAL(callOrDie(World, Entry, Order), "answered");
  }
  const Json Sent = Json::parse(World.LastBody).at("messages");
  std::string Contents;
  for (const Json &Message : Sent)
    Contents += Message.at("content").get<std::string>() + ";";
  BOOST_CHECK_EQUAL(Contents, "question 0;question 0;question 1;question 1;"
                              "question 2;question 2;question 3;");
}

/// The first call of an entry, which no success has filled the budget for.
BOOST_AUTO_TEST_CASE(is_tried_at_another_endpoint_when_the_first_call_fails) {
  FakeWorld World;
  World.Hook = [&World](const PortCall &Call) {
    if (Call.What != Port::Execute || World.count(Port::Execute) > 1)
      return Fault::None;
    World.setState(Call.At.text(), MemberState::Gone);
    return Fault::AnswerLost;
  };
  SubmitCallRequest Order = chat("p", "question");
  Order.Repeatable = true;
  BOOST_CHECK_EQUAL(callOrDie(World, "e1", Order), "answered");
  BOOST_CHECK_EQUAL(World.count(Port::Execute), 2U);
}

BOOST_AUTO_TEST_CASE(waits_for_the_call_before_and_refuses_without_it) {
  FakeWorld World;
  BOOST_CHECK_EQUAL(callOrDie(World, "e1", payout("p", "1")), "answered");
  SubmitCallRequest Third = payout("p", "3");
  Third.Sequence = 3;
  Third.Remaining = Duration(0);
  BOOST_CHECK_EQUAL(callOrDie(World, "e1", Third), "wrong_sequence, not run");
  Third.Remaining = std::chrono::seconds(60);
  std::string Waited;
  std::thread Early([&] { Waited = callOrDie(World, "e1", Third); });
  while (World.entry("e1").Programs->counts().Waited == 0)
    std::this_thread::yield();
  BOOST_CHECK_EQUAL(callOrDie(World, "e1", payout("p", "2")), "answered");
  Early.join();
  BOOST_CHECK_EQUAL(Waited, "answered");
  BOOST_CHECK_EQUAL(reportAt(World, "e1", "p").NextSequence, 4U);
}

BOOST_AUTO_TEST_CASE(gives_a_joined_call_the_same_whole_answer) {
  FakeWorld World;
  Expected<CallReply> Joined;
  std::thread Second;
  World.Hook = [&](const PortCall &Call) {
    if (Call.What == Port::Execute) {
      Second =
          std::thread([&] { Joined = callAt(World, "e1", payout("p", "k")); });
      while (World.entry("e1").Programs->counts().Joined == 0)
        std::this_thread::yield();
    }
    return Fault::None;
  };
  const auto First = callAt(World, "e1", payout("p", "k"));
  Second.join();
  BOOST_REQUIRE_EQUAL(textOf(First), "answered");
  BOOST_REQUIRE_EQUAL(textOf(Joined), "answered again");
  BOOST_CHECK_EQUAL(Joined->Answer, First->Answer);
  BOOST_CHECK_EQUAL(World.executions("k"), 1U);
}

BOOST_AUTO_TEST_CASE(is_unknown_to_another_customer) {
  FakeWorld World;
  BOOST_REQUIRE_EQUAL(callOrDie(World, "e1", payout("p", "1")), "answered");
  SubmitCallRequest Foreign = payout("p", "2");
  Foreign.Customer = CustomerId("pampa");
  BOOST_CHECK_EQUAL(callOrDie(World, "e1", Foreign),
                    "unknown_program, not run");
  const auto Report = World.entry("e1").Programs->program(
      {ProgramId("p"), CustomerId("pampa"), true, 0});
  BOOST_REQUIRE(!Report);
  BOOST_CHECK_EQUAL(Report.error().Kind, ErrorKind::UnknownProgram);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_budget)

BOOST_AUTO_TEST_CASE(bounds_sub_agents_that_run_at_once) {
  FakeWorld World;
  SubmitCallRequest Root = chat("p", "root");
  Root.Budget = 100;
  BOOST_REQUIRE_EQUAL(callOrDie(World, "e1", Root), "answered");
  const TokenCount Before = reportAt(World, "e1", "p").Settled;
  std::vector<std::string> Answers(6);
  std::vector<std::thread> Agents;
  for (std::size_t Agent = 0; Agent < Answers.size(); ++Agent)
    Agents.emplace_back([&, Agent] {
      const std::string Name = std::to_string(Agent);
      Answers[Agent] = callOrDie(World, "e1", chat("p/" + Name, "a" + Name));
    });
  for (std::thread &Agent : Agents)
    Agent.join();
  const ProgramReport After = reportAt(World, "e1", "p");
  BOOST_CHECK_GT(After.Settled, Before);
  BOOST_CHECK_LE(After.Settled, 100U);
  BOOST_CHECK_EQUAL(After.Reserved, 0U);
  BOOST_CHECK_GT(
      std::count(Answers.begin(), Answers.end(), "budget_exceeded, not run"),
      0);
}

BOOST_AUTO_TEST_CASE(stays_reserved_until_a_lost_call_is_settled) {
  FakeWorld World;
  meet(World, "e1", {{Port::Execute, 1, Fault::DieAfter}});
  SubmitCallRequest Order = chat("p", "root");
  Order.Budget = 60;
  BOOST_REQUIRE_EQUAL(callOrDie(World, "e1", Order), "died");
  World.setState("e1", MemberState::Gone);
  meet(World, "e2", {{Port::Ask, 1, Fault::Unreachable}});
  const ProgramReport Open = reportAt(World, "e2", "p");
  BOOST_CHECK_GT(Open.Reserved, 0U);
  BOOST_CHECK_EQUAL(Open.Settled, 0U);
  const ProgramReport Settled = reportAt(World, "e2", "p");
  BOOST_CHECK_EQUAL(Settled.Reserved, 0U);
  BOOST_CHECK_GT(Settled.Settled, 0U);
  BOOST_CHECK_LE(Settled.Settled, Open.Reserved);
}

BOOST_AUTO_TEST_CASE(ends_a_looping_program_at_its_turns) {
  FakeWorld World;
  std::vector<std::string> Answers;
  for (unsigned Turn = 0; Turn < 5; ++Turn) {
    SubmitCallRequest Order = payout("p", std::to_string(Turn));
    Order.Bounds.MaxTurns = 3;
    Answers.push_back(callOrDie(World, "e1", Order));
  }
  const std::vector<std::string> Wanted{"answered", "answered", "answered",
                                        "limit_reached, not run",
                                        "program_ended, not run"};
  BOOST_CHECK_EQUAL_COLLECTIONS(Answers.begin(), Answers.end(), Wanted.begin(),
                                Wanted.end());
  BOOST_CHECK_EQUAL(reportAt(World, "e1", "p").Ended, "TurnLimit");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
