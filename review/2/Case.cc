/// Each of two ledgers is killed once while a turn of a chain ends, 9.5 s
/// apart. Both come back after 2.8 s, with their disks. The newest turn of the
/// chain is then named as the previous turn well within its retention.
#include "Client.hpp"
#include "Replica.hpp"

namespace tamarack::review {
namespace {

constexpr int Lines = 6;
/// `node_kill` on a storage machine with `power`: for_s = 2.8.
constexpr Duration DarkTime = std::chrono::milliseconds(2800);
/// A turn streams ten events with this pause, less than target_gap_ms.
constexpr unsigned Events = 10;
constexpr Duration EventGap = std::chrono::milliseconds(200);
constexpr Duration ShortGap = std::chrono::milliseconds(20);
/// The ledger is killed this long after the turn begins, before it ends.
constexpr Duration KillDelay = std::chrono::milliseconds(1850);
/// catch_up_s, after which a ledger that came back is not lost any more.
constexpr Duration CatchUpTime = std::chrono::milliseconds(4700);
/// From the end of the third turn to the fourth, and to the one after that. The
/// fourth is then 38 s old; its retention is 60 s.
constexpr Duration FourthPause = std::chrono::seconds(46);
constexpr Duration LastPause = std::chrono::seconds(85);
constexpr int MaxTries = 6;
constexpr Duration RetryInterval = std::chrono::milliseconds(350);

struct Line {
  std::string Program;
  std::string LastTurn;
  std::string History;
};

Call makeTurn(const Line &Of, const std::string &Program,
              const std::string &Entry, const std::string &Id,
              const std::string &Input) {
  Call Result;
  Result.Entry = Entry;
  Result.Target = "/chat/a";
  Result.RequestId = Id;
  Result.Body = Input;
  Result.Fields.add("X-Program-Id", Program);
  Result.Fields.add("X-Session-Id", "s-" + Of.Program);
  Result.Fields.add("X-Program-Deadline-Ms", "20000");
  Result.Fields.add("X-Model", "m");
  Result.Fields.add("X-Token-Budget", "4000");
  Result.Fields.add("X-Token-Usage", "900,200");
  Result.Fields.add("X-Prefix-Hash", "5c1e07a2:800," + Of.Program + ":100");
  if (!Of.LastTurn.empty())
    Result.Fields.add("X-Previous-Turn", Of.LastTurn);
  return Result;
}

Task<void> runTurn(World &Deployment, Line &Of, std::string Entry,
                   std::string Name, int &Whole, int &Ended) {
  const std::string Id = "t" + Name + "-" + Of.Program;
  const std::string Input = "input " + Id + ";";
  Call Request = makeTurn(Of, Of.Program + "." + Name, Entry, Id, Input);
  const Reply Answer = co_await sendNew(Deployment, std::move(Request));
  if (Answer.Status == 200 && Answer.IsWhole) {
    Of.History += Input + eventData(Answer.Body);
    Of.LastTurn = Id;
    ++Whole;
  }
  ++Ended;
}

/// Runs one turn of each line at the same time, and kills \p Target while they
/// run, if it is given. Returns whether all turns were answered whole.
Task<bool> runTurns(World &Deployment, std::vector<Line> &Of, std::string Entry,
                    std::string Name, Node *Target) {
  Loop &Io = Deployment.loop();
  int Whole = 0;
  int Ended = 0;
  for (Line &Each : Of)
    spawn(Io, runTurn(Deployment, Each, Entry, Name, Whole, Ended));
  const TimePoint KillAt = steadyNow() + KillDelay;
  if (Target != nullptr) {
    co_await pause(Io, KillDelay);
    Target->kill();
  }
  while (Ended < Lines)
    co_await pause(Io, std::chrono::milliseconds(10));
  if (Target != nullptr) {
    co_await pause(Io, KillAt + DarkTime - steadyNow());
    Target->start(/*FirstStart=*/false);
    co_await pause(Io, CatchUpTime);
  }
  co_return Whole == Lines;
}

/// Continues a line at \p Entry until it is served or given up.
Task<bool> isServed(World &Deployment, Line &Of, std::string Entry) {
  for (int Try = 0; Try < MaxTries; ++Try) {
    const std::string Id = "n" + std::to_string(Try) + "-" + Of.Program;
    const std::string Input = "input " + Id + ";";
    Call Request = makeTurn(Of, Of.Program + ".n", Entry, Id, Input);
    const Reply Answer = co_await sendNew(Deployment, std::move(Request));
    if (Answer.Status == 404 || Answer.Status == 410)
      co_return false;
    if (Replica::bodies().count(Id) > 0)
      co_return Replica::bodies()[Id] == Of.History + Input;
    co_await pause(Deployment.loop(), RetryInterval);
  }
  co_return false;
}

Task<void> continueLine(World &Deployment, Line &Of, std::string Entry,
                        int &Served, int &Ended) {
  const bool IsServed = co_await isServed(Deployment, Of, Entry);
  Served += IsServed ? 1 : 0;
  ++Ended;
}

/// Returns how many first turns of new lines reach a replica.
Task<int> countFirstTurns(World &Deployment, std::string Entry) {
  int Result = 0;
  for (int Number = 0; Number < Lines; ++Number) {
    const Line New{"first" + std::to_string(Number), {}, {}};
    const std::string Id = "f-" + New.Program;
    Call Request = makeTurn(New, New.Program, Entry, Id, "input " + Id + ";");
    (void)co_await sendNew(Deployment, std::move(Request));
    Result += Replica::bodies().count(Id) > 0 ? 1 : 0;
  }
  co_return Result;
}

Task<int> play(World &Deployment) {
  Loop &Io = Deployment.loop();
  Replica::Handler Stream = [](Replica &Self, Replica::Connection Link,
                               HttpRequest Request) {
    // Turns that a ledger is killed under take two seconds.
    const std::string Name = Replica::requestId(Request).substr(0, 3);
    const bool IsLong = Name == "t2-" || Name == "t3-";
    return answerStream(Self, Link, std::move(Request), Events,
                        IsLong ? EventGap : ShortGap);
  };
  std::vector<std::unique_ptr<Replica>> Engines;
  const char *const Zones[] = {"cluj-a", "iasi-a", "buc-a"};
  std::vector<Node *> Entries;
  std::vector<Node *> Ledgers;
  for (unsigned Number = 1; Number <= 3; ++Number) {
    const char *Zone = Zones[Number - 1];
    Engines.push_back(std::make_unique<Replica>(
        Deployment,
        Replica::Options{"i-" + std::to_string(Number), "models", Zone,
                         Deployment.endpointAddress(Number)},
        Stream));
    Entries.push_back(&Deployment.addEntry(Zone));
    Ledgers.push_back(&Deployment.addLedger(Zone));
    if (!Engines.back()->start("v1") ||
        !Ledgers.back()->start(/*FirstStart=*/true) ||
        !Entries.back()->start(/*FirstStart=*/true))
      co_return 2;
  }
  const bool Ready = co_await Deployment.awaitReady(std::chrono::seconds(15));
  if (!Ready)
    co_return 2;
  std::vector<Line> Of(Lines);
  for (int Number = 0; Number < Lines; ++Number)
    Of[Number].Program = "p" + std::to_string(Number);
  const std::string First = Deployment.callerAddress(*Entries[0]);
  const std::string Second = Deployment.callerAddress(*Entries[1]);
  const bool HasTrouble = World::hasTrouble();

  bool Answered =
      co_await runTurns(Deployment, Of, First, "1", /*Target=*/nullptr);
  if (!Answered)
    co_return 2;
  Answered = co_await runTurns(Deployment, Of, First, "2",
                               HasTrouble ? Ledgers[0] : nullptr);
  if (!Answered)
    co_return 2;
  const TimePoint ThirdBegan = steadyNow();
  Answered = co_await runTurns(Deployment, Of, First, "3",
                               HasTrouble ? Ledgers[1] : nullptr);
  if (!Answered)
    co_return 2;
  co_await pause(Io, ThirdBegan + FourthPause - steadyNow());
  Answered = co_await runTurns(Deployment, Of, First, "4", /*Target=*/nullptr);
  if (!Answered)
    co_return 2;
  co_await pause(Io, ThirdBegan + LastPause + DarkTime - steadyNow());

  // The lines come in through the other zone of the region from now on.
  int Served = 0;
  int Ended = 0;
  for (Line &Each : Of)
    spawn(Io, continueLine(Deployment, Each, Second, Served, Ended));
  while (Ended < Lines)
    co_await pause(Io, std::chrono::milliseconds(50));
  const int Lost = Lines - Served;
  const int FirstTurns = co_await countFirstTurns(Deployment, Second);
  Deployment.record().line(
      std::to_string(Lost) + " of " + std::to_string(Lines) +
      " lines are lost; " + std::to_string(FirstTurns) + " of " +
      std::to_string(Lines) + " first turns reach a replica");
  if (FirstTurns < Lines)
    co_return 2;
  co_return Lost > 0 ? 1 : 0;
}

} // namespace
} // namespace tamarack::review

int main(int ArgumentCount, char **Arguments) {
  using namespace tamarack;
  review::WorldOptions Options;
  Options.Zones = {
      {"cluj-a", "ro-nord"}, {"iasi-a", "ro-nord"}, {"buc-a", "ro-sud"}};
  Json Chat = review::makeRoute("/chat/", "streaming", "models", 4000);
  Chat["retained"] = true;
  Options.Routes = Json::array({Chat});
  Options.Services = Json::array(
      {{{"name", "models"},
        {"health_path", "/healthz"},
        {"max_connections", 240},
        {"engine",
         {{"slots", 32}, {"kv_capacity", 783000}, {"chunk_tokens", 19}}}}});
  return review::runCase(
      ArgumentCount, Arguments, Options,
      [](review::World &Deployment) { return review::play(Deployment); });
}
