#include "tamarack/config/OperatorDocument.h"

#include <ctime>

namespace tamarack {
namespace {

constexpr const char *CalendarFormat = "%Y-%m-%dT%H:%M:%SZ";

template <typename Name>
void addName(Json &Value, const char *Key, const Name &Field) {
  if (!Field.empty())
    Value[Key] = Field.text();
}

std::string textAt(const Json &Value, const char *Key) {
  return Value.value(Key, std::string());
}

Scope scopeFrom(const Json &Value) {
  return {CustomerId(textAt(Value, "customer")),
          WorkspaceId(textAt(Value, "workspace")),
          ModelId(textAt(Value, "model")),
          EndpointId(textAt(Value, "endpoint")),
          ServiceId(textAt(Value, "service"))};
}

SettingValue checkedValue(const SettingRule &Rule, const Json &Value) {
  return settingValueFrom(Rule, Value).value_or(Rule.Default);
}

OperatorException exceptionFrom(const Json &Value) {
  OperatorException Result;
  Result.Id = Value.at("id").get<std::string>();
  Result.Covers = scopeFrom(Value.at("scope"));
  if (const SettingRule *Rule = findRule(textAt(Value, "setting"))) {
    Result.Setting = Rule->Setting;
    Result.Value = checkedValue(*Rule, Value.at("value"));
  }
  Result.Reason = Value.at("reason").get<std::string>();
  Result.Author = Value.at("author").get<std::string>();
  if (Value.contains("until") && Value["until"].is_string())
    Result.Until = calendarTimeFrom(Value["until"].get<std::string>());
  return Result;
}

RevisionNote noteFrom(const Json &Value) {
  return {Value.value("revision", Revision(0)), textAt(Value, "author"),
          textAt(Value, "token"), textAt(Value, "comment")};
}

} // namespace

std::string calendarText(CalendarTime Time) {
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm Parts = {};
  ::gmtime_r(&Seconds, &Parts);
  char Text[32] = {};
  const std::size_t Length =
      std::strftime(Text, sizeof(Text), CalendarFormat, &Parts);
  return {Text, Length};
}

std::optional<CalendarTime> calendarTimeFrom(const std::string &Text) {
  std::tm Parts = {};
  const char *End = ::strptime(Text.c_str(), CalendarFormat, &Parts);
  if (!End || *End != '\0')
    return std::nullopt;
  const CalendarTime Time =
      std::chrono::system_clock::from_time_t(::timegm(&Parts));
  // strptime takes 31 February and short forms; only the exact form is taken.
  if (calendarText(Time) != Text)
    return std::nullopt;
  return Time;
}

void to_json(Json &Value, const Scope &Covers) {
  Value = Json::object();
  addName(Value, "customer", Covers.Customer);
  addName(Value, "workspace", Covers.Workspace);
  addName(Value, "model", Covers.Model);
  addName(Value, "endpoint", Covers.Endpoint);
  addName(Value, "service", Covers.Service);
}

void to_json(Json &Value, const OperatorException &Exception) {
  Value = {{"id", Exception.Id},
           {"scope", Exception.Covers},
           {"setting", ruleOf(Exception.Setting).Name},
           {"value", jsonOf(Exception.Value)},
           {"reason", Exception.Reason},
           {"author", Exception.Author}};
  if (Exception.Until)
    Value["until"] = calendarText(*Exception.Until);
}

void to_json(Json &Value, const RevisionNote &Note) {
  Value = {{"revision", Note.Number},
           {"author", Note.Author},
           {"token", Note.Token},
           {"comment", Note.Comment}};
}

void to_json(Json &Value, const OperatorDocument &Document) {
  Value = Document.Made;
  Value["defaults"] = Json::object();
  for (const auto &[Setting, Held] : Document.Defaults)
    Value["defaults"][ruleOf(Setting).Name] = jsonOf(Held);
  Value["exceptions"] = Document.Exceptions;
  Value["history"] = Document.History;
}

void to_json(Json &Value, const EffectiveDefaults &Rules) {
  using std::chrono::milliseconds;
  const auto Milliseconds = [](Duration Time) {
    return std::chrono::duration_cast<milliseconds>(Time).count();
  };
  Value = {{"class", nameOf(Rules.Class)},
           {"budget_tokens", Rules.BudgetTokens},
           {"max_turns", Rules.MaxTurns},
           {"max_wall_time_ms", Milliseconds(Rules.MaxWallTime)},
           {"call_deadline_ms", Milliseconds(Rules.CallDeadline)},
           {"sequence_wait_ms", Milliseconds(Rules.SequenceWait)},
           {"tool_timeout_ms", Milliseconds(Rules.ToolTimeout)},
           {"history_retention_ms", Milliseconds(Rules.HistoryRetention)},
           {"cache_retention", nameOf(Rules.CacheRetention)},
           {"cache_ttl_ms", Milliseconds(Rules.CacheTimeToLive)},
           {"queue_limit", Rules.QueueLimit},
           {"high_class_share", Rules.HighClassShare},
           {"low_class_floor", Rules.LowClassFloor},
           {"retry_fraction", Rules.RetryFraction},
           {"max_ejected_share", Rules.MaxEjectedShare},
           {"move_margin", Rules.MoveMargin},
           {"slow_link_bytes_per_s", Rules.SlowLinkBytesPerSecond},
           {"applied", Rules.Applied}};
}

void from_json(const Json &Value, OperatorDocument &Document) {
  Document = OperatorDocument();
  Document.Made = noteFrom(Value);
  const Json Defaults = Value.value("defaults", Json::object());
  for (const auto &Entry : Defaults.items())
    if (const SettingRule *Rule = findRule(Entry.key()))
      Document.Defaults[Rule->Setting] = checkedValue(*Rule, Entry.value());
  const Json Exceptions = Value.value("exceptions", Json::array());
  for (const Json &Exception : Exceptions)
    Document.Exceptions.push_back(exceptionFrom(Exception));
  const Json History = Value.value("history", Json::array());
  for (const Json &Note : History)
    Document.History.push_back(noteFrom(Note));
}

} // namespace tamarack
