/// Runs the simulations and prints the tables of docs/measurements/gate.md.
///
///   build/packages/gate/gate_trials
#include "Trial.h"

#include <cstdio>

using namespace tamarack;

namespace {

constexpr double Loads[] = {0.5, 1.0, 1.5, 2.0};
constexpr TrialPolicy Policies[] = {TrialPolicy::NoAdmission,
                                    TrialPolicy::FirstComeFirstServed,
                                    TrialPolicy::Gate};
constexpr RetentionPolicy RetentionPolicies[] = {
    RetentionPolicy::KeepNothing, RetentionPolicy::LeastRecentlyUsed,
    RetentionPolicy::FixedTime, RetentionPolicy::ExpectedNextUse,
    RetentionPolicy::TimestampOrder};

double perMinute(std::size_t Count, const TrialResult &Result) {
  return static_cast<double>(Count) / Result.Minutes;
}

/// The baselines use the engine's own policy, least recently used.
RetentionPolicy retentionFor(TrialPolicy Policy) {
  return Policy == TrialPolicy::Gate ? RetentionPolicy::ExpectedNextUse
                                     : RetentionPolicy::LeastRecentlyUsed;
}

/// Memory for the whole working set at a load of 1, and for half of it.
constexpr TokenCount AmpleMemory = 400'000;
constexpr TokenCount ScarceMemory = 200'000;

TrialResult run(const WorkloadKinds &Kinds, double Load, TrialPolicy Policy,
                RetentionPolicy Retention,
                TokenCount MemoryTokens = AmpleMemory) {
  TrialSettings Settings;
  Settings.Model.MemoryTokens = MemoryTokens;
  Settings.Kinds = Kinds;
  Settings.Size.Load = Load;
  Settings.Policy = Policy;
  Settings.Retention = Retention;
  return runTrial(Settings);
}

void printPolicyRow(const WorkloadKinds &Kinds, double Load,
                    TrialPolicy Policy) {
  const TrialResult Result = run(Kinds, Load, Policy, retentionFor(Policy));
  std::size_t Broken = 0;
  for (const ClassResult &Class : Result.Classes.Values)
    Broken += Class.Broken;
  std::printf("| %s | %.1f | %s | %.1f | %.0f | %.1f | %.1f | %zu / %zu | "
              "%.0f | %.2f |\n",
              Kinds.Name.c_str(), Load, nameOf(Policy).data(),
              perMinute(Result.finished(), Result),
              static_cast<double>(Result.UsefulTokens) / Result.Minutes / 60,
              perMinute(Result.refused(), Result), perMinute(Broken, Result),
              Result.RefusedOnArrival, Result.RefusedLater,
              Result.MeanTokenSeconds * 1000,
              static_cast<double>(Result.PrefilledAgain) /
                  static_cast<double>(Result.Prefilled));
}

void printClassRows(const WorkloadKinds &Kinds, double Load,
                    TrialPolicy Policy) {
  const TrialResult Result = run(Kinds, Load, Policy, retentionFor(Policy));
  for (const ProgramKind &Kind : Kinds.Kinds) {
    const ClassResult &Class = Result.Classes[Kind.Class];
    std::printf("| %s | %.1f | %s | %s | %.1f | %.1f | %.1f | %.2f | %zu | "
                "%zu | %zu | %zu |\n",
                Kinds.Name.c_str(), Load, nameOf(Policy).data(),
                Kind.Name.c_str(), percentile(Class.ProgramSeconds, 0.50),
                percentile(Class.ProgramSeconds, 0.95),
                percentile(Class.ProgramSeconds, 0.99),
                percentile(Class.FirstTokenSeconds, 0.95), Class.Offered,
                Class.Finished, Class.Refused, Class.Broken);
  }
}

void printRetentionRow(const WorkloadKinds &Kinds, TokenCount Memory,
                       double Load, RetentionPolicy Retention) {
  const TrialResult Result =
      run(Kinds, Load, TrialPolicy::Gate, Retention, Memory);
  std::vector<double> All;
  for (const ClassResult &Class : Result.Classes.Values)
    All.insert(All.end(), Class.ProgramSeconds.begin(),
               Class.ProgramSeconds.end());
  std::printf(
      "| %s | %zu | %.1f | %s | %.1f | %.1f | %.1f | %.1f | %.1f | "
      "%.0f | %.2f |\n",
      Kinds.Name.c_str(), static_cast<std::size_t>(Memory / 1000), Load,
      nameOf(Retention).data(), percentile(All, 0.50), percentile(All, 0.95),
      percentile(All, 0.99), perMinute(Result.finished(), Result),
      static_cast<double>(Result.PrefilledAgain) / Result.Minutes / 1000,
      Result.TokenSecondsHeldForDead / Result.Minutes / 1000,
      static_cast<double>(Result.PrefilledAgain) /
          static_cast<double>(Result.Prefilled));
}

void printSeedRow(std::uint64_t Seed, RetentionPolicy Retention) {
  TrialSettings Settings;
  Settings.Kinds = liftara();
  Settings.Size.Load = 2;
  Settings.Size.Seed = Seed;
  Settings.Model.MemoryTokens = ScarceMemory;
  Settings.Retention = Retention;
  const TrialResult Result = runTrial(Settings);
  std::vector<double> All;
  for (const ClassResult &Class : Result.Classes.Values)
    All.insert(All.end(), Class.ProgramSeconds.begin(),
               Class.ProgramSeconds.end());
  std::printf(
      "| %zu | %s | %.1f | %.1f | %.0f |\n", static_cast<std::size_t>(Seed),
      nameOf(Retention).data(), percentile(All, 0.95),
      static_cast<double>(Result.PrefilledAgain) / Result.Minutes / 1000,
      Result.TokenSecondsHeldForDead / Result.Minutes / 1000);
}

void printPolicies(const WorkloadKinds &Kinds) {
  for (double Load : Loads) {
    for (TrialPolicy Policy : Policies)
      printPolicyRow(Kinds, Load, Policy);
  }
}

void printClasses(const WorkloadKinds &Kinds) {
  for (double Load : {1.0, 2.0}) {
    for (TrialPolicy Policy : Policies)
      printClassRows(Kinds, Load, Policy);
  }
}

void printRetention(const WorkloadKinds &Kinds) {
  for (TokenCount Memory : {AmpleMemory, ScarceMemory}) {
    for (double Load : {0.5, 1.0, 2.0}) {
      for (RetentionPolicy Retention : RetentionPolicies)
        printRetentionRow(Kinds, Memory, Load, Retention);
    }
  }
}

/// Compares policies under the highest memory pressure: Liftara at a load of 2
/// with scarce memory.
void printSeeds() {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    for (RetentionPolicy Retention :
         {RetentionPolicy::LeastRecentlyUsed, RetentionPolicy::ExpectedNextUse,
          RetentionPolicy::TimestampOrder})
      printSeedRow(Seed, Retention);
  }
}

} // namespace

int main() {
  std::puts("| workload | load | policy | programs/min | useful tokens/s | "
            "refused programs/min | broken programs/min | refusals on arrival "
            "/ later | token time ms | prefilled again |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|");
  printPolicies(obrador());
  printPolicies(liftara());
  std::puts("\n| workload | load | policy | kind | program p50 s | p95 s | p99 "
            "s | first token p95 s | offered | finished | refused | broken |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|");
  printClasses(obrador());
  printClasses(liftara());
  std::puts(
      "\n| workload | memory k | load | way | program p50 s | p95 s | p99 s | "
      "programs/min | prefilled again k/min | held for gone k "
      "token-s/min | share prefilled again |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|---|");
  printRetention(obrador());
  printRetention(liftara());
  std::puts("\n| seed | way | program p95 s | prefilled again k/min | held for "
            "gone k token-s/min |");
  std::puts("|---|---|---|---|---|");
  printSeeds();
  return 0;
}
