#include "Silence.h"
#include "WireLoopImpl.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace tamarack {
namespace {

using Socket = websocketpp::client<websocketpp::config::asio_client>;

/// What an exchange has received and its caller has not yet taken.
struct Pending {
  std::deque<Frame> Received;
  std::condition_variable Arrived;
};

} // namespace

struct LinkClient::Impl : std::enable_shared_from_this<LinkClient::Impl> {
  enum class Phase { Closed, Opening, Open };

  Impl(WireLoop &Loop, LinkAddress To, LinkSettings With, LinkHooks Calls,
       const Clock &Source)
      : Home(Loop.impl()), Context(Home.Context), Peer(std::move(To)),
        Settings(std::move(With)), Hooks(std::move(Calls)), Time(Source),
        Beat(Context) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.init_asio(&Context);
  }

  void attach() {
    std::weak_ptr<Impl> Weak = weak_from_this();
    Endpoint.set_tcp_post_init_handler(
        [this](websocketpp::connection_hdl Handle) {
          websocketpp::lib::error_code Failure;
          const auto Opened = Endpoint.get_con_from_hdl(Handle, Failure);
          boost::system::error_code Ignored;
          if (!Failure)
            Opened->get_raw_socket().set_option(
                boost::asio::ip::tcp::no_delay(true), Ignored);
        });
    Endpoint.set_open_handler([Weak](websocketpp::connection_hdl Handle) {
      if (const auto Self = Weak.lock())
        Self->onOpen(Handle);
    });
    const auto Ended = [Weak](websocketpp::connection_hdl Handle) {
      if (const auto Self = Weak.lock())
        Self->onEnded(Handle);
    };
    Endpoint.set_fail_handler(Ended);
    Endpoint.set_close_handler(Ended);
    Endpoint.set_message_handler([Weak](websocketpp::connection_hdl Handle,
                                        Socket::message_ptr Message) {
      if (const auto Self = Weak.lock())
        Self->onMessage(Handle, Message->get_payload());
    });
  }

  void startOpening(std::unique_lock<std::mutex> &) {
    if (Current != Phase::Closed || Stopped)
      return;
    websocketpp::lib::error_code Failure;
    const auto Connection = Endpoint.get_connection(
        "ws://" + Peer.Host + ":" + std::to_string(Peer.Port), Failure);
    if (Failure)
      return;
    Connection->append_header("Authorization", "Bearer " + Settings.Key);
    Connection->set_open_handshake_timeout(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Settings.ConnectLimit)
            .count());
    Current = Phase::Opening;
    Handle = Connection->get_handle();
    Endpoint.connect(Connection);
  }

  bool isCurrent(const websocketpp::connection_hdl &Other) const {
    return !Handle.owner_before(Other) && !Other.owner_before(Handle);
  }

  void onOpen(const websocketpp::connection_hdl &Opened) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!isCurrent(Opened))
        return;
      Current = Phase::Open;
      Hearing = {Time.now(), Settings.SilenceLimit};
      Changed.notify_all();
    }
    sendHeartbeat(true);
    scheduleBeat();
  }

  void onEnded(const websocketpp::connection_hdl &Gone) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (isCurrent(Gone))
      dropConnection();
  }

  /// Fails every exchange of the connection. The caller holds the mutex.
  void dropConnection() {
    Current = Phase::Closed;
    Handle.reset();
    for (auto &[Exchange, Waiting] : Exchanges) {
      const Error Lost{ErrorKind::LinkLost,
                       "connection to the peer was lost",
                       NotRun::Unproved,
                       {}};
      Waiting->Received.push_back({FrameKind::Fail, Exchange, "", Json(Lost)});
      Waiting->Arrived.notify_all();
    }
    Exchanges.clear();
    Changed.notify_all();
  }

  void onMessage(const websocketpp::connection_hdl &From,
                 const std::string &Bytes) {
    const Expected<Frame> Read = decodeFrame(Bytes);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!isCurrent(From))
        return;
      Hearing.LastHeard = Time.now();
      if (Read && Read->Kind != FrameKind::Heartbeat) {
        deliver(*Read);
        return;
      }
    }
    if (Read && Hooks.PeerState)
      Hooks.PeerState(Read->Body);
  }

  /// Hands a frame to its exchange. The caller holds the mutex.
  void deliver(const Frame &Arrived) {
    const auto Found = Exchanges.find(Arrived.Exchange);
    if (Found == Exchanges.end()) {
      ++Counts.Unmatched;
      return;
    }
    const std::shared_ptr<Pending> Waiting = Found->second;
    Waiting->Received.push_back(Arrived);
    if (Arrived.Kind != FrameKind::Part)
      Exchanges.erase(Found);
    Waiting->Arrived.notify_all();
  }

  void sendHeartbeat(bool First) {
    const Json Own = Hooks.OwnState ? Hooks.OwnState(First) : Json::object();
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Counts.Heartbeats;
    send({FrameKind::Heartbeat, 0, "", Own});
  }

  /// Writes a frame. The caller holds the mutex.
  bool send(const Frame &Sent) {
    if (Current != Phase::Open)
      return false;
    const std::string Bytes = encodeFrame(Sent);
    websocketpp::lib::error_code Failure;
    Endpoint.send(Handle, Bytes, websocketpp::frame::opcode::binary, Failure);
    ++Counts.FramesSent;
    Counts.BytesSent += Bytes.size();
    return !Failure;
  }

  void scheduleBeat() {
    Beat.expires_after(Settings.HeartbeatEvery);
    std::weak_ptr<Impl> Weak = weak_from_this();
    Beat.async_wait([Weak](const boost::system::error_code &Stopped) {
      const auto Self = Weak.lock();
      if (!Stopped && Self)
        Self->onBeat();
    });
  }

  void onBeat() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Current != Phase::Open)
        return;
      if (internal::isSilent(Hearing, Time.now())) {
        ++Counts.Abandoned;
        abandon();
        return;
      }
    }
    sendHeartbeat(false);
    scheduleBeat();
  }

  /// Leaves the connection behind. The caller holds the mutex.
  void abandon() {
    const websocketpp::connection_hdl Old = Handle;
    dropConnection();
    websocketpp::lib::error_code Ignored;
    Endpoint.close(Old, websocketpp::close::status::going_away, "silent",
                   Ignored);
  }

  void stop() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopped = true;
    if (Current != Phase::Closed)
      abandon();
    boost::asio::post(Context,
                      [Self = shared_from_this()] { Self->Beat.cancel(); });
  }

  WireLoop::Impl &Home;
  boost::asio::io_context &Context;
  const LinkAddress Peer;
  const LinkSettings Settings;
  const LinkHooks Hooks;
  const Clock &Time;
  Socket Endpoint;
  boost::asio::steady_timer Beat;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  Phase Current = Phase::Closed;
  bool Stopped = false;
  websocketpp::connection_hdl Handle;
  internal::Silence Hearing{};
  std::uint64_t NextExchange = 1;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Exchanges;
  LinkCounts Counts;
};

