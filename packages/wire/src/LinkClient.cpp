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

/// The frames of an exchange that its caller has not consumed yet.
struct PendingExchange {
  std::deque<Frame> Frames;
  std::condition_variable Arrived;
};

} // namespace

struct LinkClient::Impl : std::enable_shared_from_this<LinkClient::Impl> {
  enum class Phase { Closed, Opening, Open };

  Impl(WireLoop &Loop, LinkAddress Peer, LinkSettings OwnSettings,
       LinkHooks Hooks, const Clock &Time)
      : LoopState(Loop.impl()), Context(LoopState.Context),
        Peer(std::move(Peer)), Settings(std::move(OwnSettings)),
        Hooks(std::move(Hooks)), Time(Time), HeartbeatTimer(Context) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.init_asio(&Context);
  }

  void installHandlers() {
    std::weak_ptr<Impl> Weak = weak_from_this();
    Endpoint.set_tcp_post_init_handler(
        [this](websocketpp::connection_hdl Handle) {
          websocketpp::lib::error_code Failure;
          const auto Connection = Endpoint.get_con_from_hdl(Handle, Failure);
          boost::system::error_code Ignored;
          if (!Failure)
            Connection->get_raw_socket().set_option(
                boost::asio::ip::tcp::no_delay(true), Ignored);
        });
    Endpoint.set_open_handler([Weak](websocketpp::connection_hdl Handle) {
      if (const auto Self = Weak.lock())
        Self->onOpen(Handle);
    });
    const auto OnClosed = [Weak](websocketpp::connection_hdl Handle) {
      if (const auto Self = Weak.lock())
        Self->onClosed(Handle);
    };
    Endpoint.set_fail_handler(OnClosed);
    Endpoint.set_close_handler(OnClosed);
    Endpoint.set_message_handler([Weak](websocketpp::connection_hdl Handle,
                                        Socket::message_ptr Message) {
      if (const auto Self = Weak.lock())
        Self->onMessage(Handle, Message->get_payload());
    });
  }

  void startOpening(std::unique_lock<std::mutex> &) {
    if (CurrentPhase != Phase::Closed || Stopped)
      return;
    websocketpp::lib::error_code Failure;
    const auto Connection = Endpoint.get_connection(
        "ws://" + Peer.Host + ":" + std::to_string(Peer.Port), Failure);
    if (Failure)
      return;
    Connection->append_header("Authorization", "Bearer " + Settings.Key);
    Connection->set_open_handshake_timeout(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Settings.HandshakeTimeout)
            .count());
    CurrentPhase = Phase::Opening;
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
      CurrentPhase = Phase::Open;
      Silence = {Time.now(), Settings.SilenceTimeout};
      Changed.notify_all();
    }
    sendHeartbeat(true);
    scheduleHeartbeat();
  }

  void onClosed(const websocketpp::connection_hdl &Closed) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (isCurrent(Closed))
      dropConnection();
  }

  /// Fails all exchanges on the connection. The caller must hold the mutex.
  void dropConnection() {
    CurrentPhase = Phase::Closed;
    Handle.reset();
    for (auto &[Exchange, Waiting] : Exchanges) {
      const Error Lost{ErrorKind::LinkLost,
                       "connection to peer " + Peer.Host + ":" +
                           std::to_string(Peer.Port) + " was lost",
                       NotRun::Unproved,
                       {}};
      Waiting->Frames.push_back({FrameKind::Fail, Exchange, "", Json(Lost)});
      Waiting->Arrived.notify_all();
    }
    Exchanges.clear();
    Changed.notify_all();
  }

  void onMessage(const websocketpp::connection_hdl &From,
                 const std::string &Bytes) {
    const Expected<Frame> Received = decodeFrame(Bytes);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!isCurrent(From))
        return;
      Silence.LastReceived = Time.now();
      if (Received && Received->Kind != FrameKind::Heartbeat) {
        deliver(*Received);
        return;
      }
    }
    if (Received && Hooks.PeerState)
      Hooks.PeerState(Received->Body);
  }

  /// Passes a frame to its exchange. The caller must hold the mutex.
  void deliver(const Frame &Incoming) {
    const auto Found = Exchanges.find(Incoming.Exchange);
    if (Found == Exchanges.end()) {
      ++Counts.UnmatchedFrames;
      return;
    }
    const std::shared_ptr<PendingExchange> Waiting = Found->second;
    Waiting->Frames.push_back(Incoming);
    if (Incoming.Kind != FrameKind::Part)
      Exchanges.erase(Found);
    Waiting->Arrived.notify_all();
  }

  void sendHeartbeat(bool First) {
    const Json Own = Hooks.OwnState ? Hooks.OwnState(First) : Json::object();
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Counts.Heartbeats;
    send({FrameKind::Heartbeat, 0, "", Own});
  }

  /// Sends a frame and returns whether it was queued. The caller must hold the
  /// mutex.
  bool send(const Frame &Sent) {
    if (CurrentPhase != Phase::Open)
      return false;
    const std::string Bytes = encodeFrame(Sent);
    websocketpp::lib::error_code Failure;
    Endpoint.send(Handle, Bytes, websocketpp::frame::opcode::binary, Failure);
    ++Counts.FramesSent;
    Counts.BytesSent += Bytes.size();
    return !Failure;
  }

  void scheduleHeartbeat() {
    HeartbeatTimer.expires_after(Settings.HeartbeatInterval);
    std::weak_ptr<Impl> Weak = weak_from_this();
    HeartbeatTimer.async_wait(
        [Weak](const boost::system::error_code &Cancelled) {
          const auto Self = Weak.lock();
          if (!Cancelled && Self)
            Self->onHeartbeatTimer();
        });
  }

  void onHeartbeatTimer() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (CurrentPhase != Phase::Open)
        return;
      if (internal::isSilent(Silence, Time.now())) {
        ++Counts.Abandoned;
        abandon();
        return;
      }
    }
    sendHeartbeat(false);
    scheduleHeartbeat();
  }

  /// Closes the connection without waiting for the peer. The caller must hold
  /// the mutex.
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
    if (CurrentPhase != Phase::Closed)
      abandon();
    boost::asio::post(Context, [Self = shared_from_this()] {
      Self->HeartbeatTimer.cancel();
    });
  }

  WireLoop::Impl &LoopState;
  boost::asio::io_context &Context;
  const LinkAddress Peer;
  const LinkSettings Settings;
  const LinkHooks Hooks;
  const Clock &Time;
  Socket Endpoint;
  boost::asio::steady_timer HeartbeatTimer;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  Phase CurrentPhase = Phase::Closed;
  bool Stopped = false;
  websocketpp::connection_hdl Handle;
  internal::SilenceDetector Silence{};
  std::uint64_t NextExchange = 1;
  std::map<std::uint64_t, std::shared_ptr<PendingExchange>> Exchanges;
  LinkCounts Counts;
};

