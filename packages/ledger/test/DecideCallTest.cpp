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

/// A short text of a decision, so that the tables below stay readable.
std::string textOf(const CallDecision &Decision) {
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
  std::string Text = answerOf(Refused.Why.Kind).Name;
  Text += Refused.Why.Proof == NotRun::Proved ? ", not run" : "";
  if (Refused.EndRecord)
    Text += ", ends " + Refused.EndRecord->Program.text() + " for " +
            Json(std::get<ProgramEnd>(Refused.EndRecord->Body).Reason)
                .get<std::string>();
  return Text;
}

std::string name(ErrorKind Kind, const std::string &Rest) {
  return answerOf(Kind).Name + Rest;
}

struct Row {
  std::string What;
  std::vector<Record> Log;
  CallRequest Request;
  std::string Expected;
  std::int64_t NowMs = StartMs;
};

void checkRows(const std::vector<Row> &Rows) {
  for (const Row &Each : Rows)
    BOOST_TEST_CONTEXT(Each.What) {
      const Expected<ProgramTree> Now = replay(Root, Each.Log);
      BOOST_REQUIRE_MESSAGE(Now, Now.error());
      BOOST_TEST(textOf(decideCall(*Now, Each.Request, Each.NowMs)) ==
                 Each.Expected);
    }
}

