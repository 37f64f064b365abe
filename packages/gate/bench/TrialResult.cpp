#include "Trial.h"

#include <algorithm>

namespace tamarack {

std::string_view nameOf(TrialPolicy Policy) {
  switch (Policy) {
  case TrialPolicy::NoAdmission:
    return "no admission";
  case TrialPolicy::FirstComeFirstServed:
    return "first come first served";
  case TrialPolicy::Gate:
    return "gate";
  }
  return "";
}

std::size_t TrialResult::finished() const {
  std::size_t Sum = 0;
  for (const ClassResult &Class : Classes.Values)
    Sum += Class.Finished;
  return Sum;
}

std::size_t TrialResult::refused() const {
  std::size_t Sum = 0;
  for (const ClassResult &Class : Classes.Values)
    Sum += Class.Refused;
  return Sum;
}

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Share * Last)];
}

} // namespace tamarack
