/// The asio context behind WireLoop, for the link units only.
#ifndef TAMARACK_WIRE_WIRELOOPIMPL_H
#define TAMARACK_WIRE_WIRELOOPIMPL_H

#include "tamarack/wire/Link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarack {

struct WireLoop::Impl {
  /// Keeps an end that its owner has let go until the loop has stopped, since
  /// operations that are still under way refer to it.
  void retire(std::shared_ptr<void> End) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Retired.push_back(std::move(End));
  }

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::mutex Mutex;
  std::vector<std::shared_ptr<void>> Retired;
  std::thread Runner;
};

} // namespace tamarack

#endif // TAMARACK_WIRE_WIRELOOPIMPL_H
