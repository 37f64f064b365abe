#include "tamarack/quorum/DiskThread.h"

#include <boost/asio/post.hpp>

namespace tamarack {

DiskThread::DiskThread(Loop &Io, Journal &Target)
    : Io(Io), Target(Target), Thread([this] { run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_one();
  Thread.join();
}

void DiskThread::write(std::string Frame, Written Done) {
  hand({Step::Write, std::move(Frame), std::move(Done)});
}

void DiskThread::roll(Written Done) { hand({Step::Roll, {}, std::move(Done)}); }

void DiskThread::dropOld(Written Done) {
  hand({Step::DropOld, {}, std::move(Done)});
}

void DiskThread::hand(Order Next) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Waiting.push_back(std::move(Next));
  if (Waiting.size() == 1)
    Changed.notify_one();
}

void DiskThread::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (true) {
    Changed.wait(Lock, [this] { return Stopping || !Waiting.empty(); });
    if (Waiting.empty())
      return;
    std::vector<Order> Orders;
    Orders.swap(Waiting);
    Lock.unlock();
    execute(std::move(Orders));
    Lock.lock();
  }
}

void DiskThread::execute(std::vector<Order> Orders) {
  std::vector<std::string> Frames;
  std::vector<Expected<FrameLocation>> Results;
  Results.reserve(Orders.size());
  const auto Flush = [&] {
    if (Frames.empty())
      return;
    const auto Places = Target.write(Frames);
    for (std::size_t At = 0; At < Frames.size(); ++At)
      Results.push_back(Places ? Expected<FrameLocation>((*Places)[At])
                               : tl::unexpected(Places.error()));
    Frames.clear();
  };
  for (Order &Next : Orders) {
    if (Next.What == Step::Write) {
      Frames.push_back(std::move(Next.Frame));
      continue;
    }
    Flush();
    const Expected<void> Done =
        Next.What == Step::Roll
            ? Target.roll()
            : Target.removeSegmentsBefore(Target.currentSegment());
    if (Done)
      Results.push_back(FrameLocation{Target.currentSegment(), 0, 0});
    else
      Results.push_back(tl::unexpected(Done.error()));
  }
  Flush();
  asio::post(Io, [Orders = std::move(Orders), Results = std::move(Results)] {
    for (std::size_t At = 0; At < Orders.size(); ++At)
      if (Orders[At].Done)
        Orders[At].Done(Results[At]);
  });
}

} // namespace tamarack
