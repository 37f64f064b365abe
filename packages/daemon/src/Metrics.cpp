#include "Metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace tamarack {
namespace internal {
namespace {

constexpr std::size_t Timings = 4;
constexpr double MicrosPerSecond = 1e6;
/// Bounds in seconds, around the targets of 69 ms and 1.8 s.
const prometheus::Histogram::BucketBoundaries Buckets{
    0.005, 0.01, 0.025, 0.05, 0.069, 0.1, 0.25, 0.5, 1,
    1.8,   2.5,  5,     10,   30,    60,  300,  1800};

const std::vector<MetricRow> Table{
    {"tamarack_call_seconds", "From a caller's request to its whole answer.",
     ""},
    {"tamarack_first_token_seconds",
     "From a caller's request to the first piece of its answer.", ""},
    {"tamarack_token_interval_seconds",
     "Between two pieces of a streamed answer.", ""},
    {"tamarack_program_seconds",
     "From a program's first call to its end on request.", ""},
    {"tamarack_refused_total", "Requests refused, by error kind.", "kind"},
    {"tamarack_retries_total", "Attempts made again, by reason.", "reason"},
    {"tamarack_retries_refused_total",
     "Failed attempts that were not made again, by reason.", "reason"},
    {"tamarack_calls_started_total", "Attempts that were begun.", ""},
    {"tamarack_calls_joined_total",
     "Waits of a repeated request for the running call.", ""},
    {"tamarack_answers_repeated_total", "Answers given from the log.", ""},
    {"tamarack_attempts_asked_total",
     "Questions to endpoint processes after attempts.", ""},
    {"tamarack_outcomes_unknown_total",
     "Calls that may not be repeated whose outcome stays unknown.", ""},
    {"tamarack_prompt_tokens_total", "Prompt tokens of answered calls.", ""},
    {"tamarack_cached_prompt_tokens_total",
     "Prompt tokens that the engine had in its cache.", ""},
    {"tamarack_prefilled_again_tokens_total",
     "Tokens of a program's history that had to be prefilled again.", ""},
    {"tamarack_wrong_keys_total", "Requests with a wrong key, by port.",
     "port"},
    {"tamarack_shard_claims_total", "Shards taken over.", ""},
    {"tamarack_shard_claims_lost_total", "Claims of shards that failed.", ""},
    {"tamarack_copies_replaced_total", "Copies of shards made anew.", ""},
    {"tamarack_appends_failed_total",
     "Appends that a copy refused or did not answer.", ""},
    {"tamarack_shards_released_total", "Shards given up at a planned stop.",
     ""},
    {"tamarack_platform_reads_total", "Reads of the platform's service.", ""},
    {"tamarack_platform_writes_total", "Writes to the platform's service.", ""},
    {"tamarack_platform_failures_total",
     "Calls of the platform's service that failed.", ""},
    {"tamarack_platform_answers_read_back_total",
     "Writes whose outcome was read back.", ""},
    {"tamarack_attempts_voided_total",
     "Attempts made void because their owner asked first.", ""},
    {"tamarack_cache_released_total", "Programs whose cache was released.", ""},
};

const MetricRow &rowOf(Counter Which) {
  return Table.at(Timings + static_cast<std::size_t>(Which));
}

} // namespace

const std::vector<MetricRow> &metricTable() { return Table; }

const std::string &nameOf(Counter Which) { return rowOf(Which).Name; }

struct Metrics::Impl {
  prometheus::Registry Registry;
  std::vector<prometheus::Histogram *> Histograms;
  std::function<std::vector<CounterValue>()> Counters;
};

Metrics::Metrics(std::function<std::vector<CounterValue>()> Counters)
    : Inner(std::make_unique<Impl>()) {
  Inner->Counters = std::move(Counters);
  for (std::size_t Which = 0; Which < Timings; ++Which) {
    auto &Family = prometheus::BuildHistogram()
                       .Name(Table[Which].Name)
                       .Help(Table[Which].Help)
                       .Register(Inner->Registry);
    Inner->Histograms.push_back(&Family.Add({}, Buckets));
  }
}

Metrics::~Metrics() = default;

void Metrics::observe(Timing Which, Duration Span) {
  Inner->Histograms[static_cast<std::size_t>(Which)]->Observe(
      static_cast<double>(Span.count()) / MicrosPerSecond);
}

std::string Metrics::text() const {
  std::vector<prometheus::MetricFamily> Families = Inner->Registry.Collect();
  std::map<Counter, prometheus::MetricFamily> ByCounter;
  for (const CounterValue &Value : Inner->Counters()) {
    const MetricRow &Row = rowOf(Value.Which);
    prometheus::MetricFamily &Family = ByCounter[Value.Which];
    Family.name = Row.Name;
    Family.help = Row.Help;
    Family.type = prometheus::MetricType::Counter;
    prometheus::ClientMetric Series;
    if (!Row.Label.empty())
      Series.label.push_back({Row.Label, Value.Label});
    Series.counter.value = Value.Value;
    Family.metric.push_back(Series);
  }
  for (auto &[Which, Family] : ByCounter)
    Families.push_back(std::move(Family));
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace internal
} // namespace tamarack
