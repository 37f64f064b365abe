#include "EngineCore.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tamarack::internal {
namespace {

/// A reader that waits for tokens comes back at least this often.
constexpr std::chrono::milliseconds ReadSlice(100);
/// The most finished streams kept for resumption.
constexpr std::size_t MaxKeptStreams = 10'000;

struct StreamRecord {
  std::string Model;
  TokenSequence Prompt;
  std::vector<std::string> Words;
  TokenCount Cached = 0;
  bool Finished = false;
  bool Cancelled = false;
};

struct LoadReport {
  TimePoint At;
  std::size_t Running = 0;
  std::size_t Waiting = 0;
  TokenCount Cached = 0;
};

struct NumberedEvent {
  std::uint64_t Number;
  TimePoint At;
  CacheEvent Event;
};

BatchLimits limitsOf(const EngineServer::Options &Settings) {
  BatchLimits Limits;
  Limits.MaxBatch = Settings.MaxBatch;
  Limits.MaxMemoryTokens = Settings.MaxMemoryTokens;
  Limits.CacheTokens = Settings.CacheTokens;
  Limits.TokenTime = Settings.TokenTime;
  Limits.PrefillTokensPerMs = Settings.PrefillTokensPerMs;
  return Limits;
}

Json eventJson(const NumberedEvent &Each) {
  bool Stored = Each.Event.Change == CacheChange::Stored;
  return {{"number", Each.Number},
          {"kind", Stored ? "stored" : "removed"},
          {"key", Each.Event.Key},
          {"tokens", Each.Event.Tokens}};
}

} // namespace

struct EngineCore::Impl {
  EngineServer::Options Settings;
  BatchLimits Limits;
  SystemClock OwnClock;
  mutable std::mutex Mutex;
  std::condition_variable Work;
  std::condition_variable Progress;
  bool Stopping = false;
  BatchState State;
  std::map<std::string, StreamRecord> Streams;
  std::deque<std::string> FinishedStreams;
  std::deque<LoadReport> Reports;
  std::vector<NumberedEvent> Events;
  std::uint64_t Requests = 0;
  std::uint64_t Cancelled = 0;
  std::thread Scheduler;

  TimePoint now() const {
    return Settings.Time ? Settings.Time->now() : OwnClock.now();
  }

  void schedule();
  void deliver(const StepOutcome &Step);
  void finish(const std::string &Name, StreamRecord &Stream);
  void report();
};

void EngineCore::Impl::schedule() {
  std::unique_lock Lock(Mutex);
  auto Due = std::chrono::steady_clock::now();
  while (!Stopping) {
    if (State.Running.empty() && State.Waiting.empty()) {
      Work.wait(Lock);
      Due = std::chrono::steady_clock::now();
      continue;
    }
    StepOutcome Step = stepBatch(State, Limits);
    report();
    Due += Step.Takes;
    Work.wait_until(Lock, Due, [this] { return Stopping; });
    deliver(Step);
    report();
  }
}

void EngineCore::Impl::deliver(const StepOutcome &Step) {
  for (const auto &Each : Step.Progress) {
    auto Found = Streams.find(Each.Stream);
    if (Found == Streams.end() || Found->second.Finished)
      continue;
    StreamRecord &Stream = Found->second;
    Stream.Cached = Each.Cached;
    while (Stream.Words.size() < Each.Generated)
      Stream.Words.push_back(answerWord(Stream.Prompt, Stream.Words.size()));
    if (Each.Finished)
      finish(Each.Stream, Stream);
  }
  Progress.notify_all();
}

void EngineCore::Impl::finish(const std::string &Name, StreamRecord &Stream) {
  Stream.Finished = true;
  FinishedStreams.push_back(Name);
  if (FinishedStreams.size() <= MaxKeptStreams)
    return;
  Streams.erase(FinishedStreams.front());
  FinishedStreams.pop_front();
}

/// Records the load and the cache's changes with their time.
void EngineCore::Impl::report() {
  TimePoint Now = now();
  for (auto &Event : State.Cache.Events)
    Events.push_back({Events.size() + 1, Now, std::move(Event)});
  State.Cache.Events.clear();
  Reports.push_back(
      {Now, State.Running.size(), State.Waiting.size(), State.Cache.Held});
  TimePoint Oldest = Now - Settings.LoadLag;
  while (Reports.size() > 1 && Reports[1].At <= Oldest)
    Reports.pop_front();
}

EngineCore::EngineCore(const EngineServer::Options &Settings)
    : Pimpl(new Impl) {
  Pimpl->Settings = Settings;
  Pimpl->Limits = limitsOf(Settings);
  Pimpl->Scheduler = std::thread([Raw = Pimpl.get()] { Raw->schedule(); });
}

EngineCore::~EngineCore() {
  stop();
  Pimpl->Scheduler.join();
}

