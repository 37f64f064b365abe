/// Brings a request to the owner of its program, here or at another entry.
///
/// The request keeps its identity on the way, so a detour or a second try
/// joins the call or finds its stored answer and never runs it twice.
#ifndef TAMARACK_DAEMON_ROUTER_H
#define TAMARACK_DAEMON_ROUTER_H

#include "Peers.h"
#include "tamarack/entry/Owner.h"

namespace tamarack {
namespace internal {

class Router {
public:
  Router(Owner &Programs, ShardTable &Shards, Peers &Network, const Clock &Time,
         std::uint32_t ShardCount);

  Expected<CallReply> call(SubmitCallRequest Order, const PartSink &OnPart);
  Expected<ProgramReport> program(ProgramRequest Order);
  Expected<bool> isAlive(ProgramAliveRequest Order, Duration IdleLimit);

private:
  Expected<CallReply> routeCall(SubmitCallRequest Order,
                                const PartSink &OnPart);
  /// Runs \p Here on this entry or \p There at the owner, and tries again
  /// while the owner is changing and \p Deadline allows.
  template <typename Reply>
  Expected<Reply>
  route(const ProgramId &Program, std::uint32_t Hops, TimePoint Deadline,
        const std::function<Expected<Reply>()> &Here,
        const std::function<Expected<Reply>(LinkClient &)> &There);

  Owner &Programs;
  ShardTable &Shards;
  Peers &Network;
  const Clock &Time;
  const std::uint32_t ShardCount;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_ROUTER_H
