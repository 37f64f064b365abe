/// Generates the programs of both users at one endpoint from a seed.
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

/// One kind of program. Turns, FirstPrompt, AddedPerTurn and Output are means
/// of uniform distributions between 0.5 and 1.5 times the mean; the last three
/// are in tokens. FirstPrompt and AddedPerTurn are the new prompt tokens of the
/// first turn and of each later one. Pause is the mean of an exponential
/// distribution.
struct ProgramKind {
  std::string Name;
  CallClass Class = CallClass::Normal;
  /// The fraction of programs that are of this kind.
  double Share = 0;
  double Turns = 1;
  double FirstPrompt = 0;
  double AddedPerTurn = 0;
  double Output = 0;
  TokenCount MaxOutput = 0;
  Duration Pause{0};
  /// Whether the program announces the mean length of its pauses.
  bool HasHint = false;
  /// The probabilities that a pause hangs, and that the program dies in it.
  double HangShare = 0;
  double DeathShare = 0;
  /// The probability that the program loops, that is, makes an excessive number
  /// of turns.
  double LoopShare = 0;
  /// How long a caller waits for a complete answer.
  Duration AnswerTimeout{0};
};

struct WorkloadKinds {
  std::string Name;
  std::vector<ProgramKind> Kinds;
};

/// Long matching conversations, shorter briefs and bulk summaries.
WorkloadKinds obrador();
/// Short urgent calls, planning agents with tool pauses, and reports.
WorkloadKinds liftara();

struct Turn {
  TokenCount NewTokens = 0;
  TokenCount Output = 0;
  Duration PauseAfter{0};
};

struct ProgramScript {
  const ProgramKind *Kind = nullptr;
  TimePoint StartTime;
  std::vector<Turn> Turns;
  /// Whether the program dies in the pause after its last turn, so that its end
  /// is not reported.
  bool Dies = false;
};

struct WorkloadSize {
  /// The offered work divided by the capacity of the engine.
  double Load = 1;
  Duration Length = std::chrono::minutes(20);
  std::uint64_t Seed = 1;
};

/// Returns the programs in the order of their start. \p Kinds must outlive
/// them.
std::vector<ProgramScript> drawPrograms(const WorkloadKinds &Kinds,
                                        const WorkloadSize &Size,
                                        const EngineModel &Model);

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_WORKLOAD_H
