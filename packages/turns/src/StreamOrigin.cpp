#include "tamarack/turns/StreamOrigin.h"

#include <algorithm>

namespace tamarack {

void mergeOrigin(std::optional<StreamOrigin> &Target,
                 const std::optional<StreamOrigin> &Update) {
  if (!Update)
    return;
  if (!Target) {
    Target = Update;
    return;
  }
  const Duration Lifetime = std::max(Target->Lifetime, Update->Lifetime);
  if (Update->Attempt > Target->Attempt)
    Target = Update;
  else if (Update->Attempt == Target->Attempt &&
           Update->Process != Target->Process)
    Target->Process.reset();
  Target->Lifetime = Lifetime;
}

// Encoded as arrays, since there is one for each turn.

void to_json(Json &Value, const ServiceVersion &From) {
  Value = Json::array({From.Service, From.Version});
}

void from_json(const Json &Value, ServiceVersion &To) {
  Value.at(0).get_to(To.Service);
  Value.at(1).get_to(To.Version);
}

void to_json(Json &Value, const StreamOrigin &From) {
  Value = Json::array({From.Attempt, From.Lifetime});
  if (!From.Process)
    return;
  Value.push_back(From.Process->Endpoint);
  Value.push_back(From.Process->StartedAt);
  Value.push_back(From.Process->Runs);
}

void from_json(const Json &Value, StreamOrigin &To) {
  Value.at(0).get_to(To.Attempt);
  Value.at(1).get_to(To.Lifetime);
  To.Process.reset();
  if (Value.size() > 2)
    To.Process = EndpointProcess{Value.at(2).get<EndpointId>(),
                                 Value.at(3).get<std::uint64_t>(),
                                 Value.at(4).get<ServiceVersion>()};
}

} // namespace tamarack
