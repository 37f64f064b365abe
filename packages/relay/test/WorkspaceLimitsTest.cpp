/// Load pattern: a fleet of entries, which hear of each other some tenths of a
/// second late, serves workspaces that ask for more than their limits allow.
#include "tamarack/relay/WorkspaceLimits.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <random>

using namespace tamarack;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start{Duration(1h)};
constexpr Duration Step = 5ms;

Workspace workspace(double PerSecond, double Burst) {
  Workspace Result;
  Result.Name = WorkspaceId("w");
  Result.RequestsPerSecond = PerSecond;
  Result.Burst = Burst;
  return Result;
}

/// Entries on one clock that exchange reports with two ledgers.
struct Fleet {
  struct Entry {
    std::unique_ptr<WorkspaceLimits> Limits;
    std::string Process;
    TimePoint NextExchangeAt;
    bool IsCutOff = false;
  };
  struct Program {
    std::size_t Entry = 0;
    int Left = 0;
    bool IsFirst = true;
    TimePoint NextAt;
  };
  struct Load {
    /// Programs that are begun in a second, the requests of each, and the
    /// pause between them.
    double ProgramsPerSecond = 0;
    int Requests = 1;
    Duration Pause = 300ms;
    /// The part of the programs that call at the first entry.
    double Uneven = 0;
    /// Whether each request may go to another entry.
    bool IsSpread = true;
  };

  Fleet(std::size_t Size, Workspace Of) : Of(std::move(Of)), Entries(Size) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      restart(Index);
    restartLedgers();
  }

  void restart(std::size_t Index) {
    Entry &Each = Entries[Index];
    WorkspaceLimitOptions Options;
    Options.Seed = Index;
    Each.Limits = std::make_unique<WorkspaceLimits>(Options, Now);
    Each.Process = std::to_string(++Starts);
    Each.NextExchangeAt = Now + Duration(Random() % 250000);
  }
  void restartLedgers() {
    Ledgers.clear();
    for (int Count = 0; Count < 2; ++Count)
      Ledgers.emplace_back(Now);
  }

  /// Lets programs come and go on for \p Length.
  void run(Duration Length, const Load &Next) {
    for (const TimePoint End = Now + Length; Now < End; Now += Step) {
      exchangeReports();
      std::poisson_distribution<int> Begun(
          Next.ProgramsPerSecond * std::chrono::duration<double>(Step).count());
      for (int Left = Begun(Random); Left > 0; --Left) {
        Programs.push_back({pickEntry(Next), Next.Requests, true, Now});
      }
      std::erase_if(Programs, [&](Program &Each) { return step(Each, Next); });
    }
  }

  std::size_t pickEntry(const Load &Next) {
    const double Place = std::generate_canonical<double, 32>(Random);
    return Place < Next.Uneven ? 0 : Random() % Entries.size();
  }

  /// Sends the program's next request if it is due. Returns whether the program
  /// has ended.
  bool step(Program &Each, const Load &Next) {
    if (Now < Each.NextAt)
      return false;
    if (Next.IsSpread)
      Each.Entry = pickEntry(Next);
    const ProgramPhase Phase =
        Each.IsFirst ? ProgramPhase::FirstTurn : ProgramPhase::UnderWay;
    if (!send(Each.Entry, Phase)) {
      ++(Each.IsFirst ? RefusedFirst : Broken);
      return true;
    }
    Each.IsFirst = false;
    Each.NextAt =
        Now + Next.Pause / 2 + Duration(Random() % Next.Pause.count());
    Finished += --Each.Left == 0 ? 1 : 0;
    return Each.Left == 0;
  }

  /// Sends a request unless it is refused.
  bool send(std::size_t Entry, ProgramPhase Phase) {
    WorkspaceLimits &Limits = *Entries[Entry].Limits;
    AskedAt.push_back(Now);
    if (!Limits.admits(Of, Phase, Now)) {
      Limits.onRefused(Of, Phase, Now);
      return false;
    }
    Limits.onAdmitted(Of, Phase, Now);
    SentAt.push_back(Now);
    return true;
  }

  void exchangeReports() {
    while (!Answers.empty() && Answers.front().first <= Now) {
      Answers.front().second();
      Answers.pop_front();
    }
    for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
      Entry &Each = Entries[Index];
      if (Each.IsCutOff || Now < Each.NextExchangeAt)
        continue;
      Each.NextExchangeAt = Now + Each.Limits->reportInterval(Now);
      WorkspaceReport Report{
          InstanceId("e" + std::to_string(Index)), Each.Process, 5s, {}, {}};
      Each.Limits->fillReport(Report, Now);
      for (std::size_t Ledger = 0; Ledger < Ledgers.size(); ++Ledger)
        if (!AreLedgersSilent)
          Answers.emplace_back(Now + Delay, [this, Ledger, Index, Report,
                                             At = Now, Process = Each.Process] {
            const WorkspaceNews News = Ledgers[Ledger].exchange(Report, Now);
            if (Entries[Index].Process == Process)
              Entries[Index].Limits->setNews(std::to_string(Ledger), News, At,
                                             Now);
          });
    }
  }

  /// The most of \p Times in any five seconds from \p From on.
  static std::size_t mostIn5s(const std::vector<TimePoint> &Times,
                              TimePoint From = Start) {
    std::size_t Result = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Times.size(); ++Last) {
      while (Times[First] < From || Times[Last] - Times[First] >= 5s)
        ++First;
      if (First <= Last)
        Result = std::max(Result, Last - First + 1);
    }
    return Result;
  }
  double limit() const { return Of.RequestsPerSecond * 5 + Of.Burst; }
  double bound() const { return limit() * 1.1 + 20; }
  double mostOfBound() const {
    return static_cast<double>(mostIn5s(SentAt)) / bound();
  }
  double finishedPart() const {
    return static_cast<double>(Finished) / std::max(1, Finished + Broken);
  }
  /// The programs in a second that use \p Times the rate of the limit.
  Load load(double Times, int Requests, Duration Pause = 300ms) const {
    Load Result;
    Result.ProgramsPerSecond = Times * limit() / 5 / Requests;
    Result.Requests = Requests;
    Result.Pause = Pause;
    return Result;
  }

  Workspace Of;
  TimePoint Now = Start;
  std::mt19937 Random{11};
  int Starts = 0;
  std::vector<Entry> Entries;
  std::deque<WorkspaceReports> Ledgers;
  std::deque<std::pair<TimePoint, std::function<void()>>> Answers;
  /// From an entry to a ledger and back.
  Duration Delay = 45ms;
  bool AreLedgersSilent = false;
  std::vector<Program> Programs;
  std::vector<TimePoint> AskedAt;
  std::vector<TimePoint> SentAt;
  int RefusedFirst = 0;
  int Broken = 0;
  int Finished = 0;
};

