#include "LinkFrame.h"

#include <map>

namespace tamarack {
namespace {

/// Period of checking deadlines and silence, and so the precision of both. The
/// timer runs only while calls are pending.
constexpr Duration TickInterval = std::chrono::milliseconds(50);

struct PendingCall {
  std::string Name;
  LinkBody Body;
  TimePoint Deadline;
  LinkClient::Callback Done;
  bool Sent = false;
  /// Whether the deadline had passed while there were bytes to read, which may
  /// hold the reply.
  bool IsOverdue = false;
};

} // namespace

LinkBody encodeBody(const Json &Body) {
  std::string Text;
  Json::to_cbor(Body, Text);
  return std::make_shared<const std::string>(std::move(Text));
}

struct LinkClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, std::string Peer, LinkOptions Options)
      : Io(Io), Address(std::move(Peer)), Options(std::move(Options)) {}

  Loop &Io;
  const std::string Address;
  const LinkOptions Options;
  std::shared_ptr<internal::LinkConnection> Current;
  std::map<std::uint64_t, PendingCall> Pending;
  std::uint64_t LastExchange = 0;
  /// Start of the current wait for replies, moved on by the time in which this
  /// process did not run. Time before it is not silence.
  TimePoint WaitingSince;
  bool Connecting = false;
  bool TimerRunning = false;
  bool Closed = false;

  void sendPending() {
    for (auto &[Exchange, Call] : Pending)
      if (!Call.Sent) {
        if (Current->queuedBytes() > Options.MaxQueuedBytes)
          return;
        Current->send(
            internal::encodeLinkFrame(Exchange, Call.Name, *Call.Body));
        Call.Sent = true;
      }
  }

  void received(internal::LinkFrame Frame) {
    const auto Found = Pending.find(Frame.Exchange);
    if (Found == Pending.end())
      return; // The call has timed out, or this is a second reply to it.
    const Callback Done = std::move(Found->second.Done);
    Pending.erase(Found);
    Expected<Json> Body = internal::decodeBody(Frame.Body);
    if (Body && Frame.Name == internal::ErrorStatus)
      Done(tl::unexpected(Body->get<Error>()));
    else
      Done(std::move(Body));
  }

  void lost() {
    Current.reset();
    for (auto &[Exchange, Call] : Pending)
      Call.Sent = false;
    if (Closed)
      return;
    if (Options.OnConnectionChange)
      Options.OnConnectionChange(Address, false);
    if (!Pending.empty())
      connect();
  }

  void connect() {
    if (Connecting || Closed)
      return;
    Connecting = true;
    spawn(Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
      while (!Self->Closed && !Self->Pending.empty()) {
        const bool Connected = co_await Self->connectOnce();
        if (Connected)
          break;
        co_await pause(Self->Io, Self->Options.ReconnectDelay);
      }
      Self->Connecting = false;
    }(shared_from_this()));
  }

  Task<bool> connectOnce() {
    const Expected<Tcp::endpoint> Peer = parseAddress(Address);
    if (!Peer)
      co_return false;
    Expected<Tcp::socket> Socket =
        co_await connectWithTimeout(Io, *Peer, Options.TcpConnectTimeout);
    if (!Socket || Closed)
      co_return false;
    Current =
        std::make_shared<internal::LinkConnection>(Io, std::move(*Socket));
    const std::weak_ptr<Impl> Weak = shared_from_this();
    const internal::LinkConnection *Opened = Current.get();
    Current->start(
        [Weak](internal::LinkFrame Frame) {
          if (const auto Self = Weak.lock())
            Self->received(std::move(Frame));
        },
        [Weak, Opened] {
          const auto Self = Weak.lock();
          if (Self && Self->Current.get() == Opened)
            Self->lost();
        });
    WaitingSince = steadyNow();
    if (Options.OnConnectionChange)
      Options.OnConnectionChange(Address, true);
    sendPending();
    co_return true;
  }

  void startTimer() {
    if (TimerRunning)
      return;
    TimerRunning = true;
    spawn(Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
      while (!Self->Pending.empty()) {
        const TimePoint DueAt = steadyNow() + TickInterval;
        co_await pause(Self->Io, TickInterval);
        const TimePoint Now = steadyNow();
        Self->checkTimeouts(Now, Now - DueAt);
      }
      Self->TimerRunning = false;
    }(shared_from_this()));
  }

  /// \p Late tells how long after its time the check runs, because this process
  /// stood still or was busy.
  void checkTimeouts(TimePoint Now, Duration Late) {
    const bool HasUnread = Current && Current->hasUnreadBytes();
    std::vector<Callback> Expired;
    for (auto Entry = Pending.begin(); Entry != Pending.end();) {
      PendingCall &Call = Entry->second;
      const bool IsOverdue = Call.Deadline <= Now;
      if (IsOverdue && (!HasUnread || Call.IsOverdue)) {
        Expired.push_back(std::move(Call.Done));
        Entry = Pending.erase(Entry);
      } else {
        Call.IsOverdue = IsOverdue;
        ++Entry;
      }
    }
    if (Late > TickInterval && Current)
      WaitingSince = std::max(WaitingSince, Current->lastReceivedAt()) + Late;
    // Every received byte counts, since a long reply arrives in many parts.
    if (Current && !HasUnread && !Pending.empty() &&
        Now - std::max(WaitingSince, Current->lastReceivedAt()) >
            Options.SilenceTimeout) {
      const auto SilentConnection = Current;
      lost();
      SilentConnection->close();
    }
    if (Current)
      sendPending();
    for (const Callback &Done : Expired)
      Done(refuse(ErrorKind::Timeout,
                  "peer " + Address + " did not answer before the deadline"));
  }
};

