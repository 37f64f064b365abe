/// The classes of calls, and tables with a value for each.
///
///   PerClass<double> Share{{0.25, 0.10, 0.05}};
///   for (CallClass Class : AllClasses)
///     Sum += Share[Class];
#ifndef TAMARACK_BASE_CALLCLASS_H
#define TAMARACK_BASE_CALLCLASS_H

#include "tamarack/base/Compare.h"

#include <array>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string>

namespace tamarack {

/// The order in which calls are served under load.
enum class CallClass { High, Normal, Low };

/// "high", "normal" or "low".
const char *nameOf(CallClass Class);
std::optional<CallClass> callClassOf(const std::string &Name);
std::ostream &operator<<(std::ostream &Out, CallClass Class);

constexpr std::size_t CallClassCount = 3;
constexpr std::array<CallClass, CallClassCount> AllClasses{
    CallClass::High, CallClass::Normal, CallClass::Low};

/// A value for each CallClass.
template <typename T> struct PerClass {
  std::array<T, CallClassCount> Values{};

  T &operator[](CallClass Class) {
    return Values[static_cast<std::size_t>(Class)];
  }
  const T &operator[](CallClass Class) const {
    return Values[static_cast<std::size_t>(Class)];
  }
  auto tied() const { return std::tie(Values); }
};

} // namespace tamarack

#endif // TAMARACK_BASE_CALLCLASS_H
