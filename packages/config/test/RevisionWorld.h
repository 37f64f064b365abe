/// A few processes, the platform's service and everything in flight between
/// them, driven by numbers that a property draws.
#ifndef TAMARACK_CONFIG_TEST_REVISIONWORLD_H
#define TAMARACK_CONFIG_TEST_REVISIONWORLD_H

#include "tamarack/config/Revisions.h"

#include <array>
#include <set>
#include <sstream>
#include <stdexcept>

namespace tamarack {

class RevisionWorld {
public:
  static constexpr std::size_t Size = 6;

  RevisionWorld() {
    for (std::size_t I = 0; I < Size; ++I) {
      Processes[I].HasFolder = I % 3 == 0;
      start(I);
    }
  }

  /// One step of a history: \p Draw says what happens, and to whom.
  void play(std::uint32_t Draw) {
    Now += std::chrono::milliseconds(100);
    const std::uint32_t What = Draw % 16;
    const std::size_t Who = (Draw >> 4) % Size;
    const std::size_t Other = (Draw >> 8) % Size;
    if (What < 6)
      deliver(Draw >> 4);
    else if (What < 9)
      heartbeat(Who, Other);
    else if (What < 11)
      ask(Who);
    else if (What == 11)
      IsServiceUp = (Draw >> 4) % 3 != 0;
    else if (What == 12)
      AreRegionsJoined = (Draw >> 4) % 3 != 0;
    else if (What == 13)
      kill(Who);
    else if (What == 14)
      start(Who);
    else
      watch(Who);
  }

  /// Joins the regions, starts everyone, and lets heartbeats go round.
  /// Returns how many rounds it took until all live processes agreed on the
  /// highest revision, or \p Limit + 1.
  unsigned roundsToAgree(unsigned Limit) {
    AreRegionsJoined = true;
    const Revision Goal = highest();
    for (unsigned Round = 0; Round <= Limit; ++Round) {
      if (allHold(Goal))
        return Round;
      Now += std::chrono::seconds(1);
      playRound();
    }
    return Limit + 1;
  }

  bool allHold(Revision Goal) const {
    for (const Process &Each : Processes)
      if (Each.IsUp && Each.State.Held.Made.Number != Goal)
        return false;
    return true;
  }

  std::size_t acceptedCount() const { return Line.size(); }
  std::set<std::string> Seen;

private:
  struct Process {
    RevisionState State;
    bool IsUp = false;
    bool HasFolder = false;
    unsigned Incarnation = 0;
    std::optional<OperatorDocument> Folder;
  };

  struct InFlight {
    std::size_t From = 0;
    unsigned Incarnation = 0;
    RevisionAction Action;
    /// What a read found when the service executed it.
    std::optional<std::optional<OperatorDocument>> Found;
    /// A swap whose writer has given up on its answer.
    bool IsLate = false;
  };

  static InstanceId nameOf(std::size_t I) {
    return InstanceId("p" + std::to_string(I));
  }
  static std::size_t indexOf(const InstanceId &Name) {
    return Name.text().at(1) - '0';
  }
  static Distance between(std::size_t A, std::size_t B) {
    return A % 2 == B % 2 ? Distance::Near : Distance::Far;
  }
  bool areConnected(std::size_t A, std::size_t B) const {
    return A != B && Processes[A].IsUp && Processes[B].IsUp &&
           (AreRegionsJoined || between(A, B) == Distance::Near);
  }
  bool isCurrent(const InFlight &Message) const {
    const Process &From = Processes[Message.From];
    return From.IsUp && From.Incarnation == Message.Incarnation;
  }

  void expect(bool Holds, const std::string &Promise) {
    if (!Holds)
      throw std::logic_error(Promise);
  }

  void start(std::size_t Who) {
    Process &Each = Processes[Who];
    if (Each.IsUp)
      return;
    Each.IsUp = true;
    ++Each.Incarnation;
    Each.State = RevisionState();
    RevisionStep Step = startRevisions(nameOf(Who), Each.Folder);
    Step.State.IsWatcher = Who < 2;
    apply(Who, Step);
    expect(!Each.Folder || Each.State.Held == *Each.Folder,
           "a start goes on from the folder");
  }

  void kill(std::size_t Who) { Processes[Who].IsUp = false; }

  void ask(std::size_t Who) {
    if (!Processes[Who].IsUp)
      return;
    const std::string Token = "t" + std::to_string(++Asked);
    const RevisionState &State = Processes[Who].State;
    ChangeRequest Request{Token, {}, State.Held.Made.Number, {}};
    Request.Made = {0, "ana", Token, ""};
    apply(Who, onChangeAsked(State, Request));
  }

  void heartbeat(std::size_t From, std::size_t To) {
    if (!areConnected(From, To))
      return;
    const RevisionState &Peer = Processes[From].State;
    const PeerRevision News{Peer.Self, Peer.Held.Made.Number, Peer.IsConfirmed,
                            between(From, To)};
    apply(To, onPeerRevision(Processes[To].State, News, Now));
  }

  void watch(std::size_t Who) {
    if (IsServiceUp && Processes[Who].IsUp && Processes[Who].State.IsWatcher)
      apply(Who, onServiceRead(Processes[Who].State, current()));
  }

  std::optional<OperatorDocument> current() const {
    if (Line.empty())
      return std::nullopt;
    return Line.back();
  }

  /// Moves one message in flight a step on.
  void deliver(std::uint32_t Draw) {
    if (Wire.empty())
      return;
    const std::size_t Place = Draw % Wire.size();
    InFlight Message = Wire[Place];
    Wire.erase(Wire.begin() + static_cast<std::ptrdiff_t>(Place));
    const unsigned Fate = (Draw >> 8) % 5;
    if (std::holds_alternative<CompareAndSwap>(Message.Action))
      deliverSwap(Message, Fate);
    else if (std::holds_alternative<ReadService>(Message.Action))
      deliverRead(Message, Fate);
    else
      deliverPull(Message, Fate);
  }

