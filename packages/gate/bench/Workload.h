/// The programs of both users in front of one endpoint, drawn from a seed.
///
///   std::vector<ProgramScript> Programs =
///       drawPrograms(liftara(), {LoadFactor, Length, Seed}, Model);
#ifndef TAMARACK_GATE_BENCH_WORKLOAD_H
#define TAMARACK_GATE_BENCH_WORKLOAD_H

#include "FakeEngine.h"

#include "tamarack/gate/Admission.h"

#include <string>
#include <vector>

namespace tamarack {

/// Programs of one kind. Lengths are drawn evenly between half and one and a
/// half of their mean, pauses exponentially.
struct ProgramKind {
  std::string Name;
  CallClass Class = CallClass::Normal;
  /// The share of programs that are of this kind.
  double Share = 0;
  double Turns = 1;
  double FirstPrompt = 0;
  double AddedPerTurn = 0;
  double Output = 0;
  TokenCount MaxOutput = 0;
  Duration Pause{0};
  /// Whether the pause is a tool's, which announces its likely length.
  bool HasHint = false;
  /// After a turn: the pause hangs, or the program never comes back.
  double HangShare = 0;
  double DeathShare = 0;
  /// The program loops until its limit of turns.
  double LoopShare = 0;
  /// How long a caller waits for one answer.
  Duration AnswerTimeout{0};
};

struct WorkloadKinds {
  std::string Name;
  std::vector<ProgramKind> Kinds;
};

/// Long matching conversations, shorter briefs, and bulk summaries.
WorkloadKinds obrador();
/// Short urgent calls among planning agents with tool pauses, and reports.
WorkloadKinds liftara();

struct Turn {
  TokenCount NewTokens = 0;
  TokenCount Output = 0;
  Duration PauseAfter{0};
};

struct ProgramScript {
  const ProgramKind *Kind = nullptr;
  TimePoint Begins;
  std::vector<Turn> Turns;
  /// The program dies in the pause after its last turn instead of ending.
  bool Dies = false;
};

struct WorkloadSize {
  /// Offered work over what the engine can do.
  double Load = 1;
  Duration Length = std::chrono::minutes(20);
  std::uint64_t Seed = 1;
};

/// Programs in the order of their beginnings. \p Kinds must outlive them.
std::vector<ProgramScript> drawPrograms(const WorkloadKinds &Kinds,
                                        const WorkloadSize &Size,
                                        const EngineModel &Model);

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_WORKLOAD_H
