/// An entry over three ledgers, with endpoints whose answers a test writes.
#ifndef TAMARACK_RELAY_TEST_RELAYWORLD_H
#define TAMARACK_RELAY_TEST_RELAYWORLD_H

#include "QuorumWorld.h"

#include "tamarack/relay/Relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <deque>

namespace tamarack::testing {

/// A wire with short header names.
class TestDialect : public Dialect {
public:
  RequestFacts readRequest(const HttpFields &Fields) const override {
    RequestFacts Result;
    Result.RequestId = text(Fields, "Id");
    Result.Program = ProgramId(text(Fields, "Program"));
    Result.Previous = TurnId(text(Fields, "Previous"));
    if (Fields.has("Wait-Ms"))
      Result.TimeLeft =
          std::chrono::milliseconds(std::stoi(text(Fields, "Wait-Ms")));
    if (Fields.has("Budget")) {
      Result.Budget = std::stoul(text(Fields, "Budget"));
      Result.MostTokens = std::stoul(text(Fields, "Most"));
    }
    return Result;
  }
  AnswerFacts readAnswer(const HttpHead &Head) const override {
    return {text(Head.Fields, "Id"), Head.Fields.has("Signed"),
            Head.Fields.has("Not-Run"), Head.Fields.has("Content-Encoding")};
  }
  void prepareAttempt(HttpFields &Fields, const EndpointId &Endpoint,
                      Duration TimeLeft) const override {
    Fields.set("To", Endpoint.text());
    Fields.set(
        "Left-Ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft)
                .count()));
  }

private:
  static std::string text(const HttpFields &Fields, const char *Name) {
    const std::string *Value = Fields.find(Name);
    return Value == nullptr ? std::string() : *Value;
  }
};

/// What an endpoint does with one request.
struct Step {
  /// Sent as it is; "{id}" becomes the request's id.
  std::string Bytes;
  bool CloseAfter = false;
  Duration Wait{0};
};

