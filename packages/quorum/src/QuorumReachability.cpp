#include "tamarack/quorum/QuorumReachability.h"

#include <algorithm>
#include <utility>

namespace tamarack {
namespace {

/// A member is unresponsive after this many ticks without a reply. Exceeds a
/// round trip between regions and a sync to a slow disk.
constexpr int MaxSilentTicks = 4;
/// Additional ticks for a member whose connection was reset: a killed process
/// is back within about a second.
constexpr int RestartTicks = 8;
/// A loss of power of all members lasts about 1.5 s, and they read their
/// journals for up to 0.9 s.
constexpr int MinCutOffTicks = 20;

} // namespace

bool QuorumReachability::isResponsive(const MemberState &Member) {
  return Member.HasAnswered && Member.SilentTicks < MaxSilentTicks;
}

void QuorumReachability::setMembers(const std::vector<std::string> &Addresses,
                                    std::size_t NeededMembers) {
  std::map<std::string, MemberState> Next;
  for (const std::string &Address : Addresses)
    Next[Address] = Members[Address];
  Members.swap(Next);
  Needed = NeededMembers;
  WasReachable = isReachable();
  UnreachableTicks = 0;
}

void QuorumReachability::onCall(const std::string &Address) {
  const auto It = Members.find(Address);
  if (It == Members.end() || It->second.AwaitsReply)
    return;
  It->second.AwaitsReply = true;
  It->second.SilentTicks = 0;
}

void QuorumReachability::onReply(const std::string &Address) {
  const auto It = Members.find(Address);
  if (It == Members.end())
    return;
  It->second = {true, false, 0, false};
  WasReachable = WasReachable || isReachable();
}

void QuorumReachability::onConnectionLost(const std::string &Address) {
  const auto It = Members.find(Address);
  if (It == Members.end() || !isResponsive(It->second) ||
      std::exchange(It->second.RestartAllowed, true))
    return;
  It->second.SilentTicks = -RestartTicks;
}

void QuorumReachability::onTick() {
  for (auto &[Address, Member] : Members)
    if (Member.AwaitsReply && Member.SilentTicks < MaxSilentTicks)
      ++Member.SilentTicks;
  UnreachableTicks = isReachable() ? 0 : UnreachableTicks + 1;
}

bool QuorumReachability::isCutOff() const {
  return WasReachable && !isReachable() && UnreachableTicks >= MinCutOffTicks;
}

bool QuorumReachability::isReachable() const {
  const auto Responsive =
      std::count_if(Members.begin(), Members.end(), [](const auto &Member) {
        return isResponsive(Member.second);
      });
  return static_cast<std::size_t>(Responsive) >= Needed;
}

bool QuorumReachability::needsTicks() const {
  return std::any_of(Members.begin(), Members.end(), [](const auto &Member) {
    return Member.second.AwaitsReply || !isResponsive(Member.second);
  });
}

std::vector<std::string> QuorumReachability::membersToProbe() const {
  std::vector<std::string> Result;
  for (const auto &[Address, Member] : Members)
    if (!isResponsive(Member))
      Result.push_back(Address);
  return Result;
}

} // namespace tamarack
