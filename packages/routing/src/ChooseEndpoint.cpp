#include "tamarack/routing/ChooseEndpoint.h"

#include <algorithm>

namespace tamarack {
namespace {

/// An endpoint that may be chosen, with its cost for the call.
struct Candidate {
  const EndpointView *View;
  Duration Cost;
  TokenCount Cached;
};

TokenCount cachedAt(const EndpointView &View, const RoutingRequest &Needs) {
  const auto Found = Needs.CachedPromptTokens.find(View.Endpoint);
  if (Found == Needs.CachedPromptTokens.end())
    return 0;
  return std::min(Found->second, Needs.PromptTokens);
}

Duration networkTo(const EndpointView &View, const RoutingRequest &Needs,
                   const CostModel &Model) {
  if (View.Region != Needs.Home)
    return Model.NetworkOtherRegion;
  if (View.DataCentre == Needs.DataCentre)
    return Model.NetworkSameDataCentre;
  return Model.NetworkOtherDataCentre;
}

Duration slowLinkTo(const EndpointView &View, const RoutingRequest &Needs,
                    const CostModel &Model) {
  if (View.Region == Needs.Home)
    return Duration(0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Needs.HistoryBytes) * Model.SlowLinkMicrosPerByte));
}

bool isExcluded(const EndpointView &View, const RoutingRequest &Needs) {
  return std::find(Needs.Exclude.begin(), Needs.Exclude.end(), View.Endpoint) !=
         Needs.Exclude.end();
}

/// A candidate's load, to tell apart those of equal cost.
double loadOf(const EndpointView &View) {
  const double Calls = static_cast<double>(View.Running) + View.Waiting;
  return Calls / std::max<std::uint32_t>(View.Limit, 1);
}

bool isCheaper(const Candidate &Left, const Candidate &Right) {
  if (Left.Cost != Right.Cost)
    return Left.Cost < Right.Cost;
  return loadOf(*Left.View) < loadOf(*Right.View);
}

const Candidate &cheaperOf(const Candidate &Left, const Candidate &Right) {
  return isCheaper(Right, Left) ? Right : Left;
}

std::vector<Candidate> candidates(const std::vector<EndpointView> &Views,
                                  const RoutingRequest &Needs,
                                  const CostModel &Model, MemberState State,
                                  bool AtHome) {
  std::vector<Candidate> Found;
  for (const EndpointView &View : Views) {
    if (View.State != State || View.Ejected || isExcluded(View, Needs))
      continue;
    if ((View.Region == Needs.Home) != AtHome)
      continue;
    Found.push_back({&View, costAt(View, Needs, Model), cachedAt(View, Needs)});
  }
  return Found;
}

/// Compares two candidates drawn at random.
const Candidate &drawnFrom(const std::vector<Candidate> &From,
                           std::uint64_t RandomDraw) {
  const std::uint64_t Size = From.size();
  const std::uint64_t First = (RandomDraw >> 32) % Size;
  if (Size == 1)
    return From[First];
  const std::uint64_t Step = 1 + (RandomDraw & 0xffffffffU) % (Size - 1);
  return cheaperOf(From[First], From[(First + Step) % Size]);
}

/// The cheapest of those that cache some of the prompt.
const Candidate *cheapestCached(const std::vector<Candidate> &From) {
  const Candidate *Best = nullptr;
  for (const Candidate &Next : From)
    if (Next.Cached > 0 && (!Best || isCheaper(Next, *Best)))
      Best = &Next;
  return Best;
}

/// Where the program's cache is: its last endpoint before any other.
const Candidate *cachePlace(const std::vector<Candidate> &From,
                            const RoutingRequest &Needs) {
  for (const Candidate &Next : From)
    if (Next.Cached > 0 && Needs.LastEndpoint == Next.View->Endpoint)
      return &Next;
  return cheapestCached(From);
}

Choice chosen(const Candidate &From, const char *Reason) {
  return {From.View->Endpoint, From.Cost, Reason};
}

Choice chooseWithin(const std::vector<Candidate> &From,
                    const RoutingRequest &Needs, const CostModel &Model,
                    std::uint64_t RandomDraw) {
  const Candidate *Stay = cachePlace(From, Needs);
  const Candidate &Drawn = drawnFrom(From, RandomDraw);
  if (!Stay)
    return chosen(Drawn, "cheaper of two at random");
  const Candidate &Other = cheaperOf(*cheapestCached(From), Drawn);
  if (Other.Cost + Model.HysteresisMargin < Stay->Cost)
    return chosen(Other, "cheaper than the cache by the margin");
  return chosen(*Stay, "prompt is cached");
}

/// The choice among members of \p State: home, unless far dearer than away.
std::optional<Choice> chooseAmong(const std::vector<EndpointView> &Views,
                                  const RoutingRequest &Needs,
                                  const CostModel &Model, MemberState State,
                                  std::uint64_t RandomDraw) {
  const auto Home = candidates(Views, Needs, Model, State, true);
  const auto Away = candidates(Views, Needs, Model, State, false);
  std::optional<Choice> AtHome;
  if (!Home.empty())
    AtHome = chooseWithin(Home, Needs, Model, RandomDraw);
  if (Away.empty())
    return AtHome;
  Choice Abroad = chooseWithin(Away, Needs, Model, RandomDraw);
  if (AtHome && Abroad.Cost + Model.RegionMargin >= AtHome->Cost)
    return AtHome;
  Abroad.Reason = AtHome ? "home region is far dearer" : "home region is out";
  return Abroad;
}

} // namespace

Duration costAt(const EndpointView &View, const RoutingRequest &Needs,
                const CostModel &Model) {
  const TokenCount ToPrefill = Needs.PromptTokens - cachedAt(View, Needs);
  const Duration Prefill(static_cast<Duration::rep>(
      static_cast<double>(ToPrefill) / Model.PrefillTokensPerSecond * 1e6));
  return View.ExpectedWait + View.UnreportedWait + Prefill +
         networkTo(View, Needs, Model) + slowLinkTo(View, Needs, Model);
}

Expected<Choice> chooseEndpoint(const std::vector<EndpointView> &Views,
                                const RoutingRequest &Needs,
                                const CostModel &Model,
                                std::uint64_t RandomDraw) {
  // A suspected endpoint is better than a refusal, but only then.
  for (MemberState State : {MemberState::Live, MemberState::Suspected})
    if (auto Found = chooseAmong(Views, Needs, Model, State, RandomDraw))
      return *Found;
  auto Refusal =
      refuse(ErrorKind::EndpointUnavailable,
             "no endpoint is available for this call", NotRun::Proved);
  Refusal.value().RetryAfter = Model.RetryAfter;
  return Refusal;
}

} // namespace tamarack
