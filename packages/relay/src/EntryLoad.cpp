#include "tamarack/relay/EntryLoad.h"

#include <algorithm>
#include <utility>

namespace tamarack {
namespace {

/// The delay rises by this part of the difference, and falls by the next.
constexpr int RiseDivisor = 2;
constexpr int FallDivisor = 4;
/// A new program that no other entry would serve better is refused if its first
/// turn would wait here for this part of the time that it has.
constexpr int WaitDivisor = 4;
/// Another entry is better off if its delay is less than this part of the own.
constexpr int BetterDivisor = 2;
/// The pictures of several ledgers arrive at about the same time; one is
/// enough.
constexpr Duration HearInterval = std::chrono::milliseconds(30);

} // namespace

void LoopDelay::observe(Duration Late) {
  const Duration Sample = std::min(Late, Last);
  Last = Late;
  Smoothed +=
      (Sample - Smoothed) / (Sample > Smoothed ? RiseDivisor : FallDivisor);
}

LoadVerdict judgeLoad(Duration Delay, const LoadDemand &Demand) {
  const Duration Wait = Delay * (Demand.IsTurn ? WaitsPerTurn : WaitsPerCall);
  if (Wait <= Demand.TargetLatency)
    return LoadVerdict::Admitted;
  if (Wait > Demand.TimeLeft)
    return LoadVerdict::TooLate;
  if (!Demand.IsTurn || !Demand.IsFirst)
    return LoadVerdict::Admitted;
  const Duration Longest =
      Demand.IsElsewhereBetter
          ? Demand.TargetLatency
          : std::max(Demand.TargetLatency, Demand.TimeLeft / WaitDivisor);
  return Wait > Longest ? LoadVerdict::TooBusy : LoadVerdict::Admitted;
}

void EntryRotation::hear(const LoadByEntry &News, TimePoint Now) {
  if (Now - HeardAt < HearInterval)
    return;
  HeardAt = Now;
  for (const auto &[Name, Load] : News)
    if (Name != Self)
      Peers[Name] = {Load, Now};
  std::erase_if(Peers, [Now](const auto &Each) {
    return Now - Each.second.HeardAt > PeerLifetime;
  });
}

const EntryLoad *EntryRotation::current(const Peer &From, TimePoint Now) {
  return Now - From.HeardAt <= ReportLifetime ? &From.Load : nullptr;
}

std::size_t EntryRotation::known() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Peers.begin(), Peers.end(), [this](const auto &Each) {
                   return Each.second.Load.DataCentre == DataCentre;
                 }));
}

std::size_t EntryRotation::othersReady(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [this, Now](const auto &Each) {
        return Each.second.Load.DataCentre == DataCentre &&
               canServe(current(Each.second, Now));
      }));
}

bool EntryRotation::isElsewhereBetter(Duration OwnDelay, TimePoint Now) const {
  if (isOut())
    return true;
  return std::any_of(
      Peers.begin(), Peers.end(), [this, OwnDelay, Now](const auto &Each) {
        const EntryLoad *Load = current(Each.second, Now);
        return canServe(Load) && Load->DataCentre == DataCentre &&
               Load->Behind <= OwnDelay / BetterDivisor;
      });
}

bool EntryRotation::leavesBefore(const InstanceId &Other,
                                 Duration OtherDelay) const {
  if (Delay != OtherDelay)
    return Delay > OtherDelay;
  return std::pair(stableHash(Self.text()), Self.text()) <
         std::pair(stableHash(Other.text()), Other.text());
}

bool EntryRotation::canOtherDataCentresServe(TimePoint Now) const {
  std::map<DataCentreId, bool> CanServe;
  bool IsOneIdle = false;
  for (const auto &[Name, Each] : Peers) {
    if (Each.Load.DataCentre == DataCentre)
      continue;
    const EntryLoad *Load = current(Each, Now);
    CanServe[Each.Load.DataCentre] |= canServe(Load);
    IsOneIdle |= canServe(Load) && Load->Behind <= MaxDelay / BetterDivisor;
  }
  return IsOneIdle && std::all_of(CanServe.begin(), CanServe.end(),
                                  [](const auto &Each) { return Each.second; });
}

bool EntryRotation::mayBeOut(TimePoint Now) const {
  std::size_t Able = 0;
  std::size_t Staying = 0;
  for (const auto &[Name, Each] : Peers) {
    const EntryLoad *Load = current(Each, Now);
    if (Each.Load.DataCentre != DataCentre || !canServe(Load))
      continue;
    const bool IsBusy = Load->Behind > MaxDelay;
    Able += IsBusy ? 0 : 1;
    Staying += !IsBusy || leavesBefore(Name, Load->Behind) ? 1 : 0;
  }
  return Able > 0 ? 2 * Staying >= known() : canOtherDataCentresServe(Now);
}

void EntryRotation::updateBehind(TimePoint Now) {
  if (Delay > MaxDelay / BetterDivisor)
    LastBusyAt = Now;
  if (Delay > MaxDelay && !BehindSince)
    BehindSince = Now;
  if (Now - LastBusyAt >= CaughtUpAfter)
    BehindSince = std::nullopt;
}

void EntryRotation::update(Duration OwnDelay, Duration Target, TimePoint Now) {
  Delay = OwnDelay;
  MaxDelay = Target / WaitsPerTurn;
  updateBehind(Now);
  const bool AreReportsCurrent = Now - HeardAt <= ReportLifetime;
  if (!isOut()) {
    if (!isBehind() || Now - *BehindSince < LeaveAfter || !AreReportsCurrent ||
        !mayBeOut(Now))
      return;
    const bool IsSoonAgain = Now - LastBackAt < 2 * OutTime;
    OutTime = IsSoonAgain ? std::min(2 * OutTime, MaxOutTime) : MinOutTime;
    OutSince = Now;
    ReadyWhenLeft = othersReady(Now);
    return;
  }
  // An entry without callers sends no records and hears no reports.
  const bool MustReturn = AreReportsCurrent && !mayBeOut(Now);
  const bool MayReturn = !isBehind() && (Now - *OutSince >= OutTime ||
                                         othersReady(Now) > ReadyWhenLeft);
  if (!MustReturn && !MayReturn)
    return;
  OutSince = std::nullopt;
  LastBackAt = Now;
}

} // namespace tamarack
