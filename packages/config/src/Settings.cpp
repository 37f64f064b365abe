#include "tamarack/config/Settings.h"

#include "SchemaCheck.h"
#include "StrictJson.h"

#include <fstream>
#include <map>
#include <sstream>

namespace tamarack {
namespace {

using internal::NothingFound;
using internal::quoted;
using Mistakes = std::vector<SettingsMistake>;

/// The value at \p Key, or the schema's default for it. Null where there is
/// neither, as for the optional keys of the endpoint.
Json valueAt(const Json &Document, const char *Key) {
  if (Document.contains(Key))
    return Document[Key];
  const Json &Known = settingsSchema()["properties"];
  const auto Property = Known.find(Key);
  return Property == Known.end() ? Json() : Property->value("default", Json());
}

template <typename T>
T valueOr(const Json &Document, const char *Key, T Otherwise) {
  const Json Value = valueAt(Document, Key);
  return Value.is_null() ? Otherwise : Value.get<T>();
}

std::string textAt(const Json &Document, const char *Key) {
  return valueOr(Document, Key, std::string());
}

std::uint16_t portAt(const Json &Document, const char *Key) {
  return valueOr(Document, Key, std::uint16_t(0));
}

Duration millisecondsAt(const Json &Document, const char *Key) {
  return std::chrono::milliseconds(valueOr(Document, Key, std::int64_t(0)));
}

Address addressAt(const Json &Document, const char *Key) {
  const Json &Value = Document[Key];
  return {textAt(Value, "host"), portAt(Value, "port")};
}

EndpointSettings endpointFrom(const Json &Value) {
  EndpointSettings Endpoint;
  Endpoint.Name = EndpointId(textAt(Value, "name"));
  Endpoint.Kind = textAt(Value, "kind");
  Endpoint.At = addressAt(Value, "at");
  Endpoint.Serves = Value["serves"].get<std::vector<std::string>>();
  Endpoint.ChecksFence = valueOr(Value, "checks_fence", false);
  Endpoint.Repeatable =
      Endpoint.Kind == "engine" || valueOr(Value, "repeatable", false);
  Endpoint.MaxBatch = valueOr(Value, "max_batch", std::uint32_t(0));
  Endpoint.MemoryTokens = valueOr(Value, "memory_tokens", TokenCount(0));
  return Endpoint;
}

Settings settingsFrom(const Json &Document) {
  Settings Result;
  Result.Instance = InstanceId(textAt(Document, "instance"));
  Result.Role = textAt(Document, "role") == "entry" ? ProcessRole::Entry
                                                    : ProcessRole::Endpoint;
  Result.Region = RegionId(textAt(Document, "region"));
  Result.DataCentre = DataCentreId(textAt(Document, "data_centre"));
  Result.Host = textAt(Document, "host");
  Result.PeerPort = portAt(Document, "peer_port");
  Result.CallerPort = portAt(Document, "caller_port");
  Result.OperatorPort = portAt(Document, "operator_port");
  Result.Platform = addressAt(Document, "platform");
  Result.DataFolder = textAt(Document, "data_folder");
  Result.ShardCount = valueOr(Document, "shard_count", std::uint32_t(0));
  Result.PeerKeyFile = textAt(Document, "peer_key_file");
  Result.OperatorKeyFile = textAt(Document, "operator_key_file");
  Result.CallerKeysFile = textAt(Document, "caller_keys_file");
  if (Document.contains("endpoint"))
    Result.Endpoint = endpointFrom(Document["endpoint"]);
  Result.StopLimit = millisecondsAt(Document, "stop_limit_ms");
  Result.HeartbeatEvery = millisecondsAt(Document, "heartbeat_every_ms");
  Result.SilenceLimit = millisecondsAt(Document, "silence_limit_ms");
  Result.SuspectAfter = millisecondsAt(Document, "suspect_after_ms");
  Result.PlatformTimeout = millisecondsAt(Document, "platform_timeout_ms");
  Result.LogFormat = textAt(Document, "log_format");
  Result.LogLevel = textAt(Document, "log_level");
  return Result;
}

void requireKey(const Json &Document, const char *Key, const char *Role,
                Mistakes &Found) {
  if (!Document.contains(Key))
    Found.push_back({std::string("/") + Key, NothingFound,
                     std::string("a value, as the role is ") + Role});
}

void forbidKey(const Json &Document, const char *Key, const char *Role,
               Mistakes &Found) {
  if (Document.contains(Key))
    Found.push_back({std::string("/") + Key, quoted(Document[Key]),
                     std::string("no such key, as the role is ") + Role});
}

void checkRole(const Json &Document, Mistakes &Found) {
  const Json Role = Document.value("role", Json());
  if (Role == "entry") {
    for (const char *Key : {"caller_port", "operator_port", "operator_key_file",
                            "caller_keys_file"})
      requireKey(Document, Key, "entry", Found);
    forbidKey(Document, "endpoint", "entry", Found);
  }
  if (Role == "endpoint") {
    requireKey(Document, "endpoint", "endpoint", Found);
    for (const char *Key : {"caller_port", "caller_keys_file"})
      forbidKey(Document, Key, "endpoint", Found);
    if (Document.contains("operator_port"))
      requireKey(Document, "operator_key_file", "endpoint with operator_port",
                 Found);
  }
}

void checkEndpointKind(const Json &Document, Mistakes &Found) {
  const Json Endpoint = Document.value("endpoint", Json());
  if (!Endpoint.is_object())
    return;
  const Json Kind = Endpoint.value("kind", Json());
  if (Kind == "engine" && !Endpoint.contains("memory_tokens"))
    Found.push_back({"/endpoint/memory_tokens", NothingFound,
                     "the size of the engine's cache in tokens"});
  if (Kind == "engine" && Endpoint.contains("repeatable"))
    Found.push_back({"/endpoint/repeatable", quoted(Endpoint["repeatable"]),
                     "no such key, as the kind is engine"});
  if (Kind == "service" && !Endpoint.contains("repeatable"))
    Found.push_back({"/endpoint/repeatable", NothingFound,
                     "true or false: whether calls may be repeated"});
  if (Kind == "service" && Endpoint.contains("memory_tokens"))
    Found.push_back({"/endpoint/memory_tokens",
                     quoted(Endpoint["memory_tokens"]),
                     "no such key, as the kind is service"});
}

/// A limit that is not above the heartbeat would fire between two of them.
void checkTimes(const Json &Document, Mistakes &Found) {
  const Json Heartbeat = valueAt(Document, "heartbeat_every_ms");
  if (!Heartbeat.is_number())
    return;
  for (const char *Key : {"silence_limit_ms", "suspect_after_ms"}) {
    const Json Limit = valueAt(Document, Key);
    if (Limit.is_number() && Limit <= Heartbeat)
      Found.push_back(
          {std::string("/") + Key, quoted(Limit),
           "more than heartbeat_every_ms, which is " + quoted(Heartbeat)});
  }
}

/// Ports of one process must differ, as they share a host.
void checkPorts(const Json &Document, Mistakes &Found) {
  std::map<Json, std::string> Taken;
  for (const char *Key : {"peer_port", "caller_port", "operator_port"}) {
    if (!Document.contains(Key))
      continue;
    const auto Place = Taken.emplace(Document[Key], Key);
    if (!Place.second)
      Found.push_back({std::string("/") + Key, quoted(Document[Key]),
                       "a port other than " + Place.first->second});
  }
}

Mistakes checkRules(const Json &Document) {
  Mistakes Found;
  if (!Document.is_object())
    return Found;
  checkRole(Document, Found);
  checkEndpointKind(Document, Found);
  checkTimes(Document, Found);
  checkPorts(Document, Found);
  return Found;
}

SettingsOutcome wholeDocument(std::string Found, std::string Expected) {
  return Mistakes{{"", std::move(Found), std::move(Expected)}};
}

SettingsOutcome withRepeatedKeys(SettingsOutcome Outcome,
                                 const std::vector<std::string> &Pointers) {
  if (Pointers.empty())
    return Outcome;
  Mistakes Found;
  if (const Mistakes *Others = mistakesIn(Outcome))
    Found = *Others;
  for (const std::string &Pointer : Pointers)
    Found.push_back({Pointer, "the key more than once", "the key once"});
  internal::sortMistakes(Found);
  return Found;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const SettingsMistake &Mistake) {
  return Out << (Mistake.Path.empty() ? "/" : Mistake.Path) << ": found "
             << Mistake.Found << ", expected " << Mistake.Expected;
}

SettingsOutcome parseSettings(const Json &Document) {
  Mistakes Found = internal::checkSchema(settingsSchema(), Document);
  for (SettingsMistake &Mistake : checkRules(Document))
    Found.push_back(std::move(Mistake));
  internal::sortMistakes(Found);
  if (!Found.empty())
    return Found;
  return settingsFrom(Document);
}

SettingsOutcome loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return wholeDocument("no readable file " + Path, "a file of settings");
  const internal::StrictJson Parsed = internal::parseStrictJson(Text.str());
  if (!Parsed.Failure.empty())
    return wholeDocument(Parsed.Failure, "a JSON document");
  SettingsOutcome Outcome = parseSettings(Parsed.Value);
  return withRepeatedKeys(std::move(Outcome), Parsed.RepeatedKeys);
}

const std::vector<SettingsMistake> *mistakesIn(const SettingsOutcome &Outcome) {
  return std::get_if<Mistakes>(&Outcome);
}

} // namespace tamarack
