#include "RelayImpl.h"

namespace tamarack {

using internal::RequestContext;

namespace {

/// The timeout of the connection that shows whether an endpoint has ended. One
/// to another region takes 40 ms.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(200);
/// The timeout of an exchange with one ledger, which covers the opening of a
/// new connection. Others are asked meanwhile.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds(800);

} // namespace

std::optional<Error>
Relay::Impl::refusalAfterCrashes(const RequestContext &Context) {
  const TimePoint Now = steadyNow();
  if (!Crashes.isBlocked(Context.Digest, Now))
    return std::nullopt;
  Crashes.onRefused(Context.Digest, Now);
  return Error{
      ErrorKind::CrashesEndpoints,
      "endpoints crashed each time that they ran this request; sending "
      "it again does not help",
      NotRun::Proved,
      {}};
}

Task<void> Relay::Impl::recordBrokenAttempt(const RequestContext &Context,
                                            EndpointEntry To,
                                            TimePoint SentAt) {
  const Expected<Tcp::endpoint> Peer = parseAddress(To.Address);
  if (!Peer || !Endpoints.isServing(To))
    co_return;
  const PortState State = co_await probePort(Io, *Peer, ProbeTimeout);
  if (State != PortState::Closed || !Endpoints.isServing(To))
    co_return;
  const std::size_t Count =
      Crashes.onCrash(Context.Digest, To.Endpoint, SentAt, steadyNow());
  Metrics.countEndpointCrash();
  LogLine("entry.endpoint_crashed")
      .with("request", Context.Metadata.RequestId)
      .with("digest", Context.Digest)
      .with("endpoint", To.Endpoint)
      .with("crashes", Count);
  CrashObserved.raise();
}

Task<void> Relay::Impl::exchangeCrashes() {
  std::size_t Turn = 0;
  TimePoint NextTurnAt = steadyNow();
  while (true) {
    const std::vector<ViewMember> Members = Ledgers.view().Members;
    const bool IsTurn = steadyNow() >= NextTurnAt;
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      const std::string &Address = Members[Index].Address;
      const CrashPeer &Peer = CrashPeers[Address];
      const bool HasNews =
          !Crashes.observedAfter(Peer.SentNumber, steadyNow()).Records.empty();
      const bool IsNext = IsTurn && Index == Turn % Members.size();
      if (!Peer.IsCalled && (HasNews || IsNext))
        spawn(Io, exchangeCrashesWith(Address));
    }
    if (IsTurn) {
      ++Turn;
      NextTurnAt = steadyNow() + CrashExchangeInterval;
    }
    co_await CrashObserved.wait(NextTurnAt);
  }
}

Task<void> Relay::Impl::exchangeCrashesWith(std::string Address) {
  CrashPeer &Peer = CrashPeers[Address];
  Peer.IsCalled = true;
  const CrashNews Observed =
      Crashes.observedAfter(Peer.SentNumber, steadyNow());
  const CrashRequest Request{Peer.Received, Observed.Records};
  const Expected<Json> Answer = co_await Ledgers.call(
      Address, calls::Crashes, Json(Request), steadyNow() + ExchangeTimeout);
  Peer.IsCalled = false;
  if (!Answer)
    co_return;
  try {
    const CrashNews News = Answer->get<CrashNews>();
    // A restarted ledger knows nothing of what was sent before.
    const bool IsSameProcess = News.Position.Source == Peer.Received.Source ||
                               Peer.Received.Source.empty();
    Peer.SentNumber = IsSameProcess ? Observed.Position.Number : 0;
    Peer.Received = News.Position;
    Crashes.merge(News.Records, steadyNow());
  } catch (const Json::exception &Failure) {
    LogLine("entry.crash_news_refused")
        .with("peer", Address)
        .with("reason", Failure.what());
  }
}

} // namespace tamarack
