#include "../test/SampleCall.h"
#include "tamarack/ledger/FolderStore.h"
#include "tamarack/ledger/Program.h"
#include "tamarack/ledger/Takeover.h"

#include <benchmark/benchmark.h>

namespace tamarack {

namespace {

namespace fs = std::filesystem;
const ProgramId Root("andes:brief-17");
constexpr std::uint64_t CallsPerProgram = 20;

std::vector<Record> sampleLog(std::uint64_t Calls) {
  std::vector<Record> Log{test::sampleStart(Root)};
  for (std::uint64_t Sequence = 1; Sequence <= Calls; ++Sequence) {
    Log.push_back(test::sampleIntent(Root, Sequence));
    Log.push_back(test::sampleResult(Root, Sequence));
    auto &Sent = std::get<Intent>(Log[Log.size() - 2].Body);
    Sent.IdempotencyKey += std::to_string(Sequence);
  }
  return Log;
}

void decideOneCall(benchmark::State &State) {
  const ProgramTree Tree =
      *replay(Root, sampleLog(static_cast<std::uint64_t>(State.range(0))));
  CallRequest Request;
  Request.Program = Root;
  Request.Digest = "new";
  Request.WorstCase = test::SampleReserve;
  Request.NewMessages =
      std::get<Intent>(test::sampleIntent(Root, 1).Body).NewMessages;
  for (auto _ : State)
    benchmark::DoNotOptimize(decideCall(Tree, Request, 1));
}
BENCHMARK(decideOneCall)->Arg(1)->Arg(20)->Arg(200);

void applyOneCall(benchmark::State &State) {
  const std::vector<Record> Log = sampleLog(CallsPerProgram);
  for (auto _ : State)
    benchmark::DoNotOptimize(replay(Root, Log));
  State.SetItemsProcessed(State.iterations() * CallsPerProgram);
}
BENCHMARK(applyOneCall);

void settleTwoCopies(benchmark::State &State) {
  const std::vector<Record> Log = sampleLog(CallsPerProgram);
  std::vector<Record> Shorter = Log;
  Shorter.pop_back();
  for (auto _ : State)
    benchmark::DoNotOptimize(reconcileLogs(
        Root, {{FolderId("a"), Log}, {FolderId("b"), Shorter}}, 2, 1));
}
BENCHMARK(settleTwoCopies);

/// Appends programs of 20 calls and reports the bytes per record and program.
void appendToFolder(benchmark::State &State) {
  const fs::path Path = fs::temp_directory_path() / "ledger-bench-append";
  fs::remove_all(Path);
  auto Store = FolderStore::open(Path, FolderId("f"),
                                 FolderStoreOptions{State.range(0) != 0});
  (void)(*Store)->seal(0, 1);
  const std::vector<Record> Log = sampleLog(CallsPerProgram);
  std::uint64_t Records = 0;
  for (auto _ : State) {
    const ProgramId Program("andes:brief-" +
                            std::to_string(Records / Log.size()));
    const std::uint64_t Index = Records % Log.size();
    (void)(*Store)->append(0, {1, Program, Index, Log[Index]});
    ++Records;
  }
  const auto Bytes = static_cast<double>((*Store)->bytesOnDisk());
  State.counters["bytes/record"] = Bytes / static_cast<double>(Records);
  State.counters["bytes/program"] =
      Bytes / static_cast<double>(Records) * static_cast<double>(Log.size());
  Store->reset();
  fs::remove_all(Path);
}
BENCHMARK(appendToFolder)->ArgName("sync")->Arg(0)->Arg(1);

/// Opens a folder with 400 programs of 20 calls.
void reopenFolder(benchmark::State &State) {
  constexpr std::uint64_t Programs = 400;
  const fs::path Path = fs::temp_directory_path() / "ledger-bench-reopen";
  fs::remove_all(Path);
  double Megabytes = 0;
  {
    auto Store =
        FolderStore::open(Path, FolderId("f"), FolderStoreOptions{false});
    (void)(*Store)->seal(0, 1);
    const std::vector<Record> Log = sampleLog(CallsPerProgram);
    for (std::uint64_t Program = 0; Program < Programs; ++Program)
      (void)(*Store)->install(
          0, {1, ProgramId("p" + std::to_string(Program)), 0, Log});
    Megabytes = static_cast<double>((*Store)->bytesOnDisk()) / 1e6;
  }
  for (auto _ : State)
    benchmark::DoNotOptimize(FolderStore::open(Path, FolderId("f")));
  State.counters["MB"] = Megabytes;
  State.counters["s/MB"] = benchmark::Counter(
      Megabytes, benchmark::Counter::kIsIterationInvariantRate |
                     benchmark::Counter::kInvert);
  fs::remove_all(Path);
}
BENCHMARK(reopenFolder)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace tamarack
