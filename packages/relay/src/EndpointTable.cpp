#include "tamarack/relay/EndpointTable.h"

#include <algorithm>
#include <tuple>

namespace tamarack {
namespace {

/// The back-off after the first failure; doubles with each further failure.
constexpr Duration InitialBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t MaxDoublings = 4;
/// A full endpoint has a free slot again after about the time of one request.
constexpr Duration FullBackoff = std::chrono::milliseconds(40);

/// The prefill rate of an engine, which includes the attention to the preceding
/// tokens. The specifications of the deployments state 257 without it.
constexpr double PromptTokensPerMs = 200;
/// The delay of adding a request to a batch, for each request in the batch: the
/// context of about 17,000 tokens of either one adds 0.036 ms to each of about
/// 250 decoding steps of the other.
constexpr double BatchDelayMs = 18;
/// The typical duration of a turn. An endpoint queues requests beyond its
/// slots; each queued request adds a wait of about one turn divided by the
/// slots.
constexpr double TurnMs = 400;
/// The mean share of the program's own prompt part that is new in a turn. The
/// endpoint that ran the program's last turn has cached the rest of the prompt.
constexpr double NewInputShare = 0.125;
/// A round trip to another region, and the cost of sending the request over the
/// slow link.
constexpr double OtherRegionMs = 120;
/// A round trip to another data centre, charged to single requests.
constexpr double OtherDataCentreMs = 1;
/// The same for turns, whose prompts are most of the traffic between data
/// centres. Less than the delay of one more request in a batch, so that a turn
/// leaves the data centre as soon as the endpoints there are busier.
constexpr double OtherDataCentreTurnMs = 15;
/// Exceeds all other costs, so that endpoints in back-off and outliers are used
/// only when there is no other.
constexpr double BackoffPenaltyMs = 100000;
/// For each other request in flight under which an endpoint crashed before, if
/// the request is one of these too. Less than the penalty of a back-off.
constexpr double SuspectPenaltyMs = 10000;
/// The same for other requests: most suspects are innocent.
constexpr double BesideSuspectMs = 50;
/// Added for each place in the order of preference, which depends on the
/// affinity key. Breaks ties between equal costs, so that not all programs go
/// to the same endpoint.
constexpr double PreferenceStepMs = 0.5;
/// At most one in this many endpoints of a service is avoided as an outlier. If
/// more of them fail, the cause is probably not in the endpoints.
constexpr std::size_t MaxOutlierDivisor = 3;
/// The part of a rate limit that first turns of programs may use. The rest is
/// kept for programs under way, whose earlier turns would be lost.
constexpr double FirstTurnPart = 0.8;
/// The lowest sum of rate limits, in requests per second, for which a delay is
/// worked out.
constexpr double MinRate = 0.01;
/// The part of a rate limit that entries of other regions use together. The
/// entries of the endpoint's region do not hear of them.
constexpr double OtherRegionPart = 0.25;
/// How long the announced shutdown of an endpoint that is no longer listed is
/// remembered. Entries that expired in an outage of the platform return within
/// seconds of its end.
constexpr Duration LeavingLifetime = std::chrono::minutes(10);

/// Whether two entries of one endpoint are of the same process.
bool isSameProcess(const EndpointEntry &Left, const EndpointEntry &Right) {
  return Left.Address == Right.Address && Left.StartedAt == Right.StartedAt &&
         Left.Version == Right.Version;
}

} // namespace

EndpointTable::EndpointTable(EndpointTableOptions Options)
    : Options(std::move(Options)), Rates(this->Options.Seed) {}

std::vector<std::string>
EndpointTable::replace(std::vector<EndpointEntry> Entries, TimePoint Now) {
  std::vector<std::string> Stale;
  std::map<EndpointId, EndpointStatus> Next;
  for (EndpointEntry &Entry : Entries) {
    const auto It = Statuses.find(Entry.Endpoint);
    if (It == Statuses.end()) {
      Next[Entry.Endpoint].Entry = std::move(Entry);
      continue;
    }
    EndpointStatus Updated = std::move(It->second);
    if (!isSameProcess(Updated.Entry, Entry)) {
      Stale.push_back(Updated.Entry.Address);
      Updated.Failures = 0;
      Updated.BackoffUntil = {};
      Updated.Outcomes = {};
      Updated.Prompts.clear();
      Rates.forget(Updated.Entry.Endpoint);
    }
    Updated.Entry = std::move(Entry);
    Next[Updated.Entry.Endpoint] = std::move(Updated);
  }
  for (const auto &[Endpoint, Removed] : Statuses)
    if (Next.count(Endpoint) == 0) {
      Stale.push_back(Removed.Entry.Address);
      Rates.forget(Endpoint);
    }
  Statuses.swap(Next);
  forgetOldLeaving(Now);
  return Stale;
}

bool EndpointTable::onLeaving(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Statuses.find(Endpoint);
  if (It == Statuses.end() || isLeaving(It->second.Entry))
    return false;
  Leaving[Endpoint] = {It->second.Entry, Now};
  return true;
}

bool EndpointTable::isLeaving(const EndpointEntry &Entry) const {
  const auto It = Leaving.find(Entry.Endpoint);
  return It != Leaving.end() && isSameProcess(It->second.Entry, Entry);
}

void EndpointTable::forgetOldLeaving(TimePoint Now) {
  for (auto It = Leaving.begin(); It != Leaving.end();) {
    const bool Listed = Statuses.count(It->first) > 0;
    if (!Listed && Now - It->second.AnnouncedAt > LeavingLifetime)
      It = Leaving.erase(It);
    else
      ++It;
  }
}

EndpointNews EndpointTable::news(TimePoint Now) const {
  EndpointNews Result;
  for (const auto &[Endpoint, Status] : Statuses) {
    if (Status.Running > 0)
      Result.InFlight[Endpoint] = Status.Running;
    if (Status.Suspects > 0)
      Result.Suspects[Endpoint] = Status.Suspects;
    const OutcomeCounts Counts = Status.Outcomes.counts(Now);
    if (Counts.Failures > 0)
      Result.Outcomes[Endpoint] = Counts;
  }
  for (const EndpointId &Endpoint : Rates.limitedEndpoints(Now))
    if (const auto Found = Statuses.find(Endpoint); Found != Statuses.end())
      Result.Rates[Endpoint] =
          Rates.rateOf(Endpoint, Found->second.Entry.Service, Now);
  return Result;
}

void EndpointTable::setRemoteNews(EndpointNews Next, TimePoint Now) {
  Rates.setRemoteNews(std::move(Next.Rates), Now);
  RemoteNews = std::move(Next);
  RemoteNewsAt = Now;
}

std::uint32_t EndpointTable::remoteCount(const InFlightByEndpoint &Counts,
                                         const EndpointId &Endpoint,
                                         TimePoint Now) const {
  const auto It = Counts.find(Endpoint);
  const bool IsValid = Now - RemoteNewsAt <= EndpointNewsLifetime;
  return IsValid && It != Counts.end() ? It->second : 0;
}

double EndpointTable::suspectCostMs(const EndpointStatus &Candidate,
                                    const EndpointQuery &Query,
                                    TimePoint Now) const {
  const auto Suspects =
      Candidate.Suspects +
      remoteCount(RemoteNews.Suspects, Candidate.Entry.Endpoint, Now);
  return Suspects * (Query.IsSuspect ? SuspectPenaltyMs : BesideSuspectMs);
}

bool EndpointTable::isOutlierAt(const EndpointStatus &Candidate,
                                TimePoint Now) const {
  OutcomeCounts Total = Candidate.Outcomes.counts(Now);
  const auto It = RemoteNews.Outcomes.find(Candidate.Entry.Endpoint);
  if (It != RemoteNews.Outcomes.end() &&
      Now - RemoteNewsAt <= EndpointNewsLifetime)
    Total = Total + It->second;
  return isOutlier(Total);
}

std::set<const EndpointTable::EndpointStatus *>
EndpointTable::outliersOf(const std::vector<const EndpointStatus *> &Candidates,
                          TimePoint Now) const {
  std::set<const EndpointStatus *> Result;
  for (const EndpointStatus *Candidate : Candidates)
    if (isOutlierAt(*Candidate, Now))
      Result.insert(Candidate);
  if (Result.size() * MaxOutlierDivisor > Candidates.size())
    Result.clear();
  return Result;
}

int EndpointTable::distanceTo(const EndpointStatus &Candidate) const {
  return Options.Distance ? Options.Distance(Candidate.Entry.DataCentre) : 0;
}

/// The time to prefill the part of the prompt that the endpoint has not cached.
double EndpointTable::prefillMs(const EndpointStatus &Candidate,
                                const EndpointQuery &Query) {
  const auto Total = static_cast<double>(promptTokens(Query.Prompt));
  auto Uncached =
      Total - static_cast<double>(Candidate.Prompts.cachedTokens(Query.Prompt));
  if (Candidate.Entry.Endpoint == Query.LastEndpoint)
    Uncached =
        std::min(Uncached, NewInputShare *
                               static_cast<double>(Query.Prompt.back().Tokens));
  return Uncached / PromptTokensPerMs;
}

EndpointCost EndpointTable::costOf(const EndpointStatus &Candidate,
                                   const EndpointQuery &Query,
                                   TimePoint Now) const {
  const EndpointEntry &Entry = Candidate.Entry;
  const double Running = runningAtAll(Candidate, Now);
  const double Slots = std::max(1U, Entry.Slots);
  EndpointCost Cost;
  Cost.BatchMs = Running * BatchDelayMs;
  if (!Query.Prompt.empty())
    Cost.PrefillMs = prefillMs(Candidate, Query) * (1 + Running);
  if (Running >= Slots)
    Cost.QueueMs = TurnMs * (Running - Slots + 1) / Slots;
  const int Distance = distanceTo(Candidate);
  if (Distance >= 2)
    Cost.DistanceMs = OtherRegionMs;
  else if (Distance == 1)
    Cost.DistanceMs =
        Query.AffinityKey.empty() ? OtherDataCentreMs : OtherDataCentreTurnMs;
  if (Candidate.BackoffUntil > Now)
    Cost.BackoffMs = BackoffPenaltyMs;
  Cost.SuspectMs = suspectCostMs(Candidate, Query, Now);
  return Cost;
}

bool EndpointTable::isUsable(const EndpointStatus &Candidate,
                             const ServiceId &Service) const {
  return Candidate.Entry.Service == Service &&
         Candidate.Entry.State == EndpointState::Ready &&
         !isLeaving(Candidate.Entry);
}

bool EndpointTable::isEligible(const EndpointStatus &Candidate,
                               const EndpointQuery &Query) const {
  return isUsable(Candidate, Query.Service) &&
         (!Query.Version || *Query.Version == Candidate.Entry.Version);
}

RateQuery EndpointTable::rateQuery(const EndpointStatus &Candidate) const {
  RateQuery Result{Candidate.Entry.Endpoint, Candidate.Entry.Service, 1, 1};
  if (distanceTo(Candidate) >= 2)
    Result.RegionPart = OtherRegionPart;
  return Result;
}

bool EndpointTable::isWithinRate(const EndpointStatus &Candidate,
                                 const EndpointQuery &Query,
                                 TimePoint Now) const {
  // Most endpoints have no limit, and no query needs to be built for them.
  if (!Rates.limitOf(Candidate.Entry.Endpoint, Now))
    return true;
  RateQuery Rate = rateQuery(Candidate);
  if (!Query.Prompt.empty() && Query.LastEndpoint.empty())
    Rate.KindPart = FirstTurnPart;
  return Rates.admits(Rate, Now);
}

std::optional<Duration>
EndpointTable::rateLimitDelay(const EndpointQuery &Query, TimePoint Now) const {
  double PerSecond = 0;
  bool AnyLimited = false;
  for (const auto &[Endpoint, Status] : Statuses) {
    if (!isEligible(Status, Query) || Query.Exclude.count(Endpoint) > 0)
      continue;
    const std::optional<double> Limit = Rates.limitOf(Endpoint, Now);
    if (!Limit)
      return std::nullopt;
    AnyLimited = true;
    const RateQuery Rate = rateQuery(Status);
    PerSecond += *Limit * Rate.RegionPart * Rates.shareOf(Rate, Now);
  }
  if (!AnyLimited)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(PerSecond, MinRate)));
}

