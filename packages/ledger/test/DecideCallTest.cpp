#include "tamarack/ledger/Program.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {

namespace {

const ProgramId Root("p");
const ProgramId Child("p/a");
constexpr std::int64_t StartMs = 1000;
constexpr std::int64_t LimitMs = 60000;

ProgramStart start() {
  ProgramStart Start;
  Start.Budget = 100;
  Start.Bounds = {4, std::chrono::milliseconds(LimitMs)};
  Start.StartedMs = StartMs;
  return Start;
}

Record intent(const ProgramId &Program, std::uint64_t Sequence, bool Repeatable,
              std::uint32_t Attempt = 1) {
  Intent Sent;
  Sent.Call = CallId(Program.text() + std::to_string(Sequence));
  Sent.Sequence = Sequence;
  Sent.IdempotencyKey = "k" + std::to_string(Sequence);
  Sent.Digest = "d" + std::to_string(Sequence);
  Sent.Attempt = Attempt;
  Sent.Repeatable = Repeatable;
  Sent.Reserved = 30;
  return {Program, Sent};
}

Record result(const ProgramId &Program, std::uint64_t Sequence, Outcome How,
              std::uint32_t Attempt = 1) {
  AttemptResult Done;
  Done.Call = CallId(Program.text() + std::to_string(Sequence));
  Done.Attempt = Attempt;
  Done.How = How;
  Done.Used = 10;
  return {Program, Done};
}

CallRequest request(const ProgramId &Program,
                    std::optional<std::uint64_t> Sequence,
                    const std::string &Digest) {
  CallRequest Request;
  Request.Program = Program;
  Request.Sequence = Sequence;
  Request.Digest = Digest;
  Request.WorstCase = 30;
  Request.MayBegin = true;
  Request.IfNew = start();
  Request.Call = CallId("new");
  return Request;
}

/// A short description of a decision, to keep the tables below readable.
std::string describe(const CallDecision &Decision) {
  if (const auto *Start = std::get_if<StartCall>(&Decision))
    return std::string(Start->BeginFirst ? "begin " : "start ") +
           Start->Call.text() + " sequence " + std::to_string(Start->Sequence) +
           " attempt " + std::to_string(Start->Attempt);
  if (const auto *Join = std::get_if<JoinCall>(&Decision))
    return "join " + Join->Call.text();
  if (const auto *Stored = std::get_if<StoredAnswer>(&Decision))
    return "stored " + Json(Stored->Answer.How).get<std::string>();
  if (const auto *Wait = std::get_if<WaitForTurn>(&Decision))
    return "wait for " + std::to_string(Wait->Next);
  const auto &Refused = std::get<CallRefusal>(Decision);
  std::string Text = answerOf(Refused.Cause.Kind).Name;
  Text += Refused.Cause.Proof == NotRun::Proved ? ", not run" : "";
  if (Refused.EndRecord)
    Text += ", ends " + Refused.EndRecord->Program.text() + " for " +
            Json(std::get<ProgramEnd>(Refused.EndRecord->Body).Reason)
                .get<std::string>();
  return Text;
}

std::string withName(ErrorKind Kind, const std::string &Rest) {
  return answerOf(Kind).Name + Rest;
}

struct DecisionCase {
  std::string Name;
  std::vector<Record> Log;
  CallRequest Request;
  std::string Expected;
  std::int64_t NowMs = StartMs;
};

void checkDecisions(const std::vector<DecisionCase> &Cases) {
  for (const DecisionCase &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Name) {
      const Expected<ProgramTree> Tree = replay(Root, Case.Log);
      BOOST_REQUIRE_MESSAGE(Tree, Tree.error());
      BOOST_TEST(describe(decideCall(*Tree, Case.Request, Case.NowMs)) ==
                 Case.Expected);
    }
}

CallRequest withKey(CallRequest Request, const std::string &Key,
                    bool Repeatable, TokenCount WorstCase = 30) {
  Request.IdempotencyKey = Key;
  Request.Repeatable = Repeatable;
  Request.WorstCase = WorstCase;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecideCall)

BOOST_AUTO_TEST_CASE(callsStartTheirProgramAndRunInOrder) {
  const Record First{Root, start()};
  const Record Sent = intent(Root, 1, false);
  const Record Done = result(Root, 1, Outcome::Completed);
  CallRequest NoBegin = request(Root, 1, "d1");
  NoBegin.MayBegin = false;
  checkDecisions({
      {"first call",
       {},
       request(Root, 1, "d1"),
       "begin new sequence 1 attempt 1"},
      {"first call without a sequence",
       {},
       request(Root, {}, "d1"),
       "begin new sequence 1 attempt 1"},
      {"later call of an unknown program",
       {},
       request(Root, 2, "d2"),
       withName(ErrorKind::UnknownProgram, ", not run")},
      {"may not begin",
       {},
       NoBegin,
       withName(ErrorKind::UnknownProgram, ", not run")},
      {"sub-agent before its root",
       {},
       request(Child, 1, "d1"),
       withName(ErrorKind::UnknownProgram, ", not run")},
      {"sub-agent",
       {First},
       request(Child, 1, "d1"),
       "begin new sequence 1 attempt 1"},
      {"gap in the sequence", {First}, request(Root, 2, "d2"), "wait for 1"},
      {"earlier call running",
       {First, Sent},
       request(Root, 2, "d2"),
       "wait for 2"},
      {"next call",
       {First, Sent, Done},
       request(Root, {}, "d2"),
       "start new sequence 2 attempt 1"},
      {"sequence zero",
       {First, Sent, Done},
       request(Root, 0, "d0"),
       withName(ErrorKind::WrongSequence, ", not run")},
  });
}

BOOST_AUTO_TEST_CASE(repeatedRequestsRunOnce) {
  const Record First{Root, start()};
  const Record OneTime = intent(Root, 1, false);
  const Record Retriable = intent(Root, 1, true);
  const CallRequest Again = request(Root, 1, "d1");
  const CallRequest ByKey = withKey(request(Root, {}, "d1"), "k1", false);
  const CallRequest Retry = withKey(Again, "k1", true);
  const auto End = [&](const Record &Sent, Outcome How) {
    return std::vector<Record>{First, Sent, result(Root, 1, How)};
  };
  std::vector<Record> Twice = End(Retriable, Outcome::Failed);
  Twice.push_back(intent(Root, 1, true, 2));
  Twice.push_back(result(Root, 1, Outcome::NotRun, 2));
  std::vector<Record> Later = End(OneTime, Outcome::NotRun);
  Later.push_back(intent(Root, 2, false));
  std::vector<Record> TwiceEnded = Twice;
  TwiceEnded.push_back({Root, ProgramEnd{}});
  const std::string Retried = "start p1 sequence 1 attempt 2";
  checkDecisions({
      {"running", {First, OneTime}, Again, "join p1"},
      {"running, by key", {First, OneTime}, ByKey, "join p1"},
      {"completed", End(OneTime, Outcome::Completed), ByKey,
       "stored Completed"},
      {"failed", End(OneTime, Outcome::Failed), Again, "stored Failed"},
      {"unknown", End(OneTime, Outcome::Unknown), Again, "stored Unknown"},
      {"not run", End(OneTime, Outcome::NotRun), Again, Retried},
      {"not run, later call started", Later, Again, "stored NotRun"},
      {"repeatable failed", End(Retriable, Outcome::Failed), Retry, Retried},
      {"repeatable unknown", End(Retriable, Outcome::Unknown), Retry, Retried},
      {"no longer repeatable", End(Retriable, Outcome::Failed), Again,
       "stored Failed"},
      {"failed, then not run", Twice, Retry, "start p1 sequence 1 attempt 3"},
      {"refused retry of a call that ran", TwiceEnded, Retry,
       withName(ErrorKind::ProgramEnded, "")},
      {"different request",
       {First, OneTime},
       request(Root, 1, "x"),
       withName(ErrorKind::KeyReused, ", not run")},
      {"different request, by key",
       {First, OneTime},
       withKey(request(Root, {}, "x"), "k1", false),
       withName(ErrorKind::KeyReused, ", not run")},
  });
  BOOST_TEST(
      answerFor(replay(Root, Twice)->Programs.at(Root).Calls.at(CallId("p1")))
          .How == Outcome::Failed);
}

BOOST_AUTO_TEST_CASE(limitsOfTheProgramAndItsRootStopCalls) {
  const Record First{Root, start()};
  ProgramStart Short = start();
  Short.Bounds = {1, Duration(0)};
  const std::vector<Record> TurnLimitReached{
      {Root, Short},
      intent(Root, 1, false),
      result(Root, 1, Outcome::Completed)};
  const std::vector<Record> RootEnded{
      First, {Child, start()}, {Root, ProgramEnd{}}};
  std::vector<Record> Stored = TurnLimitReached;
  Stored.push_back({Root, ProgramEnd{EndReason::TurnLimit}});
  const std::vector<Record> BudgetReserved{
      First, {Child, start()}, intent(Child, 1, false), intent(Root, 1, false)};
  checkDecisions({
      {"turn limit", TurnLimitReached, request(Root, 2, "d2"),
       withName(ErrorKind::LimitReached, ", not run, ends p for TurnLimit")},
      {"wall time limit",
       {First},
       request(Root, 1, "d1"),
       withName(ErrorKind::LimitReached, ", not run, ends p for TimeLimit"),
       StartMs + LimitMs},
      {"just within the wall time limit",
       {First},
       request(Root, 1, "d1"),
       "start new sequence 1 attempt 1",
       StartMs + LimitMs - 1},
      {"sub-agent of an ended root", RootEnded, request(Child, 1, "d1"),
       withName(ErrorKind::ProgramEnded, ", not run")},
      {"answered call of an ended program", Stored, request(Root, 1, "d1"),
       "stored Completed"},
      {"budget shared by sub-agents", BudgetReserved,
       withKey(request(ProgramId("p/b"), 1, "d1"), "", false, 41),
       withName(ErrorKind::BudgetExceeded, ", not run")},
      {"exactly the remaining budget", BudgetReserved,
       withKey(request(ProgramId("p/b"), 1, "d1"), "", false, 40),
       "begin new sequence 1 attempt 1"},
  });
}

BOOST_AUTO_TEST_CASE(replayRefusesRecordsThatBreakAnInvariant) {
  const Record First{Root, start()};
  const Record Sent = intent(Root, 1, false);
  Record OverBudget = Sent;
  std::get<Intent>(OverBudget.Body).Reserved = 101;
  const std::vector<std::pair<std::string, std::vector<Record>>> Refused{
      {"started twice", {First, First}},
      {"another root", {First, {ProgramId("q"), start()}}},
      {"intent before the start", {Sent}},
      {"two calls at once", {First, Sent, intent(Root, 2, false)}},
      {"gap in the sequence", {First, intent(Root, 2, false)}},
      {"over budget", {First, OverBudget}},
      {"result without intent", {First, result(Root, 1, Outcome::Failed)}},
      {"result of another program's call",
       {First, {Child, start()}, Sent, result(Child, 1, Outcome::Failed)}},
      {"result of an earlier attempt",
       {First, Sent, result(Root, 1, Outcome::NotRun),
        intent(Root, 1, false, 2), result(Root, 1, Outcome::Completed)}},
      {"retry of an unknown outcome",
       {First, Sent, result(Root, 1, Outcome::Unknown),
        intent(Root, 1, false, 2)}},
      {"intent after the end", {First, {Root, ProgramEnd{}}, Sent}},
  };
  for (const auto &[Name, Log] : Refused)
    BOOST_TEST(!replay(Root, Log), Name);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
