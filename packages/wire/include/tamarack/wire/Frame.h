/// The unit that travels on a link between two of our processes.
///
/// A frame is one binary WebSocket message: a CBOR array of kind, exchange
/// number, message name and body.
///
///   std::string Bytes = encodeFrame({FrameKind::Request, 7, "seal", Body});
///   Expected<Frame> Back = decodeFrame(Bytes);
#ifndef TAMARACK_WIRE_FRAME_H
#define TAMARACK_WIRE_FRAME_H

#include "tamarack/base/Error.h"

#include <cstdint>
#include <string>

namespace tamarack {

enum class FrameKind : std::uint8_t {
  /// Opens an exchange; only the connecting side sends it.
  Request,
  /// A piece of an answer that is still going on.
  Part,
  /// The end of an answer.
  Done,
  /// The end of an exchange that failed; the body is an Error.
  Fail,
  /// The asker is no longer interested in the exchange.
  Cancel,
  /// Sent by both sides in turn; the body tells the sender's state.
  Heartbeat,
};

struct Frame {
  FrameKind Kind = FrameKind::Heartbeat;
  std::uint64_t Exchange = 0;
  std::string Name;
  Json Body;

  auto tied() const { return std::tie(Kind, Exchange, Name, Body); }
};

std::string encodeFrame(const Frame &Sent);
/// Refuses anything that is not a frame with MalformedRequest.
Expected<Frame> decodeFrame(const std::string &Bytes);

} // namespace tamarack

#endif // TAMARACK_WIRE_FRAME_H