std::uint32_t EndpointTable::runningAtAll(const EndpointStatus &Candidate,
                                          TimePoint Now) const {
  return Candidate.Running +
         remoteCount(RemoteNews.InFlight, Candidate.Entry.Endpoint, Now);
}

bool EndpointTable::isSpare(const EndpointStatus &Candidate,
                            TimePoint Now) const {
  return distanceTo(Candidate) < 2 && Candidate.BackoffUntil <= Now &&
         runningAtAll(Candidate, Now) < Candidate.Entry.Slots &&
         !Rates.limitOf(Candidate.Entry.Endpoint, Now);
}

ServiceLoad EndpointTable::loadOf(const ServiceId &Service,
                                  TimePoint Now) const {
  ServiceLoad Result;
  Result.IsKnown = Now - RemoteNewsAt <= EndpointNewsLifetime;
  for (const auto &[Endpoint, Status] : Statuses)
    if (isUsable(Status, Service) && distanceTo(Status) < 2) {
      Result.Slots += Status.Entry.Slots;
      Result.Running += runningAtAll(Status, Now);
    }
  return Result;
}

std::vector<EndpointTable::WeighedEndpoint>
EndpointTable::weigh(const EndpointQuery &Query, TimePoint Now) const {
  std::vector<const EndpointStatus *> Candidates;
  for (const auto &[Endpoint, Status] : Statuses)
    if (isEligible(Status, Query))
      Candidates.push_back(&Status);
  const std::set<const EndpointStatus *> Outliers = outliersOf(Candidates, Now);
  std::map<SoftwareVersion, std::size_t> EndpointsOfVersion;
  for (const EndpointStatus *Candidate : Candidates)
    ++EndpointsOfVersion[Candidate->Entry.Version];
  struct Ranked {
    /// Whether a stream could be resumed at another endpoint.
    bool IsResumable;
    std::uint64_t Preference;
    const EndpointStatus *Status;
  };
  std::vector<Ranked> Order;
  for (const EndpointStatus *Candidate : Candidates) {
    const EndpointId &Endpoint = Candidate->Entry.Endpoint;
    if (Query.SpareOnly &&
        (!isSpare(*Candidate, Now) || Outliers.count(Candidate) > 0))
      continue;
    if (Query.Exclude.count(Endpoint) == 0 &&
        isWithinRate(*Candidate, Query, Now))
      Order.push_back(
          {EndpointsOfVersion[Candidate->Entry.Version] > 1,
           stableHash(Query.AffinityKey, stableHash(Endpoint.text())),
           Candidate});
  }
  std::sort(Order.begin(), Order.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return std::tie(Left.IsResumable, Left.Preference) >
                     std::tie(Right.IsResumable, Right.Preference);
            });
  std::vector<WeighedEndpoint> Result;
  Result.reserve(Order.size());
  for (std::size_t Index = 0; Index < Order.size(); ++Index) {
    const EndpointStatus *Status = Order[Index].Status;
    EndpointCost Cost = costOf(*Status, Query, Now);
    Cost.PreferenceMs = PreferenceStepMs * static_cast<double>(Index);
    if (Outliers.count(Status) > 0)
      Cost.OutlierMs = BackoffPenaltyMs;
    Result.push_back({Status, Cost});
  }
  return Result;
}

