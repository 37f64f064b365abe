#include "tamarack/relay/Catalog.h"

#include <algorithm>
#include <numeric>

namespace tamarack {
namespace {

/// Returns the host name in lower case and without its port: host names are
/// case-insensitive (RFC 9110, section 4.2.3).
std::string hostOnly(const std::string &Host) {
  std::string Result = Host.substr(0, Host.rfind(':'));
  std::transform(
      Result.begin(), Result.end(), Result.begin(),
      [](unsigned char Char) { return static_cast<char>(std::tolower(Char)); });
  return Result;
}

} // namespace

const Route *matchRoute(const Catalog &Config, const std::string &Host,
                        const std::string &Target) {
  const std::string Name = hostOnly(Host);
  const std::string Path = Target.substr(0, Target.find('?'));
  const Route *Best = nullptr;
  for (const Route &Candidate : Config.Routes)
    if (Path.rfind(Candidate.PathPrefix, 0) == 0 &&
        hostOnly(Candidate.Host) == Name &&
        (Best == nullptr ||
         Candidate.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Candidate;
  return Best;
}

const ServiceInfo *findService(const Catalog &Config,
                               const ServiceId &Service) {
  const auto It = std::find_if(
      Config.Services.begin(), Config.Services.end(),
      [&](const ServiceInfo &Info) { return Info.Service == Service; });
  return It == Config.Services.end() ? nullptr : &*It;
}

const ServiceId &chooseService(const Route &MatchedRoute, std::uint64_t Key) {
  const std::uint64_t Total = std::accumulate(
      MatchedRoute.Services.begin(), MatchedRoute.Services.end(),
      std::uint64_t(0), [](std::uint64_t Sum, const ServiceShare &Share) {
        return Sum + Share.Weight;
      });
  std::uint64_t Remaining = Total == 0 ? 0 : Key % Total;
  for (const ServiceShare &Share : MatchedRoute.Services) {
    if (Remaining < Share.Weight)
      return Share.Service;
    Remaining -= Share.Weight;
  }
  return MatchedRoute.Services.front().Service;
}

} // namespace tamarack
