#include "tamarack/turns/Messages.h"

namespace tamarack {
namespace {

template <typename T>
void putOptional(Json &Value, const char *Name, const std::optional<T> &Field) {
  if (Field)
    Value[Name] = *Field;
}

template <typename T>
void takeOptional(const Json &Value, const char *Name,
                  std::optional<T> &Field) {
  Field.reset();
  if (const auto Place = Value.find(Name); Place != Value.end())
    Field = Place->template get<T>();
}

template <typename T> Json orNull(const std::optional<T> &Field) {
  return Field ? Json(*Field) : Json();
}

template <typename T> std::optional<T> fromNull(const Json &Value) {
  if (Value.is_null())
    return std::nullopt;
  return Value.get<T>();
}

Json loadJson(const InFlightByEndpoint &From) {
  Json Result = Json::object();
  for (const auto &[Endpoint, Count] : From)
    Result[Endpoint.text()] = Count;
  return Result;
}

InFlightByEndpoint loadOf(const Json &From) {
  InFlightByEndpoint Result;
  for (const auto &[Endpoint, Count] : From.items())
    Result[EndpointId(Endpoint)] = Count.get<std::uint32_t>();
  return Result;
}

} // namespace

void to_json(Json &Value, LedgerRefusal Refusal) {
  Value = static_cast<int>(Refusal);
}

void from_json(const Json &Value, LedgerRefusal &Refusal) {
  const int Number = Value.get<int>();
  const bool Known =
      Number >= 0 && Number <= static_cast<int>(LedgerRefusal::Failed);
  Refusal = Known ? static_cast<LedgerRefusal>(Number) : LedgerRefusal::Failed;
}

void to_json(Json &Value, const Account &From) {
  Value = Json::array();
  for (const auto &[Turn, Charge] : From.Charges)
    Value.push_back(Json::array({Turn, Charge.Tokens, Charge.Settled}));
}

void from_json(const Json &Value, Account &To) {
  To.Charges.clear();
  for (const Json &Row : Value)
    To.Charges.emplace(
        Row.at(0).get<TurnId>(),
        TurnCharge{Row.at(1).get<TokenCount>(), Row.at(2).get<bool>()});
}

void to_json(Json &Value, const EndpointLoadReport &From) {
  Value = Json::array({From.From, loadJson(From.Running)});
}

void from_json(const Json &Value, EndpointLoadReport &To) {
  Value.at(0).get_to(To.From);
  To.Running = loadOf(Value.at(1));
}

void to_json(Json &Value, const RecordCall &From) {
  Value = Json::array(
      {From.ViewNumber, From.Record, From.RanAt, orNull(From.Note)});
}

void from_json(const Json &Value, RecordCall &To) {
  Value.at(0).get_to(To.ViewNumber);
  Value.at(1).get_to(To.Record);
  Value.at(2).get_to(To.RanAt);
  To.Note = fromNull<EndpointLoadReport>(Value.at(3));
}

void to_json(Json &Value, const RecordAnswer &From) {
  Value = Json::array(
      {From.Refusal, From.Known, orNull(From.Newer), From.LastRanAt, nullptr});
  if (From.RunningElsewhere)
    Value[4] = loadJson(*From.RunningElsewhere);
}

void from_json(const Json &Value, RecordAnswer &To) {
  Value.at(0).get_to(To.Refusal);
  Value.at(1).get_to(To.Known);
  To.Newer = fromNull<View>(Value.at(2));
  Value.at(3).get_to(To.LastRanAt);
  To.RunningElsewhere.reset();
  if (!Value.at(4).is_null())
    To.RunningElsewhere = loadOf(Value.at(4));
}

void to_json(Json &Value, const ChainCall &From) {
  Value = Json{{"view", From.ViewNumber}, {"turn", From.Turn}};
}

void from_json(const Json &Value, ChainCall &To) {
  Value.at("view").get_to(To.ViewNumber);
  Value.at("turn").get_to(To.Turn);
}

void to_json(Json &Value, const ChainAnswer &From) {
  Value = Json{{"refusal", From.Refusal}, {"turns", From.Turns}};
  putOptional(Value, "newer", From.Newer);
}

void from_json(const Json &Value, ChainAnswer &To) {
  Value.at("refusal").get_to(To.Refusal);
  Value.at("turns").get_to(To.Turns);
  takeOptional(Value, "newer", To.Newer);
}

void to_json(Json &Value, const AdoptAnswer &From) {
  Value = Json{{"refusal", From.Refusal}};
  putOptional(Value, "newer", From.Newer);
}

void from_json(const Json &Value, AdoptAnswer &To) {
  Value.at("refusal").get_to(To.Refusal);
  takeOptional(Value, "newer", To.Newer);
}

void to_json(Json &Value, const NamesAnswer &From) {
  Value = Json{{"refusal", From.Refusal}, {"names", From.Names}};
  putOptional(Value, "newer", From.Newer);
}

void from_json(const Json &Value, NamesAnswer &To) {
  Value.at("refusal").get_to(To.Refusal);
  Value.at("names").get_to(To.Names);
  takeOptional(Value, "newer", To.Newer);
}

void to_json(Json &Value, const TurnsAnswer &From) {
  Value = Json::array();
  for (const std::string &Frame : From.Frames)
    Value.push_back(Json::binary({Frame.begin(), Frame.end()}));
}

void from_json(const Json &Value, TurnsAnswer &To) {
  To.Frames.clear();
  for (const Json &Frame : Value) {
    const Json::binary_t &Bytes = Frame.get_binary();
    To.Frames.emplace_back(Bytes.begin(), Bytes.end());
  }
}

const char *nameOf(LedgerRefusal Refusal) {
  switch (Refusal) {
  case LedgerRefusal::None:
    return "none";
  case LedgerRefusal::OlderView:
    return "older_view";
  case LedgerRefusal::UnknownView:
    return "unknown_view";
  case LedgerRefusal::NotJoined:
    return "not_joined";
  case LedgerRefusal::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace tamarack