struct Size {
  double PerSecond;
  double Burst;
  friend std::ostream &operator<<(std::ostream &Out, const Size &Of) {
    return Out << Of.PerSecond << " a second and " << Of.Burst;
  }
};
const std::vector<Size> Sizes = {{2, 2},   {3, 10},  {10, 10},
                                 {50, 25}, {200, 0}, {600, 300}};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimitsTest)

BOOST_AUTO_TEST_SUITE(AFleetOf60Entries)

BOOST_DATA_TEST_CASE(RefusesNothingUnderNineTenthsOfALimit, data::make(Sizes)) {
  for (const int Requests : {1, 12})
    for (const double Uneven : {0.0, 0.5}) {
      Fleet All(60, workspace(sample.PerSecond, sample.Burst));
      All.run(10s, {});
      const double Limit = All.limit();
      Fleet::Load Next =
          All.load(std::max(0.1, 0.8 - 2.6 / std::sqrt(Limit)), Requests);
      Next.Uneven = Uneven;
      All.run(40s, Next);
      const auto Most = static_cast<double>(Fleet::mostIn5s(All.AskedAt));
      BOOST_TEST_CONTEXT(Requests << " requests, at most " << Most << " of "
                                  << Limit)
      if (Most <= 0.9 * Limit)
        BOOST_TEST(All.RefusedFirst + All.Broken == 0);
    }
}

BOOST_AUTO_TEST_CASE(ServesABurstAfterAPause) {
  for (const Size &Each : Sizes) {
    Fleet All(60, workspace(Each.PerSecond, Each.Burst));
    All.run(10s, {});
    // Nine tenths of the limit at one entry, all at once.
    for (int Count = 0; Count < std::floor(0.9 * All.limit()); ++Count)
      BOOST_TEST(All.send(3, ProgramPhase::UnderWay));
    All.run(6s, {});
    BOOST_TEST(All.send(5, ProgramPhase::FirstTurn));
  }
}

struct Hot {
  int Requests;
  Duration Pause;
  friend std::ostream &operator<<(std::ostream &Out, const Hot &Of) {
    return Out << Of.Requests << " requests every " << Of.Pause.count();
  }
};
const std::vector<Hot> HotLoads = {
    {1, 300ms}, {6, 200ms}, {9, 500ms}, {30, 900ms}};

