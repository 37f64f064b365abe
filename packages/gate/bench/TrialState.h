/// What a trial keeps of each program, and the events it runs in order of
/// time.
#ifndef TAMARACK_GATE_BENCH_TRIALSTATE_H
#define TAMARACK_GATE_BENCH_TRIALSTATE_H

#include "Workload.h"

namespace tamarack {

enum class EventKind { Submit, Expire, EndDead, Tick };

struct Event {
  TimePoint At;
  std::size_t Order = 0;
  EventKind Kind = EventKind::Tick;
  std::size_t Program = 0;
  std::uint32_t Attempt = 0;

  bool operator<(const Event &Other) const {
    return std::tie(Other.At, Other.Order) < std::tie(At, Order);
  }
};

struct LiveProgram {
  const ProgramScript *Script = nullptr;
  std::size_t TurnNumber = 0;
  /// Tokens of all turns so far, answers included.
  TokenCount History = 0;
  TokenCount AttainedService = 0;
  TokenCount Output = 0;
  TokenCount CurrentPrefill = 0;
  std::uint32_t Attempt = 0;
  unsigned Tries = 0;
  bool InCall = false;
  bool Sent = false;
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
