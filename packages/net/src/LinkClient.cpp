#include "LinkFrame.h"

#include <map>

namespace tamarack {
namespace {

/// How exactly deadlines and silence are kept; each tick costs a wake-up only
/// while calls wait.
constexpr Duration Tick = std::chrono::milliseconds(50);

struct OpenCall {
  std::string Name;
  LinkBody Body;
  TimePoint Deadline;
  LinkClient::Answered Done;
  bool Sent = false;
};

} // namespace

LinkBody encodeBody(const Json &Body) {
  std::string Text;
  Json::to_cbor(Body, Text);
  return std::make_shared<const std::string>(std::move(Text));
}

struct LinkClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(Loop &Io, std::string Peer, LinkOptions Chosen)
      : Io(Io), Address(std::move(Peer)), Options(std::move(Chosen)) {}

  Loop &Io;
  const std::string Address;
  const LinkOptions Options;
  std::shared_ptr<internal::LinkConnection> Current;
  std::map<std::uint64_t, OpenCall> Open;
  std::uint64_t LastExchange = 0;
  /// Silence counts from here at the earliest.
  TimePoint AwaitedSince;
  bool Connecting = false;
  bool Ticking = false;
  bool Closed = false;

  void sendOpen() {
    for (auto &[Exchange, Call] : Open)
      if (!Call.Sent) {
        if (Current->queuedBytes() > Options.QueueBytes)
          return;
        Current->send(
            internal::encodeLinkFrame(Exchange, Call.Name, *Call.Body));
        Call.Sent = true;
      }
  }

  void received(internal::LinkFrame Frame) {
    const auto Place = Open.find(Frame.Exchange);
    if (Place == Open.end())
      return; // Answered too late, or by the connection before.
    const Answered Done = std::move(Place->second.Done);
    Open.erase(Place);
    Expected<Json> Body = internal::decodeBody(Frame.Body);
    if (Body && Frame.Name == internal::FailedStatus)
      Done(tl::unexpected(Body->get<Error>()));
    else
      Done(std::move(Body));
  }

  void lost() {
    Current.reset();
    for (auto &[Exchange, Call] : Open)
      Call.Sent = false;
    if (Closed)
      return;
    if (Options.Changed)
      Options.Changed(Address, false);
    if (!Open.empty())
      connect();
  }

  void connect() {
    if (Connecting || Closed)
      return;
    Connecting = true;
    spawn(Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
      while (!Self->Closed && !Self->Open.empty()) {
        const bool Connected = co_await Self->connectOnce();
        if (Connected)
          break;
        co_await pause(Self->Io, Self->Options.RetryPause);
      }
      Self->Connecting = false;
    }(shared_from_this()));
  }

  Task<bool> connectOnce() {
    const Expected<Tcp::endpoint> Peer = parseAddress(Address);
    if (!Peer)
      co_return false;
    Expected<Tcp::socket> Socket =
        co_await connectWithin(Io, *Peer, Options.ConnectLimit);
    if (!Socket || Closed)
      co_return false;
    Current =
        std::make_shared<internal::LinkConnection>(Io, std::move(*Socket));
    const std::weak_ptr<Impl> Weak = shared_from_this();
    const internal::LinkConnection *Mine = Current.get();
    Current->start(
        [Weak](internal::LinkFrame Frame) {
          if (const auto Self = Weak.lock())
            Self->received(std::move(Frame));
        },
        [Weak, Mine] {
          const auto Self = Weak.lock();
          if (Self && Self->Current.get() == Mine)
            Self->lost();
        });
    AwaitedSince = steadyNow();
    if (Options.Changed)
      Options.Changed(Address, true);
    sendOpen();
    co_return true;
  }

  void startTicking() {
    if (Ticking)
      return;
    Ticking = true;
    spawn(Io, [](std::shared_ptr<Impl> Self) -> Task<void> {
      while (!Self->Open.empty()) {
        co_await pause(Self->Io, Tick);
        Self->tick(steadyNow());
      }
      Self->Ticking = false;
    }(shared_from_this()));
  }

  void tick(TimePoint Now) {
    std::vector<Answered> Late;
    for (auto Place = Open.begin(); Place != Open.end();) {
      if (Place->second.Deadline <= Now) {
        Late.push_back(std::move(Place->second.Done));
        Place = Open.erase(Place);
      } else {
        ++Place;
      }
    }
    // A long answer brings bytes long before it is whole.
    if (Current && !Open.empty() &&
        Now - std::max(AwaitedSince, Current->heardAt()) >
            Options.SilenceLimit) {
      const auto Silent = Current;
      lost();
      Silent->close();
    }
    if (Current)
      sendOpen();
    for (const Answered &Done : Late)
      Done(refuse(ErrorKind::Timeout, Address + " did not answer in time"));
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
                      TimePoint Deadline, Answered Done) {
  // Silence counts only while something is awaited.
  if (Inner->Open.empty())
    Inner->AwaitedSince = steadyNow();
  Inner->Open.emplace(
      ++Inner->LastExchange,
      OpenCall{Name, std::move(Body), Deadline, std::move(Done), false});
  Inner->startTicking();
  if (Inner->Current)
    Inner->sendOpen();
  else
    Inner->connect();
}

void LinkClient::close() {
  Inner->Closed = true;
  if (Inner->Current)
    Inner->Current->close();
  Inner->Current.reset();
  for (auto &[Exchange, Call] : std::exchange(Inner->Open, {}))
    Call.Done(refuse(ErrorKind::LinkLost, "the link was closed"));
}

Task<Expected<Json>> callLink(Loop &Io, std::shared_ptr<LinkClient> Link,
                              std::string Name, LinkBody Body,
                              TimePoint Deadline) {
  struct Waiter {
    explicit Waiter(Loop &Io) : Changed(Io) {}
    Signal Changed;
    std::optional<Expected<Json>> Result;
  };
  const auto State = std::make_shared<Waiter>(Io);
  Link->call(Name, std::move(Body), Deadline, [State](Expected<Json> Result) {
    State->Result = std::move(Result);
    State->Changed.raise();
  });
  while (!State->Result)
    co_await State->Changed.wait(TimePoint::max());
  co_return std::move(*State->Result);
}

} // namespace tamarack
