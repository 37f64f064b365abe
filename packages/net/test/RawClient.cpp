#include "RawClient.h"

#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack::testing {

RawClient::RawClient(std::uint16_t Port, int ReceiveBufferBytes)
    : Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (ReceiveBufferBytes > 0)
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                 sizeof ReceiveBufferBytes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Connected = ::connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                        sizeof Address) == 0;
}

RawClient::~RawClient() { close(); }

RawClient::RawClient(RawClient &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)),
      Connected(Other.Connected), Ended(Other.Ended), Reset(Other.Reset),
      Received(std::move(Other.Received)) {}

bool RawClient::sendAll(std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Count =
        ::send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Count < 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

const std::string &RawClient::receive() {
  receiveWith(MSG_DONTWAIT);
  return Received;
}

const std::string &RawClient::receiveSome(std::size_t Bytes) {
  receiveWith(MSG_DONTWAIT, Bytes);
  return Received;
}

const std::string &RawClient::receiveToEnd() {
  receiveWith(0);
  return Received;
}

void RawClient::receiveWith(int Flags, std::size_t MaxBytes) {
  std::array<char, 64U << 10U> Piece{};
  const std::size_t Before = Received.size();
  while (!Ended && !Reset && Received.size() - Before < MaxBytes) {
    const ssize_t Count = ::recv(Descriptor, Piece.data(), Piece.size(), Flags);
    if (Count > 0) {
      Received.append(Piece.data(), static_cast<std::size_t>(Count));
      continue;
    }
    if (Count < 0 && errno == EAGAIN)
      return;
    Ended = Count == 0;
    Reset = Count < 0;
  }
}

void RawClient::shutdownSend() { ::shutdown(Descriptor, SHUT_WR); }

void RawClient::reset() {
  const linger AtOnce{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
  close();
}

void RawClient::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

} // namespace tamarack::testing
