#include "tamarack/routing/Subset.h"

#include "tamarack/base/Json.h"
#include "tamarack/members/Membership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace tamarack {
namespace {

template <typename Name>
std::vector<Name> named(const std::string &Prefix, std::size_t Count) {
  std::vector<Name> Result;
  Result.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Result.emplace_back(Prefix + std::to_string(I));
  return Result;
}

std::vector<InstanceId> entries(std::size_t Count) {
  return named<InstanceId>("entry-", Count);
}

std::vector<EndpointId> endpoints(std::size_t Count) {
  return named<EndpointId>("endpoint-", Count);
}

/// The size of \p Message on the wire as CBOR, with its headers and its TCP
/// acknowledgement.
std::size_t bytesOf(const Json &Message) {
  constexpr std::size_t WebSocketHeader = 4;
  constexpr std::size_t TcpAndIpHeaders = 52;
  return Json::to_cbor(Message).size() + WebSocketHeader + 2 * TcpAndIpHeaders;
}

/// The endpoint is not named, as the connection identifies it.
const Json Report = {{"type", "load"},  {"wait", 123456789}, {"running", 123},
                     {"waiting", 1234}, {"limit", 256},      {"state", "live"}};
const Json Heartbeat = {{"type", "heartbeat"},
                        {"incarnation", 1764805860123456ULL},
                        {"revision", 123456}};

} // namespace

BOOST_AUTO_TEST_SUITE(SubsetTest)

BOOST_AUTO_TEST_CASE(WatchesAllEndpointsOfASmallFleet) {
  const auto All = endpoints(14);
  for (const InstanceId &Self : entries(4))
    BOOST_TEST((subsetOf(Self, entries(4), All, {}) == All), Self);
}

BOOST_AUTO_TEST_CASE(WatchesEveryEndpointWithBoundedSubsets) {
  for (const auto &[EntryCount, EndpointCount] :
       {std::pair{4, 300}, {40, 400}, {400, 12'000}, {400, 400}}) {
    const auto Entries = entries(EntryCount);
    const auto Endpoints = endpoints(EndpointCount);
    const SubsetLimits Limits;
    const auto MaxSize = maxSubsetSize(EntryCount, EndpointCount, Limits);
    std::map<EndpointId, std::size_t> Watchers;
    for (const InstanceId &Self : Entries) {
      const auto Subset = subsetOf(Self, Entries, Endpoints, Limits);
      BOOST_TEST(Subset.size() <= MaxSize,
                 Self << " watches " << Subset.size());
      for (const EndpointId &Watched : Subset)
        ++Watchers[Watched];
    }
    BOOST_TEST(Watchers.size() == Endpoints.size(),
               EntryCount << " entries watch " << Watchers.size() << " of "
                          << EndpointCount);
  }
}

BOOST_AUTO_TEST_CASE(DoesNotDependOnTheOrderOfEntries) {
  BOOST_TEST(rc::check([] {
    auto Entries = entries(*rc::gen::inRange(1, 30));
    const auto Endpoints = endpoints(*rc::gen::inRange(0, 200));
    const InstanceId Self = *rc::gen::elementOf(Entries);
    const auto Subset = subsetOf(Self, Entries, Endpoints, {});
    std::reverse(Entries.begin(), Entries.end());
    RC_ASSERT(Subset == subsetOf(Self, Entries, Endpoints, {}));
  }));
}

BOOST_AUTO_TEST_CASE(BoundsTheSubsetForAnyNames) {
  BOOST_TEST(rc::check([] {
    const auto Draw = std::to_string(*rc::gen::arbitrary<std::uint64_t>());
    const auto Entries = named<InstanceId>(Draw, 20);
    const auto Endpoints = endpoints(20);
    const SubsetLimits Limits{1, 1};
    const auto MaxSize = maxSubsetSize(20, 20, Limits);
    for (const InstanceId &Self : Entries)
      RC_ASSERT(subsetOf(Self, Entries, Endpoints, Limits).size() <= MaxSize);
  }));
}

BOOST_AUTO_TEST_CASE(ChangesFewSubsetsWhenAnEntryIsLost) {
  const auto Entries = entries(40);
  const auto Endpoints = endpoints(400);
  const SubsetLimits Limits{20, 2};
  const std::vector<InstanceId> Fewer(Entries.begin() + 1, Entries.end());
  std::size_t Changed = 0;
  for (const InstanceId &Self : Fewer) {
    const auto Before = subsetOf(Self, Entries, Endpoints, Limits);
    const auto After = subsetOf(Self, Fewer, Endpoints, Limits);
    const std::set<EndpointId> Previous(Before.begin(), Before.end());
    for (const EndpointId &Watched : After)
      Changed += Previous.count(Watched) ? 0 : 1;
  }
  const auto Lost = subsetOf(Entries.front(), Entries, Endpoints, Limits);
  BOOST_TEST(Changed <= Lost.size() + 2, Changed << " for " << Lost.size());
}

BOOST_AUTO_TEST_CASE(KeepsControlTrafficOfTheLargestFleetWithinItsBudget) {
  const auto Watched = maxSubsetSize(400, 12'000, {});
  const Duration Period =
      reportPeriod(Watched, bytesOf(Report), ReportBytesPerSecond);
  const double Seconds = std::chrono::duration<double>(Period).count();
  const double Reports =
      static_cast<double>(Watched * bytesOf(Report)) / Seconds;
  // In both directions, on the links to four peers and on a full mesh.
  const Duration HeartbeatInterval = MembershipTiming().HeartbeatPeriod;
  const double PerLink =
      2 * static_cast<double>(bytesOf(Heartbeat)) /
      std::chrono::duration<double>(HeartbeatInterval).count();
  const double Heartbeats = 4 * PerLink;
  BOOST_TEST_MESSAGE("heartbeats on a full mesh of 400 would take "
                     << 399 * PerLink << " bytes/s");
  BOOST_TEST_MESSAGE("at most " << Watched << " endpoints watched, "
                                << bytesOf(Report) << " bytes every " << Seconds
                                << " s: " << Reports << " bytes/s; heartbeats "
                                << Heartbeats << " bytes/s");
  BOOST_TEST(Reports + Heartbeats <= ControlBytesPerSecond);
  BOOST_TEST(Seconds <= 5.0);
  BOOST_TEST((reportPeriod(14, bytesOf(Report), ReportBytesPerSecond) <=
              std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
