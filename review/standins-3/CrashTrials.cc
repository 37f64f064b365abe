#include "CrashTrials.hpp"

#include <algorithm>

namespace tamarack::review {
namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration CallLimit = std::chrono::seconds(1);
/// Crashes after which a request may reach replicas in MaxRetries more.
constexpr std::size_t KnownCrashes = 3;
constexpr std::size_t MaxRetries = 3;
constexpr const char *DeadlyProgram = "d0d0";

/// What replicas saw of the request that crashes them.
struct DeadlyRuns {
  std::vector<TimePoint> At;
  std::size_t crashes() const { return At.size(); }
  /// The runs later than the contact time after the third.
  std::size_t late() const {
    if (At.size() < KnownCrashes)
      return 0;
    const TimePoint From = At[KnownCrashes - 1] + ContactTime;
    return static_cast<std::size_t>(std::count_if(
        At.begin(), At.end(), [From](TimePoint Each) { return Each > From; }));
  }
};

HttpRequest makeCall(Scene &Stage, const std::string &Program,
                     const std::string &Target) {
  HttpRequest Result{"GET", Target, {}, {}};
  Result.Fields.add("X-Request-Id", Stage.nextId());
  Result.Fields.add("X-Program-Id", Program);
  Result.Fields.add("X-Session-Id", "s-" + Program);
  Result.Fields.add("X-Program-Deadline-Ms", "60000");
  return Result;
}

using Replicas = std::vector<std::unique_ptr<Replica>>;

Replicas startReplicas(Scene &Stage, unsigned Count, bool Streams,
                       std::function<bool(const HttpRequest &)> IsDeadly,
                       std::function<void(const HttpRequest &)> OnRun) {
  Replicas Result;
  for (unsigned Number = 1; Number <= Count; ++Number) {
    Replica::Options Config;
    Config.Name = (Streams ? "m" : "f") + std::to_string(Number);
    Config.Service = Streams ? "agent-models" : "field-ops";
    Config.Zone = Number % 2 == 0 ? "iasi-a" : "cluj-a";
    Config.Address = Stage.replicaAddress(Number);
    Config.Streams = Streams;
    Config.IsDeadly = IsDeadly;
    Config.OnRun = OnRun;
    Result.push_back(std::make_unique<Replica>(Stage.loop(), std::move(Config),
                                               Stage.store(), Stage.log()));
    Result.back()->start();
  }
  return Result;
}

void putCallConfiguration(Scene &Stage) {
  Json Read = makeRoute("/pule252/", "safe", "field-ops");
  Read["timeout_ms"] = 1000;
  Stage.putConfiguration(
      Json::array({Read}),
      Json::array({{{"name", "field-ops"}, {"max_connections", 110}}}));
}

/// Asks for \p Target each 100 ms, at one entry after the other, until \p Stop.
Task<void> callOften(Scene &Stage, std::string Target,
                     std::shared_ptr<bool> Stop,
                     std::shared_ptr<std::size_t> Served) {
  for (std::size_t Number = 0; !*Stop; ++Number) {
    HttpRequest Request =
        makeCall(Stage, "b" + std::to_string(Number % 7), Target);
    const Answer Got = co_await Stage.send(Number % Stage.Entries.size(),
                                           std::move(Request), CallLimit);
    *Served += Got.Status == 200 ? 1 : 0;
    co_await pause(Stage.loop(), Second / 10);
  }
}

} // namespace

Task<Verdict> playDeadlyCall(Scene &Stage, bool HasTrouble) {
  putCallConfiguration(Stage);
  DeadlyRuns Runs;
  const auto IsDeadly = [HasTrouble](const HttpRequest &Request) {
    return HasTrouble &&
           fieldOf(Request.Fields, "X-Program-Id") == DeadlyProgram;
  };
  const auto OnRun = [&](const HttpRequest &Request) {
    if (IsDeadly(Request))
      Runs.At.push_back(steadyNow());
  };
  const Replicas All = startReplicas(Stage, 6, false, IsDeadly, OnRun);
  const bool IsUp = co_await Stage.start();
  if (!IsUp)
    co_return Verdict::NotRun;
  const auto Stop = std::make_shared<bool>(false);
  const auto Served = std::make_shared<std::size_t>(0);
  spawn(Stage.loop(), callOften(Stage, "/pule252/2f", Stop, Served));
  co_await pause(Stage.loop(), Second);
  for (std::size_t Number = 0; Number < 20; ++Number) {
    HttpRequest Request = makeCall(Stage, DeadlyProgram, "/pule252/2f");
    co_await Stage.send(Number % Stage.Entries.size(), std::move(Request),
                        CallLimit);
    co_await pause(Stage.loop(), Second);
  }
  *Stop = true;
  co_await pause(Stage.loop(), Second * 2);
  Stage.log().add("crashes " + std::to_string(Runs.crashes()) +
                  ", runs later than the contact time after the third " +
                  std::to_string(Runs.late()) + ", other calls served " +
                  std::to_string(*Served));
  if (*Served < 50)
    co_return Verdict::NotRun;
  co_return Runs.late() > MaxRetries ? Verdict::Broken : Verdict::Held;
}

Task<Verdict> playRecordsLost(Scene &Stage, bool HasTrouble) {
  putCallConfiguration(Stage);
  DeadlyRuns Runs;
  const auto IsDeadly = [](const HttpRequest &Request) {
    return fieldOf(Request.Fields, "X-Program-Id") == DeadlyProgram;
  };
  const auto OnRun = [&](const HttpRequest &Request) {
    if (IsDeadly(Request))
      Runs.At.push_back(steadyNow());
  };
  const Replicas All = startReplicas(Stage, 8, false, IsDeadly, OnRun);
  const bool IsUp = co_await Stage.start();
  if (!IsUp)
    co_return Verdict::NotRun;
  for (std::size_t Number = 0; Number < 8; ++Number) {
    HttpRequest Request = makeCall(Stage, DeadlyProgram, "/pule252/7c");
    co_await Stage.send(Number % Stage.Entries.size(), std::move(Request),
                        CallLimit);
    co_await pause(Stage.loop(), Second);
  }
  if (Runs.crashes() < KnownCrashes)
    co_return Verdict::NotRun;
  co_await pause(Stage.loop(), ContactTime + Second);
  if (HasTrouble) {
    Stage.log().add("all processes are killed");
    for (const auto &Each : Stage.Entries)
      Each->kill();
    for (const auto &Each : Stage.Ledgers)
      Each->kill();
    co_await pause(Stage.loop(), Second * 8 / 10);
    for (const auto &Each : Stage.Ledgers)
      Each->start(false);
    for (const auto &Each : Stage.Entries)
      Each->start(false);
    for (std::size_t Index = 0; Index < Stage.Entries.size(); ++Index) {
      const bool IsReady = co_await Stage.awaitReady(Index, Second * 12);
      if (!IsReady)
        co_return Verdict::NotRun;
    }
  }
  // All machines are in touch again.
  co_await pause(Stage.loop(), ContactTime + Second * 2);
  for (std::size_t Number = 0; Number < 12; ++Number) {
    HttpRequest Request = makeCall(Stage, DeadlyProgram, "/pule252/7c");
    co_await Stage.send(Number % Stage.Entries.size(), std::move(Request),
                        CallLimit);
    co_await pause(Stage.loop(), Second * 3 / 20);
  }
  Stage.log().add("crashes " + std::to_string(Runs.crashes()) +
                  ", runs later than the contact time after the third " +
                  std::to_string(Runs.late()));
  co_return Runs.late() > MaxRetries ? Verdict::Broken : Verdict::Held;
}

} // namespace tamarack::review
