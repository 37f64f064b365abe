/// How an entry keeps records and finds chains at the quorum of ledgers.
///
///   QuorumClient Ledgers(Io, Options);
///   Ledgers.setView(View);
///   Expected<Account> Known = co_await Ledgers.keep(Record, Deadline);
///
/// A record is kept once a majority of the view's members, and at least
/// Options.DurableCopies of them, have it on disk. Its text goes to the nearest
/// Options.DurableCopies members only: texts never change, so that they need no
/// majority, and they are most of the bytes between data centres. All calls may
/// be repeated, so they are, until they succeed or their deadline has passed.
#ifndef TAMARACK_QUORUM_QUORUMCLIENT_H
#define TAMARACK_QUORUM_QUORUMCLIENT_H

#include "tamarack/net/Link.h"
#include "tamarack/turns/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tamarack {

using TurnChain = std::vector<std::shared_ptr<const StoredTurn>>;

/// A record, and where its turn ran if that is known.
struct TurnUpdate {
  TurnRecord Record;
  EndpointId RanAt;
};

/// What the quorum knows of a program.
struct QuorumProgramState {
  /// All its charges.
  Account Charges;
  /// Where a turn of it last ran; only a hint.
  EndpointId LastRanAt;
};

struct QuorumOptions {
  /// Losses that must be survived, and one.
  std::size_t DurableCopies = 2;
  /// Smaller is nearer; members are asked for chains in this order.
  std::function<int(const DataCentreId &)> Distance;
  LinkOptions Link;
  /// Makes the note of this process's load, where it has one to tell.
  std::function<EndpointLoadReport()> MakeLoadReport;
  /// Takes what all other processes of the region run.
  std::function<void(const InFlightByEndpoint &)> OnInFlightElsewhere;
};

class QuorumClient {
public:
  QuorumClient(Loop &Io, QuorumOptions Options);
  ~QuorumClient();
  QuorumClient(const QuorumClient &) = delete;
  QuorumClient &operator=(const QuorumClient &) = delete;

  /// Ignores views that are not newer.
  void setView(const View &Next);
  const View &view() const;
  bool hasView() const;

  /// Returns what the quorum knows of the program; its charges only where the
  /// record is a reservation.
  Task<Expected<QuorumProgramState>> storeRecord(TurnUpdate Turn,
                                                 TimePoint Deadline);
  /// keep() that nobody waits for.
  void storeRecordInBackground(TurnUpdate Turn);
  /// Records that storeRecordInBackground() is still at.
  std::size_t pendingRecords() const;

  /// \p Turn and what it continues. UnknownProgram when every joined member
  /// says that there is no such turn; NotEnoughCopies when that is not sure.
  Task<Expected<TurnChain>> chain(TurnId Turn, TimePoint Deadline);

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_QUORUM_QUORUMCLIENT_H
