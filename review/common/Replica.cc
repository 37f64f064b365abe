#include "Replica.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarack::review {

namespace http = boost::beast::http;

Task<bool> ReplicaConnection::write(std::string Text) {
  ErrorCode Failure;
  co_await asio::async_write(Socket, asio::buffer(Text), storeErrorIn(Failure));
  co_return !Failure;
}

void ReplicaConnection::close(bool Reset) {
  ErrorCode Ignored; // The socket is closed even if this fails.
  if (Reset)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

Replica::Replica(World &Deployment, Options Config, Handler Handle)
    : Deployment(Deployment), Config(std::move(Config)),
      Handle(std::move(Handle)) {}

std::map<std::string, unsigned> &Replica::runs() {
  static std::map<std::string, unsigned> Result;
  return Result;
}

std::map<std::string, std::string> &Replica::bodies() {
  static std::map<std::string, std::string> Result;
  return Result;
}

bool Replica::start(const std::string &NewVersion) {
  if (!startUnregistered(NewVersion))
    return false;
  publish("ready");
  return true;
}

bool Replica::startUnregistered(const std::string &NewVersion) {
  Expected<Tcp::acceptor> Opened = listenOn(Deployment.loop(), Config.Address);
  if (!Opened)
    return false;
  Version = NewVersion;
  Sequence = 0;
  Born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  ++Generation;
  Listener = std::make_shared<Tcp::acceptor>(std::move(*Opened));
  spawn(Deployment.loop(),
        [](Replica &Self, std::shared_ptr<Tcp::acceptor> Port,
           unsigned Number) -> Task<void> {
          std::function<void(Tcp::socket)> Accepted =
              [&Self, Number](Tcp::socket Socket) {
                const auto Link =
                    std::make_shared<ReplicaConnection>(std::move(Socket));
                Self.Connections.insert(Link);
                spawn(Self.Deployment.loop(), Self.serve(Link, Number));
              };
          co_await acceptLoop(*Port, std::move(Accepted));
        }(*this, Listener, Generation));
  Deployment.record().line("replica " + Config.Id + " starts at version " +
                           Version);
  return true;
}

void Replica::publish(const std::string &State) {
  Deployment.store().put("servers/" + Config.Id,
                         Json{{"service", Config.Service},
                              {"address", Config.Address},
                              {"zone", Config.Zone},
                              {"version", Version},
                              {"slots", Config.Slots},
                              {"state", State},
                              {"cold_remaining_ms", 0},
                              {"sequence", ++Sequence},
                              {"born", Born}}
                             .dump());
}

void Replica::unregister() {
  Deployment.store().remove("servers/" + Config.Id);
  Deployment.record().line("replica " + Config.Id +
                           " is removed from the store");
}

void Replica::stop() {
  if (!Listener)
    return;
  ErrorCode Ignored; // The port is closed even if this fails.
  Listener->close(Ignored);
  Listener.reset();
  ++Generation;
  for (const Connection &Link : std::exchange(Connections, {}))
    Link->close(/*Reset=*/true);
  Deployment.record().line("replica " + Config.Id + " ends");
}

std::string Replica::requestId(const HttpRequest &Request) {
  const std::string *Value = Request.Fields.find("X-Request-Id");
  return Value == nullptr ? std::string() : *Value;
}

void Replica::recordRun(const HttpRequest &Request) {
  const std::string Id = requestId(Request);
  ++runs()[Id];
  bodies()[Id] = Request.Body;
  Deployment.record().line("run " + Id + " at " + Config.Id + " " +
                           Request.Method + " " + Request.Target +
                           " time=" + std::to_string(runs()[Id]));
}

HttpHead Replica::signedHead(int Status, const HttpRequest &Request) const {
  HttpHead Result{Status, {}};
  Result.Fields.add("X-Request-Id", requestId(Request));
  Result.Fields.add("X-Server-Signature", "sig." + requestId(Request));
  Result.Fields.add("Keep-Alive", "timeout=15");
  return Result;
}

Task<void> Replica::serve(Connection Link, unsigned Number) {
  bool Keep = true;
  while (Keep && Number == Generation) {
    http::request_parser<http::string_body> Reader;
    Reader.body_limit(64U << 20U);
    ErrorCode Failure;
    co_await http::async_read(Link->Socket, Link->Buffer, Reader,
                              storeErrorIn(Failure));
    if (Failure || Number != Generation)
      break;
    ++Link->Requests;
    const auto Message = Reader.release();
    HttpRequest Request{
        {Message.method_string().data(), Message.method_string().size()},
        {Message.target().data(), Message.target().size()},
        {},
        Message.body()};
    for (const auto &Field : Message)
      Request.Fields.add(
          {Field.name_string().data(), Field.name_string().size()},
          {Field.value().data(), Field.value().size()});
    const std::string *Expected = Request.Fields.find("X-Expect-Instance");
    if (Expected != nullptr && *Expected != Config.Id) {
      HttpHead Head{421, {}};
      Head.Fields.add("X-Instance-Id", Config.Id);
      Head.Fields.add("Content-Length", "0");
      std::string Text = encodeHead(Head);
      Keep = co_await Link->write(std::move(Text));
      continue;
    }
    Keep = co_await Handle(*this, Link, std::move(Request));
  }
  Link->close(/*Reset=*/false);
  Connections.erase(Link);
}

Task<bool> answerPlain(Replica &Self, Replica::Connection Link,
                       HttpRequest Request, Duration Work) {
  Self.recordRun(Request);
  co_await pause(Self.world().loop(), Work);
  const std::string Body = "done " + Replica::requestId(Request) + "\n";
  HttpHead Head = Self.signedHead(200, Request);
  Head.Fields.add("Content-Length", std::to_string(Body.size()));
  std::string Text = encodeHead(Head) + Body;
  co_return co_await Link->write(std::move(Text));
}

Task<bool> answerStream(Replica &Self, Replica::Connection Link,
                        HttpRequest Request, unsigned Events, Duration Gap) {
  Self.recordRun(Request);
  const std::string Version = Self.version();
  HttpHead Head = Self.signedHead(200, Request);
  Head.Fields.add("Content-Type", "text/event-stream");
  Head.Fields.add("Transfer-Encoding", "chunked");
  std::string Pending = encodeHead(Head);
  const std::string *Last = Request.Fields.find("Last-Event-Id");
  const unsigned Sent =
      Last == nullptr ? 0 : static_cast<unsigned>(std::stoul(*Last));
  for (unsigned Number = Sent + 1; Number <= Events; ++Number) {
    co_await pause(Self.world().loop(), Gap);
    const std::string Event = "id: " + std::to_string(Number) +
                              "\ndata: " + Replica::requestId(Request) + "." +
                              std::to_string(Number) + "@" + Version + "\n\n";
    std::string Text = std::exchange(Pending, {}) + encodeChunk(Event);
    const bool Open = co_await Link->write(std::move(Text));
    if (!Open)
      co_return false;
  }
  std::string Text = std::exchange(Pending, {}) + std::string(LastChunk);
  co_return co_await Link->write(std::move(Text));
}

} // namespace tamarack::review