std::optional<EndpointEntry> EndpointTable::choose(const EndpointQuery &Query,
                                                   TimePoint Now) const {
  const std::vector<WeighedEndpoint> Weighed = weigh(Query, Now);
  const auto Best = std::min_element(
      Weighed.begin(), Weighed.end(),
      [](const WeighedEndpoint &Left, const WeighedEndpoint &Right) {
        return Left.Cost.totalMs() < Right.Cost.totalMs();
      });
  if (Best == Weighed.end())
    return std::nullopt;
  return Best->Status->Entry;
}

std::vector<EndpointCandidate>
EndpointTable::candidates(const EndpointQuery &Query, TimePoint Now) const {
  std::vector<WeighedEndpoint> Weighed = weigh(Query, Now);
  std::stable_sort(
      Weighed.begin(), Weighed.end(),
      [](const WeighedEndpoint &Left, const WeighedEndpoint &Right) {
        return Left.Cost.totalMs() < Right.Cost.totalMs();
      });
  std::vector<EndpointCandidate> Result;
  Result.reserve(Weighed.size());
  for (const WeighedEndpoint &Each : Weighed) {
    const EndpointId &Endpoint = Each.Status->Entry.Endpoint;
    Result.push_back({Each.Status->Entry, Each.Cost, Each.Status->Running,
                      remoteCount(RemoteNews.InFlight, Endpoint, Now),
                      Rates.limitOf(Endpoint, Now)});
  }
  return Result;
}

