/// Random histories of chains at ledgers that are down or cut off for some
/// seconds at a time, and that ask each other before they drop anything.
#include "tamarack/turns/TurnStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr Duration Retention = 60s;
constexpr std::size_t NamesPerQuestion = 64;
constexpr std::size_t LinksPerAnswer = 8;

struct Turn {
  TurnId Id;
  TurnId Previous;
  TimePoint EndedAt;
  /// The members that got its text.
  std::vector<std::size_t> Holders;
};

/// Draws from the whole range, also in the first histories.
std::size_t below(std::size_t Limit) {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, Limit));
}

class Quorum {
public:
  explicit Quorum(std::size_t ToleratedLosses)
      : Copies(ToleratedLosses + 1), Stores(2 * ToleratedLosses + 1),
        DownUntil(Stores.size()) {}

  /// Takes a member off for \p Time, if enough are left to store records.
  void takeDown(std::size_t Member, Duration Time) {
    const auto Up = static_cast<std::size_t>(
        std::count_if(DownUntil.begin(), DownUntil.end(),
                      [this](TimePoint Until) { return Until <= Now; }));
    if (Up > Copies && isUp(Member))
      DownUntil[Member] = Now + Time;
  }

  /// Ends a turn that continues \p Previous, or begins a chain. Each turn has a
  /// program of its own.
  Turn endTurn(const TurnId &Previous) {
    const std::string Id = "t" + std::to_string(++Turns);
    Turn Result{TurnId(Id), Previous, Now, {}};
    const TurnRecord Record{ProgramId("p-" + Id),
                            Result.Id,
                            {10, true},
                            std::make_shared<const StoredTurn>(StoredTurn{
                                Result.Id, Previous, "in", "out", Retention}),
                            {}};
    const std::size_t First = below(Stores.size());
    for (std::size_t Step = 0; Step < Stores.size(); ++Step) {
      const std::size_t Member = (First + Step) % Stores.size();
      if (!isUp(Member))
        continue;
      const bool WithText = Result.Holders.size() < Copies;
      Stores[Member].apply(WithText ? Record : withoutText(Record), Now);
      if (WithText)
        Result.Holders.push_back(Member);
    }
    return Result;
  }

  void advance(Duration By) {
    Now += By;
    for (std::size_t Member = 0; Member < Stores.size(); ++Member)
      if (isUp(Member)) {
        fetchMissedLinks(Member);
        expire(Member);
      }
  }

  bool holds(std::size_t Member, const TurnId &Id) const {
    return !Stores[Member].isMissing({Id, true, true});
  }
  TimePoint now() const { return Now; }
  std::size_t size() const { return Stores.size(); }

private:
  bool isUp(std::size_t Member) const { return DownUntil[Member] <= Now; }

  /// As many other members as a ledger must ask, or fewer if they are down.
  std::vector<std::size_t> askedBy(std::size_t Member) const {
    std::vector<std::size_t> Result;
    for (std::size_t Step = 1; Step < Stores.size(); ++Step) {
      const std::size_t Other = (Member + Step) % Stores.size();
      if (isUp(Other) && Result.size() < Stores.size() - Copies)
        Result.push_back(Other);
    }
    return Result;
  }
  bool areEnough(const std::vector<std::size_t> &Asked) const {
    return Asked.size() == Stores.size() - Copies;
  }

  void fetchMissedLinks(std::size_t Member) {
    const std::vector<TurnId> Missed = Stores[Member].missedTurns();
    const std::vector<std::size_t> Asked = askedBy(Member);
    for (const std::size_t Other : Asked)
      for (const TurnId &Id : Missed)
        for (const TurnRecord &Link :
             Stores[Other].linksBefore(Id, LinksPerAnswer))
          Stores[Member].apply(Link, Now);
    if (areEnough(Asked))
      Stores[Member].forgetMissed(Missed);
  }

  void expire(std::size_t Member) {
    const RecordNames Due = Stores[Member].expiring(Now, NamesPerQuestion);
    const std::vector<std::size_t> Asked = askedBy(Member);
    for (const std::size_t Other : Asked)
      Stores[Member].extend(Stores[Other].lifetimes(Due, Now), Now);
    if (areEnough(Asked))
      Stores[Member].expire(Now, Due);
  }

  const std::size_t Copies;
  std::vector<TurnStore> Stores;
  std::vector<TimePoint> DownUntil;
  TimePoint Now{Duration(1h)};
  int Turns = 0;
};

/// Keeps one chain in use with pauses below its retention while members come
/// and go, and checks that each text stays where it was stored.
void playChain(std::size_t Losses, std::size_t &Turns) {
  Quorum Of(Losses);
  std::vector<Turn> Chain;
  for (int Step = 0; Step < 60; ++Step) {
    if (below(2) == 0)
      Of.takeDown(below(Of.size()), Duration(1s) * (1 + below(30)));
    Chain.push_back(Of.endTurn(Chain.empty() ? TurnId() : Chain.back().Id));
    const std::size_t Pause = below(10) == 0 ? 55 : below(12);
    for (std::size_t Second = 0; Second < Pause; ++Second)
      Of.advance(1s);
    for (const Turn &Each : Chain)
      for (const std::size_t Member : Each.Holders)
        RC_ASSERT(Of.holds(Member, Each.Id));
  }
  Turns += Chain.size();
  // Once it is not in use any more it is dropped everywhere.
  for (int Second = 0; Second < 400; ++Second)
    Of.advance(1s);
  for (const Turn &Each : Chain)
    for (const std::size_t Member : Each.Holders)
      RC_ASSERT(!Of.holds(Member, Each.Id));
}

void checkHistories(std::size_t Losses) {
  std::size_t Turns = 0;
  BOOST_TEST(rc::check("texts are kept while their chain is in use",
                       [&] { playChain(Losses, Turns); }));
  BOOST_TEST(Turns > 1000U);
}

} // namespace

/// Guards against ledgers that drop earlier turns of a chain in use, because
/// they missed a later turn while they were down.
BOOST_AUTO_TEST_SUITE(RetentionOfChains)

BOOST_AUTO_TEST_CASE(HoldsAtThreeMembers) { checkHistories(1); }
BOOST_AUTO_TEST_CASE(HoldsAtFiveMembers) { checkHistories(2); }

BOOST_AUTO_TEST_SUITE_END()
