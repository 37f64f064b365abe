/// One thread that writes to the journal for the event loop.
///
/// What is handed over while a sync runs is written together at the next one
/// (group commit), so that a sync of 5 ms carries all that arrived meanwhile.
#ifndef TAMARACK_QUORUM_DISKTHREAD_H
#define TAMARACK_QUORUM_DISKTHREAD_H

#include "tamarack/net/Loop.h"
#include "tamarack/turns/Journal.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tamarack {

class DiskThread {
public:
  /// Told on the loop where the frame lies on disk, or why it does not.
  using Written = std::function<void(const Expected<FrameLocation> &)>;

  DiskThread(Loop &Io, Journal &Target);
  /// Writes what was handed over, then ends.
  ~DiskThread();
  DiskThread(const DiskThread &) = delete;
  DiskThread &operator=(const DiskThread &) = delete;

  void write(std::string Frame, Written Done);
  /// Starts a new segment before what is handed over next.
  void roll(Written Done);
  /// Removes all segments before the current one, and tells that one.
  void dropOld(Written Done);

private:
  enum class Step { Write, Roll, DropOld };
  struct Order {
    Step What;
    std::string Frame;
    Written Done;
  };

  void hand(Order Next);
  void run();
  void execute(std::vector<Order> Orders);

  Loop &Io;
  Journal &Target;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<Order> Waiting;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_DISKTHREAD_H
