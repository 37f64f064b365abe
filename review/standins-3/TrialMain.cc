/// Plays one trial: review-trial-3 NAME FOLDER RECORD ENTRY... -- LEDGER...
/// where ENTRY and LEDGER are the commands of the deploy file. TROUBLE=0 leaves
/// the disruption out.
#include "BudgetTrials.hpp"
#include "CrashTrials.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

int main(int Count, char **Arguments) {
  using namespace tamarack;
  using namespace tamarack::review;
  const std::map<std::string, Trial> Trials = {
      {"deadly-call", playDeadlyCall},
      {"records-lost", playRecordsLost},
      {"two-routes", playTwoRoutes}};
  if (Count < 5 || Trials.count(Arguments[1]) == 0) {
    std::cerr << "usage: review-trial-3 NAME FOLDER RECORD ENTRY... -- "
                 "LEDGER...\n";
    return static_cast<int>(Verdict::NotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  SceneOptions Options;
  Options.Folder = Arguments[2];
  Options.Entries = std::string(Arguments[1]) == "records-lost" ? 4 : 2;
  bool IsLedger = false;
  for (int Index = 4; Index < Count; ++Index) {
    const std::string Word = Arguments[Index];
    if (Word == "--")
      IsLedger = true;
    else
      (IsLedger ? Options.LedgerCommand : Options.EntryCommand).push_back(Word);
  }
  const char *const Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  Loop Io(1);
  Record Log(Arguments[3]);
  Verdict Result = Verdict::NotRun;
  {
    Scene Stage(Io, std::move(Options), Log);
    spawn(Io,
          [](Scene &Stage, const Trial &Play, bool HasTrouble, Loop &Io,
             Verdict &Result) -> Task<void> {
            Result = co_await Play(Stage, HasTrouble);
            Io.stop();
          }(Stage, Trials.at(Arguments[1]), HasTrouble, Io, Result));
    Io.run();
    for (const auto &Each : Stage.Entries)
      Each->kill();
    for (const auto &Each : Stage.Ledgers)
      Each->kill();
  }
  const char *const Names[] = {"held", "BROKEN", "could not run"};
  Log.add(std::string("verdict: ") + Names[static_cast<int>(Result)]);
  std::cout << Arguments[1] << " (trouble " << HasTrouble
            << "): " << Names[static_cast<int>(Result)] << std::endl;
  std::_Exit(static_cast<int>(Result));
}
