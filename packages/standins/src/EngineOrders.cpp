#include "EngineOrders.h"

#include <algorithm>

namespace tamarack::internal {

bool isOrderKind(const std::string &Kind) {
  return Kind == "load_model" || Kind == "load_adapter" || Kind == "set_role";
}

bool takeOrder(OrderState &State, const EngineOrder &Order, bool CheckFence) {
  if (CheckFence && Order.Fence < State.Fence)
    return false;
  State.Fence = std::max(State.Fence, Order.Fence);
  ++State.Taken;
  State.Latest[Order.Kind] = Order.Value;
  if (Order.Kind == "load_model" && Order.Value.is_string())
    State.Models.insert(Order.Value.get<std::string>());
  return true;
}

void to_json(Json &Value, const OrderState &State) {
  Value = {
      {"fence", State.Fence}, {"taken", State.Taken}, {"state", State.Latest}};
}

} // namespace tamarack::internal
