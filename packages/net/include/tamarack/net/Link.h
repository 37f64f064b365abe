/// Remote procedure calls between two processes over one TCP connection.
///
///   LinkServer Server(Io, Handler);
///   Server.listen("10.0.0.1:7380");
///   auto Link = LinkClient::make(Io, "10.0.0.1:7380", Options);
///   Link->call("ping", encodeBody(nullptr), Deadline, Done);
///
/// A frame consists of its length, the exchange number, a name or status, and a
/// CBOR body. Handlers must be idempotent: when a connection is lost or silent,
/// the client opens a new one and resends all unanswered calls until the
/// deadline of each.
#ifndef TAMARACK_NET_LINK_H
#define TAMARACK_NET_LINK_H

#include "tamarack/net/Loop.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// An encoded body, shared so that several links can send it.
using LinkBody = std::shared_ptr<const std::string>;
LinkBody encodeBody(const Json &Body);

struct LinkOptions {
  /// Connecting to another region takes 40 ms.
  Duration TcpConnectTimeout = std::chrono::milliseconds(400);
  /// A connection that receives no byte for this long while calls are pending
  /// is replaced. The value exceeds the sum of the latency between regions, a
  /// disk sync of 5 ms and the backlog of a busy peer.
  Duration SilenceTimeout = std::chrono::milliseconds(700);
  /// Delay between two connection attempts.
  Duration ReconnectDelay = std::chrono::milliseconds(100);
  /// Calls wait unsent while more than this many bytes of frames are queued.
  std::size_t MaxQueuedBytes = 8U << 20U;
  /// Called when a connection is opened (\p Up is true) or lost.
  std::function<void(const std::string &Peer, bool Up)> OnConnectionChange;
};

class LinkClient : public std::enable_shared_from_this<LinkClient> {
public:
  using Callback = std::function<void(Expected<Json>)>;

  /// Creates a client for the peer at \p Address, "IP:PORT". The first call
  /// opens the connection.
  static std::shared_ptr<LinkClient> make(Loop &Io, std::string Address,
                                          LinkOptions Options);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  /// Calls \p Done once, with the reply, the peer's error, Timeout after
  /// \p Deadline, or LinkLost after close().
  void call(const std::string &Name, LinkBody Body, TimePoint Deadline,
            Callback Done);
  /// Fails all pending calls with LinkLost and opens no further connection.
  void close();
  const std::string &address() const;
  /// Whether a connection is open. The peer may be unresponsive nevertheless.
  bool isConnected() const;

private:
  struct Impl;
  LinkClient(Loop &Io, std::string Address, LinkOptions Options);
  std::shared_ptr<Impl> Inner;
};

/// Performs LinkClient::call() and waits for its result.
Task<Expected<Json>> callLink(Loop &Io, std::shared_ptr<LinkClient> Link,
                              std::string Name, LinkBody Body,
                              TimePoint Deadline);

/// What was left when a LinkServer ended its links.
struct LinkEnd {
  /// The connections at the beginning, and those that their peers had not
  /// closed by the deadline.
  std::size_t Connections = 0;
  std::size_t CutConnections = 0;
  /// Handled calls that were not answered by the deadline.
  std::size_t UnansweredCalls = 0;
  /// Calls that were read and not handled.
  std::size_t DiscardedCalls = 0;
  friend bool operator==(const LinkEnd &, const LinkEnd &) = default;
};

/// Answers the calls of any number of LinkClients.
class LinkServer {
public:
  using Reply = std::function<void(Expected<Json>)>;
  /// Handles the call \p Name and calls \p Answer once, then or later.
  using Handler =
      std::function<void(const std::string &Name, Json Body, Reply Answer)>;

  LinkServer(Loop &Io, Handler Handle);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  /// Accepts connections on \p Address, "IP:PORT". Fails with
  /// InvalidConfiguration.
  Expected<void> listen(const std::string &Address);
  /// Ends all connections such that no reply is lost: handles no further call,
  /// answers those that it has handled, ends its own direction, and reads on
  /// until the peer closes, at most until \p Deadline. Clients send what is
  /// unanswered then again, here or elsewhere.
  Task<LinkEnd> endLinks(TimePoint Deadline);
  /// Closes the listener and all connections at once.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_NET_LINK_H
