/// A fixture with an entry, three ledgers and two endpoints with scripted
/// responses.
#ifndef TAMARACK_RELAY_TEST_RELAYFIXTURE_H
#define TAMARACK_RELAY_TEST_RELAYFIXTURE_H

#include "QuorumFixture.h"

#include "tamarack/relay/Relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <set>

namespace tamarack::testing {

/// A dialect with short header names.
class TestDialect : public Dialect {
public:
  RequestMetadata readRequestMetadata(const HttpFields &Fields) const override {
    RequestMetadata Result;
    Result.RequestId = text(Fields, "Id");
    Result.Program = ProgramId(text(Fields, "Program"));
    Result.Previous = TurnId(text(Fields, "Previous"));
    if (Fields.has("Wait-Ms"))
      Result.TimeLeft =
          std::chrono::milliseconds(std::stoi(text(Fields, "Wait-Ms")));
    if (Fields.has("Budget")) {
      Result.Budget = std::stoul(text(Fields, "Budget"));
      Result.MaxTurnTokens = std::stoul(text(Fields, "Most"));
    }
    Result.ResumedTurn = TurnId(text(Fields, "Continues"));
    if (Fields.has("Last-Event"))
      Result.LastEventId = text(Fields, "Last-Event");
    Result.AccessKey = text(Fields, "Key");
    return Result;
  }
  ResponseMetadata readResponseMetadata(const HttpHead &Head) const override {
    return {text(Head.Fields, "Id"),
            Head.Fields.has("Signed"),
            Head.Fields.has("Not-Run"),
            Head.Fields.has("Content-Encoding"),
            Head.Fields.has("Leaving"),
            Head.Fields.has("Rate-Limit")
                ? std::optional(std::stod(text(Head.Fields, "Rate-Limit")))
                : std::nullopt};
  }
  void prepareAttempt(HttpFields &Fields,
                      const AttemptMetadata &Attempt) const override {
    Fields.set("To", Attempt.Endpoint.text());
    if (Attempt.Workspace) {
      Fields.erase("Key");
      Fields.set("Workspace", Attempt.Workspace->text());
    }
    Fields.set(
        "Left-Ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Attempt.TimeLeft)
                           .count()));
  }

private:
  static std::string text(const HttpFields &Fields, const char *Name) {
    const std::string *Value = Fields.find(Name);
    return Value == nullptr ? std::string() : *Value;
  }
};

/// What an endpoint sends in response to one request.
struct ScriptedResponse {
  /// The raw bytes; "{id}" is replaced by the id of the request.
  std::string Bytes;
  /// Whether the connection is closed afterwards.
  bool CloseAfter = false;
  /// The delay before the response.
  Duration Delay{0};
  /// Sent again and again after Bytes until the entry closes the connection;
  /// nothing if empty.
  std::string Endless = {};
  /// Whether the endpoint crashes afterwards: it closes the connection and its
  /// port.
  bool Crash = false;
  /// Whether the connection is reset afterwards.
  bool Reset = false;
  /// Sent after Bytes, each in a segment of its own.
  std::vector<std::string> LaterSegments = {};
  /// The pause before each of them.
  Duration SegmentInterval = std::chrono::milliseconds(3);
};

