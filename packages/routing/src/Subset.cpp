#include "tamarack/routing/Subset.h"

#include <algorithm>
#include <cmath>

namespace tamarack {
namespace {

/// "subset" in ASCII.
constexpr std::uint64_t SubsetSeed = 0x737562736574ULL;

/// An endpoint, and the number of entries before this one in its rendezvous
/// order.
struct Ranked {
  std::size_t Index;
  std::size_t Rank;
};

/// The endpoints that have \p Self among their first \p Watchers entries.
std::vector<Ranked> watchedBy(const InstanceId &Self,
                              const std::vector<InstanceId> &Entries,
                              const std::vector<EndpointId> &Endpoints,
                              std::size_t Watchers) {
  std::vector<Ranked> Watched;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const auto Hash = stableHash(Endpoints[Index].text(), SubsetSeed);
    const auto SelfWeight = stableHash(Self.text(), Hash);
    std::size_t Rank = 0;
    for (const InstanceId &Entry : Entries) {
      const auto Weight = stableHash(Entry.text(), Hash);
      if (Weight > SelfWeight || (Weight == SelfWeight && Entry < Self))
        ++Rank;
      if (Rank == Watchers)
        break;
    }
    if (Rank < Watchers)
      Watched.push_back({Index, Rank});
  }
  return Watched;
}

/// Reduces \p Watched to the \p Limit endpoints in whose order this entry ranks
/// first.
void keepFirstRanked(std::vector<Ranked> &Watched, std::size_t Limit) {
  if (Watched.size() <= Limit)
    return;
  std::stable_sort(Watched.begin(), Watched.end(),
                   [](const Ranked &Left, const Ranked &Right) {
                     return Left.Rank < Right.Rank;
                   });
  Watched.resize(Limit);
  std::sort(Watched.begin(), Watched.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return Left.Index < Right.Index;
            });
}

} // namespace

std::size_t watchersPerEndpoint(std::size_t Entries, std::size_t Endpoints,
                                const SubsetLimits &Limits) {
  if (Endpoints <= Limits.Target)
    return Entries;
  const std::size_t ForTarget = Limits.Target * Entries / Endpoints;
  return std::min(Entries, std::max(Limits.Watchers, ForTarget));
}

std::size_t maxSubsetSize(std::size_t Entries, std::size_t Endpoints,
                          const SubsetLimits &Limits) {
  if (Entries == 0)
    return 0;
  const double Mean =
      static_cast<double>(watchersPerEndpoint(Entries, Endpoints, Limits)) *
      static_cast<double>(Endpoints) / static_cast<double>(Entries);
  constexpr double StandardDeviations = 4;
  const double Max = std::ceil(Mean + StandardDeviations * std::sqrt(Mean));
  return std::min(Endpoints, static_cast<std::size_t>(Max));
}

std::vector<EndpointId> subsetOf(const InstanceId &Self,
                                 const std::vector<InstanceId> &Entries,
                                 const std::vector<EndpointId> &Endpoints,
                                 const SubsetLimits &Limits) {
  const auto Watchers =
      watchersPerEndpoint(Entries.size(), Endpoints.size(), Limits);
  auto Watched = watchedBy(Self, Entries, Endpoints, Watchers);
  keepFirstRanked(Watched,
                  maxSubsetSize(Entries.size(), Endpoints.size(), Limits));
  std::vector<EndpointId> Subset;
  Subset.reserve(Watched.size());
  for (const Ranked &Next : Watched)
    Subset.push_back(Endpoints[Next.Index]);
  return Subset;
}

Duration reportPeriod(std::size_t Watched, std::size_t BytesPerReport,
                      double BytesPerSecond) {
  const double Bytes = static_cast<double>(Watched * BytesPerReport);
  const Duration Period(
      static_cast<Duration::rep>(std::ceil(Bytes / BytesPerSecond * 1e6)));
  return std::max(Period, MinReportPeriod);
}

} // namespace tamarack
