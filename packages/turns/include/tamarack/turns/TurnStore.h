/// The state of one ledger: turns with their text, and accounts of programs.
///
/// A state machine that does no I/O itself. Every change is a TurnRecord, which
/// the ledger also writes to its journal. Applying the same records in any
/// order and any number of times gives the same state:
///
///   TurnStore Store(ReadRecord);
///   Store.apply(Record, Now);
///   Store.setTextLocation(Record.Turn, Location);   // once it is on disk
///   Expected<TurnStore::Texts> Chain = Store.storedChain(Turn);
///
/// Once a text is on disk it is dropped from memory and read back on request.
/// Reads are rare because entries cache the turns that they served.
///
/// A ledger that was down or cut off lacks records without knowing it. Before
/// it drops anything it asks other ledgers for how long they keep the same:
///
///   const RecordNames Due = Store.expiring(Now);
///   Store.extend(LifetimesOfAnotherLedger, Now);   // its lifetimes(Due, ...)
///   Store.expire(Now, Due);
#ifndef TAMARACK_TURNS_TURNSTORE_H
#define TAMARACK_TURNS_TURNSTORE_H

#include "tamarack/base/Clock.h"
#include "tamarack/turns/Account.h"
#include "tamarack/turns/Journal.h"
#include "tamarack/turns/StreamOrigin.h"
#include "tamarack/turns/View.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// The text of a complete turn, byte for byte; immutable.
struct StoredTurn {
  TurnId Id;
  /// The turn that this one continues; empty at the start of a chain.
  TurnId Previous;
  /// The request body.
  std::string Input;
  /// The data of each response event, each followed by a line feed.
  std::string Output;
  /// How long the turn and its predecessors are kept after its end.
  Duration Retention{0};

  friend bool operator==(const StoredTurn &, const StoredTurn &) = default;
};

/// The bytes of the input and the output of \p Turn.
std::size_t textBytes(const StoredTurn &Turn);

/// The position of a stored turn in its chain, without its text.
struct TurnLink {
  TurnId Previous;
  Duration Retention{0};

  friend bool operator==(const TurnLink &, const TurnLink &) = default;
};

/// The unit that is written to the journal and sent to ledgers.
struct TurnRecord {
  ProgramId Program;
  TurnId Turn;
  TurnCharge Charge;
  /// Set if the route keeps texts and the turn is complete. Only some of the
  /// ledgers get the text.
  std::shared_ptr<const StoredTurn> Text;
  /// Set for ledgers that do not get the text: they may hold preceding turns,
  /// which must be kept as long as this one.
  std::optional<TurnLink> Link;
  /// Set if the turn's stream may be resumed.
  std::optional<StreamOrigin> Origin = {};
};

/// Returns \p Record with its text replaced by a link, for the ledgers that do
/// not get the text.
TurnRecord withoutText(const TurnRecord &Record);

void to_json(Json &Value, const StoredTurn &Turn);
void from_json(const Json &Value, StoredTurn &Turn);
void to_json(Json &Value, const TurnRecord &Record);
void from_json(const Json &Value, TurnRecord &Record);

/// Describes a record without its contents, so that two ledgers can find out
/// which records one of them is missing.
struct RecordSummary {
  TurnId Turn;
  bool Settled = false;
  bool HasText = false;
  /// StreamOrigin::Attempt; zero if the record has no origin.
  std::uint32_t OriginAttempt = 0;
  /// How much longer the turn must be kept as a part of a chain, without the
  /// allowance for clock skew; zero if it is in none, the longest duration if
  /// that is not known. Not compared: ledgers learn of later turns at different
  /// times.
  Duration NeededFor = Duration::max();

  friend auto operator<=>(const RecordSummary &Left,
                          const RecordSummary &Right) {
    return std::tuple(Left.Turn.text(), Left.Settled, Left.HasText,
                      Left.OriginAttempt) <=>
           std::tuple(Right.Turn.text(), Right.Settled, Right.HasText,
                      Right.OriginAttempt);
  }
  friend bool operator==(const RecordSummary &Left,
                         const RecordSummary &Right) {
    return std::is_eq(Left <=> Right);
  }
};

void to_json(Json &Value, const RecordSummary &Summary);
void from_json(const Json &Value, RecordSummary &Summary);

/// Names turns and programs whose records may be dropped.
struct RecordNames {
  std::vector<TurnId> Turns;
  std::vector<ProgramId> Programs;

  bool empty() const { return Turns.empty() && Programs.empty(); }
  friend bool operator==(const RecordNames &, const RecordNames &) = default;
};

/// How much longer a ledger keeps the chain of a turn, or the account of a
/// program.
struct RecordLifetimes {
  std::map<TurnId, Duration> Turns;
  std::map<ProgramId, Duration> Programs;

