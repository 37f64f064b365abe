#include "LinkFrame.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace tamarack::internal {
namespace {

/// The exchange number and the length byte of the name.
constexpr std::size_t FrameHeaderBytes = sizeof(std::uint64_t) + 1;
/// A buffer with more capacity is not kept after a long frame.
constexpr std::size_t MaxKeptBufferBytes = 128U << 10U;

template <typename T> void put(std::string &Out, T Value) {
  Out.append(reinterpret_cast<const char *>(&Value), sizeof Value);
}

Expected<LinkFrame> parse(std::string_view Text) {
  LinkFrame Result;
  if (Text.size() < FrameHeaderBytes)
    return refuse(ErrorKind::MalformedRequest,
                  "link frame is shorter than its header");
  std::memcpy(&Result.Exchange, Text.data(), sizeof Result.Exchange);
  const auto NameBytes =
      static_cast<unsigned char>(Text[sizeof Result.Exchange]);
  if (Text.size() < FrameHeaderBytes + NameBytes)
    return refuse(ErrorKind::MalformedRequest,
                  "link frame is shorter than its name");
  Result.Name = Text.substr(FrameHeaderBytes, NameBytes);
  Result.Body = Text.substr(FrameHeaderBytes + NameBytes);
  return Result;
}

} // namespace

std::string encodeLinkFrame(std::uint64_t Exchange, std::string_view Name,
                            std::string_view Body) {
  std::string Out;
  Out.reserve(sizeof(std::uint32_t) + FrameHeaderBytes + Name.size() +
              Body.size());
  put(Out,
      static_cast<std::uint32_t>(FrameHeaderBytes + Name.size() + Body.size()));
  put(Out, Exchange);
  put(Out, static_cast<unsigned char>(Name.size()));
  Out.append(Name);
  Out.append(Body);
  return Out;
}

Expected<Json> decodeBody(std::string_view Body) {
  Json Result = Json::from_cbor(Body.begin(), Body.end(), true, false);
  if (Result.is_discarded())
    return refuse(ErrorKind::MalformedRequest,
                  "link frame body is not valid CBOR");
  return Result;
}

LinkConnection::LinkConnection(Loop &Io, Tcp::socket Socket)
    : Io(Io), Socket(std::move(Socket)), Queued(Io) {
  configureSocket(this->Socket, LinkAckTimeout);
}

void LinkConnection::start(FrameHandler Frame, LossHandler Loss) {
  OnFrame = std::move(Frame);
  OnLost = std::move(Loss);
  spawn(Io, [](std::shared_ptr<LinkConnection> Self) -> Task<void> {
    co_await Self->readFrames();
    Self->lost();
  }(shared_from_this()));
}

Task<void> LinkConnection::readFrames() {
  std::size_t Used = 0;
  std::size_t Filled = 0;
  constexpr std::size_t ReadBytes = 16U << 10U;
  while (!Closed) {
    while (Filled - Used >= sizeof(std::uint32_t)) {
      std::uint32_t Length = 0;
      std::memcpy(&Length, Received.data() + Used, sizeof Length);
      if (Length > MaxFrameBytes)
        co_return;
      if (Filled - Used < sizeof Length + Length)
        break;
      Expected<LinkFrame> Frame = parse(
          std::string_view(Received).substr(Used + sizeof Length, Length));
      Used += sizeof Length + Length;
      if (!Frame)
        co_return;
      OnFrame(std::move(*Frame));
      if (Closed)
        co_return;
    }
    // Moves the start of an incomplete frame, if there is one, to the front.
    std::copy(Received.begin() + static_cast<std::ptrdiff_t>(Used),
              Received.begin() + static_cast<std::ptrdiff_t>(Filled),
              Received.begin());
    Filled -= Used;
    Used = 0;
    if (Received.capacity() > MaxKeptBufferBytes &&
        Filled + ReadBytes <= MaxKeptBufferBytes)
      std::string(Received, 0, Filled).swap(Received); // Assignment keeps it.
    if (Received.size() < Filled + ReadBytes)
      Received.resize(Filled + ReadBytes);
    ErrorCode Failure;
    const std::size_t Count = co_await Socket.async_read_some(
        asio::buffer(Received.data() + Filled, Received.size() - Filled),
        storeErrorIn(Failure));
    if (Failure)
      co_return;
    Filled += Count;
    LastReceivedAt = steadyNow();
  }
}

void LinkConnection::send(std::string Frame) {
  if (Closed || OutputEnds)
    return;
  Queue += Frame;
  if (WriterRuns)
    return;
  WriterRuns = true;
  spawn(Io, [](std::shared_ptr<LinkConnection> Self) -> Task<void> {
    co_await Self->writeFrames();
  }(shared_from_this()));
}

Task<void> LinkConnection::writeFrames() {
  while (!Closed && !Queue.empty()) {
    Writing.swap(Queue);
    ErrorCode Failure;
    co_await asio::async_write(Socket, asio::buffer(Writing),
                               storeErrorIn(Failure));
    Writing.clear();
    if (Writing.capacity() > MaxKeptBufferBytes)
      std::string().swap(Writing);
    if (Failure)
      close();
  }
  WriterRuns = false;
  if (OutputEnds)
    endOutput();
}

void LinkConnection::endOutput() {
  OutputEnds = true;
  ErrorCode Ignored; // The peer has closed the connection before.
  if (!WriterRuns && !Closed)
    Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
}

bool LinkConnection::hasUnreadBytes() const {
  ErrorCode Failure;
  const std::size_t Count = Socket.available(Failure);
  return !Failure && Count > 0;
}

void LinkConnection::close() {
  Closed = true;
  ErrorCode Ignored; // The socket is closed even on error.
  Socket.close(Ignored);
}

void LinkConnection::lost() {
  close();
  if (const LossHandler Handler = std::exchange(OnLost, nullptr))
    Handler();
  OnFrame = nullptr;
}

} // namespace tamarack::internal
