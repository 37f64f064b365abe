#include "LinkFrame.h"

#include <set>

namespace tamarack {

using internal::LinkConnection;
using internal::LinkFrame;

struct LinkServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, Handler Handle) : Io(Io), Handle(std::move(Handle)) {}

  Loop &Io;
  const Handler Handle;
  std::optional<Tcp::acceptor> Listener;
  std::set<std::shared_ptr<LinkConnection>> Connections;

  void accepted(Tcp::socket Socket) {
    const auto Connection =
        std::make_shared<LinkConnection>(Io, std::move(Socket));
    Connections.insert(Connection);
    const std::weak_ptr<Impl> Weak = weak_from_this();
    const std::weak_ptr<LinkConnection> Peer = Connection;
    Connection->start(
        [Weak, Peer](LinkFrame Frame) {
          if (const auto Self = Weak.lock())
            Self->received(Peer, std::move(Frame));
        },
        [Weak, Peer] {
          if (const auto Self = Weak.lock())
            Self->Connections.erase(Peer.lock());
        });
  }

  void received(const std::weak_ptr<LinkConnection> &Peer, LinkFrame Frame) {
    const std::uint64_t Exchange = Frame.Exchange;
    const Reply Answer = [Peer, Exchange](const Expected<Json> &Result) {
      const auto Connection = Peer.lock();
      if (!Connection)
        return;
      const LinkBody Body = encodeBody(Result ? *Result : Json(Result.error()));
      Connection->send(internal::encodeLinkFrame(
          Exchange, Result ? "" : internal::ErrorStatus, *Body));
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

void LinkServer::close() {
  ErrorCode Ignored; // The socket is closed even on error.
  if (Inner->Listener)
    Inner->Listener->close(Ignored);
  for (const auto &Connection : std::exchange(Inner->Connections, {}))
    Connection->close();
}

} // namespace tamarack
