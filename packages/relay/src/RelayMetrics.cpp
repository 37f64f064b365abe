#include "tamarack/relay/RelayMetrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace tamarack {
namespace {

/// In seconds. Fine-grained around the latency targets of 0.15 to 0.3 s, up to
/// the timeouts of 1 to 4 s.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 4};

/// In seconds; the time within which a change must take effect is some seconds.
const prometheus::Histogram::BucketBoundaries AgeBounds = {0.5, 1, 1.5, 2, 2.5,
                                                           3,   4, 5,   7, 10};

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

const char *nameOf(RelayRetryReason Reason) {
  switch (Reason) {
  case RelayRetryReason::NoConnection:
    return "no_connection";
  case RelayRetryReason::ConnectionEnded:
    return "connection_ended";
  case RelayRetryReason::EndpointFull:
    return "endpoint_full";
  case RelayRetryReason::OtherInstance:
    return "other_instance";
  case RelayRetryReason::Broken:
    return "broken";
  }
  return "unknown";
}

const char *nameOf(SecondAttemptOutcome Outcome) {
  switch (Outcome) {
  case SecondAttemptOutcome::Won:
    return "won";
  case SecondAttemptOutcome::Lost:
    return "lost";
  case SecondAttemptOutcome::Failed:
    return "failed";
  }
  return "unknown";
}

std::vector<std::string> relayMetricNames() {
  return {"tamarack_answers_total",
          "tamarack_refusals_total",
          "tamarack_retries_total",
          "tamarack_answer_seconds",
          "tamarack_first_event_seconds",
          "tamarack_ledger_seconds",
          "tamarack_store_age_seconds",
          "tamarack_streams_broken_total",
          "tamarack_callers_left_total",
          "tamarack_endpoint_crashes_total",
          "tamarack_resumptions_total",
          "tamarack_single_requests_total",
          "tamarack_second_attempts_total",
          "tamarack_second_attempts_refused_total",
          "tamarack_loop_delay_seconds",
          "tamarack_state"};
}

struct RelayMetrics::Impl {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Answers =
      prometheus::BuildCounter()
          .Name("tamarack_answers_total")
          .Help("Answers to callers by status")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Refusals =
      prometheus::BuildCounter()
          .Name("tamarack_refusals_total")
          .Help("Answers of our own by error kind")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Retries =
      prometheus::BuildCounter()
          .Name("tamarack_retries_total")
          .Help("Requests sent to another endpoint, by reason")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Resumptions =
      prometheus::BuildCounter()
          .Name("tamarack_resumptions_total")
          .Help("Requests that resume a stream, by what was decided")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &SecondAttempts =
      prometheus::BuildCounter()
          .Name("tamarack_second_attempts_total")
          .Help("Second attempts beside a slow one, by what came of them")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &RefusedSecondAttempts =
      prometheus::BuildCounter()
          .Name("tamarack_second_attempts_refused_total")
          .Help("Second attempts that were due and not sent, by reason")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gauges =
      prometheus::BuildGauge()
          .Name("tamarack_state")
          .Help("What the process holds and knows, by name")
          .Register(Registry);
  prometheus::Histogram &AnswerSeconds =
      histogram("tamarack_answer_seconds",
                "From the request's last byte to the end of its answer");
  prometheus::Histogram &FirstEventSeconds =
      histogram("tamarack_first_event_seconds",
                "From the request's last byte to the first event");
  prometheus::Histogram &LedgerSeconds =
      histogram("tamarack_ledger_seconds",
                "From a record's sending until the quorum kept it");
  prometheus::Histogram &LoopDelaySeconds = histogram(
      "tamarack_loop_delay_seconds", "How late the event loop ran a probe");
  prometheus::Histogram &StoreAgeSeconds = histogram(
      "tamarack_store_age_seconds",
      "Age of the local copy of the store when it was confirmed", AgeBounds);
  prometheus::Counter &BrokenStreams =
      counter("tamarack_streams_broken_total",
              "Streams that ended before their last event");
  prometheus::Counter &SingleRequests = counter(
      "tamarack_single_requests_total", "Requests that ask for no stream");
  prometheus::Counter &DisconnectedCallers = counter(
      "tamarack_callers_left_total", "Callers that left before their answer");
  prometheus::Counter &EndpointCrashes =
      counter("tamarack_endpoint_crashes_total",
              "Requests that were in flight at an endpoint when it crashed");
  std::map<int, prometheus::Counter *> AnswersByStatus;

  prometheus::Histogram &histogram(
      const char *Name, const char *Help,
      const prometheus::Histogram::BucketBoundaries &Bounds = LatencyBounds) {
    return prometheus::BuildHistogram()
        .Name(Name)
        .Help(Help)
        .Register(Registry)
        .Add({}, Bounds);
  }
  prometheus::Counter &counter(const char *Name, const char *Help) {
    return prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Register(Registry)
        .Add({});
  }
};

RelayMetrics::RelayMetrics() : Inner(std::make_unique<Impl>()) {}
RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::countAnswer(int Status, Duration Elapsed) {
  prometheus::Counter *&Counter = Inner->AnswersByStatus[Status];
  if (Counter == nullptr)
    Counter = &Inner->Answers.Add({{"status", std::to_string(Status)}});
  Counter->Increment();
  Inner->AnswerSeconds.Observe(seconds(Elapsed));
}

void RelayMetrics::countRefusal(ErrorKind Kind) {
  Inner->Refusals.Add({{"kind", answerOf(Kind).Name}}).Increment();
}

void RelayMetrics::countRetry(RelayRetryReason Reason) {
  Inner->Retries.Add({{"reason", nameOf(Reason)}}).Increment();
}

void RelayMetrics::countSingleRequest() { Inner->SingleRequests.Increment(); }

void RelayMetrics::countSecondAttempt(SecondAttemptOutcome Outcome) {
  Inner->SecondAttempts.Add({{"outcome", nameOf(Outcome)}}).Increment();
}

void RelayMetrics::countSecondAttemptRefusal(HedgingRefusal Reason) {
  Inner->RefusedSecondAttempts.Add({{"reason", nameOf(Reason)}}).Increment();
}

void RelayMetrics::observeFirstEvent(Duration Elapsed) {
  Inner->FirstEventSeconds.Observe(seconds(Elapsed));
}

void RelayMetrics::countBrokenStream() { Inner->BrokenStreams.Increment(); }
void RelayMetrics::countDisconnectedCaller() {
  Inner->DisconnectedCallers.Increment();
}

void RelayMetrics::countEndpointCrash() { Inner->EndpointCrashes.Increment(); }

void RelayMetrics::countResumption(ResumptionOutcome Outcome) {
  Inner->Resumptions.Add({{"outcome", nameOf(Outcome)}}).Increment();
}

void RelayMetrics::observeLedgerLatency(Duration Elapsed) {
  Inner->LedgerSeconds.Observe(seconds(Elapsed));
}

void RelayMetrics::observeLoopDelay(Duration Late) {
  Inner->LoopDelaySeconds.Observe(seconds(Late));
}

void RelayMetrics::observeStoreAge(Duration Age) {
  Inner->StoreAgeSeconds.Observe(seconds(Age));
}

void RelayMetrics::setGauge(const std::string &Name, double Value) {
  Inner->Gauges.Add({{"name", Name}}).Set(Value);
}

std::string RelayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Inner->Registry.Collect());
}

} // namespace tamarack
