#include "tamarack/turns/TurnStore.h"

#include <algorithm>

namespace tamarack {
namespace {

/// How long an account outlives its last change. A stopped program may come
/// back within the retention of its turns; routes name 60 s today.
constexpr Duration AccountKeptFor = std::chrono::minutes(3);
/// Added to the retention of a turn, for clocks that differ and requests that
/// are under way when it ends.
constexpr Duration RetentionSlack = std::chrono::seconds(20);
/// The longest chain that is followed; longer ones are taken for a loop.
constexpr std::size_t LongestChain = 4096;

struct HeldTurn {
  ProgramId Program;
  TurnCharge Charge;
  /// In memory until it is on disk, and then at Place.
  std::shared_ptr<const StoredTurn> Text;
  std::optional<FramePlace> Place;
  /// Known where the turn is kept, here or elsewhere.
  std::optional<TurnLink> Link;
  TimePoint KeptUntil;

  bool hasText() const { return Text || Place; }
};

struct HeldProgram {
  std::vector<TurnId> Turns;
  TimePoint KeptUntil;
};

Json binary(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string bytesOf(const Json &Value) {
  const Json::binary_t &Bytes = Value.get_binary();
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

} // namespace

// Records are arrays: each turn is encoded and decoded some ten times on its
// way, and names of fields cost more than all they hold.

void to_json(Json &Value, const StoredTurn &Turn) {
  Value = Json::array({Turn.Id, Turn.Previous, binary(Turn.Input),
                       binary(Turn.Output), Turn.KeepFor});
}

void from_json(const Json &Value, StoredTurn &Turn) {
  Value.at(0).get_to(Turn.Id);
  Value.at(1).get_to(Turn.Previous);
  Turn.Input = bytesOf(Value.at(2));
  Turn.Output = bytesOf(Value.at(3));
  Value.at(4).get_to(Turn.KeepFor);
}

void to_json(Json &Value, const TurnRecord &Record) {
  Value = Json::array({Record.Program, Record.Turn, Record.Charge.Tokens,
                       Record.Charge.Settled, nullptr, nullptr});
  if (Record.Text)
    Value[4] = *Record.Text;
  if (Record.Link)
    Value[5] = Json::array({Record.Link->Previous, Record.Link->KeepFor});
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
}

TurnRecord withoutText(const TurnRecord &Record) {
  TurnRecord Result = Record;
  if (Record.Text) {
    Result.Link = TurnLink{Record.Text->Previous, Record.Text->KeepFor};
    Result.Text.reset();
  }
  return Result;
}

void to_json(Json &Value, const RecordName &Name) {
  Value = Json::array({Name.Turn, Name.Settled, Name.HasText});
}

void from_json(const Json &Value, RecordName &Name) {
  Value.at(0).get_to(Name.Turn);
  Value.at(1).get_to(Name.Settled);
  Value.at(2).get_to(Name.HasText);
}

struct TurnStore::Impl {
  Fetch FetchRecord;
  std::unordered_map<std::string, HeldTurn> Turns;
  std::unordered_map<std::string, HeldProgram> Programs;
  std::size_t TextBytes = 0;
  std::size_t Texts = 0;

  Expected<std::shared_ptr<const StoredTurn>>
  textOf(const HeldTurn &Held) const {
    if (Held.Text || !Held.Place)
      return Held.Text;
    const Expected<TurnRecord> Record = FetchRecord(*Held.Place);
    if (!Record)
      return tl::unexpected(Record.error());
    return Record->Text;
  }

  void letGo(HeldTurn &Held) {
    if (Held.Text)
      TextBytes -= Held.Text->Input.size() + Held.Text->Output.size();
    Held.Text.reset();
  }

  /// A turn is kept together with its chain.
  void keepChain(const TurnId &End, TimePoint Until) {
    TurnId Next = End;
    for (std::size_t Length = 0; Length < LongestChain; ++Length) {
      const auto Place = Turns.find(Next.text());
      if (Place == Turns.end() || Place->second.KeptUntil >= Until)
        return;
      Place->second.KeptUntil = Until;
      Next = Place->second.Link ? Place->second.Link->Previous : TurnId();
    }
  }
};

TurnStore::TurnStore(Fetch FetchRecord) : Inner(std::make_unique<Impl>()) {
  Inner->FetchRecord = std::move(FetchRecord);
}
TurnStore::~TurnStore() = default;
TurnStore::TurnStore(TurnStore &&) noexcept = default;
TurnStore &TurnStore::operator=(TurnStore &&) noexcept = default;

bool TurnStore::apply(const TurnRecord &Record, TimePoint Now) {
  HeldProgram &Program = Inner->Programs[Record.Program.text()];
  Program.KeptUntil = Now + AccountKeptFor;
  const auto [Place, Added] = Inner->Turns.emplace(
      Record.Turn.text(),
      HeldTurn{Record.Program, Record.Charge, {}, {}, {}, {}});
  HeldTurn &Held = Place->second;
  bool Changed = Added;
  if (Added) {
    Program.Turns.push_back(Record.Turn);
  } else {
    const TurnCharge Next = merged(Held.Charge, Record.Charge);
    Changed = !(Next == Held.Charge);
    Held.Charge = Next;
  }
  if (Record.Text && !Held.hasText()) {
    Held.Text = Record.Text;
    Inner->TextBytes += Held.Text->Input.size() + Held.Text->Output.size();
    ++Inner->Texts;
    Changed = true;
  }
  const std::optional<TurnLink> Link =
      Record.Text ? withoutText(Record).Link : Record.Link;
  if (Link) {
    Held.Link = Link;
    Inner->keepChain(Record.Turn, Now + Link->KeepFor + RetentionSlack);
  }
  return Changed;
}

Account TurnStore::account(const ProgramId &Program) const {
  Account Result;
  const auto Place = Inner->Programs.find(Program.text());
  if (Place == Inner->Programs.end())
    return Result;
  for (const TurnId &Turn : Place->second.Turns)
    Result.Charges.emplace(Turn, Inner->Turns.at(Turn.text()).Charge);
  return Result;
}

Expected<TurnStore::Texts> TurnStore::knownChain(const TurnId &Turn) const {
  Texts Result;
  TurnId Next = Turn;
  while (!Next.empty() && Result.size() < LongestChain) {
    const auto Place = Inner->Turns.find(Next.text());
    if (Place == Inner->Turns.end() || !Place->second.hasText())
      break;
    const auto Text = Inner->textOf(Place->second);
    if (!Text)
      return tl::unexpected(Text.error());
    Result.push_back(*Text);
    Next = Result.back()->Previous;
  }
  std::reverse(Result.begin(), Result.end());
  return Result;
}

void TurnStore::textIsAt(const TurnId &Turn, const FramePlace &Place) {
  const auto Held = Inner->Turns.find(Turn.text());
  if (Held == Inner->Turns.end() || !Held->second.hasText())
    return; // Expired while it was written.
  Inner->letGo(Held->second);
  Held->second.Place = Place;
}

std::vector<RecordName> TurnStore::names() const {
  std::vector<RecordName> Result;
  Result.reserve(Inner->Turns.size());
  for (const auto &[Turn, Held] : Inner->Turns)
    Result.push_back({TurnId(Turn), Held.Charge.Settled, Held.hasText()});
  std::sort(Result.begin(), Result.end());
  return Result;
}

Expected<TurnRecord> TurnStore::record(const TurnId &Turn) const {
  const auto Place = Inner->Turns.find(Turn.text());
  if (Place == Inner->Turns.end())
    return refuse(ErrorKind::UnknownProgram, "there is no such turn");
  const HeldTurn &Held = Place->second;
  const auto Text = Inner->textOf(Held);
  if (!Text)
    return tl::unexpected(Text.error());
  return TurnRecord{Held.Program, Turn, Held.Charge, *Text, Held.Link};
}

std::optional<FramePlace> TurnStore::placeOf(const TurnId &Turn) const {
  const auto Place = Inner->Turns.find(Turn.text());
  if (Place == Inner->Turns.end())
    return std::nullopt;
  return Place->second.Place;
}

bool TurnStore::lacks(const RecordName &Name) const {
  const auto Place = Inner->Turns.find(Name.Turn.text());
  if (Place == Inner->Turns.end())
    return true;
  const HeldTurn &Held = Place->second;
  return (Name.Settled && !Held.Charge.Settled) ||
         (Name.HasText && !Held.hasText());
}

void TurnStore::expire(TimePoint Now) {
  for (auto &[Turn, Held] : Inner->Turns)
    if (Held.hasText() && Held.KeptUntil < Now) {
      Inner->letGo(Held);
      Held.Place.reset();
      --Inner->Texts;
    }
  for (auto Place = Inner->Programs.begin(); Place != Inner->Programs.end();) {
    const std::vector<TurnId> &Turns = Place->second.Turns;
    const bool Needed =
        std::any_of(Turns.begin(), Turns.end(), [this](const TurnId &Turn) {
          return Inner->Turns.at(Turn.text()).hasText();
        });
    if (Needed || Place->second.KeptUntil >= Now) {
      ++Place;
      continue;
    }
    for (const TurnId &Turn : Turns)
      Inner->Turns.erase(Turn.text());
    Place = Inner->Programs.erase(Place);
  }
}

std::size_t TurnStore::turnsKept() const { return Inner->Texts; }
std::size_t TurnStore::programsKept() const { return Inner->Programs.size(); }
std::size_t TurnStore::textBytes() const { return Inner->TextBytes; }

} // namespace tamarack
