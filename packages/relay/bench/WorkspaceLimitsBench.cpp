/// The cost of limits at an entry and at a ledger in a deployment of 3,700
/// workspaces, all of which are in use.
#include "tamarack/relay/WorkspaceLimits.h"

#include <benchmark/benchmark.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(1h)};

std::vector<Workspace> workspaces(std::size_t Count) {
  std::vector<Workspace> Result(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Result[Index].Name = WorkspaceId("workspace" + std::to_string(Index));
    Result[Index].RequestsPerSecond = 5;
    Result[Index].Burst = 5;
  }
  return Result;
}

/// An entry that sent two requests of each workspace.
struct Entry {
  explicit Entry(std::size_t Count) : All(workspaces(Count)) {
    for (const Workspace &Of : All)
      for (int Sent = 0; Sent < 2; ++Sent)
        Limits.onAdmitted(Of, ProgramPhase::UnderWay, Start);
    Limits.setNews("1", {{}, 59, 1h}, Start, Start);
    Limits.fillReport(Report, Start);
    for (const char *Ledger : {"1", "2"})
      Limits.setNews(Ledger, {Report.Use, 59, 1h}, Start, Start);
  }

  const std::vector<Workspace> All;
  WorkspaceLimits Limits{{}, Start - 1min};
  WorkspaceReport Report{InstanceId("entry"), "1", 5s, {}, {}};
};

void decideOnARequest(benchmark::State &State) {
  const Entry Busy(static_cast<std::size_t>(State.range(0)));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Busy.Limits.admits(
        Busy.All[Next++ % Busy.All.size()], ProgramPhase::FirstTurn, Start));
}
BENCHMARK(decideOnARequest)->Arg(71)->Arg(3700);

void reportUse(benchmark::State &State) {
  Entry Busy(static_cast<std::size_t>(State.range(0)));
  std::string Text;
  for (auto _ : State) {
    Busy.Limits.fillReport(Busy.Report, Start);
    Text.clear();
    Json::to_cbor(Json(Busy.Report), Text);
  }
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(reportUse)->Arg(71)->Arg(3700);

void receiveNews(benchmark::State &State) {
  Entry Busy(static_cast<std::size_t>(State.range(0)));
  std::string Text;
  Json::to_cbor(Json(WorkspaceNews{Busy.Report.Use, 59, 1h}), Text);
  for (auto _ : State)
    Busy.Limits.setNews("1", Json::from_cbor(Text).get<WorkspaceNews>(), Start,
                        Start);
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(receiveNews)->Arg(71)->Arg(3700);

/// At a ledger that 400 entries report to.
void exchangeReports(benchmark::State &State) {
  const Entry Busy(static_cast<std::size_t>(State.range(0)));
  WorkspaceReports Ledger(Start);
  std::string Text;
  Json::to_cbor(Json(Busy.Report), Text);
  std::size_t Next = 0;
  for (auto _ : State) {
    auto Report = Json::from_cbor(Text).get<WorkspaceReport>();
    Report.Reporter = InstanceId("entry" + std::to_string(Next++ % 400));
    std::string Answer;
    Json::to_cbor(Json(Ledger.exchange(std::move(Report), Start)), Answer);
    benchmark::DoNotOptimize(Answer);
  }
}
BENCHMARK(exchangeReports)->Arg(71)->Arg(3700);

} // namespace
