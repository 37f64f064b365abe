/// Tests of the real owner: the guarantees for payouts, histories and budgets
/// when processes crash and messages are lost at any point.
#include "FakeCluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

namespace tamarack {
namespace {

const PartSink NoParts = [](const CallPart &) {};

Expected<CallReply> callAt(FakeCluster &Cluster, const std::string &Entry,
                           const SubmitCallRequest &Request) {
  return Cluster.entry(Entry).Programs->call(Request, NoParts);
}

/// "answered", "answered again", or the name and proof of the error.
std::string describe(const Expected<CallReply> &Reply) {
  if (Reply)
    return Reply->Stored ? "answered again" : "answered";
  return std::string(answerOf(Reply.error().Kind).Name) +
         (Reply.error().Proof == NotRun::Proved ? ", not run" : "");
}

/// Calls an entry whose process may crash during the call.
std::string callOrCrash(FakeCluster &Cluster, const std::string &Entry,
                        const SubmitCallRequest &Request) {
  try {
    return describe(callAt(Cluster, Entry, Request));
  } catch (const ProcessDied &) {
    return "died";
  }
}

ProgramReport reportAt(FakeCluster &Cluster, const std::string &Entry,
                       const std::string &Program) {
  const auto Report = Cluster.entry(Entry).Programs->program(
      {ProgramId(Program), CustomerId("andes"), false, 0});
  BOOST_REQUIRE_MESSAGE(Report.has_value(), "no report of " << Program);
  return *Report;
}

/// A fault for the call with this number to a port.
struct InjectedFault {
  Port At;
  unsigned Number;
  Fault What;
};

/// Injects the faults into the port calls of \p From only.
void injectFaults(FakeCluster &Cluster, const std::string &From,
                  const std::vector<InjectedFault> &Faults) {
  Cluster.FaultHook = [From, Faults](const PortCall &Call) {
    if (Call.From.text() == From)
      for (const InjectedFault &Next : Faults)
        if (Next.At == Call.What && Next.Number == Call.Number)
          return Next.What;
    return Fault::None;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_payout)

BOOST_AUTO_TEST_SUITE(runs_at_most_once)

/// The process of the owner crashes, and the caller repeats the request at
/// another entry.
BOOST_AUTO_TEST_CASE(when_its_owner_is_lost_at_any_point) {
  struct Case {
    const char *Name;
    InjectedFault Lost;
    const char *Then;
    unsigned Executions;
  };
  // The first append of a call holds its intent, the second its result.
  const std::vector<Case> Cases{
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
  for (const Case &Next : Cases) {
    FakeCluster Cluster;
    injectFaults(Cluster, "e1", {Next.Lost});
    const std::string First = callOrCrash(Cluster, "e1", payout("p", "k"));
    BOOST_CHECK_EQUAL(First, "died");
    Cluster.setState("e1", MemberState::Gone);
    const std::string Second = callOrCrash(Cluster, "e2", payout("p", "k"));
    BOOST_CHECK_MESSAGE(
        Second == Next.Then && Cluster.executions("k") == Next.Executions,
        "lost " << Next.Name << ": expected " << Next.Then << " after "
                << Next.Executions << " executions, got " << Second << " after "
                << Cluster.executions("k"));
    BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e2", payout("p", "k")),
                      "answered again");
    BOOST_CHECK_EQUAL(Cluster.executions("k"), 1U);
  }
}

/// Messages are lost while the process of the owner keeps running.
BOOST_AUTO_TEST_CASE(when_messages_or_their_answers_are_lost) {
  struct Case {
    const char *Name;
    std::vector<InjectedFault> Faults;
    const char *First;
    const char *Again;
    unsigned Executions;
  };
  const std::vector<Case> Cases{
      {"the request",
       {{Port::Execute, 1, Fault::Unreachable}},
       "endpoint_unavailable, not run",
       "answered",
       1},
      {"the answer",
       {{Port::Execute, 1, Fault::AnswerLost}},
       "answered",
       "answered again",
       1},
      {"the answer and a status query",
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
  for (const Case &Next : Cases) {
    FakeCluster Cluster;
    injectFaults(Cluster, "e1", Next.Faults);
    const std::string First = callOrCrash(Cluster, "e1", payout("p", "k"));
    const std::string Again = callOrCrash(Cluster, "e1", payout("p", "k"));
    BOOST_CHECK_MESSAGE(First == Next.First && Again == Next.Again &&
                            Cluster.executions("k") == Next.Executions,
                        "lost " << Next.Name << ": expected " << Next.First
                                << " then " << Next.Again << ", got " << First
                                << " then " << Again << " after "
                                << Cluster.executions("k") << " executions");
  }
}

BOOST_AUTO_TEST_CASE(when_requested_at_two_entries_at_once) {
  constexpr unsigned Rounds = 20;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    FakeCluster Cluster;
    // Each entry takes the other for gone, so they claim the shard from each
    // other.
    Cluster.entry("e1").Ports.SuspectedGone = {InstanceId("e2")};
    Cluster.entry("e2").Ports.SuspectedGone = {InstanceId("e1")};
    std::map<std::string, std::string> Answers;
    std::string First;
    std::thread Other(
        [&] { First = callOrCrash(Cluster, "e1", payout("p", "k")); });
    const std::string Second = callOrCrash(Cluster, "e2", payout("p", "k"));
    Other.join();
    BOOST_CHECK_MESSAGE(Cluster.executions("k") <= 1,
                        "round " << Round << ": " << Cluster.executions("k")
                                 << " executions; " << First << " and "
                                 << Second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_ran_is_not_reported_as_not_run)

/// The old owner resumes after another one took over and ran the same request.
BOOST_AUTO_TEST_CASE(by_an_old_owner_that_was_paused) {
  struct Case {
    const char *Name;
    Port PausedAt;
    unsigned Number;
  };
  const std::vector<Case> Cases{{"before the intent", Port::Append, 3},
                                {"before it was sent", Port::Execute, 2},
                                {"before the result", Port::Append, 4}};
  for (const Case &Next : Cases) {
    FakeCluster Cluster;
    BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e1", payout("p", "first")),
                        "answered");
    Cluster.entry("e2").Ports.SuspectedGone = {InstanceId("e1")};
    std::atomic<bool> Paused{false};
    std::string ByNew;
    Cluster.FaultHook = [&](const PortCall &Call) {
      if (Call.From.text() == "e1" && Call.What == Next.PausedAt &&
          Call.Number == Next.Number && !Paused.exchange(true))
        ByNew = callOrCrash(Cluster, "e2", payout("p", "k"));
      return Fault::None;
    };
    const std::string ByOld = callOrCrash(Cluster, "e1", payout("p", "k"));
    BOOST_CHECK_EQUAL(Cluster.executions("k"), 1U);
    BOOST_CHECK_MESSAGE(ByOld.find("not run") == std::string::npos,
                        "paused " << Next.Name << ": the new owner said "
                                  << ByNew << ", the old one " << ByOld
                                  << " after " << Cluster.executions("k")
                                  << " executions");
  }
}

/// An owner that does not know yet that it was fenced does not know the calls
/// of the new owner.
BOOST_AUTO_TEST_CASE(by_an_old_owner_that_answers_from_memory) {
  FakeCluster Cluster;
  SubmitCallRequest Begin = payout("p", "first");
  Begin.Bounds.MaxTurns = 2;
  BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e1", Begin), "answered");
  Cluster.entry("e2").Ports.SuspectedGone = {InstanceId("e1")};
  SubmitCallRequest Third = payout("p", "k");
  Third.Sequence = 2;
  BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e2", Third), "answered");
  // In the memory of the old owner sequence 2 is next, so 3 must wait.
  Third.Sequence = 3;
  Third.Remaining = Duration(0);
  const std::string ByOld = callOrCrash(Cluster, "e1", Third);
  BOOST_CHECK_MESSAGE(ByOld.find("not run") == std::string::npos,
                      "the old owner said " << ByOld << " after "
                                            << Cluster.executions("k")
                                            << " execution");
}

BOOST_AUTO_TEST_SUITE_END()

/// A restarted process has lost its attempt table, so the outcome of earlier
/// attempts can never be learned.
BOOST_AUTO_TEST_CASE(has_a_final_unknown_outcome_when_its_endpoint_restarts) {
  FakeCluster Cluster;
  Cluster.FaultHook = [&Cluster](const PortCall &Call) {
    if (Call.What == Port::Ask && Call.Number == 1)
      Cluster.restartProcess(Call.At.text());
    return Call.What == Port::Execute ? Fault::AnswerLost : Fault::None;
  };
  for (const char *Entry : {"e1", "e1", "e2", "e2"}) {
    if (std::string(Entry) == "e2")
      Cluster.setState("e1", MemberState::Gone);
    BOOST_CHECK_EQUAL(callOrCrash(Cluster, Entry, payout("p", "k")),
                      "outcome_unknown");
  }
  BOOST_CHECK_EQUAL(Cluster.executions("k"), 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_program)

BOOST_AUTO_TEST_CASE(keeps_its_history_and_order_across_owners) {
  FakeCluster Cluster;
  const std::vector<std::string> Entries{"e1", "e1", "e2", "e3"};
  for (std::size_t Turn = 0; Turn < Entries.size(); ++Turn) {
    const std::string &Entry = Entries[Turn];
    const std::string &Before = Entries[Turn == 0 ? 0 : Turn - 1];
    if (Before != Entry)
      Cluster.entry(Entry).Ports.SuspectedGone = {InstanceId(Before)};
    SubmitCallRequest Request = chat("p", "question " + std::to_string(Turn));
    Request.Sequence = Turn + 1;
    BOOST_CHECK_EQUAL(callOrCrash(Cluster, Entry, Request), "answered");
  }
  const Json Sent = Json::parse(Cluster.LastBody).at("messages");
  std::string Contents;
  for (const Json &Message : Sent)
    Contents += Message.at("content").get<std::string>() + ";";
  BOOST_CHECK_EQUAL(Contents, "question 0;question 0;question 1;question 1;"
                              "question 2;question 2;question 3;");
}

/// The first call of an entry must be able to retry, although no earlier
/// success has filled the retry budget.
BOOST_AUTO_TEST_CASE(retries_its_first_call_at_another_endpoint) {
  FakeCluster Cluster;
  Cluster.FaultHook = [&Cluster](const PortCall &Call) {
    if (Call.What != Port::Execute || Cluster.count(Port::Execute) > 1)
      return Fault::None;
    Cluster.setState(Call.At.text(), MemberState::Gone);
    return Fault::AnswerLost;
  };
  SubmitCallRequest Request = chat("p", "question");
  Request.Repeatable = true;
  BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e1", Request), "answered");
  BOOST_CHECK_EQUAL(Cluster.count(Port::Execute), 2U);
}

BOOST_AUTO_TEST_CASE(waits_for_the_previous_call_until_the_deadline) {
  FakeCluster Cluster;
  BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e1", payout("p", "1")), "answered");
  SubmitCallRequest Third = payout("p", "3");
  Third.Sequence = 3;
  Third.Remaining = Duration(0);
  BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e1", Third),
                    "wrong_sequence, not run");
  Third.Remaining = std::chrono::seconds(60);
  std::string Waited;
  std::thread Early([&] { Waited = callOrCrash(Cluster, "e1", Third); });
  while (Cluster.entry("e1").Programs->counts().Waited == 0)
    std::this_thread::yield();
  BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e1", payout("p", "2")), "answered");
  Early.join();
  BOOST_CHECK_EQUAL(Waited, "answered");
  BOOST_CHECK_EQUAL(reportAt(Cluster, "e1", "p").NextSequence, 4U);
}

BOOST_AUTO_TEST_CASE(gives_a_joined_call_the_same_complete_answer) {
  FakeCluster Cluster;
  Expected<CallReply> Joined;
  std::thread Second;
  Cluster.FaultHook = [&](const PortCall &Call) {
    if (Call.What == Port::Execute) {
      Second = std::thread(
          [&] { Joined = callAt(Cluster, "e1", payout("p", "k")); });
      while (Cluster.entry("e1").Programs->counts().Joined == 0)
        std::this_thread::yield();
    }
    return Fault::None;
  };
  const auto First = callAt(Cluster, "e1", payout("p", "k"));
  Second.join();
  BOOST_REQUIRE_EQUAL(describe(First), "answered");
  BOOST_REQUIRE_EQUAL(describe(Joined), "answered again");
  BOOST_CHECK_EQUAL(Joined->Answer, First->Answer);
  BOOST_CHECK_EQUAL(Cluster.executions("k"), 1U);
}

BOOST_AUTO_TEST_CASE(is_unknown_to_another_customer) {
  FakeCluster Cluster;
  BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e1", payout("p", "1")), "answered");
  SubmitCallRequest Foreign = payout("p", "2");
  Foreign.Customer = CustomerId("pampa");
  BOOST_CHECK_EQUAL(callOrCrash(Cluster, "e1", Foreign),
                    "unknown_program, not run");
  const auto Report = Cluster.entry("e1").Programs->program(
      {ProgramId("p"), CustomerId("pampa"), true, 0});
  BOOST_REQUIRE(!Report);
  BOOST_CHECK_EQUAL(Report.error().Kind, ErrorKind::UnknownProgram);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_budget)

BOOST_AUTO_TEST_CASE(limits_sub_agents_that_run_at_once) {
  FakeCluster Cluster;
  SubmitCallRequest Root = chat("p", "root");
  Root.Budget = 100;
  BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e1", Root), "answered");
  const TokenCount Before = reportAt(Cluster, "e1", "p").Settled;
  std::vector<std::string> Answers(6);
  std::vector<std::thread> Agents;
  for (std::size_t Agent = 0; Agent < Answers.size(); ++Agent)
    Agents.emplace_back([&, Agent] {
      const std::string Name = std::to_string(Agent);
      Answers[Agent] =
          callOrCrash(Cluster, "e1", chat("p/" + Name, "a" + Name));
    });
  for (std::thread &Agent : Agents)
    Agent.join();
  const ProgramReport After = reportAt(Cluster, "e1", "p");
  BOOST_CHECK_GT(After.Settled, Before);
  BOOST_CHECK_LE(After.Settled, 100U);
  BOOST_CHECK_EQUAL(After.Reserved, 0U);
  BOOST_CHECK_GT(
      std::count(Answers.begin(), Answers.end(), "budget_exceeded, not run"),
      0);
}

BOOST_AUTO_TEST_CASE(stays_reserved_until_the_result_of_a_lost_call_is_known) {
  FakeCluster Cluster;
  injectFaults(Cluster, "e1", {{Port::Execute, 1, Fault::DieAfter}});
  SubmitCallRequest Request = chat("p", "root");
  Request.Budget = 60;
  BOOST_REQUIRE_EQUAL(callOrCrash(Cluster, "e1", Request), "died");
  Cluster.setState("e1", MemberState::Gone);
  injectFaults(Cluster, "e2", {{Port::Ask, 1, Fault::Unreachable}});
  const ProgramReport Open = reportAt(Cluster, "e2", "p");
  BOOST_CHECK_GT(Open.Reserved, 0U);
  BOOST_CHECK_EQUAL(Open.Settled, 0U);
  const ProgramReport Settled = reportAt(Cluster, "e2", "p");
  BOOST_CHECK_EQUAL(Settled.Reserved, 0U);
  BOOST_CHECK_GT(Settled.Settled, 0U);
  BOOST_CHECK_LE(Settled.Settled, Open.Reserved);
}

BOOST_AUTO_TEST_CASE(ends_a_looping_program_at_its_turn_limit) {
  FakeCluster Cluster;
  std::vector<std::string> Answers;
  for (unsigned Turn = 0; Turn < 5; ++Turn) {
    SubmitCallRequest Request = payout("p", std::to_string(Turn));
    Request.Bounds.MaxTurns = 3;
    Answers.push_back(callOrCrash(Cluster, "e1", Request));
  }
  const std::vector<std::string> Wanted{"answered", "answered", "answered",
                                        "limit_reached, not run",
                                        "program_ended, not run"};
  BOOST_CHECK_EQUAL_COLLECTIONS(Answers.begin(), Answers.end(), Wanted.begin(),
                                Wanted.end());
  BOOST_CHECK_EQUAL(reportAt(Cluster, "e1", "p").Ended, "TurnLimit");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