CallRequest with(CallRequest Request, const std::string &Key, bool Repeatable,
                 TokenCount WorstCase = 30) {
  Request.IdempotencyKey = Key;
  Request.Repeatable = Repeatable;
  Request.WorstCase = WorstCase;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

BOOST_AUTO_TEST_CASE(beginTheirProgramAndRunInOrder) {
  const Record First{Root, start()};
  const Record Sent = intent(Root, 1, false);
  const Record Done = result(Root, 1, Outcome::Completed);
  CallRequest Late = request(Root, 1, "d1");
  Late.MayBegin = false;
  checkRows({
      {"first call",
       {},
       request(Root, 1, "d1"),
       "begin new sequence 1 attempt 1"},
      {"unnumbered",
       {},
       request(Root, {}, "d1"),
       "begin new sequence 1 attempt 1"},
      {"unknown",
       {},
       request(Root, 2, "d2"),
       name(ErrorKind::UnknownProgram, ", not run")},
      {"may not begin", {}, Late, name(ErrorKind::UnknownProgram, ", not run")},
      {"child before its root",
       {},
       request(Child, 1, "d1"),
       name(ErrorKind::UnknownProgram, ", not run")},
      {"child",
       {First},
       request(Child, 1, "d1"),
       "begin new sequence 1 attempt 1"},
      {"gap", {First}, request(Root, 2, "d2"), "wait for 1"},
      {"one at a time", {First, Sent}, request(Root, 2, "d2"), "wait for 2"},
      {"next",
       {First, Sent, Done},
       request(Root, {}, "d2"),
       "start new sequence 2 attempt 1"},
      {"zero",
       {First, Sent, Done},
       request(Root, 0, "d0"),
       name(ErrorKind::WrongSequence, ", not run")},
  });
}

BOOST_AUTO_TEST_CASE(askedForTwiceRunOnce) {
  const Record First{Root, start()};
  const Record Once = intent(Root, 1, false);
  const Record Often = intent(Root, 1, true);
  const CallRequest Again = request(Root, 1, "d1");
  const CallRequest ByKey = with(request(Root, {}, "d1"), "k1", false);
  const CallRequest Retry = with(Again, "k1", true);
  const auto End = [&](const Record &Sent, Outcome How) {
    return std::vector<Record>{First, Sent, result(Root, 1, How)};
  };
  std::vector<Record> Twice = End(Often, Outcome::Failed);
  Twice.push_back(intent(Root, 1, true, 2));
  Twice.push_back(result(Root, 1, Outcome::NotRun, 2));
  std::vector<Record> Later = End(Once, Outcome::NotRun);
  Later.push_back(intent(Root, 2, false));
  std::vector<Record> TwiceEnded = Twice;
  TwiceEnded.push_back({Root, ProgramEnd{}});
  const std::string Retried = "start p1 sequence 1 attempt 2";
  checkRows({
      {"running", {First, Once}, Again, "join p1"},
      {"running, by key", {First, Once}, ByKey, "join p1"},
      {"completed", End(Once, Outcome::Completed), ByKey, "stored Completed"},
      {"failed", End(Once, Outcome::Failed), Again, "stored Failed"},
      {"unknown", End(Once, Outcome::Unknown), Again, "stored Unknown"},
      {"not run", End(Once, Outcome::NotRun), Again, Retried},
      {"not run, later began", Later, Again, "stored NotRun"},
      {"repeatable failed", End(Often, Outcome::Failed), Retry, Retried},
      {"repeatable unknown", End(Often, Outcome::Unknown), Retry, Retried},
      {"no longer repeatable", End(Often, Outcome::Failed), Again,
       "stored Failed"},
      {"ran before it did not", Twice, Retry, "start p1 sequence 1 attempt 3"},
      {"refused retry of what ran", TwiceEnded, Retry,
       name(ErrorKind::ProgramEnded, "")},
      {"other body",
       {First, Once},
       request(Root, 1, "x"),
       name(ErrorKind::KeyReused, ", not run")},
      {"other body, by key",
       {First, Once},
       with(request(Root, {}, "x"), "k1", false),
       name(ErrorKind::KeyReused, ", not run")},
  });
  BOOST_TEST(
      answerFor(replay(Root, Twice)->Programs.at(Root).Calls.at(CallId("p1")))
          .How == Outcome::Failed);
}

BOOST_AUTO_TEST_CASE(stopAtTheLimitsOfTheProgramAndItsRoot) {
  const Record First{Root, start()};
  ProgramStart Short = start();
  Short.Bounds = {1, Duration(0)};
  const std::vector<Record> Turned{{Root, Short},
                                   intent(Root, 1, false),
                                   result(Root, 1, Outcome::Completed)};
  const std::vector<Record> Over{First, {Child, start()}, {Root, ProgramEnd{}}};
  std::vector<Record> Stored = Turned;
  Stored.push_back({Root, ProgramEnd{EndReason::TurnLimit}});
  const std::vector<Record> Spent{
      First, {Child, start()}, intent(Child, 1, false), intent(Root, 1, false)};
  checkRows({
      {"turns", Turned, request(Root, 2, "d2"),
       name(ErrorKind::LimitReached, ", not run, ends p for TurnLimit")},
      {"wall time",
       {First},
       request(Root, 1, "d1"),
       name(ErrorKind::LimitReached, ", not run, ends p for TimeLimit"),
       StartMs + LimitMs},
      {"just in time",
       {First},
       request(Root, 1, "d1"),
       "start new sequence 1 attempt 1",
       StartMs + LimitMs - 1},
      {"child of an ended root", Over, request(Child, 1, "d1"),
       name(ErrorKind::ProgramEnded, ", not run")},
      {"known call of an ended program", Stored, request(Root, 1, "d1"),
       "stored Completed"},
      {"budget shared by sub-agents", Spent,
       with(request(ProgramId("p/b"), 1, "d1"), "", false, 41),
       name(ErrorKind::BudgetExceeded, ", not run")},
      {"the rest of the budget", Spent,
       with(request(ProgramId("p/b"), 1, "d1"), "", false, 40),
       "begin new sequence 1 attempt 1"},
  });
}

BOOST_AUTO_TEST_CASE(thatBreakAnInvariantAreNoRecords) {
  const Record First{Root, start()};
  const Record Sent = intent(Root, 1, false);
  Record Dear = Sent;
  std::get<Intent>(Dear.Body).Reserved = 101;
  const std::vector<std::pair<std::string, std::vector<Record>>> Refused{
      {"begun twice", {First, First}},
      {"another root", {First, {ProgramId("q"), start()}}},
      {"intent before begun", {Sent}},
      {"two at once", {First, Sent, intent(Root, 2, false)}},
      {"a gap", {First, intent(Root, 2, false)}},
      {"over budget", {First, Dear}},
      {"result without intent", {First, result(Root, 1, Outcome::Failed)}},
      {"another's result",
       {First, {Child, start()}, Sent, result(Child, 1, Outcome::Failed)}},
      {"late result",
       {First, Sent, result(Root, 1, Outcome::NotRun),
        intent(Root, 1, false, 2), result(Root, 1, Outcome::Completed)}},
      {"repeated unknown",
       {First, Sent, result(Root, 1, Outcome::Unknown),
        intent(Root, 1, false, 2)}},
      {"intent after the end", {First, {Root, ProgramEnd{}}, Sent}},
  };
  for (const auto &[What, Log] : Refused)
    BOOST_TEST(!replay(Root, Log), What);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
