/// The frames of a link and the connection that transports them.
#ifndef TAMARACK_NET_LINKFRAME_H
#define TAMARACK_NET_LINKFRAME_H

#include "tamarack/net/Link.h"

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string_view>

namespace tamarack::internal {

/// A connection that announces a longer frame is closed.
constexpr std::uint32_t MaxFrameBytes = 64U << 20U;
/// The connection is closed if sent data stays unacknowledged for this long.
constexpr Duration LinkAckTimeout = std::chrono::seconds(2);

struct LinkFrame {
  std::uint64_t Exchange = 0;
  /// The name of a call, or the status of a reply: empty or ErrorStatus.
  std::string Name;
  std::string Body;
};

/// The status of a reply whose body is an Error.
constexpr const char *ErrorStatus = "!";

/// Encodes a frame with its length prefix. \p Name has at most 255 bytes.
std::string encodeLinkFrame(std::uint64_t Exchange, std::string_view Name,
                            std::string_view Body);

/// A connection with one reading and one writing coroutine.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  using FrameHandler = std::function<void(LinkFrame)>;
  using LossHandler = std::function<void()>;

  LinkConnection(Loop &Io, Tcp::socket Socket);
  /// Starts to read. \p OnFrame is called for each frame, and \p OnLost once
  /// when the connection ends.
  void start(FrameHandler OnFrame, LossHandler OnLost);
  /// Queues an encoded frame. Does nothing once the connection is closed.
  void send(std::string Frame);
  /// Ends the own direction once all queued frames are written, and reads on.
  void endOutput();
  void close();
  /// When the last byte was received, initially when this object was created.
  TimePoint lastReceivedAt() const { return LastReceivedAt; }
  /// Whether the kernel holds received bytes that have not been read.
  bool hasUnreadBytes() const;
  std::size_t queuedBytes() const { return Queue.size() + Writing.size(); }

  /// The memory that the buffers take.
  std::size_t bufferBytes() const {
    return Received.capacity() + Queue.capacity() + Writing.capacity();
  }

private:
  Task<void> readFrames();
  Task<void> writeFrames();
  void lost();

  Loop &Io;
  Tcp::socket Socket;
  Signal Queued;
  std::string Received;
  std::string Queue;
  std::string Writing;
  FrameHandler OnFrame;
  LossHandler OnLost;
  TimePoint LastReceivedAt = steadyNow();
  bool WriterRuns = false;
  bool OutputEnds = false;
  bool Closed = false;
};

/// Decodes a CBOR body. Fails with MalformedRequest.
Expected<Json> decodeBody(std::string_view Body);

} // namespace tamarack::internal

#endif // TAMARACK_NET_LINKFRAME_H
