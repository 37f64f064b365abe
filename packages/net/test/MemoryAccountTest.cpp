#include "tamarack/net/MemoryAccount.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>
#include <vector>

using namespace tamarack;

namespace {

constexpr std::size_t Limit = 4U << 20U;

std::shared_ptr<MemoryAccount> makeAccount() {
  return std::make_shared<MemoryAccount>(Limit);
}

/// Checks that an eighth of \p Account is free for small shares.
void checkSmallShares(const std::shared_ptr<MemoryAccount> &Account) {
  constexpr std::size_t SmallBytes = Limit / 8192;
  std::deque<MemoryShare> Small;
  for (std::size_t Taken = 0; Taken < Limit / 8; Taken += SmallBytes)
    BOOST_REQUIRE(
        Small.emplace_back(Account, MemoryUse::Requests).resize(SmallBytes));
  BOOST_TEST(Account->used() <= Limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AMemoryAccount)

BOOST_AUTO_TEST_CASE(GivesHalfOfItselfToOneShare) {
  const auto Account = makeAccount();
  MemoryShare Share(Account, MemoryUse::Requests);
  BOOST_TEST(Share.resize(Limit / 2));
  BOOST_TEST(!Share.resize(Limit / 2 + 1));
  BOOST_TEST(Share.size() == Limit / 2);
  BOOST_TEST(Account->used() == Limit / 2);
  BOOST_TEST(Account->refusals() == 1U);
}

BOOST_AUTO_TEST_CASE(GetsBackWhatAShareHadAtItsEnd) {
  const auto Account = makeAccount();
  {
    MemoryShare Share(Account, MemoryUse::Responses);
    BOOST_TEST(Share.resize(1000));
    BOOST_TEST(Account->used(MemoryUse::Responses) == 1000U);
    BOOST_TEST(Account->used(MemoryUse::Requests) == 0U);
  }
  BOOST_TEST(Account->used() == 0U);
}

/// Load pattern: any number of connections whose messages have no end. Guards
/// against small messages that are refused because of them.
BOOST_AUTO_TEST_SUITE(LeavesRoomForSmallShares)

BOOST_AUTO_TEST_CASE(BesideGreedyOnesThatGrowTogether) {
  for (const std::size_t Count : {1U, 8U, 200U}) {
    const auto Account = makeAccount();
    std::deque<MemoryShare> Greedy;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Greedy.emplace_back(Account, MemoryUse::Responses);
    bool Grows = true;
    while (Grows) {
      Grows = false;
      for (MemoryShare &Share : Greedy)
        Grows = Share.resize(Share.size() + 513) || Grows;
    }
    checkSmallShares(Account);
  }
}

BOOST_AUTO_TEST_CASE(BesideGreedyOnesThatComeOneAfterTheOther) {
  const auto Account = makeAccount();
  std::deque<MemoryShare> Greedy;
  for (int Index = 0; Index < 500; ++Index) {
    MemoryShare &Share = Greedy.emplace_back(Account, MemoryUse::Requests);
    while (Share.resize(Share.size() + 513)) {
    }
  }
  checkSmallShares(Account);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsNeverOverdrawn) {
  BOOST_TEST(rc::check("sum of shares", [] {
    const auto Account = makeAccount();
    std::deque<MemoryShare> Shares;
    for (int Index = 0; Index < 6; ++Index)
      Shares.emplace_back(Account, AllMemoryUses.at(Index % 2));
    const auto Steps =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 6U),
                          rc::gen::inRange(0U, unsigned(Limit))));
    for (const auto &[Index, Bytes] : Steps) {
      const std::size_t Before = Shares[Index].size();
      const bool Done = Shares[Index].resize(Bytes);
      RC_ASSERT(Shares[Index].size() == (Done ? Bytes : Before));
      RC_ASSERT(Done || Bytes > Before);
      std::size_t Sum = 0;
      for (const MemoryShare &Share : Shares)
        Sum += Share.size();
      RC_ASSERT(Account->used() == Sum);
      RC_ASSERT(Sum <= Limit);
    }
  }));
}

BOOST_AUTO_TEST_CASE(TellsWhatItCanNeverHold) {
  const auto Account = makeAccount();
  MemoryShare Share(Account, MemoryUse::Requests);
  BOOST_TEST(Share.resize(Limit / 2));
  BOOST_TEST(Account->canEverHold(Limit / 2));
  BOOST_TEST(!Account->canEverHold(Limit / 2 + 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATextWithinAShare)

BOOST_AUTO_TEST_CASE(TakesItsCapacity) {
  const auto Account = makeAccount();
  MemoryShare Share(Account, MemoryUse::Requests);
  std::string Text;
  for (int Count = 0; Count < 50; ++Count) {
    BOOST_TEST(appendWithin(Share, Text, std::string(1000, 'x'), 100));
    BOOST_TEST(Share.size() >= Text.capacity() + 100);
  }
  BOOST_TEST(Text.size() == 50000U);
  BOOST_TEST(Text.capacity() < 80000U);
}

BOOST_AUTO_TEST_CASE(DoesNotGrowBeyondTheExpectedSize) {
  MemoryShare Share(makeAccount(), MemoryUse::Requests);
  std::string Text;
  for (int Count = 0; Count < 50; ++Count)
    BOOST_TEST(appendWithin(Share, Text, std::string(1000, 'x'), 0, 50000));
  BOOST_TEST(Text.capacity() == 50000U);
}

BOOST_AUTO_TEST_CASE(IsUnchangedIfTheShareCannotGrow) {
  const auto Account = makeAccount();
  MemoryShare Share(Account, MemoryUse::Requests);
  std::string Text;
  BOOST_TEST(appendWithin(Share, Text, std::string(Limit / 2, 'x'), 0));
  BOOST_TEST(!appendWithin(Share, Text, "y", 0));
  BOOST_TEST(Text.size() == Limit / 2);
}

BOOST_AUTO_TEST_CASE(IsNotLimitedWithoutAnAccount) {
  MemoryShare Share(nullptr, MemoryUse::Requests);
  std::string Text;
  BOOST_TEST(appendWithin(Share, Text, std::string(2 * Limit, 'x'), 0));
}

BOOST_AUTO_TEST_SUITE_END()
