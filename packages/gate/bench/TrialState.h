/// The state of a simulated program, and the events of the simulation.
#ifndef TAMARACK_GATE_BENCH_TRIALSTATE_H
#define TAMARACK_GATE_BENCH_TRIALSTATE_H

#include "Workload.h"

namespace tamarack {

enum class EventKind { Submit, Expire, EndDeadProgram, Tick };

struct Event {
  TimePoint Time;
  /// Orders events of the same time.
  std::size_t Sequence = 0;
  EventKind Kind = EventKind::Tick;
  std::size_t Program = 0;
  std::uint32_t Attempt = 0;

  /// Inverted, so that std::priority_queue returns the earliest event first.
  bool operator<(const Event &Other) const {
    return std::tie(Other.Time, Other.Sequence) < std::tie(Time, Sequence);
  }
};

/// A program and its present call.
struct LiveProgram {
  const ProgramScript *Script = nullptr;
  std::size_t TurnNumber = 0;
  /// The tokens of all earlier turns, including their answers.
  TokenCount History = 0;
  TokenCount AttainedService = 0;
  TokenCount Output = 0;
  /// The uncached prompt tokens of the present call.
  TokenCount CurrentPrefill = 0;
  std::uint32_t Attempt = 0;
  /// The number of submissions of the present call.
  unsigned Tries = 0;
  bool InCall = false;
  bool Sent = false;
  /// The program makes no more calls, but its end has not been reported.
  bool Dead = false;
  bool Ended = false;
  TimePoint SubmittedAt;
  TimePoint CallStartedAt;
  Duration TimeInCalls{0};

  const ProgramKind &kind() const { return *Script->Kind; }
  const Turn &turn() const { return Script->Turns[TurnNumber]; }
  TokenCount prompt() const { return History + turn().NewTokens; }
};

} // namespace tamarack

#endif // TAMARACK_GATE_BENCH_TRIALSTATE_H
