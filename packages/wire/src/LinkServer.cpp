#include "Silence.h"
#include "WireLoopImpl.h"
#include "tamarack/base/SecretCompare.h"

#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <condition_variable>
#include <map>
#include <set>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace tamarack {
namespace {

using Socket = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;

constexpr int IdleThreads = 4;
/// Maximum time that stop() waits for the peers to close their connections.
constexpr Duration CloseTimeout = std::chrono::seconds(1);

/// A task that deletes itself after it has run.
class Task : public Poco::Runnable {
public:
  explicit Task(std::function<void()> Work) : Work(std::move(Work)) {}
  void run() override {
    const std::unique_ptr<Task> Self(this);
    Work();
  }

private:
  std::function<void()> Work;
};

} // namespace

struct LinkServer::Impl : std::enable_shared_from_this<LinkServer::Impl> {
  struct Peer {
    internal::SilenceDetector Silence;
    /// The running exchanges, each with a flag that is set when the requester
    /// cancels it or disconnects.
    std::map<std::uint64_t, std::shared_ptr<std::atomic<bool>>> Running;
  };

  Impl(WireLoop &Loop, LinkSettings OwnSettings, LinkHooks Hooks,
       const Clock &Time)
      : LoopState(Loop.impl()), Context(LoopState.Context),
        Settings(std::move(OwnSettings)), Hooks(std::move(Hooks)), Time(Time),
        HeartbeatTimer(Context),
        Workers(IdleThreads, static_cast<int>(Settings.MaxConcurrent)) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.init_asio(&Context);
    Endpoint.set_reuse_addr(true);
  }

  void installHandlers() {
    std::weak_ptr<Impl> Weak = weak_from_this();
    Endpoint.set_validate_handler([Weak](Handle From) {
      const auto Self = Weak.lock();
      return Self && Self->validate(From);
    });
    Endpoint.set_open_handler([Weak](Handle From) {
      if (const auto Self = Weak.lock())
        Self->onOpen(From);
    });
    const auto OnClosed = [Weak](Handle From) {
      if (const auto Self = Weak.lock())
        Self->onClosed(From);
    };
    Endpoint.set_close_handler(OnClosed);
    Endpoint.set_fail_handler(OnClosed);
    Endpoint.set_message_handler(
        [Weak](Handle From, Socket::message_ptr Message) {
          if (const auto Self = Weak.lock())
            Self->onMessage(From, Message->get_payload());
        });
  }

  bool validate(const Handle &From) {
    const auto Connection = Endpoint.get_con_from_hdl(From);
    const std::string &Presented =
        Connection->get_request_header("Authorization");
    const bool Valid = isSameSecret("Bearer " + Settings.Key, Presented);
    if (!Valid) {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Counts.RefusedKeys;
      Connection->set_status(websocketpp::http::status_code::unauthorized);
    }
    return Valid;
  }

  void onOpen(const Handle &From) {
    websocketpp::lib::error_code Failure;
    const auto Connection = Endpoint.get_con_from_hdl(From, Failure);
    boost::system::error_code Ignored;
    if (!Failure)
      Connection->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), Ignored);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Peers[From] = {{Time.now(), Settings.SilenceTimeout}, {}};
    }
    send(From, {FrameKind::Heartbeat, 0, "", ownState(true)});
  }

  void onClosed(const Handle &From) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Peers.find(From);
    if (Found == Peers.end())
      return;
    for (auto &[Exchange, Abandoned] : Found->second.Running)
      *Abandoned = true;
    Peers.erase(Found);
    PeerClosed.notify_all();
  }

  Json ownState(bool First) const {
    return Hooks.OwnState ? Hooks.OwnState(First) : Json::object();
  }

  void onMessage(const Handle &From, const std::string &Bytes) {
    const Expected<Frame> Received = decodeFrame(Bytes);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const auto Found = Peers.find(From);
      if (Found == Peers.end())
        return;
      Found->second.Silence.LastReceived = Time.now();
      if (Received && Received->Kind == FrameKind::Cancel)
        abandonExchange(Found->second, Received->Exchange);
    }
    if (!Received)
      return;
    if (Received->Kind == FrameKind::Request)
      start(From, *Received);
    else if (Received->Kind == FrameKind::Heartbeat && Hooks.PeerState)
      Hooks.PeerState(Received->Body);
  }

  static void abandonExchange(Peer &Requester, std::uint64_t Exchange) {
    const auto Found = Requester.Running.find(Exchange);
    if (Found != Requester.Running.end())
      *Found->second = true;
  }

  void start(const Handle &From, const Frame &Request);

  void send(const Handle &To, const Frame &Sent) {
    const std::string Bytes = encodeFrame(Sent);
    websocketpp::lib::error_code Failure;
    Endpoint.send(To, Bytes, websocketpp::frame::opcode::binary, Failure);
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Counts.FramesSent;
    Counts.BytesSent += Bytes.size();
    if (Sent.Kind == FrameKind::Heartbeat)
      ++Counts.Heartbeats;
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
    std::vector<Handle> Responsive;
    std::vector<Handle> Silent;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      for (const auto &[From, State] : Peers)
        (internal::isSilent(State.Silence, Time.now()) ? Silent : Responsive)
            .push_back(From);
      Counts.Abandoned += Silent.size();
    }
    const Json Own = ownState(false);
    for (const Handle &To : Responsive)
      send(To, {FrameKind::Heartbeat, 0, "", Own});
    for (const Handle &From : Silent) {
      onClosed(From);
      close(From);
    }
    scheduleHeartbeat();
  }

  void close(const Handle &From) {
    websocketpp::lib::error_code Ignored;
    Endpoint.close(From, websocketpp::close::status::going_away, "", Ignored);
  }

  WireLoop::Impl &LoopState;
  boost::asio::io_context &Context;
  const LinkSettings Settings;
  const LinkHooks Hooks;
  const Clock &Time;
  Socket Endpoint;
  boost::asio::steady_timer HeartbeatTimer;
  Poco::ThreadPool Workers;
  std::map<std::string, Handler> Handlers;

  mutable std::mutex Mutex;
  /// Notified when a connection was closed.
  std::condition_variable PeerClosed;
  std::map<Handle, Peer, std::owner_less<Handle>> Peers;
  LinkCounts Counts;
};

