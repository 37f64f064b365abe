#include "tamarack/config/OperatorApi.h"

namespace tamarack {
namespace {

template <typename T> void read(const Json &Value, const char *Key, T &Field) {
  if (Value.contains(Key))
    Field = Value[Key].get<T>();
}

double millisecondsOf(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void readMilliseconds(const Json &Value, const char *Key, Duration &Field) {
  if (Value.contains(Key))
    Field = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Value[Key].get<double>()));
}

} // namespace

void to_json(Json &Value, const InstanceStatus &Status) {
  Value = {{"instance", Status.Instance}, {"role", Status.Role},
           {"region", Status.Region},     {"data_centre", Status.DataCentre},
           {"state", Status.State},       {"revision", Status.InForce},
           {"load", Status.Load}};
}

void from_json(const Json &Value, InstanceStatus &Status) {
  read(Value, "instance", Status.Instance);
  read(Value, "role", Status.Role);
  read(Value, "region", Status.Region);
  read(Value, "data_centre", Status.DataCentre);
  read(Value, "state", Status.State);
  read(Value, "revision", Status.InForce);
  read(Value, "load", Status.Load);
}

void to_json(Json &Value, const StatusReport &Report) {
  Value = {{"instance", Report.Instance},   {"revision", Report.InForce},
           {"platform", Report.Platform},   {"serving", Report.IsServing},
           {"instances", Report.Instances}, {"counters", Report.Counters}};
}

void from_json(const Json &Value, StatusReport &Report) {
  read(Value, "instance", Report.Instance);
  read(Value, "revision", Report.InForce);
  read(Value, "platform", Report.Platform);
  read(Value, "serving", Report.IsServing);
  read(Value, "instances", Report.Instances);
  read(Value, "counters", Report.Counters);
}

void to_json(Json &Value, const Candidate &Weighed) {
  Value = {{"endpoint", Weighed.Endpoint},
           {"wait_ms", millisecondsOf(Weighed.Wait)},
           {"prefill_ms", millisecondsOf(Weighed.Prefill)},
           {"network_ms", millisecondsOf(Weighed.Network)},
           {"cached_tokens", Weighed.CachedTokens},
           {"chosen", Weighed.IsChosen},
           {"reason", Weighed.Reason}};
}

void from_json(const Json &Value, Candidate &Weighed) {
  read(Value, "endpoint", Weighed.Endpoint);
  readMilliseconds(Value, "wait_ms", Weighed.Wait);
  readMilliseconds(Value, "prefill_ms", Weighed.Prefill);
  readMilliseconds(Value, "network_ms", Weighed.Network);
  read(Value, "cached_tokens", Weighed.CachedTokens);
  read(Value, "chosen", Weighed.IsChosen);
  read(Value, "reason", Weighed.Reason);
}

void to_json(Json &Value, const AttemptReport &Attempt) {
  Value = {{"number", Attempt.Number},
           {"endpoint", Attempt.Endpoint},
           {"outcome", Attempt.Outcome}};
}

void from_json(const Json &Value, AttemptReport &Attempt) {
  read(Value, "number", Attempt.Number);
  read(Value, "endpoint", Attempt.Endpoint);
  read(Value, "outcome", Attempt.Outcome);
}

void to_json(Json &Value, const Explanation &Report) {
  Value = {{"call", Report.Call},
           {"program", Report.Program},
           {"customer", Report.Customer},
           {"owner", Report.Owner},
           {"class", nameOf(Report.Class)},
           {"outcome", Report.Outcome},
           {"refusal", Report.Refusal},
           {"reason", Report.Reason},
           {"revision", Report.InForce},
           {"applied", Report.Applied},
           {"candidates", Report.Candidates},
           {"attempts", Report.Attempts}};
}

void from_json(const Json &Value, Explanation &Report) {
  read(Value, "call", Report.Call);
  read(Value, "program", Report.Program);
  read(Value, "customer", Report.Customer);
  read(Value, "owner", Report.Owner);
  std::string Class;
  read(Value, "class", Class);
  Report.Class = callClassOf(Class).value_or(CallClass::Normal);
  read(Value, "outcome", Report.Outcome);
  read(Value, "refusal", Report.Refusal);
  read(Value, "reason", Report.Reason);
  read(Value, "revision", Report.InForce);
  read(Value, "applied", Report.Applied);
  read(Value, "candidates", Report.Candidates);
  read(Value, "attempts", Report.Attempts);
}

void from_json(const Json &Value, RevisionNote &Note) {
  read(Value, "revision", Note.Number);
  read(Value, "author", Note.Author);
  read(Value, "token", Note.Token);
  read(Value, "comment", Note.Comment);
}

} // namespace tamarack
