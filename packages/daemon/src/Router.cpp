#include "Router.h"

#include <thread>

namespace tamarack {
namespace internal {
namespace {

constexpr Duration RoutePause = std::chrono::milliseconds(100);
/// How long a request waits for a change of owner before it is refused.
constexpr Duration OwnerChangeLimit = std::chrono::seconds(10);
constexpr Duration ForwardGrace = std::chrono::seconds(4);
constexpr Duration AliveLimit = std::chrono::seconds(1);
constexpr Duration ProgramLimit = std::chrono::seconds(5);

/// Whether another try may find the owner. It is safe: the owner recognises
/// the request.
bool isWorthAnotherTry(const Error &Why) {
  return Why.Kind == ErrorKind::Fenced || Why.Kind == ErrorKind::LinkLost ||
         Why.Kind == ErrorKind::RevisionConflict ||
         Why.Kind == ErrorKind::OwnerUnavailable;
}

} // namespace

Router::Router(Owner &Programs, ShardTable &Shards, Peers &Network,
               const Clock &Time, std::uint32_t ShardCount)
    : Programs(Programs), Shards(Shards), Network(Network), Time(Time),
      ShardCount(ShardCount) {}

template <typename Reply>
Expected<Reply>
Router::route(const ProgramId &Program, std::uint32_t Hops, TimePoint Deadline,
              const std::function<Expected<Reply>()> &Here,
              const std::function<Expected<Reply>(LinkClient &)> &There) {
  const TimePoint GiveUp = std::min(Deadline, Time.now() + OwnerChangeLimit);
  NotRun Proof = NotRun::Proved;
  while (true) {
    Expected<Reply> Answer = tl::make_unexpected(Error());
    const auto Elsewhere = Programs.findOtherOwner(Program, Hops);
    if (!Elsewhere)
      Answer = tl::make_unexpected(Elsewhere.error());
    else if (!*Elsewhere)
      Answer = Here();
    else if (const auto Link = Network.link(**Elsewhere))
      Answer = There(*Link);
    else
      Answer = refuse(ErrorKind::OwnerUnavailable,
                      "the owner's address is not known", NotRun::Proved);
    if (Answer)
      return Answer;
    Error Why = Answer.error();
    // What an earlier try left unproved stays so.
    if (Why.Proof == NotRun::Unproved)
      Proof = NotRun::Unproved;
    Why.Proof = Proof;
    if (!isWorthAnotherTry(Why))
      return tl::make_unexpected(Why);
    Shards.forgetOwner(shardOf(Program, ShardCount));
    if (Time.now() + RoutePause >= GiveUp) {
      if (Why.Kind == ErrorKind::LinkLost || Why.Kind == ErrorKind::Fenced)
        Why.Kind = ErrorKind::OwnerUnavailable;
      return tl::make_unexpected(Why);
    }
    std::this_thread::sleep_for(RoutePause);
  }
}

Expected<CallReply> Router::call(SubmitCallRequest Order,
                                 const PartSink &OnPart) {
  auto Reply = routeCall(Order, OnPart);
  if (Reply || !mayHaveBeenSentBefore(Order))
    return Reply;
  // Of a request that may have been sent before, only the owner can say that
  // it did not run, and what failed on the way says nothing.
  Error Why = Reply.error();
  if (Why.Kind == ErrorKind::OwnerUnavailable ||
      Why.Kind == ErrorKind::PlatformUnavailable ||
      Why.Kind == ErrorKind::LinkLost)
    Why.Proof = NotRun::Unproved;
  return tl::make_unexpected(Why);
}

Expected<CallReply> Router::routeCall(SubmitCallRequest Order,
                                      const PartSink &OnPart) {
  const TimePoint Deadline = Time.now() + Order.Remaining;
  const auto Carry = [this, &Order, Deadline] {
    Order.Remaining = Deadline - Time.now();
    return Order;
  };
  return route<CallReply>(
      Order.Program, Order.Hops, Deadline,
      [&] { return Programs.call(Carry(), OnPart); },
      [&](LinkClient &Link) {
        SubmitCallRequest Sent = Carry();
        ++Sent.Hops;
        const CallLimits Limits{Sent.Remaining + ForwardGrace,
                                Sent.Remaining + ForwardGrace};
        return Link.stream(Sent, Limits, [&OnPart](const CallPart &Part) {
          OnPart(Part);
          return true;
        });
      });
}

Expected<ProgramReport> Router::program(ProgramRequest Order) {
  return route<ProgramReport>(
      Order.Program, Order.Hops, Time.now() + ProgramLimit,
      [&] { return Programs.program(Order); },
      [&](LinkClient &Link) {
        ProgramRequest Sent = Order;
        ++Sent.Hops;
        return Link.call(Sent, {ProgramLimit, ProgramLimit});
      });
}

Expected<bool> Router::isAlive(ProgramAliveRequest Order, Duration IdleLimit) {
  return route<bool>(
      Order.Program, Order.Hops, Time.now() + AliveLimit,
      [&] { return Programs.isAlive(Order.Program, IdleLimit); },
      [&](LinkClient &Link) {
        ProgramAliveRequest Sent = Order;
        ++Sent.Hops;
        return Link.call(Sent, {AliveLimit, AliveLimit})
            .map([](const ProgramAliveReply &Reply) { return Reply.Alive; });
      });
}

} // namespace internal
} // namespace tamarack
