/// Counters and histograms of an entry, in the Prometheus text format.
///
/// relayMetricNames() lists all metrics; a test checks that docs/PLATFORM.md
/// documents each of them.
#ifndef TAMARACK_RELAY_RELAYMETRICS_H
#define TAMARACK_RELAY_RELAYMETRICS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/relay/Hedging.h"
#include "tamarack/relay/Resumption.h"

#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// Why a request was sent to another endpoint.
enum class RelayRetryReason {
  /// No connection could be opened.
  NoConnection,
  /// The endpoint had ended the connection before a byte was written.
  ConnectionEnded,
  /// The endpoint rejected the request because it is full.
  EndpointFull,
  /// Another instance answered at the endpoint's address.
  OtherInstance,
  /// The response was lost, incomplete or not signed by the endpoint.
  Broken
};

/// The label value of \p Reason.
const char *nameOf(RelayRetryReason Reason);

/// What came of a second attempt at another endpoint.
enum class SecondAttemptOutcome {
  /// The caller got its answer.
  Won,
  /// The caller got the answer of the first attempt.
  Lost,
  /// Neither attempt was answered.
  Failed
};

/// The label value of \p Outcome.
const char *nameOf(SecondAttemptOutcome Outcome);

class RelayMetrics {
public:
  RelayMetrics();
  ~RelayMetrics();
  RelayMetrics(const RelayMetrics &) = delete;
  RelayMetrics &operator=(const RelayMetrics &) = delete;

  void countAnswer(int Status, Duration Elapsed);
  void countRefusal(ErrorKind Kind);
  void countRetry(RelayRetryReason Reason);
  /// Counts a request that asks for no stream.
  void countSingleRequest();
  void countSecondAttempt(SecondAttemptOutcome Outcome);
  /// Counts a second attempt that was due and not sent.
  void countSecondAttemptRefusal(HedgingRefusal Reason);
  void observeFirstEvent(Duration Elapsed);
  void countBrokenStream();
  void countDisconnectedCaller();
  void countEndpointCrash();
  void countResumption(ResumptionOutcome Outcome);
  void observeLedgerLatency(Duration Elapsed);
  /// Records how late one probe of the event loop ran.
  void observeLoopDelay(Duration Late);
  /// Records the age that the local copy of the store reached before it was
  /// confirmed again.
  void observeStoreAge(Duration Age);
  /// Sets the tamarack_state gauge with the label \p Name.
  void setGauge(const std::string &Name, double Value);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

/// The names of all metrics of an entry.
std::vector<std::string> relayMetricNames();

} // namespace tamarack

#endif // TAMARACK_RELAY_RELAYMETRICS_H
