/// The frames of a link and the connection that carries them.
#ifndef TAMARACK_NET_LINKFRAME_H
#define TAMARACK_NET_LINKFRAME_H

#include "tamarack/net/Link.h"

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string_view>

namespace tamarack::internal {

/// A longer frame is taken for a broken peer.
constexpr std::uint32_t LongestFrame = 64U << 20U;
/// A peer that acknowledges nothing for that long has lost the connection.
constexpr Duration LinkUnacknowledged = std::chrono::seconds(2);

struct LinkFrame {
  std::uint64_t Exchange = 0;
  /// The name of a call, or the status of an answer.
  std::string Name;
  std::string Body;
};

/// The status of an answer that carries an Error.
constexpr const char *FailedStatus = "!";

std::string encodeLinkFrame(std::uint64_t Exchange, std::string_view Name,
                            std::string_view Body);

/// A connection with a reader and a writer of its own.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  using Received = std::function<void(LinkFrame)>;
  using Lost = std::function<void()>;

  LinkConnection(Loop &Io, Tcp::socket Socket);
  /// Reads until the connection ends; \p OnLost is called once.
  void start(Received OnFrame, Lost OnLost);
  void send(std::string Frame);
  void close();
  /// When the peer last sent a byte.
  TimePoint heardAt() const { return HeardAt; }
  std::size_t queuedBytes() const { return Queue.size() + Writing.size(); }

private:
  Task<void> readFrames();
  Task<void> writeFrames();
  void lost();

  Loop &Io;
  Tcp::socket Socket;
  Signal Queued;
  std::string Queue;
  std::string Writing;
  Received OnFrame;
  Lost OnLost;
  TimePoint HeardAt = steadyNow();
  bool WriterRuns = false;
  bool Closed = false;
};

Expected<Json> decodeBody(std::string_view Body);

} // namespace tamarack::internal

#endif // TAMARACK_NET_LINKFRAME_H
