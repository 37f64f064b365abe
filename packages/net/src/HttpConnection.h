/// A persistent connection to an HTTP server.
#ifndef TAMARACK_NET_HTTPCONNECTION_H
#define TAMARACK_NET_HTTPCONNECTION_H

#include "ReadBuffer.h"

#include "tamarack/net/Loop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <set>
#include <string>

namespace tamarack::internal {

struct HttpConnection {
  HttpConnection(std::string Address, Tcp::socket Socket)
      : Address(std::move(Address)), Socket(std::move(Socket)) {}

  std::string Address;
  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer{InitialReadBufferLimit};
  /// Number of requests completed on this connection.
  std::uint64_t CompletedExchanges = 0;
  /// When an idle connection must no longer be used, because the server may
  /// close it.
  TimePoint IdleDeadline = TimePoint::max();
  /// The ids of requests that were refused on this connection.
  std::set<std::string> RefusedIds;
};

} // namespace tamarack::internal

#endif // TAMARACK_NET_HTTPCONNECTION_H
