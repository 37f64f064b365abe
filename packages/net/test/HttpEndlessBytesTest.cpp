/// Callers and servers that send parts of a message without end.
#include "HttpServerFixture.h"

#include "tamarack/net/HttpCall.h"

#include <boost/asio/write.hpp>

using namespace tamarack;
using namespace tamarack::testing;

namespace {

constexpr std::size_t PieceBytes = 16U << 10U;
/// What may be sent before the other side gives up. The kernel takes some of it
/// before the process sees any.
constexpr std::size_t MaxSentBytes = 8U << 20U;
constexpr const char *PeerAddress = "127.0.0.1:19885";
const std::string ChunkedRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string ChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A piece of a chunk's extension.
std::string extensionPiece() { return std::string(PieceBytes, 'x'); }

/// Some trailer fields.
std::string trailerPiece() {
  std::string Result;
  while (Result.size() < PieceBytes)
    Result += "x-trailer: " + std::string(115, 'y') + "\r\n";
  return Result;
}

struct EndlessRequest : HttpServerFixture {
  /// Sends \p Begin, and \p Piece until the server answers. Returns what the
  /// server sent.
  std::string sendUntilAnswered(const std::string &Begin,
                                const std::string &Piece) {
    RawClient Client(ServerPort);
    Client.sendAll(Begin);
    for (std::size_t Sent = 0;
         Sent < MaxSentBytes && Client.receive().empty() && !Client.isReset();
         Sent += Piece.size() + 1) {
      Client.sendAll(Piece);
      Io.run_for(std::chrono::microseconds(100));
    }
    return Client.receive();
  }
};

/// A server that sends without end, and a call to it.
struct EndlessResponse {
  /// Reads a response that begins with \p Begin and goes on with \p Piece again
  /// and again. Returns whether the call fails before MaxSentBytes are sent.
  bool failsWhileReading(const std::string &Begin, const std::string &Piece) {
    spawn(Io, readResponse(*this));
    while (!IsOpen)
      Io.run_for(std::chrono::milliseconds(1));
    Tcp::socket Server = Listener.accept();
    Server.non_blocking(true);
    ErrorCode Failure;
    std::string Unsent = Begin;
    for (std::size_t Sent = 0; Sent < MaxSentBytes && !HasFailed;) {
      const std::size_t Count =
          Server.write_some(asio::buffer(Unsent), Failure);
      Sent += Count;
      Unsent.erase(0, Count);
      if (Unsent.empty())
        Unsent = Piece;
      Io.run_for(std::chrono::milliseconds(1));
    }
    return HasFailed;
  }

  static Task<void> readResponse(EndlessResponse &Self) {
    auto Call = co_await HttpCall::open(Self.Pool, PeerAddress);
    BOOST_REQUIRE(Call.has_value());
    Self.IsOpen = true;
    (*Call)->send(GetRequest);
    const Expected<HttpHead> Head = co_await (*Call)->readHead();
    Expected<std::optional<std::string>> Piece = std::optional<std::string>();
    if (Head) {
      Piece = co_await (*Call)->readPiece();
    }
    while (Head && Piece && *Piece) {
      Piece = co_await (*Call)->readPiece();
    }
    Self.HasFailed = !Head || !Piece;
  }

  Loop Io{1};
  ConnectionPool Pool{Io, {}};
  Tcp::acceptor Listener = *listenOn(Io, PeerAddress);
  bool IsOpen = false;
  bool HasFailed = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BytesWithoutEnd)

/// Guards against a read buffer that grows until the memory is used up.
BOOST_AUTO_TEST_SUITE(OfACaller)

BOOST_FIXTURE_TEST_CASE(AreRefusedInTheExtensionOfAChunk, EndlessRequest) {
  const std::string Answer =
      sendUntilAnswered(ChunkedRequest + "5;a=", extensionPiece());
  BOOST_TEST(Answer.rfind("HTTP/1.1 431", 0) == 0U);
}

BOOST_FIXTURE_TEST_CASE(AreRefusedInTrailerFields, EndlessRequest) {
  const std::string Answer =
      sendUntilAnswered(ChunkedRequest + "0\r\n", trailerPiece());
  BOOST_TEST(Answer.rfind("HTTP/1.1 431", 0) == 0U);
}

// Guards against short fields, which take many times their bytes.
BOOST_FIXTURE_TEST_CASE(AreRefusedInManyShortFields, EndlessRequest) {
  std::string Fields;
  for (int Count = 0; Count < 1000; ++Count)
    Fields += "a:\r\n";
  const std::string Answer =
      sendUntilAnswered("GET / HTTP/1.1\r\n" + Fields + "\r\n", {});
  BOOST_TEST(Answer.rfind("HTTP/1.1 431", 0) == 0U);
  BOOST_TEST(Started == 0);
}

BOOST_FIXTURE_TEST_CASE(DoNotHarmOtherCallers, EndlessRequest) {
  sendUntilAnswered(ChunkedRequest + "5;a=", extensionPiece());
  RawClient Client(ServerPort);
  Client.sendAll(ChunkedRequest + "4;a=b\r\nbody\r\n0\r\nx-trailer: y\r\n\r\n");
  BOOST_TEST(runUntil([&] { return isAnswered(Client, 1); }));
  BOOST_TEST(countResponses(Client.receive()) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against the same for the responses of servers.
BOOST_AUTO_TEST_SUITE(OfAServer)

BOOST_FIXTURE_TEST_CASE(EndTheCallInTheExtensionOfAChunk, EndlessResponse) {
  BOOST_TEST(failsWhileReading(ChunkedResponse + "5;a=", extensionPiece()));
}

BOOST_FIXTURE_TEST_CASE(EndTheCallInTrailerFields, EndlessResponse) {
  BOOST_TEST(failsWhileReading(ChunkedResponse + "0\r\n", trailerPiece()));
}

BOOST_FIXTURE_TEST_CASE(EndTheCallInManyShortFields, EndlessResponse) {
  std::string Fields;
  for (int Count = 0; Count < 1000; ++Count)
    Fields += "a:\r\n";
  BOOST_TEST(failsWhileReading("HTTP/1.1 200 OK\r\n" + Fields +
                                   "Content-Length: 5\r\n\r\n",
                               extensionPiece().substr(0, 1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
