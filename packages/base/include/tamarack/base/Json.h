/// The JSON type, with conversions for std::optional and std::chrono durations.
///
/// The same values are sent as CBOR between the processes of this project and
/// as JSON to all others. A duration is a whole number of microseconds.
#ifndef TAMARACK_BASE_JSON_H
#define TAMARACK_BASE_JSON_H

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

namespace tamarack {
using Json = nlohmann::json;
} // namespace tamarack

namespace nlohmann {

template <typename T> struct adl_serializer<std::optional<T>> {
  static void to_json(json &Value, const std::optional<T> &From) {
    Value = From ? json(*From) : json(nullptr);
  }
  static void from_json(const json &Value, std::optional<T> &To) {
    if (Value.is_null())
      To.reset();
    else
      To = Value.get<T>();
  }
};

template <typename Rep, typename Period>
struct adl_serializer<std::chrono::duration<Rep, Period>> {
  using Span = std::chrono::duration<Rep, Period>;
  static void to_json(json &Value, const Span &From) {
    Value = std::chrono::duration_cast<std::chrono::microseconds>(From).count();
  }
  static void from_json(const json &Value, Span &To) {
    To = std::chrono::duration_cast<Span>(
        std::chrono::microseconds(Value.get<std::int64_t>()));
  }
};

} // namespace nlohmann

#endif // TAMARACK_BASE_JSON_H
