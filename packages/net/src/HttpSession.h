/// A connection of an HttpServer, and the state that its connections share.
#ifndef TAMARACK_NET_HTTPSESSION_H
#define TAMARACK_NET_HTTPSESSION_H

#include "PieceBody.h"

#include "tamarack/net/HttpServer.h"

#include <array>
#include <list>
#include <optional>
#include <unordered_set>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace tamarack {

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, HttpServerLimits Limits, Handler Handle,
       std::shared_ptr<MemoryAccount> Memory)
      : Io(Io), Limits(Limits), Handle(std::move(Handle)),
        Memory(std::move(Memory)), Ended(Io) {}

  void accepted(Tcp::socket Socket);
  Task<void> sweepPeriodically();
  /// Closes the oldest lingering connections if there are too many.
  void limitLingering();
  HttpServerLoad load();
  /// Accepts what waits in the listen queue. Closes the listener if this
  /// empties the queue.
  void closeListener();
  /// Closes all connections.
  void close();

  Loop &Io;
  HttpServerLimits Limits;
  const Handler Handle;
  const std::shared_ptr<MemoryAccount> Memory;
  std::optional<Tcp::acceptor> Listener;
  std::unordered_set<internal::HttpSession *> Sessions;
  /// Whether acceptLoop() runs.
  bool Accepting = false;
  bool Draining = false;
  bool Closing = false;
  bool Closed = false;
  /// Raised when a connection or the accept loop has ended.
  Signal Ended;
  HttpServerCounts Counts;
  /// The lingering connections, the oldest first.
  std::list<internal::HttpSession *> Lingering;
  /// Where lingering connections read to; nobody looks at it.
  std::array<char, 16U << 10U> Discarded{};
};

namespace internal {

enum class SessionPhase {
  /// Waits for the first byte of a request.
  Idle,
  /// Reads a request.
  Reading,
  /// Runs the handler or refuses the request.
  Answering,
  /// Has ended its own direction, and reads until the caller closes.
  Lingering,
};

enum class ReadOutcome {
  Complete,
  /// The request was refused; more of it may arrive.
  Refused,
  /// The caller has disconnected, or the connection was closed.
  Disconnected,
};

/// One connection of a caller.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(std::shared_ptr<HttpServer::Impl> Server, Tcp::socket Socket);

  Task<void> run();
  /// Closes the connection if its timeout has passed at \p Now and its pending
  /// read or write cannot continue. \p Stalled is for how long the loop did not
  /// run since the last call.
  void sweep(TimePoint Now, Duration Stalled);
  void closeIdleAt(TimePoint Time) {
    if (Phase == SessionPhase::Idle)
      Deadline = std::min(Deadline, Time);
  }
  /// Keeps an idle connection for as long as the new limits of the server
  /// allow, if they allow more.
  void limitsChanged();
  /// Closes the connection if the server, which is closing, need not wait for
  /// a request, and limits the time for which it lingers.
  void closeIfIdle(TimePoint Now);
  /// Counts the connection in \p Load.
  void addTo(HttpServerLoad &Load);

  void closeAfterResponse() { CloseRequested = true; }
  Task<bool> answer(HttpResponse Response);
  void begin(HttpHead Head);
  Task<bool> sendChunk(std::string_view Data);
  Task<bool> end();
  void abort();
  bool isCallerKnownToRead();
  /// Closes the connection without waiting for the caller.
  void close();

  HttpRequest Request;
  TimePoint RequestReadAt;
  bool ResponseStarted = false;
  bool CallerDisconnected = false;
  std::function<void()> DisconnectCallback;
  /// When a FIN of the caller was seen behind its last request.
  std::optional<TimePoint> CallerEndedSendingAt;
  std::function<void()> EndOfSendingCallback;

private:
  using Parser = boost::beast::http::request_parser<PieceBody>;

  Task<ReadOutcome> readRequest();
  /// Reads the rest of the head.
  Task<void> readHead(Parser &Reader, ErrorCode &Failure);
  /// Reads the rest of the body into \p Body. Sets OutOfMemory and stops if
  /// too little memory is left.
  Task<void> readBody(Parser &Reader, std::string &Body, ErrorCode &Failure);
  /// Lets the read buffer become larger if \p Failure says that it is full and
  /// its limit allows. Returns false if the read cannot go on.
  bool growBuffer(ErrorCode &Failure, std::size_t BodyBytes);
  /// The status of the refusal of a request that could not be read.
  int refusalStatus(const ErrorCode &Failure, const Parser &Reader) const;
  Task<void> refuseRequest(int Status);
  Task<void> handleRequest();
  /// Reads and discards what arrives until the caller closes the connection.
  /// \p HoldsRequests says whether these bytes are requests.
  Task<void> linger(bool HoldsRequests);
  /// Ends the server's direction of the connection, once.
  ErrorCode endSending();
  /// Waits until the caller sends more, ends its sending side or disconnects.
  void watchCaller();
  /// Waits until a caller that has ended its sending side disconnects.
  void watchForDisconnect();
  void handleEndOfSending();
  void handleDisconnect();
  bool canContinue();
  /// Number of received bytes that wait in the kernel.
  std::size_t unreadBytes();
  TimePoint idleDeadline(TimePoint Now) const;
  /// Extends the time of a write if the caller has received something of it
  /// since the last call.
  void extendIfCallerReads(TimePoint Now);
  /// Whether bytes of a request have arrived that is not read yet.
  bool hasUnread();
  /// Whether the response whose head is written now is to end the connection.
  bool isLastResponse();
  /// Returns isLastResponse() as it was no longer than MaxDecisionAge ago.
  bool decideWhetherLast();
  /// Writes the pending head, if there is one, and \p Text.
  Task<bool> write(std::string Text);

  std::shared_ptr<HttpServer::Impl> Server;
  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// What the read buffer and the body of the request take.
  MemoryShare Memory;
  /// Whether the request cannot be read because too little memory is left.
  bool OutOfMemory = false;
  /// When sweep() may close the connection.
  TimePoint Deadline = TimePoint::max();
  SessionPhase Phase = SessionPhase::Idle;
  TimePoint IdleSince;
  bool Writing = false;
  /// Sent bytes that the caller had not received at the last check.
  int QueuedBytes = 0;
  bool HasCarriedRequest = false;
  /// Whether the caller wants to go on after the current request, and whether
  /// the connection does.
  bool CallerKeepsAlive = true;
  bool KeepAlive = true;
  bool CloseRequested = false;
  bool ResponseSent = false;
  bool Aborted = false;
  bool SendingEnded = false;
  bool Watching = false;
  /// What the caller had acknowledged when it ended its sending side; nothing
  /// if the kernel does not say.
  std::optional<std::uint64_t> AcknowledgedAtEndOfSending;
  /// Whether the caller has sent a request before the previous answer.
  bool Pipelines = false;
  /// The head of the response without its end, until it is written.
  std::string PendingHead;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_NET_HTTPSESSION_H
