/// A caller of the system.
#ifndef TAMARACK_REVIEW_CLIENT_HPP
#define TAMARACK_REVIEW_CLIENT_HPP

#include "World.hpp"

#include "tamarack/net/HttpCall.h"

namespace tamarack::review {

struct Call {
  std::string Entry;
  std::string Method = "POST";
  std::string Target;
  std::string RequestId;
  HttpFields Fields;
  std::string Body;
  Duration Timeout = std::chrono::seconds(4);
};

struct Reply {
  /// Zero if no answer came.
  int Status = 0;
  bool IsSigned = false;
  std::string Body;
  /// Whether the answer ended as complete.
  bool IsWhole = false;
};

/// The data of each event of a stream, each followed by a line feed.
std::string eventData(const std::string &Body);
/// The number of whole events of a stream.
unsigned eventCount(const std::string &Body);

/// Sends a request on a connection of \p Pool and reads its answer.
Task<Reply> sendOn(World &Deployment, ConnectionPool &Pool, Call Request);
/// Sends a request on a new connection.
Task<Reply> sendNew(World &Deployment, Call Request);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_CLIENT_HPP
