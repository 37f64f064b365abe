#include "tamarack/relay/GracefulStop.h"

#include "tamarack/net/Log.h"

#include <utility>

namespace tamarack {
namespace {

/// The platform sends new connections until two readiness checks, one second
/// apart, have failed.
constexpr Duration ReadinessNoticeTime = std::chrono::milliseconds(2600);
/// Idle timeout while draining; it may be short, since a caller sends its first
/// request as soon as the connection is open.
constexpr Duration DrainIdleTimeout = std::chrono::milliseconds(700);
/// The part of the grace that is left for the exit itself.
constexpr Duration ExitMargin = std::chrono::milliseconds(500);
constexpr Duration CheckInterval = std::chrono::milliseconds(50);

} // namespace

struct GracefulStop::Impl {
  Impl(Loop &Io, HttpServer &CallerServer, Relay &RequestRelay,
       const QuorumClient &Ledgers, Duration Grace)
      : Io(Io), CallerServer(CallerServer), RequestRelay(RequestRelay),
        Ledgers(Ledgers), Grace(Grace) {}

  Task<void> run(std::function<void()> OnEnded);
  /// Logs the stage and what the process still has to do.
  void logStage(std::string_view Event, std::string_view Stage,
                Duration Elapsed) const;

  Loop &Io;
  HttpServer &CallerServer;
  Relay &RequestRelay;
  const QuorumClient &Ledgers;
  const Duration Grace;
  bool HasBegun = false;
};

void GracefulStop::Impl::logStage(std::string_view Event,
                                  std::string_view Stage,
                                  Duration Elapsed) const {
  const HttpServerLoad Load = CallerServer.load();
  const HttpServerCounts Counts = CallerServer.counts();
  LogLine(Event)
      .with("stage", Stage)
      .with("took_ms", Elapsed)
      .with("running", Load.Running)
      .with("arriving", Load.Arriving)
      .with("unaccepted", Load.Unaccepted)
      .with("idle", Load.Idle)
      .with("connections", CallerServer.connections())
      .with("unsettled", Ledgers.pendingRecords())
      .with("closed_unread", Counts.ClosedUnread)
      .with("cut_while_reading", Counts.CutWhileReading)
      .with("cut_running", Counts.CutAtDeadline.Running)
      .with("cut_arriving", Counts.CutAtDeadline.Arriving)
      .with("cut_unaccepted", Counts.CutAtDeadline.Unaccepted);
}

Task<void> GracefulStop::Impl::run(std::function<void()> OnEnded) {
  const TimePoint Started = steadyNow();
  logStage("process.stopping", "announced", Duration(0));
  CallerServer.drain(DrainIdleTimeout);
  const TimePoint Deadline = Started + Grace - ExitMargin;
  bool Refuses = false;
  while (steadyNow() < Deadline) {
    const Duration Elapsed = steadyNow() - Started;
    // When most entries of a data centre are down, the platform keeps sending
    // requests to this one, which could not complete before the deadline.
    if (Elapsed >= ReadinessNoticeTime && !std::exchange(Refuses, true)) {
      RequestRelay.rejectNewRequests();
      logStage("process.stop_stage", "refusing", Elapsed);
    }
    const bool Idle =
        CallerServer.running() == 0 && Ledgers.pendingRecords() == 0;
    if (Idle && Refuses)
      break;
    co_await pause(Io, CheckInterval);
  }
  logStage("process.stopped", "ended", steadyNow() - Started);
  OnEnded();
}

GracefulStop::GracefulStop(Loop &Io, HttpServer &CallerServer,
                           Relay &RequestRelay, const QuorumClient &Ledgers,
                           Duration Grace)
    : Inner(std::make_shared<Impl>(Io, CallerServer, RequestRelay, Ledgers,
                                   Grace)) {}

GracefulStop::~GracefulStop() = default;

void GracefulStop::begin(std::function<void()> OnEnded) {
  if (std::exchange(Inner->HasBegun, true))
    return;
  // The coroutine starts later, so it must own the implementation.
  spawn(Inner->Io,
        [](std::shared_ptr<Impl> Self,
           std::function<void()> OnEnded) -> Task<void> {
          co_await Self->run(std::move(OnEnded));
        }(Inner, std::move(OnEnded)));
}

bool GracefulStop::hasBegun() const { return Inner->HasBegun; }

} // namespace tamarack
