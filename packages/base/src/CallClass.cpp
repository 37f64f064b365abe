#include "tamarack/base/CallClass.h"

#include <algorithm>

namespace tamarack {
namespace {

constexpr std::array<const char *, CallClassCount> Names{"high", "normal",
                                                         "low"};

} // namespace

const char *nameOf(CallClass Class) {
  return Names.at(static_cast<std::size_t>(Class));
}

std::optional<CallClass> callClassOf(const std::string &Name) {
  const auto Found =
      std::find_if(AllClasses.begin(), AllClasses.end(),
                   [&Name](CallClass Class) { return Name == nameOf(Class); });
  return Found == AllClasses.end() ? std::nullopt : std::optional(*Found);
}

std::ostream &operator<<(std::ostream &Out, CallClass Class) {
  return Out << nameOf(Class);
}

} // namespace tamarack