  friend bool operator==(const RecordLifetimes &,
                         const RecordLifetimes &) = default;
};

void to_json(Json &Value, const RecordNames &Names);
void from_json(const Json &Value, RecordNames &Names);
void to_json(Json &Value, const RecordLifetimes &Lifetimes);
void from_json(const Json &Value, RecordLifetimes &Lifetimes);

class TurnStore {
public:
  using Texts = std::vector<std::shared_ptr<const StoredTurn>>;
  /// Reads the record at a location back from disk.
  using RecordReader =
      std::function<Expected<TurnRecord>(const FrameLocation &)>;

  explicit TurnStore(RecordReader ReadRecord = nullptr);
  ~TurnStore();
  TurnStore(TurnStore &&) noexcept;
  TurnStore &operator=(TurnStore &&) noexcept;

  /// Merges \p Record into the state and returns whether the state changed.
  bool apply(const TurnRecord &Record, TimePoint Now);

  /// Returns the account of \p Program; empty for an unknown program.
  Account account(const ProgramId &Program) const;
  /// Returns where the stream of \p Turn began; empty if that is not stored or
  /// if the turn is one of another program than \p Program.
  std::optional<StreamOrigin> origin(const TurnId &Turn,
                                     const ProgramId &Program) const;
  /// Returns the versions of the processes at which streams began that may
  /// still be resumed.
  std::vector<ServiceVersion> originVersions() const;
  /// Returns \p Turn and its predecessors, oldest first, back to the first one
  /// whose text is not stored here; empty if the text of \p Turn is not. Stops
  /// before the texts become longer than \p MaxBytes, but not before \p Turn.
  /// Fails if a text cannot be read from disk.
  Expected<Texts> storedChain(const TurnId &Turn,
                              std::size_t MaxBytes = SIZE_MAX) const;

  /// Tells the store that the record of \p Turn, with its text, is on disk at
  /// \p Location. The text is dropped from memory.
  void setTextLocation(const TurnId &Turn, const FrameLocation &Location);

  /// Returns the summaries of all records in ascending order.
  std::vector<RecordSummary> summaries(TimePoint Now) const;
  /// Returns the record of \p Turn, or an UnknownProgram error if there is
  /// none.
  Expected<TurnRecord> record(const TurnId &Turn) const;
  /// The same without its text. It has a link if the turn has a text.
  Expected<TurnRecord> recordWithoutText(const TurnId &Turn) const;
  /// Returns the location of the record with its text, if the text is on disk.
  std::optional<FrameLocation> textLocation(const TurnId &Turn) const;
  /// Returns whether \p Summary describes a turn, a settlement, a text or an
  /// origin that this store does not have.
  bool isMissing(const RecordSummary &Summary) const;
  bool hasText(const TurnId &Turn) const;

  /// Returns the turns whose place in a chain is not known here although a
  /// later turn of the chain is, so that the turns before them are not kept as
  /// long as the chain.
  std::vector<TurnId> missedTurns() const;
  std::size_t missedTurnCount() const;
  /// Stops waiting for the records of \p Turns, which no ledger has.
  void forgetMissed(const std::vector<TurnId> &Turns);
  /// Returns the record of \p Last and of the turns before it, newest first and
  /// without texts, back to the first unknown one, but at most \p MaxRecords.
  std::vector<TurnRecord> linksBefore(const TurnId &Last,
                                      std::size_t MaxRecords) const;

  /// Returns the turns whose texts, and the programs whose accounts, are kept
  /// no longer than \p Now; at most \p MaxNames of each.
  RecordNames expiring(TimePoint Now, std::size_t MaxNames) const;
  /// Returns how long those of \p Names that are kept here longer than \p Now
  /// are kept.
  RecordLifetimes lifetimes(const RecordNames &Names, TimePoint Now) const;
  /// Keeps turns with their predecessors, and accounts, for at least \p By from
  /// \p Now on.
  void extend(const RecordLifetimes &By, TimePoint Now);

  /// Drops texts after their retention, origins after the time in which their
  /// streams may be resumed, and accounts without texts some minutes after
  /// their last change.
  void expire(TimePoint Now);
  /// The same for no other texts and accounts than those of \p Names.
  void expire(TimePoint Now, const RecordNames &Names);

  /// The longest retention of the turns that are kept, with the allowance for
  /// clock skew.
  Duration longestRetention() const;

  /// The number of turns with a text.
  std::size_t storedTurnCount() const;
  std::size_t programCount() const;
  /// The number of different processes at which streams began.
  std::size_t originProcessCount() const;
  /// The bytes of text held in memory.
  std::size_t textBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_TURNS_TURNSTORE_H
