/// The implementation of WireLoop, for LinkClient and LinkServer only.
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
  /// Keeps the state of a destroyed client or server until the loop has
  /// stopped, because pending operations refer to it.
  void retainUntilStopped(std::shared_ptr<void> End) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Retained.push_back(std::move(End));
  }

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::mutex Mutex;
  std::vector<std::shared_ptr<void>> Retained;
  std::thread Thread;
};

} // namespace tamarack

#endif // TAMARACK_WIRE_WIRELOOPIMPL_H