  void deliverSwap(InFlight Message, unsigned Fate) {
    const auto Swap = std::get<CompareAndSwap>(Message.Action);
    const std::string &Token = Swap.Next.Made.Token;
    const std::size_t From = Message.From;
    const bool IsHeard = isCurrent(Message) && !Message.IsLate;
    if (!IsServiceUp && Fate < 2)
      Fate = 2;
    if (Fate == 4 && IsHeard) {
      apply(From, onCasNotSent(Processes[From].State, Token));
      return;
    }
    const bool HasWon = Fate < 2 && swap(Swap);
    if (Fate == 3 && !Message.IsLate) {
      Message.IsLate = true;
      Wire.push_back(Message);
      Seen.insert("late swap");
    }
    if (!IsHeard)
      return;
    const RevisionState &State = Processes[From].State;
    if (Fate > 0)
      apply(From, onCasAnswerLost(State, Token));
    else
      apply(From, HasWon ? onCasWon(State, Token) : onCasLost(State, Token));
  }

  bool swap(const CompareAndSwap &Swap) {
    if (Swap.Expected != Line.size())
      return false;
    expect(NotAccepted.count(Swap.Next.Made.Token) == 0,
           "a change refused as not run is never accepted");
    Line.push_back(Swap.Next);
    return true;
  }

  void deliverRead(InFlight Message, unsigned Fate) {
    if (!isCurrent(Message))
      return;
    RevisionState &State = Processes[Message.From].State;
    if (!Message.Found && (!IsServiceUp || Fate == 1)) {
      apply(Message.From, onServiceReadFailed(State));
    } else if (!Message.Found) {
      Message.Found = current();
      Wire.push_back(Message);
    } else {
      apply(Message.From, onServiceRead(State, *Message.Found));
      expect(mayServe(State), "a read of the service allows serving");
    }
  }

  void deliverPull(const InFlight &Message, unsigned Fate) {
    const std::size_t Peer = indexOf(std::get<PullFrom>(Message.Action).Peer);
    if (!isCurrent(Message) || !areConnected(Message.From, Peer) || Fate == 1)
      return;
    const RevisionState &Offer = Processes[Peer].State;
    apply(Message.From, onOffered(Processes[Message.From].State, Offer.Held,
                                  Offer.IsConfirmed));
  }

  void apply(std::size_t Who, const RevisionStep &Step) {
    Process &Each = Processes[Who];
    const OperatorDocument &Held = Step.State.Held;
    expect(Held.Made.Number >= Each.State.Held.Made.Number,
           "the revision in force never goes back");
    expect(Held.Made.Number <= Line.size() &&
               (Held.Made.Number == 0 || Line[Held.Made.Number - 1] == Held),
           "only accepted documents come into force");
    Each.State = Step.State;
    for (const RevisionAction &Action : Step.Actions)
      carryOut(Who, Action);
  }

  void carryOut(std::size_t Who, const RevisionAction &Action) {
    Process &Each = Processes[Who];
    if (const auto *Put = std::get_if<PutInForce>(&Action)) {
      if (Each.HasFolder)
        Each.Folder = Put->Document;
    } else if (const auto *Told = std::get_if<AnswerOperator>(&Action)) {
      check(*Told);
    } else {
      Wire.push_back({Who, Each.Incarnation, Action, {}, false});
    }
  }

  void check(const AnswerOperator &Told) {
    const std::string &Token = Told.RequestId;
    if (Told.Answer) {
      Seen.insert("accepted");
      expect(*Told.Answer <= Line.size() &&
                 Line[*Told.Answer - 1].Made.Token == Token,
             "accepted is said only of what the service accepted");
      return;
    }
    Seen.insert(answerOf(Told.Answer.error().Kind).Name);
    if (Told.Answer.error().Proof == NotRun::Unproved)
      return;
    NotAccepted.insert(Token);
    for (const OperatorDocument &Document : Line)
      expect(Document.Made.Token != Token,
             "a change refused as not run was not accepted");
  }

  /// The highest revision that the live processes can come to know.
  Revision highest() const {
    Revision Result = 0;
    bool CanRead = false;
    for (const Process &Each : Processes) {
      if (Each.IsUp)
        Result = std::max(Result, Each.State.Held.Made.Number);
      CanRead = CanRead || (Each.IsUp && Each.State.IsWatcher && IsServiceUp);
    }
    return CanRead ? Line.size() : Result;
  }

  void playRound() {
    for (std::size_t Who = 0; Who < Size; ++Who)
      watch(Who);
    for (std::size_t From = 0; From < Size; ++From)
      for (std::size_t To = 0; To < Size; ++To)
        heartbeat(From, To);
    std::vector<InFlight> Pulls;
    for (const InFlight &Message : Wire)
      if (std::holds_alternative<PullFrom>(Message.Action))
        Pulls.push_back(Message);
    Wire.clear();
    for (const InFlight &Message : Pulls)
      deliverPull(Message, 0);
  }

  std::array<Process, Size> Processes;
  std::vector<InFlight> Wire;
  /// Every accepted document, in order.
  std::vector<OperatorDocument> Line;
  std::set<std::string> NotAccepted;
  TimePoint Now{Duration(0)};
  unsigned Asked = 0;
  bool IsServiceUp = true;
  bool AreRegionsJoined = true;
};

} // namespace tamarack

#endif // TAMARACK_CONFIG_TEST_REVISIONWORLD_H