namespace {

template <typename Server> class ServerResponder : public Responder {
public:
  ServerResponder(std::shared_ptr<Server> Owner, Handle To,
                  std::uint64_t Exchange,
                  std::shared_ptr<std::atomic<bool>> Abandoned)
      : Owner(std::move(Owner)), To(std::move(To)), Exchange(Exchange),
        Abandoned(std::move(Abandoned)) {}

  void part(const Json &Body) override { send(FrameKind::Part, Body); }
  void done(const Json &Body) override { send(FrameKind::Done, Body); }
  void fail(const Error &Failure) override {
    send(FrameKind::Fail, Json(Failure));
  }
  bool isAbandoned() const override { return *Abandoned; }

private:
  void send(FrameKind Kind, const Json &Body) {
    if (!isAbandoned())
      Owner->send(To, {Kind, Exchange, "", Body});
  }

  std::shared_ptr<Server> Owner;
  Handle To;
  std::uint64_t Exchange;
  std::shared_ptr<std::atomic<bool>> Abandoned;
};

/// Runs a handler and answers any exception that it throws with an error.
void runHandler(const LinkServer::Handler &Work, Responder &Answer,
                const Json &Body) {
  try {
    Work(Answer, Body);
  } catch (const Json::exception &) {
    Answer.fail({ErrorKind::MalformedRequest,
                 "message body has an unexpected format",
                 NotRun::Proved,
                 {}});
  } catch (const std::exception &Thrown) {
    Answer.fail({ErrorKind::Internal, Thrown.what(), NotRun::Unproved, {}});
  }
}

} // namespace

void LinkServer::Impl::start(const Handle &From, const Frame &Request) {
  const auto Abandoned = std::make_shared<std::atomic<bool>>(false);
  const auto Answer = std::make_shared<ServerResponder<Impl>>(
      shared_from_this(), From, Request.Exchange, Abandoned);
  const auto Found = Handlers.find(Request.Name);
  if (Found == Handlers.end()) {
    Answer->fail({ErrorKind::MalformedRequest,
                  "unknown message name " + Request.Name,
                  NotRun::Proved,
                  {}});
    return;
  }
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Peers[From].Running[Request.Exchange] = Abandoned;
  }
  auto Work = std::make_unique<Task>(
      [Self = shared_from_this(), From, Request, Answer, Found] {
        runHandler(Found->second, *Answer, Request.Body);
        std::lock_guard<std::mutex> Lock(Self->Mutex);
        const auto Requester = Self->Peers.find(From);
        if (Requester != Self->Peers.end())
          Requester->second.Running.erase(Request.Exchange);
      });
  try {
    Workers.start(*Work);
    // The pool now runs the task, which deletes itself.
    static_cast<void>(Work.release());
  } catch (const Poco::Exception &) {
    Answer->fail({ErrorKind::Overloaded,
                  "all " + std::to_string(Settings.MaxConcurrent) +
                      " request threads are busy",
                  NotRun::Proved,
                  {}});
  }
}

LinkServer::LinkServer(WireLoop &Loop, LinkSettings Settings, LinkHooks Hooks,
                       const Clock &Time)
    : State(std::make_shared<Impl>(Loop, std::move(Settings), std::move(Hooks),
                                   Time)) {
  State->installHandlers();
}

LinkServer::~LinkServer() {
  stop();
  State->LoopState.retainUntilStopped(State);
}

void LinkServer::registerHandler(const std::string &Name, Handler Work) {
  State->Handlers[Name] = std::move(Work);
}

Expected<std::uint16_t> LinkServer::listen(const LinkAddress &Listen) {
  boost::system::error_code Malformed;
  const boost::asio::ip::tcp::endpoint Local(
      boost::asio::ip::make_address(Listen.Host, Malformed), Listen.Port);
  if (Malformed)
    return refuse(ErrorKind::InvalidConfiguration,
                  "listen address is not an IP address: " + Listen.Host);
  websocketpp::lib::error_code Failure;
  State->Endpoint.listen(Local, Failure);
  if (Failure)
    return refuse(ErrorKind::Internal,
                  "cannot listen on port " + std::to_string(Listen.Port));
  State->Endpoint.start_accept(Failure);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot accept connections");
  State->scheduleHeartbeat();
  return State->Endpoint.get_local_endpoint(Malformed).port();
}

void LinkServer::stop() {
  websocketpp::lib::error_code Ignored;
  if (State->Endpoint.is_listening())
    State->Endpoint.stop_listening(Ignored);
  State->Workers.joinAll();
  std::vector<Handle> Open;
  {
    std::lock_guard<std::mutex> Lock(State->Mutex);
    for (const auto &[From, Unused] : State->Peers)
      Open.push_back(From);
  }
  for (const Handle &From : Open)
    State->close(From);
  {
    // Waits so that pending writes of answers complete before the loop stops.
    std::unique_lock<std::mutex> Lock(State->Mutex);
    State->PeerClosed.wait_for(Lock, CloseTimeout,
                               [this] { return State->Peers.empty(); });
  }
  boost::asio::post(State->Context,
                    [Self = State] { Self->HeartbeatTimer.cancel(); });
}

LinkCounts LinkServer::counts() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Counts;
}

} // namespace tamarack
