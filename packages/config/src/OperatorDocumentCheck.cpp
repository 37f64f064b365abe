#include "tamarack/config/OperatorDocument.h"

#include "SchemaCheck.h"

#include <set>
#include <sstream>

namespace tamarack {
namespace {

using internal::quoted;
using Mistakes = std::vector<SettingsMistake>;

Json textSchema(const char *Description) {
  return {{"type", "string"},
          {"minLength", 1},
          {"maxLength", MaxTextLength},
          {"description", Description}};
}

Json optionalTextSchema() {
  return {{"type", "string"},
          {"maxLength", MaxTextLength},
          {"description", "a text of at most 500 characters"}};
}

Json numberSchema() {
  return {{"type", "integer"},
          {"minimum", 0},
          {"description", "the number of a revision"}};
}

Json closedObject(const char *Description, Json Properties, Json Required) {
  return {{"type", "object"},
          {"description", Description},
          {"additionalProperties", {{"not", Json::object()}}},
          {"properties", std::move(Properties)},
          {"required", std::move(Required)}};
}

Json scopeSchema() {
  Json Properties;
  for (const char *Field :
       {"customer", "workspace", "model", "endpoint", "service"})
    Properties[Field] = textSchema("a name of 1 to 500 characters");
  Json Schema =
      closedObject("an object with at least one of customer, workspace, "
                   "model, endpoint and service",
                   std::move(Properties), Json::array());
  Schema["minProperties"] = 1;
  return Schema;
}

Json exceptionSchema() {
  const Json Properties = {
      {"id", textSchema("an id of 1 to 500 characters")},
      {"scope", scopeSchema()},
      {"setting", {{"type", "string"}, {"description", "a setting's name"}}},
      {"value", {{"description", "a value"}}},
      {"reason", textSchema("the reason, 1 to 500 characters")},
      {"author", textSchema("the author, 1 to 500 characters")},
      {"until",
       {{"type", {"string", "null"}},
        {"description", "a UTC time such as 2026-12-24T18:00:00Z"}}}};
  return closedObject("an object that describes an exception", Properties,
                      {"id", "scope", "setting", "value", "reason", "author"});
}

Json noteProperties() {
  return {{"revision", numberSchema()},
          {"author", textSchema("the author, 1 to 500 characters")},
          {"token", optionalTextSchema()},
          {"comment", optionalTextSchema()}};
}

Json defaultsSchema() {
  Json Properties;
  for (const SettingRule &Rule : settingRules())
    Properties[Rule.Name] = {{"description", expectedBy(Rule)}};
  return closedObject("an object from setting to value", std::move(Properties),
                      Json::array());
}

Json makeDocumentSchema() {
  Json Properties = noteProperties();
  Properties["defaults"] = defaultsSchema();
  Properties["exceptions"] = {
      {"type", "array"},
      {"maxItems", MaxExceptions},
      {"description", "an array of at most 500 exceptions"},
      {"items", exceptionSchema()}};
  Properties["history"] = {
      {"type", "array"},
      {"maxItems", MaxHistory},
      {"description", "an array of at most 100 earlier revisions"},
      {"items", closedObject("an earlier revision", noteProperties(),
                             {"revision", "author"})}};
  return closedObject("an operators' document", std::move(Properties),
                      {"author"});
}

const Json &documentSchema() {
  static const Json Schema = makeDocumentSchema();
  return Schema;
}

Json listAt(const Json &Value, const char *Key) {
  const Json List = Value.is_object() ? Value.value(Key, Json()) : Json();
  return List.is_array() ? List : Json::array();
}

void checkDefaults(const Json &Value, Mistakes &Found) {
  const Json Defaults =
      Value.is_object() ? Value.value("defaults", Json()) : Json();
  if (!Defaults.is_object())
    return;
  for (const auto &Entry : Defaults.items()) {
    const SettingRule *Rule = findRule(Entry.key());
    if (Rule && !settingValueFrom(*Rule, Entry.value()))
      Found.push_back({"/defaults/" + Entry.key(), quoted(Entry.value()),
                       expectedBy(*Rule)});
  }
}

std::string allSettingNames() {
  std::string Text = "one of";
  for (const SettingRule &Rule : settingRules())
    Text += std::string(" ") + Rule.Name;
  return Text;
}

void checkExceptionValue(const Json &Exception, const std::string &Path,
                         Mistakes &Found) {
  const Json Name = Exception.value("setting", Json());
  if (!Name.is_string() || !Exception.contains("value"))
    return;
  const SettingRule *Rule = findRule(Name.get<std::string>());
  if (!Rule)
    Found.push_back({Path + "/setting", quoted(Name), allSettingNames()});
  else if (!settingValueFrom(*Rule, Exception["value"]))
    Found.push_back(
        {Path + "/value", quoted(Exception["value"]), expectedBy(*Rule)});
}

void checkUntil(const Json &Exception, const std::string &Path,
                Mistakes &Found) {
  const Json Until = Exception.value("until", Json());
  if (Until.is_string() && !calendarTimeFrom(Until.get<std::string>()))
    Found.push_back({Path + "/until", quoted(Until),
                     "a UTC time such as 2026-12-24T18:00:00Z"});
}

/// A reason of blanks would pass the schema's length.
void checkReason(const Json &Exception, const std::string &Path,
                 Mistakes &Found) {
  const Json Reason = Exception.value("reason", Json());
  if (!Reason.is_string() || Reason == "")
    return;
  if (Reason.get<std::string>().find_first_not_of(" \t\r\n") ==
      std::string::npos)
    Found.push_back(
        {Path + "/reason", quoted(Reason), "the reason, 1 to 500 characters"});
}

void checkExceptions(const Json &Value, Mistakes &Found) {
  std::set<Json> Ids;
  const Json List = listAt(Value, "exceptions");
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const Json &Exception = List[Index];
    const std::string Path = "/exceptions/" + std::to_string(Index);
    if (!Exception.is_object())
      continue;
    checkExceptionValue(Exception, Path, Found);
    checkUntil(Exception, Path, Found);
    checkReason(Exception, Path, Found);
    if (Exception.contains("id") && !Ids.insert(Exception["id"]).second)
      Found.push_back({Path + "/id", quoted(Exception["id"]),
                       "an id that no other exception has"});
  }
}

/// Both shares come out of one endpoint.
void checkShares(const Json &Value, Mistakes &Found) {
  if (!Found.empty())
    return;
  const EffectiveDefaults Rules =
      effective(Value.get<OperatorDocument>(), Scope(), CalendarTime());
  const double Sum = Rules.HighClassShare + Rules.LowClassFloor;
  if (Sum > 1)
    Found.push_back({"/defaults",
                     "high_class_share + low_class_floor = " + Json(Sum).dump(),
                     "a sum of at most 1"});
}

/// The history is bounded by its own rules.
void checkSize(const Json &Value, Mistakes &Found) {
  Json Content = Value;
  if (Content.is_object())
    Content.erase("history");
  const std::size_t Bytes =
      Content.dump(-1, ' ', false, Json::error_handler_t::replace).size();
  if (Bytes > MaxDocumentBytes)
    Found.push_back({"", std::to_string(Bytes) + " bytes",
                     "at most " + std::to_string(MaxDocumentBytes) + " bytes"});
}

std::string textOf(const Mistakes &Found) {
  std::ostringstream Text;
  for (const SettingsMistake &Mistake : Found)
    Text << (Text.tellp() > 0 ? "; " : "") << Mistake;
  return Text.str();
}

Mistakes checkException(const Json &Value) {
  const std::string Prefix = "/exceptions/0";
  Mistakes Found = checkOperatorDocument(
      {{"author", "none"}, {"exceptions", Json::array({Value})}});
  for (SettingsMistake &Mistake : Found)
    if (Mistake.Path.rfind(Prefix, 0) == 0)
      Mistake.Path = Mistake.Path.substr(Prefix.size());
  return Found;
}

} // namespace

std::vector<SettingsMistake> checkOperatorDocument(const Json &Value) {
  Mistakes Found = internal::checkSchema(documentSchema(), Value);
  checkDefaults(Value, Found);
  checkExceptions(Value, Found);
  checkShares(Value, Found);
  checkSize(Value, Found);
  internal::sortMistakes(Found);
  return Found;
}

Expected<OperatorDocument> operatorDocumentFrom(const Json &Value) {
  const Mistakes Found = checkOperatorDocument(Value);
  if (!Found.empty())
    return refuse(ErrorKind::InvalidConfiguration, textOf(Found),
                  NotRun::Proved);
  return Value.get<OperatorDocument>();
}

Expected<OperatorException> operatorExceptionFrom(const Json &Value) {
  const Mistakes Found = checkException(Value);
  if (!Found.empty())
    return refuse(ErrorKind::InvalidConfiguration, textOf(Found),
                  NotRun::Proved);
  const Json Document = {{"author", "none"},
                         {"exceptions", Json::array({Value})}};
  return Document.get<OperatorDocument>().Exceptions.front();
}

} // namespace tamarack
