/// Three replicas end at once, each while it runs a turn of another program
/// with the same new input. Much later, all replicas being back, a turn of
/// another program that has this input too must reach a replica.
#include "Trial.hpp"

#include <cstdio>

namespace tamarack::review {
namespace {

/// Of 20 replicas, a crash of 15 in 100 ends three.
constexpr unsigned Replicas = 20;
constexpr unsigned Crashed = 3;
constexpr unsigned MaxPrograms = 8;
constexpr Duration DownTime = std::chrono::milliseconds(4500);
constexpr const char *CommonInput = "yes, go on";

/// A program and its first turn, which was answered whole.
struct Begun {
  std::string Program;
  std::string Turn;
};

/// What is known of the turns that the rule is about.
struct Tally {
  int Tries = 0;
  int Reached = 0;
  int FirstTurns = 0;
  int FirstTurnsReached = 0;
};

Task<std::string> firstTurn(Trial &Run, std::string Program, unsigned Entry) {
  Call Request = Run.turn(Program, "first input of " + Program);
  Request.Id = Run.newId("first");
  const std::string Id = Request.Id;
  const Reply Answer = co_await Run.send(Entry, std::move(Request));
  co_return Answer.Status == 200 && Answer.Complete ? Id : std::string();
}

/// Sends the turn of one line of the program up to three times, as programs do.
Task<void> commonTurn(Trial &Run, std::string Program, unsigned Line,
                      std::string Previous, unsigned Entry, Tally &Counts) {
  for (int Try = 0; Try < 3; ++Try) {
    Call Request = Run.turn(Program, CommonInput);
    Request.Id = Run.newId("next");
    Request.Fields["X-Previous-Turn"] = Previous;
    Request.Fields["X-Session-Id"] = Program + "-" + std::to_string(Line);
    const std::string Id = Request.Id;
    const Reply Answer = co_await Run.send(Entry, std::move(Request));
    ++Counts.Tries;
    Counts.Reached += Run.hasRun(Id) ? 1 : 0;
    if (Answer.Status == 200 && Answer.Complete)
      co_return;
    co_await pause(Run.Io, std::chrono::milliseconds(300));
    Entry = (Entry + 1) % Run.Options.Entries;
  }
}

/// Three programs send the same input at the same time; the replicas that run
/// it end.
Task<bool> crashUnderCommonInput(Trial &Run,
                                 const std::vector<Begun> &Programs) {
  std::vector<std::string> Ids;
  for (unsigned Index = 0; Index < Crashed; ++Index) {
    Call Request = Run.turn(Programs[Index].Program, CommonInput);
    Request.Id = Run.newId("common");
    Request.Fields["X-Previous-Turn"] = Programs[Index].Turn;
    Ids.push_back(Request.Id);
    spawn(Run.Io, [](Trial &Run, Call Request, unsigned Entry) -> Task<void> {
      co_await Run.send(Entry, std::move(Request));
    }(Run, std::move(Request), Index % Run.Options.Entries));
  }
  co_await pause(Run.Io, std::chrono::milliseconds(350));
  std::set<Engine *> Rack;
  for (const auto &Each : Run.Engines)
    for (const std::string &Id : Ids)
      if (Each->runs(Id))
        Rack.insert(Each.get());
  if (Rack.size() != Crashed)
    co_return false;
  if (!Run.HasTrouble) {
    co_await pause(Run.Io, DownTime);
    co_return true;
  }
  std::vector<std::string> Names;
  for (Engine *Each : Rack) {
    Names.push_back(Each->id());
    Each->crash();
  }
  co_await pause(Run.Io, DownTime);
  for (Engine *Each : Rack)
    Each->start(Each->id() + "-b", "v1");
  co_return true;
}

Task<int> run(Trial &Run) {
  // Three programs whose first turns ran at different replicas, where their
  // next ones will probably run too.
  std::vector<Begun> Programs;
  std::set<std::string> Replicas;
  for (unsigned Index = 0; Index < MaxPrograms && Programs.size() < Crashed;
       ++Index) {
    const std::string Name = "p" + std::to_string(Index);
    const unsigned Entry = Programs.size() % Run.Options.Entries;
    const std::string Id = co_await firstTurn(Run, Name, Entry);
    if (!Id.empty() && Replicas.insert(Run.ranAt(Id).back()).second)
      Programs.push_back({Name, Id});
  }
  const std::string Kept = co_await firstTurn(Run, "q", 0);
  if (Kept.empty() || Programs.size() < Crashed)
    co_return NotRunnable;
  const bool IsPlayed = co_await crashUnderCommonInput(Run, Programs);
  if (!IsPlayed) {
    Run.Log.line("the three turns did not run at three replicas");
    co_return NotRunnable;
  }
  // Nothing is disrupted from contact_ms before the requests that are judged.
  co_await pause(Run.Io, ContactTime + std::chrono::seconds(1));
  Tally Counts;
  for (unsigned Index = 0; Index < 10; ++Index) {
    const std::string Id = co_await firstTurn(Run, "n" + std::to_string(Index),
                                              Index % Run.Options.Entries);
    ++Counts.FirstTurns;
    Counts.FirstTurnsReached += Id.empty() ? 0 : 1;
    // Two sub-agents of one program, which has a whole turn.
    if (Index == 3 || Index == 6) {
      co_await commonTurn(Run, "q", Index, Kept, Index % Run.Options.Entries,
                          Counts);
    }
  }
  Run.Log.line(
      "turns that continue a whole one: " + std::to_string(Counts.Tries) +
      " tries, " + std::to_string(Counts.Reached) + " reached a replica; " +
      std::to_string(Counts.FirstTurnsReached) + " of " +
      std::to_string(Counts.FirstTurns) + " first turns did");
  const bool FirstTurnsReach =
      Counts.FirstTurnsReached * 10 >= Counts.FirstTurns * 9;
  if (!FirstTurnsReach)
    co_return NotRunnable;
  co_return Counts.Tries >= 5 && Counts.Reached == 0 ? Broken : Held;
}

} // namespace
} // namespace tamarack::review

int main(int Count, char **Arguments) {
  tamarack::review::TrialOptions Options;
  Options.Engines = tamarack::review::Replicas;
  return tamarack::review::runTrial(Count, Arguments, Options,
                                    tamarack::review::run);
}
