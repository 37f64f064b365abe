#include "tamarack/members/Ownership.h"

#include "TakeOverFake.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {
namespace {

using std::chrono::milliseconds;

const InstanceId Self("self");
const InstanceId Other("other");

Member candidate(const std::string &Name, const std::string &DataCentre) {
  Member Result;
  Result.Instance = InstanceId(Name);
  Result.DataCentre = DataCentreId(DataCentre);
  Result.Folder = FolderId("folder-of-" + Name);
  return Result;
}

std::vector<InstanceId> generateEntries() {
  const auto Numbers =
      *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 400));
  std::vector<InstanceId> Entries;
  Entries.reserve(Numbers.size());
  for (int Number : Numbers)
    Entries.push_back(makeEntry(Number));
  return Entries;
}

/// Returns a shard for which \p First is the preferred one of Self and Other.
ShardId shardPreferring(const InstanceId &First) {
  ShardId Shard = 0;
  while (preferredOwner(Shard, {Self, Other}) != First)
    ++Shard;
  return Shard;
}

/// Returns the facts about an ownerless shard that Other owned before, and
/// whose preferred owner is \p Preferred.
ClaimFacts factsPreferring(const InstanceId &Preferred) {
  ClaimFacts Facts;
  Facts.Shard = shardPreferring(Preferred);
  Facts.Self = Self;
  Facts.Entries = {Self, Other};
  Facts.Owner = Other;
  Facts.Copies = {MemberState::Live, MemberState::Live};
  Facts.LiveCandidates = 3;
  return Facts;
}

struct Row {
  const char *Description;
  InstanceId Preferred;
  void (*Modify)(ClaimFacts &);
  ClaimAction Expected;
};

