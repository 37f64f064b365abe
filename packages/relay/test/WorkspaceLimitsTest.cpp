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
    Each.Limits =
        std::make_unique<WorkspaceLimits>(WorkspaceLimitOptions{}, Now);
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
        ++Asked;
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
    WorkspaceLimits &Limits = *Entries[Each.Entry].Limits;
    const ProgramPhase Phase =
        Each.IsFirst ? ProgramPhase::FirstTurn : ProgramPhase::UnderWay;
    AskedAt.push_back(Now);
    if (!Limits.admits(Of, Phase, Now)) {
      Limits.onRefused(Of, Phase, Now);
      ++(Each.IsFirst ? RefusedFirst : Broken);
      return true;
    }
    Limits.onAdmitted(Of, Phase, Now);
    SentAt.push_back(Now);
    Begun += Each.IsFirst ? 1 : 0;
    Each.IsFirst = false;
    Each.NextAt = Now + Next.Pause / 2 + Duration(Random() % Next.Pause.count());
    Finished += --Each.Left == 0 ? 1 : 0;
    return Each.Left == 0;
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
      WorkspaceReport Report{InstanceId("e" + std::to_string(Index)),
                             Each.Process, 5s, {}, {}};
      Each.Limits->fillReport(Report, Now);
      for (std::size_t Ledger = 0; Ledger < Ledgers.size(); ++Ledger)
        if (!areLedgersSilent)
          Answers.emplace_back(
              Now + Delay, [this, Ledger, Index, Report, Process = Each.Process] {
                const WorkspaceNews News =
                    Ledgers[Ledger].exchange(Report, Now);
                if (Entries[Index].Process == Process)
                  Entries[Index].Limits->setNews(std::to_string(Ledger), News,
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
  bool areLedgersSilent = false;
  std::vector<Program> Programs;
  std::vector<TimePoint> AskedAt;
  std::vector<TimePoint> SentAt;
  int Asked = 0;
  int Begun = 0;
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
const std::vector<Size> Sizes = {
    {2, 2}, {3, 10}, {10, 10}, {50, 25}, {200, 0}, {600, 300}};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimitsTest)

BOOST_AUTO_TEST_SUITE(AFleetOf60Entries)

BOOST_DATA_TEST_CASE(RefusesNothingUnderNineTenthsOfALimit, data::make(Sizes)) {
  // As much as never exceeds nine tenths in any window, as is checked.
  for (const int Requests : {1, 12})
    for (const double Uneven : {0.0, 0.5}) {
      Fleet All(60, workspace(sample.PerSecond, sample.Burst));
      All.run(10s, {});
      const double Limit = All.limit();
      const double Part = std::max(0.1, 0.8 - 2.6 / std::sqrt(Limit));
      Fleet::Load Next = All.load(Part, Requests);
      Next.Uneven = Uneven;
      All.run(40s, Next);
      const std::size_t Most = Fleet::mostIn5s(All.AskedAt);
      BOOST_TEST_MESSAGE(Requests << " requests, limit " << Limit << ": most "
                                  << Most << ", refused " << All.RefusedFirst
                                  << " first and " << All.Broken << " later");
      if (static_cast<double>(Most) <= 0.9 * Limit)
        BOOST_TEST(All.RefusedFirst + All.Broken == 0);
    }
}

BOOST_DATA_TEST_CASE(KeepsAnOverloadedWorkspaceWithinIt,
                     data::make(Sizes) * data::make({1.5, 3.0, 7.0}), sample,
                     Times) {
  for (const auto &[Requests, Pause] :
       {std::pair(1, Duration(300ms)), std::pair(6, Duration(200ms)),
        std::pair(9, Duration(500ms)), std::pair(30, Duration(900ms))})
    for (const double Uneven : {0.0, 0.6}) {
      Fleet All(60, workspace(sample.PerSecond, sample.Burst));
      Fleet::Load Usual = All.load(0.6, Requests, Pause);
      Fleet::Load Hot = All.load(0.6 * Times, Requests, Pause);
      Usual.Uneven = Hot.Uneven = Uneven;
      All.run(60s, Usual);
      const std::size_t SentBefore = All.SentAt.size();
      const int BrokenBefore = All.Broken;
      const int FinishedBefore = All.Finished;
      All.run(20s, Hot);
      const double UsedPart =
          static_cast<double>(All.SentAt.size() - SentBefore) / 20 * 5 /
          All.limit();
      All.run(30s, Fleet::Load{0, Requests, Pause, Uneven});
      BOOST_TEST_MESSAGE(
          Requests << " requests, " << Uneven << " at one, limit "
                   << All.limit() << ": most " << All.mostOfBound()
                   << " of the bound, used " << UsedPart << ", finished "
                   << All.Finished - FinishedBefore << ", broken "
                   << All.Broken - BrokenBefore);
      BOOST_TEST(All.mostOfBound() <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
