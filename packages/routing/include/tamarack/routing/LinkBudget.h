/// A token bucket for a process's share of the slow link between regions.
///
/// Items wait in one queue for each class. Control has the highest priority,
/// followed by answers, history deltas and bulk. A lower class may not use up
/// the burst but leaves a reserve, so that control never waits behind it:
///
///   if (auto Refusal = checkAdmission(Budget, Item, Limits))
///     return tl::unexpected(*Refusal);
///   Budget = enqueue(std::move(Budget), Item);
///   SendDecision Decision = nextToSend(std::move(Budget), Limits, Now);
///   Budget = std::move(Decision.Budget);
///   if (Decision.Item) ...       // send it, and ask again
///   else if (Decision.Delay) ... // ask again after the delay
#ifndef TAMARACK_ROUTING_LINKBUDGET_H
#define TAMARACK_ROUTING_LINKBUDGET_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace tamarack {

/// Ordered from the highest to the lowest priority.
enum class LinkClass { Control, Answer, History, Bulk };
constexpr std::size_t LinkClassCount = 4;

struct LinkLimits {
  double BytesPerSecond = 100'000;
  double BurstBytes = 200'000;
  /// The share of the burst that each class leaves to those of higher priority.
  std::array<double, LinkClassCount> Reserve = {0, 0.1, 0.25, 0.5};
  /// The maximum number of bytes queued in one class.
  std::uint64_t MaxQueuedBytes = 4'000'000;
};

/// A message, or a part of one, of at most maxItemBytes().
struct LinkItem {
  LinkClass Class = LinkClass::Bulk;
  std::uint64_t Bytes = 0;
  /// An identifier chosen by the sender.
  std::uint64_t Id = 0;

  auto tied() const { return std::tie(Class, Bytes, Id); }
};

struct LinkQueue {
  std::deque<LinkItem> Items;
  /// Of all items together.
  std::uint64_t Bytes = 0;

  auto tied() const { return std::tie(Items, Bytes); }
};

struct LinkBudget {
  /// Bytes that may be sent now.
  double Tokens = 0;
  TimePoint RefilledAt;
  std::array<LinkQueue, LinkClassCount> Queues;
};

struct SendDecision {
  LinkBudget Budget;
  /// The item to send now, if any.
  std::optional<LinkItem> Item;
  /// How long until the next item may be sent; empty if nothing is queued.
  std::optional<Duration> Delay;
};

LinkBudget fullLinkBudget(const LinkLimits &Limits, TimePoint Now);

/// The maximum size of an item of \p Class. Larger messages must be split.
std::uint64_t maxItemBytes(LinkClass Class, const LinkLimits &Limits);

/// Returns why \p Item cannot be queued, if it cannot: Overloaded if too many
/// bytes of its class are queued, BodyTooLarge if it exceeds maxItemBytes().
/// Both prove that nothing was sent.
std::optional<Error> checkAdmission(const LinkBudget &Budget,
                                    const LinkItem &Item,
                                    const LinkLimits &Limits);

/// Queues an item that checkAdmission() has admitted.
LinkBudget enqueue(LinkBudget Budget, const LinkItem &Item);

/// Removes the next item that may be sent now, if any, and charges its bytes.
SendDecision nextToSend(LinkBudget Budget, const LinkLimits &Limits,
                        TimePoint Now);

const char *nameOf(LinkClass Class);
std::ostream &operator<<(std::ostream &Out, LinkClass Class);

} // namespace tamarack

#endif // TAMARACK_ROUTING_LINKBUDGET_H
