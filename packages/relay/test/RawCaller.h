/// A caller that sees the bytes of a response as they arrive.
///
///   RawCaller Caller(Io, "127.0.0.1:8080");
///   RawResponse Response = await(Caller.send(encodeRequest(Request)));
#ifndef TAMARACK_RELAY_TEST_RAWCALLER_H
#define TAMARACK_RELAY_TEST_RAWCALLER_H

#include "tamarack/net/HttpMessage.h"
#include "tamarack/net/Loop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <optional>
#include <string>

namespace tamarack::testing {

struct RawResponse {
  /// All bytes, as received.
  std::string Bytes;
  /// Zero if the head is incomplete.
  int Status = 0;
  std::string Head;
  /// The part of the body that was received, without its chunked framing.
  std::string Body;
  bool IsComplete = false;
  /// The bytes after a complete response.
  std::string Extra;
  /// Whether the server has closed or reset the connection.
  bool IsClosed = false;

  bool hasField(const std::string &Line) const {
    return Head.find("\r\n" + Line) != std::string::npos;
  }
};

/// Decodes the chunks at \p Pos of the bytes.
inline void decodeChunks(RawResponse &Response, std::size_t Pos) {
  const std::string &Bytes = Response.Bytes;
  while (true) {
    const std::size_t End = Bytes.find("\r\n", Pos);
    if (End == std::string::npos)
      return;
    const std::size_t Size =
        std::stoul(Bytes.substr(Pos, End - Pos), nullptr, 16);
    const std::size_t Data = End + 2;
    Response.Body += Bytes.substr(Data, Size);
    if (Bytes.size() < Data + Size + 2)
      return;
    Pos = Data + Size + 2;
    if (Size == 0) {
      Response.IsComplete = true;
      Response.Extra = Bytes.substr(Pos);
      return;
    }
  }
}

/// Interprets the bytes of \p Response. \p HeadOnly says that the request was
/// HEAD.
inline void parseResponse(RawResponse &Response, bool HeadOnly) {
  const std::string &Bytes = Response.Bytes;
  const std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return;
  const std::size_t BodyPos = End + 4;
  Response.Head = Bytes.substr(0, BodyPos);
  Response.Status =
      std::stoi(Bytes.substr(std::strlen("HTTP/1.1 "), std::strlen("200")));
  Response.Body.clear();
  if (HeadOnly || Response.Status == 204 || Response.Status == 304) {
    Response.IsComplete = true;
    Response.Extra = Bytes.substr(BodyPos);
    return;
  }
  if (Response.hasField("Transfer-Encoding: chunked\r\n")) {
    decodeChunks(Response, BodyPos);
    return;
  }
  const std::string LengthName = "\r\nContent-Length: ";
  const std::size_t LengthPos = Response.Head.find(LengthName);
  if (LengthPos == std::string::npos)
    return;
  const std::size_t Length =
      std::stoul(Response.Head.substr(LengthPos + LengthName.size()));
  Response.Body = Bytes.substr(BodyPos, Length);
  Response.IsComplete = Response.Body.size() == Length;
  if (Response.IsComplete)
    Response.Extra = Bytes.substr(BodyPos + Length);
}

class RawCaller {
public:
  RawCaller(Loop &Io, std::string Address)
      : Io(Io), Address(std::move(Address)) {}

  /// Sends \p Text on the connection, which is opened if it is not open yet.
  /// Reads until the response is complete or the connection is closed.
  Task<RawResponse> send(std::string Text, bool HeadOnly = false) {
    RawResponse Result;
    co_await write(std::move(Text));
    if (!Connection)
      co_return Result;
    ErrorCode Failure;
    char Buffer[65536];
    while (!Result.IsComplete) {
      const std::size_t Count = co_await Connection->async_read_some(
          asio::buffer(Buffer), storeErrorIn(Failure));
      if (Failure) {
        Result.IsClosed = true;
        break;
      }
      Result.Bytes.append(Buffer, Count);
      parseResponse(Result, HeadOnly);
    }
    co_return Result;
  }
  /// Sends \p Text, which may be a part of a request, and reads nothing.
  Task<void> write(std::string Text) {
    if (!Connection) {
      const Expected<Tcp::endpoint> Peer = parseAddress(Address);
      Expected<Tcp::socket> Opened =
          co_await connectWithTimeout(Io, *Peer, std::chrono::seconds(1));
      if (!Opened)
        co_return;
      Connection.emplace(std::move(*Opened));
    }
    ErrorCode Failure;
    co_await asio::async_write(*Connection, asio::buffer(Text),
                               storeErrorIn(Failure));
  }
  /// Sends a FIN and leaves the other direction open.
  void shutdownSend() {
    ErrorCode Ignored; // The server may have closed the connection.
    if (Connection)
      Connection->shutdown(Tcp::socket::shutdown_send, Ignored);
  }
  /// Closes the connection with a reset.
  void reset() {
    ErrorCode Ignored; // The connection may be closed already.
    if (Connection)
      Connection->set_option(asio::socket_base::linger(true, 0), Ignored);
    close();
  }
  void close() {
    ErrorCode Ignored; // The socket is closed even on error.
    if (Connection)
      Connection->close(Ignored);
  }

private:
  Loop &Io;
  const std::string Address;
  std::optional<Tcp::socket> Connection;
};

} // namespace tamarack::testing

#endif // TAMARACK_RELAY_TEST_RAWCALLER_H
