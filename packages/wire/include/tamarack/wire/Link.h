/// Links between our processes: requests, streamed answers and heartbeats.
///
/// A message is a struct with a static `Name`, a `Reply` type, a `Part` type
/// when its answer is streamed, and conversions to and from Json:
///
///   struct SealRequest {
///     static constexpr const char *Name = "seal";
///     using Reply = SealReply;
///     ...
///   };
///   LinkClient Link(Loop, {"127.0.0.1", 7101}, Settings, Hooks, Clock);
///   Expected<SealReply> Sealed = Link.call(SealRequest{...}, Limits);
///
/// A call that fails before its request was written says that it is proved
/// not run; one that fails later does not. Both ends send heartbeats; an end
/// that hears nothing for the silence limit abandons the connection, which
/// fails every exchange on it with LinkLost. The next call opens a new one.
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

/// The thread that carries the bytes of all links of one process.
class WireLoop {
public:
  WireLoop();
  ~WireLoop();
  WireLoop(const WireLoop &) = delete;
  WireLoop &operator=(const WireLoop &) = delete;

  /// Ends the thread. No hook is called afterwards, so whatever the hooks use
  /// may be destroyed then.
  void stop();

  struct Impl;
  Impl &impl() const { return *State; }

private:
  std::unique_ptr<Impl> State;
};

struct LinkAddress {
  std::string Host;
  std::uint16_t Port = 0;

  auto tied() const { return std::tie(Host, Port); }
};

struct LinkSettings {
  /// The key that both ends must hold.
  std::string Key;
  Duration HeartbeatEvery = std::chrono::seconds(1);
  Duration SilenceLimit = std::chrono::seconds(3);
  Duration ConnectLimit = std::chrono::seconds(2);
  /// Requests that a server works on at the same time.
  std::size_t MaxConcurrent = 512;
};

/// What an end tells and hears with heartbeats. Called on the loop's thread,
/// so these must not block.
struct LinkHooks {
  /// Gives the state to tell; the argument says whether it is the first one
  /// on its connection.
  std::function<Json(bool)> OwnState;
  std::function<void(const Json &)> PeerState;
};

struct CallLimits {
  /// Longest time without any part of the answer.
  Duration Progress = std::chrono::seconds(10);
  /// Longest time for the whole answer.
  Duration Total = std::chrono::seconds(10);
};

/// Counts of one end, for tests and metrics.
struct LinkCounts {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t Heartbeats = 0;
  std::uint64_t Abandoned = 0;
  std::uint64_t RefusedKeys = 0;
  std::uint64_t Unmatched = 0;
};

class LinkClient {
public:
  LinkClient(WireLoop &Loop, LinkAddress Peer, LinkSettings Settings,
             LinkHooks Hooks, const Clock &Time);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  /// Sends \p Order and waits for its whole answer.
  template <typename Message>
  Expected<typename Message::Reply> call(const Message &Order,
                                         const CallLimits &Limits) {
    return decodeReply<typename Message::Reply>(
        exchange(Message::Name, Json(Order), Limits, nullptr));
  }

  /// Sends \p Order, gives every part to \p OnPart on this thread, and waits
  /// for the end. The exchange is cancelled when \p OnPart returns false.
  template <typename Message>
  Expected<typename Message::Reply>
  stream(const Message &Order, const CallLimits &Limits,
         const std::function<bool(const typename Message::Part &)> &OnPart) {
    return decodeReply<typename Message::Reply>(exchange(
        Message::Name, Json(Order), Limits, [&OnPart](const Json &Body) {
          return OnPart(Body.get<typename Message::Part>());
        }));
  }

  /// Opens the connection if there is none, without waiting for it.
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
      return refuse(ErrorKind::Internal, "peer sent an unexpected reply");
    }
  }

  struct Impl;
  std::shared_ptr<Impl> State;
};

/// The answering side of one exchange. Safe to use from any thread.
class Responder {
public:
  virtual ~Responder() = default;
  virtual void part(const Json &Body) = 0;
  virtual void done(const Json &Body) = 0;
  virtual void fail(const Error &Why) = 0;
  /// Whether the asker gave up or the connection is gone.
  virtual bool isAbandoned() const = 0;
};

class LinkServer {
public:
  /// Handles one request on a thread of its own.
  using Handler = std::function<void(Responder &Answer, const Json &Body)>;

  LinkServer(WireLoop &Loop, LinkSettings Settings, LinkHooks Hooks,
             const Clock &Time);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  /// Registers the handler of \p Message, which returns the whole answer.
  /// Must come before listen().
  template <typename Message>
  void handle(std::function<Expected<typename Message::Reply>(const Message &)>
                  Answer) {
    on(Message::Name, [Answer](Responder &Out, const Json &Body) {
      finish(Out, Answer(Body.get<Message>()));
    });
  }

  /// Registers the handler of a message with a streamed answer. The handler's
  /// part function returns false once the asker has gone.
  template <typename Message>
  void
  handleStream(std::function<Expected<typename Message::Reply>(
                   const Message &,
                   const std::function<bool(const typename Message::Part &)> &)>
                   Answer) {
    on(Message::Name, [Answer](Responder &Out, const Json &Body) {
      const auto SendPart = [&Out](const typename Message::Part &Piece) {
        Out.part(Json(Piece));
        return !Out.isAbandoned();
      };
      finish(Out, Answer(Body.get<Message>(), SendPart));
    });
  }

  /// Starts to listen; \p Listen.Port 0 takes any free port.
  Expected<std::uint16_t> listen(const LinkAddress &Listen);
  /// Closes all connections after running requests have been answered.
  void stop();
  LinkCounts counts() const;

private:
  void on(const std::string &Name, Handler Work);

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

/// The empty reply of messages that only succeed or fail.
struct Ack {};
inline void to_json(Json &Value, const Ack &) { Value = Json::object(); }
inline void from_json(const Json &, Ack &) {}

} // namespace tamarack

#endif // TAMARACK_WIRE_LINK_H
