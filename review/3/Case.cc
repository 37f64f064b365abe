/// A storage machine is retired while two others are dark for 2.8 s. A ledger
/// that has stood by since the first start takes its place at once.
#include "Client.hpp"
#include "Replica.hpp"

namespace tamarack::review {
namespace {

constexpr int Programs = 6;
/// Of each program, as many as its budget holds.
constexpr int Turns = 3;
constexpr unsigned Events = 10;
constexpr unsigned TokensPerEvent = 19;
constexpr unsigned TokensPerTurn = Events * TokensPerEvent;
constexpr unsigned Budget = Turns * TokensPerTurn;
constexpr Duration EventGap = std::chrono::milliseconds(15);
/// The zones of ro-nord come first, then those of ro-sud.
constexpr std::size_t ZonesPerRegion = 3;
const char *const Zones[] = {"cluj-a", "iasi-a",    "oradea-a",
                             "buc-a",  "craiova-a", "constanta-a"};
/// `node_kill` on two storage machines: for_s = 2.8.
constexpr Duration DarkTime = std::chrono::milliseconds(2800);
/// From the loss of power to the last turns.
constexpr Duration LastTurnsDelay = std::chrono::milliseconds(3400);
constexpr Duration RetireTime = std::chrono::seconds(14);

struct Totals {
  unsigned Tokens = 0;
  int Ended = 0;
};

Task<void> runTurn(World &Deployment, std::string Entry, std::string Program,
                   std::string Name, Totals &Of) {
  Call Request;
  Request.Entry = Entry;
  Request.Target = "/plan/a";
  Request.RequestId = Program + "-" + Name;
  Request.Body = "prompt " + Request.RequestId;
  Request.Fields.add("X-Program-Id", Program);
  Request.Fields.add("X-Session-Id", Request.RequestId);
  Request.Fields.add("X-Model", "m");
  Request.Fields.add("X-Token-Budget", std::to_string(Budget));
  Request.Fields.add("X-Token-Usage", "900," + std::to_string(TokensPerTurn));
  Request.Fields.add("X-Prefix-Hash",
                     "5c1e07a2:800," + Request.RequestId + ":100");
  const Reply Answer = co_await sendNew(Deployment, std::move(Request));
  if (Answer.Status == 200)
    Of.Tokens += eventCount(Answer.Body) * TokensPerEvent;
  ++Of.Ended;
}

/// Runs the turns of all programs at the same time.
Task<void> runTurns(World &Deployment, std::string Entry, std::string Name,
                    std::vector<Totals> &Of) {
  for (int Number = 0; Number < Programs; ++Number) {
    Of[Number].Ended = 0;
    for (int Turn = 0; Turn < Turns; ++Turn)
      spawn(Deployment.loop(),
            runTurn(Deployment, Entry, "p" + std::to_string(Number),
                    Name + std::to_string(Turn), Of[Number]));
  }
  for (const Totals &Each : Of)
    while (Each.Ended < Turns)
      co_await pause(Deployment.loop(), std::chrono::milliseconds(20));
}

Task<void> losePower(World &Deployment, Node &Target) {
  Target.kill();
  co_await pause(Deployment.loop(), DarkTime);
  Target.start(/*FirstStart=*/false);
}

Task<int> play(World &Deployment) {
  Loop &Io = Deployment.loop();
  Replica::Handler Stream = [](Replica &Self, Replica::Connection Link,
                               HttpRequest Request) {
    return answerStream(Self, Link, std::move(Request), Events, EventGap);
  };
  std::vector<std::unique_ptr<Replica>> Engines;
  for (unsigned Number = 1; Number <= 2; ++Number) {
    Engines.push_back(std::make_unique<Replica>(
        Deployment,
        Replica::Options{"i-" + std::to_string(Number), "models",
                         Number == 1 ? "cluj-a" : "buc-a",
                         Deployment.endpointAddress(Number)},
        Stream));
    if (!Engines.back()->start("v1"))
      co_return 2;
  }
  Node &NorthEntry = Deployment.addEntry("cluj-a");
  Node &SouthEntry = Deployment.addEntry("buc-a");
  std::vector<Node *> Ledgers;
  for (const char *Zone : Zones) {
    Ledgers.push_back(&Deployment.addLedger(Zone));
    if (!Ledgers.back()->start(/*FirstStart=*/true))
      co_return 2;
  }
  if (!NorthEntry.start(/*FirstStart=*/true) ||
      !SouthEntry.start(/*FirstStart=*/true))
    co_return 2;
  const bool Ready = co_await Deployment.awaitReady(std::chrono::seconds(15));
  if (!Ready)
    co_return 2;
  co_await pause(Io, std::chrono::seconds(3));
  const std::string FirstView = Deployment.store().value("ledger/view");
  Deployment.record().line("view " + FirstView);
  std::size_t Standby = 0;
  while (Standby < Ledgers.size() &&
         FirstView.find(Ledgers[Standby]->name()) != std::string::npos)
    ++Standby;
  if (Standby == Ledgers.size())
    co_return 2;
  // The program first comes in through the region where all are members.
  const bool StandbyIsNorth = Standby < ZonesPerRegion;
  Node &Retired = *Ledgers[StandbyIsNorth ? ZonesPerRegion : 0];
  std::vector<Node *> Dark;
  for (std::size_t Index = 0; Index < Ledgers.size(); ++Index)
    if ((Index < ZonesPerRegion) == StandbyIsNorth && Index != Standby)
      Dark.push_back(Ledgers[Index]);

  std::vector<Totals> Of(Programs);
  const std::string First =
      Deployment.callerAddress(StandbyIsNorth ? SouthEntry : NorthEntry);
  const std::string Second =
      Deployment.callerAddress(StandbyIsNorth ? NorthEntry : SouthEntry);
  co_await runTurns(Deployment, First, "a", Of);
  for (const Totals &Each : Of)
    if (Each.Tokens != Budget)
      co_return 2;
  co_await pause(Io, std::chrono::seconds(1));

  const TimePoint Ordered = steadyNow();
  const std::string Key = "status/retire/" + Retired.name();
  Deployment.record().line("retire " + Retired.name());
  Deployment.store().put("op/retire/" + Retired.name(),
                         Json{{"duration_s", 8.7}}.dump());
  while (Deployment.store().value(Key).empty() &&
         steadyNow() < Ordered + RetireTime)
    co_await pause(Io, std::chrono::milliseconds(1));
  Deployment.record().line(Key + " " + Deployment.store().value(Key));
  const TimePoint Lost = steadyNow();
  for (Node *Each : Dark)
    if (World::hasTrouble())
      spawn(Io, losePower(Deployment, *Each));
  co_await pause(Io, Lost + LastTurnsDelay - steadyNow());
  Deployment.record().line("view " + Deployment.store().value("ledger/view"));
  co_await runTurns(Deployment, Second, "b", Of);
  int Broken = 0;
  for (const Totals &Each : Of) {
    Deployment.record().line(
        "tokens handed out: " + std::to_string(Each.Tokens) +
        ", budget: " + std::to_string(Budget) +
        ", most of one turn: " + std::to_string(TokensPerTurn));
    Broken += Each.Tokens > Budget + TokensPerTurn ? 1 : 0;
  }
  while (steadyNow() < Ordered + RetireTime &&
         Deployment.store().value(Key).find("completed") == std::string::npos)
    co_await pause(Io, std::chrono::milliseconds(20));
  Deployment.record().line(Key + " " + Deployment.store().value(Key));
  Deployment.record().line(std::to_string(Broken) + " of " +
                           std::to_string(Programs) +
                           " programs got more than their budget");
  co_return Broken > 0 ? 1 : 0;
}

} // namespace
} // namespace tamarack::review

int main(int ArgumentCount, char **Arguments) {
  using namespace tamarack;
  review::WorldOptions Options;
  Options.Zones = {{"cluj-a", "ro-nord"},   {"iasi-a", "ro-nord"},
                   {"oradea-a", "ro-nord"}, {"buc-a", "ro-sud"},
                   {"craiova-a", "ro-sud"}, {"constanta-a", "ro-sud"}};
  Options.ToleratedLosses = 2;
  Options.Routes =
      Json::array({review::makeRoute("/plan/", "streaming", "models", 4000)});
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
