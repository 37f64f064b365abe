/// What the kernel may hold of a connection until it is read.
#ifndef TAMARACK_NET_RECEIVEBUFFER_H
#define TAMARACK_NET_RECEIVEBUFFER_H

#include "tamarack/net/Loop.h"
#include "tamarack/net/MemoryAccount.h"

#include <algorithm>

namespace tamarack::internal {

/// So many connections of which nothing is read take as much as the account.
inline constexpr std::size_t ReceiveBufferDivisor = 256;
/// Less limits the rate of long messages between regions, more gains nothing.
inline constexpr std::size_t MinReceiveBufferBytes = 32U << 10U;
inline constexpr std::size_t MaxReceiveBufferBytes = 256U << 10U;

/// The receive buffer of each connection beside an account of \p LimitBytes.
constexpr std::size_t receiveBufferBytes(std::size_t LimitBytes) {
  return std::clamp(LimitBytes / ReceiveBufferDivisor, MinReceiveBufferBytes,
                    MaxReceiveBufferBytes);
}

/// Limits the receive buffer of \p Socket, or of what it accepts. The kernel
/// otherwise lets it grow to many megabytes, which count as memory of the
/// machine and which no account knows of. Does nothing without an account.
template <typename SocketType>
void limitReceiveBuffer(SocketType &Socket, const MemoryAccount *Account) {
  if (Account == nullptr)
    return;
  ErrorCode Ignored; // The limit of the kernel stays.
  Socket.set_option(asio::socket_base::receive_buffer_size(
                        static_cast<int>(receiveBufferBytes(Account->limit()))),
                    Ignored);
}

} // namespace tamarack::internal

#endif // TAMARACK_NET_RECEIVEBUFFER_H
