#include "LoadDriver.h"

#include "tamarack/standins/EngineAnswer.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace tamarack::internal {
namespace {

/// The wait before a repeated call when the answer names none.
constexpr std::chrono::milliseconds RetryPause(100);
constexpr const char *ChatPath = "/v1/chat/completions";

/// One program with its whole conversation.
struct Conversation {
  std::string Name;
  Json Messages = Json::array();
  std::mt19937_64 Words;
};

struct Turn {
  std::string Text;
  Json Usage;
};

/// A failed call and when to repeat it.
struct Failure {
  std::string Kind;
  std::chrono::milliseconds Pause = RetryPause;
};

using TurnResult = tl::expected<Turn, Failure>;

std::string newWords(Conversation &Program, std::uint32_t Count) {
  std::string Text = Program.Name;
  for (std::uint32_t I = 0; I < Count; ++I)
    Text += " w" + std::to_string(Program.Words() % 10'000);
  return Text;
}

Json callBody(const LoadPlan &Plan, const Conversation &Program) {
  Json Body = {
      {"model", Plan.Model}, {"stream", true}, {"max_tokens", Plan.MaxTokens}};
  if (Plan.Direct) {
    Body["messages"] = Program.Messages;
    Body["cache_key"] = Program.Name;
  } else {
    Body["messages"] = Json::array({Program.Messages.back()});
  }
  return Body;
}

HttpHeaders callHeaders(const LoadPlan &Plan, const Conversation &Program,
                        std::uint32_t Sequence) {
  if (Plan.Direct)
    return {};
  return {{"Authorization", "Bearer " + Plan.Key},
          {"Tamarack-Program", Program.Name},
          {"Tamarack-Sequence", std::to_string(Sequence)}};
}

/// The kind of an entry's error body, or the status where there is none.
std::string errorKind(const Json &Body, int Status) {
  if (Body.is_object() && Body.contains("error") && Body["error"].is_object() &&
      Body["error"].contains("kind"))
    return Body["error"]["kind"].get<std::string>();
  return "http_" + std::to_string(Status);
}

Failure failureOf(const Error &Why) { return {answerOf(Why.Kind).Name}; }

Failure failureOf(const HttpJsonAnswer &Answer) {
  Failure Result{errorKind(Answer.Body, Answer.Status)};
  auto After = Answer.Headers.find("Retry-After");
  if (After != Answer.Headers.end())
    Result.Pause = std::chrono::seconds(std::atoi(After->second.c_str()));
  return Result;
}

std::string contentOf(const Json &Event) {
  static const Json::json_pointer Content("/choices/0/delta/content");
  return Event.contains(Content) ? Event[Content].get<std::string>() : "";
}

/// Reads one streamed answer and times its tokens.
TurnResult readTurn(HttpEvents &Events, const Clock &Time, TimePoint Sent,
                    LoadSamples &Samples) {
  Turn Result;
  TimePoint Last = Sent;
  while (true) {
    auto Event = Events.next();
    if (!Event)
      return tl::unexpected(failureOf(Event.error()));
    if (!*Event)
      return Result;
    const Json &Chunk = **Event;
    if (Chunk.contains("error"))
      return tl::unexpected(Failure{errorKind(Chunk, 200)});
    Result.Usage = Chunk.value("usage", Result.Usage);
    std::string Content = contentOf(Chunk);
    if (Content.empty())
      continue;
    TimePoint Now = Time.now();
    auto &Series =
        Result.Text.empty() ? Samples.FirstToken : Samples.BetweenTokens;
    Series.push_back(Now - Last);
    Last = Now;
    Result.Text += Content;
  }
}

TurnResult callOnce(const LoadPlan &Plan, const HttpTarget &Target,
                    const Conversation &Program, std::uint32_t Sequence,
                    const Clock &Time, LoadSamples &Samples) {
  ++Samples.Calls;
  TimePoint Sent = Time.now();
  auto Events = HttpEvents::open(Target, ChatPath, callBody(Plan, Program),
                                 callHeaders(Plan, Program, Sequence));
  if (!Events)
    return tl::unexpected(failureOf(Events.error()));
  if ((*Events)->answer().Status != 200)
    return tl::unexpected(failureOf((*Events)->answer()));
  return readTurn(**Events, Time, Sent, Samples);
}

TurnResult callWithRetries(const LoadPlan &Plan, const HttpTarget &Target,
                           const Conversation &Program, std::uint32_t Sequence,
                           const Clock &Time, LoadSamples &Samples) {
  for (std::uint32_t Tried = 0;; ++Tried) {
    auto Result = callOnce(Plan, Target, Program, Sequence, Time, Samples);
    if (Result)
      return Result;
    ++Samples.Errors[Result.error().Kind];
    if (Tried == Plan.Retries)
      return Result;
    std::this_thread::sleep_for(Result.error().Pause);
  }
}

void countTokens(const Json &Usage, LoadSamples &Samples) {
  if (!Usage.is_object())
    return;
  Samples.PromptTokens += Usage.value("prompt_tokens", std::uint64_t(0));
  Json Details = Usage.value("prompt_tokens_details", Json::object());
  if (Details.is_object())
    Samples.CachedTokens += Details.value("cached_tokens", std::uint64_t(0));
}

void runProgram(const LoadPlan &Plan, std::uint32_t Index, const Clock &Time,
                LoadSamples &Samples) {
  const HttpTarget &Target = Plan.Targets[Index % Plan.Targets.size()];
  Conversation Program;
  Program.Name = Plan.Run + "-" + std::to_string(Index);
  Program.Words.seed(Index);
  TimePoint Begun = Time.now();
  for (std::uint32_t Sequence = 1; Sequence <= Plan.Turns; ++Sequence) {
    if (Sequence > 1)
      std::this_thread::sleep_for(Plan.ToolPause);
    Program.Messages.push_back(
        {{"role", "user"}, {"content", newWords(Program, Plan.WordsPerTurn)}});
    auto Result =
        callWithRetries(Plan, Target, Program, Sequence, Time, Samples);
    if (!Result) {
      ++Samples.ProgramsFailed;
      return;
    }
    if (Result->Text != engineAnswer(Program.Messages, Plan.MaxTokens))
      ++Samples.WrongAnswers;
    countTokens(Result->Usage, Samples);
    Program.Messages.push_back(
        {{"role", "assistant"}, {"content", Result->Text}});
  }
  Samples.Program.push_back(Time.now() - Begun);
}

} // namespace

LoadSamples runLoad(const LoadPlan &Plan, const Clock &Time) {
  std::atomic<std::uint32_t> NextProgram{0};
  std::vector<LoadSamples> Samples(Plan.Concurrency);
  std::vector<std::thread> Workers;
  Workers.reserve(Plan.Concurrency);
  for (auto &Own : Samples)
    Workers.emplace_back([&Plan, &Time, &NextProgram, &Own] {
      std::uint32_t Index;
      while ((Index = NextProgram++) < Plan.Programs)
        runProgram(Plan, Index, Time, Own);
    });
  for (auto &Worker : Workers)
    Worker.join();
  LoadSamples All;
  for (auto &Own : Samples)
    mergeSamples(All, std::move(Own));
  return All;
}

} // namespace tamarack::internal
