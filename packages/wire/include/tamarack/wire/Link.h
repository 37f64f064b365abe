/// Links between processes: requests, streamed answers and heartbeats.
///
/// A message is a struct with a static `Name`, a `Reply` type, a `Part` type
/// if its answer is streamed, and conversions to and from Json:
///
///   struct SealRequest {
///     static constexpr const char *Name = "seal";
///     using Reply = SealReply;
///     ...
///   };
///   LinkClient Link(Loop, {"127.0.0.1", 7101}, Settings, Hooks, Clock);
///   Expected<SealReply> Sealed = Link.call(SealRequest{...}, Limits);
///
/// A call that fails before its request was written is reported as proved not
/// run, a call that fails later is not. Both ends send heartbeats. An end that
/// receives nothing for SilenceTimeout closes the connection, which fails all
/// its exchanges with LinkLost. The next call opens a new connection.
#ifndef TAMARACK_WIRE_LINK_H
#define TAMARACK_WIRE_LINK_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"
#include "tamarack/wire/Frame.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// The I/O thread of all links of one process.
class WireLoop {
public:
  WireLoop();
  ~WireLoop();
  WireLoop(const WireLoop &) = delete;
  WireLoop &operator=(const WireLoop &) = delete;

  /// Joins the thread. No hook is called afterwards, so the objects that the
  /// hooks use may then be destroyed.
  void stop();

  struct Impl;
  Impl &impl() const { return *State; }

private:
  std::unique_ptr<Impl> State;
};

/// Where a server listens: an IP address and a port.
struct LinkAddress {
  std::string Host;
  std::uint16_t Port = 0;

  auto tied() const { return std::tie(Host, Port); }
};

struct LinkSettings {
  /// The shared key that the client must present to the server.
  std::string Key;
  Duration HeartbeatInterval = std::chrono::seconds(1);
  /// The connection is closed if nothing is received for this long.
  Duration SilenceTimeout = std::chrono::seconds(3);
  /// Covers the TCP connection and the WebSocket handshake.
  Duration HandshakeTimeout = std::chrono::seconds(2);
  /// Maximum number of requests that a server handles concurrently.
  std::size_t MaxConcurrent = 512;
};

/// Callbacks for the state exchanged in heartbeats. They run on the thread of
/// the WireLoop and must not block.
struct LinkHooks {
  /// Returns the state to send. The argument is true for the first heartbeat on
  /// a connection.
  std::function<Json(bool)> OwnState;
  /// Receives the state that the peer sent.
  std::function<void(const Json &)> PeerState;
};

struct CallLimits {
  /// Maximum time without receiving any part of the answer.
  Duration ProgressTimeout = std::chrono::seconds(10);
  /// Maximum time until the whole answer has been received.
  Duration TotalTimeout = std::chrono::seconds(10);
};

/// Counters of one end of a link.
struct LinkCounts {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t Heartbeats = 0;
  /// Connections closed because the peer was silent.
  std::uint64_t Abandoned = 0;
  /// Connections refused because of a wrong key.
  std::uint64_t RefusedKeys = 0;
  /// Frames received for an exchange that had ended.
  std::uint64_t UnmatchedFrames = 0;
};

/// The connecting end of a link.
class LinkClient {
public:
  LinkClient(WireLoop &Loop, LinkAddress Peer, LinkSettings Settings,
             LinkHooks Hooks, const Clock &Time);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  /// Sends \p Order and waits for its whole answer. Fails with LinkLost,
  /// Timeout, Internal for an undecodable reply, or the server's error.
  template <typename Message>
  Expected<typename Message::Reply> call(const Message &Order,
                                         const CallLimits &Limits) {
    return decodeReply<typename Message::Reply>(
        exchange(Message::Name, Json(Order), Limits, nullptr));
  }

