#include "LinkFrame.h"

#include <map>

namespace tamarack {

using internal::LinkConnection;
using internal::LinkFrame;

struct LinkServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, Handler Handle)
      : Io(Io), Handle(std::move(Handle)), Ended(Io) {}

  Loop &Io;
  const Handler Handle;
  std::optional<Tcp::acceptor> Listener;
  /// The number of calls that are handled and not answered, by connection.
  std::map<std::shared_ptr<LinkConnection>, std::size_t> Connections;
  /// Set by endLinks(), after which calls are discarded and counted.
  bool Ending = false;
  std::size_t DiscardedCalls = 0;
  /// Raised when a connection has ended.
  Signal Ended;

  void accepted(Tcp::socket Socket) {
    if (Ending)
      return;
    const auto Connection =
        std::make_shared<LinkConnection>(Io, std::move(Socket));
    Connections.emplace(Connection, 0);
    const std::weak_ptr<Impl> Weak = weak_from_this();
    const std::weak_ptr<LinkConnection> Peer = Connection;
    Connection->start(
        [Weak, Peer](LinkFrame Frame) {
          if (const auto Self = Weak.lock())
            Self->received(Peer, std::move(Frame));
        },
        [Weak, Peer] {
          if (const auto Self = Weak.lock()) {
            Self->Connections.erase(Peer.lock());
            Self->Ended.raise();
          }
        });
  }

  void answered(const std::shared_ptr<LinkConnection> &Connection);

  void received(const std::weak_ptr<LinkConnection> &Peer, LinkFrame Frame) {
    if (Ending) {
      ++DiscardedCalls;
      return;
    }
    if (const auto Found = Connections.find(Peer.lock());
        Found != Connections.end())
      ++Found->second;
    const std::uint64_t Exchange = Frame.Exchange;
    const Reply Answer = [Weak = weak_from_this(), Peer,
                          Exchange](const Expected<Json> &Result) {
      const auto Connection = Peer.lock();
      if (!Connection)
        return;
      const LinkBody Body = encodeBody(Result ? *Result : Json(Result.error()));
      Connection->send(internal::encodeLinkFrame(
          Exchange, Result ? "" : internal::ErrorStatus, *Body));
      if (const auto Self = Weak.lock())
        Self->answered(Connection);
    };
    Expected<Json> Body = internal::decodeBody(Frame.Body);
    if (!Body) {
      Answer(std::move(Body));
      return;
    }
    try {
      Handle(Frame.Name, std::move(*Body), Answer);
    } catch (const Json::exception &Thrown) {
      Answer(refuse(ErrorKind::MalformedRequest, Thrown.what()));
    }
  }
};

void LinkServer::Impl::answered(
    const std::shared_ptr<LinkConnection> &Connection) {
  const auto Found = Connections.find(Connection);
  if (Found == Connections.end() || Found->second == 0)
    return;
  if (--Found->second == 0 && Ending)
    Connection->endOutput();
}

LinkServer::LinkServer(Loop &Io, Handler Handle)
    : Inner(std::make_shared<Impl>(Io, std::move(Handle))) {}

LinkServer::~LinkServer() { close(); }

Expected<void> LinkServer::listen(const std::string &Address) {
  Expected<Tcp::acceptor> Listener = listenOn(Inner->Io, Address);
  if (!Listener)
    return tl::unexpected(Listener.error());
  Inner->Listener = std::move(*Listener);
  const std::weak_ptr<Impl> Weak = Inner;
  spawn(Inner->Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
    std::function<void(Tcp::socket)> Accepted = [Self](Tcp::socket Socket) {
      Self->accepted(std::move(Socket));
    };
    co_await acceptLoop(*Self->Listener, std::move(Accepted));
  }(Inner));
  return {};
}

Task<LinkEnd> LinkServer::endLinks(TimePoint Deadline) {
  const auto Self = Inner;
  LinkEnd Result;
  ErrorCode Ignored; // The socket is closed even on error.
  if (Self->Listener)
    Self->Listener->close(Ignored);
  Self->Ending = true;
  Result.Connections = Self->Connections.size();
  for (const auto &[Connection, Unanswered] : Self->Connections)
    if (Unanswered == 0)
      Connection->endOutput();
  while (!Self->Connections.empty() && steadyNow() < Deadline)
    co_await Self->Ended.wait(Deadline);
  for (const auto &[Connection, Unanswered] :
       std::exchange(Self->Connections, {})) {
    ++Result.CutConnections;
    Result.UnansweredCalls += Unanswered;
    Connection->close();
  }
  Result.DiscardedCalls = Self->DiscardedCalls;
  co_return Result;
}

void LinkServer::close() {
  ErrorCode Ignored; // The socket is closed even on error.
  if (Inner->Listener)
    Inner->Listener->close(Ignored);
  for (const auto &[Connection, Unanswered] :
       std::exchange(Inner->Connections, {}))
    Connection->close();
}

} // namespace tamarack
