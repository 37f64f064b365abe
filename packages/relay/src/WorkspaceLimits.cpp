#include "tamarack/relay/WorkspaceLimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {
namespace {

constexpr Duration IntervalNearLimit = std::chrono::milliseconds(100);
constexpr Duration IntervalInUse = std::chrono::milliseconds(250);
/// What an entry sends is known to the others after twice the interval, for its
/// report and for the answer to another one, and the time that these take; at
/// least after this.
constexpr Duration MinReportDelay = std::chrono::milliseconds(400);
constexpr Duration IdleInterval = std::chrono::milliseconds(500);
/// Demand and begun programs are counted over this time.
constexpr Duration DemandPeriod = std::chrono::seconds(1);
/// The part of a limit up to which programs are begun. A workspace within nine
/// tenths of its limit is served in full.
constexpr double FirstTurnPart = 0.9;
/// From this part of a limit on, the requests of programs under way are taken
/// to go on as in the last second.
constexpr double RisingPart = 0.6;
/// Up to this part of a limit, all that begun programs need may be foreseen.
constexpr double ForeseenPart = 0.95;
/// Programs under way may use this part of what operators accept beyond a
/// limit: a program that is broken off is lost with all that it used.
constexpr double UnderWayTolerance = 0.5;
/// What is sent may reach this part of it together with what others have not
/// reported yet. The rest covers demand that has risen since.
constexpr double UnreportedTolerance = 0.75;
/// What entries may use of it that know nothing of the others, or only of some
/// of them.
constexpr double BlindTolerance = 0.25;
/// All entries hear of a workspace from this part of its limit on.
constexpr double NearPart = 0.5;
/// An entry reports its use from this part of its equal share on, or of the
/// limit by all entries.
constexpr double ReportedPart = 0.25;
/// The requests that a program is taken to need, as if this many programs had
/// shown it.
constexpr double AssumedRequests = 8;
constexpr double AssumedPrograms = 2;
/// The mean is learned over this time, which covers some programs' lengths.
constexpr Duration LearningTime = std::chrono::seconds(30);
/// How long it is remembered how many entries there are. Those that are cut off
/// go on with their part of the limits for half of this time.
constexpr Duration EntriesMemory = std::chrono::minutes(1);
/// The number of entries that one assumes that has heard of none.
constexpr double AssumedEntries = 64;
constexpr Duration MinDelay = std::chrono::milliseconds(100);

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// As much as \p Count is exceeded by chance now and then.
double withChance(double Count) { return Count + std::sqrt(Count) + 1; }
/// What was asked for in the last second except first turns. The numbers may be
/// of different ledgers.
double underWayDemand(const WorkspaceUse &Of) {
  return Of.Demand - std::min(Of.FirstTurnDemand, Of.Demand);
}

/// What a \p Count shows that may be high by chance.
double withoutChance(double Count) { return Count - std::sqrt(Count); }

} // namespace

WorkspaceLimits::State::State(Duration Window)
    : Sent(SlidingCount::atLeast(Window)),
      FirstTurns(SlidingCount::atLeast(Window)), Demand(DemandPeriod),
      FirstTurnDemand(DemandPeriod), Begun(DemandPeriod),
      SentLately(DemandPeriod) {}

double WorkspaceLimits::limit(const Workspace &Of) const {
  return Of.RequestsPerSecond * seconds(Options.Window) + Of.Burst;
}

WorkspaceLimits::State &WorkspaceLimits::stateOf(const Workspace &Of) {
  State &Result = States.try_emplace(Of.Name, Options.Window).first->second;
  Result.Limit = limit(Of);
  return Result;
}

WorkspaceUse WorkspaceLimits::useOf(const State &Own, TimePoint Now) {
  return {Own.Sent.count(Now), Own.FirstTurns.count(Now), Own.Demand.count(Now),
          Own.FirstTurnDemand.count(Now), Own.Begun.count(Now)};
}

WorkspaceUse WorkspaceLimits::remoteUse(const WorkspaceId &Of,
                                        TimePoint Now) const {
  WorkspaceUse Result;
  for (const auto &[Ledger, Each] : Pictures) {
    const auto Found = Each.News.Use.find(Of);
    if (!isFresh(Each, Now) || Found == Each.News.Use.end())
      continue;
    const WorkspaceUse &Use = Found->second;
    Result = {std::max(Result.Sent, Use.Sent),
              std::max(Result.FirstTurns, Use.FirstTurns),
              std::max(Result.Demand, Use.Demand),
              std::max(Result.FirstTurnDemand, Use.FirstTurnDemand),
              std::max(Result.Begun, Use.Begun)};
  }
  return Result;
}