LinkClient::LinkClient(Loop &Io, std::string Address, LinkOptions Options)
    : Inner(
          std::make_shared<Impl>(Io, std::move(Address), std::move(Options))) {}

std::shared_ptr<LinkClient> LinkClient::make(Loop &Io, std::string Address,
                                             LinkOptions Options) {
  return std::shared_ptr<LinkClient>(
      new LinkClient(Io, std::move(Address), std::move(Options)));
}

LinkClient::~LinkClient() { close(); }

const std::string &LinkClient::address() const { return Inner->Address; }

bool LinkClient::isConnected() const { return Inner->Current != nullptr; }

void LinkClient::call(const std::string &Name, LinkBody Body,
                      TimePoint Deadline, Callback Done) {
  // Only time during which calls are pending counts as silence.
  if (Inner->Pending.empty())
    Inner->WaitingSince = steadyNow();
  Inner->Pending.emplace(
      ++Inner->LastExchange,
      PendingCall{Name, std::move(Body), Deadline, std::move(Done), false});
  Inner->startTimer();
  if (Inner->Current)
    Inner->sendPending();
  else
    Inner->connect();
}

void LinkClient::close() {
  Inner->Closed = true;
  if (Inner->Current)
    Inner->Current->close();
  Inner->Current.reset();
  for (auto &[Exchange, Call] : std::exchange(Inner->Pending, {}))
    Call.Done(refuse(ErrorKind::LinkLost,
                     "link to " + Inner->Address + " was closed"));
}

Task<Expected<Json>> callLink(Loop &Io, std::shared_ptr<LinkClient> Link,
                              std::string Name, LinkBody Body,
                              TimePoint Deadline) {
  struct CallState {
    explicit CallState(Loop &Io) : Changed(Io) {}
    Signal Changed;
    std::optional<Expected<Json>> Result;
  };
  const auto State = std::make_shared<CallState>(Io);
  Link->call(Name, std::move(Body), Deadline, [State](Expected<Json> Result) {
    State->Result = std::move(Result);
    State->Changed.raise();
  });
  while (!State->Result)
    co_await State->Changed.wait(TimePoint::max());
  co_return std::move(*State->Result);
}

} // namespace tamarack