LinkClient::LinkClient(WireLoop &Loop, LinkAddress Peer, LinkSettings Settings,
                       LinkHooks Hooks, const Clock &Time)
    : State(std::make_shared<Impl>(Loop, std::move(Peer), std::move(Settings),
                                   std::move(Hooks), Time)) {
  State->attach();
}

LinkClient::~LinkClient() {
  State->stop();
  State->Home.retire(State);
}

void LinkClient::open() {
  std::unique_lock<std::mutex> Lock(State->Mutex);
  State->startOpening(Lock);
}

bool LinkClient::isOpen() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Current == Impl::Phase::Open;
}

LinkCounts LinkClient::counts() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Counts;
}

Expected<Json> LinkClient::exchange(const std::string &Name, Json Body,
                                    const CallLimits &Limits,
                                    const PartHandler &OnPart) {
  const auto Started = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> Lock(State->Mutex);
  State->startOpening(Lock);
  State->Changed.wait_for(Lock, State->Settings.ConnectLimit, [this] {
    return State->Current != Impl::Phase::Opening;
  });
  const std::uint64_t Exchange = State->NextExchange++;
  const auto Waiting = std::make_shared<Pending>();
  State->Exchanges.emplace(Exchange, Waiting);
  const Frame Request{FrameKind::Request, Exchange, Name, std::move(Body)};
  if (!State->send(Request)) {
    State->Exchanges.erase(Exchange);
    return refuse(ErrorKind::LinkLost, "no connection to the peer",
                  NotRun::Proved);
  }
  while (true) {
    const auto Left = std::min<std::chrono::steady_clock::duration>(
        Limits.Progress,
        Started + Limits.Total - std::chrono::steady_clock::now());
    const bool Heard = Waiting->Arrived.wait_for(
        Lock, Left, [&Waiting] { return !Waiting->Received.empty(); });
    if (!Heard) {
      State->Exchanges.erase(Exchange);
      State->send({FrameKind::Cancel, Exchange, "", nullptr});
      return refuse(ErrorKind::Timeout,
                    "peer did not answer " + Name + " within its limit");
    }
    const Frame Next = std::move(Waiting->Received.front());
    Waiting->Received.pop_front();
    if (Next.Kind == FrameKind::Done)
      return Next.Body;
    if (Next.Kind == FrameKind::Fail)
      return tl::make_unexpected(Next.Body.get<Error>());
    Lock.unlock();
    const bool Wanted = !OnPart || OnPart(Next.Body);
    Lock.lock();
    if (!Wanted) {
      State->Exchanges.erase(Exchange);
      State->send({FrameKind::Cancel, Exchange, "", nullptr});
      return refuse(ErrorKind::Timeout, "the asker gave up on " + Name);
    }
  }
}

} // namespace tamarack