WorkspaceLimits::Knowledge WorkspaceLimits::knowledgeOf(const WorkspaceId &Of,
                                                        TimePoint Now) const {
  Knowledge Result;
  Result.Others = remoteUse(Of, Now);
  const auto Found = States.find(Of);
  if (Found == States.end())
    return Result;
  const State &Own = Found->second;
  Result.Own = useOf(Own, Now);
  const Duration Delay = reportDelay(Now);
  Result.SentLately = Own.SentLately.countSince(Delay, Now);
  Result.BegunLately = Own.Begun.countSince(Delay, Now);
  Result.MeanSent = Own.MeanSent;
  Result.MeanFirstTurns = Own.MeanFirstTurns;
  return Result;
}

bool WorkspaceLimits::hasNews(TimePoint Now) const {
  return std::any_of(Pictures.begin(), Pictures.end(), [&](const auto &Each) {
    return isFresh(Each.second, Now);
  });
}

std::uint32_t WorkspaceLimits::reporters(TimePoint Now) const {
  std::uint32_t Result = 0;
  for (const auto &[Ledger, Each] : Pictures)
    if (isFresh(Each, Now))
      Result = std::max(Result, Each.News.Reporters);
  return Result + 1;
}

std::uint32_t WorkspaceLimits::knownEntries() const {
  return std::max({1U, RecentMost, EarlierMost});
}

double WorkspaceLimits::boundedLimit(double Limit, TimePoint Now) const {
  Duration KnownFor = Now - StartedAt;
  for (const auto &[Ledger, Each] : Pictures)
    if (isFresh(Each, Now))
      KnownFor = std::max(KnownFor, Each.News.KnownFor + (Now - Each.At));
  const double Known =
      std::min(1.0, seconds(KnownFor) / seconds(Options.Window));
  const double Reporting =
      std::min(1.0, static_cast<double>(reporters(Now)) / knownEntries());
  return std::min(Limit, Limit * Known * Reporting +
                             BlindTolerance * tolerance(Limit));
}

Duration WorkspaceLimits::reportDelay(TimePoint Now) const {
  Duration Least = NewsLifetime;
  for (const auto &[Ledger, Each] : Pictures)
    Least = std::min(Least, Each.Took + (Now - Each.At));
  return std::max(MinReportDelay, Least + 2 * IntervalNearLimit);
}

double WorkspaceLimits::aloneLimit(const Workspace &Of, TimePoint Now) const {
  const double Limit = limit(Of);
  const double Entries = NewsAt ? knownEntries() : AssumedEntries;
  const double Known =
      std::min(1.0, seconds(Now - StartedAt) / seconds(Options.Window));
  // The others take over the part of entries that they have forgotten.
  const bool IsRemembered =
      Now - NewsAt.value_or(StartedAt) < EntriesMemory / 2;
  const double Part = IsRemembered ? Limit * Known : 0;
  // Shares of less than one request go to some of the entries.
  constexpr std::uint64_t Steps = 1000;
  const double Place =
      static_cast<double>(stableHash(Of.Name.text(), Options.Seed) % Steps) /
      Steps;
  return std::floor((Part + BlindTolerance * tolerance(Limit)) / Entries +
                    Place);
}

bool WorkspaceLimits::admitsOneMore(const SharedUse &Use, double Limit,
                                    double Accepted) {
  const double Total = Use.Own + Use.Others + 1;
  if (Total <= Limit && Total + Use.Unreported <= Accepted)
    return true;
  const double Room = Limit - Use.Others - (Use.Own - Use.Lately);
  return Use.Lately + 1 <= Use.Share * Room;
}

double WorkspaceLimits::requestsPerProgram(const Knowledge &Known) {
  const double Sent = Known.MeanSent + Known.Own.Sent + Known.Others.Sent;
  const double FirstTurns =
      Known.MeanFirstTurns + Known.Own.FirstTurns + Known.Others.FirstTurns;
  return std::max(1.0, (AssumedRequests * AssumedPrograms + Sent) /
                           (AssumedPrograms + FirstTurns));
}