BOOST_DATA_TEST_CASE(KeepsAnOverloadedWorkspaceWithinIt,
                     data::make(HotLoads) * data::make({1.5, 3.0, 7.0}), Load,
                     Times) {
  int Finished = 0;
  int Broken = 0;
  for (const Size &Each : Sizes)
    for (const double Uneven : {0.0, 0.6}) {
      Fleet All(60, workspace(Each.PerSecond, Each.Burst));
      Fleet::Load Next = All.load(0.6, Load.Requests, Load.Pause);
      Next.Uneven = Uneven;
      All.run(60s, Next);
      const int FinishedBefore = All.Finished;
      const int BrokenBefore = All.Broken;
      Next.ProgramsPerSecond *= Times;
      All.run(20s, Next);
      Next.ProgramsPerSecond = 0;
      All.run(30s, Next);
      BOOST_TEST(All.mostOfBound() <= 1);
      Finished += All.Finished - FinishedBefore;
      Broken += All.Broken - BrokenBefore;
      BOOST_TEST_MESSAGE(Load << ", " << Times << " times, limit "
                              << All.limit() << ": most " << All.mostOfBound()
                              << ", finished " << All.Finished - FinishedBefore
                              << ", broken " << All.Broken - BrokenBefore);
    }
  BOOST_TEST(Finished >= 0.8 * (Finished + Broken));
}

BOOST_AUTO_TEST_SUITE_END()

/// What may go wrong while a workspace asks for seven times its usual, in a
/// fleet whose every entry gets as much of it.
struct Trouble {
  const char *Name;
  std::function<void(Fleet &)> Begin;
  std::function<void(Fleet &)> End;
  friend std::ostream &operator<<(std::ostream &Out, const Trouble &Of) {
    return Out << Of.Name;
  }
};

const std::vector<Trouble> Troubles = {
    {"reports take 300 ms", [](Fleet &All) { All.Delay = 300ms; },
     [](Fleet &All) { All.Delay = 45ms; }},
    {"ledgers are silent", [](Fleet &All) { All.AreLedgersSilent = true; },
     [](Fleet &All) { All.AreLedgersSilent = false; }},
    {"all entries are restarted",
     [](Fleet &All) {
       for (std::size_t Index = 0; Index < All.Entries.size(); ++Index)
         All.restart(Index);
     },
     [](Fleet &) {}},
    {"all entries and ledgers are restarted",
     [](Fleet &All) {
       All.restartLedgers();
       for (std::size_t Index = 0; Index < All.Entries.size(); ++Index)
         All.restart(Index);
     },
     [](Fleet &) {}},
    {"ledgers are restarted", [](Fleet &All) { All.restartLedgers(); },
     [](Fleet &) {}},
    {"an entry is cut off", [](Fleet &All) { All.Entries[0].IsCutOff = true; },
     [](Fleet &All) { All.Entries[0].IsCutOff = false; }},
    {"a third of the entries is cut off",
     [](Fleet &All) {
       for (std::size_t Index = 0; Index < All.Entries.size(); Index += 3)
         All.Entries[Index].IsCutOff = true;
     },
     [](Fleet &All) {
       for (Fleet::Entry &Each : All.Entries)
         Each.IsCutOff = false;
     }},
};

BOOST_DATA_TEST_CASE(StaysWithinItsLimitWhen,
                     data::make(Troubles) * data::make({18, 60}), What, Count) {
  for (const Size &Each : Sizes)
    for (const int Requests : {1, 9}) {
      Fleet All(static_cast<std::size_t>(Count),
                workspace(Each.PerSecond, Each.Burst));
      All.run(20s, All.load(0.6, Requests));
      const Fleet::Load Hot = All.load(4.2, Requests);
      All.run(6s, Hot);
      What.Begin(All);
      All.run(12s, Hot);
      What.End(All);
      All.run(8s, Hot);
      BOOST_TEST_MESSAGE(What.Name << ", " << Count << " entries, limit "
                                   << All.limit() << ", " << Requests
                                   << " requests: most " << All.mostOfBound());
      BOOST_TEST(All.mostOfBound() <= 1);
    }
}

BOOST_AUTO_TEST_CASE(KeepsALoweredLimitAfterOneWindow) {
  Fleet All(60, workspace(200, 0));
  All.run(20s, All.load(0.9, 9));
  const Fleet::Load Before = All.load(0.9, 9);
  All.Of = workspace(20, 0);
  const TimePoint LoweredAt = All.Now;
  All.run(20s, Before);
  BOOST_TEST(static_cast<double>(Fleet::mostIn5s(All.SentAt, LoweredAt + 5s)) <=
             All.bound());
}

BOOST_AUTO_TEST_SUITE_END()
