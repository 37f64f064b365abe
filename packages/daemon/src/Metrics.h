/// The metrics of one process, in the Prometheus text format.
///
/// Histograms are observed as calls are served. Counters are read from the
/// parts that count, at the time of the scrape. metricTable() is the closed
/// list of all names; docs/METRICS.md is checked against it.
#ifndef TAMARACK_DAEMON_METRICS_H
#define TAMARACK_DAEMON_METRICS_H

#include "tamarack/base/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {
namespace internal {

enum class Timing { Call, FirstToken, TokenInterval, Program };

enum class Counter {
  Refused,
  Retried,
  GaveUp,
  CallsStarted,
  CallsJoined,
  AnswersRepeated,
  AttemptsAsked,
  OutcomesUnknown,
  PromptTokens,
  CachedTokens,
  PrefilledAgain,
  WrongKeys,
  ShardClaims,
  ShardClaimsLost,
  CopiesReplaced,
  AppendsFailed,
  ShardsReleased,
  PlatformReads,
  PlatformWrites,
  PlatformFailures,
  AnswersReadBack,
  AttemptsVoided,
  CacheReleased,
};

struct MetricRow {
  std::string Name;
  std::string Help;
  /// The label that tells its series apart; empty for a single series.
  std::string Label;
};

const std::vector<MetricRow> &metricTable();

/// One series of a counter.
struct CounterValue {
  Counter Which;
  std::string Label;
  double Value = 0;
};

class Metrics {
public:
  /// \p Counters gives the current values at each scrape.
  explicit Metrics(std::function<std::vector<CounterValue>()> Counters);
  ~Metrics();

  void observe(Timing Which, Duration Span);
  /// Everything, in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// The name under which \p Which is exported.
const std::string &nameOf(Counter Which);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_METRICS_H
