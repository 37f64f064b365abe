#include "tamarack/wire/Frame.h"

namespace tamarack {
namespace {

constexpr std::size_t FieldsPerFrame = 4;

} // namespace

std::string encodeFrame(const Frame &Source) {
  const Json Fields = Json::array({static_cast<std::uint8_t>(Source.Kind),
                                   Source.Exchange, Source.Name, Source.Body});
  std::string Bytes;
  Json::to_cbor(Fields, Bytes);
  return Bytes;
}

Expected<Frame> decodeFrame(const std::string &Bytes) {
  const Json Fields = Json::from_cbor(Bytes, true, false);
  const bool IsFrame = Fields.is_array() && Fields.size() == FieldsPerFrame &&
                       Fields[0].is_number_unsigned() &&
                       Fields[0].get<std::uint64_t>() <=
                           static_cast<std::uint64_t>(FrameKind::Heartbeat) &&
                       Fields[1].is_number_unsigned() && Fields[2].is_string();
  if (!IsFrame)
    return refuse(ErrorKind::MalformedRequest,
                  "message is not an encoded link frame");
  return Frame{static_cast<FrameKind>(Fields[0].get<std::uint8_t>()),
               Fields[1].get<std::uint64_t>(), Fields[2].get<std::string>(),
               Fields[3]};
}

} // namespace tamarack
