/// The settings of one process: a JSON document, checked whole before
/// anything starts.
///
/// All mistakes are reported at once, each with its path in the document
/// (a JSON pointer), what was found there and what was expected:
///
///   const SettingsOutcome Outcome = loadSettings("entry-andes-a.json");
///   if (const auto *Mistakes = mistakesIn(Outcome)) {
///     for (const SettingsMistake &Mistake : *Mistakes)
///       std::cerr << Mistake << '\n';
///     return 2;
///   }
///   const Settings &Own = std::get<Settings>(Outcome);
///
/// docs/CONFIGURATION.md lists every key with its unit and default.
#ifndef TAMARACK_CONFIG_SETTINGS_H
#define TAMARACK_CONFIG_SETTINGS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Ids.h"
#include "tamarack/base/Json.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

enum class ProcessRole { Entry, Endpoint };

/// Where to connect to; the host is an IP number, never a name.
struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  auto tied() const { return std::tie(Host, Port); }
};

/// The endpoint beside which an endpoint process stands.
struct EndpointSettings {
  EndpointId Name;
  /// "engine" or "service".
  std::string Kind;
  Address At;
  /// Models of an engine, names of services.
  std::vector<std::string> Serves;
  /// Whether the endpoint refuses an order with an old fencing number.
  bool ChecksFence = false;
  /// Whether calls of the service may be repeated. Always true for engines.
  bool Repeatable = false;
  /// The most requests that the endpoint works on at once.
  std::uint32_t MaxBatch = 0;
  /// How many tokens the engine's cache holds; zero for services.
  TokenCount MemoryTokens = 0;

  auto tied() const {
    return std::tie(Name, Kind, At, Serves, ChecksFence, Repeatable, MaxBatch,
                    MemoryTokens);
  }
};

struct Settings {
  InstanceId Instance;
  ProcessRole Role = ProcessRole::Entry;
  RegionId Region;
  DataCentreId DataCentre;
  /// The IP number to listen on, and where others reach this process.
  std::string Host;
  std::uint16_t PeerPort = 0;
  /// Zero in an endpoint process, which serves no callers.
  std::uint16_t CallerPort = 0;
  /// Zero where an endpoint process serves no operators.
  std::uint16_t OperatorPort = 0;
  /// The platform's key-value service and list of instances.
  Address Platform;
  /// Empty where the process keeps nothing on disk.
  std::string DataFolder;
  /// How many shards programs hash to; the same in all processes.
  std::uint32_t ShardCount = 0;
  std::string PeerKeyFile;
  /// Empty where the process has no operator port.
  std::string OperatorKeyFile;
  /// A JSON object from callers' keys to customers; empty at endpoints.
  std::string CallerKeysFile;
  /// Present exactly in the endpoint role.
  std::optional<EndpointSettings> Endpoint;
  /// How long a planned stop waits for running requests.
  Duration StopLimit{0};
  Duration HeartbeatEvery{0};
  /// After this long without a frame a connection is abandoned.
  Duration SilenceLimit{0};
  /// After this long without a heartbeat a member is suspected.
  Duration SuspectAfter{0};
  /// After this long a call to the platform's service counts as failed.
  Duration PlatformTimeout{0};
  /// "text" or "json".
  std::string LogFormat;
  /// "debug", "info", "warn" or "error".
  std::string LogLevel;

  auto tied() const {
    return std::tie(Instance, Role, Region, DataCentre, Host, PeerPort,
                    CallerPort, OperatorPort, Platform, DataFolder, ShardCount,
                    PeerKeyFile, OperatorKeyFile, CallerKeysFile, Endpoint,
                    StopLimit, HeartbeatEvery, SilenceLimit, SuspectAfter,
                    PlatformTimeout, LogFormat, LogLevel);
  }
};

/// One mistake in a document.
struct SettingsMistake {
  /// A JSON pointer; empty for the document as a whole.
  std::string Path;
  std::string Found;
  std::string Expected;

  auto tied() const { return std::tie(Path, Found, Expected); }
};

std::ostream &operator<<(std::ostream &Out, const SettingsMistake &Mistake);

using SettingsOutcome = std::variant<Settings, std::vector<SettingsMistake>>;

/// Reads and checks the file at \p Path. Opens nothing else: key files are
/// read by Keys.h.
SettingsOutcome loadSettings(const std::string &Path);

/// Checks \p Document and fills in the defaults.
SettingsOutcome parseSettings(const Json &Document);

/// The mistakes of \p Outcome, sorted by path; null when it has settings.
const std::vector<SettingsMistake> *mistakesIn(const SettingsOutcome &Outcome);

/// The JSON schema that settings are checked against.
const Json &settingsSchema();

} // namespace tamarack

#endif // TAMARACK_CONFIG_SETTINGS_H
