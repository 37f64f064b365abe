#include "LinkFrame.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace tamarack::internal {
namespace {

/// Exchange number and length of the name.
constexpr std::size_t PrefixBytes = sizeof(std::uint64_t) + 1;

template <typename T> void put(std::string &Out, T Value) {
  Out.append(reinterpret_cast<const char *>(&Value), sizeof Value);
}

Expected<LinkFrame> parse(std::string_view Text) {
  LinkFrame Result;
  if (Text.size() < PrefixBytes)
    return refuse(ErrorKind::MalformedRequest, "a link frame is too short");
  std::memcpy(&Result.Exchange, Text.data(), sizeof Result.Exchange);
  const auto NameBytes =
      static_cast<unsigned char>(Text[sizeof Result.Exchange]);
  if (Text.size() < PrefixBytes + NameBytes)
    return refuse(ErrorKind::MalformedRequest, "a link frame is too short");
  Result.Name = Text.substr(PrefixBytes, NameBytes);
  Result.Body = Text.substr(PrefixBytes + NameBytes);
  return Result;
}

} // namespace

std::string encodeLinkFrame(std::uint64_t Exchange, std::string_view Name,
                            std::string_view Body) {
  std::string Out;
  Out.reserve(sizeof(std::uint32_t) + PrefixBytes + Name.size() + Body.size());
  put(Out, static_cast<std::uint32_t>(PrefixBytes + Name.size() + Body.size()));
  put(Out, Exchange);
  put(Out, static_cast<unsigned char>(Name.size()));
  Out.append(Name);
  Out.append(Body);
  return Out;
}

Expected<Json> decodeBody(std::string_view Body) {
  Json Result = Json::from_cbor(Body.begin(), Body.end(), true, false);
  if (Result.is_discarded())
    return refuse(ErrorKind::MalformedRequest, "a body is not CBOR");
  return Result;
}

LinkConnection::LinkConnection(Loop &Io, Tcp::socket Socket)
    : Io(Io), Socket(std::move(Socket)), Queued(Io) {
  tuneSocket(this->Socket, LinkUnacknowledged);
}

void LinkConnection::start(Received Frame, Lost Ended) {
  OnFrame = std::move(Frame);
  OnLost = std::move(Ended);
  spawn(Io, [](std::shared_ptr<LinkConnection> Self) -> Task<void> {
    co_await Self->readFrames();
    Self->lost();
  }(shared_from_this()));
}

Task<void> LinkConnection::readFrames() {
  std::string Text;
  std::size_t Used = 0;
  std::size_t Filled = 0;
  constexpr std::size_t ReadBytes = 16U << 10U;
  while (!Closed) {
    while (Filled - Used >= sizeof(std::uint32_t)) {
      std::uint32_t Length = 0;
      std::memcpy(&Length, Text.data() + Used, sizeof Length);
      if (Length > LongestFrame)
        co_return;
      if (Filled - Used < sizeof Length + Length)
        break;
      Expected<LinkFrame> Frame =
          parse(std::string_view(Text).substr(Used + sizeof Length, Length));
      Used += sizeof Length + Length;
      if (!Frame)
        co_return;
      OnFrame(std::move(*Frame));
      if (Closed)
        co_return;
    }
    // Moves what is left of a frame to the front; mostly nothing.
    std::copy(Text.begin() + static_cast<std::ptrdiff_t>(Used),
              Text.begin() + static_cast<std::ptrdiff_t>(Filled), Text.begin());
    Filled -= Used;
    Used = 0;
    if (Text.size() < Filled + ReadBytes)
      Text.resize(Filled + ReadBytes);
    ErrorCode Failure;
    const std::size_t Count = co_await Socket.async_read_some(
        asio::buffer(Text.data() + Filled, Text.size() - Filled),
        into(Failure));
    if (Failure)
      co_return;
    Filled += Count;
    HeardAt = steadyNow();
  }
}

void LinkConnection::send(std::string Frame) {
  if (Closed)
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
    co_await asio::async_write(Socket, asio::buffer(Writing), into(Failure));
    Writing.clear();
    if (Failure)
      close();
  }
  WriterRuns = false;
}

void LinkConnection::close() {
  Closed = true;
  ErrorCode Ignored; // It is closed either way.
  Socket.close(Ignored);
}

void LinkConnection::lost() {
  close();
  if (const Lost Ended = std::exchange(OnLost, nullptr))
    Ended();
  OnFrame = nullptr;
}

} // namespace tamarack::internal
