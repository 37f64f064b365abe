/// Calls between two of our own processes over one TCP connection.
///
///   LinkServer Server(Io, Handler);
///   Server.listen("10.0.0.1:7380");
///   auto Link = LinkClient::make(Io, "10.0.0.1:7380", Options);
///   Link->call("ping", encodeBody(nullptr), Deadline, Done);
///
/// A frame is its length, the number of its exchange, a name or status, and a
/// body in CBOR. Calls are idempotent by contract: after a lost or silent
/// connection the client opens another and sends what is unanswered again,
/// until each call's deadline.
#ifndef TAMARACK_NET_LINK_H
#define TAMARACK_NET_LINK_H

#include "tamarack/net/Loop.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// A body that can be sent on several links without being encoded again.
using LinkBody = std::shared_ptr<const std::string>;
LinkBody encodeBody(const Json &Body);

struct LinkOptions {
  /// A peer in another region answers a connection within 40 ms.
  Duration ConnectLimit = std::chrono::milliseconds(400);
  /// No byte for that long while calls wait: the connection is replaced. Above
  /// the way between regions, a sync of 5 ms and a busy peer's backlog.
  Duration SilenceLimit = std::chrono::milliseconds(700);
  /// Between two tries to connect.
  Duration RetryPause = std::chrono::milliseconds(100);
  /// Frames that wait to be written; more are refused.
  std::size_t QueueBytes = 8U << 20U;
  /// Told of each lost and regained connection.
  std::function<void(const std::string &Peer, bool Up)> Changed;
};

class LinkClient : public std::enable_shared_from_this<LinkClient> {
public:
  using Answered = std::function<void(Expected<Json>)>;

  static std::shared_ptr<LinkClient> make(Loop &Io, std::string Address,
                                          LinkOptions Options);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  /// \p Done is called once: with the answer, the peer's error, or Timeout.
  void call(const std::string &Name, LinkBody Body, TimePoint Deadline,
            Answered Done);
  /// Fails all calls and opens no further connection.
  void close();
  const std::string &address() const;
  /// Whether a connection is open; the peer may still be silent.
  bool isConnected() const;

private:
  struct Impl;
  LinkClient(Loop &Io, std::string Address, LinkOptions Options);
  std::shared_ptr<Impl> Inner;
};

/// One call, awaited.
Task<Expected<Json>> callLink(Loop &Io, std::shared_ptr<LinkClient> Link,
                              std::string Name, LinkBody Body,
                              TimePoint Deadline);

class LinkServer {
public:
  using Reply = std::function<void(Expected<Json>)>;
  using Handler =
      std::function<void(const std::string &Name, Json Body, Reply Answer)>;

  LinkServer(Loop &Io, Handler Handle);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  Expected<void> listen(const std::string &Address);
  /// Closes the listener and all connections.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_NET_LINK_H
