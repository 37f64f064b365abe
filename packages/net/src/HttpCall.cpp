#include "tamarack/net/HttpCall.h"

#include "HttpConnection.h"
#include "PieceBody.h"
#include "ReceiveBuffer.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

namespace tamarack {

namespace http = boost::beast::http;
using internal::BufferGrowth;
using internal::HttpConnection;
using internal::InitialReadBufferLimit;

namespace {

/// An idle connection is discarded this long before the server's timeout, so
/// that the server does not close it while a request is on its way.
constexpr Duration IdleTimeoutMargin = std::chrono::milliseconds(700);
/// The maximum length of the head of a response, and of any other part that the
/// parser reads as a whole: the extension of a chunk and the trailer.
constexpr std::uint32_t MaxHeadBytes = 64U << 10U;
/// A connection that has carried more refusals is closed.
constexpr std::size_t MaxRefusalsPerConnection = 64;

/// The maximum number of interim responses that are skipped before a response.
constexpr int MaxInterimResponses = 8;

/// Whether the response to the request is still to come. After 101, which
/// nothing asks for, the connection speaks another protocol.
bool isInterim(unsigned Status) {
  return Status >= 100 && Status < 200 && Status != 101;
}

/// Whether the status may end an exchange (RFC 9110, section 15). The parser
/// takes any three digits.
bool isFinal(unsigned Status) { return Status >= 200 && Status < 600; }

/// Whether the server has neither closed the connection nor sent bytes on it.
bool isIdle(HttpConnection &Connection) {
  char Next = 0;
  const ssize_t Count = ::recv(Connection.Socket.native_handle(), &Next, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Whether a request may be sent on the connection at \p Now.
bool isUsable(HttpConnection &Connection, TimePoint Now) {
  return Connection.IdleDeadline > Now && isIdle(Connection);
}

/// Returns how long the server keeps an idle connection, read from its
/// Keep-Alive field such as "timeout=5", or \p Default if it says nothing.
Duration idleTimeoutFrom(const HttpFields &Fields, Duration Default) {
  const std::string *Text = Fields.find("Keep-Alive");
  const std::size_t Offset =
      Text == nullptr ? std::string::npos : Text->find("timeout=");
  if (Offset == std::string::npos)
    return Default;
  return std::chrono::seconds(
      std::atoi(Text->c_str() + Offset + std::string_view("timeout=").size()));
}

/// Whether the body is in a transfer coding other than chunks, which the parser
/// does not decode.
bool hasUnknownCoding(const http::fields &Fields) {
  return std::any_of(Fields.begin(), Fields.end(), [](const auto &Field) {
    return Field.name() == http::field::transfer_encoding &&
           !boost::beast::iequals(Field.value(), "chunked");
  });
}

tl::unexpected<Error> endpointFailure(const ErrorCode &Failure) {
  return refuse(ErrorKind::EndpointFailed, Failure.message());
}

} // namespace

ConnectionPool::ConnectionPool(Loop &Io, HttpCallLimits Limits)
    : Io(Io), Limits(Limits) {}

ConnectionPool::~ConnectionPool() = default;

Task<Expected<std::unique_ptr<HttpConnection>>>
ConnectionPool::acquire(std::string Address, std::string RequestId) {
  auto &Connections = Idle[Address];
  while (!Connections.empty()) {
    std::unique_ptr<HttpConnection> Next = std::move(Connections.back());
    Connections.pop_back();
    const bool MayRepeatRefusal =
        !RequestId.empty() && Next->RefusedIds.count(RequestId) > 0;
    if (!MayRepeatRefusal && isUsable(*Next, steadyNow()))
      co_return Next;
  }
  const Expected<Tcp::endpoint> Peer = parseAddress(Address);
  if (!Peer)
    co_return tl::unexpected(Peer.error());
  ++Opened;
  Expected<Tcp::socket> Socket =
      co_await connectWithTimeout(Io, *Peer, Limits.TcpConnectTimeout);
  if (!Socket)
    co_return tl::unexpected(Socket.error());
  configureSocket(*Socket, Limits.AckTimeout);
  internal::limitReceiveBuffer(*Socket, Limits.Memory.get());
  if (Limits.EnableKeepAliveProbes)
    enableKeepAliveProbes(*Socket);
  co_return std::make_unique<HttpConnection>(Address, std::move(*Socket));
}

void ConnectionPool::release(std::unique_ptr<HttpConnection> Connection) {
  auto &Connections = Idle[Connection->Address];
  if (Connections.size() < Limits.MaxIdlePerServer)
    Connections.push_back(std::move(Connection));
}

bool ConnectionPool::hasIdle(const std::string &Address) const {
  const auto It = Idle.find(Address);
  return It != Idle.end() && !It->second.empty();
}

void ConnectionPool::forget(const std::string &Address) { Idle.erase(Address); }

void ConnectionPool::expire(TimePoint Now) {
  for (auto Server = Idle.begin(); Server != Idle.end();) {
    auto &Connections = Server->second;
    Connections.erase(
        std::remove_if(
            Connections.begin(), Connections.end(),
            [Now](const std::unique_ptr<HttpConnection> &Connection) {
              return Connection->IdleDeadline <= Now;
            }),
        Connections.end());
    Server = Connections.empty() ? Idle.erase(Server) : std::next(Server);
  }
}

struct HttpCall::Impl : std::enable_shared_from_this<Impl> {
  Impl(ConnectionPool &Pool, std::unique_ptr<HttpConnection> Connection)
      : Pool(Pool), Connection(std::move(Connection)),
        Memory(Pool.limits().Memory, MemoryUse::Responses) {
    restartReader();
  }

  void restartReader() {
    Reader.emplace();
    Reader->header_limit(MaxHeadBytes);
    Reader->body_limit(Pool.limits().MaxResponseBodyBytes);
    Reader->skip(HeadOnly);
  }

  ConnectionPool &Pool;
  std::unique_ptr<HttpConnection> Connection;
  /// What the read buffer takes.
  MemoryShare Memory;
  std::optional<http::response_parser<internal::PieceBody>> Reader;
  bool HeadOnly = false;
  std::string Writing;
  std::size_t WrittenBytes = 0;
  bool Written = false;
  bool Aborted = false;
  bool Failed = false;
  bool OutOfMemory = false;
  bool EndedByServer = false;
  Duration IdleTimeout{0};

  /// Writes what the kernel takes of the request. Returns false if no byte can
  /// be written, since the connection has ended.
  bool writeAtOnce() {
    if (!isUsable(*Connection, steadyNow()))
      return false;
    const ssize_t Count =
        ::send(Connection->Socket.native_handle(), Writing.data(),
               Writing.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    WrittenBytes = static_cast<std::size_t>(Count);
    Written = WrittenBytes == Writing.size();
    return true;
  }

  Task<void> writeRest() {
    ErrorCode Failure;
    co_await asio::async_write(Connection->Socket,
                               asio::buffer(Writing) + WrittenBytes,
                               storeErrorIn(Failure));
    // After a failed write, readHead() may still get a response; if not, it
    // reports the failure.
    Written = !Failure;
    Writing = {};
  }

  /// Lets the read buffer become larger if \p Failure says that it is full and
  /// its limit allows. Returns false if the read cannot go on.
  bool growBuffer(ErrorCode &Failure) {
    const BufferGrowth Growth =
        internal::growIfFull(Connection->Buffer, Failure, MaxHeadBytes, Memory);
    OutOfMemory = Growth == BufferGrowth::OutOfMemory;
    return Growth == BufferGrowth::Grown;
  }

  tl::unexpected<Error> readFailure(const ErrorCode &Failure) {
    noteReadFailure(Failure);
    if (Aborted)
      return refuse(ErrorKind::EndpointFailed, "the call was aborted");
    if (OutOfMemory)
      return refuse(ErrorKind::Overloaded,
                    "too little memory is left for the response");
    return endpointFailure(Failure);
  }

  void noteReadFailure(const ErrorCode &Failure) {
    Failed = true;
    EndedByServer = !Aborted && (Failure == http::error::end_of_stream ||
                                 Failure == http::error::partial_message ||
                                 Failure == asio::error::eof ||
                                 Failure == asio::error::connection_reset);
  }

  void abort() {
    Aborted = true;
    ErrorCode Ignored; // The socket is closed even on error.
    Connection->Socket.close(Ignored);
  }

  bool isReusable() const {
    return Written && !Aborted && !Failed && Reader->is_done() &&
           Reader->keep_alive() && !Reader->need_eof() &&
           Connection->Buffer.size() == 0 &&
           Connection->RefusedIds.size() <= MaxRefusalsPerConnection;
  }
};

HttpCall::HttpCall(std::shared_ptr<Impl> Inner) : Inner(std::move(Inner)) {}

HttpCall::~HttpCall() { finish(); }

Task<Expected<std::shared_ptr<HttpCall>>>
HttpCall::open(ConnectionPool &Pool, std::string Address,
               std::string RequestId) {
  auto Connection =
      co_await Pool.acquire(std::move(Address), std::move(RequestId));
  if (!Connection)
    co_return tl::unexpected(Connection.error());
  co_return std::shared_ptr<HttpCall>(
      new HttpCall(std::make_shared<Impl>(Pool, std::move(*Connection))));
}

bool HttpCall::send(std::string Text, bool HeadOnly) {
  Inner->Writing = std::move(Text);
  Inner->HeadOnly = HeadOnly;
  Inner->Reader->skip(HeadOnly);
  if (!Inner->writeAtOnce()) {
    Inner->abort();
    return false;
  }
  if (Inner->Written) {
    Inner->Writing = {};
    return true;
  }
  spawn(Inner->Pool.loop(), [](std::shared_ptr<Impl> Self) -> Task<void> {
    co_await Self->writeRest();
  }(Inner));
  return true;
}

Task<Expected<HttpHead>> HttpCall::readHead() {
  const auto Self = Inner;
  for (int Interim = 0;; ++Interim) {
    ErrorCode Failure;
    do {
      co_await http::async_read_header(Self->Connection->Socket,
                                       Self->Connection->Buffer, *Self->Reader,
                                       storeErrorIn(Failure));
    } while (Self->growBuffer(Failure));
    if (Failure)
      co_return Self->readFailure(Failure);
    if (!isInterim(Self->Reader->get().result_int()))
      break;
    if (Interim == MaxInterimResponses) {
      Self->Failed = true;
      co_return refuse(ErrorKind::EndpointFailed, "too many interim responses");
    }
    Self->restartReader();
  }
  const auto &Message = Self->Reader->get();
  if (!isFinal(Message.result_int())) {
    Self->Failed = true;
    co_return refuse(ErrorKind::EndpointFailed,
                     "the status of the response is invalid");
  }
  if (internal::countFields(Message) > internal::MaxFields) {
    Self->Failed = true;
    co_return refuse(ErrorKind::EndpointFailed,
                     "the response has too many header fields");
  }
  if (hasUnknownCoding(Message)) {
    Self->Failed = true;
    co_return refuse(ErrorKind::EndpointFailed,
                     "the transfer coding of the response is unknown");
  }
  HttpHead Head{static_cast<int>(Message.result_int()), {}};
  for (const auto &Field : Message) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Head.Fields.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  Self->IdleTimeout =
      idleTimeoutFrom(Head.Fields, Self->Pool.limits().DefaultIdleTimeout);
  co_return Head;
}

Task<Expected<std::optional<std::string>>> HttpCall::readPiece() {
  const auto Self = Inner;
  std::string &Body = Self->Reader->get().body();
  while (Body.empty() && !Self->Reader->is_done()) {
    ErrorCode Failure;
    do {
      co_await http::async_read_some(Self->Connection->Socket,
                                     Self->Connection->Buffer, *Self->Reader,
                                     storeErrorIn(Failure));
    } while (Self->growBuffer(Failure));
    if (Failure)
      co_return Self->readFailure(Failure);
  }
  if (Body.empty())
    co_return std::optional<std::string>();
  co_return std::optional<std::string>(std::exchange(Body, {}));
}

Task<Expected<void>> HttpCall::skipAnswer(std::size_t MaxBytes) {
  std::size_t Skipped = 0;
  while (true) {
    const Expected<std::optional<std::string>> Piece = co_await readPiece();
    if (!Piece)
      co_return tl::unexpected(Piece.error());
    if (!*Piece)
      break;
    Skipped += (*Piece)->size();
    if (Skipped > MaxBytes)
      co_return refuse(ErrorKind::EndpointFailed,
                       "the response to an earlier request is too long");
  }
  if (!Inner->Reader->keep_alive() || Inner->Reader->need_eof())
    co_return refuse(ErrorKind::EndpointFailed,
                     "server closes the connection after the response to "
                     "an earlier request");
  Inner->restartReader();
  co_return Expected<void>();
}

void HttpCall::noteRefusal(const std::string &RequestId) {
  if (Inner->Connection)
    Inner->Connection->RefusedIds.insert(RequestId);
}

void HttpCall::abort() {
  if (Inner->Connection)
    Inner->abort();
}

void HttpCall::finish() {
  if (!Inner->Connection)
    return;
  if (!Inner->isReusable()) {
    Inner->abort();
    return;
  }
  auto Connection = std::move(Inner->Connection);
  ++Connection->CompletedExchanges;
  Connection->IdleDeadline =
      steadyNow() + Inner->IdleTimeout - IdleTimeoutMargin;
  internal::freeIfLarge(Connection->Buffer);
  Connection->Buffer.max_size(InitialReadBufferLimit);
  Inner->Pool.release(std::move(Connection));
}

bool HttpCall::isEndedByServer() const { return Inner->EndedByServer; }

bool HttpCall::isEndMarked() const { return !Inner->Reader->need_eof(); }

bool HttpCall::reused() const {
  return Inner->Connection && Inner->Connection->CompletedExchanges > 0;
}

Task<Expected<HttpResponse>> fetch(ConnectionPool &Pool, std::string Address,
                                   HttpRequest Request, Duration Timeout) {
  Request.Fields.set("Host", Address);
  Request.Fields.set("Content-Length", std::to_string(Request.Body.size()));
  const std::string Text = encodeRequest(Request);
  std::shared_ptr<HttpCall> Open;
  while (!Open) {
    auto Call = co_await HttpCall::open(Pool, Address);
    if (!Call)
      co_return tl::unexpected(Call.error());
    const bool Reused = (*Call)->reused();
    if ((*Call)->send(Text))
      Open = std::move(*Call);
    else if (!Reused)
      co_return refuse(ErrorKind::LinkLost,
                       "the server has ended the new connection",
                       NotRun::Proved);
  }
  asio::steady_timer Timer(Pool.loop(), Timeout);
  Timer.async_wait(
      [Weak = std::weak_ptr<HttpCall>(Open)](const ErrorCode &Cancelled) {
        const auto Self = Weak.lock();
        if (!Cancelled && Self)
          Self->abort();
      });
  Expected<HttpHead> Head = co_await Open->readHead();
  if (!Head)
    co_return tl::unexpected(Head.error());
  HttpResponse Result{std::move(*Head), {}};
  while (true) {
    Expected<std::optional<std::string>> Piece = co_await Open->readPiece();
    if (!Piece)
      co_return tl::unexpected(Piece.error());
    if (!*Piece)
      break;
    Result.Body += **Piece;
  }
  Open->finish();
  co_return Result;
}

} // namespace tamarack
