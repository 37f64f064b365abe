/// The unit of transfer on a link between two processes.
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
  /// A part of a streamed answer; more frames follow.
  Part,
  /// The end of an answer.
  Done,
  /// The end of a failed exchange; the body is an Error.
  Fail,
  /// The requester has abandoned the exchange.
  Cancel,
  /// Sent periodically by both sides; the body is the sender's state.
  Heartbeat,
};

struct Frame {
  FrameKind Kind = FrameKind::Heartbeat;
  std::uint64_t Exchange = 0;
  std::string Name;
  Json Body;

  auto tied() const { return std::tie(Kind, Exchange, Name, Body); }
};

std::string encodeFrame(const Frame &Source);
/// Fails with MalformedRequest if \p Bytes are not an encoded frame.
Expected<Frame> decodeFrame(const std::string &Bytes);

} // namespace tamarack

#endif // TAMARACK_WIRE_FRAME_H
