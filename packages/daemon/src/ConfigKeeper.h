/// Keeps the operators' document of one process: spreads it, changes it, and
/// says what is in force.
///
/// The decisions are those of config/Revisions.h. This class runs their
/// actions one after the other on a thread of its own and feeds the results
/// back. A new revision reaches other processes by heartbeats, which name it,
/// and by pulls; the service is read at the start and, by a few processes of
/// a region, from time to time.
#ifndef TAMARACK_DAEMON_CONFIGKEEPER_H
#define TAMARACK_DAEMON_CONFIGKEEPER_H

#include "Peers.h"
#include "tamarack/config/Revisions.h"

#include <deque>
#include <future>

namespace tamarack {
namespace internal {

class ConfigKeeper {
public:
  /// \p Folder may be empty. Registers its messages at \p Network.
  ConfigKeeper(Peers &Network, Platform &Service, const Clock &Time,
               std::string Folder, std::function<std::string()> Fresh);
  ~ConfigKeeper();

  void start();
  void stop();

  OperatorDocument current() const;
  Revision inForce() const;
  /// Whether the service, or a peer that had heard it, was heard.
  bool isConfirmed() const;
  EffectiveDefaults rulesFor(const Scope &Asked) const;

  /// Proposes \p Content after revision \p Expected and waits for the final
  /// answer.
  Expected<Revision> change(const OperatorDocument &Content, Revision Expected,
                            const std::string &Author,
                            const std::string &Comment);

private:
  using Event = std::function<RevisionStep(RevisionState)>;

  void push(Event Next);
  void run();
  void carryOut(const RevisionAction &Action);
  void readService();
  void swap(const CompareAndSwap &Order);
  void pull(const InstanceId &Peer);
  void onHeartbeat(const PeerState &Heard);
  void refreshWatcher();

  Peers &Network;
  Platform &Service;
  const Clock &Time;
  const std::string Folder;
  const std::function<std::string()> Fresh;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<Event> Events;
  RevisionState State;
  std::map<std::string, std::promise<Expected<Revision>>> Waiting;
  bool Stopping = false;
  std::thread Worker;
};

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_CONFIGKEEPER_H
