#include "tamarack/turns/Messages.h"

namespace tamarack {
namespace {

template <typename T>
void writeOptional(Json &Value, const char *Name,
                   const std::optional<T> &Field) {
  if (Field)
    Value[Name] = *Field;
}

template <typename T>
void readOptional(const Json &Value, const char *Name,
                  std::optional<T> &Field) {
  Field.reset();
  if (const auto Found = Value.find(Name); Found != Value.end())
    Field = Found->template get<T>();
}

Json encodeCounts(const InFlightByEndpoint &From) {
  Json Result = Json::object();
  for (const auto &[Endpoint, Count] : From)
    Result[Endpoint.text()] = Count;
  return Result;
}

InFlightByEndpoint decodeCounts(const Json &Value) {
  InFlightByEndpoint Result;
  for (const auto &[Endpoint, Count] : Value.items())
    Result[EndpointId(Endpoint)] = Count.get<std::uint32_t>();
  return Result;
}

template <typename T> Json valueOrNull(const std::optional<T> &Field) {
  return Field ? Json(*Field) : Json();
}

template <typename T> std::optional<T> readNullable(const Json &Value) {
  if (Value.is_null())
    return std::nullopt;
  return Value.get<T>();
}

} // namespace

void to_json(Json &Value, LedgerRefusal Refusal) {
  Value = static_cast<int>(Refusal);
}

void from_json(const Json &Value, LedgerRefusal &Refusal) {
  const int Number = Value.get<int>();
  const bool IsValid =
      Number >= 0 && Number <= static_cast<int>(LedgerRefusal::InProgress);
  Refusal =
      IsValid ? static_cast<LedgerRefusal>(Number) : LedgerRefusal::Failed;
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

void to_json(Json &Value, const EndpointNews &From) {
  Json Outcomes = Json::object();
  for (const auto &[Endpoint, Counts] : From.Outcomes)
    Outcomes[Endpoint.text()] =
        Json::array({Counts.Failures, Counts.Successes});
  Json Rates = Json::object();
  for (const auto &[Endpoint, Rate] : From.Rates)
    Rates[Endpoint.text()] =
        Json::array({valueOrNull(Rate.Limit), Rate.Sent, Rate.Demand});
  Json Entries = Json::object();
  for (const auto &[Name, Load] : From.Entries)
    Entries[Name.text()] = Json::array(
        {Load.Behind, Load.DataCentre, Load.ReachesLedgers, Load.IsReady});
  Value = Json::array({encodeCounts(From.InFlight), std::move(Outcomes),
                       std::move(Rates), encodeCounts(From.Suspects),
                       std::move(Entries)});
}

void from_json(const Json &Value, EndpointNews &To) {
  To = {};
  To.InFlight = decodeCounts(Value.at(0));
  for (const auto &[Endpoint, Counts] : Value.at(1).items())
    To.Outcomes[EndpointId(Endpoint)] = {Counts.at(0).get<std::uint32_t>(),
                                         Counts.at(1).get<std::uint32_t>()};
  for (const auto &[Endpoint, Rate] : Value.at(2).items())
    To.Rates[EndpointId(Endpoint)] = {readNullable<double>(Rate.at(0)),
                                      Rate.at(1).get<std::uint32_t>(),
                                      Rate.at(2).get<std::uint32_t>()};
  // Processes of earlier releases do not send it.
  if (Value.size() > 3)
    To.Suspects = decodeCounts(Value.at(3));
  if (Value.size() <= 4)
    return;
  for (const auto &[Name, Load] : Value.at(4).items())
    To.Entries[InstanceId(Name)] = {
        Load.at(0).get<Duration>(), Load.at(1).get<DataCentreId>(),
        Load.at(2).get<bool>(), Load.at(3).get<bool>()};
}

void to_json(Json &Value, const EndpointLoadReport &From) {
  Value = Json::array({From.Reporter, From.News});
}

void from_json(const Json &Value, EndpointLoadReport &To) {
  Value.at(0).get_to(To.Reporter);
  Value.at(1).get_to(To.News);
}

void to_json(Json &Value, const RecordRequest &From) {
  Value = Json::array(
      {From.ViewNumber, From.Record, From.RanAt, valueOrNull(From.LoadReport)});
  if (From.ResumedTurn)
    Value.push_back(*From.ResumedTurn);
}

void from_json(const Json &Value, RecordRequest &To) {
  Value.at(0).get_to(To.ViewNumber);
  Value.at(1).get_to(To.Record);
  Value.at(2).get_to(To.RanAt);
  To.LoadReport = readNullable<EndpointLoadReport>(Value.at(3));
  To.ResumedTurn.reset();
  if (Value.size() > 4)
    To.ResumedTurn = Value.at(4).get<TurnId>();
}

void to_json(Json &Value, const RecordResponse &From) {
  Value = Json::array({From.Refusal, From.ProgramAccount,
                       valueOrNull(From.NewerView), From.LastRanAt,
                       valueOrNull(From.NewsElsewhere)});
  if (!From.ResumedOrigin && From.OriginVersions.empty() &&
      !From.EndpointListAge)
    return;
  Value.push_back(valueOrNull(From.ResumedOrigin));
  Value.push_back(From.OriginVersions);
  Value.push_back(valueOrNull(From.EndpointListAge));
}

void from_json(const Json &Value, RecordResponse &To) {
  Value.at(0).get_to(To.Refusal);
  Value.at(1).get_to(To.ProgramAccount);
  To.NewerView = readNullable<View>(Value.at(2));
  Value.at(3).get_to(To.LastRanAt);
  To.NewsElsewhere = readNullable<EndpointNews>(Value.at(4));
  To.ResumedOrigin.reset();
  To.OriginVersions.clear();
  To.EndpointListAge.reset();
  if (Value.size() <= 5)
    return;
  To.ResumedOrigin = readNullable<StreamOrigin>(Value.at(5));
  Value.at(6).get_to(To.OriginVersions);
  // Ledgers of earlier releases do not send it.
  if (Value.size() > 7)
    To.EndpointListAge = readNullable<Duration>(Value.at(7));
}

void to_json(Json &Value, const ChainRequest &From) {
  Value = Json{{"view", From.ViewNumber}, {"turn", From.Turn}};
}

void from_json(const Json &Value, ChainRequest &To) {
  Value.at("view").get_to(To.ViewNumber);
  Value.at("turn").get_to(To.Turn);
}

void to_json(Json &Value, const ChainResponse &From) {
  Value = Json{{"refusal", From.Refusal}, {"turns", From.Turns}};
  writeOptional(Value, "newer", From.NewerView);
}

void from_json(const Json &Value, ChainResponse &To) {
  Value.at("refusal").get_to(To.Refusal);
  Value.at("turns").get_to(To.Turns);
  readOptional(Value, "newer", To.NewerView);
}

void to_json(Json &Value, const AdoptResponse &From) {
  Value = Json{{"refusal", From.Refusal}};
  writeOptional(Value, "newer", From.NewerView);
}

void from_json(const Json &Value, AdoptResponse &To) {
  Value.at("refusal").get_to(To.Refusal);
  readOptional(Value, "newer", To.NewerView);
}

void to_json(Json &Value, const PingResponse &From) {
  Value = Json{{"folder", From.Folder},
               {"view", From.ViewNumber},
               {"stopping", From.Stopping}};
}

void from_json(const Json &Value, PingResponse &To) {
  Value.at("folder").get_to(To.Folder);
  Value.at("view").get_to(To.ViewNumber);
  // Earlier releases do not send it.
  To.Stopping = Value.value("stopping", false);
}

void to_json(Json &Value, const ListRecordsResponse &From) {
  Value = Json{{"refusal", From.Refusal},
               {"folder", From.Folder},
               {"names", From.Records}};
  writeOptional(Value, "newer", From.NewerView);
}

void from_json(const Json &Value, ListRecordsResponse &To) {
  Value.at("refusal").get_to(To.Refusal);
  Value.at("folder").get_to(To.Folder);
  Value.at("names").get_to(To.Records);
  readOptional(Value, "newer", To.NewerView);
}

void to_json(Json &Value, const FetchTurnsRequest &From) {
  Value = From.Turns;
  if (From.InParts)
    Value.push_back(TurnId());
  if (From.InParts && From.WithoutTexts)
    Value.push_back(TurnId());
}

void from_json(const Json &Value, FetchTurnsRequest &To) {
  Value.get_to(To.Turns);
  std::size_t Marks = 0;
  for (; !To.Turns.empty() && To.Turns.back().empty(); ++Marks)
    To.Turns.pop_back();
  To.InParts = Marks > 0;
  To.WithoutTexts = Marks > 1;
}

void to_json(Json &Value, const FetchTurnsResponse &From) {
  Value = Json::array();
  for (const std::string &Frame : From.Frames)
    Value.push_back(Json::binary({Frame.begin(), Frame.end()}));
}

void from_json(const Json &Value, FetchTurnsResponse &To) {
  To.Frames.clear();
  for (const Json &Frame : Value) {
    const Json::binary_t &Bytes = Frame.get_binary();
    To.Frames.emplace_back(Bytes.begin(), Bytes.end());
  }
}

void to_json(Json &Value, const LifetimesResponse &From) {
  Value = Json{{"folder", From.Folder},
               {"view", From.ViewNumber},
               {"lifetimes", From.Lifetimes}};
}

void from_json(const Json &Value, LifetimesResponse &To) {
  Value.at("folder").get_to(To.Folder);
  Value.at("view").get_to(To.ViewNumber);
  Value.at("lifetimes").get_to(To.Lifetimes);
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
  case LedgerRefusal::InProgress:
    return "in_progress";
  }
  return "unknown";
}

} // namespace tamarack
