#include "BudgetTrials.hpp"

namespace tamarack::review {
namespace {

constexpr Duration TurnLimit = std::chrono::seconds(4);
constexpr unsigned Budget = 200;
constexpr unsigned MostOfOneTurn = TokensPerEvent * EventsPerTurn;
constexpr const char *Key = "k-acme-1";

/// The events in \p Body, each of which has one line of data.
unsigned countEvents(const std::string &Body) {
  const std::string Line = "\ndata: ";
  unsigned Result = 0;
  for (std::size_t At = Body.find(Line); At != std::string::npos;
       At = Body.find(Line, At + 1))
    ++Result;
  return Result;
}

HttpRequest makeTurn(Scene &Stage, const std::string &Target,
                     const std::string &Session) {
  HttpRequest Result{"POST", Target, {}, "Look again."};
  Result.Fields.add("X-Request-Id", Stage.nextId());
  Result.Fields.add("X-Program-Id", "a100b");
  Result.Fields.add("X-Session-Id", Session);
  Result.Fields.add("X-Program-Deadline-Ms", "60000");
  Result.Fields.add("X-Token-Budget", std::to_string(Budget));
  Result.Fields.add("X-Token-Usage", "20," + std::to_string(MostOfOneTurn));
  return Result;
}

} // namespace

Task<Verdict> playTwoRoutes(Scene &Stage, bool HasTrouble) {
  Json Keyed = makeRoute("/plan/", "streaming", "agent-models");
  Json Open = makeRoute("/help/", "streaming", "agent-models");
  Keyed["public"] = false;
  Open["public"] = true;
  Stage.putConfiguration(Json::array({Keyed, Open}),
                         Json::array({{{"name", "agent-models"},
                                       {"max_connections", 240},
                                       {"engine",
                                        {{"chunk_tokens", TokensPerEvent},
                                         {"kv_capacity", 783000}}}}}),
                         Json::array({{{"name", "acme"},
                                       {"api_keys", Json::array({Key})},
                                       {"priority", 0},
                                       {"rate_per_s", 0},
                                       {"burst", 0}}}));
  std::vector<std::unique_ptr<Replica>> All;
  for (unsigned Number = 1; Number <= 3; ++Number) {
    Replica::Options Config;
    Config.Name = "m" + std::to_string(Number);
    Config.Service = "agent-models";
    Config.Zone = "cluj-a";
    Config.Address = Stage.replicaAddress(Number);
    Config.Streams = true;
    All.push_back(std::make_unique<Replica>(Stage.loop(), std::move(Config),
                                            Stage.store(), Stage.log()));
    All.back()->start();
  }
  const bool IsUp = co_await Stage.start();
  if (!IsUp)
    co_return Verdict::NotRun;
  unsigned Tokens = 0;
  unsigned Spent = 0;
  constexpr unsigned Turns = 60;
  for (unsigned Number = 0; Number < Turns; ++Number) {
    const bool IsOpen = HasTrouble && Number % 2 == 1;
    HttpRequest Turn = makeTurn(Stage, IsOpen ? "/help/2f" : "/plan/4b",
                                "s" + std::to_string(Number));
    if (!IsOpen)
      Turn.Fields.add("X-Credential", Key);
    const Answer Got = co_await Stage.send(Number / 2 % Stage.Entries.size(),
                                           std::move(Turn), TurnLimit);
    Tokens += countEvents(Got.Body) * TokensPerEvent;
    Spent += Got.Status == 402 ? 1 : 0;
  }
  Stage.log().add("budget " + std::to_string(Budget) + ", most of one turn " +
                  std::to_string(MostOfOneTurn) + ", tokens handed out " +
                  std::to_string(Tokens) +
                  ", turns answered 402: " + std::to_string(Spent));
  if (Tokens < Budget / 2 || Spent == 0)
    co_return Verdict::NotRun;
  co_return Tokens > Budget + MostOfOneTurn ? Verdict::Broken : Verdict::Held;
}

} // namespace tamarack::review
