#include "VersionTrials.hpp"

#include <algorithm>
#include <sstream>

namespace tamarack::review {
namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration StreamLimit = std::chrono::seconds(4);
constexpr std::size_t Streams = 16;
constexpr unsigned Rounds = 6;
constexpr Duration Downtime = std::chrono::seconds(2);
/// Streams of two versions that the rule allows.
constexpr std::size_t MaxMixed = 2;

/// What a client has of one stream, over its tries.
struct ClientStream {
  std::set<std::string> Versions;
  unsigned LastEvent = 0;
  bool IsWhole = false;
};

/// Notes the events of \p Body; each has the data "REQUEST.NUMBER@VERSION".
void noteEvents(ClientStream &Of, const std::string &Body) {
  std::istringstream In(Body);
  for (std::string Line; std::getline(In, Line);)
    if (const std::size_t At = Line.rfind('@');
        Line.rfind("data: ", 0) == 0 && At != std::string::npos) {
      Of.Versions.insert(Line.substr(At + 1));
      ++Of.LastEvent;
    }
}

HttpRequest makeStream(Scene &Stage, const std::string &Program) {
  HttpRequest Result{"POST", "/plan/4b", {}, "Plan the visits."};
  Result.Fields.add("X-Request-Id", Stage.nextId());
  Result.Fields.add("X-Program-Id", Program);
  Result.Fields.add("X-Session-Id", "s-" + Program);
  Result.Fields.add("X-Program-Deadline-Ms", "60000");
  Result.Fields.add("X-Token-Budget", "100000");
  Result.Fields.add("X-Token-Usage", "20,500");
  return Result;
}

Task<void> playStream(Scene &Stage, std::string Program,
                      std::shared_ptr<ClientStream> State,
                      std::shared_ptr<std::size_t> Left) {
  HttpRequest First = makeStream(Stage, Program);
  const std::string Begun = fieldOf(First.Fields, "X-Request-Id");
  Answer Got = co_await Stage.send(0, std::move(First), StreamLimit);
  noteEvents(*State, Got.Body);
  // A client takes a broken stream up again once, at another entry.
  if (Got.Status == 0 && State->LastEvent > 0) {
    HttpRequest Again = makeStream(Stage, Program);
    Again.Fields.add("Resumes", Begun);
    Again.Fields.add("Last-Event-Id", std::to_string(State->LastEvent));
    Got = co_await Stage.send(1, std::move(Again), StreamLimit);
    if (Got.Status == 0 || Got.Status == 200)
      noteEvents(*State, Got.Body);
  }
  State->IsWhole = Got.Status == 200;
  std::string Versions;
  for (const std::string &Each : State->Versions)
    Versions += " " + Each;
  Stage.log().add("stream of " + Program + ": " +
                  std::to_string(State->LastEvent) + " events of" + Versions);
  --*Left;
}

} // namespace

Task<Verdict> playVersionChanged(Scene &Stage, bool HasTrouble) {
  Json Plan = makeRoute("/plan/", "streaming", "agent-models");
  Plan["resumable"] = true;
  Stage.putConfiguration(Json::array({Plan}),
                         Json::array({{{"name", "agent-models"},
                                       {"max_connections", 240},
                                       {"engine",
                                        {{"chunk_tokens", TokensPerEvent},
                                         {"kv_capacity", 783000}}}}}));
  std::vector<std::unique_ptr<Replica>> All;
  for (unsigned Number = 1; Number <= 3; ++Number) {
    Replica::Options Config;
    Config.Name = "m" + std::to_string(Number);
    Config.Service = "agent-models";
    Config.Zone = "cluj-a";
    Config.Address = Stage.replicaAddress(Number);
    Config.Streams = true;
    Config.Events = 60;
    Config.KeepsId = true;
    All.push_back(std::make_unique<Replica>(Stage.loop(), std::move(Config),
                                            Stage.store(), Stage.log()));
    All.back()->start();
  }
  const bool IsUp = co_await Stage.start();
  if (!IsUp)
    co_return Verdict::NotRun;
  co_await pause(Stage.loop(), Second);
  std::vector<std::shared_ptr<ClientStream>> States;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    // Two seconds later it is back, with another version of its software.
    if (HasTrouble) {
      All[0]->setVersion("v2");
      All[0]->crashFor(Downtime);
    }
    co_await pause(Stage.loop(), Downtime + 20 * Millisecond);
    const auto Left = std::make_shared<std::size_t>(Streams);
    for (std::size_t Number = 0; Number < Streams; ++Number) {
      States.push_back(std::make_shared<ClientStream>());
      const std::string Program =
          "p" + std::to_string(Round) + "-" + std::to_string(Number);
      spawn(Stage.loop(), playStream(Stage, Program, States.back(), Left));
    }
    co_await pause(Stage.loop(), 200 * Millisecond);
    // It ends again, and the operator goes back to the version before.
    if (HasTrouble) {
      All[0]->setVersion("v1");
      All[0]->crashFor(Downtime);
    }
    while (*Left > 0)
      co_await pause(Stage.loop(), 50 * Millisecond);
    co_await pause(Stage.loop(), ContactTime + Downtime + Round * Second / 5);
  }
  const auto CountOf = [&States](auto Has) {
    return static_cast<std::size_t>(
        std::count_if(States.begin(), States.end(), Has));
  };
  const std::size_t Mixed =
      CountOf([](const auto &Each) { return Each->Versions.size() > 1; });
  const std::size_t Whole =
      CountOf([](const auto &Each) { return Each->IsWhole; });
  Stage.log().add("streams " + std::to_string(States.size()) + ", whole " +
                  std::to_string(Whole) + ", of two versions " +
                  std::to_string(Mixed));
  if (!HasTrouble && Whole < States.size())
    co_return Verdict::NotRun;
  co_return Mixed > MaxMixed ? Verdict::Broken : Verdict::Held;
}

} // namespace tamarack::review
