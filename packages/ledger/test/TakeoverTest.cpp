#include "tamarack/ledger/Takeover.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {

namespace {

const ProgramId Root("p");
const Record First{Root, ProgramStart{}};
const Record End{Root, ProgramEnd{}};

Record intent(const std::string &Call) {
  Intent Sent;
  Sent.Call = CallId(Call);
  return {Root, Sent};
}

Record result(const std::string &Call) {
  AttemptResult Done;
  Done.Call = CallId(Call);
  Done.How = Outcome::Completed;
  return {Root, Done};
}

using Log = std::vector<Record>;

struct ReconciliationCase {
  std::string Name;
  std::vector<Log> Copies;
  Log Expected;
  /// The calls to ask the endpoint about, and those proved not to have run.
  std::vector<std::string> AskEndpoint, NotRun;
};

std::vector<SealedLog> toSealedLogs(const std::vector<Log> &Copies) {
  std::vector<SealedLog> Sealed;
  Sealed.reserve(Copies.size());
  for (const Log &Copy : Copies)
    Sealed.push_back({FolderId("f" + std::to_string(Sealed.size())), Copy});
  return Sealed;
}

std::vector<std::string> callsWith(const LogReconciliation &Reconciled,
                                   OpenCallResolution Resolution) {
  std::vector<std::string> Calls;
  for (const OpenCall &Open : Reconciled.OpenCalls)
    if (Open.Resolution == Resolution)
      Calls.push_back(Open.Sent.Call.text());
  return Calls;
}

/// Carries out the first \p Count repairs, like an owner that crashes after
/// them.
void repair(std::vector<SealedLog> &Sealed, const LogReconciliation &Reconciled,
            std::size_t Count, Epoch At) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    for (SealedLog &Copy : Sealed)
      if (Copy.Folder == Reconciled.Repairs[Index].Folder) {
        ShardCopy Held{At, {{Root, Copy.Records}}, {}};
        BOOST_TEST(!!applyInstall(Held, Reconciled.Repairs[Index].Change));
        Copy.Records = logOf(Held, Root);
      }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Takeover)

BOOST_AUTO_TEST_CASE(reconcilesLogsThatDiffer) {
  const Record A = intent("a"), B = intent("b");
  const Record DoneA = result("a");
  const std::vector<ReconciliationCase> Cases{
      {"equal",
       {{First, A, DoneA}, {First, A, DoneA}},
       {First, A, DoneA},
       {},
       {}},
      {"intent on one", {{First, A}, {First}}, {First}, {}, {"a"}},
      {"intent on both", {{First, A}, {First, A}}, {First, A}, {"a"}, {}},
      {"one of two sealed", {{First, A}}, {First, A}, {"a"}, {}},
      {"intent on two of three",
       {{First, A}, {First}, {First, A}},
       {First},
       {},
       {"a"}},
      {"result on one",
       {{First, A, DoneA}, {First, A}},
       {First, A, DoneA},
       {},
       {}},
      {"result without its intent",
       {{First, A, DoneA}, {First}},
       {First, A, DoneA},
       {},
       {}},
      {"start on one", {{First}, {}}, {First}, {}, {}},
      {"end on one", {{First}, {First, End}}, {First, End}, {}, {}},
      {"two intents, the first with a result",
       {{First, A, B, DoneA}, {First, A}},
       {First, A, DoneA},
       {},
       {"b"}},
      {"partly repaired",
       {{First, A, B, DoneA}, {First, A, DoneA}},
       {First, A, DoneA},
       {},
       {"b"}},
      {"empty logs", {{}, {}}, {}, {}, {}},
  };
  for (const ReconciliationCase &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Name) {
      std::vector<SealedLog> Sealed = toSealedLogs(Case.Copies);
      const LogReconciliation Initial = reconcileLogs(Root, Sealed, 2, 5);
      BOOST_TEST(Initial.Log == Case.Expected,
                 boost::test_tools::per_element());
      BOOST_TEST(callsWith(Initial, OpenCallResolution::AskEndpoint) ==
                     Case.AskEndpoint,
                 boost::test_tools::per_element());
      BOOST_TEST(callsWith(Initial, OpenCallResolution::NotRun) == Case.NotRun,
                 boost::test_tools::per_element());
      BOOST_TEST(Initial.Complete == (Sealed.size() == 2));
      std::reverse(Sealed.begin(), Sealed.end());
      BOOST_TEST(reconcileLogs(Root, Sealed, 2, 5).Log == Initial.Log,
                 boost::test_tools::per_element());
      for (std::size_t Done = 0; Done <= Initial.Repairs.size(); ++Done) {
        std::vector<SealedLog> PartlyRepaired = toSealedLogs(Case.Copies);
        repair(PartlyRepaired, Initial, Done, 5);
        const LogReconciliation Repeated =
            reconcileLogs(Root, PartlyRepaired, 2, 6);
        BOOST_TEST(Repeated.Log == Initial.Log, "after " << Done << " repairs");
        repair(PartlyRepaired, Repeated, Repeated.Repairs.size(), 6);
        for (const SealedLog &Copy : PartlyRepaired)
          BOOST_TEST(Copy.Records == Initial.Log);
      }
    }
}

