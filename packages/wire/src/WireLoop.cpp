#include "WireLoopImpl.h"

namespace tamarack {

WireLoop::WireLoop() : State(std::make_unique<Impl>()) {
  Impl &Loop = *State;
  Loop.Runner = std::thread([&Loop] { Loop.Context.run(); });
}

WireLoop::~WireLoop() { stop(); }

void WireLoop::stop() {
  if (!State->Runner.joinable())
    return;
  State->Work.reset();
  State->Context.stop();
  State->Runner.join();
}

} // namespace tamarack
