#include "tamarack/relay/EndpointTable.h"

#include <algorithm>

namespace tamarack {
namespace {

/// How long a failed endpoint is avoided at first; doubles with each failure.
constexpr Duration FirstAvoidance = std::chrono::milliseconds(250);
constexpr std::uint32_t MostDoublings = 4;
/// A full endpoint has a slot again within about the time of one request.
constexpr Duration FullAvoidance = std::chrono::milliseconds(40);

/// Prompt tokens that an engine reads in a millisecond, with attention to what
/// precedes them: the deployments' sheets say 257 without.
constexpr double PromptTokensPerMs = 200;
/// What one more request costs each other one of a batch: its context of some
/// 17,000 tokens adds 0.036 ms to each of about 250 steps, and theirs to its.
constexpr double RunningCostMs = 18;
/// Beyond its slots an endpoint queues; each request there waits for about a
/// turn divided by the slots.
constexpr double TurnMs = 400;
/// Where its last turn ran, a program's prompt is kept but for its new input,
/// on average an eighth of its own part.
constexpr double NewShare = 0.125;
/// A round trip to another region, and what its bytes cost on the slow link.
constexpr double OtherRegionMs = 120;
/// A round trip to another data centre; small requests prefer the own one.
constexpr double OtherDataCentreMs = 1;
/// Avoided endpoints are used only when there is no other.
constexpr double AvoidedMs = 100000;
/// Parts equal costs, so that entries do not all choose the same.
constexpr double NextInOrderMs = 0.5;
/// What the others told holds that long; they tell every 40 ms while busy.
constexpr Duration LoadLifetime = std::chrono::seconds(1);

} // namespace

EndpointTable::EndpointTable(EndpointTableOptions Options)
    : Options(std::move(Options)) {}

std::vector<std::string>
EndpointTable::replace(std::vector<EndpointEntry> Entries) {
  std::vector<std::string> Stale;
  std::map<EndpointId, Held> Next;
  for (EndpointEntry &Entry : Entries) {
    const auto Place = Known.find(Entry.Endpoint);
    if (Place == Known.end()) {
      Next[Entry.Endpoint].Entry = std::move(Entry);
      continue;
    }
    Held Kept = std::move(Place->second);
    if (Kept.Entry.Address != Entry.Address ||
        Kept.Entry.StartedAt != Entry.StartedAt) {
      Stale.push_back(Kept.Entry.Address);
      Kept.Failures = 0;
      Kept.AvoidUntil = {};
      Kept.Prompts.clear();
    }
    Kept.Entry = std::move(Entry);
    Next[Kept.Entry.Endpoint] = std::move(Kept);
  }
  for (const auto &[Endpoint, Gone] : Known)
    if (Next.count(Endpoint) == 0)
      Stale.push_back(Gone.Entry.Address);
  Known.swap(Next);
  return Stale;
}

EndpointLoad EndpointTable::load() const {
  EndpointLoad Result;
  for (const auto &[Endpoint, Place] : Known)
    if (Place.Running > 0)
      Result[Endpoint] = Place.Running;
  return Result;
}

void EndpointTable::setRemoteLoad(EndpointLoad Next, TimePoint Now) {
  Elsewhere = std::move(Next);
  ElsewhereAt = Now;
}

std::uint32_t EndpointTable::runningElsewhere(const EndpointId &Endpoint,
                                              TimePoint Now) const {
  const auto Place = Elsewhere.find(Endpoint);
  const bool Holds = Now - ElsewhereAt <= LoadLifetime;
  return Holds && Place != Elsewhere.end() ? Place->second : 0;
}

/// How long the endpoint reads the part of the prompt that it does not keep.
double EndpointTable::readingMs(const Held &Candidate,
                                const EndpointNeeds &Needs) {
  const auto All = static_cast<double>(tokensOf(Needs.Prompt));
  auto Unread = All - static_cast<double>(Candidate.Prompts.kept(Needs.Prompt));
  if (Candidate.Entry.Endpoint == Needs.LastEndpoint)
    Unread = std::min(
        Unread, NewShare * static_cast<double>(Needs.Prompt.back().Tokens));
  return Unread / PromptTokensPerMs;
}

double EndpointTable::costOf(const Held &Candidate, const EndpointNeeds &Needs,
                             TimePoint Now) const {
  const EndpointEntry &Entry = Candidate.Entry;
  const double Running =
      Candidate.Running + runningElsewhere(Entry.Endpoint, Now);
  const double Slots = std::max(1U, Entry.Slots);
  double Cost = Running * RunningCostMs;
  if (!Needs.Prompt.empty())
    Cost += readingMs(Candidate, Needs) * (1 + Running);
  if (Running >= Slots)
    Cost += TurnMs * (Running - Slots + 1) / Slots;
  const int Distance =
      Options.Distance ? Options.Distance(Entry.DataCentre) : 0;
  if (Distance >= 2)
    Cost += OtherRegionMs;
  else if (Distance == 1 && Needs.AffinityKey.empty())
    Cost += OtherDataCentreMs;
  if (Candidate.AvoidUntil > Now)
    Cost += AvoidedMs;
  return Cost;
}

std::optional<EndpointEntry> EndpointTable::choose(const EndpointNeeds &Needs,
                                                   TimePoint Now) const {
  struct Ranked {
    std::uint64_t Preference;
    const Held *Place;
  };
  std::vector<Ranked> Order;
  for (const auto &[Endpoint, Place] : Known)
    if (Place.Entry.Service == Needs.Service &&
        Place.Entry.State == EndpointState::Ready &&
        Needs.Exclude.count(Endpoint) == 0)
      Order.push_back(
          {stableHash(Needs.AffinityKey, stableHash(Endpoint.text())), &Place});
  std::sort(Order.begin(), Order.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return Left.Preference > Right.Preference;
            });
  const Held *Best = nullptr;
  double BestCost = 0;
  for (std::size_t At = 0; At < Order.size(); ++At) {
    const double Cost = costOf(*Order[At].Place, Needs, Now) +
                        NextInOrderMs * static_cast<double>(At);
    if (Best == nullptr || Cost < BestCost) {
      Best = Order[At].Place;
      BestCost = Cost;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->Entry;
}

void EndpointTable::started(const EndpointId &Endpoint,
                            const std::vector<PromptPart> &Prompt,
                            TokenCount MemoryTokens) {
  const auto Place = Known.find(Endpoint);
  if (Place == Known.end())
    return;
  ++Place->second.Running;
  if (!Prompt.empty())
    Place->second.Prompts.sent(Prompt, MemoryTokens);
}

void EndpointTable::ended(const EndpointId &Endpoint) {
  const auto Place = Known.find(Endpoint);
  if (Place != Known.end() && Place->second.Running > 0)
    --Place->second.Running;
}

void EndpointTable::succeeded(const EndpointId &Endpoint) {
  if (const auto Place = Known.find(Endpoint); Place != Known.end())
    Place->second.Failures = 0;
}

void EndpointTable::failed(const EndpointId &Endpoint, TimePoint Now) {
  const auto Place = Known.find(Endpoint);
  if (Place == Known.end())
    return;
  const std::uint32_t Doublings =
      std::min(Place->second.Failures++, MostDoublings);
  Place->second.AvoidUntil = Now + FirstAvoidance * (1U << Doublings);
}

void EndpointTable::full(const EndpointId &Endpoint, TimePoint Now) {
  if (const auto Place = Known.find(Endpoint); Place != Known.end())
    Place->second.AvoidUntil =
        std::max(Place->second.AvoidUntil, Now + FullAvoidance);
}

std::uint32_t EndpointTable::runningAt(const EndpointId &Endpoint) const {
  const auto Place = Known.find(Endpoint);
  return Place == Known.end() ? 0 : Place->second.Running;
}

} // namespace tamarack
