#include "tamarack/relay/GracefulStop.h"

#include "tamarack/net/Log.h"
#include "tamarack/relay/StopPlan.h"

#include <utility>

namespace tamarack {
namespace {

/// Idle timeout while draining; it may be short, since a caller sends its first
/// request as soon as the connection is open.
constexpr Duration DrainIdleTimeout = std::chrono::milliseconds(700);
constexpr Duration CheckInterval = std::chrono::milliseconds(50);

} // namespace

struct GracefulStop::Impl {
  Impl(Loop &Io, HttpServer &CallerServer, Relay &RequestRelay,
       const QuorumClient &Ledgers, Duration Grace)
      : Io(Io), CallerServer(CallerServer), RequestRelay(RequestRelay),
        Ledgers(Ledgers), Grace(Grace) {}

  void begin();
  Task<void> run(std::function<void()> OnEnded);
  StopObservation observe() const;
  /// Logs the stage and what the process still has to do.
  void logStage(std::string_view Event, const StopObservation &Left) const;

  Loop &Io;
  HttpServer &CallerServer;
  Relay &RequestRelay;
  const QuorumClient &Ledgers;
  const Duration Grace;
  bool HasBegun = false;
  TimePoint BegunAt;
  StopPlan Plan;
  StopStage Stage = StopStage::Announced;
};

StopObservation GracefulStop::Impl::observe() const {
  return {CallerServer.load(), Ledgers.pendingRecords()};
}

void GracefulStop::Impl::logStage(std::string_view Event,
                                  const StopObservation &Left) const {
  const HttpServerCounts Counts = CallerServer.counts();
  LogLine(Event)
      .with("stage", nameOf(Stage))
      .with("took_ms", steadyNow() - BegunAt)
      .with("running", Left.Callers.Running)
      .with("arriving", Left.Callers.Arriving)
      .with("unaccepted", Left.Callers.Unaccepted)
      .with("idle", Left.Callers.Idle)
      .with("connections", CallerServer.connections())
      .with("unsettled", Left.UnsettledRecords)
      .with("closed_unread", Counts.ClosedUnread)
      .with("cut_while_reading", Counts.CutWhileReading)
      .with("discarded", Counts.Discarded)
      .with("cut_running", Counts.CutAtDeadline.Running)
      .with("cut_arriving", Counts.CutAtDeadline.Arriving)
      .with("cut_unaccepted", Counts.CutAtDeadline.Unaccepted);
}

void GracefulStop::Impl::begin() {
  BegunAt = steadyNow();
  Plan = planStop(BegunAt, Grace);
  logStage("process.stopping", observe());
  CallerServer.drain(DrainIdleTimeout);
  RequestRelay.stop(Plan);
}

Task<void> GracefulStop::Impl::run(std::function<void()> OnEnded) {
  while (Stage != StopStage::Ended) {
    const StopObservation Left = observe();
    const TimePoint Now = steadyNow();
    const StopStage Next = nextStage(Plan, Stage, Left, Now);
    if (Next == Stage) {
      co_await pause(Io, CheckInterval);
      continue;
    }
    Stage = Next;
    logStage(Stage == StopStage::Ended ? "process.stopped"
                                       : "process.stop_stage",
             Left);
    if (Stage == StopStage::Closing) {
      Plan = withClosingTime(Plan, Now);
      co_await CallerServer.closeAfterAnswers(Plan.ExitBy);
    }
  }
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
  Inner->begin();
  // The coroutine starts later, so it must own the implementation.
  spawn(Inner->Io,
        [](std::shared_ptr<Impl> Self,
           std::function<void()> OnEnded) -> Task<void> {
          co_await Self->run(std::move(OnEnded));
        }(Inner, std::move(OnEnded)));
}

bool GracefulStop::hasBegun() const { return Inner->HasBegun; }

} // namespace tamarack
