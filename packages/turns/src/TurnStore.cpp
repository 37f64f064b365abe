#include "tamarack/turns/TurnStore.h"

#include <algorithm>
#include <limits>
#include <set>

namespace tamarack {
namespace {

/// How long an account is kept after its last change. A stopped program may
/// resume within the retention of its turns, for which routes configure 60 s.
constexpr Duration AccountRetention = std::chrono::minutes(3);
/// Added to the retention of a turn to allow for clock skew and for requests
/// that are in flight when the retention ends.
constexpr Duration RetentionSlack = std::chrono::seconds(20);
/// The part of it that covers the way from the ledgers to the caller, for whom
/// the retention begins with the end of the answer.
constexpr Duration AnswerSlack = RetentionSlack / 2;
/// Added to the time in which a stream may be resumed, for the same reasons.
constexpr Duration OriginSlack = RetentionSlack;
/// Longer chains are treated as cyclic.
constexpr std::size_t MaxChainLength = 4096;

/// A stream origin whose process is shared with other streams.
struct OriginEntry {
  std::uint32_t Attempt = 0;
  Duration Lifetime{0};
  std::shared_ptr<const EndpointProcess> Process;
  TimePoint ExpiresAt;
};

struct TurnEntry {
  ProgramId Program;
  TurnCharge Charge;
  /// Null once the text is on disk, where it is at Location.
  std::shared_ptr<const StoredTurn> Text;
  std::optional<FrameLocation> Location;
  /// Set if any ledger stores the text of the turn.
  std::optional<TurnLink> Link;
  TimePoint ExpiresAt;
  std::optional<OriginEntry> Origin = {};

