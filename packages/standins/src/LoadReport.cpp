#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tamarack::internal {
namespace {

struct NamedPercentile {
  const char *Name;
  double Percent;
};

constexpr NamedPercentile Percentiles[] = {
    {"p50", 50}, {"p95", 95}, {"p99", 99}};
constexpr const char *Latencies[] = {"first_token_ms", "between_tokens_ms",
                                     "program_ms"};

void append(std::vector<Duration> &Into, std::vector<Duration> &From) {
  Into.insert(Into.end(), From.begin(), From.end());
}

double milliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

Json latencyJson(std::vector<Duration> &Samples) {
  std::sort(Samples.begin(), Samples.end());
  Json Value = {{"count", Samples.size()}};
  for (const auto &Each : Percentiles)
    Value[Each.Name] = milliseconds(percentileOf(Samples, Each.Percent));
  return Value;
}

} // namespace

void mergeSamples(LoadSamples &Into, LoadSamples &&From) {
  append(Into.FirstToken, From.FirstToken);
  append(Into.BetweenTokens, From.BetweenTokens);
  append(Into.Program, From.Program);
  for (const auto &[Kind, Count] : From.Errors)
    Into.Errors[Kind] += Count;
  Into.Calls += From.Calls;
  Into.ProgramsFailed += From.ProgramsFailed;
  Into.WrongAnswers += From.WrongAnswers;
  Into.PromptTokens += From.PromptTokens;
  Into.CachedTokens += From.CachedTokens;
}

Duration percentileOf(const std::vector<Duration> &Sorted, double Percent) {
  if (Sorted.empty())
    return Duration(0);
  auto Rank = std::size_t(std::ceil(Percent / 100 * double(Sorted.size())));
  return Sorted[std::max<std::size_t>(Rank, 1) - 1];
}

Json reportOf(LoadSamples Samples) {
  return {{"programs_finished", Samples.Program.size()},
          {"programs_failed", Samples.ProgramsFailed},
          {"calls", Samples.Calls},
          {"errors", Samples.Errors},
          {"wrong_answers", Samples.WrongAnswers},
          {"prompt_tokens", Samples.PromptTokens},
          {"cached_tokens", Samples.CachedTokens},
          {"first_token_ms", latencyJson(Samples.FirstToken)},
          {"between_tokens_ms", latencyJson(Samples.BetweenTokens)},
          {"program_ms", latencyJson(Samples.Program)}};
}

Json ratioOf(const Json &Through, const Json &Direct) {
  Json Ratio;
  for (const char *Latency : Latencies)
    for (const auto &Each : Percentiles) {
      double Base = Direct.at(Latency).at(Each.Name).get<double>();
      double Value = Through.at(Latency).at(Each.Name).get<double>();
      Ratio[Latency][Each.Name] = Base > 0 ? Json(Value / Base) : Json();
    }
  return Ratio;
}

} // namespace tamarack::internal
