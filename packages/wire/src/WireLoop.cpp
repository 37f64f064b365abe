#include "WireLoopImpl.h"

namespace tamarack {

WireLoop::WireLoop() : State(std::make_unique<Impl>()) {
  Impl &Loop = *State;
  Loop.Thread = std::thread([&Loop] { Loop.Context.run(); });
}

WireLoop::~WireLoop() { stop(); }

void WireLoop::stop() {
  if (!State->Thread.joinable())
    return;
  State->Work.reset();
  State->Context.stop();
  State->Thread.join();
}

} // namespace tamarack
