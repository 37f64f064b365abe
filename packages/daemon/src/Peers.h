/// The links of one process to its peers, and what it knows of them.
///
/// Housekeeping runs on one thread: it reads the platform's list, opens links
/// to members, and moves members that fall silent to suspected and gone. An
/// entry connects to the entries and endpoint processes that it knows; an
/// endpoint process only accepts connections.
#ifndef TAMARACK_DAEMON_PEERS_H
#define TAMARACK_DAEMON_PEERS_H

#include "Platform.h"
#include "tamarack/entry/Messages.h"
#include "tamarack/entry/Ports.h"
#include "tamarack/ledger/FolderStore.h"

#include <condition_variable>
#include <thread>

namespace tamarack {
namespace internal {

struct PeerSettings {
  Member Self;
  LinkSettings Link;
  MembershipTiming Timing;
  /// How often the platform's list is read.
  Duration ListEvery = std::chrono::seconds(2);
};

class Peers : public MemberDirectory, public CopyAccess, public EndpointAccess {
public:
  Peers(PeerSettings Settings, Platform &Service, const Clock &Time);
  ~Peers() override;

  /// Starts to accept connections and to keep house. \p Own is the store of
  /// this process; null where it has none.
  Expected<std::uint16_t> start(FolderStore *Own);
  void stop();

  /// Register handlers here before start().
  LinkServer &server() { return Server; }
  void setLoadSource(std::function<EndpointLoad()> Source);
  /// Adds to every heartbeat what \p Source sets. Before start().
  void setStateSource(std::function<void(PeerState &)> Source);
  /// Hears every heartbeat; must not block. Before start().
  void setStateListener(std::function<void(const PeerState &)> Listener);
  /// What the last heartbeat of \p Instance said; nothing before the first.
  std::optional<PeerState> lastState(const InstanceId &Instance) const;
  void setLeaving();
  bool isLeaving() const;

  /// The link to \p Instance, or nothing when its address is not known.
  std::shared_ptr<LinkClient> link(const InstanceId &Instance);

  Member self() const override;
  MemberTable members() const override;

  Expected<void> seal(const CopyLocation &At, ShardId Shard,
                      Epoch Version) override;
  Expected<void> append(const CopyLocation &At, ShardId Shard,
                        const std::vector<Append> &Entries) override;
  Expected<void> install(const CopyLocation &At, ShardId Shard,
                         const Install &Change) override;
  Expected<std::map<ProgramId, std::vector<Record>>>
  readAll(const CopyLocation &At, ShardId Shard) override;

  std::vector<EndpointView> views(const std::string &Target) override;
  Expected<ExecuteReply> execute(const InstanceId &At,
                                 const ExecuteRequest &Order,
                                 const PartSink &OnPart) override;
  Expected<AttemptStatus>
  queryAttempt(const InstanceId &At,
               const AttemptStatusRequest &Order) override;
  void release(const InstanceId &At, const ReleaseRequest &Order) override;

private:
  struct KnownLoad {
    EndpointLoad Load;
    TimePoint ReportedAt;
    Duration UnreportedWait{0};
  };

  Json ownState(bool First) const;
  void onPeerState(const Json &Body);
  void keepHouse();
  void readList();
  void openLinks();
  /// Suspects a member whose link was open and is not any more.
  void noteLink(const InstanceId &Instance, bool IsOpen);
  void noteLoad(const InstanceId &Instance, const EndpointLoad &Load);
  bool isOwn(const CopyLocation &At) const;

  template <typename Message>
  Expected<typename Message::Reply> callPeer(const InstanceId &To,
                                             const Message &Order);

  const PeerSettings Settings;
  Platform &Service;
  const Clock &Time;
  FolderStore *Own = nullptr;

  /// Outlives the links that run on it.
  WireLoop Loop;
  mutable std::mutex Mutex;
  MemberTable Table;
  std::map<InstanceId, KnownLoad> Loads;
  std::map<InstanceId, std::pair<LinkAddress, std::shared_ptr<LinkClient>>>
      Links;
  std::function<EndpointLoad()> LoadSource;
  std::function<void(PeerState &)> StateSource;
  std::function<void(const PeerState &)> StateListener;
  std::map<InstanceId, PeerState> LastStates;
  std::map<InstanceId, bool> OpenLinks;
  bool Leaving = false;
  bool Stopping = false;
  std::condition_variable Wake;

  LinkServer Server;
  std::thread Housekeeper;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_PEERS_H
