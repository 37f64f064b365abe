#include "tamarack/routing/ChooseEndpoint.h"

#include <algorithm>

namespace tamarack {
namespace {

/// An endpoint that may be chosen, and its cost for the call.
struct Candidate {
  const EndpointView *View;
  Duration Cost;
  TokenCount Cached;
};

TokenCount cachedTokens(const EndpointView &View,
                        const RoutingRequest &Request) {
  const auto Found = Request.CachedPromptTokens.find(View.Endpoint);
  if (Found == Request.CachedPromptTokens.end())
    return 0;
  return std::min(Found->second, Request.PromptTokens);
}

Duration networkCost(const EndpointView &View, const RoutingRequest &Request,
                     const CostModel &Model) {
  if (View.Region != Request.Home)
    return Model.NetworkOtherRegion;
  if (View.DataCentre == Request.DataCentre)
    return Model.NetworkSameDataCentre;
  return Model.NetworkOtherDataCentre;
}

Duration slowLinkCost(const EndpointView &View, const RoutingRequest &Request,
                      const CostModel &Model) {
  if (View.Region == Request.Home)
    return Duration(0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Request.HistoryBytes) * Model.SlowLinkMicrosPerByte));
}

bool isExcluded(const EndpointView &View, const RoutingRequest &Request) {
  return std::find(Request.Exclude.begin(), Request.Exclude.end(),
                   View.Endpoint) != Request.Exclude.end();
}

/// The calls at the endpoint per slot; breaks ties between candidates of equal
/// cost.
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
                                  const RoutingRequest &Request,
                                  const CostModel &Model, MemberState State,
                                  bool InHomeRegion) {
  std::vector<Candidate> Found;
  for (const EndpointView &View : Views) {
    if (View.State != State || View.Ejected || isExcluded(View, Request))
      continue;
    if ((View.Region == Request.Home) != InHomeRegion)
      continue;
    Found.push_back(
        {&View, costAt(View, Request, Model), cachedTokens(View, Request)});
  }
  return Found;
}

/// The cheaper of two candidates drawn at random.
const Candidate &cheaperOfTwoDrawn(const std::vector<Candidate> &Candidates,
                                   std::uint64_t RandomDraw) {
  const std::uint64_t Size = Candidates.size();
  const std::uint64_t First = (RandomDraw >> 32) % Size;
  if (Size == 1)
    return Candidates[First];
  const std::uint64_t Step = 1 + (RandomDraw & 0xffffffffU) % (Size - 1);
  return cheaperOf(Candidates[First], Candidates[(First + Step) % Size]);
}

/// The cheapest candidate that caches a part of the prompt, or null.
const Candidate *cheapestCached(const std::vector<Candidate> &Candidates) {
  const Candidate *Best = nullptr;
  for (const Candidate &Next : Candidates)
    if (Next.Cached > 0 && (!Best || isCheaper(Next, *Best)))
      Best = &Next;
  return Best;
}

/// The candidate that caches the program's prompt, or null. Prefers the
/// endpoint of the program's last call.
const Candidate *cachingCandidate(const std::vector<Candidate> &Candidates,
                                  const RoutingRequest &Request) {
  for (const Candidate &Next : Candidates)
    if (Next.Cached > 0 && Request.LastEndpoint == Next.View->Endpoint)
      return &Next;
  return cheapestCached(Candidates);
}

Choice makeChoice(const Candidate &Chosen, const char *Reason) {
  return {Chosen.View->Endpoint, Chosen.Cost, Reason};
}

Choice chooseFrom(const std::vector<Candidate> &Candidates,
                  const RoutingRequest &Request, const CostModel &Model,
                  std::uint64_t RandomDraw) {
  const Candidate *Caching = cachingCandidate(Candidates, Request);
  const Candidate &Drawn = cheaperOfTwoDrawn(Candidates, RandomDraw);
  if (!Caching)
    return makeChoice(Drawn, "cheaper of two random endpoints");
  const Candidate &Other = cheaperOf(*cheapestCached(Candidates), Drawn);
  if (Other.Cost + Model.HysteresisMargin < Caching->Cost)
    return makeChoice(Other, "cheaper than the cached endpoint by the margin");
  return makeChoice(*Caching, "prompt is cached");
}

/// Chooses among the endpoints whose process is in \p State. Prefers the home
/// region unless another one is cheaper by the margin.
std::optional<Choice> chooseInState(const std::vector<EndpointView> &Views,
                                    const RoutingRequest &Request,
                                    const CostModel &Model, MemberState State,
                                    std::uint64_t RandomDraw) {
  const auto InHome = candidates(Views, Request, Model, State, true);
  const auto Remote = candidates(Views, Request, Model, State, false);
  std::optional<Choice> HomeChoice;
  if (!InHome.empty())
    HomeChoice = chooseFrom(InHome, Request, Model, RandomDraw);
  if (Remote.empty())
    return HomeChoice;
  Choice RemoteChoice = chooseFrom(Remote, Request, Model, RandomDraw);
  if (HomeChoice && RemoteChoice.Cost + Model.RegionMargin >= HomeChoice->Cost)
    return HomeChoice;
  RemoteChoice.Reason = HomeChoice ? "home region costs more by the margin"
                                   : "home region has no available endpoint";
  return RemoteChoice;
}

} // namespace

Duration costAt(const EndpointView &View, const RoutingRequest &Request,
                const CostModel &Model) {
  const TokenCount ToPrefill =
      Request.PromptTokens - cachedTokens(View, Request);
  const Duration Prefill(static_cast<Duration::rep>(
      static_cast<double>(ToPrefill) / Model.PrefillTokensPerSecond * 1e6));
  return View.ExpectedWait + View.UnreportedWait + Prefill +
         networkCost(View, Request, Model) + slowLinkCost(View, Request, Model);
}

Expected<Choice> chooseEndpoint(const std::vector<EndpointView> &Views,
                                const RoutingRequest &Request,
                                const CostModel &Model,
                                std::uint64_t RandomDraw) {
  // Suspected endpoints are used only if no live one is available.
  for (MemberState State : {MemberState::Live, MemberState::Suspected})
    if (auto Found = chooseInState(Views, Request, Model, State, RandomDraw))
      return *Found;
  auto Refusal =
      refuse(ErrorKind::EndpointUnavailable,
             "no endpoint is available for this call", NotRun::Proved);
  Refusal.value().RetryAfter = Model.RetryAfter;
  return Refusal;
}

} // namespace tamarack