std::optional<Duration> EndpointTable::remoteNewsAge(TimePoint Now) const {
  if (RemoteNewsAt == TimePoint())
    return std::nullopt;
  return Now - RemoteNewsAt;
}

bool EndpointTable::onRateLimit(const EndpointId &Endpoint,
                                std::optional<double> PerSecond,
                                TimePoint Now) {
  return Statuses.count(Endpoint) > 0 &&
         Rates.onStated(Endpoint, PerSecond, Now);
}

void EndpointTable::onRequestStarted(const EndpointId &Endpoint, TimePoint Now,
                                     const std::vector<PromptPart> &Prompt,
                                     TokenCount MemoryTokens) {
  const auto It = Statuses.find(Endpoint);
  if (It == Statuses.end())
    return;
  ++It->second.Running;
  Rates.onSent(rateQuery(It->second), Now);
  if (!Prompt.empty())
    It->second.Prompts.recordPrompt(Prompt, MemoryTokens);
}

void EndpointTable::onRequestEnded(const EndpointId &Endpoint) {
  const auto It = Statuses.find(Endpoint);
  if (It != Statuses.end() && It->second.Running > 0)
    --It->second.Running;
}

void EndpointTable::onSuspectStarted(const EndpointId &Endpoint) {
  if (const auto It = Statuses.find(Endpoint); It != Statuses.end())
    ++It->second.Suspects;
}

