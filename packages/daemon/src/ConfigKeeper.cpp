#include "ConfigKeeper.h"

#include <spdlog/spdlog.h>

namespace tamarack {
namespace internal {
namespace {

constexpr const char *DocumentKey = "tamarack/config";
/// How often a watcher of the region reads the service.
constexpr Duration ReadEvery = std::chrono::seconds(2);
/// How long an operator waits for the final answer to a change.
constexpr auto ChangeLimit = std::chrono::seconds(20);
const CallLimits PullLimits{std::chrono::seconds(1), std::chrono::seconds(1)};

std::optional<OperatorDocument> documentIn(const std::string &Text) {
  auto Document = operatorDocumentFrom(Json::parse(Text, nullptr, false));
  if (!Document) {
    spdlog::error("config: the stored document is not valid: {}",
                  Document.error().Message);
    return std::nullopt;
  }
  return *Document;
}

} // namespace

ConfigKeeper::ConfigKeeper(Peers &Network, Platform &Service, const Clock &Time,
                           std::string Folder,
                           std::function<std::string()> Fresh)
    : Network(Network), Service(Service), Time(Time), Folder(std::move(Folder)),
      Fresh(std::move(Fresh)) {
  State.Self = Network.self().Instance;
  Network.setStateListener(
      [this](const PeerState &Heard) { onHeartbeat(Heard); });
  Network.server().handle<PullConfigRequest>(
      [this](const PullConfigRequest &) -> Expected<ConfigOffer> {
        return ConfigOffer{Json(current()), isConfirmed()};
      });
}

ConfigKeeper::~ConfigKeeper() { stop(); }

void ConfigKeeper::start() {
  std::optional<OperatorDocument> Kept;
  if (!Folder.empty())
    if (auto Read = loadDocument(Folder))
      Kept = std::move(*Read);
  push([Self = State.Self, Kept](const RevisionState &) {
    return startRevisions(Self, Kept);
  });
  Worker = std::thread([this] { run(); });
}

void ConfigKeeper::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    Wake.notify_all();
  }
  if (Worker.joinable())
    Worker.join();
}

OperatorDocument ConfigKeeper::current() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return State.Held;
}

Revision ConfigKeeper::inForce() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return State.Held.Made.Number;
}

bool ConfigKeeper::isConfirmed() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return State.IsConfirmed;
}

EffectiveDefaults ConfigKeeper::rulesFor(const Scope &Asked) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return effective(State.Held, Asked, Time.calendarNow());
}

Expected<Revision> ConfigKeeper::change(const OperatorDocument &Content,
                                        Revision Expected,
                                        const std::string &Author,
                                        const std::string &Comment) {
  ChangeRequest Request;
  Request.RequestId = Fresh();
  Request.Content = Content;
  Request.Expected = Expected;
  Request.Made.Author = Author;
  Request.Made.Token = Fresh();
  Request.Made.Comment = Comment;
  std::future<tamarack::Expected<Revision>> Answer;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Answer = Waiting[Request.RequestId].get_future();
  }
  push([Request](RevisionState Now) {
    return onChangeAsked(std::move(Now), Request);
  });
  if (Answer.wait_for(ChangeLimit) == std::future_status::ready)
    return Answer.get();
  std::lock_guard<std::mutex> Lock(Mutex);
  Waiting.erase(Request.RequestId);
  return refuse(ErrorKind::OutcomeUnknown,
                "the change was proposed, but its outcome is not known yet");
}

void ConfigKeeper::push(Event Next) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Events.push_back(std::move(Next));
  Wake.notify_all();
}

void ConfigKeeper::run() {
  TimePoint LastRead = Time.now();
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Wake.wait_for(Lock, ReadEvery,
                  [this] { return Stopping || !Events.empty(); });
    if (Stopping)
      return;
    if (!Events.empty()) {
      const Event Next = std::move(Events.front());
      Events.pop_front();
      RevisionStep Step = Next(std::move(State));
      State = std::move(Step.State);
      Lock.unlock();
      for (const RevisionAction &Action : Step.Actions)
        carryOut(Action);
      Lock.lock();
    }
    if (Time.now() - LastRead < ReadEvery)
      continue;
    LastRead = Time.now();
    Lock.unlock();
    refreshWatcher();
    Lock.lock();
  }
}

void ConfigKeeper::refreshWatcher() {
  const Member Self = Network.self();
  std::vector<InstanceId> Live;
  for (const Member &Known :
       membersIn(Network.members(), MemberState::Live, Self.Kind, Self.Region))
    Live.push_back(Known.Instance);
  const auto Chosen = watchers(Live);
  const bool Watches =
      std::find(Chosen.begin(), Chosen.end(), Self.Instance) != Chosen.end();
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    State.IsWatcher = Watches;
  }
  if (Watches)
    readService();
}