/// A complete response that is signed and names the request.
inline std::string signedResponse(const std::string &Body,
                                  const std::string &Extra = "",
                                  const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nId: {id}\r\nSigned: s\r\n" + Extra +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The head of a signed event stream.
inline std::string signedStreamHead() {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

/// One event, encoded as an HTTP chunk.
inline std::string eventChunk(int Number) {
  return encodeChunk("id: " + std::to_string(Number) + "\ndata: d" +
                     std::to_string(Number) + "\n\n");
}

/// The events \p First to \p Last of a stream that goes on.
inline std::string resumedStream(int First, int Last) {
  std::string Result = signedStreamHead();
  for (int Number = First; Number <= Last; ++Number)
    Result += eventChunk(Number);
  return Result + std::string(LastChunk);
}

/// A complete signed stream of the events 1 to \p Events.
inline std::string completeStream(int Events) {
  return resumedStream(1, Events);
}

/// A response which states that the endpoint did not run the request.
inline ScriptedResponse notRunResponse() {
  return {signedResponse("", "Not-Run: 1\r\n", "503 Service Unavailable")};
}

/// An endpoint that sends scripted responses in order and repeats the last one.
class ScriptedEndpoint {
public:
  ScriptedEndpoint(Loop &Io, int Port) : Io(Io), Port(Port) { start(); }
  ~ScriptedEndpoint() { closePort(); }

  /// Opens the port, also after a crash.
  void start() {
    Listener = std::make_shared<Tcp::acceptor>(
        *listenOn(Io, "127.0.0.1:" + std::to_string(Port)));
    spawn(Io, acceptConnections(*this, Listener));
  }
  bool isCrashed() const { return !Listener->is_open(); }
  /// Closes all connections, as an endpoint does with idle ones.
  void closeConnections() {
    ErrorCode Ignored; // A socket is closed even if this fails.
    for (Tcp::socket *Socket : *OpenSockets)
      Socket->close(Ignored);
  }

  std::deque<ScriptedResponse> Responses;
  /// The raw bytes of each request.
  std::vector<std::string> Requests;
  /// Connections that the entry closed.
  std::size_t ClosedConnections = 0;
  /// The bytes of endless responses that were sent.
  std::size_t EndlessBytesSent = 0;

private:
  using SocketSet = std::set<Tcp::socket *>;

  /// Lists a socket while its coroutine exists, which may outlive the endpoint.
  struct Listing {
    Listing(std::shared_ptr<SocketSet> In, Tcp::socket &Socket)
        : In(std::move(In)), Socket(Socket) {
      this->In->insert(&Socket);
    }
    ~Listing() { In->erase(&Socket); }
    Listing(const Listing &) = delete;
    Listing &operator=(const Listing &) = delete;

    const std::shared_ptr<SocketSet> In;
    Tcp::socket &Socket;
  };

  void closePort() {
    ErrorCode Ignored; // The acceptor is closed even if this fails.
    Listener->close(Ignored);
  }

  static Task<void> acceptConnections(ScriptedEndpoint &Self,
                                      std::shared_ptr<Tcp::acceptor> Listener) {
    std::function<void(Tcp::socket)> OnAccept = [&Self](Tcp::socket Socket) {
      spawn(Self.Io, serveConnection(Self, std::move(Socket)));
    };
    co_await acceptLoop(*Listener, std::move(OnAccept));
  }

  /// The length of the first request in \p Text; zero if its head is
  /// incomplete.
  static std::size_t requestLength(const std::string &Text) {
    const std::size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return 0;
    const std::size_t LengthField = Text.find("Content-Length: ");
    const std::size_t Body =
        LengthField == std::string::npos || LengthField > End
            ? 0
            : std::stoul(
                  Text.substr(LengthField + std::strlen("Content-Length: ")));
    return End + 4 + Body;
  }

  static Task<void> serveConnection(ScriptedEndpoint &Self,
                                    Tcp::socket Socket) {
    const Listing Listed(Self.OpenSockets, Socket);
    std::string Text;
    char Buffer[65536];
    Socket.set_option(Tcp::no_delay(true));
    while (true) {
      ErrorCode Failure;
      const std::size_t Length = requestLength(Text);
      if (Length == 0 || Text.size() < Length) {
        const std::size_t Count = co_await Socket.async_read_some(
            asio::buffer(Buffer), storeErrorIn(Failure));
        if (Failure == asio::error::operation_aborted)
          co_return;
        if (Failure) {
          ++Self.ClosedConnections;
          co_return;
        }
        Text.append(Buffer, Count);
        continue;
      }
      const std::string Request = Text.substr(0, Length);
      Text.erase(0, Length);
      Self.Requests.push_back(Request);
      const ScriptedResponse Next = Self.Responses.front();
      if (Self.Responses.size() > 1)
        Self.Responses.pop_front();
      if (Next.Delay.count() > 0) {
        co_await pause(Self.Io, Next.Delay);
      }
      const std::size_t Id = Request.find("\nId: ") + 5;
      std::string Response = Next.Bytes;
      for (std::size_t Pos = Response.find("{id}"); Pos != std::string::npos;
           Pos = Response.find("{id}"))
        Response.replace(Pos, 4,
                         Request.substr(Id, Request.find('\r', Id) - Id));
      co_await asio::async_write(Socket, asio::buffer(Response),
                                 storeErrorIn(Failure));
      for (const std::string &Segment : Next.LaterSegments) {
        if (Failure)
          break;
        co_await pause(Self.Io, Next.SegmentInterval);
        co_await asio::async_write(Socket, asio::buffer(Segment),
                                   storeErrorIn(Failure));
      }
      if (!Next.Endless.empty()) {
        co_await sendWithoutEnd(Self, Socket, Next.Endless);
      }
      if (Next.Crash)
        Self.closePort();
      if (Next.Reset) {
        // The destructor of a socket would switch this option off.
        Socket.set_option(asio::socket_base::linger(true, 0), Failure);
        Socket.close(Failure);
        co_return;
      }
      if (Next.CloseAfter || Next.Crash || !Next.Endless.empty())
        co_return;
    }
  }

  static Task<void> sendWithoutEnd(ScriptedEndpoint &Self, Tcp::socket &Socket,
                                   const std::string &Text) {
    ErrorCode Failure;
    // A small buffer, so that what is sent is about what the entry reads.
    Socket.set_option(asio::socket_base::send_buffer_size(8192), Failure);
    while (!Failure)
      Self.EndlessBytesSent += co_await asio::async_write(
          Socket, asio::buffer(Text), storeErrorIn(Failure));
    ++Self.ClosedConnections;
  }

  Loop &Io;
  const int Port;
  std::shared_ptr<Tcp::acceptor> Listener;
  const std::shared_ptr<SocketSet> OpenSockets = std::make_shared<SocketSet>();
};

constexpr int EntryPort = 19790;
constexpr int FirstEndpointPort = 19791;

/// What a caller received.
struct CallerResult {
  /// Set once the exchange has ended. The status is 0 if the response is
  /// incomplete.
  std::optional<HttpResponse> Response;
  TimePoint EndedAt;
};

struct RelayFixture : QuorumFixture {
  RelayFixture() {
    startAll();
    useCurrentView();
    for (int Number = 0; Number < 2; ++Number)
      Endpoints.push_back(
          std::make_unique<ScriptedEndpoint>(Io, FirstEndpointPort + Number));
    Routes.Version = 1;
    Routes.Routes = {route("/safe/", RequestKind::Idempotent, 2),
                     route("/once/", RequestKind::AtMostOnce, 2),
                     route("/turn/", RequestKind::Stream, 1)};
    Routes.Routes.push_back(route("/kept/", RequestKind::Stream, 1));
    Routes.Routes.back().RetainsTurns = true;
    Routes.Routes.back().Retention = 60s;
    Routes.Services = {{ServiceId("s"), 16, 10, 0}};
    RequestRelay.setCatalog(Routes);
    listEndpoints({0, 1});
    BOOST_REQUIRE(Server.listen("127.0.0.1:" + std::to_string(EntryPort)));
  }
  ~RelayFixture() { Server.close(); }

  static Route route(const std::string &Prefix, RequestKind Kind,
                     std::uint32_t Attempts) {
    Route Result;
    Result.Name = Prefix;
    Result.Host = "h";
    Result.PathPrefix = Prefix;
    Result.Kind = Kind;
    Result.MaxAttempts = Attempts;
    Result.Timeout = 2s;
    Result.Services = {{ServiceId("s"), 1}};
    return Result;
  }

  /// Lists the endpoints with these indexes, as started at \p StartedAt.
  void listEndpoints(const std::vector<int> &Numbers,
                     std::uint64_t StartedAt = 0) {
    std::vector<EndpointEntry> Entries;
    Entries.reserve(Numbers.size());
    for (const int Number : Numbers)
      Entries.push_back(
          {EndpointId("e" + std::to_string(Number)), ServiceId("s"),
           "127.0.0.1:" + std::to_string(FirstEndpointPort + Number),
           DataCentreId("a"), 16, EndpointState::Ready, StartedAt});
    RequestRelay.setEndpoints(std::move(Entries));
  }
  /// Replaces a ledger by a peer that accepts connections and never answers.
  void silence(int Number) {
    stop(Number);
    SilentPeers.push_back(std::make_unique<Tcp::acceptor>(
        *listenOn(Io, "127.0.0.1:" + std::to_string(19700 + Number))));
  }
  /// Sets the responses of all endpoints.
  void setResponses(std::deque<ScriptedResponse> Responses) {
    for (auto &Endpoint : Endpoints)
      Endpoint->Responses = Responses;
  }
  /// The number of requests that the endpoints received.
  std::size_t requestCount() const {
    std::size_t Count = 0;
    for (const auto &Endpoint : Endpoints)
      Count += Endpoint->Requests.size();
    return Count;
  }
  /// The latest request of the first endpoint that received any.
  const std::string &lastRequest() const {
    for (const auto &Endpoint : Endpoints)
      if (!Endpoint->Requests.empty())
        return Endpoint->Requests.back();
    throw std::logic_error("no endpoint received a request");
  }

  /// Sends a request as a caller. The status is 0 if the response is
  /// incomplete.
  HttpResponse sendRequest(const std::string &Target,
                           std::vector<HttpField> Fields,
                           const std::string &Body = "") {
    HttpRequest Request{Body.empty() ? "GET" : "POST", Target, {}, Body};
    Request.Fields.All = std::move(Fields);
    const Expected<HttpResponse> Response =
        await(fetchFromHost("h", std::move(Request)));
    return Response ? *Response : HttpResponse{};
  }
  Task<Expected<HttpResponse>> fetchFromHost(std::string Host,
                                             HttpRequest Request) {
    Request.Fields.set("Host", Host);
    Request.Fields.set("Content-Length", std::to_string(Request.Body.size()));
    auto Call = co_await HttpCall::open(CallerPool, EntryAddress);
    if (!Call)
      co_return tl::unexpected(Call.error());
    (*Call)->send(encodeRequest(Request));
    Expected<HttpHead> Head = co_await (*Call)->readHead();
    if (!Head)
      co_return tl::unexpected(Head.error());
    HttpResponse Result{std::move(*Head), {}};
    while (true) {
      Expected<std::optional<std::string>> Piece =
          co_await (*Call)->readPiece();
      if (!Piece)
        co_return tl::unexpected(Piece.error());
      if (!*Piece)
        co_return Result;
      Result.Body += **Piece;
    }
  }
  /// Sends a request as a caller that goes on while the test does.
  void startRequest(const std::string &Target, std::vector<HttpField> Fields) {
    HttpRequest Request{"POST", Target, {}, "body"};
    Request.Fields.All = std::move(Fields);
    Results.push_back(std::make_shared<CallerResult>());
    asio::co_spawn(Io, fetchFromHost("h", std::move(Request)),
                   [Result = Results.back()](const std::exception_ptr &,
                                             Expected<HttpResponse> Response) {
                     Result->Response =
                         Response ? std::move(*Response) : HttpResponse{};
                     Result->EndedAt = steadyNow();
                   });
  }
  void untilAnswered() {
    for (const auto &Result : Results)
      until([&] { return Result->Response.has_value(); });
  }
  /// Sends a turn of the program "p" with at most 100 tokens.
  HttpResponse sendTurn(const std::string &Id, const std::string &Budget,
                        const std::string &Previous = "",
                        const std::string &Target = "/turn/x") {
    std::vector<HttpField> Fields = {
        {"Id", Id}, {"Program", "p"}, {"Budget", Budget}, {"Most", "100"}};
    if (!Previous.empty())
      Fields.push_back({"Previous", Previous});
    return sendRequest(Target, std::move(Fields), "in " + Id + ";");
  }
  /// The settled and reserved tokens of a program according to the ledgers.
  TokenCount tokensDrawnBy(const std::string &Program) {
    const auto State = storeRecord(
        {ProgramId(Program), TurnId("probe"), {0, false}, nullptr, {}});
    return State ? committedTokens(State->Charges) : TokenCount(-1);
  }

  RelayOptions options() {
    RelayOptions Result;
    Result.ProcessId = "entry";
    Result.CrashExchangeInterval = 50ms;
    Result.Configuration = {
        [this] { return MeasureCatalogAge ? MeasureCatalogAge() : CatalogAge; },
        2500ms, [this](TimePoint) { return confirmCatalog(); }};
    Result.ListEndpoints = [this](TimePoint) { return listFromStore(); };
    return Result;
  }

  Task<void> confirmCatalog() {
    ++CatalogConfirmations;
    if (OnConfirmCatalog)
      OnConfirmCatalog();
    if (StoreDelay > Duration(0)) {
      co_await pause(Io, StoreDelay);
    }
  }

  Task<void> listFromStore() {
    ++EndpointListings;
    if (OnListEndpoints)
      OnListEndpoints();
    if (StoreDelay > Duration(0)) {
      co_await pause(Io, StoreDelay);
    }
  }

  std::function<void()> OnListEndpoints;
  int EndpointListings = 0;
  /// How long the store takes to answer.
  Duration StoreDelay{0};
  /// How old the configuration is; empty if it was never confirmed.
  std::optional<Duration> CatalogAge = Duration(0);
  /// Set if the age changes during a request.
  std::function<std::optional<Duration>()> MeasureCatalogAge;
  /// The entry that callers use.
  std::string EntryAddress = "127.0.0.1:" + std::to_string(EntryPort);
  std::function<void()> OnConfirmCatalog;
  int CatalogConfirmations = 0;
  /// Of the requests that startRequest() sent.
  std::vector<std::shared_ptr<CallerResult>> Results;
  TestDialect Wire;
  ConnectionPool Pool{Io, {}};
  ConnectionPool CallerPool{Io, {}};
  RelayMetrics Metrics;
  Catalog Routes;
  std::vector<std::unique_ptr<ScriptedEndpoint>> Endpoints;
  std::vector<std::unique_ptr<Tcp::acceptor>> SilentPeers;
  Relay RequestRelay{Io, options(), Wire, Client, Pool, Metrics};
  HttpServer Server{
      Io, {}, [this](HttpExchange &Call) { return RequestRelay.serve(Call); }};
};

} // namespace tamarack::testing

#endif // TAMARACK_RELAY_TEST_RELAYFIXTURE_H
