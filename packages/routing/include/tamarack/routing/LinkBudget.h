/// A process's share of the slow link between regions.
///
/// What is to be sent waits in one queue for each class. Control goes first,
/// then answers, history deltas and bulk. A lower class may not use up the
/// burst: it leaves a reserve, so that control never waits behind it:
///
///   if (auto Refusal = refusalOf(Budget, Item, Limits))
///     return tl::unexpected(*Refusal);
///   Budget = enqueue(std::move(Budget), Item);
///   LinkStep Step = nextToSend(std::move(Budget), Limits, Now);
///   Budget = std::move(Step.Budget);
///   if (Step.Item) ...           // send it, and ask again
///   else if (Step.After) ...     // ask again after that time
#ifndef TAMARACK_ROUTING_LINKBUDGET_H
#define TAMARACK_ROUTING_LINKBUDGET_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace tamarack {

/// Ordered from the most to the least urgent.
enum class LinkClass { Control, Answer, History, Bulk };
constexpr std::size_t LinkClassCount = 4;

struct LinkLimits {
  double BytesPerSecond = 100'000;
  double BurstBytes = 200'000;
  /// The share of the burst that each class leaves to those before it.
  std::array<double, LinkClassCount> Reserve = {0, 0.1, 0.25, 0.5};
  /// What may wait in one class; more is refused.
  std::uint64_t MostQueuedBytes = 4'000'000;
};

/// A message, or a piece of one no larger than largestItem().
struct LinkItem {
  LinkClass Class = LinkClass::Bulk;
  std::uint64_t Bytes = 0;
  /// The sender's own name for it.
  std::uint64_t Id = 0;

  auto tied() const { return std::tie(Class, Bytes, Id); }
};

struct LinkQueue {
  std::deque<LinkItem> Items;
  std::uint64_t Bytes = 0;

  auto tied() const { return std::tie(Items, Bytes); }
};

struct LinkBudget {
  double Tokens = 0;
  TimePoint RefilledAt;
  std::array<LinkQueue, LinkClassCount> Queues;
};

struct LinkStep {
  LinkBudget Budget;
  std::optional<LinkItem> Item;
  /// How long until the next item may go; empty when nothing waits.
  std::optional<Duration> After;
};

LinkBudget fullLinkBudget(const LinkLimits &Limits, TimePoint Now);

/// The largest item of \p Class; larger ones are sent in pieces.
std::uint64_t largestItem(LinkClass Class, const LinkLimits &Limits);

/// Why \p Item cannot be taken: Overloaded when its class has too much
/// waiting, BodyTooLarge when it is larger than largestItem(). Both prove that
/// nothing was sent.
std::optional<Error> refusalOf(const LinkBudget &Budget, const LinkItem &Item,
                               const LinkLimits &Limits);

/// Queues an item that refusalOf() has let pass.
LinkBudget enqueue(LinkBudget Budget, const LinkItem &Item);

/// The next item that may be sent now, if any; its bytes are charged.
LinkStep nextToSend(LinkBudget Budget, const LinkLimits &Limits, TimePoint Now);

const char *nameOf(LinkClass Class);
std::ostream &operator<<(std::ostream &Out, LinkClass Class);

} // namespace tamarack

#endif // TAMARACK_ROUTING_LINKBUDGET_H