inline std::string whole(const std::string &Body, const std::string &Extra = "",
                         const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nId: {id}\r\nSigned: s\r\n" + Extra +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

inline std::string event(int Number) {
  return encodeChunk("id: " + std::to_string(Number) + "\ndata: d" +
                     std::to_string(Number) + "\n\n");
}

inline std::string stream(int Events) {
  std::string Result = streamHead();
  for (int Number = 1; Number <= Events; ++Number)
    Result += event(Number);
  return Result + std::string(LastChunk);
}

inline Step notRun() {
  return {whole("", "Not-Run: 1\r\n", "503 Service Unavailable")};
}

/// An endpoint that plays its steps in order, the last one again and again.
class ScriptedEndpoint {
public:
  ScriptedEndpoint(Loop &Io, int Port) : Io(Io) {
    Listener = *listenOn(Io, "127.0.0.1:" + std::to_string(Port));
    spawn(Io, accept(*this));
  }
  ~ScriptedEndpoint() {
    ErrorCode Ignored; // It is closed either way.
    Listener->close(Ignored);
  }

  std::deque<Step> Steps;
  /// Each request as it came.
  std::vector<std::string> Requests;
  std::size_t Closed = 0;

private:
  static Task<void> accept(ScriptedEndpoint &Self) {
    std::function<void(Tcp::socket)> Accepted = [&Self](Tcp::socket Socket) {
      spawn(Self.Io, talk(Self, std::move(Socket)));
    };
    co_await acceptLoop(*Self.Listener, std::move(Accepted));
  }

  static std::size_t lengthOf(const std::string &Text) {
    const std::size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return 0;
    const std::size_t Place = Text.find("Content-Length: ");
    const std::size_t Body =
        Place == std::string::npos || Place > End
            ? 0
            : std::stoul(Text.substr(Place + std::strlen("Content-Length: ")));
    return End + 4 + Body;
  }

  static Task<void> talk(ScriptedEndpoint &Self, Tcp::socket Socket) {
    std::string Text;
    char Buffer[65536];
    while (true) {
      ErrorCode Failure;
      const std::size_t Length = lengthOf(Text);
      if (Length == 0 || Text.size() < Length) {
        const std::size_t Count = co_await Socket.async_read_some(
            asio::buffer(Buffer), storeErrorIn(Failure));
        if (Failure) {
          ++Self.Closed;
          co_return;
        }
        Text.append(Buffer, Count);
        continue;
      }
      const std::string Request = Text.substr(0, Length);
      Text.erase(0, Length);
      Self.Requests.push_back(Request);
      const Step Next = Self.Steps.front();
      if (Self.Steps.size() > 1)
        Self.Steps.pop_front();
      if (Next.Wait.count() > 0) {
        co_await pause(Self.Io, Next.Wait);
      }
      const std::size_t Id = Request.find("\nId: ") + 5;
      std::string Answer = Next.Bytes;
      for (std::size_t At = Answer.find("{id}"); At != std::string::npos;
           At = Answer.find("{id}"))
        Answer.replace(At, 4, Request.substr(Id, Request.find('\r', Id) - Id));
      co_await asio::async_write(Socket, asio::buffer(Answer),
                                 storeErrorIn(Failure));
      if (Next.CloseAfter)
        co_return;
    }
  }

  Loop &Io;
  std::optional<Tcp::acceptor> Listener;
};

constexpr int EntryPort = 19790;
constexpr int FirstEndpointPort = 19791;

struct RelayWorld : Quorum {
  RelayWorld() {
    startAll();
    useCurrentView();
    for (int Number = 0; Number < 2; ++Number)
      Endpoints.push_back(
          std::make_unique<ScriptedEndpoint>(Io, FirstEndpointPort + Number));
    Catalog Routes;
    Routes.Version = 1;
    Routes.Routes = {route("/safe/", RequestKind::Idempotent, 2),
                     route("/once/", RequestKind::AtMostOnce, 2),
                     route("/turn/", RequestKind::Stream, 1)};
    Routes.Routes.push_back(route("/kept/", RequestKind::Stream, 1));
    Routes.Routes.back().KeepsTurns = true;
    Routes.Routes.back().Retention = 60s;
    Routes.Services = {{ServiceId("s"), 16, 10, 0}};
    Requests.setCatalog(Routes);
    listEndpoints({0, 1});
    BOOST_REQUIRE(Server.listen("127.0.0.1:" + std::to_string(EntryPort)));
  }
  ~RelayWorld() { Server.close(); }

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

  void listEndpoints(const std::vector<int> &Numbers) {
    std::vector<EndpointEntry> Entries;
    Entries.reserve(Numbers.size());
    for (const int Number : Numbers)
      Entries.push_back(
          {EndpointId("e" + std::to_string(Number)), ServiceId("s"),
           "127.0.0.1:" + std::to_string(FirstEndpointPort + Number),
           DataCentreId("a"), 16, EndpointState::Ready, 0});
    Requests.setEndpoints(std::move(Entries));
  }
  void script(std::deque<Step> Steps) {
    for (auto &Endpoint : Endpoints)
      Endpoint->Steps = Steps;
  }
  std::size_t runs() const {
    std::size_t Count = 0;
    for (const auto &Endpoint : Endpoints)
      Count += Endpoint->Requests.size();
    return Count;
  }
  const std::string &lastRequest() const {
    for (const auto &Endpoint : Endpoints)
      if (!Endpoint->Requests.empty())
        return Endpoint->Requests.back();
    throw std::logic_error("no endpoint was asked");
  }

  /// Sends a request as a caller; the answer's status is 0 where it broke off.
  HttpResponse ask(const std::string &Target, std::vector<HttpField> Fields,
                   const std::string &Body = "") {
    HttpRequest Request{Body.empty() ? "GET" : "POST", Target, {}, Body};
    Request.Fields.All = std::move(Fields);
    const Expected<HttpResponse> Answer =
        await(fetchAs("h", std::move(Request)));
    return Answer ? *Answer : HttpResponse{};
  }
  Task<Expected<HttpResponse>> fetchAs(std::string Host, HttpRequest Request) {
    Request.Fields.set("Host", Host);
    Request.Fields.set("Content-Length", std::to_string(Request.Body.size()));
    auto Call = co_await HttpCall::open(Callers, "127.0.0.1:" +
                                                     std::to_string(EntryPort));
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
  HttpResponse turn(const std::string &Id, const std::string &Budget,
                    const std::string &Previous = "",
                    const std::string &Target = "/turn/x") {
    std::vector<HttpField> Fields = {
        {"Id", Id}, {"Program", "p"}, {"Budget", Budget}, {"Most", "100"}};
    if (!Previous.empty())
      Fields.push_back({"Previous", Previous});
    return ask(Target, std::move(Fields), "in " + Id + ";");
  }
  TokenCount drawnBy(const std::string &Program) {
    const auto Known =
        keep({ProgramId(Program), TurnId("probe"), {0, false}, nullptr, {}});
    return Known ? drawn(Known->Charges) : TokenCount(-1);
  }

  TestDialect Wire;
  ConnectionPool Pool{Io, {}};
  ConnectionPool Callers{Io, {}};
  RelayMetrics Metrics;
  std::vector<std::unique_ptr<ScriptedEndpoint>> Endpoints;
  Relay Requests{Io, {}, Wire, Client, Pool, Metrics};
  HttpServer Server{
      Io, {}, [this](HttpExchange &Call) { return Requests.serve(Call); }};
};

} // namespace tamarack::testing

#endif // TAMARACK_RELAY_TEST_RELAYWORLD_H