  /// Like call(), and passes each part of the answer to \p OnPart on the
  /// calling thread. If \p OnPart returns false, the exchange is cancelled and
  /// the call fails with Timeout.
  template <typename Message>
  Expected<typename Message::Reply>
  stream(const Message &Order, const CallLimits &Limits,
         const std::function<bool(const typename Message::Part &)> &OnPart) {
    return decodeReply<typename Message::Reply>(exchange(
        Message::Name, Json(Order), Limits, [&OnPart](const Json &Body) {
          return OnPart(Body.get<typename Message::Part>());
        }));
  }

  /// Starts to open the connection if there is none, without waiting for it.
  void open();
  bool isOpen() const;
  LinkCounts counts() const;

private:
  using PartHandler = std::function<bool(const Json &)>;
  Expected<Json> exchange(const std::string &Name, Json Body,
                          const CallLimits &Limits, const PartHandler &OnPart);

  template <typename Reply>
  static Expected<Reply> decodeReply(const Expected<Json> &Body) {
    if (!Body)
      return tl::make_unexpected(Body.error());
    try {
      return Body->get<Reply>();
    } catch (const Json::exception &) {
      return refuse(ErrorKind::Internal,
                    "reply of the peer has an unexpected format");
    }
  }

  struct Impl;
  std::shared_ptr<Impl> State;
};

/// Sends the answer of one exchange. Safe to use from any thread.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends one part of a streamed answer.
  virtual void part(const Json &Body) = 0;
  /// Ends the exchange with the reply \p Body.
  virtual void done(const Json &Body) = 0;
  /// Ends the exchange with an error.
  virtual void fail(const Error &Failure) = 0;
  /// Whether the requester has cancelled the exchange or the connection is
  /// lost.
  virtual bool isAbandoned() const = 0;
};

/// The listening end of links to any number of clients.
class LinkServer {
public:
  /// Handles one request on a thread of the server's pool.
  using Handler = std::function<void(Responder &Answer, const Json &Body)>;

  LinkServer(WireLoop &Loop, LinkSettings Settings, LinkHooks Hooks,
             const Clock &Time);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  /// Registers the handler of \p Message, which returns the whole answer.
  /// All handlers must be registered before listen() is called.
  template <typename Message>
  void handle(std::function<Expected<typename Message::Reply>(const Message &)>
                  Answer) {
    registerHandler(Message::Name, [Answer](Responder &Out, const Json &Body) {
      finish(Out, Answer(Body.get<Message>()));
    });
  }

  /// Registers the handler of a message with a streamed answer. The function
  /// passed to the handler sends one part, and returns false once the exchange
  /// is abandoned.
  template <typename Message>
  void
  handleStream(std::function<Expected<typename Message::Reply>(
                   const Message &,
                   const std::function<bool(const typename Message::Part &)> &)>
                   Answer) {
    registerHandler(Message::Name, [Answer](Responder &Out, const Json &Body) {
      const auto SendPart = [&Out](const typename Message::Part &Part) {
        Out.part(Json(Part));
        return !Out.isAbandoned();
      };
      finish(Out, Answer(Body.get<Message>(), SendPart));
    });
  }

  /// Starts to listen and returns the port; port 0 selects any free one. Fails
  /// with InvalidConfiguration for a malformed IP address, else with Internal.
  Expected<std::uint16_t> listen(const LinkAddress &Listen);
  /// Waits until all running requests are answered, then closes the
  /// connections.
  void stop();
  LinkCounts counts() const;

private:
  void registerHandler(const std::string &Name, Handler Work);

  template <typename Reply>
  static void finish(Responder &Out, const Expected<Reply> &Answer) {
    if (Answer)
      Out.done(Json(*Answer));
    else
      Out.fail(Answer.error());
  }

  struct Impl;
  std::shared_ptr<Impl> State;
};

/// The empty reply of a message that only succeeds or fails.
struct Ack {};
inline void to_json(Json &Value, const Ack &) { Value = Json::object(); }
inline void from_json(const Json &, Ack &) {}

} // namespace tamarack

#endif // TAMARACK_WIRE_LINK_H
