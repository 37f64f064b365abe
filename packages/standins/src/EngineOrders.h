/// The orders an engine has taken and its fencing check, as plain state.
///
///   OrderState State;
///   bool Taken = takeOrder(State, {7, "set_role", "prefill"}, CheckFence);
#ifndef TAMARACK_STANDINS_ENGINEORDERS_H
#define TAMARACK_STANDINS_ENGINEORDERS_H

#include "tamarack/base/Json.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tamarack::internal {

struct EngineOrder {
  std::uint64_t Fence = 0;
  std::string Kind;
  Json Value;
};

struct OrderState {
  /// The highest fencing number seen.
  std::uint64_t Fence = 0;
  std::uint64_t Taken = 0;
  std::map<std::string, Json> Latest;
  /// The models ordered beside those of the settings.
  std::set<std::string> Models;
};

bool isOrderKind(const std::string &Kind);
/// False when the check is on and the order's number is an older one.
bool takeOrder(OrderState &State, const EngineOrder &Order, bool CheckFence);

void to_json(Json &Value, const OrderState &State);

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_ENGINEORDERS_H