void ConfigKeeper::carryOut(const RevisionAction &Action) {
  if (std::holds_alternative<ReadService>(Action))
    return readService();
  if (const auto *Order = std::get_if<CompareAndSwap>(&Action))
    return swap(*Order);
  if (const auto *From = std::get_if<PullFrom>(&Action))
    return pull(From->Peer);
  if (const auto *Put = std::get_if<PutInForce>(&Action)) {
    spdlog::info("config: revision {} is in force", Put->Document.Made.Number);
    if (Folder.empty())
      return;
    if (const auto Saved = saveDocument(Folder, Put->Document); !Saved)
      spdlog::error("config: {}", Saved.error().Message);
    return;
  }
  const auto &Answer = std::get<AnswerOperator>(Action);
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Waiting.find(Answer.RequestId);
  if (Found == Waiting.end())
    return;
  Found->second.set_value(Answer.Answer);
  Waiting.erase(Found);
}

void ConfigKeeper::readService() {
  const auto Stored = Service.read(DocumentKey);
  if (!Stored) {
    push([](RevisionState Now) { return onServiceReadFailed(std::move(Now)); });
    return;
  }
  const auto Document = *Stored ? documentIn((*Stored)->Value) : std::nullopt;
  if (*Stored && !Document) {
    push([](RevisionState Now) { return onServiceReadFailed(std::move(Now)); });
    return;
  }
  push([Document](RevisionState Now) {
    return onServiceRead(std::move(Now), Document);
  });
}

void ConfigKeeper::swap(const CompareAndSwap &Order) {
  const std::string Token = Order.Next.Made.Token;
  const auto Stored = Service.read(DocumentKey);
  if (!Stored) {
    push([Token](RevisionState Now) {
      return onCasNotSent(std::move(Now), Token);
    });
    return;
  }
  const auto Before = *Stored ? documentIn((*Stored)->Value) : std::nullopt;
  const Revision Current = Before ? Before->Made.Number : 0;
  if (Current != Order.Expected || (*Stored && !Before)) {
    push([Token](RevisionState Now) {
      return onCasLost(std::move(Now), Token);
    });
    return;
  }
  const auto Swapped =
      Service.swap(DocumentKey, *Stored ? (*Stored)->Revision : 0,
                   Json(Order.Next).dump(), [&Token](const std::string &Text) {
                     const auto Written = documentIn(Text);
                     return Written && wasMadeWith(*Written, Token);
                   });
  push([Token, Swapped](RevisionState Now) {
    if (Swapped)
      return onCasWon(std::move(Now), Token);
    if (Swapped.error().Kind == ErrorKind::RevisionConflict)
      return onCasLost(std::move(Now), Token);
    if (Swapped.error().Proof == NotRun::Proved)
      return onCasNotSent(std::move(Now), Token);
    return onCasAnswerLost(std::move(Now), Token);
  });
}

void ConfigKeeper::pull(const InstanceId &Peer) {
  const auto Link = Network.link(Peer);
  if (!Link)
    return;
  const auto Offer = Link->call(PullConfigRequest{}, PullLimits);
  if (!Offer)
    return;
  auto Document = operatorDocumentFrom(Offer->Document);
  if (!Document) {
    spdlog::warn("config: {} offers a document that is not valid: {}",
                 Peer.text(), Document.error().Message);
    return;
  }
  push([Offered = std::move(*Document),
        Confirmed = Offer->Confirmed](RevisionState Now) {
    return onOffered(std::move(Now), Offered, Confirmed);
  });
}

void ConfigKeeper::onHeartbeat(const PeerState &Heard) {
  {
    // Most heartbeats tell nothing new and need no event.
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Heard.ConfigRevision <= State.Held.Made.Number && State.IsConfirmed)
      return;
  }
  const RegionId Own = Network.self().Region;
  const MemberTable Known = Network.members();
  const auto Peer = Known.Members.find(Heard.Instance);
  const bool Near =
      Peer != Known.Members.end() && Peer->second.Known.Region == Own;
  const PeerRevision News{Heard.Instance, Heard.ConfigRevision,
                          Heard.ConfigConfirmed,
                          Near ? Distance::Near : Distance::Far};
  push([News, Now = Time.now()](RevisionState Before) {
    return onPeerRevision(std::move(Before), News, Now);
  });
}

} // namespace internal
} // namespace tamarack
