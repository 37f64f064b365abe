/// Two ledgers lose power one after the other while two others stand by. No
/// disk is lost. All come back, and turns that were answered before are named
/// as the previous turn.
#include "Client.hpp"
#include "Replica.hpp"

#include <csignal>

namespace tamarack::review {
namespace {

constexpr int Lines = 12;
/// `node_kill` on a storage machine with `power`: for_s = 2.8.
constexpr Duration DarkTime = std::chrono::milliseconds(2800);
/// Between the two losses of power.
constexpr Duration LossInterval = std::chrono::milliseconds(1200);
/// catch_up_s, after which an added machine is not lost any more.
constexpr Duration CatchUpTime = std::chrono::milliseconds(4700);
/// recovery_s, counted from the return of the last machine.
constexpr Duration RecoveryTime = std::chrono::seconds(12);
constexpr int MaxTries = 5;

struct Line {
  std::string Program;
  std::string LastTurn;
  std::string History;
};

Call makeTurn(const Line &Of, const std::string &Entry, const std::string &Id,
              const std::string &Input) {
  Call Result;
  Result.Entry = Entry;
  Result.Target = "/chat/a";
  Result.RequestId = Id;
  Result.Body = Input;
  Result.Fields.add("X-Program-Id", Of.Program);
  Result.Fields.add("X-Session-Id", "s-" + Of.Program);
  Result.Fields.add("X-Model", "m");
  Result.Fields.add("X-Token-Budget", "4000");
  Result.Fields.add("X-Token-Usage", "900,100");
  Result.Fields.add("X-Prefix-Hash", "5c1e07a2:800," + Of.Program + ":100");
  if (!Of.LastTurn.empty())
    Result.Fields.add("X-Previous-Turn", Of.LastTurn);
  return Result;
}

/// Sends one turn of each line and returns how many were answered whole.
Task<int> sendTurns(World &Deployment, std::vector<Line> &Of, std::string Entry,
                    std::string Name) {
  int Whole = 0;
  for (Line &Each : Of) {
    const std::string Id = "t" + Name + "-" + Each.Program;
    const std::string Input = "input " + Id + ";";
    Call Request = makeTurn(Each, Entry, Id, Input);
    const Reply Answer = co_await sendNew(Deployment, std::move(Request));
    if (Answer.Status != 200 || !Answer.IsWhole)
      continue;
    ++Whole;
    Each.History += Input + eventData(Answer.Body);
    Each.LastTurn = Id;
  }
  co_return Whole;
}

/// Continues a line at \p Entry until it is served or found to be lost.
Task<bool> isLost(World &Deployment, Line &Of, std::string Entry) {
  for (int Try = 0; Try < MaxTries; ++Try) {
    const std::string Id = "n" + std::to_string(Try) + "-" + Of.Program;
    const std::string Input = "input " + Id + ";";
    Call Request = makeTurn(Of, Entry, Id, Input);
    const Reply Answer = co_await sendNew(Deployment, std::move(Request));
    if (Answer.Status == 404 || Answer.Status == 410)
      co_return true;
    if (Answer.Status == 200 && Answer.IsWhole) {
      if (Replica::bodies()[Id] == Of.History + Input)
        co_return false;
      Deployment.record().line("wrong history in " + Id);
      co_return true;
    }
    co_await pause(Deployment.loop(), std::chrono::milliseconds(400));
  }
  Deployment.record().line("no answer for the line of " + Of.Program);
  co_return true;
}

Task<void> losePower(World &Deployment, Node &Target, Duration Delay) {
  co_await pause(Deployment.loop(), Delay);
  Target.kill();
  co_await pause(Deployment.loop(), DarkTime);
  Target.start(/*FirstStart=*/false);
}

Task<int> play(World &Deployment) {
  Loop &Io = Deployment.loop();
  Replica::Handler Stream = [](Replica &Self, Replica::Connection Link,
                               HttpRequest Request) {
    return answerStream(Self, Link, std::move(Request), 4,
                        std::chrono::milliseconds(10));
  };
  std::vector<std::unique_ptr<Replica>> Engines;
  const char *const Zones[] = {"cluj-a", "iasi-a", "buc-a"};
  for (unsigned Number = 1; Number <= 3; ++Number) {
    Engines.push_back(std::make_unique<Replica>(
        Deployment,
        Replica::Options{"i-" + std::to_string(Number), "models",
                         Zones[Number - 1], Deployment.endpointAddress(Number)},
        Stream));
    if (!Engines.back()->start("v1"))
      co_return 2;
  }
  Node &FirstEntry = Deployment.addEntry("cluj-a");
  Node &SecondEntry = Deployment.addEntry("iasi-a");
  Node &ThirdEntry = Deployment.addEntry("buc-a");
  Node &FirstLedger = Deployment.addLedger("cluj-a");
  Node &SecondLedger = Deployment.addLedger("iasi-a");
  Node &ThirdLedger = Deployment.addLedger("buc-a");
  for (Node *Each : {&FirstLedger, &SecondLedger, &ThirdLedger, &FirstEntry,
                     &SecondEntry, &ThirdEntry})
    if (!Each->start(/*FirstStart=*/true))
      co_return 2;
  const bool Ready = co_await Deployment.awaitReady(std::chrono::seconds(15));
  if (!Ready)
    co_return 2;
  // Two storage machines are added.
  Node &FourthLedger = Deployment.addLedger("cluj-a");
  Node &FifthLedger = Deployment.addLedger("buc-a");
  FourthLedger.start(/*FirstStart=*/false);
  FifthLedger.start(/*FirstStart=*/false);
  co_await pause(Io, CatchUpTime + std::chrono::seconds(1));

  std::vector<Line> Of(Lines);
  for (int Number = 0; Number < Lines; ++Number)
    Of[Number].Program = "p" + std::to_string(Number);
  const std::string First = Deployment.callerAddress(FirstEntry);
  const std::string Second = Deployment.callerAddress(SecondEntry);
  for (const char *Name : {"1", "2"}) {
    const int Whole = co_await sendTurns(Deployment, Of, First, Name);
    if (Whole != Lines)
      co_return 2;
  }

  const TimePoint Deadline =
      steadyNow() + LossInterval + DarkTime + RecoveryTime;
  if (World::hasTrouble()) {
    spawn(Io, losePower(Deployment, FirstLedger, Duration(0)));
    spawn(Io, losePower(Deployment, SecondLedger, LossInterval));
  }
  co_await pause(Io, Deadline - steadyNow());

  // The lines come in through the other zone of the region from now on.
  int Lost = 0;
  for (Line &Each : Of) {
    const bool IsLost = co_await isLost(Deployment, Each, Second);
    Lost += IsLost ? 1 : 0;
  }
  Deployment.record().line(std::to_string(Lost) + " of " +
                           std::to_string(Lines) + " lines are lost; view " +
                           Deployment.store().value("ledger/view"));
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
