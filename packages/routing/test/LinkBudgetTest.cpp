#include "tamarack/routing/LinkBudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <vector>

namespace tamarack {
namespace {

const std::vector<LinkClass> Classes = {LinkClass::Control, LinkClass::Answer,
                                        LinkClass::History, LinkClass::Bulk};

/// Sends all items that may be sent at \p Now and returns the bytes of each
/// class.
std::map<LinkClass, std::uint64_t>
sendAll(LinkBudget &Budget, const LinkLimits &Limits, TimePoint Now) {
  std::map<LinkClass, std::uint64_t> Sent;
  for (;;) {
    SendDecision Decision = nextToSend(std::move(Budget), Limits, Now);
    Budget = std::move(Decision.Budget);
    if (!Decision.Item)
      return Sent;
    Sent[Decision.Item->Class] += Decision.Item->Bytes;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkBudgetTest)

BOOST_AUTO_TEST_CASE(SendsByPriorityAndInOrder) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 8; ++Id)
    Budget = enqueue(std::move(Budget), {Classes[3 - Id % 4], 100, Id});
  std::vector<std::uint64_t> Order;
  for (int I = 0; I < 8; ++I) {
    SendDecision Decision = nextToSend(std::move(Budget), Limits, TimePoint());
    Budget = std::move(Decision.Budget);
    Order.push_back(Decision.Item->Id);
  }
  BOOST_TEST((Order == std::vector<std::uint64_t>{3, 7, 2, 6, 1, 5, 0, 4}));
  const SendDecision Empty = nextToSend(Budget, Limits, TimePoint());
  BOOST_TEST((!Empty.Item && !Empty.Delay));
}

BOOST_AUTO_TEST_CASE(SendsControlAfterABurstOfBulk) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    Budget = enqueue(std::move(Budget), {LinkClass::Bulk, 10'000, Id});
  auto Sent = sendAll(Budget, Limits, TimePoint());
  BOOST_TEST(Sent[LinkClass::Bulk] == 100'000U);
  Budget = enqueue(std::move(Budget), {LinkClass::Control, 90'000, 0});
  Sent = sendAll(Budget, Limits, TimePoint());
  BOOST_TEST(Sent[LinkClass::Control] == 90'000U);
}

BOOST_AUTO_TEST_CASE(SendsTheNextItemAfterTheDelay) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  Budget = enqueue(std::move(Budget), {LinkClass::Control, 200'000, 0});
  Budget = enqueue(std::move(Budget), {LinkClass::Answer, 30'000, 1});
  sendAll(Budget, Limits, TimePoint());
  SendDecision Decision = nextToSend(Budget, Limits, TimePoint());
  BOOST_TEST_REQUIRE(Decision.Delay.has_value());
  BOOST_TEST(Decision.Delay->count() == 500'000);
  Decision = nextToSend(std::move(Decision.Budget), Limits,
                        TimePoint() + *Decision.Delay);
  BOOST_TEST(Decision.Item.has_value());
}

BOOST_AUTO_TEST_CASE(RefusesAsNotRunAboveTheLimits) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 40; ++Id)
    Budget = enqueue(std::move(Budget), {LinkClass::Bulk, 100'000, Id});
  const auto Full = checkAdmission(Budget, {LinkClass::Bulk, 1, 40}, Limits);
  BOOST_TEST_REQUIRE(Full.has_value());
  BOOST_TEST(Full->Kind == ErrorKind::Overloaded);
  BOOST_TEST((Full->Proof == NotRun::Proved));
  BOOST_TEST(!checkAdmission(Budget, {LinkClass::Answer, 1, 41}, Limits));
  const auto Large =
      checkAdmission(Budget, {LinkClass::Answer, 180'001, 42}, Limits);
  BOOST_TEST_REQUIRE(Large.has_value());
  BOOST_TEST(Large->Kind == ErrorKind::BodyTooLarge);
}

BOOST_AUTO_TEST_CASE(KeepsTheRateAndLosesNoItem) {
  BOOST_TEST(rc::check([] {
    const LinkLimits Limits;
    LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
    TimePoint Now;
    double Sent = 0;
    double Queued = 0;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int I = 0; I < Steps; ++I) {
      const LinkItem Item{*rc::gen::elementOf(Classes),
                          *rc::gen::inRange<std::uint64_t>(1, 100'001), 0};
      Budget = enqueue(std::move(Budget), Item);
      Queued += static_cast<double>(Item.Bytes);
      Now += Duration(*rc::gen::inRange(0, 1'000'000));
      for (const auto &[Class, Bytes] : sendAll(Budget, Limits, Now))
        Sent += static_cast<double>(Bytes);
      const double Seconds =
          std::chrono::duration<double>(Now - TimePoint()).count();
      RC_ASSERT(Sent <=
                Limits.BurstBytes + Limits.BytesPerSecond * Seconds + 1);
    }
    Now += std::chrono::hours(1);
    for (int I = 0; I < 1000; ++I, Now += std::chrono::seconds(1))
      for (const auto &[Class, Bytes] : sendAll(Budget, Limits, Now))
        Sent += static_cast<double>(Bytes);
    RC_ASSERT(Sent == Queued);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
