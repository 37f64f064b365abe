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
/// How long a stop waits for peers to agree that connections end.
constexpr Duration CloseLimit = std::chrono::seconds(1);

/// A task that deletes itself once it has run.
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
    internal::Silence Hearing;
    /// Exchanges that run, each with the flag that its asker gave up.
    std::map<std::uint64_t, std::shared_ptr<std::atomic<bool>>> Running;
  };

  Impl(WireLoop &Loop, LinkSettings With, LinkHooks Calls, const Clock &Source)
      : Home(Loop.impl()), Context(Home.Context), Settings(std::move(With)),
        Hooks(std::move(Calls)), Time(Source), Beat(Context),
        Workers(IdleThreads, static_cast<int>(Settings.MaxConcurrent)) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.init_asio(&Context);
    Endpoint.set_reuse_addr(true);
  }

  void attach() {
    std::weak_ptr<Impl> Weak = weak_from_this();
    Endpoint.set_validate_handler([Weak](Handle From) {
      const auto Self = Weak.lock();
      return Self && Self->validate(From);
    });
    Endpoint.set_open_handler([Weak](Handle From) {
      if (const auto Self = Weak.lock())
        Self->onOpen(From);
    });
    const auto OnEnded = [Weak](Handle From) {
      if (const auto Self = Weak.lock())
        Self->onEnded(From);
    };
    Endpoint.set_close_handler(OnEnded);
    Endpoint.set_fail_handler(OnEnded);
    Endpoint.set_message_handler(
        [Weak](Handle From, Socket::message_ptr Message) {
          if (const auto Self = Weak.lock())
            Self->onMessage(From, Message->get_payload());
        });
  }

  bool validate(const Handle &From) {
    const auto Connection = Endpoint.get_con_from_hdl(From);
    const std::string &Given = Connection->get_request_header("Authorization");
    const bool Known = isSameSecret("Bearer " + Settings.Key, Given);
    if (!Known) {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Counts.RefusedKeys;
      Connection->set_status(websocketpp::http::status_code::unauthorized);
    }
    return Known;
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
      Peers[From] = {{Time.now(), Settings.SilenceLimit}, {}};
    }
    send(From, {FrameKind::Heartbeat, 0, "", ownState(true)});
  }

  void onEnded(const Handle &From) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Peers.find(From);
    if (Found == Peers.end())
      return;
    for (auto &[Exchange, Abandoned] : Found->second.Running)
      *Abandoned = true;
    Peers.erase(Found);
    Ended.notify_all();
  }

  Json ownState(bool First) const {
    return Hooks.OwnState ? Hooks.OwnState(First) : Json::object();
  }

  void onMessage(const Handle &From, const std::string &Bytes) {
    const Expected<Frame> Read = decodeFrame(Bytes);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const auto Found = Peers.find(From);
      if (Found == Peers.end())
        return;
      Found->second.Hearing.LastHeard = Time.now();
      if (Read && Read->Kind == FrameKind::Cancel)
        giveUp(Found->second, Read->Exchange);
    }
    if (!Read)
      return;
    if (Read->Kind == FrameKind::Request)
      start(From, *Read);
    else if (Read->Kind == FrameKind::Heartbeat && Hooks.PeerState)
      Hooks.PeerState(Read->Body);
  }

  static void giveUp(Peer &Asker, std::uint64_t Exchange) {
    const auto Found = Asker.Running.find(Exchange);
    if (Found != Asker.Running.end())
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
    std::vector<Handle> Heard;
    std::vector<Handle> Silent;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      for (const auto &[From, State] : Peers)
        (internal::isSilent(State.Hearing, Time.now()) ? Silent : Heard)
            .push_back(From);
      Counts.Abandoned += Silent.size();
    }
    const Json Own = ownState(false);
    for (const Handle &To : Heard)
      send(To, {FrameKind::Heartbeat, 0, "", Own});
    for (const Handle &From : Silent) {
      onEnded(From);
      close(From);
    }
    scheduleBeat();
  }

  void close(const Handle &From) {
    websocketpp::lib::error_code Ignored;
    Endpoint.close(From, websocketpp::close::status::going_away, "", Ignored);
  }

  WireLoop::Impl &Home;
  boost::asio::io_context &Context;
  const LinkSettings Settings;
  const LinkHooks Hooks;
  const Clock &Time;
  Socket Endpoint;
  boost::asio::steady_timer Beat;
  Poco::ThreadPool Workers;
  std::map<std::string, Handler> Handlers;

  mutable std::mutex Mutex;
  /// Notified when a connection has ended.
  std::condition_variable Ended;
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
  void fail(const Error &Why) override { send(FrameKind::Fail, Json(Why)); }
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

/// Runs a handler; what it throws becomes an answer and never passes on.
void runHandler(const LinkServer::Handler &Work, Responder &Answer,
                const Json &Body) {
  try {
    Work(Answer, Body);
  } catch (const Json::exception &) {
    Answer.fail({ErrorKind::MalformedRequest,
                 "message has another shape",
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
                  "unknown message " + Request.Name,
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
        const auto Asker = Self->Peers.find(From);
        if (Asker != Self->Peers.end())
          Asker->second.Running.erase(Request.Exchange);
      });
  try {
    Workers.start(*Work);
    // The pool has the task now, which deletes itself.
    static_cast<void>(Work.release());
  } catch (const Poco::Exception &) {
    Answer->fail({ErrorKind::Overloaded,
                  "all request threads are busy",
                  NotRun::Proved,
                  {}});
  }
}

LinkServer::LinkServer(WireLoop &Loop, LinkSettings Settings, LinkHooks Hooks,
                       const Clock &Time)
    : State(std::make_shared<Impl>(Loop, std::move(Settings), std::move(Hooks),
                                   Time)) {
  State->attach();
}

LinkServer::~LinkServer() {
  stop();
  State->Home.retire(State);
}

void LinkServer::on(const std::string &Name, Handler Work) {
  State->Handlers[Name] = std::move(Work);
}

Expected<std::uint16_t> LinkServer::listen(const LinkAddress &Listen) {
  boost::system::error_code Malformed;
  const boost::asio::ip::tcp::endpoint Local(
      boost::asio::ip::make_address(Listen.Host, Malformed), Listen.Port);
  if (Malformed)
    return refuse(ErrorKind::InvalidConfiguration,
                  "not an IP number: " + Listen.Host);
  websocketpp::lib::error_code Failure;
  State->Endpoint.listen(Local, Failure);
  if (Failure)
    return refuse(ErrorKind::Internal,
                  "cannot listen on port " + std::to_string(Listen.Port));
  State->Endpoint.start_accept(Failure);
  if (Failure)
    return refuse(ErrorKind::Internal, "cannot accept connections");
  State->scheduleBeat();
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
    // Answers that are still being written go out before the close.
    std::unique_lock<std::mutex> Lock(State->Mutex);
    State->Ended.wait_for(Lock, CloseLimit,
                          [this] { return State->Peers.empty(); });
  }
  boost::asio::post(State->Context, [Self = State] { Self->Beat.cancel(); });
}

LinkCounts LinkServer::counts() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Counts;
}

} // namespace tamarack
