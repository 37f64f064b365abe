/// The closed list of what operators can set, with types, bounds and
/// built-in defaults.
///
///   const SettingRule &Rule = ruleOf(OperatorSetting::BudgetTokens);
///   if (!settingValueFrom(Rule, Json("many")))
///     report("expected " + expectedBy(Rule));
#ifndef TAMARACK_CONFIG_OPERATORSETTINGS_H
#define TAMARACK_CONFIG_OPERATORSETTINGS_H

#include "tamarack/base/CallClass.h"
#include "tamarack/base/Json.h"

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

enum class OperatorSetting {
  Class,
  BudgetTokens,
  MaxTurns,
  MaxWallTime,
  CallDeadline,
  SequenceWait,
  ToolTimeout,
  HistoryRetention,
  CacheRetention,
  CacheTimeToLive,
  QueueLimit,
  HighClassShare,
  LowClassFloor,
  RetryFraction,
  MaxEjectedShare,
  MoveMargin,
  SlowLinkBytesPerSecond,
};

/// How an endpoint process decides what stays in an engine's cache.
enum class CacheRetentionPolicy {
  KeepNothing,
  LeastRecentlyUsed,
  TimeToLive,
  ExpectedNextUse,
};

/// A whole number, a share or the name of a choice.
using SettingValue = std::variant<std::int64_t, double, std::string>;

enum class SettingType { WholeNumber, Share, Choice };

struct SettingRule {
  OperatorSetting Setting;
  /// The key in the document.
  const char *Name;
  SettingType Type;
  SettingValue Default;
  /// Bounds, both included; not used for choices.
  double Minimum;
  double Maximum;
  std::vector<std::string> Choices;
  const char *Unit;
  const char *Meaning;
};

const std::vector<SettingRule> &settingRules();
const SettingRule &ruleOf(OperatorSetting Setting);
/// Null when no setting has \p Name.
const SettingRule *findRule(const std::string &Name);

/// What \p Rule expects, in words.
std::string expectedBy(const SettingRule &Rule);
/// The value in \p Value, or nothing when \p Rule refuses it.
std::optional<SettingValue> settingValueFrom(const SettingRule &Rule,
                                             const Json &Value);

Json jsonOf(const SettingValue &Value);

const char *nameOf(CacheRetentionPolicy Policy);
std::optional<CacheRetentionPolicy>
cacheRetentionPolicyOf(const std::string &Name);

std::ostream &operator<<(std::ostream &Out, CacheRetentionPolicy Policy);

} // namespace tamarack

#endif // TAMARACK_CONFIG_OPERATORSETTINGS_H
