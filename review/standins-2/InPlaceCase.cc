/// One replica of seven has a new software version already. Another one ends
/// while it runs streams and starts again in place: under the id that it had,
/// with the new version. Three replicas of the old version serve on. The
/// callers take their streams up again.
///
/// Without the disruption, the callers of these streams close their
/// connections at that time and take them up again.
#include "Trial.hpp"

#include <cstdio>

namespace tamarack::review {
namespace {

constexpr unsigned Programs = 112;
constexpr unsigned NewPrograms = 16;
/// How long the replica is down.
constexpr Duration DownTime = std::chrono::milliseconds(500);
/// When the first of the callers comes back after its stream was cut, and how
/// much later the last one does.
constexpr Duration FirstReturn = std::chrono::milliseconds(1500);
constexpr Duration ReturnSpread = std::chrono::milliseconds(400);
/// The client attempts with which a stream is taken up.
constexpr int ResumeAttempts = 2;
/// The rule is about this many streams at least.
constexpr int MinResumed = 12;

struct Tally {
  int TakenUp = 0;
  int GoneOn = 0;
  int NewStreams = 0;
  int NewBegun = 0;
  int Ended = 0;
  /// Without the disruption: the replica whose callers leave.
  const Engine *LeftAt = nullptr;
};

Task<void> takeUp(Trial &Run, unsigned Index, Call Again, Reply Begun,
                  Tally &Counts) {
  const std::string FirstId = Again.Id;
  ++Counts.TakenUp;
  co_await pause(Run.Io, FirstReturn + ReturnSpread * Index / Programs);
  Again.Leaves = nullptr;
  Again.Fields["Last-Event-Id"] = std::to_string(Begun.Events.back().Number);
  Again.Fields["Resumes"] = FirstId;
  for (int Attempt = 1; Attempt <= ResumeAttempts; ++Attempt) {
    // Retries reach other entries.
    const unsigned Entry =
        (Index + static_cast<unsigned>(Attempt)) % Run.Options.Entries;
    Again.Id = Run.newId("resume");
    const Reply Rest = co_await Run.send(Entry, Again);
    if (!Rest.Events.empty()) {
      ++Counts.GoneOn;
      co_return;
    }
    co_await pause(Run.Io, std::chrono::milliseconds(100));
  }
}

Task<void> stream(Trial &Run, unsigned Index, Tally &Counts) {
  const std::string Program = "p" + std::to_string(Index);
  Call First = Run.turn(Program, "input of " + Program);
  First.Id = Run.newId("turn");
  First.Leaves = [&Counts, Id = First.Id] {
    return Counts.LeftAt != nullptr && Counts.LeftAt->runs(Id);
  };
  Reply Begun = co_await Run.send(Index % Run.Options.Entries, First);
  if (!Begun.Complete && !Begun.Events.empty()) {
    co_await takeUp(Run, Index, std::move(First), std::move(Begun), Counts);
  }
  ++Counts.Ended;
}

Task<void> newStream(Trial &Run, unsigned Index, Tally &Counts) {
  const std::string Program = "n" + std::to_string(Index);
  Call First = Run.turn(Program, "input of " + Program);
  First.Id = Run.newId("new");
  ++Counts.NewStreams;
  const Reply Begun =
      co_await Run.send(Index % Run.Options.Entries, std::move(First));
  Counts.NewBegun += Begun.Events.empty() ? 0 : 1;
  ++Counts.Ended;
}

Task<int> run(Trial &Run) {
  Tally Counts;
  for (unsigned Index = 0; Index < Programs; ++Index)
    spawn(Run.Io, stream(Run, Index, Counts));
  const auto RunningInAll = [&Run] {
    std::size_t Sum = 0;
    for (const auto &Each : Run.Engines)
      Sum += Each->running();
    return Sum;
  };
  const TimePoint Deadline = steadyNow() + std::chrono::seconds(1);
  while (RunningInAll() < Programs && steadyNow() < Deadline)
    co_await pause(Run.Io, std::chrono::milliseconds(20));
  co_await pause(Run.Io, std::chrono::milliseconds(400));
  Engine *Replaced = Run.Engines.front().get();
  for (const auto &Each : Run.Engines)
    if (Each != Run.Engines.back() && Each->running() > Replaced->running())
      Replaced = Each.get();
  if (Replaced->running() < MinResumed) {
    Run.Log.line("too few streams run at one replica");
    co_return NotRunnable;
  }
  if (Run.HasTrouble) {
    Replaced->crash();
    co_await pause(Run.Io, DownTime);
    Replaced->start(Replaced->id(), "v2");
  } else {
    Counts.LeftAt = Replaced;
    co_await pause(Run.Io, DownTime);
    Counts.LeftAt = nullptr;
  }
  co_await pause(Run.Io, FirstReturn - DownTime);
  for (unsigned Index = 0; Index < NewPrograms; ++Index)
    spawn(Run.Io, newStream(Run, Index, Counts));
  while (Counts.Ended < static_cast<int>(Programs + NewPrograms))
    co_await pause(Run.Io, std::chrono::milliseconds(50));
  Run.Log.line(std::to_string(Counts.GoneOn) + " of " +
               std::to_string(Counts.TakenUp) +
               " streams that were taken up went on; " +
               std::to_string(Counts.NewBegun) + " of " +
               std::to_string(Counts.NewStreams) + " new streams began");
  if (Counts.TakenUp < MinResumed)
    co_return NotRunnable;
  // Under half of the share of new streams.
  const bool IsBroken =
      2 * Counts.GoneOn * Counts.NewStreams < Counts.NewBegun * Counts.TakenUp;
  co_return IsBroken ? Broken : Held;
}

} // namespace
} // namespace tamarack::review

int main(int Count, char **Arguments) {
  tamarack::review::TrialOptions Options;
  Options.Retained = false;
  Options.Resumable = true;
  Options.Engines = 7;
  Options.NewerEngines = 1;
  Options.Slots = 32;
  Options.EventsPerTurn = 20;
  return tamarack::review::runTrial(Count, Arguments, Options,
                                    tamarack::review::run);
}
