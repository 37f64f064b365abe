/// What the kernel says of a TCP connection.
#ifndef TAMARACK_NET_TCPINFO_H
#define TAMARACK_NET_TCPINFO_H

#include <cstdint>
#include <optional>

namespace tamarack::internal {

/// Number of bytes sent on \p Descriptor that the peer has acknowledged;
/// nothing if the kernel does not say.
std::optional<std::uint64_t> acknowledgedBytes(int Descriptor);

} // namespace tamarack::internal

#endif // TAMARACK_NET_TCPINFO_H
