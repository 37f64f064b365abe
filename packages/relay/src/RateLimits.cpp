#include "tamarack/relay/RateLimits.h"

#include <algorithm>

namespace tamarack {
namespace {

/// An entry saves up the tokens of this time, and at least one.
constexpr double MaxSavedSeconds = 1;
/// The end of a limit below this, in requests per second, is not noticed in
/// time by the requests that it lets pass.
constexpr double MinNoticeableLimit = 0.05;
/// What all entries together send to an endpoint with such a limit, in requests
/// per second, so that its end is noticed.
constexpr double ProbeRate = 0.25;
/// The share of an entry that has not heard from any other one yet.
constexpr double UnknownShare = 0.25;

double inPeriod(double PerSecond) {
  return PerSecond * std::chrono::duration<double>(RateLimits::Period).count();
}

} // namespace

bool RateLimits::onStated(const EndpointId &Endpoint,
                          std::optional<double> PerSecond, TimePoint Now) {
  const std::optional<double> Before = statedLimit(Endpoint, Now);
  if (PerSecond) {
    Stated[Endpoint] = {*PerSecond, Now};
    startTokens(Endpoint, Now);
  } else if (Stated.erase(Endpoint) > 0) {
    Uses[Endpoint].Tokens.reset();
  }
  return Before != PerSecond;
}

std::optional<double> RateLimits::statedLimit(const EndpointId &Endpoint,
                                              TimePoint Now) const {
  const auto Known = Stated.find(Endpoint);
  if (Known == Stated.end())
    return std::nullopt;
  const double Limit = Known->second.PerSecond;
  if (Now - Known->second.At <= StatementLifetime)
    return Limit;
  // Others that send to the endpoint would report the limit if it still held.
  const bool HasEnded = isRemoteRecent(Now) || Limit < MinNoticeableLimit;
  return HasEnded ? std::nullopt : std::optional(Limit);
}

void RateLimits::startTokens(const EndpointId &Endpoint, TimePoint Now) {
  constexpr std::uint64_t Steps = 1000;
  EndpointUse &Use = Uses[Endpoint];
  if (Use.Tokens)
    return;
  Use.Tokens = static_cast<double>(stableHash(Endpoint.text(), Seed) % Steps) /
               static_cast<double>(Steps);
  Use.TokensAt = Now;
}

void RateLimits::forget(const EndpointId &Endpoint) {
  Stated.erase(Endpoint);
  Uses.erase(Endpoint);
  Remote.erase(Endpoint);
}

void RateLimits::onSent(const RateQuery &Query, TimePoint Now) {
  EndpointUse &Use = Uses[Query.Endpoint];
  if (const std::optional<double> Limit = limitOf(Query.Endpoint, Now)) {
    Use.Tokens = tokens(Query, *Limit, Now) - 1;
    Use.TokensAt = Now;
  }
  Use.Sent.add(Now);
  SentInAll.try_emplace(Query.Service, Period).first->second.add(Now);
}

bool RateLimits::isRemoteRecent(TimePoint Now) const {
  return RemoteAt && Now - *RemoteAt <= EndpointNewsLifetime;
}

std::optional<double> RateLimits::limitOf(const EndpointId &Endpoint,
                                          TimePoint Now) const {
  std::optional<double> Limit = statedLimit(Endpoint, Now);
  const auto Other = Remote.find(Endpoint);
  if (!Limit && Other != Remote.end() && isRemoteRecent(Now))
    Limit = Other->second.Limit;
  if (Limit && *Limit < MinNoticeableLimit)
    Limit = ProbeRate;
  return Limit;
}

double RateLimits::shareOf(const RateQuery &Query, TimePoint Now) const {
  if (!RemoteAt)
    return UnknownShare;
  const auto Sent = SentInAll.find(Query.Service);
  const auto Others = Remote.find(Query.Endpoint);
  return shareOfDemand(Sent == SentInAll.end() ? 0 : Sent->second.count(Now),
                       Others == Remote.end() ? 0 : Others->second.Demand);
}

double RateLimits::tokens(const RateQuery &Query, double Limit,
                          TimePoint Now) const {
  const auto Known = Uses.find(Query.Endpoint);
  const double Rate = Limit * Query.RegionPart * shareOf(Query, Now);
  const double Most = std::max(1.0, Rate * MaxSavedSeconds);
  if (Known == Uses.end() || !Known->second.Tokens)
    return 0;
  const double Seconds =
      std::chrono::duration<double>(Now - Known->second.TokensAt).count();
  return std::min(Most, *Known->second.Tokens + Rate * Seconds);
}

bool RateLimits::admits(const RateQuery &Query, TimePoint Now) const {
  const std::optional<double> Limit = limitOf(Query.Endpoint, Now);
  if (!Limit)
    return true;
  const auto Known = Uses.find(Query.Endpoint);
  double Total = Known == Uses.end() ? 0 : Known->second.Sent.count(Now);
  if (const auto Others = Remote.find(Query.Endpoint);
      Others != Remote.end() && isRemoteRecent(Now))
    Total += Others->second.Sent;
  return Total < inPeriod(*Limit) * Query.RegionPart * Query.KindPart &&
         tokens(Query, *Limit, Now) >= 1;
}

std::vector<EndpointId> RateLimits::limitedEndpoints(TimePoint Now) const {
  std::vector<EndpointId> Result;
  Result.reserve(Stated.size() + Remote.size());
  for (const auto &[Endpoint, Last] : Stated)
    if (limitOf(Endpoint, Now))
      Result.push_back(Endpoint);
  for (const auto &[Endpoint, Rate] : Remote)
    if (Stated.count(Endpoint) == 0 && limitOf(Endpoint, Now))
      Result.push_back(Endpoint);
  return Result;
}

EndpointRate RateLimits::rateOf(const EndpointId &Endpoint,
                                const ServiceId &Service, TimePoint Now) const {
  EndpointRate Result;
  // Only what the endpoint told this entry itself lately is passed on, so that
  // a limit that has ended does not live on in the reports.
  const auto Known = Stated.find(Endpoint);
  if (Known != Stated.end() && Now - Known->second.At <= StatementLifetime)
    Result.Limit = Known->second.PerSecond;
  if (const auto Use = Uses.find(Endpoint); Use != Uses.end())
    Result.Sent = Use->second.Sent.count(Now);
  if (const auto Sent = SentInAll.find(Service); Sent != SentInAll.end())
    Result.Demand = Sent->second.count(Now);
  return Result;
}

void RateLimits::setRemoteNews(RatesByEndpoint Next, TimePoint Now) {
  Remote = std::move(Next);
  RemoteAt = Now;
  for (const auto &[Endpoint, Rate] : Remote)
    if (Rate.Limit)
      startTokens(Endpoint, Now);
}

} // namespace tamarack