double WorkspaceLimits::requestsPerProgram(const WorkspaceId &Of,
                                           TimePoint Now) const {
  return requestsPerProgram(knowledgeOf(Of, Now));
}

bool WorkspaceLimits::admitsFirstTurn(const Workspace &Of,
                                      const Knowledge &Known, double Limit,
                                      double Unreported) const {
  const WorkspaceUse All = Known.Own + Known.Others;
  const double Periods = seconds(Options.Window) / seconds(DemandPeriod);
  const double UnderWay = underWayDemand(All);
  const bool Rises = All.Sent > RisingPart * Limit &&
                     withoutChance(UnderWay) * Periods > FirstTurnPart * Limit;
  const double Share = shareOfDemand(Known.Own.Demand, Known.Others.Demand);
  if (Rises ||
      !admitsOneMore({static_cast<double>(Known.Own.Sent), Known.SentLately,
                      static_cast<double>(Known.Others.Sent),
                      Known.Others.Demand * Unreported, Share},
                     FirstTurnPart * Limit,
                     FirstTurnPart * Limit +
                         UnreportedTolerance * tolerance(limit(Of))))
    return false;
  const double Needed = requestsPerProgram(Known);
  if (All.Sent + All.Begun * (Needed - 1) + 1 <= ForeseenPart * Limit)
    return true;
  const double InWindow = Limit / Needed + 1;
  const double InPeriod = withChance(
      Limit / limit(Of) * (Of.RequestsPerSecond + Of.Burst / Periods) *
      seconds(DemandPeriod) / Needed);
  // The counts of a period are outdated as fast as they grow.
  return admitsOneMore({static_cast<double>(Known.Own.FirstTurns),
                        Known.BegunLately,
                        static_cast<double>(Known.Others.FirstTurns),
                        Known.Others.Begun * Unreported, Share},
                       InWindow, InWindow) &&
         admitsOneMore({static_cast<double>(Known.Own.Begun), Known.BegunLately,
                        static_cast<double>(Known.Others.Begun), 0, Share},
                       InPeriod, InPeriod);
}

bool WorkspaceLimits::admits(const Workspace &Of, ProgramPhase Phase,
                             TimePoint Now) const {
  const Knowledge Known = knowledgeOf(Of.Name, Now);
  const double Full = limit(Of);
  if (!hasNews(Now))
    return Known.Own.Sent + 1 <= aloneLimit(Of, Now);
  const double Limit = boundedLimit(Full, Now);
  const double Unreported = seconds(reportDelay(Now)) / seconds(DemandPeriod);
  const SharedUse Use{static_cast<double>(Known.Own.Sent), Known.SentLately,
                      static_cast<double>(Known.Others.Sent),
                      (underWayDemand(Known.Others) + Known.Others.Begun) *
                          Unreported,
                      shareOfDemand(Known.Own.Demand, Known.Others.Demand)};
  const double Tolerance = tolerance(Full);
  return admitsOneMore(Use, Limit + UnderWayTolerance * Tolerance,
                       Limit + UnreportedTolerance * Tolerance) &&
         (Phase == ProgramPhase::UnderWay ||
          admitsFirstTurn(Of, Known, Limit, Unreported));
}

double WorkspaceLimits::used(const WorkspaceId &Of, TimePoint Now) const {
  const Knowledge Known = knowledgeOf(Of, Now);
  return static_cast<double>(Known.Own.Sent) + Known.Others.Sent;
}

void WorkspaceLimits::onAdmitted(const Workspace &Of, ProgramPhase Phase,
                                 TimePoint Now) {
  State &Own = stateOf(Of);
  Own.Demand.add(Now);
  Own.Sent.add(Now);
  Own.SentLately.add(Now);
  if (Phase == ProgramPhase::UnderWay)
    return;
  Own.FirstTurnDemand.add(Now);
  Own.FirstTurns.add(Now);
  Own.Begun.add(Now);
}

void WorkspaceLimits::onRefused(const Workspace &Of, ProgramPhase Phase,
                                TimePoint Now) {
  State &Own = stateOf(Of);
  Own.Demand.add(Now);
  if (Phase == ProgramPhase::FirstTurn)
    Own.FirstTurnDemand.add(Now);
}

void WorkspaceLimits::onSent(const WorkspaceId &Of, TimePoint Now) {
  const auto Own = States.find(Of);
  if (Own == States.end())
    return;
  Own->second.Sent.add(Now);
  Own->second.SentLately.add(Now);
}

