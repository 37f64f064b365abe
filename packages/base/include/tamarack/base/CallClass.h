/// The priority classes of calls, and arrays indexed by class.
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

/// The priority of a call. Under load, higher classes are served first.
enum class CallClass { High, Normal, Low };

/// Returns "high", "normal" or "low".
const char *nameOf(CallClass Class);
std::optional<CallClass> callClassOf(const std::string &Name);
std::ostream &operator<<(std::ostream &Out, CallClass Class);

constexpr std::size_t CallClassCount = 3;
constexpr std::array<CallClass, CallClassCount> AllClasses{
    CallClass::High, CallClass::Normal, CallClass::Low};

/// An array with one value for each CallClass.
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