  bool hasText() const { return Text || Location; }
};

std::optional<StreamOrigin> originOf(const TurnEntry &Entry) {
  if (!Entry.Origin)
    return std::nullopt;
  StreamOrigin Result{Entry.Origin->Attempt, Entry.Origin->Lifetime, {}};
  if (Entry.Origin->Process)
    Result.Process = *Entry.Origin->Process;
  return Result;
}

struct ProgramEntry {
  std::vector<TurnId> Turns;
  TimePoint ExpiresAt;
};

Json bytesToJson(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string bytesFromJson(const Json &Value) {
  const Json::binary_t &Bytes = Value.get_binary();
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

} // namespace

// Records are encoded as arrays: each turn is encoded and decoded about ten
// times, and field names would cost more than the values.

void to_json(Json &Value, const StoredTurn &Turn) {
  Value = Json::array({Turn.Id, Turn.Previous, bytesToJson(Turn.Input),
                       bytesToJson(Turn.Output), Turn.Retention});
}

void from_json(const Json &Value, StoredTurn &Turn) {
  Value.at(0).get_to(Turn.Id);
  Value.at(1).get_to(Turn.Previous);
  Turn.Input = bytesFromJson(Value.at(2));
  Turn.Output = bytesFromJson(Value.at(3));
  Value.at(4).get_to(Turn.Retention);
}

void to_json(Json &Value, const TurnRecord &Record) {
  Value = Json::array({Record.Program, Record.Turn, Record.Charge.Tokens,
                       Record.Charge.Settled, nullptr, nullptr});
  if (Record.Text)
    Value[4] = *Record.Text;
  if (Record.Link)
    Value[5] = Json::array({Record.Link->Previous, Record.Link->Retention});
  if (Record.Origin)
    Value.push_back(*Record.Origin);
}

void from_json(const Json &Value, TurnRecord &Record) {
  Value.at(0).get_to(Record.Program);
  Value.at(1).get_to(Record.Turn);
  Value.at(2).get_to(Record.Charge.Tokens);
  Value.at(3).get_to(Record.Charge.Settled);
  Record.Text.reset();
  if (const Json &Text = Value.at(4); !Text.is_null())
    Record.Text = std::make_shared<const StoredTurn>(Text.get<StoredTurn>());
  Record.Link.reset();
  if (const Json &Link = Value.at(5); !Link.is_null())
    Record.Link =
        TurnLink{Link.at(0).get<TurnId>(), Link.at(1).get<Duration>()};
  Record.Origin.reset();
  // Records of earlier releases have none.
  if (Value.size() > 6)
    Record.Origin = Value.at(6).get<StreamOrigin>();
}

std::size_t textBytes(const StoredTurn &Turn) {
  return Turn.Input.size() + Turn.Output.size();
}

TurnRecord withoutText(const TurnRecord &Record) {
  TurnRecord Result = Record;
  if (Record.Text) {
    Result.Link = TurnLink{Record.Text->Previous, Record.Text->Retention};
    Result.Text.reset();
  }
  return Result;
}

void to_json(Json &Value, const RecordSummary &Summary) {
  Value = Json::array(
      {Summary.Turn, Summary.Settled, Summary.HasText, Summary.OriginAttempt});
  if (Summary.NeededFor != Duration::max())
    Value.push_back(Summary.NeededFor);
}

void from_json(const Json &Value, RecordSummary &Summary) {
  Value.at(0).get_to(Summary.Turn);
  Value.at(1).get_to(Summary.Settled);
  Value.at(2).get_to(Summary.HasText);
  // Processes of earlier releases do not send it.
  Summary.OriginAttempt =
      Value.size() > 3 ? Value.at(3).get<std::uint32_t>() : 0;
  Summary.NeededFor =
      Value.size() > 4 ? Value.at(4).get<Duration>() : Duration::max();
}

void to_json(Json &Value, const RecordNames &Names) {
  Value = Json::array({Names.Turns, Names.Programs});
}

void from_json(const Json &Value, RecordNames &Names) {
  Value.at(0).get_to(Names.Turns);
  Value.at(1).get_to(Names.Programs);
}

void to_json(Json &Value, const RecordLifetimes &Lifetimes) {
  Value = Json::array({Lifetimes.Turns, Lifetimes.Programs});
}

void from_json(const Json &Value, RecordLifetimes &Lifetimes) {
  Value.at(0).get_to(Lifetimes.Turns);
  Value.at(1).get_to(Lifetimes.Programs);
}

struct TurnStore::Impl {
  RecordReader ReadRecord;
  std::unordered_map<std::string, TurnEntry> Turns;
  std::unordered_map<std::string, ProgramEntry> Programs;
  /// The processes that the origins of turns share.
  std::map<EndpointProcess, std::shared_ptr<const EndpointProcess>> Processes;
  std::size_t TextBytes = 0;
  std::size_t Texts = 0;

  Expected<std::shared_ptr<const StoredTurn>>
  textOf(const TurnEntry &Entry) const {
    if (Entry.Text || !Entry.Location)
      return Entry.Text;
    const Expected<TurnRecord> Record = ReadRecord(*Entry.Location);
    if (!Record)
      return tl::unexpected(Record.error());
    return Record->Text;
  }

  void releaseText(TurnEntry &Entry) {
    if (Entry.Text)
      TextBytes -= tamarack::textBytes(*Entry.Text);
    Entry.Text.reset();
  }

  /// Merges an origin into that of a turn and returns whether it changed.
  bool mergeOriginInto(TurnEntry &Entry, const StreamOrigin &Update,
                       TimePoint Now) {
    const std::optional<StreamOrigin> Current = originOf(Entry);
    std::optional<StreamOrigin> Next = Current;
    mergeOrigin(Next, Update);
    std::shared_ptr<const EndpointProcess> Process;
    if (Next->Process) {
      auto &Shared = Processes[*Next->Process];
      if (!Shared)
        Shared = std::make_shared<const EndpointProcess>(*Next->Process);
      Process = Shared;
    }
    Entry.Origin =
        OriginEntry{Next->Attempt, Next->Lifetime, std::move(Process),
                    Now + Next->Lifetime + OriginSlack};
    return Next != Current;
  }

  /// Turns that stored chains refer to and whose links are not known, and until
  /// when these chains are kept.
  std::unordered_map<std::string, TimePoint> Missed;

  /// Keeps \p Last and its predecessors until \p Until at least. Stops at a
  /// turn whose link is not known; the rest follows once it is.
  void extendChainRetention(const TurnId &Last, TimePoint Until) {
    TurnId Next = Last;
    for (std::size_t Length = 0; !Next.empty() && Length < MaxChainLength;
         ++Length) {
      const auto Found = Turns.find(Next.text());
      if (Found != Turns.end() && Found->second.Link) {
        if (Found->second.ExpiresAt >= Until)
          return;
        Found->second.ExpiresAt = Until;
        Next = Found->second.Link->Previous;
        continue;
      }
      TimePoint &MissedUntil = Missed[Next.text()];
      MissedUntil = std::max(MissedUntil, Until);
      return;
    }
  }

  /// Returns whether a chain that is kept longer than \p Now includes a turn of
  /// \p Program, with or without its text.
  bool hasKeptTurn(const ProgramEntry &Program, TimePoint Now) const {
    return std::any_of(Program.Turns.begin(), Program.Turns.end(),
                       [&](const TurnId &Turn) {
                         return Turns.at(Turn.text()).ExpiresAt >= Now;
                       });
  }

  bool hasText(const ProgramEntry &Program) const {
    return std::any_of(
        Program.Turns.begin(), Program.Turns.end(),
        [&](const TurnId &Turn) { return Turns.at(Turn.text()).hasText(); });
  }

  /// Stores the place of a turn in its chain, and keeps the chain until
  /// \p Until at least.
  void setLink(const TurnId &Turn, TurnEntry &Entry, const TurnLink &Link,
               TimePoint Until) {
    const bool IsNew = !Entry.Link;
    Entry.Link = Link;
    if (const auto Found = Missed.find(Turn.text()); Found != Missed.end()) {
      Until = std::max(Until, Found->second);
      Missed.erase(Found);
    }
    if (!IsNew && Entry.ExpiresAt >= Until)
      return;
    Entry.ExpiresAt = std::max(Entry.ExpiresAt, Until);
    extendChainRetention(Link.Previous, Entry.ExpiresAt);
  }
};

TurnStore::TurnStore(RecordReader ReadRecord)
    : Inner(std::make_unique<Impl>()) {
  Inner->ReadRecord = std::move(ReadRecord);
}
TurnStore::~TurnStore() = default;
TurnStore::TurnStore(TurnStore &&) noexcept = default;
TurnStore &TurnStore::operator=(TurnStore &&) noexcept = default;

bool TurnStore::apply(const TurnRecord &Record, TimePoint Now) {
  ProgramEntry &Program = Inner->Programs[Record.Program.text()];
  const Duration OriginRetention =
      Record.Origin ? Record.Origin->Lifetime + OriginSlack : Duration(0);
  Program.ExpiresAt = std::max(
      Program.ExpiresAt, Now + std::max(AccountRetention, OriginRetention));
  const auto [Found, Added] = Inner->Turns.emplace(
      Record.Turn.text(),
      TurnEntry{Record.Program, Record.Charge, {}, {}, {}, {}});
  TurnEntry &Entry = Found->second;
  bool Changed = Added;
  if (Added) {
    Program.Turns.push_back(Record.Turn);
  } else {
    const TurnCharge Charge = mergeCharges(Entry.Charge, Record.Charge);
    Changed = !(Charge == Entry.Charge);
    Entry.Charge = Charge;
  }
  if (Record.Text && !Entry.hasText()) {
    Entry.Text = Record.Text;
    Inner->TextBytes += tamarack::textBytes(*Entry.Text);
    ++Inner->Texts;
    Changed = true;
  }
  if (Record.Origin && Inner->mergeOriginInto(Entry, *Record.Origin, Now))
    Changed = true;
  const std::optional<TurnLink> Link =
      Record.Text ? withoutText(Record).Link : Record.Link;
  if (Link) {
    Changed = Changed || !Entry.Link;
    Inner->setLink(Record.Turn, Entry, *Link,
                   Now + Link->Retention + RetentionSlack);
  }
  return Changed;
}

Account TurnStore::account(const ProgramId &Program) const {
  Account Result;
  const auto Found = Inner->Programs.find(Program.text());
  if (Found == Inner->Programs.end())
    return Result;
  for (const TurnId &Turn : Found->second.Turns)
    Result.Charges.emplace(Turn, Inner->Turns.at(Turn.text()).Charge);
  return Result;
}

std::optional<StreamOrigin> TurnStore::origin(const TurnId &Turn,
                                              const ProgramId &Program) const {
  const auto Found = Inner->Turns.find(Turn.text());
  if (Found == Inner->Turns.end() || Found->second.Program != Program)
    return std::nullopt;
  return originOf(Found->second);
}

std::vector<ServiceVersion> TurnStore::originVersions() const {
  std::set<ServiceVersion> Result;
  for (const auto &[Process, Shared] : Inner->Processes)
    Result.insert(Process.Runs);
  return {Result.begin(), Result.end()};
}

Expected<TurnStore::Texts> TurnStore::storedChain(const TurnId &Turn,
                                                  std::size_t MaxBytes) const {
  Texts Result;
  std::size_t Bytes = 0;
  TurnId Next = Turn;
  while (!Next.empty() && Result.size() < MaxChainLength) {
    const auto Found = Inner->Turns.find(Next.text());
    if (Found == Inner->Turns.end() || !Found->second.hasText())
      break;
    const auto Text = Inner->textOf(Found->second);
    if (!Text)
      return tl::unexpected(Text.error());
    Bytes += tamarack::textBytes(**Text);
    if (Bytes > MaxBytes && !Result.empty())
      break;
    Result.push_back(*Text);
    Next = Result.back()->Previous;
  }
  std::reverse(Result.begin(), Result.end());
  return Result;
}

void TurnStore::setTextLocation(const TurnId &Turn,
                                const FrameLocation &Location) {
  const auto Found = Inner->Turns.find(Turn.text());
  if (Found == Inner->Turns.end() || !Found->second.hasText())
    return; // Expired while it was being written.
  Inner->releaseText(Found->second);
  Found->second.Location = Location;
}

std::vector<RecordSummary> TurnStore::summaries(TimePoint Now) const {
  std::vector<RecordSummary> Result;
  Result.reserve(Inner->Turns.size());
  for (const auto &[Turn, Entry] : Inner->Turns) {
    const TimePoint NeededUntil =
        Entry.ExpiresAt - RetentionSlack + AnswerSlack;
    const bool IsNeeded = Entry.Link && NeededUntil > Now;
    Result.push_back({TurnId(Turn), Entry.Charge.Settled, Entry.hasText(),
                      Entry.Origin ? Entry.Origin->Attempt : 0,
                      IsNeeded ? NeededUntil - Now : Duration(0)});
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

Expected<TurnRecord> TurnStore::record(const TurnId &Turn) const {
  Expected<TurnRecord> Result = recordWithoutText(Turn);
  if (!Result)
    return Result;
  const auto Text = Inner->textOf(Inner->Turns.at(Turn.text()));
  if (!Text)
    return tl::unexpected(Text.error());
  Result->Text = *Text;
  return Result;
}

Expected<TurnRecord> TurnStore::recordWithoutText(const TurnId &Turn) const {
  const auto Found = Inner->Turns.find(Turn.text());
  if (Found == Inner->Turns.end())
    return refuse(ErrorKind::UnknownProgram, "no such turn: " + Turn.text());
  const TurnEntry &Entry = Found->second;
  return TurnRecord{Entry.Program, Turn,       Entry.Charge,
                    nullptr,       Entry.Link, originOf(Entry)};
}

std::optional<FrameLocation> TurnStore::textLocation(const TurnId &Turn) const {
  const auto Found = Inner->Turns.find(Turn.text());
  if (Found == Inner->Turns.end())
    return std::nullopt;
  return Found->second.Location;
}

bool TurnStore::isMissing(const RecordSummary &Summary) const {
  const auto Found = Inner->Turns.find(Summary.Turn.text());
  if (Found == Inner->Turns.end())
    return true;
  const TurnEntry &Entry = Found->second;
  return (Summary.Settled && !Entry.Charge.Settled) ||
         (Summary.HasText && !Entry.hasText()) ||
         Summary.OriginAttempt > (Entry.Origin ? Entry.Origin->Attempt : 0);
}

bool TurnStore::hasText(const TurnId &Turn) const {
  const auto Found = Inner->Turns.find(Turn.text());
  return Found != Inner->Turns.end() && Found->second.hasText();
}

std::vector<TurnId> TurnStore::missedTurns() const {
  std::vector<TurnId> Result;
  Result.reserve(Inner->Missed.size());
  for (const auto &[Turn, Until] : Inner->Missed)
    Result.emplace_back(Turn);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::size_t TurnStore::missedTurnCount() const { return Inner->Missed.size(); }

void TurnStore::forgetMissed(const std::vector<TurnId> &Turns) {
  for (const TurnId &Turn : Turns)
    Inner->Missed.erase(Turn.text());
}

std::vector<TurnRecord> TurnStore::linksBefore(const TurnId &Last,
                                               std::size_t MaxRecords) const {
  std::vector<TurnRecord> Result;
  TurnId Next = Last;
  while (!Next.empty() && Result.size() < MaxRecords) {
    const Expected<TurnRecord> Record = recordWithoutText(Next);
    if (!Record)
      break;
    Result.push_back(*Record);
    Next = Record->Link ? Record->Link->Previous : TurnId();
  }
  return Result;
}

RecordNames TurnStore::expiring(TimePoint Now, std::size_t MaxNames) const {
  RecordNames Result;
  for (const auto &[Turn, Entry] : Inner->Turns)
    if (Result.Turns.size() < MaxNames && Entry.hasText() &&
        Entry.ExpiresAt < Now)
      Result.Turns.emplace_back(Turn);
  for (const auto &[Program, Entry] : Inner->Programs)
    if (Result.Programs.size() < MaxNames && Entry.ExpiresAt < Now &&
        !Inner->hasKeptTurn(Entry, Now))
      Result.Programs.emplace_back(Program);
  return Result;
}

RecordLifetimes TurnStore::lifetimes(const RecordNames &Names,
                                     TimePoint Now) const {
  RecordLifetimes Result;
  for (const TurnId &Turn : Names.Turns)
    if (const auto Found = Inner->Turns.find(Turn.text());
        Found != Inner->Turns.end() && Found->second.ExpiresAt > Now)
      Result.Turns.emplace(Turn, Found->second.ExpiresAt - Now);
  for (const ProgramId &Program : Names.Programs)
    if (const auto Found = Inner->Programs.find(Program.text());
        Found != Inner->Programs.end() && Found->second.ExpiresAt > Now)
      Result.Programs.emplace(Program, Found->second.ExpiresAt - Now);
  return Result;
}

void TurnStore::extend(const RecordLifetimes &By, TimePoint Now) {
  for (const auto &[Turn, Lifetime] : By.Turns)
    if (Inner->Turns.count(Turn.text()) > 0)
      Inner->extendChainRetention(Turn, Now + Lifetime);
  for (const auto &[Program, Lifetime] : By.Programs)
    if (const auto Found = Inner->Programs.find(Program.text());
        Found != Inner->Programs.end())
      Found->second.ExpiresAt =
          std::max(Found->second.ExpiresAt, Now + Lifetime);
}

void TurnStore::expire(TimePoint Now) {
  expire(Now, expiring(Now, std::numeric_limits<std::size_t>::max()));
}

void TurnStore::expire(TimePoint Now, const RecordNames &Names) {
  for (const TurnId &Turn : Names.Turns) {
    const auto Found = Inner->Turns.find(Turn.text());
    if (Found == Inner->Turns.end() || !Found->second.hasText() ||
        Found->second.ExpiresAt >= Now)
      continue;
    Inner->releaseText(Found->second);
    Found->second.Location.reset();
    --Inner->Texts;
  }
  for (auto &[Turn, Entry] : Inner->Turns)
    if (Entry.Origin && Entry.Origin->ExpiresAt < Now)
      Entry.Origin.reset();
  for (const ProgramId &Program : Names.Programs) {
    const auto Found = Inner->Programs.find(Program.text());
    if (Found == Inner->Programs.end() || Found->second.ExpiresAt >= Now ||
        Inner->hasKeptTurn(Found->second, Now) || Inner->hasText(Found->second))
      continue;
    for (const TurnId &Turn : Found->second.Turns)
      Inner->Turns.erase(Turn.text());
    Inner->Programs.erase(Found);
  }
  std::erase_if(Inner->Missed,
                [Now](const auto &Turn) { return Turn.second < Now; });
  std::erase_if(Inner->Processes, [](const auto &Process) {
    return Process.second.use_count() == 1;
  });
}

Duration TurnStore::longestRetention() const {
  Duration Result(0);
  for (const auto &[Turn, Entry] : Inner->Turns)
    if (Entry.Link)
      Result = std::max(Result, Entry.Link->Retention + RetentionSlack);
  return Result;
}

std::size_t TurnStore::storedTurnCount() const { return Inner->Texts; }
std::size_t TurnStore::programCount() const { return Inner->Programs.size(); }
std::size_t TurnStore::originProcessCount() const {
  return Inner->Processes.size();
}
std::size_t TurnStore::textBytes() const { return Inner->TextBytes; }

} // namespace tamarack
