/// A thread that writes to the journal on behalf of the event loop.
///
/// Frames that are queued while a sync is running are written and synced
/// together afterwards (group commit). Throughput is thus not limited to one
/// frame per sync, which takes about 5 ms.
#ifndef TAMARACK_QUORUM_DISKTHREAD_H
#define TAMARACK_QUORUM_DISKTHREAD_H

#include "tamarack/net/Loop.h"
#include "tamarack/turns/Journal.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tamarack {

class DiskThread {
public:
  /// Called on the loop with the location of the frame on disk, or with the
  /// error.
  using WriteCallback = std::function<void(const Expected<FrameLocation> &)>;

  DiskThread(Loop &Io, Journal &Target);
  /// Executes all queued requests, then joins the thread.
  ~DiskThread();
  DiskThread(const DiskThread &) = delete;
  DiskThread &operator=(const DiskThread &) = delete;

  /// Appends \p Frame to the journal and syncs it.
  void write(std::string Frame, WriteCallback Done);
  /// Starts a new segment for all frames that are queued later.
  void roll(WriteCallback Done);
  /// Removes all segments before the current one. \p Done gets a location with
  /// the number of the current segment.
  void removeOldSegments(WriteCallback Done);
  /// The bytes of all frames whose callbacks have not run yet. Called on the
  /// loop, as write() is.
  std::size_t queuedBytes() const { return *QueuedBytes; }

private:
  enum class Operation { Write, Roll, RemoveOldSegments };
  struct Request {
    Operation Kind;
    std::string Frame;
    WriteCallback Done;
  };

  void enqueue(Request Next);
  void run();
  void execute(std::vector<Request> Requests);

  Loop &Io;
  Journal &Target;
  std::mutex Mutex;
  std::condition_variable WorkAvailable;
  std::vector<Request> Queue;
  /// Used on the loop only, also by callbacks that run after this object.
  const std::shared_ptr<std::size_t> QueuedBytes =
      std::make_shared<std::size_t>(0);
  bool Stopping = false;
  std::thread Thread;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_DISKTHREAD_H