void EngineCore::stop() {
  std::lock_guard Lock(Pimpl->Mutex);
  Pimpl->Stopping = true;
  Pimpl->Work.notify_all();
  Pimpl->Progress.notify_all();
}

bool EngineCore::stopping() const {
  std::lock_guard Lock(Pimpl->Mutex);
  return Pimpl->Stopping;
}

Submission EngineCore::submit(const std::string &Model, BatchRequest Request) {
  std::lock_guard Lock(Pimpl->Mutex);
  if (Pimpl->Streams.count(Request.Stream) > 0)
    return Submission::AlreadyKnown;
  if (Request.Prompt.size() + Request.MaxTokens > Pimpl->Limits.MaxMemoryTokens)
    return Submission::TooLong;
  ++Pimpl->Requests;
  StreamRecord &Stream = Pimpl->Streams[Request.Stream];
  Stream.Model = Model;
  Stream.Prompt = Request.Prompt;
  Pimpl->State.Waiting.push_back(std::move(Request));
  Pimpl->report();
  Pimpl->Work.notify_all();
  return Submission::Accepted;
}

std::optional<StreamView> EngineCore::waitForTokens(const std::string &Stream,
                                                    TokenCount Offset) {
  std::unique_lock Lock(Pimpl->Mutex);
  StreamRecord *Found = nullptr;
  Pimpl->Progress.wait_for(Lock, ReadSlice, [&] {
    auto It = Pimpl->Streams.find(Stream);
    Found = It == Pimpl->Streams.end() ? nullptr : &It->second;
    return Pimpl->Stopping || !Found || Found->Finished ||
           Found->Words.size() > Offset;
  });
  if (!Found)
    return std::nullopt;
  StreamView View;
  View.Model = Found->Model;
  if (Found->Words.size() > Offset)
    View.NewTokens.assign(Found->Words.begin() + Offset, Found->Words.end());
  View.Finished = Found->Finished;
  View.Cancelled = Found->Cancelled;
  View.PromptTokens = Found->Prompt.size();
  View.CachedTokens = Found->Cached;
  View.Generated = Found->Words.size();
  return View;
}

bool EngineCore::cancel(const std::string &Stream) {
  std::lock_guard Lock(Pimpl->Mutex);
  auto Found = Pimpl->Streams.find(Stream);
  if (Found == Pimpl->Streams.end())
    return false;
  if (Found->second.Finished)
    return true;
  cancelRequest(Pimpl->State, Pimpl->Limits, Stream);
  ++Pimpl->Cancelled;
  Found->second.Cancelled = true;
  Pimpl->finish(Stream, Found->second);
  Pimpl->report();
  Pimpl->Progress.notify_all();
  return true;
}

Json EngineCore::cacheListing() const {
  std::lock_guard Lock(Pimpl->Mutex);
  Json Entries = Json::array();
  for (const auto &[Key, Entry] : Pimpl->State.Cache.Entries)
    Entries.push_back({{"key", Key}, {"tokens", Entry.Tokens.size()}});
  return {{"entries", Entries}};
}

bool EngineCore::dropCacheEntry(const std::string &Key) {
  std::lock_guard Lock(Pimpl->Mutex);
  bool Removed = removeEntry(Pimpl->State.Cache, Key);
  Pimpl->report();
  return Removed;
}

Json EngineCore::cacheEvents(std::uint64_t After) const {
  std::lock_guard Lock(Pimpl->Mutex);
  TimePoint Visible = Pimpl->now() - Pimpl->Settings.EventLag;
  std::uint64_t LossEvery = Pimpl->Settings.EventLossEvery;
  Json List = Json::array();
  for (std::size_t I = After; I < Pimpl->Events.size(); ++I) {
    const NumberedEvent &Each = Pimpl->Events[I];
    bool Lost = LossEvery > 0 && Each.Number % LossEvery == 0;
    if (Each.At <= Visible && !Lost)
      List.push_back(eventJson(Each));
  }
  return {{"events", List}};
}

Json EngineCore::laggingLoad() const {
  std::lock_guard Lock(Pimpl->Mutex);
  TimePoint Visible = Pimpl->now() - Pimpl->Settings.LoadLag;
  LoadReport Seen;
  for (const auto &Each : Pimpl->Reports)
    if (Each.At <= Visible)
      Seen = Each;
  return {{"running", Seen.Running},
          {"waiting", Seen.Waiting},
          {"cached_tokens", Seen.Cached}};
}

Json EngineCore::stats() const {
  std::lock_guard Lock(Pimpl->Mutex);
  const BatchCounters &Count = Pimpl->State.Count;
  return {{"requests", Pimpl->Requests},
          {"prefilled_tokens", Count.Prefilled},
          {"prefilled_again_tokens", Count.PrefilledAgain},
          {"generated_tokens", Count.Generated},
          {"cancelled", Pimpl->Cancelled}};
}

} // namespace tamarack::internal
