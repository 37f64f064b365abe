#include "tamarack/config/OperatorSettings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace tamarack {
namespace {

using Setting = OperatorSetting;
using Type = SettingType;

constexpr double MillisecondsPerMinute = 60'000;
constexpr double MillisecondsPerHour = 60 * MillisecondsPerMinute;
constexpr double MillisecondsPerDay = 24 * MillisecondsPerHour;

SettingRule wholeNumber(Setting Which, const char *Name, std::int64_t Default,
                        double Minimum, double Maximum, const char *Unit,
                        const char *Meaning) {
  return {Which, Name,   Type::WholeNumber, Default, Minimum, Maximum, {},
          Unit,  Meaning};
}

SettingRule share(Setting Which, const char *Name, double Default,
                  const char *Meaning) {
  return {Which, Name, Type::Share, Default, 0, 1, {}, "share", Meaning};
}

SettingRule choice(Setting Which, const char *Name, const char *Default,
                   std::vector<std::string> Choices, const char *Meaning) {
  return {Which,  Name, Type::Choice,       std::string(Default),
          0,      0,    std::move(Choices), "choice",
          Meaning};
}

const std::array<const char *, 3> ClassNames = {"high", "normal", "low"};
const std::array<const char *, 4> PolicyNames = {
    "keep_nothing", "least_recently_used", "time_to_live", "expected_next_use"};

template <std::size_t Count>
std::vector<std::string> textsOf(const std::array<const char *, Count> &Names) {
  return {Names.begin(), Names.end()};
}

template <typename Enum, std::size_t Count>
std::optional<Enum> valueOf(const std::array<const char *, Count> &Names,
                            const std::string &Name) {
  const auto Place = std::find(Names.begin(), Names.end(), Name);
  if (Place == Names.end())
    return std::nullopt;
  return static_cast<Enum>(Place - Names.begin());
}

std::vector<SettingRule> makeRules() {
  return {
      choice(Setting::Class, "class", "normal", textsOf(ClassNames),
             "The class of calls, which orders them under load."),
      wholeNumber(Setting::BudgetTokens, "budget_tokens", 2'000'000, 1, 1e12,
                  "tokens",
                  "What a program and its sub-agents may use altogether."),
      wholeNumber(Setting::MaxTurns, "max_turns", 500, 1, 1e6, "calls",
                  "After this many calls a program is ended."),
      wholeNumber(Setting::MaxWallTime, "max_wall_time_ms", 86'400'000, 1'000,
                  365 * MillisecondsPerDay, "ms",
                  "After this long a program is ended."),
      wholeNumber(Setting::CallDeadline, "call_deadline_ms", 120'000, 1,
                  MillisecondsPerHour, "ms",
                  "How long a call may take that names no deadline itself."),
      wholeNumber(Setting::SequenceWait, "sequence_wait_ms", 5'000, 0,
                  MillisecondsPerHour, "ms",
                  "How long a numbered call waits for the one before it."),
      wholeNumber(Setting::ToolTimeout, "tool_timeout_ms", 60'000, 1,
                  MillisecondsPerHour, "ms",
                  "After this long without an answer a service has failed."),
      wholeNumber(Setting::HistoryRetention, "history_retention_ms",
                  604'800'000, 0, 365 * MillisecondsPerDay, "ms",
                  "How long an ended program's history and answers are kept."),
      choice(Setting::CacheRetention, "cache_retention", "expected_next_use",
             textsOf(PolicyNames),
             "What stays in an engine's cache during a tool pause."),
      wholeNumber(Setting::CacheTimeToLive, "cache_ttl_ms", 60'000, 0,
                  MillisecondsPerDay, "ms",
                  "How long cache is held under time_to_live."),
      wholeNumber(Setting::QueueLimit, "queue_limit", 256, 1, 1e6, "calls",
                  "How many calls wait at an endpoint before it refuses."),
      share(Setting::HighClassShare, "high_class_share", 0.3,
            "The share of an endpoint that is kept for the high class."),
      share(Setting::LowClassFloor, "low_class_floor", 0.05,
            "The share of an endpoint that the low class always gets."),
      share(Setting::RetryFraction, "retry_fraction", 0.1,
            "How many retries are allowed for each recent success."),
      share(Setting::MaxEjectedShare, "max_ejected_share", 0.3,
            "The largest share of endpoints ejected for failures at once."),
      share(Setting::MoveMargin, "move_margin", 0.2,
            "How much cheaper another endpoint must be to move a program."),
      wholeNumber(Setting::SlowLinkBytesPerSecond, "slow_link_bytes_per_s",
                  64'000, 1'000, 1e9, "bytes/s",
                  "What one process may send between regions."),
  };
}

std::string boundText(double Bound) {
  std::ostringstream Text;
  Text.precision(15);
  Text << Bound;
  return Text.str();
}

bool isWithin(const SettingRule &Rule, double Value) {
  return Value >= Rule.Minimum && Value <= Rule.Maximum;
}

std::optional<SettingValue> choiceFrom(const SettingRule &Rule,
                                       const Json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  const std::string Name = Value.get<std::string>();
  const auto &Choices = Rule.Choices;
  if (std::find(Choices.begin(), Choices.end(), Name) == Choices.end())
    return std::nullopt;
  return SettingValue(Name);
}

} // namespace

const std::vector<SettingRule> &settingRules() {
  static const std::vector<SettingRule> Rules = makeRules();
  return Rules;
}

const SettingRule &ruleOf(OperatorSetting Setting) {
  return settingRules()[static_cast<std::size_t>(Setting)];
}

const SettingRule *findRule(const std::string &Name) {
  for (const SettingRule &Rule : settingRules())
    if (Name == Rule.Name)
      return &Rule;
  return nullptr;
}

std::string expectedBy(const SettingRule &Rule) {
  if (Rule.Type == Type::Choice) {
    std::string Text = "one of";
    for (const std::string &Choice : Rule.Choices)
      Text += " " + Choice;
    return Text;
  }
  const std::string Kind =
      Rule.Type == Type::WholeNumber
          ? "a whole number (" + std::string(Rule.Unit) + ") from "
          : "a number from ";
  return Kind + boundText(Rule.Minimum) + " to " + boundText(Rule.Maximum);
}

std::optional<SettingValue> settingValueFrom(const SettingRule &Rule,
                                             const Json &Value) {
  if (Rule.Type == Type::Choice)
    return choiceFrom(Rule, Value);
  const bool Fits = Rule.Type == Type::WholeNumber ? Value.is_number_integer()
                                                   : Value.is_number();
  if (!Fits || !isWithin(Rule, Value.get<double>()))
    return std::nullopt;
  if (Rule.Type == Type::WholeNumber)
    return SettingValue(Value.get<std::int64_t>());
  return SettingValue(Value.get<double>());
}

Json jsonOf(const SettingValue &Value) {
  return std::visit([](const auto &Held) { return Json(Held); }, Value);
}

const char *nameOf(CacheRetentionPolicy Policy) {
  return PolicyNames.at(static_cast<std::size_t>(Policy));
}

std::optional<CacheRetentionPolicy>
cacheRetentionPolicyOf(const std::string &Name) {
  return valueOf<CacheRetentionPolicy>(PolicyNames, Name);
}

std::ostream &operator<<(std::ostream &Out, CacheRetentionPolicy Policy) {
  return Out << nameOf(Policy);
}

} // namespace tamarack
