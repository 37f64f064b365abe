#include "TcpInfo.h"

#include <cstddef>

// The header of the C library has an older tcp_info, and cannot be included
// beside this one.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace tamarack::internal {

std::optional<std::uint64_t> acknowledgedBytes(int Descriptor) {
  tcp_info Info{};
  socklen_t Length = sizeof Info;
  constexpr std::size_t NeededLength =
      offsetof(tcp_info, tcpi_bytes_acked) + sizeof Info.tcpi_bytes_acked;
  if (::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Length) != 0 ||
      Length < NeededLength)
    return std::nullopt;
  return Info.tcpi_bytes_acked;
}

} // namespace tamarack::internal
