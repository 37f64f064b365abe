#include "tamarack/routing/LinkBudget.h"

#include <algorithm>
#include <cmath>

namespace tamarack {
namespace {

double reservedTokens(LinkClass Class, const LinkLimits &Limits) {
  return Limits.Reserve[static_cast<std::size_t>(Class)] * Limits.BurstBytes;
}

LinkQueue &queueOf(LinkBudget &Budget, LinkClass Class) {
  return Budget.Queues[static_cast<std::size_t>(Class)];
}

void refill(LinkBudget &Budget, const LinkLimits &Limits, TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - Budget.RefilledAt;
  Budget.Tokens =
      std::min(Limits.BurstBytes,
               Budget.Tokens + Elapsed.count() * Limits.BytesPerSecond);
  Budget.RefilledAt = Now;
}

/// The tokens that the budget must hold before \p Item may be sent.
double tokensNeeded(const LinkItem &Item, const LinkLimits &Limits) {
  return static_cast<double>(Item.Bytes) + reservedTokens(Item.Class, Limits);
}

/// The first item of the class with the highest priority that has any, or null.
const LinkItem *firstQueued(const LinkBudget &Budget) {
  for (const LinkQueue &Queue : Budget.Queues)
    if (!Queue.Items.empty())
      return &Queue.Items.front();
  return nullptr;
}

Duration timeToRefill(double Missing, const LinkLimits &Limits) {
  return Duration(static_cast<Duration::rep>(
      std::ceil(Missing / Limits.BytesPerSecond * 1e6)));
}

} // namespace

LinkBudget fullLinkBudget(const LinkLimits &Limits, TimePoint Now) {
  return {Limits.BurstBytes, Now, {}};
}

std::uint64_t maxItemBytes(LinkClass Class, const LinkLimits &Limits) {
  return static_cast<std::uint64_t>(Limits.BurstBytes -
                                    reservedTokens(Class, Limits));
}

std::optional<Error> checkAdmission(const LinkBudget &Budget,
                                    const LinkItem &Item,
                                    const LinkLimits &Limits) {
  if (Item.Bytes > maxItemBytes(Item.Class, Limits))
    return Error{ErrorKind::BodyTooLarge,
                 "an item of " + std::to_string(Item.Bytes) +
                     " bytes exceeds the limit of " +
                     std::to_string(maxItemBytes(Item.Class, Limits)) +
                     " bytes for class " + nameOf(Item.Class) +
                     " on the slow link",
                 NotRun::Proved, std::nullopt};
  const auto Class = static_cast<std::size_t>(Item.Class);
  if (Budget.Queues[Class].Bytes + Item.Bytes <= Limits.MaxQueuedBytes)
    return std::nullopt;
  return Error{ErrorKind::Overloaded,
               std::string("the queue of class ") + nameOf(Item.Class) +
                   " on the slow link would exceed its limit of " +
                   std::to_string(Limits.MaxQueuedBytes) + " bytes",
               NotRun::Proved, std::nullopt};
}

LinkBudget enqueue(LinkBudget Budget, const LinkItem &Item) {
  LinkQueue &Queue = queueOf(Budget, Item.Class);
  Queue.Items.push_back(Item);
  Queue.Bytes += Item.Bytes;
  return Budget;
}

SendDecision nextToSend(LinkBudget Budget, const LinkLimits &Limits,
                        TimePoint Now) {
  refill(Budget, Limits, Now);
  const LinkItem *First = firstQueued(Budget);
  if (!First)
    return {std::move(Budget), std::nullopt, std::nullopt};
  const LinkItem Item = *First;
  const double Missing = tokensNeeded(Item, Limits) - Budget.Tokens;
  if (Missing > 0)
    return {std::move(Budget), std::nullopt, timeToRefill(Missing, Limits)};
  Budget.Tokens -= static_cast<double>(Item.Bytes);
  LinkQueue &Queue = queueOf(Budget, Item.Class);
  Queue.Items.pop_front();
  Queue.Bytes -= Item.Bytes;
  return {std::move(Budget), Item, std::nullopt};
}

const char *nameOf(LinkClass Class) {
  constexpr const char *Names[] = {"control", "answer", "history", "bulk"};
  return Names[static_cast<std::size_t>(Class)];
}

std::ostream &operator<<(std::ostream &Out, LinkClass Class) {
  return Out << nameOf(Class);
}

} // namespace tamarack