void EndpointTable::onSuspectEnded(const EndpointId &Endpoint) {
  const auto It = Statuses.find(Endpoint);
  if (It != Statuses.end() && It->second.Suspects > 0)
    --It->second.Suspects;
}

bool EndpointTable::isServing(const EndpointEntry &Entry) const {
  const auto It = Statuses.find(Entry.Endpoint);
  return It != Statuses.end() && isUsable(It->second, Entry.Service) &&
         isSameProcess(It->second.Entry, Entry);
}

const EndpointEntry *EndpointTable::find(const EndpointId &Endpoint) const {
  const auto It = Statuses.find(Endpoint);
  return It == Statuses.end() ? nullptr : &It->second.Entry;
}

bool EndpointTable::isListed(const ServiceId &Service) const {
  return std::any_of(Statuses.begin(), Statuses.end(),
                     [&](const auto &Candidate) {
                       return Candidate.second.Entry.Service == Service;
                     });
}

std::set<SoftwareVersion>
EndpointTable::versionsOf(const ServiceId &Service) const {
  std::set<SoftwareVersion> Result;
  for (const auto &[Endpoint, Status] : Statuses)
    if (Status.Entry.Service == Service)
      Result.insert(Status.Entry.Version);
  return Result;
}

bool EndpointTable::isServed(const ServiceVersion &Wanted) const {
  return std::any_of(Statuses.begin(), Statuses.end(),
                     [&](const auto &Candidate) {
                       return isUsable(Candidate.second, Wanted.Service) &&
                              Candidate.second.Entry.Version == Wanted.Version;
                     });
}

void EndpointTable::onSuccess(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Statuses.find(Endpoint);
  if (It == Statuses.end())
    return;
  It->second.Failures = 0;
  It->second.Outcomes.add(true, Now);
}

void EndpointTable::onFailure(const EndpointId &Endpoint, TimePoint Now) {
  const auto It = Statuses.find(Endpoint);
  if (It == Statuses.end())
    return;
  const std::uint32_t Doublings = std::min(It->second.Failures++, MaxDoublings);
  It->second.BackoffUntil = Now + InitialBackoff * (1U << Doublings);
  It->second.Outcomes.add(false, Now);
}

void EndpointTable::onErrorResponse(const EndpointId &Endpoint, TimePoint Now) {
  if (const auto It = Statuses.find(Endpoint); It != Statuses.end())
    It->second.Outcomes.add(false, Now);
}

void EndpointTable::onEndpointFull(const EndpointId &Endpoint, TimePoint Now) {
  if (const auto It = Statuses.find(Endpoint); It != Statuses.end())
    It->second.BackoffUntil =
        std::max(It->second.BackoffUntil, Now + FullBackoff);
}

std::uint32_t EndpointTable::runningAt(const EndpointId &Endpoint) const {
  const auto It = Statuses.find(Endpoint);
  return It == Statuses.end() ? 0 : It->second.Running;
}

} // namespace tamarack
