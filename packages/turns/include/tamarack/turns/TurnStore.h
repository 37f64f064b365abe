/// What one ledger knows: turns with their text, and accounts of programs.
///
/// A pure state machine without I/O of its own. Every change is a TurnRecord,
/// which is written to the journal; applying the same records in any order and
/// any number of times gives the same state:
///
///   TurnStore Store(Fetch);
///   Store.apply(Record, Now);
///   Store.textIsAt(Record.Turn, Place);   // once it is on disk
///   Expected<Chain> Known = Store.knownChain(Turn);
///
/// A text that is on disk leaves memory; it is fetched when it is asked for,
/// which is seldom, since entries remember the turns that they served.
#ifndef TAMARACK_TURNS_TURNSTORE_H
#define TAMARACK_TURNS_TURNSTORE_H

#include "tamarack/base/Clock.h"
#include "tamarack/turns/Account.h"
#include "tamarack/turns/Journal.h"
#include "tamarack/turns/View.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// The text of a complete turn, as it came; never changed afterwards.
struct StoredTurn {
  TurnId Id;
  /// The turn that it continues; empty at the start of a chain.
  TurnId Previous;
  /// The bytes of the request's body.
  std::string Input;
  /// The data of each event, each followed by a line feed.
  std::string Output;
  /// How long the turn and its chain are kept after its end.
  Duration KeepFor{0};

  friend bool operator==(const StoredTurn &, const StoredTurn &) = default;
};

/// How a kept turn hangs together with others, without its text.
struct TurnLink {
  TurnId Previous;
  Duration KeepFor{0};

  friend bool operator==(const TurnLink &, const TurnLink &) = default;
};

/// One record of the journal and of links between ledgers.
struct TurnRecord {
  ProgramId Program;
  TurnId Turn;
  TurnCharge Charge;
  /// The text where the route keeps it and the turn is complete; only some
  /// ledgers get it.
  std::shared_ptr<const StoredTurn> Text;
  /// For ledgers that do not get the text: they may hold what precedes it.
  std::optional<TurnLink> Link;
};

/// \p Record without its text, as the other ledgers get it.
TurnRecord withoutText(const TurnRecord &Record);

void to_json(Json &Value, const StoredTurn &Turn);
void from_json(const Json &Value, StoredTurn &Turn);
void to_json(Json &Value, const TurnRecord &Record);
void from_json(const Json &Value, TurnRecord &Record);

/// Names a record without its text, to find what a peer lacks.
struct RecordName {
  TurnId Turn;
  bool Settled = false;
  bool HasText = false;

  friend auto operator<=>(const RecordName &Left, const RecordName &Right) {
    return std::tuple(Left.Turn.text(), Left.Settled, Left.HasText) <=>
           std::tuple(Right.Turn.text(), Right.Settled, Right.HasText);
  }
  friend bool operator==(const RecordName &, const RecordName &) = default;
};

void to_json(Json &Value, const RecordName &Name);
void from_json(const Json &Value, RecordName &Name);

class TurnStore {
public:
  using Texts = std::vector<std::shared_ptr<const StoredTurn>>;
  /// Reads the record at a place back.
  using Fetch = std::function<Expected<TurnRecord>(const FramePlace &)>;

  explicit TurnStore(Fetch FetchRecord = nullptr);
  ~TurnStore();
  TurnStore(TurnStore &&) noexcept;
  TurnStore &operator=(TurnStore &&) noexcept;

  /// Returns whether the record held anything new.
  bool apply(const TurnRecord &Record, TimePoint Now);

  /// Empty for an unknown program.
  Account account(const ProgramId &Program) const;
  /// \p Turn and what it continues as far as the texts are held here, oldest
  /// first; empty where the turn's own text is not.
  Expected<Texts> knownChain(const TurnId &Turn) const;

  /// The record with the text of \p Turn lies there: memory lets go of it.
  void textIsAt(const TurnId &Turn, const FramePlace &Place);

  std::vector<RecordName> names() const;
  /// The record of \p Turn; UnknownTurn when there is none.
  Expected<TurnRecord> record(const TurnId &Turn) const;
  /// Where the whole record lies on disk, if its text does.
  std::optional<FramePlace> placeOf(const TurnId &Turn) const;
  /// Whether \p Name tells more than is known here.
  bool lacks(const RecordName &Name) const;

  /// Forgets turns and accounts that nobody may ask for any more.
  void expire(TimePoint Now);

  std::size_t turnsKept() const;
  std::size_t programsKept() const;
  /// Bytes of text held in memory.
  std::size_t textBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_TURNS_TURNSTORE_H
