#include "tamarack/wire/Frame.h"

namespace tamarack {
namespace {

constexpr std::size_t FieldsPerFrame = 4;

} // namespace

std::string encodeFrame(const Frame &Sent) {
  const Json Fields = Json::array({static_cast<std::uint8_t>(Sent.Kind),
                                   Sent.Exchange, Sent.Name, Sent.Body});
  std::string Bytes;
  Json::to_cbor(Fields, Bytes);
  return Bytes;
}

Expected<Frame> decodeFrame(const std::string &Bytes) {
  const Json Fields = Json::from_cbor(Bytes, true, false);
  const bool Shaped = Fields.is_array() && Fields.size() == FieldsPerFrame &&
                      Fields[0].is_number_unsigned() &&
                      Fields[0].get<std::uint64_t>() <=
                          static_cast<std::uint64_t>(FrameKind::Heartbeat) &&
                      Fields[1].is_number_unsigned() && Fields[2].is_string();
  if (!Shaped)
    return refuse(ErrorKind::MalformedRequest, "bytes are not a frame");
  return Frame{static_cast<FrameKind>(Fields[0].get<std::uint8_t>()),
               Fields[1].get<std::uint64_t>(), Fields[2].get<std::string>(),
               Fields[3]};
}

} // namespace tamarack
