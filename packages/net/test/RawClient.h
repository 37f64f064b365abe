/// A TCP client without a loop, for tests that decide what is sent and read
/// when. Each member function returns at once, except sendAll().
#ifndef TAMARACK_NET_TEST_RAWCLIENT_H
#define TAMARACK_NET_TEST_RAWCLIENT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::testing {

class RawClient {
public:
  /// Connects to 127.0.0.1:\p Port. \p ReceiveBufferBytes limits what the
  /// kernel receives before it is read; 0 stands for the kernel's default.
  explicit RawClient(std::uint16_t Port, int ReceiveBufferBytes = 0);
  ~RawClient();
  RawClient(RawClient &&Other) noexcept;
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  RawClient &operator=(RawClient &&) = delete;

  bool isConnected() const { return Connected; }
  /// Blocks until the kernel has taken \p Text. Returns false if the connection
  /// fails before.
  bool sendAll(std::string_view Text);
  /// Reads what has arrived and returns all that was received so far.
  const std::string &receive();
  /// Reads at most about \p Bytes of what has arrived.
  const std::string &receiveSome(std::size_t Bytes);
  /// Like receive(), and blocks until the server ends the connection.
  const std::string &receiveToEnd();
  /// Whether receive() has reached an orderly end of the connection.
  bool isEnded() const { return Ended; }
  /// Whether receive() has found the connection reset.
  bool isReset() const { return Reset; }
  /// Sends a FIN and leaves the other direction open.
  void shutdownSend();
  void close();
  /// Closes the connection with a reset.
  void reset();

private:
  void receiveWith(int Flags, std::size_t MaxBytes = SIZE_MAX);

  int Descriptor = -1;
  bool Connected = false;
  bool Ended = false;
  bool Reset = false;
  std::string Received;
};

} // namespace tamarack::testing

#endif // TAMARACK_NET_TEST_RAWCLIENT_H