void check(const std::vector<Row> &Rows) {
  for (const Row &Case : Rows) {
    ClaimFacts Facts = factsPreferring(Case.Preferred);
    Case.Modify(Facts);
    const ClaimDecision Decision = decideClaim(Facts, ClaimLimits());
    BOOST_TEST_INFO(Case.Description << ": " << Decision.Reason);
    BOOST_TEST(Decision.Action == Case.Expected);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ownership)

BOOST_AUTO_TEST_SUITE(Preference)

BOOST_AUTO_TEST_CASE(EveryOrderOfTheMemberListGivesTheSamePreference) {
  BOOST_TEST(rc::check([] {
    const auto Entries = generateEntries();
    auto Shuffled = Entries;
    std::shuffle(Shuffled.begin(), Shuffled.end(),
                 std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
    const auto Shard = *rc::gen::inRange<ShardId>(0, 8192);
    const auto Order = ownerPreference(Shard, Entries);
    RC_ASSERT(Order == ownerPreference(Shard, Shuffled));
    RC_ASSERT(preferredOwner(Shard, Shuffled) ==
              (Order.empty() ? std::nullopt : std::optional(Order.front())));
    for (std::size_t Rank = 0; Rank < Order.size(); ++Rank)
      RC_ASSERT(rankOf(Shard, Shuffled, Order[Rank]) == Rank);
  }));
}

BOOST_AUTO_TEST_CASE(ALostOrAddedEntryMovesOnlyItsOwnShards) {
  for (std::size_t Count : {4, 16, 64, 400}) {
    const auto Entries = makeEntries(Count);
    const auto Before = ownersOf(1024, Entries);
    const auto After = ownersOf(1024, {Entries.begin() + 1, Entries.end()});
    for (ShardId Shard = 0; Shard < 1024; ++Shard)
      if (Before[Shard] != Entries.front())
        BOOST_TEST(After[Shard] == Before[Shard],
                   Count << " entries, shard " << Shard);
  }
}

BOOST_AUTO_TEST_CASE(ShardsAreSpreadEvenly) {
  const auto Owners = ownersOf(8192, makeEntries(16));
  for (const InstanceId &Entry : makeEntries(16)) {
    const auto Share = std::count(Owners.begin(), Owners.end(), Entry);
    BOOST_TEST(Share < 1.2 * 8192 / 16, Entry << " has " << Share);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Copies)

BOOST_AUTO_TEST_CASE(CopiesAreInDifferentDataCentresIfPossible) {
  BOOST_TEST(rc::check([] {
    const int Count = *rc::gen::inRange(0, 12);
    std::vector<Member> Candidates;
    std::set<DataCentreId> DataCentres;
    for (int I = 0; I < Count; ++I) {
      Candidates.push_back(candidate(
          std::to_string(I), *rc::gen::element<std::string>("a", "b", "c")));
      if (*rc::gen::inRange(0, 4) == 0)
        Candidates.back().Folder = FolderId();
    }
    std::size_t WithFolder = 0;
    for (const Member &Candidate : Candidates)
      if (!Candidate.Folder.empty()) {
        ++WithFolder;
        DataCentres.insert(Candidate.DataCentre);
      }
    const auto Chosen = chooseCopies(7, Candidates, 2);
    std::reverse(Candidates.begin(), Candidates.end());
    RC_ASSERT(Chosen == chooseCopies(7, Candidates, 2));
    RC_ASSERT(Chosen.size() == std::min<std::size_t>(2, WithFolder));
    for (const Member &Candidate : Chosen)
      RC_ASSERT(!Candidate.Folder.empty());
    if (Chosen.size() < 2)
      return;
    RC_ASSERT(Chosen[0].Instance != Chosen[1].Instance);
    RC_ASSERT(DataCentres.size() < 2 ||
              Chosen[0].DataCentre != Chosen[1].DataCentre);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Claims)

BOOST_AUTO_TEST_CASE(AnEntryClaimsOnlyOwnerlessShards) {
  check({
      {"the owner is gone", Self, [](ClaimFacts &) {}, ClaimAction::Claim},
      {"the owner is live, and this entry preferred", Self,
       [](ClaimFacts &Facts) { Facts.OwnerState = MemberState::Live; },
       ClaimAction::Wait},
      {"the owner is only suspected", Self,
       [](ClaimFacts &Facts) { Facts.OwnerState = MemberState::Suspected; },
       ClaimAction::Wait},
      {"the owner hands over itself", Self,
       [](ClaimFacts &Facts) { Facts.OwnerState = MemberState::Leaving; },
       ClaimAction::Wait},
      {"nobody ever owned it", Self,
       [](ClaimFacts &Facts) { Facts.Owner.reset(); }, ClaimAction::Claim},
      {"the other entry goes first", Other, [](ClaimFacts &) {},
       ClaimAction::Wait},
      {"the other entry did not claim in time", Other,
       [](ClaimFacts &Facts) { Facts.OwnerlessFor = milliseconds(1500); },
       ClaimAction::Claim},
      {"this process was restarted", Other,
       [](ClaimFacts &Facts) {
         Facts.Owner = Self;
         Facts.OwnerState = MemberState::Live;
       },
       ClaimAction::Claim},
      {"no copy is reachable", Self,
       [](ClaimFacts &Facts) { Facts.Copies = {MemberState::Gone}; },
       ClaimAction::Wait},
      {"enough claims are in flight", Self,
       [](ClaimFacts &Facts) { Facts.ClaimsInFlight = 4; }, ClaimAction::Wait},
      {"this entry is leaving", Self,
       [](ClaimFacts &Facts) { Facts.Entries = {Other}; }, ClaimAction::Wait},
  });
}

BOOST_AUTO_TEST_CASE(AHolderKeepsHandsOverOrReplacesACopy) {
  check({
      {"preferred, with all copies", Self,
       [](ClaimFacts &Facts) { Facts.IsHeld = true; }, ClaimAction::Keep},
      {"the preferred entry has just started", Other,
       [](ClaimFacts &Facts) { Facts.IsHeld = true; }, ClaimAction::Keep},
      {"the preferred entry has been live for long enough", Other,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.PreferredLiveFor = std::chrono::seconds(5);
       },
       ClaimAction::HandOver},
      {"enough hand-overs are in flight", Other,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.PreferredLiveFor = std::chrono::seconds(5);
         Facts.HandOversInFlight = 4;
       },
       ClaimAction::Keep},
      {"leaving", Self,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.Entries = {Other};
         Facts.HandOversInFlight = 4;
       },
       ClaimAction::HandOver},
      {"a copy is gone", Self,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.Copies = {MemberState::Live, MemberState::Gone};
       },
       ClaimAction::ReplaceCopy},
      {"a copy is gone and there is no other candidate", Self,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.Copies = {MemberState::Live, MemberState::Gone};
         Facts.LiveCandidates = 1;
       },
       ClaimAction::Keep},
      {"a copy is only suspected", Self,
       [](ClaimFacts &Facts) {
         Facts.IsHeld = true;
         Facts.Copies = {MemberState::Live, MemberState::Suspected};
       },
       ClaimAction::Keep},
  });
}

BOOST_AUTO_TEST_CASE(AShardWithAWaitingCallIsClaimedWithoutDelay) {
  ClaimFacts Facts = factsPreferring(Self);
  Facts.OwnerlessShards = 100000;
  BOOST_TEST(decideClaim(Facts, ClaimLimits()).Action == ClaimAction::Wait);
  Facts.HasWaitingCall = true;
  BOOST_TEST(decideClaim(Facts, ClaimLimits()).Action == ClaimAction::Claim);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakeOver)

BOOST_AUTO_TEST_CASE(ALostEntryCostsAboutOneWritePerShard) {
  for (std::size_t Entries : {4, 16, 400}) {
    const TakeOverResult Result =
        runTakeOver({Entries, 1, 8192}, ClaimLimits());
    BOOST_TEST_INFO(Entries << " entries, " << Result.MovedShards << " moved");
    BOOST_TEST(static_cast<double>(Result.Attempts) <=
               1.1 * Result.MovedShards);
    BOOST_TEST(Result.NonPreferredOwners == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ALostDataCentreStaysWithinTheWriteRateOfThePlatform) {
  const TakeOverResult Result = runTakeOver({400, 134, 8192}, ClaimLimits());
  BOOST_TEST(static_cast<double>(Result.Attempts) <= 1.1 * Result.MovedShards);
  BOOST_TEST(Result.PeakAttemptsPerSecond <= 300U);
  BOOST_TEST(Result.MaxWriteLatency.count() <= 250'000);
  BOOST_TEST(Result.Elapsed.count() <= 20'000'000);
}

BOOST_AUTO_TEST_CASE(ARestartedEntryReclaimsItsShards) {
  for (std::size_t Entries : {4, 16, 400}) {
    TakeOverPlan Plan{Entries, 1, 8192};
    Plan.Restarted = true;
    const TakeOverResult Result = runTakeOver(Plan, ClaimLimits());
    BOOST_TEST_INFO(Entries << " entries, " << Result.MovedShards
                            << " claimed");
    BOOST_TEST(Result.NonPreferredOwners == 0U);
    BOOST_TEST(static_cast<double>(Result.Attempts) <=
               1.1 * Result.MovedShards);
  }
}

BOOST_AUTO_TEST_CASE(ALostOwnerIsReplacedWithinSevenHeartbeats) {
  BOOST_TEST(heartbeatsToClaim(false) <= 7.0);
  BOOST_TEST(heartbeatsToClaim(true) <= 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
