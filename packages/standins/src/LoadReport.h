/// What a load run measured, and its report as JSON.
///
///   LoadSamples All;
///   mergeSamples(All, std::move(OfOneWorker));
///   std::cout << reportOf(All);
#ifndef TAMARACK_STANDINS_LOADREPORT_H
#define TAMARACK_STANDINS_LOADREPORT_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Json.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarack::internal {

struct LoadSamples {
  /// From sending a call to its first token.
  std::vector<Duration> FirstToken;
  std::vector<Duration> BetweenTokens;
  /// From a finished program's first call to its last answer.
  std::vector<Duration> Program;
  std::map<std::string, std::uint64_t> Errors;
  std::uint64_t Calls = 0;
  std::uint64_t ProgramsFailed = 0;
  /// Answers that are not the engine's answer to the program's history.
  std::uint64_t WrongAnswers = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
};

void mergeSamples(LoadSamples &Into, LoadSamples &&From);

/// The smallest sample that \p Percent of all samples do not exceed.
/// \p Sorted must be in order; zero when it is empty.
Duration percentileOf(const std::vector<Duration> &Sorted, double Percent);

Json reportOf(LoadSamples Samples);

/// The percentiles of \p Through over those of \p Direct.
Json ratioOf(const Json &Through, const Json &Direct);

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_LOADREPORT_H
