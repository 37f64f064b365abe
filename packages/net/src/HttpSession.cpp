#include "HttpSession.h"

#include "ReadBuffer.h"
#include "TcpInfo.h"

#include "tamarack/net/Log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarack::internal {

namespace http = boost::beast::http;

namespace {

/// The connection is closed if sent data stays unacknowledged for this long.
constexpr Duration CallerAckTimeout = std::chrono::seconds(3);
/// The end of a response's head.
constexpr std::string_view HeadEnd = "\r\n";
constexpr std::string_view ClosingHeadEnd = "Connection: close\r\n\r\n";
/// A decision that is older may be out of date, as the process was not
/// scheduled since.
constexpr Duration MaxDecisionAge = std::chrono::milliseconds(1);
/// The maximum number of bytes of a response that are written at once.
constexpr std::size_t MaxWriteBytes = 64U << 10U;
/// How much of a long body is read at once.
constexpr std::size_t BodyReadBytes = 16U << 10U;
/// When a caller should retry after too little memory was left. It is free
/// again when other requests have ended.
constexpr const char *RetryAfterMemory = "0.200";

HttpFields fieldsOf(const http::fields &From) {
  HttpFields Result;
  for (const auto &Field : From) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  return Result;
}

/// Whether the caller sent an invalid request, as opposed to disconnecting.
bool isMalformed(const ErrorCode &Failure) {
  return Failure.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

/// Whether the response of \p Status to a request of \p Method may have a
/// body. Bytes of one would be read as the next response.
bool mayHaveBody(const std::string &Method, int Status) {
  return Method != "HEAD" && Status != 204 && Status != 304;
}

/// Encodes \p Head without its end.
std::string encodeOpenHead(const HttpHead &Head) {
  std::string Text = encodeHead(Head);
  Text.resize(Text.size() - HeadEnd.size());
  return Text;
}

int statusOf(const ErrorCode &Failure) {
  // The parser limits the head. The extension of a chunk and the trailer, which
  // it reads as a whole too, are limited by the read buffer.
  if (Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  return 400;
}

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer::Impl> Server,
                         Tcp::socket Socket)
    : Server(std::move(Server)), Socket(std::move(Socket)),
      Memory(this->Server->Memory, MemoryUse::Requests) {
  configureSocket(this->Socket, CallerAckTimeout);
}

void HttpSession::sweep(TimePoint Now, Duration Stalled) {
  if (Phase != SessionPhase::Idle && Deadline != TimePoint::max())
    Deadline += Stalled;
  if (Writing)
    extendIfCallerReads(Now);
  const bool IsBounded = Phase == SessionPhase::Lingering;
  if (!Socket.is_open() || Now <= Deadline || (!IsBounded && canContinue()))
    return;
  close();
}

/// The kernel takes the next part only when much of its buffer is free, which a
/// caller that reads slowly needs long for.
void HttpSession::extendIfCallerReads(TimePoint Now) {
  int Queued = 0;
  if (::ioctl(Socket.native_handle(), SIOCOUTQ, &Queued) != 0)
    return;
  if (Queued < QueuedBytes)
    Deadline = Now + Server->Limits.ResponseWriteTimeout;
  QueuedBytes = Queued;
}

TimePoint HttpSession::idleDeadline(TimePoint Now) const {
  if (!Server->Closing)
    return Now + Server->Limits.KeepAliveTimeout;
  return HasCarriedRequest ? TimePoint::min()
                           : Now + Server->Limits.ClosingRequestTimeout;
}

void HttpSession::limitsChanged() {
  if (Phase == SessionPhase::Idle && !Server->Draining && !Server->Closing)
    Deadline = std::max(Deadline, idleDeadline(IdleSince));
}

void HttpSession::closeIfIdle(TimePoint Now) {
  if (Phase == SessionPhase::Lingering)
    Deadline = std::min(Deadline, Now + Server->Limits.ClosingLingerTimeout);
  closeIdleAt(idleDeadline(Now));
  if (Phase == SessionPhase::Idle)
    sweep(Now, Duration(0));
}

/// Whether the pending read or write is ready in the kernel. The loop may not
/// have noticed yet.
bool HttpSession::canContinue() {
  const short Event = Writing ? POLLOUT : POLLIN;
  pollfd Query{Socket.native_handle(), Event, 0};
  return ::poll(&Query, 1, 0) > 0;
}

void HttpSession::addTo(HttpServerLoad &Load) {
  if (Phase == SessionPhase::Answering)
    ++Load.Running;
  if (!Socket.is_open())
    return;
  const bool IsWaiting = Phase == SessionPhase::Idle && unreadBytes() > 0;
  if (Phase == SessionPhase::Reading || IsWaiting)
    ++Load.Arriving;
  else if (Phase == SessionPhase::Idle)
    ++Load.Idle;
}

std::size_t HttpSession::unreadBytes() {
  int Count = 0;
  if (::ioctl(Socket.native_handle(), FIONREAD, &Count) != 0)
    return 0;
  return static_cast<std::size_t>(Count);
}

bool HttpSession::isCallerKnownToRead() {
  if (CallerDisconnected || !AcknowledgedAtEndOfSending)
    return false;
  const std::optional<std::uint64_t> Acknowledged =
      acknowledgedBytes(Socket.native_handle());
  return Acknowledged && *Acknowledged > *AcknowledgedAtEndOfSending;
}

Task<void> HttpSession::run() {
  ReadOutcome Outcome = ReadOutcome::Complete;
  while (!Server->Closed) {
    Outcome = co_await readRequest();
    if (Outcome == ReadOutcome::Disconnected)
      CallerDisconnected = true;
    if (Outcome != ReadOutcome::Complete)
      break;
    co_await handleRequest();
    if (!ResponseSent || !KeepAlive || CallerDisconnected || Aborted)
      break;
  }
  if (!CallerDisconnected && !Server->Closed) {
    // What follows a refused request may be the rest of it.
    const bool HoldsRequests =
        Outcome == ReadOutcome::Complete && CallerKeepsAlive;
    co_await linger(HoldsRequests);
  }
  close();
  Server->Sessions.erase(this);
  Server->Ended.raise();
}

/// If the socket were closed while the caller still sends, the kernel would
/// reset the connection, which destroys what the caller has not read yet.
Task<void> HttpSession::linger(bool HoldsRequests) {
  Phase = SessionPhase::Lingering;
  const TimePoint EndedAt = steadyNow();
  Deadline = EndedAt + Server->Limits.LingerTimeout;
  const auto Position = Server->Lingering.insert(Server->Lingering.end(), this);
  Server->limitLingering();
  ErrorCode Failure = endSending();
  const std::size_t Waiting = Buffer.size() + unreadBytes();
  std::size_t Discarded = Buffer.size();
  Buffer.clear();
  Buffer.shrink_to_fit();
  while (!Failure) {
    Discarded += co_await Socket.async_read_some(
        asio::buffer(Server->Discarded), storeErrorIn(Failure));
    if (Discarded == 0 || !std::exchange(HoldsRequests, false))
      continue;
    ++Server->Counts.Discarded;
    LogLine("server.requests_discarded")
        .with("bytes", Discarded)
        .with("waiting", Waiting)
        .with("after_end_ms", steadyNow() - EndedAt)
        .with("pipelines", Pipelines ? 1 : 0);
  }
  Server->Lingering.erase(Position);
  CallerDisconnected = true;
}

Task<ReadOutcome> HttpSession::readRequest() {
  const HttpServerLimits &Limits = Server->Limits;
  Parser Reader;
  Phase = SessionPhase::Idle;
  IdleSince = steadyNow();
  Deadline = idleDeadline(IdleSince);
  ErrorCode Failure;
  if (Buffer.size() == 0) {
    co_await Socket.async_wait(Tcp::socket::wait_read, storeErrorIn(Failure));
    if (Failure)
      co_return ReadOutcome::Disconnected;
  }
  // The limits may have changed while the connection was idle.
  Reader.header_limit(static_cast<std::uint32_t>(Limits.MaxRequestHeadBytes));
  Reader.body_limit(Limits.MaxRequestBodyBytes);
  Phase = SessionPhase::Reading;
  Deadline = steadyNow() + Limits.RequestReadTimeout;
  std::string Body;
  co_await readHead(Reader, Failure);
  if (!Failure && !OutOfMemory && countFields(Reader.get()) > MaxFields)
    Failure = http::error::header_limit;
  if (!Failure && !OutOfMemory && Reader.get().count(http::field::expect) > 0) {
    std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await write(std::move(Continue));
  }
  if (!Failure && !OutOfMemory) {
    co_await readBody(Reader, Body, Failure);
  }
  // The trailer adds fields.
  if (!Failure && !OutOfMemory && countFields(Reader.get()) > MaxFields)
    Failure = http::error::header_limit;
  if (Failure || OutOfMemory) {
    if (!OutOfMemory && !isMalformed(Failure))
      co_return ReadOutcome::Disconnected;
    Body = {};
    co_await refuseRequest(refusalStatus(Failure, Reader));
    co_return ReadOutcome::Refused;
  }
  auto Message = Reader.release();
  CallerKeepsAlive = Message.keep_alive();
  KeepAlive = CallerKeepsAlive;
  const auto Method = Message.method_string();
  const auto Target = Message.target();
  Request = {{Method.data(), Method.size()},
             {Target.data(), Target.size()},
             fieldsOf(Message),
             std::move(Body)};
  Request.Fields.erase("Expect");
  RequestReadAt = steadyNow();
  Deadline = TimePoint::max();
  co_return ReadOutcome::Complete;
}

Task<void> HttpSession::readHead(Parser &Reader, ErrorCode &Failure) {
  // Some of the request may have been read with the previous one.
  Buffer.max_size(Buffer.size() + InitialReadBufferLimit);
  OutOfMemory = !Memory.resize(std::max(Buffer.max_size(), Buffer.capacity()));
  do {
    if (OutOfMemory)
      co_return;
    co_await http::async_read_header(Socket, Buffer, Reader,
                                     storeErrorIn(Failure));
  } while (growBuffer(Failure, 0));
}

Task<void> HttpSession::readBody(Parser &Reader, std::string &Body,
                                 ErrorCode &Failure) {
  const std::size_t Length = Reader.content_length().value_or(0);
  if (Server->Memory && !Server->Memory->canEverHold(Length)) {
    OutOfMemory = true;
    co_return;
  }
  const bool IsLong = Reader.chunked() || Length > Buffer.max_size();
  if (IsLong && Memory.resize(std::max(BodyReadBytes, Buffer.max_size()))) {
    Buffer.max_size(std::max(BodyReadBytes, Buffer.max_size()));
    Buffer.reserve(BodyReadBytes);
  }
  std::string &Piece = Reader.get().body();
  while (!OutOfMemory && !Failure && !Reader.is_done()) {
    do {
      co_await http::async_read_some(Socket, Buffer, Reader,
                                     storeErrorIn(Failure));
    } while (growBuffer(Failure, Body.capacity()));
    if (!Failure && !OutOfMemory)
      OutOfMemory =
          !appendWithin(Memory, Body, Piece, Buffer.max_size(), Length);
    Piece.clear();
  }
}

bool HttpSession::growBuffer(ErrorCode &Failure, std::size_t BodyBytes) {
  const std::size_t MaxBytes =
      std::max(Server->Limits.MaxRequestHeadBytes, BodyReadBytes);
  const BufferGrowth Growth =
      growIfFull(Buffer, Failure, MaxBytes, Memory, BodyBytes);
  OutOfMemory = Growth == BufferGrowth::OutOfMemory;
  return Growth == BufferGrowth::Grown;
}

int HttpSession::refusalStatus(const ErrorCode &Failure,
                               const Parser &Reader) const {
  if (!OutOfMemory)
    return statusOf(Failure);
  std::size_t Needed = Memory.size();
  if (Reader.is_header_done())
    Needed += Reader.content_length().value_or(0);
  return Server->Memory->canEverHold(Needed) ? 503 : 413;
}

Task<void> HttpSession::refuseRequest(int Status) {
  Phase = SessionPhase::Answering;
  HttpHead Head{Status, {}};
  Head.Fields.add("Content-Length", "0");
  Head.Fields.add("Connection", "close");
  if (OutOfMemory) {
    ++Server->Counts.RefusedForMemory;
    LogLine("server.refused_for_memory")
        .with("status", Status)
        .with("held_bytes", Memory.size())
        .with("used_bytes", Server->Memory->used())
        .with("limit_bytes", Server->Memory->limit());
    Memory.shrinkTo(0);
  }
  if (Status == 503)
    Head.Fields.add("Retry-After", RetryAfterMemory);
  std::string Text = encodeHead(Head);
  co_await write(std::move(Text));
}

Task<void> HttpSession::handleRequest() {
  ResponseStarted = false;
  ResponseSent = false;
  CallerDisconnected = false;
  CloseRequested = false;
  PendingHead.clear();
  Phase = SessionPhase::Answering;
  HasCarriedRequest = true;
  watchCaller();
  HttpExchange Exchange(*this);
  co_await Server->Handle(Exchange);
  DisconnectCallback = nullptr;
  EndOfSendingCallback = nullptr;
  if (Watching) {
    ErrorCode Ignored; // Only the wait that watches the caller is pending.
    Socket.cancel(Ignored);
  }
  freeIfLarge(Buffer);
  Request = {};
  Memory.shrinkTo(std::min(Memory.size(), Buffer.capacity()));
}

void HttpSession::watchCaller() {
  // If bytes of the next request have arrived, the caller is still connected.
  Pipelines = Pipelines || Buffer.size() > 0;
  if (Buffer.size() > 0 || Watching)
    return;
  Watching = true;
  Socket.async_wait(Tcp::socket::wait_read, [Self = shared_from_this()](
                                                const ErrorCode &Failure) {
    Self->Watching = false;
    if (Failure)
      return;
    char Next = 0;
    const ssize_t Count =
        ::recv(Self->Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Count == 0)
      Self->handleEndOfSending();
    else if (Count < 0 && errno != EAGAIN)
      Self->handleDisconnect();
    // After the end of the response it would be an ordinary next request.
    else if (!Self->ResponseSent)
      Self->Pipelines = true;
  });
}

void HttpSession::watchForDisconnect() {
  Watching = true;
  Socket.async_wait(Tcp::socket::wait_error,
                    [Self = shared_from_this()](const ErrorCode &Cancelled) {
                      Self->Watching = false;
                      // Urgent data ends the wait too.
                      pollfd Query{Self->Socket.native_handle(), 0, 0};
                      if (!Cancelled && ::poll(&Query, 1, 0) > 0)
                        Self->handleDisconnect();
                    });
}

void HttpSession::handleEndOfSending() {
  CallerEndedSendingAt = steadyNow();
  AcknowledgedAtEndOfSending = acknowledgedBytes(Socket.native_handle());
  watchForDisconnect();
  if (const auto Callback = std::exchange(EndOfSendingCallback, nullptr))
    Callback();
}

void HttpSession::handleDisconnect() {
  if (std::exchange(CallerDisconnected, true))
    return;
  if (const auto Callback = std::exchange(DisconnectCallback, nullptr))
    Callback();
}

Task<bool> HttpSession::write(std::string Text) {
  if (CallerDisconnected || Aborted || !Socket.is_open())
    co_return false;
  const TimePoint ReadDeadline = Deadline;
  Writing = true;
  const std::string Head = std::exchange(PendingHead, {});
  std::string_view EndOfHead;
  // Decided right before the write, since the process may stand still between
  // the two, and the caller may send another request meanwhile.
  if (!Head.empty()) {
    KeepAlive = KeepAlive && !decideWhetherLast();
    EndOfHead = KeepAlive ? HeadEnd : ClosingHeadEnd;
  }
  const std::array<asio::const_buffer, 3> Parts = {
      asio::buffer(Head), asio::buffer(EndOfHead), asio::buffer(Text)};
  // Called before each part, so that each has its time.
  const auto MaxNextPart = [this](const ErrorCode &Failed, std::size_t) {
    Deadline = steadyNow() + Server->Limits.ResponseWriteTimeout;
    return Failed ? 0 : MaxWriteBytes;
  };
  ErrorCode Failure;
  co_await asio::async_write(Socket, Parts, MaxNextPart, storeErrorIn(Failure));
  Writing = false;
  Deadline = ReadDeadline;
  if (Failure && !Aborted)
    handleDisconnect();
  co_return !Failure;
}

bool HttpSession::hasUnread() { return Buffer.size() > 0 || unreadBytes() > 0; }

/// A caller reads the end of the connection later than it is decided. What it
/// sends meanwhile has no answer, so a connection on which it does not wait for
/// answers ends while it is idle, except if its requests are refused anyway.
bool HttpSession::isLastResponse() {
  if (CallerEndedSendingAt)
    return true;
  if (!Server->Draining && !CloseRequested)
    return false;
  if (hasUnread()) {
    Pipelines = true;
    return false;
  }
  return CloseRequested || Server->Closing || !Pipelines;
}

bool HttpSession::decideWhetherLast() {
  while (true) {
    const TimePoint AskedAt = steadyNow();
    const bool IsLast = isLastResponse();
    if (!IsLast || steadyNow() - AskedAt <= MaxDecisionAge)
      return IsLast;
  }
}

Task<bool> HttpSession::answer(HttpResponse Response) {
  if (mayHaveBody(Request.Method, Response.Head.Status))
    Response.Head.Fields.add("Content-Length",
                             std::to_string(Response.Body.size()));
  else
    Response.Body.clear();
  ResponseSent = true;
  PendingHead = encodeOpenHead(Response.Head);
  co_return co_await write(std::move(Response.Body));
}

void HttpSession::begin(HttpHead Head) {
  Head.Fields.add("Transfer-Encoding", "chunked");
  PendingHead = encodeOpenHead(Head);
}

Task<bool> HttpSession::sendChunk(std::string_view Data) {
  ResponseStarted = true;
  std::string Text = encodeChunk(Data);
  co_return co_await write(std::move(Text));
}

Task<bool> HttpSession::end() {
  ResponseStarted = true;
  ResponseSent = true;
  std::string Text(LastChunk);
  co_return co_await write(std::move(Text));
}

void HttpSession::abort() {
  if (std::exchange(Aborted, true))
    return;
  ErrorCode Ignored; // If the connection is lost, nothing is left to end.
  Socket.cancel(Ignored);
  endSending();
}

ErrorCode HttpSession::endSending() {
  ErrorCode Failure;
  if (!std::exchange(SendingEnded, true))
    Socket.shutdown(Tcp::socket::shutdown_send, Failure);
  return Failure;
}

void HttpSession::close() {
  if (!Socket.is_open())
    return;
  if (!CallerDisconnected) {
    Server->Counts.ClosedUnread += unreadBytes() > 0;
    Server->Counts.LingerTimeouts += Phase == SessionPhase::Lingering;
    Server->Counts.CutWhileReading += Phase == SessionPhase::Reading;
  }
  ErrorCode Ignored; // The socket is closed even on error.
  Socket.close(Ignored);
}

} // namespace tamarack::internal
