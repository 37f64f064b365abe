#include "Workload.h"

#include <cmath>
#include <random>

namespace tamarack {

namespace {

using std::chrono::seconds;

constexpr std::size_t LoopTurns = 40;
constexpr Duration HangLength = seconds(300);
/// The batch size at which a step takes about the target for the time between
/// tokens.
constexpr double TargetBatch = 40;

/// Random numbers that do not depend on the standard library's distributions,
/// which differ between implementations.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Engine(Seed) {}

  double uniform() {
    constexpr double Scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(Engine() >> 11U) * Scale;
  }
  double uniformAround(double Mean) { return Mean * (0.5 + uniform()); }
  double exponential(double Mean) { return -Mean * std::log(1 - uniform()); }
  bool bernoulli(double Share) { return uniform() < Share; }

private:
  std::mt19937_64 Engine;
};

TokenCount tokens(double Count) {
  return std::max<TokenCount>(1, static_cast<TokenCount>(std::lround(Count)));
}

Duration drawPause(const ProgramKind &Kind, RandomSource &Random) {
  if (Random.bernoulli(Kind.HangShare))
    return HangLength;
  const double Mean = static_cast<double>(Kind.Pause.count());
  return Duration(static_cast<Duration::rep>(Random.exponential(Mean)));
}

ProgramScript drawProgram(const ProgramKind &Kind, RandomSource &Random) {
  ProgramScript Script;
  Script.Kind = &Kind;
  const bool Loops = Random.bernoulli(Kind.LoopShare);
  const std::size_t Count =
      Loops ? LoopTurns : tokens(Random.uniformAround(Kind.Turns));
  while (Script.Turns.size() < Count && !Script.Dies) {
    const bool First = Script.Turns.empty();
    const double Added = First ? Kind.FirstPrompt : Kind.AddedPerTurn;
    const TokenCount Output =
        std::min(tokens(Random.uniformAround(Kind.Output)), Kind.MaxOutput);
    Script.Turns.push_back(
        {tokens(Random.uniformAround(Added)), Output, drawPause(Kind, Random)});
    Script.Dies = Random.bernoulli(Kind.DeathShare);
  }
  return Script;
}

const ProgramKind &drawKind(const WorkloadKinds &Kinds, RandomSource &Random) {
  double Remaining = Random.uniform();
  for (const ProgramKind &Kind : Kinds.Kinds) {
    Remaining -= Kind.Share;
    if (Remaining < 0)
      return Kind;
  }
  return Kinds.Kinds.back();
}

/// The engine time that the program needs if no token is prefilled twice.
double engineSeconds(const ProgramScript &Script, const EngineModel &Model) {
  double Sum = 0;
  for (const Turn &Step : Script.Turns) {
    const Duration PerOutput =
        Model.PerSequence +
        Duration(static_cast<Duration::rep>(
            static_cast<double>(Model.Base.count()) / TargetBatch));
    Sum += static_cast<double>(Step.Output) *
           std::chrono::duration<double>(PerOutput).count();
    Sum += static_cast<double>(Step.NewTokens) *
           std::chrono::duration<double>(Model.PerPrefillToken).count();
  }
  return Sum;
}

double meanEngineSeconds(const WorkloadKinds &Kinds, const EngineModel &Model) {
  constexpr int Sample = 4000;
  RandomSource Random(99);
  double Sum = 0;
  for (int Count = 0; Count < Sample; ++Count)
    Sum += engineSeconds(drawProgram(drawKind(Kinds, Random), Random), Model);
  return Sum / Sample;
}

} // namespace

WorkloadKinds obrador() {
  ProgramKind Matching{"matching", CallClass::High, 0.35, 10, 2000, 250};
  Matching.Output = 120;
  Matching.MaxOutput = 300;
  Matching.Pause = seconds(25);
  Matching.DeathShare = 0.02;
  Matching.AnswerTimeout = seconds(20);
  ProgramKind Brief{"brief", CallClass::Normal, 0.45, 5, 1200, 200};
  Brief.Output = 200;
  Brief.MaxOutput = 500;
  Brief.Pause = seconds(15);
  Brief.DeathShare = 0.02;
  Brief.AnswerTimeout = seconds(45);
  ProgramKind Bulk{"bulk", CallClass::Low, 0.20, 2, 3000, 500};
  Bulk.Output = 400;
  Bulk.MaxOutput = 800;
  Bulk.Pause = seconds(2);
  Bulk.HasHint = true;
  Bulk.AnswerTimeout = seconds(120);
  return {"Obrador", {Matching, Brief, Bulk}};
}

WorkloadKinds liftara() {
  ProgramKind Urgent{"urgent", CallClass::High, 0.35, 7, 1000, 120};
  Urgent.Output = 60;
  Urgent.MaxOutput = 150;
  Urgent.Pause = seconds(8);
  Urgent.DeathShare = 0.01;
  Urgent.AnswerTimeout = seconds(20);
  ProgramKind Planning{"planning", CallClass::Normal, 0.45, 12, 2500, 400};
  Planning.Output = 150;
  Planning.MaxOutput = 400;
  Planning.Pause = seconds(4);
  Planning.HasHint = true;
  Planning.HangShare = 0.01;
  Planning.DeathShare = 0.01;
  Planning.LoopShare = 0.02;
  Planning.AnswerTimeout = seconds(45);
  ProgramKind Report{"report", CallClass::Low, 0.20, 2, 2000, 400};
  Report.Output = 400;
  Report.MaxOutput = 800;
  Report.Pause = seconds(2);
  Report.HasHint = true;
  Report.AnswerTimeout = seconds(120);
  return {"Liftara", {Urgent, Planning, Report}};
}

std::vector<ProgramScript> drawPrograms(const WorkloadKinds &Kinds,
                                        const WorkloadSize &Size,
                                        const EngineModel &Model) {
  const double MeanArrivalInterval =
      meanEngineSeconds(Kinds, Model) / Size.Load;
  RandomSource Random(Size.Seed);
  std::vector<ProgramScript> Programs;
  double Time = Random.exponential(MeanArrivalInterval);
  const double End = std::chrono::duration<double>(Size.Length).count();
  while (Time < End) {
    Programs.push_back(drawProgram(drawKind(Kinds, Random), Random));
    Programs.back().StartTime =
        TimePoint(Duration(static_cast<Duration::rep>(Time * 1e6)));
    Time += Random.exponential(MeanArrivalInterval);
  }
  return Programs;
}

} // namespace tamarack