void WorkspaceLimits::takeBack(const WorkspaceId &Of, TimePoint At) {
  const auto Own = States.find(Of);
  if (Own == States.end())
    return;
  Own->second.Sent.takeBack(At);
  Own->second.SentLately.takeBack(At);
}

void WorkspaceLimits::takeBackFirstTurn(const WorkspaceId &Of, TimePoint At) {
  const auto Own = States.find(Of);
  if (Own == States.end())
    return;
  Own->second.FirstTurns.takeBack(At);
  Own->second.Begun.takeBack(At);
}

Duration WorkspaceLimits::delay(const Workspace &Of, ProgramPhase Phase,
                                TimePoint Now) const {
  const double Limit = limit(Of);
  const double PerSecond = Limit / seconds(Options.Window);
  const double Part = Phase == ProgramPhase::FirstTurn ? FirstTurnPart : 1;
  const double Excess = used(Of.Name, Now) + 1 - Part * Limit;
  const auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Excess / PerSecond));
  return std::clamp(Wait, MinDelay, std::max(MinDelay, Options.Window));
}

void WorkspaceLimits::keepOnly(const std::vector<Workspace> &Known) {
  std::map<WorkspaceId, double> Limits;
  for (const Workspace &Each : Known)
    if (hasLimit(Each))
      Limits.emplace(Each.Name, limit(Each));
  std::erase_if(
      States, [&](const auto &Each) { return Limits.count(Each.first) == 0; });
  for (auto &[Name, Own] : States)
    Own.Limit = Limits.at(Name);
}

void WorkspaceLimits::fillReport(WorkspaceReport &Report, TimePoint Now) const {
  Report.Window = Options.Window;
  Report.Use.clear();
  Report.NearLimit.clear();
  for (const auto &[Name, Own] : States) {
    const WorkspaceUse Use = useOf(Own, Now);
    if (Use == WorkspaceUse())
      continue;
    const double Reported = ReportedPart * Own.Limit;
    const double All =
        static_cast<double>(Use.Sent) + remoteUse(Name, Now).Sent;
    if (Use.Sent < Reported / knownEntries() && All < Reported)
      continue;
    Report.Use.emplace_hint(Report.Use.end(), Name, Use);
    if (All >= NearPart * Own.Limit)
      Report.NearLimit.insert(Report.NearLimit.end(), Name);
  }
}

Duration WorkspaceLimits::reportInterval(TimePoint Now) const {
  if (!hasNews(Now))
    return IntervalNearLimit;
  Duration Result = IdleInterval;
  for (const auto &[Name, Own] : States) {
    const WorkspaceUse Use = useOf(Own, Now);
    if (Use == WorkspaceUse())
      continue;
    Result = IntervalInUse;
    if (static_cast<double>(Use.Sent) + remoteUse(Name, Now).Sent >=
        NearPart * Own.Limit)
      return IntervalNearLimit;
  }
  return Result;
}

std::size_t WorkspaceLimits::nearLimit(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [&](const auto &Each) {
        return used(Each.first, Now) >= NearPart * Each.second.Limit;
      }));
}

void WorkspaceLimits::setNews(const std::string &Ledger, WorkspaceNews News,
                              TimePoint ReportedAt, TimePoint Now) {
  Pictures[Ledger] = {std::move(News), Now, Now - ReportedAt};
  std::erase_if(Pictures,
                [&](const auto &Each) { return !isFresh(Each.second, Now); });
  const Duration Passed = NewsAt ? Now - *NewsAt : Duration(0);
  const double NewPart = std::min(1.0, seconds(Passed) / seconds(LearningTime));
  NewsAt = Now;
  if (Now - RecentSince >= EntriesMemory) {
    EarlierMost = std::exchange(RecentMost, 0);
    RecentSince = Now;
  }
  RecentMost = std::max(RecentMost, reporters(Now));
  const double Windows = seconds(LearningTime) / seconds(Options.Window);
  const auto Learn = [&](double &Mean, double InWindow) {
    Mean += NewPart * (InWindow * Windows - Mean);
  };
  for (auto &[Name, Own] : States) {
    const WorkspaceUse All = useOf(Own, Now) + remoteUse(Name, Now);
    Learn(Own.MeanSent, All.Sent);
    Learn(Own.MeanFirstTurns, All.FirstTurns);
  }
}

} // namespace tamarack