BOOST_AUTO_TEST_CASE(copyAcceptsChangesOfTheSealedEpochOnly) {
  ShardCopy Copy;
  const auto KindOf = [](const Expected<void> &Done) {
    return Done ? std::string("done") : answerOf(Done.error().Kind).Name;
  };
  const std::string Fenced = answerOf(ErrorKind::Fenced).Name;
  const std::string Gap = answerOf(ErrorKind::WrongSequence).Name;
  BOOST_TEST(KindOf(applyAppend(Copy, {0, Root, 0, First})) == Fenced);
  BOOST_TEST(KindOf(applySeal(Copy, 7)) == "done");
  BOOST_TEST(KindOf(applySeal(Copy, 7)) == "done");
  BOOST_TEST(KindOf(applySeal(Copy, 6)) == Fenced);
  BOOST_TEST(KindOf(applyAppend(Copy, {6, Root, 0, First})) == Fenced);
  BOOST_TEST(KindOf(applyAppend(Copy, {8, Root, 0, First})) == Fenced);
  BOOST_TEST(KindOf(applyAppend(Copy, {7, Root, 1, First})) == Gap);
  BOOST_TEST(KindOf(applyAppend(Copy, {7, Root, 0, First})) == "done");
  BOOST_TEST(KindOf(applyAppend(Copy, {7, Root, 0, First})) == "done");
  BOOST_TEST(KindOf(applyAppend(Copy, {7, Root, 0, End})) == Fenced);
  BOOST_TEST(KindOf(applyInstall(Copy, {6, Root, 0, {First}})) == Fenced);
  BOOST_TEST(KindOf(applyInstall(Copy, {7, Root, 2, {End}})) == Gap);
  // The log has changed at this epoch, so a delayed install may only add to it.
  BOOST_TEST(KindOf(applyInstall(Copy, {7, Root, 0, {End}})) == Fenced);
  BOOST_TEST(KindOf(applyInstall(Copy, {7, Root, 0, {}})) == "done");
  BOOST_TEST(logOf(Copy, Root).size() == 1U);
  BOOST_TEST(KindOf(applySeal(Copy, 8)) == "done");
  BOOST_TEST(KindOf(applyInstall(Copy, {8, Root, 0, {End}})) == "done");
  BOOST_TEST(logOf(Copy, Root) == Log{End}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(fillsANewCopyAndProtectsItFromDelayedInstalls) {
  const ProgramId Old("old");
  ShardCopy Copy{4, {{Root, {First}}, {Old, {End}}}, {}};
  const std::map<ProgramId, Log> Wanted{{Root, {First}}};
  const std::vector<Install> Changes = installsForCopy(Copy.Logs, Wanted, 4);
  for (const Install &Change : Changes)
    BOOST_TEST(!!applyInstall(Copy, Change));
  BOOST_TEST((Copy.Logs == Wanted));
  // A delayed truncation of an earlier try has no effect.
  BOOST_TEST(!!applyInstall(Copy, {4, Root, 0, {}}));
  BOOST_TEST((Copy.Logs == Wanted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
