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
  WorkAvailable.notify_one();
  Thread.join();
}

void DiskThread::write(std::string Frame, WriteCallback Done) {
  *QueuedBytes += Frame.size();
  enqueue({Operation::Write, std::move(Frame), std::move(Done)});
}

void DiskThread::roll(WriteCallback Done) {
  enqueue({Operation::Roll, {}, std::move(Done)});
}

void DiskThread::removeOldSegments(WriteCallback Done) {
  enqueue({Operation::RemoveOldSegments, {}, std::move(Done)});
}

void DiskThread::enqueue(Request Next) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Queue.push_back(std::move(Next));
  if (Queue.size() == 1)
    WorkAvailable.notify_one();
}

void DiskThread::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (true) {
    WorkAvailable.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    std::vector<Request> Requests;
    Requests.swap(Queue);
    Lock.unlock();
    execute(std::move(Requests));
    Lock.lock();
  }
}

void DiskThread::execute(std::vector<Request> Requests) {
  std::vector<std::string> Frames;
  std::size_t Bytes = 0;
  std::vector<Expected<FrameLocation>> Results;
  Results.reserve(Requests.size());
  const auto Flush = [&] {
    if (Frames.empty())
      return;
    const auto Locations = Target.write(Frames);
    for (std::size_t Index = 0; Index < Frames.size(); ++Index)
      Results.push_back(Locations ? Expected<FrameLocation>((*Locations)[Index])
                                  : tl::unexpected(Locations.error()));
    Frames.clear();
  };
  for (Request &Next : Requests) {
    if (Next.Kind == Operation::Write) {
      Bytes += Next.Frame.size();
      Frames.push_back(std::move(Next.Frame));
      continue;
    }
    Flush();
    const Expected<void> Done =
        Next.Kind == Operation::Roll
            ? Target.roll()
            : Target.removeSegmentsBefore(Target.currentSegment());
    if (Done)
      Results.push_back(FrameLocation{Target.currentSegment(), 0, 0});
    else
      Results.push_back(tl::unexpected(Done.error()));
  }
  Flush();
  asio::post(Io, [Requests = std::move(Requests), Results = std::move(Results),
                  Bytes, Queued = QueuedBytes] {
    *Queued -= Bytes;
    for (std::size_t Index = 0; Index < Requests.size(); ++Index)
      if (Requests[Index].Done)
        Requests[Index].Done(Results[Index]);
  });
}

} // namespace tamarack
