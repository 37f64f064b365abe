#include "tamarack/routing/LinkBudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <vector>

namespace tamarack {
namespace {

const std::vector<LinkClass> Classes = {LinkClass::Control, LinkClass::Answer,
                                        LinkClass::History, LinkClass::Bulk};

/// Sends all that may go at \p Now; gives the bytes of each class.
std::map<LinkClass, std::uint64_t>
drain(LinkBudget &Budget, const LinkLimits &Limits, TimePoint Now) {
  std::map<LinkClass, std::uint64_t> Sent;
  for (;;) {
    LinkStep Step = nextToSend(std::move(Budget), Limits, Now);
    Budget = std::move(Step.Budget);
    if (!Step.Item)
      return Sent;
    Sent[Step.Item->Class] += Step.Item->Bytes;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowLinkBudget)

BOOST_AUTO_TEST_CASE(UrgentClassesGoFirstAndInOrder) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 8; ++Id)
    Budget = enqueue(std::move(Budget), {Classes[3 - Id % 4], 100, Id});
  std::vector<std::uint64_t> Order;
  for (int I = 0; I < 8; ++I) {
    LinkStep Step = nextToSend(std::move(Budget), Limits, TimePoint());
    Budget = std::move(Step.Budget);
    Order.push_back(Step.Item->Id);
  }
  BOOST_TEST((Order == std::vector<std::uint64_t>{3, 7, 2, 6, 1, 5, 0, 4}));
  const LinkStep Empty = nextToSend(Budget, Limits, TimePoint());
  BOOST_TEST((!Empty.Item && !Empty.After));
}

BOOST_AUTO_TEST_CASE(ControlNeverWaitsBehindBulk) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    Budget = enqueue(std::move(Budget), {LinkClass::Bulk, 10'000, Id});
  auto Sent = drain(Budget, Limits, TimePoint());
  BOOST_TEST(Sent[LinkClass::Bulk] == 100'000U);
  Budget = enqueue(std::move(Budget), {LinkClass::Control, 90'000, 0});
  Sent = drain(Budget, Limits, TimePoint());
  BOOST_TEST(Sent[LinkClass::Control] == 90'000U);
}

BOOST_AUTO_TEST_CASE(TheGivenTimeIsEnoughForTheNextItem) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  Budget = enqueue(std::move(Budget), {LinkClass::Control, 200'000, 0});
  Budget = enqueue(std::move(Budget), {LinkClass::Answer, 30'000, 1});
  drain(Budget, Limits, TimePoint());
  LinkStep Step = nextToSend(Budget, Limits, TimePoint());
  BOOST_TEST_REQUIRE(Step.After.has_value());
  BOOST_TEST(Step.After->count() == 500'000);
  Step = nextToSend(std::move(Step.Budget), Limits, TimePoint() + *Step.After);
  BOOST_TEST(Step.Item.has_value());
}

BOOST_AUTO_TEST_CASE(WhatCannotGoSoonIsRefusedAsNotSent) {
  const LinkLimits Limits;
  LinkBudget Budget = fullLinkBudget(Limits, TimePoint());
  for (std::uint64_t Id = 0; Id < 40; ++Id)
    Budget = enqueue(std::move(Budget), {LinkClass::Bulk, 100'000, Id});
  const auto Full = refusalOf(Budget, {LinkClass::Bulk, 1, 40}, Limits);
  BOOST_TEST_REQUIRE(Full.has_value());
  BOOST_TEST(Full->Kind == ErrorKind::Overloaded);
  BOOST_TEST((Full->Proof == NotRun::Proved));
  BOOST_TEST(!refusalOf(Budget, {LinkClass::Answer, 1, 41}, Limits));
  const auto Large =
      refusalOf(Budget, {LinkClass::Answer, 180'001, 42}, Limits);
  BOOST_TEST_REQUIRE(Large.has_value());
  BOOST_TEST(Large->Kind == ErrorKind::BodyTooLarge);
}

BOOST_AUTO_TEST_CASE(TheRateIsKeptAndNothingIsLost) {
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
      for (const auto &[Class, Bytes] : drain(Budget, Limits, Now))
        Sent += static_cast<double>(Bytes);
      const double Seconds =
          std::chrono::duration<double>(Now - TimePoint()).count();
      RC_ASSERT(Sent <=
                Limits.BurstBytes + Limits.BytesPerSecond * Seconds + 1);
    }
    Now += std::chrono::hours(1);
    for (int I = 0; I < 1000; ++I, Now += std::chrono::seconds(1))
      for (const auto &[Class, Bytes] : drain(Budget, Limits, Now))
        Sent += static_cast<double>(Bytes);
    RC_ASSERT(Sent == Queued);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
