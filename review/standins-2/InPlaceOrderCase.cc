/// A new software version is brought to replicas one after the other, in place:
/// each one ends while it runs streams and starts again at once under the id
/// that it had. Its callers, whose connections were to one entry, take their
/// streams up again at the others.
#include "Trial.hpp"

#include <algorithm>

namespace tamarack::review {
namespace {

constexpr unsigned Replicas = 7;
/// At least two replicas of the first version serve all the while.
constexpr unsigned Replacements = 4;
constexpr unsigned Programs = 70;
/// Each program has some short turns before each long one.
constexpr int EarlierTurns = 3;
/// How long a replica is down.
constexpr Duration DownTime = std::chrono::milliseconds(200);
/// When the first of the callers comes back after its stream was cut, and how
/// much later the last one does.
constexpr Duration FirstReturn = std::chrono::milliseconds(220);
constexpr Duration ReturnSpread = std::chrono::milliseconds(180);
/// The rule allows this many streams of two versions.
constexpr int MaxMixedStreams = 2;

struct Tally {
  int Prepared = 0;
  int Ended = 0;
  int Cut = 0;
  int GoneOn = 0;
  int Mixed = 0;
};

std::string versionOf(const Event &Of) {
  return Of.Data.substr(0, Of.Data.find('/'));
}

Task<void> awaitCount(Trial &Run, const int &Count, int Needed) {
  while (Count < Needed)
    co_await pause(Run.Io, std::chrono::milliseconds(20));
}

/// Sends the turns of one program while the replica of one round is replaced.
Task<void> runProgram(Trial &Run, unsigned Round, unsigned Index,
                      Tally &Counts) {
  const std::string Program =
      "p" + std::to_string(Round) + "-" + std::to_string(Index);
  for (int Turn = 0; Turn < EarlierTurns; ++Turn) {
    Call Earlier = Run.turn(Program, "input of " + Program);
    Earlier.Id = Run.newId("earlier");
    Earlier.Fields["X-Length-Hint"] = "10";
    co_await Run.send(0, std::move(Earlier));
  }
  ++Counts.Prepared;
  co_await awaitCount(Run, Counts.Prepared,
                      static_cast<int>((Round + 1) * Programs));
  Call First = Run.turn(Program, "input of " + Program);
  First.Id = Run.newId("turn");
  const Reply Begun = co_await Run.send(0, First);
  std::vector<Event> Events = Begun.Events;
  if (!Begun.Complete && !Events.empty()) {
    ++Counts.Cut;
    co_await pause(Run.Io, FirstReturn + ReturnSpread * Index / Programs);
    Call Next = First;
    Next.Id = Run.newId("resume");
    Next.Fields["Last-Event-Id"] = std::to_string(Events.back().Number);
    Next.Fields["Resumes"] = First.Id;
    // Retries reach other entries.
    const unsigned Entry = 1 + Index % (Run.Options.Entries - 1);
    const Reply Rest = co_await Run.send(Entry, std::move(Next));
    Counts.GoneOn += Rest.Events.empty() ? 0 : 1;
    Events.insert(Events.end(), Rest.Events.begin(), Rest.Events.end());
  }
  bool IsMixed = false;
  for (const Event &Each : Events)
    IsMixed = IsMixed || versionOf(Each) != versionOf(Events.front());
  if (IsMixed)
    Run.Log.line("the stream that " + First.Id +
                 " began holds events of two versions: " + Events.front().Data +
                 " to " + Events.back().Data);
  Counts.Mixed += IsMixed ? 1 : 0;
  ++Counts.Ended;
}

Task<int> run(Trial &Run) {
  Tally Counts;
  std::set<Engine *> Old;
  for (const auto &Each : Run.Engines)
    Old.insert(Each.get());
  for (unsigned Round = 0; Round < Replacements; ++Round) {
    const int Needed = static_cast<int>((Round + 1) * Programs);
    for (unsigned Index = 0; Index < Programs; ++Index)
      spawn(Run.Io, runProgram(Run, Round, Index, Counts));
    co_await awaitCount(Run, Counts.Prepared, Needed);
    co_await pause(Run.Io, std::chrono::milliseconds(700));
    if (Run.HasTrouble) {
      Engine *const Replaced = *std::max_element(
          Old.begin(), Old.end(), [](const Engine *Left, const Engine *Right) {
            return Left->running() < Right->running();
          });
      Old.erase(Replaced);
      Replaced->crash();
      co_await pause(Run.Io, DownTime);
      Replaced->start(Replaced->id(), "v2");
    }
    co_await awaitCount(Run, Counts.Ended, Needed);
    co_await pause(Run.Io, std::chrono::seconds(2));
  }
  Run.Log.line(std::to_string(Counts.Cut) + " streams were cut, " +
               std::to_string(Counts.GoneOn) + " went on, " +
               std::to_string(Counts.Mixed) + " hold events of two versions");
  if (Run.HasTrouble && Counts.Cut <= MaxMixedStreams)
    co_return NotRunnable;
  co_return Counts.Mixed > MaxMixedStreams ? Broken : Held;
}

} // namespace
} // namespace tamarack::review

int main(int Count, char **Arguments) {
  tamarack::review::TrialOptions Options;
  Options.Retained = false;
  Options.Resumable = true;
  Options.Engines = tamarack::review::Replicas;
  Options.EventsPerTurn = 16;
  return tamarack::review::runTrial(Count, Arguments, Options,
                                    tamarack::review::run);
}