LinkClient::LinkClient(WireLoop &Loop, LinkAddress Peer, LinkSettings Settings,
                       LinkHooks Hooks, const Clock &Time)
    : State(std::make_shared<Impl>(Loop, std::move(Peer), std::move(Settings),
                                   std::move(Hooks), Time)) {
  State->installHandlers();
}

LinkClient::~LinkClient() {
  State->stop();
  State->LoopState.retainUntilStopped(State);
}

void LinkClient::open() {
  std::unique_lock<std::mutex> Lock(State->Mutex);
  State->startOpening(Lock);
}

bool LinkClient::isOpen() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->CurrentPhase == Impl::Phase::Open;
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
  State->Changed.wait_for(Lock, State->Settings.HandshakeTimeout, [this] {
    return State->CurrentPhase != Impl::Phase::Opening;
  });
  const std::uint64_t Exchange = State->NextExchange++;
  const auto Waiting = std::make_shared<PendingExchange>();
  State->Exchanges.emplace(Exchange, Waiting);
  const Frame Request{FrameKind::Request, Exchange, Name, std::move(Body)};
  if (!State->send(Request)) {
    State->Exchanges.erase(Exchange);
    return refuse(ErrorKind::LinkLost,
                  "no connection to peer " + State->Peer.Host + ":" +
                      std::to_string(State->Peer.Port),
                  NotRun::Proved);
  }
  while (true) {
    const auto Remaining = std::min<std::chrono::steady_clock::duration>(
        Limits.ProgressTimeout,
        Started + Limits.TotalTimeout - std::chrono::steady_clock::now());
    const bool Arrived = Waiting->Arrived.wait_for(
        Lock, Remaining, [&Waiting] { return !Waiting->Frames.empty(); });
    if (!Arrived) {
      State->Exchanges.erase(Exchange);
      State->send({FrameKind::Cancel, Exchange, "", nullptr});
      return refuse(ErrorKind::Timeout,
                    "peer did not answer " + Name + " before its timeout");
    }
    const Frame Next = std::move(Waiting->Frames.front());
    Waiting->Frames.pop_front();
    if (Next.Kind == FrameKind::Done)
      return Next.Body;
    if (Next.Kind == FrameKind::Fail)
      return tl::make_unexpected(Next.Body.get<Error>());
    Lock.unlock();
    const bool Continue = !OnPart || OnPart(Next.Body);
    Lock.lock();
    if (!Continue) {
      State->Exchanges.erase(Exchange);
      State->send({FrameKind::Cancel, Exchange, "", nullptr});
      return refuse(ErrorKind::Timeout, "the caller cancelled " + Name);
    }
  }
}

} // namespace tamarack
